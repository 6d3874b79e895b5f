"""What one scheduler does about the fleet's zones, without its I/O: gate and witness, whom to ask, what to
tell.

Guarantees: pure, time passed in (now: by the lease's clock, clock: by the module's). The module hears of
every change of what it may use, and of none twice. Bounds: of the gate and the witness; one look a SUSPECT_MS
on bad news of our own.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable, Iterator
from heapq import nlargest

from spanwing import interface as api
from spanwing.choice import Dispatcher
from spanwing.state import View, mix
from spanwing.zones.evidence import SUSPECT_MS, Report, Witness, suspects
from spanwing.zones.gate import Gate, Rules
from spanwing.zones.state import Fleet

SOLO_ASKS = 4  # workers of such a zone that one scheduler asks a second where all act alone
PROBERS = 3.0  # a worker of a zone that is not open is asked so often a second, by all schedulers together


class Local:
    """One scheduler's part."""

    def __init__(
        self, rules: Rules, node: int, nodes: int, feeds: Callable[[int], bool], draw: random.Random
    ) -> None:
        """feeds: whether we feed a worker by the hash of all positions."""
        self.rules, self.node, self.nodes, self.feeds, self.random = rules, node, nodes, feeds, draw
        self.gate, self.witness = Gate(rules, lambda worker: self._first(worker) == node), Witness(rules.zone)
        self.firsts: dict[int, int] = {}
        self.fed: dict[int, bool] = {}
        self.told: dict[int, api.Worker] = {}  # as the module has them
        self.admitted: set[int] = set()  # since prove() was last called
        self.suspected = -math.inf
        self.suspect_zones: frozenset[str] = frozenset()  # that we looked at last on bad news
        self.around: set[int] = set()  # workers of open zones that were asked without any news

    @property
    def fleet(self) -> Fleet | None:
        return self.gate.fleet

    def is_open(self, zone: str) -> bool:
        return self.fleet is None or self.fleet.zone(zone).state == "open"

    # -- job workers as the module has them

    def screen(self, news: api.WorkerList, now: float, clock: float, lease: bool) -> api.WorkerList:
        """News of job workers as the module is to have them."""
        self.gate.listed(news, now, clock)
        if news.scope == "error":
            return news
        if news.scope != "partial":
            self.told.clear()
        gone = [each for each in news.workers if each.state == "gone"]
        for each in gone:
            self.told.pop(each.id, None)
        return api.WorkerList(news.scope, (*self.news(now, lease), *gone))

    def news(self, now: float, lease: bool) -> list[api.Worker]:
        """The workers that the module has otherwise than they are now."""
        seen = self.gate.screened(self.gate.workers.values(), now, lease, self._feeds)
        changed = [each for each in seen if self.told.get(each.id) != each]
        for each in changed:
            before = self.told.get(each.id)
            tried = self.fleet is not None and self.fleet.zone(each.zone).step == 1
            if tried and each.state == "healthy" and before is not None and before.state != "healthy":
                self.admitted.add(each.id)
        self.told.update((each.id, each) for each in changed)
        return changed

    def prove(self, module: Dispatcher) -> None:
        """Have workers that are used again prove themselves on a job that may be repeated, as after a rest;
        called once the module has heard of them."""
        for worker in self.admitted:
            view = module.views.get(worker)
            if view is not None and view.entry.state == "healthy":
                view.limit = 1.0
        self.admitted.clear()

    def _feeds(self, worker: int) -> bool:
        if worker not in self.fed:
            if len(self.fed) > 2 * len(self.gate.workers) + 64:
                self.fed.clear()
            self.fed[worker] = self.feeds(worker)
        return self.fed[worker]

    def _first(self, worker: int) -> int:
        if worker not in self.firsts:
            if len(self.firsts) > 2 * len(self.gate.workers) + 64:
                self.firsts.clear()
            self.firsts[worker] = nlargest(1, range(self.nodes), key=lambda node: mix(worker, node))[0]
        return self.firsts[worker]

    def shut(self) -> Iterator[str]:
        """Zones that we may send nothing to, with a lease."""
        for name, zone in self.fleet.zones.items() if self.fleet is not None else ():
            inside = zone.inside and name == self.rules.zone
            if zone.state in ("leaving", "left") and zone.share <= 0 and not inside:
                yield name

    # -- evidence

    def sent(self, now: float, worker: int, job: tuple[str, int]) -> None:
        entry = self.gate.workers.get(worker)
        if entry is not None:
            self.witness.sent(now, worker, entry.zone, job)

    def ended(self, now: float, worker: int, job: tuple[str, int], result: str) -> list[int]:
        """How a job ended; whom to ask about it."""
        return self._suspect(now, worker) if self.witness.ended(now, worker, job, result) else []

    def probed(self, now: float, worker: int, result: str) -> list[int]:
        """How a probe ended; whom to ask about it."""
        entry = self.gate.workers.get(worker)
        if entry is None:
            return []
        mine = self.is_open(entry.zone) and (entry.zone in self.suspect_zones or worker in self.around)
        self.around.discard(worker)
        bad = self.witness.probed(now, worker, entry.zone, result, mine)
        return self._suspect(now, worker) if bad else []

    def _suspect(self, now: float, worker: int) -> list[int]:
        """Bad news of a worker that was well: look at some of its zone and of others."""
        entry = self.gate.workers.get(worker)
        if entry is None or now < self.suspected + SUSPECT_MS:
            return []
        self.suspected = now
        return self.look((entry.zone,))

    def look(self, zones: Iterable[str]) -> list[int]:
        """Whom to ask whether these zones' workers answer."""
        zones = tuple(zones)
        self.suspect_zones = frozenset(zones)
        workers = self.gate.workers.values()
        return [worker for zone in zones for worker in suspects(zone, workers, self.random, self.rules.zone)]

    def tries(self, now: float, zones: Iterable[str]) -> list[int]:
        """When the keeper has us look at these zones: a worker of each that we have no word on, for a job on
        trial. A zone that fails with jobs may well answer probes, and who sends it nothing has no word on it:
        one scheduler alone would go on sending there, and no verdict would fall."""
        if self.rules.solo:
            return []
        found = []
        for zone in zones:
            unseen = [
                worker for worker in self.gate.zones().get(zone, ()) if self.witness.word(now, worker) is None
            ]
            found += [self.random.choice(unseen)] if unseen else []
        return found

    def ask_around(self) -> list[int]:
        """Once a second: whom to ask of the zones that are not open, and one of those that are: where we send
        little, it is all that we see."""
        part, wide, found = min(1.0, PROBERS / self.nodes), [], []
        for name, ids in self.gate.zones().items():
            if self.is_open(name):
                wide += ids
            else:
                found += (
                    self.random.sample(ids, min(SOLO_ASKS, len(ids)))
                    if self.rules.solo
                    else [worker for worker in ids if self.random.random() < part]
                )
        self.around = {self.random.choice(wide)} if wide else set()
        return [*found, *self.around]

    def report(self, now: float, views: Iterable[View], clock: float) -> Report:
        """views: the module's."""
        return self.witness.report(now, _slots(views, clock))


def _slots(views: Iterable[View], clock: float) -> Iterator[tuple[str, float, float]]:
    for view in views:
        if view.entry.state != "gone":
            idle = max(0.0, view.total - view.held - view.others) if view.home else 0.0
            yield view.entry.zone, float(view.held), idle if view.rest_until <= clock else 0.0
