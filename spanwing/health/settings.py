"""The operator's settings for the health that is reported to balancers, with their bounds."""

from __future__ import annotations

import msgspec


class HealthSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The settings of the table `balancers`; the defaults suit balancers that check every second.

    Weights are in percent; the thresholds of CPU demand are ratios of the event loop's time. An invalid value
    raises a ValueError that names the setting.
    """

    # Notice period of a drain: new work is still accepted, so that balancers can learn of the drain.
    notice_ms: float = 1750.0
    floor: float = 10.0  # percent; the minimum weight that a shortage alone can lead to
    slow_from: float = 10.0  # percent; the first weight of a slow start, after a start, undrain or absence
    # Time of a rise by 100 percentage points; the weight never rises faster.
    slow_start_ms: float = 10_000.0
    fall_per_s: float = 60.0  # percentage points; the weight falls by at most this in a second
    step: float = 3.0  # percentage points; smaller changes of the weight are not reported
    short_at: float = 0.85  # CPU demand from which on the daemon is overloaded
    # An overload must last this long to count as a shortage, so that one burst or one pause does not count.
    short_ms: float = 150.0
    ease_at: float = 0.6  # CPU demand below which the daemon recovers
    ease_ms: float = 2000.0  # how long it stays below ease_at before the shortage ends
    # Least time between two cuts of the weight for CPU, so that balancers see one cut before the next.
    settle_ms: float = 1500.0
    # After a start without an endpoint list, the state is "starting" for this long, then "absent".
    starting_ms: float = 5000.0
    discovery_ms: float = 30_000.0  # the endpoint list is stale if discovery is silent for longer

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
