"""What a decision costs as the fleet grows, in simulated time: by workers, and by schedulers.

Each world is the calm day's mix at half load for REQUESTS requests; the cost is the real time that the
decision module takes, by event and by request, on one core.

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

WORKERS, SCHEDULERS = (15, 150, 1500, 15_000), (4, 40, 400)
REQUESTS = 4000


class Cost(NamedTuple):
    workers: int
    schedulers: int
    requests: int
    event_us: float
    request_us: float
    events: float  # a request
    whole_s: float


def world(workers: int, schedulers: int) -> tuple[FleetSimulation, float]:
    """A fleet, and how long its day has to be for REQUESTS requests, in ms."""
    day = load_scenario("calm-day", ErrorCollector())
    plan = day.build_plan(1)
    names = [each for each in plan.workers]
    specs = tuple(names[n % len(names)]._replace(name=f"w{n}") for n in range(workers))
    nodes = tuple((f"s{n}", day.zones[n % len(day.zones)]) for n in range(schedulers))
    rate = day.mean_request_rate() * workers / len(names)
    fleet = FleetSimulation(
        plan._replace(workers=specs, schedulers=nodes, load=plan.load._replace(rate=rate, daily_swing=0.0)), 1
    )
    return fleet, 1000.0 * REQUESTS / rate


def cost(workers: int, schedulers: int) -> Cost:
    fleet, day = world(workers, schedulers)
    for node in fleet.schedulers:  # the list of all workers is told once, and is not what a request costs
        node.decision_time_s, node.event_count = 0.0, 0
    begun = time.perf_counter()
    fleet.run(day)
    spent, decided = (
        sum(each.decision_time_s for each in fleet.schedulers),
        sum(each.event_count for each in fleet.schedulers),
    )
    made = fleet.accounting.request_count
    return Cost(
        workers,
        schedulers,
        made,
        1e6 * spent / decided,
        1e6 * spent / made,
        decided / made,
        time.perf_counter() - begun,
    )


def profile(workers: int, schedulers: int) -> list[str]:
    """Where the decision module spends its time: its own functions, the dearest first."""
    fleet, day = world(workers, schedulers)
    profiler = cProfile.Profile()
    profiler.runcall(fleet.run, day)
    found = []
    for (file, _, name), (_, calls, own, _, _) in pstats.Stats(profiler).stats.items():
        if any(Path(file).match(f"spanwing/{each}") for each in ("scheduler.py", "scheduler_state.py")):
            made = fleet.accounting.request_count
            found.append(
                (
                    own,
                    f"{Path(file).name}:{name}: {1e6 * own / made:.1f} us a request, "
                    f"{calls / made:.1f} calls",
                )
            )
    return [text for _, text in sorted(found, reverse=True)[:6]]


@click.command()
@click.option("--out", type=click.Path(path_type=Path))
def main(out: Path | None) -> None:
    """Measure, and name what bends the curve."""
    lines = [
        "| workers | schedulers | requests | us an event | us a request | events a request | all, s |",
        "| --- " * 7 + "|",
    ]
    for workers, schedulers in [*((each, 4) for each in WORKERS), *((150, each) for each in SCHEDULERS[1:])]:
        found = cost(workers, schedulers)
        lines.append(
            f"| {found.workers:,} | {found.schedulers} | {found.requests} | {found.event_us:.1f} "
            f"| {found.request_us:.0f} | {found.events:.1f} | {found.whole_s:.1f} |"
        )
        click.echo(lines[-1])
    text, profiles = "\n".join(lines), ""
    for workers, schedulers in ((15, 4), (15_000, 4)):
        found = "\n".join(f"- {each}" for each in profile(workers, schedulers))
        profiles += (
            f"\n{workers:,} workers, {schedulers} schedulers, the profiler's own cost among it:\n\n{found}\n"
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
