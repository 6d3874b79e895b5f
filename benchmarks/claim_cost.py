"""How long a PUSH of a job that must not run twice takes until its `+OK`, with three members of the store.

Three daemons share a replicated store on this machine, each with its log on disk. A number of clients push
jobs to one of them, each client one job after the other, without pause. The jobs wait for a worker, of which
there is none, until their short budget is over; so their outcomes are written beside the claims.

    .venv/bin/python -m benchmarks.claim_cost --seconds 5
"""

from __future__ import annotations

import asyncio
import json
import tempfile
import time
from pathlib import Path
from statistics import quantiles

import click

from measure.daemons import HostPort, Program, settings
from measure.faktory import FaktoryConnection
from measure.ports import free_ports

MEMBERS = ("a", "b", "c")
CLIENT_COUNTS = (1, 30, 200)
BUDGET_MS = 300


def start_members(folder: Path) -> list[Program]:
    """Starts three daemons that share a store, and waits until they serve."""
    ports = dict(zip(MEMBERS, free_ports(len(MEMBERS)), strict=True))
    programs = []
    for name in MEMBERS:
        peers = ", ".join(f'{other} = "127.0.0.1:{ports[other]}"' for other in MEMBERS if other != name)
        fronts = (
            '[faktory]\nlisten = "127.0.0.1:0"\n'
            f'[store]\nmember = "{name}"\ndirectory = "{folder / name}"\n'
            f'listen = "127.0.0.1:{ports[name]}"\npeers = {{ {peers} }}\n'
        )
        config = {
            "name": name,
            "listen": "127.0.0.1:0",
            "discovery": "127.0.0.1:9",
            "seed": "2a",
            "known": {"revision": 1, "complete": True, "members": []},
            "limits": {"sockets": 2048},
            "settings": settings(),
        }
        programs.append(Program(config, fronts))
    if not all(each.serving() for each in programs):
        raise click.ClickException("a member of the store did not start")
    return programs


async def push_jobs(address: HostPort, number: int, until_s: float, waits_ms: list[float]) -> int:
    """Pushes jobs one after the other; appends the time to each `+OK`, returns how many were not taken."""
    connection, rejected_count, count = await FaktoryConnection(address).open(), 0, 0
    try:
        while time.monotonic() < until_s:
            count += 1
            job = {
                "jid": f"job-{address[1]}-{number:04}-{count:06}",
                "jobtype": "x",
                "queue": "schedule-apply",
                "args": [],
                "custom": {"budget_ms": BUDGET_MS},
            }
            began_s = time.monotonic()
            reply = await connection.command("PUSH", json.dumps(job))
            if reply == "+OK":
                waits_ms.append((time.monotonic() - began_s) * 1000.0)
            else:
                rejected_count += 1
    finally:
        connection.close()
    return rejected_count


async def measure(address: HostPort, client_count: int, seconds: float) -> str:
    """Returns a row of the table."""
    waits_ms: list[float] = []
    until_s = time.monotonic() + seconds
    rejected = await asyncio.gather(
        *(
            push_jobs(address, client_count * 1000 + number, until_s, waits_ms)
            for number in range(client_count)
        )
    )
    if len(waits_ms) < 2:
        return f"| {client_count} | 0 | | | {sum(rejected)} |"
    cuts = quantiles(waits_ms, n=100)
    rate = len(waits_ms) / seconds
    return f"| {client_count} | {rate:.0f} | {cuts[49]:.2f} | {cuts[98]:.2f} | {sum(rejected)} |"


@click.command()
@click.option("--seconds", default=5.0, help="length of each of the runs")
def main(seconds: float) -> None:
    """Measures claims at 1, 30 and 200 clients at once, and prints a table."""
    click.echo(
        "| clients | claims a second | p50, ms | p99, ms | not taken |\n| --- | --- | --- | --- | --- |"
    )
    for client_count in CLIENT_COUNTS:
        with tempfile.TemporaryDirectory() as folder:
            programs = start_members(Path(folder))
            try:
                click.echo(asyncio.run(measure(programs[0].addresses["faktory"], client_count, seconds)))
            finally:
                for each in programs:
                    each.close()


if __name__ == "__main__":
    main()
