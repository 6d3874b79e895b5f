"""The soak's oracle reports each broken rule, and nothing if no rule is broken; seeds determine faults."""

from __future__ import annotations

import unittest
from itertools import pairwise

from measure.soak.faults import FaultKind, draw_faults
from measure.soak.oracle import RuleSet, SlowStartRule, judge, max_slow_start_requests
from measure.soak.random_plan import draw_crowds, draw_extra_faults, draw_plan
from measure.soak.records import (
    ClientRequest,
    ConnectionEnd,
    EndpointChange,
    ListDelivery,
    Outage,
    Records,
    SentMessage,
    WorkerOutcome,
)

SLOW_START = SlowStartRule(
    slow_start_s=2.0, initial_fraction=0.3, overload_multiple=3.0, overload_window_s=1.0, capacity_per_s=10.0
)
RULES = RuleSet(2.0, {"read": "safe", "apply": "unsafe", "push": "keyed"}, {"push": 3.0}, SLOW_START)


class OracleRules(unittest.TestCase):
    def setUp(self) -> None:
        self.records = Records()

    def request(self, service_class: str = "read", sent_s: float = 100.0, **fields: object) -> ClientRequest:
        fields = {"status": 200, "answered_s": sent_s + 0.2, **fields}
        request = ClientRequest("n0x1", "n0", service_class, 1000, sent_s, **fields)
        self.records.requests.append(request)
        return request

    def attempt(self, at_s: float, worker: str = "w0", budget_ms: int | None = None, state: str = "") -> None:
        self.records.messages.append(SentMessage("n0", worker, "POST", "n0x1", budget_ms, at_s, at_s))
        if state:
            self.records.outcomes.append(WorkerOutcome(worker, "n0x1", state, at_s + 0.01))

    def broken_rules(self) -> list[str]:
        return [each.rule for each in judge(self.records, RULES)]

    def test_a_request_that_is_sent_once_and_answered_breaks_no_rule(self) -> None:
        self.request()
        self.attempt(100.1, budget_ms=900, state="accepted")
        self.assertEqual(self.broken_rules(), [])

    def test_an_unanswered_request_is_lost_unless_its_client_left_or_its_scheduler_was_killed(self) -> None:
        request = self.request(status=None, answered_s=None)
        self.assertEqual(self.broken_rules(), ["lost"])
        request.disconnected_s = 100.5
        self.assertEqual(self.broken_rules(), [])
        request.disconnected_s = None
        self.records.process_outages.append(Outage("n0", 100.2, 101.0))
        self.assertEqual(self.broken_rules(), [])

    def test_a_new_connection_may_be_closed_unread_during_a_connection_flood(self) -> None:
        request = self.request(status=None, answered_s=None, is_on_new_connection=True)
        self.records.connection_floods.append(Outage("n0", 99.0, 100.5))
        self.assertEqual(self.broken_rules(), [])
        request.is_on_new_connection = False
        self.assertEqual(self.broken_rules(), ["lost"])

    def start_worker(self, attempts: int, listed_s: float) -> None:
        self.records.changes.append(EndpointChange(2, "w0", "active", 100.0, is_start=True))
        self.records.deliveries.append(ListDelivery("n0", 1, 2, listed_s))
        for number in range(attempts):
            at_s = 100.5 + number * 0.001
            message = SentMessage("n0", "w0", "POST", f"n0x{number}", None, at_s, at_s)
            self.records.messages.append(message)

    def test_too_many_requests_overload_a_worker_that_has_just_started(self) -> None:
        allowed = int(max_slow_start_requests(SLOW_START, 0.5))
        self.assertEqual(allowed, 28)  # 14.25, plus 3 times its square root, plus 3, rounded down
        self.start_worker(allowed, 100.1)
        self.assertEqual(self.broken_rules(), [])
        self.records = Records()
        self.start_worker(allowed + 2, 100.1)
        self.assertEqual(self.broken_rules(), ["failback"])

    def test_requests_of_schedulers_without_notification_of_a_start_are_no_overload(self) -> None:
        self.start_worker(60, 103.0)
        self.assertEqual(self.broken_rules(), [])

    def test_an_answer_half_a_second_after_its_deadline_is_late_and_a_later_one_is_lost(self) -> None:
        request = self.request(answered_s=101.5)
        self.assertEqual(self.broken_rules(), [])
        request.answered_s = 101.7
        self.assertEqual(self.broken_rules(), ["lost"])

    def test_an_attempt_long_after_its_client_has_disconnected_is_reported_as_lost(self) -> None:
        self.request(disconnected_s=100.3, status=None, answered_s=None)
        self.attempt(100.38, state="failed")
        self.assertEqual(self.broken_rules(), [])
        self.attempt(100.6, "w1")
        self.assertEqual(self.broken_rules(), ["lost"])

    def remove_worker(self) -> None:
        self.records.changes.append(EndpointChange(2, "w0", "left", 100.0))
        self.request(sent_s=108.5)

    def test_a_removed_worker_gets_no_attempts_after_the_notification_limit_and_the_grace(self) -> None:
        self.remove_worker()
        self.attempt(108.0, state="failed")
        self.assertEqual(self.broken_rules(), [])
        self.attempt(108.2)
        self.assertEqual(self.broken_rules(), ["drain"])

    def test_a_removed_worker_gets_no_attempts_after_the_delivery_of_its_list_and_the_grace(self) -> None:
        self.remove_worker()
        self.records.deliveries.append(ListDelivery("n0", 1, 2, 101.0))
        self.attempt(103.2)
        self.assertEqual(self.broken_rules(), ["drain"])

    def test_no_change_counts_as_notified_while_discovery_is_unreachable(self) -> None:
        self.remove_worker()
        self.records.discovery_outages.append(Outage("n0", 99.0, 110.0))
        self.attempt(117.9, state="failed")
        self.assertEqual(self.broken_rules(), [])
        self.attempt(118.2)
        self.assertEqual(self.broken_rules(), ["drain"])

    def test_a_list_delivered_to_a_killed_process_is_no_notification(self) -> None:
        self.remove_worker()
        self.records.process_outages.append(Outage("n0", 99.0, 105.0))
        self.records.deliveries.append(ListDelivery("n0", 1, 2, 101.0))
        self.attempt(107.9)
        self.assertEqual(self.broken_rules(), [])

    def test_a_worker_that_is_listed_again_may_get_attempts(self) -> None:
        self.remove_worker()
        self.records.changes.append(EndpointChange(3, "w0", "active", 108.0))
        self.attempt(108.6)
        self.assertEqual(self.broken_rules(), [])

    def test_two_attempts_of_a_request_are_not_in_flight_at_the_same_time(self) -> None:
        self.request()
        self.attempt(100.1, state="accepted")
        self.attempt(100.3, "w1", state="done")
        self.assertEqual(self.broken_rules(), ["duplicate"])

    def test_an_attempt_ends_with_a_final_state_a_delete_or_the_end_of_its_connection(self) -> None:
        for end_attempt in (
            lambda: self.records.outcomes.append(WorkerOutcome("w0", "n0x1", "failed", 100.2)),
            lambda: self.records.messages.insert(
                1, SentMessage("n0", "w0", "DELETE", "n0x1", None, 100.2, 100.2)
            ),
            lambda: self.records.connection_ends.append(ConnectionEnd("n0", "w0", 0, 100.2)),
        ):
            self.records = Records()
            self.request()
            self.attempt(100.1, state="accepted")
            end_attempt()
            self.attempt(100.3, "w1", state="done")
            self.assertEqual(self.broken_rules(), [])

    def test_an_unsafe_job_is_retried_only_if_it_never_ran(self) -> None:
        self.request("apply")
        self.attempt(100.1, state="rejected")
        self.attempt(100.2, "w1", state="failed")
        self.assertEqual(self.broken_rules(), [])
        self.attempt(100.3, "w2")
        self.assertEqual(self.broken_rules(), ["duplicate"])

    def test_a_keyed_job_is_retried_only_within_its_deduplication_window(self) -> None:
        self.request("push")
        self.attempt(100.1, state="failed")
        self.attempt(102.0, "w1", state="failed")
        self.assertEqual(self.broken_rules(), [])
        self.attempt(105.2, "w2")
        self.assertEqual(self.broken_rules(), ["duplicate"])

    def test_a_workers_budget_does_not_exceed_the_remaining_time(self) -> None:
        self.request()
        self.attempt(100.4, budget_ms=750, state="failed")
        self.assertEqual(self.broken_rules(), [])
        self.attempt(100.5, "w1", budget_ms=750)
        self.assertEqual(self.broken_rules(), ["deadline"])


class Draws(unittest.TestCase):
    def test_a_seed_draws_the_same_faults_each_time(self) -> None:
        self.assertEqual(draw_faults(7, 45.0, 10, 8), draw_faults(7, 45.0, 10, 8))
        self.assertNotEqual(draw_faults(7, 45.0, 10, 8), draw_faults(8, 45.0, 10, 8))

    def test_all_kinds_of_faults_are_drawn_and_faults_overlap(self) -> None:
        kinds, overlaps = set(), 0
        for seed in range(60):
            faults = draw_faults(seed, 45.0, 10, 8)
            plan = draw_plan(seed, 15.0)
            extra_faults = [*draw_extra_faults(seed, 45.0, plan), *draw_crowds(seed, 45.0, plan)]
            kinds |= {each.kind for each in (*faults, *extra_faults)}
            overlaps += any(one.at_s + one.duration_s > other.at_s for one, other in pairwise(faults))
            self.assertTrue(all(0.0 < each.at_s < 45.0 for each in (*faults, *extra_faults)))
        self.assertEqual(kinds, set(FaultKind))
        self.assertGreater(overlaps, 50)


if __name__ == "__main__":
    unittest.main()
