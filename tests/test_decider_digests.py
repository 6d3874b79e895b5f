"""Digests of what the other pure deciders make of seeded inputs, against a recorded file.

The fleet's zones (evidence, verdict, steward, gate, local: whole simulated fleets, and directed draws), the
fleet's policy (chair and hand: random walks), health (weight, signals, drain) and the model of the fleet.
Hashed are words, numbers and documents that cross processes, never the name of a class or of a field of the
program. Names of the program stand in the first block alone.

    .venv/bin/python tests/test_decider_digests.py --write     # by hand; the test never writes
"""

from __future__ import annotations

import hashlib
import json
import sys
from importlib import resources
from pathlib import Path
from random import Random

import pytest

if __name__ == "__main__":
    sys.path.insert(0, str(Path(__file__).parent.parent))

# -- names of the program: all of them, and nowhere else in this file
import msgspec

from measure import policymodel
from measure.fleet import simulated
from spanwing import interface as api
from spanwing.config_errors import ErrorCollector
from spanwing.experiment.cell import apply_changes
from spanwing.health.settings import HealthSettings
from spanwing.health.signals import ClassLoad, CpuUsage, HealthSignals, ResourceUsage, WorkerCounts
from spanwing.health.state_machine import HealthStateMachine
from spanwing.simulation.fault_injection import FaultInjector
from spanwing.simulation.fleet import FleetSimulation
from spanwing.simulation.scenario import parse_scenario
from spanwing.simulation.zone_fleet import LeaderFleet
from spanwing.store.document import Document
from spanwing.store.leader import SchedulerSession
from spanwing.zones import state as zones
from spanwing.zones.controller import ListedWorker, ZoneController, ZoneLimits
from spanwing.zones.evidence import EvidenceCollector, ZoneEvidence
from spanwing.zones.failure_detector import Observer, judge_zone
from spanwing.zones.routing_filter import RoutingFilter, RoutingRules


def plain(value: object) -> object:
    """Positional values all the way down: of a tuple, a struct, a mapping in its order."""
    if isinstance(value, msgspec.Struct):
        return [plain(getattr(value, name)) for name in value.__struct_fields__]
    if isinstance(value, dict):
        return [[key, plain(each)] for key, each in value.items()]
    return [plain(each) for each in value] if isinstance(value, (tuple, list)) else value


def zone_fleet(seed: int, aim: str) -> list:
    """Keepers, schedulers and job workers in simulated time, a zone lost and faults drawn."""
    row = simulated.run_world(seed, aim=aim)
    return [
        row["how"],
        row["missed"],
        row["wrong"],
        row["left_after"],
        row["last"],
        row["lasts"],
        row["followed"],
        row["opened"],
    ]


def evidence(seed: int) -> list:
    """One scheduler's witness under drawn jobs and probes."""
    rng, found, now = Random(f"evidence {seed}"), [], 0.0
    witness, zone_of = (
        EvidenceCollector(rng.choice(["", "a"])),
        {n: "abc"[n % 3] for n in range(1, 3000, 241)},
    )
    open_jobs: list[tuple] = []
    results = ("ok", "ok", "ok", "full", "error", "reset", "unreachable", "timeout", "cancelled", "rejected")
    for number in range(600):
        now += rng.expovariate(1 / rng.choice([5.0, 60.0, 400.0]))
        roll, worker = rng.random(), rng.choice(list(zone_of))
        if roll < 0.4:
            witness.attempt_sent(now, worker, zone_of[worker], (f"j{number}", 0))
            open_jobs.append((worker, (f"j{number}", 0)))
        elif roll < 0.55 and open_jobs:
            witness.attempt_accepted(now, *rng.choice(open_jobs))
        elif roll < 0.75 and open_jobs:
            where, job = open_jobs.pop(rng.randrange(len(open_jobs)))
            found.append(witness.attempt_ended(now, where, job, rng.choice(results)))
        elif roll < 0.9:
            result = rng.choice(["ok", "ok", "unreachable"])
            found.append(witness.probe_finished(now, worker, zone_of[worker], result, rng.random() < 0.3))
        else:
            slots = [(zone, rng.uniform(0, 9), rng.uniform(0, 9)) for zone in "abd"]
            found.append(plain(witness.build_report(now, slots if rng.random() < 0.5 else ())))
    return found


def verdicts(seed: int) -> list:
    """What is made of drawn words on one zone."""
    rng, found = Random(f"verdict {seed}"), []
    for _ in range(300):
        workers, bad = list(range(1, rng.choice([2, 4, 13, 61]))), rng.choice([0.1, 0.7, 0.8, 0.9, 1.0])
        observers = []
        for _ in range(rng.choice([1, 2, 5, 9])):
            words = {}
            for zone in rng.sample("abc", rng.choice([1, 2, 3, 3])):
                seen = rng.sample(workers, rng.randrange(len(workers) + 1))
                share = bad if zone == "a" else 0.1
                down = [each for each in seen if rng.random() < share]
                words[zone] = ZoneEvidence([each for each in seen if each not in down], down)
            observers.append(Observer(rng.choice("abbcc"), words))
        verdict = judge_zone("a", observers, workers, rng.choice([1, 2, 5, 20]), rng.random() < 0.3)
        found.append([*plain(verdict), str(verdict)])
    return found


def gates(seed: int) -> list:
    """Which workers one scheduler may use while zones leave and return and deals change."""
    rng, found, now = Random(f"gate {seed}"), [], 0.0
    sessions = [f"s{n}" for n in range(6)]
    gate = RoutingFilter(
        RoutingRules("s1", "a", 8000.0, 3000.0, rng.choice([1, 3]), rng.random() < 0.15),
        lambda worker: worker % 3 == 1,
    )
    deal, number = None, 1
    for _ in range(60):
        now += rng.uniform(10.0, 4000.0)
        clock, number = now + 100_000.0, number + 1
        if rng.random() < 0.5:
            count = rng.choice([0, 3, 8])
            workers = tuple(
                api.Worker(
                    n,
                    rng.choice(["healthy", "healthy", "gone"]),
                    "ab"[n % 2],
                    started=rng.choice([0.0, clock - 500.0, clock - 9000.0]),
                )
                for n in range(1, 1 + count)
            )
            gate.update_workers(
                api.WorkerList(rng.choice(["complete", "partial", "error"]), workers), now, clock
            )
        if rng.random() < 0.3:
            before = deal.sessions if deal is not None and rng.random() < 0.7 else []
            deal = zones.FeederAssignment(number, rng.sample(sessions, 4), before, rng.random() < 0.6)
        states = {
            zone: zones.ZoneState(
                rng.choice(["open", "leaving", "left", "returning"]),
                rng.randrange(1, 5),
                rng.choice([0.0, 0.5]),
                rng.random() < 0.3,
                rng.random() < 0.3,
            )
            for zone in "ab"
        }
        gate.update_zones(zones.FleetZones(states, {"a": number, "b": number}, deal, number, []), now, clock)
        lease = rng.random() < 0.7
        found.append(
            [
                [gate.may_forward(n, now + wait, lease, clock + wait) for wait in (0.0, 6000.0)]
                for n in range(1, 9)
            ]
        )
        found.append(
            plain(gate.filter_workers(gate.workers.values(), now, lease, lambda worker: worker % 2 == 0))
        )
        found += [gate.next_change_ms(now), gate.workers_by_zone()]
    return plain(found)


class Contact:
    """As much of a keeper as the steward asks of it: sessions, and what they have acknowledged, as drawn."""

    def __init__(self, rng: Random, sessions: list) -> None:
        self.rng, self.sessions = rng, {each.id: each for each in sessions}

    def active_sessions(self, now: float) -> list:
        return list(self.sessions.values())

    def has_lease_expired(self, session: str, now: float) -> bool:
        return self.rng.random() < 0.8

    def is_acknowledged_by(self, number: int, sessions: list, now: float) -> bool:
        return self.rng.random() < 0.6


def steward(seed: int) -> list:
    """The changes that a keeper makes of drawn evidence and of orders, and the orders that it refuses."""
    rng, found, now, document, draws = Random(f"steward {seed}"), [], 10_000.0, Document(), []
    listed = {
        zone: [ListedWorker(10 * place + n, 0.0, False) for n in range(rng.choice([1, 3, 6]))]
        for place, zone in enumerate("abc")
    }
    bounds = ZoneLimits(
        5500.0,
        rng.choice([0.0, 4000.0]),
        6,
        rng.choice([{}, {"north": ("a", "b")}]),
        rng.random() < 0.7,
        rng.random() < 0.2,
    )
    mind = ZoneController(
        bounds, lambda: listed, lambda: now, "me", lambda: draws.append(0) or f"t{len(draws)}"
    )
    sessions = [SchedulerSession(f"s{n}.0", "abc"[n % 3], n, now, 0) for n in range(6)]
    keeper = Contact(rng, sessions)
    bad = dict.fromkeys("abc", 0.0)
    for number in range(150):
        now += rng.choice([50.0, 300.0, 700.0])
        if number % 15 == 0:
            bad[rng.choice("abc")] = rng.choice([0.0, 0.0, 0.6, 1.0])
            zone = rng.choice("abc")
            listed[zone] = [
                each._replace(started_at_ms=rng.choice([0.0, now]), is_warming_up=rng.random() < 0.1)
                for each in listed[zone]
            ]
        for each in sessions if rng.random() < 0.8 else ():
            words = {}
            for zone, workers in listed.items():
                down = [one.id for one in workers if rng.random() < bad[zone] and zone != each.zone]
                words[zone] = [
                    [one.id for one in workers if one.id not in down],
                    down,
                    rng.uniform(0, 9),
                    rng.uniform(0, 9),
                ]
            mind.record_evidence(now, each, msgspec.Raw(msgspec.json.encode([words])))
        if rng.random() < 0.1:
            order = {
                "do": rng.choice(["leave", "return", "hold", "release", "dance"]),
                "name": rng.choice(["a", "b", "c", "north", "x"]),
                "over_s": rng.choice([0.0, 0.0, 3.0]),
            }
            try:
                txn, said = mind.handle_order(now, msgspec.Raw(msgspec.json.encode(order)), document, keeper)
            except ValueError as error:
                txn, said = None, str(error)
            found.append(said)
        else:
            txn = mind.decide_next_change(now, document, keeper)
        found += [list(mind.zones_to_probe(now, keeper)), plain(txn)]
        document = document if txn is None else document.apply(txn) or document
    return plain(found)


def policy_walk(seed: int) -> list:
    """Coordinator and participant in a random walk: the documents and what each may, after every step."""
    rng, world, found = Random(f"policy {seed}"), policymodel.initial_world("", seed % 2 == 1), []
    for number in range(150):
        if number % 15 == 14:
            world.propose(())
        steps = world.steps()
        step = rng.choices(steps, [policymodel.STEP_WEIGHTS[name] for name, _ in steps])[0]
        world.apply_step(step)
        entries = world.document.entries
        found.append([*step, world.document.revision, [[key, entries[key].value] for key in sorted(entries)]])
        found.append(
            [
                plain(each.participant.decide_admission(world.now + wait))
                for each in world.schedulers
                for wait in (0.0, 249.0, 250.0)
            ]
        )
        keeper = world.members[world.leader_index()]
        found.append(
            sorted(keeper.coordinator.blocking_schedulers(world.now, keeper.document, keeper).items())
        )
    return found


def health(seed: int) -> list:
    """What balancers are told under drawn samples and orders."""
    rng, found, now = Random(f"health {seed}"), [], 100.0
    health, answered, refused, signals = (
        HealthStateMachine(HealthSettings(), now),
        0,
        0,
        HealthSignals(endpoints_known=False),
    )
    for number in range(600):
        now += rng.choice([0.05, 0.05, 0.05, 0.5, 3.0])
        if number % 12 == 0:
            pressed = rng.choice([0.1, 0.3, 0.7, 1.0])
            classes = tuple(
                ClassLoad(
                    name,
                    150.0,
                    kind,
                    rng.choice([0, 0, 9]),
                    rng.uniform(0, 400),
                    rng.random() < 0.2,
                    rng.choice(["", "", "", "an order"]),
                )
                for name, kind in (("look", None), ("push", "big"), ("bill", "old"))
            )
            workers = tuple(
                WorkerCounts(zone, kind, 4, rng.choice([0, 2, 4, 4]))
                for zone in "ab"
                for kind in ("big", "old")
            )
            signals = HealthSignals(
                CpuUsage(),
                classes,
                workers if rng.random() < 0.95 else (),
                "a",
                0,
                0,
                *(ResourceUsage(rng.choice([1, 50, 85, 100]), 100) for _ in range(3)),
                rng.choice([None, True, False]),
                rng.choice([None, 1.0, 60.0]),
                rng.random() < 0.97,
                rng.choice([0, 0, 3]),
            )
        demand = min(1.0, rng.uniform(0.5, 1.3) * pressed)
        answered, refused = answered + rng.randrange(9), refused + rng.randrange(3)
        sample = [
            CpuUsage(
                demand / 2,
                demand,
                rng.choice([0.0, demand * rng.random()]),
                rng.uniform(0, 90),
                rng.random() < 0.05,
            ),
            *list(signals)[1:4],
            answered,
            refused,
            *list(signals)[6:],
        ]
        found.append(plain(health.observe(now, HealthSignals(*sample))))
        roll, source = rng.random(), rng.choice(["signal", "command", "store"])
        if roll < 0.01 and (source != "signal" or number > 500):
            found.append(plain(health.drain(source, now, rng.choice([5.0, 30.0]))))
        elif roll < 0.05:
            found.append(plain(health.undrain(source, now)))
        elif roll < 0.06:
            found.append(plain(health.set_weight(rng.choice([0, 40.0, 100.0, 100.0]), now)))
        found.append([health.drain_orders.phase(at) for at in (now, health.drain_orders.notice_ends_at_s)])
        found.append([health.drain_orders.earliest_deadline_s, health.drain_orders.notice_ends_at_s])
    return found


def scenario(name: str, seed: int, seconds: float, changes: str = "{}") -> list:
    """The first seconds of a scenario's day: every answer, and where all requests were at the end."""
    text = (resources.files("spanwing.simulation") / "scenarios" / f"{name}.toml").read_bytes()
    day, answers = apply_changes(parse_scenario(text, ErrorCollector()), json.loads(changes)), []
    plan = day.build_plan(seed)

    def told(answered: object) -> None:
        answers.append(plain(answered))

    if day.has_zone_leader:
        regions = {region: tuple(each) for region, each in day.regions.items()}
        fleet = LeaderFleet(plan, seed, told, regions=regions)
    else:
        fleet = FleetSimulation(plan, seed, told)
    FaultInjector(fleet, tuple(day.faults), day.day_ms)
    fleet.run(seconds * 1000.0)
    return [
        answers,
        sorted(fleet.accounting.count_by_stage.items()),
        fleet.accounting.request_count,
        fleet.accounting.requested_work,
        fleet.event_queue.executed_count,
    ]


# -- nothing below names anything of the program

GOLDEN = Path(__file__).parent / "golden" / "deciders.json"
GROUPS = {
    "evidence": [(evidence, seed) for seed in range(20)],
    "verdict": [(verdicts, seed) for seed in range(10)],
    "gate": [(gates, seed) for seed in range(20)],
    "fleet": [(zone_fleet, seed, aim) for seed, aim in ((1, ""), (2, ""), (1, "return"))],
    "steward": [(steward, seed) for seed in range(20)],
    "policy": [(policy_walk, seed) for seed in range(20)],
    "health": [(health, seed) for seed in range(20)],
    "scenario": [
        (scenario, name, 1, *more)
        for name, *more in (
            ("calm-day", 4.0),
            ("retry-storm", 10.0),
            ("deploy-with-silent", 55.0),
            ("first-cold-snap", 20.0),
            ("fleet-zone", 8.0),
            ("fleet-flap", 14.0, '{"schedulers": 5, "workers[0].count": 8}'),
        )
    ],
}


def digests(group: str) -> dict[str, str]:
    """Of one group, by what was drawn."""
    return {
        " ".join([group, *map(str, given)]): hashlib.sha256(repr(make(*given)).encode()).hexdigest()
        for make, *given in GROUPS[group]
    }


@pytest.mark.parametrize("group", GROUPS)
def test_every_decider_makes_what_was_recorded(group):
    recorded = {
        name: value for name, value in json.loads(GOLDEN.read_text()).items() if name.split()[0] == group
    }
    found = digests(group)
    differ = [
        name for name in sorted(found.keys() | recorded.keys()) if found.get(name) != recorded.get(name)
    ]
    assert not differ, f"{len(differ)} of {len(recorded)} differ, the first: {', '.join(differ[:6])}"


if __name__ == "__main__" and sys.argv[1:] == ["--write"]:
    made = {name: value for group in GROUPS for name, value in digests(group).items()}
    GOLDEN.write_text(json.dumps(made, indent=0) + "\n")
