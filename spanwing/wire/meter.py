"""How long the event loop is busy: the time between one wait for input and the next.

Guarantees: one reading of the clock more before and after each wait, and one comparison; used only where
health is told to balancers.
"""

from __future__ import annotations

import asyncio
import math
import selectors
import time
from collections.abc import Callable


class MeteredSelector(selectors.DefaultSelector):
    """The platform's selector; sums up, in seconds, the time outside of its waits."""

    def __init__(self) -> None:
        super().__init__()
        self.spent, self.since = 0.0, time.monotonic()
        self.limit, self.alarm = math.inf, lambda: None

    def select(self, timeout=None):
        self.spent += time.monotonic() - self.since
        if self.spent >= self.limit:
            self.limit, timeout = math.inf, 0  # what the alarm has asked of the loop must not wait for input
            self.alarm()
        try:
            return super().select(timeout)
        finally:
            self.since = time.monotonic()

    def busy(self) -> float:
        """Up to now, the present turn of the loop included."""
        return self.spent + time.monotonic() - self.since

    def watch(self, seconds: float, alarm: Callable[[], None]) -> None:
        """Call once after so much more busy time, on the loop, between two of its turns."""
        self.limit, self.alarm = self.spent + seconds, alarm


def install() -> MeteredSelector:
    """Make an event loop with a meter the current one; before Tornado has made another."""
    selector = MeteredSelector()
    asyncio.set_event_loop(asyncio.SelectorEventLoop(selector))
    return selector
