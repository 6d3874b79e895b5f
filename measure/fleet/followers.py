"""What it costs the store's members that many schedulers follow the fleet's state: the program's own
followers, some hundreds of them, at three real members.

    .venv/bin/python -m measure.fleet.followers --count 5 --count 40 --count 400

Of each count: renewals and bytes of evidence a second, each member's processor time, and how long after a
change each follower has it (by this machine's clock, from the change's own time)."""

from __future__ import annotations

import json
import subprocess
import sys
import time
from typing import Any

import click
from tornado.ioloop import IOLoop

from measure.daemons import CLOCK_TICKS_PER_S, ROOT
from measure.fleet.ground import HOST, Ground
from spanwing.actor import spawn_task
from spanwing.net.address import Address
from spanwing.net.buffers import BufferPool
from spanwing.store.follower import DocumentFollower

SETTLE_S, LOOK_S, PROCESSES = 6.0, 10.0, 4
WORDS = json.dumps(
    [{zone: [[number * 11 + place for place in range(5)], [], 4.0, 8.0] for number, zone in enumerate("abc")}]
).encode()


def follow(start: dict[str, Any]) -> None:
    """Some followers in one process, to the end of standard input; then what they counted."""
    members = {name: Address(HOST, port) for name, port in start["members"].items()}
    heard: dict[int, list[float]] = {}

    def changed(document: Any) -> None:
        heard.setdefault(document.revision, []).append(time.time())

    followers = [
        DocumentFollower(
            f"f{position}",
            "abc"[position % 3],
            position,
            members,
            BufferPool(),
            lambda: WORDS,
            changed,
            lambda _: None,
        )
        for position in start["positions"]
    ]
    for each in followers:
        spawn_task(each.run())
    loop = IOLoop.current()

    def told(*_: Any) -> None:
        line = sys.stdin.readline()
        if not line:
            loop.stop()
            return
        print(
            json.dumps(
                {
                    "renewals": sum(each.last_message_id for each in followers),
                    "at": time.time(),
                    "hold": sum(each.has_lease() for each in followers),
                    "heard": heard,
                }
            ),
            flush=True,
        )

    loop.add_handler(sys.stdin, told, loop.READ)
    loop.start()


class Many:
    """All of them."""

    def __init__(self, ground: Ground, count: int) -> None:
        # Not by the relays, whose own work would be measured too.
        members = {name: ground.programs[name].addresses["store"][1] for name in ground.members}
        self.parts = []
        for number in range(PROCESSES):
            part = subprocess.Popen(
                [sys.executable, "-m", "measure.fleet.followers", "--follow"],
                cwd=ROOT,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            positions = list(range(3 + number, 3 + count, PROCESSES))
            part.stdin.write(json.dumps({"members": members, "positions": positions}) + "\n")
            part.stdin.flush()
            self.parts.append(part)

    def ask(self) -> list[dict[str, Any]]:
        for part in self.parts:
            part.stdin.write("\n")
            part.stdin.flush()
        return [json.loads(part.stdout.readline()) for part in self.parts]

    def close(self) -> None:
        for part in self.parts:
            part.kill()
            part.wait()
            part.stdin.close()
            part.stdout.close()


def cpu_s(ground: Ground, name: str) -> float:
    with open(f"/proc/{ground.process(name).pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def measure(count: int) -> str:
    with Ground(3, members=3, balancers=count + 3) as ground:
        ground.until(ground.contact)
        time.sleep(SETTLE_S)
        idle = {name: cpu_s(ground, name) for name in ground.members}
        time.sleep(LOOK_S)
        idle = {name: cpu_s(ground, name) - before for name, before in idle.items()}
        many = Many(ground, count)
        try:
            time.sleep(SETTLE_S)
            before, began = many.ask(), {name: cpu_s(ground, name) for name in ground.members}
            time.sleep(LOOK_S)
            after = many.ask()
            spent = {name: (cpu_s(ground, name) - was - idle[name]) / LOOK_S for name, was in began.items()}
            renewals = sum(b["renewals"] - a["renewals"] for a, b in zip(before, after, strict=True))
            rate = renewals / LOOK_S
            ground.ask("s2", do="zones_order", order="leave", zone="c")
            time.sleep(2.0)
            told, history = many.ask(), ground.history()
            first = history[0]
            late = sorted(
                (at - first["wall_ms"] / 1000.0) * 1000.0
                for each in told
                for at in each["heard"].get(str(first["number"]), [])
            )
            hold = sum(each["hold"] for each in told)
        finally:
            many.close()
    keeps = max(spent, key=spent.get)
    others = max(value for name, value in spent.items() if name != keeps)
    heard = f"{late[len(late) // 2]:.0f}, {late[int(len(late) * 0.99)]:.0f}, {late[-1]:.0f} ms of {len(late)}"
    return (
        f"| {count} | {rate:.0f} | {rate * len(WORDS):.0f} | {100 * spent[keeps]:.1f}% | "
        f"{100 * others:.1f}% | "
        f"{heard} | {hold} |"
    )


@click.command()
@click.option("--follow", "part", is_flag=True, hidden=True)
@click.option("--count", "counts", multiple=True, type=int, default=(5, 40, 400), show_default=True)
def main(part: bool, counts: tuple[int, ...]) -> None:
    if part:
        follow(json.loads(sys.stdin.readline()))
        return
    click.echo(
        "| followers | renewals a second | bytes of evidence a second | the keeper's CPU | most of "
        "another member | a change is heard after: p50, p99, most | hold a lease |\n"
        "| --- | --- | --- | --- | --- | --- | --- |"
    )
    for count in counts:
        click.echo(measure(count))


if __name__ == "__main__":
    main()
