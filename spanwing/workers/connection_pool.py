"""The pool of HTTP connections to one worker, which stay open between delivery attempts."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from contextlib import suppress
from datetime import timedelta

from tornado.gen import TimeoutError as TornadoTimeoutError
from tornado.ioloop import IOLoop
from tornado.locks import Semaphore

from spanwing.net.address import Address, open_socket
from spanwing.net.buffers import BufferPool
from spanwing.net.http import HttpStream
from spanwing.net.stream import wait_at_most
from spanwing.net.tcp_stream import TcpStream
from spanwing.resources.memory_account import CONNECTION_BYTES, MemoryCharge

IDLE_TIMEOUT_FRACTION = 0.6  # of the configured idle time, so that a timer that fires late is still in time
MAX_CONNECT_ATTEMPTS = 2  # per connection
MAX_IDLE_CONNECTIONS = 3  # idle connections kept open to one worker
MIN_IDLE_TIMEOUT_S = 0.02  # lower bound of the adaptive idle timeout
USED_FIELDS = frozenset({"x-load-report", "x-rejected"})  # of a worker's response
MAX_CONNECTIONS = 12  # connections in use to one worker; further attempts wait for a slot


class GuardedStream(TcpStream):
    """A stream that checks before each write to the socket whether the bytes may still be sent.

    Bytes that do not fit into the kernel's send buffer stay in the stream's buffer. The permission under
    which they were written may end before there is room for them.
    """

    permit: Callable[[], bool] | None = None  # returns whether bytes may be sent; None: they always may

    def write_to_fd(self, data: memoryview) -> int:
        """Writes to the socket; raises ConnectionAbortedError if the bytes may no longer be sent."""
        if self.permit is not None and not self.permit():
            del data  # else the traceback would keep a reference to the buffer
            raise ConnectionAbortedError(errno.ECONNABORTED, "the attempt may no longer be sent")
        return super().write_to_fd(data)


class PooledConnection(HttpStream):
    """An HTTP connection to a worker."""

    stream: GuardedStream
    idle_before_use_s = 0.0  # idle time before the current use; 0: a new connection
    is_write_shut_down = False  # the write side is closed
    is_response_invalid = False  # the response is malformed, or was cut off by this side

    def __init__(self, stream: GuardedStream, buffers: BufferPool) -> None:
        super().__init__(stream, buffers, parses_responses=True, used_fields=USED_FIELDS)
        self.connection_charge = MemoryCharge(buffers.account, "connections")

    def shed_bytes(self) -> int:
        """Returns the bytes of an incomplete response, which may be given up."""
        return self.parser.held_bytes()

    def shed(self) -> None:
        """Gives up an incomplete response."""
        self.abort()

    def shut_down_writing(self) -> None:
        """Closes the write side (FIN). Data from the worker can still be read."""
        self.is_write_shut_down = True
        if not self.stream.closed():
            with suppress(OSError):  # the worker may just have reset the connection
                self.stream.socket.shutdown(socket.SHUT_WR)

    def abort(self) -> None:
        """Closes the connection; a response that is only partly read then counts as invalid."""
        if not self.stream.closed():
            self.is_response_invalid = not self.parser.is_idle()
            self.close()


class DescriptorBudget:
    """Limits the number of open connections of all pools together.

    At the limit, the oldest idle connection of any pool is closed to make room.
    """

    def __init__(self, max_open: int) -> None:
        self.max_open, self.open_count = max_open, 0
        # The idle connections of all pools, oldest first, with the callbacks that close them.
        self.idle_connections: dict[PooledConnection, Callable[[], None]] = {}

    def set_limit(self, max_open: int) -> None:
        """Changes the limit; idle connections beyond it are closed at once."""
        self.max_open = max_open
        while self.open_count > max_open and self.idle_connections:
            next(iter(self.idle_connections.values()))()

    def acquire(self) -> bool:
        """Reserves a descriptor for one more connection; returns False if the limit is reached."""
        if self.open_count >= self.max_open and self.idle_connections:
            next(iter(self.idle_connections.values()))()
        if self.open_count >= self.max_open:
            return False
        self.open_count += 1
        return True


class ConnectionPool:
    """The connections to one worker: reuses idle ones that are not stale, and opens new ones."""

    def __init__(
        self,
        address: Address,
        buffers: BufferPool,
        descriptors: DescriptorBudget,
        idle_timeout_ms: float,
        connect_timeout_ms: float,
    ) -> None:
        """idle_timeout_ms: after this idle time the worker may close a connection."""
        self.address, self.buffers, self.descriptors = address, buffers, descriptors
        self.max_idle_timeout_s, self.connect_timeout_s = (
            idle_timeout_ms * IDLE_TIMEOUT_FRACTION / 1000.0,
            connect_timeout_ms / 1000.0,
        )
        # Adapted by record_outcome(): shorter while the worker drops idle connections silently.
        self.idle_timeout_s = self.max_idle_timeout_s
        self.loop = IOLoop.current()
        # By idle connection: the loop time since which it is idle, and its expiry timer. Oldest first.
        self.idle_connections: dict[PooledConnection, tuple[float, object]] = {}
        self.connection_slots = Semaphore(MAX_CONNECTIONS)
        #: The worker has sent unsolicited data, such as a second response to one request. More of it could be
        #: taken for the response to another request, so each connection then carries only one request.
        self.had_unsolicited_data = False

    async def acquire(
        self, new_only: bool = False, is_wanted: Callable[[], bool] = lambda: True
    ) -> PooledConnection | None:
        """Returns a connection that is ready for a request; with new_only, a new one.

        Waits up to the connect timeout for a slot, and as long again for each of at most MAX_CONNECT_ATTEMPTS
        connects. Returns None if there is no connection in that time, if no descriptor is left, or if
        is_wanted() is False before a connect. The caller must release() or discard() the connection.
        """
        try:
            await self.connection_slots.acquire(timedelta(seconds=self.connect_timeout_s))
        except TornadoTimeoutError:
            return None
        while self.idle_connections and not new_only:
            connection = next(reversed(self.idle_connections))
            idle_since_s = self._remove_idle(connection)
            # A request that is written to a connection which the worker has closed may have to count as run.
            # Connections that were idle for too long, or that the kernel reports as closed, are not used.
            if self.loop.time() - idle_since_s < self.idle_timeout_s and connection.is_reusable():
                connection.idle_before_use_s = self.loop.time() - idle_since_s
                return connection
            self.had_unsolicited_data |= not (
                connection.has_no_pending_input() or connection.has_peer_closed()
            )
            self._close(connection)
        # A reset right after connecting does not prove that the worker is unreachable, so the connect is
        # repeated; after a refusal or a timeout it is not.
        for _ in range(MAX_CONNECT_ATTEMPTS):
            if not is_wanted() or not self.descriptors.acquire():
                break
            try:
                stream = GuardedStream(open_socket(self.address))
                connection = PooledConnection(stream, self.buffers)
                connection.connection_charge.set(CONNECTION_BYTES)
                self.buffers.account.holders.add(connection)
            except OSError:  # the system has no descriptor or buffer left
                self.descriptors.open_count -= 1
                break
            connecting = stream.connect(self.address.socket_address)
            is_done = await wait_at_most(connecting, self.connect_timeout_s)
            if is_done and connecting.exception() is None:
                return connection
            self._close(connection)
            del connecting  # it keeps its exception, whose traceback refers to this frame
            if not isinstance(stream.error, ConnectionResetError):
                break
        self.connection_slots.release()
        return None

    def release(self, connection: PooledConnection) -> None:
        """Returns a connection that is ready for another request to the pool, and frees its slot."""
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
        """Adapts the idle timeout to whether a request on a connection that had been idle was answered.

        Without an answer the timeout falls to half of that idle time, but not below MIN_IDLE_TIMEOUT_S. After
        an answer on a connection that was idle for more than half of the timeout, it grows by half, up to its
        maximum.
        """
        if connection.idle_before_use_s and not was_answered:
            self.idle_timeout_s = max(
                MIN_IDLE_TIMEOUT_S, min(self.idle_timeout_s, connection.idle_before_use_s / 2.0)
            )
        elif connection.idle_before_use_s > self.idle_timeout_s / 2.0:
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
        """Removes a connection from the idle ones; returns the loop time since which it was idle."""
        idle_since_s, timer = self.idle_connections.pop(connection)
        del self.descriptors.idle_connections[connection]
        self.loop.remove_timeout(timer)
        return idle_since_s

    def _close(self, connection: PooledConnection) -> None:
        connection.close()
        connection.connection_charge.set(0)
        self.descriptors.open_count -= 1
