"""Actors on the event loop: each has a mailbox, handles one message at a time and shares no state."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Coroutine
from typing import Any

from tornado.ioloop import IOLoop

logger = logging.getLogger("spanwing")


def spawn_task(coroutine: Coroutine[Any, Any, None]) -> None:
    """Runs a coroutine on the current event loop without waiting for it; logs an exception from it."""

    async def run_guarded() -> None:
        try:
            await coroutine
        except Exception:  # a fault in one connection must not end the others
            logger.exception("fault in the task %s", coroutine)

    IOLoop.current().spawn_callback(run_guarded)


class Actor:
    """Handles messages in the order they were posted, on the event loop on which it was created."""

    def __init__(self) -> None:
        self.mailbox: deque[Any] = deque()
        self.loop = IOLoop.current()
        self.is_scheduled = False

    def post(self, message: object) -> None:
        """Appends a message to the mailbox, which is unbounded.

        No task waits on an empty mailbox, so an actor without references is garbage-collected.
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
                except Exception:  # the senders of later messages still need answers
                    logger.exception(
                        "fault in the handling of a %s message; the actor goes on with the next one",
                        type(message).__name__,
                    )
        finally:
            self.is_scheduled = False

    def handle_message(self, message: Any) -> None:
        """Handles one message; implemented by subclasses. An exception is logged."""
        raise NotImplementedError
