"""Simulates a worker: cores, slots, a queue, memory, slow start, and a crash by overload during slow start.

Does no I/O and reads no clock. Every submitted job ends in exactly one JobEnded, or in none if the worker is
silent or goes down (lost_attempts() then returns the jobs that it had accepted). Work is conserved: the work
of a job is either processed or withdrawn, and work processed for a job that does not succeed counts as
wasted. Bounds: a new job that cannot start is rejected (`full`) while `queue_length` jobs are queued; memory
is never overcommitted.

All running jobs progress at the same rate. One work clock counts the work done on each job that runs since
the worker's start (the virtual time of processor sharing, Kleinrock 1967). A job ends when the clock reaches
the value computed at the job's start.

    worker.submit_job(now_ms, job)  -> events up to now, and those of the submission
    worker.advance_to(now_ms)       -> events up to now
    worker.next_event_ms()          -> when the next event is due, if nothing is submitted before
"""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass, field
from typing import Literal, NamedTuple

QueueDiscipline = Literal["fifo", "backfill", "priority"]
JobResult = Literal["ok", "error", "full", "cancelled", "expired"]
WARM_UP_STEP_MS = 50.0  # the capacity of a worker that is warming up grows in steps of this length
TIME_TOLERANCE_MS = 1e-6  # above the rounding errors of summed times


class WorkerSpec(NamedTuple):
    """Describes a worker; times in ms."""

    name: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    cores: float = 4.0
    speed: float = 1.0  # work of 1 ms takes 1 / speed ms
    slots: int = 4
    queue_length: int = 40  # maximum number of queued jobs
    memory: float = math.inf
    queue_discipline: QueueDiscipline = "priority"
    preempts: bool = False  # suspends repeatable jobs for jobs of a higher priority, and resumes them later
    initial_capacity: float = 1.0  # fraction of the capacity that is available at the start
    slow_start_ms: float = 0.0  # time until the full capacity is available
    overload_multiple: float = math.inf  # a load ratio above this stops a worker that is warming up ...
    overload_window_ms: float = 0.0  # ... if it lasts this long


class WorkerJob(NamedTuple):
    """One attempt as submitted to a worker."""

    attempt_key: str
    work_ms: float  # at speed 1
    slots: int = 1
    memory: float = 0.0
    priority: int = 0  # higher values run first
    is_repeatable: bool = True
    deadline_ms: float = math.inf  # a job that has not begun by then expires
    idempotency_key: str = ""  # repeats within the deduplication window are not run again
    deduplication_window_ms: float = 0.0
    will_fail: bool = False


class JobBegan(NamedTuple):
    """A job has begun to run."""

    attempt_key: str


class JobEnded(NamedTuple):
    """A job has ended with this result."""

    attempt_key: str
    result: JobResult


WorkerJobEvent = JobBegan | JobEnded


@dataclass(eq=False)
class AcceptedJob:
    """A job that is queued or running at the worker."""

    job: WorkerJob
    arrival_number: int  # in order of arrival
    remaining_work: float  # in ms at speed 1; valid while the job is queued
    ends_at_work: float = 0.0  # value of the work clock at the end; valid while the job runs
    has_begun: bool = False
    is_removed: bool = False  # its entry in running_jobs is obsolete


@dataclass
class WorkerWorkTotals:
    """The work of ended jobs by its fate, in ms at speed 1."""

    done: float = 0.0
    wasted: float = 0.0  # on jobs that did not succeed
    withdrawn: float = 0.0  # never processed, as the job was cancelled, expired or lost before


@dataclass
class SimulatedWorker:
    """One worker in one incarnation, from its start on. Work is in ms at speed 1."""

    spec: WorkerSpec
    started_at_ms: float = 0.0
    now_ms: float = 0.0
    work_clock: float = 0.0  # work done on a job that has run since the start of the worker
    speed_factor: float = 1.0  # fraction of the speed that other users of the host leave
    is_silent: bool = False  # runs jobs without reporting that they began or ended
    fails_fast: bool = False  # fails every new job at once
    is_draining: bool = False
    is_down: bool = False
    work_totals: WorkerWorkTotals = field(default_factory=WorkerWorkTotals)
    accepted_jobs: dict[str, AcceptedJob] = field(default_factory=dict)
    #: Heap of (ends_at_work, arrival_number, job).
    running_jobs: list[tuple[float, int, AcceptedJob]] = field(default_factory=list)
    queued_jobs: list[AcceptedJob] = field(default_factory=list)  # in the order in which they are tried
    deduplicated_until: dict[str, float] = field(default_factory=dict)  # ms, by idempotency key
    overloaded_since_ms: float | None = None
    arrival_count: int = 0
    slots_in_use: int = 0
    processed_work: float = 0.0  # all work done by the worker, computed from its rate alone
    memory_in_use: float = 0.0

    def capacity_fraction(self) -> float:
        """Returns the available fraction of the capacity.

        It grows linearly from `initial_capacity` to 1 over `slow_start_ms`, in steps of WARM_UP_STEP_MS.
        """
        spec = self.spec
        if spec.slow_start_ms <= 0:
            return 1.0
        age_ms = max(0.0, self.now_ms - self.started_at_ms)
        stepped_age_ms = math.floor(age_ms / WARM_UP_STEP_MS + 1e-9) * WARM_UP_STEP_MS
        return min(
            1.0, spec.initial_capacity + (1.0 - spec.initial_capacity) * stepped_age_ms / spec.slow_start_ms
        )

    def work_rate(self) -> float:
        """Returns the work done on each running job in one ms; the cores are shared evenly by slot."""
        core_share = min(1.0, self.spec.cores / self.slots_in_use) if self.slots_in_use else 1.0
        return self.spec.speed * self.capacity_fraction() * self.speed_factor * core_share

    def load_ratio(self) -> float:
        """Returns the slots of all accepted jobs, divided by the slots that are available at present."""
        requested_slots = sum(each.job.slots for each in self.accepted_jobs.values())
        return requested_slots / (self.spec.slots * self.capacity_fraction())

    def submit_job(self, now_ms: float, job: WorkerJob) -> list[WorkerJobEvent]:
        """Submits an attempt. Returns the events up to now and those of the submission."""
        events = self.advance_to(now_ms)
        assert job.attempt_key not in self.accepted_jobs
        assert job.slots >= 1
        assert job.work_ms >= 0
        if self.is_down:
            return events
        if self.is_draining or job.slots > self.spec.slots or job.memory > self.spec.memory:
            return [*events, JobEnded(job.attempt_key, "full")]
        if self.fails_fast:
            return [*events, JobEnded(job.attempt_key, "error")]
        if job.idempotency_key and self.deduplicated_until.get(job.idempotency_key, -math.inf) > now_ms:
            # A repeat within the deduplication window succeeds without being run again.
            return [*events, JobBegan(job.attempt_key), JobEnded(job.attempt_key, "ok")]
        if len(self.queued_jobs) >= self.spec.queue_length and not self._fits(job):
            return [*events, JobEnded(job.attempt_key, "full")]
        self.arrival_count += 1
        accepted = self.accepted_jobs[job.attempt_key] = AcceptedJob(job, self.arrival_count, job.work_ms)
        self.queued_jobs.append(accepted)
        return events + self._start_queued_jobs()

    def cancel_job(self, now_ms: float, attempt_key: str) -> list[WorkerJobEvent]:
        """Cancels an attempt; the work done on it so far counts as wasted."""
        events = self.advance_to(now_ms)
        accepted = self.accepted_jobs.get(attempt_key)
        if accepted is None or self.is_down:
            return events
        self._remove_job(accepted, "cancelled")
        return [*events, JobEnded(attempt_key, "cancelled"), *self._start_queued_jobs()]

    def advance_to(self, now_ms: float) -> list[WorkerJobEvent]:
        """Advances the worker to this time and returns the events until then, in order."""
        assert now_ms >= self.now_ms, (now_ms, self.now_ms)
        events: list[WorkerJobEvent] = []
        while (
            not self.is_down and (event_at_ms := self.next_event_ms()) is not None and event_at_ms <= now_ms
        ):
            self._process_until(event_at_ms)
            events += self._finish_due_jobs()
        if not self.is_down:
            self._process_until(now_ms)
            events += self._finish_due_jobs()
        self.now_ms = now_ms
        return events

    def next_event_ms(self) -> float | None:
        """Returns when the worker's next event is due without further submissions, or None if none is."""
        if self.is_down:
            return None
        due_times_ms = []
        if self.running_jobs and self.work_rate() > 0:
            due_times_ms.append(
                self.now_ms + max(0.0, self.running_jobs[0][0] - self.work_clock) / self.work_rate()
            )
        if self.spec.slow_start_ms > 0 and self.capacity_fraction() < 1.0 and self.accepted_jobs:
            steps = math.floor((self.now_ms - self.started_at_ms) / WARM_UP_STEP_MS + 1e-9) + 1
            due_times_ms.append(self.started_at_ms + steps * WARM_UP_STEP_MS)
        if self.overloaded_since_ms is not None:
            due_times_ms.append(self.overloaded_since_ms + self.spec.overload_window_ms)
        due_times_ms += [
            each.job.deadline_ms
            for each in self.queued_jobs
            if each.job.deadline_ms < math.inf and not each.has_begun
        ]
        return max(self.now_ms, min(due_times_ms)) if due_times_ms else None

    def lost_attempts(self) -> list[str]:
        """Returns the accepted attempts that get no further event if the worker is down."""
        return list(self.accepted_jobs) if self.is_down else []

    def crash(self, now_ms: float) -> list[WorkerJobEvent]:
        """Stops the worker and loses its jobs; returns the events before that."""
        events = self.advance_to(now_ms)
        self._go_down()
        return events

    def remaining_work(self) -> float:
        """Returns the work still to be done on accepted jobs."""
        return (
            0.0
            if self.is_down
            else sum(self._remaining_work_of(each) for each in self.accepted_jobs.values())
        )

    def unfinished_processed_work(self) -> float:
        """Returns the work done so far on accepted jobs."""
        return (
            0.0
            if self.is_down
            else sum(each.job.work_ms - self._remaining_work_of(each) for each in self.accepted_jobs.values())
        )

    def load_report(self) -> dict[str, float]:
        """Returns the fields of a load report by name."""
        return {
            "inflight": float(len(self.accepted_jobs) - len(self.queued_jobs)),
            "queue": float(len(self.queued_jobs)),
            "free_slots": float(self.spec.slots - self.slots_in_use),
            "free_memory": self.spec.memory - self.memory_in_use,
        }

    def _process_until(self, now_ms: float) -> None:
        """Processes the running jobs until this time, at the rate of the current time."""
        work_per_job = self.work_rate() * (now_ms - self.now_ms)
        self.work_clock += work_per_job
        self.processed_work += work_per_job * (len(self.accepted_jobs) - len(self.queued_jobs))
        self.now_ms = now_ms

    def _finish_due_jobs(self) -> list[WorkerJobEvent]:
        """Ends the jobs that are finished or expired by now; returns the events."""
        events: list[WorkerJobEvent] = []
        while self.running_jobs and (
            self.running_jobs[0][2].is_removed
            or self.running_jobs[0][0] <= self.work_clock + TIME_TOLERANCE_MS
        ):
            accepted = self.running_jobs[0][2]
            if accepted.is_removed:
                heapq.heappop(self.running_jobs)
                continue
            result: JobResult = "error" if accepted.job.will_fail else "ok"
            self._remove_job(accepted, result)
            if not self.is_silent:
                events.append(JobEnded(accepted.job.attempt_key, result))
            events += self._start_queued_jobs()
        for accepted in [
            each for each in self.queued_jobs if each.job.deadline_ms <= self.now_ms and not each.has_begun
        ]:
            self._remove_job(accepted, "expired")
            events.append(JobEnded(accepted.job.attempt_key, "expired"))
        self._check_overload()
        return events

    def _check_overload(self) -> None:
        """Stops a worker that is warming up and has been overloaded for `overload_window_ms`."""
        spec = self.spec
        if self.capacity_fraction() >= 1.0 or self.load_ratio() <= spec.overload_multiple:
            self.overloaded_since_ms = None
        elif self.overloaded_since_ms is None:
            self.overloaded_since_ms = self.now_ms
        elif self.now_ms - self.overloaded_since_ms >= spec.overload_window_ms - TIME_TOLERANCE_MS:
            self._go_down()

    def _go_down(self) -> None:
        """Takes the worker down and accounts for the work of the jobs that are lost."""
        for accepted in self.accepted_jobs.values():
            self.work_totals.wasted += accepted.job.work_ms - self._remaining_work_of(accepted)
            self.work_totals.withdrawn += self._remaining_work_of(accepted)
        self.is_down, self.overloaded_since_ms = True, None

    def _remaining_work_of(self, accepted: AcceptedJob) -> float:
        return (
            accepted.remaining_work
            if accepted in self.queued_jobs
            else max(0.0, accepted.ends_at_work - self.work_clock)
        )

    def _remove_job(self, accepted: AcceptedJob, result: JobResult) -> None:
        """Removes a job that ends with `result` and accounts for its work."""
        remaining = self._remaining_work_of(accepted)
        processed = accepted.job.work_ms - remaining
        if accepted in self.queued_jobs:
            self.queued_jobs.remove(accepted)
        else:
            accepted.is_removed = True
            self.slots_in_use -= accepted.job.slots
            self.memory_in_use -= accepted.job.memory
        del self.accepted_jobs[accepted.job.attempt_key]
        if result == "ok":
            self.work_totals.done += processed
            if accepted.job.idempotency_key and accepted.job.deduplication_window_ms > 0:
                self.deduplicated_until[accepted.job.idempotency_key] = (
                    self.now_ms + accepted.job.deduplication_window_ms
                )
                self._expire_deduplication()
        else:
            self.work_totals.wasted += processed
            self.work_totals.withdrawn += remaining

    def _expire_deduplication(self) -> None:
        """Removes expired deduplication windows whenever their number is a multiple of 1024."""
        if len(self.deduplicated_until) % 1024 == 0:
            self.deduplicated_until = {
                key: until_ms for key, until_ms in self.deduplicated_until.items() if until_ms > self.now_ms
            }

    def _fits(self, job: WorkerJob) -> bool:
        """Returns whether the free slots and memory suffice for a job."""
        return (
            self.slots_in_use + job.slots <= self.spec.slots
            and self.memory_in_use + job.memory <= self.spec.memory
        )

    def _start_queued_jobs(self) -> list[WorkerJobEvent]:
        """Starts the queued jobs that fit, in the order of the queue discipline; returns the events."""
        events: list[WorkerJobEvent] = []
        if self.spec.queue_discipline == "priority":
            self.queued_jobs.sort(key=lambda each: (-each.job.priority, each.arrival_number))
        index = 0
        while index < len(self.queued_jobs):
            accepted = self.queued_jobs[index]
            if not self._fits(accepted.job) and not self._preempt_for(accepted.job):
                if self.spec.queue_discipline == "backfill":
                    index += 1
                    continue
                break
            self.queued_jobs.remove(accepted)
            self.slots_in_use += accepted.job.slots
            self.memory_in_use += accepted.job.memory
            accepted.ends_at_work = self.work_clock + accepted.remaining_work
            heapq.heappush(self.running_jobs, (accepted.ends_at_work, accepted.arrival_number, accepted))
            if not accepted.has_begun:
                accepted.has_begun = True
                if not self.is_silent:
                    events.append(JobBegan(accepted.job.attempt_key))
            index = 0 if self.spec.queue_discipline == "backfill" else index
        self._check_overload()
        return events

    def _preempt_for(self, job: WorkerJob) -> bool:
        """Suspends repeatable running jobs of lower priority, the latest first, until a job fits.

        Returns whether the job fits then; if it does not, no job is suspended.
        """
        if not self.spec.preempts:
            return False
        candidates = sorted(
            (
                each
                for _, _, each in self.running_jobs
                if not each.is_removed and each.job.is_repeatable and each.job.priority < job.priority
            ),
            key=lambda each: -each.arrival_number,
        )
        chosen: list[AcceptedJob] = []
        slots, memory = self.slots_in_use, self.memory_in_use
        for each in candidates:
            if slots + job.slots <= self.spec.slots and memory + job.memory <= self.spec.memory:
                break
            chosen.append(each)
            slots, memory = slots - each.job.slots, memory - each.job.memory
        if slots + job.slots > self.spec.slots or memory + job.memory > self.spec.memory:
            return False
        for each in chosen:
            each.remaining_work = max(0.0, each.ends_at_work - self.work_clock)
            self.running_jobs = [entry for entry in self.running_jobs if entry[2] is not each]
            heapq.heapify(self.running_jobs)
            self.slots_in_use -= each.job.slots
            self.memory_in_use -= each.job.memory
            self.queued_jobs.append(each)
        if self.spec.queue_discipline == "priority":
            self.queued_jobs.sort(key=lambda each: (-each.job.priority, each.arrival_number))
        return True
