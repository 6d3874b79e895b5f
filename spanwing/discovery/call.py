"""One HTTP call to discovery: connects, sends the request and reads the whole response.

Every call ends in a CallResult, which holds either the endpoint list or a CallFailure.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

import msgspec
from tornado.gen import TimeoutError as TornadoTimeoutError
from tornado.gen import sleep, with_timeout
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError

from spanwing.discovery.call_failure import CallFailure
from spanwing.json_input import decode_json
from spanwing.net.address import Address, open_socket
from spanwing.net.buffers import BufferPool
from spanwing.net.http import HttpStream, encode_request
from spanwing.net.http_parser import TOO_LARGE_STATUS, HttpError
from spanwing.net.tcp_stream import TcpStream

MAX_WORKERS = 3200  # in one fleet
MAX_ENTRY_BYTES = 1280  # one worker's entry in an indented list
MAX_LIST_BYTES = MAX_WORKERS * MAX_ENTRY_BYTES


class DiscoveredWorker(msgspec.Struct):
    """One worker as discovery lists it; the field names are those of the protocol."""

    id: str  # name of the worker
    host_port: str = ""
    locality: str | None = None  # zone
    flavor: str | None = None  # worker kind
    cell: int | None = None
    phase: str = "active"  # active, leaving (draining) or left
    size: float | None = None  # weight
    up_since_ms: float | None = None  # start of the worker


class DiscoveredEndpoints(msgspec.Struct):
    """A response of discovery: the complete endpoint list, or the entries that have changed."""

    revision: int = 0
    complete: bool = False
    members: list[DiscoveredWorker] = []


class CallLimits(NamedTuple):
    """Timeouts of the stages of a call."""

    connect_timeout_s: float
    first_byte_timeout_s: float  # from the start of the call to the first byte of the answer
    stall_timeout_s: float  # longest gap within the answer
    answer_timeout_s: float = 2.0  # from the first byte to the last; longer for a large answer


# answer_timeout_s is extended by the time that the bytes received so far need at this rate.
MIN_ANSWER_BYTES_PER_S = 128 * 1024


class CallResult(NamedTuple):
    """How a call ended; exactly one of endpoints and failure is set. Times are loop times in seconds."""

    endpoints: DiscoveredEndpoints | None
    failure: CallFailure | None
    began_s: float
    ended_s: float
    first_byte_s: float | None  # when the answer began; None if no byte arrived
    last_byte_s: float | None  # when the last byte of the answer arrived
    received_bytes: int = 0  # size of the answer, including its head
    detail: str = ""  # why the answer was rejected; empty for other failures


class AnswerOverdueError(Exception):
    """The next bytes of an answer did not arrive before their deadline."""


class AnswerStream(HttpStream):
    """Reads one answer at a time; every read has a deadline from the limits of the call."""

    def __init__(self, stream: IOStream, buffers: BufferPool) -> None:
        super().__init__(
            stream, buffers, parses_responses=True, max_body_bytes=MAX_LIST_BYTES, used_fields=frozenset()
        )
        self.loop = IOLoop.current()
        self.limits: CallLimits | None = None
        self.on_first_byte: Callable[[float], None] = lambda _: None
        self.began_s = 0.0
        self.first_byte_s: float | None = None
        self.received_bytes = 0  # of the current answer

    def begin_call(self, began_s: float, limits: CallLimits) -> None:
        """Sets the limits for the next answer."""
        self.began_s, self.limits, self.first_byte_s = began_s, limits, None
        self.received_bytes = 0

    async def read(self, sink: bytearray) -> bool:
        """Appends the next input to sink; returns False if the connection has ended.

        Raises AnswerOverdueError if the deadline has passed and no input is pending. If the process was
        paused beyond the deadline, input that has arrived meanwhile is still read.
        """
        try:
            while not self._begin_read().done():
                await self._wait_for_input()
        except StreamClosedError:
            pass
        buffered_bytes = len(sink)
        has_data = self._collect_read(sink)
        self.received_bytes += len(sink) - buffered_bytes
        if has_data and self.first_byte_s is None:
            self.first_byte_s = self.last_read_s
            self.on_first_byte(self.first_byte_s)
        return has_data

    async def _wait_for_input(self) -> None:
        """Waits for the pending read, at most until the deadline.

        Raises AnswerOverdueError if the deadline has passed and no input is pending.
        """
        wait_s = self._next_byte_deadline_s() - self.loop.time()
        try:
            await with_timeout(
                timedelta(seconds=max(0.0, wait_s)), self._begin_read(), quiet_exceptions=StreamClosedError
            )
        except TornadoTimeoutError:
            if self.has_no_pending_input():
                raise AnswerOverdueError from None
            await sleep(0)  # the event loop reads the pending input in its next iteration

    def _next_byte_deadline_s(self) -> float:
        """Returns the loop time by which the next byte has to arrive."""
        if self.first_byte_s is None:
            return self.began_s + self.limits.first_byte_timeout_s
        answer_timeout_s = self.limits.answer_timeout_s + self.received_bytes / MIN_ANSWER_BYTES_PER_S
        return min(self.last_read_s + self.limits.stall_timeout_s, self.first_byte_s + answer_timeout_s)


class DiscoveryConnection:
    """A connection to one discovery address; after a failure the next call opens a new one."""

    def __init__(
        self,
        address: Address,
        buffers: BufferPool,
        on_first_byte: Callable[[float], None] = lambda _: None,
    ) -> None:
        """Initializes the connection without opening it.

        on_first_byte is called with the loop time at which an answer begins.
        """
        self.address, self.buffers, self.on_first_byte = address, buffers, on_first_byte
        self.stream: AnswerStream | None = None

    def close(self) -> None:
        """Closes the connection, if one is open; a call in progress fails."""
        if self.stream is not None:
            self.stream.close()

    async def fetch(self, since: int | None, hold_s: float, limits: CallLimits) -> CallResult:
        """Requests the endpoint list.

        since: the last known revision; discovery then answers as soon as there is a later change, or after
        hold_s (long poll). If since is None, it answers immediately with the complete list. Failures are
        returned, not raised, and close the connection.
        """
        loop = IOLoop.current()
        began_s = loop.time()
        target = "/discovery/hosts"
        if since is not None:
            target += f"?since={since}&timeout_ms={hold_s * 1000.0:.0f}"
        endpoints, failure, detail = None, await self._open(limits.connect_timeout_s), ""
        stream = self.stream
        if failure is CallFailure.NO_SOCKET:
            return CallResult(None, failure, began_s, loop.time(), None, None)
        if failure is None:
            stream.begin_call(began_s, limits)
            request = encode_request("GET", target, {"Host": str(self.address)})
            endpoints, failure, detail = await _exchange(stream, request)
        if failure is not None:
            stream.close()
        first_byte_s = stream.first_byte_s
        last_byte_s = None if first_byte_s is None else stream.last_read_s
        return CallResult(
            endpoints,
            failure,
            began_s,
            loop.time(),
            first_byte_s,
            last_byte_s,
            stream.received_bytes,
            detail,
        )

    async def _open(self, connect_timeout_s: float) -> CallFailure | None:
        """Opens a connection unless the current one can be reused; returns the failure, if any."""
        if self.stream is not None and self.stream.is_reusable():
            return None
        try:
            stream = TcpStream(open_socket(self.address))
            self.stream = AnswerStream(stream, self.buffers)
            self.stream.on_first_byte = self.on_first_byte
        except OSError:  # the system is out of descriptors or buffers
            return CallFailure.NO_SOCKET
        try:
            await with_timeout(
                timedelta(seconds=connect_timeout_s),
                stream.connect(self.address.socket_address),
                quiet_exceptions=StreamClosedError,
            )
        except TornadoTimeoutError:
            return CallFailure.CONNECT_TIMEOUT
        except StreamClosedError:
            return CallFailure.CONNECT_FAILED
        return None


async def _exchange(
    stream: AnswerStream, request: bytes
) -> tuple[DiscoveredEndpoints | None, CallFailure | None, str]:
    """Sends a request and reads the answer; returns the list or the failure, and the failure's detail."""
    try:
        await stream.write(request)
        response = await stream.receive()
    except AnswerOverdueError:
        return None, CallFailure.NO_ANSWER if stream.first_byte_s is None else CallFailure.STALLED, ""
    except StreamClosedError:  # the connection ended while the request was being written
        return None, CallFailure.CLOSED, ""
    except HttpError as error:
        is_too_large = error.status == TOO_LARGE_STATUS
        return None, CallFailure.TOO_LARGE if is_too_large else CallFailure.MALFORMED, str(error)
    if response is None:
        return None, CallFailure.CLOSED if stream.first_byte_s is None else CallFailure.CUT_OFF, ""
    if response.status != 200:
        return None, CallFailure.STATUS, str(response.status)
    if not response.keep_alive:
        stream.close()
    try:
        endpoints = decode_json(response.body, DiscoveredEndpoints)
    except ValueError as error:
        return None, CallFailure.UNREADABLE, str(error)
    return endpoints, None, ""
