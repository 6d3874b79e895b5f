"""One mix of jobs over both protocols: the same number of each outcome in each class."""

from __future__ import annotations

import unittest
from collections import Counter

from player import PATIENCE_S, Daemon, config, member
from standins import Barrier, FaktoryWorker, HttpWorkers, ask_faktory, ask_http, figures, thread

CLASSES = ("status-read", "schedule-apply", "setpoint-push")
WORKERS, SLOTS = 6, 4
#: A job's fate, the slots it asks for and the client's patience in ms; all of a class are out at once.
MIX = [("done", 1, 60000), ("done", 1, 60000), ("failing", 1, 3000), ("silent", 1, 3000), ("done", 99, 300)]
SENT = len(CLASSES) * 4  # the last one fits nowhere
EXPECTED = {
    ("status-read", "served"): 2,
    ("status-read", "refused"): 3,  # safe: trying again does no harm
    ("schedule-apply", "served"): 2,
    ("schedule-apply", "failed"): 2,
    ("schedule-apply", "refused"): 1,
    ("setpoint-push", "served"): 2,
    ("setpoint-push", "failed"): 2,
    ("setpoint-push", "refused"): 1,
}


class Mix(unittest.TestCase):
    def ask_all(self, daemon: Daemon, ask) -> Counter:
        seen: Counter = Counter()
        clients = [
            thread(ask, daemon, f"job-{cls}-{number}", cls, text, slots, budget, seen)
            for cls in CLASSES
            for number, (text, slots, budget) in enumerate(MIX)
        ]
        for each in clients:
            each.join(PATIENCE_S)
        return seen

    def check_figures(self, daemon: Daemon, listed: int) -> None:
        """What the daemon tells of the mix, once it is quiet, is what its clients saw."""
        told = figures(daemon)
        names = {"ok": "served", "shed": "refused", "errors": "failed"}
        counts = {(cls, kind): told[f"{name}.{cls}"] for name, kind in names.items() for cls in CLASSES}
        self.assertEqual({each: count for each, count in counts.items() if count}, EXPECTED)
        self.assertEqual((told["active"], told["pool_size"]), (0, listed))

    def test_http(self) -> None:
        workers = HttpWorkers(WORKERS, SENT)
        self.addCleanup(workers.close)
        members = [member(f"w{n}", port) for n, port in enumerate(workers.ports)]
        daemon = Daemon({**config(members), "management": "127.0.0.1:0"}, "")
        self.addCleanup(daemon.close)
        workers.daemon = daemon.ready()
        self.assertEqual(self.ask_all(daemon, ask_http), EXPECTED)
        self.check_figures(daemon, WORKERS)
        self.assertEqual(figures(daemon)["tries"], workers.tried)

    def test_faktory(self) -> None:
        given = {**config(), "management": "127.0.0.1:0"}
        daemon = Daemon(given, '[faktory]\nlisten = "127.0.0.1:0"\n').ready()
        self.addCleanup(daemon.close)
        barrier = Barrier(SENT)
        for number in range(WORKERS):
            FaktoryWorker(daemon, f"worker-{number}", SLOTS, list(CLASSES), barrier)
        self.assertEqual(self.ask_all(daemon, ask_faktory), EXPECTED)
        self.check_figures(daemon, WORKERS)
        barrier.over = True


if __name__ == "__main__":
    unittest.main()
