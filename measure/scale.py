"""Measures what a decision costs as the fleet grows in workers and in schedulers, in simulated time.

Each fleet gets the calm day's request mix at half load, for the time in which REQUEST_COUNT requests arrive
on average. The cost is the real time that the decision module takes on one core, per event and per request.

    .venv/bin/python -m measure.scale --out docs/results/emulator-scale.md
"""

from __future__ import annotations

import cProfile
import pstats
import time
from pathlib import Path
from typing import NamedTuple

import click

from spanwing.config_errors import ErrorCollector
from spanwing.simulation.fleet import FleetSimulation
from spanwing.simulation.scenario import load_scenario

WORKER_COUNTS, SCHEDULER_COUNTS = (15, 150, 1500, 15_000), (4, 40, 400)
REQUEST_COUNT = 4000


class Cost(NamedTuple):
    """The cost of decisions in one fleet."""

    workers: int
    schedulers: int
    requests: int
    event_us: float  # decision time per event
    request_us: float  # decision time per request
    events: float  # per request
    elapsed_s: float  # real time of the whole simulation


def make_fleet(workers: int, schedulers: int) -> tuple[FleetSimulation, float]:
    """Returns a fleet, and the simulated time in ms in which REQUEST_COUNT requests arrive on average."""
    scenario = load_scenario("calm-day", ErrorCollector())
    plan = scenario.build_plan(1)
    base_workers = [each for each in plan.workers]
    specs = tuple(base_workers[n % len(base_workers)]._replace(name=f"w{n}") for n in range(workers))
    nodes = tuple((f"s{n}", scenario.zones[n % len(scenario.zones)]) for n in range(schedulers))
    rate_per_s = scenario.mean_request_rate() * workers / len(base_workers)
    fleet = FleetSimulation(
        plan._replace(
            workers=specs, schedulers=nodes, load=plan.load._replace(rate=rate_per_s, daily_swing=0.0)
        ),
        1,
    )
    return fleet, 1000.0 * REQUEST_COUNT / rate_per_s


def measure_cost(workers: int, schedulers: int) -> Cost:
    """Simulates a fleet and returns the cost of its decisions."""
    fleet, duration_ms = make_fleet(workers, schedulers)
    for node in fleet.schedulers:  # leaves out the worker list, which each scheduler gets only once
        node.decision_time_s, node.event_count = 0.0, 0
    begun = time.perf_counter()
    fleet.run(duration_ms)
    decision_s, event_count = (
        sum(each.decision_time_s for each in fleet.schedulers),
        sum(each.event_count for each in fleet.schedulers),
    )
    request_count = fleet.accounting.request_count
    return Cost(
        workers,
        schedulers,
        request_count,
        1e6 * decision_s / event_count,
        1e6 * decision_s / request_count,
        event_count / request_count,
        time.perf_counter() - begun,
    )


def profile(workers: int, schedulers: int) -> list[str]:
    """Returns the six functions of the decision module that take the most time, most expensive first."""
    fleet, duration_ms = make_fleet(workers, schedulers)
    profiler = cProfile.Profile()
    profiler.runcall(fleet.run, duration_ms)
    rows = []
    for (file, _, name), (_, calls, own_s, _, _) in pstats.Stats(profiler).stats.items():
        if any(Path(file).match(f"spanwing/{each}") for each in ("scheduler.py", "scheduler_state.py")):
            request_count = fleet.accounting.request_count
            rows.append(
                (
                    own_s,
                    f"{Path(file).name}:{name}: {1e6 * own_s / request_count:.1f} us a request, "
                    f"{calls / request_count:.1f} calls",
                )
            )
    return [text for _, text in sorted(rows, reverse=True)[:6]]


@click.command()
@click.option("--out", type=click.Path(path_type=Path))
def main(out: Path | None) -> None:
    """Measure the cost per event and per request, and list the most expensive functions."""
    lines = [
        "| workers | schedulers | requests | us an event | us a request | events a request | all, s |",
        "| --- " * 7 + "|",
    ]
    for workers, schedulers in [
        *((each, 4) for each in WORKER_COUNTS),
        *((150, each) for each in SCHEDULER_COUNTS[1:]),
    ]:
        cost = measure_cost(workers, schedulers)
        lines.append(
            f"| {cost.workers:,} | {cost.schedulers} | {cost.requests} | {cost.event_us:.1f} "
            f"| {cost.request_us:.0f} | {cost.events:.1f} | {cost.elapsed_s:.1f} |"
        )
        click.echo(lines[-1])
    text, profiles = "\n".join(lines), ""
    for workers, schedulers in ((15, 4), (15_000, 4)):
        profile_lines = "\n".join(f"- {each}" for each in profile(workers, schedulers))
        profiles += (
            f"\n{workers:,} workers, {schedulers} schedulers, the profiler's own cost among it:\n\n"
            f"{profile_lines}\n"
        )
    click.echo(profiles)
    if out:
        out.write_text(
            "# What a decision costs as the fleet grows\n\n"
            f"    .venv/bin/python -m measure.scale\n\n{text}\n\n"
            f"Where the time goes in the decision module:\n{profiles}\n"
        )


if __name__ == "__main__":
    main()
