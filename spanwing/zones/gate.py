"""Which job workers this scheduler may use now: the one local structure that the hot path reads.

Guarantees: pure, time passed in; may() takes no time that grows with the fleet. Without a valid lease the
last state is not acted on: it acts alone, and with that never as one of the dealt feeders
(docs/design/zones.md has the proof that all schedulers together stay within a cold worker's budget). Bounds:
one Use for each listed worker.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from typing import NamedTuple

from spanwing import interface as api
from spanwing.zones.evidence import short
from spanwing.zones.state import STEPS, Fleet, Zone, feeders_of, rank

ON_ITS_WAY_MS = 2500.0  # a job that a worker neither takes nor turns down within this is given up


class Rules(NamedTuple):
    """Of the settings, what cold workers bear, and our place among the schedulers."""

    session: str
    zone: str
    cold_ms: float
    fall_ms: float
    feeders: int  # of one cold worker
    solo: bool = False  # the state is our own: nobody deals, cold workers are fed as the module has it

    def wait_ms(self) -> float:
        """Until whoever fed before has surely spent nothing within a window."""
        return self.fall_ms + ON_ITS_WAY_MS


class Use(NamedTuple):
    """Of one worker: with a lease, and alone."""

    admit: bool = True
    feeds: bool | None = None  # it while it is cold; None: as the module has it
    from_ms: float = -math.inf  # by the lease's clock: feeding begins
    full_ms: float = -math.inf  # and until this, it does so with half its share
    alone: bool = True
    alone_feeds: bool = False
    started: float = 0.0  # by the module's clock, as the fleet has it; 0: long ago


class Gate:
    """Follows the fleet's state and the list of job workers."""

    def __init__(self, rules: Rules, first: Callable[[int], bool]) -> None:
        """first: whether we are the first of all positions, by hash, for a worker."""
        self.rules, self.first = rules, first
        self.fleet: Fleet | None = None
        self.workers: dict[int, api.Worker] = {}
        self.uses: dict[int, Use] = {}
        self.ready: dict[int, float] = {}  # workers that are dealt to us, and when we begin to feed each
        self.begun: dict[str, tuple[float, float]] = {}  # zones that return: when we heard, by both clocks

    def listed(self, news: api.WorkerList, now: float, clock: float) -> None:
        if news.scope == "error":
            return
        if news.scope != "partial":
            self.workers = {}
        self.workers.update((each.id, each) for each in news.workers)
        for each in [each for each in self.workers.values() if each.state == "gone"]:
            del self.workers[each.id]
        self._all(now)

    def follow(self, fleet: Fleet, now: float, clock: float) -> None:
        """The state has changed; now: by the lease's clock, clock: by the module's."""
        self.fleet = fleet
        self.begun = {
            name: self.begun.get(name, (now, clock))
            for name, zone in fleet.zones.items()
            if zone.state == "returning"
        }
        self._all(now)

    def zones(self) -> dict[str, list[int]]:
        """The listed workers of each zone, in the order in which they are admitted."""
        found: dict[str, list[int]] = {}
        for each in self.workers.values():
            found.setdefault(each.zone, []).append(each.id)
        return {zone: rank(ids) for zone, ids in found.items()}

    def _all(self, now: float) -> None:
        uses: dict[int, Use] = {}
        dealt: set[int] = set()
        for name, ids in self.zones().items():
            zone = self.fleet.zone(name) if self.fleet is not None else Zone()
            admitted = set(ids[: admits(zone, len(ids), name == self.rules.zone)])
            for worker in ids:
                uses[worker] = self._use(zone, self.workers[worker], worker in admitted, dealt, now)
        self.ready = {worker: at for worker, at in self.ready.items() if worker in dealt}
        self.uses = uses

    def _use(self, zone: Zone, worker: api.Worker, admit: bool, dealt: set[int], now: float) -> Use:
        rules = self.rules
        first = self.first(worker.id)
        # With one feeder its part is all that is dealt, and another one's would go beyond the budget.
        alone_feeds = first and rules.feeders > 1
        if rules.solo:
            return Use(admit, alone=admit, alone_feeds=True, started=worker.started)
        if zone.state == "open":
            return Use(True, None, alone=True, alone_feeds=alone_feeds, started=worker.started)
        alone = first and not (zone.held and zone.state != "returning")
        feeds, from_ms, full_ms, started = False, -math.inf, -math.inf, worker.started
        if zone.state == "returning":
            # The list may be late here or there: what the fleet knows of a new life counts for all.
            heard, begun = self.begun[worker.zone]
            told = zone.starts.get(str(short(worker.id)), begun)
            started = max(started, told)
            if self._deals(worker.id, now):
                dealt.add(worker.id)
                # Until then, whoever fed by the hash of all positions may have spent within a window.
                feeds, from_ms, full_ms = True, self.ready[worker.id], heard + rules.wait_ms()
        return Use(admit, feeds, from_ms, full_ms, alone, alone and alone_feeds, started)

    def _deals(self, worker: int, now: float) -> bool:
        """Whether the deal makes us feed this worker, from self.ready[worker] on."""
        deal, rules = self.fleet.deal, self.rules
        if deal is None or rules.session not in feeders_of(worker, deal.sessions, rules.feeders):
            return False
        if worker not in self.ready or self.ready[worker] == math.inf:
            # Who is new waits until whoever fed before has stopped, and what that one sent has aged.
            wait = rules.wait_ms() if deal.before else 0.0
            self.ready[worker] = now + wait if deal.in_force else math.inf
        return True

    def may(self, worker: int, now: float, lease: bool, clock: float) -> bool:
        """Whether a job may go there; now: by the lease's clock, clock: by the module's."""
        use = self.uses.get(worker)
        if use is None:
            return True  # not listed here: the core ends such an attempt itself
        if not (use.admit if lease else use.alone):
            return False
        if use.started <= 0 or clock >= use.started + self.rules.cold_ms:
            return True
        if not lease:
            return use.alone_feeds
        return use.feeds is None or (use.feeds and now >= use.from_ms)

    def screened(
        self, workers: Iterable[api.Worker], now: float, lease: bool, feeds: Callable[[int], bool]
    ) -> tuple[api.Worker, ...]:
        """The workers as the module is to see them; feeds: whether we feed one by the hash of all
        positions."""
        found = []
        for each in workers:
            use = self.uses.get(each.id)
            if use is None:
                found.append(each)
                continue
            if not (use.admit if lease else use.alone) and each.state == "healthy":
                each = each._replace(state="draining")
            if not lease:
                feeder = float(use.alone_feeds)
            elif use.feeds is None:
                feeder = float(feeds(each.id))
            else:
                feeder = 0.0 if not use.feeds or now < use.from_ms else 0.5 if now < use.full_ms else 1.0
            found.append(each._replace(feeder=feeder, started=use.started))
        return tuple(found)

    def next_change(self, now: float) -> float:
        """When feeding next begins by itself, by the lease's clock."""
        return min(
            (at for use in self.uses.values() if use.feeds for at in (use.from_ms, use.full_ms) if now < at),
            default=math.inf,
        )


def admits(zone: Zone, workers: int, own: bool) -> int:
    """How many of a zone's workers are in use, the first by rank."""
    if zone.state == "open" or (zone.inside and own):
        return workers
    share = zone.step / STEPS if zone.state == "returning" else zone.share
    return math.ceil(share * workers - 1e-9)
