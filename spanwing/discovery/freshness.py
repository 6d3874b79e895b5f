"""Freshness of the endpoint list: its deadline, and the timing of the calls that renew it.

The discovery protocol counts a change as notified, whether or not it has arrived, as soon as discovery begins
to write it in an answer, and at the latest MAX_NOTIFICATION_DELAY_S after discovery had the change and was
reachable. Sends to a draining worker must stop drain_grace after its notification. The list therefore has a
deadline by which the next complete answer must have been applied. After the deadline the list is stale, and
nothing may be sent based on it.

An unavailable discovery notifies no scheduler, so each call that it refuses extends the deadline. The
exception is a list that has missed an answer before: changes from the time when discovery was reachable
still count.

Pure; times are loop times in seconds.
"""

from __future__ import annotations

import enum
import random
from typing import NamedTuple

from spanwing import interface as api

MAX_NOTIFICATION_DELAY_S = 6.0  # after discovery had a change and was reachable
POLL_HOLD_S = 3.0  # a poll without changes is answered after this; short, so that silence is noticed soon
MAX_MOVE_NOTIFICATION_DELAY_S = 4.0  # after a change of discovery's address
MAX_PROCESS_PAUSE_S = 0.15  # tolerated pause of the process between reading its clock and writing
MAX_ANSWER_MARGIN_S = 1.5  # a poll's answer must begin within this after the end of its hold
MAX_CALL_TIMEOUT_S = 3.3  # discovery itself rejects a waiting call after 3 s; its answer is worth the wait
MIN_CALL_TIMEOUT_S = 0.25
CALL_TIMEOUT_SHARE = 0.6  # of the time to the deadline; the rest is left for further calls
MAX_STALL_TIMEOUT_S, MIN_STALL_TIMEOUT_S = 0.5, 0.1  # bounds on the longest gap within an answer
MAX_RETRY_SPREAD_S = 3.0  # spreads a fleet's retries after an outage of discovery, against a thundering herd
ADOPTED_LIST_CONFIRM_TIMEOUT_S = 1.0  # a call must confirm an adopted list within this time
INCOMPLETE_ANSWER_RETRY_S = 0.25  # retried soon, as an incomplete answer affects this scheduler alone
MAX_BACKOFF_DOUBLINGS = 8
FAST_RETRIES = 3  # in a row; after these the pause doubles, as the failure may be permanent


class CallTiming(NamedTuple):
    """Durations that time the calls and bound the age of the list."""

    poll_hold_s: float = POLL_HOLD_S
    answer_margin_s: float = MAX_ANSWER_MARGIN_S
    stall_timeout_s: float = MAX_STALL_TIMEOUT_S  # longest gap within an answer
    #: Lifetime of the list after it was last known to be current.
    stale_after_s: float = MAX_NOTIFICATION_DELAY_S + 2.0 - MAX_PROCESS_PAUSE_S
    retry_spread_s: float = MAX_RETRY_SPREAD_S  # longest pause before a retry while discovery is unreachable
    #: Lifetime of the list after a change of discovery's address.
    stale_after_move_s: float = MAX_MOVE_NOTIFICATION_DELAY_S + 2.0 - MAX_PROCESS_PAUSE_S
    max_call_timeout_s: float = MAX_CALL_TIMEOUT_S
    drain_grace_s: float = 2.0  # from the settings
    #: Lifetime of the list after an answer has begun, unless that answer is applied.
    stale_after_unapplied_s: float = 2.0 - MAX_PROCESS_PAUSE_S

    @classmethod
    def of(cls, settings: api.Settings) -> CallTiming:
        """Computes the durations from the settings of the policy in use."""
        return cls.from_settings(settings.drain_grace, not settings.subscribe)

    @classmethod
    def from_settings(cls, drain_grace_ms: float, is_pushed: bool) -> CallTiming:
        """Computes the durations from the settings.

        With is_pushed, changes count as notified immediately whenever no watch is open, so failed calls are
        retried within half of the grace.
        """
        grace_s = max(0.0, drain_grace_ms / 1000.0 - MAX_PROCESS_PAUSE_S)
        stale_after_s = MAX_NOTIFICATION_DELAY_S + grace_s
        return cls(
            poll_hold_s=POLL_HOLD_S,
            answer_margin_s=min(MAX_ANSWER_MARGIN_S, (stale_after_s - POLL_HOLD_S) / 3.0),
            stall_timeout_s=min(MAX_STALL_TIMEOUT_S, max(MIN_STALL_TIMEOUT_S, grace_s / 4.0)),
            stale_after_s=stale_after_s,
            retry_spread_s=max(0.05, min(1.0, drain_grace_ms / 2000.0))
            if is_pushed
            else min(MAX_RETRY_SPREAD_S, 0.4 * stale_after_s),
            stale_after_move_s=MAX_MOVE_NOTIFICATION_DELAY_S + grace_s,
            drain_grace_s=drain_grace_ms / 1000.0,
            stale_after_unapplied_s=grace_s,
            max_call_timeout_s=max(MIN_CALL_TIMEOUT_S, grace_s / 2.0) if is_pushed else MAX_CALL_TIMEOUT_S,
        )


class Freshness(enum.StrEnum):
    """State of the endpoint list."""

    CURRENT = "current"  # the last call returned a complete answer
    OVERDUE = "overdue"  # the last calls failed and are being retried; the deadline has not passed
    UNREACHABLE = "unreachable"  # discovery is unavailable to every scheduler; nothing counts as notified
    STALE = "stale"  # the deadline has passed; nothing may be sent based on the list


class EndpointFreshness:
    """Tracks the deadline by which the list must be renewed, from the outcome of every call."""

    def __init__(self, timing: CallTiming, now_s: float) -> None:
        self.timing = timing
        self.current_until_s = now_s + timing.stale_after_s  # set by the last answer or the last refused call
        #: First byte of the earliest answer that has not been applied; None if there is none.
        self.unapplied_since_s: float | None = None
        #: Value of unapplied_since_s before the current call, restored if the call is refused.
        self.unapplied_before_call_s: float | None = None
        #: A call has reached discovery without a complete answer, and none has been applied since.
        self.has_missed_answer = False
        self.is_unreachable = False  # the last call was refused or did not reach discovery
        self.failed_calls = 0  # in a row
        #: When this process last knew the list to be current or discovery to be unavailable; None: never.
        self.last_confirmed_s: float | None = None

    def change_timing(self, timing: CallTiming) -> None:
        """Takes other durations, as of a new policy; a shorter lifetime counts for the present list too."""
        self.current_until_s += min(0.0, timing.stale_after_s - self.timing.stale_after_s)
        self.timing = timing

    @property
    def deadline_s(self) -> float:
        """Returns the time by which a complete answer must have been applied."""
        if self.unapplied_since_s is None:
            return self.current_until_s
        return min(self.current_until_s, self.unapplied_since_s + self.timing.stale_after_unapplied_s)

    def note_answer_begun(self, first_byte_s: float) -> None:
        """Notes the first byte of an answer; its changes count as notified from this time."""
        self.unapplied_before_call_s = self.unapplied_since_s
        if self.unapplied_since_s is None:
            self.unapplied_since_s = first_byte_s

    def note_answer(self, current_as_of_s: float) -> None:
        """Notes that a complete answer was applied; it began at current_as_of_s."""
        self.is_unreachable, self.has_missed_answer, self.failed_calls = False, False, 0
        if self.unapplied_since_s is not None and self.unapplied_since_s <= current_as_of_s:
            self.unapplied_since_s = None
        self.unapplied_before_call_s = self.unapplied_since_s
        self.current_until_s = max(self.current_until_s, current_as_of_s + self.timing.stale_after_s)
        self.last_confirmed_s = current_as_of_s

    def note_unreachable(self, call_began_s: float) -> None:
        """Notes a call that discovery refused or that did not reach it.

        A refusal contains no list, so its bytes do not count as a notification.
        """
        self.is_unreachable = True
        self.failed_calls += 1
        self.unapplied_since_s = self.unapplied_before_call_s
        if not self.has_missed_answer and self.unapplied_since_s is None:
            self.current_until_s = max(self.current_until_s, call_began_s + self.timing.stale_after_s)
            self.last_confirmed_s = call_began_s

    def note_unanswered(self) -> None:
        """Notes a call that reached discovery without a complete answer; the deadline is unchanged."""
        self.is_unreachable, self.has_missed_answer = False, True
        self.unapplied_before_call_s = self.unapplied_since_s
        self.failed_calls += 1

    def note_adopted(self, now_s: float) -> None:
        """Notes that the list was adopted from another process; only its revision is known, not its age."""
        self.current_until_s = min(self.current_until_s, now_s + ADOPTED_LIST_CONFIRM_TIMEOUT_S)
        self.last_confirmed_s = now_s

    def note_moved(self, now_s: float) -> None:
        """Notes that discovery has a new address; this never extends the deadline."""
        self.is_unreachable = False
        self.current_until_s = min(self.current_until_s, now_s + self.timing.stale_after_move_s)
        if self.last_confirmed_s is not None:
            self.last_confirmed_s = min(
                self.last_confirmed_s, now_s + MAX_MOVE_NOTIFICATION_DELAY_S - MAX_NOTIFICATION_DELAY_S
            )

    def violates_drain_rule(self, now_s: float) -> bool:
        """Returns whether the list is so old that a send based on it could violate the drain rule.

        The rule forbids sends to a worker once the grace after the notification of its drain is over. The
        result is computed independently of the deadline, to verify it; the deadline is MAX_PROCESS_PAUSE_S
        earlier.
        """
        if self.last_confirmed_s is None:
            return True
        notified_s = self.last_confirmed_s + MAX_NOTIFICATION_DELAY_S
        if self.unapplied_since_s is not None:
            notified_s = min(notified_s, self.unapplied_since_s)
        return now_s > notified_s + self.timing.drain_grace_s

    def is_stale(self, now_s: float) -> bool:
        """Returns whether the deadline has passed, so that nothing may be sent based on the list."""
        return now_s >= self.deadline_s

    def state(self, now_s: float) -> Freshness:
        """Returns the state, for logs and status."""
        if self.is_stale(now_s):
            return Freshness.STALE
        if self.is_unreachable:
            return Freshness.UNREACHABLE
        return Freshness.OVERDUE if self.failed_calls else Freshness.CURRENT

    def call_timeout_s(self, now_s: float) -> float:
        """Returns the timeout in seconds of a call that discovery should answer immediately."""
        if self.is_stale(now_s):
            return self.timing.max_call_timeout_s
        share_s = CALL_TIMEOUT_SHARE * (self.deadline_s - now_s)
        return min(self.timing.max_call_timeout_s, max(MIN_CALL_TIMEOUT_S, share_s))

    def pause_s(self, rng: random.Random, call_began_s: float, now_s: float) -> float:
        """Returns the pause in seconds before the call after a failed one (backoff with full jitter).

        While discovery is unreachable, the next call begins up to retry_spread_s after the beginning of the
        failed one, so that the calls of a fleet are spread when discovery returns.
        """
        doublings = min(MAX_BACKOFF_DOUBLINGS, max(0, self.failed_calls - FAST_RETRIES))
        pause_s = rng.uniform(0.0, min(INCOMPLETE_ANSWER_RETRY_S * 2**doublings, self.timing.retry_spread_s))
        if self.is_unreachable:
            pause_s = max(pause_s, call_began_s + rng.uniform(0.0, self.timing.retry_spread_s) - now_s)
        return pause_s
