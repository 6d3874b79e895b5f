"""What is due in simulated time.

Guarantees: calls are made in order of their time, and at the same time in the order in which they were
entered; time never steps back; a call that was struck out is not made. Bounded by MOST entries: a world that
enters more than it works off is at fault, and says so.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

MOST = 20_000_000


class Entry:
    """One call that is due; strike() takes it back."""

    __slots__ = ("call", "given", "order", "when")

    def __init__(self, when: float, order: int, call: Callable[..., object], given: tuple[Any, ...]) -> None:
        self.when, self.order, self.call, self.given = when, order, call, given

    def strike(self) -> None:
        self.call = None

    def __lt__(self, other: Entry) -> bool:
        return (self.when, self.order) < (other.when, other.order)


class Agenda:
    """Time and what is due."""

    def __init__(self) -> None:
        self.now = 0.0  # ms
        self.entered = self.made = 0
        self.due: list[Entry] = []

    def at(self, when: float, call: Callable[..., object], *given: Any) -> Entry:
        """Call at this time, at once where it is past."""
        assert when == when and len(self.due) < MOST, (when, len(self.due))
        self.entered += 1
        entry = Entry(max(when, self.now), self.entered, call, given)
        heapq.heappush(self.due, entry)
        return entry

    def after(self, delay: float, call: Callable[..., object], *given: Any) -> Entry:
        return self.at(self.now + delay, call, *given)

    def run(self, until: float) -> None:
        """Make all calls up to this time; now is that time afterwards."""
        while self.due and self.due[0].when <= until:
            entry = heapq.heappop(self.due)
            if entry.call is None:
                continue
            assert entry.when >= self.now
            self.now = entry.when
            self.made += 1
            entry.call(*entry.given)
        self.now = max(self.now, until)
