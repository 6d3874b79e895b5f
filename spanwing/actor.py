"""Actors: a mailbox each, one message at a time, nothing shared."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Coroutine
from typing import Any

from tornado.ioloop import IOLoop

log = logging.getLogger("spanwing")


def spawn(work: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine by itself; what it raises is a fault of ours and is logged, never swallowed."""

    async def guarded() -> None:
        try:
            await work
        except Exception:  # noqa: BLE001 - one connection's fault must not end the others
            log.exception("fault in %s", work)

    IOLoop.current().spawn_callback(guarded)


class Actor:
    """Takes messages in the order they were posted, on the loop it was made on."""

    def __init__(self) -> None:
        self.mailbox: deque[Any] = deque()
        self.loop = IOLoop.current()
        self.running = False

    def post(self, message: object) -> None:
        """Leave a message. Nothing waits on an empty mailbox, so an actor no one knows simply goes."""
        self.mailbox.append(message)
        if not self.running:
            self.running = True
            self.loop.add_callback(self._serve)

    def _serve(self) -> None:
        try:
            while self.mailbox:
                message = self.mailbox.popleft()
                try:
                    self.take(message)
                except Exception:  # noqa: BLE001 - later messages still need their answers
                    log.exception("fault on %s", type(message).__name__)
        finally:
            self.running = False

    def take(self, message: Any) -> None:
        raise NotImplementedError
