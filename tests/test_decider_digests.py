"""Compares digests of seeded runs of zones, policy, health and scenarios with recorded ones.

The groups cover the evidence collector, the failure detector, the controller, the routing filter and whole
simulated fleets of the zones, random walks of the policy's coordinator and participant, the state machine
of health, and the first seconds of scenarios. Hashed are words, numbers and documents that leave the process,
and no names of classes or fields, so that a rename changes no digest. Group names and random seeds are those
of the recorded file. Names of the program are used only in the first part of this file.

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

# -- names of the program, only in this part of the file
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
    """Returns nested lists of positional values for a tuple, a struct or a mapping in its order."""
    if isinstance(value, msgspec.Struct):
        return [plain(getattr(value, name)) for name in value.__struct_fields__]
    if isinstance(value, dict):
        return [[key, plain(each)] for key, each in value.items()]
    return [plain(each) for each in value] if isinstance(value, (tuple, list)) else value


def run_zone_fleet(seed: int, aim: str) -> list:
    """Returns the result of a simulated fleet with store members, schedulers and workers that loses a zone.

    The seed draws the faults. With `aim` "return" all faults occur during a long return of the zone.
    """
    result = simulated.run_world(seed, aim=aim)
    return [
        result["how"],
        result["missed"],
        result["wrong"],
        result["left_after"],
        result["last"],
        result["lasts"],
        result["followed"],
        result["opened"],
    ]


def run_evidence_collector(seed: int) -> list:
    """Returns what an EvidenceCollector returns for random jobs and probes, and its reports."""
    rng, results, now = Random(f"evidence {seed}"), [], 0.0
    collector, zone_of = (
        EvidenceCollector(rng.choice(["", "a"])),
        {n: "abc"[n % 3] for n in range(1, 3000, 241)},
    )
    open_jobs: list[tuple] = []
    attempt_results = (
        "ok",
        "ok",
        "ok",
        "full",
        "error",
        "reset",
        "unreachable",
        "timeout",
        "cancelled",
        "rejected",
    )
    for number in range(600):
        now += rng.expovariate(1 / rng.choice([5.0, 60.0, 400.0]))
        roll, worker = rng.random(), rng.choice(list(zone_of))
        if roll < 0.4:
            collector.attempt_sent(now, worker, zone_of[worker], (f"j{number}", 0))
            open_jobs.append((worker, (f"j{number}", 0)))
        elif roll < 0.55 and open_jobs:
            collector.attempt_accepted(now, *rng.choice(open_jobs))
        elif roll < 0.75 and open_jobs:
            where, job = open_jobs.pop(rng.randrange(len(open_jobs)))
            results.append(collector.attempt_ended(now, where, job, rng.choice(attempt_results)))
        elif roll < 0.9:
            result = rng.choice(["ok", "ok", "unreachable"])
            results.append(collector.probe_finished(now, worker, zone_of[worker], result, rng.random() < 0.3))
        else:
            slots = [(zone, rng.uniform(0, 9), rng.uniform(0, 9)) for zone in "abd"]
            results.append(plain(collector.build_report(now, slots if rng.random() < 0.5 else ())))
    return results


def run_zone_judge(seed: int) -> list:
    """Returns the verdicts of judge_zone() on random evidence."""
    rng, results = Random(f"verdict {seed}"), []
    for _ in range(300):
        workers, faulty_share = (
            list(range(1, rng.choice([2, 4, 13, 61]))),
            rng.choice([0.1, 0.7, 0.8, 0.9, 1.0]),
        )
        observers = []
        for _ in range(rng.choice([1, 2, 5, 9])):
            evidence_by_zone = {}
            for zone in rng.sample("abc", rng.choice([1, 2, 3, 3])):
                observed = rng.sample(workers, rng.randrange(len(workers) + 1))
                share = faulty_share if zone == "a" else 0.1
                faulty = [each for each in observed if rng.random() < share]
                evidence_by_zone[zone] = ZoneEvidence(
                    [each for each in observed if each not in faulty], faulty
                )
            observers.append(Observer(rng.choice("abbcc"), evidence_by_zone))
        verdict = judge_zone("a", observers, workers, rng.choice([1, 2, 5, 20]), rng.random() < 0.3)
        results.append([*plain(verdict), str(verdict)])
    return results


def run_routing_filter(seed: int) -> list:
    """Returns the workers that a RoutingFilter admits while zones leave and return and feeders change."""
    rng, results, now = Random(f"gate {seed}"), [], 0.0
    sessions = [f"s{n}" for n in range(6)]
    routing_filter = RoutingFilter(
        RoutingRules("s1", "a", 8000.0, 3000.0, rng.choice([1, 3]), rng.random() < 0.15),
        lambda worker: worker % 3 == 1,
    )
    assignment, number = None, 1
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
            routing_filter.update_workers(
                api.WorkerList(rng.choice(["complete", "partial", "error"]), workers), now, clock
            )
        if rng.random() < 0.3:
            previous_sessions = assignment.sessions if assignment is not None and rng.random() < 0.7 else []
            assignment = zones.FeederAssignment(
                number, rng.sample(sessions, 4), previous_sessions, rng.random() < 0.6
            )
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
        routing_filter.update_zones(
            zones.FleetZones(states, {"a": number, "b": number}, assignment, number, []), now, clock
        )
        lease = rng.random() < 0.7
        results.append(
            [
                [routing_filter.may_forward(n, now + wait, lease, clock + wait) for wait in (0.0, 6000.0)]
                for n in range(1, 9)
            ]
        )
        results.append(
            plain(
                routing_filter.filter_workers(
                    routing_filter.workers.values(), now, lease, lambda worker: worker % 2 == 0
                )
            )
        )
        results += [routing_filter.next_change_ms(now), routing_filter.workers_by_zone()]
    return plain(results)


class RandomLeader:
    """A stand-in for the leader with random leases and acknowledgements."""

    def __init__(self, rng: Random, sessions: list) -> None:
        self.rng, self.sessions = rng, {each.id: each for each in sessions}

    def active_sessions(self, now: float) -> list:
        return list(self.sessions.values())

    def has_lease_expired(self, session: str, now: float) -> bool:
        return self.rng.random() < 0.8

    def is_acknowledged_by(self, number: int, sessions: list, now: float) -> bool:
        return self.rng.random() < 0.6


def run_zone_controller(seed: int) -> list:
    """Returns the changes of a ZoneController on random evidence, and its replies to random orders."""
    rng, results, now, document, ids = Random(f"steward {seed}"), [], 10_000.0, Document(), []
    workers_by_zone = {
        zone: [ListedWorker(10 * place + n, 0.0, False) for n in range(rng.choice([1, 3, 6]))]
        for place, zone in enumerate("abc")
    }
    limits = ZoneLimits(
        5500.0,
        rng.choice([0.0, 4000.0]),
        6,
        rng.choice([{}, {"north": ("a", "b")}]),
        rng.random() < 0.7,
        rng.random() < 0.2,
    )
    controller = ZoneController(
        limits, lambda: workers_by_zone, lambda: now, "me", lambda: ids.append(0) or f"t{len(ids)}"
    )
    sessions = [SchedulerSession(f"s{n}.0", "abc"[n % 3], n, now, 0) for n in range(6)]
    leader = RandomLeader(rng, sessions)
    faulty_share = dict.fromkeys("abc", 0.0)
    for number in range(150):
        now += rng.choice([50.0, 300.0, 700.0])
        if number % 15 == 0:
            faulty_share[rng.choice("abc")] = rng.choice([0.0, 0.0, 0.6, 1.0])
            zone = rng.choice("abc")
            workers_by_zone[zone] = [
                each._replace(started_at_ms=rng.choice([0.0, now]), is_warming_up=rng.random() < 0.1)
                for each in workers_by_zone[zone]
            ]
        for each in sessions if rng.random() < 0.8 else ():
            evidence_by_zone = {}
            for zone, workers in workers_by_zone.items():
                faulty = [
                    one.id for one in workers if rng.random() < faulty_share[zone] and zone != each.zone
                ]
                evidence_by_zone[zone] = [
                    [one.id for one in workers if one.id not in faulty],
                    faulty,
                    rng.uniform(0, 9),
                    rng.uniform(0, 9),
                ]
            controller.record_evidence(now, each, msgspec.Raw(msgspec.json.encode([evidence_by_zone])))
        if rng.random() < 0.1:
            order = {
                "do": rng.choice(["leave", "return", "hold", "release", "dance"]),
                "name": rng.choice(["a", "b", "c", "north", "x"]),
                "over_s": rng.choice([0.0, 0.0, 3.0]),
            }
            try:
                txn, reply = controller.handle_order(
                    now, msgspec.Raw(msgspec.json.encode(order)), document, leader
                )
            except ValueError as error:
                txn, reply = None, str(error)
            results.append(reply)
        else:
            txn = controller.decide_next_change(now, document, leader)
        results += [list(controller.zones_to_probe(now, leader)), plain(txn)]
        document = document if txn is None else document.apply(txn) or document
    return plain(results)


def run_policy_model(seed: int) -> list:
    """Returns the document and the admission decisions after each step of a random walk."""
    rng, world, results = Random(f"policy {seed}"), policymodel.initial_world("", seed % 2 == 1), []
    for number in range(150):
        if number % 15 == 14:
            world.propose(())
        steps = world.steps()
        step = rng.choices(steps, [policymodel.STEP_WEIGHTS[name] for name, _ in steps])[0]
        world.apply_step(step)
        entries = world.document.entries
        results.append(
            [*step, world.document.revision, [[key, entries[key].value] for key in sorted(entries)]]
        )
        results.append(
            [
                plain(each.participant.decide_admission(world.now + wait))
                for each in world.schedulers
                for wait in (0.0, 249.0, 250.0)
            ]
        )
        leader_member = world.members[world.leader_index()]
        results.append(
            sorted(
                leader_member.coordinator.blocking_schedulers(
                    world.now, leader_member.document, leader_member
                ).items()
            )
        )
    return results


def run_health_machine(seed: int) -> list:
    """Returns what a HealthStateMachine announces to balancers for random signals and orders."""
    rng, results, now = Random(f"health {seed}"), [], 100.0
    machine, answered, rejected, signals = (
        HealthStateMachine(HealthSettings(), now),
        0,
        0,
        HealthSignals(endpoints_known=False),
    )
    for number in range(600):
        now += rng.choice([0.05, 0.05, 0.05, 0.5, 3.0])
        if number % 12 == 0:
            pressure = rng.choice([0.1, 0.3, 0.7, 1.0])
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
        demand = min(1.0, rng.uniform(0.5, 1.3) * pressure)
        answered, rejected = answered + rng.randrange(9), rejected + rng.randrange(3)
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
            rejected,
            *list(signals)[6:],
        ]
        results.append(plain(machine.observe(now, HealthSignals(*sample))))
        roll, source = rng.random(), rng.choice(["signal", "command", "store"])
        if roll < 0.01 and (source != "signal" or number > 500):
            results.append(plain(machine.drain(source, now, rng.choice([5.0, 30.0]))))
        elif roll < 0.05:
            results.append(plain(machine.undrain(source, now)))
        elif roll < 0.06:
            results.append(plain(machine.set_weight(rng.choice([0, 40.0, 100.0, 100.0]), now)))
        results.append(
            [machine.drain_orders.phase(at) for at in (now, machine.drain_orders.notice_ends_at_s)]
        )
        results.append([machine.drain_orders.earliest_deadline_s, machine.drain_orders.notice_ends_at_s])
    return results


def run_scenario(name: str, seed: int, seconds: float, changes: str = "{}") -> list:
    """Returns the answers in the first seconds of a scenario, the request count per stage and the totals."""
    text = (resources.files("spanwing.simulation") / "scenarios" / f"{name}.toml").read_bytes()
    parsed, answers = apply_changes(parse_scenario(text, ErrorCollector()), json.loads(changes)), []
    plan = parsed.build_plan(seed)

    def record_answer(answered: object) -> None:
        answers.append(plain(answered))

    if parsed.has_zone_leader:
        regions = {region: tuple(each) for region, each in parsed.regions.items()}
        fleet = LeaderFleet(plan, seed, record_answer, regions=regions)
    else:
        fleet = FleetSimulation(plan, seed, record_answer)
    FaultInjector(fleet, tuple(parsed.faults), parsed.day_ms)
    fleet.run(seconds * 1000.0)
    return [
        answers,
        sorted(fleet.accounting.count_by_stage.items()),
        fleet.accounting.request_count,
        fleet.accounting.requested_work,
        fleet.event_queue.executed_count,
    ]


# -- no names of the program from here on

GOLDEN = Path(__file__).parent / "golden" / "deciders.json"
GROUPS = {
    "evidence": [(run_evidence_collector, seed) for seed in range(20)],
    "verdict": [(run_zone_judge, seed) for seed in range(10)],
    "gate": [(run_routing_filter, seed) for seed in range(20)],
    "fleet": [(run_zone_fleet, seed, aim) for seed, aim in ((1, ""), (2, ""), (1, "return"))],
    "steward": [(run_zone_controller, seed) for seed in range(20)],
    "policy": [(run_policy_model, seed) for seed in range(20)],
    "health": [(run_health_machine, seed) for seed in range(20)],
    "scenario": [
        (run_scenario, name, 1, *more)
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
    """Returns the SHA-256 digests of a group by group name and arguments."""
    return {
        " ".join([group, *map(str, arguments)]): hashlib.sha256(repr(run(*arguments)).encode()).hexdigest()
        for run, *arguments in GROUPS[group]
    }


@pytest.mark.parametrize("group", GROUPS)
def test_digests_are_unchanged(group):
    recorded = {
        name: value for name, value in json.loads(GOLDEN.read_text()).items() if name.split()[0] == group
    }
    current = digests(group)
    changed = [
        name for name in sorted(current.keys() | recorded.keys()) if current.get(name) != recorded.get(name)
    ]
    assert not changed, f"{len(changed)} of {len(recorded)} changed, the first: {', '.join(changed[:6])}"


if __name__ == "__main__" and sys.argv[1:] == ["--write"]:
    digest_by_name = {name: value for group in GROUPS for name, value in digests(group).items()}
    GOLDEN.write_text(json.dumps(digest_by_name, indent=0) + "\n")
