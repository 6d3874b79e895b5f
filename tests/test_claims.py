"""Claims on requests that must not run twice, while the store has no majority and after it has one again."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from collections.abc import Callable
from unittest import mock

import msgspec

from spanwing.store import claims
from spanwing.store.acceptor import Acceptor
from spanwing.store.claims import Claim, Claims
from spanwing.store.disk import RegisterLog
from spanwing.store.store import NoQuorumError, Store

JID = "job-00001"


class StoreStandIn:
    """A store that has no majority while the test says so."""

    def __init__(self) -> None:
        self.registers: dict[str, str | None] = {}
        self.has_majority, self.change_count = True, 0
        self.applies_without_majority = False  # some members accept a change that no majority confirms

    async def change(self, key: str, update: Callable[[str | None], str | None]) -> str | None:
        await asyncio.sleep(0)
        self.change_count += 1
        if self.applies_without_majority and not self.has_majority:
            self.registers[key] = update(self.registers.get(key))
        if not self.has_majority:
            raise NoQuorumError("1 of 3 members answered, 2 are needed")
        self.registers[key] = update(self.registers.get(key))
        return self.registers[key]

    def state(self, jid: str = JID) -> str:
        return msgspec.json.decode(self.registers[f"claim/{jid}"], type=Claim).state


class SettlementTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.store = StoreStandIn()
        self.claims = Claims(self.store)
        for name, value in (("MIN_RETRY_BACKOFF_S", 0.001), ("MAX_RETRY_BACKOFF_S", 0.004)):
            patch = mock.patch.object(claims, name, value)
            patch.start()
            self.addCleanup(patch.stop)

    async def settle_without_majority(self, state: str, jid: str = JID) -> None:
        is_new, claim = await self.claims.claim(jid)
        self.assertTrue(is_new)
        self.store.has_majority = False
        with self.assertLogs("spanwing", "WARNING"):
            await self.claims.settle(jid, claim, state)
        self.store.has_majority = True

    async def wait_until_settled(self) -> None:
        async with asyncio.timeout(10):
            while self.claims.settling_claims:
                await asyncio.sleep(0.001)

    async def test_outcome_is_written_again_until_a_majority_confirms_it(self) -> None:
        """Guards against a claim that outlives its refusal, so that the job never runs again."""
        await self.settle_without_majority("refused")
        await self.wait_until_settled()
        self.assertEqual(self.store.state(), "refused")

    async def test_refused_job_can_be_claimed_before_a_majority_has_its_outcome(self) -> None:
        await self.settle_without_majority("refused")
        is_new, claim = await self.claims.claim(JID)
        self.assertTrue(is_new)
        await self.wait_until_settled()
        self.assertEqual(self.store.state(), "claimed")  # the earlier outcome does not end the later claim
        await self.claims.settle(JID, claim, "served")
        self.assertEqual((self.store.state(), self.claims.settling_claims), ("served", {}))

    async def test_job_that_may_have_run_is_not_claimed_again(self) -> None:
        for state in ("served", "failed"):
            jid = f"job-{state}"
            await self.settle_without_majority(state, jid)
            is_new, claim = await self.claims.claim(jid)
            self.assertEqual((is_new, claim.state), (False, state))
            await self.wait_until_settled()
            self.assertEqual(self.store.state(jid), state)

    async def test_retries_of_many_outcomes_ask_a_store_without_a_majority_once_each_time(self) -> None:
        """Guards against a crowd of retries that delays new claims."""
        jids = [f"job-{number:05}" for number in range(200)]
        pairs = [(jid, (await self.claims.claim(jid))[1]) for jid in jids]
        self.store.has_majority = False
        with self.assertLogs("spanwing", "WARNING"):
            await asyncio.gather(*(self.claims.settle(jid, claim, "refused") for jid, claim in pairs))
        before = self.store.change_count
        await asyncio.sleep(0.1)
        self.assertLess(self.store.change_count - before, 100)
        self.store.has_majority = True
        await self.wait_until_settled()
        self.assertEqual({self.store.state(jid) for jid, _ in pairs}, {"refused"})

    async def test_claim_that_no_majority_has_confirmed_is_free_for_other_members(self) -> None:
        """Guards against a jid that is answered -BUSY, and -REPEATED for good at any other member."""
        self.store.applies_without_majority, self.store.has_majority = True, False
        with self.assertRaises(NoQuorumError):
            await self.claims.claim(JID)
        self.assertEqual(self.store.state(), "claimed")
        self.store.has_majority = True
        await self.wait_until_settled()
        is_new, _ = await Claims(self.store).claim(JID)
        self.assertTrue(is_new)

    async def test_claim_after_unconfirmed_ones_is_not_ended_with_them(self) -> None:
        self.store.applies_without_majority, self.store.has_majority = True, False
        for _ in range(2):
            with self.assertRaises(NoQuorumError):
                await self.claims.claim(JID)
        self.store.has_majority = True
        is_new, claim = await self.claims.claim(JID)
        self.assertTrue(is_new)
        await self.wait_until_settled()
        self.assertEqual(self.store.state(), "claimed")
        self.assertEqual(await Claims(self.store).claim(JID), (False, claim))

    async def test_failed_claim_does_not_replace_an_outcome_that_is_not_confirmed(self) -> None:
        await self.settle_without_majority("served")
        self.store.has_majority = False
        with self.assertRaises(NoQuorumError):
            await self.claims.claim(JID)
        self.store.has_majority = True
        await self.wait_until_settled()
        self.assertEqual(self.store.state(), "served")

    async def test_new_claims_do_not_wait_for_outcomes_that_are_left(self) -> None:
        """Guards against new work that starves after the store had no majority, with 200 claims unsettled."""
        jids = [f"job-{number:05}" for number in range(200)]
        pairs = [(jid, (await self.claims.claim(jid))[1]) for jid in jids]
        self.store.has_majority = False
        with self.assertLogs("spanwing", "WARNING"):
            await asyncio.gather(*(self.claims.settle(jid, claim, "served") for jid, claim in pairs))
        self.store.has_majority = True
        async with asyncio.timeout(10):
            while len(self.claims.settling_claims) == len(jids):
                await asyncio.sleep(0)
        for number in range(20):
            before = len(self.claims.settling_claims)
            is_new, _ = await self.claims.claim(f"new-{number:05}")
            self.assertTrue(is_new)
            # One claim takes one change of the store, in which one outcome is written.
            self.assertLessEqual(before - len(self.claims.settling_claims), 2)
        await self.wait_until_settled()
        self.assertEqual({self.store.state(jid) for jid in jids}, {"served"})

    async def test_number_of_unconfirmed_claims_is_bounded(self) -> None:
        """Guards against memory that grows with each PUSH while the store has no majority."""
        self.store.has_majority = False
        with mock.patch.multiple(claims, MAX_SETTLING_CLAIMS=3, MAX_UNCONFIRMED_CLAIMS=2):
            for number in range(15):
                with self.assertRaises(NoQuorumError):
                    await self.claims.claim(f"job-{number % 5:05}")
            for _ in range(3):
                with self.assertRaises(NoQuorumError):
                    await self.claims.claim(JID)
            self.assertEqual(len(self.claims.settling_claims), 3)
            self.assertEqual(len(self.claims.settling_claims[JID].tokens), 2)
        self.store.has_majority = True
        await self.wait_until_settled()

    async def test_number_of_outcomes_that_are_left_is_bounded(self) -> None:
        with mock.patch.object(claims, "MAX_SETTLING_CLAIMS", 3):
            for number in range(5):
                self.claims.settle(f"job-{number:05}", Claim("token", "claimed"), "refused").close()
        self.assertEqual(list(self.claims.settling_claims), ["job-00002", "job-00003", "job-00004"])


class FailingDiskTests(unittest.IsolatedAsyncioTestCase):
    async def test_push_while_the_log_of_this_member_cannot_be_written(self) -> None:
        """Guards against a PUSH that gets no answer, and an outcome that is forgotten, as a disk fails."""
        with tempfile.TemporaryDirectory() as folder:
            log = RegisterLog(folder)
            claims = Claims(Store("a", Acceptor(log), [], 1))
            with (
                mock.patch.object(log, "save", side_effect=OSError(28, "No space left on device")),
                self.assertRaisesRegex(NoQuorumError, "No space left on device"),
            ):
                await claims.claim(JID)
            is_new, claim = await claims.claim(JID)  # nothing was sent under the first claim
            self.assertTrue(is_new)
            with (
                mock.patch.object(log, "save", side_effect=OSError(5, "Input/output error")),
                self.assertLogs("spanwing", "WARNING"),
            ):
                await claims.settle(JID, claim, "served")
            async with asyncio.timeout(10):
                while claims.settling_claims:
                    await asyncio.sleep(0.001)
            self.assertEqual((await claims.claim(JID))[1].state, "served")


if __name__ == "__main__":
    unittest.main()
