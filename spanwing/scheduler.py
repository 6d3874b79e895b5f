"""The decision module: every decision of one scheduler. Its types are in spanwing/interface.py.

An arriving request is sent at once if its tenant has tokens and a worker has room (`_place`). Otherwise it is
queued and sent by `_dispatch_queued` as soon as a worker has room, the tenant of the lowest ratio of spent to
earned tokens first. The same events give the same actions: the only randomness is a seeded generator.
"""

from __future__ import annotations

import math
import random
from bisect import bisect
from collections import deque
from collections.abc import Callable
from itertools import islice

from spanwing import interface as api
from spanwing.scheduler_state import (
    FOREIGN_LOAD_DECAY_MS,
    OBSERVATION_FRESH_MS,
    Attempt,
    Job,
    TimerQueue,
    TokenAccount,
    WorkerState,
    stable_hash,
)

ASSUMED_SLOTS = 4.0  # of a worker until its slots are reported or learned
# Less estimated foreign load than this counts as none at a worker with a concurrency limit.
NEGLIGIBLE_FOREIGN_SLOTS = 0.4
# Part of a warming worker's budget that is used; the rest is left for jobs longer than the mean.
WARM_UP_BUDGET_FRACTION = 0.6
QUEUE_POLL_MS = 20.0  # interval at which idle slots are looked for while jobs are queued
# Each ejection in a row doubles the time. A raised capacity is kept for the first of these times, a lowered
# one for the last.
FIRST_EJECTION_MS, MAX_EJECTION_MS = 1000.0, 8000.0
# Probes are priced per request, so each arrival earns its own.
PROBES_PER_ARRIVAL, MAX_PROBES_PER_JOB = 1.0, 2
# A worker that reports acceptance does so at once; its pauses are shorter than this.
ACCEPTANCE_TIMEOUT_MS = 500.0
MISSED_PROGRESS_INTERVALS = 1.5  # without a report, after which a job counts as lost
MAX_SCANNED_WORKERS = 24  # in the search for one job's worker
MAX_LOG_LINES = 60  # on ejections, in the life of a scheduler
# Sticky keys decide the load of all workers from this share of arrivals on, a moving average with this gain.
STICKY_SHARE_THRESHOLD, STICKY_SHARE_GAIN = 0.2, 0.02


class Scheduler:
    """One scheduler of the fleet: handles events and returns actions, without I/O.

    It shares no state with other schedulers. `now`: ms by the caller's clock.
    """

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        self.settings, self.now, self.started_ms, self.rng = settings, now, now, random.Random(seed)
        self.actions: list[api.Action] = []  # of the event being handled
        self.class_indexes = {each.name: i for i, each in enumerate(settings.classes)}
        tenants = settings.tenants or (api.Tenant("", 1.0),)
        self.token_accounts: dict[str | None, TokenAccount] = {
            each.name: TokenAccount(each.quota_per_s / settings.node_count, now, len(self.class_indexes))
            for each in tenants
        }
        self.token_accounts[None] = TokenAccount(0.0, now, len(self.class_indexes))  # of unlisted tenants
        # Healthy workers: assigned to this scheduler, and to others in its own zone and in other zones.
        self.owned_workers: list[WorkerState] = []
        self.same_zone_workers: list[WorkerState] = []
        self.remote_workers: list[WorkerState] = []
        self.foreign_workers: list[WorkerState] = []  # of the same zone and remote
        self.fed_workers: list[WorkerState] = []  # foreign workers that warm up and are fed from here
        # A warming worker has several feeders, so that it gets jobs whichever of them are down: one for each
        # slot that it may have, as long as each feeder's share of its budget covers a job. Feeders follow
        # from the worker's id alone, so that a stale endpoint list cannot add any.
        jobs = (
            WARM_UP_BUDGET_FRACTION
            * settings.overload_multiple
            * settings.slow_start_initial_fraction
            * ASSUMED_SLOTS
            * settings.overload_window_ms
            / (2.0 * sum(each.latency_objective_ms for each in settings.classes) / len(settings.classes))
        )
        self.feeder_count = max(1, min(settings.node_count, int(ASSUMED_SLOTS), int(jobs)))
        self.worker_states: dict[int, WorkerState] = {}  # by worker id
        self.assigned_kinds: dict[WorkerState, str] = {}  # kinds of the workers, as last assigned
        self.assignment_order: list[WorkerState] = []  # the same workers, in the order of assignment
        self.slots_by_kind: dict[str, float] = {}  # as last reported
        self.hash_ring: list[tuple[int, int]] = []  # (hash, worker id); empty until a sticky key needs it
        self.jobs: dict[str, Job] = {}  # unanswered, by request id
        self.open_attempts: dict[tuple[str, int], Attempt] = {}  # by request id and attempt number
        self.late_jobs: deque[Job] = deque()  # tried after the queues of the tenants
        self.over_quota_jobs: deque[Job] = deque()  # tried after the late jobs
        self.queued_count, self.is_queue_poll_set, self.log_line_count = 0, False, 0
        # Consulted before the usual placement; set by zones/trial_requests.py.
        self.placement_override: Callable[[Job], WorkerState | None] | None = None
        self.mean_service_ms = [2.0 * each.latency_objective_ms for each in settings.classes]  # by class
        self.start_delay_by_zone = {  # ms from sending to the start at an idle worker
            zone: 10.0 if zone == settings.zone else 60.0 for zone in (*settings.zones, "")
        }
        # Moving averages: share of slots in use at the observed workers, share of arrivals with a sticky key.
        self.fleet_utilization, self.sticky_share = 0.5, 0.0
        self.can_probe_slots = settings.probes and "free_slots" in settings.report_fields
        self.probe_budget = 1.0  # probes that may be sent now
        self.recently_probed: list[WorkerState] = []  # foreign workers with a fresh observation
        # Whether the host reports acceptance; whether warming workers may be fed from here.
        self.acceptance_reported, self.is_feeding_enabled = False, True
        self.has_safe_class = any(each.idempotency == "safe" for each in settings.classes)
        self.excused_until_ms = -math.inf  # until then workers' reports may lie unread in the host
        self.timers = TimerQueue(settings.tick_ms)
        if settings.subscribe:
            self.timers.call_at(now + self.rng.uniform(0, 1000.0), lambda: self.actions.append(api.Watch()))

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Handles one event and the timers that are due; returns the actions in order."""
        self.now, self.actions = now, []
        HANDLERS.get(type(event), lambda *_: None)(self, event)
        self.timers.run_due(now)
        return self.actions + self.timers.next_timer(now)

    # -- workers

    def _on_worker_list(self, event: api.WorkerList) -> None:
        if event.scope == "error":
            # Discovery is one small service. Schedulers whose calls failed together must not return together.
            when = self.now + self.rng.uniform(500.0, 4000.0)
            self.timers.call_at(when, lambda: self.actions.append(api.Watch()))
            return
        changed, listed_ids = False, {entry.id for entry in event.workers}
        for worker in self.worker_states.values() if event.scope != "partial" else ():
            if worker.entry.id not in listed_ids:
                worker.entry, changed = worker.entry._replace(state="gone"), True
        for entry in event.workers:
            worker = self.worker_states.get(entry.id)
            if worker is None:
                changed, slots = True, self.slots_by_kind.get(entry.kind, ASSUMED_SLOTS)
                worker = self.worker_states[entry.id] = WorkerState(entry, 0.0, slots)
            elif worker.entry == entry and entry.feeder_share is None and not self.settings.live_weights:
                continue
            changed |= worker.entry._replace(weight=entry.weight) != entry
            if entry.feeder_share is not None:
                worker.feeder_share, worker.is_feeder_known = entry.feeder_share, True
            elif entry.started > 0 and not worker.is_feeder_known:  # only workers that warm up have feeders
                worker.feeder_share, worker.is_feeder_known = self.is_feeder(entry.id), True
            if entry.started > worker.entry.started:  # restarted: earlier faults and load are void
                (
                    worker.ejected_until_ms,
                    worker.ejection_count,
                    worker.concurrency_limit,
                    worker.foreign_slots,
                ) = 0.0, 0, math.inf, 0.0
            worker.entry, worker.max_weight = entry, max(worker.max_weight, entry.weight)
            if self.settings.live_weights and entry.weight > 0:
                self._observe_load(worker, (worker.max_weight / entry.weight - 1.0) * worker.estimated_slots)
        if changed:
            self.assign_workers()
        self._dispatch_queued()

    def is_feeder(self, worker_id: int) -> bool:
        """Returns whether this scheduler is one of the worker's feeders: those with the largest hashes."""
        own = stable_hash(worker_id, self.settings.node_index), -self.settings.node_index
        larger = (
            node for node in range(self.settings.node_count) if (stable_hash(worker_id, node), -node) > own
        )
        return self.is_feeding_enabled and len(list(islice(larger, self.feeder_count))) < self.feeder_count

    def assign_workers(self) -> None:
        """Assigns the workers to the schedulers evenly; a change of the list moves few of them.

        A scheduler knows the load of its owned workers from its own reserved slots. Each scheduler computes
        the same assignment from the same list. Also drops the state of workers that are gone and idle.
        """
        self.worker_states = {
            worker_id: worker
            for worker_id, worker in self.worker_states.items()
            if worker.entry.state != "gone" or worker.reserved_slots
        }
        self.owned_workers, self.same_zone_workers, self.remote_workers = [], [], []
        kinds = {worker: worker.entry.kind for worker in self.worker_states.values()}
        if kinds != self.assigned_kinds:  # otherwise the assignment stays
            self.assigned_kinds, self.assignment_order = kinds, sorted(kinds, key=WorkerState.assignment_key)
            node_count, loads = self.settings.node_count, [0] * self.settings.node_count
            for rank, worker in enumerate(self.assignment_order):
                index, max_load = 0, rank // node_count + 1
                while loads[node := worker.candidate_node(index, node_count)] >= max_load:
                    index += 1
                loads[node] += 1
                worker.is_owned = node == self.settings.node_index
        for worker in self.assignment_order:
            if worker.entry.state == "healthy":
                is_same_zone = worker.entry.zone == self.settings.zone
                (
                    self.owned_workers
                    if worker.is_owned
                    else self.same_zone_workers
                    if is_same_zone
                    else self.remote_workers
                ).append(worker)
        self.foreign_workers = self.same_zone_workers + self.remote_workers
        self.fed_workers = [
            worker for worker in self.foreign_workers if worker.feeder_share and worker.entry.started > 0
        ]
        self.hash_ring = []  # costly, and few schedulers need it: rebuilt for the next sticky key

    def _observe_load(self, worker: WorkerState, inflight: float) -> None:
        """Records how many slots are in use at a worker, there and in the fleet's utilization."""
        worker.observe_load(inflight, self.now)
        self.fleet_utilization += 0.01 * (
            min(1.0, inflight / max(worker.estimated_slots, 1.0)) - self.fleet_utilization
        )

    def _apply_report(self, worker: WorkerState, report: tuple[float, ...] | None) -> None:
        """Updates a worker's slots and load from a load report, as far as its fields allow."""
        fields = dict(zip(self.settings.report_fields, report or (), strict=False))
        inflight, queue, free = fields.get("inflight"), fields.get("queue", 0.0), fields.get("free_slots")
        kind = worker.entry.kind
        if free is not None and inflight is not None:
            worker.estimated_slots += (0.3 if worker.slots_reported else 1.0) * (
                inflight - queue + free - worker.estimated_slots
            )
            worker.slots_reported, self.slots_by_kind[kind] = True, worker.estimated_slots
        elif free is not None:  # an idle worker reports all slots of its kind as free: the maximum counts
            self.slots_by_kind[kind] = max(self.slots_by_kind.get(kind, 1.0), float(round(free)))
            worker.estimated_slots, worker.slots_reported = self.slots_by_kind[kind], True
            inflight = max(0.0, worker.estimated_slots - free) + queue
        if inflight is not None:
            self._observe_load(worker, inflight)

    # -- requests and their queues

    def _on_request(self, request: api.Request) -> None:
        index = self.class_indexes.get(request.class_name, 0)
        job = self.jobs[request.id] = Job(request, self.settings.classes[index], index, self.now)
        account = self._account_of(job)
        account.refill(self.now)
        self.sticky_share += STICKY_SHARE_GAIN * ((request.sticky_key is not None) - self.sticky_share)
        self.probe_budget = min(self.probe_budget + PROBES_PER_ARRIVAL, 10.0)
        job.is_over_quota = self.settings.over_quota_weight < 1.0 and not account.count_arrival()
        self.timers.call_at(request.deadline, self._finish_unserved, job)
        worker = self._place(job) if account.earned - account.spent > 0 else None
        if worker is not None:
            self._send(job, worker)
        else:
            self._enqueue(job)
            self._dispatch_queued()
            if job.is_queued:
                self._probe_idle_slots(job)

    def _probe_idle_slots(self, job: Job) -> None:
        """Probes workers that may run the job: owned ones without a fresh observation, and some foreign ones.

        Owned workers with room are probed for a non-idempotent job, which cannot be cancelled once queued
        there and so waits for an observed idle slot (see _find_worker).
        """
        if not self.can_probe_slots or job.request.sticky_key is not None or job.request.id not in self.jobs:
            return
        remaining = min(MAX_PROBES_PER_JOB, int(self.probe_budget))
        sampled = (
            self.rng.sample(self.foreign_workers, min(len(self.foreign_workers), 4 * MAX_PROBES_PER_JOB))
            if remaining
            else []
        )
        for worker in [
            each for each in self.owned_workers + self.fed_workers if self._has_room(each, job)
        ] + sampled:
            if (
                remaining > 0
                and self.now - max(worker.last_observed_ms, worker.last_probed_ms) > OBSERVATION_FRESH_MS
                and self._may_use(worker, job)
            ):
                worker.last_probed_ms, remaining, self.probe_budget = (
                    self.now,
                    remaining - 1,
                    self.probe_budget - 1.0,
                )
                self.actions.append(api.Probe(worker.entry.id))

    def _on_probe_result(self, event: api.ProbeResult) -> None:
        worker = self.worker_states.get(event.worker)
        if worker is not None and event.result == "ok":
            # -inf: a probed load replaces the estimate, it is not averaged with it.
            worker.last_heard_ms, worker.last_observed_ms = self.now, -math.inf
            self._apply_report(worker, event.report)
            worker.last_observed_ms = self.now
            self.recently_probed = [
                each for each in self.recently_probed if each.is_fresh(self.now) and each is not worker
            ]
            self.recently_probed += [] if worker.is_owned else [worker]
            self._dispatch_queued()

    def _account_of(self, job: Job) -> TokenAccount:
        return self.token_accounts.get(job.request.tenant or "", self.token_accounts[None])

    def _enqueue(self, job: Job) -> None:
        if not self.is_queue_poll_set:
            self.is_queue_poll_set = True
            self.timers.call_at(self.now + QUEUE_POLL_MS, self._poll_queues)
        self.queued_count, job.is_queued = self.queued_count + 1, True
        # In order of arrival an overloaded queue serves every job just too late. A job that has waited for
        # its whole latency objective makes way for those that can still be in time.
        late_ms = job.arrived_ms + job.service_class.latency_objective_ms
        if job.is_late or late_ms <= self.now:
            self._pass_objective(job)
        else:
            (
                self.over_quota_jobs if job.is_over_quota else self._account_of(job).queues[job.class_index]
            ).append(job)
            self.timers.call_at(late_ms, self._pass_objective, job)

    def _poll_queues(self) -> None:
        """Looks for idle slots for the queued jobs, every QUEUE_POLL_MS while there are any."""
        self._dispatch_queued()
        for queue in [queue for account in self.token_accounts.values() for queue in account.queues if queue]:
            self._probe_idle_slots(queue[0])
        self.is_queue_poll_set = self.queued_count > 0
        if self.is_queue_poll_set:
            self.timers.call_at(self.now + QUEUE_POLL_MS, self._poll_queues)

    def _pass_objective(self, job: Job) -> None:
        """Rejects a queued job that can hardly be in time any more.

        A job that may not be rejected, or whose late answer has a weight and is within quota, is queued
        again behind the jobs within quota that may still be in time.
        """
        job.is_late |= job.is_queued
        if (
            job.is_queued
            and (job.service_class.late_weight <= 0 or job.is_over_quota)
            and self._may_reject(job)
        ):
            self._finish(job, api.Reject(job.request.id, self._retry_after(job)))
        elif job.is_queued:
            self.late_jobs.append(job)

    def _dispatch_queued(self) -> None:
        """Sends queued jobs while a worker has room, the tenant of the lowest spent ratio first."""
        while self.queued_count and (found := self._next_queued()):
            self._send(*found)

    def _retry_after(self, job: Job) -> float:
        """Returns in how many ms the client should retry; 0: no advice.

        That is when the tenant's burst allowance covers a request again, or at the next tick for a job within
        the quota.
        """
        account, wait_ms = self._account_of(job), self.settings.tick_ms
        if job.is_over_quota:
            wait_ms = max(wait_ms, (1.0 - account.burst_allowance) * 1000.0 / max(account.quota_per_s, 0.001))
        return min(wait_ms, self.settings.max_retry_after)

    def _dequeue(self, job: Job) -> None:
        """Marks a job as no longer queued; its queue drops it when it reaches the head."""
        self.queued_count, job.is_queued = self.queued_count - job.is_queued, False

    def _next_queued(self) -> tuple[Job, WorkerState] | None:
        """Returns the next job to send with its worker; None: no head of a queue can be placed.

        Order of the queues: tenants by spent ratio, each with its classes by urgency; then the late jobs,
        then those over quota.
        """
        queues: list[deque[Job]] = []
        ratios: list[tuple[float, TokenAccount]] = []
        failed: list[tuple[int, float, str | None]] = []  # slots, memory and kind that found no worker
        for account in self.token_accounts.values():
            for queue in account.queues:
                while queue and (not queue[0].is_queued or queue[0].is_late):
                    queue.popleft()
            if any(account.queues):
                account.refill(self.now)
                ratios.append((account.spent_ratio(), account))
        for _, account in sorted(ratios, key=lambda each: each[0]):
            queues += sorted(filter(None, account.queues), key=lambda queue: -self._urgency(queue[0]))
        for queue in (*queues, self.late_jobs, self.over_quota_jobs):
            while queue and not queue[0].is_queued:
                queue.popleft()
            # A job at least as large as one that found no worker is not tried, so a full fleet is searched
            # once per kind rather than once per queue.
            job = queue[0] if queue else None
            if job and not any(
                job.request.slots >= slots and job.request.memory >= memory and job.service_class.kind == kind
                for slots, memory, kind in failed
            ):
                worker = self._place(job)
                if worker is not None:
                    return job, worker
                if not job.attempts:
                    failed.append((job.request.slots, job.request.memory, job.service_class.kind))
        return None

    def _urgency(self, job: Job) -> float:
        """Returns the job's priority weight per ms of work, times the chance that it is still in time."""
        slack = (
            max(0.0, job.service_class.objective_stretch - 1.0) * self.mean_service_ms[job.class_index] + 1.0
        )
        chance = math.exp(
            -max(0.0, self.now - job.arrived_ms - job.service_class.latency_objective_ms) / slack
        )
        return (
            job.service_class.priority_weight
            * chance
            / (self.mean_service_ms[job.class_index] * job.request.slots + 1.0)
        )

    # -- placement

    def places_by_key(self) -> bool:
        """Returns whether sticky keys decide where most of the load goes, rather than ownership."""
        return self.sticky_share >= STICKY_SHARE_THRESHOLD

    def _idle_slots(self, worker: WorkerState) -> float:
        """Returns the estimated idle slots: the worker's slots less own and foreign load.

        The observed foreign load decays towards its expected value. That is 0 at a warming worker fed from
        here, and at an owned worker unless sticky keys decide placement; else the fleet's mean utilization.
        """
        is_exclusive = (worker.is_owned and not self.places_by_key()) or (
            worker.feeder_share and self._is_warming_up(worker)
        )
        expected = 0.0 if is_exclusive else self.fleet_utilization * worker.estimated_slots
        foreign_slots = expected + (worker.foreign_slots - expected) * math.exp(
            (worker.last_observed_ms - self.now) / FOREIGN_LOAD_DECAY_MS
        )
        if worker.concurrency_limit < worker.estimated_slots and foreign_slots < NEGLIGIBLE_FOREIGN_SLOTS:
            # The estimate never decays to 0. With the limit of 1 after an ejection no slot would be free.
            foreign_slots = 0.0
        return min(worker.estimated_slots, worker.concurrency_limit) - worker.reserved_slots - foreign_slots

    def _may_use(self, worker: WorkerState, job: Job) -> bool:
        """Returns whether the job may go to this worker, whatever the worker's load."""
        entry, kind = worker.entry, job.service_class.kind
        if entry.state != "healthy" or self.now < worker.ejected_until_ms or kind not in (None, entry.kind):
            return False
        if job.attempts and not self._may_repeat_at(worker, job):
            return False
        return self._warm_up_allows(worker, job)

    def _may_repeat_at(self, worker: WorkerState, job: Job) -> bool:
        """Returns whether the job's earlier attempts allow another one at this worker."""
        cls, entry = job.service_class, worker.entry
        for each in job.attempts:
            # Compared by id: a worker that has left the list and come back has a new state.
            is_same_worker = each.worker.entry.id == entry.id
            if is_same_worker and each.excludes_worker:
                return False
            if not each.never_ran and (
                cls.idempotency == "unsafe"
                or is_same_worker
                or (cls.idempotency == "keyed" and not self._deduplicates(each, cls, entry))
            ):
                return False
        return True

    def _deduplicates(self, attempt: Attempt, cls: api.ServiceClass, entry: api.Worker) -> bool:
        """Returns whether a worker still drops a keyed job that the attempt may have run already."""
        first = attempt.worker.entry
        return self.now < attempt.forwarded_ms + cls.deduplication_window_ms - self.settings.tick_ms and (
            cls.repeat_group == "all"
            or (first.zone == entry.zone and (cls.repeat_group == "zone" or first.cell == entry.cell))
        )

    def _warm_up_allows(self, worker: WorkerState, job: Job) -> bool:
        """Returns whether the job fits this scheduler's share of a warming worker's budget and slots.

        Only feeders send to a worker that warms up. True at any other worker.
        """
        settings, age_ms = self.settings, self.now - worker.entry.started
        if not self._is_warming_up(worker) or not worker.feeder_share:
            return not self._is_warming_up(worker)
        share = (
            (
                settings.slow_start_initial_fraction
                + (1.0 - settings.slow_start_initial_fraction) * max(0.0, age_ms) / settings.slow_start_ms
            )
            * worker.feeder_share
            / self.feeder_count
        )
        if (
            worker.entry.started < self.started_ms
            and self.now < self.started_ms + settings.overload_window_ms
        ):
            share /= 2.0  # this scheduler may have used its whole share just before it was restarted
        budget = (
            WARM_UP_BUDGET_FRACTION
            * settings.overload_multiple
            * share
            * worker.estimated_slots
            * settings.overload_window_ms
        )
        spent = sum(work for at, work in worker.recent_work if at > self.now - settings.overload_window_ms)
        spent += self.mean_service_ms[job.class_index] * job.request.slots
        return spent <= budget and worker.reserved_slots + job.request.slots <= math.ceil(
            worker.estimated_slots / self.feeder_count
        )

    def _is_warming_up(self, worker: WorkerState) -> bool:
        return worker.entry.started > 0 and self.now - worker.entry.started < self.settings.slow_start_ms

    def _has_room(self, worker: WorkerState, job: Job, extra_slots: float = 0.0) -> bool:
        """Returns whether the worker has room for the job; extra_slots: how many may be queued there."""
        if worker.reserved_slots + job.request.slots > min(
            worker.estimated_slots, worker.concurrency_limit
        ) or (
            self.settings.counts_memory
            and worker.reserved_slots
            and worker.reserved_memory + job.request.memory > worker.estimated_slots
        ):
            return False
        if (
            worker.concurrency_limit <= 1.0
            and self.has_safe_class
            and job.service_class.idempotency != "safe"
        ):
            return False  # after an ejection a worker first has to succeed on an idempotent job
        return self._idle_slots(worker) + extra_slots >= job.request.slots and self._may_use(worker, job)

    def _place(self, job: Job) -> WorkerState | None:
        """Returns the worker for the job's next attempt; None: no worker has room, or no attempt is left."""
        if len(job.attempts) >= self.settings.max_attempts or any(each.is_open for each in job.attempts):
            return None
        return (self.placement_override and self.placement_override(job)) or self._find_worker(job)

    def _find_worker(self, job: Job) -> WorkerState | None:
        """Returns a worker with room for the job, or None.

        A job with a sticky key goes to its key's workers. Otherwise the fastest of the owned and fed workers
        is taken, then the fastest foreign one whose probe found an idle slot. Where workers cannot be probed,
        the least loaded of a random sample of foreign workers is taken, the own zone first.
        """
        if job.request.sticky_key is not None:
            return self._find_sticky_worker(job)
        best: WorkerState | None = None
        self.fed_workers = [worker for worker in self.fed_workers if self._is_warming_up(worker)]
        # A non-idempotent job cannot be cancelled once it is queued at a worker. It goes only where an idle
        # slot was observed, unless no probe can be sent or the worker's probe went unanswered.
        own, needs_no_observation = (
            self.owned_workers + self.fed_workers,
            not self.can_probe_slots or job.service_class.idempotency != "unsafe" or self.probe_budget < 1.0,
        )
        for worker in own if len(own) <= MAX_SCANNED_WORKERS else self.rng.sample(own, MAX_SCANNED_WORKERS):
            is_known = (
                needs_no_observation
                or worker.is_fresh(self.now)
                or worker.last_observed_ms < worker.last_probed_ms < self.now - OBSERVATION_FRESH_MS
            )
            if (
                (best is None or worker.relative_service_time < best.relative_service_time)
                and is_known
                and self._has_room(worker, job)
            ):
                best = worker
        for worker in self.recently_probed if best is None else ():
            if (
                (best is None or worker.relative_service_time < best.relative_service_time)
                and worker.is_fresh(self.now)
                and self._has_room(worker, job)
            ):
                best = worker
        for group in (self.same_zone_workers, self.remote_workers) if not self.can_probe_slots else ():
            for worker in [self.rng.choice(group) for _ in range(4)] if best is None and group else ():
                if self._has_room(worker, job) and (
                    best is None or self._idle_slots(worker) > self._idle_slots(best)
                ):
                    best = worker
        return best

    def _find_sticky_worker(self, job: Job) -> WorkerState | None:
        """Returns the first worker with room on the hash ring, from the job's sticky key on, or None."""
        if not self.hash_ring:  # 16 points per unit of weight, at most 128 per worker
            self.hash_ring = sorted(
                (stable_hash(worker.entry.id, 7919, i), worker.entry.id)
                for worker in self.worker_states.values()
                if worker.entry.state == "healthy"
                for i in range(math.ceil(16 * min(worker.max_weight, 8.0)))
            )
        # All schedulers send a key to the same workers, so each may use its share of the slots there, at
        # least one.
        max_reserved = max(1.0, 1.25 * ASSUMED_SLOTS / self.settings.node_count)
        start, tried_ids = bisect(self.hash_ring, (stable_hash(*job.request.sticky_key.encode()), 0)), set()
        for i in range(min(len(self.hash_ring), MAX_SCANNED_WORKERS)):
            worker_id = self.hash_ring[(start + i) % len(self.hash_ring)][1]
            worker = self.worker_states[worker_id]
            # A short queue there costs less than fetching the key's data at another worker.
            if (
                worker_id not in tried_ids
                and worker.reserved_slots < max_reserved
                and self._has_room(worker, job, worker.estimated_slots)
            ):
                return worker
            tried_ids.add(worker_id)
        return None

    # -- attempts

    def _send(self, job: Job, worker: WorkerState) -> None:
        """Sends the job's next attempt and sets the timers that detect a worker which hangs or queues it."""
        self._dequeue(job)
        number = len(job.attempts)
        attempt = Attempt(job, worker, self.now)
        job.attempts.append(attempt)
        self.open_attempts[job.request.id, number] = attempt
        if number == 0:
            self._account_of(job).spent += 1.0
        worker.reserved_slots += job.request.slots
        worker.reserved_memory += job.request.memory
        worker.recent_work.append((self.now, self.mean_service_ms[job.class_index] * job.request.slots))
        self.actions.append(api.Send(job.request.id, worker.entry.id))
        start_delay_ms = self.start_delay_by_zone.get(worker.entry.zone, 10.0)
        self.timers.call_at(
            self.now + start_delay_ms + 4.0 * self.mean_service_ms[job.class_index],
            self._check_heard,
            attempt,
            number,
        )
        if self.acceptance_reported:
            self.timers.call_at(self.now + ACCEPTANCE_TIMEOUT_MS, self._check_heard, attempt, number)
        if self.settings.tells_start:
            self.timers.call_at(
                self.now + 3.0 * start_delay_ms + 2 * self.settings.tick_ms,
                self._check_started,
                attempt,
                number,
            )

    def _on_progress(self, event: api.ProgressReport) -> None:
        attempt = self.open_attempts.get((event.request, event.attempt))
        if attempt is not None:
            attempt.worker.last_heard_ms = attempt.last_progress_ms = self.now
            attempt.worker.reports_progress |= not event.started
            if self.settings.progress_interval_ms > 0 and self.settings.cancel:
                self.timers.call_at(
                    self.now + MISSED_PROGRESS_INTERVALS * self.settings.progress_interval_ms,
                    self._check_progress,
                    attempt,
                    event.attempt,
                )
        if attempt is not None and event.started and not attempt.started_ms:
            worker = attempt.worker
            attempt.started_ms = self.now
            worker.running_slots += attempt.job.request.slots
            worker.peak_running_slots = max(worker.peak_running_slots, worker.running_slots)
            delay_ms, zone = self.now - attempt.forwarded_ms, worker.entry.zone
            start_delay_ms = self.start_delay_by_zone.get(zone, 10.0)
            if delay_ms < 3 * start_delay_ms + 2 * self.settings.tick_ms:
                self.start_delay_by_zone[zone] = start_delay_ms + 0.05 * (delay_ms - start_delay_ms)
                if worker.running_slots == worker.reserved_slots:
                    # It started at once, so others use no more than the slots that are left.
                    worker.foreign_slots = min(
                        worker.foreign_slots, max(0.0, worker.estimated_slots - worker.reserved_slots)
                    )
                    worker.last_observed_ms = self.now

    def _on_accepted(self, event: api.Accepted) -> None:
        attempt = self.open_attempts.get((event.request, event.attempt))
        if attempt is not None:
            self.acceptance_reported, attempt.worker.last_heard_ms = True, self.now

    def _check_started(self, attempt: Attempt, number: int, is_repeated: bool = False) -> None:
        """Handles a job that has not started in time: it is queued at the worker.

        Counts the worker's other slots as foreign load, and lowers the capacity of an owned worker that runs
        as much as it ever did. Cancels the attempt if the job may be moved and another worker has room; looks
        for one every QUEUE_POLL_MS where workers can be probed.
        """
        worker = attempt.worker
        if not attempt.is_open or attempt.started_ms:
            return
        worker.foreign_slots, worker.last_observed_ms = (
            max(0.0, worker.estimated_slots - worker.running_slots),
            self.now,
        )
        if (
            not is_repeated
            and worker.running_slots >= worker.peak_running_slots > 0
            and worker.estimated_slots > worker.peak_running_slots
            and worker.is_owned
        ):
            worker.lower_capacity(self.now + MAX_EJECTION_MS)
        if not self._may_move(attempt.job):
            return
        if self._find_worker(attempt.job) is not None:
            self.actions.append(api.Cancel(attempt.job.request.id, number))
        elif self.can_probe_slots:
            self._probe_idle_slots(attempt.job)
            self.timers.call_at(self.now + QUEUE_POLL_MS, self._check_started, attempt, number, True)

    def _check_progress(self, attempt: Attempt, number: int) -> None:
        """Cancels a started job without progress reports, at a worker that sends them.

        The worker has lost the job or the report of its end. Otherwise the job would reserve its slots here
        until the client gives up.
        """
        worker, timeout_ms = attempt.worker, MISSED_PROGRESS_INTERVALS * self.settings.progress_interval_ms
        if (
            not attempt.is_open
            or not worker.reports_progress
            or self.now < attempt.last_progress_ms + timeout_ms - 1.0
        ):
            return
        if (
            worker.last_heard_ms < attempt.last_progress_ms + self.settings.progress_interval_ms
            and self.now < attempt.last_progress_ms + 2 * timeout_ms - 1.0
        ):
            # No other job of the worker was heard of either: it may only pause.
            self.timers.call_at(
                attempt.last_progress_ms + 2 * timeout_ms, self._check_progress, attempt, number
            )
            return
        self.actions.append(api.Cancel(attempt.job.request.id, number))

    def _check_heard(self, attempt: Attempt, number: int) -> None:
        """Ejects a worker not heard of since it should have accepted or ended the job, and moves the job."""
        if self.now < self.excused_until_ms:
            self.timers.call_at(self.excused_until_ms, self._check_heard, attempt, number)
            return
        if attempt.is_open and attempt.worker.last_heard_ms <= attempt.forwarded_ms:
            self._eject(attempt.worker, "silent")
            if self._may_move(attempt.job):
                self.actions.append(api.Cancel(attempt.job.request.id, number))

    def _on_host_delayed(self, event: api.HostDelayed) -> None:
        self.excused_until_ms = max(self.excused_until_ms, self.now + event.delay)

    def _may_move(self, job: Job) -> bool:
        """Returns whether the job's attempt may be cancelled, to be retried elsewhere once it has ended."""
        return (
            self.settings.cancel
            and job.service_class.idempotency != "unsafe"
            and job.request.id in self.jobs
            and len(job.attempts) < self.settings.max_attempts - 1
        )

    def _eject(self, worker: WorkerState, reason: str) -> None:
        """Ejects a failing worker, for longer each time in a row.

        A worker that fails fast looks idle and would attract jobs. After the ejection its concurrency limit
        is 1 until an attempt succeeds there.
        """
        if self.now < worker.ejected_until_ms:
            return
        worker.ejection_count = min(worker.ejection_count + 1, 6)
        ejection_ms = min(FIRST_EJECTION_MS * 2 ** (worker.ejection_count - 1), MAX_EJECTION_MS)
        worker.ejected_until_ms = self.now + ejection_ms * self.rng.uniform(0.75, 1.25)
        worker.concurrency_limit = 1.0
        self.log_line_count += 1
        if self.log_line_count <= MAX_LOG_LINES:
            self.actions.append(
                api.Log(f"worker {worker.entry.id} set aside: {reason}, strike {worker.ejection_count}")
            )

    def _on_outcome(self, event: api.Outcome) -> None:
        attempt = self.open_attempts.pop((event.request, event.attempt), None)
        if attempt is None:
            return
        job, worker, result = attempt.job, attempt.worker, event.result
        was_full = worker.reserved_slots + 0.5 >= worker.estimated_slots
        worker.reserved_slots -= job.request.slots
        worker.reserved_memory -= job.request.memory
        worker.running_slots -= job.request.slots if attempt.started_ms else 0
        attempt.is_open, attempt.never_ran = False, result in api.NEVER_RAN
        attempt.excludes_worker = event.excludes_worker
        self._apply_report(worker, event.report)
        if result == "ok":
            worker.last_heard_ms = self.now
            self._on_success(worker, job, attempt, was_full, event.elapsed)
        elif result == "full":
            worker.last_heard_ms = self.now
            worker.foreign_slots, worker.last_observed_ms = (
                (2.0 if self.places_by_key() else 1.0) * worker.estimated_slots,
                self.now,
            )
            if worker.is_owned and was_full and not worker.slots_reported:
                worker.lower_capacity(self.now + MAX_EJECTION_MS)
        elif result == "timeout" and self.now < self.excused_until_ms:
            pass  # the worker's report may lie unread
        elif result in ("error", "unreachable", "timeout") or (
            # A preempted job ends with a reset too, which is no fault of the worker.
            result == "reset" and not (self.settings.preempts and job.service_class.idempotency == "safe")
        ):
            self._eject(worker, result)
        unanswered = job if self.jobs.get(event.request) is job else None
        if unanswered is not None and event.complete:
            self._finish(unanswered, None)
        elif unanswered is not None and result == "rejected":
            # The request is at fault: any worker would reject it, and none is to be ejected for it.
            self._finish(unanswered, api.Fail(unanswered.request.id))
        elif (
            unanswered is not None
            and not unanswered.is_queued
            and not any(each.is_open for each in unanswered.attempts)
        ):
            self._retry_or_finish(unanswered)
        self._dispatch_queued()

    def _on_success(
        self, worker: WorkerState, job: Job, attempt: Attempt, was_full: bool, elapsed: float
    ) -> None:
        """Updates service times, and ends the worker's ejection; raises the capacity of a full worker.

        The concurrency limit doubles with each success until it exceeds the worker's slots.
        """
        took_ms = (
            self.now - attempt.started_ms
            if attempt.started_ms
            else elapsed or self.now - attempt.forwarded_ms
        )
        mean_ms = self.mean_service_ms[job.class_index]
        worker.relative_service_time += 0.1 * (min(took_ms / mean_ms, 4.0) - worker.relative_service_time)
        self.mean_service_ms[job.class_index] = mean_ms + 0.02 * (min(took_ms, 3.0 * mean_ms) - mean_ms)
        if self.now > worker.ejected_until_ms + MAX_EJECTION_MS:
            worker.ejection_count = 0
        worker.ejected_until_ms = min(worker.ejected_until_ms, self.now)
        worker.concurrency_limit = (
            worker.concurrency_limit * 2 if worker.concurrency_limit < worker.estimated_slots else math.inf
        )
        if (
            was_full
            and not worker.slots_reported
            and self.now > worker.capacity_fixed_until_ms
            and not worker.foreign_slots > 0.5
        ):
            worker.estimated_slots += 1.0
            worker.capacity_fixed_until_ms = self.now + FIRST_EJECTION_MS

    # -- answers

    def _retry_or_finish(self, job: Job) -> None:
        """Queues a job without an open attempt for a retry, or answers it if no retry is allowed."""
        may_have_run = [each for each in job.attempts if not each.never_ran]
        if (
            self.now >= job.request.deadline
            or len(job.attempts) >= self.settings.max_attempts
            or (may_have_run and job.service_class.idempotency == "unsafe")
            or not self._has_worker_left(job)
        ):
            self._finish_unserved(job)
        else:
            self._enqueue(job)

    def _has_worker_left(self, job: Job) -> bool:
        """Returns whether a retry may find a worker; without excluded workers it always may."""
        return not any(each.excludes_worker for each in job.attempts) or any(
            worker.entry.state == "healthy"
            and job.service_class.kind in (None, worker.entry.kind)
            and self._may_repeat_at(worker, job)
            for worker in self.worker_states.values()
        )

    def _finish_unserved(self, job: Job) -> None:
        """Rejects or fails a job that cannot be served any more: no retry is left, or its deadline passed."""
        if self.jobs.get(job.request.id) is job:  # not a later request under the same id
            self._finish(
                job, api.Reject(job.request.id) if self._may_reject(job) else api.Fail(job.request.id)
            )

    def _may_reject(self, job: Job) -> bool:
        """Returns whether a client that repeats the job does no harm, so that it may be rejected."""
        may_have_run = any(not each.never_ran for each in job.attempts)
        return (
            not may_have_run
            or job.service_class.idempotency == "safe"
            or (job.service_class.idempotency == "keyed" and job.service_class.repeat_group == "all")
        )

    def _finish(self, job: Job, answer: api.Action | None) -> None:
        """Ends a request with its final answer, if one is due, and cancels its open attempts."""
        self._dequeue(job)
        self.jobs.pop(job.request.id, None)
        self.actions += [answer] if answer is not None else []
        self.actions += [
            api.Cancel(job.request.id, number)
            for number, each in enumerate(job.attempts)
            if each.is_open and self.settings.cancel
        ]

    def _drop_request(self, event: api.ClientGone | api.StreamStarted) -> None:
        """Ends a request that needs no answer from here any more."""
        if event.request in self.jobs:
            self._finish(self.jobs[event.request], None)


HANDLERS = {
    api.WorkerList: Scheduler._on_worker_list,
    api.Request: Scheduler._on_request,
    api.Outcome: Scheduler._on_outcome,
    api.ProgressReport: Scheduler._on_progress,
    api.Accepted: Scheduler._on_accepted,
    api.ProbeResult: Scheduler._on_probe_result,
    api.ClientGone: Scheduler._drop_request,
    api.HostDelayed: Scheduler._on_host_delayed,
    api.StreamStarted: Scheduler._drop_request,
}
