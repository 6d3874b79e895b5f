"""Records of what clients, workers and discovery observed. All times are seconds of one monotonic clock."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass
class ClientRequest:
    """A request as its client observed it."""

    id: str
    scheduler: str
    service_class: str
    budget_ms: int
    sent_s: float  # when its last byte was written
    status: int | None = None  # HTTP status; None: not answered
    answered_s: float | None = None
    disconnected_s: float | None = None  # when the client closed its connection without an answer
    closed_unanswered_s: float | None = None  # when the scheduler closed it without an answer
    is_on_new_connection: bool = False


@dataclass
class SentMessage:
    """A POST, DELETE or GET request from a scheduler to a worker, observed as it left the scheduler."""

    scheduler: str
    worker: str
    method: str
    request: str  # id of the client's request; for a GET the last part of its target
    budget_ms: int | None  # the value of X-Budget-Ms, if given
    first_byte_s: float
    last_byte_s: float | None = None
    connection: int = 0  # number of the connection on that link


@dataclass
class ConnectionEnd:
    """The end of a connection from a scheduler to a worker."""

    scheduler: str
    worker: str
    connection: int
    at_s: float


@dataclass
class WorkerOutcome:
    """A state that an attempt reached at its worker: accepted, rejected, done, failed, deleted or lost."""

    worker: str
    request: str
    state: str
    at_s: float


@dataclass
class EndpointChange:
    """A change of a worker's phase in discovery's endpoint list."""

    revision: int
    worker: str
    phase: str
    at_s: float
    is_start: bool = False  # the worker has just started, and gets its share by slow start


@dataclass
class ListDelivery:
    """An endpoint list that discovery began to write to a scheduler over a link that forwarded it.

    since_revision: the list holds only the changes after this revision; None: it is complete.
    """

    scheduler: str
    since_revision: int | None
    revision: int
    at_s: float


@dataclass
class Outage:
    """A period in which rules make exceptions for a scheduler; the list of Records that holds it says why."""

    scheduler: str
    begin_s: float
    end_s: float = float("inf")


@dataclass
class Records:
    """All observations of one run."""

    requests: list[ClientRequest] = field(default_factory=list)
    messages: list[SentMessage] = field(default_factory=list)
    outcomes: list[WorkerOutcome] = field(default_factory=list)
    connection_ends: list[ConnectionEnd] = field(default_factory=list)
    changes: list[EndpointChange] = field(default_factory=list)
    deliveries: list[ListDelivery] = field(default_factory=list)
    #: The scheduler could not reach discovery.
    discovery_outages: list[Outage] = field(default_factory=list)
    #: The process was down after a kill or a termination, or was paused for long.
    process_outages: list[Outage] = field(default_factory=list)
    #: Idle clients occupied the scheduler's descriptors.
    connection_floods: list[Outage] = field(default_factory=list)
    #: The name of the scheduler and the time at which its process was started.
    scheduler_starts: list[tuple[str, float]] = field(default_factory=list)
