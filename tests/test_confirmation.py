"""Confirmation: a worker from an endpoint list of unknown age must confirm that it accepts work.

The worker is asked before an attempt is sent to it. Guards against work for a worker that drains, or does not
respond, while the list still names it as active.
"""

from __future__ import annotations

import asyncio
import unittest

from measure.streams import OpenStreams
from spanwing.core.messages import AttemptEnded, DeliveryAttempt, JobRequest
from spanwing.net.address import Address
from spanwing.net.buffers import BufferPool
from spanwing.workers.connection_pool import ConnectionPool, DescriptorBudget
from spanwing.workers.http_worker import ConfirmationSettings, HttpWorker
from spanwing.workers.load_report import LoadReportReader

VALID_S = 5.0


class ConfirmationTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.received: list[str] = []  # method and target of each request
        self.alive_status: int | None = 200  # of GET /alive; None: no response
        self.is_needed = True
        streams = OpenStreams()
        self.addCleanup(streams.close)
        server = await asyncio.start_server(streams.accepting(self.serve_worker), "127.0.0.1", 0)
        self.addCleanup(server.close)
        address = Address(*server.sockets[0].getsockname()[:2])
        pool = ConnectionPool(address, BufferPool(), DescriptorBudget(99), 9e3, 9e3)
        confirmation = ConfirmationSettings(lambda: self.is_needed, lambda: VALID_S)
        self.worker = HttpWorker("w1", pool, LoadReportReader(()), lambda _: None, confirmation)
        self.results: asyncio.Queue[tuple[str, bool]] = asyncio.Queue()

    async def serve_worker(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            if line == b"\r\n":
                is_alive_request = self.received[-1].startswith("GET /alive")
                status = self.alive_status if is_alive_request else 200
                if status is not None:
                    writer.write(b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % status)
            elif line.endswith(b"HTTP/1.1\r\n"):
                self.received.append(line.decode().rsplit(" ", 1)[0])

    def post(self, message: object) -> None:
        """Receives the messages of the worker actor, as its AttemptListener."""
        if isinstance(message, AttemptEnded):
            self.results.put_nowait((message.result, message.is_unsent))

    async def deliver(self, request: str, is_idempotent: bool = True) -> tuple[str, bool]:
        """Delivers an attempt; returns its result and whether it ended unsent."""
        delivery = DeliveryAttempt(JobRequest(request, "look", 9e3), 0, 5e3, is_idempotent)
        self.worker.deliver(delivery, self)
        async with asyncio.timeout(5):
            return await self.results.get()

    async def test_worker_that_accepts_work_gets_the_request_on_the_same_connection(self) -> None:
        for is_idempotent in (True, False):
            self.worker.confirmed_until_s = 0.0
            self.received.clear()
            self.assertEqual(await self.deliver("job-1", is_idempotent), ("ok", False))
            self.assertEqual([each.split()[0] for each in self.received], ["GET", "POST"])

    async def test_attempt_for_a_draining_worker_ends_unsent(self) -> None:
        self.alive_status = 503
        self.assertEqual(await self.deliver("job-1"), ("unreachable", True))
        self.assertEqual(self.received, ["GET /alive"])

    async def test_attempt_for_a_worker_that_does_not_respond_ends_unsent(self) -> None:
        self.alive_status = None
        self.assertEqual(await self.deliver("job-1"), ("unreachable", True))
        self.assertEqual(self.received, ["GET /alive"])

    async def test_confirmation_is_valid_for_a_limited_time(self) -> None:
        await self.deliver("job-1")
        await self.deliver("job-2")
        self.assertEqual([each.split()[0] for each in self.received], ["GET", "POST", "POST"])
        self.worker.confirmed_until_s = 0.0
        self.alive_status = 503
        self.assertEqual(await self.deliver("job-3"), ("unreachable", True))

    async def test_no_confirmation_is_requested_once_discovery_has_answered(self) -> None:
        self.is_needed = False
        await self.deliver("job-1")
        self.assertEqual([each.split()[0] for each in self.received], ["POST"])


if __name__ == "__main__":
    unittest.main()
