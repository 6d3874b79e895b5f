"""Connections to one next hop, kept open between delivery attempts."""

from __future__ import annotations

from collections import deque
from contextlib import suppress
from datetime import timedelta

from tornado.gen import TimeoutError as WaitOver
from tornado.gen import with_timeout
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError
from tornado.locks import Semaphore

from spanwing.net.address import Address, open_socket
from spanwing.net.buffers import BufferPool
from spanwing.net.http import HttpStream

CLOSE_AFTER = 0.6  # of the idle time allowed: a late timer of ours must still be in time
MOST = 12  # connections to one next hop; further attempts wait for one


class ConnectionPool:
    """Hands out connections that are certainly not stale, opens others."""

    def __init__(self, address: Address, buffers: BufferPool, idle_ms: float, connect_ms: float) -> None:
        self.address, self.buffers = address, buffers
        self.keep_s, self.connect_s = idle_ms * CLOSE_AFTER / 1000.0, connect_ms / 1000.0
        self.loop = IOLoop.current()
        self.idle: deque[tuple[HttpStream, float, object]] = deque()
        self.room = Semaphore(MOST)

    async def take(self) -> HttpStream | None:
        """A connection to write on; None when none came up in time. Give it back, or drop it."""
        try:
            await self.room.acquire(timedelta(seconds=self.connect_s))
        except WaitOver:
            return None
        while self.idle:
            connection, since, timer = self.idle.pop()
            self.loop.remove_timeout(timer)
            # A request written to a connection that the next hop has closed may count as run: never write
            # on one that stood idle too long or that the kernel says was closed.
            if self.loop.time() - since < self.keep_s and connection.fresh():
                return connection
            connection.close()
        stream = IOStream(open_socket(self.address))
        try:
            await with_timeout(timedelta(seconds=self.connect_s), stream.connect(self.address.target),
                               quiet_exceptions=StreamClosedError)
        except (WaitOver, StreamClosedError):
            stream.close()
            self.room.release()
            return None
        return HttpStream(stream, self.buffers, responses=True)

    def give(self, connection: HttpStream) -> None:
        """Take back a connection that is ready for another request."""
        self.room.release()
        if connection.stream.closed():
            return
        entry: list[tuple[HttpStream, float, object]] = []

        def expire() -> None:
            with suppress(ValueError):
                self.idle.remove(entry[0])
            connection.close()

        timer = self.loop.call_later(self.keep_s, expire)
        entry.append((connection, self.loop.time(), timer))
        self.idle.append(entry[0])

    def drop(self, connection: HttpStream) -> None:
        connection.close()
        self.room.release()

    def clear(self) -> None:
        """Close what is idle."""
        while self.idle:
            connection, _, timer = self.idle.popleft()
            self.loop.remove_timeout(timer)
            connection.close()
