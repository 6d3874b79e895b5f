"""What an open request costs a scheduler's memory: many that wait at once, on a connection each.

Job workers hold what they get, so nearly all requests wait in the scheduler.

    .venv/bin/python -m measure.open_requests --out docs/results/sockets-memory.md
"""

from __future__ import annotations

import asyncio
import re
from pathlib import Path

import click

from measure.daemons import Daemon
from measure.workers import Workers

STEPS = (0, 500, 1000, 2000, 4000)
SETTLED_S = 1.0


def resident_kb(pid: int) -> int:
    """What it holds now."""
    return int(re.search(r"VmRSS:\s+(\d+) kB", Path(f"/proc/{pid}/status").read_text())[1])


async def measure() -> list[tuple[int, int]]:
    """Open requests, and the daemon's memory in kB with so many."""
    workers = Workers((60.0, 60.0), 1)
    places = await workers.start(12)
    classes = [
        {"name": "schedule-apply", "aim_ms": 60_000.0, "deadline_ms": 120_000.0, "idempotency": "unsafe"}
    ]
    daemon = await asyncio.to_thread(
        Daemon, "one", places, (), admin=False, classes=classes, sockets=20_000, memory_mb=4000
    )
    found, writers, answers = [], [], []
    try:
        for count in STEPS:
            while len(writers) < count:
                reader, writer = await asyncio.open_connection(*daemon.addresses["clients"])
                writer.write(
                    (
                        f"POST /schedule-apply HTTP/1.1\r\nHost: x\r\nX-Call-Id: r{len(writers)}\r\n"
                        "X-Budget-Ms: 120000\r\nContent-Length: 64\r\n\r\n" + "x" * 64
                    ).encode()
                )
                writers.append(writer)
                answers.append(asyncio.ensure_future(reader.read(1)))
                await asyncio.sleep(0.0005)
            await asyncio.sleep(SETTLED_S)
            for answer, writer in zip(answers, writers, strict=True):
                if answer.done():  # turned away: its connection must not count
                    writer.close()
            await asyncio.sleep(SETTLED_S)
            still = sum(not each.done() for each in answers)
            found.append((still, resident_kb(daemon.process.pid)))
    finally:
        daemon.close()
        await asyncio.gather(*answers, return_exceptions=True)
        for each in writers:
            each.close()
        workers.stop()
    return found


@click.command()
@click.option("--out", type=click.Path(path_type=Path))
def main(out: Path | None) -> None:
    """Open more and more requests, and look."""
    found = asyncio.run(measure())
    lines = ["| open requests | memory, MB | kB a request |", "| --- " * 3 + "|"]
    for count, memory in found:
        each = f"{(memory - found[0][1]) / count:.1f}" if count else "-"
        lines.append(f"| {count} | {memory / 1024:.1f} | {each} |")
    table = "\n".join(lines)
    click.echo(table)
    if out:
        out.write_text(
            "# What an open request costs in memory\n\n"
            "    .venv/bin/python -m measure.open_requests\n\n"
            f"64 bytes of body, a connection each; nearly all wait in the scheduler.\n\n{table}\n"
        )


if __name__ == "__main__":
    main()
