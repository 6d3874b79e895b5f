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

from spanwing.net.address import Address, open_socket
from spanwing.net.buffers import BufferPool
from spanwing.net.http import HttpStream

IDLE_TIMEOUT_FRACTION = 0.6  # of the idle time allowed: a late timer of ours must still be in time
MAX_CONNECT_ATTEMPTS = 2  # connections opened at most until one stands
MAX_IDLE_CONNECTIONS = 3  # idle ones kept open to one next hop
MIN_IDLE_TIMEOUT_S = 0.02  # a connection may always be used again at once
MAX_CONNECTIONS = 12  # connections in use at one next hop; further attempts wait for one


class GuardedStream(IOStream):
    """Asks, each time bytes are handed to the kernel, whether they may still be sent. Bytes that the kernel
    had no room for wait here, perhaps past the end of the permission under which they were written."""

    permit: Callable[[], bool] | None = None  # None: nothing can forbid it

    def write_to_fd(self, data: memoryview) -> int:
        if self.permit is not None and not self.permit():
            del data  # the traceback must not keep the buffer
            raise ConnectionAbortedError(errno.ECONNABORTED, "may not be sent any more")
        return super().write_to_fd(data)


class PooledConnection(HttpStream):
    """A connection to a next hop."""

    stream: GuardedStream
    idle_s = 0.0  # idle before its present use; 0: it is new
    is_shut_down = False  # nothing more is written here
    is_garbled = False  # what came was no whole answer, and we have ended it

    def shut_down_writing(self) -> None:
        """Let the other side see our end, and still read what comes."""
        self.is_shut_down = True
        if not self.stream.closed():
            with suppress(OSError):  # the other side may just have reset it
                self.stream.socket.shutdown(socket.SHUT_WR)

    def abort(self) -> None:
        """Close it, whatever is coming."""
        if not self.stream.closed():
            self.is_garbled = not self.parser.is_idle()
            self.close()


class DescriptorBudget:
    """What the pools of all next hops may hold together; the oldest idle connection of any gives way."""

    def __init__(self, max_open: int) -> None:
        self.max_open, self.open_count = max_open, 0
        self.idle_connections: dict[
            PooledConnection, Callable[[], None]
        ] = {}  # oldest first, with what closes it

    def set_limit(self, max_open: int) -> None:
        """Another limit; idle connections beyond it are closed at once."""
        self.max_open = max_open
        while self.open_count > max_open and self.idle_connections:
            next(iter(self.idle_connections.values()))()

    def acquire(self) -> bool:
        """Whether one more connection may be opened."""
        if self.open_count >= self.max_open and self.idle_connections:
            next(iter(self.idle_connections.values()))()
        if self.open_count >= self.max_open:
            return False
        self.open_count += 1
        return True


class ConnectionPool:
    """Hands out connections that are certainly not stale, opens others."""

    def __init__(
        self,
        address: Address,
        buffers: BufferPool,
        descriptors: DescriptorBudget,
        idle_timeout_ms: float,
        connect_timeout_ms: float,
    ) -> None:
        self.address, self.buffers, self.descriptors = address, buffers, descriptors
        self.max_idle_timeout_s, self.connect_timeout_s = (
            idle_timeout_ms * IDLE_TIMEOUT_FRACTION / 1000.0,
            connect_timeout_ms / 1000.0,
        )
        self.idle_timeout_s = (
            self.max_idle_timeout_s
        )  # shorter while the other side drops idle connections without a word
        self.loop = IOLoop.current()
        self.idle_connections: dict[
            PooledConnection, tuple[float, object]
        ] = {}  # since when, and the timer that ends it
        self.connection_slots = Semaphore(MAX_CONNECTIONS)
        #: It has spoken where nothing was asked, as with a second answer to one request: the next such might
        #: be taken for the answer to another request, so a connection carries one.
        self.had_unsolicited_data = False

    async def acquire(
        self, new_only: bool = False, is_wanted: Callable[[], bool] = lambda: True
    ) -> PooledConnection | None:
        """A connection to write on, perhaps a new one only; None when none came up in time, or what it is for
        is no longer wanted. Give it back, or drop it."""
        try:
            await self.connection_slots.acquire(timedelta(seconds=self.connect_timeout_s))
        except WaitOver:
            return None
        while self.idle_connections and not new_only:
            connection = next(reversed(self.idle_connections))
            idle_since_s = self._remove_idle(connection)
            # A request written to a connection that the next hop has closed may count as run: never write
            # on one that stood idle too long or that the kernel says was closed.
            if self.loop.time() - idle_since_s < self.idle_timeout_s and connection.is_reusable():
                connection.idle_s = self.loop.time() - idle_since_s
                return connection
            self.had_unsolicited_data |= not (
                connection.has_no_pending_input() or connection.has_peer_closed()
            )
            self._close(connection)
        # A reset of one that was only just opened says nothing of the next hop; a refusal or silence does.
        for _ in range(MAX_CONNECT_ATTEMPTS):
            if not is_wanted() or not self.descriptors.acquire():
                break
            stream = GuardedStream(open_socket(self.address))
            connection = PooledConnection(stream, self.buffers, parses_responses=True)
            try:
                await with_timeout(
                    timedelta(seconds=self.connect_timeout_s),
                    stream.connect(self.address.socket_address),
                    quiet_exceptions=StreamClosedError,
                )
                return connection
            except (WaitOver, StreamClosedError):
                self._close(connection)
            if not isinstance(stream.error, ConnectionResetError):
                break
        self.connection_slots.release()
        return None

    def release(self, connection: PooledConnection) -> None:
        """Take back a connection that is ready for another request."""
        self.connection_slots.release()
        if (
            connection.stream.closed()
            or len(self.idle_connections) >= MAX_IDLE_CONNECTIONS
            or self.had_unsolicited_data
        ):
            self._close(connection)
            return
        timer = self.loop.call_later(self.idle_timeout_s, self._expire, connection)
        self.idle_connections[connection] = self.loop.time(), timer
        self.descriptors.idle_connections[connection] = lambda: self._expire(connection)

    def record_outcome(self, connection: PooledConnection, was_answered: bool) -> None:
        """How a request fared on a connection that had stood idle: how long others may stand."""
        if connection.idle_s and not was_answered:
            self.idle_timeout_s = max(MIN_IDLE_TIMEOUT_S, min(self.idle_timeout_s, connection.idle_s / 2.0))
        elif connection.idle_s > self.idle_timeout_s / 2.0:
            self.idle_timeout_s = min(self.max_idle_timeout_s, self.idle_timeout_s * 1.5)

    def discard(self, connection: PooledConnection) -> None:
        self._close(connection)
        self.connection_slots.release()

    def close_idle(self) -> None:
        """Close what is idle."""
        while self.idle_connections:
            self._expire(next(iter(self.idle_connections)))

    def _expire(self, connection: PooledConnection) -> None:
        self._remove_idle(connection)
        self._close(connection)

    def _remove_idle(self, connection: PooledConnection) -> float:
        """No longer idle; since when it was."""
        idle_since_s, timer = self.idle_connections.pop(connection)
        del self.descriptors.idle_connections[connection]
        self.loop.remove_timeout(timer)
        return idle_since_s

    def _close(self, connection: PooledConnection) -> None:
        connection.close()
        self.descriptors.open_count -= 1
