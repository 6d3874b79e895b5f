"""Actors: a mailbox each, one message at a time, nothing shared."""

from __future__ import annotations

import logging
from collections.abc import Coroutine
from typing import Any

from tornado.ioloop import IOLoop
from tornado.queues import Queue

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
    """Takes messages in the order they were posted."""

    def __init__(self) -> None:
        self.mailbox: Queue[Any] = Queue()

    def post(self, message: object) -> None:
        self.mailbox.put_nowait(message)

    def start(self) -> None:
        spawn(self._serve())

    async def _serve(self) -> None:
        async for message in self.mailbox:
            try:
                self.take(message)
            except Exception:  # noqa: BLE001 - later messages still need their answers
                log.exception("fault on %s", type(message).__name__)

    def take(self, message: Any) -> None:
        raise NotImplementedError
