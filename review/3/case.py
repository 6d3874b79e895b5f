"""A client hides a second request in the idempotency key of a job; a job worker gets it and runs it.

Over HTTP the key holds line feeds, over Faktory (`custom.effect_key`) whole line ends. The scheduler writes
the key into the head of the request to the job worker as it came.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lib.standins import (
    HOST,
    Client,
    Discovery,
    FaktoryClient,
    Record,
    Scheduler,
    Worker,
    base_config,
    free_port,
    has_trouble,
    run_case,
)

KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"


def hide(request_id: str, line_end: str) -> str:
    """Returns a key that ends the request that carries it, holds a whole request, and begins a third one."""
    lines = (
        KEY,
        "Content-Length: 0",
        "",
        "POST /schedule-apply HTTP/1.1",
        "Host: x",
        f"X-Call-Id: {request_id}",
        "X-Budget-Ms: 9000",
        "Content-Length: 0",
        "",
        "GET /none HTTP/1.1",
        "Host: x",
    )
    return line_end.join(lines)


async def push(faktory: tuple[str, int], record: Record, request_id: str, key: str) -> None:
    """Pushes a job of a keyed class over Faktory, and waits for its outcome."""
    client = await FaktoryClient.connect(faktory)
    custom = {"answer": "outcome", "tenant": "corrib", "budget_ms": 4000, "effect_key": key}
    job = {"jid": request_id, "jobtype": "push", "queue": "setpoint-push", "args": [], "custom": custom}
    record(f"client: PUSH of {request_id} with the key {key!r}")
    try:
        record(f"client: PUSH of {request_id}: {await client.ask('PUSH', job)}")
    except ConnectionError as error:
        record(f"client: PUSH of {request_id}: {error}")
    client.close()


async def play(record: Record) -> bool:
    """Returns whether a job worker got a request that no client sent."""
    discovery = Discovery([])
    await discovery.start()
    config, faktory = base_config(discovery), (HOST, free_port())
    port = int(config["listen"].rpartition(":")[2])
    workers = [Worker(f"s-0badcaf{number}", record, (HOST, port)) for number in range(2)]
    for each in workers:
        await each.start()
        discovery.members.append(each.entry())
    config["known"] = discovery.whole_list()
    scheduler = Scheduler("n0", config, f'[faktory]\nlisten = "{HOST}:{faktory[1]}"\n')
    try:
        await scheduler.start()
        client = Client(scheduler.address, record)
        if await client.send("9b1f03aa5c7e2d40", "setpoint-push", 8000, b"{}", KEY) != 200:
            raise RuntimeError("a job with a sound key was not served")
        await push(faktory, record, "9b1f03aa5c7e2d41", KEY[::-1])
        if has_trouble():
            bad_key = hide("aaaa0000aaaa0000", "\n")
            record(f"client: the key of the next request is {bad_key!r}")
            await client.send("9b1f03aa5c7e2d42", "setpoint-push", 8000, b"{}", bad_key)
            await asyncio.sleep(6.0)  # the job workers that seemed to fail are used again
            await client.send("9b1f03aa5c7e2d44", "status-read", 5000)
            await push(faktory, record, "9b1f03aa5c7e2d43", hide("bbbb0000bbbb0000", "\r\n"))
        await asyncio.sleep(1.0)
    finally:
        await scheduler.close()
    sent = {f"9b1f03aa5c7e2d4{number}" for number in range(5)}
    foreign = {
        request_id: sum(request_id == each for worker in workers for _, each in worker.runs)
        for worker in workers
        for _, request_id in worker.attempts
        if request_id not in sent
    }
    record(f"requests that job workers got and no client sent, and how often they ran: {foreign}")
    return bool(foreign)


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).resolve().parent))
