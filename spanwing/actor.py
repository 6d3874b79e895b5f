"""Actors: each has a mailbox, handles one message at a time and shares no state."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Coroutine
from typing import Any

from tornado.ioloop import IOLoop

logger = logging.getLogger("spanwing")


def spawn_task(coroutine: Coroutine[Any, Any, None]) -> None:
    """Runs a coroutine on its own. An exception from it is a fault of the program: it is logged, never
    swallowed.
    """

    async def run_guarded() -> None:
        try:
            await coroutine
        except Exception:  # one connection's fault must not end the others
            logger.exception("fault in %s", coroutine)

    IOLoop.current().spawn_callback(run_guarded)


class Actor:
    """Handles messages in the order they were posted, on the event loop on which it was created."""

    def __init__(self) -> None:
        self.mailbox: deque[Any] = deque()
        self.loop = IOLoop.current()
        self.is_scheduled = False

    def post(self, message: object) -> None:
        """Queues a message in the mailbox, which has no bound. Nothing waits on an empty mailbox, so an
        actor without references is simply collected.
        """
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
                except Exception:  # later messages still need their answers
                    logger.exception("fault on %s", type(message).__name__)
        finally:
            self.is_scheduled = False

    def handle_message(self, message: Any) -> None:
        """Handles one message; subclasses implement it. An exception is logged, and the next message
        follows.
        """
        raise NotImplementedError
