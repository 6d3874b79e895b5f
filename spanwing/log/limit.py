"""Limits the rate at which each event is logged.

There is a token bucket for each event, for at most MAX_EVENT_NAMES (256) events; beyond that the least
recently used bucket is dropped. Suppressed lines are counted, and the event's next line carries the count.
"""

from __future__ import annotations

from collections import OrderedDict

MAX_EVENT_NAMES = 256


class RateLimiter:
    """Allows lines_per_s lines of each event on average, and bursts of burst_lines."""

    def __init__(self, lines_per_s: float, burst_lines: float) -> None:
        assert lines_per_s > 0
        assert burst_lines >= 1
        self.lines_per_s, self.burst_lines = lines_per_s, burst_lines
        # By event: tokens, time of the last refill in s, suppressed lines.
        self.buckets: OrderedDict[str, tuple[float, float, int]] = OrderedDict()

    def admit(self, event: str, now_s: float) -> int | None:
        """Returns the number of lines suppressed since the event's last line, or None to suppress this one.

        now_s must come from a monotonic clock.
        """
        tokens, refilled_at_s, suppressed_lines = self.buckets.pop(event, (self.burst_lines, now_s, 0))
        tokens = min(self.burst_lines, tokens + max(0.0, now_s - refilled_at_s) * self.lines_per_s)
        is_admitted = tokens >= 1.0
        self.buckets[event] = (tokens - is_admitted, now_s, 0 if is_admitted else suppressed_lines + 1)
        if len(self.buckets) > MAX_EVENT_NAMES:
            self.buckets.popitem(last=False)
        return suppressed_lines if is_admitted else None
