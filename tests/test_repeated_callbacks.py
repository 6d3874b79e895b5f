"""Reports of workers that come twice, late or out of order, as the answer to a call was lost.

A report names its request but no attempt. They guard against a report on an earlier attempt that ends the one
that runs, so that a request is refused, or sent once more, while its job runs.
"""

from __future__ import annotations

import asyncio
import json
import select
import unittest
from types import SimpleNamespace
from unittest import mock

from conftest import SAFE, UNSAFE, Driver, sends, settings
from player import WAIT_TIMEOUT_S, member
from standins import read_http
from test_termination_races import (
    ATTEMPT_TIMEOUT_MS,
    ConnectionStandIn,
    DaemonTestCase,
    HttpWorkerTestCase,
    ListenerStandIn,
)
from tornado.concurrent import Future

from spanwing import interface as api
from spanwing.core.messages import AttemptEnded, DeliveryAttempt, JobRequest
from spanwing.hot_restart.hot_restart import HotRestart
from spanwing.workers import faktory_worker, reported_requests
from spanwing.workers.faktory_worker import FaktoryWorker, FetchRequested, JobFinished
from spanwing.workers.http_worker import WorkerCallback
from spanwing.workers.reported_requests import ReportedRequests


class HandedBackTests(DaemonTestCase):
    def report(self, worker: str, job: str, state: str, result: str = "") -> None:
        """Makes a worker's call, which the daemon has to answer."""
        event = json.dumps({"id": job, "from": worker, "state": state, "result": result}).encode()
        with self.daemon.connect("clients") as callback:
            callback.sendall(
                b"POST /v1/job-events HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s" % (len(event), event)
            )
            self.assertIn("204", read_http(callback.makefile("rb"))[0])

    def accept_job(self, listener: ListenerStandIn) -> str:
        """Answers 202 to the next job that comes to a worker; returns the job's id."""
        connection = listener.accept()
        job = connection.read_message()[1]["x-call-id"]
        connection.respond(202)
        return job

    def order_of_arrival(self, listeners: dict[str, ListenerStandIn]) -> list[str]:
        """Waits for a connection; returns the names, that of the worker with the connection first."""
        by_socket = {each.listener: name for name, each in listeners.items()}
        connected = select.select(list(by_socket), [], [], WAIT_TIMEOUT_S)[0]
        return sorted(listeners, key=lambda name: listeners[name].listener not in connected)

    def submit(self, job: str, cls: str = "schedule-apply") -> ConnectionStandIn:
        client = self.connect_client()
        client.submit(cls, job, budget_ms=4000)
        return client

    def test_worker_that_hands_a_job_back_does_not_get_it_again(self) -> None:
        """Guards against an unsafe job that is refused while it runs, as its hand-back is told twice."""
        listener = ListenerStandIn(self)
        self.start(member("w1", listener.port))
        client = self.submit("job-1")
        self.assertEqual(self.accept_job(listener), "job-1")
        self.report("w1", "job-1", "returned")
        # No other worker can take it, so it is refused at once and not at its deadline.
        self.assertIn("503", client.read_message()[0])
        self.report("w1", "job-1", "returned")
        retry = self.submit("job-2")
        self.assertEqual(self.accept_job(listener), "job-2")  # and job-1 did not come
        self.report("w1", "job-2", "done", "served")
        self.assertEqual(retry.read_message()[2], b"served")

    def test_repeated_hand_back_does_not_end_the_attempt_at_another_worker(self) -> None:
        listeners = {name: ListenerStandIn(self) for name in ("w1", "w2")}
        self.start(*(member(name, each.port) for name, each in listeners.items()))
        client = self.submit("job-1")
        first, second = self.order_of_arrival(listeners)
        self.accept_job(listeners[first])
        self.report(first, "job-1", "returned")
        self.accept_job(listeners[second])
        for state in ("returned", "started", "lost", "failed"):
            self.report(first, "job-1", state)
        self.report(second, "job-1", "done", "served")
        self.assertEqual(client.read_message()[2], b"served")

    def test_request_submitted_again_under_its_id_does_not_go_to_the_worker_that_handed_it_back(self) -> None:
        """Guards against the same fault where a refused client comes again under the same id."""
        listener = ListenerStandIn(self)
        self.start(member("w1", listener.port))
        client = self.submit("job-1")
        self.accept_job(listener)
        self.report("w1", "job-1", "returned")
        self.assertIn("503", client.read_message()[0])
        self.assertIn("503", self.submit("job-1").read_message()[0])
        self.submit("job-2")
        self.assertEqual(self.accept_job(listener), "job-2")


class EarlierReportTests(HttpWorkerTestCase):
    """Reports that cannot be on the attempt in flight are ignored."""

    async def deliver_and_accept(self) -> ConnectionStandIn:
        await self.deliver(is_idempotent=False)  # on a new connection
        connection = await asyncio.to_thread(self.listener.accept)
        await asyncio.to_thread(connection.read_message)
        connection.respond(202)
        while not self.http_worker.attempts["job-1"].is_accepted:
            await asyncio.sleep(0.001)
        return connection

    async def report(self, state: str) -> None:
        self.http_worker.post(WorkerCallback("job-1", state, b"", None))
        await asyncio.sleep(0.01)

    async def test_report_that_comes_before_the_last_byte_is_sent(self) -> None:
        with mock.patch.object(self.pool, "acquire", lambda *_: asyncio.sleep(3600)):
            await self.deliver(is_idempotent=False)
            for state in ("started", "returned", "lost", "failed", "done"):
                await self.report(state)
            self.assertTrue(self.results.empty())
            self.assertIn("job-1", self.http_worker.attempts)

    async def test_hand_back_of_a_job_that_has_started(self) -> None:
        await self.deliver_and_accept()
        await self.report("started")
        await self.report("returned")
        self.assertTrue(self.results.empty())
        await self.report("done")
        self.assertEqual(await self.results.get(), ("ok", False))

    async def deliver_again(self) -> AttemptEnded:
        """Delivers the same id for another request; returns how this attempt ended."""
        ended: asyncio.Queue[AttemptEnded] = asyncio.Queue()
        delivery = DeliveryAttempt(JobRequest("job-1", "look", 9e3), 1, ATTEMPT_TIMEOUT_MS)
        self.http_worker.deliver(delivery, SimpleNamespace(post=ended.put_nowait))
        return await asyncio.wait_for(ended.get(), WAIT_TIMEOUT_S)

    async def test_attempt_of_an_id_that_the_worker_has_reported_as_ended_is_not_sent(self) -> None:
        for state in ("returned", "lost", "failed"):
            with self.subTest(state):
                self.http_worker.reported_requests.ended_at_s.clear()
                await self.deliver_and_accept()
                await self.report(state)
                await self.results.get()
                message = await self.deliver_again()
                self.assertEqual(message.result, "moot")
                self.assertTrue(message.is_unsent and message.excludes_worker)

    async def test_attempt_of_an_id_that_was_given_up_at_the_worker_is_not_sent(self) -> None:
        """The report on the attempt that was given up may still be on its way, and so may its DELETE."""
        connection = await self.deliver_and_accept()
        self.http_worker.cancel("job-1", 0, "timeout")
        await asyncio.to_thread(connection.read_message)
        connection.respond(200)
        self.assertEqual(await self.results.get(), ("timeout", False))
        message = await self.deliver_again()
        self.assertEqual(message.result, "moot")
        self.assertTrue(message.is_unsent and message.excludes_worker)

    async def test_worker_that_has_rejected_a_request_in_its_response_gets_it_again(self) -> None:
        """Such a worker has not taken the job, so no report on it can come."""
        await self.deliver(is_idempotent=False)
        connection = await asyncio.to_thread(self.listener.accept)
        await asyncio.to_thread(connection.read_message)
        connection.respond(503, X_Rejected="1")
        self.assertEqual(await self.results.get(), ("full", False))
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            await self.deliver(is_idempotent=True)
        await asyncio.to_thread(connection.read_message)
        connection.respond(200, b"served")
        self.assertEqual(await self.results.get(), ("ok", False))


class FaktoryWorkerTests(unittest.IsolatedAsyncioTestCase):
    """A message about an ended attempt does not concern another one of the same id and number."""

    async def asyncSetUp(self) -> None:
        self.results: asyncio.Queue[AttemptEnded] = asyncio.Queue()
        self.worker = FaktoryWorker("w1", "here")

    def post(self, message: object) -> None:
        """Receives the messages of the worker actor, as its AttemptListener."""
        if isinstance(message, AttemptEnded):
            self.results.put_nowait(message)

    def deliver(self, **more) -> None:
        self.worker.deliver(
            DeliveryAttempt(JobRequest("job-1", "look", 9e3), 0, ATTEMPT_TIMEOUT_MS, **more), self
        )

    async def fetch(self):
        reply = Future()
        self.worker.post(FetchRequested(("look",), reply))
        return await asyncio.wait_for(reply, WAIT_TIMEOUT_S)

    async def give_up(self) -> None:
        self.worker.cancel("job-1", 0, "timeout")
        await asyncio.wait_for(self.results.get(), WAIT_TIMEOUT_S)

    async def test_write_that_fails_after_its_attempt_was_given_up(self) -> None:
        """Guards against an attempt that runs and ends as unsent, so that its job goes elsewhere too."""
        self.deliver()
        _, on_written = await self.fetch()
        await self.give_up()
        on_written(False)  # the FETCH's connection breaks with bytes of the job unsent
        self.deliver()
        await self.fetch()
        on_written(False)
        await asyncio.sleep(0.01)
        self.assertTrue(self.results.empty())
        self.assertIn("job-1", self.worker.attempts)

    async def test_job_that_was_given_up_while_the_worker_runs_it(self) -> None:
        """Guards against a FAIL of the former attempt that ends the one that runs."""
        self.deliver()
        _, on_written = await self.fetch()
        on_written(True)
        await self.give_up()
        self.deliver()
        ended = await asyncio.wait_for(self.results.get(), WAIT_TIMEOUT_S)
        self.assertEqual((ended.result, ended.excludes_worker), ("moot", True))
        self.worker.post(JobFinished("job-1", "error"))
        self.deliver()
        self.assertIn(b"job-1", (await self.fetch())[0])
        self.assertTrue(self.results.empty())

    async def test_given_up_jobs_that_are_remembered_are_bounded(self) -> None:
        for number in range(faktory_worker.MAX_UNFINISHED_JOBS + 1):
            self.worker._note_unfinished(f"job-{number}")
        self.assertEqual(len(self.worker.unfinished_jobs), faktory_worker.MAX_UNFINISHED_JOBS)
        self.assertNotIn("job-0", self.worker.unfinished_jobs)

    async def test_intent_recorded_after_its_attempt_was_given_up(self) -> None:
        """Guards against a job that is handed out before its own intent is on disk."""
        recorded = []
        self.deliver(record_intent=recorded.append)
        fetch = asyncio.create_task(self.fetch())
        while not recorded:
            await asyncio.sleep(0)
        await self.give_up()
        self.deliver(record_intent=recorded.append)
        while len(recorded) < 2:
            await asyncio.sleep(0)
        recorded[0](True)
        await asyncio.sleep(0.01)
        self.assertFalse(fetch.done())
        recorded[1](True)
        self.assertIn(b"job-1", (await fetch)[0])


class ExcludedWorkerTests(unittest.TestCase):
    def hand_back(self, driver: Driver, request: str, number: int, worker: int) -> list[api.Action]:
        return driver.feed(api.Outcome(request, number, worker, "full", False, 50.0, excludes_worker=True))

    def test_excluded_worker_gets_no_attempt_after_it_left_and_came_back(self) -> None:
        for service_class in (SAFE, UNSAFE):
            with self.subTest(service_class.name):
                driver = Driver(settings(), workers=2)
                request, actions = driver.submit(service_class.name)
                first = sends(actions)[0].worker
                other = 3 - first
                retried = sends(self.hand_back(driver, request, 0, first))
                self.assertEqual([each.worker for each in retried], [other])
                driver.feed(api.WorkerList("partial", (api.Worker(first, "gone"),)))
                driver.feed(api.WorkerList("partial", (api.Worker(first),)))
                # The other worker is full: the job waits for it, and the excluded one stays excluded.
                actions = driver.feed(api.Outcome(request, 1, other, "full", False, 50.0))
                actions += driver.run(400.0)
                self.assertNotIn(first, [each.worker for each in sends(actions)])

    def test_request_without_a_worker_left_is_rejected_at_once(self) -> None:
        driver = Driver(settings(), workers=2)
        request, actions = driver.submit(UNSAFE.name)
        first = sends(actions)[0].worker
        self.assertNotIn(api.Reject(request), self.hand_back(driver, request, 0, first))
        self.assertIn(api.Reject(request), self.hand_back(driver, request, 1, 3 - first))


class ReportedRequestsTests(unittest.TestCase):
    def test_report_is_remembered_for_its_window_and_within_the_bound(self) -> None:
        now_s = 100.0
        reported = ReportedRequests(lambda: now_s)
        reported.add("w1", "job-1")
        self.assertTrue(reported.may_be_reported("w1", "job-1"))
        self.assertFalse(reported.may_be_reported("w2", "job-1"))
        now_s += reported_requests.REPEAT_WINDOW_S + 0.1
        self.assertFalse(reported.may_be_reported("w1", "job-1"))
        for number in range(reported_requests.MAX_REPORTED_REQUESTS + 1):
            reported.add("w1", f"job-{number}")
        self.assertFalse(reported.may_be_reported("w1", "job-0"))
        self.assertTrue(reported.may_be_reported("w1", "job-1"))


class HotRestartTests(unittest.TestCase):
    def test_request_that_a_worker_must_not_get_again_is_not_transferred(self) -> None:
        """Its message to the other process cannot name such a worker."""
        request, client = JobRequest("job-1", "look", 9e3), object()
        attempt = SimpleNamespace(
            worker=SimpleNamespace(entry=api.Worker(1)),
            forwarded_ms=1.0,
            is_open=False,
            started_ms=0.0,
            last_progress_ms=0.0,
            never_ran=True,
            excludes_worker=False,
        )
        job = SimpleNamespace(attempts=[attempt], arrived_ms=0.0, is_late=False, is_over_quota=False)
        core = SimpleNamespace(
            pending_requests={"job-1": SimpleNamespace(client=client, deadline_ms=9e3, attempt_count=1)},
            scheduler=SimpleNamespace(jobs={"job-1": job}),
            recorder=None,
            in_flight_attempts=lambda _: [],
        )
        predecessor = SimpleNamespace(context=SimpleNamespace(core=core))
        self.assertIsNotNone(HotRestart._build_transferred_request(predecessor, client, request, True))
        attempt.excludes_worker = True
        self.assertIsNone(HotRestart._build_transferred_request(predecessor, client, request, True))
