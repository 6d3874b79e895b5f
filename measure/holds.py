"""How many requests a second one scheduler holds on one core before its own added time passes 10 ms.

Job workers, in a process of their own, answer at once, so what a request takes beyond a round trip is the
scheduler's. The load is open (spanwing/load), its latencies count from when a request was due.

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

RATES, WORKERS, BOUND_MS = (100, 400, 800, 1200, 1600, 2000, 2400), 12, 10.0
PROFILED = 400
CLASSES = (ClassSpec("status-read", 1.0, 1.0, deadline_ms=5000.0),)


def work(told: Connection) -> None:
    async def run() -> None:
        workers = Workers((0.0, 0.0), 1)
        told.send(await workers.start(WORKERS))
        await asyncio.Event().wait()

    asyncio.run(run())


def load(place: tuple[str, int], rate: float, seconds: float) -> LoadTestResult:
    clients = ClientModel(LoadSpec(rate), CLASSES, (TenantSpec("one", 1.0),), RandomStreams(1))
    return asyncio.run(OpenLoopGenerator([place], f"r{rate}").run(iter(clients.next_request, None), seconds))


def profile(places: list[tuple[str, int]], rate: float, seconds: float) -> list[str]:
    """Where the scheduler's own time goes at this rate: by module, the dearest first."""
    with tempfile.TemporaryDirectory() as folder:
        out = str(Path(folder) / "profile")
        daemon = Daemon(
            "one", places, (), admin=False, cpus={0}, command=("-m", "cProfile", "-o", out, "-m", "spanwing")
        )
        report = load(daemon.addresses["clients"], rate, seconds)
        daemon.process.terminate()
        daemon.process.wait(30)
        daemon.close()
        spent: Counter[str] = Counter()
        for (file, _, name), (_, _, own, _, _) in pstats.Stats(out).stats.items():
            if name != "<method 'poll' of 'select.epoll' objects>":
                parts = Path(file).parts
                package = next((each for each in ("spanwing", "tornado", "asyncio") if each in parts), "")
                spent[f"{'/'.join(parts[parts.index(package) :])}" if package else name] += own
        whole = sum(spent.values())
    return [
        f"{name}: {100 * own / whole:.0f}%, {1e6 * own / report.asked:.0f} us a request"
        for name, own in spent.most_common(14)
    ]


@click.command()
@click.option("--seconds", default=6.0, show_default=True)
@click.option("--out", type=click.Path(path_type=Path))
def main(seconds: float, out: Path | None) -> None:
    """Raise the rate until the bound is passed."""
    mine, theirs = multiprocessing.Pipe()
    process = multiprocessing.Process(target=work, args=(theirs,), daemon=True)
    process.start()
    places = mine.recv()
    daemon = Daemon("one", places, (), admin=False, cpus={0})
    lines = [
        "| requests a second | served | p50, ms | p99, ms | worst, ms | CPU of the core "
        "| generator late, p99 |",
        "| --- " * 7 + "|",
    ]
    load(daemon.addresses["clients"], 50, 2.0)  # it learns its workers
    for rate in RATES:
        before = daemon.cpu_s()
        report = load(daemon.addresses["clients"], rate, seconds)
        share = (daemon.cpu_s() - before) / report.seconds
        served = report.kinds.get("served", 0) / report.asked
        lines.append(
            f"| {rate} | {100 * served:.1f}% | {report.latency['50']:.1f} "
            f"| {report.latency['99']:.1f} | {report.latency['100']:.1f} | {100 * share:.0f}% "
            f"| {report.late['99']:.1f} |"
        )
        click.echo(lines[-1])
        if report.latency["99"] > 10 * BOUND_MS:
            break
    daemon.close()
    where = "\n".join(f"- {each}" for each in profile(places, PROFILED, seconds))
    click.echo(where)
    process.terminate()
    if out:
        table = "\n".join(lines)
        out.write_text(
            "# What one scheduler holds on one core\n\n"
            f"    .venv/bin/python -m measure.holds --seconds {seconds:g}\n\n"
            f"{WORKERS} job workers that answer at once, status-read, open arrivals; latency from "
            f"when a request was due.\n\n{table}\n\nWhere its time goes at {PROFILED} a second "
            f"(the start and the profiler's own cost among it):\n\n{where}\n"
        )


if __name__ == "__main__":
    main()
