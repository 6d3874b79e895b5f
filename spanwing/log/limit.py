"""Limits how often one event is logged.

A token bucket for each event, MAX_EVENT_NAMES (256) of them at most; the least recently used one is
dropped. Suppressed lines are counted, and the next line of that event carries the count.
"""

from __future__ import annotations

from collections import OrderedDict

MAX_EVENT_NAMES = 256


class RateLimiter:
    """Allows lines_per_s lines of an event in a second, and bursts of this many."""

    def __init__(self, lines_per_s: float, burst: float) -> None:
        assert lines_per_s > 0
        assert burst >= 1
        self.lines_per_s, self.burst = lines_per_s, burst
        self.buckets: OrderedDict[str, tuple[float, float, int]] = (
            OrderedDict()
        )  # tokens, time of the last refill in s, suppressed lines

    def admit(self, event: str, now: float) -> int | None:
        """Returns how many lines of this event were suppressed since its last line, or None if this one is
        suppressed too. now: seconds.
        """
        tokens, refilled_at, left_out = self.buckets.pop(event, (self.burst, now, 0))
        tokens = min(self.burst, tokens + max(0.0, now - refilled_at) * self.lines_per_s)
        is_admitted = tokens >= 1.0
        self.buckets[event] = (tokens - is_admitted, now, 0 if is_admitted else left_out + 1)
        if len(self.buckets) > MAX_EVENT_NAMES:
            self.buckets.popitem(last=False)
        return left_out if is_admitted else None
