"""Every decision of a node. Its types, events and actions are in spanwing/interface.py.

Path of a request: `_arrive` -> `_place` (a worker whose counted slots have room) -> `_send`, or hold in
the queues and leave by `_drain`: tenant of lowest spent / max(earned, 1) first, whenever a slot is idle.
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

ASSUMED_SLOTS = 4.0  # slots assumed at a worker before anything is learned
NEGLIGIBLE_FOREIGN_SLOTS = (
    0.4  # of a slot: less than this, held by others as last seen, keeps no worker from its trial
)
WARM_UP_BUDGET_FRACTION = (
    0.6  # of a cold worker's budget is dealt out; the rest is for jobs longer than the mean
)
QUEUE_POLL_MS = 20.0  # held jobs look again for idle slots this often
FIRST_EJECTION_MS, MAX_EJECTION_MS = 1000.0, 8000.0  # first and longest rest of a failing worker
PROBES_PER_ARRIVAL, MAX_PROBES_PER_JOB = (
    1.0,
    2,
)  # probes earned by each arrival, as they are priced by the request; most for one job
ACCEPTANCE_TIMEOUT_MS = 500.0  # a worker that takes jobs says so at once; its pauses are shorter
MISSED_PROGRESS_INTERVALS = 1.5  # of a worker's intervals of progress, without a word on a job
MAX_SCANNED_WORKERS = 24  # workers looked at for one placement, at most
MAX_LOG_LINES = 60
STICKY_SHARE_THRESHOLD, STICKY_SHARE_GAIN = (
    0.2,
    0.02,
)  # keys steer all placement from this share of arrivals; how fast it moves


class Scheduler:
    """One node. It shares nothing with other nodes; same events, same actions."""

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        self.settings, self.now, self.started_ms, self.rng = settings, now, now, random.Random(seed)
        self.actions: list[api.Action] = []
        self.class_indexes = {each.name: i for i, each in enumerate(settings.classes)}
        tenants = settings.tenants or (api.Tenant("", 1.0),)
        self.token_accounts: dict[str | None, TokenAccount] = {
            each.name: TokenAccount(each.quota_per_s / settings.node_count, now, len(self.class_indexes))
            for each in tenants
        }
        self.token_accounts[None] = TokenAccount(0.0, now, len(self.class_indexes))  # whoever is on no list
        self.owned_workers: list[WorkerState] = []  # own part of the fleet
        self.same_zone_workers: list[WorkerState] = []  # others' in this zone
        self.remote_workers: list[WorkerState] = []  # others' beyond
        self.foreign_workers: list[WorkerState] = []  # near and far
        self.fed_workers: list[WorkerState] = []  # those of them that this node feeds while they are cold
        # A cold worker is fed by as many nodes as it may have slots, whoever is down, each with a part of the
        # budget that holds a job. They are found by the worker's id alone, so that late lists cannot add any.
        jobs = (
            WARM_UP_BUDGET_FRACTION
            * settings.overload_multiple
            * settings.slow_start_initial_fraction
            * ASSUMED_SLOTS
            * settings.overload_window_ms
            / (2.0 * sum(each.latency_objective_ms for each in settings.classes) / len(settings.classes))
        )
        self.feeder_count = max(1, min(settings.node_count, int(ASSUMED_SLOTS), int(jobs)))
        self.worker_states: dict[int, WorkerState] = {}  # workers
        self.assigned_kinds: dict[WorkerState, str] = {}  # workers with their kinds, as dealt out last
        self.assignment_order: list[WorkerState] = []  # the same, in the order of the deal
        self.slots_by_kind: dict[str, float] = {}  # slots by kind
        self.hash_ring: list[tuple[int, int]] = []  # hash ring of ids, if needed
        self.jobs: dict[str, Job] = {}  # unanswered jobs by id
        self.open_attempts: dict[tuple[str, int], Attempt] = {}  # attempts that are out, by id and number
        self.late_jobs: deque[Job] = deque()  # held behind the rest: too late
        self.over_quota_jobs: deque[Job] = deque()  # held behind the rest: beyond the share
        self.queued_count, self.is_queue_poll_set, self.log_line_count = 0, False, 0
        self.placement_override: Callable[[Job], WorkerState | None] | None = None  # see zones/trial.py
        self.mean_service_ms = [
            2.0 * each.latency_objective_ms for each in settings.classes
        ]  # mean time of a served attempt, by class
        self.start_delay_by_zone = {
            zone: 10.0 if zone == settings.zone else 60.0 for zone in (*settings.zones, "")
        }
        self.fleet_utilization, self.sticky_share = (
            0.5,
            0.0,
        )  # shares: of slots in use, as far as seen; of arrivals with a key
        self.can_probe_slots = settings.probes and "free_slots" in settings.report_fields
        self.probe_budget = 1.0  # probes that may be sent
        self.recently_probed: list[WorkerState] = []  # others' workers that were seen just now
        self.acceptance_reported, self.is_feeding_enabled = (
            False,
            True,
        )  # the host tells of taken jobs; cold workers may be fed here
        self.has_safe_class = any(each.idempotency == "safe" for each in settings.classes)
        self.timers = TimerQueue(settings.tick_ms)
        if settings.subscribe:
            self.timers.call_at(now + self.rng.uniform(0, 1000.0), lambda: self.actions.append(api.Watch()))

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Take one event; return what to do, in order."""
        self.now, self.actions = now, []
        HANDLERS.get(type(event), lambda *_: None)(self, event)
        self.timers.run_due(now)
        return self.actions + self.timers.next_timer(now)

    def _on_worker_list(self, event: api.WorkerList) -> None:
        if event.scope == "error":
            # Discovery is one small service: nodes whose calls broke together come back at random moments.
            when = self.now + self.rng.uniform(500.0, 4000.0)
            self.timers.call_at(when, lambda: self.actions.append(api.Watch()))
            return
        changed, named = False, {entry.id for entry in event.workers}
        for view in self.worker_states.values() if event.scope != "partial" else ():
            if view.entry.id not in named:
                view.entry, changed = view.entry._replace(state="gone"), True
        for entry in event.workers:
            view = self.worker_states.get(entry.id)
            if view is None:
                changed, total = True, self.slots_by_kind.get(entry.kind, ASSUMED_SLOTS)
                view = self.worker_states[entry.id] = WorkerState(entry, 0.0, total)
            elif view.entry == entry and entry.feeder_share is None and not self.settings.live_weights:
                continue
            changed |= view.entry._replace(weight=entry.weight) != entry
            if entry.feeder_share is not None:
                view.feeder_share, view.is_feeder_known = entry.feeder_share, True
            elif entry.started > 0 and not view.is_feeder_known:  # nobody feeds a warm worker
                view.feeder_share, view.is_feeder_known = self.is_feeder(entry.id), True
            if entry.started > view.entry.started:  # a new life: what was known of the old one is void
                view.ejected_until_ms, view.ejection_count, view.concurrency_limit, view.foreign_slots = (
                    0.0,
                    0,
                    math.inf,
                    0.0,
                )
            view.entry, view.max_weight = entry, max(view.max_weight, entry.weight)
            if self.settings.live_weights and entry.weight > 0:
                self._observe_load(view, (view.max_weight / entry.weight - 1.0) * view.estimated_slots)
        if changed:
            self.assign_workers()
        self._dispatch_queued()

    def is_feeder(self, worker: int) -> bool:
        own = stable_hash(worker, self.settings.node_index), -self.settings.node_index
        larger = (
            node for node in range(self.settings.node_count) if (stable_hash(worker, node), -node) > own
        )
        return self.is_feeding_enabled and len(list(islice(larger, self.feeder_count))) < self.feeder_count

    def assign_workers(self) -> None:
        """Deal the workers out evenly, so that a change moves few: own counts tell what own workers hold."""
        self.worker_states = {
            i: v for i, v in self.worker_states.items() if v.entry.state != "gone" or v.reserved_slots
        }
        self.owned_workers, self.same_zone_workers, self.remote_workers = [], [], []
        members = {view: view.entry.kind for view in self.worker_states.values()}
        if members != self.assigned_kinds:  # otherwise each stays where it was dealt to
            self.assigned_kinds, self.assignment_order = (
                members,
                sorted(members, key=WorkerState.assignment_key),
            )
            count, loads = self.settings.node_count, [0] * self.settings.node_count
            for rank, view in enumerate(self.assignment_order):
                turn, most = 0, rank // count + 1
                while loads[node := view.candidate_node(turn, count)] >= most:
                    turn += 1
                loads[node] += 1
                view.is_owned = node == self.settings.node_index
        for view in self.assignment_order:
            if view.entry.state == "healthy":
                near = view.entry.zone == self.settings.zone
                (
                    self.owned_workers
                    if view.is_owned
                    else self.same_zone_workers
                    if near
                    else self.remote_workers
                ).append(view)
        self.foreign_workers = self.same_zone_workers + self.remote_workers
        self.fed_workers = [
            view for view in self.foreign_workers if view.feeder_share and view.entry.started > 0
        ]
        self.hash_ring = []  # of no use to most nodes, and long to make: at the next key

    def _observe_load(self, view: WorkerState, inflight: float) -> None:
        """Take in a sight of how many jobs a worker holds; what is not ours is others'."""
        view.observe_load(inflight, self.now)
        self.fleet_utilization += 0.01 * (
            min(1.0, inflight / max(view.estimated_slots, 1.0)) - self.fleet_utilization
        )

    def _apply_report(self, view: WorkerState, report: tuple[float, ...] | None) -> None:
        got = dict(zip(self.settings.report_fields, report or (), strict=False))
        inflight, queue, free = got.get("inflight"), got.get("queue", 0.0), got.get("free_slots")
        kind = view.entry.kind
        if free is not None and inflight is not None:
            view.estimated_slots += (0.3 if view.slots_reported else 1.0) * (
                inflight - queue + free - view.estimated_slots
            )
            view.slots_reported, self.slots_by_kind[kind] = True, view.estimated_slots
        elif free is not None:  # seen idle, a worker shows all its slots, and its kind's
            self.slots_by_kind[kind] = max(self.slots_by_kind.get(kind, 1.0), float(round(free)))
            view.estimated_slots, view.slots_reported = self.slots_by_kind[kind], True
            inflight = max(0.0, view.estimated_slots - free) + queue
        if inflight is not None:
            self._observe_load(view, inflight)

    def _on_request(self, req: api.Request) -> None:
        index = self.class_indexes.get(req.cls, 0)
        job = self.jobs[req.id] = Job(req, self.settings.classes[index], index, self.now)
        ledger = self._account_of(job)
        ledger.refill(self.now)
        self.sticky_share += STICKY_SHARE_GAIN * ((req.key is not None) - self.sticky_share)
        self.probe_budget = min(self.probe_budget + PROBES_PER_ARRIVAL, 10.0)
        job.is_over_quota = self.settings.over_quota_weight < 1.0 and not ledger.count_arrival()
        self.timers.call_at(req.deadline, self._finish_unserved, job)
        view = self._place(job) if ledger.earned - ledger.spent > 0 else None
        if view is not None:
            self._send(job, view)
        else:
            self._enqueue(job)
            self._dispatch_queued()
            if job.is_queued:
                self._probe_idle_slots(job)

    def _probe_idle_slots(self, job: Job) -> None:
        """Ask others' workers, and home for what cannot be called back from there, for their idle slots."""
        if not self.can_probe_slots or job.request.key is not None or job.request.id not in self.jobs:
            return
        todo = min(MAX_PROBES_PER_JOB, int(self.probe_budget))
        some = (
            self.rng.sample(self.foreign_workers, min(len(self.foreign_workers), 4 * MAX_PROBES_PER_JOB))
            if todo
            else []
        )
        for view in [
            each for each in self.owned_workers + self.fed_workers if self._has_room(each, job)
        ] + some:
            if (
                todo > 0
                and self.now - max(view.last_observed_ms, view.last_probed_ms) > OBSERVATION_FRESH_MS
                and self._may_use(view, job)
            ):
                view.last_probed_ms, todo, self.probe_budget = self.now, todo - 1, self.probe_budget - 1.0
                self.actions.append(api.Probe(view.entry.id))

    def _on_probe_result(self, event: api.ProbeResult) -> None:
        view = self.worker_states.get(event.worker)
        if view is not None and event.result == "ok":
            view.last_heard_ms, view.last_observed_ms = (
                self.now,
                -math.inf,
            )  # what is asked for is no mean with what was seen
            self._apply_report(view, event.report)
            view.last_observed_ms = self.now
            self.recently_probed = [
                each for each in self.recently_probed if each.is_fresh(self.now) and each is not view
            ]
            self.recently_probed += [] if view.is_owned else [view]
            self._dispatch_queued()

    def _account_of(self, job: Job) -> TokenAccount:
        return self.token_accounts.get(job.request.tenant or "", self.token_accounts[None])

    def _enqueue(self, job: Job) -> None:
        if not self.is_queue_poll_set:
            self.is_queue_poll_set = True
            self.timers.call_at(self.now + QUEUE_POLL_MS, self._poll_queues)
        self.queued_count, job.is_queued = self.queued_count + 1, True
        # In turn, an overloaded queue serves all of them just too late: what has waited its aim gives way.
        spoils = job.arrived_ms + job.service_class.latency_objective_ms
        if job.is_late or spoils <= self.now:
            self._pass_objective(job)
        else:
            (
                self.over_quota_jobs if job.is_over_quota else self._account_of(job).queues[job.class_index]
            ).append(job)
            self.timers.call_at(spoils, self._pass_objective, job)

    def _poll_queues(self) -> None:
        self._dispatch_queued()
        for queue in [queue for ledger in self.token_accounts.values() for queue in ledger.queues if queue]:
            self._probe_idle_slots(queue[0])
        self.is_queue_poll_set = self.queued_count > 0
        if self.is_queue_poll_set:
            self.timers.call_at(self.now + QUEUE_POLL_MS, self._poll_queues)

    def _pass_objective(self, job: Job) -> None:
        """A held job that can hardly be in time is refused, or where late pays waits behind the others."""
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
        """Held jobs leave while a fitting slot is idle, the tenant of lowest spent-to-earned ratio first."""
        while self.queued_count and (found := self._next_queued()):
            self._send(*found)

    def _retry_after(self, job: Job) -> float:
        """When to come back: once the tenant's share allows one more; within it next tick. 0: no advice."""
        ledger, wait = self._account_of(job), self.settings.tick_ms
        if job.is_over_quota:
            wait = max(wait, (1.0 - ledger.burst_allowance) * 1000.0 / max(ledger.quota_per_s, 0.001))
        return min(wait, self.settings.max_retry_after)

    def _dequeue(self, job: Job) -> None:
        self.queued_count, job.is_queued = self.queued_count - job.is_queued, False

    def _next_queued(self) -> tuple[Job, WorkerState] | None:
        queues: list[deque[Job]] = []
        order: list[tuple[float, TokenAccount]] = []
        failed: list[tuple[int, float, str | None]] = []
        for ledger in self.token_accounts.values():
            for queue in ledger.queues:
                while queue and (not queue[0].is_queued or queue[0].is_late):
                    queue.popleft()
            if any(ledger.queues):
                ledger.refill(self.now)
                order.append((ledger.spent_ratio(), ledger))
        for _, ledger in sorted(order, key=lambda each: each[0]):
            queues += sorted(filter(None, ledger.queues), key=lambda queue: -self._urgency(queue[0]))
        for queue in (*queues, self.late_jobs, self.over_quota_jobs):
            while queue and not queue[0].is_queued:
                queue.popleft()
            # Where one found no room, none as large does: a full fleet is not searched for each.
            job = queue[0] if queue else None
            if job and not any(
                job.request.slots >= s and job.request.memory >= m and job.service_class.kind == k
                for s, m, k in failed
            ):
                view = self._place(job)
                if view is not None:
                    return job, view
                if not job.attempts:
                    failed.append((job.request.slots, job.request.memory, job.service_class.kind))
        return None

    def _urgency(self, job: Job) -> float:
        """Worth of a second of work now: what the class is worth, by the chance that it is still in time."""
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

    def places_by_key(self) -> bool:
        return self.sticky_share >= STICKY_SHARE_THRESHOLD

    def _idle_slots(self, view: WorkerState) -> float:
        """Slots believed idle: the assumed total less what we hold and what others do, as last seen."""
        alone = (view.is_owned and not self.places_by_key()) or (
            view.feeder_share and self._is_warming_up(view)
        )
        prior = 0.0 if alone else self.fleet_utilization * view.estimated_slots
        others = prior + (view.foreign_slots - prior) * math.exp(
            (view.last_observed_ms - self.now) / FOREIGN_LOAD_DECAY_MS
        )
        if view.concurrency_limit < view.estimated_slots and others < NEGLIGIBLE_FOREIGN_SLOTS:
            others = 0.0  # it fades but never ends: off the limit of 1 after a rest, it left no slot ever
        return min(view.estimated_slots, view.concurrency_limit) - view.reserved_slots - others

    def _may_use(self, view: WorkerState, job: Job) -> bool:
        """Whether this job may go to this worker at all."""
        entry, cls, now = view.entry, job.service_class, self.now
        if entry.state != "healthy" or now < view.ejected_until_ms or cls.kind not in (None, entry.kind):
            return False
        for each in job.attempts:
            if not each.never_ran and (
                cls.idempotency == "unsafe"
                or each.worker is view
                or (cls.idempotency == "keyed" and not self._deduplicates(each, cls, entry))
            ):
                return False
        return self._warm_up_allows(view, job)

    def _deduplicates(self, ran: Attempt, cls: api.ServiceClass, entry: api.Worker) -> bool:
        """Whether a worker still drops this keyed job as a repeat of an attempt that may have run."""
        first = ran.worker.entry
        return self.now < ran.forwarded_ms + cls.deduplication_window_ms - self.settings.tick_ms and (
            cls.repeat_group == "all"
            or first.zone == entry.zone
            and (cls.repeat_group == "zone" or first.cell == entry.cell)
        )

    def _warm_up_allows(self, view: WorkerState, job: Job) -> bool:
        """Keep a cold worker under its budget: its feeders alone, each with its part, send to it."""
        s, age = self.settings, self.now - view.entry.started
        if not self._is_warming_up(view) or not view.feeder_share:
            return not self._is_warming_up(view)
        share = (
            (
                s.slow_start_initial_fraction
                + (1.0 - s.slow_start_initial_fraction) * max(0.0, age) / s.slow_start_ms
            )
            * view.feeder_share
            / self.feeder_count
        )
        if view.entry.started < self.started_ms and self.now < self.started_ms + s.overload_window_ms:
            share /= 2.0  # an earlier life of this node may just have sent all of its part
        budget = (
            WARM_UP_BUDGET_FRACTION
            * s.overload_multiple
            * share
            * view.estimated_slots
            * s.overload_window_ms
        )
        spent = sum(work for at, work in view.recent_work if at > self.now - s.overload_window_ms)
        spent += self.mean_service_ms[job.class_index] * job.request.slots
        return spent <= budget and view.reserved_slots + job.request.slots <= math.ceil(
            view.estimated_slots / self.feeder_count
        )

    def _is_warming_up(self, view: WorkerState) -> bool:
        return view.entry.started > 0 and self.now - view.entry.started < self.settings.slow_start_ms

    def _has_room(self, view: WorkerState, job: Job, slack: float = 0.0) -> bool:
        if view.reserved_slots + job.request.slots > min(view.estimated_slots, view.concurrency_limit) or (
            self.settings.counts_memory
            and view.reserved_slots
            and view.reserved_memory + job.request.memory > view.estimated_slots
        ):
            return False
        if view.concurrency_limit <= 1.0 and self.has_safe_class and job.service_class.idempotency != "safe":
            return False  # back from a rest, a worker proves itself on a job that may be repeated
        return self._idle_slots(view) + slack >= job.request.slots and self._may_use(view, job)

    def _place(self, job: Job) -> WorkerState | None:
        """A worker with room: for keys one that keeps them; else the fastest at home; else a neighbour."""
        if len(job.attempts) >= self.settings.max_attempts or any(each.is_open for each in job.attempts):
            return None
        return (self.placement_override and self.placement_override(job)) or self._find_worker(job)

    def _find_worker(self, job: Job) -> WorkerState | None:
        if job.request.key is not None:
            return self._find_sticky_worker(job)
        best: WorkerState | None = None
        self.fed_workers = [view for view in self.fed_workers if self._is_warming_up(view)]
        # What cannot be called back from a queue goes only where a slot was seen to be idle.
        own, blind = (
            self.owned_workers + self.fed_workers,
            not self.can_probe_slots or job.service_class.idempotency != "unsafe" or self.probe_budget < 1.0,
        )
        for view in own if len(own) <= MAX_SCANNED_WORKERS else self.rng.sample(own, MAX_SCANNED_WORKERS):
            known = (
                blind
                or view.is_fresh(self.now)
                or view.last_observed_ms < view.last_probed_ms < self.now - OBSERVATION_FRESH_MS
            )
            if (
                (best is None or view.relative_service_time < best.relative_service_time)
                and known
                and self._has_room(view, job)
            ):
                best = view
        for view in self.recently_probed if best is None else ():
            if (
                (best is None or view.relative_service_time < best.relative_service_time)
                and view.is_fresh(self.now)
                and self._has_room(view, job)
            ):
                best = view
        for group in (self.same_zone_workers, self.remote_workers) if not self.can_probe_slots else ():
            for view in [self.rng.choice(group) for _ in range(4)] if best is None and group else ():
                if self._has_room(view, job) and (
                    best is None or self._idle_slots(view) > self._idle_slots(best)
                ):
                    best = view
        return best

    def _find_sticky_worker(self, job: Job) -> WorkerState | None:
        if not self.hash_ring:
            self.hash_ring = sorted(
                (stable_hash(v.entry.id, 7919, i), v.entry.id)
                for v in self.worker_states.values()
                if v.entry.state == "healthy"
                for i in range(math.ceil(16 * min(v.max_weight, 8.0)))
            )
        # All nodes send a key to the same workers: each may have its part of the slots there, one at least.
        most = max(1.0, 1.25 * ASSUMED_SLOTS / self.settings.node_count)
        at, seen = bisect(self.hash_ring, (stable_hash(*job.request.key.encode()), 0)), set()
        for i in range(min(len(self.hash_ring), MAX_SCANNED_WORKERS)):
            worker = self.hash_ring[(at + i) % len(self.hash_ring)][1]
            view = self.worker_states[worker]
            # A short queue there costs less than to fetch the key elsewhere.
            if (
                worker not in seen
                and view.reserved_slots < most
                and self._has_room(view, job, view.estimated_slots)
            ):
                return view
            seen.add(worker)
        return None

    def _send(self, job: Job, view: WorkerState) -> None:
        self._dequeue(job)
        number = len(job.attempts)
        attempt = Attempt(job, view, self.now)
        job.attempts.append(attempt)
        self.open_attempts[job.request.id, number] = attempt
        if number == 0:
            self._account_of(job).spent += 1.0
        view.reserved_slots += job.request.slots
        view.reserved_memory += job.request.memory
        view.recent_work.append((self.now, self.mean_service_ms[job.class_index] * job.request.slots))
        self.actions.append(api.Send(job.request.id, view.entry.id))
        quick = self.start_delay_by_zone.get(view.entry.zone, 10.0)
        self.timers.call_at(
            self.now + quick + 4.0 * self.mean_service_ms[job.class_index], self._check_heard, attempt, number
        )
        if self.acceptance_reported:
            self.timers.call_at(self.now + ACCEPTANCE_TIMEOUT_MS, self._check_heard, attempt, number)
        if self.settings.tells_start:
            self.timers.call_at(
                self.now + 3.0 * quick + 2 * self.settings.tick_ms, self._check_started, attempt, number
            )

    def _on_progress(self, note: api.ProgressReport) -> None:
        attempt = self.open_attempts.get((note.request, note.attempt))
        if attempt is not None:
            attempt.worker.last_heard_ms = attempt.last_progress_ms = self.now
            attempt.worker.reports_progress |= not note.started
            if self.settings.progress_interval_ms > 0 and self.settings.cancel:
                self.timers.call_at(
                    self.now + MISSED_PROGRESS_INTERVALS * self.settings.progress_interval_ms,
                    self._check_progress,
                    attempt,
                    note.attempt,
                )
        if attempt is not None and note.started and not attempt.started_ms:
            view = attempt.worker
            attempt.started_ms = self.now
            view.running_slots += attempt.job.request.slots
            view.peak_running_slots = max(view.peak_running_slots, view.running_slots)
            took, zone = self.now - attempt.forwarded_ms, view.entry.zone
            quick = self.start_delay_by_zone.get(zone, 10.0)
            if took < 3 * quick + 2 * self.settings.tick_ms:
                self.start_delay_by_zone[zone] = quick + 0.05 * (took - quick)
                if (
                    view.running_slots == view.reserved_slots
                ):  # it started at once: no more than this is taken by others
                    view.foreign_slots = min(
                        view.foreign_slots, max(0.0, view.estimated_slots - view.reserved_slots)
                    )
                    view.last_observed_ms = self.now

    def _on_accepted(self, event: api.Accepted) -> None:
        attempt = self.open_attempts.get((event.request, event.attempt))
        if attempt is not None:
            self.acceptance_reported, attempt.worker.last_heard_ms = True, self.now

    def _check_started(self, attempt: Attempt, number: int, again: bool = False) -> None:
        """A job not yet started lies in a queue: the count was wrong. Correct it; move what may repeat."""
        view = attempt.worker
        if not attempt.is_open or attempt.started_ms:
            return
        view.foreign_slots, view.last_observed_ms = (
            max(0.0, view.estimated_slots - view.running_slots),
            self.now,
        )
        if (
            not again
            and view.running_slots >= view.peak_running_slots > 0
            and view.estimated_slots > view.peak_running_slots
            and view.is_owned
        ):
            view.lower_capacity(self.now + MAX_EJECTION_MS)
        if not self._may_move(attempt.job):
            return
        if self._find_worker(attempt.job) is not None:
            self.actions.append(api.Cancel(attempt.job.request.id, number))
        elif self.can_probe_slots:  # perhaps soon
            self._probe_idle_slots(attempt.job)
            self.timers.call_at(self.now + QUEUE_POLL_MS, self._check_started, attempt, number, True)

    def _check_progress(self, attempt: Attempt, number: int) -> None:
        """A started job of which the worker tells nothing, though it tells of jobs: it was lost there, or its
        end was. Give it up: it would hold its slots here until the client's time is over."""
        view, patience = attempt.worker, MISSED_PROGRESS_INTERVALS * self.settings.progress_interval_ms
        if (
            not attempt.is_open
            or not view.reports_progress
            or self.now < attempt.last_progress_ms + patience - 1.0
        ):
            return
        if (
            view.last_heard_ms < attempt.last_progress_ms + self.settings.progress_interval_ms
            and self.now < attempt.last_progress_ms + 2 * patience - 1.0
        ):
            # Nothing of others either: it may stand still for a moment.
            self.timers.call_at(
                attempt.last_progress_ms + 2 * patience, self._check_progress, attempt, number
            )
            return
        self.actions.append(api.Cancel(attempt.job.request.id, number))

    def _check_heard(self, attempt: Attempt, number: int) -> None:
        """Nothing heard of the worker since it should have taken the job, or ended it: it may hang."""
        if attempt.is_open and attempt.worker.last_heard_ms <= attempt.forwarded_ms:
            self._eject(attempt.worker, "silent")
            if self._may_move(attempt.job):
                self.actions.append(api.Cancel(attempt.job.request.id, number))

    def _may_move(self, job: Job) -> bool:
        """Whether a job may be called back, to be sent elsewhere once that attempt has ended."""
        return (
            self.settings.cancel
            and job.service_class.idempotency != "unsafe"
            and job.request.id in self.jobs
            and len(job.attempts) < self.settings.max_attempts - 1
        )

    def _eject(self, view: WorkerState, why: str) -> None:
        """Set a failing worker aside, longer each time; a worker that fails fast only looks free."""
        if self.now < view.ejected_until_ms:
            return
        view.ejection_count = min(view.ejection_count + 1, 6)
        rest = min(FIRST_EJECTION_MS * 2 ** (view.ejection_count - 1), MAX_EJECTION_MS)
        view.ejected_until_ms = self.now + rest * self.rng.uniform(0.75, 1.25)
        view.concurrency_limit = 1.0
        self.log_line_count += 1
        if self.log_line_count <= MAX_LOG_LINES:
            self.actions.append(
                api.Log(f"worker {view.entry.id} set aside: {why}, strike {view.ejection_count}")
            )

    def _on_outcome(self, event: api.Outcome) -> None:
        attempt = self.open_attempts.pop((event.request, event.attempt), None)
        if attempt is None:
            return
        job, view, result = attempt.job, attempt.worker, event.result
        full = view.reserved_slots + 0.5 >= view.estimated_slots
        view.reserved_slots -= job.request.slots
        view.reserved_memory -= job.request.memory
        view.running_slots -= job.request.slots if attempt.started_ms else 0
        attempt.is_open, attempt.never_ran = False, result in api.NEVER_RAN
        self._apply_report(view, event.report)
        if result == "ok":
            view.last_heard_ms = self.now
            self._on_success(view, job, attempt, full, event.elapsed)
        elif result == "full":
            view.last_heard_ms = self.now
            view.foreign_slots, view.last_observed_ms = (
                (2.0 if self.places_by_key() else 1.0) * view.estimated_slots,
                self.now,
            )
            if view.is_owned and full and not view.slots_reported:
                view.lower_capacity(self.now + MAX_EJECTION_MS)
        elif result in ("error", "unreachable", "timeout") or (  # a reset may be a push-out by priority
            result == "reset" and not (self.settings.preempts and job.service_class.idempotency == "safe")
        ):
            self._eject(view, result)
        live = job if self.jobs.get(event.request) is job else None
        if live is not None and event.complete:
            self._finish(live, None)
        elif live is not None and result == "rejected":
            # The fault is the request's: no other worker would take it, and none is to be set aside for it.
            self._finish(live, api.Fail(live.request.id))
        elif live is not None and not live.is_queued and not any(each.is_open for each in live.attempts):
            self._retry_or_finish(live)
        self._dispatch_queued()

    def _on_success(self, view: WorkerState, job: Job, attempt: Attempt, full: bool, elapsed: float) -> None:
        took = (
            self.now - attempt.started_ms
            if attempt.started_ms
            else elapsed or self.now - attempt.forwarded_ms
        )
        mean = self.mean_service_ms[job.class_index]
        view.relative_service_time += 0.1 * (min(took / mean, 4.0) - view.relative_service_time)
        self.mean_service_ms[job.class_index] = mean + 0.02 * (min(took, 3.0 * mean) - mean)
        if self.now > view.ejected_until_ms + MAX_EJECTION_MS:
            view.ejection_count = 0
        view.ejected_until_ms = min(view.ejected_until_ms, self.now)
        view.concurrency_limit = (
            view.concurrency_limit * 2 if view.concurrency_limit < view.estimated_slots else math.inf
        )
        if (
            full
            and not view.slots_reported
            and self.now > view.capacity_fixed_until_ms
            and not view.foreign_slots > 0.5
        ):
            view.estimated_slots += 1.0
            view.capacity_fixed_until_ms = self.now + FIRST_EJECTION_MS

    def _retry_or_finish(self, job: Job) -> None:
        """No attempt is out and the client has no answer: try again where that is allowed, or end it."""
        ran = [each for each in job.attempts if not each.never_ran]
        if (
            self.now >= job.request.deadline
            or len(job.attempts) >= self.settings.max_attempts
            or (ran and job.service_class.idempotency == "unsafe")
        ):
            self._finish_unserved(job)
        else:
            self._enqueue(job)

    def _finish_unserved(self, job: Job) -> None:
        """The answer owed when nothing more can be tried, or time is up."""
        if self.jobs.get(job.request.id) is job:  # and no later one whose client came again under its id
            self._finish(
                job, api.Reject(job.request.id) if self._may_reject(job) else api.Fail(job.request.id)
            )

    def _may_reject(self, job: Job) -> bool:
        ran = any(not each.never_ran for each in job.attempts)
        return (
            not ran
            or job.service_class.idempotency == "safe"
            or (job.service_class.idempotency == "keyed" and job.service_class.repeat_group == "all")
        )

    def _finish(self, job: Job, answer: api.Action | None) -> None:
        """The request is over; what is still out for it is called off."""
        self._dequeue(job)
        self.jobs.pop(job.request.id, None)
        self.actions += [answer] if answer is not None else []
        self.actions += [
            api.Cancel(job.request.id, number)
            for number, each in enumerate(job.attempts)
            if each.is_open and self.settings.cancel
        ]

    def _drop_request(self, event: api.ClientGone | api.StreamStarted) -> None:
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
    api.StreamStarted: Scheduler._drop_request,
}
