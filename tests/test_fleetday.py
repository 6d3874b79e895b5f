"""The count over a fleet's logs."""

import unittest

from measure.fleetday import Day


class Counted(unittest.TestCase):
    def test_strikes_are_counted_by_step_reason_and_worker(self) -> None:
        day = Day(5.0)
        day.read(
            [
                "0.3 spanwing: clients on 10.0.0.1:8080",
                "noise",
                "6.1 INFO worker 7 set aside: silent, strike 1",
                "6.2 INFO worker 7 set aside: error, strike 2",
            ]
        )
        day.read(["7.0 INFO worker 8 set aside: silent, strike 1", "11.0 spanwing: clients on 10.0.0.2:8080"])
        table = day.table().splitlines()
        self.assertEqual(
            table[2:],
            [
                "| 0 | 0 | 0 | 0 | 0 | 0 | 1 |",
                "| 5 | 2 | 0 | 1 | 0 | 0 | 0 |",
                "| 10 | 0 | 0 | 0 | 0 | 0 | 1 |",
                "| all | 2 of 2 workers | 0 of 0 workers | 1 of 1 workers | 0 of 0 workers | "
                "0 of 0 workers | 2 of 2 schedulers |",
            ],
        )
