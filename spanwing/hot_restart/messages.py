"""The messages between two processes on one listening socket.

A message is either complete or absent. The first one carries the version; another version, or anything that
cannot be decoded, ends the link, and the processes go on independently.
"""

from __future__ import annotations

import msgspec

from spanwing.core.messages import JobRequest
from spanwing.discovery.client import DiscoveredWorker

VERSION = 1
MAX_MESSAGE_BYTES = 160_000  # of one message: a body, a head and the bytes read ahead
ITEMS_PER_MESSAGE = 100  # workers, or request ids, in one message
MAX_BUFFERED_BYTES = 64_000  # of a partly read message, transferred with its connection


class SuccessorHello(msgspec.Struct, tag="hello"):
    """The successor's first message."""

    version: int


class ConnectionCounts(msgspec.Struct, tag="held"):
    """The connections that the predecessor holds, or may open; the successor may use the rest."""

    client_connections: int = msgspec.field(name="clients")
    worker_connections: int = msgspec.field(name="hops")


class SuccessorReady(msgspec.Struct, tag="ready"):
    """The successor can accept clients."""


class WorkerEstimates(msgspec.Struct, tag="worker", array_like=True):
    """The estimates of one worker, from the scheduler's state of it."""

    worker_id: int
    estimated_slots: float
    slots_reported: bool
    reserved_slots: int  # slots of the predecessor's attempts in flight
    foreign_slots: float
    last_observed_ms: float | None
    last_heard_ms: float
    reports_progress: bool
    ejected_until_ms: float
    ejection_count: int
    concurrency_limit: float | None
    peak_running_slots: float
    capacity_fixed_until_ms: float
    relative_service_time: float
    recent_work: list[tuple[float, float]]


class WorkerEstimatesBatch(msgspec.Struct, tag="workers"):
    """A part of the predecessor's endpoint list and of its estimates of the workers."""

    members: list[DiscoveredWorker]
    estimates: list[WorkerEstimates] = msgspec.field(name="seen")


class SchedulerEstimates(msgspec.Struct, tag="learned"):
    """The scheduler's estimates that concern no single worker."""

    revision: int | None  # of the endpoint list
    discovery: str  # the address of the discovery service that the list is from
    started_ms: float = msgspec.field(name="born")
    mean_service_ms: dict[str, float] = msgspec.field(name="work")  # by class
    start_delay_by_zone: dict[str, float] = msgspec.field(name="quick")  # by zone
    slots_by_kind: dict[str, float] = msgspec.field(name="kinds")
    fleet_utilization: float = msgspec.field(name="busy")
    sticky_share: float = msgspec.field(name="keys")
    acceptance_reported: bool = msgspec.field(name="accepts")
    token_accounts: dict[str, tuple[float, float, float]] = msgspec.field(
        name="ledgers"
    )  # by tenant: earned, spent, credit


class RequestIdChanges(msgspec.Struct, tag="ids"):
    """Requests that have opened or ended at the sender."""

    opened: list[str] = []
    ended: list[str] = []


class AcceptingStopped(msgspec.Struct, tag="over"):
    """The predecessor has sent all estimates, accepts no clients and feeds no worker that is warming up."""


class ForwardedCallback(msgspec.Struct, tag="called"):
    """A worker's callback about an attempt that is not the sender's."""

    worker_name: str = msgspec.field(name="name")
    request_id: str = msgspec.field(name="request")
    state: str
    body: bytes
    report: tuple[float, ...] | None


class TransferredConnection(msgspec.Struct, tag="passed"):
    """A client's or a worker's connection; its descriptor comes with this message."""

    buffered_bytes: bytes = msgspec.field(name="data")  # read already, and not a complete HTTP message
    has_sent_request: bool = msgspec.field(name="heard")
    is_client: bool = msgspec.field(name="asks")
    peer_address: str = msgspec.field(name="peer")


class TransferredAttempt(msgspec.Struct, tag="tried", array_like=True):
    """One attempt of a request, from the scheduler's state of it."""

    worker_id: int
    forwarded_ms: float
    is_open: bool
    started_ms: float
    last_progress_ms: float
    never_ran: bool


class TransferredRequest(msgspec.Struct, tag="moved"):
    """An open request, with its client's connection as a descriptor; the predecessor has dropped it."""

    connection: TransferredConnection
    keep_alive: bool = msgspec.field(name="keep")  # the connection stays open after the answer
    request: JobRequest = msgspec.field(name="envelope")
    deadline_ms: float = msgspec.field(name="deadline")
    arrived_ms: float = msgspec.field(name="born")
    is_late: bool = msgspec.field(name="spoilt")
    is_over_quota: bool = msgspec.field(name="over")
    attempt_count: int = msgspec.field(name="sent")  # attempts begun
    attempts: list[TransferredAttempt] = msgspec.field(name="tried")
    worker_name: str = msgspec.field(
        default="", name="hop"
    )  # the worker that has the attempt in flight; its address follows
    worker_address: str = msgspec.field(default="", name="place")
    expires_ms: float = msgspec.field(default=0.0, name="until")  # when that attempt expires


class PredecessorDone(msgspec.Struct, tag="bye"):
    """The predecessor has nothing left; the successor closes the link, so that no message on it is lost."""


HotRestartMessage = (
    SuccessorHello
    | ConnectionCounts
    | SuccessorReady
    | WorkerEstimatesBatch
    | SchedulerEstimates
    | RequestIdChanges
    | AcceptingStopped
    | ForwardedCallback
    | TransferredConnection
    | TransferredRequest
    | PredecessorDone
)
encode_message = msgspec.msgpack.Encoder().encode
decode_message = msgspec.msgpack.Decoder(HotRestartMessage).decode
