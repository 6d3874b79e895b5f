"""Measures the latency of the management address, idle and under a crowd of connections.

The crowd is 1,000 idle client connections, four clients that send jobs as fast as they can on a new
connection each, and twenty callers of the management address that never send a request. Job workers answer
at once.

    .venv/bin/python -m measure.management --out docs/results/management.md
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import click

from measure.daemons import HostPort, Program, settings
from measure.workers import Workers

CALL_INTERVAL_S = 0.05


async def call_management(address: HostPort, path: str) -> float:
    """Returns the time in ms until the whole answer is read; raises RuntimeError if its status is not 200."""
    started = time.monotonic()
    reader, writer = await asyncio.open_connection(*address)
    writer.write(f"GET /{path} HTTP/1.1\r\n\r\n".encode())
    answer = await reader.read()
    writer.close()
    if b" 200 " not in answer[:20]:
        raise RuntimeError(answer.decode())
    return (time.monotonic() - started) * 1000.0


async def send_job(address: HostPort, number: int) -> None:
    """Sends a job on a new connection and waits for the answer."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(
        b"POST /status-read HTTP/1.1\r\nX-Call-Id: j%d\r\nX-Budget-Ms: 5000\r\n"
        b"Content-Length: 0\r\n\r\n" % number
    )
    await reader.read(100)
    writer.close()


async def run_crowd_client(address: HostPort, client: int) -> None:
    """Sends one job after the other until cancelled; `client`, from 0 to 3, keeps the job ids unique."""
    number = client
    while True:
        await send_job(address, number)
        number += 4


async def measure(times: int) -> list[str]:
    """Calls each path `times` times in each state, and returns the lines of a Markdown table."""
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
    program = Program(
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
    if not await asyncio.to_thread(program.serving):
        raise RuntimeError(program.stderr_text())
    clients, address = program.addresses["clients"], program.addresses["management"]
    rows = ["| state | call | p50 ms | p99 ms | most ms | calls |", "| --- | --- | --- | --- | --- | --- |"]
    crowd_tasks: list[asyncio.Task] = []
    idle_connections = []
    for state in ("idle", "crowd"):
        if state == "crowd":
            idle_connections = [await asyncio.open_connection(*clients) for _ in range(1000)]
            idle_connections += [await asyncio.open_connection(*address) for _ in range(20)]
            crowd_tasks = [asyncio.ensure_future(run_crowd_client(clients, client)) for client in range(4)]
        for path in ("healthcheck", "stats"):
            durations_ms = []
            for _ in range(times):
                durations_ms.append(await call_management(address, path))
                await asyncio.sleep(CALL_INTERVAL_S)
            durations_ms.sort()
            p50, p99, highest = (
                durations_ms[len(durations_ms) // 2],
                durations_ms[int(len(durations_ms) * 0.99)],
                durations_ms[-1],
            )
            rows.append(f"| {state} | {path} | {p50:.1f} | {p99:.1f} | {highest:.1f} | {times} |")
    for each in crowd_tasks:
        each.cancel()
    for _, writer in idle_connections:
        writer.close()
    program.close()
    workers.stop()
    return rows


@click.command()
@click.option("--times", default=200, show_default=True)
@click.option("--out", type=click.Path(path_type=Path))
def main(times: int, out: Path | None) -> None:
    """Measure both calls, idle and under a crowd."""
    table = "\n".join(asyncio.run(measure(times))) + "\n"
    if out is None:
        click.echo(table)
    else:
        out.write_text(table)


if __name__ == "__main__":
    main()
