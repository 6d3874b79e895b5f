"""Checks daemons that another program has started, every second by every protocol, and prints their usage.

This serves a simulated day of the bench, which starts the schedulers and keeps their output in a folder of
logs. The addresses of the health listeners are read from these logs. CPU time and memory are read from /proc
until each daemon ends.

    .venv/bin/python -m measure.polled --logs FOLDER --seconds 60
"""

from __future__ import annotations

import asyncio
import re
import time
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

import click

from measure.balancers import PROTOCOLS, Backend
from measure.daemons import CLOCK_TICKS_PER_S

SAMPLE_INTERVAL_S, CHECK_INTERVAL_S = 0.2, 1.0
LISTENER_PATTERN = re.compile(r"spanwing: (health|agent_check|feedback|grpc) on (.*):(\d+)")


@dataclass
class ProcessUsage:
    """A daemon's CPU time and peak memory, from the first sample to the last; times are monotonic."""

    first_seen: float
    first_cpu_s: float
    last_seen: float = 0.0
    last_cpu_s: float = 0.0
    peak_memory_mb: float = 0.0


def find_daemons() -> list[int]:
    """Returns the process ids of the daemons that run on this machine."""
    pids = []
    for each in Path("/proc").iterdir():
        if each.name.isdecimal():
            with suppress(OSError):
                arguments = (each / "cmdline").read_bytes().split(b"\0")
                if arguments[1:3] == [b"-m", b"spanwing"]:
                    pids.append(int(each.name))
    return pids


def read_usage(pid: int) -> tuple[float, float]:
    """Returns a process's CPU time in seconds and peak memory in MB; raises OSError once it has ended."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    peak = re.search(r"VmHWM:\s+(\d+) kB", Path(f"/proc/{pid}/status").read_text())
    if peak is None:
        raise ProcessLookupError
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S, int(peak[1]) / 1024


async def check_daemons(logs: Path | None, seconds: float) -> tuple[dict[int, ProcessUsage], int]:
    """Checks all daemons for `seconds`; returns the usage by process id and the count of checked listeners.

    With no folder of logs, only the usage is sampled.
    """
    usages: dict[int, ProcessUsage] = {}
    checks: dict[tuple[str, str], list[asyncio.Task]] = {}
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for pid in find_daemons():
            with suppress(OSError):
                cpu, memory = read_usage(pid)
                usage = usages.setdefault(pid, ProcessUsage(time.monotonic(), cpu))
                usage.last_seen, usage.last_cpu_s, usage.peak_memory_mb = time.monotonic(), cpu, memory
        for file in logs.rglob("*") if logs is not None and logs.is_dir() else ():
            if file.is_file():
                for front, host, port in LISTENER_PATTERN.findall(file.read_text(errors="replace")):
                    if (front, port) not in checks:
                        checks[front, port] = [
                            asyncio.ensure_future(
                                Backend(
                                    name,
                                    ("", 0),
                                    (host, int(port)),
                                    each._replace(interval_s=CHECK_INTERVAL_S),
                                ).run_checks()
                            )
                            for name, each in PROTOCOLS.items()
                            if each.front == front
                        ]
        await asyncio.sleep(SAMPLE_INTERVAL_S)
    tasks = [task for each in checks.values() for task in each]
    for each in tasks:
        each.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return usages, len(checks)


@click.command()
@click.option(
    "--logs",
    type=click.Path(path_type=Path),
    help="Folder of the daemons' logs; without it nothing is checked.",
)
@click.option("--seconds", default=60.0, show_default=True)
def main(logs: Path | None, seconds: float) -> None:
    """Check the daemons and print their CPU time and memory."""
    usages, count = asyncio.run(check_daemons(logs, seconds))
    long_lived = [each for each in usages.values() if each.last_seen - each.first_seen > 5.0]
    for each in long_lived:
        span_s = each.last_seen - each.first_seen
        click.echo(
            f"{span_s:.0f} s, {1000 * (each.last_cpu_s - each.first_cpu_s) / span_s:.1f} ms of CPU a second, "
            f"{each.peak_memory_mb:.1f} MB"
        )
    if long_lived:
        total_cpu_s = sum(each.last_cpu_s - each.first_cpu_s for each in long_lived)
        total_span_s = sum(each.last_seen - each.first_seen for each in long_lived)
        click.echo(
            f"all: {1000 * total_cpu_s / total_span_s:.2f} ms of CPU a second, {count} listeners asked"
        )


if __name__ == "__main__":
    main()
