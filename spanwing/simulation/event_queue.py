"""Event queue of simulated time.

Calls are made in order of their time, and at the same time in the order in which they were scheduled. Time
never steps back, and a cancelled call is not made. Bounded by MAX_SCHEDULED_CALLS pending entries: a
simulation that schedules more than it executes fails with AssertionError.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

MAX_SCHEDULED_CALLS = 20_000_000


class ScheduledCall:
    """One call that is due; cancel() withdraws it."""

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
        """Withdraws the call; it stays in the queue and is skipped when due."""
        self.callback = None

    def __lt__(self, other: ScheduledCall) -> bool:
        return (self.due_at_ms, self.sequence) < (other.due_at_ms, other.sequence)


class EventQueue:
    """Holds the current simulated time and the calls that are due."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self.scheduled_count = self.executed_count = 0
        self.pending: list[ScheduledCall] = []

    def schedule_at(
        self, due_at_ms: float, callback: Callable[..., object], *arguments: Any
    ) -> ScheduledCall:
        """Schedules a call at this time (ms), or now if that time is past.

        Raises AssertionError if the time is NaN or the queue is full.
        """
        assert due_at_ms == due_at_ms, due_at_ms
        assert len(self.pending) < MAX_SCHEDULED_CALLS, len(self.pending)
        self.scheduled_count += 1
        scheduled = ScheduledCall(max(due_at_ms, self.now_ms), self.scheduled_count, callback, arguments)
        heapq.heappush(self.pending, scheduled)
        return scheduled

    def schedule_after(
        self, delay_ms: float, callback: Callable[..., object], *arguments: Any
    ) -> ScheduledCall:
        """Schedules a call after this delay, in ms."""
        return self.schedule_at(self.now_ms + delay_ms, callback, *arguments)

    def run_until(self, end_ms: float) -> None:
        """Makes all calls that are due up to this time (ms), then sets the time to it."""
        while self.pending and self.pending[0].due_at_ms <= end_ms:
            scheduled = heapq.heappop(self.pending)
            if scheduled.callback is None:
                continue
            assert scheduled.due_at_ms >= self.now_ms
            self.now_ms = scheduled.due_at_ms
            self.executed_count += 1
            scheduled.callback(*scheduled.arguments)
        self.now_ms = max(self.now_ms, end_ms)
