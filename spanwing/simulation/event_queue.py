"""Event queue that advances simulated time.

Calls are made in order of their due time; calls due at the same time are made in the order in which they
were scheduled. Time never goes backwards, and cancelled calls are skipped. The queue holds at most
MAX_SCHEDULED_CALLS entries; a simulation that schedules more calls than it executes fails with
AssertionError instead of exhausting memory.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

MAX_SCHEDULED_CALLS = 20_000_000


class ScheduledCall:
    """A call scheduled at a simulated time, in ms."""

    __slots__ = ("arguments", "callback", "due_at_ms", "sequence")

    def __init__(
        self, due_at_ms: float, sequence: int, callback: Callable[..., object], arguments: tuple[Any, ...]
    ) -> None:
        self.due_at_ms, self.sequence, self.callback, self.arguments = (
            due_at_ms,
            sequence,
            callback,
            arguments,
        )

    def cancel(self) -> None:
        """Cancels the call. Its entry stays in the queue and is skipped when due."""
        self.callback = None

    def __lt__(self, other: ScheduledCall) -> bool:
        return (self.due_at_ms, self.sequence) < (other.due_at_ms, other.sequence)


class EventQueue:
    """Holds the current simulated time in ms and the scheduled calls."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self.scheduled_count = self.executed_count = 0
        self.pending: list[ScheduledCall] = []

    def schedule_at(
        self, due_at_ms: float, callback: Callable[..., object], *arguments: Any
    ) -> ScheduledCall:
        """Schedules a call at a time in ms, or at the current time if that is later.

        Raises AssertionError if the time is NaN or the queue is full.
        """
        assert due_at_ms == due_at_ms, due_at_ms  # false for NaN
        assert len(self.pending) < MAX_SCHEDULED_CALLS, len(self.pending)
        self.scheduled_count += 1
        scheduled = ScheduledCall(max(due_at_ms, self.now_ms), self.scheduled_count, callback, arguments)
        heapq.heappush(self.pending, scheduled)
        return scheduled

    def schedule_after(
        self, delay_ms: float, callback: Callable[..., object], *arguments: Any
    ) -> ScheduledCall:
        """Schedules a call after a delay in ms."""
        return self.schedule_at(self.now_ms + delay_ms, callback, *arguments)

    def run_until(self, end_ms: float) -> None:
        """Makes all calls that are due at or before `end_ms`, then sets the time to `end_ms`."""
        while self.pending and self.pending[0].due_at_ms <= end_ms:
            scheduled = heapq.heappop(self.pending)
            if scheduled.callback is None:
                continue
            assert scheduled.due_at_ms >= self.now_ms
            self.now_ms = scheduled.due_at_ms
            self.executed_count += 1
            scheduled.callback(*scheduled.arguments)
        self.now_ms = max(self.now_ms, end_ms)
