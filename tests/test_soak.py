"""Real schedulers under single chosen faults and in short randomized soaks, judged by the oracle."""

from __future__ import annotations

import asyncio
import time
import unittest

from measure.soak.fault_proxy import LinkState
from measure.soak.fleet import Fleet, FleetPlan
from measure.soak.oracle import Violation, judge
from measure.soak.random_plan import draw_crowds, draw_extra_faults, draw_plan
from measure.soak.records import Outage
from measure.soak.run import SoakRun
from measure.soak.stand_ins import AnswerFault

LAG_S = 0.8  # allows for other tests on the machine; faulty versions sent for 2 s and more after the grace


class IncompleteLists(unittest.TestCase):
    """A worker is removed, but the list without it does not arrive completely. The worker keeps listening.

    Guards against schedulers that send to the worker for as long as they wait for the rest of the list.
    """

    async def run_fleet(self, faults: list[tuple[AnswerFault, float]], quiet_s: float) -> list[Violation]:
        """Removes a worker quiet_s after the start; the next answers of discovery have these faults."""
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

    async def run_cases(self) -> dict[str, list[Violation]]:
        cases = {
            "stalled in its body": ([(AnswerFault.STALLED, 0.95)], 1.5),
            "stalled in its head": ([(AnswerFault.STALLED, 0.05)], 1.5),
            "stalled twice": ([(AnswerFault.STALLED, 0.9)] * 2, 2.5),
            "without its last chunk": ([(AnswerFault.NO_LAST_CHUNK, 1.0)], 1.5),
            "truncated 400 times": ([(AnswerFault.TRUNCATED, 0.9)] * 400, 1.5),
            "truncated, then stalled": ([(AnswerFault.TRUNCATED, 0.9), (AnswerFault.STALLED, 0.9)], 1.5),
        }
        found = await asyncio.gather(*(self.run_fleet(*each) for each in cases.values()))
        return dict(zip(cases, found, strict=True))

    def test_a_removed_worker_gets_no_jobs_after_the_grace_if_its_list_is_incomplete(self) -> None:
        for name, violations in asyncio.run(self.run_cases()).items():
            with self.subTest(name):
                self.assertEqual([str(each) for each in violations[:5]], [])


class Restarts(unittest.TestCase):
    """A scheduler restarts with a persisted list that holds a removed worker, which still listens.

    Guards against processes that send by their persisted list before discovery has confirmed it.
    """

    async def run_fleet(self, with_sigkill: bool, faults: list[tuple[AnswerFault, float]]) -> list[Violation]:
        fleet = Fleet(FleetPlan(rate_per_s=60.0), seed=1)
        try:
            await fleet.start()
            await asyncio.sleep(1.0)
            restart = asyncio.ensure_future(fleet.restart_scheduler("n0", with_sigkill, down_s=11.5))
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

    async def run_cases(self) -> dict[str, list[Violation]]:
        cases = {
            "killed": (True, []),
            "terminated": (False, []),
            "killed, first answer stalls": (True, [(AnswerFault.STALLED, 0.9)]),
            "killed, first answer is late": (True, [(AnswerFault.LATE, 1.0)]),
            "killed, first answer is never sent": (True, [(AnswerFault.SILENT, 0.0)]),
        }
        found = await asyncio.gather(*(self.run_fleet(*each) for each in cases.values()))
        return dict(zip(cases, found, strict=True))

    def test_a_new_process_does_not_send_by_a_stale_list(self) -> None:
        for name, violations in asyncio.run(self.run_cases()).items():
            with self.subTest(name):
                self.assertEqual([str(each) for each in violations[:5]], [])


class StartsDuringOutages(unittest.TestCase):
    """A scheduler is down while a worker begins to drain, and restarts while discovery is unreachable."""

    async def run_fleet(self) -> tuple[list[Violation], int]:
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
            link.set_state(LinkState(refuses_connections=True))
            link.reset_connections()
            fleet.records.discovery_outages.append(Outage("n0", time.monotonic()))
            await restart
            await asyncio.sleep(6.0)
        finally:
            await fleet.stop()
        started_s = fleet.records.scheduler_starts[-1][1]
        served = [each for each in fleet.records.requests if each.sent_s > started_s and each.status == 200]
        return judge(fleet.records, fleet.rules._replace(lag_s=LAG_S)), len(served)

    def test_a_new_process_serves_without_sending_to_a_draining_worker(self) -> None:
        violations, served = asyncio.run(self.run_fleet())
        self.assertEqual([str(each) for each in violations[:5]], [])
        self.assertGreater(served, 40)


class FixedSeeds(unittest.TestCase):
    """Two short runs of the randomized soak. `python -m measure.soak.run` runs more."""

    def test_random_faults_cause_no_violations(self) -> None:
        plan = FleetPlan(scheduler_count=3, worker_count=4, rate_per_s=8.0)
        for seed in (3, 6):
            with self.subTest(seed):
                result = asyncio.run(SoakRun(seed, 24.0, plan, LAG_S).run())
                self.assertEqual(result.failures, [])
                self.assertGreater(result.request_count, 200)


class RandomFleets(unittest.TestCase):
    """Two runs with random sizes, limits, settings and faults. `--drawn` of measure.soak.run runs more."""

    def test_random_fleets_have_no_violations(self) -> None:
        for seed in (9002, 9003):
            with self.subTest(seed):
                plan = draw_plan(seed, 8.0)
                extra_faults = tuple(draw_extra_faults(seed, 24.0, plan))
                result = asyncio.run(SoakRun(seed, 24.0, plan, LAG_S, extra_faults).run())
                self.assertEqual(result.failures, [])
                self.assertGreater(result.status_counts["200"], 50)


class HostileCrowds(unittest.TestCase):
    """Two runs with hostile crowds. `--drawn --crowds` of measure.soak.run runs more."""

    def test_hostile_crowds_cause_no_violations_and_no_memory_beyond_the_limit(self) -> None:
        for seed in (9504, 9506):
            with self.subTest(seed):
                plan = draw_plan(seed, 8.0)
                crowds = tuple(draw_crowds(seed, 24.0, plan))
                result = asyncio.run(SoakRun(seed, 24.0, plan, LAG_S, crowds).run())
                self.assertEqual(result.failures, [])
                self.assertGreater(result.status_counts["200"], 50)
