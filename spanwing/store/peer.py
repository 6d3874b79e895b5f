"""The store's connections over TCP: one actor per peer, and the listener for peers and schedulers.

A connection to a peer that answers no request for SILENCE_TIMEOUT_S is closed, and its pending requests fail:
a dead connection that TCP still regards as open must not hold them. Bounds: messages of MAX_FRAME_BYTES, and
MAX_CONNECTIONS incoming connections.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from datetime import timedelta

import msgspec
from tornado.concurrent import Future, future_set_result_unless_cancelled
from tornado.gen import TimeoutError as TornadoTimeoutError
from tornado.gen import with_timeout
from tornado.iostream import StreamBufferFullError, StreamClosedError

from spanwing.actor import Actor, spawn_task
from spanwing.json_input import decode_by, decode_json
from spanwing.net.address import Address, listen, open_socket
from spanwing.net.buffers import BufferPool
from spanwing.net.stream import LineStream, LineTooLongError
from spanwing.net.tcp_stream import TcpStream
from spanwing.store.acceptor import Acceptor
from spanwing.store.messages import (
    Accept,
    OrderResult,
    Ping,
    Prepare,
    ReadRegister,
    RegisterReply,
    Renew,
    RenewalReply,
    SubmitOrder,
)

MAX_FRAME_BYTES = 256 * 1024
CONNECT_TIMEOUT_S = 0.3
SILENCE_TIMEOUT_S = 2.0  # four phases of ROUND_TIMEOUT_MS, none of them answered
MAX_CONNECTIONS = 1024

StoreRequest = Prepare | Accept | ReadRegister | Ping | Renew | SubmitOrder
StoreResponse = RegisterReply | RenewalReply | OrderResult
#: Returns the reply to a scheduler's message, which is written to the connection.
MessageHandler = Callable[[Renew | SubmitOrder], Awaitable[RenewalReply | OrderResult]]


class Peer(Actor):
    """Sends requests to one member over one connection, which is opened on demand."""

    def __init__(self, address: Address, buffers: BufferPool) -> None:
        super().__init__()
        self.address, self.buffers = address, buffers
        self.pending_replies: dict[int, Future[StoreResponse | None]] = {}
        self.unanswered_since_s: float | None = None  # loop time of the first request since the last reply
        self.stream: LineStream | None = None
        # Requests to send once the connection is open; None unless it is being opened.
        self.queued_until_open: list[StoreRequest] | None = None

    def send_request(self, message: StoreRequest) -> Future[StoreResponse | None]:
        """Returns a future of the reply. Its result is None if the connection fails.

        The future has no timeout; the caller applies one.
        """
        reply: Future[StoreResponse | None] = Future()
        self.post((message, reply))
        return reply

    def handle_message(self, message: tuple[StoreRequest, Future[StoreResponse | None]]) -> None:
        """Sends a request, and first opens a connection if none is open."""
        request, reply = message
        for message_id in [key for key, each in self.pending_replies.items() if each.done()]:  # timed out
            del self.pending_replies[message_id]
        self.pending_replies[request.message_id] = reply
        now = self.loop.time()
        if self.unanswered_since_s is None:
            self.unanswered_since_s = now
        elif now - self.unanswered_since_s > SILENCE_TIMEOUT_S and self.stream is not None:
            self.stream.close()
            self.unanswered_since_s = now
        if self.queued_until_open is not None:
            self.queued_until_open.append(request)
        elif self.stream is None or self.stream.stream.closed():
            self.queued_until_open = [request]
            spawn_task(self._open_connection())
        else:
            spawn_task(self._write_requests(self.stream, [request]))

    async def _open_connection(self) -> None:
        stream = TcpStream(open_socket(self.address))
        try:
            await with_timeout(
                timedelta(seconds=CONNECT_TIMEOUT_S),
                stream.connect(self.address.socket_address),
                quiet_exceptions=StreamClosedError,
            )
        except (TornadoTimeoutError, StreamClosedError):
            stream.close()
            self.queued_until_open = None
            self._fail_pending_replies()
            return
        self.stream = LineStream(stream, self.buffers, MAX_FRAME_BYTES)
        requests, self.queued_until_open = self.queued_until_open, None
        spawn_task(self._read_replies(self.stream))
        await self._write_requests(self.stream, requests)

    async def _write_requests(self, stream: LineStream, requests: list[StoreRequest]) -> None:
        try:
            await stream.write(b"".join(msgspec.json.encode(each) + b"\n" for each in requests))
        except StreamClosedError:
            self._fail_pending_replies()

    async def _read_replies(self, stream: LineStream) -> None:
        try:
            while (line := await stream.read_line()) is not None:
                reply = decode_json(line, StoreResponse)
                self.unanswered_since_s = None
                pending = self.pending_replies.pop(reply.message_id, None)
                if pending is not None:
                    future_set_result_unless_cancelled(pending, reply)
        except (LineTooLongError, ValueError):
            pass  # not the store's protocol: close the connection
        stream.close()
        self._fail_pending_replies()

    def _fail_pending_replies(self) -> None:
        for pending in self.pending_replies.values():
            future_set_result_unless_cancelled(pending, None)
        self.pending_replies.clear()


class PeerListener:
    """Answers the proposers of other members with the acceptor, and schedulers with handle_message if set."""

    def __init__(self, address: Address, acceptor: Acceptor, buffers: BufferPool) -> None:
        self.acceptor, self.buffers = acceptor, buffers
        self.handle_message: MessageHandler | None = None
        self.on_read: Callable[[str], None] | None = None  # called with the name of a member that reads
        self.open_connections = 0
        self.decoder = msgspec.json.Decoder(StoreRequest)
        self.address = listen(
            address, lambda connection: spawn_task(self._serve_connection(connection))
        ).address

    async def _serve_connection(self, connected_socket) -> None:
        if self.open_connections >= MAX_CONNECTIONS:
            connected_socket.close()
            return
        self.open_connections += 1
        stream = LineStream(
            TcpStream(connected_socket, max_write_buffer_size=4 * MAX_FRAME_BYTES),
            self.buffers,
            MAX_FRAME_BYTES,
        )
        try:
            while (line := await stream.read_line()) is not None:
                message = decode_by(self.decoder, line)
                if isinstance(message, Renew | SubmitOrder):
                    if self.handle_message is None:
                        break
                    spawn_task(self._write_answer(self.handle_message(message), stream))
                    continue
                if isinstance(message, ReadRegister) and self.on_read is not None:
                    self.on_read(message.reader)
                await stream.write(msgspec.json.encode(self.acceptor.handle_message(message)) + b"\n")
        except (LineTooLongError, ValueError, StreamClosedError, StreamBufferFullError):
            pass  # not the store's protocol, or the connection failed: close it
        finally:
            self.open_connections -= 1
            stream.close()

    async def _write_answer(
        self, pending_answer: Awaitable[RenewalReply | OrderResult], stream: LineStream
    ) -> None:
        reply = await pending_answer
        try:
            await stream.write(msgspec.json.encode(reply) + b"\n")
        except (StreamClosedError, StreamBufferFullError):
            stream.close()
