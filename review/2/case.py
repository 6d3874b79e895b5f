"""With a balancers' listener open, a planned restart loses requests that come 0.7 to 1.75 s after SIGTERM.

The scheduler still takes them then, and does not bound their time by the SIGKILL that follows.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lib.standins import (
    HOST,
    Client,
    Discovery,
    Record,
    Scheduler,
    Worker,
    base_config,
    free_port,
    has_trouble,
    run_case,
)

# "SIGKILL comes after SIGTERM no sooner than the longest deadline and 0.7 s more, with that deadline counted
# as 3 s where it is longer", and each time limit grows by 50 ms.
KILL_AFTER_S = 3.0 + 0.7 + 0.05
EXCUSED_S = 0.7  # what SIGKILL finds unanswered is lost if it came more than this after SIGTERM
SEND_AFTER_S = (0.9, 1.1, 1.3, 1.5, 1.6)  # after SIGTERM
RUN_MS = 2600  # schedule-apply: 1,400 to 2,600 ms of running on average
BUDGET_MS = 25000  # its deadline


async def play(record: Record) -> bool:
    """Returns whether a request that came more than 0.7 s after SIGTERM has got no answer."""
    discovery = Discovery([])
    await discovery.start()
    config = base_config(discovery)
    port = int(config["listen"].rpartition(":")[2])
    workers = [Worker(f"s-0badcaf{number}", record, (HOST, port)) for number in range(3)]
    for each in workers:
        await each.start()
        discovery.members.append(each.entry())
    config["known"] = discovery.whole_list()
    scheduler = Scheduler("n0", config, f'[health]\nlisten = "{HOST}:{free_port()}"\n')
    lost: list[str] = []

    async def use_open_connection(client: Client, number: int, after_s: float) -> None:
        """Sends one job on a connection that has been used and has stayed open."""
        await asyncio.sleep(after_s)
        request_id = f"9b1f03aa5c7e2d4{number}"
        body = f'{{"run_ms": {RUN_MS}}}'.encode()
        if await client.send(request_id, "schedule-apply", BUDGET_MS, body) == 0 and after_s > EXCUSED_S:
            lost.append(request_id)

    try:
        await scheduler.start()
        clients = [Client(scheduler.address, record) for _ in SEND_AFTER_S]
        for number, each in enumerate(clients):
            if await each.send(f"7a1f03aa5c7e2d4{number}", "status-read", 5000) != 200:
                raise RuntimeError("a job before the restart was not served")
        if has_trouble():
            record("platform: SIGTERM")
            scheduler.process.send_signal(signal.SIGTERM)

        async def kill() -> None:
            try:
                async with asyncio.timeout(KILL_AFTER_S):
                    await scheduler.process.wait()
                record("platform: the scheduler has ended")
            except TimeoutError:
                record("platform: SIGKILL")
                await scheduler.stop(signal.SIGKILL)

        parts = [use_open_connection(*each) for each in zip(clients, range(9), SEND_AFTER_S, strict=False)]
        await asyncio.gather(*parts, *([kill()] if has_trouble() else []))
    finally:
        await scheduler.close()
    record(f"requests that came over {EXCUSED_S} s after SIGTERM, were read and got no answer: {lost}")
    sent = {request_id for each in workers for _, request_id in each.attempts}
    record(f"of these, job workers got: {sorted(sent & set(lost))}")
    return bool(sent & set(lost))


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).resolve().parent))
