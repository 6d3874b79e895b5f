"""The core with a journal: nothing is handed to a next hop before its intent is on disk, whatever the disk
does; and daemons killed at their system calls."""

from __future__ import annotations

import tempfile
import threading
import time
import unittest
from collections import Counter

from conftest import settings
from simdisk import SimDisk
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

PATIENCE_S = 20.0
CLS = "bill"  # unsafe


class GatedDisk(SimDisk):
    """A disk whose syncs end only while the gate is open."""

    def __init__(self) -> None:
        super().__init__(1)
        self.gate = threading.Event()
        self.gate.set()

    def sync(self, name: str) -> None:
        assert self.gate.wait(PATIENCE_S)
        super().sync(name)


class Hop:
    """A next hop that keeps what it is handed, with whether the journal had the intent by then."""

    name, address, records_intent_itself = "w1", "127.0.0.1:9", False

    def __init__(self, disk: SimDisk) -> None:
        self.disk, self.got, self.early = disk, [], 0
        self.intents: set[tuple[str, int]] = set()

    def deliver(self, delivery: DeliveryAttempt, listener: RequestManager) -> None:
        key = (delivery.request.id, delivery.number)
        self.got.append(key)
        if key not in self.intents:
            self.intents |= {
                (each.record.request, each.record.attempt)
                for _, each in SegmentReader(Synced(self.disk)).read_all()
                if isinstance(each, RecordFrame) and isinstance(each.record, AttemptIntent)
            }
        self.early += key not in self.intents
        listener.post(LastByteSent(*key))
        listener.post(AttemptEnded(*key, "ok", b"done"))

    def cancel(self, request: str, number: int, result: api.Result) -> None:
        raise AssertionError("it was never handed anything that lasts")


class Synced:
    """What a disk would show after a power loss that takes all that was not synced."""

    def __init__(self, disk: SimDisk) -> None:
        self.files = {name: disk.contents.get(name, b"") for name in disk.synced}

    def names(self) -> list[str]:
        return sorted(self.files)

    def read(self, name: str, max_bytes: int = -1) -> bytes:
        return self.files[name] if max_bytes < 0 else self.files[name][:max_bytes]


class Sender:
    """Keeps answers and when they came."""

    def __init__(self) -> None:
        self.answers: dict[str, tuple[FinalAnswer, float]] = {}

    def answer(self, request: JobRequest, answer: FinalAnswer) -> None:
        assert request.id not in self.answers
        self.answers[request.id] = answer, time.monotonic()


class CoreWithJournal(AsyncTestCase):
    def begin(self, policy: str = "refuse", wait_s: float = 10.0, **changes) -> None:
        self.disk, self.sender = GatedDisk(), Sender()
        self.core = RequestManager(settings(max_retry_after=2000.0, **changes), 1, Clock())
        self.hop = Hop(self.disk)
        self.core.post(EndpointsChanged(api.WorkerList("complete", (api.Worker(1),)), {1: self.hop}))
        self.keeper = JournalWriter(
            SegmentLog(self.disk, RetentionLimits()),
            policy,
            "test",
            self.io_loop.add_callback,
            wait_s,
            self.io_loop.call_later,
            self.io_loop.remove_timeout,
        )
        self.core.recorder = self.keeper
        self.addCleanup(self.end)

    def end(self) -> None:
        self.disk.gate.set()
        self.keeper.close()

    def ask(self, name: str, cls: str = CLS, budget: float = 5000.0) -> None:
        self.core.post(RequestSubmitted(JobRequest(name, cls, budget, front="test"), self.sender))

    async def until(self, holds) -> None:
        end = time.monotonic() + PATIENCE_S
        while not holds():
            self.assertLess(time.monotonic(), end)
            await sleep(0.002)

    def ledger(self) -> tuple[RequestStates, dict]:
        """What a reader finds, open and settled."""
        ledger, settled = RequestStates(), {}
        for _, each in SegmentReader(self.disk).read_all():
            request = ledger.apply(each.number, each.record) if isinstance(each, RecordFrame) else None
            if request is not None:
                settled[request.id] = request
        return ledger, settled

    @gen_test(timeout=60)
    async def test_nothing_is_handed_over_before_its_intent_is_on_disk(self) -> None:
        self.begin()
        self.disk.gate.clear()
        self.ask("job-1")
        self.ask("look-1", "look")  # what may run twice waits for no disk
        await self.until(lambda: "look-1" in self.sender.answers)
        await sleep(0.05)
        self.assertEqual(self.hop.got, [("look-1", 0)])
        self.hop.early = 0
        self.disk.gate.set()
        await self.until(lambda: "job-1" in self.sender.answers)
        self.assertEqual((self.hop.got[1:], self.hop.early), ([("job-1", 0)], 0))
        self.assertTrue(self.keeper.close())
        ledger, settled = self.ledger()
        found = settled["job-1"]
        self.assertEqual((found.delivery_state, found.answer, ledger.open_requests), ("sent", "served", {}))
        self.assertEqual((found.attempts[0].worker, found.attempts[0].result), ("w1", "ok"))
        self.assertNotIn("look-1", settled)

    @gen_test(timeout=60)
    async def test_a_thousand_at_once(self) -> None:
        self.begin()
        for number in range(1000):
            self.ask(f"job-{number}", budget=15_000.0)
        await self.until(lambda: len(self.sender.answers) == 1000)
        kinds = Counter(answer.kind for answer, _ in self.sender.answers.values())
        self.assertEqual(self.hop.early, 0)
        self.assertEqual(len(self.hop.got), len(set(self.hop.got)))
        self.assertEqual(kinds["served"], len(self.hop.got))
        self.assertEqual(set(kinds) - {"refused"}, {"served"})
        self.assertTrue(self.keeper.close())
        _, settled = self.ledger()
        self.assertEqual(
            {name for name, each in settled.items() if each.delivery_state == "sent"},
            {name for name, _ in self.hop.got},
        )
        self.assertLess(self.keeper.committer.syncs, len(self.hop.got))

    @gen_test(timeout=60)
    async def test_a_sync_that_lasts_refuses_at_once_or_serves_with_doubt(self) -> None:
        for policy, kind, finding in (("refuse", "refused", "not sent"), ("serve", "served", "sent")):
            self.begin(policy, wait_s=0.05)
            self.disk.gate.clear()
            self.ask("job-1")
            await self.until(lambda: "job-1" in self.sender.answers)
            self.assertEqual(self.sender.answers["job-1"][0].kind, kind)
            self.ask("job-2")
            begun = time.monotonic()
            await self.until(lambda: "job-2" in self.sender.answers)
            answer, at = self.sender.answers["job-2"]
            self.assertEqual((answer.kind, answer.retry_after_ms > 0), (kind, kind == "refused"))
            if policy == "refuse":  # the disk is known to be slow: nothing waits for it again
                self.assertNotIn("job-2", {name for name, _ in self.hop.got})
                self.assertLess(at - begun, 5.0)
                for number in range(3, 103):  # clients keep coming for as long as it lasts
                    self.ask(f"job-{number}")
                    self.ask(f"look-{number}", "look")
                    if number % 10 == 0:
                        await sleep(0.05)
                await self.until(lambda: len(self.sender.answers) == 202)
                kinds = Counter(
                    (name.split("-")[0], each.kind) for name, (each, _) in self.sender.answers.items()
                )
                self.assertEqual((kinds["job", "refused"], kinds["look", "served"]), (102, 100))
                self.assertTrue(all(name.startswith("look") for name, _ in self.hop.got))
            self.disk.gate.set()
            self.assertTrue(self.keeper.close())
            ledger, settled = self.ledger()
            found = settled.get("job-1") or ledger.open_requests["job-1"]
            self.assertEqual(found.delivery_state, finding)

    @gen_test(timeout=60)
    async def test_a_name_of_any_length_fits_a_record(self) -> None:
        self.begin()
        long = "\N{SNOWMAN}" * 100_000
        self.core.post(
            RequestSubmitted(JobRequest("job-1", CLS, 5000.0, tenant=long, effect_key=long), self.sender)
        )
        self.ask("job-2")
        await self.until(lambda: len(self.sender.answers) == 2)
        self.assertEqual({answer.kind for answer, _ in self.sender.answers.values()}, {"served"})
        self.assertTrue(self.keeper.close())
        _, settled = self.ledger()
        self.assertEqual(len(settled["job-1"].accepted.key), 200)

    @gen_test(timeout=60)
    async def test_a_failing_disk_refuses_and_is_tried_again_by_itself(self) -> None:
        self.begin()
        self.disk.fail["sync"] = OSError(5, "Input/output error")
        self.ask("job-1")
        await self.until(lambda: "job-1" in self.sender.answers)
        self.ask("job-2")
        await self.until(lambda: "job-2" in self.sender.answers)
        self.assertEqual({answer.kind for answer, _ in self.sender.answers.values()}, {"refused"})
        self.assertEqual(self.keeper.unavailable_reason(), "Input/output error")
        self.assertEqual(self.hop.got, [])
        turned = self.core.unavailable_classes()
        self.assertEqual(
            (sorted(turned), set(turned.values())), (["bill", "book"], {"journal: Input/output error"})
        )
        self.disk.fail.clear()
        begun = time.monotonic()
        await self.until(lambda: not self.keeper.unavailable_reason())
        self.assertLess(time.monotonic() - begun, 10 * DISK_BACKOFF_S)
        self.ask("job-3")
        await self.until(lambda: "job-3" in self.sender.answers)
        self.assertEqual((self.sender.answers["job-3"][0].kind, self.hop.early), ("served", 0))

    @gen_test(timeout=60)
    async def test_who_serves_without_a_disk_leaves_doubt_and_not_a_wrong_word(self) -> None:
        self.begin("serve")
        self.ask("job-0")
        await self.until(lambda: "job-0" in self.sender.answers)
        self.disk.gate.clear()
        self.ask("job-1")  # taken, and written together with its intent, which fails
        self.disk.fail["append"] = OSError(28, "No space left on device")
        self.disk.gate.set()
        await self.until(lambda: "job-1" in self.sender.answers)
        self.assertIn(("job-1", 0), self.hop.got)
        self.disk.fail.clear()
        log = SegmentLog(self.disk)  # as after a crash at this very moment
        kept = JournalWriter(log, "refuse", "again", lambda *_: None)
        kept.close()
        ledger, settled = self.ledger()
        found = settled.get("job-1")
        self.assertTrue(found is None or found.delivery_state != "not sent", found)

    @gen_test(timeout=60)
    async def test_a_client_that_leaves_while_the_disk_is_awaited_causes_no_send(self) -> None:
        await self.leave(cancel=True)

    @gen_test(timeout=60)
    async def test_nor_where_nothing_may_be_called_off(self) -> None:
        await self.leave(cancel=False)

    async def leave(self, cancel: bool) -> None:
        self.begin(cancel=cancel)
        self.disk.gate.clear()
        self.ask("job-1")
        await self.until(lambda: self.core.in_flight)
        self.core.post(ClientDisconnected("job-1", self.sender))
        await self.until(lambda: not self.core.in_flight)
        self.disk.gate.set()
        self.assertTrue(self.keeper.close())
        _, settled = self.ledger()
        self.assertEqual((self.hop.got, settled["job-1"].delivery_state), ([], "not sent"))
        self.assertEqual(settled["job-1"].answer, "left")

    @gen_test(timeout=60)
    async def test_what_a_crash_left_is_told_and_never_runs_again(self) -> None:
        self.begin()
        hop = self.hop
        hop.deliver = lambda delivery, listener: hop.got.append((delivery.request.id, delivery.number))
        self.ask("job-1")
        await self.until(lambda: hop.got)
        self.keeper.committer.stop()
        again = JournalWriter(SegmentLog(self.disk), "refuse", "again", self.io_loop.add_callback)
        self.assertEqual(
            [(request.id, attempt.worker) for request, attempt in again.unfinished_attempts],
            [("job-1", "w1")],
        )
        core = RequestManager(settings(), 1, Clock())
        core.recorder = again
        core.post(EndpointsChanged(api.WorkerList("complete", (api.Worker(1),)), {1: hop}))
        sender = Sender()
        core.post(RequestSubmitted(JobRequest("job-1", CLS, 5000.0), sender))
        await self.until(lambda: sender.answers)
        answer = sender.answers["job-1"][0]
        self.assertEqual((answer.kind, len(hop.got)), ("repeated", 1))
        self.assertRegex(answer.body.decode(), r"^possibly sent to w1 at .*not known$")
        again.close()


class FaktoryHop(AsyncTestCase):
    """A job waits for its FETCH first and for the disk then: nothing leaves before both are there."""

    def setUp(self) -> None:
        super().setUp()
        self.hop, self.ended, self.asked = FaktoryWorker("w1", "127.0.0.1"), {}, {}

    def post(self, message: object) -> None:
        if isinstance(message, AttemptEnded):
            self.ended[message.request] = message

    def deliver(self, name: str) -> None:
        self.hop.deliver(
            DeliveryAttempt(
                JobRequest(name, CLS, 5000.0),
                0,
                5000.0,
                is_recorded=True,
                record_intent=lambda then: self.asked.setdefault(name, then),
            ),
            self,
        )

    def fetch(self) -> Future:
        reply: Future = Future()
        self.hop.post(FetchRequested((CLS,), reply))
        return reply

    @gen_test(timeout=60)
    async def test_the_intent_is_asked_for_once_a_fetch_is_there(self) -> None:
        self.deliver("job-1")
        await sleep(0)
        self.assertEqual(self.asked, {})
        reply = self.fetch()
        await sleep(0.01)
        self.assertFalse(reply.done())
        self.asked["job-1"](True)
        data, written = await reply
        self.assertIn(b"job-1", data)
        written(True)
        self.hop.post(JobFinished("job-1", "ok"))
        await sleep(0.01)
        self.assertEqual((self.ended["job-1"].result, self.ended["job-1"].is_unsent), ("ok", False))

    @gen_test(timeout=60)
    async def test_a_job_given_up_or_refused_meanwhile_leaves_its_fetch_to_the_next(self) -> None:
        reply = self.fetch()
        for name, end in (
            ("job-1", lambda: self.hop.cancel("job-1", 0, "timeout")),
            ("job-2", lambda: self.asked["job-2"](False)),
        ):
            self.deliver(name)
            await sleep(0.01)
            end()
            await sleep(0.01)
            self.assertTrue(self.ended[name].is_unsent)
            self.assertFalse(reply.done())
        self.asked["job-1"](True)  # too late: it is over
        self.deliver("job-3")
        await sleep(0.01)
        self.asked["job-3"](True)
        self.assertIn(b"job-3", (await reply)[0])

    @gen_test(timeout=60)
    async def test_a_fetch_that_ends_meanwhile_leaves_the_job_to_another(self) -> None:
        gone = self.fetch()
        self.deliver("job-1")
        await sleep(0.01)
        gone.set_result(None)
        self.asked.pop("job-1")(True)
        await sleep(0.01)
        self.assertEqual(self.ended, {})
        self.assertIn(b"job-1", (await self.fetch())[0])
        self.assertEqual(self.asked, {})  # its intent was on disk already


class Killed(unittest.TestCase):
    """A few of the system calls; measure/crashes.py goes through all of them."""

    def test_no_crash_shows_a_request_unsent_that_a_worker_has_seen(self) -> None:
        results = measure(rounds=1, step=5, lanes=4, seed=1)
        self.assertEqual(sum(each.kills > 3 for each in results.values()), 6)
        for name, each in results.items():
            with self.subTest(name):
                self.assertEqual(
                    (each.wrongly_unsent, each.resent, each.unreported, each.accepted), ([], 0, 0, 0)
                )

    def test_a_folder_that_another_daemon_writes_is_refused_in_one_line(self) -> None:
        from measure.daemons import Daemon

        with tempfile.TemporaryDirectory() as folder:
            table = f'[journal]\ndirectory = "{folder}/journal"\n'
            first = Daemon("a", [], (), table, admin=False)
            self.addCleanup(first.close)
            with self.assertRaisesRegex(RuntimeError, "journal.directory: .*in use by another process\n$"):
                Daemon("b", [], (), table, admin=False)


if __name__ == "__main__":
    unittest.main()
