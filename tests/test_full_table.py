"""A full table of client connections: which connections are closed for new ones, and which wait."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable

from measure.streams import OpenStreams, Streams
from spanwing.core.messages import FinalAnswer, JobRequest
from spanwing.frontends.http_connection import FRESH_CONNECTION_S, HttpReply
from spanwing.frontends.http_server import HttpServer
from spanwing.net.address import Address
from spanwing.net.buffers import BufferPool
from spanwing.net.http import encode_response
from spanwing.net.http_parser import HttpMessage

MAX_CONNECTIONS = 2
GET_UP = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
TIMEOUT_S = 5.0


class UpFrontend:
    """Answers every request with 200 at once."""

    kept_targets: frozenset[str] = frozenset()
    used_fields: frozenset[str] = frozenset()

    def parse_request(self, message: HttpMessage) -> JobRequest | HttpReply:
        return 200, b"up"

    def render_answer(self, answer: FinalAnswer, keep_alive: bool) -> bytes:
        return encode_response(503, b"full", keep_alive)


class FullTable(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.server = HttpServer(
            Address("127.0.0.1", 0), UpFrontend(), None, BufferPool(), max_connections=MAX_CONNECTIONS
        )
        self.clients = OpenStreams()

    async def asyncTearDown(self) -> None:
        self.clients.close()
        self.server.close()

    async def connect(self) -> Streams:
        streams = await self.clients.connect("127.0.0.1", self.server.address.port)
        await asyncio.sleep(0.01)  # the server has accepted it
        return streams

    async def fill_with_silent_connections(self) -> list[Streams]:
        return [await self.connect() for _ in range(MAX_CONNECTIONS)]

    async def request(self, streams: Streams) -> bytes:
        """Sends a request and returns the status of its response; empty if the connection is closed."""
        reader, writer = streams
        writer.write(GET_UP)
        async with asyncio.timeout(TIMEOUT_S):
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                return b""
        return head.split()[1]

    async def test_a_new_connection_is_kept_while_its_first_request_is_on_its_way(self) -> None:
        """A burst closed connections within 2 ms of their accept, and their first requests were lost."""
        silent = await self.fill_with_silent_connections()
        newest = await self.connect()
        self.assertEqual([await self.request(each) for each in silent], [b"200", b"200"])
        self.assertEqual(await self.request(newest), b"200")

    async def test_a_connection_that_stays_silent_gives_way(self) -> None:
        silent = await self.fill_with_silent_connections()
        self.assertEqual(await self.request(await self.connect()), b"200")
        self.assertIn(b"", [await self.request(each) for each in silent])

    async def test_connections_behind_the_waiting_one_are_accepted_in_turn(self) -> None:
        began_s = asyncio.get_running_loop().time()
        await self.fill_with_silent_connections()
        later = [await self.connect() for _ in range(2 * MAX_CONNECTIONS)]
        self.assertEqual([await self.request(each) for each in later[-MAX_CONNECTIONS:]], [b"200", b"200"])
        self.assertGreater(asyncio.get_running_loop().time() - began_s, FRESH_CONNECTION_S)

    async def assert_waiting_connection_is_rejected(self, stop: Callable[[], None]) -> None:
        await self.fill_with_silent_connections()
        newest = await self.connect()
        self.assertTrue(self.server.has_unanswered_requests())
        stop()
        self.assertEqual(await self.request(newest), b"503")

    async def test_a_waiting_connection_is_answered_when_the_server_stops_listening(self) -> None:
        await self.assert_waiting_connection_is_rejected(self.server.stop_listening)

    async def test_a_waiting_connection_is_answered_when_accepting_pauses(self) -> None:
        await self.assert_waiting_connection_is_rejected(lambda: self.server.set_accepting(False))


if __name__ == "__main__":
    unittest.main()
