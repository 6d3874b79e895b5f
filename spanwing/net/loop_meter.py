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
        self.busy_total_s, self.woke_at_s = 0.0, time.monotonic()
        self.alarm_at_busy_s, self.on_alarm = math.inf, lambda: None

    def select(self, timeout=None):
        self.busy_total_s += time.monotonic() - self.woke_at_s
        if self.busy_total_s >= self.alarm_at_busy_s:
            self.alarm_at_busy_s, timeout = (
                math.inf,
                0,
            )  # what the alarm has asked of the loop must not wait for input
            self.on_alarm()
        try:
            return super().select(timeout)
        finally:
            self.woke_at_s = time.monotonic()

    def busy_s(self) -> float:
        """Up to now, the present turn of the loop included."""
        return self.busy_total_s + time.monotonic() - self.woke_at_s

    def set_alarm(self, busy_s: float, on_alarm: Callable[[], None]) -> None:
        """Call once after so much more busy time, on the loop, between two of its turns."""
        self.alarm_at_busy_s, self.on_alarm = self.busy_total_s + busy_s, on_alarm


def install_metered_loop() -> MeteredSelector:
    """Make an event loop with a meter the current one; before Tornado has made another."""
    selector = MeteredSelector()
    asyncio.set_event_loop(asyncio.SelectorEventLoop(selector))
    return selector
