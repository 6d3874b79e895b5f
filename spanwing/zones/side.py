"""The fleet's zones in the daemon: follower, gate and witness around the core; at a member also the keeper.

Guarantees: nothing in the core waits for it; the core asks may() of one local structure. What changes is told
to the module as news of job workers, and as one event a zone. Probes: one worker of an open zone a second; at
a zone that is not open, PROBERS a worker and second over the whole fleet; on bad news of an open one, five a
SUSPECT_MS at most, and as many when the keeper asks, with one job on trial for each zone that it asks about.
What waits at a zone that is left is called back within RECALL_S, at random."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import Any, Protocol

import msgspec
from tornado.gen import sleep
from tornado.ioloop import IOLoop

from spanwing import interface as api
from spanwing.actor import spawn
from spanwing.core.exchange import Exchange
from spanwing.log import tell
from spanwing.store.document import Document
from spanwing.store.follower import Follower
from spanwing.store.lease import clock_ms
from spanwing.store.messages import Done
from spanwing.store.peer import PeerListener
from spanwing.store.service import FleetService
from spanwing.store.store import Store
from spanwing.wire.address import Address
from spanwing.wire.buffers import BufferPool
from spanwing.zones import trial
from spanwing.zones.gate import ON_ITS_WAY_MS, Rules
from spanwing.zones.local import Local
from spanwing.zones.solo import TURN_MS, Solo
from spanwing.zones.state import STEPS, Zone, read
from spanwing.zones.steward import Bounds, Listed, Order, Steward
from spanwing.zones.strand import Stranded

TICK_S = 0.05
RECALL_S = 1.0
STRANDED_S = 0.25
TELL_S = 0.1  # after a look


class Wanted(Protocol):
    """The operator's table, checked; with no members each acts alone."""

    members: dict[str, Address]
    regions: dict[str, tuple[str, ...]]
    lease_ms: float


class Contact(Protocol):
    """Whoever follows the fleet's document already, before the core is there."""

    follower: Follower
    service: FleetService | None
    look: Callable[[tuple[str, ...]], None]
    also: Callable[[Document], None]  # hears of each change
    began: list[Callable[[api.Settings], None]]  # hear of each policy that takes hold here


class Alone:
    """Stands where a follower would, for a scheduler that follows nobody."""

    by, why = "itself", ""

    def __init__(
        self,
        solo: Solo,
        brings: Callable[[], bytes],
        changed: Callable[[Document], None],
        look: Callable[[tuple[str, ...]], None],
    ) -> None:
        self.solo, self.brings, self.changed, self.look = solo, brings, changed, look
        self.session, self.lease = solo.session, solo.lease

    @property
    def document(self) -> Document:
        return self.solo.document

    def urge(self) -> None:
        """What is seen is judged at each turn anyway."""

    async def order(self, order: Order) -> Done:
        try:
            text = self.solo.order(clock_ms(), order)
        except ValueError as error:
            return Done(0, False, str(error))
        self.changed(self.document)
        return Done(0, True, text)

    async def run(self) -> None:
        while True:
            await sleep(TURN_MS / 1000.0)
            if self.solo.turn(clock_ms(), self.brings()):
                self.changed(self.document)
            if self.solo.look:
                self.look(self.solo.look)


class ZoneSide:
    """One scheduler's part in the fleet's zones."""

    def __init__(
        self,
        name: str,
        wanted: Wanted,
        core: Exchange,
        buffers: BufferPool,
        seed: int,
        contact: Contact | None = None,
    ) -> None:
        """contact: a follower that is there already, with what else hears by it."""
        settings = core.settings
        self.name, self.wanted, self.core, self.random = name, wanted, core, random.Random(seed)
        self.held: bool | None = None  # whether we held a lease when we last told the module
        self.next_ms = float("inf")
        self.service: FleetService | None = None

        def look(zones: tuple[str, ...]) -> None:
            self._ask(self.local.look(zones))
            trial.begin(self.core.module, self.local.tries(clock_ms(), zones), self.core.clock.now())

        self.contact = contact
        if contact is not None:
            self.follower = contact.follower
            self.follower.brings, contact.look, contact.also = self._brings, look, self._changed
            contact.began.append(self._began)
        elif wanted.members:
            self.follower = Follower(
                name, settings.zone, settings.node, wanted.members, buffers, self._brings, self._changed, look
            )
        else:
            mind = self._steward(name)
            self.follower = Alone(
                Solo(name, settings.zone, mind, clock_ms()), self._brings, self._changed, look
            )
        rules = Rules(
            self.follower.session,
            settings.zone,
            settings.cold_ms,
            settings.fall_ms,
            core.module.feeders,
            not wanted.members,
        )
        self.local = Local(
            rules, settings.node, settings.nodes, lambda worker: core.module.feeds(worker), self.random
        )
        core.zones = self
        if contact is not None and self.follower.document.revision:
            self._changed(self.follower.document)

    def serve(self, store: Store, listener: PeerListener) -> None:
        """We are a member of the store: keep, when it is our turn."""
        steward = self._steward(store.member)
        if self.contact is not None:
            self.service = self.contact.service
            self.service.mind.join(steward)
        else:
            self.service = FleetService(store, listener, steward, self.wanted.lease_ms)

    def _steward(self, author: str) -> Steward:
        settings, together = self.core.settings, bool(self.wanted.members)
        bounds = Bounds(
            settings.fall_ms + ON_ITS_WAY_MS,
            settings.cold_ms,
            settings.nodes if together else 1,
            self.wanted.regions,
            settings.probes,
            not together,
        )
        return Steward(bounds, self._listing, lambda: time.time() * 1000.0, author)

    def start(self) -> None:
        if self.contact is None:
            spawn(self.follower.run())
            if self.service is not None:
                spawn(self.service.run())
        spawn(self._tick())
        if self.core.settings.probes:
            spawn(self._probe())

    # -- what the core asks and tells

    def may(self, worker: int) -> bool:
        """Whether a job may be sent there now: asked before it is handed on, and again before its last
        byte."""
        now = clock_ms()
        return self.local.gate.may(worker, now, self.follower.lease.valid(now), self.core.clock.now())

    def screen(self, news: api.WorkerList) -> api.WorkerList:
        """News of job workers as the module is to have them."""
        now = clock_ms()
        self.held = self.follower.lease.valid(now)
        return self.local.screen(news, now, self.core.clock.now(), self.held)

    def sent(self, worker: int, job: tuple[str, int]) -> None:
        self.local.sent(clock_ms(), worker, job)

    def accepted(self, worker: int, job: tuple[str, int]) -> None:
        self.local.witness.answered(clock_ms(), worker, job)

    def ended(self, worker: int, job: tuple[str, int], result: str) -> None:
        self._ask(self.local.ended(clock_ms(), worker, job, result))

    def probed(self, worker: int, result: str) -> None:
        self._ask(self.local.probed(clock_ms(), worker, result))

    def _ask(self, workers: list[int]) -> None:
        """Ask these for a sign of life, and tell what came of it."""
        if not workers:
            return
        if self.core.settings.probes:
            for each in workers:
                self.core.probe(each)
        IOLoop.current().call_later(TELL_S, self.follower.urge)

    # -- news

    def _changed(self, document: Document) -> None:
        """The fleet's state is another; the change is acknowledged once we return."""
        before, fleet = self.local.fleet, read(document)
        self.local.gate.follow(fleet, clock_ms(), self.core.clock.now())
        self._retell()
        for name, zone in fleet.zones.items():
            old = before.zone(name) if before is not None else Zone()
            if zone == old:
                continue
            tell(
                "zone",
                bounded=False,
                zone=name,
                state=zone.state,
                step=zone.step,
                held=zone.held,
                number=fleet.numbers[name],
                reason=zone.reason,
                author=zone.author,
            )
            if zone.state == "leaving" and old.state != "leaving":
                self._recall(name)
        for key in fleet.unread:
            tell("zones_unread", level="error", key=key)

    def _began(self, settings: api.Settings) -> None:
        """Another policy: what cold workers bear, and who feeds them."""
        rules = self.local.rules._replace(
            cold_ms=settings.cold_ms, fall_ms=settings.fall_ms, feeders=self.core.module.feeders
        )
        self.local.rules = self.local.gate.rules = rules
        self.local.fed.clear()
        self._retell()

    def _retell(self) -> None:
        now = clock_ms()
        self.held = self.follower.lease.valid(now)
        self.next_ms = self.local.gate.next_change(now)
        changed = self.local.news(now, self.held)
        if changed:
            self.core.tell(api.WorkerList("partial", tuple(changed)))
            self.local.prove(self.core.module)

    async def _tick(self) -> None:
        """What changes without news: our lease ends or is back, feeding begins."""
        loop = IOLoop.current()
        told, stranded_at = None, 0.0
        while True:
            await sleep(TICK_S)
            now = clock_ms()
            valid = self.follower.lease.valid(now)
            if valid != told:
                told = valid
                tell("zones_contact", contact=valid, reason="" if valid else self.follower.why)
            if valid != self.held or now >= self.next_ms:
                self._retell()
            if valid and loop.time() >= stranded_at + STRANDED_S:
                stranded_at = loop.time()
                for name in self.local.shut():
                    self.core.tell(Stranded(name))

    def _recall(self, zone: str) -> None:
        """What may be repeated anywhere is called back from the zone, all schedulers' work spread over a
        time."""
        loop = IOLoop.current()
        for (request, number), out in list(self.core.out.items()):
            entry = self.local.gate.workers.get(out.worker)
            if entry is not None and entry.zone == zone and not self.may(out.worker):
                loop.call_later(self.random.uniform(0.0, RECALL_S), self.core.recall, request, number)

    # -- evidence

    def _brings(self) -> bytes:
        module = self.core.module
        return msgspec.json.encode(self.local.report(clock_ms(), module.views.values(), module.now))

    async def _probe(self) -> None:
        while True:
            await sleep(self.random.uniform(0.8, 1.2))
            for worker in self.local.ask_around():
                self.core.probe(worker)

    def _listing(self) -> dict[str, list[Listed]]:
        """Our own list, for the keeper."""
        found: dict[str, list[Listed]] = {}
        now, cold_ms = self.core.clock.now(), self.core.settings.cold_ms
        for each in self.local.gate.workers.values():
            cold = each.started > 0 and now < each.started + cold_ms
            found.setdefault(each.zone, []).append(Listed(each.id, each.started, cold))
        return found

    # -- orders and status

    async def order(self, do: str, name: str, over_s: float) -> str:
        """An operator's order; what came of it. Raises ValueError with what is wrong."""
        done = await self.follower.order(Order(do, name, over_s, f"operator at {self.name}"))
        if not done.ok:
            raise ValueError(done.text)
        return done.text

    def status(self) -> dict[str, Any]:
        """Everything that is known here of the fleet's zones."""
        fleet, valid = self.local.fleet or read(Document()), self.follower.lease.valid(clock_ms())
        words = self.local.witness.words(clock_ms())
        ids = self.local.gate.zones()
        zones = {}
        for name in sorted({*ids, *fleet.zones}):
            zone = fleet.zone(name)
            seen = words.get(name)
            zones[name] = {
                "state": zone.state,
                "step": zone.step,
                "steps": STEPS,
                "held": zone.held,
                "share": zone.share,
                "inside": zone.inside,
                "number": fleet.numbers.get(name, 0),
                "reason": zone.reason,
                "author": zone.author,
                "failures": zone.failures,
                "workers": len(ids.get(name, ())),
                "seen_good": len(seen.good) if seen else 0,
                "seen_bad": len(seen.bad) if seen else 0,
                "used": sum(self.may(each) for each in ids.get(name, ())),
            }
        deal = fleet.deal
        refused = self.service.keeper.refused if self.service is not None else 0
        return {
            "refused": refused,
            "contact": valid,
            "by": self.follower.by,
            "why": self.follower.why,
            "revision": self.follower.document.revision,
            "session": self.follower.session,
            "zones": zones,
            "regions": {name: list(each) for name, each in self.wanted.regions.items()},
            "deal": None
            if deal is None
            else {"number": deal.number, "in_force": deal.in_force, "sessions": len(deal.sessions)},
        }

    def history(self) -> list[dict[str, Any]]:
        past = self.local.fleet.past if self.local.fleet is not None else []
        return [msgspec.structs.asdict(each) for each in past]
