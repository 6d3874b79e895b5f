"""The messages between the two processes of a hot restart.

The first message carries the protocol version. A different version, or a message that cannot be decoded, ends
the link, and both processes continue independently. `tag=` and `name=` give the names on the wire, which stay
the same as long as the version does.
"""

from __future__ import annotations

import msgspec

from spanwing.core.messages import JobRequest
from spanwing.discovery.client import DiscoveredWorker
from spanwing.json_input import decode_by

VERSION = 1
MAX_MESSAGE_BYTES = 160_000  # room for a request's body and headers, and for the input buffered after them
ITEMS_PER_MESSAGE = 100  # workers or request ids in one message
MAX_BUFFERED_BYTES = 64_000  # input of an incomplete HTTP message that is transferred with its connection


class SuccessorHello(msgspec.Struct, tag="hello"):
    """The first message of the successor."""

    version: int


class ConnectionCounts(msgspec.Struct, tag="held"):
    """The connections that the predecessor holds or may still open; the successor may use the others."""

    client_connections: int = msgspec.field(name="clients")
    worker_connections: int = msgspec.field(name="hops")


class SuccessorReady(msgspec.Struct, tag="ready"):
    """Tells the predecessor that the successor is ready to accept clients."""


class WorkerEstimates(msgspec.Struct, tag="worker", array_like=True):
    """The estimates of one worker, taken from its WorkerState in the scheduler."""

    worker_id: int
    estimated_slots: float
    slots_reported: bool
    reserved_slots: int  # slots of the predecessor's own attempts in flight
    foreign_slots: float  # slots used by attempts of other schedulers
    last_observed_ms: float | None  # None: never
    last_heard_ms: float
    reports_progress: bool
    ejected_until_ms: float
    ejection_count: int
    concurrency_limit: float | None  # None: no limit
    peak_running_slots: float
    capacity_fixed_until_ms: float
    relative_service_time: float
    recent_work: list[tuple[float, float]]


class WorkerEstimatesBatch(msgspec.Struct, tag="workers"):
    """A part of the predecessor's endpoint list and of its estimates for the workers."""

    members: list[DiscoveredWorker]
    estimates: list[WorkerEstimates] = msgspec.field(name="seen")


class SchedulerEstimates(msgspec.Struct, tag="learned"):
    """The scheduler's estimates that do not concern a single worker; sent after all WorkerEstimatesBatch."""

    revision: int | None  # of the endpoint list
    discovery: str  # address of the discovery service that the endpoint list comes from
    started_ms: float = msgspec.field(name="born")
    mean_service_ms: dict[str, float] = msgspec.field(name="work")  # by class
    start_delay_by_zone: dict[str, float] = msgspec.field(name="quick")  # by zone
    slots_by_kind: dict[str, float] = msgspec.field(name="kinds")
    fleet_utilization: float = msgspec.field(name="busy")
    sticky_share: float = msgspec.field(name="keys")
    acceptance_reported: bool = msgspec.field(name="accepts")
    # By tenant: earned, spent, burst allowance.
    token_accounts: dict[str, tuple[float, float, float]] = msgspec.field(name="ledgers")


class RequestIdChanges(msgspec.Struct, tag="ids"):
    """The ids of requests that have been opened or have ended at the sender."""

    opened: list[str] = []
    ended: list[str] = []


class AcceptingStopped(msgspec.Struct, tag="over"):
    """Ends the estimates; the predecessor has stopped accepting clients and feeding workers that warm up."""


class ForwardedCallback(msgspec.Struct, tag="called"):
    """A worker's call-back about an attempt that the sender does not have."""

    worker_name: str = msgspec.field(name="name")
    request_id: str = msgspec.field(name="request")
    state: str
    body: bytes
    report: tuple[float, ...] | None


class TransferredConnection(msgspec.Struct, tag="passed"):
    """The connection of a client or a worker; its descriptor accompanies this message."""

    buffered_bytes: bytes = msgspec.field(name="data")  # input already read of an incomplete HTTP message
    has_sent_request: bool = msgspec.field(name="heard")
    is_client: bool = msgspec.field(name="asks")
    peer_address: str = msgspec.field(name="peer")


class TransferredAttempt(msgspec.Struct, tag="tried", array_like=True):
    """One attempt of a request, taken from its Attempt in the scheduler."""

    worker_id: int
    forwarded_ms: float
    is_open: bool
    started_ms: float
    last_progress_ms: float
    never_ran: bool


class TransferredRequest(msgspec.Struct, tag="moved"):
    """An open request; the descriptor of its client's connection accompanies this message.

    The predecessor has dropped the request. The last three fields are set only if an attempt is in flight.
    """

    connection: TransferredConnection
    keep_alive: bool = msgspec.field(name="keep")  # the connection stays open after the answer
    request: JobRequest = msgspec.field(name="envelope")
    deadline_ms: float = msgspec.field(name="deadline")
    arrived_ms: float = msgspec.field(name="born")
    is_late: bool = msgspec.field(name="spoilt")
    is_over_quota: bool = msgspec.field(name="over")
    attempt_count: int = msgspec.field(name="sent")  # attempts started so far
    attempts: list[TransferredAttempt] = msgspec.field(name="tried")
    worker_name: str = msgspec.field(default="", name="hop")  # the worker that runs the attempt in flight
    worker_address: str = msgspec.field(default="", name="place")
    expires_ms: float = msgspec.field(default=0.0, name="until")  # when the attempt in flight expires


class PredecessorDone(msgspec.Struct, tag="bye"):
    """Tells the successor that all was transferred.

    The successor then closes the link; if the predecessor closed it, unread messages could be lost.
    """


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
decoder = msgspec.msgpack.Decoder(HotRestartMessage)


def decode_message(data: bytes) -> HotRestartMessage:
    """Decodes a message. Raises ValueError if it is malformed."""
    return decode_by(decoder, data)
