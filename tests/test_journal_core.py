"""Tests of the request manager with a journal, and of daemons killed at their system calls.

No attempt of a non-idempotent request may be forwarded before its intent is on disk, whether the disk is
slow, full or failing.
"""

from __future__ import annotations

import tempfile
import threading
import time
import unittest
from collections import Counter
from collections.abc import Callable
from unittest import mock

from conftest import settings
from simulated_disk import SimulatedDisk
from tornado.concurrent import Future
from tornado.gen import sleep
from tornado.testing import AsyncTestCase, gen_test

from measure.crashes import measure
from spanwing import interface as api
from spanwing.core.clock import Clock
from spanwing.core.messages import (
    AttemptEnded,
    ClientDisconnected,
    DeliveryAttempt,
    EndpointsChanged,
    FinalAnswer,
    JobRequest,
    LastByteSent,
    RequestSubmitted,
)
from spanwing.core.request_manager import RequestManager
from spanwing.journal.committer import DISK_BACKOFF_S
from spanwing.journal.frames import RecordFrame
from spanwing.journal.records import AttemptIntent
from spanwing.journal.request_states import RequestStates
from spanwing.journal.segment_log import RetentionLimits, SegmentLog, SegmentReader
from spanwing.journal.writer import JournalWriter
from spanwing.workers.faktory_worker import FaktoryWorker, FetchRequested, JobFinished

MAX_WAIT_S = 20.0
CLS = "bill"  # a class of non-idempotent requests


class GatedDisk(SimulatedDisk):
    """A disk whose syncs block while the gate is closed."""

    def __init__(self) -> None:
        super().__init__(1)
        self.gate = threading.Event()
        self.gate.set()

    def sync(self, name: str) -> None:
        assert self.gate.wait(MAX_WAIT_S)
        super().sync(name)


class RecordingWorker:
    """A worker connection that keeps its attempts and counts those whose intent was not on disk yet."""

    name, address, records_intent_itself = "w1", "127.0.0.1:9", False

    def __init__(self, disk: SimulatedDisk) -> None:
        self.disk, self.delivered, self.without_intent = disk, [], 0
        self.durable_intents: set[tuple[str, int]] = set()

    def deliver(self, delivery: DeliveryAttempt, listener: RequestManager) -> None:
        key = (delivery.request.id, delivery.number)
        self.delivered.append(key)
        if key not in self.durable_intents:
            self.durable_intents |= {
                (item.record.request, item.record.attempt)
                for _, item in SegmentReader(SyncedFiles(self.disk)).read_all()
                if isinstance(item, RecordFrame) and isinstance(item.record, AttemptIntent)
            }
        self.without_intent += key not in self.durable_intents
        listener.post(LastByteSent(*key))
        listener.post(AttemptEnded(*key, "ok", b"done"))

    def cancel(self, request: str, number: int, result: api.Result) -> None:
        raise AssertionError("cancel() was called, though every attempt ends in deliver()")


class SyncedFiles:
    """The files that a disk has after a power loss which loses everything that was not synced."""

    def __init__(self, disk: SimulatedDisk) -> None:
        self.files = {name: disk.contents.get(name, b"") for name in disk.synced}

    def names(self) -> list[str]:
        return sorted(self.files)

    def read(self, name: str, max_bytes: int = -1) -> bytes:
        return self.files[name] if max_bytes < 0 else self.files[name][:max_bytes]


class RecordingClient:
    """Keeps the answer to each request and the monotonic time when it came; fails on a second answer."""

    def __init__(self) -> None:
        self.answers: dict[str, tuple[FinalAnswer, float]] = {}

    def answer(self, request: JobRequest, answer: FinalAnswer) -> None:
        assert request.id not in self.answers
        self.answers[request.id] = answer, time.monotonic()


class RequestManagerJournalTest(AsyncTestCase):
    def start(self, failure_policy: str = "refuse", intent_timeout_s: float = 10.0, **changes) -> None:
        """Starts a request manager with one worker and a journal on a gated disk; changes: settings."""
        self.disk, self.client = GatedDisk(), RecordingClient()
        self.manager = RequestManager(settings(max_retry_after=2000.0, **changes), 1, Clock())
        self.worker = RecordingWorker(self.disk)
        self.manager.post(EndpointsChanged(api.WorkerList("complete", (api.Worker(1),)), {1: self.worker}))
        self.journal = JournalWriter(
            SegmentLog(self.disk, RetentionLimits()),
            failure_policy,
            "test",
            self.io_loop.add_callback,
            intent_timeout_s,
            self.io_loop.call_later,
            self.io_loop.remove_timeout,
        )
        self.manager.recorder = self.journal
        self.addCleanup(self.close_journal)

    def close_journal(self) -> None:
        self.disk.gate.set()
        self.journal.close()

    def submit(self, name: str, cls: str = CLS, budget_ms: float = 5000.0) -> None:
        self.manager.post(RequestSubmitted(JobRequest(name, cls, budget_ms, front="test"), self.client))

    async def wait_until(self, condition) -> None:
        deadline_s = time.monotonic() + MAX_WAIT_S
        while not condition():
            self.assertLess(time.monotonic(), deadline_s)
            await sleep(0.002)

    def read_states(self) -> tuple[RequestStates, dict]:
        """Reads the journal; returns the states and the settled requests by id."""
        states, settled = RequestStates(), {}
        for _, item in SegmentReader(self.disk).read_all():
            request = states.apply(item.number, item.record) if isinstance(item, RecordFrame) else None
            if request is not None:
                settled[request.id] = request
        return states, settled

    @gen_test(timeout=60)
    async def test_attempt_is_delivered_only_once_its_intent_is_on_disk(self) -> None:
        self.start()
        self.disk.gate.clear()
        self.submit("job-1")
        self.submit("look-1", "look")  # an idempotent request does not wait for the disk
        await self.wait_until(lambda: "look-1" in self.client.answers)
        await sleep(0.05)
        self.assertEqual(self.worker.delivered, [("look-1", 0)])
        self.worker.without_intent = 0
        self.disk.gate.set()
        await self.wait_until(lambda: "job-1" in self.client.answers)
        self.assertEqual((self.worker.delivered[1:], self.worker.without_intent), ([("job-1", 0)], 0))
        self.assertTrue(self.journal.close())
        states, settled = self.read_states()
        request = settled["job-1"]
        self.assertEqual(
            (request.delivery_state, request.answer, states.open_requests), ("sent", "served", {})
        )
        self.assertEqual((request.attempts[0].worker, request.attempts[0].result), ("w1", "ok"))
        self.assertNotIn("look-1", settled)

    @gen_test(timeout=60)
    async def test_concurrent_requests_share_syncs(self) -> None:
        self.start()
        for number in range(1000):
            self.submit(f"job-{number}", budget_ms=15_000.0)
        await self.wait_until(lambda: len(self.client.answers) == 1000)
        answer_kinds = Counter(answer.kind for answer, _ in self.client.answers.values())
        self.assertEqual(self.worker.without_intent, 0)
        self.assertEqual(len(self.worker.delivered), len(set(self.worker.delivered)))
        self.assertEqual(answer_kinds["served"], len(self.worker.delivered))
        self.assertEqual(set(answer_kinds) - {"refused"}, {"served"})
        self.assertTrue(self.journal.close())
        _, settled = self.read_states()
        self.assertEqual(
            {name for name, request in settled.items() if request.delivery_state == "sent"},
            {name for name, _ in self.worker.delivered},
        )
        self.assertLess(self.journal.committer.syncs, len(self.worker.delivered))

    @gen_test(timeout=60)
    async def test_slow_sync_rejects_or_serves_by_the_failure_policy(self) -> None:
        for failure_policy, kind, expected_state in (
            ("refuse", "refused", "not sent"),
            ("serve", "served", "sent"),
        ):
            self.start(failure_policy, intent_timeout_s=0.05)
            self.disk.gate.clear()
            self.submit("job-1")
            await self.wait_until(lambda: "job-1" in self.client.answers)
            self.assertEqual(self.client.answers["job-1"][0].kind, kind)
            self.submit("job-2")
            submitted_at_s = time.monotonic()
            await self.wait_until(lambda: "job-2" in self.client.answers)
            answer, answered_at_s = self.client.answers["job-2"]
            self.assertEqual((answer.kind, answer.retry_after_ms > 0), (kind, kind == "refused"))
            if failure_policy == "refuse":  # the disk is known to be slow: no request waits for it again
                self.assertNotIn("job-2", {name for name, _ in self.worker.delivered})
                self.assertLess(answered_at_s - submitted_at_s, 5.0)
                for number in range(3, 103):  # more requests arrive while the sync still blocks
                    self.submit(f"job-{number}")
                    self.submit(f"look-{number}", "look")
                    if number % 10 == 0:
                        await sleep(0.05)
                await self.wait_until(lambda: len(self.client.answers) == 202)
                answer_kinds = Counter(
                    (name.split("-")[0], answer.kind) for name, (answer, _) in self.client.answers.items()
                )
                self.assertEqual((answer_kinds["job", "refused"], answer_kinds["look", "served"]), (102, 100))
                self.assertTrue(all(name.startswith("look") for name, _ in self.worker.delivered))
            self.disk.gate.set()
            self.assertTrue(self.journal.close())
            states, settled = self.read_states()
            request = settled.get("job-1") or states.open_requests["job-1"]
            self.assertEqual(request.delivery_state, expected_state)

    @gen_test(timeout=60)
    async def test_long_names_are_truncated_to_fit_a_record(self) -> None:
        self.start()
        long_name = "\N{SNOWMAN}" * 100_000
        self.manager.post(
            RequestSubmitted(
                JobRequest("job-1", CLS, 5000.0, tenant=long_name, effect_key=long_name), self.client
            )
        )
        self.submit("job-2")
        await self.wait_until(lambda: len(self.client.answers) == 2)
        self.assertEqual({answer.kind for answer, _ in self.client.answers.values()}, {"served"})
        self.assertTrue(self.journal.close())
        _, settled = self.read_states()
        self.assertEqual(len(settled["job-1"].accepted.key), 200)

    @gen_test(timeout=60)
    async def test_failing_disk_rejects_requests_and_is_retried_without_new_ones(self) -> None:
        self.start()
        self.disk.errors_by_call["sync"] = OSError(5, "Input/output error")
        self.submit("job-1")
        await self.wait_until(lambda: "job-1" in self.client.answers)
        self.submit("job-2")
        await self.wait_until(lambda: "job-2" in self.client.answers)
        self.assertEqual({answer.kind for answer, _ in self.client.answers.values()}, {"refused"})
        self.assertEqual(self.journal.unavailable_reason(), "Input/output error")
        self.assertEqual(self.worker.delivered, [])
        reason_by_class = self.manager.unavailable_classes()
        self.assertEqual(
            (sorted(reason_by_class), set(reason_by_class.values())),
            (["bill", "book"], {"journal: Input/output error"}),
        )
        self.disk.errors_by_call.clear()
        repaired_at_s = time.monotonic()
        await self.wait_until(lambda: not self.journal.unavailable_reason())
        self.assertLess(time.monotonic() - repaired_at_s, 10 * DISK_BACKOFF_S)
        self.submit("job-3")
        await self.wait_until(lambda: "job-3" in self.client.answers)
        self.assertEqual((self.client.answers["job-3"][0].kind, self.worker.without_intent), ("served", 0))

    @gen_test(timeout=60)
    async def test_request_served_without_an_intent_is_never_not_sent_after_a_crash(self) -> None:
        self.start("serve")
        self.submit("job-0")
        await self.wait_until(lambda: "job-0" in self.client.answers)
        self.disk.gate.clear()
        self.submit("job-1")  # its acceptance and its intent are in one write, which fails
        self.disk.errors_by_call["append"] = OSError(28, "No space left on device")
        self.disk.gate.set()
        await self.wait_until(lambda: "job-1" in self.client.answers)
        self.assertIn(("job-1", 0), self.worker.delivered)
        self.disk.errors_by_call.clear()
        log = SegmentLog(self.disk)  # opens the folder as it would be after a crash now
        restarted_journal = JournalWriter(log, "refuse", "again", lambda *_: None)
        restarted_journal.close()
        states, settled = self.read_states()
        request = settled.get("job-1")
        self.assertTrue(request is None or request.delivery_state != "not sent", request)

    @gen_test(timeout=60)
    async def test_client_that_disconnects_before_the_intent_is_durable_causes_no_delivery(self) -> None:
        await self.disconnect_before_intent(cancel=True)

    @gen_test(timeout=60)
    async def test_client_that_disconnects_causes_no_delivery_if_cancel_is_off(self) -> None:
        await self.disconnect_before_intent(cancel=False)

    async def disconnect_before_intent(self, cancel: bool) -> None:
        self.start(cancel=cancel)
        self.disk.gate.clear()
        self.submit("job-1")
        await self.wait_until(lambda: self.manager.in_flight)
        self.manager.post(ClientDisconnected("job-1", self.client))
        await self.wait_until(lambda: not self.manager.in_flight)
        self.disk.gate.set()
        self.assertTrue(self.journal.close())
        _, settled = self.read_states()
        self.assertEqual((self.worker.delivered, settled["job-1"].delivery_state), ([], "not sent"))
        self.assertEqual(settled["job-1"].answer, "left")

    @gen_test(timeout=60)
    async def test_intent_of_an_earlier_request_of_the_same_id_permits_nothing(self) -> None:
        """Guards against an attempt that is sent before its own intent is on disk."""
        self.start()
        intents: list[Callable[[bool], None]] = []
        recorder = mock.Mock(spec=JournalWriter)
        recorder.unavailable_reason.return_value = recorder.find_interrupted.return_value = ""
        recorder.record_intent.side_effect = lambda *arguments: intents.append(arguments[-1])
        self.manager.recorder = recorder
        self.submit("job-1", "book")
        await self.wait_until(lambda: len(intents) == 1)
        self.manager.post(ClientDisconnected("job-1", self.client))
        await self.wait_until(self.manager.is_idle)
        self.submit("job-1", "book")
        await self.wait_until(lambda: len(intents) == 2)
        intents[0](True)
        await sleep(0.01)
        self.assertEqual(self.worker.delivered, [])
        intents[1](True)
        await self.wait_until(lambda: self.worker.delivered == [("job-1", 0)])

    @gen_test(timeout=60)
    async def test_request_interrupted_by_a_crash_is_answered_as_repeated(self) -> None:
        self.start()
        worker = self.worker
        worker.deliver = lambda delivery, listener: worker.delivered.append(
            (delivery.request.id, delivery.number)
        )
        self.submit("job-1")
        await self.wait_until(lambda: worker.delivered)
        self.journal.committer.stop()
        restarted_journal = JournalWriter(SegmentLog(self.disk), "refuse", "again", self.io_loop.add_callback)
        self.assertEqual(
            [(request.id, attempt.worker) for request, attempt in restarted_journal.unfinished_attempts],
            [("job-1", "w1")],
        )
        manager = RequestManager(settings(), 1, Clock())
        manager.recorder = restarted_journal
        manager.post(EndpointsChanged(api.WorkerList("complete", (api.Worker(1),)), {1: worker}))
        client = RecordingClient()
        manager.post(RequestSubmitted(JobRequest("job-1", CLS, 5000.0), client))
        await self.wait_until(lambda: client.answers)
        answer = client.answers["job-1"][0]
        self.assertEqual((answer.kind, len(worker.delivered)), ("repeated", 1))
        self.assertRegex(answer.body.decode(), r"^possibly sent to w1 at .*not known$")
        restarted_journal.close()


class FaktoryWorkerIntentTest(AsyncTestCase):
    """A job is sent only after a FETCH has come and then its intent is on disk."""

    def setUp(self) -> None:
        super().setUp()
        # The ended attempts and the callbacks of record_intent, by request.
        self.worker, self.ended, self.intent_callbacks = FaktoryWorker("w1", "127.0.0.1"), {}, {}

    def post(self, message: object) -> None:
        if isinstance(message, AttemptEnded):
            self.ended[message.request] = message

    def deliver(self, name: str) -> None:
        self.worker.deliver(
            DeliveryAttempt(
                JobRequest(name, CLS, 5000.0),
                0,
                5000.0,
                is_recorded=True,
                record_intent=lambda on_recorded: self.intent_callbacks.setdefault(name, on_recorded),
            ),
            self,
        )

    def fetch(self) -> Future:
        reply: Future = Future()
        self.worker.post(FetchRequested((CLS,), reply))
        return reply

    @gen_test(timeout=60)
    async def test_intent_is_recorded_once_a_fetch_has_come(self) -> None:
        self.deliver("job-1")
        await sleep(0)
        self.assertEqual(self.intent_callbacks, {})
        reply = self.fetch()
        await sleep(0.01)
        self.assertFalse(reply.done())
        self.intent_callbacks["job-1"](True)
        data, on_written = await reply
        self.assertIn(b"job-1", data)
        on_written(True)
        self.worker.post(JobFinished("job-1", "ok"))
        await sleep(0.01)
        self.assertEqual((self.ended["job-1"].result, self.ended["job-1"].is_unsent), ("ok", False))

    @gen_test(timeout=60)
    async def test_fetch_of_a_cancelled_or_rejected_job_goes_to_the_next(self) -> None:
        reply = self.fetch()
        for name, end_attempt in (
            ("job-1", lambda: self.worker.cancel("job-1", 0, "timeout")),
            ("job-2", lambda: self.intent_callbacks["job-2"](False)),
        ):
            self.deliver(name)
            await sleep(0.01)
            end_attempt()
            await sleep(0.01)
            self.assertTrue(self.ended[name].is_unsent)
            self.assertFalse(reply.done())
        self.intent_callbacks["job-1"](True)  # too late: the attempt was cancelled
        self.deliver("job-3")
        await sleep(0.01)
        self.intent_callbacks["job-3"](True)
        self.assertIn(b"job-3", (await reply)[0])

    @gen_test(timeout=60)
    async def test_job_whose_fetch_ends_goes_to_the_next_fetch(self) -> None:
        ended_fetch = self.fetch()
        self.deliver("job-1")
        await sleep(0.01)
        ended_fetch.set_result(None)
        self.intent_callbacks.pop("job-1")(True)
        await sleep(0.01)
        self.assertEqual(self.ended, {})
        self.assertIn(b"job-1", (await self.fetch())[0])
        self.assertEqual(self.intent_callbacks, {})  # the intent is on disk and not recorded again


class KilledDaemonTest(unittest.TestCase):
    """Kills daemons at some of their system calls; measure/crashes.py kills them at all."""

    def test_request_that_a_worker_has_seen_is_never_not_sent(self) -> None:
        results = measure(rounds=1, step=5, lanes=4, seed=1)
        self.assertEqual(sum(result.kills > 3 for result in results.values()), 6)
        for name, result in results.items():
            with self.subTest(name):
                self.assertEqual(
                    (result.wrongly_unsent, result.resent, result.unreported, result.accepted), ([], 0, 0, 0)
                )

    def test_daemon_does_not_start_on_a_folder_in_use(self) -> None:
        from measure.daemons import Daemon

        with tempfile.TemporaryDirectory() as folder:
            table = f'[journal]\ndirectory = "{folder}/journal"\n'
            first_daemon = Daemon("a", [], (), table, admin=False)
            self.addCleanup(first_daemon.close)
            with self.assertRaisesRegex(RuntimeError, "journal.directory: .*in use by another process\n$"):
                Daemon("b", [], (), table, admin=False)


if __name__ == "__main__":
    unittest.main()
