"""The operator's settings of what is reported to balancers, with their bounds."""

from __future__ import annotations

import msgspec


class HealthSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The defaults suit checks every second. A wrong value raises ValueError that names the setting."""

    notice_ms: float = 1750.0  # new work is still accepted so long after a drain: balancers learn of it
    floor: float = 10.0  # percent: a shortage alone never reports less
    slow_from: float = 10.0  # percent: reported first after a start, an undrain or an absence
    slow_start_ms: float = 10_000.0  # from there to 100 percent; no rise is ever faster
    fall_per_s: float = 60.0  # percentage points by which the weight may fall in a second
    step: float = 3.0  # percentage points: a smaller change is not reported
    short_at: float = 0.85  # of the loop's time: from here on the daemon is short of CPU
    short_ms: float = 150.0  # for so long: one burst or one pause of the machine is no shortage
    ease_at: float = 0.6  # below this it has enough again
    ease_ms: float = 2000.0  # for so long, before the shortage is over
    settle_ms: float = 1500.0  # between two cuts for CPU: balancers have to see one before the next
    starting_ms: float = 5000.0  # without a worker list the daemon is starting so long, then absent
    discovery_ms: float = 30_000.0  # if discovery is silent for longer, its list is stale

    def __post_init__(self) -> None:
        percents = ("floor", "slow_from", "step")
        for name in percents:
            if not 0 <= getattr(self, name) <= 100:
                raise ValueError(f"{name}: {getattr(self, name)} is no percentage")
        for name in ("slow_start_ms", "fall_per_s"):
            if not 0 < getattr(self, name) <= 3_600_000:
                raise ValueError(f"{name}: {getattr(self, name)} is not possible, it must be above 0")
        for name in ("notice_ms", "short_ms", "ease_ms", "settle_ms", "starting_ms", "discovery_ms"):
            if not 0 <= getattr(self, name) <= 3_600_000:
                raise ValueError(f"{name}: {getattr(self, name)} is not possible, 0 to 3600000 are")
        if not 0 < self.ease_at < self.short_at <= 1:
            raise ValueError(f"short_at: {self.short_at} must lie between ease_at and 1")
