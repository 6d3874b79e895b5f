"""The long form, in real processes: a zone is lost, and how soon a large fleet leaves it and is back.

    .venv/bin/python -m measure.fleet.long --schedulers 40 --zones 4 --days 6
    .venv/bin/python -m measure.fleet.long --way alone --days 6        # every scheduler alone, as without
    [zones] .venv/bin/python -m measure.fleet.long --way oracle --days 6       # told of the loss at once, by
    an order

Of each day: from the loss to the decision, from that to each scheduler that follows it, jobs that came to the
zone after a scheduler had followed, the jobs of the 6 s after the loss by fate, windows over a budget, and
from the workers' return to the zone's being open.
"""

from __future__ import annotations

import json
import time
from collections import Counter
from datetime import datetime
from typing import Any

import click

from measure.fleet import check
from measure.fleet.ground import COLD_MS, Ground

WINDOW_S = 6.0
KINDS = ("killed", "silent", "failing", "cut")


def events(ground: Ground, zone: str) -> dict[str, list[tuple[float, str]]]:
    """By scheduler, when it heard of each state of the zone."""
    found: dict[str, list[tuple[float, str]]] = {}
    for name in ground.reached():
        for line in ground.programs[name].stderr_text().splitlines():
            try:
                told = json.loads(line)
            except ValueError:
                continue
            if told.get("event") == "zone" and told["zone"] == zone:
                at = datetime.fromisoformat(told["timestamp"]).timestamp()
                found.setdefault(name, []).append((at, told["state"]))
    return found


def day(
    way: str, kind: str, seed: int, schedulers: int, zones: int, per_zone: int, rate: float
) -> dict[str, Any]:
    names = [chr(ord("a") + number) for number in range(zones)]
    with Ground(schedulers, names, per_zone, 3, seed, rate, fleet_zones=way != "alone") as ground:
        if way != "alone":
            ground.until(ground.contact, 60.0)
        ground.load(True)
        time.sleep(6.0)
        zone = "a"
        inside = [*ground.of_zone(zone), *(name for name in ground.schedulers if ground.zone[name] == zone)]
        outside = [name for name in (*ground.schedulers, *ground.workers) if name not in inside]
        lost = time.time()
        match kind:
            case "killed":
                ground.kill_zone(zone)
            case "silent":
                ground.stop(*ground.of_zone(zone))
            case "failing":
                ground.how(zone, "failing")
            case "cut":
                ground.set(ground.links(inside, outside), there=False, back=False)
        watch = [name for name in ground.schedulers if kind != "cut" or name not in inside]
        if way == "oracle":
            ground.ask(watch[-1], do="zones_order", order="leave", zone=zone)
        if way != "alone":
            ground.until(lambda: ground.states(zone, watch) <= {"leaving", "left"}, 30.0)
        time.sleep(max(0.0, lost + WINDOW_S - time.time()))
        back = time.time()
        match kind:
            case "killed":
                ground.start_zone(zone)
            case "silent":
                ground.go_on(*ground.of_zone(zone))
            case "failing":
                ground.how(zone, "up")
            case "cut":
                ground.set(ground.links(inside, outside))
        row: dict[str, Any] = {"way": way, "kind": kind, "seed": seed}
        if way == "oracle":
            time.sleep(4.0)
            ground.ask(watch[-1], do="zones_order", order="return", zone=zone)
        if way == "alone":
            time.sleep(10.0)
        else:
            ground.until(lambda: ground.states(zone) == {"open"}, 60.0)
            row["open_s"] = time.time() - back
        heard = events(ground, zone)
        if way != "alone":
            past = ground.history(watch[0])
            decided = next(each["wall_ms"] for each in past if each["zone"] == zone) / 1000.0
            first = {name: min(at for at, state in heard[name] if state != "open") for name in watch}
            row["decided_s"] = decided - lost
            row["follow_ms"] = sorted((at - decided) * 1000.0 for at in first.values())
        ground.settle()
        records = ground.records()
        if way != "alone":
            # What a scheduler in contact sent after it had followed, until the fleet tries the zone again; 50
            # ms may be on the way here.
            tried = [at for told in heard.values() for at, state in told if state == "returning"]
            until = min([*tried, back])
            row["into"] = sum(
                len(check.into(records, ground.of_zone(zone), at + 0.05, until, [name]))
                for name, at in first.items()
            )
        row["fates"] = check.fates(records, lost, lost + WINDOW_S)
        row["late"] = late(records, lost, lost + WINDOW_S)
        row["wrong"] = ground.wrong()
        return row


def late(records: list[dict[str, Any]], begin: float, end: float) -> int:
    """Served later than an aim of theirs with their own time to run."""
    aims = {"status-read": 300.0 + 240.0, "schedule-apply": 600.0 + 400.0, "setpoint-push": 400.0 + 320.0}
    asked = {each["job"]: each["t"] for each in records if each["ev"] == "asked"}
    return sum(
        each["ev"] == "answer"
        and each["status"] == 200
        and each["took"] > aims[each["cls"]]
        and begin <= asked.get(each["job"], 0.0) < end
        for each in records
    )


def part(values: list[float], share: float) -> float:
    return sorted(values)[min(len(values) - 1, int(len(values) * share))]


@click.command()
@click.option("--way", type=click.Choice(["fleet", "alone", "oracle"]), default="fleet", show_default=True)
@click.option("--schedulers", default=40, show_default=True)
@click.option("--zones", default=4, show_default=True)
@click.option("--per-zone", default=4, show_default=True)
@click.option("--rate", default=1.5, show_default=True, help="jobs a second and scheduler, about")
@click.option("--days", default=4, show_default=True)
@click.option("--kind", "kinds", multiple=True, type=click.Choice(KINDS))
def main(
    way: str, schedulers: int, zones: int, per_zone: int, rate: float, days: int, kinds: tuple[str, ...]
) -> None:
    rows, kinds = [], kinds or KINDS
    for number in range(days):
        kind = kinds[number % len(kinds)]
        row = day(way, kind, number + 1, schedulers, zones, per_zone, rate)
        told = {name: value for name, value in row.items() if name not in ("follow_ms", "wrong")}
        click.echo(json.dumps(told) + f" wrong: {len(row['wrong'])} {row['wrong'][:2]}")
        rows.append(row)
    if way != "alone":
        decided, opened = [row["decided_s"] for row in rows], [row["open_s"] for row in rows]
        follow = [each for row in rows for each in row["follow_ms"]]
        click.echo(
            f"decided after {part(decided, 0.5):.2f} s (p50), {max(decided):.2f} (most); "
            f"followed after {part(follow, 0.5):.0f} ms (p50), {part(follow, 0.99):.0f} (p99), "
            f"{max(follow):.0f} (most); into the zone after that {sum(row['into'] for row in rows)}; "
            f"open {part(opened, 0.5):.1f} s after its return (p50), {max(opened):.1f} (most), "
            f"of which {COLD_MS / 1000:.0f} s it is cold"
        )
    fates = sum((Counter(row["fates"]) for row in rows), Counter())
    click.echo(
        f"fates {dict(sorted(fates.items()))}, late {sum(row['late'] for row in rows)}, "
        f"rules broken {sum(len(row['wrong']) for row in rows)}"
    )


if __name__ == "__main__":
    main()
