"""How long callers of the management address wait, idle and while clients crowd.

The crowd: 1,000 connections that say nothing, four clients that come anew for each job as fast as they can,
and twenty callers of the address that finish no call. Job workers answer at once.

    .venv/bin/python -m measure.management --out docs/results/management.md
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import click

from measure.daemons import HostPort, Program, settings
from measure.workers import Workers

EVERY_S = 0.05


async def call(place: HostPort, path: str) -> float:
    """ms until the whole answer was there."""
    at = time.monotonic()
    reader, writer = await asyncio.open_connection(*place)
    writer.write(f"GET /{path} HTTP/1.1\r\n\r\n".encode())
    answer = await reader.read()
    writer.close()
    if b" 200 " not in answer[:20]:
        raise RuntimeError(answer.decode())
    return (time.monotonic() - at) * 1000.0


async def job(place: HostPort, number: int) -> None:
    reader, writer = await asyncio.open_connection(*place)
    writer.write(
        b"POST /status-read HTTP/1.1\r\nX-Call-Id: j%d\r\nX-Budget-Ms: 5000\r\n"
        b"Content-Length: 0\r\n\r\n" % number
    )
    await reader.read(100)
    writer.close()


async def crowd(place: HostPort, lane: int) -> None:
    number = lane
    while True:
        await job(place, number)
        number += 4


async def measure(times: int) -> list[str]:
    workers = Workers((0.0, 0.0), 1)
    members = [
        {
            "id": name,
            "host_port": f"127.0.0.1:{port}",
            "locality": "a",
            "flavor": "big",
            "cell": 0,
            "phase": "active",
            "size": 1.0,
            "up_since_ms": 0,
        }
        for name, port in await workers.start(8)
    ]
    daemon = Program(
        {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": "127.0.0.1:9",
            "seed": "2a",
            "management": "127.0.0.1:0",
            "limits": {"sockets": 2400, "memory_mb": 400},
            "known": {"revision": 1, "complete": True, "members": members},
            "settings": settings(),
        },
        "",
    )
    if not await asyncio.to_thread(daemon.serving):
        raise RuntimeError(daemon.stderr_text())
    clients, place = daemon.addresses["clients"], daemon.addresses["management"]
    rows = ["| state | call | p50 ms | p99 ms | most ms | calls |", "| --- | --- | --- | --- | --- | --- |"]
    lanes: list[asyncio.Task] = []
    idle = []
    for state in ("idle", "crowd"):
        if state == "crowd":
            idle = [await asyncio.open_connection(*clients) for _ in range(1000)]
            idle += [await asyncio.open_connection(*place) for _ in range(20)]
            lanes = [asyncio.ensure_future(crowd(clients, lane)) for lane in range(4)]
        for path in ("healthcheck", "stats"):
            took = []
            for _ in range(times):
                took.append(await call(place, path))
                await asyncio.sleep(EVERY_S)
            took.sort()
            middle, late, most = took[len(took) // 2], took[int(len(took) * 0.99)], took[-1]
            rows.append(f"| {state} | {path} | {middle:.1f} | {late:.1f} | {most:.1f} | {times} |")
    for each in lanes:
        each.cancel()
    for _, writer in idle:
        writer.close()
    daemon.close()
    workers.stop()
    return rows


@click.command()
@click.option("--times", default=200, show_default=True)
@click.option("--out", type=click.Path(path_type=Path))
def main(times: int, out: Path | None) -> None:
    """Ask both calls, idle and under a crowd."""
    table = "\n".join(asyncio.run(measure(times))) + "\n"
    if out is None:
        click.echo(table)
    else:
        out.write_text(table)


if __name__ == "__main__":
    main()
