"""The counts over the logs of a fleet."""

import unittest

from measure.fleetday import LogCounts


class LogCountsTests(unittest.TestCase):
    def test_ejections_are_counted_by_step_reason_and_worker(self) -> None:
        log_counts = LogCounts(5.0)
        log_counts.add_log(
            [
                "0.3 spanwing: clients on 10.0.0.1:8080",
                "noise",
                "6.1 INFO worker 7 set aside: silent, strike 1",
                "6.2 INFO worker 7 set aside: error, strike 2",
            ]
        )
        log_counts.add_log(
            ["7.0 INFO worker 8 set aside: silent, strike 1", "11.0 spanwing: clients on 10.0.0.2:8080"]
        )
        rows = log_counts.table().splitlines()
        self.assertEqual(
            rows[2:],
            [
                "| 0 | 0 | 0 | 0 | 0 | 0 | 1 |",
                "| 5 | 2 | 0 | 1 | 0 | 0 | 0 |",
                "| 10 | 0 | 0 | 0 | 0 | 0 | 1 |",
                "| all | 2 of 2 workers | 0 of 0 workers | 1 of 1 workers | 0 of 0 workers | "
                "0 of 0 workers | 2 of 2 schedulers |",
            ],
        )
