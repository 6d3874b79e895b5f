"""Measures what a lost zone costs a simulated fleet, and how its return goes, over many seeds.

    .venv/bin/python -m measure.zoneday --seeds 20 --way together --json table.json

The figures of one day:

- into: attempts sent to workers of the zone while it was lost.
- first_ms, last_ms: of the times, since the loss, at which each scheduler last sent an attempt there, the
  first and the last.
- `CLASS OUTCOME`, `all OUTCOME`: jobs by class and outcome; worth, worth in time: sums of priority weights.
- over: arrivals at a returning worker that exceeded its budget in an overload window; most: the largest share
  of a budget that was used. The budget is overload_multiple times the worker's capacity at that moment, for
  overload_window_ms.
- falls: workers of the zone that went down after the return.
- whole_ms: the time from the return until the zone works again as before its loss.
- decided_ms, returning_ms, open_ms: from the loss to the decision to leave, and from the return to the states
  returning and open; left: decisions to leave a zone; false_alarms: those about zones without a fault.
- messages_s, bytes_s: renewals, and bytes of evidence in them, a second.
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

from spanwing.config_errors import ErrorCollector
from spanwing.simulation.fault_injection import FaultInjector
from spanwing.simulation.fleet import AnsweredRequest, FleetSimulation, GeneratedRequest, WorkerHost
from spanwing.simulation.scenario import parse_scenario
from spanwing.simulation.scheduler import SimulatedScheduler
from spanwing.simulation.zone_fleet import LeaderFleet, StandaloneFleet

BASELINE_S = 4.0  # the zone's rate of work in this time before its loss is the baseline
RECOVERED_SHARE = 0.9  # of the baseline: the zone works again as before
SAMPLE_MS = 250.0
OUTCOMES_AFTER_RETURN_S = 8.0  # jobs that are sent up to this long after the return are counted


class MeasuredFleet(FleetSimulation):
    """A simulated fleet that counts what is sent to one zone and what the zone works."""

    def __init__(self, *given: Any, zone: str, lost_ms: float, back_ms: float, **more: Any) -> None:
        """zone: the zone to measure; lost_ms, back_ms: when it is lost and when it returns."""
        self.zone, self.lost_ms, self.back_ms = zone, lost_ms, back_ms
        self.sent_while_lost, self.last_sent_ms = 0, dict[str, float]()
        self.windows: dict[int, deque[tuple[float, float]]] = {}  # by worker: arrival in ms, work in ms
        self.over_budget_count, self.max_budget_usage, self.went_down_count = 0, 0.0, 0
        self.work_samples: list[tuple[float, float]] = []  # time in ms, work of the zone until then
        super().__init__(*given, **more)

    def send_attempt(
        self, scheduler: SimulatedScheduler, request_id: str, attempt_number: int, worker_id: int
    ) -> None:
        now, host = self.event_queue.now_ms, self.worker_hosts.get(worker_id)
        if host is not None and host.worker.spec.zone == self.zone and self.lost_ms <= now < self.back_ms:
            self.sent_while_lost += 1
            self.last_sent_ms[scheduler.name] = now
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
            usage = sum(work for _, work in window) / (
                spec.overload_multiple * capacity * spec.overload_window_ms
            )
            self.max_budget_usage = max(self.max_budget_usage, usage)
            self.over_budget_count += usage > 1.0 and len(window) > 1  # a single job may exceed it
        super()._arrive_at_worker(scheduler, request_id, attempt_number, host, generated)

    def worker_went_down(self, host: WorkerHost) -> None:
        self.went_down_count += host.worker.spec.zone == self.zone and self.event_queue.now_ms >= self.back_ms
        super().worker_went_down(host)

    def sample_work(self) -> None:
        """Records how much work the zone has done so far."""
        work = sum(
            host.worker.processed_work
            for host in self.worker_hosts.values()
            if host.worker.spec.zone == self.zone
        )
        self.work_samples.append((self.event_queue.now_ms, work))

    def recovered_after_ms(self) -> float | None:
        """Returns the time from the return to the end of the first second of work as before the loss, in ms.

        Returns None if there is none on this day.
        """
        work_at = dict(self.work_samples)
        first_ms = max(each for each in work_at if each <= self.lost_ms - BASELINE_S * 1000.0)
        last_ms = max(each for each in work_at if each <= self.lost_ms)
        baseline_rate = (work_at[last_ms] - work_at[first_ms]) / (last_ms - first_ms)
        for now_ms, work in self.work_samples:
            work_before = work_at.get(now_ms - 4 * SAMPLE_MS)
            if (
                now_ms >= self.back_ms + 4 * SAMPLE_MS
                and work_before is not None
                and (work - work_before >= RECOVERED_SHARE * baseline_rate * 4 * SAMPLE_MS)
            ):
                return now_ms - self.back_ms
        return None


class MeasuredLeaderFleet(MeasuredFleet, LeaderFleet):
    """A measured fleet whose leader decides for all schedulers when a zone is left and returns."""


class MeasuredStandaloneFleet(MeasuredFleet, StandaloneFleet):
    """A measured fleet in which each scheduler decides on zones by its own evidence."""


FLEET_BY_WAY = {"none": MeasuredFleet, "together": MeasuredLeaderFleet, "solo": MeasuredStandaloneFleet}


def run_day(scenario: str, seed: int, way: str = "none", times: int = 1) -> dict[str, Any]:
    """Runs one day of a scenario of the program and returns its figures.

    times: multiplies the schedulers, the workers and the jobs.
    """
    text = (resources.files("spanwing.simulation") / "scenarios" / f"{scenario}.toml").read_bytes()
    day = msgspec.structs.replace(parse_scenario(text, ErrorCollector()), size_multiple=times)
    loss = next((fault for fault in day.faults if fault.fault_kind == "zone_lost"), None)
    zone, lost_ms, back_ms = "", day.day_ms, day.day_ms  # without a loss: no zone may be left
    if loss is not None:
        zone, lost_ms, back_ms = loss.zone, loss.begin_s * 1000.0, (loss.begin_s + loss.duration_s) * 1000.0
    plan = day.build_plan(seed)
    counts, classes = Counter[str](), {each.name: each for each in plan.classes}

    def count_answer(answered: AnsweredRequest) -> None:
        if lost_ms <= answered.arrived_at_ms < back_ms + OUTCOMES_AFTER_RETURN_S * 1000.0:
            cls, outcome = classes[answered.class_name], answered.outcome
            if outcome == "served":
                outcome = (
                    "in time"
                    if answered.elapsed_ms
                    <= cls.latency_objective_ms + cls.objective_stretch * answered.work_ms
                    else "late"
                )
            counts[f"{answered.class_name} {outcome}"] += 1
            counts[f"all {outcome}"] += 1
            counts["worth"] += cls.priority_weight
            counts["worth in time"] += cls.priority_weight * (outcome == "in time")

    regions = {"regions": {name: tuple(each) for name, each in day.regions.items()}} if way != "none" else {}
    fleet = FLEET_BY_WAY[way](
        plan, seed, count_answer, zone=zone, lost_ms=lost_ms, back_ms=back_ms, **regions
    )
    FaultInjector(fleet, tuple(day.faults), day.day_ms)
    for step in range(int(day.day_ms / SAMPLE_MS) + 1):
        fleet.event_queue.schedule_at(step * SAMPLE_MS, fleet.sample_work)
    fleet.run(day.day_ms)
    last_sent_ms = sorted(fleet.last_sent_ms.values())
    return {
        "into": fleet.sent_while_lost,
        "first_ms": last_sent_ms[0] - lost_ms if last_sent_ms else 0.0,
        "last_ms": last_sent_ms[-1] - lost_ms if last_sent_ms else 0.0,
        "over": fleet.over_budget_count,
        "most": fleet.max_budget_usage,
        "falls": fleet.went_down_count,
        "whole_ms": fleet.recovered_after_ms() if zone else None,
        **counts,
        **_zone_changes(fleet, lost_ms, back_ms, {fault.zone for fault in day.faults if fault.zone}),
    }


def _zone_changes(
    fleet: MeasuredFleet, lost_ms: float, back_ms: float, faulty_zones: set[str]
) -> dict[str, Any]:
    """Returns when the fleet decided what about the zone, and the traffic that this took.

    faulty_zones: zones with a fault on this day.
    """
    if not isinstance(fleet, LeaderFleet | StandaloneFleet):
        return {}
    changes = [(at, state) for at, zone, state, _ in fleet.zone_changes if zone == fleet.zone]
    false_alarm_count = sum(
        state == "leaving" and zone not in faulty_zones for _, zone, state, _ in fleet.zone_changes
    )
    return {
        "decided_ms": next((at - lost_ms for at, state in changes if state == "leaving"), None),
        "returning_ms": next((at - back_ms for at, state in changes if state == "returning"), None),
        "open_ms": next((at - back_ms for at, state in changes if state == "open"), None),
        "left": sum(state == "leaving" for _, _, state, _ in fleet.zone_changes),
        "false_alarms": false_alarm_count,
        "messages_s": getattr(fleet, "renewal_count", 0) / (fleet.event_queue.now_ms / 1000.0),
        "bytes_s": getattr(fleet, "bytes", 0) / (fleet.event_queue.now_ms / 1000.0),
    }


def table(rows: list[dict[str, Any]]) -> str:
    """Returns the mean, the least and the most of each figure over the days as a Markdown table."""
    lines = ["| figure | mean | least | most |", "| --- | --- | --- | --- |"]
    for name in sorted({name for row in rows for name in row}):
        values = [row.get(name, 0) for row in rows]
        known = [value for value in values if value is not None]
        note = f" ({len(values) - len(known)} days never)" if len(known) < len(values) else ""
        if known:
            figures = " | ".join(f"{value:.2f}" for value in (statistics.mean(known), min(known), max(known)))
            lines.append(f"| {name}{note} | {figures} |")
    return "\n".join(lines)


@click.command()
@click.option("--scenario", default="fleet-zone", show_default=True)
@click.option("--seeds", default=20, show_default=True)
@click.option(
    "--way",
    type=click.Choice(sorted(FLEET_BY_WAY)),
    default="none",
    show_default=True,
    help="together: a leader decides for all schedulers; solo: each one by its own evidence.",
)
@click.option("--times", default=1, show_default=True, help="Multiplies the size of the fleet.")
@click.option("--json", "json_path", type=click.Path(), help="Writes each day's figures to this file.")
def main(scenario: str, seeds: int, way: str, times: int, json_path: str | None) -> None:
    """Runs a day for each seed and prints the table of their figures."""
    with ProcessPoolExecutor() as pool:
        arguments = [scenario] * seeds, range(1, seeds + 1), [way] * seeds, [times] * seeds
        rows = list(pool.map(run_day, *arguments))
    if json_path:
        with open(json_path, "w") as file:
            json.dump(rows, file)
    click.echo(table(rows))


if __name__ == "__main__":
    main()
