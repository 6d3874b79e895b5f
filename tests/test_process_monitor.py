"""The log tells of long turns of the event loop and of the memory that the process uses."""

from __future__ import annotations

import signal
import time
import unittest

from measure.daemons import Daemon
from spanwing.resources.process_monitor import MemoryLevels


class MemoryLevelTests(unittest.TestCase):
    def test_each_level_is_told_once_until_the_use_has_fallen_below_it(self) -> None:
        levels = MemoryLevels()
        shares = (0.3, 0.55, 0.6, 0.8, 0.76, 0.95, 0.95, 0.7, 0.92, 0.2, 0.5)
        told = [levels.rises_to(share) for share in shares]
        self.assertEqual(told, [None, 0.5, None, 0.75, None, 0.9, None, None, 0.9, None, 0.5])


class ProcessReportTests(unittest.TestCase):
    def test_a_held_up_process_logs_the_length_of_the_turn_and_its_memory(self) -> None:
        daemon = Daemon("one", [], ())
        try:
            self.assertGreater(daemon.send_command(do="status")["process"]["memory_used_kb"], 10_000)
            daemon.process.send_signal(signal.SIGSTOP)
            time.sleep(1.0)
            daemon.process.send_signal(signal.SIGCONT)
            time.sleep(0.6)
            daemon.process.send_signal(signal.SIGUSR1)
            end_s = time.monotonic() + 5.0
            while "process used_kb" not in daemon.stderr_text() and time.monotonic() < end_s:
                time.sleep(0.02)
            self.assertRegex(daemon.stderr_text(), r"WARNING loop_held_up turn_ms=\d{3,4} uptime_s=")
            self.assertRegex(
                daemon.stderr_text(), r"INFO process used_kb=\d+ peak_kb=\d+ .* long_turns=[1-9]"
            )
        finally:
            daemon.close()
