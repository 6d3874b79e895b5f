"""Types of the dispatcher: settings in, events in, actions out. All times are milliseconds."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Literal, NamedTuple

Idempotency = Literal["safe", "keyed", "unsafe"]
RepeatGroup = Literal["all", "zone", "cell"]
State = Literal["healthy", "draining", "gone"]
Result = Literal["ok", "error", "full", "timeout", "unreachable", "reset", "cancelled", "moot", "rejected"]

#: "rejected": the worker holds the request itself to be bad; it says nothing of the worker.
#: Results that prove an attempt never ran.
NEVER_RAN: frozenset[str] = frozenset({"full", "unreachable", "moot"})


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """What one class of requests is worth, how long it may take and whether it may repeat."""

    name: str
    aim: float
    deadline: float
    worth: float = 1.0
    late_worth: float = 0.0
    stretch: float = 0.0  # the aim grows by this multiple of the job's own running time
    effect: Idempotency = "safe"
    group: RepeatGroup = "all"
    window: float = 0.0
    streamed: bool = False
    kind: str | None = None  # the only kind of worker that runs it; None: any
    priority: int = 0


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and the rate of requests that its share allows over all nodes, per second."""

    name: str
    rate: float


class SettingsError(ValueError):
    """Settings that no decision could honour; its text is the first fault."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__(faults[0])
        self.faults = faults


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a node is told at its start. Wrong values raise ValueError naming the setting."""

    classes: tuple[ServiceClass, ...]
    node: int = 0
    nodes: int = 1
    zone: str = ""
    zones: tuple[str, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    over_share_worth: float = 1.0  # of a request beyond its tenant's share, as a fraction
    tick: float = 1.0
    subscribe: bool = False  # the worker list comes only when asked for
    report_fields: tuple[str, ...] = ()  # of inflight, queue, free_slots, free_memory; others are ignored
    live_weights: bool = False  # weight is size / (1 + requests held per core)
    nominal_weights: bool = False  # weight is the registered size
    tells_start: bool = False
    progress: float = 0.0  # a worker tells of each running job this often; 0: never
    preempts: bool = False  # workers queue by priority and may kill a lower running job
    counts_memory: bool = False
    cancel: bool = False
    probes: bool = False
    peers: bool = False
    max_attempts: int = 1
    max_retry_after: float = 0.0
    answer_grace: float = 0.0
    drain_grace: float = 0.0
    cold_from: float = 1.0
    cold_ms: float = 0.0
    fall_multiple: float = 1.0
    fall_ms: float = 0.0

    def __post_init__(self) -> None:
        """Reject settings that no decision could honour."""
        if wrong := list(self._wrong()):
            raise SettingsError(wrong)

    def _wrong(self) -> Iterator[str]:
        """All that is wrong, each naming its setting."""
        if not self.classes:
            yield "classes: at least one is needed"
        yield from _need(self.nodes >= 1, "nodes", self.nodes)
        yield from _need(0 <= self.node < max(1, self.nodes), "node", self.node)
        yield from _need(self.max_attempts >= 1, "max_attempts", self.max_attempts)
        yield from _need(0 < self.cold_from <= 1, "cold_from", self.cold_from)
        yield from _need(self.fall_multiple > 0, "fall_multiple", self.fall_multiple)
        yield from _need(self.tick > 0, "tick", self.tick)
        for name in (
            "over_share_worth",
            "max_retry_after",
            "answer_grace",
            "drain_grace",
            "cold_ms",
            "fall_ms",
            "progress",
        ):
            yield from _need(getattr(self, name) >= 0, name, getattr(self, name))
        yield from _need(not self.zones or self.zone in self.zones, "zone", self.zone)
        for each in self.classes:
            where = f"classes[{each.name}]"
            yield from _need(each.aim > 0, f"{where}.aim", each.aim)
            yield from _need(each.deadline >= each.aim, f"{where}.deadline", each.deadline)
            yield from _need(each.effect in ("safe", "keyed", "unsafe"), f"{where}.effect", each.effect)
            yield from _need(each.group in ("all", "zone", "cell"), f"{where}.group", each.group)
            for name in ("worth", "late_worth", "stretch", "window"):
                yield from _need(getattr(each, name) >= 0, f"{where}.{name}", getattr(each, name))
        for tenant in self.tenants:
            yield from _need(tenant.rate >= 0, f"tenants[{tenant.name}].rate", tenant.rate)
        for name, of in (("classes", self.classes), ("tenants", self.tenants)):
            yield from _need(len({each.name for each in of}) == len(of), name, "a name stands twice")


def _need(holds: bool, name: str, value: object) -> Iterator[str]:
    if not holds:
        yield f"{name}: {value!r} is not possible"


class Worker(NamedTuple):
    """One entry of the worker list."""

    id: int
    state: State = "healthy"
    zone: str = ""
    cell: int = 0
    weight: float = 1.0
    kind: str = ""
    started: float = 0.0  # clock time of its latest start; 0: long ago
    feeder: float | None = None  # part of a feeder's share while it is cold; None: by the node's own hash


class WorkerList(NamedTuple):
    """News from discovery: the whole list, changes only, or a failed call."""

    scope: Literal["complete", "partial", "persisted", "error"]
    workers: tuple[Worker, ...] = ()


class Request(NamedTuple):
    """A client's request, which this node must answer once."""

    id: str
    cls: str
    deadline: float
    tenant: str | None = None
    slots: int = 1
    memory: float = 0.0
    hint: float = 0.0  # expected running time; 0: not told
    key: str | None = None
    repeat: bool = False


class Outcome(NamedTuple):
    """How an attempt ended."""

    request: str
    attempt: int
    worker: int
    result: Result
    complete: bool
    elapsed: float
    report: tuple[float, ...] | None = None


class ProgressReport(NamedTuple):
    """A word from a worker on a running attempt: it has started, or how far it is."""

    request: str
    attempt: int
    worker: int
    started: bool


class Accepted(NamedTuple):
    """A worker has taken an attempt, which may still wait there; hosts that cannot tell never say so."""

    request: str
    attempt: int
    worker: int


class ProbeResult(NamedTuple):
    """The answer to a probe, or why there is none."""

    worker: int
    result: Result
    elapsed: float
    report: tuple[float, ...] | None = None


class ClientGone(NamedTuple):
    """The client left: nothing is owed any more."""

    request: str


class StreamStarted(NamedTuple):
    """The answer of a streamed class has begun and belongs to the client."""

    request: str
    attempt: int
    worker: int


class TimerDue(NamedTuple):
    """A timer set earlier has come due."""

    token: int


class PeerMessage(NamedTuple):
    """A short message of another node."""

    node: int
    payload: str


Event = (
    WorkerList
    | Request
    | Outcome
    | ProgressReport
    | Accepted
    | ProbeResult
    | ClientGone
    | StreamStarted
    | TimerDue
    | PeerMessage
)


class Send(NamedTuple):
    """Begin an attempt; timeout 0: until the client gives up."""

    request: str
    worker: int
    timeout: float = 0.0


class Cancel(NamedTuple):
    """Stop waiting for an attempt."""

    request: str
    attempt: int


class Reject(NamedTuple):
    """Final answer: not done, trying again is harmless."""

    request: str
    retry_after: float = 0.0


class Fail(NamedTuple):
    """Final answer: failed, no promise as to its effect."""

    request: str


class SetTimer(NamedTuple):
    """Ask for a TimerDue."""

    delay: float
    token: int


class Probe(NamedTuple):
    """Ask a worker for its report."""

    worker: int


class BroadcastToPeers(NamedTuple):
    """Send a short message to every other node."""

    payload: str


class Watch(NamedTuple):
    """Subscribe to changes of the worker list."""


class Log(NamedTuple):
    """A line for the operators."""

    line: str


Action = Send | Cancel | Reject | Fail | SetTimer | Probe | BroadcastToPeers | Watch | Log
