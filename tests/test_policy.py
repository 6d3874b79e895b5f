"""The policy's coordinator and participant: scenarios, random walks, and all interleavings to a depth."""

from __future__ import annotations

import asyncio
import tempfile
import threading
import unittest
from types import SimpleNamespace
from unittest import mock

from conftest import settings
from player import WAIT_TIMEOUT_S

from measure import policymodel
from measure.policymodel import World, initial_world, run_without_faults
from spanwing.core.clock import Clock
from spanwing.core.messages import ClientDisconnected, FinalAnswer, JobRequest, RequestSubmitted
from spanwing.core.request_manager import RequestManager
from spanwing.net.buffers import BufferPool
from spanwing.policy.coordinator import PolicyVote
from spanwing.policy.participant import MAX_ADMISSION_WAIT_MS
from spanwing.policy.records import (
    CHANGE_KEY,
    CURRENT_KEY,
    MAX_POLICY_BYTES,
    PROPOSED_KEY,
    PolicyChange,
    PolicyState,
    PolicyVersion,
    encode_value,
    policy_digest,
    read_policy,
)
from spanwing.policy.service import PolicyService
from spanwing.store.document import Document, Transaction
from spanwing.store.lease import clock_ms


def renew(world: World, schedulers: tuple[int, ...], count: int = 1) -> None:
    """These schedulers renew and receive the replies, `count` times, without a fault."""
    for _ in range(count):
        for index in schedulers:
            world.apply_step(("renew", index))
            world.apply_step(("come", index))
        world.apply_step(("read", world.leader_index()))
        for index in schedulers:
            world.apply_step(("hear", index))


def run_change(world: World, schedulers: tuple[int, ...]) -> None:
    """These schedulers go through a complete change; the others are silent."""
    renew(world, schedulers, 2)
    world.apply_step(("decide", world.leader_index()))  # closes
    renew(world, schedulers, 2)
    world.apply_step(("decide", world.leader_index()))  # ends the change
    renew(world, schedulers)


class ChangeTests(unittest.TestCase):
    def test_all_schedulers_accept_requests_under_the_new_version(self) -> None:
        world = initial_world("")
        run_change(world, (0, 1, 2))
        self.assertEqual(world.acceptable_versions(), {"s0": 2, "s1": 2, "s2": 2})
        outcome = read_policy(world.document).history[-1]
        self.assertEqual((outcome.number, outcome.taken), (2, True))

    def test_one_objection_ends_the_change_and_names_the_scheduler(self) -> None:
        world = initial_world("")
        world.schedulers[1].participant.find_objection = lambda text: "class look has open jobs"
        renew(world, (0, 1, 2), 2)
        world.apply_step(("decide", 0))
        policy = read_policy(world.document)
        self.assertEqual((policy.change, policy.now.number), (None, 1))
        self.assertEqual(policy.history[-1].reason, "s1 no: class look has open jobs")
        run_without_faults(world, 2)
        self.assertEqual(set(world.acceptable_versions().values()), {1})

    def test_a_disconnected_scheduler_blocks_the_change_until_its_permit_expires(self) -> None:
        world = initial_world("")
        run_change(world, (0, 1))
        self.assertEqual(set(world.acceptable_versions().values()), {1})
        self.assertIn(
            "s2",
            world.members[0].coordinator.blocking_schedulers(world.now, world.document, world.members[0]),
        )
        for _ in range(3):
            world.apply_step(("tick", 0))
            renew(world, (0, 1))
        run_change(world, (0, 1))
        self.assertEqual(world.acceptable_versions(), {"s0": 2, "s1": 2})
        run_without_faults(world, 3)
        self.assertEqual(world.acceptable_versions()["s2"], 2)

    def test_a_change_that_times_out_names_the_scheduler_that_blocked_it(self) -> None:
        world = initial_world("")
        world.apply_step(("decide", 0))
        for _ in range(5):
            world.apply_step(("tick", 0))
            renew(world, (0, 1))
            world.schedulers[2].lease.renewals_sent.clear()
            world.apply_step(("renew", 2))
            world.apply_step(("come", 2))
            world.apply_step(("read", 0))  # it renews, but never receives the reply
            world.apply_step(("lose", 2))
            world.apply_step(("decide", 0))
        world.apply_step(("decide", 0))
        policy = read_policy(world.document)
        self.assertEqual((policy.change, policy.now.number), (None, 1))
        self.assertIn("s2 has not answered", policy.history[-1].reason)

    def test_a_scheduler_cut_off_while_closing_queues_and_then_rejects_requests(self) -> None:
        world = initial_world("")
        renew(world, (0, 1, 2), 2)
        world.apply_step(("decide", 0))
        renew(world, (0, 1, 2))
        participant, now = world.schedulers[0].participant, world.now
        self.assertEqual(
            [
                participant.decide_admission(now + wait_ms).action
                for wait_ms in (0.0, MAX_ADMISSION_WAIT_MS - 1, MAX_ADMISSION_WAIT_MS)
            ],
            ["hold", "hold", "refuse"],
        )

    def test_closing_returns_to_asking_after_its_timeout(self) -> None:
        world = initial_world("")
        renew(world, (0, 1, 2), 2)
        world.apply_step(("decide", 0))
        self.assertEqual(read_policy(world.document).change.state, "closing")
        world.apply_step(("decide", 0))  # sees the closing for the first time
        world.apply_step(("tick", 0))
        world.apply_step(("decide", 0))
        self.assertEqual(
            (read_policy(world.document).change.state, read_policy(world.document).change.revert_count),
            ("asking", 1),
        )

    def test_invalid_proposals_are_rejected(self) -> None:
        world = initial_world("")
        coordinator, document = world.members[0].coordinator, world.document
        with self.assertRaisesRegex(ValueError, "version 2 by o is under way"):
            coordinator.propose(document, "x", 1, "p", "", 1000.0, [])
        aborted = document.apply(coordinator.abort(document, "p"))
        self.assertEqual(read_policy(aborted).history[-1].reason, "given up by p")
        for text, base_version, removed_names, error in (
            ("x", 0, [], "based on version 0, but version 1"),
            ("x" * (MAX_POLICY_BYTES + 1), 1, [], "bytes"),
            ("x", 1, ["mars"], "is not a known scheduler"),
        ):
            with self.assertRaisesRegex(ValueError, error):
                coordinator.propose(aborted, text, base_version, "p", "", 1000.0, removed_names)
        with self.assertRaisesRegex(ValueError, "no change"):
            coordinator.abort(aborted, "p")

    def test_an_unreadable_record_closes_the_policy(self) -> None:
        world = initial_world("")
        document = world.document.apply(Transaction("x", {CHANGE_KEY: '{"state": "of a newer program"}'}))
        participant = world.schedulers[0].participant
        participant.update_policy(world.now, read_policy(document))
        self.assertEqual(participant.decide_admission(world.now).action, "refuse")
        self.assertIsNone(
            world.members[0].coordinator.decide_next_change(world.now, document, world.members[0])
        )

    def test_names_beyond_the_bounds_are_not_registered(self) -> None:
        world = initial_world("")
        coordinator, member = world.members[0].coordinator, world.members[0]
        for session in ("x" * 60 + ".1", ".1"):
            member.sessions[session] = policymodel.Session(world.now, 0)
            coordinator.record_vote(session, PolicyVote(True))
        coordinator.decide_next_change(world.now, world.document, member)
        self.assertEqual(set(read_policy(world.document).register), {"s0", "s1", "s2"})
        self.assertFalse(coordinator.may_hold_permit("s0.9", world.document))
        self.assertFalse(coordinator.may_hold_permit("s0.0", Document()))


class CachedPermitTests(unittest.IsolatedAsyncioTestCase):
    """A start with a cached permit of the previous incarnation, which an operator may have declared gone."""

    async def test_a_cached_permit_is_not_used_before_the_store_was_asked(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        policy_settings = SimpleNamespace(directory=folder.name, away_ms=1e4, members={}, lease_ms=2e3)
        previous = PolicyService("a", policy_settings, settings(), BufferPool(), 1)
        previous.cache.store_version(PolicyVersion(1, policy_digest("{}"), "{}"))
        previous.cache.store_permit(1, clock_ms() + 60_000.0)
        previous.cache.lock_file.close()
        policy_settings.members = {"m1": None, "m2": None}
        service = PolicyService("a", policy_settings, settings(), BufferPool(), 1)
        self.assertEqual(service.participant.decide_admission(clock_ms()).action, "take")
        for failed_attempts, resolved in ((0, False), (1, False), (2, True)):
            service.follower.failed_attempts = failed_attempts
            service._resolve_first_version()
            self.assertEqual(service.first_version.done(), resolved, failed_attempts)
        self.assertEqual(service.first_version.result().number, 1)


class WithdrawnPermitTests(unittest.IsolatedAsyncioTestCase):
    """A closing is acknowledged only once the cached permit is gone from the disk.

    Guards against a scheduler that closed for a change, is cut off and restarted, and accepts requests under
    the version that the fleet has left, by the permit in its folder.
    """

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        policy_settings = SimpleNamespace(directory=folder.name, away_ms=1e4, members={}, lease_ms=2e3)
        self.service = PolicyService("a", policy_settings, settings(), BufferPool(), 1)
        self.cache, self.follower = self.service.cache, self.service.follower
        self.cache.store_version(PolicyVersion(1, policy_digest("{}"), "{}"))
        self.cache.store_permit(1, clock_ms() + 60_000.0)

    def apply_change(self, state: str) -> int:
        """Gives the service a copy of the document with a change in this state; returns its revision."""
        document = self.follower.document
        writes = {CHANGE_KEY: encode_value(PolicyChange("change-1", state, 1e4))}
        if document.revision == 0:
            version = PolicyVersion(1, policy_digest("{}"), "{}")
            writes |= {CURRENT_KEY: encode_value(version), PROPOSED_KEY: encode_value(version)}
        self.follower.document = document.apply(Transaction(f"t{document.revision}", writes, {}))
        self.service._handle_document_change(self.follower.document)
        return self.follower.document.revision

    def acknowledged(self) -> int:
        return self.follower.acknowledgeable(self.follower.document.revision)

    async def wait_until_acknowledged(self, revision: int) -> None:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while self.acknowledged() < revision:
                await asyncio.sleep(0.001)

    async def test_closing_is_acknowledged_once_the_permit_is_withdrawn(self) -> None:
        asking = self.apply_change("asking")
        self.assertEqual(self.acknowledged(), asking)
        closing = self.apply_change("closing")
        self.assertEqual(self.acknowledged(), closing - 1)
        await self.wait_until_acknowledged(closing)
        self.assertIsNone(self.cache.load_permit())
        self.assertFalse(self.service.cache_writer.store(PolicyVersion(1), clock_ms()))
        # A change that has returned to asking lets the permit be stored again; the next closing withdraws it.
        self.assertEqual(self.acknowledged(), closing)
        self.apply_change("asking")
        self.cache.store_permit(1, clock_ms() + 60_000.0)
        closing = self.apply_change("closing")
        self.assertEqual(self.acknowledged(), closing - 1)
        await self.wait_until_acknowledged(closing)
        self.assertIsNone(self.cache.load_permit())

    async def test_permit_that_is_being_stored_as_the_change_closes(self) -> None:
        self.apply_change("asking")
        gate, store_permit = threading.Event(), self.cache.store_permit

        def store_late(*arguments) -> None:
            gate.wait(WAIT_TIMEOUT_S)
            store_permit(*arguments)

        with mock.patch.object(self.cache, "store_permit", store_late):
            version = PolicyVersion(1, policy_digest("{}"), "{}")
            self.assertTrue(self.service.cache_writer.store(version, clock_ms() + 60_000.0))
            closing = self.apply_change("closing")
            await asyncio.sleep(0.05)
            self.assertEqual(self.acknowledged(), closing - 1)
            gate.set()
            await self.wait_until_acknowledged(closing)
        self.assertIsNone(self.cache.load_permit())

    async def test_closing_is_not_acknowledged_while_the_disk_fails(self) -> None:
        self.apply_change("asking")
        with mock.patch.object(self.cache, "remove_permit", side_effect=OSError(5, "I/O error")):
            closing = self.apply_change("closing")
            await asyncio.sleep(0.05)
            self.assertEqual(self.acknowledged(), closing - 1)
        self.service.cache_writer.withdraw_if_due()  # by the service's timer
        await self.wait_until_acknowledged(closing)
        self.assertIsNone(self.cache.load_permit())


class QueuedRequestTests(unittest.IsolatedAsyncioTestCase):
    """Requests that are queued during a change and resubmitted to the request manager's mailbox."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        policy_settings = SimpleNamespace(directory=folder.name, away_ms=1e4, members={}, lease_ms=2e3)
        self.service = PolicyService("a", policy_settings, settings(), BufferPool(), 1)
        self.request_manager = RequestManager(settings(), 1, Clock())
        self.request_manager.policy_admission, self.service.request_manager = (
            self.service,
            self.request_manager,
        )
        self.action = "hold"
        self.service.participant = SimpleNamespace(
            decide_admission=lambda now: SimpleNamespace(action=self.action, version=0), policy=PolicyState()
        )

    def answer(self, envelope: JobRequest, answer: FinalAnswer) -> None:
        raise AssertionError("answered a request whose client has disconnected")

    async def wait_until_idle(self) -> None:
        while self.request_manager.is_scheduled or self.request_manager.mailbox:
            await asyncio.sleep(0)

    async def run_while_queued(self, *actions) -> None:
        """Runs all actions in one event loop iteration; the queued request must have been dropped then."""
        self.request_manager.post(RequestSubmitted(JobRequest("job-1", "look", 5e3), self))
        await self.wait_until_idle()
        self.assertEqual(len(self.service.admission_queue.waiting), 1)
        self.action = "take"
        for action in actions:
            action()
        await self.wait_until_idle()
        self.assertNotIn("taken", self.request_manager.counters)
        queue = self.service.admission_queue
        self.assertEqual((queue.waiting, queue.resubmitted), ([], {}))

    async def test_a_client_disconnects_while_its_request_is_queued(self) -> None:
        await self.run_while_queued(lambda: self.request_manager.post(ClientDisconnected("job-1", self)))
        self.service._release_queued()
        await self.wait_until_idle()
        self.assertNotIn("taken", self.request_manager.counters)

    async def test_a_request_that_cannot_be_accepted_after_its_wait_is_not_queued_anew(self) -> None:
        """Guards against a wait that is renewed each time that the policy closes again."""
        answers, now_ms = [], clock_ms()
        client = SimpleNamespace(answer=lambda _, answer: answers.append(answer.kind))
        with mock.patch("spanwing.policy.service.clock_ms", lambda: now_ms):
            self.request_manager.post(RequestSubmitted(JobRequest("job-1", "look", 5e3), client))
            await self.wait_until_idle()
            for _ in range(20):
                now_ms += 20.0
                self.action = "take"
                self.service._release_queued()
                self.action = "hold"  # the policy closes before the request manager handles its mailbox
                await self.wait_until_idle()
                self.service._release_queued()
        self.assertEqual(answers, ["refused"])

    async def test_a_disconnect_is_ahead_of_the_resubmitted_request_in_the_mailbox(self) -> None:
        await self.run_while_queued(
            lambda: self.request_manager.post(ClientDisconnected("job-1", self)), self.service._release_queued
        )


class ModelTests(unittest.TestCase):
    """The model's checks find each planted bug, and report nothing without one."""

    def permit_without_registration(self, bug: str) -> None:
        world = initial_world(bug, new=True)
        world.apply_step(("start", 2))
        renew(world, (2,))
        world.apply_step(("take_over", 1))  # a leader without a session of this scheduler
        run_change(world, (0, 1))

    def later_incarnation_of_a_removed_scheduler(self, bug: str) -> None:
        world = World(bug)
        run_without_faults(world, 3)
        world.apply_step(("kill", 2))
        world.propose(["s2"])
        world.apply_step(("start", 2))
        renew(world, (2,))
        world.apply_step(("decide", 0))
        renew(world, (2,))
        run_change(world, (0, 1))

    def test_scenarios(self) -> None:
        for bug, run_scenario in (
            ("no-register", self.permit_without_registration),
            ("gone-name", self.later_incarnation_of_a_removed_scheduler),
        ):
            with self.subTest(bug):
                run_scenario("")
                with self.assertRaisesRegex(AssertionError, "after a job could be taken under 2"):
                    run_scenario(bug)

    def test_random_walks(self) -> None:
        for seed in range(150):
            self.assertEqual(policymodel.random_walk("", seed, 120)[0], "")
        for bug in ("ready-twice", "start", "stopped"):
            with self.subTest(bug):
                self.assertTrue(any(policymodel.random_walk(bug, seed, 120)[0] for seed in range(600)))

    def test_all_interleavings_to_a_depth(self) -> None:
        for new in (False, True):
            states, depth, error = policymodel.explore("", 4, 10**6, new)
            self.assertEqual((depth, error), (4, ""))
            self.assertGreater(states, 1000)


if __name__ == "__main__":
    unittest.main()
