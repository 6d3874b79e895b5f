"""Measures the busy time of the event loop: the time that it spends outside its waits for input.

The cost is two clock readings and one comparison per iteration, so it is only installed if health is reported
to load balancers.
"""

from __future__ import annotations

import asyncio
import math
import selectors
import time
from collections.abc import Callable


class MeteredSelector(selectors.DefaultSelector):
    """The platform's default selector, which also sums up the time between its waits."""

    def __init__(self) -> None:
        super().__init__()
        self.busy_total_s, self.woke_at_s = 0.0, time.monotonic()
        self.alarm_at_busy_s, self.on_alarm = math.inf, lambda: None

    def select(self, timeout=None):
        """Runs the alarm if it is due, then waits for input."""
        self.busy_total_s += time.monotonic() - self.woke_at_s
        if self.busy_total_s >= self.alarm_at_busy_s:
            # With a timeout of 0, callbacks that the alarm schedules run without waiting for input.
            self.alarm_at_busy_s, timeout = math.inf, 0
            self.on_alarm()
        try:
            return super().select(timeout)
        finally:
            self.woke_at_s = time.monotonic()

    def busy_s(self) -> float:
        """Returns the busy time so far in seconds, including the current iteration of the event loop."""
        return self.busy_total_s + time.monotonic() - self.woke_at_s

    def set_alarm(self, busy_s: float, on_alarm: Callable[[], None]) -> None:
        """Calls on_alarm once after busy_s more seconds of busy time, between two iterations of the loop."""
        self.alarm_at_busy_s, self.on_alarm = self.busy_s() + busy_s, on_alarm


def install_metered_loop() -> MeteredSelector:
    """Makes a new metered event loop the current one; must be called before Tornado creates a loop."""
    selector = MeteredSelector()
    asyncio.set_event_loop(asyncio.SelectorEventLoop(selector))
    return selector
