"""When a new process may serve by the list that it was started with, although discovery has not answered.

Pure; times are loop time in seconds. That list is as old as the end of the former process. It is used as it
is only if discovery answers nobody: an outage at a start must not end service.
"""

from __future__ import annotations

from spanwing.discovery.call_failure import UNREACHABLE_FAILURES, CallFailure

MAX_START_SPREAD_S = 1.0
START_SPREAD_PER_SCHEDULER_S = 0.005  # mean gap between the first calls of a fleet that starts at once
START_PATIENCE_S = 2.0  # a discovery that rejects calls may be crowded: it is asked for so long
START_RETRY_S = 0.5  # longest pause between these calls
SILENT_START_CALLS = 3  # one silent call may be a lost answer; so many in a row are not


def start_spread_s(schedulers: int) -> float:
    """Returns within which time a new process makes its first call, in a fleet of this size."""
    return min(MAX_START_SPREAD_S, START_SPREAD_PER_SCHEDULER_S * schedulers)


class PersistedListPolicy:
    """Judges the failed calls of a new process, until its list is announced."""

    def __init__(self) -> None:
        self.first_call_s: float | None = None
        self.silent_calls = 0  # in a row

    def may_serve_after(self, failure: CallFailure, call_began_s: float, now_s: float) -> bool:
        """Returns whether the persisted list may be used as it is, after a call that failed so."""
        if self.first_call_s is None:
            self.first_call_s = call_began_s
        self.silent_calls = self.silent_calls + 1 if failure is CallFailure.NO_ANSWER else 0
        if failure is CallFailure.NO_ANSWER:
            return self.silent_calls >= SILENT_START_CALLS
        if failure in (CallFailure.CONNECT_FAILED, CallFailure.CONNECT_TIMEOUT):
            return True
        return failure in UNREACHABLE_FAILURES and now_s >= self.first_call_s + START_PATIENCE_S
