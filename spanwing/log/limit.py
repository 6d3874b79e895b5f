"""How often one event may be told.

Guarantees: a pure bucket for each event, KINDS of them at most (the one unused longest goes); what is left
out is counted and told with the next line of that event, so nothing is lost without a trace.
"""

from __future__ import annotations

from collections import OrderedDict

MAX_EVENT_NAMES = 256


class RateLimiter:
    """So many lines of an event in a second, with so many at once."""

    def __init__(self, lines_per_s: float, burst: float) -> None:
        assert lines_per_s > 0 and burst >= 1
        self.lines_per_s, self.burst = lines_per_s, burst
        self.buckets: OrderedDict[str, tuple[float, float, int]] = OrderedDict()  # tokens, when, left out

    def admit(self, event: str, now: float) -> int | None:
        """How many of this event were left out since its last line; None: this one is left out too."""
        tokens, refilled_at, left_out = self.buckets.pop(event, (self.burst, now, 0))
        tokens = min(self.burst, tokens + max(0.0, now - refilled_at) * self.lines_per_s)
        is_admitted = tokens >= 1.0
        self.buckets[event] = (tokens - is_admitted, now, 0 if is_admitted else left_out + 1)
        if len(self.buckets) > MAX_EVENT_NAMES:
            self.buckets.popitem(last=False)
        return left_out if is_admitted else None
