"""Measures what the health checks of load balancers cost the daemon, at the request rate of a calm day.

Three sets of four schedulers run side by side, each set under the same 45 jobs a second: one with all
health listeners off, one with all of them open but unused, one with all of them checked every second by each
protocol (agent-check, feedback, HTTP as HAProxy, keepalived and Envoy send it, gRPC Check, gRPC Watch, and
the status command on the admin socket).

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

RATE_PER_S, SCHEDULER_COUNT, WORKER_COUNT = 45.0, 4, 13
#: Name, budget in ms and share in percent of each service class.
CLASSES = (("status-read", 5000, 49), ("schedule-apply", 25000, 32), ("setpoint-push", 8000, 19))
FRONTS = ("health", "agent_check", "feedback", "grpc")


async def skip_check(address) -> CheckResult:
    """A check that contacts no backend and leaves its state and weight unchanged."""
    return CheckResult()


class SchedulerSet:
    """Four schedulers and their load."""

    def __init__(self, name: str, is_open: bool, is_checked: bool, workers: list[tuple[str, int]]) -> None:
        self.name, self.is_checked = name, is_checked
        self.daemons = [
            Daemon(f"{name}{n}", workers, FRONTS if is_open else (), admin=is_open)
            for n in range(SCHEDULER_COUNT)
        ]
        unchecked = PROTOCOLS["agent-check"]._replace(check=skip_check)
        self.balancer = Balancer(
            [
                Backend(f"{name}{n}", each.addresses["clients"], ("", 0), unchecked)
                for n, each in enumerate(self.daemons)
            ],
            1,
        )
        self.tasks: list[asyncio.Task] = []

    async def load(self) -> None:
        """Sends requests as a Poisson process at RATE_PER_S, without waiting for answers, until cancelled."""
        source, due, number = random.Random(1), time.monotonic(), 0
        while True:
            number, due = number + 1, due + source.expovariate(RATE_PER_S)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            cls, budget, _ = source.choices(CLASSES, [each[2] for each in CLASSES])[0]
            self.tasks.append(
                asyncio.ensure_future(self.balancer.request(f"{self.name}-{number}", cls, budget, b"x" * 200))
            )

    def start_checks(self) -> None:
        """Starts one check of each protocol, and of the status command, for each scheduler."""
        for daemon in self.daemons:
            for name, protocol in PROTOCOLS.items():
                backend = Backend(
                    name, ("", 0), daemon.addresses[protocol.front], protocol._replace(interval_s=1.0)
                )
                self.tasks.append(asyncio.ensure_future(backend.run_checks()))
            self.tasks.append(asyncio.ensure_future(self._poll_status(daemon)))

    async def _poll_status(self, daemon: Daemon) -> None:
        while True:
            await asyncio.to_thread(daemon.send_command, do="status")
            await asyncio.sleep(1.0)

    def cpu_s(self) -> float:
        """The CPU time that the schedulers have used so far, in seconds."""
        return sum(each.cpu_s() for each in self.daemons)


async def measure(seconds: float) -> list[tuple[str, float, float, int]]:
    """Returns of each set its name, CPU in ms per second and scheduler, peak memory in MB, and requests."""
    workers = Workers((0.02, 0.4), 1)
    ports = await workers.start(WORKER_COUNT)
    variants = (("off", False, False), ("open", True, False), ("asked", True, True))
    sets = [SchedulerSet(*variant, ports) for variant in variants]
    loads = [asyncio.ensure_future(each.load()) for each in sets]
    for each in sets:
        if each.is_checked:
            each.start_checks()
    await asyncio.sleep(15.0)  # until the slow start is over
    before = [(each.cpu_s(), len(each.balancer.sent)) for each in sets]
    begun = time.monotonic()
    await asyncio.sleep(seconds)
    elapsed_s = time.monotonic() - begun
    rows = [
        (
            each.name,
            1000 * (each.cpu_s() - cpu) / elapsed_s / SCHEDULER_COUNT,
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
    return rows


@click.command()
@click.option("--seconds", default=120.0, show_default=True)
@click.option("--out", type=click.Path(path_type=Path))
def main(seconds: float, out: Path | None) -> None:
    """Compare the daemon's CPU and memory with the health listeners off, open and checked."""
    rows = asyncio.run(measure(seconds))
    base = rows[0]
    lines = [
        "| protocols | requests | CPU, ms a second of one scheduler | more, of a core "
        "| more, of its own | memory, MB | more |",
        "| --- " * 7 + "|",
    ]
    for name, cpu, memory, count in rows:
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
            f"{RATE_PER_S:.0f} jobs a second over {SCHEDULER_COUNT} schedulers and {WORKER_COUNT} job "
            f"workers, three sets side by side; `asked`: all protocols, every second.\n\n{table}\n"
        )


if __name__ == "__main__":
    main()
