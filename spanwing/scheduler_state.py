"""What a node remembers of requests, attempts and workers, and its alarm clock: no decision."""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from spanwing.interface import Request, ServiceClass, SetTimer, Worker

FIRST_OWNER_SALT = 17  # of the hashes that deal the workers out
FOREIGN_LOAD_DECAY_MS = (
    400.0  # how long a view of what others hold at a worker lasts: about as long as a job runs
)
OBSERVATION_FRESH_MS = 100.0  # a sight of a worker's idle slots is good for this long
BURST_ALLOWANCE_S = 2.0  # seconds of unused share that a tenant's later arrivals may use


@dataclass(slots=True, eq=False)
class Job:
    """A request that still owes its answer."""

    request: Request
    service_class: ServiceClass
    class_index: int  # of its class
    arrived_ms: float
    attempts: list[Attempt] = field(default_factory=list)
    is_queued: bool = False
    is_late: bool = False  # it can hardly be in time any more
    is_over_quota: bool = False  # it came beyond its tenant's share


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a job; it holds its slots at the worker until its outcome."""

    job: Job
    worker: WorkerState
    forwarded_ms: float
    is_open: bool = True
    started_ms: float = 0.0  # when the worker said so; 0: not yet
    last_progress_ms: float = 0.0  # the worker's last word on it
    never_ran: bool = False  # it ended, and never ran


@dataclass(slots=True, eq=False)
class WorkerState:
    """What this node knows of a worker."""

    entry: Worker
    feeder_share: float  # this node is one of those that feed it while it is cold, with this part of a share
    estimated_slots: float  # slots assumed
    is_owned: bool = False  # of this node's part of the fleet
    slots_reported: bool = False  # total comes from reports
    reserved_slots: int = 0  # slots that this node's open attempts hold
    running_slots: int = 0  # of these, started
    reserved_memory: float = 0.0  # held likewise
    peak_running_slots: float = 0.0  # most slots seen at work or free
    capacity_fixed_until_ms: float = 0.0  # total is not raised before
    foreign_slots: float = 0.0  # jobs of other nodes, as last seen
    last_observed_ms: float = -math.inf
    last_probed_ms: float = -math.inf  # for its report
    last_heard_ms: float = 0.0  # last sign of life
    reports_progress: bool = False  # it has told of a job's progress
    ejected_until_ms: float = 0.0
    ejection_count: int = 0
    concurrency_limit: float = math.inf  # jobs at once, after a rest
    max_weight: float = 0.0  # largest weight listed
    relative_service_time: float = 1.0  # time of a job here, against the mean
    recent_work: deque[tuple[float, float]] = field(default_factory=lambda: deque(maxlen=64))  # work
    is_feeder_known: bool = False  # owner was computed, or given by the list
    id_hash: int = 0  # hash of the id; 0: not computed yet
    candidate_nodes: list[int] = field(
        default_factory=list
    )  # that the id's hashes name, in the order they are tried

    def observe_load(self, inflight: float, now: float) -> None:
        """Takes in how many jobs the worker holds; those that are not this node's are others'."""
        others = max(0.0, inflight - self.reserved_slots)
        self.foreign_slots += (0.3 if now - self.last_observed_ms < FOREIGN_LOAD_DECAY_MS else 1.0) * (
            others - self.foreign_slots
        )
        self.last_observed_ms = now

    def is_fresh(self, now: float) -> bool:
        """Returns whether its idle slots were seen just now."""
        return now - self.last_observed_ms < OBSERVATION_FRESH_MS

    def lower_capacity(self, until: float) -> None:
        """Assumes one slot less, and no more until then."""
        self.estimated_slots, self.capacity_fixed_until_ms = max(1.0, self.estimated_slots - 1.0), until

    def assignment_key(self) -> tuple[str, int]:
        """Returns the place of the worker in the order in which all are dealt out."""
        self.id_hash = self.id_hash or stable_hash(self.entry.id)
        return self.entry.kind, self.id_hash

    def candidate_node(self, turn: int, count: int) -> int:
        """Returns the node that the id's hash number turn names, among count nodes."""
        while turn >= len(self.candidate_nodes):
            self.candidate_nodes.append(
                stable_hash(self.entry.id, FIRST_OWNER_SALT + len(self.candidate_nodes)) % count
            )
        return self.candidate_nodes[turn]


class TokenAccount:
    """A tenant's counters: tokens earned by elapsed time x rate, tokens spent by dispatches."""

    def __init__(self, rate: float, now: float, classes: int) -> None:
        self.quota_per_s, self.earned, self.spent, self.refilled_ms = rate, 0.0, 0.0, now
        self.burst_allowance = (
            rate  # of its share, unused by arrivals; at most BURST_ALLOWANCE_S seconds' worth
        )
        self.queues: list[deque[Job]] = [deque() for _ in range(classes)]

    def refill(self, now: float) -> None:
        gain = (now - self.refilled_ms) * self.quota_per_s / 1000.0
        self.earned, self.refilled_ms = self.earned + gain, now
        self.burst_allowance = min(
            self.burst_allowance + gain, max(1.0, self.quota_per_s * BURST_ALLOWANCE_S)
        )

    def count_arrival(self) -> bool:
        """Count an arrival; whether it is within the tenant's share."""
        within = self.burst_allowance >= 1.0
        self.burst_allowance -= within
        return within

    def spent_ratio(self) -> float:
        return self.spent / max(self.earned, 1.0)


class TimerQueue:
    """Calls due later, on the timers of the node that runs it."""

    def __init__(self, tick: float) -> None:
        self.tick_ms, self.heap, self.call_count, self.timer_due_ms = tick, [], 0, math.inf

    def call_at(self, when: float, act: Callable[..., None], *args: object) -> None:
        self.call_count += 1
        heapq.heappush(self.heap, (when, self.call_count, act, args))

    def run_due(self, now: float) -> None:
        """Make the calls that are due."""
        if now >= self.timer_due_ms - 0.01:  # the timer has come; older ones must not start a second chain
            self.timer_due_ms = math.inf
        while self.heap and self.heap[0][0] <= now:
            _, _, act, args = heapq.heappop(self.heap)
            act(*args)

    def next_timer(self, now: float) -> list[SetTimer]:
        """The timer still to be set for what comes next, if any."""
        if not self.heap or self.heap[0][0] >= self.timer_due_ms - self.tick_ms:
            return []
        self.timer_due_ms = max(self.heap[0][0], now)
        return [SetTimer(self.timer_due_ms - now, 0)]


def stable_hash(*values: int) -> int:
    """A stable hash, the same in every process."""
    h = 0x9E3779B97F4A7C15
    for value in values:
        h = (h ^ value) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
        h ^= h >> 29
    return h
