"""Actors: a mailbox each, one message at a time, nothing shared."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Coroutine
from typing import Any

from tornado.ioloop import IOLoop

logger = logging.getLogger("spanwing")


def spawn_task(coroutine: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine by itself; what it raises is a fault of ours and is logged, never swallowed."""

    async def run_guarded() -> None:
        try:
            await coroutine
        except Exception:  # noqa: BLE001 - one connection's fault must not end the others
            logger.exception("fault in %s", coroutine)

    IOLoop.current().spawn_callback(run_guarded)


class Actor:
    """Takes messages in the order they were posted, on the loop it was made on."""

    def __init__(self) -> None:
        self.mailbox: deque[Any] = deque()
        self.loop = IOLoop.current()
        self.is_scheduled = False

    def post(self, message: object) -> None:
        """Leave a message. Nothing waits on an empty mailbox, so an actor no one knows simply goes."""
        self.mailbox.append(message)
        if not self.is_scheduled:
            self.is_scheduled = True
            self.loop.add_callback(self._drain_mailbox)

    def _drain_mailbox(self) -> None:
        try:
            while self.mailbox:
                message = self.mailbox.popleft()
                try:
                    self.handle_message(message)
                except Exception:  # noqa: BLE001 - later messages still need their answers
                    logger.exception("fault on %s", type(message).__name__)
        finally:
            self.is_scheduled = False

    def handle_message(self, message: Any) -> None:
        raise NotImplementedError
