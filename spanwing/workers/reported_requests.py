"""Remembers which requests have ended at a worker, while a report on them may still come late or again.

A worker repeats a call until it gets an answer, and a call names its request but no attempt. If the worker
gets the request again meanwhile, a call about the earlier attempt would end the new one.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

# A call is made ten times at most; a worker that waits 3 s for each answer has given up after this.
REPEAT_WINDOW_S = 30.0
MAX_REPORTED_REQUESTS = 4096  # of all workers together; the oldest are dropped


class ReportedRequests:
    """The requests that ended without a result after a worker had them, within the last REPEAT_WINDOW_S."""

    def __init__(self, now_s: Callable[[], float]) -> None:
        """now_s returns the time in seconds of a monotonic clock."""
        self.now_s = now_s
        self.ended_at_s: OrderedDict[tuple[str, str], float] = OrderedDict()  # by worker and request

    def add(self, worker: str, request: str) -> None:
        """Notes that an attempt of this request has ended at this worker."""
        self._drop_old()
        self.ended_at_s[worker, request] = self.now_s()
        self.ended_at_s.move_to_end((worker, request))
        if len(self.ended_at_s) > MAX_REPORTED_REQUESTS:
            self.ended_at_s.popitem(last=False)

    def may_be_reported(self, worker: str, request: str) -> bool:
        """Returns whether this worker may still report on an earlier attempt of this request."""
        self._drop_old()
        return (worker, request) in self.ended_at_s

    def _drop_old(self) -> None:
        oldest_s = self.now_s() - REPEAT_WINDOW_S
        while self.ended_at_s and next(iter(self.ended_at_s.values())) < oldest_s:
            self.ended_at_s.popitem(last=False)
