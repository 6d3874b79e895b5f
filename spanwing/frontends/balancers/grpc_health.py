"""The gRPC health service `grpc.health.v1.Health`, with the methods Check and Watch.

Each class is a service; the service "" is the whole daemon. The h2 library implements HTTP/2, and GrpcSession
does no I/O. The number of streams, the size of headers and messages, and the rate of control frames are
bounded by the constants below. Beyond a bound the peer gets a gRPC status or a GOAWAY. Each Watch has at most
one pending message, the newest one, so a peer that does not read cannot make memory grow.

Sources: the gRPC health checking protocol, gRPC over HTTP/2, RFC 9113. The bound on control frames guards
against floods as in CVE-2019-9512 to -9515 and CVE-2023-44487.
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
from h2.exceptions import StreamClosedError as H2StreamClosedError
from h2.settings import SettingCodes
from tornado.ioloop import IOLoop, PeriodicCallback
from tornado.iostream import StreamBufferFullError, StreamClosedError

from spanwing.actor import spawn_task
from spanwing.health.state_machine import HealthVerdict
from spanwing.net.address import Address, listen
from spanwing.net.buffers import BufferPool
from spanwing.net.connection_table import (
    LINGER_TIMEOUT_S,
    MESSAGE_TIMEOUT_S,
    RANK_FINISHED,
    RANK_IDLE,
    RANK_SILENT,
    ConnectionTable,
)
from spanwing.net.stream import PooledStream
from spanwing.net.tcp_stream import TcpStream

MAX_STREAMS = 16  # concurrent streams of a connection
MAX_HEADER_BYTES = 8 * 1024  # headers of a request
MAX_MESSAGE_BYTES = 512  # message of a request, which holds only the name of a service
MAX_CONTROL_FRAMES, CONTROL_WINDOW_S = 100, 10.0  # control frames and resets of a connection in the window
MAX_UNWRITTEN_BYTES = 64 * 1024  # a connection with more unwritten output is closed
MAX_CONNECTIONS = 12  # connections to the listener
KEEPALIVE_INTERVAL_S = 20.0  # between PINGs; a peer that has sent nothing by the next PING is disconnected
CHECK_PATH, WATCH_PATH = "/grpc.health.v1.Health/Check", "/grpc.health.v1.Health/Watch"
SERVING, NOT_SERVING, SERVICE_UNKNOWN = 1, 2, 3
OK, INVALID_ARGUMENT, NOT_FOUND, RESOURCE_EXHAUSTED, UNIMPLEMENTED = 0, 3, 5, 8, 12
CONTROL_EVENTS = (PingReceived, PriorityUpdated, RemoteSettingsChanged, StreamReset, UnknownFrameReceived)


def serving_status(verdict: HealthVerdict, service: str) -> int | None:
    """Returns the status of a service, or None if there is no service of this name."""
    if service and service not in dict(verdict.classes):
        return None
    is_up = verdict.accepts_work and not dict(verdict.classes).get(service, "")
    return SERVING if is_up else NOT_SERVING


def parse_service(request: bytes) -> str:
    """Parses a HealthCheckRequest in protobuf encoding and returns the name of the service, its field 1.

    Other fields are skipped. Raises ValueError if the message is malformed.
    """
    offset, service = 0, ""
    while offset < len(request):
        key, offset = _read_varint(request, offset)
        match key & 7:
            case 0:
                _, offset = _read_varint(request, offset)
            case 1:
                offset += 8
            case 2:
                length, offset = _read_varint(request, offset)
                if offset + length > len(request):
                    raise ValueError("cut off")
                if key >> 3 == 1:
                    service = request[offset : offset + length].decode()
                offset += length
            case 5:
                offset += 4
            case _:
                raise ValueError("unknown wire type")
    if offset != len(request):
        raise ValueError("cut off")
    return service


def _read_varint(data: bytes, offset: int) -> tuple[int, int]:
    """Returns the protobuf varint at offset, and the offset after it."""
    value = 0
    for shift in range(0, 70, 7):
        if offset >= len(data):
            break
        value |= (data[offset] & 127) << shift
        offset += 1
        if not data[offset - 1] & 128:
            return value, offset
    raise ValueError("malformed varint")


def encode_status(status: int) -> bytes:
    """Encodes a HealthCheckResponse with the gRPC prefix: a flag (not compressed) and the length."""
    body = bytes((8, status))
    return struct.pack("!BI", 0, len(body)) + body


@dataclass(slots=True)
class GrpcCall:
    """One call, which is one HTTP/2 stream of the connection."""

    path: str
    data: bytearray = field(default_factory=bytearray)  # the request's message, with its prefix
    service: str | None = None  # the service of a Watch whose request has been read
    sent_status: int | None = None  # the status sent last
    pending_status: int | None = None  # the status that waits for room in the peer's flow-control window


class GrpcSession:
    """HTTP/2 and gRPC of one connection, without I/O.

    The caller passes input to receive() and writes the output of pending_output().
    """

    def __init__(self, verdict: Callable[[], HealthVerdict]) -> None:
        self.verdict = verdict
        self.h2 = H2Connection(H2Configuration(client_side=False, header_encoding="utf-8"))
        self.h2.local_settings.update(
            {
                SettingCodes.MAX_CONCURRENT_STREAMS: MAX_STREAMS,
                SettingCodes.MAX_HEADER_LIST_SIZE: MAX_HEADER_BYTES,
            }
        )
        self.h2.initiate_connection()
        # A peer is bound by local settings only once it has received them. This bound holds from the first
        # frame on.
        self.h2.decoder.max_header_list_size = MAX_HEADER_BYTES
        self.calls: dict[int, GrpcCall] = {}
        self.control_frame_times: list[float] = []
        self.has_request = self.is_closed = False
        self.awaits_ping_ack = False  # a PING has been sent, and nothing has been received since

    def pending_output(self) -> bytes:
        """Returns the output that has not been returned before."""
        return self.h2.data_to_send()

    def receive(self, received: bytes, now_s: float) -> None:
        """Processes input; the caller then checks pending_output() and is_closed. now_s: loop time."""
        self.awaits_ping_ack = False
        try:
            for event in self.h2.receive_data(received):
                self._handle_event(event, now_s)
        except (ProtocolError, UnicodeDecodeError):
            self.is_closed = True  # on a protocol error, h2 has added a GOAWAY with its reason to the output

    def keep_alive(self) -> bool:
        """Sends a PING; returns False if the session is closed or the last PING got no response."""
        if self.awaits_ping_ack or self.is_closed:
            return False
        self.awaits_ping_ack = True
        self.h2.ping(b"spanwing")
        return True

    def publish_verdict(self) -> None:
        """Sends the status of its service to each Watch where it has changed."""
        for stream_id, call in list(self.calls.items()):
            if call.service is not None and not self.is_closed:
                try:
                    self._send_status(stream_id, call)
                except ProtocolError:
                    self.calls.pop(stream_id, None)

    def close_connection(self) -> None:
        """Sends a GOAWAY, unless the session is closed already."""
        if not self.is_closed:
            self.is_closed = True
            self.h2.close_connection()

    def _handle_event(self, event: Any, now_s: float) -> None:
        if isinstance(event, CONTROL_EVENTS) and self._is_flooded(now_s):
            self.is_closed = True
            self.h2.close_connection(ErrorCodes.ENHANCE_YOUR_CALM)
            return
        if self.is_closed:
            return
        try:
            self._dispatch_event(event)
        except H2StreamClosedError:
            # The same input opened and reset the stream. This ends the stream, not the connection.
            self.calls.pop(event.stream_id, None)

    def _dispatch_event(self, event: Any) -> None:
        match event:
            case RequestReceived():
                self.has_request = True
                self._handle_request(event.stream_id, dict(event.headers))
            case DataReceived():
                self.h2.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
                call = self.calls.get(event.stream_id)
                if call is not None and call.service is None:
                    call.data += event.data
                    if len(call.data) > MAX_MESSAGE_BYTES + 5:
                        self._send_error(event.stream_id, RESOURCE_EXHAUSTED, "message too large")
            case StreamEnded():
                call = self.calls.get(event.stream_id)
                if call is not None and call.service is None:
                    self._answer_call(event.stream_id, call)
            case StreamReset():
                self.calls.pop(event.stream_id, None)
            case WindowUpdated():
                for stream_id, call in list(self.calls.items()):
                    if call.pending_status is not None:
                        self._send_status(stream_id, call)
            case RemoteSettingsChanged():
                self.publish_verdict()
            case ConnectionTerminated():
                self.is_closed = True

    def _is_flooded(self, now_s: float) -> bool:
        """Counts a control frame; returns whether the window has more than MAX_CONTROL_FRAMES."""
        self.control_frame_times = [
            time_s for time_s in self.control_frame_times if time_s > now_s - CONTROL_WINDOW_S
        ]
        self.control_frame_times.append(now_s)
        return len(self.control_frame_times) > MAX_CONTROL_FRAMES

    def _handle_request(self, stream_id: int, headers: dict[str, str]) -> None:
        self.calls[stream_id] = GrpcCall(headers.get(":path", ""))
        assert len(self.calls) <= MAX_STREAMS  # h2 rejects further streams
        if not headers.get("content-type", "").startswith("application/grpc"):
            self.h2.send_headers(stream_id, [(":status", "415")], end_stream=True)
            self._drop_stream(stream_id)
        elif headers.get(":method") != "POST" or headers.get(":path") not in (CHECK_PATH, WATCH_PATH):
            self._send_error(stream_id, UNIMPLEMENTED, "only grpc.health.v1.Health Check and Watch")

    def _answer_call(self, stream_id: int, call: GrpcCall) -> None:
        data = bytes(call.data)
        try:
            compressed, length = struct.unpack_from("!BI", data)
            if compressed or length != len(data) - 5:
                raise ValueError("one message, not compressed")
            service = parse_service(data[5:])
        except (struct.error, ValueError) as error:
            self._send_error(stream_id, INVALID_ARGUMENT, f"malformed: {error}")
            return
        status = serving_status(self.verdict(), service)
        if call.path == CHECK_PATH and status is None:
            self._send_error(stream_id, NOT_FOUND, "unknown service")
            return
        self.h2.send_headers(stream_id, [(":status", "200"), ("content-type", "application/grpc")])
        if call.path == CHECK_PATH:
            call.pending_status = status
            self._send_status(stream_id, call)
        else:
            call.service = service
            self._send_status(stream_id, call)

    def _send_status(self, stream_id: int, call: GrpcCall) -> None:
        """Sends the newest status of a call if the peer's flow-control window has room for it.

        For a Watch, nothing is sent if the status has not changed. A Check ends with it.
        """
        if call.service is not None:
            status = serving_status(self.verdict(), call.service)
            call.pending_status = SERVICE_UNKNOWN if status is None else status
            if call.pending_status == call.sent_status:
                call.pending_status = None
                return
        message = encode_status(call.pending_status)
        if self.h2.local_flow_control_window(stream_id) < len(message):
            return
        self.h2.send_data(stream_id, message)
        call.sent_status, call.pending_status = call.pending_status, None
        if call.service is None:
            self._send_trailers(stream_id, OK)

    def _send_error(self, stream_id: int, status: int, text: str) -> None:
        """Sends a trailers-only response.

        Percent signs are removed from the text, as they would have to be escaped; it has no line ends.
        """
        self.h2.send_headers(
            stream_id,
            [
                (":status", "200"),
                ("content-type", "application/grpc"),
                ("grpc-status", str(status)),
                ("grpc-message", text.replace("%", "")),
            ],
            end_stream=True,
        )
        self._drop_stream(stream_id)

    def _send_trailers(self, stream_id: int, status: int) -> None:
        self.h2.send_headers(stream_id, [("grpc-status", str(status))], end_stream=True)
        self._drop_stream(stream_id)

    def _drop_stream(self, stream_id: int) -> None:
        """Drops an answered call; resets its stream if the peer has not ended its side."""
        del self.calls[stream_id]
        try:
            if self.h2.streams[stream_id].open:
                self.h2.reset_stream(stream_id, ErrorCodes.NO_ERROR)
        except (KeyError, ProtocolError):
            pass


class GrpcConnection:
    """A network connection and its session."""

    def __init__(self, frontend: GrpcFrontend, stream: PooledStream) -> None:
        self.frontend, self.stream, self.session = frontend, stream, GrpcSession(frontend.verdict)
        self.is_finished, self.last_activity_s = False, IOLoop.current().time()

    def publish_verdict(self, _: HealthVerdict) -> None:
        """Sends the new verdict to each Watch of the connection."""
        self.session.publish_verdict()
        self.flush()

    def flush(self) -> None:
        """Writes the session's output; closes the connection if MAX_UNWRITTEN_BYTES is exceeded."""
        data = self.session.pending_output()
        if data and not self.stream.stream.closed():
            try:
                self.stream.stream.write(data).add_done_callback(lambda written: written.exception())
            except (StreamBufferFullError, StreamClosedError):
                self.stream.close()

    async def serve(self) -> None:
        """Reads and answers requests until the connection ends."""
        loop, data = IOLoop.current(), bytearray()
        # A peer that has sent a request may idle between checks; it is evicted only if the table is full.
        request_timer = loop.call_later(
            MESSAGE_TIMEOUT_S, lambda: self.session.has_request or self.stream.close()
        )
        unsubscribe = self.frontend.subscribe(self.publish_verdict)
        # Without PINGs, the Watch of a balancer that has vanished would keep its place in the table forever.
        keepalive_timer = PeriodicCallback(self._keep_alive, KEEPALIVE_INTERVAL_S * 1000.0)
        keepalive_timer.start()
        try:
            self.flush()
            while not self.session.is_closed and await self.stream.read(data):
                self.session.receive(bytes(data), loop.time())
                data.clear()
                self.last_activity_s = loop.time()
                self.flush()
        finally:
            unsubscribe()
            keepalive_timer.stop()
            loop.remove_timeout(request_timer)
            self.is_finished = True
            await self.stream.close_gracefully(LINGER_TIMEOUT_S)
            self.frontend.table.connections.discard(self)

    def _keep_alive(self) -> None:
        if self.session.keep_alive():
            self.flush()
        else:
            self.stream.close()

    def eviction_rank(self, inactive_s: float) -> int | None:
        """Returns the rank for the connection table; None while a call is open."""
        if self.is_finished:
            return RANK_FINISHED
        if not self.session.has_request:
            return RANK_SILENT
        return None if self.session.calls else RANK_IDLE

    def has_no_pending_input(self) -> bool:
        """Returns whether no unread input is pending."""
        return self.stream.has_no_pending_input()

    def close(self) -> None:
        """Closes the connection at once."""
        self.stream.close()


class GrpcFrontend:
    """The listener for gRPC health checks."""

    def __init__(
        self,
        address: Address,
        verdict: Callable[[], HealthVerdict],
        subscribe: Callable[[Callable[[HealthVerdict], None]], Callable[[], None]],
        buffers: BufferPool,
    ) -> None:
        self.verdict, self.subscribe, self.buffers = verdict, subscribe, buffers
        self.table: ConnectionTable[GrpcConnection] = ConnectionTable(MAX_CONNECTIONS)
        self.listening_socket = listen(address, self._accept)
        self.address = self.listening_socket.address

    def _accept(self, sock) -> None:
        if not self.table.make_room():
            sock.close()
            return
        stream = TcpStream(
            sock, max_buffer_size=MAX_UNWRITTEN_BYTES, max_write_buffer_size=MAX_UNWRITTEN_BYTES
        )
        connection = GrpcConnection(self, PooledStream(stream, self.buffers))
        self.table.connections.add(connection)
        spawn_task(connection.serve())

    def close(self) -> None:
        """Stops listening, and closes all connections after a GOAWAY."""
        self.listening_socket.close()
        for each in list(self.table.connections):
            each.session.close_connection()
            each.flush()
            each.close()
