"""A whole fleet in simulated time: clients, a plain layer ahead, schedulers, the network and job workers.

Guarantees: the same Plan and seed give the same world, event for event; at the end of run() every request
is in one place and all work is accounted for (account.py). Nothing is asked of the wall clock but the cost of
the decision path, which changes nothing.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from spanwing import interface as api
from spanwing.world.account import Account, Work
from spanwing.world.agenda import Agenda, Entry
from spanwing.world.clients import BrandSpec, ClassSpec, Clients, LoadSpec, Retries, Wanted
from spanwing.world.network import Delays, Network
from spanwing.world.node import Node
from spanwing.world.streams import Streams
from spanwing.world.worker import Began, Job, JobWorker, Said, Spec

CONNECT_MS = 250.0  # until a place that does not answer counts as unreachable
TAKEN_MS = 2500.0  # until a worker that says neither yes nor no is given up
RESULTS: dict[str, api.Result] = {
    "ok": "ok",
    "error": "error",
    "full": "full",
    "cancelled": "cancelled",
    "expired": "full",
}  # one that only waited never ran


class Plan(NamedTuple):
    """Everything that a world is made of."""

    workers: tuple[Spec, ...]
    schedulers: tuple[tuple[str, str], ...]  # name and zone
    classes: tuple[ClassSpec, ...]
    load: LoadSpec
    brands: tuple[BrandSpec, ...] = (BrandSpec("one", 1.0),)
    retries: Retries = Retries()
    delays: Delays = Delays()
    settings: Callable[[int, str], api.Settings] | None = None  # of the nth scheduler, in its zone
    discovery_ms: tuple[float, float] = (20.0, 120.0)  # until a scheduler hears of a change
    decision_ms: float = 0.0  # of a scheduler's CPU for each thing that it hears
    notice_ms: float = 1000.0  # until the layer ahead notices that a scheduler is gone
    report_ms: float = 25.0  # how old a load report may be


class Answered(NamedTuple):
    """How one request went."""

    at: float
    cls: str
    brand: str
    kind: str  # served, refused, failed, left, lost
    took: float  # ms from the client's first try to its last answer
    tries: int
    attempts: int
    running: float  # ms at speed 1: the aim of some classes grows with it


@dataclass
class Asked:
    """A client's request and its present try."""

    wanted: Wanted
    tries: int = 0
    attempts: int = 0
    node: Node | None = None
    patience: Entry | None = None


@dataclass
class Place:
    """A worker with its wake-up."""

    worker: JobWorker
    number: int
    wake: Entry | None = None
    state: api.State = "healthy"
    attempts: dict[str, tuple[Node, str, int]] = field(default_factory=dict)
    told: dict[str, float] = field(default_factory=dict)  # its last report
    noted: float = -1e12  # and when it was made


def number_of(name: str) -> int:
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=6).digest(), "big")


class Fleet:
    """One world, from its making to the end of its day."""

    def __init__(self, plan: Plan, seed: int, told: Callable[[Answered], None] | None = None) -> None:
        self.plan, self.streams, self.agenda = plan, Streams(seed), Agenda()
        self.network, self.account = Network(plan.delays, self.streams), Account()
        self.clients = Clients(plan.load, plan.classes, plan.brands, self.streams)
        self.told: Callable[[Answered], None] = told or (lambda answered: None)
        self.places: dict[int, Place] = {}
        for spec in plan.workers:
            number = number_of(spec.name)
            self.places[number] = Place(JobWorker(spec, started=-1e9), number)
        self.by_name = {place.worker.spec.name: place for place in self.places.values()}
        assert len(self.places) == len(plan.workers), "two workers of one name"
        make = plan.settings or self._settings
        self.nodes = [
            Node(name, zone, make(place, zone), seed * 1000 + place, self.agenda, self)
            for place, (name, zone) in enumerate(plan.schedulers)
        ]
        self.seen_up = list(self.nodes)  # by the layer ahead
        self.asked: dict[str, Asked] = {}
        self.tries: dict[str, str] = {}  # of a try: its request
        self.pick = self.streams.of("front")
        self.errors = self.streams.of("workers", "noise")
        self.lags = self.streams.of("discovery")
        self.tails = self.streams.of("workers", "tail")
        self.tail = (0.0, 1.0)  # share of attempts that take so many times their work
        self.discovery_up, self.untold = True, set[int]()
        self.attempts = 0
        self.digest = hashlib.blake2b(digest_size=16)  # of everything that happened
        for node in self.nodes:
            node.decide(api.WorkerList("complete", tuple(self.entry(each) for each in self.places.values())))

    def _settings(self, node: int, zone: str) -> api.Settings:
        """Those of a plain deployment with the plan's classes."""
        classes = tuple(
            api.ServiceClass(
                each.name,
                aim=each.aim,
                deadline=each.deadline,
                worth=each.worth,
                effect=each.effect,
                late_worth=each.late_worth,
                stretch=each.stretch,
                window=each.window,
                kind=each.kind,
                priority=each.priority,
            )
            for each in self.plan.classes
        )
        zones = tuple(sorted({each.zone for each in self.plan.workers} | {zone}))
        specs = self.plan.workers
        cold = [each for each in specs if each.cold_ms > 0]
        brands = tuple(
            api.Tenant(each.name, each.allowance) for each in self.plan.brands if each.allowance < 1e9
        )
        return api.Settings(
            classes=classes,
            node=node,
            nodes=len(self.plan.schedulers),
            zone=zone,
            zones=zones,
            cancel=True,
            max_attempts=3,
            max_retry_after=2000.0,
            answer_grace=16.0,
            tells_start=True,
            tick=4.0,
            tenants=brands,
            over_share_worth=0.1 if brands else 1.0,
            probes=True,
            report_fields=("latency", "queue", "free_slots", "free_memory"),
            preempts=any(each.suspends for each in specs),
            cold_from=min((each.cold_from for each in cold), default=1.0),
            cold_ms=max((each.cold_ms for each in cold), default=0.0),
            fall_multiple=min((each.fall_multiple for each in cold if each.fall_multiple < 1e9), default=1.0),
            fall_ms=max((each.fall_ms for each in cold), default=0.0),
        )

    def run(self, until: float) -> None:
        """The day up to this time, in ms; then whatever is under way ends."""
        self._arrive(self.clients.next(), until)
        self.agenda.run(until)
        self.agenda.run(until + max(each.deadline for each in self.plan.classes) + 10_000.0)
        self.check()

    def check(self) -> None:
        """Raises AssertionError where something was lost or made."""
        self.account.check()
        workers = [place.worker for place in self.places.values()]
        self.account.work(
            Work(
                *(sum(getattr(each.worked, name) for each in workers) for name in ("done", "wasted")),
                sum(each.under_way() for each in workers),
                sum(each.worked.withdrawn for each in workers),
                sum(each.still_to_do() for each in workers),
                sum(each.busy for each in workers),
            ),
            self.attempts,
        )

    def _arrive(self, wanted: Wanted, until: float) -> None:
        """Enter a request at its time, and the next one after it."""
        if wanted.at <= until:
            self.agenda.at(wanted.at, self._ask, wanted, until)

    def _ask(self, wanted: Wanted, until: float) -> None:
        self._arrive(self.clients.next(), until)
        self.account.make(wanted.id)
        asked = self.asked[wanted.id] = Asked(wanted)
        asked.patience = self.agenda.after(wanted.patience, self._impatient, wanted.id)
        self._try(wanted.id)

    def _try(self, request: str) -> None:
        asked = self.asked.get(request)
        if asked is None:
            return
        asked.tries += 1
        self.account.move(request, "on its way")
        if not self.seen_up:
            self._over(request, "lost")
            return
        # Clients come to the schedulers of their zone, as long as the layer ahead believes one to be up.
        near = [each for each in self.seen_up if each.zone == asked.wanted.zone] or self.seen_up
        node = asked.node = near[int(self.pick.integers(len(near)))]
        delay = self.network.delay("", node.zone)
        if delay is None:
            self.agenda.after(CONNECT_MS, self._refused, request, asked.tries, 0.0)
        else:
            node.later(delay, self.plan.decision_ms, self._at_node, request, asked.tries, node)

    def _at_node(self, request: str, tries: int, node: Node) -> None:
        asked = self.asked.get(request)
        if asked is None or asked.tries != tries:
            return
        if not node.up:  # nobody listens: the client is told at once, and tries another
            self._refused(request, tries, 0.0)
            return
        wanted = asked.wanted
        self.account.move(request, "scheduler")
        name = f"{request}.{tries}"
        self.tries[name] = request
        node.request(
            api.Request(
                name,
                wanted.cls.name,
                asked.patience.when,
                wanted.brand,
                wanted.slots,
                wanted.cls.memory,
                repeat=tries > 1,
            )
        )

    def answer(self, node: Node, request: str, kind: str, retry_after: float) -> None:
        """The scheduler's answer sets out."""
        name = self.tries.pop(request)
        asked = self.asked.get(name)
        if asked is None:
            return
        self.account.move(name, "answer on its way")
        delay = self.network.delay(node.zone, "")
        if delay is None:
            return  # the client's patience ends it
        self.agenda.after(delay, self._heard, name, asked.tries, kind, retry_after)

    def _heard(self, request: str, tries: int, kind: str, retry_after: float) -> None:
        if kind == "refused":
            self._refused(request, tries, retry_after)
        elif request in self.asked:
            self._over(request, kind)

    def _refused(self, request: str, tries: int, retry_after: float) -> None:
        asked = self.asked.get(request)
        if asked is None or asked.tries != tries:
            return
        retries = self.plan.retries
        wait = retries.delay(
            tries,
            retry_after,
            asked.wanted.heeds < retries.honour,
            float(self.streams.of("clients", "backoff").random()),
        )
        if wait is None or self.agenda.now + wait >= asked.patience.when:
            self._over(request, "refused")
            return
        if self.account.at(request) == "on its way":
            self.account.move(request, "answer on its way")
        self.account.move(request, "waits to retry")
        self.agenda.after(wait, self._try, request)

    def _impatient(self, request: str) -> None:
        """The client's time is over: it leaves, whatever comes afterwards."""
        asked = self.asked.get(request)
        if asked is None:
            return
        if self.account.at(request) == "scheduler":
            name = f"{request}.{asked.tries}"
            self.tries.pop(name, None)
            asked.node.left(name)
        self._over(request, "left")

    def _over(self, request: str, kind: str) -> None:
        asked = self.asked.pop(request)
        asked.patience.strike()
        self.account.move(request, "over")
        wanted, now = asked.wanted, self.agenda.now
        answered = Answered(
            wanted.at,
            wanted.cls.name,
            wanted.brand,
            kind,
            now - wanted.at,
            asked.tries,
            asked.attempts,
            wanted.work,
        )
        self.digest.update(repr((request, answered)).encode())
        self.told(answered)

    def send(self, node: Node, request: str, number: int, worker: int) -> None:
        """A delivery attempt sets out."""
        asked = self.asked.get(self.tries.get(request, ""))
        if asked is not None:
            asked.attempts += 1
        place = self.places.get(worker)
        delay = None if place is None else self.network.delay(node.zone, place.worker.spec.zone)
        if place is None or delay is None or place.state == "gone":
            self.agenda.after(CONNECT_MS, node.ended, request, number, "unreachable")
            return
        wanted = asked.wanted if asked is not None else None
        self.agenda.after(delay, self._at_worker, node, request, number, place, wanted)

    def _at_worker(self, node: Node, request: str, number: int, place: Place, wanted: Wanted | None) -> None:
        key, worker = f"{node.name} {request}#{number}", place.worker
        if wanted is None or (request, number) not in node.out:  # given up on its way
            self._back(node, place, request, number, "cancelled")
            return
        if worker.fallen:
            self._back(node, place, request, number, "unreachable")
            return
        noise, cls = self.plan.load.attempt_noise, wanted.cls
        work = wanted.work * (1.0 if noise <= 0 else float(self.errors.lognormal(-noise * noise / 2, noise)))
        if self.tail[0] > 0 and float(self.tails.random()) < self.tail[0]:
            work *= self.tail[1]
        job = Job(
            key,
            work,
            wanted.slots,
            cls.memory,
            cls.priority,
            cls.effect != "unsafe",
            wanted.at + wanted.patience,
            wanted.key if cls.effect == "keyed" else "",
            cls.window,
        )
        place.attempts[key] = node, request, number
        said = worker.offer(self.agenda.now, job)
        if key in worker.held:
            self.account.work_asked += work
            self.attempts += 1
        if not worker.silent and key in worker.held:
            delay = self.network.delay(worker.spec.zone, node.zone)
            if delay is not None:
                node.later(delay, self.plan.decision_ms, node.accepted, request, number)
        if worker.silent:
            self.agenda.after(TAKEN_MS, self._untaken, place, key, node, request, number)
        self._said(place, said)

    def _untaken(self, place: Place, key: str, node: Node, request: str, number: int) -> None:
        """It said neither yes nor no."""
        place.attempts.pop(key, None)
        node.ended(request, number, "timeout")

    def give_up(self, node: Node, request: str, number: int, worker: int, result: api.Result) -> None:
        """The scheduler gives an attempt up: it has ended once the worker was told."""
        place = self.places.get(worker)
        delay = None if place is None else self.network.delay(node.zone, place.worker.spec.zone)
        if delay is None or place.worker.fallen or place.worker.silent:
            self.agenda.at(self.agenda.now, node.ended, request, number, result)
            if place is not None and not place.worker.fallen:
                self._cancel(f"{node.name} {request}#{number}", place)
            return
        self.agenda.after(delay, self._cancel, f"{node.name} {request}#{number}", place)
        self.agenda.after(2 * delay, node.ended, request, number, result)

    def _cancel(self, key: str, place: Place) -> None:
        place.attempts.pop(key, None)
        if not place.worker.fallen:
            self._said(place, place.worker.cancel(self.agenda.now, key))

    def _wake(self, place: Place) -> None:
        place.wake = None
        self._said(place, place.worker.advance(self.agenda.now))

    def _said(self, place: Place, said: list[Said]) -> None:
        """Pass on what a worker said, and see when it is next due."""
        worker = place.worker
        for each in said:
            entry = place.attempts.get(each.key)
            if entry is None:
                continue
            node, request, number = entry
            if isinstance(each, Began):
                delay = self.network.delay(worker.spec.zone, node.zone)
                if delay is not None:
                    node.later(delay, self.plan.decision_ms, node.began, request, number)
            else:
                del place.attempts[each.key]
                self._back(node, place, request, number, RESULTS[each.result])
        if worker.fallen and place.state != "gone":
            self.fell(place)
        if place.wake is not None:
            place.wake.strike()
            place.wake = None
        due = worker.next_due()
        if due is not None:
            place.wake = self.agenda.at(due, self._wake, place)

    def _back(self, node: Node, place: Place, request: str, number: int, result: api.Result) -> None:
        delay = self.network.delay(place.worker.spec.zone, node.zone)
        if delay is not None:
            node.later(delay, self.plan.decision_ms, node.ended, request, number, result)

    def _report(self, node: Node, place: Place) -> tuple[float, ...]:
        """What it last took note of: a report is up to so old."""
        if self.agenda.now >= place.noted + self.plan.report_ms:
            place.told, place.noted = place.worker.report(), self.agenda.now
        return tuple(place.told.get(name, 0.0) for name in node.settings.report_fields)

    def probe(self, node: Node, worker: int) -> None:
        place = self.places.get(worker)
        delay = None if place is None else self.network.delay(node.zone, place.worker.spec.zone)
        if delay is None or place.worker.fallen or place.worker.silent:
            self.agenda.after(500.0, node.decide, api.ProbeResult(worker, "unreachable", 500.0))
        else:
            self.agenda.after(
                2 * delay, node.decide, api.ProbeResult(worker, "ok", 2 * delay, self._report(node, place))
            )

    def watch(self, node: Node) -> None:
        """Changes are told as they come."""

    def fell(self, place: Place) -> None:
        """A worker is gone with all that it held: who waits for it sees its connections reset."""
        for node, request, number in place.attempts.values():
            self._back(node, place, request, number, "reset")
        place.attempts.clear()
        self.state(place, "gone")

    def state(self, place: Place, state: api.State) -> None:
        """Discovery has news of a worker; each scheduler hears of it after a while of its own."""
        place.state = state
        if not self.discovery_up:
            self.untold.add(place.number)
            return
        for node in self.nodes:
            node.later(
                float(self.lags.uniform(*self.plan.discovery_ms)),
                self.plan.decision_ms,
                node.decide,
                api.WorkerList("partial", (self.entry(place),)),
            )

    def discovery_back(self) -> None:
        """It answers again, and tells what has changed meanwhile."""
        self.discovery_up = True
        for number in sorted(self.untold):
            self.state(self.places[number], self.places[number].state)
        self.untold.clear()

    def heard_of(self, place: Place) -> None:
        """Bring a worker up to the present."""
        if not place.worker.fallen:
            self._said(place, place.worker.advance(self.agenda.now))

    def crash(self, place: Place) -> None:
        """A worker ends without a word."""
        self._said(place, place.worker.crash(self.agenda.now))

    def drain(self, place: Place) -> None:
        """It takes nothing new, and discovery says so."""
        if not place.worker.fallen:
            place.worker.draining = True
            self.state(place, "draining")

    def away(self, place: Place) -> None:
        if not place.worker.fallen:
            self.crash(place)

    def start_again(self, place: Place) -> None:
        if place.worker.fallen:
            self.start(place)

    def join(self, place: Place) -> None:
        """Another worker like this one starts, cold."""
        spec = place.worker.spec._replace(name=f"{place.worker.spec.name}+")
        number = number_of(spec.name)
        new = self.places[number] = Place(JobWorker(spec, self.agenda.now, self.agenda.now), number)
        self.by_name[spec.name] = new
        self.state(new, "healthy")

    def start(self, place: Place) -> None:
        """A worker that was gone is back, cold."""
        place.worker = JobWorker(
            place.worker.spec,
            self.agenda.now,
            self.agenda.now,
            worked=place.worker.worked,
            busy=place.worker.busy,
        )
        self.state(place, "healthy")

    def entry(self, place: Place) -> api.Worker:
        spec = place.worker.spec
        return api.Worker(
            place.number,
            place.state,
            spec.zone,
            spec.cell,
            spec.slots * spec.speed,
            spec.kind,
            max(0.0, place.worker.started),
        )

    def stop_node(self, node: Node) -> None:
        """A scheduler ends without a word."""
        for name in node.stop():
            request = self.tries.pop(name, None)
            if request in self.asked:
                self._over(request, "lost")
        self.agenda.after(self.plan.notice_ms, self._notice, node)

    def start_node(self, name: str) -> None:
        """A scheduler that was stopped starts from nothing, with the list as it last had it."""
        number, old = next((place, each) for place, each in enumerate(self.nodes) if each.name == name)
        if old.up:
            return
        node = self.nodes[number] = Node(
            old.name, old.zone, old.settings, old.seed + 500_000, self.agenda, self
        )
        node.spent_s, node.decided, node.probed = old.spent_s, old.decided, old.probed
        if old in self.seen_up:
            self.seen_up.remove(old)
        self.seen_up.append(node)
        node.decide(api.WorkerList("persisted", tuple(view.entry for view in old.module.views.values())))
        # What it has missed comes with its first look at discovery.
        self.agenda.after(float(self.lags.uniform(*self.plan.discovery_ms)) + 500.0, self._list_all, node)

    def _list_all(self, node: Node) -> None:
        node.decide(
            api.WorkerList(
                "complete", tuple(self.entry(each) for each in self.places.values() if each.state != "gone")
            )
        )

    def _notice(self, node: Node) -> None:
        if node in self.seen_up and not node.up:
            self.seen_up.remove(node)
