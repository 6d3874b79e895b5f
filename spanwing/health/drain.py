"""Who asked for a drain, since when and until when.

Guarantees: a drain holds as long as any that asked for it has not withdrawn; the one of SIGTERM is never
withdrawn; times are those of the first announcement, so that a second source neither prolongs the notice
nor starts it anew.
"""

from __future__ import annotations

import math
from typing import Literal

Source = Literal["signal", "command", "store"]
Phase = Literal["none", "notice", "closed"]


class Drains:
    """The orders that stand."""

    def __init__(self, notice_ms: float) -> None:
        self.notice_s = notice_ms / 1000.0
        self.orders: dict[Source, float] = {}  # when each wants it done, of the caller's clock in seconds
        self.since: float | None = None

    def order(self, source: Source, now: float, within_s: float = math.inf) -> bool:
        """Ask for a drain, with all answered after within_s; whether it begins now."""
        begins = not self.orders
        if begins:
            self.since = now
        self.orders[source] = now + within_s
        return begins

    def withdraw(self, source: Source) -> bool:
        """Whether the drain ends."""
        if source == "signal" or self.orders.pop(source, None) is None:
            return False
        if self.orders:
            return False
        self.since = None
        return True

    @property
    def active(self) -> bool:
        return bool(self.orders)

    @property
    def end(self) -> float:
        """When the first of the orders wants all answered."""
        return min(self.orders.values(), default=math.inf)

    @property
    def closes(self) -> float:
        """When the notice ends; never where no drain stands."""
        return math.inf if self.since is None else self.since + self.notice_s

    def phase(self, now: float) -> Phase:
        """notice: balancers still learn of it and new work is taken; closed: it is turned away."""
        if self.since is None:
            return "none"
        return "notice" if now < self.closes else "closed"

    def text(self) -> str:
        return "draining, asked for by " + " and ".join(sorted(self.orders))
