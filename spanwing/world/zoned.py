"""The fleet whose schedulers leave and return to zones as one, in simulated time.

Guarantees: the program's own keeper, steward, lease, gate and witness decide; what is the model's is the way
of the messages, which take the network's time and are lost where it is cut. The document is changed at one
moment, and a member that ends is followed by another TAKEN_OVER_MS later. The same plan and seed give the
same world."""

from __future__ import annotations

import math
import random
from typing import Any

import msgspec

from spanwing import interface as api
from spanwing.store.document import Document, caught_up
from spanwing.store.keeper import KEEPER, Keeper, Keeps
from spanwing.store.lease import Lease
from spanwing.store.messages import Granted, Renew
from spanwing.world.fleet import Fleet
from spanwing.world.node import Node
from spanwing.zones import trial
from spanwing.zones.gate import ON_ITS_WAY_MS, Rules
from spanwing.zones.local import Local
from spanwing.zones.solo import TURN_MS as SOLO_MS
from spanwing.zones.solo import Solo
from spanwing.zones.state import read
from spanwing.zones.steward import Bounds, Listed, Steward
from spanwing.zones.strand import Stranded

LEASE_MS, MEMBERS = 2000.0, 3
TURN_MS, TAKEN_OVER_MS, TICK_MS, STRANDED_MS = 25.0, 1500.0, 50.0, 250.0
LOOK_MS = 1000.0
GAP_MS, ANSWER_MS, TELL_MS, RECALL_MS = 100.0, 1200.0, 100.0, 1000.0


class Follower:
    """One scheduler's side of it, in one life."""

    def __init__(self, fleet: ZonedFleet, node: Node, life: int) -> None:
        self.fleet, self.node, self.agenda = fleet, node, fleet.agenda
        settings = node.settings
        self.session, self.position = f"{node.name}.{life}", settings.node
        self.random = random.Random(node.seed)
        rules = Rules(self.session, node.zone, settings.cold_ms, settings.fall_ms, node.module.feeders)
        self.local = Local(rules, settings.node, settings.nodes, node.module.feeds, self.random)
        self.lease, self.document = Lease(), Document()
        self.renewals = self.heard = 0
        self.held, self.next_ms, self.stranded_at = False, math.inf, 0.0
        node.watch = self
        self.agenda.after(self.random.uniform(0, GAP_MS), self._renew)
        self.agenda.after(TICK_MS, self._tick)
        self.agenda.after(self.random.uniform(0, 1000.0), self._around)

    # -- what the node asks and tells

    def may(self, worker: int) -> bool:
        now = self.agenda.now
        return self.local.gate.may(worker, now, self.lease.valid(now), now)

    def screen(self, news: api.WorkerList) -> api.WorkerList:
        now = self.agenda.now
        return self.local.screen(news, now, now, self.lease.valid(now))

    def sent(self, worker: int, job: tuple[str, int]) -> None:
        self.local.sent(self.agenda.now, worker, job)

    def accepted(self, worker: int, job: tuple[str, int]) -> None:
        self.local.witness.answered(self.agenda.now, worker, job)

    def ended(self, worker: int, job: tuple[str, int], result: str) -> None:
        self._ask(self.local.ended(self.agenda.now, worker, job, result))

    def probed(self, worker: int, result: str) -> None:
        self._ask(self.local.probed(self.agenda.now, worker, result))

    def _ask(self, workers: list[int]) -> None:
        for each in workers:
            self.node.probe(each)
        if workers:
            self.agenda.after(TELL_MS, self._renew)

    # -- messages

    def _renew(self) -> None:
        if not self.node.up:
            return
        self.renewals += 1
        n, now, module = self.renewals, self.agenda.now, self.node.module
        self.lease.ask(n, now)
        payload = msgspec.json.encode(self.local.report(now, module.views.values(), now))
        message = Renew(
            n, self.session, self.node.zone, self.position, self.document.revision, msgspec.Raw(payload)
        )
        self.fleet.renewal(self, message, len(payload))
        self.agenda.after(ANSWER_MS, self._unanswered, n)

    def _unanswered(self, n: int) -> None:
        if self.heard < n == self.renewals:
            self._renew()

    def hear(self, granted: Granted) -> None:
        if not self.node.up:
            return
        before = self.document
        self.document = caught_up(before, granted.changes, granted.whole)
        self.lease.granted(granted.n, granted.lease_ms)
        if self.document is not before:
            self._changed()
        if granted.look:
            self._ask(self.local.look(granted.look))
            now = self.agenda.now
            trial.begin(self.node.module, self.local.tries(now, granted.look), now)
        if granted.n == self.renewals and granted.n > self.heard:
            self.heard = granted.n
            self.agenda.after(GAP_MS, self._renew)

    # -- news

    def _changed(self) -> None:
        before, fleet, now = self.local.fleet, read(self.document), self.agenda.now
        self.local.gate.follow(fleet, now, now)
        self._retell()
        for name, zone in fleet.zones.items():
            if zone.state == "leaving" and (before is None or before.zone(name).state != "leaving"):
                for (request, number), out in self.node.out.items():
                    entry = self.local.gate.workers.get(out.worker)
                    if entry is not None and entry.zone == name and not self.may(out.worker):
                        wait = self.random.uniform(0.0, RECALL_MS)
                        self.agenda.after(wait, self.node.recall, request, number)

    def _retell(self) -> None:
        now = self.agenda.now
        self.held, self.next_ms = self.lease.valid(now), self.local.gate.next_change(now)
        changed = self.local.news(now, self.held)
        if changed:
            self.node.handle(api.WorkerList("partial", tuple(changed)))
            self.local.prove(self.node.module)

    def _tick(self) -> None:
        if not self.node.up:
            return
        now = self.agenda.now
        if self.lease.valid(now) != self.held or now >= self.next_ms:
            self._retell()
        if self.held and now >= self.stranded_at + STRANDED_MS:
            self.stranded_at = now
            for name in self.local.shut():
                self.node.handle(Stranded(name))
        self.agenda.after(TICK_MS, self._tick)

    def _around(self) -> None:
        if self.node.up:
            for worker in self.local.ask_around():
                self.node.probe(worker)
            self.agenda.after(self.random.uniform(800.0, 1200.0), self._around)


class SoloFollower(Follower):
    """One scheduler that judges by its own evidence alone."""

    def __init__(self, fleet: SoloFleet, node: Node, life: int) -> None:
        settings = node.settings
        bounds = Bounds(settings.fall_ms + ON_ITS_WAY_MS, settings.cold_ms, 1, fleet.regions, sampled=True)
        mind = Steward(
            bounds, self._listing, lambda: self.agenda.now, node.name, lambda: f"{self.random.random()}"
        )
        super().__init__(fleet, node, life)
        self.local.gate.rules = self.local.rules = self.local.rules._replace(solo=True)
        self.solo = Solo(self.session, node.zone, mind, self.agenda.now)
        self.lease = self.solo.lease

    def _listing(self) -> dict[str, list[Listed]]:
        return listing(self.local, self.agenda.now, self.node.settings.cold_ms)

    def _renew(self) -> None:
        if not self.node.up:
            return
        now, module = self.agenda.now, self.node.module
        report = msgspec.json.encode(self.local.report(now, module.views.values(), now))
        before = read(self.document)
        if self.solo.turn(now, report):
            self.document = self.solo.document
            self.fleet.note(now, before, read(self.document))
            self._changed()
        if self.solo.look:
            self._ask(self.local.look(self.solo.look))
        self.agenda.after(SOLO_MS, self._renew)

    def _ask(self, workers: list[int]) -> None:
        for each in workers:
            self.node.probe(each)


def listing(local: Local, now: float, cold_ms: float) -> dict[str, list[Listed]]:
    """The list of job workers as a scheduler's steward has it."""
    found: dict[str, list[Listed]] = {}
    for each in local.gate.workers.values():
        cold = each.started > 0 and now < each.started + cold_ms
        found.setdefault(each.zone, []).append(Listed(each.id, each.started, cold))
    return found


class JoinedFleet(Fleet):
    """A fleet each of whose schedulers has a side of its own in each life."""

    def _join(self, node: Node) -> None:
        raise NotImplementedError

    def start_node(self, name: str) -> None:
        before = next(each for each in self.nodes if each.name == name)
        super().start_node(name)
        node = next(each for each in self.nodes if each.name == name)
        if node is not before:
            self._join(node)


class SoloFleet(JoinedFleet):
    """A fleet whose schedulers leave and return to zones each by itself."""

    def __init__(self, *given: Any, regions: dict[str, tuple[str, ...]] | None = None, **more: Any) -> None:
        super().__init__(*given, **more)
        self.regions, self.lives = regions or {}, 0
        self.changes: list[tuple[float, str, str, str]] = []  # when, zone, state, reason; of any scheduler
        for node in self.nodes:
            self._join(node)

    def _join(self, node: Node) -> None:
        self.lives += 1
        SoloFollower(self, node, self.lives)
        node.decide(api.WorkerList("persisted", tuple(view.entry for view in node.module.views.values())))

    def note(self, now: float, before: Any, after: Any) -> None:
        self.changes += changes(now, before, after)


def changes(now: float, before: Any, after: Any) -> list[tuple[float, str, str, str]]:
    return [
        (now, name, zone.state, zone.reason)
        for name, zone in after.zones.items()
        if before.zone(name) != zone
    ]


class ZonedFleet(JoinedFleet):
    """A fleet with a keeper."""

    def __init__(self, *given: Any, regions: dict[str, tuple[str, ...]] | None = None, **more: Any) -> None:
        super().__init__(*given, **more)
        self.regions, self.document, self.lives = regions or {}, Document(), 0
        self.bytes = self.messages = 0  # of renewals
        self.changes: list[tuple[float, str, str, str]] = []  # when, zone, state, reason
        self.draw = random.Random(self.nodes[0].seed + 1)
        self.followers: dict[str, Follower] = {}
        self.minds: dict[str, Steward] = {}
        for node in self.nodes:
            self._join(node)
        self.keeper: Keeper | None = None
        self.at = ""  # the member that keeps
        self.minds = {each.name: self._mind(each) for each in self.nodes[:MEMBERS]}
        self._look()
        self._keep()

    def _join(self, node: Node) -> None:
        self.lives += 1
        self.followers[node.name] = Follower(self, node, self.lives)
        if node.name in self.minds:
            self.minds[node.name] = self._mind(node)
        node.decide(api.WorkerList("persisted", tuple(view.entry for view in node.module.views.values())))

    def _mind(self, node: Node) -> Steward:
        settings, name = node.settings, node.name
        bounds = Bounds(settings.fall_ms + ON_ITS_WAY_MS, settings.cold_ms, settings.nodes, self.regions)
        return Steward(
            bounds,
            lambda: self._listing(name),
            lambda: self.agenda.now,
            name,
            lambda: f"{self.draw.random()}",
        )

    def _look(self) -> None:
        """Every member that is up keeps the list in mind."""
        for node in self.nodes[:MEMBERS]:
            if node.up:
                self.minds[node.name].look(self.agenda.now)
        self.agenda.after(LOOK_MS, self._look)

    def _member(self) -> Node | None:
        return next((each for each in self.nodes[:MEMBERS] if each.up), None)

    def _keep(self) -> None:
        """Some member that is up keeps from now on."""
        node, now = self._member(), self.agenda.now
        if node is None:
            self.agenda.after(TAKEN_OVER_MS, self._keep)
            return
        self.at = node.name
        self.keeper = Keeper(node.name, LEASE_MS, self.minds[node.name], now, self.draw.random)
        mine = msgspec.json.encode(Keeps(node.name, self.document.revision)).decode()
        txn = self.keeper.take_over(now, f"{self.draw.random()}")
        self.document = self.document.apply(msgspec.structs.replace(txn, writes={KEEPER: mine}, at={}))
        self.keeper.changed(now, self.document)
        self._turn(node)

    def _turn(self, node: Node) -> None:
        now = self.agenda.now
        if not node.up:
            self.keeper = None
            self.agenda.after(TAKEN_OVER_MS, self._keep)
            return
        keeper = self.keeper
        keeper.read(now, now, self.document)
        txn = keeper.mind.decide(now, self.document, keeper)
        if txn is not None:
            before, self.document = read(self.document), self.document.apply(txn)
            self.changes += changes(now, before, read(self.document))
            keeper.changed(now, self.document)
        keeper.due(now)
        self.agenda.after(TURN_MS, self._turn, node)

    def _listing(self, name: str) -> dict[str, list[Listed]]:
        follower = self.followers[name]
        return listing(follower.local, self.agenda.now, follower.node.settings.cold_ms)

    def renewal(self, follower: Follower, message: Renew, size: int) -> None:
        """It sets out to the keeper, and is answered by it."""
        self.messages, self.bytes = self.messages + 1, self.bytes + size
        keeper = self.keeper
        zone = self.followers[self.at].node.zone if keeper is not None else ""
        delay = None if keeper is None else self.network.delay(follower.node.zone, zone)
        if delay is None:
            return

        def answer(granted: Granted) -> None:
            back = self.network.delay(zone, follower.node.zone)
            if back is not None:
                self.agenda.after(back, follower.hear, granted)

        def come() -> None:
            if self.keeper is keeper:
                keeper.renew(self.agenda.now, message, answer)

        self.agenda.after(delay, come)
