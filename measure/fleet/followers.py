"""Measures what many followers of the fleet's document cost the members of the store.

    .venv/bin/python -m measure.fleet.followers --count 5 --count 40 --count 400

A few processes run the program's own DocumentFollower, some hundreds in all, against three real members. For
each count it prints the renewals and bytes of evidence a second, the processor time of the members, and how
long after a change the followers have it, from the change's own time by this machine's clock.
"""

from __future__ import annotations

import json
import subprocess
import sys
import time
from typing import Any

import click
from tornado.ioloop import IOLoop

from measure.daemons import CLOCK_TICKS_PER_S, ROOT
from measure.fleet.ground import HOST, ProcessFleet
from spanwing.actor import spawn_task
from spanwing.net.address import Address
from spanwing.net.buffers import BufferPool
from spanwing.store.follower import DocumentFollower

SETTLE_S, MEASURE_S, PROCESSES = 6.0, 10.0, 4
EVIDENCE = json.dumps(
    [{zone: [[number * 11 + place for place in range(5)], [], 4.0, 8.0] for number, zone in enumerate("abc")}]
).encode()


def run_followers(config: dict[str, Any]) -> None:
    """Runs followers in this process until the end of standard input.

    config: members, the ports of the store's members by name; positions, of the followers. For each line of
    input it prints what the followers have counted so far, and the times at which they got each revision.
    """
    members = {name: Address(HOST, port) for name, port in config["members"].items()}
    received_at: dict[int, list[float]] = {}

    def record_change(document: Any) -> None:
        received_at.setdefault(document.revision, []).append(time.time())

    followers = [
        DocumentFollower(
            f"f{position}",
            "abc"[position % 3],
            position,
            members,
            BufferPool(),
            lambda: EVIDENCE,
            record_change,
            lambda _: None,
        )
        for position in config["positions"]
    ]
    for follower in followers:
        spawn_task(follower.run())
    loop = IOLoop.current()

    def report(*_: Any) -> None:
        line = sys.stdin.readline()
        if not line:
            loop.stop()
            return
        print(
            json.dumps(
                {
                    "renewals": sum(follower.last_message_id for follower in followers),
                    "at": time.time(),
                    "hold": sum(follower.has_lease() for follower in followers),
                    "heard": received_at,
                }
            ),
            flush=True,
        )

    loop.add_handler(sys.stdin, report, loop.READ)
    loop.start()


class FollowerProcesses:
    """The processes of all followers."""

    def __init__(self, fleet: ProcessFleet, count: int) -> None:
        """Starts PROCESSES processes with `count` followers together."""
        # The followers bypass the relays, whose own work would add to the measured load of the machine.
        members = {name: fleet.programs[name].addresses["store"][1] for name in fleet.members}
        self.processes = []
        for number in range(PROCESSES):
            process = subprocess.Popen(
                [sys.executable, "-m", "measure.fleet.followers", "--follow"],
                cwd=ROOT,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            positions = list(range(3 + number, 3 + count, PROCESSES))
            process.stdin.write(json.dumps({"members": members, "positions": positions}) + "\n")
            process.stdin.flush()
            self.processes.append(process)

    def read_counts(self) -> list[dict[str, Any]]:
        """Returns what each process has counted so far."""
        for process in self.processes:
            process.stdin.write("\n")
            process.stdin.flush()
        return [json.loads(process.stdout.readline()) for process in self.processes]

    def close(self) -> None:
        """Kills all processes."""
        for process in self.processes:
            process.kill()
            process.wait()
            process.stdin.close()
            process.stdout.close()


def cpu_s(fleet: ProcessFleet, name: str) -> float:
    """Returns the processor time that a process of the fleet has used, in s."""
    with open(f"/proc/{fleet.process(name).pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def measure(count: int) -> str:
    """Returns the row of the table for this many followers.

    The members' processor time without followers is subtracted.
    """
    with ProcessFleet(3, members=3, balancers=count + 3) as fleet:
        fleet.wait_until(fleet.all_in_contact)
        time.sleep(SETTLE_S)
        idle_s = {name: cpu_s(fleet, name) for name in fleet.members}
        time.sleep(MEASURE_S)
        idle_s = {name: cpu_s(fleet, name) - used_s for name, used_s in idle_s.items()}
        processes = FollowerProcesses(fleet, count)
        try:
            time.sleep(SETTLE_S)
            before, cpu_before_s = (
                processes.read_counts(),
                {name: cpu_s(fleet, name) for name in fleet.members},
            )
            time.sleep(MEASURE_S)
            after = processes.read_counts()
            cpu_share = {
                name: (cpu_s(fleet, name) - used_s - idle_s[name]) / MEASURE_S
                for name, used_s in cpu_before_s.items()
            }
            renewals = sum(new["renewals"] - old["renewals"] for old, new in zip(before, after, strict=True))
            renewals_per_s = renewals / MEASURE_S
            fleet.send_command("s2", do="zones_order", order="leave", zone="c")
            time.sleep(2.0)
            counts, history = processes.read_counts(), fleet.history()
            change = history[0]
            delays_ms = sorted(
                (at - change["wall_ms"] / 1000.0) * 1000.0
                for each in counts
                for at in each["heard"].get(str(change["number"]), [])
            )
            lease_count = sum(each["hold"] for each in counts)
        finally:
            processes.close()
    leader = max(cpu_share, key=cpu_share.get)
    other_share = max(value for name, value in cpu_share.items() if name != leader)
    delays = (
        f"{delays_ms[len(delays_ms) // 2]:.0f}, {delays_ms[int(len(delays_ms) * 0.99)]:.0f}, "
        f"{delays_ms[-1]:.0f} ms of {len(delays_ms)}"
    )
    return (
        f"| {count} | {renewals_per_s:.0f} | {renewals_per_s * len(EVIDENCE):.0f} | "
        f"{100 * cpu_share[leader]:.1f}% | {100 * other_share:.1f}% | "
        f"{delays} | {lease_count} |"
    )


@click.command()
@click.option("--follow", "is_follower", is_flag=True, hidden=True)
@click.option("--count", "counts", multiple=True, type=int, default=(5, 40, 400), show_default=True)
def main(is_follower: bool, counts: tuple[int, ...]) -> None:
    """Prints a table with a row for each number of followers."""
    if is_follower:
        run_followers(json.loads(sys.stdin.readline()))
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
