"""What a scheduler records about requests, attempts, workers and tenants, and its timer queue.

Nothing here decides. All times are milliseconds.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from spanwing.interface import Request, ServiceClass, SetTimer, Worker

FIRST_OWNER_SALT = 17  # of the hashes that name a worker's candidate owners
FOREIGN_LOAD_DECAY_MS = 400.0  # time constant of the estimated foreign load: about the length of a job
OBSERVATION_FRESH_MS = 100.0  # observed idle slots are relied on for this long
BURST_ALLOWANCE_S = 2.0  # seconds of unused quota that a tenant's later arrivals may use


@dataclass(slots=True, eq=False)
class Job:
    """A request that has no final answer yet."""

    request: Request
    service_class: ServiceClass
    class_index: int
    arrived_ms: float
    attempts: list[Attempt] = field(default_factory=list)
    is_queued: bool = False
    is_late: bool = False  # it waited past its latency objective
    is_over_quota: bool = False  # it arrived beyond its tenant's quota and burst allowance


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a job; it reserves the job's slots at the worker until its outcome."""

    job: Job
    worker: WorkerState
    forwarded_ms: float
    is_open: bool = True
    started_ms: float = 0.0  # when the worker reported the start; 0: not yet
    last_progress_ms: float = 0.0  # the worker's latest report on it; 0: none
    never_ran: bool = False  # it ended, and its result proves that it did not run
    excludes_worker: bool = False  # the worker must get no further attempt of the job, whatever the result


@dataclass(slots=True, eq=False)
class WorkerState:
    """What this scheduler knows of one worker, and its estimates."""

    entry: Worker
    feeder_share: float  # share of a feeder's budget while the worker warms up; 0: not fed from here
    estimated_slots: float
    is_owned: bool = False  # assigned to this scheduler by Scheduler.assign_workers
    slots_reported: bool = False  # estimated_slots comes from load reports
    reserved_slots: int = 0  # by this scheduler's open attempts
    running_slots: int = 0  # reserved slots of attempts whose start was reported
    reserved_memory: float = 0.0  # by this scheduler's open attempts
    peak_running_slots: float = 0.0
    capacity_fixed_until_ms: float = 0.0  # estimated_slots is not raised before this
    foreign_slots: float = 0.0  # slots in use by other schedulers, as last observed
    last_observed_ms: float = -math.inf
    last_probed_ms: float = -math.inf
    last_heard_ms: float = 0.0  # last sign of life
    reports_progress: bool = False  # it has reported the progress of some job
    ejected_until_ms: float = 0.0
    ejection_count: int = 0  # in a row
    concurrency_limit: float = math.inf  # slots that may be reserved at once after an ejection
    max_weight: float = 0.0  # largest weight listed so far
    relative_service_time: float = 1.0  # mean service time here, relative to the mean over all workers
    recent_work: deque[tuple[float, float]] = field(
        default_factory=lambda: deque(maxlen=64)
    )  # forwarded at, work in slot milliseconds
    is_feeder_known: bool = False  # feeder_share was computed, or given by the endpoint list
    id_hash: int = 0  # 0: not computed yet
    candidate_nodes: list[int] = field(default_factory=list)  # named by the id's hashes, in order

    def observe_load(self, inflight: float, now: float) -> None:
        """Records how many slots are in use at the worker.

        Those beyond this scheduler's own count as foreign. An observation within FOREIGN_LOAD_DECAY_MS of the
        previous one moves the estimate by 30 %, a later one replaces it.
        """
        foreign_slots = max(0.0, inflight - self.reserved_slots)
        self.foreign_slots += (0.3 if now - self.last_observed_ms < FOREIGN_LOAD_DECAY_MS else 1.0) * (
            foreign_slots - self.foreign_slots
        )
        self.last_observed_ms = now

    def is_fresh(self, now: float) -> bool:
        """Returns whether the load was observed within OBSERVATION_FRESH_MS."""
        return now - self.last_observed_ms < OBSERVATION_FRESH_MS

    def lower_capacity(self, until: float) -> None:
        """Lowers estimated_slots by one, to no less than 1; it is not raised before `until`."""
        self.estimated_slots, self.capacity_fixed_until_ms = max(1.0, self.estimated_slots - 1.0), until

    def assignment_key(self) -> tuple[str, int]:
        """Returns the sort key of the order in which workers are assigned to schedulers."""
        self.id_hash = self.id_hash or stable_hash(self.entry.id)
        return self.entry.kind, self.id_hash

    def candidate_node(self, index: int, count: int) -> int:
        """Returns the candidate owner number `index` of this worker among `count` schedulers."""
        while index >= len(self.candidate_nodes):
            self.candidate_nodes.append(
                stable_hash(self.entry.id, FIRST_OWNER_SALT + len(self.candidate_nodes)) % count
            )
        return self.candidate_nodes[index]


class TokenAccount:
    """A tenant's tokens, its burst allowance and its queued jobs.

    Tokens are earned at the tenant's quota as time passes; each first attempt of a job spends one.
    """

    def __init__(self, rate: float, now: float, classes: int) -> None:
        """rate: quota in requests per second; classes: number of service classes."""
        self.quota_per_s, self.earned, self.spent, self.refilled_ms = rate, 0.0, 0.0, now
        self.burst_allowance = rate  # unused quota in requests, at most that of BURST_ALLOWANCE_S
        self.queues: list[deque[Job]] = [deque() for _ in range(classes)]

    def refill(self, now: float) -> None:
        """Adds the tokens and the burst allowance earned since the last call."""
        gain = (now - self.refilled_ms) * self.quota_per_s / 1000.0
        self.earned, self.refilled_ms = self.earned + gain, now
        self.burst_allowance = min(
            self.burst_allowance + gain, max(1.0, self.quota_per_s * BURST_ALLOWANCE_S)
        )

    def count_arrival(self) -> bool:
        """Counts an arrival; returns whether it is within the quota and the burst allowance."""
        within = self.burst_allowance >= 1.0
        self.burst_allowance -= within
        return within

    def spent_ratio(self) -> float:
        """Returns spent tokens relative to earned ones (at least one is taken as earned)."""
        return self.spent / max(self.earned, 1.0)


class TimerQueue:
    """Calls due at later times, driven by the timers of the scheduler's host."""

    def __init__(self, tick: float) -> None:
        """tick: the resolution of the host's timers in ms."""
        self.tick_ms, self.heap, self.call_count, self.timer_due_ms = tick, [], 0, math.inf

    def call_at(self, when: float, act: Callable[..., None], *args: object) -> None:
        """Calls act(*args) at the first run_due() at or after `when`."""
        self.call_count += 1
        heapq.heappush(self.heap, (when, self.call_count, act, args))

    def run_due(self, now: float) -> None:
        """Makes the calls that are due, in the order of their times."""
        # Only the host's current timer clears timer_due_ms: an older one must not start a second chain.
        if now >= self.timer_due_ms - 0.01:
            self.timer_due_ms = math.inf
        while self.heap and self.heap[0][0] <= now:
            _, _, act, args = heapq.heappop(self.heap)
            act(*args)

    def next_timer(self, now: float) -> list[SetTimer]:
        """Returns the timer to set for the next call; empty if none is needed or one is set already."""
        if not self.heap or self.heap[0][0] >= self.timer_due_ms - self.tick_ms:
            return []
        self.timer_due_ms = max(self.heap[0][0], now)
        return [SetTimer(self.timer_due_ms - now, 0)]


def stable_hash(*values: int) -> int:
    """Returns a 64-bit hash of the integers that is the same in every process."""
    result = 0x9E3779B97F4A7C15
    for value in values:
        result = (result ^ value) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
        result ^= result >> 29
    return result
