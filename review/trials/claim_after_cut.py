"""A refused job stays claimed if its member was cut off from the store; when it is pushed again, it is lost.

The scheduler says +OK to the second PUSH, and no scheduler ever gives the job to a job worker. A trial, not a
case. Run it as `.venv/bin/python review/trials/claim_after_cut.py`; it writes record.txt beside it.
"""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lib.standins import (
    HOST,
    Discovery,
    FaktoryClient,
    Proxy,
    Record,
    Scheduler,
    base_config,
    free_port,
    has_trouble,
    run_case,
)

MEMBERS = ("a", "b", "c")
CUT_S = 6.0  # "for 6 s a zone is partitioned"
JOB = "5c0f6e1a2b3d4c59"
DEADLINE_S = 25.0  # of schedule-apply


class Site:
    """Three schedulers, each a member of the store, with a proxy on every link between two of them."""

    def __init__(self, record: Record) -> None:
        self.record, self.schedulers, self.runs = record, {}, []
        self.faktory = {name: (HOST, free_port()) for name in MEMBERS}
        self.store = {name: free_port() for name in MEMBERS}
        self.links = {
            (one, other): Proxy((HOST, self.store[other]))
            for one in MEMBERS
            for other in MEMBERS
            if one != other
        }
        self.tasks: list[asyncio.Task] = []

    async def start(self, folder: str) -> None:
        """Starts all three."""
        for link in self.links.values():
            await link.start()
        discovery = Discovery([])
        await discovery.start()
        for name in MEMBERS:
            peers = ", ".join(
                f'{other} = "{HOST}:{link.port}"' for (one, other), link in self.links.items() if one == name
            )
            fronts = (
                f'[faktory]\nlisten = "{HOST}:{self.faktory[name][1]}"\n[store]\nmember = "{name}"\n'
                f'directory = "{folder}/{name}"\nlisten = "{HOST}:{self.store[name]}"\n'
                f"peers = {{ {peers} }}\n"
            )
            self.schedulers[name] = Scheduler(name, base_config(discovery), fronts)
        await asyncio.gather(*(each.start() for each in self.schedulers.values()))

    def cut(self, name: str, is_cut: bool) -> None:
        """Cuts a member off from the other two, or heals the links. Clients and job workers reach it."""
        self.record(f"links: {name} is {'cut off' if is_cut else 'reached again'}")
        for (one, other), link in self.links.items():
            if name in (one, other):
                link.is_cut = is_cut

    async def join_worker(self, name: str) -> None:
        """Starts a Faktory job worker at one scheduler: it fetches, runs and acknowledges jobs."""
        client = await FaktoryClient.connect(
            self.faktory[name], wid=f"worker-{name}", labels=["zone:galway", "kind:big-box"]
        )
        while True:
            job = await client.ask("FETCH", "status-read schedule-apply setpoint-push")
            if job is not None:
                jid = json.loads(job)["jid"]
                self.runs.append(jid)
                self.record(f"worker at {name}: {jid} RUNS")
                await asyncio.sleep(1.4)
                self.record(f"worker at {name}: ACK {jid}: {await client.ask('ACK', {'jid': jid})}")

    async def push(self, name: str, jid: str) -> str:
        """Pushes a job at one scheduler; returns the reply."""
        client = await FaktoryClient.connect(self.faktory[name])
        job = {
            "jid": jid,
            "jobtype": "apply",
            "queue": "schedule-apply",
            "args": [],
            "custom": {"tenant": "corrib"},
        }
        reply = str(await client.ask("PUSH", job))
        self.record(f"client: PUSH of {jid} at {name}: {reply}")
        client.close()
        return reply

    async def state(self, name: str, jid: str) -> str:
        """Returns what one scheduler tells of a job."""
        client = await FaktoryClient.connect(self.faktory[name])
        text = str(await client.ask("TRACK GET", jid))
        client.close()
        return text

    async def wait_for(self, name: str, jid: str, wait_s: float) -> str:
        """Waits until the job has ended, by what one scheduler tells; returns its state."""
        for _ in range(int(wait_s * 10)):
            text = await self.state(name, jid)
            if json.loads(text)["state"] in ("success", "failed", "dead"):
                break
            await asyncio.sleep(0.1)
        self.record(f"client: TRACK GET {jid} at {name}: {text}")
        return json.loads(text)["state"]

    async def close(self) -> None:
        """Ends everything."""
        for each in self.tasks:
            each.cancel()
        for each in self.schedulers.values():
            await each.close()


async def play(record: Record) -> bool:
    """Returns whether a job that a running scheduler has taken never ran and got no final answer."""
    site = Site(record)
    with tempfile.TemporaryDirectory() as folder:
        try:
            await site.start(folder)
            if await site.push("a", JOB) != "+OK":
                raise RuntimeError("the first PUSH was not taken")
            if has_trouble():
                site.cut("a", True)
                heal = asyncio.get_running_loop().call_later(CUT_S, site.cut, "a", False)
                site.tasks.append(asyncio.create_task(asyncio.sleep(CUT_S)))
            # No job worker is there: the job is refused, which says that trying again is harmless.
            if await site.wait_for("a", JOB, DEADLINE_S) != "dead":
                raise RuntimeError("the job was not refused")
            if has_trouble():
                await asyncio.sleep(max(0.0, heal.when() - asyncio.get_running_loop().time()) + 3.0)
            for name in MEMBERS:
                site.tasks.append(asyncio.create_task(site.join_worker(name)))
            await asyncio.sleep(1.0)
            other = "b20f6e1a2b3d4c59"
            await site.push("b", other)
            await site.wait_for("b", other, DEADLINE_S)
            for _ in range(20):  # tries again as long as it is turned away
                reply = await site.push("b", JOB)
                if not reply.startswith("-BUSY"):
                    break
                await asyncio.sleep(0.5)
            state = await site.wait_for("b", JOB, DEADLINE_S + 1.0)
            record(f"{JOB}: the reply to the second PUSH was {reply}, it ran {site.runs.count(JOB)} times")
        finally:
            await site.close()
    if other not in site.runs:
        raise RuntimeError("the job workers run nothing")
    return reply == "+OK" and site.runs.count(JOB) == 0 and state not in ("success", "failed", "dead")


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).resolve().parent))
