"""The guard of every send: each reason, asked at the moment of use, and the check of what was sent."""

from __future__ import annotations

import asyncio
import io
import unittest
from collections import Counter
from contextlib import redirect_stdout
from types import SimpleNamespace

from spanwing import interface as api
from spanwing.cli.main import _print_status
from spanwing.core.clock import Clock
from spanwing.core.messages import AttemptEnded, EndpointsChanged, JobRequest, RequestSubmitted
from spanwing.core.request_manager import RequestManager
from spanwing.core.send_guard import SendGuard, SendPermit, SendRefusal

SETTINGS = api.Settings(
    classes=(
        api.ServiceClass("read", aim=2000, deadline=5000),
        api.ServiceClass("apply", aim=2000, deadline=5000, effect="unsafe"),
        api.ServiceClass("push", aim=2000, deadline=5000, effect="keyed", window=1000.0),
    ),
    max_attempts=3,
    cancel=True,
)


class Permits(unittest.TestCase):
    def setUp(self) -> None:
        self.refusal: SendRefusal | None = None
        self.counters: Counter[str] = Counter()
        state = SimpleNamespace(
            send_refusal=lambda *_: self.refusal, to_discovered_worker=lambda *_: self.follows
        )
        self.follows = True
        self.guard = SendGuard(state, self.counters)

    def test_it_is_asked_at_each_use_and_refuses_for_good(self) -> None:
        permit = self.guard.permit("job-1", 0, "w1")
        self.assertTrue(permit())
        self.refusal = SendRefusal.LIST_STALE
        self.assertFalse(permit())
        self.refusal = None
        self.assertFalse(permit())
        self.assertEqual(self.counters, {"guard.refused.list_stale": 1})

    def test_what_was_sent_against_a_rule_is_a_violation(self) -> None:
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
                self.guard.permit("job-1", 0, "w1").check_sent(is_worker_draining=False)
            self.assertIn(
                f"rule_violated rule={rule} request=job-1 worker=w1 reason={refusal}", logged.output[0]
            )
            self.assertEqual(self.counters[f"violation.{rule}"], 1)
            self.counters.clear()

    def test_a_send_to_a_draining_worker_is_a_violation_whatever_else_holds(self) -> None:
        with self.assertLogs("spanwing", "ERROR"):
            self.guard.permit("job-1", 0, "w1").check_sent(is_worker_draining=True)
        self.assertEqual(self.counters, {"violation.drain": 1})

    def test_a_list_that_is_too_old_is_a_violation_also_if_the_guard_took_it_for_fresh(self) -> None:
        self.guard.is_list_too_old = lambda: True
        with self.assertLogs("spanwing", "ERROR"):
            self.guard.permit("job-1", 0, "w1").check_sent(is_worker_draining=False)
        self.assertEqual(self.counters, {"violation.drain": 1})
        self.follows = False
        self.guard.permit("job-1", 0, "w1").check_sent(is_worker_draining=False)
        self.assertEqual(self.counters, {"violation.drain": 1})

    def test_what_may_be_sent_is_none(self) -> None:
        self.guard.permit("job-1", 0, "w1").check_sent(is_worker_draining=False)
        self.assertEqual(self.counters, {})

    def test_probes_follow_the_age_of_the_list_that_named_the_worker(self) -> None:
        self.guard.is_list_stale = lambda: True
        self.assertFalse(self.guard.may_probe(to_discovered_worker=True))
        self.assertTrue(self.guard.may_probe(to_discovered_worker=False))


class Status(unittest.TestCase):
    def test_violations_stand_in_the_status(self) -> None:
        reply = {"name": "a", "status": "pass", "state": "ready", "weight": 100, "since_s": 1.0, "owed": 0}
        shown = io.StringIO()
        with redirect_stdout(shown):
            _print_status({**reply, "notes": [], "checks": {}, "counters": {"sent": 3, "violation.drain": 2}})
        self.assertIn("rule violated: drain, 2 times", shown.getvalue())
        self.assertNotIn("sent", shown.getvalue())


class Worker:
    """A connection that keeps the permits it is given."""

    name, address, records_intent_itself = "w1", "here", False

    def __init__(self) -> None:
        self.permits: list[SendPermit] = []

    def deliver(self, delivery, _) -> None:
        self.permits.append(delivery.may_send)

    def cancel(self, *_: object) -> None:
        """The attempt ends when the test says so."""

    withdraw = probe = cancel


class Attempts(unittest.IsolatedAsyncioTestCase):
    """What the request manager says of an attempt between its decision and its bytes."""

    async def asyncSetUp(self) -> None:
        self.manager = RequestManager(SETTINGS, 1, Clock())
        self.worker = Worker()
        self.answers: list[str] = []
        self.client = SimpleNamespace(answer=lambda _, answer: self.answers.append(answer.kind))
        listed = api.WorkerList("complete", (api.Worker(1), api.Worker(2)))
        self.manager.post(EndpointsChanged(listed, {1: self.worker, 2: self.worker}))

    async def submitted(self, cls: str, budget: float = 5000.0) -> SendPermit:
        self.manager.post(RequestSubmitted(JobRequest("job-1", cls, budget), self.client))
        async with asyncio.timeout(10):
            while not self.worker.permits:
                await asyncio.sleep(0)
        return self.worker.permits[-1]

    async def test_one_that_was_decided_and_is_still_wanted_may_be_sent(self) -> None:
        self.assertTrue((await self.submitted("read"))())

    async def test_a_list_that_grew_too_old_while_it_waited_refuses_it(self) -> None:
        permit = await self.submitted("read")
        self.manager.guard.is_list_stale = lambda: True
        self.assertFalse(permit())
        self.assertEqual(permit.refusal, SendRefusal.LIST_STALE)

    async def test_a_list_that_is_too_old_at_the_decision_ends_in_a_rejection(self) -> None:
        self.manager.guard.is_list_stale = lambda: True
        self.manager.post(RequestSubmitted(JobRequest("job-1", "apply", 5000.0), self.client))
        async with asyncio.timeout(10):
            while not self.answers:
                await asyncio.sleep(0)
        self.assertEqual((self.answers, self.worker.permits), (["refused"], []))

    async def test_a_closed_zone_is_counted_under_the_name_that_operators_know(self) -> None:
        self.manager.zone_routing = SimpleNamespace(
            may_forward=lambda _: False, attempt_ended=lambda *_: None, filter_workers=lambda update: update
        )
        self.manager.post(RequestSubmitted(JobRequest("job-1", "apply", 5000.0), self.client))
        async with asyncio.timeout(10):
            while not self.answers:
                await asyncio.sleep(0)
        self.assertEqual(self.worker.permits, [])
        self.assertEqual(self.manager.counters["zones.moot"], SETTINGS.max_attempts)

    async def test_the_answer_of_the_request_refuses_it(self) -> None:
        permit = await self.submitted("read")
        del self.manager.pending_requests["job-1"]
        self.assertFalse(permit())
        self.assertEqual(permit.refusal, SendRefusal.REQUEST_ENDED)

    async def test_its_end_refuses_it(self) -> None:
        permit = await self.submitted("read")
        del self.manager.in_flight["job-1", 0]
        self.assertFalse(permit())
        self.assertEqual(permit.refusal, SendRefusal.ATTEMPT_ENDED)

    async def test_the_end_of_its_time_refuses_it(self) -> None:
        permit = await self.submitted("read", budget=30.0)
        self.manager.clock.offset_s += 0.03
        self.assertFalse(permit())
        self.assertEqual(permit.refusal, SendRefusal.DEADLINE_PASSED)

    async def test_a_class_that_must_not_run_twice_is_not_sent_after_it_may_have_run(self) -> None:
        permit = await self.submitted("apply")
        self.manager.pending_requests["job-1"].may_have_run = True
        self.assertFalse(permit())
        self.assertEqual(permit.refusal, SendRefusal.MAY_HAVE_RUN)

    async def test_a_repeat_is_not_sent_after_its_window(self) -> None:
        await self.submitted("push")
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
