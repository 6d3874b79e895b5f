"""One mix of jobs over both protocols: the same number of each outcome in each class."""

from __future__ import annotations

import unittest
from collections import Counter

from player import PATIENCE_S, Daemon, config, member
from standins import Barrier, FaktoryWorker, HttpWorkers, ask_faktory, ask_http, thread

CLASSES = ("status-read", "schedule-apply", "setpoint-push")
WORKERS, SLOTS = 6, 4
#: A job's fate, the slots it asks for and the client's patience in ms; all of a class are out at once.
MIX = [("done", 1, 60000), ("done", 1, 60000), ("failing", 1, 3000), ("silent", 1, 3000), ("done", 99, 300)]
SENT = len(CLASSES) * 4  # the last one fits nowhere
EXPECTED = {
    ("status-read", "served"): 2, ("status-read", "refused"): 3,  # safe: trying again does no harm
    ("schedule-apply", "served"): 2, ("schedule-apply", "failed"): 2, ("schedule-apply", "refused"): 1,
    ("setpoint-push", "served"): 2, ("setpoint-push", "failed"): 2, ("setpoint-push", "refused"): 1,
}


class Mix(unittest.TestCase):
    def ask_all(self, daemon: Daemon, ask) -> Counter:
        seen: Counter = Counter()
        clients = [thread(ask, daemon, f"job-{cls}-{number}", cls, text, slots, budget, seen)
                   for cls in CLASSES for number, (text, slots, budget) in enumerate(MIX)]
        for each in clients:
            each.join(PATIENCE_S)
        return seen

    def test_http(self) -> None:
        workers = HttpWorkers(WORKERS, SENT)
        self.addCleanup(workers.close)
        members = [member(f"w{n}", port) for n, port in enumerate(workers.ports)]
        daemon = Daemon(config(members), "")
        self.addCleanup(daemon.close)
        workers.daemon = daemon.ready()
        self.assertEqual(self.ask_all(daemon, ask_http), EXPECTED)

    def test_faktory(self) -> None:
        daemon = Daemon(config(), '[faktory]\nlisten = "127.0.0.1:0"\n').ready()
        self.addCleanup(daemon.close)
        barrier = Barrier(SENT)
        for number in range(WORKERS):
            FaktoryWorker(daemon, f"worker-{number}", SLOTS, list(CLASSES), barrier)
        self.assertEqual(self.ask_all(daemon, ask_faktory), EXPECTED)
        barrier.over = True


if __name__ == "__main__":
    unittest.main()
