"""Measures, on real processes, how soon a large fleet leaves a lost zone and returns to it.

    .venv/bin/python -m measure.fleet.long --schedulers 40 --zones 4 --days 6
    .venv/bin/python -m measure.fleet.long --way alone --days 6
    .venv/bin/python -m measure.fleet.long --way oracle --days 6

alone: the schedulers have no [zones] table, and each one relies on its own ejections.
oracle: an operator's order tells the fleet of the loss at once.

Each run reports the time from the loss to the decision, the time from the decision until each scheduler
follows it, the jobs that came to the zone after their scheduler had followed, the outcomes of the jobs of
the first OUTCOME_WINDOW_S after the loss, the violations of the rules of check.py, and the time from the
return of the workers until the zone is open.
"""

from __future__ import annotations

import json
import time
from collections import Counter
from datetime import datetime
from typing import Any

import click

from measure.fleet import check
from measure.fleet.ground import SLOW_START_MS, ProcessFleet

OUTCOME_WINDOW_S = 6.0
KINDS = ("killed", "silent", "failing", "cut")


def learned_states(fleet: ProcessFleet, zone: str) -> dict[str, list[tuple[float, str]]]:
    """Returns, by scheduler, each state of a zone that it learned, with the time in s of the wall clock.

    The source is the event `zone` in the log of each reachable scheduler.
    """
    learned: dict[str, list[tuple[float, str]]] = {}
    for name in fleet.reachable_schedulers():
        for line in fleet.programs[name].stderr_text().splitlines():
            try:
                event = json.loads(line)
            except ValueError:
                continue
            if event.get("event") == "zone" and event["zone"] == zone:
                at = datetime.fromisoformat(event["timestamp"]).timestamp()
                learned.setdefault(name, []).append((at, event["state"]))
    return learned


def run_one(
    way: str, kind: str, seed: int, schedulers: int, zones: int, per_zone: int, rate: float
) -> dict[str, Any]:
    """Runs one fleet that loses a zone in the way of `kind` and gets it back; returns its row.

    kind: one of KINDS; "cut" separates all processes of the zone from all others.
    """
    names = [chr(ord("a") + number) for number in range(zones)]
    with ProcessFleet(schedulers, names, per_zone, 3, seed, rate, fleet_zones=way != "alone") as fleet:
        if way != "alone":
            fleet.wait_until(fleet.all_in_contact, 60.0)
        fleet.generate_load(True)
        time.sleep(6.0)
        zone = "a"
        zone_processes = [
            *fleet.workers_in_zone(zone),
            *(name for name in fleet.schedulers if fleet.zone_by_scheduler[name] == zone),
        ]
        other_processes = [name for name in (*fleet.schedulers, *fleet.workers) if name not in zone_processes]
        lost_at = time.time()
        match kind:
            case "killed":
                fleet.kill_zone(zone)
            case "silent":
                fleet.stop(*fleet.workers_in_zone(zone))
            case "failing":
                fleet.set_worker_mode(zone, "failing")
            case "cut":
                fleet.set_link_state(
                    fleet.links_between(zone_processes, other_processes), there=False, back=False
                )
        observers = [name for name in fleet.schedulers if kind != "cut" or name not in zone_processes]
        if way == "oracle":
            fleet.send_command(observers[-1], do="zones_order", order="leave", zone=zone)
        if way != "alone":
            fleet.wait_until(lambda: fleet.states(zone, observers) <= {"leaving", "left"}, 30.0)
        time.sleep(max(0.0, lost_at + OUTCOME_WINDOW_S - time.time()))
        restored_at = time.time()
        match kind:
            case "killed":
                fleet.start_zone(zone)
            case "silent":
                fleet.resume(*fleet.workers_in_zone(zone))
            case "failing":
                fleet.set_worker_mode(zone, "up")
            case "cut":
                fleet.set_link_state(fleet.links_between(zone_processes, other_processes))
        row: dict[str, Any] = {"way": way, "kind": kind, "seed": seed}
        if way == "oracle":
            time.sleep(4.0)
            fleet.send_command(observers[-1], do="zones_order", order="return", zone=zone)
        if way == "alone":
            time.sleep(10.0)
        else:
            fleet.wait_until(lambda: fleet.states(zone) == {"open"}, 60.0)
            row["open_s"] = time.time() - restored_at
        learned = learned_states(fleet, zone)
        if way != "alone":
            history = fleet.history(observers[0])
            decided_at = next(each["wall_ms"] for each in history if each["zone"] == zone) / 1000.0
            followed_at = {
                name: min(at for at, state in learned[name] if state != "open") for name in observers
            }
            row["decided_s"] = decided_at - lost_at
            row["follow_ms"] = sorted((at - decided_at) * 1000.0 for at in followed_at.values())
        fleet.settle()
        records = fleet.records()
        if way != "alone":
            # Counts what each scheduler sent after it had followed the decision, until the fleet sends trial
            # jobs to the zone again. Jobs may still be on their way for 50 ms.
            returning_at = [
                at for changes in learned.values() for at, state in changes if state == "returning"
            ]
            until_at = min([*returning_at, restored_at])
            row["into"] = sum(
                len(check.arrivals(records, fleet.workers_in_zone(zone), at + 0.05, until_at, [name]))
                for name, at in followed_at.items()
            )
        row["fates"] = check.count_outcomes(records, lost_at, lost_at + OUTCOME_WINDOW_S)
        row["late"] = late_answers(records, lost_at, lost_at + OUTCOME_WINDOW_S)
        row["wrong"] = fleet.rule_violations()
        return row


def late_answers(records: list[dict[str, Any]], begin: float, end: float) -> int:
    """Returns how many jobs, sent from begin to end in s, were served later than their limit.

    The limit is the latency objective of the job's class and twice its mean run time.
    """
    limits_ms = {
        "status-read": 300.0 + 240.0,
        "schedule-apply": 600.0 + 400.0,
        "setpoint-push": 400.0 + 320.0,
    }
    sent_at = {record["job"]: record["t"] for record in records if record["ev"] == "asked"}
    return sum(
        record["ev"] == "answer"
        and record["status"] == 200
        and record["took"] > limits_ms[record["cls"]]
        and begin <= sent_at.get(record["job"], 0.0) < end
        for record in records
    )


def quantile(values: list[float], share: float) -> float:
    """Returns the value below which this share of the values lies, without interpolation."""
    return sorted(values)[min(len(values) - 1, int(len(values) * share))]


@click.command()
@click.option("--way", type=click.Choice(["fleet", "alone", "oracle"]), default="fleet", show_default=True)
@click.option("--schedulers", default=40, show_default=True)
@click.option("--zones", default=4, show_default=True)
@click.option("--per-zone", default=4, show_default=True)
@click.option("--rate", default=1.5, show_default=True, help="Jobs a second for one scheduler, on average.")
@click.option("--days", default=4, show_default=True)
@click.option("--kind", "kinds", multiple=True, type=click.Choice(KINDS))
def main(
    way: str, schedulers: int, zones: int, per_zone: int, rate: float, days: int, kinds: tuple[str, ...]
) -> None:
    """Runs one fleet after the other, prints each run, and the distribution of the times at the end."""
    rows, kinds = [], kinds or KINDS
    for number in range(days):
        kind = kinds[number % len(kinds)]
        row = run_one(way, kind, number + 1, schedulers, zones, per_zone, rate)
        shown = {name: value for name, value in row.items() if name not in ("follow_ms", "wrong")}
        click.echo(json.dumps(shown) + f" wrong: {len(row['wrong'])} {row['wrong'][:2]}")
        rows.append(row)
    if way != "alone":
        decided_s, opened_s = [row["decided_s"] for row in rows], [row["open_s"] for row in rows]
        follow_ms = [each for row in rows for each in row["follow_ms"]]
        click.echo(
            f"decided after {quantile(decided_s, 0.5):.2f} s (p50), {max(decided_s):.2f} (most); "
            f"followed after {quantile(follow_ms, 0.5):.0f} ms (p50), {quantile(follow_ms, 0.99):.0f} (p99), "
            f"{max(follow_ms):.0f} (most); into the zone after that {sum(row['into'] for row in rows)}; "
            f"open {quantile(opened_s, 0.5):.1f} s after its return (p50), {max(opened_s):.1f} (most), "
            f"of which {SLOW_START_MS / 1000:.0f} s it is cold"
        )
    outcomes = sum((Counter(row["fates"]) for row in rows), Counter())
    click.echo(
        f"fates {dict(sorted(outcomes.items()))}, late {sum(row['late'] for row in rows)}, "
        f"rules broken {sum(len(row['wrong']) for row in rows)}"
    )


if __name__ == "__main__":
    main()
