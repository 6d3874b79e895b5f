"""Measures the requests a second that one scheduler sustains on one core before it adds more than 10 ms.

Job workers in a process of their own answer at once, so the latency beyond a round trip is the scheduler's.
The load is open-loop (spanwing/load): a latency counts from the time at which its request was due.

    .venv/bin/python -m measure.holds --out docs/results/sockets-holds.md
"""

from __future__ import annotations

import asyncio
import multiprocessing
import pstats
import tempfile
from collections import Counter
from multiprocessing.connection import Connection
from pathlib import Path

import click

from measure.daemons import Daemon
from measure.workers import Workers
from spanwing.load.openloop import LoadTestResult, OpenLoopGenerator
from spanwing.simulation.clients import ClassSpec, ClientModel, LoadSpec, TenantSpec
from spanwing.simulation.random_streams import RandomStreams

RATES_PER_S, WORKER_COUNT, LATENCY_BOUND_MS = (100, 400, 800, 1200, 1600, 2000, 2400), 12, 10.0
PROFILED_RATE_PER_S = 400
CLASSES = (ClassSpec("status-read", 1.0, 1.0, deadline_ms=5000.0),)


def run_workers(ports_sender: Connection) -> None:
    """Runs stand-in job workers and sends their names and ports to `ports_sender`."""

    async def run() -> None:
        workers = Workers((0.0, 0.0), 1)
        ports_sender.send(await workers.start(WORKER_COUNT))
        await asyncio.Event().wait()

    asyncio.run(run())


def run_load(address: tuple[str, int], rate_per_s: float, seconds: float) -> LoadTestResult:
    """Runs an open-loop load of status-read requests against one scheduler."""
    clients = ClientModel(LoadSpec(rate_per_s), CLASSES, (TenantSpec("one", 1.0),), RandomStreams(1))
    return asyncio.run(
        OpenLoopGenerator([address], f"r{rate_per_s}").run(iter(clients.next_request, None), seconds)
    )


def profile(workers: list[tuple[str, int]], rate_per_s: float, seconds: float) -> list[str]:
    """Returns the scheduler's CPU time at this rate by module or function, most expensive first.

    Each line gives the share of the whole and the time per request.
    """
    with tempfile.TemporaryDirectory() as folder:
        out = str(Path(folder) / "profile")
        daemon = Daemon(
            "one", workers, (), admin=False, cpus={0}, command=("-m", "cProfile", "-o", out, "-m", "spanwing")
        )
        report = run_load(daemon.addresses["clients"], rate_per_s, seconds)
        daemon.process.terminate()
        daemon.process.wait(30)
        daemon.close()
        spent_s: Counter[str] = Counter()
        for (file, _, name), (_, _, own_s, _, _) in pstats.Stats(out).stats.items():
            if name != "<method 'poll' of 'select.epoll' objects>":
                parts = Path(file).parts
                package = next((each for each in ("spanwing", "tornado", "asyncio") if each in parts), "")
                spent_s[f"{'/'.join(parts[parts.index(package) :])}" if package else name] += own_s
        total_s = sum(spent_s.values())
    return [
        f"{name}: {100 * own_s / total_s:.0f}%, {1e6 * own_s / report.asked:.0f} us a request"
        for name, own_s in spent_s.most_common(14)
    ]


@click.command()
@click.option("--seconds", default=6.0, show_default=True)
@click.option("--out", type=click.Path(path_type=Path))
def main(seconds: float, out: Path | None) -> None:
    """Raise the rate until the p99 latency passes ten times the bound."""
    ports_receiver, ports_sender = multiprocessing.Pipe()
    process = multiprocessing.Process(target=run_workers, args=(ports_sender,), daemon=True)
    process.start()
    workers = ports_receiver.recv()
    daemon = Daemon("one", workers, (), admin=False, cpus={0})
    lines = [
        "| requests a second | served | p50, ms | p99, ms | worst, ms | CPU of the core "
        "| generator late, p99 |",
        "| --- " * 7 + "|",
    ]
    run_load(daemon.addresses["clients"], 50, 2.0)  # warm-up: the scheduler learns its workers
    for rate_per_s in RATES_PER_S:
        before = daemon.cpu_s()
        report = run_load(daemon.addresses["clients"], rate_per_s, seconds)
        cpu_share = (daemon.cpu_s() - before) / report.seconds
        served_share = report.kinds.get("served", 0) / report.asked
        lines.append(
            f"| {rate_per_s} | {100 * served_share:.1f}% | {report.latency['50']:.1f} "
            f"| {report.latency['99']:.1f} | {report.latency['100']:.1f} | {100 * cpu_share:.0f}% "
            f"| {report.late['99']:.1f} |"
        )
        click.echo(lines[-1])
        if report.latency["99"] > 10 * LATENCY_BOUND_MS:
            break
    daemon.close()
    profile_lines = "\n".join(f"- {each}" for each in profile(workers, PROFILED_RATE_PER_S, seconds))
    click.echo(profile_lines)
    process.terminate()
    if out:
        table = "\n".join(lines)
        out.write_text(
            "# What one scheduler holds on one core\n\n"
            f"    .venv/bin/python -m measure.holds --seconds {seconds:g}\n\n"
            f"{WORKER_COUNT} job workers that answer at once, status-read, open arrivals; latency from "
            f"when a request was due.\n\n{table}\n\nWhere its time goes at {PROFILED_RATE_PER_S} a second "
            f"(the start and the profiler's own cost among it):\n\n{profile_lines}\n"
        )


if __name__ == "__main__":
    main()
