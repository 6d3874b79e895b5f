"""Leases: what a holder may still use of what was granted to it.

Pure but for clock_ms(). A grant counts from just before its renewal was sent, so that no two clocks need
agree. It is compared at the moment of use with a clock that runs on while the process is stopped or the
machine sleeps. Bounds: MAX_REMEMBERED_RENEWALS renewals; a grant of an older one is ignored.
"""

from __future__ import annotations

import math
import time
from collections import OrderedDict

MAX_REMEMBERED_RENEWALS = 64
CLOCK_RATE_MARGIN = 1.1  # the grantor waits this much longer: clock rates may differ by a tenth


def clock_ms() -> float:
    """Returns the ms since the machine's start, sleep included (CLOCK_BOOTTIME)."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


class Lease:
    """One session's right to act."""

    def __init__(self) -> None:
        self.renewals_sent: OrderedDict[int, float] = OrderedDict()
        self.expires_at_ms = -math.inf

    def record_renewal(self, message_id: int, now: float) -> None:
        """Records that a renewal is about to be sent."""
        self.renewals_sent[message_id] = now
        while len(self.renewals_sent) > MAX_REMEMBERED_RENEWALS:
            self.renewals_sent.popitem(last=False)

    def extend(self, message_id: int, lease_ms: float) -> None:
        """Extends the lease by lease_ms from when the renewal was sent; ignores an unknown renewal."""
        sent_at = self.renewals_sent.pop(message_id, None)
        if sent_at is not None and lease_ms > 0:
            self.expires_at_ms = max(self.expires_at_ms, sent_at + lease_ms)

    def is_valid(self, now: float) -> bool:
        """Returns whether the lease is valid at this time."""
        return now < self.expires_at_ms


def lease_expiry_ms(confirmed_at_ms: float, lease_ms: float) -> float:
    """Returns when the grantor may assume that the holder acts no more.

    confirmed_at_ms: by the grantor's clock, after a majority read that began after the renewal was received.
    """
    return confirmed_at_ms + CLOCK_RATE_MARGIN * lease_ms
