"""Injects faults into a simulated fleet: what goes wrong, when, and for how long.

Pure. Each fault is two calls on the fleet, one at its begin and one at its end, so faults may overlap.
Faults of one kind on one worker count as one until the last of them has ended. The affected workers are
drawn from a random stream named by the fault's place in the list.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from typing import Literal

import msgspec

from spanwing.simulation.fleet import FleetSimulation, WorkerHost
from spanwing.simulation.scheduler import SimulatedScheduler

FaultKind = Literal[
    "silent",
    "fast_failing",
    "neighbour",
    "heavy_tail",
    "deploy",
    "crash",
    "cold_snap",
    "flood",
    "stolen_cpu",
    "partition",
    "discovery_down",
    "scheduler_stop",
    "schedulers_killed",
    "join",
    "zone_lost",
]


class FaultSpec(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One fault of a scenario; times in seconds from the begin of the day."""

    fault_kind: FaultKind = msgspec.field(name="what")
    begin_s: float = msgspec.field(name="at")
    duration_s: float = msgspec.field(default=0.0, name="lasts")  # 0: until the end of the day
    share: float = 0.0  # of the workers or schedulers, of one scheduler's CPU, or of the attempts
    times: float = 0.0  # multiple of the load or the work, or the part of the speed that remains
    tenant: str = msgspec.field(default="", name="brand")
    worker_kind: str = msgspec.field(default="", name="kind")  # empty: all kinds
    zone_pair: tuple[str, str] = msgspec.field(default=("", ""), name="between")
    scheduler: str = ""
    zone: str = ""

    def find_errors(
        self, zones: set[str], tenants: set[str], kinds: set[str], schedulers: set[str], day_s: float
    ) -> list[tuple[str, str]]:
        """Returns what is not possible, as pairs of field and error."""
        errors = []
        if not 0 <= self.begin_s < day_s:
            errors.append(("at", f"{self.begin_s:g} is not within the day, 0 to {day_s:g}"))
        if not 0 <= self.duration_s <= day_s:
            errors.append(("lasts", f"{self.duration_s:g} is not possible"))
        for name, bounds in REQUIRED_FIGURES[self.fault_kind].items():
            value = getattr(self, name)
            minimum, maximum = bounds
            if not minimum <= value <= maximum:
                errors.append(
                    (name, f"{value:g} is not possible for {self.fault_kind}, {minimum:g} to {maximum:g} are")
                )
        for name, value, known_names, fault_kinds in (
            ("brand", self.tenant, tenants, ("flood",)),
            ("zone", self.zone, zones, ("zone_lost",)),
            ("scheduler", self.scheduler, schedulers, ("stolen_cpu", "scheduler_stop")),
        ):
            if self.fault_kind in fault_kinds and value not in known_names:
                errors.append((name, f"{value!r} is none of {', '.join(sorted(known_names))}"))
        if self.worker_kind and self.worker_kind not in kinds:
            errors.append(("kind", f"{self.worker_kind!r} is none of {', '.join(sorted(kinds))}"))
        if self.fault_kind == "partition" and (
            not set(self.zone_pair) <= zones or len(set(self.zone_pair)) < 2
        ):
            errors.append(("between", f"needs two of {', '.join(sorted(zones))}"))
        return errors


ANY = (0.0, math.inf)
#: By fault: the figures that it needs, with their bounds.
REQUIRED_FIGURES: dict[str, dict[str, tuple[float, float]]] = {
    "silent": {"share": (0.001, 1.0)},
    "fast_failing": {"share": (0.001, 1.0)},
    "neighbour": {"share": (0.001, 1.0), "times": (0.01, 1.0)},
    "heavy_tail": {"share": (0.0001, 1.0), "times": (1.0, 1000.0)},
    "deploy": {"share": (0.001, 1.0)},
    "crash": {"share": (0.001, 1.0)},
    "cold_snap": {"times": (1.0, 100.0)},
    "flood": {"times": (1.0, 1000.0)},
    "stolen_cpu": {"share": (0.01, 0.99)},
    "partition": {},
    "discovery_down": {},
    "scheduler_stop": {},
    "schedulers_killed": {"share": (0.001, 1.0)},
    "join": {"share": (0.001, 1.0)},
    "zone_lost": {},
}
DEPLOY_DRAIN_MS, DEPLOY_DOWN_MS = (
    2000.0,
    1000.0,
)  # how long a worker drains in a deploy, then how long it is down


class FaultInjector:
    """Schedules a list of faults in a fleet's event queue."""

    def __init__(self, simulation: FleetSimulation, faults: tuple[FaultSpec, ...], day_ms: float) -> None:
        self.simulation, self.active_count = simulation, Counter[tuple[str, int]]()
        for number, each in enumerate(faults):
            begin_ms = each.begin_s * 1000.0
            end_ms = begin_ms + each.duration_s * 1000.0 if each.duration_s else day_ms
            start, stop = getattr(self, f"_{each.fault_kind}")(each, number, begin_ms, end_ms)
            simulation.event_queue.schedule_at(begin_ms, start)
            if stop is not None:
                simulation.event_queue.schedule_at(end_ms, stop)

    def _select_workers(self, fault: FaultSpec, fault_index: int) -> list[WorkerHost]:
        """Returns the workers that the fault affects, at least one."""
        eligible = [
            each
            for each in self.simulation.worker_hosts.values()
            if fault.worker_kind in ("", each.worker.spec.kind)
        ]
        count = max(1, round(fault.share * len(eligible)))
        chosen = self.simulation.streams.stream("trouble", fault_index).permutation(len(eligible))[:count]
        return [eligible[each] for each in sorted(chosen.tolist())]

    def _apply_to_workers(
        self, fault_kind: str, hosts: list[WorkerHost], change_worker: Callable[[WorkerHost, bool], None]
    ):
        """Returns the calls that begin and end a change of each worker.

        The change of a worker ends with the last fault of its kind.
        """

        def begin() -> None:
            for place in hosts:
                self.active_count[fault_kind, place.worker_id] += 1
                if self.active_count[fault_kind, place.worker_id] == 1:
                    self._change_worker(place, change_worker, True)

        def end() -> None:
            for place in hosts:
                self.active_count[fault_kind, place.worker_id] -= 1
                if self.active_count[fault_kind, place.worker_id] == 0:
                    self._change_worker(place, change_worker, False)

        return begin, end

    def _change_worker(
        self, host: WorkerHost, change_worker: Callable[[WorkerHost, bool], None], is_active: bool
    ) -> None:
        self.simulation.advance_worker(host)  # work up to now was done in the former condition
        change_worker(host, is_active)
        self.simulation.advance_worker(host)

    def _silent(self, fault: FaultSpec, fault_index: int, *_: float):
        return self._apply_to_workers(
            "silent",
            self._select_workers(fault, fault_index),
            lambda place, on: setattr(place.worker, "silent", on),
        )

    def _fast_failing(self, fault: FaultSpec, fault_index: int, *_: float):
        return self._apply_to_workers(
            "fast_failing",
            self._select_workers(fault, fault_index),
            lambda place, on: setattr(place.worker, "fast_failing", on),
        )

    def _neighbour(self, fault: FaultSpec, fault_index: int, *_: float):
        return self._apply_to_workers(
            "neighbour",
            self._select_workers(fault, fault_index),
            lambda place, on: setattr(place.worker, "slowed", fault.times if on else 1.0),
        )

    def _heavy_tail(self, fault: FaultSpec, *_: float):
        simulation = self.simulation
        return (
            lambda: setattr(simulation, "tail", (fault.share, fault.times)),
            lambda: setattr(simulation, "tail", (0.0, 1.0)),
        )

    def _cold_snap(self, fault: FaultSpec, *_: float):
        return self._multiply_load([each.name for each in self.simulation.plan.tenants], fault.times)

    def _flood(self, fault: FaultSpec, *_: float):
        return self._multiply_load([fault.tenant], fault.times)

    def _multiply_load(self, tenants: list[str], factor: float):
        load_factors = self.simulation.clients.load_factor_by_tenant

        def begin() -> None:
            load_factors.update({each: load_factors.get(each, 1.0) * factor for each in tenants})

        def end() -> None:
            load_factors.update({each: load_factors[each] / factor for each in tenants})

        return begin, end

    def _partition(self, fault: FaultSpec, *_: float):
        network, between = self.simulation.network, fault.zone_pair
        return lambda: network.partition(*between), lambda: network.heal_partition(*between)

    def _stolen_cpu(self, fault: FaultSpec, *_: float):
        scheduler = self._find_scheduler(fault)
        return lambda: setattr(scheduler, "stolen", fault.share), lambda: setattr(scheduler, "stolen", 0.0)

    def _scheduler_stop(self, fault: FaultSpec, *_: float):
        return lambda: self.simulation.stop_scheduler(self._find_scheduler(fault)), None

    def _find_scheduler(self, fault: FaultSpec):
        return next(each for each in self.simulation.schedulers if each.name == fault.scheduler)

    def _discovery_down(self, *_: object):
        simulation = self.simulation
        return lambda: setattr(simulation, "discovery_up", False), simulation.restore_discovery

    def _schedulers_killed(self, fault: FaultSpec, fault_index: int, *_: float):
        """Stops a share of the schedulers at once; at the end they restart one after another within 1 s."""
        simulation, stream = self.simulation, self.simulation.streams.stream("trouble", fault_index)
        names = [each.name for each in simulation.schedulers]
        count = max(1, round(fault.share * len(names)))
        chosen = {names[at] for at in stream.permutation(len(names))[:count]}
        return self._stop_schedulers(lambda each: each.name in chosen)

    def _stop_schedulers(self, is_affected: Callable[[SimulatedScheduler], bool]):
        """Returns the calls that stop the affected schedulers, and restart them within 1 s."""
        simulation, stopped = self.simulation, list[str]()

        def begin() -> None:
            stopped.extend(each.name for each in simulation.schedulers if is_affected(each) and each.is_up)
            for node in [each for each in simulation.schedulers if each.name in stopped]:
                simulation.stop_scheduler(node)

        def end() -> None:
            for turn, name in enumerate(stopped):
                simulation.event_queue.schedule_after(
                    1000.0 * turn / len(stopped), simulation.start_scheduler, name
                )

        return begin, end

    def _zone_lost(self, fault: FaultSpec, *_: float):
        """Stops the zone's schedulers and workers without notice; all return, the workers warming up."""
        simulation = self.simulation
        stop_schedulers, restart_schedulers = self._stop_schedulers(lambda each: each.zone == fault.zone)
        hosts = [each for each in simulation.worker_hosts.values() if each.worker.spec.zone == fault.zone]

        def begin() -> None:
            stop_schedulers()
            for place in hosts:
                simulation.crash_if_up(place)

        def end() -> None:
            restart_schedulers()
            for place in hosts:
                simulation.start_if_down(place)

        return begin, end

    def _join(self, fault: FaultSpec, fault_index: int, begin_ms: float, end_ms: float):
        """Starts replacements, which warm up, one after another, evenly over the time.

        Each worker drains 2 s after its replacement started (DEPLOY_DRAIN_MS), and stops 6 s later.
        """
        hosts = self._select_workers(fault, fault_index)

        def start() -> None:
            for turn, place in enumerate(hosts):
                when = (end_ms - begin_ms) * turn / len(hosts)
                self.simulation.event_queue.schedule_after(when, self.simulation.start_replacement, place)
                self.simulation.event_queue.schedule_after(
                    when + DEPLOY_DRAIN_MS, self.simulation.drain_worker, place
                )
                self.simulation.event_queue.schedule_after(
                    when + 4 * DEPLOY_DRAIN_MS, self.simulation.crash_if_up, place
                )

        return start, None

    def _crash(self, fault: FaultSpec, fault_index: int, *_: float):
        hosts = self._select_workers(fault, fault_index)

        def begin() -> None:
            for place in hosts:
                if not place.worker.is_down:
                    self.simulation.crash_worker(place)

        def end() -> None:
            for place in hosts:
                if place.worker.is_down:
                    self.simulation.start_worker(place)

        return begin, end

    def _deploy(self, fault: FaultSpec, fault_index: int, begin_ms: float, end_ms: float):
        """Drains, stops and restarts the workers one after another, evenly over the time.

        Each drains for DEPLOY_DRAIN_MS, is down for DEPLOY_DOWN_MS, and warms up after its restart.
        """
        hosts = self._select_workers(fault, fault_index)
        interval_ms = max(0.0, end_ms - begin_ms - DEPLOY_DRAIN_MS - DEPLOY_DOWN_MS) / max(1, len(hosts))

        def start() -> None:
            for turn, place in enumerate(hosts):
                self.simulation.event_queue.schedule_after(
                    turn * interval_ms, self.simulation.drain_worker, place
                )
                self.simulation.event_queue.schedule_after(
                    turn * interval_ms + DEPLOY_DRAIN_MS, self.simulation.crash_if_up, place
                )
                self.simulation.event_queue.schedule_after(
                    turn * interval_ms + DEPLOY_DRAIN_MS + DEPLOY_DOWN_MS,
                    self.simulation.start_if_down,
                    place,
                )

        return start, None
