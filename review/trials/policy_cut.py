"""A scheduler that closed for a change of policy, and is cut off and restarted, takes jobs under the old one.

A trial for issue 23 and the second line of KNOWN-RED.txt, not a case. Run it as
`.venv/bin/python review/trials/policy_cut.py`; it writes record.txt beside it.
"""

from __future__ import annotations

import asyncio
import copy
import json
import sys
import tempfile
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lib.standins import (
    HOST,
    SETTINGS,
    Client,
    Discovery,
    Proxy,
    Record,
    Scheduler,
    Worker,
    base_config,
    free_port,
    has_trouble,
    run_case,
)

MEMBERS = ("a", "b", "c")  # of the store; "d" follows them
NAMES = (*MEMBERS, "d")
OLD_CLASS = "status-read"  # version 2 of the policy has no such class any more
AWAY_MS = 10000.0  # the default, and that of the page for operators
CUT_S = 6.0  # "for 6 s a zone is partitioned"


def known_settings() -> dict[str, Any]:
    """Returns the policy's settings; a proposal may hold only those that the program knows."""
    names = (
        "areas",
        "classes",
        "discovery",
        "kinds",
        "over_share_worth",
        "report",
        "rules",
        "specifics",
        "tick_ms",
    )
    text = {name: copy.deepcopy(SETTINGS[name]) for name in names}
    permissions = (
        "cancel",
        "conn_idle_ms",
        "connect_timeout_ms",
        "max_attempts",
        "max_retry_after_ms",
        "probes",
    )
    text["permissions"] = {name: SETTINGS["permissions"][name] for name in (*permissions, "retry_after")}
    text["orgs"] = [{"name": each["name"], "allowance_per_s": 100.0} for each in SETTINGS["orgs"]]
    text["balancers"] = len(NAMES)
    return text


async def command(socket: str, **fields: Any) -> dict[str, Any]:
    """Sends a command to a scheduler's admin socket; returns the reply."""
    reader, writer = await asyncio.open_unix_connection(socket)
    writer.write(json.dumps(fields).encode() + b"\n")
    reply = json.loads(await reader.readline())
    writer.close()
    return reply


async def wait_until(what: str, holds: Any, wait_s: float = 20.0) -> None:
    """Waits until holds() is true. Raises RuntimeError after wait_s."""
    for _ in range(int(wait_s / 0.05)):
        if await holds():
            return
        await asyncio.sleep(0.05)
    raise RuntimeError(f"{what}: not within {wait_s} s")


class Fleet:
    """Four schedulers with one policy; proxies on the links of "d" to the members."""

    def __init__(self, record: Record, folder: str) -> None:
        self.record, self.folder = record, folder
        self.ports = {name: free_port() for name in MEMBERS}
        self.links = {name: Proxy((HOST, self.ports[name])) for name in MEMBERS}
        self.schedulers: dict[str, Scheduler] = {}

    def admin(self, name: str) -> str:
        """Returns the path of a scheduler's admin socket."""
        return f"{self.folder}/{name}.admin"

    def fronts(self, name: str) -> str:
        """Returns a scheduler's fronts file."""
        ports = {each: self.links[each].port if name == "d" else self.ports[each] for each in MEMBERS}
        members = ", ".join(f'{each} = "{HOST}:{port}"' for each, port in ports.items())
        text = (
            f'[admin]\nsocket = "{self.admin(name)}"\n[zones]\nmembers = {{ {members} }}\n'
            f'[policy]\ndirectory = "{self.folder}/{name}.policy"\naway_ms = {AWAY_MS}\n'
        )
        if name == "d":
            return text
        peers = ", ".join(f'{each} = "{HOST}:{self.ports[each]}"' for each in MEMBERS if each != name)
        return text + (
            f'[store]\nmember = "{name}"\ndirectory = "{self.folder}/{name}.store"\n'
            f'listen = "{HOST}:{self.ports[name]}"\npeers = {{ {peers} }}\n'
        )

    async def start(self) -> None:
        """Starts all schedulers, each with a job worker that calls it back."""
        for link in self.links.values():
            await link.start()
        for position, name in enumerate(NAMES):
            settings = {**known_settings(), "position": position, "zone": "galway"}
            discovery = Discovery([])
            await discovery.start()
            config = base_config(discovery, settings)
            port = int(config["listen"].rpartition(":")[2])
            worker = Worker(f"s-{name}", self.record, (HOST, port))
            await worker.start()
            discovery.members.append(worker.entry())
            config["known"] = discovery.whole_list()
            self.schedulers[name] = Scheduler(name, config, self.fronts(name))
        await asyncio.gather(*(each.start() for each in self.schedulers.values()))

    async def policy(self, name: str) -> dict[str, Any]:
        """Returns what a scheduler tells of the policy."""
        return await command(self.admin(name), do="policy")

    async def close(self) -> None:
        """Ends all schedulers."""
        for each in self.schedulers.values():
            await each.close()


async def play(record: Record) -> bool:
    """Returns whether a job was taken under version 1 after one was taken under version 2."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(record, folder)
        try:
            return await change_policy(record, fleet)
        finally:
            await fleet.close()


class Cut:
    """Cuts "d" off for CUT_S, from when it has heard that the change is closing."""

    def __init__(self, record: Record, fleet: Fleet) -> None:
        self.record, self.fleet, self.is_mute, self.has_begun = record, fleet, False, False
        for link in fleet.links.values():
            link.after_answer, link.is_mute = self.hear, lambda: self.is_mute

    def hear(self, data: bytes) -> None:
        """From the first answer that tells of the closing, what the members say gets lost."""
        if has_trouble() and b"closing" in data and not self.has_begun:
            self.is_mute = self.has_begun = True
            asyncio.get_running_loop().call_later(CUT_S, self.end)
            self.record("links: d has heard that the change is closing; what the members say now gets lost")

    def go_on(self) -> None:
        """From now on nothing passes, in neither direction."""
        for link in self.fleet.links.values():
            link.is_cut = True

    def end(self) -> None:
        """Heals the links."""
        self.is_mute = False
        for link in self.fleet.links.values():
            link.is_cut = False
        self.record("links: d is reached again")


def new_policy() -> str:
    """Returns the text of version 2, which drops a class."""
    text = known_settings()
    text["classes"] = [each for each in text["classes"] if each["name"] != OLD_CLASS]
    for name in ("class_kind", "class_priority", "class_stretch"):
        text["specifics"][name] = text["specifics"][name][1:]
    return json.dumps(text)


async def change_policy(record: Record, fleet: Fleet) -> bool:
    """Plays the change; returns whether the rule was broken."""
    await fleet.start()

    async def status_of(name: str, number: int) -> int:
        """Sends a job of the class that version 2 has dropped; returns the status of the answer."""
        client = Client(fleet.schedulers[name].address, record)
        try:
            return await client.send(f"9b1f03aa5c7e{number:04d}", OLD_CLASS, 1000)
        finally:
            client.close()

    async def all_registered() -> bool:
        return all([len((await fleet.policy(name))["schedulers"]) == len(NAMES) for name in NAMES])

    async def in_force() -> bool:
        return all([(await fleet.policy(name))["version"] == 2 for name in MEMBERS])

    await wait_until("all schedulers follow the policy", all_registered)
    await asyncio.sleep(1.0)
    cut = Cut(record, fleet)
    order = {"do": "policy_order", "order": "propose", "base": 1, "within_s": 30.0}
    reply = await command(fleet.admin("a"), **order, text=new_policy(), reason="no status-read any more")
    record(f"operator: propose: {reply}")
    await wait_until("version 2 is in force", in_force)
    record("operator: version 2 is in force at a, b and c")
    if await status_of("b", 1) != 404:
        raise RuntimeError("b has not taken version 2 over")
    record(f"operator: d says {json.dumps(await fleet.policy('d'))}")
    if has_trouble():
        cut.go_on()
        record("platform: d is killed and started again, while it is cut off")
        await fleet.schedulers["d"].stop()
        await fleet.schedulers["d"].start()
    statuses = []
    for number in range(10):
        statuses.append(await status_of("d", number + 2))
        await asyncio.sleep(0.3)
    record(f"operator: d says {json.dumps(await fleet.policy('d'))}")
    record(f"answers of d to jobs of the dropped class: {statuses}")
    return any(each in (200, 502) for each in statuses)


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).resolve().parent))
