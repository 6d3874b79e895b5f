"""gRPC health, `grpc.health.v1.Health`: Check and Watch, a service for each class, "" for the whole daemon.

Guarantees: HTTP/2 is h2's, this core does no I/O; so many streams, bytes of a head, bytes of a message and
control frames at most (below), beyond them a definite gRPC status or GOAWAY; each Watch owes at most one
message, the newest, so a peer that does not read makes nothing grow. Sources: the gRPC health checking
protocol, gRPC over HTTP/2, RFC 9113; floods as in CVE-2019-9512 to -9515 and CVE-2023-44487.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.errors import ErrorCodes
from h2.events import (
    ConnectionTerminated,
    DataReceived,
    PingReceived,
    PriorityUpdated,
    RemoteSettingsChanged,
    RequestReceived,
    StreamEnded,
    StreamReset,
    UnknownFrameReceived,
    WindowUpdated,
)
from h2.exceptions import ProtocolError
from h2.exceptions import StreamClosedError as StreamOver
from h2.settings import SettingCodes
from tornado.ioloop import IOLoop, PeriodicCallback
from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from spanwing.actor import spawn
from spanwing.health.machine import Verdict
from spanwing.wire.address import Address, listen
from spanwing.wire.buffers import BufferPool
from spanwing.wire.stream import PooledStream
from spanwing.wire.table import IDLE, LINGER_S, OVER, SILENT, WHOLE_S, Table

STREAMS = 16  # at once on a connection
HEAD = 8 * 1024  # bytes of a request's headers
MESSAGE = 512  # bytes of a request's message: a service's name
CONTROLS, CONTROLS_S = 100, 10.0  # control frames and resets within so many seconds
UNREAD = 64 * 1024  # bytes that wait to be written; a peer that lets more pile up is closed
MOST = 12  # connections
KEEP_S = 20.0  # between signs of life that are asked for; one that gives none until the next is closed
CHECK, WATCH = "/grpc.health.v1.Health/Check", "/grpc.health.v1.Health/Watch"
SERVING, NOT_SERVING, SERVICE_UNKNOWN = 1, 2, 3
OK, INVALID_ARGUMENT, NOT_FOUND, RESOURCE_EXHAUSTED, UNIMPLEMENTED = 0, 3, 5, 8, 12
CONTROL_EVENTS = (PingReceived, PriorityUpdated, RemoteSettingsChanged, StreamReset, UnknownFrameReceived)


def serving(verdict: Verdict, service: str) -> int | None:
    """The status of a service; None: there is none of this name."""
    if service and service not in dict(verdict.classes):
        return None
    up = verdict.taking and not dict(verdict.classes).get(service, "")
    return SERVING if up else NOT_SERVING


def service_of(message: bytes) -> str:
    """HealthCheckRequest: field 1 is the service's name, others are passed over. Raises ValueError."""
    at, service = 0, ""
    while at < len(message):
        key, at = _varint(message, at)
        match key & 7:
            case 0:
                _, at = _varint(message, at)
            case 1:
                at += 8
            case 2:
                length, at = _varint(message, at)
                if at + length > len(message):
                    raise ValueError("cut off")
                if key >> 3 == 1:
                    service = message[at : at + length].decode()
                at += length
            case 5:
                at += 4
            case _:
                raise ValueError("unknown wire type")
    if at != len(message):
        raise ValueError("cut off")
    return service


def _varint(data: bytes, at: int) -> tuple[int, int]:
    value = 0
    for shift in range(0, 70, 7):
        if at >= len(data):
            break
        value |= (data[at] & 127) << shift
        at += 1
        if not data[at - 1] & 128:
            return value, at
    raise ValueError("malformed varint")


def status_message(status: int) -> bytes:
    """HealthCheckResponse with gRPC's prefix: not compressed, and its length."""
    body = bytes((8, status))
    return struct.pack("!BI", 0, len(body)) + body


@dataclass(slots=True)
class Call:
    """One stream."""

    path: str
    data: bytearray = field(default_factory=bytearray)
    service: str | None = None  # of a Watch that runs
    told: int | None = None
    owed: int | None = None  # a status that the peer's window has no room for yet


class Session:
    """One connection's HTTP/2 and gRPC; bytes in by receive(), bytes out by take()."""

    def __init__(self, verdict: Callable[[], Verdict]) -> None:
        self.verdict = verdict
        self.h2 = H2Connection(H2Configuration(client_side=False, header_encoding="utf-8"))
        self.h2.local_settings.update(
            {
                SettingCodes.MAX_CONCURRENT_STREAMS: STREAMS,
                SettingCodes.MAX_HEADER_LIST_SIZE: HEAD,
            }
        )
        self.h2.initiate_connection()
        # Our settings bind the peer only once it has heard of them; these hold from its first frame.
        self.h2.decoder.max_header_list_size = HEAD
        self.calls: dict[int, Call] = {}
        self.controls: list[float] = []
        self.asked = self.closed = False
        self.pinged = False  # and no sign of life since

    def take(self) -> bytes:
        """What is to be written."""
        return self.h2.data_to_send()

    def receive(self, data: bytes, now: float) -> None:
        """Take bytes; after it, take() and closed tell what to do."""
        self.pinged = False
        try:
            for event in self.h2.receive_data(data):
                self._event(event, now)
        except (ProtocolError, UnicodeDecodeError):
            self.closed = True  # h2 has put the GOAWAY that says why into its output

    def keep_alive(self) -> bool:
        """Ask for a sign of life; False where the last one was never answered."""
        if self.pinged or self.closed:
            return False
        self.pinged = True
        self.h2.ping(b"spanwing")
        return True

    def publish(self) -> None:
        """The verdict has changed."""
        for stream, call in list(self.calls.items()):
            if call.service is not None and not self.closed:
                try:
                    self._tell(stream, call)
                except ProtocolError:
                    self.calls.pop(stream, None)

    def goodbye(self) -> None:
        """No further streams; what is open has been told."""
        if not self.closed:
            self.closed = True
            self.h2.close_connection()

    def _event(self, event: Any, now: float) -> None:
        if isinstance(event, CONTROL_EVENTS) and self._flooded(now):
            self.closed = True
            self.h2.close_connection(ErrorCodes.ENHANCE_YOUR_CALM)
            return
        if self.closed:
            return
        try:
            self._take(event)
        except StreamOver:
            # The same bytes that asked have also cancelled: that is the stream's end, not the connection's.
            self.calls.pop(event.stream_id, None)

    def _take(self, event: Any) -> None:
        match event:
            case RequestReceived():
                self.asked = True
                self._request(event.stream_id, dict(event.headers))
            case DataReceived():
                self.h2.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
                call = self.calls.get(event.stream_id)
                if call is not None and call.service is None:
                    call.data += event.data
                    if len(call.data) > MESSAGE + 5:
                        self._end(event.stream_id, RESOURCE_EXHAUSTED, "message too large")
            case StreamEnded():
                call = self.calls.get(event.stream_id)
                if call is not None and call.service is None:
                    self._call(event.stream_id, call)
            case StreamReset():
                self.calls.pop(event.stream_id, None)
            case WindowUpdated():
                for stream, call in list(self.calls.items()):
                    if call.owed is not None:
                        self._tell(stream, call)
            case RemoteSettingsChanged():
                self.publish()
            case ConnectionTerminated():
                self.closed = True

    def _flooded(self, now: float) -> bool:
        self.controls = [at for at in self.controls if at > now - CONTROLS_S]
        self.controls.append(now)
        return len(self.controls) > CONTROLS

    def _request(self, stream: int, headers: dict[str, str]) -> None:
        self.calls[stream] = Call(headers.get(":path", ""))
        assert len(self.calls) <= STREAMS  # h2 turns further ones away
        if not headers.get("content-type", "").startswith("application/grpc"):
            self.h2.send_headers(stream, [(":status", "415")], end_stream=True)
            self._forget(stream)
        elif headers.get(":method") != "POST" or headers.get(":path") not in (CHECK, WATCH):
            self._end(stream, UNIMPLEMENTED, "only grpc.health.v1.Health Check and Watch")

    def _call(self, stream: int, call: Call) -> None:
        data = bytes(call.data)
        try:
            compressed, length = struct.unpack_from("!BI", data)
            if compressed or length != len(data) - 5:
                raise ValueError("one message, not compressed")
            service = service_of(data[5:])
        except (struct.error, ValueError) as error:
            self._end(stream, INVALID_ARGUMENT, f"malformed: {error}")
            return
        status = serving(self.verdict(), service)
        if call.path == CHECK and status is None:
            self._end(stream, NOT_FOUND, "unknown service")
            return
        self.h2.send_headers(stream, [(":status", "200"), ("content-type", "application/grpc")])
        if call.path == CHECK:
            call.owed = status
            self._tell(stream, call)
        else:
            call.service = service
            self._tell(stream, call)

    def _tell(self, stream: int, call: Call) -> None:
        """Send what is newest, if the peer's window has room for it."""
        if call.service is not None:
            status = serving(self.verdict(), call.service)
            call.owed = SERVICE_UNKNOWN if status is None else status
            if call.owed == call.told:
                call.owed = None
                return
        message = status_message(call.owed)
        if self.h2.local_flow_control_window(stream) < len(message):
            return
        self.h2.send_data(stream, message)
        call.told, call.owed = call.owed, None
        if call.service is None:
            self._trailers(stream, OK)

    def _end(self, stream: int, status: int, text: str) -> None:
        """An answer of trailers only; percent signs and line ends are not in our texts."""
        self.h2.send_headers(
            stream,
            [
                (":status", "200"),
                ("content-type", "application/grpc"),
                ("grpc-status", str(status)),
                ("grpc-message", text.replace("%", "")),
            ],
            end_stream=True,
        )
        self._forget(stream)

    def _trailers(self, stream: int, status: int) -> None:
        self.h2.send_headers(stream, [("grpc-status", str(status))], end_stream=True)
        self._forget(stream)

    def _forget(self, stream: int) -> None:
        """The answer is whole; a peer that still sends is told that nobody reads it."""
        del self.calls[stream]
        try:
            if self.h2.streams[stream].open:
                self.h2.reset_stream(stream, ErrorCodes.NO_ERROR)
        except (KeyError, ProtocolError):
            pass


class GrpcConnection:
    """A connection around a session."""

    def __init__(self, front: GrpcFront, stream: PooledStream) -> None:
        self.front, self.stream, self.session = front, stream, Session(front.verdict)
        self.over, self.since = False, IOLoop.current().time()

    def publish(self, _: Verdict) -> None:
        self.session.publish()
        self.flush()

    def flush(self) -> None:
        data = self.session.take()
        if data and not self.stream.stream.closed():
            try:
                self.stream.stream.write(data).add_done_callback(lambda written: written.exception())
            except (StreamBufferFullError, StreamClosedError):
                self.stream.close()

    async def serve(self) -> None:
        loop, data = IOLoop.current(), bytearray()
        # One that has asked may idle between its checks; the table takes it when there is no room.
        timer = loop.call_later(WHOLE_S, lambda: self.session.asked or self.stream.close())
        unsubscribe = self.front.subscribe(self.publish)
        # A balancer that vanished says nothing: without asking, its Watch would keep its place for good.
        keeping = PeriodicCallback(self._keep_alive, KEEP_S * 1000.0)
        keeping.start()
        try:
            self.flush()
            while not self.session.closed and await self.stream.read(data):
                self.session.receive(bytes(data), loop.time())
                data.clear()
                self.since = loop.time()
                self.flush()
        finally:
            unsubscribe()
            keeping.stop()
            loop.remove_timeout(timer)
            self.over = True
            await self.stream.finish(LINGER_S)
            self.front.table.seats.discard(self)

    def _keep_alive(self) -> None:
        if self.session.keep_alive():
            self.flush()
        else:
            self.stream.close()

    def rank(self, waited_s: float) -> int | None:
        if self.over:
            return OVER
        if not self.session.asked:
            return SILENT
        return None if self.session.calls else IDLE

    def silent(self) -> bool:
        return self.stream.silent()

    def close(self) -> None:
        self.stream.close()


class GrpcFront:
    """Listens for gRPC health."""

    def __init__(
        self,
        address: Address,
        verdict: Callable[[], Verdict],
        subscribe: Callable[[Callable[[Verdict], None]], Callable[[], None]],
        buffers: BufferPool,
    ) -> None:
        self.verdict, self.subscribe, self.buffers = verdict, subscribe, buffers
        self.table: Table[GrpcConnection] = Table(MOST)
        self.listening = listen(address, self._accept)
        self.address = self.listening.address

    def _accept(self, sock) -> None:
        if not self.table.room():
            sock.close()
            return
        stream = IOStream(sock, max_buffer_size=UNREAD, max_write_buffer_size=UNREAD)
        connection = GrpcConnection(self, PooledStream(stream, self.buffers))
        self.table.seats.add(connection)
        spawn(connection.serve())

    def close(self) -> None:
        self.listening.close()
        for each in list(self.table.seats):
            each.session.goodbye()
            each.flush()
            each.close()
