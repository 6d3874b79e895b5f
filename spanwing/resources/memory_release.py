"""Returns freed memory to the system, which the C library would keep for later allocations."""

from __future__ import annotations

import gc
from collections.abc import Callable

EXCESS_BYTES = 2 * 1024 * 1024  # above the least use of memory so far, from which on memory is released
RELEASE_INTERVAL_S = 2.0


def trim_allocator() -> None:
    """Lets the interpreter and the C library return their free memory (malloc_trim(3), if it exists)."""
    gc.collect()  # also empties the interpreter's lists of free objects
    import ctypes  # loaded only when memory has been released once

    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if trim is not None:
        trim(0)


class MemoryReleaser:
    """Decides when to release memory: every RELEASE_INTERVAL_S while its use is above the least so far."""

    def __init__(self, release: Callable[[], None]) -> None:
        """release drops spare memory and returns what is free to the system."""
        self.release = release
        self.least_bytes: int | None = None
        self.released_s = 0.0

    def check(self, used_bytes: int, now_s: float) -> None:
        """Releases memory if that is due."""
        self.least_bytes = used_bytes if self.least_bytes is None else min(self.least_bytes, used_bytes)
        is_due = now_s >= self.released_s + RELEASE_INTERVAL_S
        if is_due and used_bytes > self.least_bytes + EXCESS_BYTES:
            self.released_s = now_s
            self.release()
