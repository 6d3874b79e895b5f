"""How fresh the endpoint list is, by when it must be read again, and how the calls are timed to manage that.

Pure; times are loop time in seconds. The figures are those of the protocol page and of STANDING.md: what
discovery has counts as notified at the latest NOTIFIED_S after it had it and could be reached, whether or
not it arrived, and sends have to stop drain_grace later. What it has begun to write counts as notified at
once. So one deadline rules all calls: by then a whole answer must have been applied that discovery began to
give after the last one. Past it the list is stale: nothing may be sent by it.

A discovery that answers nobody notifies nobody, so the deadline moves on with each call that it refuses;
but only if nothing was missed before: what it had while it could be reached still counts.
"""

from __future__ import annotations

import enum
import random
from typing import NamedTuple

NOTIFIED_S = 6.0  # after discovery had a change and could be reached
POLL_HOLD_S = 3.0  # a poll without changes is answered after this, so that silence is noticed soon
DISCOVERY_MOVE_NOTIFIED_S = 4.0  # after a change of discovery's address
HELD_UP_S = 0.15  # a process may be held up for this long between reading its clock and writing
MAX_ANSWER_MARGIN_S = 1.5  # a poll's answer is due this long after its hold
MAX_PATIENCE_S = 3.3  # discovery itself fails a call that waited 3 s: its word is worth waiting for
MIN_PATIENCE_S = 0.25
PATIENCE_SHARE = 0.6  # of the time that is left: the rest is for further calls
MAX_STALL_S, MIN_STALL_S = 0.5, 0.1  # bounds on the longest gap within an answer
MAX_SPREAD_S = 3.0  # calls to a discovery that was unreachable are spread over this, against a herd
ADOPTED_WITHIN_S = 1.0  # a list taken over from another process has to be confirmed by a call within this
OWN_FAULT_RETRY_S = 0.25  # a call that failed in its answer concerns us alone: it is repeated within this
MAX_DOUBLINGS = 8
FAST_RETRIES = 3  # in a row; then the pause doubles, as the failure may be one that never passes


class CallTiming(NamedTuple):
    """The spans of the calls, from the settings."""

    poll_hold_s: float = POLL_HOLD_S
    answer_margin_s: float = MAX_ANSWER_MARGIN_S
    stall_s: float = MAX_STALL_S  # an answer that has begun may pause for this long
    stale_after_s: float = NOTIFIED_S + 2.0 - HELD_UP_S  # after the list was last known to be current
    spread_s: float = MAX_SPREAD_S  # longest pause before a call to a discovery that was unreachable
    moved_within_s: float = DISCOVERY_MOVE_NOTIFIED_S + 2.0 - HELD_UP_S
    max_patience_s: float = MAX_PATIENCE_S
    drain_grace_s: float = 2.0  # as the settings have it
    stale_after_unapplied_s: float = 2.0 - HELD_UP_S  # after an answer began that was not applied

    @classmethod
    def from_settings(cls, drain_grace_ms: float, is_pushed: bool) -> CallTiming:
        """Computes the spans.

        is_pushed: what discovery has counts at once whenever no watch is open, so failed calls are repeated
        within half of the grace.
        """
        grace_s = max(0.0, drain_grace_ms / 1000.0 - HELD_UP_S)
        stale_after_s = NOTIFIED_S + grace_s
        return cls(
            poll_hold_s=POLL_HOLD_S,
            answer_margin_s=min(MAX_ANSWER_MARGIN_S, (stale_after_s - POLL_HOLD_S) / 3.0),
            stall_s=min(MAX_STALL_S, max(MIN_STALL_S, grace_s / 4.0)),
            stale_after_s=stale_after_s,
            spread_s=max(0.05, min(1.0, drain_grace_ms / 2000.0))
            if is_pushed
            else min(MAX_SPREAD_S, 0.4 * stale_after_s),
            moved_within_s=DISCOVERY_MOVE_NOTIFIED_S + grace_s,
            drain_grace_s=drain_grace_ms / 1000.0,
            stale_after_unapplied_s=grace_s,
            max_patience_s=max(MIN_PATIENCE_S, grace_s / 2.0) if is_pushed else MAX_PATIENCE_S,
        )


class Freshness(enum.StrEnum):
    """What the list is worth."""

    CURRENT = "current"  # a whole answer came in time
    OVERDUE = "overdue"  # an answer was due; calls are being repeated, and there is time left
    UNREACHABLE = "unreachable"  # discovery answers nobody: nothing counts as notified
    STALE = (
        "stale"  # discovery can be reached and no whole answer came in time: nothing may be sent by the list
    )


class EndpointFreshness:
    """Keeps the deadline by which the list must be read again."""

    def __init__(self, timing: CallTiming, now_s: float) -> None:
        self.timing = timing
        self.current_until_s = now_s + timing.stale_after_s  # by the last answer, or the last refused call
        #: First byte of the earliest answer that is not applied yet; None: none has begun.
        self.unread_since_s: float | None = None
        self.unread_before_call_s: float | None = None  # the same, before the present call
        self.has_missed = False  # discovery could be reached, and a call brought no whole answer since
        self.is_unreachable = False
        self.failed_calls = 0  # in a row
        #: When the list was last known to be current, or discovery to answer nobody; None: never here.
        self.confirmed_s: float | None = None

    @property
    def deadline_s(self) -> float:
        """By when a whole answer must have been applied."""
        if self.unread_since_s is None:
            return self.current_until_s
        return min(self.current_until_s, self.unread_since_s + self.timing.stale_after_unapplied_s)

    def note_answer_begun(self, first_byte_s: float) -> None:
        """Notes the first byte of an answer: what it says counts as notified from now on."""
        self.unread_before_call_s = self.unread_since_s
        if self.unread_since_s is None:
            self.unread_since_s = first_byte_s

    def note_answer(self, current_as_of_s: float) -> None:
        """Notes that a whole answer was applied, which discovery began to give at this time."""
        self.is_unreachable, self.has_missed, self.failed_calls = False, False, 0
        if self.unread_since_s is not None and self.unread_since_s <= current_as_of_s:
            self.unread_since_s = None
        self.unread_before_call_s = self.unread_since_s
        self.current_until_s = max(self.current_until_s, current_as_of_s + self.timing.stale_after_s)
        self.confirmed_s = current_as_of_s

    def note_unreachable(self, call_began_s: float) -> None:
        """Notes a call that discovery refused, or that did not get through to it.

        The refusal itself is no list, so its bytes notify of nothing.
        """
        self.is_unreachable = True
        self.failed_calls += 1
        self.unread_since_s = self.unread_before_call_s
        if not self.has_missed and self.unread_since_s is None:
            self.current_until_s = max(self.current_until_s, call_began_s + self.timing.stale_after_s)
            self.confirmed_s = call_began_s

    def note_unanswered(self) -> None:
        """Notes a call that got through and brought no whole answer: the deadline stays."""
        self.is_unreachable, self.has_missed = False, True
        self.unread_before_call_s = self.unread_since_s
        self.failed_calls += 1

    def note_adopted(self, now_s: float) -> None:
        """Notes that the list is that of another process, of which only the revision is known."""
        self.current_until_s = min(self.current_until_s, now_s + ADOPTED_WITHIN_S)
        self.confirmed_s = now_s

    def note_moved(self, now_s: float) -> None:
        """Notes that discovery has another address from now on: never more time than there was."""
        self.is_unreachable = False
        self.current_until_s = min(self.current_until_s, now_s + self.timing.moved_within_s)
        if self.confirmed_s is not None:
            self.confirmed_s = min(self.confirmed_s, now_s + DISCOVERY_MOVE_NOTIFIED_S - NOTIFIED_S)

    def violates_drain_rule(self, now_s: float) -> bool:
        """Returns whether a send by the list would break the rule on drains, by its age alone.

        Computed apart from the deadline, to check it: the deadline ends HELD_UP_S earlier.
        """
        if self.confirmed_s is None:
            return True
        notified_s = self.confirmed_s + NOTIFIED_S
        if self.unread_since_s is not None:
            notified_s = min(notified_s, self.unread_since_s)
        return now_s > notified_s + self.timing.drain_grace_s

    def is_stale(self, now_s: float) -> bool:
        """Returns whether nothing may be sent by the list any more."""
        return now_s >= self.deadline_s

    def state(self, now_s: float) -> Freshness:
        """Returns the state, for logs and status."""
        if self.is_stale(now_s):
            return Freshness.STALE
        if self.is_unreachable:
            return Freshness.UNREACHABLE
        return Freshness.OVERDUE if self.failed_calls else Freshness.CURRENT

    def patience_s(self, now_s: float) -> float:
        """Returns how long the next call may take that has to be answered at once."""
        if self.is_stale(now_s):
            return self.timing.max_patience_s
        share_s = PATIENCE_SHARE * (self.deadline_s - now_s)
        return min(self.timing.max_patience_s, max(MIN_PATIENCE_S, share_s))

    def pause_s(self, draw: random.Random, call_began_s: float, now_s: float) -> float:
        """Returns the pause before the next call, after one that failed (full jitter).

        Calls to a discovery that was unreachable begin spread_s apart at most, so that a fleet does not come
        back at once; the time that the failed call took is part of that.
        """
        doublings = min(MAX_DOUBLINGS, max(0, self.failed_calls - FAST_RETRIES))
        pause_s = draw.uniform(0.0, min(OWN_FAULT_RETRY_S * 2**doublings, self.timing.spread_s))
        if self.is_unreachable:
            pause_s = max(pause_s, call_began_s + draw.uniform(0.0, self.timing.spread_s) - now_s)
        return pause_s
