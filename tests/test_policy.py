"""The deciders of a change of policy: directed, at random, and all interleavings to a depth."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from types import SimpleNamespace

from conftest import settings

from measure import policymodel
from measure.policymodel import World, begun, calm
from spanwing.core.clock import Clock
from spanwing.core.messages import ClientDisconnected, FinalAnswer, JobRequest, RequestSubmitted
from spanwing.core.request_manager import RequestManager
from spanwing.net.buffers import BufferPool
from spanwing.policy.coordinator import PolicyVote
from spanwing.policy.participant import MAX_ADMISSION_WAIT_MS
from spanwing.policy.records import CHANGE_KEY, MAX_POLICY_BYTES, PolicyVersion, policy_digest, read_policy
from spanwing.policy.service import PolicyService
from spanwing.store.document import Document, Transaction
from spanwing.store.lease import clock_ms


def rounds(world: World, who: tuple[int, ...], count: int = 1) -> None:
    """These renew and hear, without a fault."""
    for _ in range(count):
        for place in who:
            world.do(("renew", place))
            world.do(("come", place))
        world.do(("read", world.keeps()))
        for place in who:
            world.do(("hear", place))


def turn(world: World, who: tuple[int, ...]) -> None:
    """The whole of a change among these, the others being silent."""
    rounds(world, who, 2)
    world.do(("decide", world.keeps()))  # closing
    rounds(world, who, 2)
    world.do(("decide", world.keeps()))  # decided
    rounds(world, who)


class Changes(unittest.TestCase):
    def test_all_take_jobs_under_the_new_version(self) -> None:
        world = begun("")
        turn(world, (0, 1, 2))
        self.assertEqual(world.can_take(), {"s0": 2, "s1": 2, "s2": 2})
        past = read_policy(world.document).history[-1]
        self.assertEqual((past.number, past.taken), (2, True))

    def test_one_no_ends_it_and_names_who(self) -> None:
        world = begun("")
        world.schedulers[1].hand.find_objection = lambda text: "class look has open jobs"
        rounds(world, (0, 1, 2), 2)
        world.do(("decide", 0))
        policy = read_policy(world.document)
        self.assertEqual((policy.change, policy.now.number), (None, 1))
        self.assertEqual(policy.history[-1].reason, "s1 no: class look has open jobs")
        calm(world, 2)
        self.assertEqual(set(world.can_take().values()), {1})

    def test_one_that_is_cut_off_holds_it_up_until_its_permit_has_lapsed(self) -> None:
        world = begun("")
        turn(world, (0, 1))
        self.assertEqual(set(world.can_take().values()), {1})
        self.assertIn(
            "s2", world.members[0].chair.blocking_schedulers(world.now, world.document, world.members[0])
        )
        for _ in range(3):
            world.do(("tick", 0))
            rounds(world, (0, 1))
        turn(world, (0, 1))
        self.assertEqual(world.can_take(), {"s0": 2, "s1": 2})
        calm(world, 3)
        self.assertEqual(world.can_take()["s2"], 2)

    def test_not_in_time_names_whom_it_waited_for(self) -> None:
        world = begun("")
        world.do(("decide", 0))
        for _ in range(5):
            world.do(("tick", 0))
            rounds(world, (0, 1))
            world.schedulers[2].lease.renewals_sent.clear()
            world.do(("renew", 2))
            world.do(("come", 2))
            world.do(("read", 0))  # it renews, and never hears
            world.do(("lose", 2))
            world.do(("decide", 0))
        world.do(("decide", 0))
        policy = read_policy(world.document)
        self.assertEqual((policy.change, policy.now.number), (None, 1))
        self.assertIn("s2 has not answered", policy.history[-1].reason)

    def test_who_closed_and_hears_no_more_holds_and_then_refuses(self) -> None:
        world = begun("")
        rounds(world, (0, 1, 2), 2)
        world.do(("decide", 0))
        rounds(world, (0, 1, 2))
        hand, now = world.schedulers[0].hand, world.now
        self.assertEqual(
            [
                hand.decide_admission(now + wait).action
                for wait in (0.0, MAX_ADMISSION_WAIT_MS - 1, MAX_ADMISSION_WAIT_MS)
            ],
            ["hold", "hold", "refuse"],
        )

    def test_closing_goes_back_before_jobs_wait_for_long(self) -> None:
        world = begun("")
        rounds(world, (0, 1, 2), 2)
        world.do(("decide", 0))
        self.assertEqual(read_policy(world.document).change.state, "closing")
        world.do(("decide", 0))  # it sees its own change
        world.do(("tick", 0))
        world.do(("decide", 0))
        self.assertEqual(
            (read_policy(world.document).change.state, read_policy(world.document).change.revert_count),
            ("asking", 1),
        )

    def test_proposals_that_cannot_stand_are_refused(self) -> None:
        world = begun("")
        chair, document = world.members[0].chair, world.document
        with self.assertRaisesRegex(ValueError, "version 2 by o is under way"):
            chair.propose(document, "x", 1, "p", "", 1000.0, [])
        done = document.apply(chair.abort(document, "p"))
        self.assertEqual(read_policy(done).history[-1].reason, "given up by p")
        for text, base, gone, why in (
            ("x", 0, [], "based on version 0, but version 1"),
            ("x" * (MAX_POLICY_BYTES + 1), 1, [], "bytes"),
            ("x", 1, ["mars"], "is not a known scheduler"),
        ):
            with self.assertRaisesRegex(ValueError, why):
                chair.propose(done, text, base, "p", "", 1000.0, gone)
        with self.assertRaisesRegex(ValueError, "no change"):
            chair.abort(done, "p")

    def test_what_cannot_be_read_closes(self) -> None:
        world = begun("")
        document = world.document.apply(Transaction("x", {CHANGE_KEY: '{"state": "of a newer program"}'}))
        hand = world.schedulers[0].hand
        hand.update_policy(world.now, read_policy(document))
        self.assertEqual(hand.decide_admission(world.now).action, "refuse")
        self.assertIsNone(world.members[0].chair.decide_next_change(world.now, document, world.members[0]))

    def test_names_beyond_the_bounds_are_not_registered(self) -> None:
        world = begun("")
        chair, member = world.members[0].chair, world.members[0]
        for session in ("x" * 60 + ".1", ".1"):
            member.sessions[session] = policymodel.Session(world.now, 0)
            chair.record_vote(session, PolicyVote(True))
        chair.decide_next_change(world.now, world.document, member)
        self.assertEqual(set(read_policy(world.document).register), {"s0", "s1", "s2"})
        self.assertFalse(chair.may_hold_permit("s0.9", world.document))
        self.assertFalse(chair.may_hold_permit("s0.0", Document()))


class CachedPermit(unittest.IsolatedAsyncioTestCase):
    """A start with a permit of an earlier incarnation, which an operator may have declared gone."""

    async def test_it_is_not_used_before_the_store_was_asked(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        wanted = SimpleNamespace(directory=folder.name, away_ms=1e4, members={}, lease_ms=2e3)
        earlier = PolicyService("a", wanted, settings(), BufferPool(), 1)
        earlier.cache.store_version(PolicyVersion(1, policy_digest("{}"), "{}"))
        earlier.cache.store_permit(1, clock_ms() + 60_000.0)
        earlier.cache.lock_file.close()
        wanted.members = {"m1": None, "m2": None}
        service = PolicyService("a", wanted, settings(), BufferPool(), 1)
        self.assertEqual(service.participant.decide_admission(clock_ms()).action, "take")
        for failed, resolved in ((0, False), (1, False), (2, True)):
            service.follower.failed_attempts = failed
            service._resolve_first_version()
            self.assertEqual(service.first_version.done(), resolved, failed)
        self.assertEqual(service.first_version.result().number, 1)


class Waiting(unittest.IsolatedAsyncioTestCase):
    """Jobs that wait for a change, in the core's own mailbox."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        wanted = SimpleNamespace(directory=folder.name, away_ms=1e4, members={}, lease_ms=2e3)
        self.side = PolicyService("a", wanted, settings(), BufferPool(), 1)
        self.core = RequestManager(settings(), 1, Clock())
        self.core.policy_admission, self.side.request_manager = self.side, self.core
        self.does = "wait"
        self.side.participant = SimpleNamespace(
            decide_admission=lambda now: SimpleNamespace(action=self.does, version=0)
        )

    def answer(self, envelope: JobRequest, answer: FinalAnswer) -> None:
        raise AssertionError("its client has gone")

    async def settled(self) -> None:
        while self.core.is_scheduled or self.core.mailbox:
            await asyncio.sleep(0)

    async def leaves(self, *turns) -> None:
        """It was handed in, and waits; then all of this comes in one turn of the loop."""
        self.core.post(RequestSubmitted(JobRequest("job-1", "look", 5e3), self))
        await self.settled()
        self.assertEqual(len(self.side.queued_requests), 1)
        self.does = "take"
        for each in turns:
            each()
        await self.settled()
        self.assertNotIn("taken", self.core.counters)
        self.assertEqual(
            (len(self.side.queued_requests), self.side.resubmitted_requests, self.side.abandoned_requests),
            (0, [], []),
        )

    async def test_a_client_that_leaves_while_its_job_waits(self) -> None:
        await self.leaves(lambda: self.core.post(ClientDisconnected("job-1", self)))
        self.side._release_queued()
        await self.settled()
        self.assertNotIn("taken", self.core.counters)

    async def test_one_whose_leaving_lies_ahead_of_its_job_in_the_mailbox(self) -> None:
        await self.leaves(
            lambda: self.core.post(ClientDisconnected("job-1", self)), self.side._release_queued
        )


class Model(unittest.TestCase):
    """The checks find deliberate bugs, and nothing without one."""

    def no_register(self, bug: str) -> None:
        world = begun(bug, new=True)
        world.do(("start", 2))
        rounds(world, (2,))
        world.do(("take_over", 1))  # which knows nothing of it
        turn(world, (0, 1))

    def gone_name(self, bug: str) -> None:
        world = World(bug)
        calm(world, 3)
        world.do(("kill", 2))
        world.propose(["s2"])
        world.do(("start", 2))
        rounds(world, (2,))
        world.do(("decide", 0))
        rounds(world, (2,))
        turn(world, (0, 1))

    def test_directed(self) -> None:
        for bug, play in (("no-register", self.no_register), ("gone-name", self.gone_name)):
            with self.subTest(bug):
                play("")
                with self.assertRaisesRegex(AssertionError, "after a job could be taken under 2"):
                    play(bug)

    def test_at_random(self) -> None:
        for seed in range(150):
            self.assertEqual(policymodel.walk("", seed, 120)[0], "")
        for bug in ("ready-twice", "start", "stopped"):
            with self.subTest(bug):
                self.assertTrue(any(policymodel.walk(bug, seed, 120)[0] for seed in range(600)))

    def test_all_interleavings_to_a_depth(self) -> None:
        for new in (False, True):
            states, depth, wrong = policymodel.explore("", 4, 10**6, new)
            self.assertEqual((depth, wrong), (4, ""))
            self.assertGreater(states, 1000)


if __name__ == "__main__":
    unittest.main()
