"""Faktory's PUSH: `+OK` means that the core has accepted the job, whose outcome will then be recorded.

They guard against a job that is answered `+OK` and neither run, refused nor failed.
"""

from __future__ import annotations

import asyncio
import json
import select
import time
import unittest
from types import SimpleNamespace

from conftest import UNSAFE, settings
from player import WAIT_TIMEOUT_S, member
from standins import FaktoryClient
from test_termination_races import ConnectionStandIn, DaemonTestCase, ListenerStandIn, encode_push

from measure.streams import OpenStreams
from spanwing import interface as api
from spanwing.core.clock import Clock
from spanwing.core.messages import FinalAnswer, JobRequest
from spanwing.core.request_manager import RequestManager
from spanwing.daemon import Daemon
from spanwing.frontends.faktory import FaktoryFrontend
from spanwing.frontends.faktory_jobs import JobStates, PushedJob, encode_acceptance
from spanwing.net.address import parse_address
from spanwing.net.buffers import BufferPool
from spanwing.store.claims import Claim
from spanwing.store.store import NoQuorumError

FAKTORY = '[faktory]\nlisten = "127.0.0.1:0"\n'
JID = "job-00001"


class FaktoryPushTestCase(DaemonTestCase):
    def connect_faktory(self) -> FaktoryClient:
        client = FaktoryClient(self.daemon)
        self.addCleanup(client.close)
        return client

    def push(self, client: FaktoryClient, cls: str = "status-read", **custom: object) -> str:
        """Pushes the job; returns the reply."""
        job = {"jid": JID, "jobtype": cls, "queue": cls, "args": [], "custom": custom}
        return client.ask("PUSH", json.dumps(job))

    def push_until_accepted(self, client: FaktoryClient, **custom: object) -> None:
        """Pushes the job until the reply is not BUSY, which has to be OK."""
        end_s = time.monotonic() + WAIT_TIMEOUT_S
        while (reply := self.push(client, **custom)).startswith("-BUSY"):
            self.assertLess(time.monotonic(), end_s)
            time.sleep(0.02)
        self.assertEqual(reply, "+OK")

    def state(self, client: FaktoryClient) -> str:
        return json.loads(client.ask("TRACK", f"GET {JID}"))["state"]

    def wait_for_state(self, client: FaktoryClient, state: str) -> None:
        end_s = time.monotonic() + WAIT_TIMEOUT_S
        while (found := self.state(client)) != state:
            self.assertLess(time.monotonic(), end_s, f"the job is {found}")
            time.sleep(0.01)

    def order_of_arrival(self, listeners: list[ListenerStandIn]) -> list[ListenerStandIn]:
        """Waits for a connection; returns the listeners, the one with the connection first."""
        connected = select.select([each.listener for each in listeners], [], [], WAIT_TIMEOUT_S)[0]
        return sorted(listeners, key=lambda each: each.listener not in connected)

    def accept_job(self, listener: ListenerStandIn) -> ConnectionStandIn:
        """Accepts a connection and reads the job from it."""
        worker = listener.accept()
        self.assertEqual(worker.read_message()[1]["x-call-id"], JID)
        return worker


class AcceptedPushTests(FaktoryPushTestCase):
    def test_job_pushed_again_while_a_hanging_worker_still_has_its_first_attempt(self) -> None:
        """Guards against `+OK` for a job that the core does not accept: it stayed `enqueued` for good."""
        listeners = [ListenerStandIn(self), ListenerStandIn(self)]
        self.start(*(member(f"w{each.port}", each.port) for each in listeners), fronts=FAKTORY)
        client = self.connect_faktory()
        self.assertEqual(self.push(client, budget_ms=300), "+OK")
        hanging, other = self.order_of_arrival(listeners)
        self.accept_job(hanging).respond(202)  # and it answers nothing from now on
        self.wait_for_state(client, "dead")
        replies = [self.push(client) for _ in range(2)]
        self.assertEqual([each[:5] for each in replies], ["-BUSY", "-BUSY"])
        self.assertEqual(self.state(client), "dead")
        self.push_until_accepted(client)
        self.assertEqual(self.state(client), "enqueued")
        self.accept_job(other).respond(200, b"served")
        self.wait_for_state(client, "success")

    def test_job_pushed_again_while_it_is_pending_is_accepted_and_runs_once(self) -> None:
        listener = ListenerStandIn(self)
        self.start(member("w1", listener.port), fronts=FAKTORY)
        client = self.connect_faktory()
        self.assertEqual(self.push(client), "+OK")
        worker = self.accept_job(listener)
        self.assertEqual(self.push(client), "+OK")
        worker.respond(200, b"served")
        self.wait_for_state(client, "success")
        self.assertEqual(self.read_counters()["sent"], 1)
        self.assertTrue(listener.has_no_connection())

    def test_accepted_job_outlasts_the_client_of_an_earlier_push_that_waits_for_its_outcome(self) -> None:
        """Guards against `+OK` for a job that is withdrawn when the client of its first PUSH leaves."""
        for cls in ("status-read", "schedule-apply"):
            with self.subTest(cls):
                listener = ListenerStandIn(self)
                self.start(member("w1", listener.port), fronts=FAKTORY)
                leaving = FaktoryClient(self.daemon)
                leaving.socket.sendall(encode_push(cls, JID))
                worker = self.accept_job(listener)
                client = self.connect_faktory()
                self.assertEqual(self.push(client, cls), "+OK")
                leaving.close()
                time.sleep(0.1)  # the daemon reads the close; without the mend it withdraws the job
                self.assertNotIn("left", self.read_counters())
                self.assertEqual(self.state(client), "enqueued")
                worker.respond(200, b"served")
                self.wait_for_state(client, "success")
                self.stop()

    def test_job_whose_id_an_http_request_has_in_use(self) -> None:
        """Guards against `+OK` for a job whose outcome nobody records, as the request is another front's."""
        listener = ListenerStandIn(self)
        self.start(member("w1", listener.port), fronts=FAKTORY)
        http_client = self.connect_client()
        http_client.submit("status-read", JID)
        worker = self.accept_job(listener)
        client = self.connect_faktory()
        self.assertRegex(self.push(client), "^-REPEATED")
        self.assertEqual(self.state(client), "unknown")
        worker.respond(200, b"served")
        self.assertEqual(http_client.read_message()[2], b"served")


class KeyedPushTests(FaktoryPushTestCase):
    def test_keyed_job_without_an_effect_key_has_its_jid_as_the_key(self) -> None:
        """Guards against a second run at another worker, which cannot drop a repeat without a key."""
        for custom, key in (({}, JID), ({"effect_key": "key-1"}, "key-1")):
            with self.subTest(key):
                listener = ListenerStandIn(self)
                self.start(member("w1", listener.port), fronts=FAKTORY)
                self.assertEqual(self.push(self.connect_faktory(), "setpoint-push", **custom), "+OK")
                _, headers, _ = listener.accept().read_message()
                self.assertEqual(headers["idempotency-key"], key)
                self.stop()

    def test_job_of_another_class_has_no_key(self) -> None:
        listener = ListenerStandIn(self)
        self.start(member("w1", listener.port), fronts=FAKTORY)
        self.push(self.connect_faktory())
        self.assertNotIn("idempotency-key", listener.accept().read_message()[1])


class ClaimedPushTests(FaktoryPushTestCase):
    """A job of a class that must not run twice is claimed, by the PUSH that the core then accepts."""

    def test_claimed_job_that_no_client_waits_for_any_more(self) -> None:
        """Guards against `+OK` for a job that nobody holds, as the client of its first PUSH has left."""
        listener = ListenerStandIn(self)
        self.start(member("w1", listener.port), fronts=FAKTORY)
        leaving = FaktoryClient(self.daemon)
        leaving.socket.sendall(encode_push("schedule-apply", JID))
        self.accept_job(listener)
        leaving.close()
        self.wait_for_counter("left", 1)
        client = self.connect_faktory()
        self.assertRegex(self.push(client, "schedule-apply"), "^-REPEATED")
        self.assertEqual(self.state(client), "unknown")

    def test_claim_of_a_job_that_was_never_sent_ends_when_its_client_leaves(self) -> None:
        """Guards against a job that can never run, as its claim outlives the PUSH that was withdrawn."""
        self.start(fronts=FAKTORY)  # without workers
        leaving = FaktoryClient(self.daemon)
        leaving.socket.sendall(encode_push("schedule-apply", JID))
        self.wait_for_counter("taken", 1)
        leaving.close()
        self.wait_for_counter("left", 1)
        client = self.connect_faktory()
        self.assertEqual(self.push(client, "schedule-apply"), "+OK")
        self.assertEqual(self.state(client), "enqueued")

    def test_claimed_job_that_is_pending_is_accepted_again_and_runs_once(self) -> None:
        listener = ListenerStandIn(self)
        self.start(member("w1", listener.port), fronts=FAKTORY)
        client = self.connect_faktory()
        self.assertEqual(self.push(client, "schedule-apply"), "+OK")
        worker = self.accept_job(listener)
        self.assertEqual(self.push(client, "schedule-apply"), "+OK")
        worker.respond(200, b"served")
        self.wait_for_state(client, "success")
        self.assertEqual(self.push(client, "schedule-apply"), "+OK")  # the outcome is known
        self.assertEqual(self.read_counters()["sent"], 1)

    def test_claim_of_a_job_whose_id_an_http_request_has_in_use_is_released(self) -> None:
        """Guards against a job that never runs, as the claim of a PUSH that was not accepted stays."""
        for custom in ({}, {"answer": "outcome"}):
            with self.subTest(**custom):
                listener = ListenerStandIn(self)
                self.start(member("w1", listener.port), fronts=FAKTORY)
                http_client = self.connect_client()
                http_client.submit("schedule-apply", JID)
                worker = self.accept_job(listener)
                client = self.connect_faktory()
                self.assertRegex(self.push(client, "schedule-apply", **custom), "^-REPEATED")
                worker.respond(200, b"served")
                self.assertEqual(http_client.read_message()[2], b"served")
                self.assertEqual(self.push(client, "schedule-apply"), "+OK")
                self.accept_job(listener).respond(200, b"served")
                self.wait_for_state(client, "success")
                self.stop()


class AcceptanceTests(unittest.IsolatedAsyncioTestCase):
    """What the core says of a job that it does not accept reaches the reply to its PUSH."""

    def push(self, manager: RequestManager) -> PushedJob:
        pushed = PushedJob(JobStates(), claims=None, claim=None)
        pushed.submit(JobRequest(JID, "look", 5e3, front="faktory"), manager)
        return pushed

    async def test_job_that_the_policy_rejects_is_not_accepted(self) -> None:
        """Guards against `+OK` for a job that a fleet's policy does not let in."""
        manager = RequestManager(settings(), 1, Clock())

        def admit(submitted) -> bool:
            submitted.client.answer(submitted.request, FinalAnswer("refused", retry_after_ms=50.0))
            return False

        manager.policy_admission = SimpleNamespace(admit=admit)
        pushed = self.push(manager)
        self.assertEqual(
            encode_acceptance(await pushed.acceptance), b"-BUSY refused, try again after 50 ms\r\n"
        )
        self.assertEqual(pushed.states.find(JID).state, "unknown")

    async def test_job_is_accepted_before_its_final_answer(self) -> None:
        manager = RequestManager(settings(), 1, Clock())
        manager.scheduler.handle(0.0, api.WorkerList("complete", ()))
        pushed = self.push(manager)
        self.assertEqual(encode_acceptance(await pushed.acceptance), b"+OK\r\n")
        self.assertEqual(pushed.states.find(JID).state, "enqueued")

    async def test_second_push_is_accepted_while_the_first_is_pending(self) -> None:
        manager = RequestManager(settings(), 1, Clock())
        first, second = self.push(manager), self.push(manager)
        self.assertIsNone(await first.acceptance)
        self.assertEqual(encode_acceptance(await second.acceptance), b"+OK\r\n")
        self.assertTrue(first.is_joined)

    async def test_second_push_does_not_join_a_job_that_is_being_withdrawn(self) -> None:
        """Guards against `+OK` in the turn of the loop in which the client of the first PUSH leaves."""
        manager = RequestManager(settings(), 1, Clock())
        first = self.push(manager)
        self.assertIsNone(await first.acceptance)
        second = self.push(manager)
        first.withdraw(JobRequest(JID, "look", 5e3), manager)
        self.assertRegex(encode_acceptance(await second.acceptance), b"^-BUSY")

    async def test_claim_of_a_job_that_the_policy_queues_ends_when_its_client_leaves(self) -> None:
        for was_queued, settled in ((True, ["refused"]), (False, [])):
            with self.subTest(was_queued=was_queued):
                manager, states = RequestManager(settings(), 1, Clock()), []

                async def settle(jid: str, claim: Claim, state: str, states: list[str] = states) -> None:
                    states.append(state)

                manager.policy_admission = SimpleNamespace(
                    admit=lambda _: False, client_disconnected=lambda *_, found=was_queued: found
                )
                pushed = PushedJob(JobStates(), SimpleNamespace(settle=settle), Claim("token", "claimed"))
                request = JobRequest(JID, "look", 5e3, front="faktory")
                pushed.submit(request, manager)
                pushed.withdraw(request, manager)
                manager._drain_mailbox()
                await asyncio.sleep(0.01)
                self.assertEqual(states, settled)

    async def test_second_push_does_not_change_the_state_of_a_job_that_ends_before_its_reply(self) -> None:
        """Guards against a job that stays `enqueued` for good after its outcome."""
        manager = RequestManager(settings(), 1, Clock())
        first, second = self.push(manager), self.push(manager)
        second.states = first.states
        manager._drain_mailbox()
        manager._answer_request(JID, FinalAnswer("served"))
        self.assertEqual(encode_acceptance(await second.acceptance), b"+OK\r\n")
        self.assertEqual(first.states.find(JID).state, "success")


class ShutdownTests(unittest.IsolatedAsyncioTestCase):
    async def test_shutdown_waits_for_the_reply_to_a_push_that_waits_for_its_claim(self) -> None:
        """Guards against a PUSH that was read and gets no answer, as the process ends before the store's."""
        manager = RequestManager(settings(), 1, Clock())
        claimed: asyncio.Future = asyncio.get_running_loop().create_future()
        claims = SimpleNamespace(claim=lambda jid: claimed)
        frontend = FaktoryFrontend(
            parse_address("127.0.0.1:0"), manager, None, claims, BufferPool(), 10, dict
        )
        daemon = object.__new__(Daemon)
        daemon.http_server = SimpleNamespace(has_unanswered_requests=lambda: False)
        daemon.faktory_frontend, daemon.request_manager = frontend, manager
        streams = OpenStreams()
        self.addCleanup(streams.close)
        reader, writer = await streams.connect(*frontend.address)
        push = {"jid": JID, "jobtype": "x", "queue": UNSAFE.name, "args": []}
        writer.write(b'HELLO {"v":2}\r\nPUSH %s\r\n' % json.dumps(push).encode())
        self.assertEqual([await reader.readline(), await reader.readline()], [b'+HI {"v":2}\r\n', b"+OK\r\n"])
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not any(each.is_busy for each in frontend.table.connections):
                await asyncio.sleep(0)
        waiting = asyncio.ensure_future(daemon.wait_until_all_answered())
        await asyncio.sleep(0.05)
        self.assertFalse(waiting.done())
        claimed.set_exception(NoQuorumError("1 of 3 members answered"))
        self.assertRegex(await reader.readline(), b"^-BUSY")
        await asyncio.wait_for(waiting, WAIT_TIMEOUT_S)


if __name__ == "__main__":
    unittest.main()
