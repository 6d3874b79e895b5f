"""The event loop with a clock that no step of the machine's wall clock moves."""

from __future__ import annotations

from tornado.platform.asyncio import AsyncIOMainLoop


class MonotonicLoop(AsyncIOMainLoop):
    """Its time() is asyncio's monotonic clock; the library's own is time.time().

    Deadlines, windows, waits and graces are spans of real time, so every span that is computed from
    IOLoop.time() needs it. Once made, it is the current loop of its thread.
    """

    def time(self) -> float:
        """Returns the monotonic time in seconds."""
        return self.asyncio_loop.time()
