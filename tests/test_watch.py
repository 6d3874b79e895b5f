"""Watches on discovery that fall silent or end, and how their calls are timed."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable

from hypothesis import given
from hypothesis import strategies as st

from spanwing.core.messages import EndpointsChanged
from spanwing.discovery.client import (
    OVERDUE_ANSWER_NOTIFIED_S,
    SILENT_WATCH_NOTIFIED_S,
    WATCH_REOPEN_MARGIN_S,
    DiscoveredEndpoints,
    DiscoveredWorker,
    DiscoveryClient,
    WatchTiming,
)
from spanwing.net.address import parse_address
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

    again_s = 0.0

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
            WatchTiming(0.1, 0.1, 0.05, self.again_s),
        )
        self.told.get_nowait()  # of the list that it began with
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

    async def test_one_that_is_ended_is_a_failure(self) -> None:
        self.assertEqual(await self.heard(lambda writer: writer.close()), "error")


class Pushed(Silent):
    """Where the list is pushed, what discovery has counts, watch or no watch."""

    again_s = 0.05

    async def test_one_that_is_ended_is_a_failure(self) -> None:
        """It is opened anew, however often, and never waits for the core."""
        first, writer = await self.called()
        for _ in range(3):
            writer.close()
            again, writer = await self.called()
            self.assertEqual(again, first)
        self.assertTrue(self.told.empty())

    async def test_whatever_is_no_list_is_asked_for_again_and_changes_nothing(self) -> None:
        """Cut, never ending, too large, no JSON, of another form, a refusal, no HTTP; and then one that is
        indented."""
        part = b'{"revision":8,"complete":true,"members":['
        for wrong, ends in (
            (b"Content-Length: 900\r\n\r\n" + part, True),
            (b"Content-Length: 900\r\n\r\n" + part, False),
            (b"Transfer-Encoding: chunked\r\n\r\n2\r\n{ \r\n", False),
            (b"Content-Length: 70000\r\n\r\n", False),
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
        body = b'\n{\n  "revision": 8,\n  "complete": false,\n  "members": [\n  ]\n}\n'
        whole = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        self.assertEqual(await self.heard(lambda writer: writer.write(whole)), "partial")
        await self.called_since(8)


class Paces(unittest.TestCase):
    @given(st.floats(0.0, 5000.0), st.booleans(), st.floats(0.0, 60000.0))
    def test_a_silent_watch_is_opened_anew_before_sends_must_have_stopped(
        self, grace_ms: float, pushed: bool, ask_every_ms: float
    ) -> None:
        """Wherever in its wait it fell silent, there is time left for the call that opens it anew."""
        pace, grace_s = WatchTiming.from_settings(grace_ms, pushed, ask_every_ms), grace_ms / 1000.0
        opened = (
            pace.poll_hold_s + pace.answer_margin_s + pace.reopen_within_s
        )  # after its call, at the latest
        for fell in (0.0, pace.poll_hold_s / 2.0, pace.poll_hold_s):
            due = max(fell + SILENT_WATCH_NOTIFIED_S, pace.poll_hold_s + OVERDUE_ANSWER_NOTIFIED_S) + grace_s
            self.assertGreaterEqual(due - opened, WATCH_REOPEN_MARGIN_S - 1e-6)
        self.assertTrue(pace.retry_within_s > 0 or not pushed)
        if pushed and grace_ms >= 100.0:
            self.assertLessEqual(pace.retry_within_s, grace_s / 2.0)

    def test_the_usual_settings_keep_the_long_wait(self) -> None:
        self.assertEqual(WatchTiming.from_settings(2000.0, False, 10000.0), WatchTiming())


if __name__ == "__main__":
    unittest.main()
