"""A version of the fleet's policy is in force that this scheduler cannot use, as it was away at the change.

They guard against requests that get no answer, and against a scheduler that says that it serves meanwhile.
"""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from dataclasses import replace
from types import SimpleNamespace
from unittest import mock

import msgspec
from test_policy_sound import create_policy, running_state

from spanwing.core.clock import Clock
from spanwing.core.messages import FinalAnswer, JobRequest, RequestSubmitted
from spanwing.core.request_manager import RequestManager
from spanwing.daemon import Daemon
from spanwing.frontends.faktory import FaktoryFrontend
from spanwing.frontends.platform import PlatformFrontend
from spanwing.net.address import parse_address
from spanwing.net.buffers import BufferPool
from spanwing.net.http_parser import HttpMessage
from spanwing.policy.coordinator import PolicyVote
from spanwing.policy.participant import MAX_ADMISSION_WAIT_MS
from spanwing.policy.records import (
    CHANGE_KEY,
    CURRENT_KEY,
    HISTORY_KEY,
    PROPOSED_KEY,
    REGISTER_KEY,
    PolicyChange,
    PolicyVersion,
    encode_value,
    policy_digest,
)
from spanwing.policy.service import PolicyService
from spanwing.policy.validation import UnusablePolicyError, settings_in_force
from spanwing.store.claims import Claims
from spanwing.store.document import Transaction
from spanwing.store.lease import clock_ms

PERMIT_MS = 60_000.0


class UnusableVersionTestCase(unittest.IsolatedAsyncioTestCase):
    """A scheduler whose position is 3 runs under version 1, of four schedulers, with a permit."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.addAsyncCleanup(self.wait_for_cache)
        policy_settings = SimpleNamespace(directory=folder.name, away_ms=1e4, members={}, lease_ms=2e3)
        self.own_settings = replace(running_state().settings, node_index=3, node_count=4)
        self.service = PolicyService("d", policy_settings, self.own_settings, BufferPool(), 1)
        self.request_manager = RequestManager(self.own_settings, 1, Clock())
        self.answers: list[FinalAnswer] = []
        self.request_count = 0
        self.service.follower.permit.expires_at_ms = clock_ms() + PERMIT_MS
        self.put_in_force(1, create_policy(balancers=4))
        self.service.active_version = await self.service.first_version
        self.service.attach_request_manager(self.request_manager)

    async def wait_for_cache(self) -> None:
        """Waits until the thread of the policy cache writes nothing to the folder."""
        while self.service.cache_writer.is_writing:
            await asyncio.sleep(0.001)

    def put_in_force(self, number: int, policy: dict, **changes: object) -> None:
        """Gives the service a copy of the document in which this version is in force."""
        text = msgspec.json.encode(policy).decode()
        version = PolicyVersion(number, policy_digest(text), text)
        version = msgspec.structs.replace(version, **changes)
        self.apply({CURRENT_KEY: encode_value(version), PROPOSED_KEY: None, CHANGE_KEY: None})

    def close_for_change(self) -> None:
        """Gives the service a copy of the document in which a change is closing."""
        self.apply(
            {
                PROPOSED_KEY: encode_value(PolicyVersion(2, policy_digest("{}"), "{}")),
                CHANGE_KEY: encode_value(PolicyChange("change-1", "closing", 1e4)),
            }
        )

    def apply(self, writes: dict[str, str | None]) -> None:
        document = self.service.follower.document
        self.service.follower.document = document.apply(Transaction(f"t{document.revision}", writes, {}))
        self.service._handle_document_change(self.service.follower.document)

    def answer(self, request: JobRequest, answer: FinalAnswer) -> None:
        """Receives the final answers, as the client of each request."""
        self.answers.append(answer)

    async def submit(self) -> None:
        """Submits a request and waits until the request manager has handled it."""
        self.request_count += 1
        request = JobRequest(f"job-{self.request_count}", "status-read", 5e3)
        self.request_manager.post(RequestSubmitted(request, self))
        while self.request_manager.is_scheduled or self.request_manager.mailbox:
            await asyncio.sleep(0)


class RejectionTests(UnusableVersionTestCase):
    async def test_requests_are_rejected_at_once_until_a_usable_version_is_in_force(self) -> None:
        """Guards against requests that go round between two queues until their clients leave."""
        with self.assertLogs("spanwing", "ERROR") as logged:
            self.put_in_force(2, create_policy(balancers=3))
            self.apply({})  # a later copy of the document tells nothing new
        self.assertEqual(len([each for each in logged.output if "policy_unfit" in each]), 1)
        await self.submit()
        self.assertEqual([each.kind for each in self.answers], ["refused"])
        self.assertEqual(len(self.service.admission_queue.waiting), 0)
        status = self.service.status()
        self.assertEqual((status["may"], status["version"], status["in_force"]), ("refuse", 1, 2))
        self.assertRegex(status["why"], "^version 2 cannot be used here: position: 3")
        self.put_in_force(3, create_policy(balancers=4))
        await self.submit()
        self.assertEqual((len(self.answers), self.request_manager.counters["taken"]), (1, 1))
        self.assertEqual(self.service.status()["may"], "take")

    async def test_queued_requests_are_rejected_when_a_version_comes_that_cannot_be_used(self) -> None:
        self.close_for_change()
        await self.submit()
        self.assertEqual((len(self.service.admission_queue.waiting), self.answers), (1, []))
        with self.assertLogs("spanwing", "ERROR"):
            self.put_in_force(2, create_policy(balancers=3))
        self.assertEqual([each.kind for each in self.answers], ["refused"])
        self.assertEqual(len(self.service.admission_queue.waiting), 0)


class FrontendTests(UnusableVersionTestCase):
    async def test_frontends_decide_by_the_classes_of_the_version_in_force(self) -> None:
        """Guards against a frontend that keeps the classes of the version with which the process started."""
        manager = self.request_manager
        platform = PlatformFrontend(
            lambda: manager.service_classes, None, None, dict, lambda: True, lambda: 1e9
        )
        faktory = FaktoryFrontend(
            parse_address("127.0.0.1:0"), manager, None, Claims(None), BufferPool(), 10, dict
        )
        policy = create_policy(balancers=4)
        policy["classes"][0]["idempotency"] = "unsafe"
        policy["classes"].append({**policy["classes"][0], "name": "added"})
        message = HttpMessage("POST", "/added", 0, {"x-call-id": "job-1"}, True)
        self.assertEqual(platform.parse_request(message)[0], 404)
        self.put_in_force(2, policy)
        self.assertEqual(platform.parse_request(message).cls, "added")
        self.assertEqual(faktory.request_manager.service_classes["status-read"].idempotency, "unsafe")
        await self.wait_for_cache()


class ReadinessTests(UnusableVersionTestCase):
    """Guards against a scheduler that says that it is ready while it rejects every request."""

    def accepts_clients(self) -> bool:
        daemon = object.__new__(Daemon)
        daemon.started, daemon.is_stopping = asyncio.Event(), False
        daemon.started.set()
        daemon.discovery = SimpleNamespace(announced=daemon.started)
        daemon.request_manager = self.request_manager
        return daemon.accepts_clients()

    def check(self, reason: str) -> None:
        """Checks what `GET /up`, the health check and the balancers' reporter go by."""
        unavailable = self.request_manager.unavailable_classes()
        if reason:
            self.assertEqual(sorted(unavailable), sorted(each.name for each in self.own_settings.classes))
        for text in unavailable.values():
            self.assertRegex(text, f"^policy: {reason}")
        self.assertEqual(self.accepts_clients(), not reason)

    async def test_version_that_cannot_be_used(self) -> None:
        self.check("")
        with self.assertLogs("spanwing", "ERROR"):
            self.put_in_force(2, create_policy(balancers=3))
        self.check("version 2 cannot be used here: ")
        self.put_in_force(3, create_policy(balancers=4))
        self.check("")

    async def test_no_permit(self) -> None:
        self.service.follower.permit.expires_at_ms = clock_ms() - 1.0
        self.check("no permit")
        self.service.follower.permit.expires_at_ms = clock_ms() + PERMIT_MS
        self.check("")

    async def test_cut_off_while_a_change_is_closing(self) -> None:
        self.close_for_change()
        self.check("")  # requests wait
        self.service.participant.closed_since_ms -= MAX_ADMISSION_WAIT_MS
        self.check("cut off in a change of policy")


class WholeVersionTests(UnusableVersionTestCase):
    """A version is used as a whole or not at all."""

    async def check_refused(self, reason: str) -> None:
        await self.submit()
        self.assertEqual([each.kind for each in self.answers], ["refused"])
        self.assertRegex(self.service.status()["why"], f"^version 2 cannot be used here: {reason}")

    async def test_field_that_only_a_newer_program_knows(self) -> None:
        """Guards against a version that is applied without what this program does not know of it."""
        with self.assertLogs("spanwing", "ERROR"):
            self.put_in_force(2, {**create_policy(balancers=4), "newer": 1})
        await self.check_refused("newer: this program does not know it")

    async def test_text_that_does_not_match_its_digest(self) -> None:
        with self.assertLogs("spanwing", "ERROR"):
            self.put_in_force(2, create_policy(balancers=4), digest="0" * 16)
        await self.check_refused("its text does not match its digest")

    async def test_exception_while_the_version_is_applied(self) -> None:
        """Guards against one that ends the reading of the store's replies."""
        with (
            mock.patch("spanwing.policy.service.create_scheduler", side_effect=TypeError("fault")),
            self.assertLogs("spanwing", "ERROR"),
        ):
            self.put_in_force(2, create_policy(balancers=4))
        await self.check_refused("TypeError")

    async def test_start_under_a_version_that_cannot_be_used(self) -> None:
        self.service.first_version = asyncio.get_running_loop().create_future()
        self.service.first_version.set_result(PolicyVersion(2, "", '{"newer": 1}'))
        with self.assertRaisesRegex(UnusablePolicyError, "classes"):
            await self.service.wait_for_policy()

    async def test_initial_policy_may_have_fields_of_the_operators_file(self) -> None:
        text = msgspec.json.encode({**create_policy(balancers=4), "comment": 1}).decode()
        self.assertEqual(settings_in_force(PolicyVersion(1, "", text), self.own_settings).node_count, 4)


class CachedPermitTests(UnusableVersionTestCase):
    async def write_cache(self) -> None:
        """Does what the service's timer does from time to time."""
        self.service._start_cache_write(clock_ms())
        await self.wait_for_cache()

    async def test_permit_is_not_stored_for_a_version_that_the_fleet_has_left(self) -> None:
        """Guards against a start without the store that accepts requests under the former version."""
        with self.assertLogs("spanwing", "ERROR"):
            self.put_in_force(2, create_policy(balancers=3))
        await self.write_cache()
        self.assertIsNone(self.service.cache.load_permit())
        self.put_in_force(3, create_policy(balancers=4))
        await self.wait_for_cache()
        await self.write_cache()
        self.assertEqual(self.service.cache.load_permit()[0].number, 3)


class OtherStoreTests(UnusableVersionTestCase):
    """The store was set up anew, and counts its versions from 1 again."""

    async def test_version_with_a_lower_number_is_followed_once_its_store_grants_a_permit(self) -> None:
        """Guards against a scheduler that runs under a version of the former store, and never votes again."""
        self.put_in_force(5, create_policy(balancers=4))
        self.put_in_force(2, create_policy(balancers=5))
        await self.submit()
        self.assertEqual(
            [each.kind for each in self.answers], ["refused"]
        )  # the permit was the former store's
        self.service.follower.permit.expires_at_ms = clock_ms() + PERMIT_MS
        await self.submit()
        self.assertEqual((len(self.answers), self.request_manager.counters["taken"]), (1, 1))
        self.assertEqual((self.service.status()["version"], self.request_manager.settings.node_count), (2, 5))
        text = msgspec.json.encode(create_policy(balancers=4)).decode()
        self.apply(
            {
                PROPOSED_KEY: encode_value(PolicyVersion(3, policy_digest(text), text)),
                CHANGE_KEY: encode_value(PolicyChange("change-1", "asking", 1e4)),
            }
        )
        self.assertEqual(self.service.participant.vote, PolicyVote(True, "change-1", ""))

    async def test_version_with_the_same_number_and_another_text(self) -> None:
        self.put_in_force(1, create_policy(balancers=5))
        await self.submit()
        self.assertEqual([each.kind for each in self.answers], ["refused"])
        self.service.follower.permit.expires_at_ms = clock_ms() + PERMIT_MS
        await self.submit()
        self.assertEqual(self.request_manager.settings.node_count, 5)
        self.assertEqual(len(self.answers), 1)

    async def test_empty_document_does_not_replace_the_version(self) -> None:
        self.apply({CURRENT_KEY: None})
        await self.submit()
        self.assertEqual((self.answers, self.request_manager.counters["taken"]), ([], 1))


class UnreadableRecordTests(UnusableVersionTestCase):
    async def test_requests_are_rejected_while_a_record_of_the_policy_cannot_be_decoded(self) -> None:
        """Guards against requests that are accepted under a version which a newer program has replaced."""
        for key in (CURRENT_KEY, PROPOSED_KEY, CHANGE_KEY, REGISTER_KEY, HISTORY_KEY):
            with self.subTest(key):
                self.apply({key: '"of a newer program"'})
                self.answers.clear()
                await self.submit()
                self.assertEqual([each.kind for each in self.answers], ["refused"])
                self.assertRegex(self.service.status()["why"], f"^{key} cannot be decoded")
                self.apply({PROPOSED_KEY: None, CHANGE_KEY: None, REGISTER_KEY: None, HISTORY_KEY: None})
                self.put_in_force(1, create_policy(balancers=4))
                await self.submit()
                self.assertEqual(len(self.answers), 1)

    async def test_proposed_version_that_cannot_be_decoded_while_its_change_is_closing(self) -> None:
        """Guards against an exception that leaves the scheduler on a former copy of the document."""
        self.apply(
            {
                PROPOSED_KEY: '"of a newer program"',
                CHANGE_KEY: encode_value(PolicyChange("change-1", "closing", 1e4)),
            }
        )
        await self.submit()
        self.assertEqual([each.kind for each in self.answers], ["refused"])
        self.assertIsNone(self.service.status()["change"])


if __name__ == "__main__":
    unittest.main()
