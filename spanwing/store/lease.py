"""What a holder may still use of what was granted to it.

Guarantees: pure but for clock_ms(). A grant counts from the moment before its renewal was sent, so no two
clocks need agree; it is compared at the moment of use with a clock that runs while the process is stopped and
while the machine sleeps. Bounds: ASKED renewals are remembered, a grant of an older one is passed over.
"""

from __future__ import annotations

import math
import time
from collections import OrderedDict

MAX_REMEMBERED_RENEWALS = 64
CLOCK_RATE_MARGIN = 1.1  # whoever granted waits this much longer: clocks may differ by a tenth in rate


def clock_ms() -> float:
    """This machine's time since its start, sleep and stops included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


class Lease:
    """One session's right to act."""

    def __init__(self) -> None:
        self.renewals_sent: OrderedDict[int, float] = OrderedDict()
        self.expires_at_ms = -math.inf

    def record_renewal(self, message_id: int, now: float) -> None:
        """Renewal n is about to be sent."""
        self.renewals_sent[message_id] = now
        while len(self.renewals_sent) > MAX_REMEMBERED_RENEWALS:
            self.renewals_sent.popitem(last=False)

    def extend(self, message_id: int, lease_ms: float) -> None:
        """Renewal n was granted; an unknown one gives nothing."""
        sent_at = self.renewals_sent.pop(message_id, None)
        if sent_at is not None and lease_ms > 0:
            self.expires_at_ms = max(self.expires_at_ms, sent_at + lease_ms)

    def is_valid(self, now: float) -> bool:
        return now < self.expires_at_ms


def lease_expiry_ms(confirmed_at_ms: float, lease_ms: float) -> float:
    """When whoever granted may take it that the holder acts no more; confirmed: by its own clock, after a
    read by majority that began after the renewal had come."""
    return confirmed_at_ms + CLOCK_RATE_MARGIN * lease_ms
