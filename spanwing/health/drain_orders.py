"""Drain orders, with their sources and deadlines.

A drain lasts until every source has withdrawn its order. The order of SIGTERM (source "signal") cannot be
withdrawn. The notice period starts with the first order; an order from a second source neither extends nor
restarts it. A drain that a process finds at its start has none, as balancers have sent it nothing.
"""

from __future__ import annotations

import math
from typing import Literal

DrainSource = Literal["signal", "command", "store"]
DrainPhase = Literal["none", "notice", "closed"]


class DrainOrders:
    """The drain orders in force; notice_ms is the length of the notice period."""

    def __init__(self, notice_ms: float) -> None:
        self.notice_s = notice_ms / 1000.0
        # By source: when all requests are to be answered, in seconds of the caller's clock.
        self.deadlines: dict[DrainSource, float] = {}
        self.started_at_s: float | None = None
        self.has_notice = True  # of the drain in force

    def add(
        self, source: DrainSource, now_s: float, within_s: float = math.inf, has_notice: bool = True
    ) -> bool:
        """Adds the order of a source to have all requests answered within within_s seconds.

        A new order replaces an earlier one of the same source. has_notice: whether a drain that starts with
        it has a notice period. Returns whether the drain starts with it.
        """
        is_first = not self.deadlines
        if is_first:
            self.started_at_s, self.has_notice = now_s, has_notice
        self.deadlines[source] = now_s + within_s
        return is_first

    def withdraw(self, source: DrainSource) -> bool:
        """Withdraws the order of a source; returns whether the drain ends with it."""
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
        """The earliest deadline of all orders; infinity if there are none."""
        return min(self.deadlines.values(), default=math.inf)

    @property
    def notice_ends_at_s(self) -> float:
        """The end of the notice period; infinity if no drain is in force."""
        if self.started_at_s is None:
            return math.inf
        return self.started_at_s + (self.notice_s if self.has_notice else 0.0)

    def phase(self, now_s: float) -> DrainPhase:
        """Returns the phase of the drain.

        "notice": new work is still accepted while balancers learn of the drain. "closed": it is rejected.
        """
        if self.started_at_s is None:
            return "none"
        return "notice" if now_s < self.notice_ends_at_s else "closed"

    def describe(self) -> str:
        """Returns a text for operators that names the sources of the drain."""
        return "draining, asked for by " + " and ".join(sorted(self.deadlines))
