"""Decides when a new process may use its persisted endpoint list before discovery has answered.

The persisted list is as old as the end of the previous process. It is used unconfirmed only if discovery is
unavailable to every scheduler, so that an outage of discovery at a start does not stop service. Pure; times
are loop times in seconds.
"""

from __future__ import annotations

from spanwing.discovery.call_failure import UNREACHABLE_FAILURES, CallFailure

MAX_START_SPREAD_S = 1.0
START_SPREAD_PER_SCHEDULER_S = 0.005  # mean gap between the first calls of a fleet that starts together
START_REJECTION_WAIT_S = 2.0  # calls are repeated for this long, as rejections may mean a brief overload
MAX_START_RETRY_S = 0.5  # longest pause between these calls
MAX_UNANSWERED_START_CALLS = 3  # in a row; a single unanswered call may be a lost answer


def start_spread_s(schedulers: int) -> float:
    """Returns the maximum random delay in seconds before a new process's first call.

    schedulers is the number of schedulers in the fleet.
    """
    return min(MAX_START_SPREAD_S, START_SPREAD_PER_SCHEDULER_S * schedulers)


class PersistedListPolicy:
    """Evaluates the failed calls of a new process until its endpoint list is announced."""

    def __init__(self) -> None:
        self.first_call_s: float | None = None
        self.unanswered_calls = 0  # in a row

    def may_serve_after(self, failure: CallFailure, call_began_s: float, now_s: float) -> bool:
        """Returns whether the persisted list may be used unconfirmed after a call with this failure."""
        if self.first_call_s is None:
            self.first_call_s = call_began_s
        self.unanswered_calls = self.unanswered_calls + 1 if failure is CallFailure.NO_ANSWER else 0
        if failure is CallFailure.NO_ANSWER:
            return self.unanswered_calls >= MAX_UNANSWERED_START_CALLS
        if failure in (CallFailure.CONNECT_FAILED, CallFailure.CONNECT_TIMEOUT):
            return True
        return failure in UNREACHABLE_FAILURES and now_s >= self.first_call_s + START_REJECTION_WAIT_S
