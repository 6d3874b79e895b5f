"""A short soak of Faktory jobs at three members of a store, and its oracle."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path

from measure.soak.claims import (
    NOT_CONNECTED,
    SAFE_CLASS,
    SETTLE_S,
    UNSAFE_CLASS,
    ClaimSoak,
    Job,
    Push,
    find_duplicates,
    may_be_taken_by_a_fault,
)

DURATION_S = 8.0


class ClaimSoaks(unittest.TestCase):
    def test_no_job_is_lost_stuck_or_run_twice(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            soak = ClaimSoak(1, DURATION_S, Path(folder), ("-m", "spanwing"))
            self.assertEqual(asyncio.run(soak.run()), [])
        self.assertGreater(soak.fault_count, 1)
        self.assertGreater(sum(job.run_count for job in soak.jobs.values()), 50)


class Oracle(unittest.TestCase):
    def test_only_a_job_that_must_not_run_twice_is_a_duplicate(self) -> None:
        jobs = [
            Job("job-00001", UNSAFE_CLASS, 300, run_count=2),
            Job("job-00002", SAFE_CLASS, 300, run_count=2),
            Job("job-00003", UNSAFE_CLASS, 300, run_count=1),
        ]
        self.assertEqual(find_duplicates(jobs), ["duplicate: job-00001 ran 2 times"])

    def test_a_fault_takes_a_job_only_from_a_member_that_knew_of_it(self) -> None:
        stopped_s = {"a": [10.0], "b": []}
        for push, expected in (
            (Push("a", 9.0, 9.5, "-BUSY"), True),  # its outcome may not have been in the store
            (Push("a", 9.0, 9.5, NOT_CONNECTED), False),
            (Push("a", 10.5, 11.0, "+OK"), False),
            (Push("a", 1.0, 10.0 - SETTLE_S - 0.1, "+OK"), False),
            (Push("b", 9.0, 9.5, "-BUSY"), False),
            (Push("b", 9.0, 9.5, ""), True),
        ):
            with self.subTest(push):
                job = Job("job-00001", UNSAFE_CLASS, 300, pushes=[push])
                self.assertEqual(may_be_taken_by_a_fault(job, stopped_s), expected)


if __name__ == "__main__":
    unittest.main()
