"""Measures how long a large fleet's endpoint list occupies the event loop, in ms for each step.

.venv/bin/python -m benchmarks.large_list --workers 3200 --schedulers 200
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import click
import msgspec

from measure.daemons import settings
from measure.soak.stand_ins import placeholder_members
from spanwing import interface as api
from spanwing.core.clock import Clock
from spanwing.core.request_manager import RequestManager
from spanwing.discovery.call import DiscoveredEndpoints, DiscoveredWorker
from spanwing.discovery.client import DiscoveryClient
from spanwing.net.address import Address
from spanwing.net.buffers import BufferPool
from spanwing.settings import PlatformSettings, scheduler_settings
from spanwing.workers.connection_pool import ConnectionPool, DescriptorBudget
from spanwing.workers.http_worker import HttpWorker
from spanwing.workers.load_report import LoadReportReader


def timed(name: str, call: Callable[[], object]) -> object:
    """Calls the function, prints how long it took and returns its result."""
    began_s = time.perf_counter()
    result = call()
    click.echo(f"{name:<44} {(time.perf_counter() - began_s) * 1000.0:8.2f} ms")
    return result


def endpoint_list(count: int, changed: int, phase: str, revision: int) -> DiscoveredEndpoints:
    """Returns a list of count workers, or a partial list of the first `changed` of them if that is not 0."""
    members = [
        DiscoveredWorker(each.id, f"{each.host}:9", "a", "big", 0, phase)
        for each in placeholder_members(count, phase, revision)
    ]
    return DiscoveredEndpoints(revision, not changed, members[: changed or count])


async def run(workers: int, schedulers: int, changed: int) -> None:
    """Applies a complete list, then a change of it, and prints the cost of each step."""
    platform = msgspec.json.decode(msgspec.json.encode(settings(balancers=schedulers)), type=PlatformSettings)
    manager = RequestManager(scheduler_settings(platform), 1, Clock())
    buffers, budget = BufferPool(), DescriptorBudget(500)

    def make_worker(name: str, address: Address, on_retired: Callable[[HttpWorker], None]) -> HttpWorker:
        pool = ConnectionPool(address, buffers, budget, 15000.0, 250.0)
        return HttpWorker(name, pool, LoadReportReader(()), on_retired)

    client = DiscoveryClient(DiscoveredEndpoints(), Address("127.0.0.1", 9), manager, buffers, make_worker)
    complete_list = endpoint_list(workers, 0, "active", 2)
    encoded = msgspec.json.encode(complete_list)
    click.echo(f"{workers} workers, {schedulers} schedulers, {len(encoded)} bytes, a change of {changed}")
    timed("decode the list", lambda: msgspec.json.decode(encoded, type=DiscoveredEndpoints))
    for name, endpoints in (
        ("list", complete_list),
        ("change", endpoint_list(workers, changed, "leaving", 3)),
    ):
        scope = "complete" if endpoints.complete else "partial"
        timed(f"{name}: discovery client", lambda e=endpoints, s=scope: client._apply_endpoints(e, s))
        while client.mailbox or manager.mailbox:
            if manager.mailbox:
                message = manager.mailbox.popleft()
                timed(f"{name}: request manager", lambda m=message: manager.handle_message(m))
            await asyncio.sleep(0)
    timed("a request", lambda: manager.notify_schedulers(api.ClientGone("x")))


@click.command()
@click.option("--workers", default=3200)
@click.option("--schedulers", default=200)
@click.option("--changed", default=960)
def main(workers: int, schedulers: int, changed: int) -> None:
    """Prints the cost of each step."""
    asyncio.run(run(workers, schedulers, changed))


if __name__ == "__main__":
    main()
