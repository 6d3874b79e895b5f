"""Rules under faults, with real processes: what the soak's oracle sees of single, forced faults."""

from __future__ import annotations

import asyncio
import time
import unittest

from measure.soak.fault_proxy import LinkState
from measure.soak.fleet import Fleet, FleetPlan
from measure.soak.oracle import Violation, judge
from measure.soak.random_plan import draw_more_faults, draw_plan
from measure.soak.records import Outage
from measure.soak.run import SoakRun
from measure.soak.stand_ins import AnswerFault

LAG_S = 0.8  # other tests take processor time; the versions that broke sent for 2 s and more beyond the grace


class UnfinishedLists(unittest.TestCase):
    """The list that says that a worker is gone does not arrive whole; the worker goes on listening."""

    async def play(self, faults: list[tuple[AnswerFault, float]], quiet_s: float) -> list[Violation]:
        """Removes a worker while the next answers of discovery have these faults."""
        fleet = Fleet(FleetPlan(rate_per_s=60.0), seed=1)
        try:
            await fleet.start()
            await asyncio.sleep(quiet_s)
            fleet.discovery.faults["n0"] = list(faults)
            fleet.discovery.change(["w0"], "left")
            await asyncio.sleep(14.0)
        finally:
            await fleet.stop()
        self.assertTrue(any(each.worker == "w1" for each in fleet.records.messages))
        return judge(fleet.records, fleet.rules._replace(lag_s=LAG_S))

    async def play_all(self) -> dict[str, list[Violation]]:
        cases = {
            "stalled in its body": ([(AnswerFault.STALL, 0.95)], 1.5),
            "stalled in its head": ([(AnswerFault.STALL, 0.05)], 1.5),
            "stalled twice": ([(AnswerFault.STALL, 0.9)] * 2, 2.5),
            "without its last chunk": ([(AnswerFault.NO_END, 1.0)], 1.5),
            "cut off again and again": ([(AnswerFault.CUT, 0.9)] * 400, 1.5),
            "cut off, then stalled": ([(AnswerFault.CUT, 0.9), (AnswerFault.STALL, 0.9)], 1.5),
        }
        found = await asyncio.gather(*(self.play(*each) for each in cases.values()))
        return dict(zip(cases, found, strict=True))

    def test_a_removed_worker_gets_nothing_after_the_grace_however_its_list_was_spoilt(self) -> None:
        for name, violations in asyncio.run(self.play_all()).items():
            with self.subTest(name):
                self.assertEqual([str(each) for each in violations[:5]], [])


class Restarts(unittest.TestCase):
    """The list that a scheduler starts with is from before the removal of a worker, which listens again."""

    async def play(self, by_kill: bool, faults: list[tuple[AnswerFault, float]]) -> list[Violation]:
        fleet = Fleet(FleetPlan(rate_per_s=60.0), seed=1)
        try:
            await fleet.start()
            await asyncio.sleep(1.0)
            restart = asyncio.ensure_future(fleet.restart_scheduler("n0", by_kill, down_s=11.5))
            await asyncio.sleep(0.3)
            fleet.discovery.change(["w0"], "left")
            await asyncio.sleep(6.0)
            fleet.discovery.faults["n0"] = list(faults)
            await restart
            await asyncio.sleep(5.5)
        finally:
            await fleet.stop()
        started_s = fleet.records.scheduler_starts[-1][1]
        answered = [each for each in fleet.records.requests if each.sent_s > started_s and each.status == 200]
        self.assertGreater(len(answered), 10)
        return judge(fleet.records, fleet.rules._replace(lag_s=LAG_S))

    async def play_all(self) -> dict[str, list[Violation]]:
        cases = {
            "killed": (True, []),
            "terminated": (False, []),
            "the first answer stalls": (True, [(AnswerFault.STALL, 0.9)]),
            "the first answer is late": (True, [(AnswerFault.LATE, 1.0)]),
            "the first answer is lost": (True, [(AnswerFault.SILENT, 0.0)]),
        }
        found = await asyncio.gather(*(self.play(*each) for each in cases.values()))
        return dict(zip(cases, found, strict=True))

    def test_a_new_process_sends_nothing_by_a_list_that_is_too_old(self) -> None:
        for name, violations in asyncio.run(self.play_all()).items():
            with self.subTest(name):
                self.assertEqual([str(each) for each in violations[:5]], [])


class StartsDuringOutages(unittest.TestCase):
    """A scheduler is away while a worker begins to drain, and comes back while discovery is down."""

    async def play(self) -> tuple[list[Violation], int]:
        fleet = Fleet(FleetPlan(rate_per_s=30.0), seed=1)
        try:
            await fleet.start()
            await asyncio.sleep(1.0)
            restart = asyncio.ensure_future(fleet.restart_scheduler("n0", True, down_s=10.5))
            await asyncio.sleep(0.3)
            fleet.workers["w0"].is_draining = True
            fleet.discovery.change(["w0"], "leaving")
            await asyncio.sleep(8.0)
            link = fleet.discovery.links["n0"]
            link.set_state(LinkState(refuses=True))
            link.reset_connections()
            fleet.records.discovery_outages.append(Outage("n0", time.monotonic()))
            await restart
            await asyncio.sleep(6.0)
        finally:
            await fleet.stop()
        started_s = fleet.records.scheduler_starts[-1][1]
        served = [each for each in fleet.records.requests if each.sent_s > started_s and each.status == 200]
        return judge(fleet.records, fleet.rules._replace(lag_s=LAG_S)), len(served)

    def test_a_new_process_serves_and_sends_nothing_to_a_worker_that_drains(self) -> None:
        violations, served = asyncio.run(self.play())
        self.assertEqual([str(each) for each in violations[:5]], [])
        self.assertGreater(served, 40)


class Seeds(unittest.TestCase):
    """A short fixed set of the randomized soak; more of it: python -m measure.soak.run."""

    def test_no_rule_is_broken_under_drawn_faults(self) -> None:
        plan = FleetPlan(schedulers=3, workers=4, rate_per_s=8.0)
        for seed in (3, 6):
            with self.subTest(seed):
                result = asyncio.run(SoakRun(seed, 24.0, plan, LAG_S).play())
                self.assertEqual(result.failures, [])
                self.assertGreater(result.requests, 200)


class DrawnFleets(unittest.TestCase):
    """Sizes, limits, settings and faults drawn from a seed; more: measure.soak.run --seeds A..B --drawn."""

    def test_no_rule_is_broken_in_fleets_of_any_size(self) -> None:
        for seed in (9002, 9003):
            with self.subTest(seed):
                plan = draw_plan(seed, 8.0)
                more = tuple(draw_more_faults(seed, 24.0, plan))
                result = asyncio.run(SoakRun(seed, 24.0, plan, LAG_S, more).play())
                self.assertEqual(result.failures, [])
                self.assertGreater(result.statuses["200"], 50)
