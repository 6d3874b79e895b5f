"""What a fleet's checker takes for a job at two workers at a time."""

from __future__ import annotations

import unittest

from measure.fleet.check import concurrent_assignments
from measure.fleet.parts import pop_request


def at(ev: str, worker: str, how: str = "up", cls: str = "status-read") -> dict[str, str]:
    return {"ev": ev, "job": "j1", "worker": worker, "how": how, "cls": cls}


class AtOnce(unittest.TestCase):
    def test_a_job_at_two_workers_is_found_unless_the_first_has_ended_or_lost_it(self) -> None:
        self.assertEqual(len(concurrent_assignments([at("got", "w1"), at("got", "w2")])), 1)
        for ends in ("done", "dropped", "ended"):
            self.assertEqual(concurrent_assignments([at("got", "w1"), at(ends, "w1"), at("got", "w2")]), [])

    def test_one_that_reads_late_what_was_given_up_has_nothing(self) -> None:
        late = [at("ended", "w1"), at("got", "w2"), at("got", "w1")]
        self.assertEqual(concurrent_assignments(late), [])
        self.assertEqual(
            concurrent_assignments([at("ended", "w1"), at("got", "w1", "ended"), at("got", "w2")]), []
        )
        # Only that one: what comes there after it is out again.
        self.assertEqual(len(concurrent_assignments([*late, at("got", "w1")])), 1)

    def test_what_must_run_once_is_given_up_by_no_end_of_a_connection(self) -> None:
        first, second = (at("got", worker, cls="schedule-apply") for worker in ("w1", "w2"))
        self.assertEqual(len(concurrent_assignments([first, at("ended", "w1"), second])), 1)

    def test_a_link_tells_of_whole_requests(self) -> None:
        asked = b"POST /look HTTP/1.1\r\nHost: x\r\nX-Call-Id: j1\r\nContent-Length: 2\r\n\r\nab"
        said = bytearray(asked[:-1])
        self.assertIsNone(pop_request(said))
        said += asked[-1:] + b"DELETE /jobs/j1 HTTP/1.1\r\nHost: x\r\n\r\n"
        self.assertEqual([pop_request(said), pop_request(said), pop_request(said)], [b"j1", b"", None])


if __name__ == "__main__":
    unittest.main()
