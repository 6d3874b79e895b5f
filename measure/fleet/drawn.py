"""Runs of a real fleet with faults drawn from a seed; prints what was wrong in each.

    .venv/bin/python -m measure.fleet.drawn false --seeds 200
    .venv/bin/python -m measure.fleet.drawn lost --seeds 200
    .venv/bin/python -m measure.fleet.drawn return --seeds 50
    .venv/bin/python -m measure.fleet.drawn false --seeds 20 --bug minority

false: one to three faults that are no failed zone; no zone may be left.
lost: a zone fails in some way, with up to two such faults besides; it has to be left, and no other.
return: a killed zone returns in slow start while schedulers and store members are stopped, restarted and cut
off; no worker may get more than its budget in any window, and the zone has to be open in the end.

The rules of check.py hold in all runs. A script is a list of steps, the same for the same seed. Each step
happens at its time; the phases of a run wait for conditions.
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
ZONE_BY_SCHEDULER = {name: ZONES[number % len(ZONES)] for number, name in enumerate(SCHEDULERS)}
QUIET_S = 2.0  # after the last step of a run in which no zone may be left
LEAVE_TIMEOUT_S, OPEN_TIMEOUT_S = 15.0, 40.0
LINK_FAULTS: tuple[dict[str, Any], ...] = (
    {"there": False, "back": False},
    {"back": False},
    {"there": False},
    {"refused": True},
)


class Step(NamedTuple):
    """One step of a script: a call of a method of FaultScriptRun."""

    at_s: float  # since the beginning of the script
    method: str
    arguments: tuple[Any, ...] = ()


def harmless_faults(draw: random.Random, count: int, spared_zone: str = "") -> list[Step]:
    """Draws faults that are no failed zone.

    spared_zone: a zone whose workers get no fault here; it fails in this run, and the others have to be able
    to judge it.
    """
    steps: list[Step] = []
    used_schedulers: set[str] = set()
    used_zones: set[str] = set()  # one failing worker of three each; a second one would make a failed zone
    for _ in range(count):
        at_s, lasts_s = draw.uniform(0.0, 1.5), draw.uniform(1.5, 3.5)
        free_schedulers = [name for name in SCHEDULERS if name not in used_schedulers]
        scheduler = draw.choice(free_schedulers)
        zone = draw.choice([zone for zone in ZONES if zone not in used_zones and zone != spared_zone] or [""])
        # At most two of the five schedulers get a fault: with three that see nothing, no majority of
        # observers is left.
        kinds = ["discovery"] + (["bad worker", "full"] if zone else [])
        if len(used_schedulers) < 2:
            kinds += ["blind", "cut", "stop", "slow", "store"] + ([] if used_schedulers else ["zone mates"])
        kind = draw.choice(kinds)
        match kind:
            case "blind":
                begin, end = ("blind", (scheduler, draw.choice(LINK_FAULTS))), ("blind", (scheduler, {}))
                used_schedulers.add(scheduler)
            case "cut":
                begin, end = ("cut", (scheduler, draw.choice(LINK_FAULTS))), ("cut", (scheduler, {}))
                used_schedulers.add(scheduler)
            case "stop":
                begin, end = ("stop", (scheduler,)), ("resume", (scheduler,))
                used_schedulers.add(scheduler)
            case "slow":
                begin, end = (
                    ("cut", (scheduler, {"slow_s": draw.uniform(0.02, 0.15)})),
                    ("cut", (scheduler, {})),
                )
                used_schedulers.add(scheduler)
            case "store":
                begin, end = ("store", (scheduler, draw.choice(LINK_FAULTS))), ("store", (scheduler, {}))
                used_schedulers.add(scheduler)
            case "zone mates":  # the schedulers of one zone see all other zones fail
                mates = tuple(
                    name for name in SCHEDULERS if ZONE_BY_SCHEDULER[name] == ZONE_BY_SCHEDULER["s0"]
                )
                begin, end = ("zone_mates", (mates, draw.choice(LINK_FAULTS))), ("zone_mates", (mates, {}))
                used_schedulers.update(mates)
            case "bad worker":
                used_zones.add(zone)
                worker = f"w{zone}{draw.randrange(3)}"
                begin, end = ("worker", (worker, "failing")), ("worker", (worker, "up"))
            case "full":
                used_zones.add(zone)
                begin, end = ("zone", (zone, "full")), ("zone", (zone, "up"))
            case _:
                begin, end = ("discovery", ({"there": False, "back": False},)), ("discovery", ({},))
        steps += [Step(at_s, *begin), Step(at_s + lasts_s, *end)]
    return sorted(steps, key=lambda step: step.at_s)


def process_faults(draw: random.Random, count: int) -> list[Step]:
    """Draws faults of schedulers and store members during the return of a zone."""
    steps: list[Step] = []
    for _ in range(count):
        at_s, scheduler = draw.uniform(0.0, 5.0), draw.choice(SCHEDULERS)
        match draw.choice(("stop", "long stop", "restart", "all", "cut", "leader", "stop leader")):
            case "stop":
                steps += [
                    Step(at_s, "stop", (scheduler,)),
                    Step(at_s + draw.uniform(0.2, 1.5), "resume", (scheduler,)),
                ]
            case "long stop":  # longer than its lease
                steps += [
                    Step(at_s, "stop", (scheduler,)),
                    Step(at_s + draw.uniform(2.5, 4.0), "resume", (scheduler,)),
                ]
            case "restart":
                steps += [Step(at_s, "restart", (scheduler,))]
            case "all":
                steps += [Step(at_s, "restart", SCHEDULERS)]
            case "cut":
                steps += [
                    Step(at_s, "cut", (scheduler, draw.choice(LINK_FAULTS))),
                    Step(at_s + draw.uniform(0.5, 4.0), "cut", (scheduler, {})),
                ]
            case "leader":
                steps += [Step(at_s, "leader", ("restart",))]
            case _:
                steps += [Step(at_s, "leader", ("stop",)), Step(at_s + draw.uniform(1.0, 4.0), "resume", ())]
    return sorted(steps, key=lambda step: step.at_s)


class FaultScriptRun:
    """A real fleet and the steps that a script applies to it."""

    def __init__(self, seed: int, form: str, command: tuple[str, ...]) -> None:
        self.disturbed: set[str] = set()  # schedulers that were stopped or restarted
        self.stopped_leader = ""
        # A return has a long slow start, and more work than the workers of the other zones can do meanwhile.
        rate, more = (20.0, {"slots": 2, "slow_start_ms": 9000.0}) if form == "return" else (12.0, {})
        self.fleet = ProcessFleet(len(SCHEDULERS), ZONES, 3, MEMBERS, seed, rate, command=command, **more)

    def run_script(self, steps: list[Step]) -> None:
        """Runs each step at its time."""
        begin = time.monotonic()
        for step in steps:
            time.sleep(max(0.0, begin + step.at_s - time.monotonic()))
            getattr(self, step.method)(*step.arguments)

    def blind(self, scheduler: str, state: dict[str, Any]) -> None:
        """Sets the links between a scheduler and all workers."""
        self.fleet.set_link_state(self.fleet.links_between([scheduler], self.fleet.workers), **state)

    def cut(self, scheduler: str, state: dict[str, Any]) -> None:
        """Sets the links between a scheduler and all workers, store members and discovery."""
        fleet = self.fleet
        fleet.set_link_state(
            fleet.links_between([scheduler], [*fleet.workers, *fleet.members, "discovery"]), **state
        )

    def store(self, scheduler: str, state: dict[str, Any]) -> None:
        """Sets the links between a scheduler and the store members."""
        self.fleet.set_link_state(self.fleet.links_between([scheduler], self.fleet.members), **state)

    def zone_mates(self, names: tuple[str, ...], state: dict[str, Any]) -> None:
        """Sets the links between the schedulers of one zone and the workers of all other zones."""
        remote = [name for name, zone in self.fleet.workers.items() if zone != ZONE_BY_SCHEDULER[names[0]]]
        self.fleet.set_link_state(self.fleet.links_between(names, remote), **state)

    def worker(self, name: str, mode: str) -> None:
        """Sets the mode of one worker."""
        self.fleet.parts[name].send_order({"how": mode})

    def zone(self, name: str, mode: str) -> None:
        """Sets the mode of all workers of a zone."""
        self.fleet.set_worker_mode(name, mode)

    def discovery(self, state: dict[str, Any]) -> None:
        """Sets the links between all schedulers and discovery."""
        self.fleet.set_link_state(self.fleet.links_between(SCHEDULERS, ["discovery"]), **state)

    def stop(self, *names: str) -> None:
        """Stops schedulers, except those that are stopped or starting."""
        self.disturbed.update(names)  # a stopped scheduler answers late
        self.fleet.stop(*[name for name in names if name in self.fleet.reachable_schedulers()])

    def resume(self, *names: str) -> None:
        """Continues schedulers; without names, the leader that was stopped last."""
        for name in names or (self.stopped_leader,):
            if name in self.fleet.stopped:
                self.fleet.resume(name)

    def restart(self, *names: str) -> None:
        """Kills schedulers and starts them again, except those that are starting."""
        names = tuple(name for name in names if name not in self.fleet.starting)
        if names:
            self.resume(*names)
        self.disturbed.update(names)
        self.fleet.kill(*names)
        for name in names:
            self.fleet.start(name, wait=False)
            # In a thread: a start waits for a majority of the store, which the script may have stopped.
            threading.Thread(target=self.fleet.wait_until_serving, args=(name,), daemon=True).start()

    def leader(self, method: str) -> None:
        """Calls a method of this class for the author of the last change, if that is a running member."""
        history = max(
            (self.fleet.history(name) for name in self.fleet.reachable_schedulers()), key=len, default=[]
        )
        name = history[-1]["author"] if history else ""
        if name in self.fleet.members and name not in self.fleet.stopped | self.fleet.starting:
            self.stopped_leader = name
            getattr(self, method)(name)

    # -- loss and return of a zone

    def lose(self, zone: str, how: str) -> None:
        """Makes a zone fail: killed, silent, late or failing."""
        fleet = self.fleet
        match how:
            case "killed":
                fleet.kill_zone(zone)
            case "silent":
                fleet.stop(*fleet.workers_in_zone(zone))
            case "late":
                fleet.set_link_state(
                    fleet.links_between(fleet.schedulers, fleet.workers_in_zone(zone)), slow_s=2.0
                )
            case _:
                fleet.set_worker_mode(zone, "failing")

    def restore(self, zone: str, how: str) -> None:
        """Ends the failure of a zone."""
        fleet = self.fleet
        match how:
            case "killed":
                fleet.start_zone(zone)
            case "silent":
                fleet.resume(*fleet.workers_in_zone(zone))
            case "late":
                fleet.set_link_state(fleet.links_between(fleet.schedulers, fleet.workers_in_zone(zone)))
            case _:
                fleet.set_worker_mode(zone, "up")


def run_one(form: str, seed: int, command: tuple[str, ...] = ("-m", "spanwing")) -> dict[str, Any]:
    """Runs one fleet with the faults of a seed and returns its row.

    The row holds the script in `steps`, the violations in `wrong`, how the zone failed in `how`, the time
    from the loss to the decision to leave in `left_s`, the time from the return to the open zone in `open_s`,
    and the largest share of a budget that was used in `fullest`.
    """
    draw = random.Random(f"{form} {seed}")
    row: dict[str, Any] = {"form": form, "seed": seed, "wrong": []}
    run = FaultScriptRun(seed, form, command)
    fleet = run.fleet
    try:
        fleet.wait_until(fleet.all_in_contact)
        fleet.generate_load(True)
        fleet.wait_until(
            lambda: all(
                sum(
                    fleet.zone_status(name)["zones"].get(zone, {}).get("seen_good", 0)
                    for name in fleet.reachable_schedulers()
                )
                for zone in ZONES
            )
        )
        zone, how = draw.choice(ZONES), draw.choice(("killed", "silent", "late", "failing"))
        if form == "false":
            row["steps"] = steps = harmless_faults(draw, draw.randint(1, 3))
            run.run_script(steps)
            time.sleep(QUIET_S)
        else:
            row["steps"] = steps = (
                harmless_faults(draw, draw.randint(0, 2), zone)
                if form == "lost"
                else process_faults(draw, draw.randint(1, 4))
            )
            row["how"] = how if form == "lost" else "killed"
            lost_at = time.time()
            run.lose(zone, row["how"])
            if form == "lost":
                run.run_script(steps)
            left_at = fleet.state_change_time(zone, "leaving", LEAVE_TIMEOUT_S)
            if left_at is None:
                row["wrong"].append(f"{zone}, {row['how']}, was not left")
            else:
                row["left_s"] = left_at - lost_at
                fleet.wait_until(lambda: fleet.states(zone) <= {"left", "returning", "open"})
                restored_at = time.time()
                run.restore(zone, row["how"])
                if form == "return":
                    fleet.wait_until(lambda: "returning" in fleet.states(zone), OPEN_TIMEOUT_S)
                    run.run_script(steps)
                    run.resume(*list(fleet.stopped))
                fleet.wait_until(
                    lambda: not fleet.starting and fleet.all_in_contact() and fleet.states(zone) == {"open"},
                    OPEN_TIMEOUT_S,
                )
                row["open_s"] = time.time() - restored_at
        history = fleet.history(
            next(name for name in fleet.reachable_schedulers() if fleet.all_in_contact([name]))
        )
        failed_zones = () if form == "false" else (zone,)
        row["wrong"] += [
            f"{each['zone']} was left: {each['reason']}"
            for each in history
            if each["state"] == "leaving" and each["zone"] not in failed_zones
        ]
        fleet.settle()
        row["wrong"] += fleet.rule_violations(tuple(run.disturbed))[:5]
        row["fullest"] = fleet.max_budget_usage()
    except (AssertionError, OSError, RuntimeError, ValueError) as error:
        row["wrong"].append(f"{type(error).__name__}: {error}"[:1500])
    finally:
        fleet.close()
    return row


def scheduler_command(bug: str) -> tuple[str, ...]:
    """Returns the arguments of Python that start a scheduler, with this planted bug if it is not empty."""
    return ("-m", "measure.fleet.bugged", bug) if bug else ("-m", "spanwing")


@click.command()
@click.argument("form", type=click.Choice(["false", "lost", "return"]))
@click.option("--seeds", default=20, show_default=True)
@click.option("--begin", default=1, show_default=True)
@click.option("--at-once", default=4, show_default=True, help="Number of fleets that run at the same time.")
@click.option("--bug", default="", help="A planted bug of bugged.py.")
def main(form: str, seeds: int, begin: int, at_once: int, bug: str) -> None:
    """Runs a fleet for each seed and prints the failed runs and the distribution of the times."""
    with ThreadPoolExecutor(at_once) as pool:
        rows = list(
            pool.map(lambda seed: run_one(form, seed, scheduler_command(bug)), range(begin, begin + seeds))
        )
    for row in rows:
        if row["wrong"]:
            click.echo(f"seed {row['seed']}: {row['wrong'][:2]}")
            click.echo(f"    {[tuple(each) for each in row['steps']]}")
    steps = Counter(step.method for row in rows for step in row["steps"])
    failed_count = sum(bool(row["wrong"]) for row in rows)
    click.echo(f"{form} {bug}: {len(rows)} days, {failed_count} with something wrong; steps {dict(steps)}")
    for name in ("left_s", "open_s", "fullest"):
        found = sorted(row[name] for row in rows if name in row)
        if found:
            click.echo(f"{name}: {found[len(found) // 2]:.2f} (p50), {found[-1]:.2f} (most), of {len(found)}")
    click.echo(json.dumps(dict(Counter(row.get("how", "") for row in rows))))


if __name__ == "__main__":
    main()
