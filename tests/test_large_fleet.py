"""Fleets of thousands of workers with real scheduler processes, judged by the oracle of the soak."""

from __future__ import annotations

import asyncio

from fleet_case import FleetTestCase

from measure.soak.fleet import Fleet, FleetPlan
from measure.soak.oracle import judge

MAX_FLEET_WORKERS = 3200  # the largest fleet that the platform allows
LAG_S = 0.8  # allows for other tests on the machine
RATE_PER_S = 40.0


class Drains(FleetTestCase):
    """A worker drains, in a change or after a list larger than the 64 KiB limit on a job's body."""

    async def run_drain(self, listed: int, joining: int) -> None:
        """Drains worker w0 in a change of a list of so many workers, with so many workers joining in it."""
        fleet = Fleet(FleetPlan(rate_per_s=RATE_PER_S, placeholder_workers=listed), seed=1)
        try:
            await fleet.start()
            await asyncio.sleep(1.5)
            fleet.discovery.add_placeholders(joining, "leaving")
            fleet.discovery.change(["w0"], "leaving")
            message_count = len(fleet.records.messages)
            await asyncio.sleep(5.0)
            messages_after_drain = fleet.records.messages[message_count:]
        finally:
            await fleet.stop()
        # The scheduler keeps serving.
        self.assertGreater(sum(each.worker == "w1" for each in messages_after_drain), 40)
        violations = judge(fleet.records, fleet.rules._replace(lag_s=LAG_S))
        self.assertEqual([str(each) for each in violations[:5]], [])

    async def test_a_change_over_64_kib_is_applied_and_its_draining_worker_gets_no_more_jobs(self) -> None:
        await self.run_drain(listed=0, joining=MAX_FLEET_WORKERS)

    async def test_a_scheduler_serves_with_an_initial_list_over_64_kib(self) -> None:
        await self.run_drain(listed=MAX_FLEET_WORKERS, joining=0)
