"""Which workers this scheduler may use now: the one local structure that the hot path reads.

Pure; time is passed in. may_forward() takes constant time, whatever the size of the fleet. Without a valid
lease the last state is not acted on: the scheduler routes standalone, and never as one of the assigned
feeders (docs/design/zones.md has the proof that all schedulers together stay within the budget of a worker
that is warming up). Bounds: one WorkerRouting per listed worker.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from typing import NamedTuple

from spanwing import interface as api
from spanwing.zones.evidence import short_worker_id
from spanwing.zones.state import RETURN_STEPS, FleetZones, ZoneState, admission_order, choose_feeders

MAX_TRANSIT_MS = 2500.0  # an attempt that a worker neither accepts nor rejects within this is cancelled


class RoutingRules(NamedTuple):
    """What workers bear while they warm up, from the settings, and this scheduler's session and zone."""

    session: str
    zone: str
    slow_start_ms: float
    overload_window_ms: float
    feeder_count: int  # feeders of one worker that is warming up
    is_standalone: bool = False  # standalone: no feeder assignment, feeding as the scheduler computes it

    def feeder_change_delay_ms(self) -> float:
        """Returns after how many ms a former feeder has surely spent nothing within a window."""
        return self.overload_window_ms + MAX_TRANSIT_MS


class WorkerRouting(NamedTuple):
    """Routing of one worker, with a lease and without."""

    is_admitted: bool = True
    is_feeder: bool | None = None  # while it is warming up; None: as the scheduler computes it
    feeding_from_ms: float = -math.inf  # by the lease's clock
    full_budget_from_ms: float = -math.inf  # before this, feeding uses half the budget
    is_admitted_without_lease: bool = True
    is_feeder_without_lease: bool = False
    started_at_ms: float = 0.0  # by the scheduler's clock, as the fleet knows it; 0: long ago


class RoutingFilter:
    """Filters workers by the fleet's zones and the endpoint list."""

    def __init__(self, rules: RoutingRules, is_first_position: Callable[[int], bool]) -> None:
        """is_first_position: whether this scheduler is first of all positions, by hash, for a worker."""
        self.rules, self.is_first_position = rules, is_first_position
        self.fleet: FleetZones | None = None
        self.workers: dict[int, api.Worker] = {}
        self.routing: dict[int, WorkerRouting] = {}
        self.feeding_starts_ms: dict[
            int, float
        ] = {}  # by worker assigned to this scheduler: feeding begins at
        self.return_started_at: dict[
            str, tuple[float, float]
        ] = {}  # by returning zone: when that was learned, by both clocks

    def update_workers(self, endpoint_list: api.WorkerList, now: float, module_now: float) -> None:
        """Applies a watch event of the endpoint list."""
        if endpoint_list.scope == "error":
            return
        if endpoint_list.scope != "partial":
            self.workers = {}
        self.workers.update((each.id, each) for each in endpoint_list.workers)
        for each in [each for each in self.workers.values() if each.state == "gone"]:
            del self.workers[each.id]
        self._update_routing(now)

    def update_zones(self, fleet: FleetZones, now: float, module_now: float) -> None:
        """Applies a new state of the zones; now: by the lease's clock, module_now: by the scheduler's."""
        self.fleet = fleet
        self.return_started_at = {
            name: self.return_started_at.get(name, (now, module_now))
            for name, zone in fleet.zones.items()
            if zone.state == "returning"
        }
        self._update_routing(now)

    def workers_by_zone(self) -> dict[str, list[int]]:
        """Returns the listed workers of each zone in admission order."""
        found: dict[str, list[int]] = {}
        for each in self.workers.values():
            found.setdefault(each.zone, []).append(each.id)
        return {zone: admission_order(ids) for zone, ids in found.items()}

    def _update_routing(self, now: float) -> None:
        routing: dict[int, WorkerRouting] = {}
        assigned: set[int] = set()
        for name, ids in self.workers_by_zone().items():
            zone = self.fleet.get_zone(name) if self.fleet is not None else ZoneState()
            admitted = set(ids[: admitted_count(zone, len(ids), name == self.rules.zone)])
            for worker in ids:
                routing[worker] = self._worker_routing(
                    zone, self.workers[worker], worker in admitted, assigned, now
                )
        self.feeding_starts_ms = {
            worker: at for worker, at in self.feeding_starts_ms.items() if worker in assigned
        }
        self.routing = routing

    def _worker_routing(
        self, zone: ZoneState, worker: api.Worker, is_admitted: bool, assigned: set[int], now: float
    ) -> WorkerRouting:
        rules = self.rules
        is_first = self.is_first_position(worker.id)
        # With one feeder its part is the whole budget, and a second feeder would exceed it.
        feeds_without_lease = is_first and rules.feeder_count > 1
        if rules.is_standalone:
            return WorkerRouting(
                is_admitted,
                is_admitted_without_lease=is_admitted,
                is_feeder_without_lease=True,
                started_at_ms=worker.started,
            )
        if zone.state == "open":
            return WorkerRouting(
                True,
                None,
                is_admitted_without_lease=True,
                is_feeder_without_lease=feeds_without_lease,
                started_at_ms=worker.started,
            )
        without_lease = is_first and not (zone.on_hold and zone.state != "returning")
        is_feeder, feeding_from_ms, full_budget_from_ms, started = False, -math.inf, -math.inf, worker.started
        if zone.state == "returning":
            # Endpoint lists may be late: what the fleet knows of a new incarnation counts for all.
            return_seen_at, return_seen_module_time = self.return_started_at[worker.zone]
            start_time = zone.worker_starts_ms.get(str(short_worker_id(worker.id)), return_seen_module_time)
            started = max(started, start_time)
            if self._is_assigned_feeder(worker.id, now):
                assigned.add(worker.id)
                # Until then, whoever fed by the hash of all positions may have spent within a window.
                is_feeder, feeding_from_ms, full_budget_from_ms = (
                    True,
                    self.feeding_starts_ms[worker.id],
                    return_seen_at + rules.feeder_change_delay_ms(),
                )
        return WorkerRouting(
            is_admitted,
            is_feeder,
            feeding_from_ms,
            full_budget_from_ms,
            without_lease,
            without_lease and feeds_without_lease,
            started,
        )

    def _is_assigned_feeder(self, worker: int, now: float) -> bool:
        """Returns whether the feeder assignment has this scheduler feed the worker.

        It may do so from self.feeding_starts_ms[worker] on.
        """
        assignment, rules = self.fleet.feeder_assignment, self.rules
        if assignment is None or rules.session not in choose_feeders(
            worker, assignment.sessions, rules.feeder_count
        ):
            return False
        if worker not in self.feeding_starts_ms or self.feeding_starts_ms[worker] == math.inf:
            # A new feeder waits until the former one has stopped and what that sent has aged.
            delay_ms = rules.feeder_change_delay_ms() if assignment.previous_sessions else 0.0
            self.feeding_starts_ms[worker] = now + delay_ms if assignment.in_force else math.inf
        return True

    def may_forward(self, worker: int, now: float, has_lease: bool, module_now: float) -> bool:
        """Returns whether a request may go there; now: lease's clock, module_now: scheduler's clock."""
        worker_routing = self.routing.get(worker)
        if worker_routing is None:
            return True  # not listed here: the core ends such an attempt itself
        if not (worker_routing.is_admitted if has_lease else worker_routing.is_admitted_without_lease):
            return False
        if (
            worker_routing.started_at_ms <= 0
            or module_now >= worker_routing.started_at_ms + self.rules.slow_start_ms
        ):
            return True
        if not has_lease:
            return worker_routing.is_feeder_without_lease
        return worker_routing.is_feeder is None or (
            worker_routing.is_feeder and now >= worker_routing.feeding_from_ms
        )

    def filter_workers(
        self,
        workers: Iterable[api.Worker],
        now: float,
        has_lease: bool,
        is_hashed_feeder: Callable[[int], bool],
    ) -> tuple[api.Worker, ...]:
        """Returns the workers as the scheduler is to see them.

        A worker that may not be used shows as draining. is_hashed_feeder: whether this scheduler feeds a
        worker by the hash of all positions.
        """
        found = []
        for each in workers:
            worker_routing = self.routing.get(each.id)
            if worker_routing is None:
                found.append(each)
                continue
            if (
                not (worker_routing.is_admitted if has_lease else worker_routing.is_admitted_without_lease)
                and each.state == "healthy"
            ):
                each = each._replace(state="draining")
            if not has_lease:
                feeder_share = float(worker_routing.is_feeder_without_lease)
            elif worker_routing.is_feeder is None:
                feeder_share = float(is_hashed_feeder(each.id))
            else:
                feeder_share = (
                    0.0
                    if not worker_routing.is_feeder or now < worker_routing.feeding_from_ms
                    else 0.5
                    if now < worker_routing.full_budget_from_ms
                    else 1.0
                )
            found.append(each._replace(feeder=feeder_share, started=worker_routing.started_at_ms))
        return tuple(found)

    def next_change_ms(self, now: float) -> float:
        """Returns when feeding next begins or grows by itself, by the lease's clock; inf: never."""
        return min(
            (
                at
                for use in self.routing.values()
                if use.is_feeder
                for at in (use.feeding_from_ms, use.full_budget_from_ms)
                if now < at
            ),
            default=math.inf,
        )


def admitted_count(zone: ZoneState, worker_count: int, is_own_zone: bool) -> int:
    """Returns how many of a zone's workers are in use, the first in admission order."""
    if zone.state == "open" or (zone.used_by_own_zone and is_own_zone):
        return worker_count
    share = zone.step / RETURN_STEPS if zone.state == "returning" else zone.share
    return math.ceil(share * worker_count - 1e-9)
