"""Drain orders: their sources, their start and their deadlines.

A drain lasts as long as any source has not withdrawn its order; the order of SIGTERM is never withdrawn.
The notice runs from the first order, so that a second source neither prolongs nor restarts it.
"""

from __future__ import annotations

import math
from typing import Literal

DrainSource = Literal["signal", "command", "store"]
DrainPhase = Literal["none", "notice", "closed"]


class DrainOrders:
    """The drain orders in force."""

    def __init__(self, notice_ms: float) -> None:
        self.notice_s = notice_ms / 1000.0
        # When each source wants the drain done, in seconds of the caller's clock.
        self.deadlines: dict[DrainSource, float] = {}
        self.started_at_s: float | None = None

    def add(self, source: DrainSource, now: float, within_s: float = math.inf) -> bool:
        """Adds an order to drain, with all requests answered after within_s (s); returns whether the drain
        begins now.
        """
        is_first = not self.deadlines
        if is_first:
            self.started_at_s = now
        self.deadlines[source] = now + within_s
        return is_first

    def withdraw(self, source: DrainSource) -> bool:
        """Withdraws the order of a source; returns whether the drain ends."""
        if source == "signal" or self.deadlines.pop(source, None) is None:
            return False
        if self.deadlines:
            return False
        self.started_at_s = None
        return True

    @property
    def is_draining(self) -> bool:
        """Whether any order is in force."""
        return bool(self.deadlines)

    @property
    def earliest_deadline_s(self) -> float:
        """The earliest time at which an order wants all requests answered; infinity without orders."""
        return min(self.deadlines.values(), default=math.inf)

    @property
    def notice_ends_at_s(self) -> float:
        """When the notice ends; infinity if no drain is in force."""
        return math.inf if self.started_at_s is None else self.started_at_s + self.notice_s

    def phase(self, now: float) -> DrainPhase:
        """Returns the phase: in "notice" balancers still learn of the drain and new work is accepted; in
        "closed" it is rejected.
        """
        if self.started_at_s is None:
            return "none"
        return "notice" if now < self.notice_ends_at_s else "closed"

    def describe(self) -> str:
        """Returns a line that names the sources of the drain."""
        return "draining, asked for by " + " and ".join(sorted(self.deadlines))
