"""Fleets of thousands of workers, with real scheduler processes: what the soak's oracle sees."""

from __future__ import annotations

import asyncio
import unittest

from measure.soak.fleet import Fleet, FleetPlan
from measure.soak.oracle import judge

MANY = 3200  # the most job workers of a fleet, STANDING.md
LAG_S = 0.8  # other tests take processor time
RATE_PER_S = 40.0


class Drains(unittest.IsolatedAsyncioTestCase):
    """A worker drains in a change of the list that is larger than a request's body may be."""

    async def play(self, before: int, joins: int) -> None:
        """The list has so many workers before the change, and so many join in it."""
        fleet = Fleet(FleetPlan(rate_per_s=RATE_PER_S, unlinked_workers=before), seed=1)
        try:
            await fleet.start()
            await asyncio.sleep(1.5)
            fleet.discovery.add_unlinked(joins, "leaving")
            fleet.discovery.change(["w0"], "leaving")
            changed = len(fleet.records.messages)
            await asyncio.sleep(5.0)
            sent = fleet.records.messages[changed:]
        finally:
            await fleet.stop()
        self.assertGreater(sum(each.worker == "w1" for each in sent), 40)  # it goes on serving
        violations = judge(fleet.records, fleet.rules._replace(lag_s=LAG_S))
        self.assertEqual([str(each) for each in violations[:5]], [])

    async def test_a_change_over_64_kib_is_taken_and_its_worker_gets_nothing_more(self) -> None:
        await self.play(before=0, joins=MANY)

    async def test_a_scheduler_serves_by_a_first_list_over_64_kib(self) -> None:
        await self.play(before=MANY, joins=0)
