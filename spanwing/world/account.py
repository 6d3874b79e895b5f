"""Where every request is, and where all work went.

Guarantees: a request is in exactly one place at any time, and moves only along MOVES; check() holds that as
many are in all places together as were made. The work that was asked for is done, wasted, under way,
withdrawn or still to do, and the first three are what workers were busy with, which work() holds to within a
thousandth of a ms for each attempt.
"""

from __future__ import annotations

from collections import Counter
from typing import Literal, NamedTuple

Place = Literal["client", "on its way", "scheduler", "answer on its way", "waits to retry", "over"]
#: From where a request may go where; a new one is at its client.
MOVES: dict[str, frozenset[str]] = {
    "client": frozenset({"on its way", "over"}),
    "on its way": frozenset({"scheduler", "answer on its way", "over"}),
    "scheduler": frozenset({"answer on its way", "over"}),
    "answer on its way": frozenset({"client", "waits to retry", "over"}),
    "waits to retry": frozenset({"on its way", "over"}),
}


class Work(NamedTuple):
    """Where work went, in ms at speed 1."""

    done: float
    wasted: float
    under_way: float
    withdrawn: float
    still_to_do: float
    busy: float  # what workers did, from their rates alone


class Account:
    """Of one world."""

    def __init__(self) -> None:
        self.places: dict[str, str] = {}  # of requests that are not over
        self.counts: Counter[str] = Counter()
        self.made = 0
        self.work_asked = 0.0  # of all attempts that workers took

    def make(self, request: str) -> None:
        assert request not in self.places, request
        self.places[request] = "client"
        self.counts["client"] += 1
        self.made += 1

    def move(self, request: str, place: Place) -> None:
        before = self.places[request]
        assert place in MOVES[before], (request, before, place)
        self.counts[before] -= 1
        self.counts[place] += 1
        if place == "over":
            del self.places[request]
        else:
            self.places[request] = place

    def at(self, request: str) -> str:
        return self.places.get(request, "over")

    def check(self) -> None:
        """Raises AssertionError if a request is nowhere or in two places."""
        assert sum(self.counts.values()) == self.made, (dict(self.counts), self.made)
        assert self.made - self.counts["over"] == len(self.places)
        assert min(self.counts.values(), default=0) >= 0, dict(self.counts)

    def work(self, work: Work, attempts: int) -> None:
        """Raises AssertionError if work was lost or made."""
        nearly = 1e-3 * max(1, attempts)
        worked = work.done + work.wasted + work.under_way
        assert abs(worked - work.busy) <= nearly, work
        assert abs(worked + work.withdrawn + work.still_to_do - self.work_asked) <= nearly, (
            self.work_asked,
            work,
        )
