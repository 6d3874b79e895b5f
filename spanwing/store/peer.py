"""Other members over TCP: the actor of each peer, and the listener that answers them and the schedulers.

Guarantees: a frame is LONGEST bytes at most; a peer that leaves all unanswered for SILENT_S is dropped with
what waits for it, so a link that is open but dead keeps nothing; MOST_LINKS connections come in at most.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from datetime import timedelta

import msgspec
from tornado.concurrent import Future, future_set_result_unless_cancelled
from tornado.gen import TimeoutError as WaitOver
from tornado.gen import with_timeout
from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from spanwing.actor import Actor, spawn_task
from spanwing.net.address import Address, listen, open_socket
from spanwing.net.buffers import BufferPool
from spanwing.net.stream import LineStream, LineTooLongError
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
SILENCE_TIMEOUT_S = (
    2.0  # four rounds: a connection that answers none of them is dead, whatever TCP still hopes
)
MAX_CONNECTIONS = 1024

StoreRequest = Prepare | Accept | ReadRegister | Ping | Renew | SubmitOrder
StoreResponse = RegisterReply | RenewalGranted | OrderResult
#: Answers what schedulers ask; what it returns is awaited and written back.
MessageHandler = Callable[[Renew | SubmitOrder], Awaitable[RenewalGranted | OrderResult]]


class Peer(Actor):
    """Sends what is posted, over one connection that is opened when needed."""

    def __init__(self, address: Address, buffers: BufferPool) -> None:
        super().__init__()
        self.address, self.buffers = address, buffers
        self.pending_replies: dict[int, Future[StoreResponse | None]] = {}
        self.unanswered_since_s: float | None = (
            None  # of the loop's time: since when all that was asked is unanswered
        )
        self.stream: LineStream | None = None
        self.queued_until_open: list[StoreRequest] | None = (
            None  # what is to be sent once the connection is up
        )

    def send_request(self, message: StoreRequest) -> Future[StoreResponse | None]:
        """The peer's reply, or None when there is no connection; the asker keeps the time."""
        reply: Future[StoreResponse | None] = Future()
        self.post((message, reply))
        return reply

    def handle_message(self, message: tuple[StoreRequest, Future[StoreResponse | None]]) -> None:
        request, reply = message
        for n in [n for n, each in self.pending_replies.items() if each.done()]:  # the asker's time was over
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
        stream = IOStream(open_socket(self.address))
        try:
            await with_timeout(
                timedelta(seconds=CONNECT_TIMEOUT_S),
                stream.connect(self.address.socket_address),
                quiet_exceptions=StreamClosedError,
            )
        except (WaitOver, StreamClosedError):
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
    """Answers other members' proposers from our registers, and schedulers where something serves them."""

    def __init__(self, address: Address, acceptor: Acceptor, buffers: BufferPool) -> None:
        self.acceptor, self.buffers = acceptor, buffers
        self.handle_message: MessageHandler | None = None
        self.on_read: Callable[[str], None] | None = None  # hears which member reads
        self.open_connections = 0
        self.decoder = msgspec.json.Decoder(StoreRequest)
        self.address = listen(address, lambda conn: spawn_task(self._serve_connection(conn))).address

    async def _serve_connection(self, connected_socket) -> None:
        if self.open_connections >= MAX_CONNECTIONS:
            connected_socket.close()
            return
        self.open_connections += 1
        stream = LineStream(
            IOStream(connected_socket, max_write_buffer_size=4 * MAX_FRAME_BYTES),
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
            pass  # whatever speaks otherwise is no member: a clean close is all it gets
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
