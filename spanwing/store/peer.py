"""Other members over TCP: the actor of each peer, and the listener that answers them."""

from __future__ import annotations

from datetime import timedelta

import msgspec
from tornado.concurrent import Future, future_set_result_unless_cancelled
from tornado.gen import TimeoutError as WaitOver
from tornado.gen import with_timeout
from tornado.iostream import IOStream, StreamClosedError

from spanwing.actor import Actor, spawn
from spanwing.store.acceptor import Acceptor
from spanwing.store.messages import Accept, Ping, Prepare, Reply
from spanwing.wire.address import Address, listen, open_socket
from spanwing.wire.buffers import BufferPool
from spanwing.wire.stream import LineStream, LineTooLong

LONGEST = 256 * 1024
CONNECT_S = 0.3

Request = Prepare | Accept | Ping


class Peer(Actor):
    """Sends what is posted, over one connection that is opened when needed."""

    def __init__(self, address: Address, buffers: BufferPool) -> None:
        super().__init__()
        self.address, self.buffers = address, buffers
        self.waiting: dict[int, Future[Reply | None]] = {}
        self.stream: LineStream | None = None
        self.opening: list[Request] | None = None  # what is to be sent once the connection is up

    def ask(self, message: Request) -> Future[Reply | None]:
        """The peer's reply, or None when there is no connection; the asker keeps the time."""
        reply: Future[Reply | None] = Future()
        self.post((message, reply))
        return reply

    def take(self, message: tuple[Request, Future[Reply | None]]) -> None:
        request, reply = message
        for n in [n for n, each in self.waiting.items() if each.done()]:  # the asker's time was over
            del self.waiting[n]
        self.waiting[request.n] = reply
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
            await with_timeout(timedelta(seconds=CONNECT_S), stream.connect(self.address.target),
                               quiet_exceptions=StreamClosedError)
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
                reply = msgspec.json.decode(line, type=Reply)
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
    """Answers other members' proposers from our registers."""

    def __init__(self, address: Address, acceptor: Acceptor, buffers: BufferPool) -> None:
        self.acceptor, self.buffers = acceptor, buffers
        self.decoder = msgspec.json.Decoder(Request)
        self.address = listen(address, lambda conn: spawn(self._serve(conn))).address

    async def _serve(self, sock) -> None:
        stream = LineStream(IOStream(sock), self.buffers, LONGEST)
        try:
            while (line := await stream.line()) is not None:
                reply = self.acceptor.answer(self.decoder.decode(line))
                await stream.write(msgspec.json.encode(reply) + b"\n")
        except (LineTooLong, ValueError, StreamClosedError):
            pass  # whatever speaks otherwise is no member: a clean close is all it gets
        finally:
            stream.close()
