"""Connections to one next hop, kept open between delivery attempts."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from contextlib import suppress
from datetime import timedelta

from tornado.gen import TimeoutError as WaitOver
from tornado.gen import with_timeout
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError
from tornado.locks import Semaphore

from spanwing.wire.address import Address, open_socket
from spanwing.wire.buffers import BufferPool
from spanwing.wire.http import HttpStream

CLOSE_AFTER = 0.6  # of the idle time allowed: a late timer of ours must still be in time
OPENED = 2  # connections opened at most until one stands
SPARE = 3  # idle ones kept open to one next hop
SHORTEST_S = 0.02  # a connection may always be used again at once
MOST = 12  # connections in use at one next hop; further attempts wait for one


class GuardedStream(IOStream):
    """Asks, each time bytes are handed to the kernel, whether they may still be sent. Bytes that the kernel
    had no room for wait here, perhaps past the end of the permission under which they were written."""

    permit: Callable[[], bool] | None = None  # None: nothing can forbid it

    def write_to_fd(self, data: memoryview) -> int:
        if self.permit is not None and not self.permit():
            del data  # the traceback must not keep the buffer
            raise ConnectionAbortedError(errno.ECONNABORTED, "may not be sent any more")
        return super().write_to_fd(data)


class PooledHttp(HttpStream):
    """A connection to a next hop."""

    stream: GuardedStream
    stood_s = 0.0  # idle before its present use; 0: it is new
    shut = False  # nothing more is written here
    garbled = False  # what came was no whole answer, and we have ended it

    def shut_down(self) -> None:
        """Let the other side see our end, and still read what comes."""
        self.shut = True
        if not self.stream.closed():
            with suppress(OSError):  # the other side may just have reset it
                self.stream.socket.shutdown(socket.SHUT_WR)

    def hang_up(self) -> None:
        """Close it, whatever is coming."""
        if not self.stream.closed():
            self.garbled = not self.parser.idle()
            self.close()


class Descriptors:
    """What the pools of all next hops may hold together; the oldest idle connection of any gives way."""

    def __init__(self, most: int) -> None:
        self.most, self.held = most, 0
        self.idle: dict[PooledHttp, Callable[[], None]] = {}  # oldest first, with what closes it

    def limit(self, most: int) -> None:
        """Another limit; idle connections beyond it are closed at once."""
        self.most = most
        while self.held > most and self.idle:
            next(iter(self.idle.values()))()

    def take(self) -> bool:
        """Whether one more connection may be opened."""
        if self.held >= self.most and self.idle:
            next(iter(self.idle.values()))()
        if self.held >= self.most:
            return False
        self.held += 1
        return True


class ConnectionPool:
    """Hands out connections that are certainly not stale, opens others."""

    def __init__(
        self,
        address: Address,
        buffers: BufferPool,
        descriptors: Descriptors,
        idle_ms: float,
        connect_ms: float,
    ) -> None:
        self.address, self.buffers, self.descriptors = address, buffers, descriptors
        self.longest_s, self.connect_s = idle_ms * CLOSE_AFTER / 1000.0, connect_ms / 1000.0
        self.keep_s = self.longest_s  # shorter while the other side drops idle connections without a word
        self.loop = IOLoop.current()
        self.idle: dict[PooledHttp, tuple[float, object]] = {}  # since when, and the timer that ends it
        self.room = Semaphore(MOST)
        #: It has spoken where nothing was asked, as with a second answer to one request: the next such might
        #: be taken for the answer to another request, so a connection carries one.
        self.spoilt = False

    async def take(self, new: bool = False, wanted: Callable[[], bool] = lambda: True) -> PooledHttp | None:
        """A connection to write on, perhaps a new one only; None when none came up in time, or what it is for
        is no longer wanted. Give it back, or drop it."""
        try:
            await self.room.acquire(timedelta(seconds=self.connect_s))
        except WaitOver:
            return None
        while self.idle and not new:
            connection = next(reversed(self.idle))
            since = self._take_out(connection)
            # A request written to a connection that the next hop has closed may count as run: never write
            # on one that stood idle too long or that the kernel says was closed.
            if self.loop.time() - since < self.keep_s and connection.fresh():
                connection.stood_s = self.loop.time() - since
                return connection
            self.spoilt |= not (connection.silent() or connection.ended())
            self._close(connection)
        # A reset of one that was only just opened says nothing of the next hop; a refusal or silence does.
        for _ in range(OPENED):
            if not wanted() or not self.descriptors.take():
                break
            stream = GuardedStream(open_socket(self.address))
            connection = PooledHttp(stream, self.buffers, responses=True)
            try:
                await with_timeout(
                    timedelta(seconds=self.connect_s),
                    stream.connect(self.address.target),
                    quiet_exceptions=StreamClosedError,
                )
                return connection
            except (WaitOver, StreamClosedError):
                self._close(connection)
            if not isinstance(stream.error, ConnectionResetError):
                break
        self.room.release()
        return None

    def give(self, connection: PooledHttp) -> None:
        """Take back a connection that is ready for another request."""
        self.room.release()
        if connection.stream.closed() or len(self.idle) >= SPARE or self.spoilt:
            self._close(connection)
            return
        timer = self.loop.call_later(self.keep_s, self._expire, connection)
        self.idle[connection] = self.loop.time(), timer
        self.descriptors.idle[connection] = lambda: self._expire(connection)

    def learn(self, connection: PooledHttp, answered: bool) -> None:
        """How a request fared on a connection that had stood idle: how long others may stand."""
        if connection.stood_s and not answered:
            self.keep_s = max(SHORTEST_S, min(self.keep_s, connection.stood_s / 2.0))
        elif connection.stood_s > self.keep_s / 2.0:
            self.keep_s = min(self.longest_s, self.keep_s * 1.5)

    def drop(self, connection: PooledHttp) -> None:
        self._close(connection)
        self.room.release()

    def clear(self) -> None:
        """Close what is idle."""
        while self.idle:
            self._expire(next(iter(self.idle)))

    def _expire(self, connection: PooledHttp) -> None:
        self._take_out(connection)
        self._close(connection)

    def _take_out(self, connection: PooledHttp) -> float:
        """No longer idle; since when it was."""
        since, timer = self.idle.pop(connection)
        del self.descriptors.idle[connection]
        self.loop.remove_timeout(timer)
        return since

    def _close(self, connection: PooledHttp) -> None:
        connection.close()
        self.descriptors.held -= 1
