"""The same mix of jobs over HTTP and Faktory must end in the same number of each outcome per class."""

from __future__ import annotations

import unittest
from collections import Counter

from player import WAIT_TIMEOUT_S, Daemon, config, member
from standins import (
    Barrier,
    FaktoryWorker,
    HttpWorkers,
    read_stats,
    run_faktory_job,
    run_http_job,
    start_thread,
)

CLASSES = ("status-read", "schedule-apply", "setpoint-push")
WORKERS, SLOTS = 6, 4
#: Per job: what its worker does, the slots it needs and its budget in ms. A class's jobs run concurrently.
MIX = [("done", 1, 60000), ("done", 1, 60000), ("failing", 1, 3000), ("silent", 1, 3000), ("done", 99, 300)]
SENT = len(CLASSES) * 4  # the job with 99 slots fits on no worker
EXPECTED = {
    ("status-read", "served"): 2,
    ("status-read", "refused"): 3,  # idempotent, so that a client may retry
    ("schedule-apply", "served"): 2,
    ("schedule-apply", "failed"): 2,
    ("schedule-apply", "refused"): 1,
    ("setpoint-push", "served"): 2,
    ("setpoint-push", "failed"): 2,
    ("setpoint-push", "refused"): 1,
}


class Mix(unittest.TestCase):
    def run_mix(self, daemon: Daemon, run_job) -> Counter:
        outcomes: Counter = Counter()
        clients = [
            start_thread(run_job, daemon, f"job-{cls}-{number}", cls, behaviour, slots, budget_ms, outcomes)
            for cls in CLASSES
            for number, (behaviour, slots, budget_ms) in enumerate(MIX)
        ]
        for each in clients:
            each.join(WAIT_TIMEOUT_S)
        return outcomes

    def check_statistics(self, daemon: Daemon, listed: int) -> None:
        """Checks that the daemon's statistics, once it is idle, agree with what its clients observed."""
        statistics = read_stats(daemon)
        names = {"ok": "served", "shed": "refused", "errors": "failed"}
        counts = {(cls, kind): statistics[f"{name}.{cls}"] for name, kind in names.items() for cls in CLASSES}
        self.assertEqual({each: count for each, count in counts.items() if count}, EXPECTED)
        self.assertEqual((statistics["active"], statistics["pool_size"]), (0, listed))

    def test_http(self) -> None:
        workers = HttpWorkers(WORKERS, SENT)
        self.addCleanup(workers.close)
        members = [member(f"w{n}", port) for n, port in enumerate(workers.ports)]
        daemon = Daemon({**config(members), "management": "127.0.0.1:0"}, "")
        self.addCleanup(daemon.close)
        workers.daemon = daemon.wait_until_ready()
        self.assertEqual(self.run_mix(daemon, run_http_job), EXPECTED)
        self.check_statistics(daemon, WORKERS)
        self.assertEqual(read_stats(daemon)["tries"], workers.attempt_count)

    def test_faktory(self) -> None:
        settings = {**config(), "management": "127.0.0.1:0"}
        daemon = Daemon(settings, '[faktory]\nlisten = "127.0.0.1:0"\n').wait_until_ready()
        self.addCleanup(daemon.close)
        barrier = Barrier(SENT)
        for number in range(WORKERS):
            FaktoryWorker(daemon, f"worker-{number}", SLOTS, list(CLASSES), barrier)
        self.assertEqual(self.run_mix(daemon, run_faktory_job), EXPECTED)
        self.check_statistics(daemon, WORKERS)
        barrier.is_stopped = True


if __name__ == "__main__":
    unittest.main()
