"""The module's clock: Unix milliseconds as the list has them, that never step back."""

from __future__ import annotations

import time


class Clock:
    """Anchored once to the wall clock, then carried on by the monotonic one."""

    def __init__(self) -> None:
        self.offset_s = time.time() - time.monotonic()

    def now_ms(self) -> float:
        return (self.offset_s + time.monotonic()) * 1000.0
