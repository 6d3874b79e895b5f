"""Leases, as their holder and their grantor see them.

Pure except for clock_ms(). The holder counts a lease from just before it sent the renewal, the grantor from
when it confirmed the renewal, which is later; the two clocks therefore need not agree. The holder checks its
lease at each use, against a clock that does not stop while the process is stopped or the machine sleeps.
Bounds: MAX_REMEMBERED_RENEWALS renewals; a grant for an older one is ignored.
"""

from __future__ import annotations

import math
import time
from collections import OrderedDict

MAX_REMEMBERED_RENEWALS = 64
CLOCK_RATE_MARGIN = 1.1  # factor by which the grantor waits longer: clock rates may differ by a tenth


def clock_ms() -> float:
    """Returns the ms since the machine was booted, including time asleep (CLOCK_BOOTTIME)."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


class Lease:
    """The right to act that one session holds for a limited time, as the session sees it."""

    def __init__(self) -> None:
        self.renewals_sent: OrderedDict[int, float] = OrderedDict()
        self.expires_at_ms = -math.inf

    def record_renewal(self, message_id: int, now: float) -> None:
        """Records, at time `now` (ms), that a renewal is about to be sent."""
        self.renewals_sent[message_id] = now
        while len(self.renewals_sent) > MAX_REMEMBERED_RENEWALS:
            self.renewals_sent.popitem(last=False)

    def extend(self, message_id: int, lease_ms: float) -> None:
        """Extends the lease to lease_ms after the renewal was sent. Ignores an unknown renewal."""
        sent_at_ms = self.renewals_sent.pop(message_id, None)
        if sent_at_ms is not None and lease_ms > 0:
            self.expires_at_ms = max(self.expires_at_ms, sent_at_ms + lease_ms)

    def is_valid(self, now: float) -> bool:
        """Returns whether the lease is valid at time `now` (ms)."""
        return now < self.expires_at_ms


def lease_expiry_ms(confirmed_at_ms: float, lease_ms: float) -> float:
    """Returns the time from which the grantor may assume that the holder's lease has expired.

    confirmed_at_ms is when the grantor confirmed the renewal, by its own clock: after a majority read that
    began after the renewal was received.
    """
    return confirmed_at_ms + CLOCK_RATE_MARGIN * lease_ms
