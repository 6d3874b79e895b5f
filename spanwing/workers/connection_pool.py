"""Connections to one worker, kept open between delivery attempts."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from contextlib import suppress
from datetime import timedelta

from tornado.gen import TimeoutError as TornadoTimeoutError
from tornado.gen import with_timeout
from tornado.ioloop import IOLoop
from tornado.iostream import StreamClosedError
from tornado.locks import Semaphore

from spanwing.net.address import Address, open_socket
from spanwing.net.buffers import BufferPool
from spanwing.net.http import HttpStream
from spanwing.net.tcp_stream import TcpStream

IDLE_TIMEOUT_FRACTION = 0.6  # of the idle time allowed: a timer that fires late must still be in time
MAX_CONNECT_ATTEMPTS = 2  # attempts to open one connection, at most
MAX_IDLE_CONNECTIONS = 3  # idle connections kept open to one worker
MIN_IDLE_TIMEOUT_S = 0.02  # lower bound of the adaptive idle timeout
MAX_CONNECTIONS = 12  # connections in use to one worker; further attempts wait for one


class GuardedStream(TcpStream):
    """Checks, each time bytes are handed to the kernel, whether they may still be sent.

    Bytes that the kernel had no room for are buffered here, perhaps past the end of the permission under
    which they were written.
    """

    permit: Callable[[], bool] | None = None  # None: always permitted

    def write_to_fd(self, data: memoryview) -> int:
        """Writes to the socket; raises ConnectionAbortedError if the permission has ended."""
        if self.permit is not None and not self.permit():
            del data  # the traceback must not keep the buffer
            raise ConnectionAbortedError(errno.ECONNABORTED, "may not be sent any more")
        return super().write_to_fd(data)


class PooledConnection(HttpStream):
    """An HTTP connection to a worker."""

    stream: GuardedStream
    idle_s = 0.0  # idle time before the present use; 0: new connection
    is_shut_down = False  # the write side is closed
    is_garbled = False  # its response was malformed or cut off here

    def shut_down_writing(self) -> None:
        """Closes the write side (FIN); what the peer still sends can be read."""
        self.is_shut_down = True
        if not self.stream.closed():
            with suppress(OSError):  # the peer may just have reset it
                self.stream.socket.shutdown(socket.SHUT_WR)

    def abort(self) -> None:
        """Closes the connection, even in the middle of a response."""
        if not self.stream.closed():
            self.is_garbled = not self.parser.is_idle()
            self.close()


class DescriptorBudget:
    """Limits the open connections of the pools of all workers together.

    At the limit the oldest idle connection of any pool is closed to make room.
    """

    def __init__(self, max_open: int) -> None:
        self.max_open, self.open_count = max_open, 0
        self.idle_connections: dict[
            PooledConnection, Callable[[], None]
        ] = {}  # oldest first, with the callback that closes it

    def set_limit(self, max_open: int) -> None:
        """Sets another limit; idle connections beyond it are closed at once."""
        self.max_open = max_open
        while self.open_count > max_open and self.idle_connections:
            next(iter(self.idle_connections.values()))()

    def acquire(self) -> bool:
        """Reserves one more connection; returns False if the limit is reached."""
        if self.open_count >= self.max_open and self.idle_connections:
            next(iter(self.idle_connections.values()))()
        if self.open_count >= self.max_open:
            return False
        self.open_count += 1
        return True


class ConnectionPool:
    """Hands out idle connections that are certainly not stale, and opens new ones."""

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
        )  # shorter while the worker drops idle connections silently
        self.loop = IOLoop.current()
        self.idle_connections: dict[
            PooledConnection, tuple[float, object]
        ] = {}  # idle since (loop time), and the expiry timer
        self.connection_slots = Semaphore(MAX_CONNECTIONS)
        #: The worker has sent unsolicited data, such as a second response to one request. The next such might
        #: be taken for the response to another request, so each connection carries one request only.
        self.had_unsolicited_data = False

    async def acquire(
        self, new_only: bool = False, is_wanted: Callable[[], bool] = lambda: True
    ) -> PooledConnection | None:
        """Returns a connection to write on; with new_only a new one.

        Waits up to the connect timeout for a slot, and as long again for each of at most MAX_CONNECT_ATTEMPTS
        connects. Returns None if none could be had in that time, or if is_wanted() no longer holds. The
        caller must release() or discard() it.
        """
        try:
            await self.connection_slots.acquire(timedelta(seconds=self.connect_timeout_s))
        except TornadoTimeoutError:
            return None
        while self.idle_connections and not new_only:
            connection = next(reversed(self.idle_connections))
            idle_since_s = self._remove_idle(connection)
            # A request written to a connection that the worker has closed may count as run: never write
            # on one that was idle too long or that the kernel reports as closed.
            if self.loop.time() - idle_since_s < self.idle_timeout_s and connection.is_reusable():
                connection.idle_s = self.loop.time() - idle_since_s
                return connection
            self.had_unsolicited_data |= not (
                connection.has_no_pending_input() or connection.has_peer_closed()
            )
            self._close(connection)
        # A reset of a connection just opened is no evidence against the worker; a refusal or a timeout is.
        for _ in range(MAX_CONNECT_ATTEMPTS):
            if not is_wanted() or not self.descriptors.acquire():
                break
            try:
                stream = GuardedStream(open_socket(self.address))
                connection = PooledConnection(stream, self.buffers, parses_responses=True)
            except OSError:  # no descriptor or buffer for the moment
                self.descriptors.open_count -= 1
                break
            try:
                await with_timeout(
                    timedelta(seconds=self.connect_timeout_s),
                    stream.connect(self.address.socket_address),
                    quiet_exceptions=StreamClosedError,
                )
                return connection
            except (TornadoTimeoutError, StreamClosedError):
                self._close(connection)
            if not isinstance(stream.error, ConnectionResetError):
                break
        self.connection_slots.release()
        return None

    def release(self, connection: PooledConnection) -> None:
        """Takes back a connection that is ready for another request."""
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
        """Adapts the idle timeout to the outcome of a request on a connection that had been idle.

        Without an answer the timeout falls to half of the idle time (at least MIN_IDLE_TIMEOUT_S); after an
        answer on a connection idle for more than half of the timeout it grows by half, up to its maximum.
        """
        if connection.idle_s and not was_answered:
            self.idle_timeout_s = max(MIN_IDLE_TIMEOUT_S, min(self.idle_timeout_s, connection.idle_s / 2.0))
        elif connection.idle_s > self.idle_timeout_s / 2.0:
            self.idle_timeout_s = min(self.max_idle_timeout_s, self.idle_timeout_s * 1.5)

    def discard(self, connection: PooledConnection) -> None:
        """Closes a connection in use and frees its slot."""
        self._close(connection)
        self.connection_slots.release()

    def close_idle(self) -> None:
        """Closes all idle connections."""
        while self.idle_connections:
            self._expire(next(iter(self.idle_connections)))

    def _expire(self, connection: PooledConnection) -> None:
        self._remove_idle(connection)
        self._close(connection)

    def _remove_idle(self, connection: PooledConnection) -> float:
        """Takes a connection off the idle ones; returns since when it was idle (loop time, s)."""
        idle_since_s, timer = self.idle_connections.pop(connection)
        del self.descriptors.idle_connections[connection]
        self.loop.remove_timeout(timer)
        return idle_since_s

    def _close(self, connection: PooledConnection) -> None:
        connection.close()
        self.descriptors.open_count -= 1
