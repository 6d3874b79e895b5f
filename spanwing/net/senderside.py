"""The sender side over HTTP: an actor for each connection that clients or job workers opened to us."""

from __future__ import annotations

from contextlib import suppress
from typing import Protocol

from tornado.gen import sleep
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError
from tornado.queues import Queue

from spanwing.core.actor import spawn
from spanwing.core.messages import Answer, Envelope, Left, Listener, Take
from spanwing.net.address import Address, listen
from spanwing.net.buffers import BufferPool
from spanwing.net.http import HttpError, HttpStream, Message, response_bytes

WHOLE_S = 2.4  # a request must be there whole so long after its first byte, a connection's first after accept
LINGER_S = 2.4  # after a last answer, unread input is passed over so long
HALF_S = 0.5  # a request that has begun may be cut off after this, if the table is full
READ_AHEAD = 32 * 1024  # bytes that one connection may pile up while its request is answered
AGAIN_MS = 100.0  # a client that finds no room is told to come back after this


class Front(Protocol):
    """Reads requests: an envelope goes to the core, bytes are the answer at once."""

    def read(self, message: Message) -> Envelope | tuple[int, bytes]: ...

    def render(self, answer: Answer, keep: bool) -> bytes: ...


class SenderConnection:
    """One connection: a request at a time, answered before the next is read."""

    def __init__(self, server: HttpServer, stream: IOStream) -> None:
        self.server, self.http = server, HttpStream(stream, server.buffers)
        self.mailbox: Queue[Answer | None] = Queue()  # None: the other side went away
        self.heard = False  # it has sent a whole request
        self.asks = False  # it carried a client's request
        self.busy = False
        self.over = False  # the last answer is written, the other side has not closed yet
        self.since = IOLoop.current().time()
        stream.set_close_callback(lambda: self.mailbox.put_nowait(None))

    def answer(self, envelope: Envelope, answer: Answer) -> None:
        self.mailbox.put_nowait(answer)

    async def serve(self) -> None:
        try:
            keep = True
            while keep:
                message = await self.http.receive(WHOLE_S, fresh=not self.heard)
                if message is None:
                    return
                self.heard = self.busy = True
                keep = await self._one(message)
                self.busy, self.since = False, IOLoop.current().time()
                self.server.settle(self)
                if not self.http.parser.idle():
                    await sleep(0)  # who sends many requests ahead must not keep the loop to itself
        except HttpError as error:
            await self._reject(error)
        except StreamClosedError:
            return
        finally:
            self.busy, self.over = False, True
            await self.http.finish(LINGER_S)
            self.server.forget(self)

    async def _one(self, message: Message) -> bool:
        """Answer one request; whether the connection goes on."""
        keep = message.keep
        read = self.server.front.read(message)
        if isinstance(read, tuple):
            await self.http.write(response_bytes(*read, keep=keep))
            return keep
        self.asks = True
        answer = Answer("refused", retry_after=AGAIN_MS)
        if self.server.enter():
            self.server.core.post(Take(read, self))
            answer = await self.mailbox.get()
            self.server.leave()
        if answer is None:
            self.server.core.post(Left(read.id, self))
            return False
        keep = keep and not self.server.draining
        await self.http.write(self.server.front.render(answer, keep))
        return keep

    async def _reject(self, error: HttpError) -> None:
        try:
            await self.http.write(response_bytes(error.status, str(error).encode(), keep=False))
        except StreamClosedError:
            pass

    def unfinished(self) -> bool:
        """Whether a request here is being read or answered."""
        return self.busy or not (self.over or self.http.parser.idle())

    def spare(self, now: float) -> tuple[int, float] | None:
        """How soon it goes where room is needed, least first; None: it must stay."""
        if self.over:
            return 0, self.since
        if self.busy:
            return None
        if not self.http.parser.idle():  # half a request: a good one is whole soon
            return (2, self.since) if now - self.since > HALF_S else None
        return (3 if self.heard else 1), self.since


class HttpServer:
    """Listens for one front and owns its connections."""

    def __init__(self, address: Address, front: Front, core: Listener, buffers: BufferPool,
                 most: int) -> None:
        self.front, self.core, self.buffers, self.most = front, core, buffers, most
        self.connections: set[SenderConnection] = set()
        self.asking = 0  # clients' requests that the core has
        self.draining = False
        self.address = listen(address, self._accept)

    def _accept(self, sock) -> None:
        # Past the limit on sockets even the list could not be asked for: the one that is least needed goes.
        if len(self.connections) >= self.most and not self._make_room():
            with suppress(OSError):
                sock.send(self.front.render(Answer("refused", retry_after=AGAIN_MS), False))
            sock.close()
            return
        connection = SenderConnection(self, IOStream(sock, max_buffer_size=READ_AHEAD))
        self.connections.add(connection)
        spawn(connection.serve())

    def _make_room(self) -> bool:
        now = IOLoop.current().time()
        ranked = [(rank, each) for each in self.connections if (rank := each.spare(now)) is not None]
        for _, each in sorted(ranked, key=lambda pair: pair[0]):
            # What the kernel holds for us unread may be a good client's request: closing then would lose it.
            if each.over or each.http.silent():
                each.http.close()
                self.connections.discard(each)
                return True
        return False

    def enter(self) -> bool:
        """Whether one more client's request may wait here: a third of the table is left for call-backs."""
        room = self.asking < self.most * 2 // 3
        self.asking += room
        return room

    def leave(self) -> None:
        self.asking -= 1

    def settle(self, connection: SenderConnection) -> None:
        if self.draining and connection.asks:
            connection.http.close()

    def forget(self, connection: SenderConnection) -> None:
        self.connections.discard(connection)

    def busy(self) -> bool:
        """Whether a client's request is being read or answered."""
        return any(each.unfinished() for each in self.connections)

    def drain(self) -> None:
        """Close clients' connections between requests; those of call-backs stay, and so does the listener."""
        self.draining = True
        for each in list(self.connections):
            if each.asks and not each.unfinished():
                each.http.close()
