"""Simulated fleets that lose a zone, with faults drawn from a seed, to check the zones' decision code.

    .venv/bin/python -m measure.fleet.simulated --seeds 1000
    .venv/bin/python -m measure.fleet.simulated --seeds 200 --aim return --bug no-lease

The program's own Leader, ZoneController, Lease and ZoneAgent run in simulated time. The store is one document
that is read and changed in one instant within each call. Each process has a clock of its own, whose rate is
off by up to 4%. A stopped process receives nothing until it continues, while its clock runs on.

A run with `--aim return` has a long slow start of the returning workers and leases of 2 to 9 s, and all its
faults happen during the return: stopped and restarted processes, processes that are cut off, and members that
reach no other member but are still reached by schedulers.

Rules that must hold:

- In every overload window, a worker in slow start of a returning zone is fed by at most as many assigned
  feeders as its budget has parts, and by at most one scheduler that acts without a lease.
- A zone that did not fail is not left.

Reported besides: whether the failed zone was left, when, and whether it is open again at the end.
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

LEASE_MS, SLOW_START_MS, OVERLOAD_WINDOW_MS, FEEDER_COUNT = 2000.0, 8600.0, 3000.0, 3
ZONES = ("athlone", "galway", "limerick")
BUGS = ("no-lease", "no-wait", "no-acknowledge", "no-read", "minority")
MAX_TRANSIT_MS = 2500.0  # the longest time that a job is on its way to a worker


@dataclass
class Worker:
    """A job worker."""

    number: int
    zone: str
    started_at_ms: float = 0.0  # of the true clock; 0: long ago
    mode: str = "up"  # up, down, silent, failing or slow
    listed: bool = True


class Process:
    """A simulated process with its own clock, which can be stopped, cut off and restarted."""

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name = world, name
        self.clock_rate, self.clock_offset_ms = (
            world.random.uniform(0.96, 1.04),
            world.random.uniform(0, 1e6),
        )
        self.up, self.stopped, self.cut = True, False, False
        self.isolated = False  # a member that neither reaches other members nor is reached by them
        self.incarnation = 0
        self.deferred_calls: list[Callable[[], None]] = []  # due while the process was stopped

    def now(self) -> float:
        """Returns the time of this process's clock, in ms."""
        return self.clock_offset_ms + self.clock_rate * self.world.event_queue.now_ms

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Schedules a call-back, after a delay of the true clock.

        A restart in between drops it. If the process is stopped then, it runs once the process continues.
        """
        incarnation = self.incarnation

        def run() -> None:
            if self.incarnation != incarnation or not self.up:
                return
            if self.stopped:
                self.deferred_calls.append(run)
            else:
                callback()

        self.world.event_queue.schedule_after(delay_ms, run)

    def resume(self) -> None:
        """Continues the process and makes the calls that were due meanwhile."""
        self.stopped = False
        deferred_calls, self.deferred_calls = self.deferred_calls, []
        for run in deferred_calls:
            run()


class Member(Process):
    """A member of the store: drives the program's Leader and ZoneController."""

    def __init__(self, world: World, name: str) -> None:
        super().__init__(world, name)
        self.start()

    def start(self) -> None:
        """Starts with empty state."""
        world = self.world
        limits = ZoneLimits(
            OVERLOAD_WINDOW_MS + MAX_TRANSIT_MS, world.slow_start_ms, world.scheduler_count, world.regions
        )
        self.controller = ZoneController(
            limits,
            world.listed_workers,
            lambda: world.event_queue.now_ms,
            self.name,
            lambda: f"{world.random.random()}",
        )
        self.leader = Leader(self.name, world.lease_ms, self.controller, self.now(), world.random.random)
        self.call_later(25.0, self.poll)

    def poll(self) -> None:
        """Answers renewals that are due, then takes over a silent leadership or acts as the leader."""
        leader, now = self.leader, self.now()
        leader.answer_due_renewals(now)
        if leader.is_leader_silent(now):
            self.world.read_document(self, lambda: self.take_over())
        elif leader.is_leader():
            if "no-read" in self.world.bugs:
                leader.handle_read(now, now, leader.document)
            self.world.read_document(self, self.lead)
        else:
            self.call_later(25.0, self.poll)

    def take_over(self) -> None:
        """Tries to become the leader, if the leader is still silent after the read."""
        if self.leader.is_leader_silent(self.now()):
            self.world.change_document(
                self, self.leader.takeover_transaction(self.now(), f"{self.world.random.random()}")
            )
        else:
            self.call_later(25.0, self.poll)

    def lead(self) -> None:
        """Makes the controller's next change, if there is one."""
        txn = None
        if self.leader.is_leader():
            txn = self.controller.decide_next_change(self.now(), self.leader.document, self.leader)
        if txn is None:
            self.call_later(25.0, self.poll)
        else:
            self.world.change_document(self, self.leader.on_condition_of_leadership(txn))


class Scheduler(Process):
    """A scheduler: drives the program's Lease and ZoneAgent, and sends jobs as its routing filter allows."""

    def __init__(self, world: World, name: str, zone: str, position: int) -> None:
        super().__init__(world, name)
        self.zone, self.position = zone, position
        self.start()

    def start(self) -> None:
        """Starts with empty state and a new session."""
        world = self.world
        self.session = f"{self.name}.{self.incarnation}"
        self.lease, self.document = Lease(), Document()
        rules = RoutingRules(self.session, self.zone, world.slow_start_ms, OVERLOAD_WINDOW_MS, FEEDER_COUNT)
        if "no-wait" in world.bugs:
            rules = rules._replace(overload_window_ms=-MAX_TRANSIT_MS)
        self.agent = ZoneAgent(
            rules,
            self.position,
            world.scheduler_count,
            lambda worker: self.position in world.default_feeders(worker),
            world.random,
        )
        self.last_renewal_id, self.job_count, self.answered_renewal_id = 0, 0, 0
        self.update_workers()
        self.probe_in_background()
        self.renew()
        self.call_later(world.random.uniform(20, 140), self.send_job)

    def update_workers(self) -> None:
        """Reads the endpoint list, every 500 ms, so that it is stale for up to that long."""
        worker_list = api.WorkerList(
            "complete",
            tuple(
                api.Worker(worker.number, zone=worker.zone, started=worker.started_at_ms)
                for worker in self.world.workers
                if worker.listed
            ),
        )
        self.agent.filter_workers(worker_list, self.now(), self.world.event_queue.now_ms, self.has_lease())
        self.call_later(500.0, self.update_workers)

    def renew(self) -> None:
        """Sends a renewal with the evidence report to a random member; repeats it if no reply comes."""
        self.last_renewal_id += 1
        message_id, now = self.last_renewal_id, self.now()
        self.lease.record_renewal(message_id, now)
        payload = msgspec.json.encode(self.agent.build_evidence_report(now, (), 0.0))
        message = Renew(
            message_id, self.session, self.zone, self.position, self.document.revision, msgspec.Raw(payload)
        )
        member, incarnation = self.world.random.choice(self.world.members), self.incarnation
        self.world.send(self, member, lambda: self.world.deliver_renewal(self, incarnation, member, message))
        self.call_later(
            1000.0 + self.world.random.uniform(0, 500), lambda: self.renew_if_unanswered(message_id)
        )

    def renew_if_unanswered(self, message_id: int) -> None:
        """Renews again if this renewal is the last one and has no reply."""
        if self.answered_renewal_id < message_id == self.last_renewal_id:
            self.renew()

    def handle_reply(self, reply: RenewalReply) -> None:
        """Follows the document, extends the lease and schedules the next renewal."""
        before = self.document
        self.document = catch_up(before, reply.changes, reply.document)
        if self.document is not before:
            self.agent.routing_filter.update_zones(
                read_fleet_zones(self.document), self.now(), self.world.event_queue.now_ms
            )
        self.lease.extend(reply.message_id, reply.lease_ms)
        if reply.zones_to_probe:
            self.probe_workers(self.agent.choose_workers_to_probe(reply.zones_to_probe))
        if reply.message_id == self.last_renewal_id and reply.message_id > self.answered_renewal_id:
            self.answered_renewal_id = reply.message_id
            self.call_later(100.0 if reply.lease_ms else self.world.random.uniform(50, 400), self.renew)

    def has_lease(self) -> bool:
        """Returns whether the lease is valid; with the bug no-lease, whether it ever was granted."""
        return self.lease.is_valid(self.now()) or (
            "no-lease" in self.world.bugs and self.answered_renewal_id > 0
        )

    def send_job(self) -> None:
        """Sends a job to a random worker, if the routing filter allows it, and schedules the next job."""
        world, now = self.world, self.now()
        self.call_later(world.random.uniform(20, 100), self.send_job)
        has_lease, clock_ms = self.has_lease(), world.event_queue.now_ms
        worker = world.random.choice(world.workers)
        if world.busy_zone and world.random.random() < 0.7:
            worker = world.random.choice([each for each in world.workers if each.zone == world.busy_zone])
        routing_filter = self.agent.routing_filter
        if worker.number not in routing_filter.workers:
            return
        routing = routing_filter.routing[worker.number]
        # A worker in slow start that has no assigned feeders is left to its default feeders.
        may_feed_by_default = (
            self.position in world.default_feeders(worker.number)
            or not has_lease
            or routing.started_at_ms <= 0
            or clock_ms >= routing.started_at_ms + world.slow_start_ms
        )
        if routing_filter.may_forward(worker.number, now, has_lease, clock_ms) and (
            routing.is_feeder is not None or may_feed_by_default
        ):
            # While this scheduler's endpoint list does not show the worker's restart, it does not know of the
            # slow start and sends to a worker of an open zone as before.
            used_by_own_zone = (
                routing_filter.fleet is not None
                and routing_filter.fleet.get_zone(worker.zone).used_by_own_zone
            )
            is_restart_unknown = routing.started_at_ms < worker.started_at_ms and (
                routing.is_feeder is None or not has_lease or used_by_own_zone
            )
            self.job_count += 1
            key = f"{self.session} {self.job_count}", 0
            self.agent.attempt_sent(now, worker.number, key)
            is_assigned = routing.is_feeder is not None and has_lease
            feeding = (
                self.session if is_assigned else self.name,
                0.5 if is_assigned and now < routing.full_budget_from_ms else 1.0,
                is_assigned,
            )
            world.send_attempt(self, worker, key, feeding, None if is_restart_unknown else has_lease)

    def probe_in_background(self) -> None:
        """Probes the workers that the agent chooses, about once a second."""
        for number in self.agent.choose_background_probes():
            self.world.probe(self, number)
        self.call_later(self.world.random.uniform(800, 1200), self.probe_in_background)

    def probe_workers(self, numbers: list[int]) -> None:
        """Probes workers that look bad, and renews 100 ms later to report what the probes found."""
        for number in numbers:
            self.world.probe(self, number)
        if numbers:
            self.call_later(100.0, self.renew)


class World:
    """All processes, the network, the store's document and the workers of one simulated fleet."""

    def __init__(
        self,
        seed: int,
        bugs: tuple[str, ...] = (),
        schedulers: int = 9,
        per_zone: int = 3,
        regions: dict[str, tuple[str, ...]] | None = None,
        lease_ms: float = LEASE_MS,
        slow_start_ms: float = SLOW_START_MS,
    ) -> None:
        """Starts three members and the schedulers; bugs: some of BUGS; per_zone: workers in each zone."""
        self.lease_ms, self.slow_start_ms, self.busy_zone = lease_ms, slow_start_ms, ""  # "": no busy zone
        self.random, self.event_queue, self.bugs = random.Random(seed), EventQueue(), bugs
        self.document, self.regions, self.scheduler_count = Document(), regions or {}, schedulers
        self.workers = [
            Worker(stable_hash(number, seed) & 0xFFFFFFFFFFFF, ZONES[number % len(ZONES)])
            for number in range(per_zone * len(ZONES))
        ]
        self.feeder_cache: dict[int, list[int]] = {}
        # Jobs that came to a worker in slow start, by worker and start time: arrival in ms, the sender's part
        # of the budget as in send_attempt, and whether the sender had a lease.
        self.feedings: dict[tuple[int, float], list[tuple[float, tuple[str, float, bool], bool]]]
        self.feedings = defaultdict(list)
        self.arrivals_while_down: Counter[str] = Counter()
        self.state_changes: list[tuple[float, str, str]] = []  # time in ms, zone, state
        self.members = [Member(self, f"m{number}") for number in range(3)]
        self.schedulers = [
            Scheduler(self, f"s{number}", ZONES[number % len(ZONES)], number) for number in range(schedulers)
        ]
        self.violations: list[str] = []
        if "no-acknowledge" in bugs:
            for member in self.members:
                member.leader.is_acknowledged_by = lambda *_: True

    def default_feeders(self, worker: int) -> list[int]:
        """Returns the scheduler positions that feed a worker in slow start without an assignment.

        They are chosen by a hash, as in the decision module.
        """
        if worker not in self.feeder_cache:
            self.feeder_cache[worker] = nlargest(
                FEEDER_COUNT, range(self.scheduler_count), key=lambda node: stable_hash(worker, node)
            )
        return self.feeder_cache[worker]

    def listed_workers(self) -> dict[str, list[ListedWorker]]:
        """Returns the listed workers by zone, as a member knows them."""
        by_zone: dict[str, list[ListedWorker]] = defaultdict(list)
        for worker in self.workers:
            if worker.listed:
                is_warming_up = (
                    worker.started_at_ms > 0
                    and self.event_queue.now_ms < worker.started_at_ms + self.slow_start_ms
                )
                by_zone[worker.zone].append(ListedWorker(worker.number, worker.started_at_ms, is_warming_up))
        return by_zone

    # -- the network and the store

    def delay_ms(self) -> float:
        """Draws the delay of one message: up to 20 ms, or up to 2 s for one in fifty."""
        is_slow = self.random.random() < 0.02
        return self.random.uniform(100.0, 2000.0) if is_slow else self.random.uniform(0.5, 20.0)

    def send(self, sender: Process, receiver: Process, callback: Callable[[], None]) -> None:
        """Delivers a message as a call at the receiver, unless the two cannot reach each other."""
        is_partitioned = (
            (sender.isolated or receiver.isolated)
            and isinstance(sender, Member)
            and isinstance(receiver, Member)
        )
        if not sender.cut and not receiver.cut and not is_partitioned:
            receiver.call_later(self.delay_ms(), callback)

    def deliver_renewal(self, scheduler: Scheduler, incarnation: int, member: Member, message: Renew) -> None:
        """Handles a renewal at a member, which forwards it to the leader if it is another member.

        A member that knows of no leader reads the document if its copy is stale.
        """
        leadership = member.leader.leadership()
        leader_name = None if leadership is None else leadership.member
        leader = next((each for each in self.members if each.name == leader_name), None)

        def replier(replying_member: Member) -> Callable[[RenewalReply], None]:
            def reply_to_scheduler(reply: RenewalReply) -> None:
                if scheduler.incarnation == incarnation:
                    self.send(replying_member, scheduler, lambda: scheduler.handle_reply(reply))

            return reply_to_scheduler

        if member.leader.is_leader():
            member.leader.handle_renewal(member.now(), message, replier(member))
        elif leader is not None and leader is not member:
            self.send(
                member,
                leader,
                lambda: (
                    leader.leader.handle_renewal(leader.now(), message, replier(leader))
                    if leader.leader.is_leader()
                    else None
                ),
            )
        elif member.leader.document.revision < self.document.revision:
            self.read_document(member, lambda: None)

    def has_majority(self, member: Member) -> bool:
        """Returns whether a member reaches a majority of the three members."""
        reachable = [
            each for each in self.members if each.up and not (each.cut or each.stopped or each.isolated)
        ]
        return not (member.cut or member.isolated) and len(reachable) >= 2

    def read_document(self, member: Member, then: Callable[[], None]) -> None:
        """Reads the document for a member, then calls `then`; without a majority, polls again later."""
        sent_at = member.now()

        def read() -> None:
            document, has_majority = self.document, self.has_majority(member)

            def receive() -> None:
                if has_majority:
                    member.leader.handle_read(member.now(), sent_at, document)
                    if member.leader.is_leader():
                        for each in self.members:
                            self.send(
                                member, each, lambda to=each: to.leader.record_read(to.now(), member.name)
                            )
                    then()
                else:
                    member.call_later(25.0, member.poll)

            member.call_later(self.delay_ms() / 2, receive)

        self.event_queue.schedule_after(self.delay_ms() / 2, read)

    def change_document(self, member: Member, txn: Transaction) -> None:
        """Applies a member's transaction to the document, if it has a majority and the conditions hold."""

        def commit() -> None:
            has_majority = self.has_majority(member)
            before = self.document
            after = before.apply(txn) if has_majority else None
            self.document = before if after is None else after
            self.record_state_changes(before)
            document = self.document

            def receive() -> None:
                if has_majority:
                    member.leader.handle_change(member.now(), document)
                member.call_later(25.0, member.poll)

            member.call_later(self.delay_ms() / 2, receive)

        self.event_queue.schedule_after(self.delay_ms() / 2, commit)

    def record_state_changes(self, before: Document) -> None:
        """Records the zones whose state differs from the document before."""
        old, new = read_fleet_zones(before), read_fleet_zones(self.document)
        for zone, state in new.zones.items():
            if old.get_zone(zone) != state:
                self.state_changes.append((self.event_queue.now_ms, zone, state.state))

    # -- job workers

    def send_attempt(
        self,
        scheduler: Scheduler,
        worker: Worker,
        key: tuple[str, int],
        feeding: tuple[str, float, bool],
        has_lease: bool | None,
    ) -> None:
        """Sends a job to a worker.

        feeding: the name under which the sender uses the worker's slow-start budget, which part of a feeder's
        share it may use, and whether it is an assigned feeder. has_lease: of the sender; None if it does not
        know that the worker is in slow start.
        """
        delay_ms = self.delay_ms()
        self.event_queue.schedule_after(
            delay_ms,
            self.arrive_at_worker,
            scheduler,
            scheduler.incarnation,
            worker,
            key,
            feeding,
            has_lease,
            worker.started_at_ms,
        )

    def arrive_at_worker(
        self,
        scheduler: Scheduler,
        incarnation: int,
        worker: Worker,
        key: tuple[str, int],
        feeding: tuple[str, float, bool],
        has_lease: bool | None,
        worker_started_at_ms: float,
    ) -> None:
        """Handles a job at its worker, by the worker's mode, and schedules the reply to the scheduler."""
        now_ms = self.event_queue.now_ms
        is_warming_up = worker.started_at_ms > 0 and now_ms < worker.started_at_ms + self.slow_start_ms
        # A job that was sent before the worker's restart, or without knowledge of it, does not count.
        if (
            has_lease is not None
            and worker_started_at_ms == worker.started_at_ms
            and is_warming_up
            and worker.mode == "up"
        ):
            self.feedings[worker.number, worker.started_at_ms].append((now_ms, feeding, has_lease))
        if worker.mode == "down":
            self.arrivals_while_down[worker.zone] += 1

        def attempt_end(result: str) -> Callable[[], None]:
            def report() -> None:
                scheduler.probe_workers(
                    scheduler.agent.attempt_ended(scheduler.now(), worker.number, key, result)
                )

            return report

        if scheduler.incarnation != incarnation or worker.mode == "silent" or scheduler.cut:
            return
        if worker.mode in ("down", "failing"):
            scheduler.call_later(
                self.delay_ms(), attempt_end("error" if worker.mode == "failing" else "unreachable")
            )
            return
        extra_delay_ms = 2000.0 if worker.mode == "slow" else 0.0
        scheduler.call_later(
            extra_delay_ms + self.delay_ms(),
            lambda: scheduler.agent.evidence_collector.attempt_accepted(scheduler.now(), worker.number, key),
        )
        scheduler.call_later(extra_delay_ms + 400.0 + self.delay_ms(), attempt_end("ok"))

    def probe(self, scheduler: Scheduler, number: int) -> None:
        """Probes a worker for a scheduler; a failing worker still answers probes."""
        worker = next(each for each in self.workers if each.number == number)

        def receive() -> None:
            result = "ok" if worker.mode in ("up", "failing") and not scheduler.cut else "unreachable"
            scheduler.probe_workers(scheduler.agent.probe_finished(scheduler.now(), number, result))

        scheduler.call_later(2 * self.delay_ms(), receive)

    # -- faults

    def lose_zone(self, zone: str, at_ms: float, lasts_ms: float, mode: str) -> None:
        """Sets all workers of a zone to a mode for a time; workers that were down restart in slow start."""
        for worker in [each for each in self.workers if each.zone == zone]:
            self.event_queue.schedule_at(at_ms, setattr, worker, "mode", mode)
            self.event_queue.schedule_at(at_ms + lasts_ms, setattr, worker, "mode", "up")
            if mode == "down":
                self.event_queue.schedule_at(
                    at_ms + lasts_ms, setattr, worker, "started_at_ms", at_ms + lasts_ms
                )

    def add_faults(self, until_ms: float, count: int) -> None:
        """Draws processes that are stopped, cut off or restarted, for 0.2 to 6 s each."""
        for _ in range(count):
            at_ms, lasts_ms = self.random.uniform(1000, until_ms), self.random.uniform(200, 6000)
            process = self.random.choice([*self.members, *self.schedulers])
            kind = self.random.choice(("stop", "cut", "restart", "slow stop"))
            if kind == "cut":
                self.event_queue.schedule_at(at_ms, setattr, process, "cut", True)
                self.event_queue.schedule_at(at_ms + lasts_ms, setattr, process, "cut", False)
            elif kind == "restart":
                self.event_queue.schedule_at(at_ms, self.restart, process, lasts_ms)
            else:
                self.event_queue.schedule_at(at_ms, setattr, process, "stopped", True)
                self.event_queue.schedule_at(at_ms + lasts_ms, process.resume)

    def add_return_faults(self, begin_ms: float, until_ms: float, count: int) -> None:
        """Draws faults of 1 to 14 s during a return, while workers in slow start have assigned feeders."""
        for _ in range(count):
            at_ms, lasts_ms = self.random.uniform(begin_ms, until_ms), self.random.uniform(1000, 14_000)
            kind = self.random.choice(("stop", "stop", "cut", "restart", "isolated"))
            process = self.random.choice(
                self.members if kind == "isolated" else [*self.members, *self.schedulers, *self.schedulers]
            )
            if kind == "restart":
                self.event_queue.schedule_at(at_ms, self.restart, process, min(lasts_ms, 2000.0))
            elif kind == "stop":
                self.event_queue.schedule_at(at_ms, setattr, process, "stopped", True)
                self.event_queue.schedule_at(at_ms + lasts_ms, process.resume)
            else:
                self.event_queue.schedule_at(at_ms, setattr, process, kind, True)
                self.event_queue.schedule_at(at_ms + lasts_ms, setattr, process, kind, False)

    def restart(self, process: Process, down_ms: float) -> None:
        """Ends a process and starts it again after a time."""
        process.up, process.deferred_calls = False, []
        process.incarnation += 1
        incarnation = process.incarnation

        def start() -> None:
            if process.incarnation == incarnation:
                process.up, process.stopped = True, False
                process.start()

        self.event_queue.schedule_after(down_ms, start)

    # -- rules

    def find_violations(self, lost_zones: dict[str, tuple[float, float]], until_ms: float) -> list[str]:
        """Returns a line for each violation of a rule.

        lost_zones: by zone, begin and end of its failure, in ms; it may be left until 9 s after the end.
        """
        violations = []
        for (worker, _), feedings in self.feedings.items():
            feedings.sort()
            for index, (at_ms, _, _) in enumerate(feedings):
                window = [each for each in feedings[: index + 1] if each[0] > at_ms - OVERLOAD_WINDOW_MS]
                parts: dict[str, float] = {}
                for _, (feeder, part, _), _ in window:
                    parts[feeder] = max(part, parts.get(feeder, 0.0))
                assigned = {feeder for _, (feeder, _, is_assigned), _ in window if is_assigned}
                without_lease = {feeder for _, (feeder, _, _), has_lease in window if not has_lease}
                # Assigned feeders may use FEEDER_COUNT parts. Together with the default feeders just before
                # the assignment, one and a half times as many parts may be used in a window.
                if (
                    len(assigned) > FEEDER_COUNT
                    or sum(parts.values()) > 1.5 * FEEDER_COUNT
                    or len(without_lease) > 1
                ):
                    violations.append(
                        f"{at_ms:.0f}: worker {worker} fed by {sorted(parts.items())}, "
                        f"{sorted(without_lease)} alone"
                    )
                    break
        for at_ms, zone, state in self.state_changes:
            if state == "leaving" and not any(
                name == zone and begin_ms <= at_ms <= end_ms + 9000.0
                for name, (begin_ms, end_ms) in lost_zones.items()
            ):
                violations.append(f"{at_ms:.0f}: {zone} was left, which had not failed")
        return violations


def run_world(seed: int, bugs: tuple[str, ...] = (), faults: int = 12, aim: str = "") -> dict[str, Any]:
    """Runs one world that loses the zone galway, and returns its row.

    aim: "return" draws the faults during the return only. Times in the row are in ms: left_after and followed
    from the loss to the states leaving and left, opened from the end of the failure to the state open.
    """
    if aim:
        rng = random.Random(f"{aim} {seed}")
        lease_ms, until_ms = rng.choice((2000.0, 5000.0, 9000.0)), 120_000.0
        world = World(seed, bugs, lease_ms=lease_ms, slow_start_ms=25_000.0)
        at_ms, lasts_ms, mode = rng.uniform(4000, 6000), rng.uniform(2500, 5000), "down"
        world.busy_zone = "galway"
        world.add_return_faults(at_ms + lasts_ms, at_ms + lasts_ms + 25_000.0, faults)
    else:
        world, until_ms = World(seed, bugs), 60_000.0
        at_ms, lasts_ms = world.random.uniform(4000, 8000), world.random.uniform(2500, 9000)
        mode = world.random.choice(("down", "down", "silent", "failing", "slow"))
        world.add_faults(30_000.0, faults)
    world.lose_zone("galway", at_ms, lasts_ms, mode)
    world.event_queue.run_until(until_ms)
    violations = world.find_violations({"galway": (at_ms, at_ms + lasts_ms)}, until_ms)
    changes = [(when, state) for when, zone, state in world.state_changes if zone == "galway"]
    left_after_ms = next((when - at_ms for when, state in changes if state == "leaving"), None)
    last_state = changes[-1][1] if changes else "open"
    return {
        "seed": seed,
        "how": mode,
        "missed": left_after_ms is None,
        "wrong": violations,
        "left_after": left_after_ms,
        "last": last_state,
        "lasts": lasts_ms,
        "followed": next((when - at_ms for when, state in changes if state == "left"), None),
        "opened": next(
            (when - at_ms - lasts_ms for when, state in reversed(changes) if state == "open"), None
        ),
    }


def _run_world(arguments: tuple[int, tuple[str, ...], int, str]) -> dict[str, Any]:
    return run_world(*arguments)


@click.command()
@click.option("--seeds", default=100, show_default=True)
@click.option("--begin", default=1, show_default=True)
@click.option("--faults", default=12, show_default=True)
@click.option("--aim", type=click.Choice(["", "return"]), default="")
@click.option("--bug", "bugs", multiple=True, type=click.Choice(BUGS))
def main(seeds: int, begin: int, faults: int, aim: str, bugs: tuple[str, ...]) -> None:
    """Runs a world for each seed and prints violations and the distribution of the times."""
    with ProcessPoolExecutor() as pool:
        arguments = [(seed, bugs, faults, aim) for seed in range(begin, begin + seeds)]
        rows = list(pool.map(_run_world, arguments, chunksize=4))
    failed = [row for row in rows if row["wrong"]]
    for row in failed[:10]:
        click.echo(f"seed {row['seed']} ({row['how']}): {row['wrong'][0]}")
    left_after_ms = sorted(row["left_after"] for row in rows if row["left_after"] is not None)
    opened_after_ms = sorted(row["opened"] for row in rows if row["opened"] is not None)
    for mode, lasts_ms in sorted((row["how"], row["lasts"]) for row in rows if row["missed"]):
        click.echo(f"not left: {mode} for {lasts_ms:.0f} ms")
    for mode in sorted({row["how"] for row in rows}):
        times_ms = sorted(row["left_after"] for row in rows if row["how"] == mode and not row["missed"])
        click.echo(f"{mode}: left after {_format_quantiles(times_ms)} ms")
    click.echo(
        f"{len(rows)} worlds, {len(failed)} with a rule broken; {len(left_after_ms)} left the zone, after "
        f"{_format_quantiles(left_after_ms)} ms; {len(opened_after_ms)} opened it again, "
        f"{_format_quantiles(opened_after_ms)} ms after its return; "
        f"at the end {dict(Counter(row['last'] for row in rows))}"
    )


def _format_quantiles(values: list[float]) -> str:
    if not values:
        return "-"
    return f"{values[len(values) // 2]:.0f} (p50), {values[int(len(values) * 0.99)]:.0f} (p99)"


if __name__ == "__main__":
    main()
