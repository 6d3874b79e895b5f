"""A connection that has ended frees what it held at once: the cyclic garbage collector is switched off."""

from __future__ import annotations

import asyncio
import gc
import socket
import struct
import unittest
import weakref
from collections import Counter
from collections.abc import Awaitable, Callable

from spanwing.core.messages import ClientDisconnected, FinalAnswer, JobRequest, RequestSubmitted
from spanwing.frontends import http_connection, http_server
from spanwing.frontends.http_connection import HttpClientConnection, HttpReply
from spanwing.frontends.http_server import HttpServer
from spanwing.net.address import Address
from spanwing.net.buffers import BufferPool
from spanwing.net.http import encode_response
from spanwing.net.http_parser import HttpMessage

CONNECTIONS = 1000
AT_ONCE = 50
SHORT_TIMEOUT_S = 0.05
LARGE_BODY = b"x" * 60_000
HEAD = b"POST /job HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"


class JobFrontend:
    """Submits a request for each POST, and answers others at once with a body that fills buffers."""

    kept_targets: frozenset[str] = frozenset()
    used_fields: frozenset[str] = frozenset()

    def parse_request(self, message: HttpMessage) -> JobRequest | HttpReply:
        if message.method == "POST":
            return JobRequest("job", "job", 1000.0, body=message.body)
        return 200, b"y" * 2_000_000

    def render_answer(self, answer: FinalAnswer, keep_alive: bool) -> bytes:
        return encode_response(200, answer.body, keep_alive)


class Core:
    """Answers the submitted requests that it does not hold."""

    def __init__(self, holds: bool) -> None:
        self.holds = holds
        self.submitted = 0

    def post(self, message: object) -> None:
        if isinstance(message, RequestSubmitted):
            self.submitted += 1
            if not self.holds:
                message.client.answer(message.request, FinalAnswer("served", b"done"))
        else:
            assert not isinstance(message, ClientDisconnected) or message.request == "job"


def reset(sock: socket.socket) -> None:
    """Closes a connection by a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class FreedConnectionTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        self.parts: weakref.WeakSet[object] = weakref.WeakSet()  # connections, streams and parsers

    def shorten(self, module: object, name: str) -> None:
        previous = getattr(module, name)
        setattr(module, name, SHORT_TIMEOUT_S)
        self.addCleanup(setattr, module, name, previous)

    async def end_all(
        self,
        use: Callable[[socket.socket], Awaitable[None]],
        holds: bool = False,
        max_connections: int = 2 * AT_ONCE,
        pause_s: float = 0.0,
    ) -> None:
        """Opens and uses connections, and checks that nothing of them is left once the clients are gone."""
        server = HttpServer(
            Address("127.0.0.1", 0), JobFrontend(), Core(holds), BufferPool(), max_connections=max_connections
        )
        parts = self.parts

        class TrackingSet(set):
            def add(self, connection: HttpClientConnection) -> None:
                for part in (connection, connection.http_stream, connection.http_stream.stream):
                    parts.add(part)
                parts.add(connection.http_stream.parser)
                super().add(connection)

        server.table.connections = TrackingSet()
        loop = asyncio.get_running_loop()
        for _ in range(CONNECTIONS // AT_ONCE):
            sockets = []
            for _ in range(AT_ONCE):
                sock = socket.socket()
                sock.setblocking(False)
                await loop.sock_connect(sock, server.address.socket_address)
                sockets.append(sock)
            await asyncio.gather(*(use(each) for each in sockets), return_exceptions=True)
            await asyncio.sleep(pause_s)
            for number, each in enumerate(sockets):
                if each.fileno() >= 0:
                    reset(each) if number % 2 else each.close()
            sockets.clear()
            del sock, each
        for _ in range(1000):  # lingering connections end after 2.4 s
            await asyncio.sleep(0.01)
            if not self.parts:
                break
        left = Counter(type(each).__name__ for each in self.parts)
        server.close()
        self.assertEqual(left, {})

    async def send(self, sock: socket.socket, data: bytes) -> None:
        await asyncio.get_running_loop().sock_sendall(sock, data)

    async def test_connections_that_said_nothing(self) -> None:
        async def use(sock: socket.socket) -> None:
            await asyncio.sleep(0.01)

        await self.end_all(use)

    async def test_connections_that_stopped_in_a_head(self) -> None:
        await self.end_all(lambda sock: self.send(sock, HEAD[:20]))

    async def test_connections_that_stopped_in_a_body(self) -> None:
        await self.end_all(lambda sock: self.send(sock, HEAD % 60_000 + LARGE_BODY[:9000]), pause_s=0.02)

    async def test_connections_whose_request_was_answered(self) -> None:
        async def use(sock: socket.socket) -> None:
            await self.send(sock, HEAD % 4 + b"work")
            await asyncio.get_running_loop().sock_recv(sock, 1000)

        await self.end_all(use)

    async def test_connections_whose_client_left_as_its_request_waited(self) -> None:
        await self.end_all(
            lambda sock: self.send(sock, HEAD % 4 + b"work" + HEAD % 60_000), holds=True, pause_s=0.02
        )

    async def test_connections_whose_request_was_malformed(self) -> None:
        async def use(sock: socket.socket) -> None:
            await self.send(sock, b"nonsense\r\n\r\n")
            await asyncio.get_running_loop().sock_recv(sock, 1000)

        await self.end_all(use)

    async def test_connections_whose_request_was_not_complete_in_time(self) -> None:
        self.shorten(http_server, "EVICTION_GRACE_S")
        self.shorten(http_connection, "MESSAGE_TIMEOUT_S")

        async def use(sock: socket.socket) -> None:
            await self.send(sock, HEAD % 60_000 + b"half")
            await asyncio.get_running_loop().sock_recv(sock, 1000)

        await self.end_all(use)

    async def test_connections_that_did_not_read_their_answer(self) -> None:
        self.shorten(http_connection, "WRITE_STALL_TIMEOUT_S")
        await self.end_all(lambda sock: self.send(sock, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"), pause_s=0.1)

    async def test_connections_that_a_full_table_closed(self) -> None:
        self.shorten(http_server, "FRESH_CONNECTION_S")

        async def use(sock: socket.socket) -> None:
            await self.send(sock, HEAD[:20])
            await asyncio.sleep(0.02)

        await self.end_all(use, max_connections=8)
