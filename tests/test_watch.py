"""Watches on discovery that fall silent or end, and how their calls are timed."""

from __future__ import annotations

import asyncio
import errno
import socket
import unittest
from collections.abc import Callable
from contextlib import suppress
from types import SimpleNamespace
from unittest import mock

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


class Passed(unittest.TestCase):
    def test_a_successor_hears_what_discovery_told_whatever_the_module_was_told(self) -> None:
        listed = DiscoveredEndpoints(
            3,
            True,
            [
                DiscoveredWorker("w1", "127.0.0.1:1", "a"),
                DiscoveredWorker("w2", "127.0.0.1:2", "b", phase="leaving"),
                DiscoveredWorker("w3", "127.0.0.1:3", "b", phase="left"),
            ],
        )

        class Hears:
            def post(self, _: object) -> None:
                """The core, which may screen workers of a zone that was left as leaving."""

            def start_draining(self) -> None:
                """A next hop."""

        found = DiscoveryClient(
            listed, parse_address("127.0.0.1:9"), Hears(), BufferPool(), lambda *_: Hears()
        )
        self.assertEqual(
            sorted((each.id, each.phase) for each in found.listed_workers()),
            [("w1", "active"), ("w2", "leaving")],
        )


class Silent(unittest.IsolatedAsyncioTestCase):
    """Discovery takes the calls of a watch and answers only those that the test wants answered."""

    timing = CallTiming(0.1, 0.1, 0.05, stale_after_s=20.0, retry_spread_s=0.05, max_call_timeout_s=0.2)

    async def asyncSetUp(self) -> None:
        self.calls: asyncio.Queue[tuple[str, asyncio.StreamWriter]] = asyncio.Queue()
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.told: asyncio.Queue[str] = asyncio.Queue()
        host, port = self.server.sockets[0].getsockname()
        self.map = DiscoveryClient(
            DiscoveredEndpoints(revision=7),
            parse_address(f"{host}:{port}"),
            self,
            BufferPool(),
            lambda *_: None,
            self.timing,
        )
        self.map.announced.set()  # the list that it began with; how that comes about: Starts
        self.map.watch()

    async def asyncTearDown(self) -> None:
        self.server.close()

    def post(self, message: EndpointsChanged) -> None:
        self.told.put_nowait(message.update.scope)

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            if line.startswith(b"GET"):
                self.calls.put_nowait((line.split()[1].decode(), writer))

    def tell(self, writer: asyncio.StreamWriter, revision: int) -> None:
        body = b'{"revision":%d,"complete":false,"members":[]}' % revision
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    async def called(self) -> tuple[str, asyncio.StreamWriter]:
        return await asyncio.wait_for(self.calls.get(), 10)

    async def heard(self, tells: Callable[[asyncio.StreamWriter], None]) -> str:
        """Answer every call until the core has heard of one: on a slow machine some are over by then."""
        async with asyncio.timeout(20):
            while self.told.empty():
                tells((await self.called())[1])
                await asyncio.sleep(0.05)
        return self.told.get_nowait()

    async def called_since(self, revision: int) -> None:
        """Wait for a call from this revision; earlier ones may still lie there."""
        async with asyncio.timeout(20):
            while f"since={revision}&" not in (await self.called())[0]:
                pass

    async def test_it_is_opened_anew_before_the_core_hears_of_a_failure(self) -> None:
        first, _ = await self.called()
        again, _ = await self.called()
        self.assertEqual(again, first)  # from the same revision: what it missed comes at once
        self.assertTrue(self.told.empty())
        self.assertEqual(await self.heard(lambda writer: self.tell(writer, 8)), "partial")
        await self.called_since(8)

    async def test_however_often_it_falls_silent_it_is_opened_anew_by_itself(self) -> None:
        """What a second silence hides counts as told as soon as what the first did: the core's pause of up to
        4 s after a failure would come on top of the wait."""
        first, _ = await self.called()
        for _ in range(3):
            again, _ = await self.called()
            self.assertEqual(again, first)
        self.assertTrue(self.told.empty())
        self.assertEqual(await self.heard(lambda writer: self.tell(writer, 9)), "partial")

    async def test_one_that_is_ended_is_opened_anew(self) -> None:
        """However often, from the same revision, and it never waits for the core."""
        first, writer = await self.called()
        for _ in range(3):
            writer.close()
            again, writer = await self.called()
            self.assertEqual(again, first)
        self.assertTrue(self.told.empty())

    async def test_a_poll_comes_only_after_a_call_that_was_answered_at_once(self) -> None:
        """A poll may be silent for its whole hold: after a failure that could hide a lost answer."""
        for _ in range(3):
            self.assertIn("&timeout_ms=1", (await self.called())[0])
        await self.heard(lambda writer: self.tell(writer, 8))
        async with asyncio.timeout(20):
            while (target := (await self.called())[0]) != "/discovery/hosts?since=8&timeout_ms=100":
                self.assertIn("since=7", target)  # one that was under way
        self.assertIn("since=8&timeout_ms=1", (await self.called())[0])  # the poll was not answered

    async def test_a_socket_that_the_system_does_not_give_is_asked_for_again(self) -> None:
        await self.called()
        plain, failing = call.open_socket, iter((True, True))

        def open_socket(address: Address) -> socket.socket:
            if next(failing, False):
                raise OSError(errno.ENFILE, "too many open files in system")
            return plain(address)

        with mock.patch.object(call, "open_socket", open_socket):
            await self.called()
        self.assertEqual(self.map.failed_calls["no_socket"], 2)

    async def test_an_answer_that_stops_for_longer_than_allowed_is_asked_for_again(self) -> None:
        _, writer = await self.called()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{")
        began_s = asyncio.get_running_loop().time()
        await self.called()
        took_s = asyncio.get_running_loop().time() - began_s
        self.assertLess(took_s, self.timing.max_call_timeout_s)  # sooner than a call without any byte
        self.assertEqual(self.map.failed_calls["stalled"], 1)

    async def test_an_answer_in_many_pieces_counts(self) -> None:
        _, writer = await self.called()
        body = b'{"revision":8,"complete":false,"members":[]}'
        for piece in (b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body), *body.partition(b":")):
            writer.write(piece)
            await asyncio.sleep(0.01)
        async with asyncio.timeout(20):
            self.assertEqual(await self.told.get(), "partial")

    async def test_whatever_is_no_list_is_asked_for_again_and_changes_nothing(self) -> None:
        """Cut, never ending, too large, no JSON, of another form, a refusal, no HTTP; and then one that is
        indented."""
        part = b'{"revision":8,"complete":true,"members":['
        for wrong, ends in (
            (b"Content-Length: 900\r\n\r\n" + part, True),
            (b"Content-Length: 900\r\n\r\n" + part, False),
            (b"Transfer-Encoding: chunked\r\n\r\n2\r\n{ \r\n", False),
            (b"Content-Length: %d\r\n\r\n" % (MAX_LIST_BYTES + 1), False),
            (b"Content-Length: 4\r\n\r\nlist", False),
            (b'Content-Length: 16\r\n\r\n{"revision":"x"}', False),
            (b'Content-Length: 14\r\n\r\n{"members":{}}', False),
            (b"Content-Length: x\r\n\r\n", False),
        ):
            target, writer = await self.called()
            self.assertIn("since=7", target)
            writer.write(b"HTTP/1.1 200 OK\r\n" + wrong)
            if ends:
                writer.close()
        for whole in (b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n", b"what?\r\n\r\n"):
            (await self.called())[1].write(whole)
        self.assertTrue(self.told.empty())
        self.assertEqual(self.map.failed_calls["too_large"], 1)
        body = b'\n{\n  "revision": 8,\n  "complete": false,\n  "members": [\n  ]\n}\n'
        whole = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        self.assertEqual(await self.heard(lambda writer: writer.write(whole)), "partial")
        await self.called_since(8)


class Starts(unittest.IsolatedAsyncioTestCase):
    """A new process has a list of unknown age."""

    async def asyncSetUp(self) -> None:
        self.calls: asyncio.Queue[asyncio.StreamWriter] = asyncio.Queue()
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.told: asyncio.Queue[EndpointsChanged] = asyncio.Queue()
        host, port = self.server.sockets[0].getsockname()
        worker = SimpleNamespace(
            start_draining=lambda: None, post=lambda _: None, is_draining=False, attempts={}
        )
        known = [DiscoveredWorker("w1", "127.0.0.1:1"), DiscoveredWorker("w2", "127.0.0.1:2")]
        self.client = DiscoveryClient(
            DiscoveredEndpoints(7, True, known),
            parse_address(f"{host}:{port}"),
            SimpleNamespace(post=self.told.put_nowait),
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

    async def announced(self) -> tuple[str, list[str]]:
        async with asyncio.timeout(20):
            update = (await self.told.get()).update
        return update.scope, [each.state for each in update.workers]

    async def test_the_first_answer_is_merged_into_it_before_anybody_hears_of_it(self) -> None:
        writer = await self.calls.get()
        self.assertTrue(self.told.empty())
        self.assertFalse(self.client.announced.is_set())
        body = b'{"revision":8,"complete":false,"members":[{"id":"w1","phase":"left"}]}'
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        self.assertEqual(await self.announced(), ("complete", ["healthy"]))

    async def test_the_list_of_a_predecessor_is_announced_at_once_also_if_it_is_the_persisted_one(
        self,
    ) -> None:
        """The estimates that come with it are for workers that the decisions know."""
        await self.calls.get()
        self.client.adopt_endpoints(DiscoveredEndpoints(7, True, list(self.client.listed_workers())))
        self.assertFalse(self.told.empty())  # nothing else announces it before
        self.assertEqual(await self.announced(), ("persisted", ["healthy", "healthy"]))

    async def test_a_first_answer_that_breaks_off_announces_nothing(self) -> None:
        for _ in range(3):
            writer = await self.calls.get()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{")
            writer.close()
        await self.calls.get()
        self.assertTrue(self.told.empty())

    async def test_a_first_answer_that_can_never_be_taken_is_asked_for_ever_more_seldom(self) -> None:
        self.client.freshness.timing = self.client.freshness.timing._replace(retry_spread_s=3.0)
        count, end_s = 0, asyncio.get_running_loop().time() + 6.0
        while (left_s := end_s - asyncio.get_running_loop().time()) > 0.0:
            with suppress(TimeoutError):
                writer = await asyncio.wait_for(self.calls.get(), left_s)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (MAX_LIST_BYTES + 1))
                count += 1
        self.assertTrue(self.told.empty())
        self.assertLess(count, 16)  # some 24 within 0.5 s each

    async def test_a_discovery_that_rejects_its_calls_is_asked_again_for_a_while(self) -> None:
        """It may be crowded. Once it has answered nobody for that long, the list is all there is."""
        began_s, count = asyncio.get_running_loop().time(), 0
        while self.told.empty():
            with suppress(TimeoutError):
                writer = await asyncio.wait_for(self.calls.get(), 0.5)
                writer.write(b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n")
                count += 1
        self.assertEqual(await self.announced(), ("persisted", ["healthy", "healthy"]))
        self.assertGreaterEqual(asyncio.get_running_loop().time() - began_s, START_REJECTION_WAIT_S)
        self.assertGreater(count, START_REJECTION_WAIT_S / MAX_START_RETRY_S)

    async def test_once_nothing_listens_there_it_is_all_there_is(self) -> None:
        self.client.change_discovery(parse_address("127.0.0.1:9"))
        self.assertEqual(await self.announced(), ("persisted", ["healthy", "healthy"]))

    async def test_a_silent_discovery_is_asked_again_as_one_answer_may_be_lost(self) -> None:
        for _ in range(MAX_UNANSWERED_START_CALLS):
            self.assertTrue(self.told.empty())
            await self.calls.get()
        self.assertTrue(self.told.empty())
        self.assertEqual((await self.announced())[0], "persisted")


if __name__ == "__main__":
    unittest.main()
