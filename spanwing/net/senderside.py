"""The sender side over HTTP: an actor for each connection that clients or job workers opened to us."""

from __future__ import annotations

from typing import Protocol

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError
from tornado.queues import Queue

from spanwing.core.actor import spawn
from spanwing.core.messages import Answer, Envelope, Left, Listener, Take
from spanwing.net.address import Address, listen
from spanwing.net.buffers import BufferPool
from spanwing.net.http import HttpError, HttpStream, Message, response_bytes

STALL_S = 5.0  # a request that has begun must be there whole; one that never is would hold up an exit
READ_AHEAD = 128 * 1024  # bytes that one connection may pile up


class Front(Protocol):
    """Reads requests: an envelope goes to the core, bytes are the answer at once."""

    def read(self, message: Message) -> Envelope | tuple[int, bytes]: ...

    def render(self, answer: Answer, keep: bool) -> bytes: ...


class SenderConnection:
    """One connection: a request at a time, answered before the next is read."""

    def __init__(self, server: HttpServer, stream: IOStream) -> None:
        self.server, self.http = server, HttpStream(stream, server.buffers)
        self.mailbox: Queue[Answer | None] = Queue()  # None: the other side went away
        self.asks = False  # it carried a client's request
        self.busy = False
        self.since = IOLoop.current().time()
        stream.set_close_callback(lambda: self.mailbox.put_nowait(None))

    def answer(self, envelope: Envelope, answer: Answer) -> None:
        self.mailbox.put_nowait(answer)

    async def serve(self) -> None:
        try:
            while not self.http.stream.closed():
                message = await self.http.receive(STALL_S)
                if message is None:
                    break
                self.busy = True
                if not await self._one(message):
                    break
                self.busy, self.since = False, IOLoop.current().time()
                self.server.settle(self)
        except HttpError as error:
            await self._reject(error)
        except StreamClosedError:
            pass
        finally:
            self.http.close()
            self.server.forget(self)

    async def _one(self, message: Message) -> bool:
        """Answer one request; whether the connection goes on."""
        keep = message.keep
        read = self.server.front.read(message)
        if isinstance(read, tuple):
            await self.http.write(response_bytes(*read, keep=keep))
            return keep
        self.asks = True
        self.server.core.post(Take(read, self))
        answer = await self.mailbox.get()
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


class HttpServer:
    """Listens for one front and owns its connections."""

    def __init__(self, address: Address, front: Front, core: Listener, buffers: BufferPool,
                 most: int) -> None:
        self.front, self.core, self.buffers, self.most = front, core, buffers, most
        self.connections: set[SenderConnection] = set()
        self.draining = False
        self.address = listen(address, self._accept)

    def _accept(self, sock) -> None:
        # Past the limit on sockets even the list could not be asked for: the longest idle one goes.
        if len(self.connections) >= self.most:
            idle = [each for each in self.connections if not each.busy and each.http.parser.idle()]
            if not idle:
                sock.close()
                return
            min(idle, key=lambda each: each.since).http.close()
        connection = SenderConnection(self, IOStream(sock, max_buffer_size=READ_AHEAD))
        self.connections.add(connection)
        spawn(connection.serve())

    def settle(self, connection: SenderConnection) -> None:
        if self.draining and connection.asks:
            connection.http.close()

    def forget(self, connection: SenderConnection) -> None:
        self.connections.discard(connection)

    def busy(self) -> bool:
        """Whether a client's request is being read or answered."""
        return any(each.busy or not each.http.parser.idle() for each in self.connections)

    def drain(self) -> None:
        """Close clients' connections between requests; those of call-backs stay, and so does the listener."""
        self.draining = True
        for each in list(self.connections):
            if each.asks and not each.busy and each.http.parser.idle():
                each.http.close()
