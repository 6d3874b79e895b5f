"""The scheduler's clock: Unix time in ms, as in the endpoint list, unaffected by steps of the wall clock."""

from __future__ import annotations

import time


class Clock:
    """A clock that reads the wall clock once, at its creation, and adds monotonic time from then on."""

    def __init__(self) -> None:
        self.offset_s = time.time() - time.monotonic()

    def now_ms(self) -> float:
        """Returns the current Unix time in ms."""
        return (self.offset_s + time.monotonic()) * 1000.0
