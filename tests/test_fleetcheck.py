"""The check for a job at two workers at a time, and the relay's parser of requests behind it."""

from __future__ import annotations

import unittest

from measure.fleet.check import concurrent_assignments
from measure.fleet.parts import pop_request


def record(ev: str, worker: str, how: str = "up", cls: str = "status-read") -> dict[str, str]:
    return {"ev": ev, "job": "j1", "worker": worker, "how": how, "cls": cls}


class ConcurrentAssignmentTests(unittest.TestCase):
    def test_a_job_at_two_workers_is_a_violation_unless_the_first_worker_has_ended_it(self) -> None:
        self.assertEqual(len(concurrent_assignments([record("got", "w1"), record("got", "w2")])), 1)
        for event in ("done", "dropped", "ended"):
            self.assertEqual(
                concurrent_assignments([record("got", "w1"), record(event, "w1"), record("got", "w2")]), []
            )

    def test_a_worker_that_reads_a_withdrawn_job_late_does_not_have_it(self) -> None:
        late_read = [record("ended", "w1"), record("got", "w2"), record("got", "w1")]
        self.assertEqual(concurrent_assignments(late_read), [])
        self.assertEqual(
            concurrent_assignments(
                [record("ended", "w1"), record("got", "w1", "ended"), record("got", "w2")]
            ),
            [],
        )
        # That holds for one arrival; a second one counts again.
        self.assertEqual(len(concurrent_assignments([*late_read, record("got", "w1")])), 1)

    def test_the_end_of_a_connection_does_not_withdraw_a_non_idempotent_job(self) -> None:
        first, second = (record("got", worker, cls="schedule-apply") for worker in ("w1", "w2"))
        self.assertEqual(len(concurrent_assignments([first, record("ended", "w1"), second])), 1)

    def test_a_relay_parses_complete_requests_only(self) -> None:
        request = b"POST /look HTTP/1.1\r\nHost: x\r\nX-Call-Id: j1\r\nContent-Length: 2\r\n\r\nab"
        buffer = bytearray(request[:-1])
        self.assertIsNone(pop_request(buffer))
        buffer += request[-1:] + b"DELETE /jobs/j1 HTTP/1.1\r\nHost: x\r\n\r\n"
        self.assertEqual([pop_request(buffer), pop_request(buffer), pop_request(buffer)], [b"j1", b"", None])


if __name__ == "__main__":
    unittest.main()
