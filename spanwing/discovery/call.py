"""One call to discovery over HTTP: connect, write, wait for the whole answer; a typed outcome either way."""

from __future__ import annotations

import enum
import logging
from datetime import timedelta
from typing import NamedTuple

import msgspec
from tornado.gen import TimeoutError as WaitOver
from tornado.gen import with_timeout
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError

from spanwing.net.address import Address, open_socket
from spanwing.net.buffers import BufferPool
from spanwing.net.http import HttpError, HttpMessage, HttpStream, encode_request

logger = logging.getLogger("spanwing")


class DiscoveredWorker(msgspec.Struct):
    """One worker as discovery lists it."""

    id: str
    host_port: str = ""
    locality: str | None = None
    flavor: str | None = None
    cell: int | None = None
    phase: str = "active"
    size: float | None = None
    up_since_ms: float | None = None


class DiscoveredEndpoints(msgspec.Struct):
    """The endpoint list, or a change of it."""

    revision: int = 0
    complete: bool = False
    members: list[DiscoveredWorker] = []


class CallFailure(enum.StrEnum):
    """Why a call brought no list."""

    CONNECT_TIMEOUT = "connect_timeout"
    CONNECT_FAILED = "connect_failed"
    NO_ANSWER = "no_answer"  # no byte within the time allowed
    STALLED = "stalled"  # the answer began and was not complete within the time allowed
    CLOSED = "closed"  # the connection ended before the answer began
    CUT_OFF = "cut_off"  # the connection ended within the answer
    MALFORMED = "malformed"  # no HTTP
    STATUS = "status"  # an answer that is not 200
    UNREADABLE = "unreadable"  # no endpoint list


class CallResult(NamedTuple):
    """How a call ended; exactly one of endpoints and failure is set."""

    endpoints: DiscoveredEndpoints | None
    failure: CallFailure | None
    took_s: float
    is_poll_written: bool = False  # the request left, and asked discovery to wait
    answered_s: float | None = None  # from the start of the call to the last byte that came, if any


class DiscoveryConnection:
    """The connection to one discovery; opened anew by the next call after any failure."""

    def __init__(self, address: Address, buffers: BufferPool, connect_timeout_s: float) -> None:
        self.address, self.buffers, self.connect_timeout_s = address, buffers, connect_timeout_s
        self.stream: HttpStream | None = None

    def close(self) -> None:
        """Closes the connection, if one is open; a call in progress fails."""
        if self.stream is not None:
            self.stream.close()

    async def fetch(self, since: int | None, poll_hold_s: float, answer_timeout_s: float) -> CallResult:
        """Asks for the endpoint list.

        since: the revision after which changes are awaited for poll_hold_s; None: the complete list, at once.
        The whole answer has to come within answer_timeout_s of the request. Never raises.
        """
        began_s = IOLoop.current().time()
        target = "/discovery/hosts"
        if since is not None:
            target += f"?since={since}&timeout_ms={poll_hold_s * 1000.0:.0f}"
        failure = await self._open_and_write(encode_request("GET", target, {"Host": str(self.address)}))
        is_poll_written = failure is None and since is not None
        endpoints = None
        if failure is None:
            endpoints, failure = await self._receive_endpoints(answer_timeout_s)
        took_s = IOLoop.current().time() - began_s
        answered_s = None
        if self.stream is not None and self.stream.last_read_s > began_s:
            answered_s = self.stream.last_read_s - began_s
        if failure is not None:
            self.close()
        return CallResult(endpoints, failure, took_s, is_poll_written, answered_s)

    async def _open_and_write(self, request: bytes) -> CallFailure | None:
        """Writes the request, on a new connection if the present one cannot carry it."""
        if self.stream is None or not self.stream.is_reusable():
            failure = await self._connect()
            if failure is not None:
                return failure
        try:
            await self.stream.write(request)
        except StreamClosedError:
            return CallFailure.CLOSED
        return None

    async def _receive_endpoints(
        self, answer_timeout_s: float
    ) -> tuple[DiscoveredEndpoints | None, CallFailure | None]:
        stream = self.stream
        try:
            response = await with_timeout(
                timedelta(seconds=answer_timeout_s),
                stream.receive(),
                quiet_exceptions=(HttpError, StreamClosedError),
            )
        except WaitOver:
            return None, CallFailure.NO_ANSWER if stream.parser.is_idle() else CallFailure.STALLED
        except StreamClosedError:
            return None, CallFailure.CLOSED
        except HttpError:
            return None, CallFailure.MALFORMED
        if response is None:
            return None, CallFailure.CLOSED if stream.parser.is_idle() else CallFailure.CUT_OFF
        if response.status != 200:
            return None, CallFailure.STATUS
        if not response.keep_alive:
            stream.close()
        endpoints = _read_endpoints(response)
        return endpoints, None if endpoints is not None else CallFailure.UNREADABLE

    async def _connect(self) -> CallFailure | None:
        stream = IOStream(open_socket(self.address))
        self.stream = HttpStream(stream, self.buffers, parses_responses=True)
        try:
            await with_timeout(
                timedelta(seconds=self.connect_timeout_s),
                stream.connect(self.address.socket_address),
                quiet_exceptions=StreamClosedError,
            )
        except WaitOver:
            return CallFailure.CONNECT_TIMEOUT
        except StreamClosedError:
            return CallFailure.CONNECT_FAILED
        return None


def _read_endpoints(response: HttpMessage) -> DiscoveredEndpoints | None:
    try:
        return msgspec.json.decode(response.body, type=DiscoveredEndpoints)
    except ValueError as error:
        logger.warning("discovery's list cannot be read: %s", error)
        return None
