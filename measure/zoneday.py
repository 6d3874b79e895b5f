"""What a lost zone costs a fleet of the model, and how its return goes: counts over many seeds.

    .venv/bin/python -m measure.zoneday --seeds 20 --way together --json table.json

Of one day it counts: sends into the zone after its loss, when each surviving scheduler sent there last, jobs
by class and fate, work sent to each returning worker against its budget in every window, and when the zone
does again what it did before its loss. Budget: fall_multiple times the worker's capacity at that moment, for
fall_ms.
"""

from __future__ import annotations

import json
import statistics
from collections import Counter, deque
from concurrent.futures import ProcessPoolExecutor
from importlib import resources
from typing import Any

import click
import msgspec

from spanwing.faults import ErrorCollector
from spanwing.simulation.fault_injection import FaultInjector
from spanwing.simulation.fleet import AnsweredRequest, FleetSimulation, GeneratedRequest, WorkerHost
from spanwing.simulation.scenario import parse_scenario
from spanwing.simulation.scheduler import SimulatedScheduler
from spanwing.simulation.zone_fleet import LeaderFleet, StandaloneFleet

BEFORE_S = 4.0  # the zone's work in this time before its loss is what it did
WHOLE = 0.9  # of that work again: whole capacity
STEP_MS = 250.0
AFTER_S = 8.0  # requests that come up to so long after the return are counted


class Watched(FleetSimulation):
    """A fleet that counts what goes to one zone."""

    def __init__(self, *given: Any, zone: str, lost_ms: float, back_ms: float, **more: Any) -> None:
        self.zone, self.lost_ms, self.back_ms = zone, lost_ms, back_ms
        self.into, self.last = 0, dict[str, float]()
        self.windows: dict[int, deque[tuple[float, float]]] = {}
        self.over, self.most, self.falls = 0, 0.0, 0
        self.done: list[tuple[float, float]] = []
        super().__init__(*given, **more)

    def send_attempt(
        self, scheduler: SimulatedScheduler, request_id: str, attempt_number: int, worker_id: int
    ) -> None:
        now, host = self.event_queue.now_ms, self.worker_hosts.get(worker_id)
        if host is not None and host.worker.spec.zone == self.zone and self.lost_ms <= now < self.back_ms:
            self.into += 1
            self.last[scheduler.name] = now
        super().send_attempt(scheduler, request_id, attempt_number, worker_id)

    def _arrive_at_worker(
        self,
        scheduler: SimulatedScheduler,
        request_id: str,
        attempt_number: int,
        host: WorkerHost,
        generated: GeneratedRequest | None,
    ) -> None:
        worker, now = host.worker, self.event_queue.now_ms
        if (
            generated is not None
            and (request_id, attempt_number) in scheduler.open_attempts
            and worker.spec.zone == self.zone
            and now >= self.back_ms
            and not worker.is_down
            and worker.capacity_fraction() < 1.0
        ):
            spec, window = worker.spec, self.windows.setdefault(host.worker_id, deque())
            window.append((now, generated.work_ms * generated.slots))
            while window[0][0] <= now - spec.overload_window_ms:
                window.popleft()
            capacity = min(spec.cores, spec.slots) * spec.speed * worker.capacity_fraction()
            used = sum(work for _, work in window) / (
                spec.overload_multiple * capacity * spec.overload_window_ms
            )
            self.most = max(self.most, used)
            self.over += used > 1.0 and len(window) > 1  # one job alone may be larger than the budget
        super()._arrive_at_worker(scheduler, request_id, attempt_number, host, generated)

    def worker_went_down(self, host: WorkerHost) -> None:
        self.falls += host.worker.spec.zone == self.zone and self.event_queue.now_ms >= self.back_ms
        super().worker_went_down(host)

    def look(self) -> None:
        """What the zone has worked so far."""
        done = sum(
            each.worker.processed_work
            for each in self.worker_hosts.values()
            if each.worker.spec.zone == self.zone
        )
        self.done.append((self.event_queue.now_ms, done))

    def whole_after(self) -> float | None:
        """ms from the return until a second's work of the zone is what it was; None: not on this day."""
        at = dict(self.done)
        first = max(each for each in at if each <= self.lost_ms - BEFORE_S * 1000.0)
        last = max(each for each in at if each <= self.lost_ms)
        rate = (at[last] - at[first]) / (last - first)
        for now, done in self.done:
            before = at.get(now - 4 * STEP_MS)
            if (
                now >= self.back_ms + 4 * STEP_MS
                and before is not None
                and (done - before >= WHOLE * rate * 4 * STEP_MS)
            ):
                return now - self.back_ms
        return None


class Together(Watched, LeaderFleet):
    """The same, where the schedulers leave and return as one."""


class Solo(Watched, StandaloneFleet):
    """The same, where each leaves and returns by its own evidence."""


WAYS = {"none": Watched, "together": Together, "solo": Solo}


def run_day(scenario: str, seed: int, way: str = "none", times: int = 1) -> dict[str, Any]:
    """One day; times: so many times the schedulers, the workers and the jobs."""
    text = (resources.files("spanwing.simulation") / "scenarios" / f"{scenario}.toml").read_bytes()
    day = msgspec.structs.replace(parse_scenario(text, ErrorCollector()), times=times)
    loss = next((each for each in day.faults if each.what == "zone_lost"), None)
    zone, lost, back = "", day.day_ms, day.day_ms  # a day on which no zone may be left
    if loss is not None:
        zone, lost, back = loss.zone, loss.at * 1000.0, (loss.at + loss.lasts) * 1000.0
    plan = day.build_plan(seed)
    fates, aims = Counter[str](), {each.name: each for each in plan.classes}

    def told(answered: AnsweredRequest) -> None:
        if lost <= answered.asked_at_ms < back + AFTER_S * 1000.0:
            cls, fate = aims[answered.class_name], answered.outcome
            if fate == "served":
                fate = (
                    "in time"
                    if answered.elapsed_ms
                    <= cls.latency_objective_ms + cls.objective_stretch * answered.work_ms
                    else "late"
                )
            fates[f"{answered.class_name} {fate}"] += 1
            fates[f"all {fate}"] += 1
            fates["worth"] += cls.priority_weight
            fates["worth in time"] += cls.priority_weight * (fate == "in time")

    regions = {"regions": {name: tuple(each) for name, each in day.regions.items()}} if way != "none" else {}
    fleet = WAYS[way](plan, seed, told, zone=zone, lost_ms=lost, back_ms=back, **regions)
    FaultInjector(fleet, tuple(day.faults), day.day_ms)
    for step in range(int(day.day_ms / STEP_MS) + 1):
        fleet.event_queue.schedule_at(step * STEP_MS, fleet.look)
    fleet.run(day.day_ms)
    last = sorted(fleet.last.values())
    return {
        "into": fleet.into,
        "first_ms": last[0] - lost if last else 0.0,
        "last_ms": last[-1] - lost if last else 0.0,
        "over": fleet.over,
        "most": fleet.most,
        "falls": fleet.falls,
        "whole_ms": fleet.whole_after() if zone else None,
        **fates,
        **_changes(fleet, lost, back, {each.zone for each in day.faults if each.zone}),
    }


def _changes(fleet: Watched, lost: float, back: float, may: set[str]) -> dict[str, Any]:
    """When the fleet decided what of the zone, and what it cost; may: zones that are lost this day."""
    if not isinstance(fleet, LeaderFleet | StandaloneFleet):
        return {}
    mine = [(at, state) for at, zone, state, _ in fleet.zone_changes if zone == fleet.zone]
    others = sum(state == "leaving" and zone not in may for _, zone, state, _ in fleet.zone_changes)
    return {
        "decided_ms": next((at - lost for at, state in mine if state == "leaving"), None),
        "returning_ms": next((at - back for at, state in mine if state == "returning"), None),
        "open_ms": next((at - back for at, state in mine if state == "open"), None),
        "left": sum(state == "leaving" for _, _, state, _ in fleet.zone_changes),
        "false_alarms": others,
        "messages_s": getattr(fleet, "messages", 0) / (fleet.event_queue.now_ms / 1000.0),
        "bytes_s": getattr(fleet, "bytes", 0) / (fleet.event_queue.now_ms / 1000.0),
    }


def table(rows: list[dict[str, Any]]) -> str:
    """Mean, least and most of each figure over the days, as Markdown."""
    lines = ["| figure | mean | least | most |", "| --- | --- | --- | --- |"]
    for name in sorted({name for row in rows for name in row}):
        found = [row.get(name, 0) for row in rows]
        known = [each for each in found if each is not None]
        note = f" ({len(found) - len(known)} days never)" if len(known) < len(found) else ""
        if known:
            figures = " | ".join(f"{each:.2f}" for each in (statistics.mean(known), min(known), max(known)))
            lines.append(f"| {name}{note} | {figures} |")
    return "\n".join(lines)


@click.command()
@click.option("--scenario", default="fleet-zone", show_default=True)
@click.option("--seeds", default=20, show_default=True)
@click.option(
    "--way",
    type=click.Choice(sorted(WAYS)),
    default="none",
    show_default=True,
    help="together: the schedulers leave and return as one; solo: each by its own evidence.",
)
@click.option("--times", default=1, show_default=True, help="So many times the fleet.")
@click.option("--json", "into", type=click.Path(), help="Keep each day's figures there.")
def main(scenario: str, seeds: int, way: str, times: int, into: str | None) -> None:
    with ProcessPoolExecutor() as pool:
        many = [scenario] * seeds, range(1, seeds + 1), [way] * seeds, [times] * seeds
        rows = list(pool.map(run_day, *many))
    if into:
        with open(into, "w") as file:
            json.dump(rows, file)
    click.echo(table(rows))


if __name__ == "__main__":
    main()
