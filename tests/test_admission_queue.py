"""The queue of the requests that arrive while a change of the policy is closing."""

from __future__ import annotations

import unittest

from spanwing.core.messages import JobRequest, RequestSubmitted
from spanwing.policy.admission_queue import MAX_QUEUED_REQUESTS, AdmissionQueue
from spanwing.policy.participant import MAX_ADMISSION_WAIT_MS


class AdmissionQueueTests(unittest.TestCase):
    def setUp(self) -> None:
        self.resubmitted: list[RequestSubmitted] = []
        self.rejected: list[str] = []
        self.queue = AdmissionQueue(
            self.resubmitted.append, lambda submitted: self.rejected.append(submitted.request.id)
        )

    def submit(self, now_ms: float, name: str) -> RequestSubmitted:
        submitted = RequestSubmitted(JobRequest(name, "look", 900.0), object())
        self.queue.add(now_ms, submitted, None)
        return submitted

    def return_resubmitted(self, now_ms: float) -> None:
        """Queues again what was submitted again, as it cannot be accepted yet."""
        for submitted in self.resubmitted:
            self.queue.add(now_ms, submitted, self.queue.take_resubmitted(submitted))
        self.resubmitted.clear()

    def test_request_that_is_queued_again_keeps_the_end_of_its_wait(self) -> None:
        """Guards against a request that waits for ever, as each return to the queue renews its wait."""
        self.submit(0.0, "first")
        now_ms = 0.0
        while now_ms < MAX_ADMISSION_WAIT_MS:
            self.assertEqual(self.rejected, [])
            self.queue.release(now_ms, "take")
            now_ms += 20.0
            self.return_resubmitted(now_ms)
        self.queue.release(now_ms, "hold")
        self.assertEqual((self.rejected, self.queue.waiting), (["first"], []))

    def test_time_is_deducted_once_from_the_budget_of_a_request_that_is_queued_again(self) -> None:
        self.submit(0.0, "first")
        self.queue.release(50.0, "take")
        self.return_resubmitted(50.0)
        self.queue.release(100.0, "take")
        self.assertEqual([each.request.budget for each in self.resubmitted], [800.0])

    def test_requests_are_rejected_in_the_order_of_their_waits(self) -> None:
        self.submit(0.0, "first")
        self.queue.release(10.0, "take")
        self.submit(20.0, "second")
        self.return_resubmitted(30.0)
        self.queue.release(MAX_ADMISSION_WAIT_MS, "hold")
        self.assertEqual(self.rejected, ["first"])
        self.queue.release(MAX_ADMISSION_WAIT_MS + 20.0, "hold")
        self.assertEqual(self.rejected, ["first", "second"])

    def test_all_requests_are_rejected_at_once_if_none_may_be_accepted(self) -> None:
        for name in ("first", "second"):
            self.submit(0.0, name)
        self.queue.release(10.0, "refuse")
        self.assertEqual(self.rejected, ["first", "second"])

    def test_number_of_requests_is_bounded(self) -> None:
        for number in range(MAX_QUEUED_REQUESTS + 1):
            self.submit(0.0, str(number))
        self.assertEqual(
            (len(self.queue.waiting), self.rejected), (MAX_QUEUED_REQUESTS, [str(MAX_QUEUED_REQUESTS)])
        )

    def test_client_that_disconnects(self) -> None:
        waiting, resubmitted = self.submit(0.0, "first"), self.submit(5.0, "second")
        self.queue.drop("first", waiting.client)
        self.queue.release(10.0, "take")
        self.queue.drop("second", resubmitted.client)
        queued = self.queue.take_resubmitted(self.resubmitted[0])
        self.assertTrue(queued.is_abandoned)
        self.assertEqual((self.queue.waiting, self.queue.resubmitted), ([], {}))


if __name__ == "__main__":
    unittest.main()
