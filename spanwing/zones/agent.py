"""The zone logic of one scheduler process, without I/O.

Combines the routing filter and the evidence collector, chooses the workers to probe and builds the evidence
report. Pure; time is passed in as ms of two clocks: now is read from the lease's clock, module_now from the
decision module's. The decision module is told of each change to a worker exactly once. Bounds: those of the
routing filter and the evidence collector; at most one round of probes per FAULT_PROBE_INTERVAL_MS follows
faults that this scheduler sees itself.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable, Iterator
from heapq import nlargest

from spanwing import interface as api
from spanwing.scheduler import Scheduler
from spanwing.scheduler_state import WorkerState, stable_hash
from spanwing.zones.evidence import (
    FAULT_PROBE_INTERVAL_MS,
    EvidenceCollector,
    EvidenceReport,
    choose_workers_to_probe,
)
from spanwing.zones.routing_filter import RoutingFilter, RoutingRules
from spanwing.zones.state import FleetZones

STANDALONE_PROBES_PER_ZONE_PER_S = 4  # at a zone that is not open, in standalone mode
PROBES_PER_WORKER_PER_S = 3.0  # to each worker of a zone that is not open, by all schedulers together


class ZoneAgent:
    """The routing filter, the evidence collector and the choice of probes of one scheduler process."""

    def __init__(
        self,
        rules: RoutingRules,
        position: int,
        scheduler_count: int,
        is_hashed_feeder: Callable[[int], bool],
        random_source: random.Random,
    ) -> None:
        """Creates an agent that knows no workers yet.

        position: this scheduler's position, from 0 to scheduler_count - 1. is_hashed_feeder: returns whether
        rendezvous hashing over all positions makes this scheduler a feeder of a worker.
        """
        self.rules, self.position, self.scheduler_count, self.is_hashed_feeder, self.random_source = (
            rules,
            position,
            scheduler_count,
            is_hashed_feeder,
            random_source,
        )
        self.routing_filter, self.evidence_collector = (
            RoutingFilter(rules, lambda worker: self._first_position(worker) == position),
            EvidenceCollector(rules.zone),
        )
        # Caches of _first_position() and is_hashed_feeder(), cleared beyond twice the worker list plus 64.
        self.first_positions: dict[int, int] = {}
        self.hashed_feeders: dict[int, bool] = {}
        self.announced_workers: dict[int, api.Worker] = {}  # as the decision module knows them
        self.newly_admitted: set[int] = set()  # since the last call of restart_concurrency_limits()
        self.last_fault_probe_ms = -math.inf
        self.probed_zones: frozenset[str] = frozenset()  # zones of the last round of probes
        self.background_probes: set[int] = set()  # workers of open zones probed although no fault was seen

    @property
    def fleet(self) -> FleetZones | None:
        """The zones of the last document received; None before the first one."""
        return self.routing_filter.fleet

    def is_open(self, zone: str) -> bool:
        """Returns whether the zone is open. All zones are open before the first document."""
        return self.fleet is None or self.fleet.get_zone(zone).state == "open"

    # -- workers as the decision module sees them

    def filter_workers(
        self, endpoint_list: api.WorkerList, now: float, module_now: float, has_lease: bool
    ) -> api.WorkerList:
        """Returns the watch event for the decision module.

        A worker that may not be used is shown as draining.
        """
        self.routing_filter.update_workers(endpoint_list, now, module_now)
        if endpoint_list.scope == "error":
            return endpoint_list
        if endpoint_list.scope != "partial":
            self.announced_workers.clear()
        removed = [each for each in endpoint_list.workers if each.state == "gone"]
        for each in removed:
            self.announced_workers.pop(each.id, None)
        return api.WorkerList(endpoint_list.scope, (*self.changed_workers(now, has_lease), *removed))

    def changed_workers(self, now: float, has_lease: bool) -> list[api.Worker]:
        """Returns the workers that changed since they were last announced, and marks them as announced."""
        filtered = self.routing_filter.filter_workers(
            self.routing_filter.workers.values(), now, has_lease, self._is_hashed_feeder
        )
        changed = [each for each in filtered if self.announced_workers.get(each.id) != each]
        for each in changed:
            previous = self.announced_workers.get(each.id)
            is_first_step = self.fleet is not None and self.fleet.get_zone(each.zone).step == 1
            if (
                is_first_step
                and each.state == "healthy"
                and previous is not None
                and previous.state != "healthy"
            ):
                self.newly_admitted.add(each.id)
        self.announced_workers.update((each.id, each) for each in changed)
        return changed

    def restart_concurrency_limits(self, scheduler: Scheduler) -> None:
        """Sets the concurrency limit of newly admitted workers to 1, as after a backoff.

        Such a worker must complete an idempotent request before it gets others. To be called after the
        decision module has handled the watch event that admits these workers.
        """
        for worker in self.newly_admitted:
            worker_state = scheduler.worker_states.get(worker)
            if worker_state is not None and worker_state.entry.state == "healthy":
                worker_state.concurrency_limit = 1.0
        self.newly_admitted.clear()

    def _is_hashed_feeder(self, worker: int) -> bool:
        """Returns is_hashed_feeder(worker), cached."""
        if worker not in self.hashed_feeders:
            if len(self.hashed_feeders) > 2 * len(self.routing_filter.workers) + 64:
                self.hashed_feeders.clear()
            self.hashed_feeders[worker] = self.is_hashed_feeder(worker)
        return self.hashed_feeders[worker]

    def _first_position(self, worker: int) -> int:
        """Returns the scheduler position that rendezvous hashing ranks first for a worker, cached."""
        if worker not in self.first_positions:
            if len(self.first_positions) > 2 * len(self.routing_filter.workers) + 64:
                self.first_positions.clear()
            self.first_positions[worker] = nlargest(
                1, range(self.scheduler_count), key=lambda position: stable_hash(worker, position)
            )[0]
        return self.first_positions[worker]

    def unused_zones(self) -> Iterator[str]:
        """Yields the zones to which this scheduler forwards nothing while it has a lease."""
        for name, zone in self.fleet.zones.items() if self.fleet is not None else ():
            is_used_by_this_scheduler = zone.used_by_own_zone and name == self.rules.zone
            if zone.state in ("leaving", "left") and zone.share <= 0 and not is_used_by_this_scheduler:
                yield name

    # -- evidence and probes

    def attempt_sent(self, now: float, worker: int, attempt: tuple[str, int]) -> None:
        """Records that an attempt was sent to a worker. Ignored if the worker is not listed."""
        entry = self.routing_filter.workers.get(worker)
        if entry is not None:
            self.evidence_collector.attempt_sent(now, worker, entry.zone, attempt)

    def attempt_ended(self, now: float, worker: int, attempt: tuple[str, int], result: str) -> list[int]:
        """Records how an attempt ended; returns the workers to probe because of it."""
        return (
            self._probe_after_fault(now, worker)
            if self.evidence_collector.attempt_ended(now, worker, attempt, result)
            else []
        )

    def probe_finished(self, now: float, worker: int, result: str, elapsed_ms: float = 0.0) -> list[int]:
        """Records how a probe that took elapsed_ms ended; returns the workers to probe because of it."""
        entry = self.routing_filter.workers.get(worker)
        if entry is None:
            return []
        is_fault_probe = self.is_open(entry.zone) and (
            entry.zone in self.probed_zones or worker in self.background_probes
        )
        self.background_probes.discard(worker)
        is_new_fault = self.evidence_collector.probe_finished(
            now, worker, entry.zone, result, is_fault_probe, elapsed_ms
        )
        return self._probe_after_fault(now, worker) if is_new_fault else []

    def _probe_after_fault(self, now: float, worker: int) -> list[int]:
        """Returns the workers to probe after a fault of this worker, from its zone and from others.

        Empty if the last round was less than FAULT_PROBE_INTERVAL_MS ago.
        """
        entry = self.routing_filter.workers.get(worker)
        if entry is None or now < self.last_fault_probe_ms + FAULT_PROBE_INTERVAL_MS:
            return []
        self.last_fault_probe_ms = now
        return self.choose_workers_to_probe((entry.zone,))

    def choose_workers_to_probe(self, zones: Iterable[str]) -> list[int]:
        """Returns the workers to probe to find out whether these zones answer."""
        zones = tuple(zones)
        self.probed_zones = frozenset(zones)
        workers = self.routing_filter.workers.values()
        return [
            worker
            for zone in zones
            for worker in choose_workers_to_probe(zone, workers, self.random_source, self.rules.zone)
        ]

    def choose_trial_workers(self, now: float, zones: Iterable[str]) -> list[int]:
        """Returns one worker without evidence for each of these zones, to receive a trial request.

        Called when the leader asks for probes. A zone that fails requests may still answer probes, so a
        scheduler that sends it no requests gets no evidence against it. If only one scheduler sent requests
        there, there would be no verdict and that scheduler would keep sending them. Empty in standalone mode.
        """
        if self.rules.is_standalone:
            return []
        chosen = []
        for zone in zones:
            candidates = [
                worker
                for worker in self.routing_filter.workers_by_zone().get(zone, ())
                if self.evidence_collector.worker_health(now, worker) is None
            ]
            chosen += [self.random_source.choice(candidates)] if candidates else []
        return chosen

    def choose_background_probes(self) -> list[int]:
        """Returns the workers to probe this second: some in zones that are not open, one in an open zone.

        Where this scheduler forwards few requests, these probes are its only evidence.
        """
        probe_probability, open_zone_workers, chosen = (
            min(1.0, PROBES_PER_WORKER_PER_S / self.scheduler_count),
            [],
            [],
        )
        for zone, worker_ids in self.routing_filter.workers_by_zone().items():
            if self.is_open(zone):
                open_zone_workers += worker_ids
            else:
                chosen += (
                    self.random_source.sample(
                        worker_ids, min(STANDALONE_PROBES_PER_ZONE_PER_S, len(worker_ids))
                    )
                    if self.rules.is_standalone
                    else [worker for worker in worker_ids if self.random_source.random() < probe_probability]
                )
        self.background_probes = (
            {self.random_source.choice(open_zone_workers)} if open_zone_workers else set()
        )
        return [*chosen, *self.background_probes]

    def build_evidence_report(
        self, now: float, worker_states: Iterable[WorkerState], module_now: float
    ) -> EvidenceReport:
        """Returns the report for the next renewal; worker_states: all workers of the decision module."""
        return self.evidence_collector.build_report(now, slots_by_zone(worker_states, module_now))


def slots_by_zone(
    worker_states: Iterable[WorkerState], module_now: float
) -> Iterator[tuple[str, float, float]]:
    """Yields the zone, the slots in flight and the idle slots of each listed worker.

    Workers that this scheduler does not own, and workers in backoff, count as having no idle slots.
    """
    for worker_state in worker_states:
        if worker_state.entry.state != "gone":
            idle = (
                max(
                    0.0,
                    worker_state.estimated_slots - worker_state.reserved_slots - worker_state.foreign_slots,
                )
                if worker_state.is_owned
                else 0.0
            )
            yield (
                worker_state.entry.zone,
                float(worker_state.reserved_slots),
                idle if worker_state.ejected_until_ms <= module_now else 0.0,
            )
