"""What telling balancers costs the daemon, at the rate of a calm day.

Three sets of four schedulers side by side, each set under the same 45 jobs a second: nothing of it open;
everything open and nobody asking; everything open and every protocol asked every second (agent-check,
feedback, HTTP as HAProxy, keepalived and Envoy ask, gRPC Check on a new connection, one gRPC Watch, and the
status by the admin socket).

    .venv/bin/python -m measure.cost --seconds 120 --out docs/results/balancers-cost.md
"""

from __future__ import annotations

import asyncio
import random
import time
from pathlib import Path

import click

from measure.balancers import PROTOCOLS, Backend, Balancer, CheckResult
from measure.daemons import Daemon
from measure.workers import Workers

RATE, SCHEDULERS, WORKERS = 45.0, 4, 13
CLASSES = (("status-read", 5000, 49), ("schedule-apply", 25000, 32), ("setpoint-push", 8000, 19))
FRONTS = ("health", "agent_check", "feedback", "grpc")


async def fixed(place) -> CheckResult:
    """A balancer that looks at nothing."""
    return CheckResult()


class Set:
    """Four schedulers and their load."""

    def __init__(self, name: str, is_open: bool, asked: bool, places: list[tuple[str, int]]) -> None:
        self.name, self.asked = name, asked
        self.daemons = [
            Daemon(f"{name}{n}", places, FRONTS if is_open else (), admin=is_open) for n in range(SCHEDULERS)
        ]
        plain = PROTOCOLS["agent-check"]._replace(check=fixed)
        self.balancer = Balancer(
            [
                Backend(f"{name}{n}", each.addresses["clients"], ("", 0), plain)
                for n, each in enumerate(self.daemons)
            ],
            1,
        )
        self.tasks: list[asyncio.Task] = []

    async def load(self) -> None:
        source, due, number = random.Random(1), time.monotonic(), 0
        while True:
            number, due = number + 1, due + source.expovariate(RATE)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            cls, budget, _ = source.choices(CLASSES, [each[2] for each in CLASSES])[0]
            self.tasks.append(
                asyncio.ensure_future(self.balancer.request(f"{self.name}-{number}", cls, budget, b"x" * 200))
            )

    def ask(self) -> None:
        """One asker of each protocol for each scheduler."""
        for daemon in self.daemons:
            for name, protocol in PROTOCOLS.items():
                asker = Backend(
                    name, ("", 0), daemon.addresses[protocol.front], protocol._replace(inter_s=1.0)
                )
                self.tasks.append(asyncio.ensure_future(asker.follow()))
            self.tasks.append(asyncio.ensure_future(self._status(daemon)))

    async def _status(self, daemon: Daemon) -> None:
        while True:
            await asyncio.to_thread(daemon.command, do="status")
            await asyncio.sleep(1.0)

    def cpu_s(self) -> float:
        return sum(each.cpu_s() for each in self.daemons)


async def measure(seconds: float) -> list[tuple[str, float, float, int]]:
    """By set: CPU in ms a second and scheduler, memory in MB, requests."""
    workers = Workers((0.02, 0.4), 1)
    places = await workers.start(WORKERS)
    kinds = (("off", False, False), ("open", True, False), ("asked", True, True))
    sets = [Set(*kind, places) for kind in kinds]
    loads = [asyncio.ensure_future(each.load()) for each in sets]
    for each in sets:
        if each.asked:
            each.ask()
    await asyncio.sleep(15.0)  # past the slow start
    before = [(each.cpu_s(), len(each.balancer.sent)) for each in sets]
    begun = time.monotonic()
    await asyncio.sleep(seconds)
    took = time.monotonic() - begun
    found = [
        (
            each.name,
            1000 * (each.cpu_s() - cpu) / took / SCHEDULERS,
            max(daemon.peak_memory_mb() for daemon in each.daemons),
            len(each.balancer.sent) - count,
        )
        for each, (cpu, count) in zip(sets, before, strict=True)
    ]
    for each in loads:
        each.cancel()
    for each in sets:
        for task in each.tasks:
            task.cancel()
        await each.balancer.stop()
        for daemon in each.daemons:
            daemon.close()
    workers.stop()
    return found


@click.command()
@click.option("--seconds", default=120.0, show_default=True)
@click.option("--out", type=click.Path(path_type=Path))
def main(seconds: float, out: Path | None) -> None:
    """Compare the daemon's CPU and memory with balancers' protocols off, open and asked."""
    found = asyncio.run(measure(seconds))
    base = found[0]
    lines = [
        "| protocols | requests | CPU, ms a second of one scheduler | more, of a core "
        "| more, of its own | memory, MB | more |",
        "| --- " * 7 + "|",
    ]
    for name, cpu, memory, count in found:
        lines.append(
            f"| {name} | {count} | {cpu:.2f} | {(cpu - base[1]) / 10:.2f}% "
            f"| {100 * (cpu / base[1] - 1):.1f}% | {memory:.1f} | {memory - base[2]:.1f} |"
        )
    table = "\n".join(lines)
    click.echo(table)
    if out:
        out.write_text(
            "# What telling balancers costs\n\n"
            f"    .venv/bin/python -m measure.cost --seconds {seconds:g}\n\n"
            f"{RATE:.0f} jobs a second over {SCHEDULERS} schedulers and {WORKERS} job workers, "
            f"three sets side by side; `asked`: all protocols, every second.\n\n{table}\n"
        )


if __name__ == "__main__":
    main()
