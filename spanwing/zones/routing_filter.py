"""The routing filter: which workers this scheduler may use now, precomputed for the request path.

Pure; time is passed in. may_forward() takes constant time, whatever the size of the fleet. Without a valid
lease the scheduler does not act on the last state of the zones: it routes on its own, and never as an
assigned feeder. docs/design/zones.md proves that all schedulers together stay within the budget of a worker
that is warming up. Bounds: one WorkerRouting per listed worker.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from typing import NamedTuple

from spanwing import interface as api
from spanwing.zones.evidence import short_worker_id
from spanwing.zones.state import RETURN_STEPS, FleetZones, ZoneState, admission_order, choose_feeders

MAX_TRANSIT_MS = 2500.0  # an attempt neither accepted nor rejected within this is cancelled


class RoutingRules(NamedTuple):
    """This scheduler's session and zone, and the settings for workers that are warming up."""

    session: str
    zone: str
    slow_start_ms: float
    overload_window_ms: float
    feeder_count: int  # feeders per worker
    is_standalone: bool = False  # no feeder assignment; the decision module computes who feeds

    def feeder_change_delay_ms(self) -> float:
        """Returns how long, in ms, the requests of a former feeder can still count in a budget's window."""
        return self.overload_window_ms + MAX_TRANSIT_MS


class WorkerRouting(NamedTuple):
    """How one worker may be used, with a lease and without; a feeder matters only while it is warming up."""

    is_admitted: bool = True
    is_feeder: bool | None = None  # None: as the decision module computes it
    feeding_from_ms: float = -math.inf  # start of feeding, by the lease's clock
    full_budget_from_ms: float = -math.inf  # until then, feeding uses half of its part of the budget
    is_admitted_without_lease: bool = True
    is_feeder_without_lease: bool = False
    started_at_ms: float = 0.0  # by the decision module's clock, as the fleet knows it; 0: long ago


class RoutingFilter:
    """Filters the workers of the endpoint list by the state of their zones."""

    def __init__(self, rules: RoutingRules, is_first_position: Callable[[int], bool]) -> None:
        """Creates a filter without workers, to which all zones are open.

        is_first_position: returns whether rendezvous hashing ranks this scheduler's position first for a
        worker.
        """
        self.rules, self.is_first_position = rules, is_first_position
        self.fleet: FleetZones | None = None
        self.workers: dict[int, api.Worker] = {}
        self.routing: dict[int, WorkerRouting] = {}
        # By worker that this scheduler is assigned to feed: start of feeding, by the lease's clock.
        self.feeding_starts_ms: dict[int, float] = {}
        # By returning zone: when the return was learned of, by the lease's and the decision module's clock.
        self.return_learned_at_ms: dict[str, tuple[float, float]] = {}

    def update_workers(self, endpoint_list: api.WorkerList, now: float, module_now: float) -> None:
        """Applies a watch event of the endpoint list; now: by the lease's clock."""
        if endpoint_list.scope == "error":
            return
        if endpoint_list.scope != "partial":
            self.workers = {}
        self.workers.update((each.id, each) for each in endpoint_list.workers)
        for each in [each for each in self.workers.values() if each.state == "gone"]:
            del self.workers[each.id]
        self._update_routing(now)

    def update_zones(self, fleet: FleetZones, now: float, module_now: float) -> None:
        """Applies a new state of the zones.

        now: by the lease's clock; module_now: by the decision module's clock.
        """
        self.fleet = fleet
        self.return_learned_at_ms = {
            name: self.return_learned_at_ms.get(name, (now, module_now))
            for name, zone in fleet.zones.items()
            if zone.state == "returning"
        }
        self._update_routing(now)

    def workers_by_zone(self) -> dict[str, list[int]]:
        """Returns the listed workers of each zone in admission order."""
        workers_by_zone: dict[str, list[int]] = {}
        for each in self.workers.values():
            workers_by_zone.setdefault(each.zone, []).append(each.id)
        return {zone: admission_order(worker_ids) for zone, worker_ids in workers_by_zone.items()}

    def _update_routing(self, now: float) -> None:
        routing: dict[int, WorkerRouting] = {}
        assigned: set[int] = set()
        for name, worker_ids in self.workers_by_zone().items():
            zone = self.fleet.get_zone(name) if self.fleet is not None else ZoneState()
            admitted = set(worker_ids[: admitted_count(zone, len(worker_ids), name == self.rules.zone)])
            for worker in worker_ids:
                routing[worker] = self._worker_routing(
                    zone, self.workers[worker], worker in admitted, assigned, now
                )
        self.feeding_starts_ms = {
            worker: start_ms for worker, start_ms in self.feeding_starts_ms.items() if worker in assigned
        }
        self.routing = routing

    def _worker_routing(
        self, zone: ZoneState, worker: api.Worker, is_admitted: bool, assigned: set[int], now: float
    ) -> WorkerRouting:
        """Returns the routing of one worker; adds it to assigned if this scheduler is to feed it."""
        rules = self.rules
        is_first = self.is_first_position(worker.id)
        # A single feeder uses the whole budget: a scheduler without a lease that fed as well would exceed it.
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
        is_admitted_without_lease = is_first and not (zone.on_hold and zone.state != "returning")
        is_feeder, feeding_from_ms, full_budget_from_ms, started = False, -math.inf, -math.inf, worker.started
        if zone.state == "returning":
            # Endpoint lists may be outdated: the start that the fleet knows of counts at every scheduler.
            return_learned_at, return_learned_module_time = self.return_learned_at_ms[worker.zone]
            start_time = zone.worker_starts_ms.get(
                str(short_worker_id(worker.id)), return_learned_module_time
            )
            started = max(started, start_time)
            if self._is_assigned_feeder(worker.id, now):
                assigned.add(worker.id)
                # Until then, feeders by the hash of all positions may have used part of the window's budget.
                is_feeder, feeding_from_ms, full_budget_from_ms = (
                    True,
                    self.feeding_starts_ms[worker.id],
                    return_learned_at + rules.feeder_change_delay_ms(),
                )
        return WorkerRouting(
            is_admitted,
            is_feeder,
            feeding_from_ms,
            full_budget_from_ms,
            is_admitted_without_lease,
            is_admitted_without_lease and feeds_without_lease,
            started,
        )

    def _is_assigned_feeder(self, worker: int, now: float) -> bool:
        """Returns whether this scheduler is an assigned feeder of the worker.

        If so, self.feeding_starts_ms[worker] is the time from which it may feed: inf for a new feeder
        until the assignment is in force.
        """
        assignment, rules = self.fleet.feeder_assignment, self.rules
        if assignment is None or rules.session not in choose_feeders(
            worker, assignment.sessions, rules.feeder_count
        ):
            return False
        if worker not in self.feeding_starts_ms or self.feeding_starts_ms[worker] == math.inf:
            # A new feeder waits until the previous one has stopped and its requests are outside the window.
            delay_ms = rules.feeder_change_delay_ms() if assignment.previous_sessions else 0.0
            self.feeding_starts_ms[worker] = now + delay_ms if assignment.in_force else math.inf
        return True

    def may_forward(self, worker: int, now: float, has_lease: bool, module_now: float) -> bool:
        """Returns whether a request may be forwarded to this worker.

        now: by the lease's clock; module_now: by the decision module's clock.
        """
        worker_routing = self.routing.get(worker)
        if worker_routing is None:
            return True  # not listed: the request manager ends such an attempt itself
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
        """Returns the workers as the decision module is to see them.

        A worker that may not be used is shown as draining. is_hashed_feeder: returns whether rendezvous
        hashing over all positions makes this scheduler a feeder of a worker.
        """
        filtered = []
        for each in workers:
            worker_routing = self.routing.get(each.id)
            if worker_routing is None:
                filtered.append(each)
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
            filtered.append(each._replace(feeder_share=feeder_share, started=worker_routing.started_at_ms))
        return tuple(filtered)

    def next_change_ms(self, now: float) -> float:
        """Returns when feeding next starts or gets its full budget, by the lease's clock; inf: never."""
        return min(
            (
                change_ms
                for worker_routing in self.routing.values()
                if worker_routing.is_feeder
                for change_ms in (worker_routing.feeding_from_ms, worker_routing.full_budget_from_ms)
                if now < change_ms
            ),
            default=math.inf,
        )


def admitted_count(zone: ZoneState, worker_count: int, is_own_zone: bool) -> int:
    """Returns how many of a zone's workers are in use; they are the first ones in admission order."""
    if zone.state == "open" or (zone.used_by_own_zone and is_own_zone):
        return worker_count
    share = zone.step / RETURN_STEPS if zone.state == "returning" else zone.share
    return math.ceil(share * worker_count - 1e-9)
