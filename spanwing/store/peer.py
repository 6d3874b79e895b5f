"""Connections between members over TCP: an actor per peer, and the listener for peers and schedulers.

A frame has at most MAX_FRAME_BYTES. The connection to a peer that answers nothing for SILENCE_TIMEOUT_S is
closed and what waits for it fails, so that an open but dead connection retains nothing. At most
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
    RenewalGranted,
    SubmitOrder,
)

MAX_FRAME_BYTES = 256 * 1024
CONNECT_TIMEOUT_S = 0.3
SILENCE_TIMEOUT_S = 2.0  # four rounds: a connection that answers none is dead, whatever TCP says
MAX_CONNECTIONS = 1024

StoreRequest = Prepare | Accept | ReadRegister | Ping | Renew | SubmitOrder
StoreResponse = RegisterReply | RenewalGranted | OrderResult
#: Answers schedulers' messages; its result is awaited and written back.
MessageHandler = Callable[[Renew | SubmitOrder], Awaitable[RenewalGranted | OrderResult]]


class Peer(Actor):
    """Sends requests to one member, over one connection that is opened when needed."""

    def __init__(self, address: Address, buffers: BufferPool) -> None:
        super().__init__()
        self.address, self.buffers = address, buffers
        self.pending_replies: dict[int, Future[StoreResponse | None]] = {}
        self.unanswered_since_s: float | None = None  # loop time of the first request since the last reply
        self.stream: LineStream | None = None
        self.queued_until_open: list[StoreRequest] | None = None  # to be sent once the connection is up

    def send_request(self, message: StoreRequest) -> Future[StoreResponse | None]:
        """Returns a future of the reply, None without a connection; the caller applies a timeout."""
        reply: Future[StoreResponse | None] = Future()
        self.post((message, reply))
        return reply

    def handle_message(self, message: tuple[StoreRequest, Future[StoreResponse | None]]) -> None:
        """Sends a request, after a new connection if there is none."""
        request, reply = message
        for n in [n for n, each in self.pending_replies.items() if each.done()]:  # the caller has timed out
            del self.pending_replies[n]
        self.pending_replies[request.n] = reply
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
                reply = msgspec.json.decode(line, type=StoreResponse)
                self.unanswered_since_s = None
                pending = self.pending_replies.pop(reply.n, None)
                if pending is not None:
                    future_set_result_unless_cancelled(pending, reply)
        except (LineTooLongError, ValueError):
            pass
        stream.close()
        self._fail_pending_replies()

    def _fail_pending_replies(self) -> None:
        for pending in self.pending_replies.values():
            future_set_result_unless_cancelled(pending, None)
        self.pending_replies.clear()


class PeerListener:
    """Answers other members' proposers from the acceptor, and schedulers by handle_message, if set."""

    def __init__(self, address: Address, acceptor: Acceptor, buffers: BufferPool) -> None:
        self.acceptor, self.buffers = acceptor, buffers
        self.handle_message: MessageHandler | None = None
        self.on_read: Callable[[str], None] | None = None  # called with the member that reads
        self.open_connections = 0
        self.decoder = msgspec.json.Decoder(StoreRequest)
        self.address = listen(address, lambda conn: spawn_task(self._serve_connection(conn))).address

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
                message = self.decoder.decode(line)
                if isinstance(message, Renew | SubmitOrder):
                    if self.handle_message is None:
                        break
                    spawn_task(self._write_answer(self.handle_message(message), stream))
                    continue
                if isinstance(message, ReadRegister) and self.on_read is not None:
                    self.on_read(message.reader)
                await stream.write(msgspec.json.encode(self.acceptor.handle_message(message)) + b"\n")
        except (LineTooLongError, ValueError, StreamClosedError, StreamBufferFullError):
            pass  # a peer with another protocol is no member: close
        finally:
            self.open_connections -= 1
            stream.close()

    async def _write_answer(
        self, pending_answer: Awaitable[RenewalGranted | OrderResult], stream: LineStream
    ) -> None:
        reply = await pending_answer
        try:
            await stream.write(msgspec.json.encode(reply) + b"\n")
        except (StreamClosedError, StreamBufferFullError):
            stream.close()
