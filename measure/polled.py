"""Asks daemons that something else has started, every second by every protocol, and tells what they took.

For a day of the bench: it starts the schedulers and keeps their output in a folder of logs; their addresses
for balancers are read there. CPU and memory are read from the system until each daemon ends.

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

LOOK_S, EVERY_S = 0.2, 1.0
OPENED = re.compile(r"spanwing: (health|agent_check|feedback|grpc) on (.*):(\d+)")


@dataclass
class Seen:
    """A daemon's use of the machine, from the first look to the last."""

    begun: float
    first_s: float
    until: float = 0.0
    last_s: float = 0.0
    memory_mb: float = 0.0


def daemons() -> list[int]:
    """Processes that run one."""
    found = []
    for each in Path("/proc").iterdir():
        if each.name.isdecimal():
            with suppress(OSError):
                words = (each / "cmdline").read_bytes().split(b"\0")
                if words[1:3] == [b"-m", b"spanwing"]:
                    found.append(int(each.name))
    return found


def use(pid: int) -> tuple[float, float]:
    """Seconds of CPU, and the most memory in MB. Raises OSError once it has ended."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    peak = re.search(r"VmHWM:\s+(\d+) kB", Path(f"/proc/{pid}/status").read_text())
    if peak is None:
        raise ProcessLookupError
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S, int(peak[1]) / 1024


async def follow(logs: Path | None, seconds: float) -> tuple[dict[int, Seen], int]:
    """What each daemon took, and how many listeners were asked."""
    seen: dict[int, Seen] = {}
    asked: dict[tuple[str, str], list[asyncio.Task]] = {}
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for pid in daemons():
            with suppress(OSError):
                cpu, memory = use(pid)
                one = seen.setdefault(pid, Seen(time.monotonic(), cpu))
                one.until, one.last_s, one.memory_mb = time.monotonic(), cpu, memory
        for file in logs.rglob("*") if logs is not None and logs.is_dir() else ():
            if file.is_file():
                for front, host, port in OPENED.findall(file.read_text(errors="replace")):
                    if (front, port) not in asked:
                        asked[front, port] = [
                            asyncio.ensure_future(
                                Backend(
                                    name, ("", 0), (host, int(port)), each._replace(interval_s=EVERY_S)
                                ).run_checks()
                            )
                            for name, each in PROTOCOLS.items()
                            if each.front == front
                        ]
        await asyncio.sleep(LOOK_S)
    tasks = [task for each in asked.values() for task in each]
    for each in tasks:
        each.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return seen, len(asked)


@click.command()
@click.option("--logs", type=click.Path(path_type=Path), help="None: nothing is asked.")
@click.option("--seconds", default=60.0, show_default=True)
def main(logs: Path | None, seconds: float) -> None:
    """Ask, and tell what the daemons took."""
    seen, count = asyncio.run(follow(logs, seconds))
    lived = [each for each in seen.values() if each.until - each.begun > 5.0]
    for each in lived:
        span = each.until - each.begun
        click.echo(
            f"{span:.0f} s, {1000 * (each.last_s - each.first_s) / span:.1f} ms of CPU a second, "
            f"{each.memory_mb:.1f} MB"
        )
    if lived:
        total = sum(each.last_s - each.first_s for each in lived)
        spans = sum(each.until - each.begun for each in lived)
        click.echo(f"all: {1000 * total / spans:.2f} ms of CPU a second, {count} listeners asked")


if __name__ == "__main__":
    main()
