"""Injects the faults of a scenario into a simulated fleet.

Does no I/O. A fault is scheduled as one call at its begin and, unless it ends by itself, one at its end;
faults may overlap. Where faults of the same kind overlap on a worker, the worker recovers when the last of
them ends; on a scheduler's CPU, two zones, discovery or the work of attempts, the first end restores normal
operation. The affected workers are drawn from a random stream named by the fault's index in the list.
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
    """Describes one fault of a scenario; times in seconds from the begin of the day."""

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
        """Returns the invalid settings as pairs of key and message.

        `zones`, `tenants`, `kinds` (of workers) and `schedulers` are the names that the scenario defines.
        """
        errors = []
        if not 0 <= self.begin_s < day_s:
            errors.append(("at", f"{self.begin_s:g} is outside the day, 0 to {day_s:g}"))
        if not 0 <= self.duration_s <= day_s:
            errors.append(("lasts", f"{self.duration_s:g} is negative or longer than the day"))
        for name, bounds in REQUIRED_SETTINGS[self.fault_kind].items():
            value = getattr(self, name)
            minimum, maximum = bounds
            if not minimum <= value <= maximum:
                errors.append(
                    (
                        name,
                        f"{value:g} is out of range for {self.fault_kind} ({minimum:g} to {maximum:g})",
                    )
                )
        for name, value, known_names, fault_kinds in (
            ("brand", self.tenant, tenants, ("flood",)),
            ("zone", self.zone, zones, ("zone_lost",)),
            ("scheduler", self.scheduler, schedulers, ("stolen_cpu", "scheduler_stop")),
        ):
            if self.fault_kind in fault_kinds and value not in known_names:
                errors.append((name, f"{value!r} is not one of {', '.join(sorted(known_names))}"))
        if self.worker_kind and self.worker_kind not in kinds:
            errors.append(("kind", f"{self.worker_kind!r} is not one of {', '.join(sorted(kinds))}"))
        if self.fault_kind == "partition" and (
            not set(self.zone_pair) <= zones or len(set(self.zone_pair)) < 2
        ):
            errors.append(("between", f"a partition needs two different zones of {', '.join(sorted(zones))}"))
        return errors


ANY = (0.0, math.inf)
#: The numeric settings that each kind of fault requires, with their minimum and maximum.
REQUIRED_SETTINGS: dict[str, dict[str, tuple[float, float]]] = {
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
# In a deploy a worker drains for DEPLOY_DRAIN_MS and is then down for DEPLOY_DOWN_MS.
DEPLOY_DRAIN_MS, DEPLOY_DOWN_MS = 2000.0, 1000.0
RESTART_SPREAD_MS = 1000.0  # time within which stopped schedulers restart one after another


class FaultInjector:
    """Schedules a list of faults in the event queue of a fleet.

    The method `_KIND` of a fault kind returns the calls that begin and end the fault; the second is None for
    a fault that ends by itself.
    """

    def __init__(self, simulation: FleetSimulation, faults: tuple[FaultSpec, ...], day_ms: float) -> None:
        self.simulation, self.active_count = simulation, Counter[tuple[str, int]]()
        for fault_index, fault in enumerate(faults):
            begin_ms = fault.begin_s * 1000.0
            end_ms = begin_ms + fault.duration_s * 1000.0 if fault.duration_s else day_ms
            begin, end = getattr(self, f"_{fault.fault_kind}")(fault, fault_index, begin_ms, end_ms)
            simulation.event_queue.schedule_at(begin_ms, begin)
            if end is not None:
                simulation.event_queue.schedule_at(end_ms, end)

    def _select_workers(self, fault: FaultSpec, fault_index: int) -> list[WorkerHost]:
        """Returns the workers that the fault affects: its share of the eligible ones, at least one."""
        eligible = [
            each
            for each in self.simulation.worker_hosts.values()
            if fault.worker_kind in ("", each.worker.spec.kind)
        ]
        count = max(1, round(fault.share * len(eligible)))
        indexes = self.simulation.streams.stream("trouble", fault_index).permutation(len(eligible))[:count]
        return [eligible[index] for index in sorted(indexes.tolist())]

    def _apply_to_workers(
        self, fault_kind: str, hosts: list[WorkerHost], change_worker: Callable[[WorkerHost, bool], None]
    ):
        """Returns the calls that begin and end a fault of the workers.

        `change_worker` is called with True and False. A worker on which faults of the same kind overlap is
        changed by the first begin and restored by the last end.
        """

        def begin() -> None:
            for host in hosts:
                self.active_count[fault_kind, host.worker_id] += 1
                if self.active_count[fault_kind, host.worker_id] == 1:
                    self._change_worker(host, change_worker, True)

        def end() -> None:
            for host in hosts:
                self.active_count[fault_kind, host.worker_id] -= 1
                if self.active_count[fault_kind, host.worker_id] == 0:
                    self._change_worker(host, change_worker, False)

        return begin, end

    def _change_worker(
        self, host: WorkerHost, change_worker: Callable[[WorkerHost, bool], None], is_active: bool
    ) -> None:
        """Begins or ends a fault of a worker at the current time."""
        self.simulation.advance_worker(host)  # accounts for the work done before the change
        change_worker(host, is_active)
        self.simulation.advance_worker(host)

    def _silent(self, fault: FaultSpec, fault_index: int, *_: float):
        """Makes workers accept jobs without sending any event about them."""
        return self._apply_to_workers(
            "silent",
            self._select_workers(fault, fault_index),
            lambda host, is_active: setattr(host.worker, "is_silent", is_active),
        )

    def _fast_failing(self, fault: FaultSpec, fault_index: int, *_: float):
        """Makes workers fail every new job at once."""
        return self._apply_to_workers(
            "fast_failing",
            self._select_workers(fault, fault_index),
            lambda host, is_active: setattr(host.worker, "fails_fast", is_active),
        )

    def _neighbour(self, fault: FaultSpec, fault_index: int, *_: float):
        """Leaves workers `times` of their speed, as a neighbour on their host uses the rest."""
        return self._apply_to_workers(
            "neighbour",
            self._select_workers(fault, fault_index),
            lambda host, is_active: setattr(host.worker, "speed_factor", fault.times if is_active else 1.0),
        )

    def _heavy_tail(self, fault: FaultSpec, *_: float):
        """Multiplies the work of `share` of the attempts by `times`."""
        simulation = self.simulation
        return (
            lambda: setattr(simulation, "heavy_tail", (fault.share, fault.times)),
            lambda: setattr(simulation, "heavy_tail", (0.0, 1.0)),
        )

    def _cold_snap(self, fault: FaultSpec, *_: float):
        """Multiplies the load of all tenants by `times`."""
        return self._multiply_load([each.name for each in self.simulation.plan.tenants], fault.times)

    def _flood(self, fault: FaultSpec, *_: float):
        """Multiplies the load of one tenant by `times`."""
        return self._multiply_load([fault.tenant], fault.times)

    def _multiply_load(self, tenants: list[str], factor: float):
        """Returns the calls that multiply the load of tenants and divide it again."""
        load_factors = self.simulation.clients.load_factor_by_tenant

        def begin() -> None:
            load_factors.update({each: load_factors.get(each, 1.0) * factor for each in tenants})

        def end() -> None:
            load_factors.update({each: load_factors[each] / factor for each in tenants})

        return begin, end

    def _partition(self, fault: FaultSpec, *_: float):
        """Partitions two zones from one another."""
        network, zone_pair = self.simulation.network, fault.zone_pair
        return lambda: network.partition(*zone_pair), lambda: network.heal_partition(*zone_pair)

    def _stolen_cpu(self, fault: FaultSpec, *_: float):
        """Takes `share` of one scheduler's CPU."""
        scheduler = self._find_scheduler(fault)
        return lambda: setattr(scheduler, "stolen_cpu_share", fault.share), lambda: setattr(
            scheduler, "stolen_cpu_share", 0.0
        )

    def _scheduler_stop(self, fault: FaultSpec, *_: float):
        """Stops one scheduler without notice; it does not restart."""
        return lambda: self.simulation.stop_scheduler(self._find_scheduler(fault)), None

    def _find_scheduler(self, fault: FaultSpec):
        """Returns the scheduler that the fault names, in its current incarnation."""
        return next(each for each in self.simulation.schedulers if each.name == fault.scheduler)

    def _discovery_down(self, *_: object):
        """Stops the publication of worker changes; they are published at the end."""
        simulation = self.simulation
        return lambda: setattr(simulation, "is_discovery_up", False), simulation.restore_discovery

    def _schedulers_killed(self, fault: FaultSpec, fault_index: int, *_: float):
        """Stops a share of the schedulers at once, and restarts them at the end."""
        simulation, stream = self.simulation, self.simulation.streams.stream("trouble", fault_index)
        names = [each.name for each in simulation.schedulers]
        count = max(1, round(fault.share * len(names)))
        chosen = {names[index] for index in stream.permutation(len(names))[:count]}
        return self._stop_schedulers(lambda each: each.name in chosen)

    def _stop_schedulers(self, is_affected: Callable[[SimulatedScheduler], bool]):
        """Returns the calls that stop the affected schedulers and restart them within RESTART_SPREAD_MS."""
        simulation, stopped = self.simulation, list[str]()

        def begin() -> None:
            stopped.extend(each.name for each in simulation.schedulers if is_affected(each) and each.is_up)
            for scheduler in [each for each in simulation.schedulers if each.name in stopped]:
                simulation.stop_scheduler(scheduler)

        def end() -> None:
            for index, name in enumerate(stopped):
                simulation.event_queue.schedule_after(
                    RESTART_SPREAD_MS * index / len(stopped), simulation.start_scheduler, name
                )

        return begin, end

    def _zone_lost(self, fault: FaultSpec, *_: float):
        """Stops a zone's schedulers and workers without notice; the workers warm up after their restart."""
        simulation = self.simulation
        stop_schedulers, restart_schedulers = self._stop_schedulers(lambda each: each.zone == fault.zone)
        hosts = [each for each in simulation.worker_hosts.values() if each.worker.spec.zone == fault.zone]

        def begin() -> None:
            stop_schedulers()
            for host in hosts:
                simulation.crash_if_up(host)

        def end() -> None:
            restart_schedulers()
            for host in hosts:
                simulation.start_if_down(host)

        return begin, end

    def _join(self, fault: FaultSpec, fault_index: int, begin_ms: float, end_ms: float):
        """Replaces workers one after another, evenly over the duration of the fault.

        A worker starts to drain DEPLOY_DRAIN_MS after its replacement has started, and stops three times
        DEPLOY_DRAIN_MS later. Replacements are warming up.
        """
        hosts = self._select_workers(fault, fault_index)

        def start() -> None:
            for index, host in enumerate(hosts):
                delay_ms = (end_ms - begin_ms) * index / len(hosts)
                self.simulation.event_queue.schedule_after(delay_ms, self.simulation.start_replacement, host)
                self.simulation.event_queue.schedule_after(
                    delay_ms + DEPLOY_DRAIN_MS, self.simulation.drain_worker, host
                )
                self.simulation.event_queue.schedule_after(
                    delay_ms + 4 * DEPLOY_DRAIN_MS, self.simulation.crash_if_up, host
                )

        return start, None

    def _crash(self, fault: FaultSpec, fault_index: int, *_: float):
        """Stops workers without notice, and starts them again at the end."""
        hosts = self._select_workers(fault, fault_index)

        def begin() -> None:
            for host in hosts:
                if not host.worker.is_down:
                    self.simulation.crash_worker(host)

        def end() -> None:
            for host in hosts:
                if host.worker.is_down:
                    self.simulation.start_worker(host)

        return begin, end

    def _deploy(self, fault: FaultSpec, fault_index: int, begin_ms: float, end_ms: float):
        """Drains, stops and restarts workers one after another, evenly over the duration of the fault.

        A worker drains for DEPLOY_DRAIN_MS, is down for DEPLOY_DOWN_MS, and warms up after its restart.
        """
        hosts = self._select_workers(fault, fault_index)
        interval_ms = max(0.0, end_ms - begin_ms - DEPLOY_DRAIN_MS - DEPLOY_DOWN_MS) / max(1, len(hosts))

        def start() -> None:
            for index, host in enumerate(hosts):
                self.simulation.event_queue.schedule_after(
                    index * interval_ms, self.simulation.drain_worker, host
                )
                self.simulation.event_queue.schedule_after(
                    index * interval_ms + DEPLOY_DRAIN_MS, self.simulation.crash_if_up, host
                )
                self.simulation.event_queue.schedule_after(
                    index * interval_ms + DEPLOY_DRAIN_MS + DEPLOY_DOWN_MS,
                    self.simulation.start_if_down,
                    host,
                )

        return start, None
