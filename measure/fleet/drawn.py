"""Days of real processes with faults drawn as a script from a seed, many of them, and what was wrong.

    .venv/bin/python -m measure.fleet.drawn false --seeds 200
    .venv/bin/python -m measure.fleet.drawn lost --seeds 200
    .venv/bin/python -m measure.fleet.drawn return --seeds 50
    .venv/bin/python -m measure.fleet.drawn false --seeds 20 --bug minority

false: things that are no failed zone, one to three at a time; no zone may be left. lost: a zone fails in any
way, beside up to two of them; it has to be left, and no other. return: a killed zone comes back cold
while schedulers and members are stopped, restarted and cut off; every window stays within each worker's
budget, and the zone is open in the end. The rules of check.py hold on all days. A script is a list of steps,
the same for the same seed; a step waits for its time, and the ends of a day for events.
"""

from __future__ import annotations

import json
import random
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from typing import Any, NamedTuple

import click

from measure.fleet.ground import ProcessFleet

ZONES, MEMBERS = ("a", "b", "c"), 3
SCHEDULERS = tuple(f"s{number}" for number in range(5))
HOME = {name: ZONES[number % len(ZONES)] for number, name in enumerate(SCHEDULERS)}
QUIET_S = 2.0  # after the last step of a day on which nothing may be left
LEFT_S, OPEN_S = 15.0, 40.0
WAYS: tuple[dict[str, Any], ...] = (
    {"there": False, "back": False},
    {"back": False},
    {"there": False},
    {"refused": True},
)


class Step(NamedTuple):
    """At so many seconds of the day."""

    at: float
    do: str  # a method of Day
    what: tuple[Any, ...] = ()


def disturbances(draw: random.Random, count: int, spared: str = "") -> list[Step]:
    """What is no failed zone; spared: a zone that others have to be able to judge, and whose own fate is
    drawn elsewhere."""
    steps: list[Step] = []
    used: set[str] = set()
    bad: set[str] = set()  # one worker of a zone of three; two would be a failed zone
    for _ in range(count):
        at, lasts = draw.uniform(0.0, 1.5), draw.uniform(1.5, 3.5)
        free = [name for name in SCHEDULERS if name not in used]
        one = draw.choice(free)
        zone = draw.choice([zone for zone in ZONES if zone not in bad and zone != spared] or [""])
        # Two of five may be disturbed; with three that see nothing no majority of observers is left.
        kinds = ["discovery"] + (["bad worker", "full"] if zone else [])
        if len(used) < 2:
            kinds += ["blind", "cut", "stop", "slow", "store"] + ([] if used else ["zone mates"])
        kind = draw.choice(kinds)
        match kind:
            case "blind":
                begin, end = ("blind", (one, draw.choice(WAYS))), ("blind", (one, {}))
                used.add(one)
            case "cut":
                begin, end = ("cut", (one, draw.choice(WAYS))), ("cut", (one, {}))
                used.add(one)
            case "stop":
                begin, end = ("stop", (one,)), ("resume", (one,))
                used.add(one)
            case "slow":
                begin, end = ("cut", (one, {"slow_s": draw.uniform(0.02, 0.15)})), ("cut", (one, {}))
                used.add(one)
            case "store":
                begin, end = ("store", (one, draw.choice(WAYS))), ("store", (one, {}))
                used.add(one)
            case "zone mates":  # of one zone, which see all others fail
                mates = tuple(name for name in SCHEDULERS if HOME[name] == HOME["s0"])
                begin, end = ("mates", (mates, draw.choice(WAYS))), ("mates", (mates, {}))
                used.update(mates)
            case "bad worker":
                bad.add(zone)
                worker = f"w{zone}{draw.randrange(3)}"
                begin, end = ("worker", (worker, "failing")), ("worker", (worker, "up"))
            case "full":
                bad.add(zone)
                begin, end = ("zone", (zone, "full")), ("zone", (zone, "up"))
            case _:
                begin, end = ("discovery", ({"there": False, "back": False},)), ("discovery", ({},))
        steps += [Step(at, *begin), Step(at + lasts, *end)]
    return sorted(steps, key=lambda each: each.at)


def broken(draw: random.Random, count: int) -> list[Step]:
    """What happens to schedulers and members during a return."""
    steps: list[Step] = []
    for _ in range(count):
        at, one = draw.uniform(0.0, 5.0), draw.choice(SCHEDULERS)
        match draw.choice(("stop", "long stop", "restart", "all", "cut", "keeper", "stop keeper")):
            case "stop":
                steps += [Step(at, "stop", (one,)), Step(at + draw.uniform(0.2, 1.5), "resume", (one,))]
            case "long stop":  # beyond its lease
                steps += [Step(at, "stop", (one,)), Step(at + draw.uniform(2.5, 4.0), "resume", (one,))]
            case "restart":
                steps += [Step(at, "restart", (one,))]
            case "all":
                steps += [Step(at, "restart", SCHEDULERS)]
            case "cut":
                steps += [
                    Step(at, "cut", (one, draw.choice(WAYS))),
                    Step(at + draw.uniform(0.5, 4.0), "cut", (one, {})),
                ]
            case "keeper":
                steps += [Step(at, "keeper", ("restart",))]
            case _:
                steps += [Step(at, "keeper", ("stop",)), Step(at + draw.uniform(1.0, 4.0), "resume", ())]
    return sorted(steps, key=lambda each: each.at)


class Day:
    """A ground, and what a script does to it."""

    def __init__(self, seed: int, form: str, command: tuple[str, ...]) -> None:
        self.gone: set[str] = set()
        self.kept_stopped = ""
        # A return has its workers cold for long, and more work than the others can do meanwhile.
        rate, more = (20.0, {"slots": 2, "slow_start_ms": 9000.0}) if form == "return" else (12.0, {})
        self.ground = ProcessFleet(len(SCHEDULERS), ZONES, 3, MEMBERS, seed, rate, command=command, **more)

    def play(self, steps: list[Step]) -> None:
        begun = time.monotonic()
        for step in steps:
            time.sleep(max(0.0, begun + step.at - time.monotonic()))
            getattr(self, step.send_order)(*step.what)

    def blind(self, one: str, how: dict[str, Any]) -> None:
        self.ground.set_link_state(self.ground.links_between([one], self.ground.workers), **how)

    def cut(self, one: str, how: dict[str, Any]) -> None:
        ground = self.ground
        ground.set_link_state(
            ground.links_between([one], [*ground.workers, *ground.members, "discovery"]), **how
        )

    def store(self, one: str, how: dict[str, Any]) -> None:
        self.ground.set_link_state(self.ground.links_between([one], self.ground.members), **how)

    def mates(self, names: tuple[str, ...], how: dict[str, Any]) -> None:
        far = [name for name, zone in self.ground.workers.items() if zone != HOME[names[0]]]
        self.ground.set_link_state(self.ground.links_between(names, far), **how)

    def worker(self, name: str, how: str) -> None:
        self.ground.parts[name].send_order({"how": how})

    def zone(self, name: str, how: str) -> None:
        self.ground.set_worker_mode(name, how)

    def discovery(self, how: dict[str, Any]) -> None:
        self.ground.set_link_state(self.ground.links_between(SCHEDULERS, ["discovery"]), **how)

    def stop(self, *names: str) -> None:
        self.gone.update(names)  # while it is stopped it answers nothing in time
        self.ground.stop(*[name for name in names if name in self.ground.reachable_schedulers()])

    def resume(self, *names: str) -> None:
        for name in names or (self.kept_stopped,):
            if name in self.ground.stopped:
                self.ground.resume(name)

    def restart(self, *names: str) -> None:
        names = tuple(name for name in names if name not in self.ground.starting)
        if names:
            self.resume(*names)
        self.gone.update(names)
        self.ground.kill(*names)
        for name in names:
            self.ground.start(name, wait=False)
            # It waits for the store's majority, which the script may have taken away.
            threading.Thread(target=self.ground.wait_until_serving, args=(name,), daemon=True).start()

    def keeper(self, do: str) -> None:
        """To whoever wrote the last change."""
        past = max(
            (self.ground.history(name) for name in self.ground.reachable_schedulers()), key=len, default=[]
        )
        name = past[-1]["author"] if past else ""
        if name in self.ground.members and name not in self.ground.stopped | self.ground.starting:
            self.kept_stopped = name
            getattr(self, do)(name)

    # -- a zone is lost

    def lose(self, zone: str, how: str) -> None:
        ground = self.ground
        match how:
            case "killed":
                ground.kill_zone(zone)
            case "silent":
                ground.stop(*ground.workers_in_zone(zone))
            case "late":
                ground.set_link_state(
                    ground.links_between(ground.schedulers, ground.workers_in_zone(zone)), slow_s=2.0
                )
            case _:
                ground.set_worker_mode(zone, "failing")

    def bring_back(self, zone: str, how: str) -> None:
        ground = self.ground
        match how:
            case "killed":
                ground.start_zone(zone)
            case "silent":
                ground.resume(*ground.workers_in_zone(zone))
            case "late":
                ground.set_link_state(ground.links_between(ground.schedulers, ground.workers_in_zone(zone)))
            case _:
                ground.set_worker_mode(zone, "up")


def day(form: str, seed: int, command: tuple[str, ...] = ("-m", "spanwing")) -> dict[str, Any]:
    """One day; its row says what was wrong."""
    draw = random.Random(f"{form} {seed}")
    row: dict[str, Any] = {"form": form, "seed": seed, "wrong": []}
    played = Day(seed, form, command)
    ground = played.ground
    try:
        ground.wait_until(ground.all_in_contact)
        ground.generate_load(True)
        ground.wait_until(
            lambda: all(
                sum(
                    ground.zone_status(name)["zones"].get(zone, {}).get("seen_good", 0)
                    for name in ground.reachable_schedulers()
                )
                for zone in ZONES
            )
        )
        zone, how = draw.choice(ZONES), draw.choice(("killed", "silent", "late", "failing"))
        if form == "false":
            row["steps"] = steps = disturbances(draw, draw.randint(1, 3))
            played.play(steps)
            time.sleep(QUIET_S)
        else:
            row["steps"] = steps = (
                disturbances(draw, draw.randint(0, 2), zone)
                if form == "lost"
                else broken(draw, draw.randint(1, 4))
            )
            row["how"] = how if form == "lost" else "killed"
            lost = time.time()
            played.lose(zone, row["how"])
            if form == "lost":
                played.play(steps)
            went = ground.state_change_time(zone, "leaving", LEFT_S)
            if went is None:
                row["wrong"].append(f"{zone}, {row['how']}, was not left")
            else:
                row["left_s"] = went - lost
                ground.wait_until(lambda: ground.states(zone) <= {"left", "returning", "open"})
                back = time.time()
                played.bring_back(zone, row["how"])
                if form == "return":
                    ground.wait_until(lambda: "returning" in ground.states(zone), OPEN_S)
                    played.play(steps)
                    played.resume(*list(ground.stopped))
                ground.wait_until(
                    lambda: (
                        not ground.starting and ground.all_in_contact() and ground.states(zone) == {"open"}
                    ),
                    OPEN_S,
                )
                row["open_s"] = time.time() - back
        history = ground.history(
            next(name for name in ground.reachable_schedulers() if ground.all_in_contact([name]))
        )
        may = () if form == "false" else (zone,)
        row["wrong"] += [
            f"{each['zone']} was left: {each['reason']}"
            for each in history
            if each["state"] == "leaving" and each["zone"] not in may
        ]
        ground.settle()
        row["wrong"] += ground.rule_violations(tuple(played.gone))[:5]
        row["fullest"] = ground.max_budget_usage()
    except (AssertionError, OSError, RuntimeError, ValueError) as error:
        row["wrong"].append(f"{type(error).__name__}: {error}"[:1500])
    finally:
        ground.close()
    return row


def command_of(bug: str) -> tuple[str, ...]:
    return ("-m", "measure.fleet.bugged", bug) if bug else ("-m", "spanwing")


@click.command()
@click.argument("form", type=click.Choice(["false", "lost", "return"]))
@click.option("--seeds", default=20, show_default=True)
@click.option("--begin", default=1, show_default=True)
@click.option("--at-once", default=4, show_default=True, help="Fleets at a time.")
@click.option("--bug", default="", help="A deliberate one, of bugged.py.")
def main(form: str, seeds: int, begin: int, at_once: int, bug: str) -> None:
    with ThreadPoolExecutor(at_once) as pool:
        rows = list(pool.map(lambda seed: day(form, seed, command_of(bug)), range(begin, begin + seeds)))
    for row in rows:
        if row["wrong"]:
            click.echo(f"seed {row['seed']}: {row['wrong'][:2]}")
            click.echo(f"    {[tuple(each) for each in row['steps']]}")
    steps = Counter(each.send_order for row in rows for each in row["steps"])
    bad = sum(bool(row["wrong"]) for row in rows)
    click.echo(f"{form} {bug}: {len(rows)} days, {bad} with something wrong; steps {dict(steps)}")
    for name in ("left_s", "open_s", "fullest"):
        found = sorted(row[name] for row in rows if name in row)
        if found:
            click.echo(f"{name}: {found[len(found) // 2]:.2f} (p50), {found[-1]:.2f} (most), of {len(found)}")
    click.echo(json.dumps(dict(Counter(row.get("how", "") for row in rows))))


if __name__ == "__main__":
    main()
