"""The deciders of the fleet's zones in simulated time: members, schedulers and job workers with faults from a
seed.

    .venv/bin/python -m measure.fleet.simulated --seeds 1000
    .venv/bin/python -m measure.fleet.simulated --seeds 200 --aim return --bug no-lease

What runs is the program's own keeper, steward, lease, gate and witness; the register that members share is
one value that is read and changed at one moment within each call. Each process has a clock of its own that is
off by up to 4%. Stopped processes hear nothing until they continue; their clocks run on. Worlds that aim at a
return have a long one, leases of 2 to 9 s, and all their faults in it: stops, cuts, restarts, members that
reach no other member but are reached by schedulers. Checked: in every
window of fall_ms, a cold worker of a returning zone is fed by as many dealt feeders as it has parts, and one
that acts alone; a zone that did not fail is not left; one that failed is left, and open again in the end.
"""

from __future__ import annotations

import random
from collections import Counter, defaultdict
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from heapq import nlargest
from typing import Any

import click
import msgspec

from spanwing import interface as api
from spanwing.scheduler_state import stable_hash
from spanwing.simulation.event_queue import EventQueue
from spanwing.store.document import Document, Transaction, catch_up
from spanwing.store.leader import Leader
from spanwing.store.lease import Lease
from spanwing.store.messages import Renew, RenewalReply
from spanwing.zones.agent import ZoneAgent
from spanwing.zones.controller import ListedWorker, ZoneController, ZoneLimits
from spanwing.zones.routing_filter import RoutingRules
from spanwing.zones.state import read_fleet_zones

LEASE_MS, COLD_MS, FALL_MS, FEEDERS = 2000.0, 8600.0, 3000.0, 3
ZONES = ("athlone", "galway", "limerick")
BUGS = ("no-lease", "no-wait", "no-acknowledge", "no-read", "minority")
LATE_MS = 2500.0  # a job is on its way so long at most


@dataclass
class Worker:
    number: int
    zone: str
    started: float = 0.0  # true time of its last start; 0: long ago
    how: str = "up"  # down, silent, failing, slow
    listed: bool = True


class Process:
    """Something with a clock that can be stopped, cut off and started anew."""

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name = world, name
        self.rate, self.offset = world.random.uniform(0.96, 1.04), world.random.uniform(0, 1e6)
        self.up, self.stopped, self.cut = True, False, False
        self.lonely = False  # it reaches no other member, and none reaches it
        self.life = 0
        self.missed: list[Callable[[], None]] = []

    def now(self) -> float:
        return self.offset + self.rate * self.world.agenda.now_ms

    def call(self, after: float, what: Callable[[], None]) -> None:
        """Have it do something later, unless it has started anew since; when it is stopped, once it
        continues."""
        life = self.life

        def due() -> None:
            if self.life != life or not self.up:
                return
            if self.stopped:
                self.missed.append(due)
            else:
                what()

        self.world.agenda.schedule_after(after, due)

    def go_on(self) -> None:
        self.stopped = False
        missed, self.missed = self.missed, []
        for each in missed:
            each()


class Member(Process):
    """One member of the store: the keeper's core, driven."""

    def __init__(self, world: World, name: str) -> None:
        super().__init__(world, name)
        self.begin()

    def begin(self) -> None:
        world = self.world
        bounds = ZoneLimits(FALL_MS + LATE_MS, world.cold, world.count, world.regions)
        self.steward = ZoneController(
            bounds, world.listing, lambda: world.agenda.now_ms, self.name, lambda: f"{world.random.random()}"
        )
        self.keeper = Leader(self.name, world.lease, self.steward, self.now(), world.random.random)
        self.call(25.0, self.turn)

    def turn(self) -> None:
        keeper, now = self.keeper, self.now()
        keeper.answer_due_renewals(now)
        if keeper.is_leader_silent(now):
            self.world.read(self, lambda: self.take_over())
        elif keeper.is_leader():
            if "no-read" in self.world.bugs:
                keeper.handle_read(now, now, keeper.document)
            self.world.read(self, self.keep)
        else:
            self.call(25.0, self.turn)

    def take_over(self) -> None:
        if self.keeper.is_leader_silent(self.now()):
            self.world.change(
                self, self.keeper.takeover_transaction(self.now(), f"{self.world.random.random()}")
            )
        else:
            self.call(25.0, self.turn)

    def keep(self) -> None:
        txn = None
        if self.keeper.is_leader():
            txn = self.steward.decide_next_change(self.now(), self.keeper.document, self.keeper)
        if txn is None:
            self.call(25.0, self.turn)
        else:
            self.world.change(self, self.keeper.on_condition_of_leadership(txn))


class Scheduler(Process):
    """One scheduler: lease, gate and witness, driven, and jobs sent to whatever the gate lets it use."""

    def __init__(self, world: World, name: str, zone: str, position: int) -> None:
        super().__init__(world, name)
        self.zone, self.position = zone, position
        self.begin()

    def begin(self) -> None:
        world = self.world
        self.session = f"{self.name}.{self.life}"
        self.lease, self.document = Lease(), Document()
        rules = RoutingRules(self.session, self.zone, world.cold, FALL_MS, FEEDERS)
        if "no-wait" in world.bugs:
            rules = rules._replace(overload_window_ms=-LATE_MS)
        self.local = ZoneAgent(
            rules,
            self.position,
            world.count,
            lambda worker: self.position in world.hashed(worker),
            world.random,
        )
        self.renewals, self.jobs, self.granted = 0, 0, 0
        self.look()
        self.ask_around()
        self.renew()
        self.call(world.random.uniform(20, 140), self.job)

    def look(self) -> None:
        """Discovery's list, which is late."""
        news = api.WorkerList(
            "complete",
            tuple(
                api.Worker(each.number, zone=each.zone, started=each.started)
                for each in self.world.workers
                if each.listed
            ),
        )
        self.local.filter_workers(news, self.now(), self.world.agenda.now_ms, self.holds())
        self.call(500.0, self.look)

    def renew(self) -> None:
        self.renewals += 1
        n, now = self.renewals, self.now()
        self.lease.record_renewal(n, now)
        payload = msgspec.json.encode(self.local.build_evidence_report(now, (), 0.0))
        message = Renew(
            n, self.session, self.zone, self.position, self.document.revision, msgspec.Raw(payload)
        )
        member, life = self.world.random.choice(self.world.members), self.life
        self.world.tell(self, member, lambda: self.world.pass_on(self, life, member, message))
        self.call(1000.0 + self.world.random.uniform(0, 500), lambda: self.unanswered(n))

    def unanswered(self, n: int) -> None:
        if self.granted < n == self.renewals:
            self.renew()

    def hear(self, granted: RenewalReply) -> None:
        before = self.document
        self.document = catch_up(before, granted.changes, granted.document)
        if self.document is not before:
            self.local.routing_filter.update_zones(
                read_fleet_zones(self.document), self.now(), self.world.agenda.now_ms
            )
        self.lease.extend(granted.message_id, granted.lease_ms)
        if granted.zones_to_probe:
            self.ask(self.local.choose_workers_to_probe(granted.zones_to_probe))
        if granted.message_id == self.renewals and granted.message_id > self.granted:
            self.granted = granted.message_id
            self.call(100.0 if granted.lease_ms else self.world.random.uniform(50, 400), self.renew)

    def holds(self) -> bool:
        return self.lease.is_valid(self.now()) or ("no-lease" in self.world.bugs and self.granted > 0)

    def job(self) -> None:
        """A job for some worker, if it may have one."""
        world, now = self.world, self.now()
        self.call(world.random.uniform(20, 100), self.job)
        lease, clock = self.holds(), world.agenda.now_ms
        worker = world.random.choice(world.workers)
        if world.aimed and world.random.random() < 0.7:
            worker = world.random.choice([each for each in world.workers if each.zone == world.aimed])
        gate = self.local.routing_filter
        if worker.number not in gate.workers:
            return
        use = gate.routing[worker.number]
        by_hash = (
            self.position in world.hashed(worker.number)
            or not lease
            or use.started_at_ms <= 0
            or clock >= use.started_at_ms + world.cold
        )
        if gate.may_forward(worker.number, now, lease, clock) and (use.is_feeder is not None or by_hash):
            # By a list that does not show its new life yet, a worker of an open zone is fed as ever.
            inside = gate.fleet is not None and gate.fleet.get_zone(worker.zone).used_by_own_zone
            blind = use.started_at_ms < worker.started and (use.is_feeder is None or not lease or inside)
            self.jobs += 1
            key = f"{self.session} {self.jobs}", 0
            self.local.attempt_sent(now, worker.number, key)
            dealt = use.is_feeder is not None and lease
            who = (
                self.session if dealt else self.name,
                0.5 if dealt and now < use.full_budget_from_ms else 1.0,
                dealt,
            )
            world.job(self, worker, key, who, None if blind else lease)

    def ask_around(self) -> None:
        for number in self.local.choose_background_probes():
            self.world.probe(self, number)
        self.call(self.world.random.uniform(800, 1200), self.ask_around)

    def ask(self, numbers: list[int]) -> None:
        """A look on bad news, before it is told."""
        for number in numbers:
            self.world.probe(self, number)
        if numbers:
            self.call(100.0, self.renew)


class World:
    """All of it, from a seed."""

    def __init__(
        self,
        seed: int,
        bugs: tuple[str, ...] = (),
        schedulers: int = 9,
        per_zone: int = 3,
        regions: dict[str, tuple[str, ...]] | None = None,
        lease: float = LEASE_MS,
        cold: float = COLD_MS,
    ) -> None:
        self.lease, self.cold, self.aimed = lease, cold, ""  # aimed: a zone that most jobs go to
        self.random, self.agenda, self.bugs = random.Random(seed), EventQueue(), bugs
        self.document, self.regions, self.count = Document(), regions or {}, schedulers
        self.workers = [
            Worker(stable_hash(number, seed) & 0xFFFFFFFFFFFF, ZONES[number % len(ZONES)])
            for number in range(per_zone * len(ZONES))
        ]
        self.hashes: dict[int, list[int]] = {}
        self.fed: dict[tuple[int, float], list[tuple[float, tuple[str, float, bool], bool]]]
        self.fed = defaultdict(list)
        self.into: Counter[str] = Counter()
        self.states: list[tuple[float, str, str]] = []  # when, zone, state
        self.members = [Member(self, f"m{number}") for number in range(3)]
        self.schedulers = [
            Scheduler(self, f"s{number}", ZONES[number % len(ZONES)], number) for number in range(schedulers)
        ]
        self.wrong: list[str] = []
        if "no-acknowledge" in bugs:
            for each in self.members:
                each.keeper.is_acknowledged_by = lambda *_: True

    def hashed(self, worker: int) -> list[int]:
        """The positions that feed a cold worker while nothing is dealt, as in the module."""
        if worker not in self.hashes:
            self.hashes[worker] = nlargest(
                FEEDERS, range(self.count), key=lambda node: stable_hash(worker, node)
            )
        return self.hashes[worker]

    def listing(self) -> dict[str, list[ListedWorker]]:
        found: dict[str, list[ListedWorker]] = defaultdict(list)
        for each in self.workers:
            if each.listed:
                cold = each.started > 0 and self.agenda.now_ms < each.started + self.cold
                found[each.zone].append(ListedWorker(each.number, each.started, cold))
        return found

    # -- the network and the register

    def delay(self) -> float:
        slow = self.random.random() < 0.02
        return self.random.uniform(100.0, 2000.0) if slow else self.random.uniform(0.5, 20.0)

    def tell(self, one: Process, other: Process, what: Callable[[], None]) -> None:
        apart = (one.lonely or other.lonely) and isinstance(one, Member) and isinstance(other, Member)
        if not one.cut and not other.cut and not apart:
            other.call(self.delay(), what)

    def pass_on(self, scheduler: Scheduler, life: int, member: Member, message: Renew) -> None:
        keeps = member.keeper.leadership()
        named = None if keeps is None else keeps.member
        keeper = next((each for each in self.members if each.name == named), None)

        def answer(by: Member) -> Callable[[RenewalReply], None]:
            def told(granted: RenewalReply) -> None:
                if scheduler.life == life:
                    self.tell(by, scheduler, lambda: scheduler.hear(granted))

            return told

        if member.keeper.is_leader():
            member.keeper.handle_renewal(member.now(), message, answer(member))
        elif keeper is not None and keeper is not member:
            self.tell(
                member,
                keeper,
                lambda: (
                    keeper.keeper.handle_renewal(keeper.now(), message, answer(keeper))
                    if keeper.keeper.is_leader()
                    else None
                ),
            )
        elif member.keeper.document.revision < self.document.revision:
            self.read(member, lambda: None)

    def majority(self, member: Member) -> bool:
        there = [each for each in self.members if each.up and not (each.cut or each.stopped or each.lonely)]
        return not (member.cut or member.lonely) and len(there) >= 2

    def read(self, member: Member, then: Callable[[], None]) -> None:
        begun = member.now()

        def at() -> None:
            document, can = self.document, self.majority(member)

            def heard() -> None:
                if can:
                    member.keeper.handle_read(member.now(), begun, document)
                    if member.keeper.is_leader():
                        for each in self.members:
                            self.tell(
                                member, each, lambda to=each: to.keeper.record_read(to.now(), member.name)
                            )
                    then()
                else:
                    member.call(25.0, member.turn)

            member.call(self.delay() / 2, heard)

        self.agenda.schedule_after(self.delay() / 2, at)

    def change(self, member: Member, txn: Transaction) -> None:
        def at() -> None:
            can = self.majority(member)
            before = self.document
            after = before.apply(txn) if can else None
            self.document = before if after is None else after
            self.note(before)
            document = self.document

            def heard() -> None:
                if can:
                    member.keeper.handle_change(member.now(), document)
                member.call(25.0, member.turn)

            member.call(self.delay() / 2, heard)

        self.agenda.schedule_after(self.delay() / 2, at)

    def note(self, before: Document) -> None:
        old, new = read_fleet_zones(before), read_fleet_zones(self.document)
        for zone, state in new.zones.items():
            if old.get_zone(zone) != state:
                self.states.append((self.agenda.now_ms, zone, state.state))

    # -- job workers

    def job(
        self,
        scheduler: Scheduler,
        worker: Worker,
        key: tuple[str, int],
        who: tuple[str, float, bool],
        lease: bool | None,
    ) -> None:
        """who: whose part of a cold worker's budget it takes, how much of a part, and whether by a deal;
        lease: None where no part of it is taken knowingly."""
        delay = self.delay()
        self.agenda.schedule_after(
            delay, self.arrive, scheduler, scheduler.life, worker, key, who, lease, worker.started
        )

    def arrive(
        self,
        scheduler: Scheduler,
        life: int,
        worker: Worker,
        key: tuple[str, int],
        who: tuple[str, float, bool],
        lease: bool | None,
        began: float,
    ) -> None:
        now = self.agenda.now_ms
        cold = worker.started > 0 and now < worker.started + self.cold
        # What set out before this life, or by a list that does not show it, is no feeding of ours.
        if lease is not None and began == worker.started and cold and worker.how == "up":
            self.fed[worker.number, worker.started].append((now, who, lease))
        if worker.how == "down":
            self.into[worker.zone] += 1

        def ended(result: str) -> Callable[[], None]:
            def tell() -> None:
                scheduler.ask(scheduler.local.attempt_ended(scheduler.now(), worker.number, key, result))

            return tell

        if scheduler.life != life or worker.how == "silent" or scheduler.cut:
            return
        if worker.how in ("down", "failing"):
            scheduler.call(self.delay(), ended("error" if worker.how == "failing" else "unreachable"))
            return
        late = 2000.0 if worker.how == "slow" else 0.0
        scheduler.call(
            late + self.delay(),
            lambda: scheduler.local.evidence_collector.attempt_accepted(scheduler.now(), worker.number, key),
        )
        scheduler.call(late + 400.0 + self.delay(), ended("ok"))

    def probe(self, scheduler: Scheduler, number: int) -> None:
        worker = next(each for each in self.workers if each.number == number)

        def heard() -> None:
            result = "ok" if worker.how in ("up", "failing") and not scheduler.cut else "unreachable"
            scheduler.ask(scheduler.local.probe_finished(scheduler.now(), number, result))

        scheduler.call(2 * self.delay(), heard)

    # -- faults

    def lose(self, zone: str, at: float, lasts: float, how: str) -> None:
        """A zone's workers fail together, and are back cold."""
        for worker in [each for each in self.workers if each.zone == zone]:
            self.agenda.schedule_at(at, setattr, worker, "how", how)
            self.agenda.schedule_at(at + lasts, setattr, worker, "how", "up")
            if how == "down":
                self.agenda.schedule_at(at + lasts, setattr, worker, "started", at + lasts)

    def faults(self, until: float, count: int) -> None:
        """Processes that are stopped, cut off or started anew, at random."""
        for _ in range(count):
            at, lasts = self.random.uniform(1000, until), self.random.uniform(200, 6000)
            process = self.random.choice([*self.members, *self.schedulers])
            kind = self.random.choice(("stop", "cut", "restart", "slow stop"))
            if kind == "cut":
                self.agenda.schedule_at(at, setattr, process, "cut", True)
                self.agenda.schedule_at(at + lasts, setattr, process, "cut", False)
            elif kind == "restart":
                self.agenda.schedule_at(at, self.restart, process, lasts)
            else:
                self.agenda.schedule_at(at, setattr, process, "stopped", True)
                self.agenda.schedule_at(at + lasts, process.go_on)

    def faults_in_return(self, begin: float, until: float, count: int) -> None:
        """Long ones, while cold workers are fed by those to whom they are dealt."""
        for _ in range(count):
            at, lasts = self.random.uniform(begin, until), self.random.uniform(1000, 14_000)
            kind = self.random.choice(("stop", "stop", "cut", "restart", "lonely"))
            process = self.random.choice(
                self.members if kind == "lonely" else [*self.members, *self.schedulers, *self.schedulers]
            )
            if kind == "restart":
                self.agenda.schedule_at(at, self.restart, process, min(lasts, 2000.0))
            elif kind == "stop":
                self.agenda.schedule_at(at, setattr, process, "stopped", True)
                self.agenda.schedule_at(at + lasts, process.go_on)
            else:
                self.agenda.schedule_at(at, setattr, process, kind, True)
                self.agenda.schedule_at(at + lasts, setattr, process, kind, False)

    def restart(self, process: Process, lasts: float) -> None:
        process.up, process.missed = False, []
        process.life += 1
        life = process.life

        def start() -> None:
            if process.life == life:
                process.up, process.stopped = True, False
                process.begin()

        self.agenda.schedule_after(lasts, start)

    # -- what must hold

    def check(self, lost: dict[str, tuple[float, float]], until: float) -> list[str]:
        """What is wrong, a line each."""
        wrong = []
        for (worker, _), fed in self.fed.items():
            fed.sort()
            for place, (at, _, _) in enumerate(fed):
                window = [each for each in fed[: place + 1] if each[0] > at - FALL_MS]
                parts: dict[str, float] = {}
                for _, (who, part, _), _ in window:
                    parts[who] = max(part, parts.get(who, 0.0))
                dealt = {who for _, (who, _, by_deal), _ in window if by_deal}
                alone = {who for _, (who, _, _), lease in window if not lease}
                # By deals k parts; with those by the hash of all positions just before, one and a half times
                # k.
                if len(dealt) > FEEDERS or sum(parts.values()) > 1.5 * FEEDERS or len(alone) > 1:
                    wrong.append(
                        f"{at:.0f}: worker {worker} fed by {sorted(parts.items())}, {sorted(alone)} alone"
                    )
                    break
        for at, zone, state in self.states:
            if state == "leaving" and not any(
                name == zone and begun <= at <= ended + 9000.0 for name, (begun, ended) in lost.items()
            ):
                wrong.append(f"{at:.0f}: {zone} was left, which had not failed")
        return wrong


def run_world(seed: int, bugs: tuple[str, ...] = (), faults: int = 12, aim: str = "") -> dict[str, Any]:
    """One world with a zone lost, and what is wrong with it; aim: "return"."""
    if aim:
        draw = random.Random(f"{aim} {seed}")
        lease, until = draw.choice((2000.0, 5000.0, 9000.0)), 120_000.0
        world = World(seed, bugs, lease=lease, cold=25_000.0)
        at, lasts, how = draw.uniform(4000, 6000), draw.uniform(2500, 5000), "down"
        world.aimed = "galway"
        world.faults_in_return(at + lasts, at + lasts + 25_000.0, faults)
    else:
        world, until = World(seed, bugs), 60_000.0
        at, lasts = world.random.uniform(4000, 8000), world.random.uniform(2500, 9000)
        how = world.random.choice(("down", "down", "silent", "failing", "slow"))
        world.faults(30_000.0, faults)
    world.lose("galway", at, lasts, how)
    world.agenda.run_until(until)
    wrong = world.check({"galway": (at, at + lasts)}, until)
    mine = [(when, state) for when, zone, state in world.states if zone == "galway"]
    left = next((when - at for when, state in mine if state == "leaving"), None)
    last = mine[-1][1] if mine else "open"
    return {
        "seed": seed,
        "how": how,
        "missed": left is None,
        "wrong": wrong,
        "left_after": left,
        "last": last,
        "lasts": lasts,
        "followed": next((when - at for when, state in mine if state == "left"), None),
        "opened": next((when - at - lasts for when, state in reversed(mine) if state == "open"), None),
    }


def _play(given: tuple[int, tuple[str, ...], int, str]) -> dict[str, Any]:
    return run_world(*given)


@click.command()
@click.option("--seeds", default=100, show_default=True)
@click.option("--begin", default=1, show_default=True)
@click.option("--faults", default=12, show_default=True)
@click.option("--aim", type=click.Choice(["", "return"]), default="")
@click.option("--bug", "bugs", multiple=True, type=click.Choice(BUGS))
def main(seeds: int, begin: int, faults: int, aim: str, bugs: tuple[str, ...]) -> None:
    with ProcessPoolExecutor() as pool:
        given = [(seed, bugs, faults, aim) for seed in range(begin, begin + seeds)]
        rows = list(pool.map(_play, given, chunksize=4))
    bad = [row for row in rows if row["wrong"]]
    for row in bad[:10]:
        click.echo(f"seed {row['seed']} ({row['how']}): {row['wrong'][0]}")
    left = sorted(row["left_after"] for row in rows if row["left_after"] is not None)
    opened = sorted(row["opened"] for row in rows if row["opened"] is not None)
    for how, lasts in sorted((row["how"], row["lasts"]) for row in rows if row["missed"]):
        click.echo(f"not left: {how} for {lasts:.0f} ms")
    for how in sorted({row["how"] for row in rows}):
        some = sorted(row["left_after"] for row in rows if row["how"] == how and not row["missed"])
        click.echo(f"{how}: left after {_told(some)} ms")
    click.echo(
        f"{len(rows)} worlds, {len(bad)} with a rule broken; {len(left)} left the zone, after "
        f"{_told(left)} ms; {len(opened)} opened it again, {_told(opened)} ms after its return; "
        f"at the end {dict(Counter(row['last'] for row in rows))}"
    )


def _told(values: list[float]) -> str:
    if not values:
        return "-"
    return f"{values[len(values) // 2]:.0f} (p50), {values[int(len(values) * 0.99)]:.0f} (p99)"


if __name__ == "__main__":
    main()
