"""The machine's wall clock is stepped while schedulers serve: no rule is broken, and service goes on."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from measure.soak.fault_proxy import LinkState
from measure.soak.fleet import Fleet, FleetPlan
from measure.soak.oracle import judge
from spanwing.net.monotonic_loop import MonotonicLoop

LAG_S = 0.8  # other tests take processor time
STEP_AT_S = 3.0


class Steps(unittest.IsolatedAsyncioTestCase):
    async def play(self, by_s: float, is_silent: bool) -> None:
        """Steps the clock, and begins a drain after it of which a silent discovery tells nothing."""
        command = ("-m", "measure.soak.shimmed", f"step:{STEP_AT_S}:{by_s}")
        fleet = Fleet(FleetPlan(rate_per_s=40.0, command=command), seed=1)
        try:
            await fleet.start()
            stepped_s = fleet.records.starts[0][1] + STEP_AT_S
            await asyncio.sleep(STEP_AT_S + 2.5)
            fleet.discovery.links["n0"].set_state(LinkState(holds_answers=is_silent))
            fleet.workers["w0"].drains = True
            fleet.discovery.change(["w0"], "leaving")
            await asyncio.sleep(11.0 if is_silent else 3.5)
        finally:
            await fleet.stop()
        violations = judge(fleet.records, fleet.rules._replace(lag_s=LAG_S))
        self.assertEqual([str(each) for each in violations[:5]], [])
        self.assertEqual(fleet.logs["n0"].count("rule_violated"), 0)
        served = [
            each.status == 200 for each in fleet.records.requests if stepped_s < each.sent_s < stepped_s + 2.0
        ]
        self.assertGreater(len(served), 10)
        self.assertGreater(sum(served), 0.8 * len(served))

    async def play_all(self, is_silent: bool) -> None:
        steps = (0.5, -0.5, 3600.0, -3600.0)
        await asyncio.gather(*(self.play(by_s, is_silent) for by_s in steps))

    async def test_service_goes_on_after_steps_by_half_a_second_and_by_an_hour(self) -> None:
        await self.play_all(is_silent=False)

    async def test_a_list_that_is_not_confirmed_grows_stale_whatever_the_wall_clock_says(self) -> None:
        await self.play_all(is_silent=True)


class Loop(unittest.IsolatedAsyncioTestCase):
    async def test_its_time_is_not_the_wall_clock(self) -> None:
        loop = MonotonicLoop()
        began_s = loop.time()
        with mock.patch("time.time", return_value=0.0):
            self.assertLess(abs(loop.time() - began_s), 5.0)


if __name__ == "__main__":
    unittest.main()
