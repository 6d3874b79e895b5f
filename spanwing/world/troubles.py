"""Troubles: what goes wrong in a world, when, and for how long.

Guarantees: pure; each is two calls on the fleet, one when it begins and one when it ends, so any may
overlap; those of one kind on one worker count as one until the last has ended. Which workers are struck is
drawn from a stream of the trouble's own place in the list.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from typing import Literal

import msgspec

from spanwing.world.fleet import Fleet, Place
from spanwing.world.node import Node

What = Literal[
    "silent",
    "fast_failing",
    "neighbour",
    "heavy_tail",
    "deploy",
    "crash",
    "cold_snap",
    "flood",
    "stolen_cpu",
    "partition",
    "discovery_down",
    "scheduler_stop",
    "schedulers_killed",
    "join",
    "zone_lost",
]


class Trouble(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """As a scenario has it; times in seconds from the day's begin."""

    what: What
    at: float
    lasts: float = 0.0  # 0: to the end of the day
    share: float = 0.0  # of the workers, or of one scheduler's CPU, or of the requests
    times: float = 0.0  # by which load or work grows, or what is left of a speed
    brand: str = ""
    kind: str = ""  # of worker: others are left alone
    between: tuple[str, str] = ("", "")  # two zones
    scheduler: str = ""
    zone: str = ""

    def wrong(
        self, zones: set[str], brands: set[str], kinds: set[str], schedulers: set[str], seconds: float
    ) -> list[tuple[str, str]]:
        """What is not possible: field and fault."""
        found = []
        if not 0 <= self.at < seconds:
            found.append(("at", f"{self.at:g} is not within the day, 0 to {seconds:g}"))
        if not 0 <= self.lasts <= seconds:
            found.append(("lasts", f"{self.lasts:g} is not possible"))
        for name, needed in NEEDS[self.what].items():
            value = getattr(self, name)
            least, most = needed
            if not least <= value <= most:
                found.append((name, f"{value:g} is not possible for {self.what}, {least:g} to {most:g} are"))
        for name, value, known, owner in (
            ("brand", self.brand, brands, ("flood",)),
            ("zone", self.zone, zones, ("zone_lost",)),
            ("scheduler", self.scheduler, schedulers, ("stolen_cpu", "scheduler_stop")),
        ):
            if self.what in owner and value not in known:
                found.append((name, f"{value!r} is none of {', '.join(sorted(known))}"))
        if self.kind and self.kind not in kinds:
            found.append(("kind", f"{self.kind!r} is none of {', '.join(sorted(kinds))}"))
        if self.what == "partition" and (not set(self.between) <= zones or len(set(self.between)) < 2):
            found.append(("between", f"needs two of {', '.join(sorted(zones))}"))
        return found


ANY = (0.0, math.inf)
#: By trouble: the figures that it needs, with their bounds.
NEEDS: dict[str, dict[str, tuple[float, float]]] = {
    "silent": {"share": (0.001, 1.0)},
    "fast_failing": {"share": (0.001, 1.0)},
    "neighbour": {"share": (0.001, 1.0), "times": (0.01, 1.0)},
    "heavy_tail": {"share": (0.0001, 1.0), "times": (1.0, 1000.0)},
    "deploy": {"share": (0.001, 1.0)},
    "crash": {"share": (0.001, 1.0)},
    "cold_snap": {"times": (1.0, 100.0)},
    "flood": {"times": (1.0, 1000.0)},
    "stolen_cpu": {"share": (0.01, 0.99)},
    "partition": {},
    "discovery_down": {},
    "scheduler_stop": {},
    "schedulers_killed": {"share": (0.001, 1.0)},
    "join": {"share": (0.001, 1.0)},
    "zone_lost": {},
}
DRAIN_MS, DOWN_MS = 2000.0, 1000.0  # of a worker in a deploy: it drains so long, then is away so long


class Troubles:
    """Enters a list of troubles into a fleet's agenda."""

    def __init__(self, fleet: Fleet, troubles: tuple[Trouble, ...], day_ms: float) -> None:
        self.fleet, self.count = fleet, Counter[tuple[str, int]]()
        for number, each in enumerate(troubles):
            begin = each.at * 1000.0
            end = begin + each.lasts * 1000.0 if each.lasts else day_ms
            start, stop = getattr(self, f"_{each.what}")(each, number, begin, end)
            fleet.agenda.at(begin, start)
            if stop is not None:
                fleet.agenda.at(end, stop)

    def _struck(self, trouble: Trouble, number: int) -> list[Place]:
        """The workers that it strikes, one at least."""
        fit = [each for each in self.fleet.places.values() if trouble.kind in ("", each.worker.spec.kind)]
        count = max(1, round(trouble.share * len(fit)))
        chosen = self.fleet.streams.of("trouble", number).permutation(len(fit))[:count]
        return [fit[each] for each in sorted(chosen.tolist())]

    def _each(self, what: str, places: list[Place], change: Callable[[Place, bool], None]):
        """Calls that begin and end something on each; it ends with the last of its kind."""

        def begin() -> None:
            for place in places:
                self.count[what, place.number] += 1
                if self.count[what, place.number] == 1:
                    self._change(place, change, True)

        def end() -> None:
            for place in places:
                self.count[what, place.number] -= 1
                if self.count[what, place.number] == 0:
                    self._change(place, change, False)

        return begin, end

    def _change(self, place: Place, change: Callable[[Place, bool], None], on: bool) -> None:
        self.fleet.heard_of(place)  # what it did until now was done as it was until now
        change(place, on)
        self.fleet.heard_of(place)

    def _silent(self, trouble: Trouble, number: int, *_: float):
        return self._each(
            "silent", self._struck(trouble, number), lambda place, on: setattr(place.worker, "silent", on)
        )

    def _fast_failing(self, trouble: Trouble, number: int, *_: float):
        return self._each(
            "fast_failing",
            self._struck(trouble, number),
            lambda place, on: setattr(place.worker, "fast_failing", on),
        )

    def _neighbour(self, trouble: Trouble, number: int, *_: float):
        return self._each(
            "neighbour",
            self._struck(trouble, number),
            lambda place, on: setattr(place.worker, "slowed", trouble.times if on else 1.0),
        )

    def _heavy_tail(self, trouble: Trouble, *_: float):
        fleet = self.fleet
        return (
            lambda: setattr(fleet, "tail", (trouble.share, trouble.times)),
            lambda: setattr(fleet, "tail", (0.0, 1.0)),
        )

    def _cold_snap(self, trouble: Trouble, *_: float):
        return self._flooded([each.name for each in self.fleet.plan.brands], trouble.times)

    def _flood(self, trouble: Trouble, *_: float):
        return self._flooded([trouble.brand], trouble.times)

    def _flooded(self, brands: list[str], times: float):
        floods = self.fleet.clients.floods

        def begin() -> None:
            floods.update({each: floods.get(each, 1.0) * times for each in brands})

        def end() -> None:
            floods.update({each: floods[each] / times for each in brands})

        return begin, end

    def _partition(self, trouble: Trouble, *_: float):
        network, between = self.fleet.network, trouble.between
        return lambda: network.part(*between), lambda: network.heal(*between)

    def _stolen_cpu(self, trouble: Trouble, *_: float):
        node = self._node(trouble)
        return lambda: setattr(node, "stolen", trouble.share), lambda: setattr(node, "stolen", 0.0)

    def _scheduler_stop(self, trouble: Trouble, *_: float):
        return lambda: self.fleet.stop_node(self._node(trouble)), None

    def _node(self, trouble: Trouble):
        return next(each for each in self.fleet.nodes if each.name == trouble.scheduler)

    def _discovery_down(self, *_: object):
        fleet = self.fleet
        return lambda: setattr(fleet, "discovery_up", False), fleet.discovery_back

    def _schedulers_killed(self, trouble: Trouble, number: int, *_: float):
        """All at once; they are back, one after another within a second, when it ends."""
        fleet, stream = self.fleet, self.fleet.streams.of("trouble", number)
        names = [each.name for each in fleet.nodes]
        count = max(1, round(trouble.share * len(names)))
        chosen = {names[at] for at in stream.permutation(len(names))[:count]}
        return self._stopped(lambda each: each.name in chosen)

    def _stopped(self, struck: Callable[[Node], bool]):
        """Calls that stop the schedulers that are struck, and start them within a second."""
        fleet, stopped = self.fleet, list[str]()

        def begin() -> None:
            stopped.extend(each.name for each in fleet.nodes if struck(each) and each.up)
            for node in [each for each in fleet.nodes if each.name in stopped]:
                fleet.stop_node(node)

        def end() -> None:
            for turn, name in enumerate(stopped):
                fleet.agenda.after(1000.0 * turn / len(stopped), fleet.start_node, name)

        return begin, end

    def _zone_lost(self, trouble: Trouble, *_: float):
        """Its schedulers and workers are gone without a word; all come back, the workers cold."""
        fleet = self.fleet
        lose, back = self._stopped(lambda each: each.zone == trouble.zone)
        places = [each for each in fleet.places.values() if each.worker.spec.zone == trouble.zone]

        def begin() -> None:
            lose()
            for place in places:
                fleet.away(place)

        def end() -> None:
            back()
            for place in places:
                fleet.start_again(place)

        return begin, end

    def _join(self, trouble: Trouble, number: int, begin: float, end: float):
        """Others start beside them, cold, evenly over the time; each drains when its successor is up."""
        places = self._struck(trouble, number)

        def start() -> None:
            for turn, place in enumerate(places):
                when = (end - begin) * turn / len(places)
                self.fleet.agenda.after(when, self.fleet.join, place)
                self.fleet.agenda.after(when + DRAIN_MS, self.fleet.drain, place)
                self.fleet.agenda.after(when + 4 * DRAIN_MS, self.fleet.away, place)

        return start, None

    def _crash(self, trouble: Trouble, number: int, *_: float):
        places = self._struck(trouble, number)

        def begin() -> None:
            for place in places:
                if not place.worker.fallen:
                    self.fleet.crash(place)

        def end() -> None:
            for place in places:
                if place.worker.fallen:
                    self.fleet.start(place)

        return begin, end

    def _deploy(self, trouble: Trouble, number: int, begin: float, end: float):
        """One after another drains, is away and starts cold, evenly over the time."""
        places = self._struck(trouble, number)
        gap = max(0.0, end - begin - DRAIN_MS - DOWN_MS) / max(1, len(places))

        def start() -> None:
            for turn, place in enumerate(places):
                self.fleet.agenda.after(turn * gap, self.fleet.drain, place)
                self.fleet.agenda.after(turn * gap + DRAIN_MS, self.fleet.away, place)
                self.fleet.agenda.after(turn * gap + DRAIN_MS + DOWN_MS, self.fleet.start_again, place)

        return start, None
