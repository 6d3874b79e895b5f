"""The stand-in balancer of measurements and tests ends its checks when it is stopped."""

from __future__ import annotations

import asyncio
import unittest

from measure.balancers import PROTOCOLS, Backend, CheckResult


class StoppedCheckTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_cancellation_that_meets_the_end_of_a_check_ends_the_checks(self) -> None:
        """A drain test did not end: the cancellation was lost and the checks went on."""
        for turns in range(6):
            is_answered = asyncio.Event()

            async def check(_: object, is_answered: asyncio.Event = is_answered) -> CheckResult:
                await is_answered.wait()
                return CheckResult()

            protocol = PROTOCOLS["agent-check"]._replace(check=check, interval_s=10.0)
            task = asyncio.ensure_future(Backend("b", ("", 0), ("", 0), protocol).run_checks())
            await asyncio.sleep(0.01)
            is_answered.set()
            for _ in range(turns):
                await asyncio.sleep(0)
            task.cancel()
            await asyncio.wait([task], timeout=0.5)
            is_done = task.done()
            task.cancel()
            self.assertTrue(is_done, f"cancelled {turns} turns after the answer")
