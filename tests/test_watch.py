"""The discovery client: repeated calls of a watch, invalid answers, and the use of a persisted list."""

from __future__ import annotations

import asyncio
import errno
import socket
import unittest
from collections.abc import Callable
from contextlib import suppress
from types import SimpleNamespace
from unittest import mock

from measure.streams import OpenStreams
from spanwing.core.messages import EndpointsChanged
from spanwing.discovery import call
from spanwing.discovery.call import MAX_LIST_BYTES, DiscoveredEndpoints, DiscoveredWorker
from spanwing.discovery.client import DiscoveryClient
from spanwing.discovery.freshness import CallTiming
from spanwing.discovery.persisted_list import (
    MAX_START_RETRY_S,
    MAX_UNANSWERED_START_CALLS,
    START_REJECTION_WAIT_S,
)
from spanwing.net.address import Address, parse_address
from spanwing.net.buffers import BufferPool


class ListedWorkers(unittest.TestCase):
    def test_listed_workers_keep_the_phases_received_from_discovery(self) -> None:
        listed = DiscoveredEndpoints(
            3,
            True,
            [
                DiscoveredWorker("w1", "127.0.0.1:1", "a"),
                DiscoveredWorker("w2", "127.0.0.1:2", "b", phase="leaving"),
                DiscoveredWorker("w3", "127.0.0.1:3", "b", phase="left"),
            ],
        )

        class StandIn:
            def post(self, _: object) -> None:
                """Stands in for the core, whose view may differ: it may mark workers of a zone as leaving."""

            def start_draining(self) -> None:
                """Stands in for a worker's connection actor."""

        client = DiscoveryClient(
            listed, parse_address("127.0.0.1:9"), StandIn(), BufferPool(), lambda *_: StandIn()
        )
        self.assertEqual(
            sorted((each.id, each.phase) for each in client.listed_workers()),
            [("w1", "active"), ("w2", "leaving")],
        )


class Watches(unittest.IsolatedAsyncioTestCase):
    """Discovery accepts the calls of a watch and answers only if the test does so."""

    timing = CallTiming(0.1, 0.1, 0.05, stale_after_s=20.0, retry_spread_s=0.05, max_call_timeout_s=0.2)

    async def asyncSetUp(self) -> None:
        self.calls: asyncio.Queue[tuple[str, asyncio.StreamWriter]] = asyncio.Queue()
        streams = OpenStreams()
        self.addCleanup(streams.close)
        self.server = await asyncio.start_server(streams.accepting(self.accept), "127.0.0.1", 0)
        self.announcements: asyncio.Queue[str] = asyncio.Queue()
        host, port = self.server.sockets[0].getsockname()
        self.client = DiscoveryClient(
            DiscoveredEndpoints(revision=7),
            parse_address(f"{host}:{port}"),
            self,
            BufferPool(),
            lambda *_: None,
            self.timing,
        )
        self.client.announced.set()  # PersistedLists tests the time before the announcement
        self.client.watch()

    async def asyncTearDown(self) -> None:
        self.server.close()

    def post(self, message: EndpointsChanged) -> None:
        self.announcements.put_nowait(message.update.scope)

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            if line.startswith(b"GET"):
                self.calls.put_nowait((line.split()[1].decode(), writer))

    def send_answer(self, writer: asyncio.StreamWriter, revision: int) -> None:
        body = b'{"revision":%d,"complete":false,"members":[]}' % revision
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    async def next_call(self) -> tuple[str, asyncio.StreamWriter]:
        return await asyncio.wait_for(self.calls.get(), 10)

    async def answer_until_announced(self, send_answer: Callable[[asyncio.StreamWriter], None]) -> str:
        """Answers calls until one answer is announced; on a slow machine, earlier calls may time out."""
        async with asyncio.timeout(20):
            while self.announcements.empty():
                send_answer((await self.next_call())[1])
                await asyncio.sleep(0.05)
        return self.announcements.get_nowait()

    async def wait_for_call_since(self, revision: int) -> None:
        """Waits for a call with this revision; skips earlier calls that are still queued."""
        async with asyncio.timeout(20):
            while f"since={revision}&" not in (await self.next_call())[0]:
                pass

    async def test_an_unanswered_call_is_repeated_from_the_same_revision(self) -> None:
        first, _ = await self.next_call()
        repeated, _ = await self.next_call()
        self.assertEqual(repeated, first)  # the same revision, so that discovery sends the missed change
        self.assertTrue(self.announcements.empty())
        self.assertEqual(
            await self.answer_until_announced(lambda writer: self.send_answer(writer, 8)), "partial"
        )
        await self.wait_for_call_since(8)

    async def test_several_unanswered_calls_in_a_row_are_repeated(self) -> None:
        """The deadline of the list runs on after the first lost answer, so no failure may wait for the core,
        which pauses for up to 4 s."""
        first, _ = await self.next_call()
        for _ in range(3):
            repeated, _ = await self.next_call()
            self.assertEqual(repeated, first)
        self.assertTrue(self.announcements.empty())
        self.assertEqual(
            await self.answer_until_announced(lambda writer: self.send_answer(writer, 9)), "partial"
        )

    async def test_a_closed_connection_is_reopened_from_the_same_revision(self) -> None:
        """Repeated failures are handled by the watch alone, without a pause of the core."""
        first, writer = await self.next_call()
        for _ in range(3):
            writer.close()
            repeated, writer = await self.next_call()
            self.assertEqual(repeated, first)
        self.assertTrue(self.announcements.empty())

    async def test_a_poll_follows_only_a_call_that_was_answered_immediately(self) -> None:
        """A poll without changes is silent for its whole hold, which would hide another lost answer."""
        for _ in range(3):
            self.assertIn("&timeout_ms=1", (await self.next_call())[0])
        await self.answer_until_announced(lambda writer: self.send_answer(writer, 8))
        async with asyncio.timeout(20):
            while (target := (await self.next_call())[0]) != "/discovery/hosts?since=8&timeout_ms=100":
                self.assertIn("since=7", target)  # a call that was already in flight
        self.assertIn("since=8&timeout_ms=1", (await self.next_call())[0])  # the poll was not answered

    async def test_a_call_is_repeated_after_the_system_was_out_of_sockets(self) -> None:
        await self.next_call()
        open_real_socket, fails = call.open_socket, iter((True, True))

        def open_socket(address: Address) -> socket.socket:
            if next(fails, False):
                raise OSError(errno.ENFILE, "too many open files in system")
            return open_real_socket(address)

        with mock.patch.object(call, "open_socket", open_socket):
            await self.next_call()
        self.assertEqual(self.client.failed_calls["no_socket"], 2)

    async def test_a_stalled_answer_is_requested_again(self) -> None:
        _, writer = await self.next_call()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{")
        began_s = asyncio.get_running_loop().time()
        await self.next_call()
        took_s = asyncio.get_running_loop().time() - began_s
        self.assertLess(took_s, self.timing.max_call_timeout_s)  # sooner than an unanswered call
        self.assertEqual(self.client.failed_calls["stalled"], 1)

    async def test_an_answer_in_many_segments_is_applied(self) -> None:
        _, writer = await self.next_call()
        body = b'{"revision":8,"complete":false,"members":[]}'
        for piece in (b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body), *body.partition(b":")):
            writer.write(piece)
            await asyncio.sleep(0.01)
        async with asyncio.timeout(20):
            self.assertEqual(await self.announcements.get(), "partial")

    async def test_an_invalid_answer_is_requested_again_and_changes_nothing(self) -> None:
        """Truncated, incomplete, too large, not JSON, of a wrong type, rejected or not HTTP; finally, a valid
        indented list is accepted."""
        truncated_body = b'{"revision":8,"complete":true,"members":['
        for invalid, is_closed in (
            (b"Content-Length: 900\r\n\r\n" + truncated_body, True),
            (b"Content-Length: 900\r\n\r\n" + truncated_body, False),
            (b"Transfer-Encoding: chunked\r\n\r\n2\r\n{ \r\n", False),
            (b"Content-Length: %d\r\n\r\n" % (MAX_LIST_BYTES + 1), False),
            (b"Content-Length: 4\r\n\r\nlist", False),
            (b'Content-Length: 16\r\n\r\n{"revision":"x"}', False),
            (b'Content-Length: 14\r\n\r\n{"members":{}}', False),
            (b"Content-Length: x\r\n\r\n", False),
        ):
            target, writer = await self.next_call()
            self.assertIn("since=7", target)
            writer.write(b"HTTP/1.1 200 OK\r\n" + invalid)
            if is_closed:
                writer.close()
        for invalid_response in (b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n", b"what?\r\n\r\n"):
            (await self.next_call())[1].write(invalid_response)
        self.assertTrue(self.announcements.empty())
        self.assertEqual(self.client.failed_calls["too_large"], 1)
        body = b'\n{\n  "revision": 8,\n  "complete": false,\n  "members": [\n  ]\n}\n'
        valid_response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        self.assertEqual(
            await self.answer_until_announced(lambda writer: writer.write(valid_response)), "partial"
        )
        await self.wait_for_call_since(8)


class PersistedLists(unittest.IsolatedAsyncioTestCase):
    """A new process starts with a persisted list, whose age is unknown."""

    async def asyncSetUp(self) -> None:
        self.calls: asyncio.Queue[asyncio.StreamWriter] = asyncio.Queue()
        streams = OpenStreams()
        self.addCleanup(streams.close)
        self.server = await asyncio.start_server(streams.accepting(self.accept), "127.0.0.1", 0)
        self.announcements: asyncio.Queue[EndpointsChanged] = asyncio.Queue()
        host, port = self.server.sockets[0].getsockname()
        worker = SimpleNamespace(
            start_draining=lambda: None, post=lambda _: None, is_draining=False, attempts={}
        )
        known = [DiscoveredWorker("w1", "127.0.0.1:1"), DiscoveredWorker("w2", "127.0.0.1:2")]
        self.client = DiscoveryClient(
            DiscoveredEndpoints(7, True, known),
            parse_address(f"{host}:{port}"),
            SimpleNamespace(post=self.announcements.put_nowait),
            BufferPool(),
            lambda *_: worker,
            CallTiming(1.0, 0.2, 0.1, stale_after_s=20.0, retry_spread_s=0.05, max_call_timeout_s=0.3),
        )
        self.client.watch()

    async def asyncTearDown(self) -> None:
        self.client.change_discovery(parse_address("127.0.0.1:9"))
        self.server.close()

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.CancelledError):
            while line := await reader.readline():
                if line.startswith(b"GET"):
                    self.calls.put_nowait(writer)

    async def next_announcement(self) -> tuple[str, list[str]]:
        async with asyncio.timeout(20):
            update = (await self.announcements.get()).update
        return update.scope, [each.state for each in update.workers]

    async def test_the_first_answer_is_merged_before_the_list_is_announced(self) -> None:
        writer = await self.calls.get()
        self.assertTrue(self.announcements.empty())
        self.assertFalse(self.client.announced.is_set())
        body = b'{"revision":8,"complete":false,"members":[{"id":"w1","phase":"left"}]}'
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        self.assertEqual(await self.next_announcement(), ("complete", ["healthy"]))

    async def test_an_adopted_list_is_announced_immediately_even_if_it_is_the_persisted_one(
        self,
    ) -> None:
        """The estimates transferred with the list apply only to workers that the decision module knows."""
        await self.calls.get()
        self.client.adopt_endpoints(DiscoveredEndpoints(7, True, list(self.client.listed_workers())))
        self.assertFalse(self.announcements.empty())  # announced without waiting for discovery
        self.assertEqual(await self.next_announcement(), ("persisted", ["healthy", "healthy"]))

    async def test_a_truncated_first_answer_announces_nothing(self) -> None:
        for _ in range(3):
            writer = await self.calls.get()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{")
            writer.close()
        await self.calls.get()
        self.assertTrue(self.announcements.empty())

    async def test_calls_back_off_while_the_first_answer_is_always_rejected(self) -> None:
        self.client.freshness.timing = self.client.freshness.timing._replace(retry_spread_s=3.0)
        count, end_s = 0, asyncio.get_running_loop().time() + 6.0
        while (left_s := end_s - asyncio.get_running_loop().time()) > 0.0:
            with suppress(TimeoutError):
                writer = await asyncio.wait_for(self.calls.get(), left_s)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (MAX_LIST_BYTES + 1))
                count += 1
        self.assertTrue(self.announcements.empty())
        self.assertLess(count, 16)  # about 24 without backoff, with pauses of up to 0.5 s

    async def test_the_persisted_list_is_announced_after_discovery_has_rejected_calls_for_a_while(
        self,
    ) -> None:
        """Rejections may mean a brief overload; only START_REJECTION_WAIT_S of them mean an outage."""
        began_s, count = asyncio.get_running_loop().time(), 0
        while self.announcements.empty():
            with suppress(TimeoutError):
                writer = await asyncio.wait_for(self.calls.get(), 0.5)
                writer.write(b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n")
                count += 1
        self.assertEqual(await self.next_announcement(), ("persisted", ["healthy", "healthy"]))
        self.assertGreaterEqual(asyncio.get_running_loop().time() - began_s, START_REJECTION_WAIT_S)
        self.assertGreater(count, START_REJECTION_WAIT_S / MAX_START_RETRY_S)

    async def test_the_persisted_list_is_announced_if_discovery_refuses_connections(self) -> None:
        self.client.change_discovery(parse_address("127.0.0.1:9"))
        self.assertEqual(await self.next_announcement(), ("persisted", ["healthy", "healthy"]))

    async def test_the_persisted_list_is_announced_after_several_unanswered_calls(self) -> None:
        for _ in range(MAX_UNANSWERED_START_CALLS):
            self.assertTrue(self.announcements.empty())
            await self.calls.get()
        self.assertTrue(self.announcements.empty())
        self.assertEqual((await self.next_announcement())[0], "persisted")


if __name__ == "__main__":
    unittest.main()
