"""The sender side over HTTP: an actor for each connection that clients or job workers opened to us."""

from __future__ import annotations

import math
import os
import socket
from contextlib import suppress
from typing import Protocol

from tornado.gen import sleep
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError
from tornado.queues import Queue

from spanwing.actor import spawn
from spanwing.core.messages import Answer, Envelope, Left, Listener, Take, Turned
from spanwing.log import tell
from spanwing.wire.address import Address, listen
from spanwing.wire.buffers import BufferPool
from spanwing.wire.http import HttpError, HttpStream, Message, response_bytes
from spanwing.wire.proxied import Network, listed, peer_of, real_peer
from spanwing.wire.proxy import ProxyError
from spanwing.wire.table import (
    HALF,
    HALF_S,
    IDLE,
    LINGER_S,
    OVER,
    READ_AHEAD,
    SILENT,
    STALE,
    STUCK_S,
    WHOLE_S,
    Table,
)

Reply = tuple[int, bytes] | tuple[int, bytes, dict[str, str]]  # status, body, headers
SOON_S = 0.005  # a caller of a front with one request a connection waits so long for room, and again
JUST_S = 0.1  # a client that has opened a connection has sent its request by then
AGAIN_MS = 100.0  # a client that finds no room is told to come back after this


class Front(Protocol):
    """Reads requests: an envelope goes to the core, a reply is the answer at once."""

    def read(self, message: Message) -> Envelope | Reply: ...

    def render(self, answer: Answer, keep: bool) -> bytes: ...


class SenderConnection:
    """One connection: a request at a time, answered before the next is read."""

    def __init__(self, server: HttpServer, stream: IOStream, peer: str = "", proxied: bool = False) -> None:
        self.peer, self.proxied = peer, proxied  # the client's address; whether a balancer is to tell it
        self.server, self.http = server, HttpStream(stream, server.buffers)
        self.mailbox: Queue[Answer | None] = Queue()  # None: the other side went away
        self.heard = False  # it has sent a whole request
        self.asks = False  # it carried a client's request
        self.busy = False
        self.over = False
        self.asked: tuple[Envelope, bool] | None = None  # what waits for its answer; to go on then?
        self.stood = IOLoop.current().time()
        stream.set_close_callback(lambda: self.mailbox.put_nowait(None))

    def answer(self, envelope: Envelope, answer: Answer) -> None:
        self.mailbox.put_nowait(answer)

    async def serve(self) -> None:
        try:
            if self.proxied:
                peer = await real_peer(self.http, self.http.parser.data, WHOLE_S, self.peer)
                if peer is None:
                    return
                self.peer, self.proxied = peer, False  # from here on like any other, also to a successor
            keep = True
            if self.asked is not None:  # by way of another process
                keep = await self._resumed(*self.asked)
            while keep:
                message = await self.http.receive(WHOLE_S, fresh=not self.heard)
                if message is None:
                    return
                self.heard = self.busy = True
                keep = await self._one(message)
                self.busy, self.stood = False, IOLoop.current().time()
                self.server.settle(self)
                if not self.http.parser.idle():
                    await sleep(0)  # who sends many requests ahead must not keep the loop to itself
        except HttpError as error:
            await self._reject(error)
        except ProxyError as error:
            tell("proxy", level="warning", peer=self.peer, reason=str(error))
        except StreamClosedError:
            return
        finally:
            self.busy, self.over = False, True
            await self.http.finish(LINGER_S)
            self.server.table.seats.discard(self)

    async def _one(self, message: Message) -> bool:
        """Answer one request; whether the connection goes on."""
        keep = message.keep and not self.server.once
        read = self.server.front.read(message)
        if isinstance(read, tuple):
            status, body, *headers = read
            bare = message.method == "HEAD"  # a body would be taken for the next answer
            await self.http.write(response_bytes(status, body, keep, bare, *headers), STUCK_S)
            return keep
        self.asks = True
        if self.http.ended():  # its client went while it lay unread, or behind what was sent before it
            return False
        if not self.server.refusing and self.server.enter():
            self.server.core.post(Take(read, self))
            return await self._answered(read, keep)
        self.server.core.post(Turned(read.cls))
        return await self._write(Answer("refused", retry_after=self.server.again_ms), keep)

    async def _answered(self, envelope: Envelope, keep: bool) -> bool:
        """Wait for the answer and pass it on; whether the connection goes on."""
        self.asked = envelope, keep
        self.http.read_ahead(self.http.parser.data, READ_AHEAD)  # or a client's leaving would not show
        answer = await self.mailbox.get()
        self.http.stop_ahead()
        self.asked = None
        self.server.leave()
        if answer is None:
            self.server.core.post(Left(envelope.id, self))
            return False
        return await self._write(answer, keep)

    async def _write(self, answer: Answer, keep: bool) -> bool:
        keep = keep and not self.server.closing
        await self.http.write(self.server.front.render(answer, keep), STUCK_S)
        return keep

    async def _resumed(self, envelope: Envelope, keep: bool) -> bool:
        self.busy = self.heard = True
        keep = await self._answered(envelope, keep)
        self.busy, self.stood = False, IOLoop.current().time()
        self.server.settle(self)
        return keep

    async def _reject(self, error: HttpError) -> None:
        try:
            await self.http.write(response_bytes(error.status, str(error).encode(), keep=False), STUCK_S)
        except StreamClosedError:
            pass

    def detach(self, longest: int) -> tuple[int, bytes] | None:
        """Give the connection away: a descriptor of it, and what was read of its next request, at most
        longest bytes. None while it cannot go: what has begun to come must come whole, and what is answered
        must be written. One that waits for its answer can, and owes it no more here."""
        parser, waits = self.http.parser, self.asked is not None and self.mailbox.empty()
        if (
            self.over
            or self.proxied
            or parser.head is not None
            or self.http.stream.closed()
            or (len(parser.data) > longest - READ_AHEAD)
            or not waits
            and (self.busy or not self.http.waits())
        ):
            return None
        if waits:
            self.http.take_ahead()
        fd, data = os.dup(self.http.stream.socket.fileno()), bytes(parser.data)
        parser.data.clear()
        self.http.close()  # of ours: the other side does not notice
        return fd, data

    def unfinished(self) -> bool:
        """Whether a request here is being read or answered."""
        return self.busy or not (self.over or self.http.parser.idle())

    @property
    def since(self) -> float:
        """When it came, was answered, or something came last: a message that grows is no stalled one."""
        return max(self.stood, self.http.read_at)

    def rank(self, waited_s: float) -> int | None:
        if self.over:
            return OVER
        if self.busy:
            return None
        if not self.http.parser.idle():
            return HALF if waited_s > self.server.half_s else None
        if not self.heard:
            return SILENT
        return STALE if waited_s > HALF_S else IDLE

    def silent(self) -> bool:
        return self.http.silent()

    def close(self) -> None:
        self.http.close()


class HttpServer:
    """Listens for one front and owns its connections."""

    def __init__(
        self,
        address: Address,
        front: Front,
        core: Listener,
        buffers: BufferPool,
        most: int,
        longest_wait_ms: float = 0.0,
        proxied: tuple[Network, ...] = (),
        shared: socket.socket | None = None,
        once: bool = False,
        half_s: float = HALF_S,
    ) -> None:
        self.proxied = proxied
        self.once = once  # a connection carries one request
        self.half_s = half_s  # a request that has begun may be cut off after this, if the table is full
        self.front, self.core, self.buffers = front, core, buffers
        self.again_ms = min(AGAIN_MS, longest_wait_ms)  # 0: the settings allow no such advice
        self.table: Table[SenderConnection] = Table(most)
        self.asking = 0  # clients' requests that the core has
        self.closing = False  # a client's next answer is the last one on its connection
        self.draining = False  # and connections between requests are closed
        self.refusing = False  # and what is new is turned away
        self.left = False  # nothing more is accepted
        self.sharing = False  # another process accepts here too, or will: without room, none is accepted
        self.listening = listen(address, self._accept, shared)
        self.address = self.listening.address

    def _accept(self, sock) -> None:
        if not self.table.room():
            if self.once:
                # Those here have sent what is not read yet; by the next turn of the loop one of them can go.
                self.accepting(False)
                IOLoop.current().call_later(SOON_S, self._accept_waiting, sock)
                return
            with suppress(OSError):
                sock.send(self.front.render(Answer("refused", retry_after=self.again_ms), False))
            sock.close()
            return
        peer = peer_of(sock) if self.proxied else ""
        connection = SenderConnection(
            self, IOStream(sock, max_buffer_size=READ_AHEAD), peer, listed(peer, self.proxied)
        )
        self.table.seats.add(connection)
        spawn(connection.serve())
        if self.sharing:
            self.share(True)

    def _accept_waiting(self, sock: socket.socket) -> None:
        """One that found no room, before any other is accepted."""
        self.accepting(True)
        self._accept(sock)

    def share(self, sharing: bool) -> None:
        """Whether another process still holds a part of what is ours. For as long, a connection that finds no
        room here waits to be accepted: there will be soon."""
        self.sharing = sharing
        if sharing:
            self.table.trim(self.table.most - 1)
        self.accepting(not sharing or len(self.table.seats) < self.table.most)

    def adopt(
        self,
        sock: socket.socket,
        data: bytes,
        heard: bool,
        asks: bool,
        peer: str,
        asked: tuple[Envelope, bool] | None = None,
    ) -> SenderConnection:
        """Go on with a connection that another process gave away; it is within both processes' limit.
        asked: the request that waits there, and whether the connection goes on after its answer."""
        connection = SenderConnection(self, IOStream(sock, max_buffer_size=READ_AHEAD), peer)
        connection.heard, connection.asks, connection.asked = heard, asks, asked
        connection.busy = asked is not None
        self.asking += connection.busy
        connection.http.parser.data += data
        self.table.seats.add(connection)
        spawn(connection.serve())
        return connection

    def accepting(self, accepts: bool) -> None:
        self.listening.accepting(accepts)

    def enter(self) -> bool:
        """Whether one more client's request may wait here: a third of the table is left for call-backs."""
        room = self.asking < self.table.most * 2 // 3
        self.asking += room
        return room

    def leave(self) -> None:
        self.asking -= 1

    def settle(self, connection: SenderConnection) -> None:
        if self.draining and connection.asks and connection.silent():  # else it is read, and answered
            connection.http.close()

    def owes(self) -> bool:
        """Whether a client's request is being read or answered, or lies unread; or may be under way on a
        connection that has only just been opened, where no other can come any more."""
        fresh = IOLoop.current().time() - JUST_S if self.left else math.inf
        return any(
            each.unfinished()
            or not each.over
            and (not each.silent() or each.stood > fresh and not each.heard)
            for each in self.table.seats
        )

    def leave_off(self) -> None:
        """Accept what waits in the backlog, and listen no more."""
        self.left = True
        self.listening.last()

    def announce(self) -> None:
        """A drain has begun: with its next answer each client is told to come by another connection."""
        self.closing = True

    def reopen(self) -> None:
        """The drain was withdrawn."""
        self.closing = self.draining = self.refusing = False

    def close(self) -> None:
        """Listen no more, and close what is open: for fronts whose questions are answered at once."""
        self.listening.close()
        for each in list(self.table.seats):
            each.close()

    def drain(self, refuse: bool = False) -> None:
        """Close clients' connections between requests; those of call-backs stay, and so does the listener."""
        self.closing = self.draining = True
        self.refusing |= refuse
        for each in list(self.table.seats):
            if each.asks and not each.unfinished() and each.silent():
                each.close()
