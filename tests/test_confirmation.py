"""A worker of a list of unknown age is asked whether it accepts work, before a request goes to it."""

from __future__ import annotations

import asyncio
import unittest

from spanwing.core.messages import AttemptEnded, DeliveryAttempt, JobRequest
from spanwing.net.address import Address
from spanwing.net.buffers import BufferPool
from spanwing.workers.connection_pool import ConnectionPool, DescriptorBudget
from spanwing.workers.http_worker import ConfirmationSettings, HttpWorker
from spanwing.workers.load_report import LoadReportReader

VALID_S = 5.0


class Confirmations(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.seen: list[str] = []
        self.status: int | None = 200  # of /alive; None: no answer
        self.is_needed = True
        server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.addCleanup(server.close)
        address = Address(*server.sockets[0].getsockname()[:2])
        pool = ConnectionPool(address, BufferPool(), DescriptorBudget(99), 9e3, 9e3)
        confirmation = ConfirmationSettings(lambda: self.is_needed, VALID_S)
        self.worker = HttpWorker("w1", pool, LoadReportReader(()), lambda _: None, confirmation)
        self.ended: asyncio.Queue[tuple[str, bool]] = asyncio.Queue()

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            if line == b"\r\n":
                is_question = self.seen[-1].startswith("GET /alive")
                status = self.status if is_question else 200
                if status is not None:
                    writer.write(b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % status)
            elif line.endswith(b"HTTP/1.1\r\n"):
                self.seen.append(line.decode().rsplit(" ", 1)[0])

    def post(self, message: object) -> None:
        if isinstance(message, AttemptEnded):
            self.ended.put_nowait((message.result, message.is_unsent))

    async def deliver(self, request: str, is_idempotent: bool = True) -> tuple[str, bool]:
        delivery = DeliveryAttempt(JobRequest(request, "look", 9e3), 0, 5e3, is_idempotent)
        self.worker.deliver(delivery, self)
        async with asyncio.timeout(5):
            return await self.ended.get()

    async def test_one_that_accepts_work_gets_the_request_on_the_same_connection(self) -> None:
        for is_idempotent in (True, False):
            self.worker.confirmed_until_s = 0.0
            self.seen.clear()
            self.assertEqual(await self.deliver("job-1", is_idempotent), ("ok", False))
            self.assertEqual([each.split()[0] for each in self.seen], ["GET", "POST"])

    async def test_one_that_drains_gets_nothing_and_the_attempt_ends_unsent(self) -> None:
        self.status = 503
        self.assertEqual(await self.deliver("job-1"), ("unreachable", True))
        self.assertEqual(self.seen, ["GET /alive"])

    async def test_one_that_says_nothing_gets_nothing(self) -> None:
        self.status = None
        self.assertEqual(await self.deliver("job-1"), ("unreachable", True))
        self.assertEqual(self.seen, ["GET /alive"])

    async def test_an_answer_holds_for_a_while_and_is_asked_for_again_after_it(self) -> None:
        await self.deliver("job-1")
        await self.deliver("job-2")
        self.assertEqual([each.split()[0] for each in self.seen], ["GET", "POST", "POST"])
        self.worker.confirmed_until_s = 0.0
        self.status = 503
        self.assertEqual(await self.deliver("job-3"), ("unreachable", True))

    async def test_nobody_is_asked_once_discovery_has_answered(self) -> None:
        self.is_needed = False
        await self.deliver("job-1")
        self.assertEqual([each.split()[0] for each in self.seen], ["POST"])


if __name__ == "__main__":
    unittest.main()
