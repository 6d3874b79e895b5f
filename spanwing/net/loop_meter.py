"""Measures how long the event loop is busy: the time between one wait for input and the next.

Costs two readings of the clock and one comparison per turn of the loop; used only where health is reported to
balancers.
"""

from __future__ import annotations

import asyncio
import math
import selectors
import time
from collections.abc import Callable


class MeteredSelector(selectors.DefaultSelector):
    """The platform's selector; sums up the time outside its waits, in seconds."""

    def __init__(self) -> None:
        super().__init__()
        self.busy_total_s, self.woke_at_s = 0.0, time.monotonic()
        self.alarm_at_busy_s, self.on_alarm = math.inf, lambda: None

    def select(self, timeout=None):
        """Waits for input, and first runs an alarm that is due."""
        self.busy_total_s += time.monotonic() - self.woke_at_s
        if self.busy_total_s >= self.alarm_at_busy_s:
            self.alarm_at_busy_s, timeout = (
                math.inf,
                0,
            )  # callbacks that the alarm schedules must not wait for input
            self.on_alarm()
        try:
            return super().select(timeout)
        finally:
            self.woke_at_s = time.monotonic()

    def busy_s(self) -> float:
        """Returns the busy time so far in seconds, the present turn of the loop included."""
        return self.busy_total_s + time.monotonic() - self.woke_at_s

    def set_alarm(self, busy_s: float, on_alarm: Callable[[], None]) -> None:
        """Calls on_alarm once after this much more busy time (s), between two turns of the loop."""
        self.alarm_at_busy_s, self.on_alarm = self.busy_s() + busy_s, on_alarm


def install_metered_loop() -> MeteredSelector:
    """Makes an event loop with a meter the current one; call it before Tornado makes another."""
    selector = MeteredSelector()
    asyncio.set_event_loop(asyncio.SelectorEventLoop(selector))
    return selector
