"""An event loop whose clock is not affected by steps of the wall clock."""

from __future__ import annotations

from tornado.platform.asyncio import AsyncIOMainLoop


class MonotonicLoop(AsyncIOMainLoop):
    """An event loop whose time() is asyncio's monotonic clock; Tornado's default is time.time().

    Every deadline and timeout is computed from IOLoop.time(), so a step of the wall clock would shift all of
    them. An instance becomes the current loop of its thread.
    """

    def time(self) -> float:
        """Returns the monotonic time in seconds."""
        return self.asyncio_loop.time()
