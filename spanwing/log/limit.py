"""How often one event may be told.

Guarantees: a pure bucket for each event, KINDS of them at most (the one unused longest goes); what is left
out is counted and told with the next line of that event, so nothing is lost without a trace.
"""

from __future__ import annotations

from collections import OrderedDict

KINDS = 256


class Limiter:
    """So many lines of an event in a second, with so many at once."""

    def __init__(self, per_second: float, burst: float) -> None:
        assert per_second > 0 and burst >= 1
        self.per_second, self.burst = per_second, burst
        self.buckets: OrderedDict[str, tuple[float, float, int]] = OrderedDict()  # tokens, when, left out

    def admit(self, event: str, now: float) -> int | None:
        """How many of this event were left out since its last line; None: this one is left out too."""
        tokens, at, missed = self.buckets.pop(event, (self.burst, now, 0))
        tokens = min(self.burst, tokens + max(0.0, now - at) * self.per_second)
        admitted = tokens >= 1.0
        self.buckets[event] = (tokens - admitted, now, 0 if admitted else missed + 1)
        if len(self.buckets) > KINDS:
            self.buckets.popitem(last=False)
        return missed if admitted else None
