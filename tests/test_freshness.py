"""The deadline of the endpoint list and the timing of the calls that renew it; without sockets."""

from __future__ import annotations

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from spanwing.discovery.freshness import (
    INCOMPLETE_ANSWER_RETRY_S,
    MAX_NOTIFICATION_DELAY_S,
    MAX_PROCESS_PAUSE_S,
    MIN_CALL_TIMEOUT_S,
    CallTiming,
    EndpointFreshness,
    Freshness,
)

EVENTS = (
    "note_answer_begun",
    "note_answer",
    "note_unreachable",
    "note_unanswered",
    "note_adopted",
    "note_moved",
)
GRACES_MS = st.floats(0.0, 5000.0)


class Timing(unittest.TestCase):
    @given(GRACES_MS, st.booleans())
    def test_two_calls_fit_between_an_unanswered_poll_and_the_deadline(
        self, grace_ms: float, is_pushed: bool
    ) -> None:
        timing = CallTiming.from_settings(grace_ms, is_pushed)
        freshness = EndpointFreshness(timing, 0.0)
        freshness.note_answer(0.0)
        now_s = timing.poll_hold_s + timing.answer_margin_s
        for _ in range(2):
            freshness.note_unanswered()
            now_s += INCOMPLETE_ANSWER_RETRY_S + freshness.call_timeout_s(now_s + INCOMPLETE_ANSWER_RETRY_S)
            self.assertLessEqual(now_s, freshness.deadline_s)

    @given(GRACES_MS, st.booleans())
    def test_the_deadline_leaves_time_for_a_process_pause_before_the_grace_ends(
        self, grace_ms: float, is_pushed: bool
    ) -> None:
        timing = CallTiming.from_settings(grace_ms, is_pushed)
        allowed_s = MAX_NOTIFICATION_DELAY_S + grace_ms / 1000.0
        self.assertLessEqual(
            timing.stale_after_s + min(MAX_PROCESS_PAUSE_S, grace_ms / 1000.0), allowed_s + 1e-9
        )

    @given(st.floats(200.0, 5000.0))
    def test_a_stalled_answer_times_out_within_the_grace(self, grace_ms: float) -> None:
        timing = CallTiming.from_settings(grace_ms, False)
        self.assertLessEqual(timing.stall_timeout_s, max(0.1, grace_ms / 4000.0))
        self.assertLessEqual(timing.stall_timeout_s, 0.5)

    @given(st.floats(100.0, 5000.0), st.integers())
    def test_pushed_lists_are_requested_again_within_half_of_the_grace(
        self, grace_ms: float, seed: int
    ) -> None:
        timing = CallTiming.from_settings(grace_ms, True)
        freshness = EndpointFreshness(timing, 0.0)
        freshness.note_unreachable(0.0)
        self.assertLessEqual(freshness.pause_s(random.Random(seed), 0.0, 0.0), grace_ms / 2000.0)


class ChangedTiming(unittest.TestCase):
    """A policy changes the drain grace while the list is in use."""

    @given(GRACES_MS, GRACES_MS)
    def test_list_is_never_used_for_longer_than_the_grace_in_force_allows(
        self, before_ms: float, after_ms: float
    ) -> None:
        """Guards against work for a draining worker, as the grace of the start counts for good."""
        before, after = (CallTiming.from_settings(each, True) for each in (before_ms, after_ms))
        freshness = EndpointFreshness(before, 0.0)
        freshness.note_answer(10.0)
        freshness.change_timing(after)
        allowed_until_s = 10.0 + min(before.stale_after_s, after.stale_after_s)
        self.assertTrue(freshness.is_stale(allowed_until_s + 0.001))
        self.assertFalse(freshness.is_stale(allowed_until_s - 0.001))
        freshness.note_answer(20.0)
        self.assertTrue(freshness.is_stale(20.0 + after.stale_after_s + 0.001))
        self.assertFalse(freshness.is_stale(20.0 + after.stale_after_s - 0.001))


class States(unittest.TestCase):
    def setUp(self) -> None:
        self.freshness = EndpointFreshness(CallTiming.from_settings(2000.0, False), 100.0)
        self.freshness.note_answer(100.0)
        self.stale_s = 100.0 + MAX_NOTIFICATION_DELAY_S + 2.0 - MAX_PROCESS_PAUSE_S

    def test_unanswered_calls_do_not_move_the_deadline(self) -> None:
        for _ in range(20):
            self.freshness.note_unanswered()
        self.assertEqual(self.freshness.state(self.stale_s - 0.01), Freshness.OVERDUE)
        self.assertEqual(self.freshness.state(self.stale_s), Freshness.STALE)

    def test_a_complete_answer_renews_the_list_from_its_first_byte(self) -> None:
        self.freshness.note_unanswered()
        self.freshness.note_answer(105.0)
        self.assertEqual(self.freshness.state(105.1), Freshness.CURRENT)
        self.assertFalse(self.freshness.is_stale(self.stale_s + 4.99))
        self.assertTrue(self.freshness.is_stale(self.stale_s + 5.0))

    def test_the_list_stays_in_use_while_discovery_is_unavailable(self) -> None:
        for call in range(60):
            self.freshness.note_unreachable(100.0 + call)
            self.assertFalse(self.freshness.is_stale(100.0 + call + 1.0))
        self.assertEqual(self.freshness.state(160.0), Freshness.UNREACHABLE)

    def test_after_an_outage_the_deadline_follows_from_the_last_refused_call(self) -> None:
        self.freshness.note_unreachable(150.0)
        self.freshness.note_unanswered()
        self.assertEqual(self.freshness.state(151.0), Freshness.OVERDUE)
        self.assertTrue(self.freshness.is_stale(150.0 + MAX_NOTIFICATION_DELAY_S + 2.0 - MAX_PROCESS_PAUSE_S))

    def test_a_new_discovery_address_shortens_the_deadline(self) -> None:
        self.freshness.note_moved(103.0)
        self.assertTrue(self.freshness.is_stale(103.0 + 4.0 + 2.0 - MAX_PROCESS_PAUSE_S))

    def test_a_list_that_was_never_confirmed_violates_the_drain_rule(self) -> None:
        freshness = EndpointFreshness(CallTiming.from_settings(2000.0, False), 100.0)
        self.assertTrue(freshness.violates_drain_rule(100.1))
        freshness.note_moved(100.2)
        self.assertTrue(freshness.violates_drain_rule(100.3))
        freshness.note_unreachable(100.4)
        self.assertFalse(freshness.violates_drain_rule(100.5))

    def test_a_refused_call_does_not_confirm_a_list_after_a_missed_answer(self) -> None:
        freshness = EndpointFreshness(CallTiming.from_settings(2000.0, False), 100.0)
        freshness.note_unanswered()
        freshness.note_unreachable(100.4)
        self.assertTrue(freshness.violates_drain_rule(100.5))

    def test_an_unapplied_answer_counts_as_notified_from_its_first_byte(self) -> None:
        self.freshness.note_answer_begun(103.0)
        self.assertFalse(self.freshness.is_stale(103.0 + 2.0 - MAX_PROCESS_PAUSE_S - 0.01))
        self.assertTrue(self.freshness.is_stale(103.0 + 2.0 - MAX_PROCESS_PAUSE_S))
        self.freshness.note_unanswered()
        self.freshness.note_answer_begun(104.0)
        self.assertTrue(self.freshness.is_stale(103.0 + 2.0 - MAX_PROCESS_PAUSE_S))
        self.freshness.note_answer(104.0)
        self.assertFalse(self.freshness.is_stale(110.0))

    def test_applying_an_earlier_answer_leaves_a_later_one_unapplied(self) -> None:
        self.freshness.note_answer_begun(103.0)
        self.freshness.note_answer(102.0)
        self.assertTrue(self.freshness.is_stale(103.0 + 2.0 - MAX_PROCESS_PAUSE_S))

    def test_refused_calls_do_not_renew_a_list_after_a_missed_answer(self) -> None:
        for has_begun in (False, True):
            with self.subTest(has_begun=has_begun):
                self.setUp()
                if has_begun:
                    self.freshness.note_answer_begun(101.0)
                self.freshness.note_unanswered()
                for call in range(1, 40):
                    self.freshness.note_unreachable(100.0 + call)
                self.assertTrue(self.freshness.is_stale(self.stale_s))

    def test_refused_calls_renew_the_list_again_after_a_complete_answer(self) -> None:
        self.freshness.note_answer_begun(101.0)
        self.freshness.note_unanswered()
        self.freshness.note_answer_begun(102.0)
        self.freshness.note_answer(102.0)
        self.freshness.note_unreachable(108.0)
        self.assertFalse(self.freshness.is_stale(112.0))

    def test_the_first_byte_of_a_rejection_is_not_a_notification(self) -> None:
        self.freshness.note_answer_begun(102.0)
        self.freshness.note_unreachable(101.9)
        self.assertFalse(self.freshness.is_stale(107.0))

    def test_repeated_address_changes_do_not_extend_the_deadline(self) -> None:
        for call in range(20):
            self.freshness.note_moved(100.5 + call)
        self.assertTrue(self.freshness.is_stale(self.stale_s))

    @given(st.lists(st.tuples(st.sampled_from(EVENTS), st.floats(0.0, 4.0)), max_size=40), GRACES_MS)
    def test_a_list_that_is_not_stale_never_violates_the_drain_rule(
        self, events: list[tuple[str, float]], grace_ms: float
    ) -> None:
        """Checks every order of call outcomes and address changes against the rule at several later times."""
        now_s, freshness = 100.0, EndpointFreshness(CallTiming.from_settings(grace_ms, False), 100.0)
        freshness.note_answer(now_s)
        for event, pause_s in events:
            now_s += pause_s
            note_event = getattr(freshness, event)
            note_event(*([] if event == "note_unanswered" else [now_s]))
            for later_s in (0.0, 0.1, 1.0, 4.0, 6.0, 8.0, 20.0):
                if not freshness.is_stale(now_s + later_s):
                    self.assertFalse(freshness.violates_drain_rule(now_s + later_s))

    def test_call_timeouts_are_a_bounded_share_of_the_remaining_time(self) -> None:
        self.assertEqual(self.freshness.call_timeout_s(100.0), 3.3)
        self.assertLess(self.freshness.call_timeout_s(self.stale_s - 1.0), 0.61)
        self.assertEqual(self.freshness.call_timeout_s(self.stale_s - 0.01), MIN_CALL_TIMEOUT_S)
        self.assertEqual(self.freshness.call_timeout_s(self.stale_s + 10.0), 3.3)

    def test_calls_back_off_while_failures_persist(self) -> None:
        """Without backoff, every scheduler of a fleet would request a large list several times a second."""
        rng, now_s, calls = random.Random(1), 100.0, 0
        while now_s < 160.0:
            self.freshness.note_unanswered()
            now_s += self.freshness.pause_s(rng, now_s, now_s)
            calls += 1
        self.assertLess(calls, 65)  # about 480 without backoff, at a mean pause of 0.125 s

    def test_the_duration_of_a_failed_call_counts_towards_the_pause(self) -> None:
        self.freshness.note_unreachable(100.0)
        rng = random.Random(1)
        self.assertGreater(max(self.freshness.pause_s(rng, 100.0, 100.0) for _ in range(200)), 2.0)
        self.assertLessEqual(
            max(self.freshness.pause_s(rng, 100.0, 103.0) for _ in range(200)), INCOMPLETE_ANSWER_RETRY_S
        )


if __name__ == "__main__":
    unittest.main()
