"""What clients, workers and discovery saw, as typed records on one monotonic clock (seconds)."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass
class ClientRequest:
    """A request as its client saw it."""

    id: str
    scheduler: str
    cls: str
    budget_ms: int
    sent_s: float  # its last byte was written
    status: int | None = None  # None: no answer
    answered_s: float | None = None
    left_s: float | None = None  # the client closed its connection
    ended_unanswered_s: float | None = None  # the scheduler closed the connection
    is_on_new_connection: bool = False


@dataclass
class SentMessage:
    """A request of a scheduler to a worker, as it left the scheduler."""

    scheduler: str
    worker: str
    method: str
    request: str
    budget_ms: int | None
    first_byte_s: float
    last_byte_s: float | None = None
    connection: int = 0  # its number on that link


@dataclass
class ConnectionEnd:
    """A scheduler ended a connection to a worker."""

    scheduler: str
    worker: str
    connection: int
    at_s: float


@dataclass
class WorkerOutcome:
    """What became of an attempt at its worker: accepted, rejected, done, failed, deleted or ended."""

    worker: str
    request: str
    state: str
    at_s: float


@dataclass
class EndpointChange:
    """A change of a worker's phase, as discovery had it."""

    revision: int
    worker: str
    phase: str
    at_s: float
    is_start: bool = False  # the worker is cold


@dataclass
class ListDelivery:
    """A list that discovery began to write to a scheduler over a link that passed it on."""

    scheduler: str
    since: int | None
    revision: int
    at_s: float


@dataclass
class Outage:
    """A time in which a scheduler could not reach discovery, or had been killed."""

    scheduler: str
    begin_s: float
    end_s: float = float("inf")


@dataclass
class Records:
    """All that was seen in one run."""

    requests: list[ClientRequest] = field(default_factory=list)
    messages: list[SentMessage] = field(default_factory=list)
    outcomes: list[WorkerOutcome] = field(default_factory=list)
    connection_ends: list[ConnectionEnd] = field(default_factory=list)
    changes: list[EndpointChange] = field(default_factory=list)
    deliveries: list[ListDelivery] = field(default_factory=list)
    discovery_outages: list[Outage] = field(default_factory=list)
    process_outages: list[Outage] = field(default_factory=list)
    crowds: list[Outage] = field(default_factory=list)  # idle clients fill a scheduler's descriptors
    scheduler_starts: list[tuple[str, float]] = field(default_factory=list)  # scheduler, time it was started
