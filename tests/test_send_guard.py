"""The send guard: each reason to refuse an attempt between its decision and its bytes, and the violations.

Guards against attempts that are sent although their request, deadline, deduplication window or endpoint list
has ended while they waited, and against such a send that is not counted as a violation.
"""

from __future__ import annotations

import asyncio
import io
import itertools
import unittest
from collections import Counter
from contextlib import redirect_stdout
from types import SimpleNamespace
from unittest import mock

from measure.streams import OpenStreams
from spanwing import interface as api
from spanwing.cli.main import _print_status
from spanwing.core.clock import Clock
from spanwing.core.messages import (
    AttemptEnded,
    DeliveryAttempt,
    EndpointsChanged,
    JobRequest,
    RequestSubmitted,
)
from spanwing.core.request_manager import RequestManager
from spanwing.core.send_guard import SendGuard, SendPermit, SendRefusal
from spanwing.net.address import Address
from spanwing.net.buffers import BufferPool
from spanwing.workers.connection_pool import ConnectionPool, DescriptorBudget
from spanwing.workers.http_worker import HttpWorker
from spanwing.workers.load_report import LoadReportReader

SETTINGS = api.Settings(
    classes=(
        api.ServiceClass("read", latency_objective_ms=2000, deadline_ms=5000),
        api.ServiceClass("apply", latency_objective_ms=2000, deadline_ms=5000, idempotency="unsafe"),
        api.ServiceClass(
            "push",
            latency_objective_ms=2000,
            deadline_ms=5000,
            idempotency="keyed",
            deduplication_window_ms=1000.0,
        ),
    ),
    max_attempts=3,
    cancel=True,
)


class PermitTests(unittest.TestCase):
    def setUp(self) -> None:
        self.refusal: SendRefusal | None = None
        self.counters: Counter[str] = Counter()
        state = SimpleNamespace(
            send_refusal=lambda *_: self.refusal, to_discovered_worker=lambda *_: self.is_discovered_worker
        )
        self.is_discovered_worker = True
        self.guard = SendGuard(state, self.counters)

    def check_send(self, is_worker_draining: bool = False) -> None:
        """Records the violation, if any, of a send that no permit is asked for."""
        permit = self.guard.permit("job-1", 0, "w1")
        violation = permit.find_violation(is_worker_draining)
        if violation is not None:
            permit.record_violation(violation)

    def test_permit_checks_at_each_call_and_stays_refused(self) -> None:
        permit = self.guard.permit("job-1", 0, "w1")
        self.assertTrue(permit())
        self.refusal = SendRefusal.LIST_STALE
        self.assertFalse(permit())
        self.refusal = None
        self.assertFalse(permit())
        self.assertEqual(self.counters, {"guard.refused.list_stale": 1})

    def test_send_that_would_be_refused_is_a_violation(self) -> None:
        for refusal, rule in (
            (SendRefusal.REQUEST_ENDED, "lost"),
            (SendRefusal.DEADLINE_PASSED, "lost"),
            (SendRefusal.ATTEMPT_ENDED, "duplicate"),
            (SendRefusal.MAY_HAVE_RUN, "duplicate"),
            (SendRefusal.WINDOW_PASSED, "duplicate"),
            (SendRefusal.LIST_STALE, "drain"),
        ):
            self.refusal = refusal
            with self.assertLogs("spanwing", "ERROR") as logged:
                self.check_send()
            self.assertIn(
                f"rule_violated rule={rule} request=job-1 worker=w1 reason={refusal}", logged.output[0]
            )
            self.assertEqual(self.counters[f"violation.{rule}"], 1)
            self.counters.clear()

    def test_send_to_a_draining_worker_is_a_violation_even_without_a_refusal(self) -> None:
        with self.assertLogs("spanwing", "ERROR"):
            self.check_send(is_worker_draining=True)
        self.assertEqual(self.counters, {"violation.drain": 1})

    def test_send_with_a_list_that_is_too_old_is_a_violation_even_if_the_guard_allows_it(self) -> None:
        self.guard.is_list_too_old = lambda: True
        with self.assertLogs("spanwing", "ERROR"):
            self.check_send()
        self.assertEqual(self.counters, {"violation.drain": 1})
        self.is_discovered_worker = False
        self.check_send()
        self.assertEqual(self.counters, {"violation.drain": 1})

    def test_permitted_send_is_no_violation(self) -> None:
        self.check_send()
        self.assertEqual(self.counters, {})

    def test_stale_list_refuses_only_probes_of_discovered_workers(self) -> None:
        self.guard.is_list_stale = lambda: True
        self.assertFalse(self.guard.may_probe(to_discovered_worker=True))
        self.assertTrue(self.guard.may_probe(to_discovered_worker=False))


class WriteTests(unittest.IsolatedAsyncioTestCase):
    """The rules are checked apart from the permit, at the write of an attempt's bytes to a worker."""

    async def asyncSetUp(self) -> None:
        streams, self.counters = OpenStreams(), Counter()
        self.addCleanup(streams.close)
        server = await asyncio.start_server(streams.accepting(self.serve_worker), "127.0.0.1", 0)
        self.addCleanup(server.close)
        address = Address(*server.sockets[0].getsockname()[:2])
        self.pool = ConnectionPool(address, BufferPool(), DescriptorBudget(99), 9e3, 9e3)
        self.addCleanup(self.pool.close_idle)
        self.http_worker = HttpWorker("w1", self.pool, LoadReportReader(()), lambda _: None)
        self.results: asyncio.Queue[str] = asyncio.Queue()

    async def serve_worker(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            if line == b"\r\n":
                writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n")

    def post(self, message: object) -> None:
        """Receives the messages of the worker actor, as its AttemptListener."""
        if isinstance(message, AttemptEnded):
            self.results.put_nowait(message.result)

    async def send(self, checks_before_deadline: int) -> str:
        """Sends an attempt whose deadline passes after so many checks; returns its result."""
        checks = itertools.count()
        state = SimpleNamespace(
            send_refusal=lambda *_: (
                None if next(checks) < checks_before_deadline else SendRefusal.DEADLINE_PASSED
            ),
            to_discovered_worker=lambda *_: False,
        )
        permit = SendGuard(state, self.counters).permit("job-1", 0, "w1")
        delivery = DeliveryAttempt(JobRequest("job-1", "read", 5e3), 0, 5e3, True, may_send=permit)
        self.http_worker.deliver(delivery, self)
        return await asyncio.wait_for(self.results.get(), 10)

    async def test_deadline_that_passes_between_two_checks_before_the_write_is_no_violation(self) -> None:
        """Guards against a violation that is counted for bytes which the permit then holds back."""
        results = set()
        for checks_before_deadline in range(12):
            results.add(await self.send(checks_before_deadline))
            self.assertNotIn("violation.lost", self.counters, checks_before_deadline)
        self.assertEqual(results, {"moot", "ok"})

    async def test_bytes_that_are_written_after_the_deadline_are_a_violation(self) -> None:
        with (
            mock.patch.object(SendPermit, "__call__", lambda permit: True),
            self.assertLogs("spanwing", "ERROR"),
        ):
            self.assertEqual(await self.send(0), "ok")
        self.assertEqual(self.counters, {"violation.lost": 1})


class StatusTests(unittest.TestCase):
    def test_status_shows_violations(self) -> None:
        reply = {"name": "a", "status": "pass", "state": "ready", "weight": 100, "since_s": 1.0, "owed": 0}
        output = io.StringIO()
        with redirect_stdout(output):
            _print_status({**reply, "notes": [], "checks": {}, "counters": {"sent": 3, "violation.drain": 2}})
        self.assertIn("rule violated: drain, 2 times", output.getvalue())
        self.assertNotIn("sent", output.getvalue())


class WorkerStandIn:
    """A worker connection that keeps the permits of its attempts."""

    name, address, records_intent_itself = "w1", "here", False

    def __init__(self) -> None:
        self.permits: list[SendPermit] = []

    def deliver(self, delivery, _) -> None:
        self.permits.append(delivery.may_send)

    def cancel(self, *_: object) -> None:
        """Does nothing: the test ends the attempt."""

    withdraw = probe = cancel


class AttemptTests(unittest.IsolatedAsyncioTestCase):
    """The request manager's state of an attempt between its decision and its bytes."""

    async def asyncSetUp(self) -> None:
        self.manager = RequestManager(SETTINGS, 1, Clock())
        self.worker = WorkerStandIn()
        self.answers: list[str] = []
        self.client = SimpleNamespace(answer=lambda _, answer: self.answers.append(answer.kind))
        worker_list = api.WorkerList("complete", (api.Worker(1), api.Worker(2)))
        self.manager.post(EndpointsChanged(worker_list, {1: self.worker, 2: self.worker}))

    async def submit(self, cls: str, budget_ms: float = 5000.0) -> SendPermit:
        """Submits a request; returns the permit of its first attempt."""
        self.manager.post(RequestSubmitted(JobRequest("job-1", cls, budget_ms), self.client))
        async with asyncio.timeout(10):
            while not self.worker.permits:
                await asyncio.sleep(0)
        return self.worker.permits[-1]

    async def test_attempt_whose_conditions_hold_may_be_sent(self) -> None:
        self.assertTrue((await self.submit("read"))())

    async def test_attempt_is_refused_if_the_list_became_stale_while_it_waited(self) -> None:
        permit = await self.submit("read")
        self.manager.guard.is_list_stale = lambda: True
        self.assertFalse(permit())
        self.assertEqual(permit.refusal, SendRefusal.LIST_STALE)

    async def test_request_is_rejected_if_the_list_is_stale_at_the_decision(self) -> None:
        self.manager.guard.is_list_stale = lambda: True
        self.manager.post(RequestSubmitted(JobRequest("job-1", "apply", 5000.0), self.client))
        async with asyncio.timeout(10):
            while not self.answers:
                await asyncio.sleep(0)
        self.assertEqual((self.answers, self.worker.permits), (["refused"], []))

    async def test_attempt_to_a_closed_zone_is_counted_as_zones_moot(self) -> None:
        self.manager.zone_routing = SimpleNamespace(
            may_forward=lambda _: False, attempt_ended=lambda *_: None, filter_workers=lambda update: update
        )
        self.manager.post(RequestSubmitted(JobRequest("job-1", "apply", 5000.0), self.client))
        async with asyncio.timeout(10):
            while not self.answers:
                await asyncio.sleep(0)
        self.assertEqual(self.worker.permits, [])
        self.assertEqual(self.manager.counters["zones.moot"], SETTINGS.max_attempts)

    async def test_attempt_is_refused_after_its_request_was_answered(self) -> None:
        permit = await self.submit("read")
        del self.manager.pending_requests["job-1"]
        self.assertFalse(permit())
        self.assertEqual(permit.refusal, SendRefusal.REQUEST_ENDED)

    async def test_attempt_is_refused_after_its_end(self) -> None:
        permit = await self.submit("read")
        del self.manager.in_flight["job-1", 0]
        self.assertFalse(permit())
        self.assertEqual(permit.refusal, SendRefusal.ATTEMPT_ENDED)

    async def test_attempt_is_refused_after_its_deadline(self) -> None:
        permit = await self.submit("read", budget_ms=30.0)
        self.manager.clock.offset_s += 0.03
        self.assertFalse(permit())
        self.assertEqual(permit.refusal, SendRefusal.DEADLINE_PASSED)

    async def test_attempt_of_an_unsafe_class_is_refused_after_the_job_may_have_run(self) -> None:
        permit = await self.submit("apply")
        self.manager.pending_requests["job-1"].may_have_run = True
        self.assertFalse(permit())
        self.assertEqual(permit.refusal, SendRefusal.MAY_HAVE_RUN)

    async def test_retry_is_refused_after_the_deduplication_window(self) -> None:
        await self.submit("push")
        self.manager.post(AttemptEnded("job-1", 0, "reset"))
        async with asyncio.timeout(10):
            while len(self.worker.permits) < 2:
                await asyncio.sleep(0.01)
        self.assertTrue(self.worker.permits[1]())
        self.manager.clock.offset_s += 1.0
        self.assertFalse(self.worker.permits[1]())
        self.assertEqual(self.worker.permits[1].refusal, SendRefusal.WINDOW_PASSED)


if __name__ == "__main__":
    unittest.main()
