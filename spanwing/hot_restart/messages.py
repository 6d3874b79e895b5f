"""What two processes on one listening socket say to each other.

Guarantees: each message is whole or not there; the first one carries the version, and another version, or
anything that cannot be read, ends the link: the processes then go on as strangers.
"""

from __future__ import annotations

import msgspec

from spanwing.core.messages import JobRequest
from spanwing.discovery.client import DiscoveredWorker

VERSION = 1
MAX_MESSAGE_BYTES = 160_000  # bytes of one message: a body, a head and what was read ahead
ITEMS_PER_MESSAGE = 100  # job workers, or ids, told at once
MAX_BUFFERED_BYTES = 64_000  # bytes of a half-read message that go over with a connection


class SuccessorHello(msgspec.Struct, tag="hello"):
    """The successor's first word."""

    version: int


class ConnectionCounts(msgspec.Struct, tag="held"):
    """How many connections the predecessor holds, or may open: the successor has the rest."""

    client_connections: int = msgspec.field(name="clients")
    worker_connections: int = msgspec.field(name="hops")


class SuccessorReady(msgspec.Struct, tag="ready"):
    """The successor can take clients."""


class WorkerEstimates(msgspec.Struct, tag="worker", array_like=True):
    """What was learned of a job worker, in the words of the module's View."""

    worker_id: int
    estimated_slots: float
    slots_reported: bool
    reserved_slots: int  # slots of the predecessor's open attempts
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
    """The list as the predecessor has it, and what it learned; in parts."""

    members: list[DiscoveredWorker]
    estimates: list[WorkerEstimates] = msgspec.field(name="seen")


class SchedulerEstimates(msgspec.Struct, tag="learned"):
    """What the module has learned in all."""

    revision: int | None  # of discovery's list
    discovery: str  # whose list it is
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
    """Requests that are open from now on here, or no longer."""

    opened: list[str] = []
    ended: list[str] = []


class AcceptingStopped(msgspec.Struct, tag="over"):
    """The predecessor accepts no more and feeds no cold job worker: all that it learned has been told."""


class ForwardedCallback(msgspec.Struct, tag="called"):
    """A call-back about an attempt that is not ours."""

    worker_name: str = msgspec.field(name="name")
    request_id: str = msgspec.field(name="request")
    state: str
    body: bytes
    report: tuple[float, ...] | None


class TransferredConnection(msgspec.Struct, tag="passed"):
    """A client's or a job worker's connection, which comes with this message as a descriptor."""

    buffered_bytes: bytes = msgspec.field(name="data")  # read already, and no whole message
    has_sent_request: bool = msgspec.field(name="heard")
    is_client: bool = msgspec.field(name="asks")
    peer_address: str = msgspec.field(name="peer")


class TransferredAttempt(msgspec.Struct, tag="tried", array_like=True):
    """One attempt of a request, in the words of the module's Attempt."""

    worker_id: int
    forwarded_ms: float
    is_open: bool
    started_ms: float
    last_progress_ms: float
    never_ran: bool


class TransferredRequest(msgspec.Struct, tag="moved"):
    """An open request, with its client's connection as a descriptor: the predecessor knows it no more."""

    connection: TransferredConnection
    keep_alive: bool = msgspec.field(name="keep")  # the connection goes on after the answer
    request: JobRequest = msgspec.field(name="envelope")
    deadline_ms: float = msgspec.field(name="deadline")
    arrived_ms: float = msgspec.field(name="born")
    is_late: bool = msgspec.field(name="spoilt")
    is_over_quota: bool = msgspec.field(name="over")
    attempt_count: int = msgspec.field(name="sent")  # attempts begun
    attempts: list[TransferredAttempt] = msgspec.field(name="tried")
    worker_name: str = msgspec.field(
        default="", name="hop"
    )  # the job worker that has the attempt which is out, and where it is reached
    worker_address: str = msgspec.field(default="", name="place")
    expires_ms: float = msgspec.field(default=0.0, name="until")  # when that attempt's time is over


class PredecessorDone(msgspec.Struct, tag="bye"):
    """The predecessor has nothing left; the successor ends the link, so that nothing on it is lost."""


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
