"""Types of the decision module: its settings, the events it handles and the actions it returns.

All times are milliseconds; points in time are those of the scheduler's clock.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Literal, NamedTuple

#: "safe": idempotent. "keyed": a worker drops a repeat of the request within the deduplication window.
#: "unsafe": non-idempotent, so it is not repeated once an attempt may have run.
Idempotency = Literal["safe", "keyed", "unsafe"]
#: The workers that share one deduplication window: all, those of one zone, or those of one cell.
RepeatGroup = Literal["all", "zone", "cell"]
State = Literal["healthy", "draining", "gone"]
#: How an attempt or a probe ended. "full": the worker has no free slot. "moot": cancelled, or too late,
#: before it was sent. "rejected": the worker rejects the request, which says nothing about the worker.
Result = Literal["ok", "error", "full", "timeout", "unreachable", "reset", "cancelled", "moot", "rejected"]

#: Results that prove that an attempt never ran.
NEVER_RAN: frozenset[str] = frozenset({"full", "unreachable", "moot"})


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """A class of requests: latency objective, deadline, priority weight and idempotency."""

    name: str
    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float = 1.0
    late_weight: float = 0.0  # weight of an answer after the latency objective
    objective_stretch: float = 0.0  # the objective grows by this multiple of the job's own running time
    idempotency: Idempotency = "safe"
    repeat_group: RepeatGroup = "all"
    deduplication_window_ms: float = 0.0
    streamed: bool = False
    kind: str | None = None  # the only kind of worker that runs it; None: any
    priority: int = 0


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and its quota in requests per second, over all schedulers together."""

    name: str
    quota_per_s: float


class SettingsError(ValueError):
    """Invalid settings. `faults` lists every fault, the message is the first one."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__(faults[0])
        self.faults = faults


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one scheduler. Raises SettingsError, which names each setting with a wrong value."""

    classes: tuple[ServiceClass, ...]
    node_index: int = 0  # of this scheduler
    node_count: int = 1  # schedulers in the fleet
    zone: str = ""
    zones: tuple[str, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    over_quota_weight: float = 1.0  # of a request beyond its tenant's quota, as a fraction
    tick_ms: float = 1.0  # resolution of the host's timers
    subscribe: bool = False  # the worker list is sent only on a Watch
    report_fields: tuple[str, ...] = ()  # of inflight, queue, free_slots, free_memory; others are ignored
    live_weights: bool = False  # a worker's weight is size / (1 + requests in flight per core)
    nominal_weights: bool = False  # a worker's weight is its registered size
    tells_start: bool = False  # workers report the start of each job
    progress_interval_ms: float = 0.0  # workers report each running job this often; 0: never
    preempts: bool = False  # workers queue by priority and may preempt a running job of lower priority
    counts_memory: bool = False  # a worker's slots also bound the memory of its jobs
    cancel: bool = False  # attempts may be cancelled
    probes: bool = False  # workers may be probed
    peers: bool = False  # messages to other schedulers are allowed
    max_attempts: int = 1
    max_retry_after: float = 0.0  # upper bound of Reject.retry_after
    answer_grace: float = 0.0  # a final answer may come this long after the deadline
    drain_grace: float = 0.0  # sends to a draining worker must end within this
    slow_start_initial_fraction: float = 1.0  # of its capacity, for a worker that has just started
    slow_start_ms: float = 0.0  # a worker warms up for this long after its start
    overload_multiple: float = 1.0  # more work than this times its capacity overloads a warming worker
    overload_window_ms: float = 0.0  # time over which that work is summed up

    def __post_init__(self) -> None:
        """Raises SettingsError if a value is out of range."""
        if faults := list(self._faults()):
            raise SettingsError(faults)

    def _faults(self) -> Iterator[str]:
        """Yields every fault, each as a line that begins with the name of its setting.

        The lines reach operators, and their names of settings do not follow the fields here. SETTING_NAMES in
        spanwing/settings.py maps them to paths in a settings object.
        """
        if not self.classes:
            yield "classes: at least one is needed"
        yield from _check(self.node_count >= 1, "nodes", self.node_count)
        yield from _check(0 <= self.node_index < max(1, self.node_count), "node", self.node_index)
        yield from _check(self.max_attempts >= 1, "max_attempts", self.max_attempts)
        yield from _check(
            0 < self.slow_start_initial_fraction <= 1, "cold_from", self.slow_start_initial_fraction
        )
        yield from _check(self.overload_multiple > 0, "fall_multiple", self.overload_multiple)
        yield from _check(self.tick_ms > 0, "tick", self.tick_ms)
        for name, value in (
            ("over_share_worth", self.over_quota_weight),
            ("max_retry_after", self.max_retry_after),
            ("answer_grace", self.answer_grace),
            ("drain_grace", self.drain_grace),
            ("cold_ms", self.slow_start_ms),
            ("fall_ms", self.overload_window_ms),
            ("progress", self.progress_interval_ms),
        ):
            yield from _check(value >= 0, name, value)
        yield from _check(not self.zones or self.zone in self.zones, "zone", self.zone)
        for each in self.classes:
            # A class is the first segment of a job's target, where these marks would end it.
            if not each.name.isprintable() or any(mark in each.name for mark in "/?#"):
                yield f"classes: the name {each.name!a} is not possible"
                continue
            where = f"classes[{each.name}]"
            yield from _check(each.latency_objective_ms > 0, f"{where}.aim", each.latency_objective_ms)
            yield from _check(
                each.deadline_ms >= each.latency_objective_ms, f"{where}.deadline", each.deadline_ms
            )
            yield from _check(
                each.idempotency in ("safe", "keyed", "unsafe"), f"{where}.effect", each.idempotency
            )
            yield from _check(
                each.repeat_group in ("all", "zone", "cell"), f"{where}.group", each.repeat_group
            )
            for name, value in (
                ("worth", each.priority_weight),
                ("late_worth", each.late_weight),
                ("stretch", each.objective_stretch),
                ("window", each.deduplication_window_ms),
            ):
                yield from _check(value >= 0, f"{where}.{name}", value)
        for tenant in self.tenants:
            yield from _check(tenant.quota_per_s >= 0, f"tenants[{tenant.name}].rate", tenant.quota_per_s)
        for name, entries in (("classes", self.classes), ("tenants", self.tenants)):
            yield from _check(
                len({each.name for each in entries}) == len(entries), name, "a name occurs more than once"
            )


def _check(is_valid: bool, name: str, value: object) -> Iterator[str]:
    if not is_valid:
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
    feeder_share: float | None = None  # part of a feeder's budget while it warms up; None: by hash


class WorkerList(NamedTuple):
    """An update from discovery: the whole list, the list kept from an earlier run, changes, or a failure."""

    scope: Literal["complete", "partial", "persisted", "error"]
    workers: tuple[Worker, ...] = ()


class Request(NamedTuple):
    """A client's request, which this scheduler must answer exactly once."""

    id: str
    class_name: str
    deadline: float  # clock time
    tenant: str | None = None
    slots: int = 1
    memory: float = 0.0
    expected_ms: float = 0.0  # running time that the client expects; 0: unknown
    sticky_key: str | None = None
    is_repeat: bool = False  # the client has sent it before


class Outcome(NamedTuple):
    """How an attempt ended."""

    request: str
    attempt: int
    worker: int
    result: Result
    complete: bool  # the client has its answer
    elapsed: float
    report: tuple[float, ...] | None = None  # load report, in the order of Settings.report_fields
    excludes_worker: bool = False  # the worker must get no further attempt of the request


class ProgressReport(NamedTuple):
    """A worker's report on a running attempt: it has started, or it is still running."""

    request: str
    attempt: int
    worker: int
    started: bool


class Accepted(NamedTuple):
    """A worker has accepted an attempt, which may still be queued there. Some hosts never send this."""

    request: str
    attempt: int
    worker: int


class ProbeResult(NamedTuple):
    """How a probe ended."""

    worker: int
    result: Result
    elapsed: float
    report: tuple[float, ...] | None = None  # load report, in the order of Settings.report_fields


class ClientGone(NamedTuple):
    """The client has disconnected; no answer is due any more."""

    request: str


class HostDelayed(NamedTuple):
    """The host handles its input late, so reports of workers may lie unread for up to this time (ms)."""

    delay: float


class StreamStarted(NamedTuple):
    """The answer of a streamed class has begun; no other answer may follow."""

    request: str
    attempt: int
    worker: int


class TimerDue(NamedTuple):
    """A timer set by SetTimer has expired."""

    token: int


class PeerMessage(NamedTuple):
    """A short message from another scheduler."""

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
    | HostDelayed
    | StreamStarted
    | TimerDue
    | PeerMessage
)


class Send(NamedTuple):
    """Forward the request to a worker; attempts are numbered from 0."""

    request: str
    worker: int
    timeout: float = 0.0  # 0: until the client gives up


class Cancel(NamedTuple):
    """Cancel an attempt."""

    request: str
    attempt: int


class Reject(NamedTuple):
    """Final answer: the request was not done, and the client may safely repeat it."""

    request: str
    retry_after: float = 0.0  # 0: no advice


class Fail(NamedTuple):
    """Final answer: the request failed; it may or may not have taken effect."""

    request: str


class SetTimer(NamedTuple):
    """Set a timer, which returns as TimerDue after the delay."""

    delay: float
    token: int


class Probe(NamedTuple):
    """Ask a worker for its load report."""

    worker: int


class BroadcastToPeers(NamedTuple):
    """Send a short message to every other scheduler."""

    payload: str


class Watch(NamedTuple):
    """Subscribe to changes of the worker list."""


class Log(NamedTuple):
    """Write a log line."""

    line: str


Action = Send | Cancel | Reject | Fail | SetTimer | Probe | BroadcastToPeers | Watch | Log
