"""Measures the memory that an open request takes in a scheduler, with many waiting on a connection each.

Job workers run each job for 60 s, so nearly all requests wait in the scheduler.

    .venv/bin/python -m measure.open_requests --out docs/results/sockets-memory.md
"""

from __future__ import annotations

import asyncio
import re
from pathlib import Path

import click

from measure.daemons import Daemon
from measure.workers import Workers

REQUEST_COUNTS = (0, 500, 1000, 2000, 4000)
SETTLING_S = 1.0


def resident_kb(pid: int) -> int:
    """Returns the resident memory of a process, in kB."""
    return int(re.search(r"VmRSS:\s+(\d+) kB", Path(f"/proc/{pid}/status").read_text())[1])


async def measure() -> list[tuple[int, int]]:
    """Returns pairs of the number of open requests and the daemon's resident memory in kB."""
    workers = Workers((60.0, 60.0), 1)
    ports = await workers.start(12)
    classes = [
        {"name": "schedule-apply", "aim_ms": 60_000.0, "deadline_ms": 120_000.0, "idempotency": "unsafe"}
    ]
    daemon = await asyncio.to_thread(
        Daemon, "one", ports, (), admin=False, classes=classes, sockets=20_000, memory_mb=4000
    )
    samples, writers, pending_answers = [], [], []
    try:
        for target_count in REQUEST_COUNTS:
            while len(writers) < target_count:
                reader, writer = await asyncio.open_connection(*daemon.addresses["clients"])
                writer.write(
                    (
                        f"POST /schedule-apply HTTP/1.1\r\nHost: x\r\nX-Call-Id: r{len(writers)}\r\n"
                        "X-Budget-Ms: 120000\r\nContent-Length: 64\r\n\r\n" + "x" * 64
                    ).encode()
                )
                writers.append(writer)
                pending_answers.append(asyncio.ensure_future(reader.read(1)))
                await asyncio.sleep(0.0005)
            await asyncio.sleep(SETTLING_S)
            for answer, writer in zip(pending_answers, writers, strict=True):
                if answer.done():  # rejected: its connection must not count
                    writer.close()
            await asyncio.sleep(SETTLING_S)
            open_count = sum(not each.done() for each in pending_answers)
            samples.append((open_count, resident_kb(daemon.process.pid)))
    finally:
        daemon.close()
        await asyncio.gather(*pending_answers, return_exceptions=True)
        for each in writers:
            each.close()
        workers.stop()
    return samples


@click.command()
@click.option("--out", type=click.Path(path_type=Path))
def main(out: Path | None) -> None:
    """Measure the daemon's memory with more and more open requests."""
    samples = asyncio.run(measure())
    lines = ["| open requests | memory, MB | kB a request |", "| --- " * 3 + "|"]
    for open_count, memory_kb in samples:
        per_request = f"{(memory_kb - samples[0][1]) / open_count:.1f}" if open_count else "-"
        lines.append(f"| {open_count} | {memory_kb / 1024:.1f} | {per_request} |")
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
