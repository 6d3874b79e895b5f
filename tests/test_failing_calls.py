"""System calls that fail with the errors that Linux documents: tasks continue, and loops do not spin."""

from __future__ import annotations

import asyncio
import errno
import math
import socket
import unittest
from collections import Counter
from types import SimpleNamespace
from unittest import mock

from fleet_case import FleetTestCase
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream

from measure.soak.fleet import Fleet, FleetPlan
from measure.soak.oracle import judge
from measure.streams import OpenStreams
from spanwing.discovery import call
from spanwing.discovery.call import DiscoveredEndpoints
from spanwing.discovery.client import DiscoveryClient
from spanwing.discovery.freshness import CallTiming
from spanwing.net.accepting import ACCEPT_PAUSE_S, MAX_FAILED_ACCEPTS
from spanwing.net.address import Address, listen, parse_address
from spanwing.net.buffers import BufferPool
from spanwing.net.connection_table import RANK_SILENT, ConnectionTable
from spanwing.net.http import HttpStream
from spanwing.net.tcp_stream import TcpStream

LAG_S = 0.5  # allows for other tests on the machine; accept() fails for 0.9 s
CONNECTION_ERRORS = (errno.EHOSTUNREACH, errno.ETIMEDOUT, errno.ENETUNREACH, errno.EPIPE, errno.ENOBUFS)
RESOURCE_ERRORS = (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM)
TIMING = CallTiming(0.1, 0.1, 0.05, stale_after_s=20.0, retry_spread_s=0.05, max_call_timeout_s=0.2)


class ReadErrors(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.calls = 0
        self.called = asyncio.Event()
        streams = OpenStreams()
        self.addCleanup(streams.close)
        self.server = await asyncio.start_server(streams.accepting(self.accept), "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def asyncTearDown(self) -> None:
        self.server.close()

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            if line.startswith(b"GET"):
                self.calls += 1
                self.called.set()

    async def test_any_connection_error_is_treated_as_a_close(self) -> None:
        for error in CONNECTION_ERRORS:
            with self.subTest(errno.errorcode[error]):
                local, remote = socket.socketpair()
                stream = HttpStream(TcpStream(local), BufferPool(), parses_responses=True)
                with mock.patch.object(IOStream, "read_from_fd", side_effect=OSError(error, "broken")):
                    self.assertIsNone(await asyncio.wait_for(stream.receive(), 5.0))
                    self.assertFalse(stream.is_reusable())
                remote.close()

    async def test_the_watch_continues_after_failed_reads(self) -> None:
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

    async def test_the_watch_restarts_after_an_unexpected_exception(self) -> None:
        client = DiscoveryClient(
            DiscoveredEndpoints(revision=7),
            parse_address(f"127.0.0.1:{self.port}"),
            mock.Mock(),
            BufferPool(),
            mock.Mock(),
            TIMING,
        )
        with (
            mock.patch.object(call.DiscoveryConnection, "fetch", side_effect=ValueError("a bug")),
            self.assertLogs("spanwing"),
        ):
            client.watch()
            await asyncio.sleep(0.3)
        async with asyncio.timeout(5):
            await self.called.wait()
        self.assertGreater(client.failed_calls["fault"], 0)
        self.assertLess(client.failed_calls["fault"], 10)  # the watch pauses before each restart
        client.change_discovery(parse_address("127.0.0.1:9"))


class AcceptErrors(unittest.IsolatedAsyncioTestCase):
    async def test_accept_is_retried_after_a_pause_without_losing_connections(self) -> None:
        for error in RESOURCE_ERRORS:
            with self.subTest(errno.errorcode[error]):
                accepted: asyncio.Queue[socket.socket] = asyncio.Queue()
                sock = socket.socket()
                failing = FailingAccepts(sock, error)
                with mock.patch("spanwing.net.address.open_socket", return_value=failing):
                    listening = listen(Address("127.0.0.1", 0), accepted.put_nowait)
                with self.assertNoLogs("tornado", "ERROR"), self.assertNoLogs("asyncio", "ERROR"):
                    client = socket.create_connection(listening.address)
                    await asyncio.sleep(0.5)
                self.assertTrue(1 <= failing.failed_accepts <= 20, failing.failed_accepts)
                failing.error = None
                async with asyncio.timeout(5):
                    (await accepted.get()).close()
                client.close()
                listening.close()

    async def test_accept_that_fails_in_a_row_for_whatever_reason_pauses(self) -> None:
        """Guards against a loop that is never idle, and a wait in the backlog that nobody takes off."""
        for error in (errno.ECONNABORTED, errno.EPERM, errno.EPROTO, errno.ENETDOWN):
            with self.subTest(errno.errorcode[error]):
                failing = FailingAccepts(socket.socket(), error)
                accepted: asyncio.Queue[socket.socket] = asyncio.Queue()
                with mock.patch("spanwing.net.address.open_socket", return_value=failing):
                    listening = listen(Address("127.0.0.1", 0), accepted.put_nowait)
                with self.assertLogs("spanwing", "WARNING"):
                    client = socket.create_connection(listening.address)
                    await asyncio.sleep(0.5)
                    self.assertLessEqual(
                        failing.failed_accepts, MAX_FAILED_ACCEPTS + 0.5 / ACCEPT_PAUSE_S + 1
                    )
                    self.assertGreater(listening.backlog_wait_s(), 0.4)
                    failing.error = None
                    async with asyncio.timeout(5):
                        (await accepted.get()).close()
                client.close()
                listening.close()

    async def test_backlog_is_accepted_before_a_listener_closes_although_accept_fails(self) -> None:
        """Guards against a drain that closes its listener, and resets the backlog, at the first failure."""
        for error, failure_count in ((errno.ECONNABORTED, 3), (errno.ENFILE, 3), (errno.EPERM, 15)):
            with self.subTest(errno.errorcode[error]):
                accepted: list[socket.socket] = []
                failing = FailingAccepts(socket.socket(), error, failure_count)
                with mock.patch("spanwing.net.address.open_socket", return_value=failing):
                    listening = listen(Address("127.0.0.1", 0), accepted.append)
                clients = [socket.create_connection(listening.address) for _ in range(2)]
                listening.accept_pending_and_close()
                self.assertEqual(len(accepted), len(clients))
                for each in (*accepted, *clients):
                    each.close()

    async def test_aborted_connections_are_skipped(self) -> None:
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


class BacklogWaits(FleetTestCase):
    async def test_budgets_are_reduced_by_the_wait_in_the_backlog(self) -> None:
        command = ("-m", "measure.soak.syscall_shim", "fail:accept:ENOBUFS:2.0:2.9")
        fleet = Fleet(FleetPlan(rate_per_s=60.0, command=command), seed=1)
        try:
            await fleet.start()
            await asyncio.sleep(4.0)
        finally:
            await fleet.stop()
        self.assertIn("accept() failed", fleet.logs["n0"])
        self.assertGreater(sum(each.status == 200 for each in fleet.records.requests), 100)
        violations = judge(fleet.records, fleet.rules._replace(lag_s=LAG_S))
        self.assertEqual([str(each) for each in violations[:5]], [])


class FullTables(unittest.IsolatedAsyncioTestCase):
    async def test_a_burst_at_a_full_table_does_not_rank_it_for_each_connection(self) -> None:
        table, counts = ConnectionTable(500), Counter()

        def add_connection() -> None:
            connection = SimpleNamespace(
                is_finished=False,
                last_activity_s=loop_time_s(),
                has_no_pending_input=lambda: True,
                close=lambda: None,
            )
            connection.eviction_rank = lambda _: counts.update(["ranks"]) or RANK_SILENT
            table.connections.add(HashableConnection(connection))

        for _ in range(500):
            add_connection()
        for _ in range(1000):
            self.assertTrue(table.make_room())
            add_connection()
        self.assertEqual(len(table.connections), 500)
        self.assertLess(counts["ranks"], 100_000)  # 500,000 if every new connection ranked all 500


class HashableConnection:
    """A stand-in connection that can be put into a set."""

    def __init__(self, connection: SimpleNamespace) -> None:
        self.__dict__.update(vars(connection))


def loop_time_s() -> float:
    return IOLoop.current().time()


class FailingAccepts:
    """A listening socket whose accept() fails for as long as error is set, or failure_count times."""

    def __init__(self, sock: socket.socket, error: int, failure_count: float = math.inf) -> None:
        self.sock, self.error, self.failed_accepts, self.failure_count = sock, error, 0, failure_count

    def accept(self) -> tuple[socket.socket, object]:
        if self.error is not None and self.failed_accepts < self.failure_count:
            self.failed_accepts += 1
            raise OSError(self.error, errno.errorcode[self.error])
        return self.sock.accept()

    def __getattr__(self, name: str) -> object:
        return getattr(self.sock, name)


if __name__ == "__main__":
    unittest.main()
