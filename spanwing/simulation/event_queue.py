"""What is due in simulated time.

Guarantees: calls are made in order of their time, and at the same time in the order in which they were
entered; time never steps back; a call that was struck out is not made. Bounded by MOST entries: a world that
enters more than it works off is at fault, and says so.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

MAX_SCHEDULED_CALLS = 20_000_000


class ScheduledCall:
    """One call that is due; strike() takes it back."""

    __slots__ = ("callback", "arguments", "sequence", "due_at_ms")

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
        self.callback = None

    def __lt__(self, other: ScheduledCall) -> bool:
        return (self.due_at_ms, self.sequence) < (other.due_at_ms, other.sequence)


class EventQueue:
    """Time and what is due."""

    def __init__(self) -> None:
        self.now_ms = 0.0  # ms
        self.scheduled_count = self.executed_count = 0
        self.pending: list[ScheduledCall] = []

    def schedule_at(
        self, due_at_ms: float, callback: Callable[..., object], *arguments: Any
    ) -> ScheduledCall:
        """Call at this time, at once where it is past."""
        assert due_at_ms == due_at_ms and len(self.pending) < MAX_SCHEDULED_CALLS, (
            due_at_ms,
            len(self.pending),
        )
        self.scheduled_count += 1
        scheduled = ScheduledCall(max(due_at_ms, self.now_ms), self.scheduled_count, callback, arguments)
        heapq.heappush(self.pending, scheduled)
        return scheduled

    def schedule_after(
        self, delay_ms: float, callback: Callable[..., object], *arguments: Any
    ) -> ScheduledCall:
        return self.schedule_at(self.now_ms + delay_ms, callback, *arguments)

    def run_until(self, end_ms: float) -> None:
        """Make all calls up to this time; now is that time afterwards."""
        while self.pending and self.pending[0].due_at_ms <= end_ms:
            scheduled = heapq.heappop(self.pending)
            if scheduled.callback is None:
                continue
            assert scheduled.due_at_ms >= self.now_ms
            self.now_ms = scheduled.due_at_ms
            self.executed_count += 1
            scheduled.callback(*scheduled.arguments)
        self.now_ms = max(self.now_ms, end_ms)
