"""System calls that fail in the ways that Linux documents: no task ends unseen, no loop is kept busy."""

from __future__ import annotations

import asyncio
import errno
import socket
import unittest
from unittest import mock

from tornado.iostream import IOStream

from spanwing.discovery import call
from spanwing.discovery.call import DiscoveredEndpoints
from spanwing.discovery.client import DiscoveryClient
from spanwing.discovery.freshness import CallTiming
from spanwing.net.address import Address, listen, parse_address
from spanwing.net.buffers import BufferPool
from spanwing.net.http import HttpStream
from spanwing.net.tcp_stream import TcpStream

BROKEN = (errno.EHOSTUNREACH, errno.ETIMEDOUT, errno.ENETUNREACH, errno.EPIPE, errno.ENOBUFS)
NO_RESOURCES = (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM)
TIMING = CallTiming(0.1, 0.1, 0.05, stale_after_s=20.0, spread_s=0.05, max_patience_s=0.2)


class Reads(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.calls = 0
        self.called = asyncio.Event()
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def asyncTearDown(self) -> None:
        self.server.close()

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            if line.startswith(b"GET"):
                self.calls += 1
                self.called.set()

    async def test_a_connection_that_ends_with_any_error_ends_like_a_closed_one(self) -> None:
        for error in BROKEN:
            with self.subTest(errno.errorcode[error]):
                near, far = socket.socketpair()
                stream = HttpStream(TcpStream(near), BufferPool(), parses_responses=True)
                with mock.patch.object(IOStream, "read_from_fd", side_effect=OSError(error, "broken")):
                    self.assertIsNone(await asyncio.wait_for(stream.receive(), 5.0))
                    self.assertFalse(stream.is_reusable())
                far.close()

    async def test_the_watch_goes_on_after_a_read_that_failed(self) -> None:
        client = DiscoveryClient(
            DiscoveredEndpoints(revision=7),
            parse_address(f"127.0.0.1:{self.port}"),
            mock.Mock(),
            BufferPool(),
            mock.Mock(),
            TIMING,
        )
        with mock.patch.object(IOStream, "read_from_fd", side_effect=OSError(errno.EHOSTUNREACH, "broken")):
            client.watch()
            await asyncio.sleep(0.3)
        self.called.clear()
        async with asyncio.timeout(5):
            await self.called.wait()
        client.change_discovery(parse_address("127.0.0.1:9"))

    async def test_a_watch_that_ends_by_a_fault_is_started_again(self) -> None:
        client = DiscoveryClient(
            DiscoveredEndpoints(revision=7),
            parse_address(f"127.0.0.1:{self.port}"),
            mock.Mock(),
            BufferPool(),
            mock.Mock(),
            TIMING,
        )
        with (
            mock.patch.object(call.DiscoveryConnection, "fetch", side_effect=ValueError("a fault")),
            self.assertLogs("spanwing"),
        ):
            client.watch()
            await asyncio.sleep(0.3)
        async with asyncio.timeout(5):
            await self.called.wait()
        self.assertGreater(client.failed_calls["fault"], 0)
        self.assertLess(client.failed_calls["fault"], 10)  # it pauses between
        client.change_discovery(parse_address("127.0.0.1:9"))


class Accepts(unittest.IsolatedAsyncioTestCase):
    async def test_an_accept_without_resources_is_tried_again_after_a_pause_and_loses_nobody(self) -> None:
        for error in NO_RESOURCES:
            with self.subTest(errno.errorcode[error]):
                accepted: asyncio.Queue[socket.socket] = asyncio.Queue()
                sock = socket.socket()
                failing = FailingAccepts(sock, error)
                with mock.patch("spanwing.net.address.open_socket", return_value=failing):
                    listening = listen(Address("127.0.0.1", 0), accepted.put_nowait)
                with self.assertNoLogs("tornado", "ERROR"), self.assertNoLogs("asyncio", "ERROR"):
                    client = socket.create_connection(listening.address)
                    await asyncio.sleep(0.5)
                self.assertTrue(1 <= failing.failed <= 20, failing.failed)
                failing.error = None
                async with asyncio.timeout(5):
                    (await accepted.get()).close()
                client.close()
                listening.close()

    async def test_connections_that_were_aborted_or_unreachable_are_passed_over(self) -> None:
        accepted: asyncio.Queue[socket.socket] = asyncio.Queue()
        failing = FailingAccepts(socket.socket(), errno.ECONNABORTED)
        with mock.patch("spanwing.net.address.open_socket", return_value=failing):
            listening = listen(Address("127.0.0.1", 0), accepted.put_nowait)
        client = socket.create_connection(listening.address)
        await asyncio.sleep(0.1)
        failing.error = None
        async with asyncio.timeout(5):
            (await accepted.get()).close()
        client.close()
        listening.close()


class FailingAccepts:
    """A listening socket whose accept() fails for as long as error is set."""

    def __init__(self, sock: socket.socket, error: int) -> None:
        self.sock, self.error, self.failed = sock, error, 0

    def accept(self) -> tuple[socket.socket, object]:
        if self.error is not None:
            self.failed += 1
            raise OSError(self.error, errno.errorcode[self.error])
        return self.sock.accept()

    def __getattr__(self, name: str) -> object:
        return getattr(self.sock, name)


if __name__ == "__main__":
    unittest.main()
