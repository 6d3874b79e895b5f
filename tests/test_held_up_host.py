"""A scheduler whose event loop was held up does not blame workers that answered in time."""

from __future__ import annotations

import asyncio
import signal
import unittest

from measure.crowds.run import CrowdBench, send_ordinary
from spanwing import interface as api
from spanwing.scheduler import Scheduler

SETTINGS = api.Settings(
    classes=(api.ServiceClass("look", latency_objective_ms=300, deadline_ms=5000),), max_attempts=3
)


class SchedulerTests(unittest.TestCase):
    def forward(self) -> Scheduler:
        """Returns a scheduler that has forwarded a request at 1 ms, of which it hears nothing."""
        scheduler = Scheduler(SETTINGS, seed=1, now=0.0)
        scheduler.handle(0.0, api.WorkerList("complete", (api.Worker(7), api.Worker(8))))
        scheduler.handle(1.0, api.Request("r1", "look", deadline=60_000.0))
        return scheduler

    def ejected(self, scheduler: Scheduler, now_ms: float) -> list[int]:
        return [each.entry.id for each in scheduler.worker_states.values() if each.ejected_until_ms > now_ms]

    def test_a_worker_whose_report_may_lie_unread_is_not_ejected_as_silent(self) -> None:
        scheduler = self.forward()
        scheduler.handle(30_000.0, api.HostDelayed(1_000.0))
        self.assertEqual(self.ejected(scheduler, 30_000.0), [])
        scheduler.handle(31_001.0, api.TimerDue(0))
        self.assertEqual(len(self.ejected(scheduler, 31_001.0)), 1)

    def test_a_silent_worker_is_ejected_if_the_host_was_not_held_up(self) -> None:
        scheduler = self.forward()
        scheduler.handle(30_000.0, api.TimerDue(0))
        self.assertEqual(len(self.ejected(scheduler, 30_000.0)), 1)


class HeldUpProcessTests(unittest.TestCase):
    def test_workers_that_answered_while_the_process_was_stopped_are_not_set_aside(self) -> None:
        async def run() -> str:
            bench = CrowdBench(link_delay_s=0.05)  # so that a 202 is on its way at most times
            try:
                await bench.start()
                await send_ordinary(bench.port(), 2.0)
                sending = asyncio.gather(*(send_ordinary(bench.port(), 7.0) for _ in range(6)))
                for _ in range(4):
                    await asyncio.sleep(0.5)
                    bench.program.process.send_signal(signal.SIGSTOP)
                    await asyncio.sleep(1.0)
                    bench.program.process.send_signal(signal.SIGCONT)
                await sending
                return bench.program.stderr_text()
            finally:
                await bench.stop()

        log = asyncio.run(run())
        self.assertIn("loop_held_up", log)
        self.assertNotIn("set aside", log)
