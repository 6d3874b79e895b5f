"""Who asked for a drain, since when and until when.

Guarantees: a drain holds as long as any that asked for it has not withdrawn; the one of SIGTERM is never
withdrawn; times are those of the first announcement, so that a second source neither prolongs the notice
nor starts it anew.
"""

from __future__ import annotations

import math
from typing import Literal

DrainSource = Literal["signal", "command", "store"]
DrainPhase = Literal["none", "notice", "closed"]


class DrainOrders:
    """The orders that stand."""

    def __init__(self, notice_ms: float) -> None:
        self.notice_s = notice_ms / 1000.0
        self.deadlines: dict[
            DrainSource, float
        ] = {}  # when each wants it done, of the caller's clock in seconds
        self.started_at_s: float | None = None

    def add(self, source: DrainSource, now: float, within_s: float = math.inf) -> bool:
        """Ask for a drain, with all answered after within_s; whether it begins now."""
        is_first = not self.deadlines
        if is_first:
            self.started_at_s = now
        self.deadlines[source] = now + within_s
        return is_first

    def withdraw(self, source: DrainSource) -> bool:
        """Whether the drain ends."""
        if source == "signal" or self.deadlines.pop(source, None) is None:
            return False
        if self.deadlines:
            return False
        self.started_at_s = None
        return True

    @property
    def is_draining(self) -> bool:
        return bool(self.deadlines)

    @property
    def earliest_deadline_s(self) -> float:
        """When the first of the orders wants all answered."""
        return min(self.deadlines.values(), default=math.inf)

    @property
    def notice_ends_at_s(self) -> float:
        """When the notice ends; never where no drain stands."""
        return math.inf if self.started_at_s is None else self.started_at_s + self.notice_s

    def phase(self, now: float) -> DrainPhase:
        """notice: balancers still learn of it and new work is taken; closed: it is turned away."""
        if self.started_at_s is None:
            return "none"
        return "notice" if now < self.notice_ends_at_s else "closed"

    def describe(self) -> str:
        return "draining, asked for by " + " and ".join(sorted(self.deadlines))
