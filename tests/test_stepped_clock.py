"""Steps of the wall clock under running schedulers neither violate a rule nor interrupt service."""

from __future__ import annotations

import asyncio
import time
import unittest
from unittest import mock

from fleet_case import FleetTestCase

from measure.soak.fault_proxy import LinkState
from measure.soak.fleet import Fleet, FleetPlan
from measure.soak.oracle import judge
from spanwing.net.monotonic_loop import MonotonicLoop

LAG_S = 0.8  # allows for other tests on the machine
STEP_AT_S = 3.0


class ClockSteps(FleetTestCase):
    async def run_step(self, step_s: float, is_silent: bool) -> None:
        """Steps the clock, then drains a worker; with is_silent, discovery's answers are withheld."""
        command = ("-m", "measure.soak.syscall_shim", f"step:{STEP_AT_S}:{step_s}")
        fleet = Fleet(FleetPlan(rate_per_s=40.0, command=command), seed=1)
        try:
            await fleet.start()
            started_s = time.monotonic()
            stepped_s = fleet.records.scheduler_starts[0][1] + STEP_AT_S
            await asyncio.sleep(STEP_AT_S + 2.5)
            fleet.discovery.links["n0"].set_state(LinkState(holds_answers=is_silent))
            fleet.workers["w0"].is_draining = True
            fleet.discovery.change(["w0"], "leaving")
            await asyncio.sleep(11.0 if is_silent else 3.5)
        finally:
            await fleet.stop()
        violations = judge(fleet.records, fleet.rules._replace(lag_s=LAG_S))
        self.assertEqual([str(each) for each in violations[:5]], [])
        self.assertEqual(fleet.logs["n0"].count("rule_violated"), 0)
        sent = [each for each in fleet.records.requests if stepped_s < each.sent_s < stepped_s + 2.0]
        served = [each.status == 200 for each in sent]
        # Tells a fault of the schedulers from stand-ins that were slow, or a start that took long.
        described = (
            f"start {started_s - stepped_s + STEP_AT_S:.2f} s, stall {fleet.longest_stall_s:.2f} s, "
            f"sent, status: {[(round(each.sent_s - stepped_s, 3), each.status) for each in sent]}"
        )
        self.assertGreater(len(served), 10, described)
        self.assertGreater(sum(served), 0.8 * len(served), described)

    async def run_all_steps(self, is_silent: bool) -> None:
        steps = (0.5, -0.5, 3600.0, -3600.0)
        await asyncio.gather(*(self.run_step(step_s, is_silent) for step_s in steps))

    async def test_service_continues_after_steps_of_half_a_second_and_an_hour(self) -> None:
        await self.run_all_steps(is_silent=False)

    async def test_an_unconfirmed_list_goes_stale_despite_clock_steps(self) -> None:
        await self.run_all_steps(is_silent=True)


class LoopTime(unittest.IsolatedAsyncioTestCase):
    async def test_the_time_is_independent_of_the_wall_clock(self) -> None:
        loop = MonotonicLoop()
        began_s = loop.time()
        with mock.patch("time.time", return_value=0.0):
            self.assertLess(abs(loop.time() - began_s), 5.0)


if __name__ == "__main__":
    unittest.main()
