"""What a day was worth: from the answers of one world to a row of figures and a series over time.

Guarantees: pure; every request counts once. In time is within its class's aim, which grows by `stretch` times
the job's own running time; goodput is the worth of what was served (after the aim `late_worth` of it) over
the worth of all that was asked for.
"""

from __future__ import annotations

from collections import Counter
from typing import Any

import numpy as np

from spanwing.world.clients import ClassSpec
from spanwing.world.fleet import Answered, Fleet

PERCENTILES = (50.0, 95.0, 99.0)
#: Figures of a row that a comparison may be about, and whether more is better.
COMPARED = {
    "goodput": True,
    "in_time": True,
    "refused": False,
    "late": False,
    "failed": False,
    "attempts": False,
    "wasted": False,
    "p50": False,
    "p99": False,
}


class Tally:
    """Takes answers as they come; hand take() to a Fleet."""

    def __init__(self, classes: tuple[ClassSpec, ...]) -> None:
        self.classes = {each.name: each for each in classes}
        self.count: Counter[str] = Counter()
        self.worth: Counter[tuple[str, str]] = Counter()  # asked for and got, by class and by brand
        self.got: Counter[tuple[str, str]] = Counter()
        self.took: dict[str, list[float]] = {each.name: [] for each in classes}
        self.seconds: dict[str, Counter[int]] = {
            name: Counter() for name in ("offered", "in_time", "late", "refused", "other")
        }
        self.attempts = self.tries = 0
        self.flight: list[tuple[int, int]] = []  # each second: jobs at workers, and at the fullest one

    def take(self, answered: Answered) -> None:
        cls = self.classes[answered.cls]
        fate = answered.kind
        got = 0.0
        if fate == "served":
            on_time = answered.took <= cls.aim + cls.stretch * answered.running
            fate, got = ("in_time", cls.worth) if on_time else ("late", cls.worth * cls.late_worth)
            self.took[answered.cls].append(answered.took)
        self.count[fate] += 1
        for key in (("class", answered.cls), ("brand", answered.brand)):
            self.worth[key] += cls.worth
            self.got[key] += got
        second = int(answered.at // 1000.0)
        self.seconds["offered"][second] += 1
        self.seconds[fate if fate in self.seconds else "other"][second] += 1
        self.attempts += answered.attempts
        self.tries += answered.tries

    def look(self, fleet: Fleet) -> None:
        """Once a second: what is at the workers."""
        held = [len(each.worker.held) for each in fleet.places.values() if not each.worker.fallen]
        self.flight.append((sum(held), max(held, default=0)))

    def row(self, fleet: Fleet) -> dict[str, Any]:
        """One number for each figure; shares are of all requests."""
        offered = sum(self.count.values())
        whole = max(1, offered)
        asked = sum(worth for (kind, _), worth in self.worth.items() if kind == "class")
        got = sum(worth for (kind, _), worth in self.got.items() if kind == "class")
        took = [each for values in self.took.values() for each in values]
        workers = [place.worker.worked for place in fleet.places.values()]
        done, wasted = sum(each.done for each in workers), sum(each.wasted for each in workers)
        row: dict[str, Any] = {
            "offered": offered,
            "goodput": got / asked if asked else 1.0,
            **{
                name: self.count[name] / whole
                for name in ("in_time", "late", "refused", "failed", "left", "lost")
            },
            "probes": sum(each.probed for each in fleet.nodes) / whole,
            "attempts": self.attempts / whole,
            "tries": self.tries / whole,
            "wasted": wasted / (done + wasted) if done + wasted else 0.0,
            "decision_us": 1e6
            * sum(each.spent_s for each in fleet.nodes)
            / max(1, sum(each.decided for each in fleet.nodes)),
        }
        row |= _percentiles("p", took)
        for name, values in self.took.items():
            row |= _percentiles(f"{name}.p", values)
        for (kind, name), worth in self.worth.items():
            row[f"{kind}.{name}.goodput"] = self.got[kind, name] / worth
        return row

    def series(self, seconds: int) -> dict[str, list[int]]:
        """By second of the requests' arrival."""
        found = {name: [counts[each] for each in range(seconds)] for name, counts in self.seconds.items()}
        found["at_workers"] = [each for each, _ in self.flight[:seconds]]
        found["at_fullest"] = [each for _, each in self.flight[:seconds]]
        return found


def _percentiles(name: str, values: list[float]) -> dict[str, float]:
    if not values:
        return {f"{name}{each:g}": 0.0 for each in PERCENTILES}
    return dict(
        zip(
            (f"{name}{each:g}" for each in PERCENTILES),
            (float(each) for each in np.percentile(values, PERCENTILES)),
            strict=True,
        )
    )
