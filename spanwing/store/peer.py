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

from spanwing.actor import Actor, spawn
from spanwing.store.acceptor import Acceptor
from spanwing.store.messages import Accept, Done, Granted, Look, Ping, Prepare, Renew, Reply, Submit
from spanwing.wire.address import Address, listen, open_socket
from spanwing.wire.buffers import BufferPool
from spanwing.wire.stream import LineStream, LineTooLong

LONGEST = 256 * 1024
CONNECT_S = 0.3
SILENT_S = 2.0  # four rounds: a connection that answers none of them is dead, whatever TCP still hopes
MOST_LINKS = 1024

Request = Prepare | Accept | Look | Ping | Renew | Submit
Response = Reply | Granted | Done
#: Answers what schedulers ask; what it returns is awaited and written back.
Serve = Callable[[Renew | Submit], Awaitable[Granted | Done]]


class Peer(Actor):
    """Sends what is posted, over one connection that is opened when needed."""

    def __init__(self, address: Address, buffers: BufferPool) -> None:
        super().__init__()
        self.address, self.buffers = address, buffers
        self.waiting: dict[int, Future[Response | None]] = {}
        self.unheard: float | None = None  # of the loop's time: since when all that was asked is unanswered
        self.stream: LineStream | None = None
        self.opening: list[Request] | None = None  # what is to be sent once the connection is up

    def ask(self, message: Request) -> Future[Response | None]:
        """The peer's reply, or None when there is no connection; the asker keeps the time."""
        reply: Future[Response | None] = Future()
        self.post((message, reply))
        return reply

    def take(self, message: tuple[Request, Future[Response | None]]) -> None:
        request, reply = message
        for n in [n for n, each in self.waiting.items() if each.done()]:  # the asker's time was over
            del self.waiting[n]
        self.waiting[request.n] = reply
        now = self.loop.time()
        if self.unheard is None:
            self.unheard = now
        elif now - self.unheard > SILENT_S and self.stream is not None:
            self.stream.close()
            self.unheard = now
        if self.opening is not None:
            self.opening.append(request)
        elif self.stream is None or self.stream.stream.closed():
            self.opening = [request]
            spawn(self._open())
        else:
            spawn(self._write(self.stream, [request]))

    async def _open(self) -> None:
        stream = IOStream(open_socket(self.address))
        try:
            await with_timeout(
                timedelta(seconds=CONNECT_S),
                stream.connect(self.address.target),
                quiet_exceptions=StreamClosedError,
            )
        except (WaitOver, StreamClosedError):
            stream.close()
            self.opening = None
            self._fail()
            return
        self.stream = LineStream(stream, self.buffers, LONGEST)
        requests, self.opening = self.opening, None
        spawn(self._read(self.stream))
        await self._write(self.stream, requests)

    async def _write(self, stream: LineStream, requests: list[Request]) -> None:
        try:
            await stream.write(b"".join(msgspec.json.encode(each) + b"\n" for each in requests))
        except StreamClosedError:
            self._fail()

    async def _read(self, stream: LineStream) -> None:
        try:
            while (line := await stream.line()) is not None:
                reply = msgspec.json.decode(line, type=Response)
                self.unheard = None
                waiting = self.waiting.pop(reply.n, None)
                if waiting is not None:
                    future_set_result_unless_cancelled(waiting, reply)
        except (LineTooLong, ValueError):
            pass
        stream.close()
        self._fail()

    def _fail(self) -> None:
        for waiting in self.waiting.values():
            future_set_result_unless_cancelled(waiting, None)
        self.waiting.clear()


class PeerListener:
    """Answers other members' proposers from our registers, and schedulers where something serves them."""

    def __init__(self, address: Address, acceptor: Acceptor, buffers: BufferPool) -> None:
        self.acceptor, self.buffers = acceptor, buffers
        self.serve: Serve | None = None
        self.read_by: Callable[[str], None] | None = None  # hears which member reads
        self.links = 0
        self.decoder = msgspec.json.Decoder(Request)
        self.address = listen(address, lambda conn: spawn(self._link(conn))).address

    async def _link(self, sock) -> None:
        if self.links >= MOST_LINKS:
            sock.close()
            return
        self.links += 1
        stream = LineStream(IOStream(sock, max_write_buffer_size=4 * LONGEST), self.buffers, LONGEST)
        try:
            while (line := await stream.line()) is not None:
                message = self.decoder.decode(line)
                if isinstance(message, Renew | Submit):
                    if self.serve is None:
                        break
                    spawn(self._serve(self.serve(message), stream))
                    continue
                if isinstance(message, Look) and self.read_by is not None:
                    self.read_by(message.by)
                await stream.write(msgspec.json.encode(self.acceptor.answer(message)) + b"\n")
        except (LineTooLong, ValueError, StreamClosedError, StreamBufferFullError):
            pass  # whatever speaks otherwise is no member: a clean close is all it gets
        finally:
            self.links -= 1
            stream.close()

    async def _serve(self, answer: Awaitable[Granted | Done], stream: LineStream) -> None:
        reply = await answer
        try:
            await stream.write(msgspec.json.encode(reply) + b"\n")
        except (StreamClosedError, StreamBufferFullError):
            stream.close()
