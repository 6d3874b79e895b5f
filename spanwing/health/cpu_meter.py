"""Computes CPU usage from cumulative readings.

At most MAX_READINGS (64) readings are stored. All results are differences between readings, so the starting
point of a clock does not matter. A clock that steps back counts as having stood still.

The busy time of the event loop reveals a CPU shortage earliest: a process that needs 0.6 of a core and gets
0.5 uses only 0.5, but its loop is busy all the time (utilization of a server with one queue, Little 1961).
The kernel's figures for time spent waiting for CPU are not used, as they are zero on many machines.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from spanwing.health.signals import CpuUsage

MAX_READINGS = 64
# The CPU is contended if, within this window, the loop is busy for at least the first ratio of the time, and
# is busy without getting CPU for at least the second.
CONTENTION_WINDOW_S, CONTENTION_BUSY_RATIO, CONTENTION_STOLEN_RATIO = 0.15, 0.97, 0.5


class CpuReading(NamedTuple):
    """Cumulative times in seconds, and the delay of this reading's timer."""

    wall_s: float  # by a monotonic clock
    cpu_s: float  # CPU time of the whole process
    busy_s: float | None  # time in which the event loop did not wait for input; None: not measured
    timer_delay_s: float  # delay of the timer that took this reading


class CpuMeter:
    """Computes CPU usage over the last window_s seconds, relative to a limit of cores."""

    def __init__(self, cores: float = 1.0, window_s: float = 0.3) -> None:
        assert cores > 0
        assert window_s > 0
        self.cores, self.window_s = cores, window_s
        self.readings: deque[CpuReading] = deque(maxlen=MAX_READINGS)

    def add_reading(self, reading: CpuReading) -> CpuUsage:
        """Adds a reading and returns the usage in the window that ends with it.

        Returns the default CpuUsage for the first reading, or if the wall clock has not advanced.
        """
        readings = self.readings
        readings.append(reading)
        # The oldest reading that is kept is the last one before the window, which therefore starts there.
        while len(readings) > 2 and readings[1].wall_s <= reading.wall_s - self.window_s:
            readings.popleft()
        oldest = readings[0]
        elapsed_s = reading.wall_s - oldest.wall_s
        if elapsed_s <= 0:
            return CpuUsage()
        cpu_s = max(0.0, reading.cpu_s - oldest.cpu_s)
        used = cpu_s / (elapsed_s * self.cores)
        lag_ms = 1000.0 * max(each.timer_delay_s for each in list(readings)[1:])
        if reading.busy_s is None or oldest.busy_s is None:
            # If the loop's busy time is not measured, late timers are the only sign of a CPU shortage.
            waited_s = sum(each.timer_delay_s for each in list(readings)[1:])
            return CpuUsage(
                used,
                min(1.0, max(used, (cpu_s + waited_s) / elapsed_s)),
                min(1.0, waited_s / elapsed_s),
                lag_ms,
            )
        busy_s = min(elapsed_s, max(0.0, reading.busy_s - oldest.busy_s))
        return CpuUsage(
            used,
            min(1.0, max(used, busy_s / elapsed_s)),
            max(0.0, busy_s - cpu_s) / elapsed_s,
            lag_ms,
            self._is_contended(reading),
        )

    def _is_contended(self, latest: CpuReading) -> bool:
        """Returns whether other processes have taken most of the core during the last CONTENTION_WINDOW_S.

        Such contention fills the request queue within a few hundred milliseconds, and usage over the whole
        window would show it too late. The period starts at the latest reading that is old enough.
        """
        earlier = next(
            (each for each in reversed(self.readings) if each.wall_s <= latest.wall_s - CONTENTION_WINDOW_S),
            None,
        )
        if earlier is None or earlier.busy_s is None:
            return False
        elapsed_s, busy_s = latest.wall_s - earlier.wall_s, latest.busy_s - earlier.busy_s
        return (
            busy_s >= CONTENTION_BUSY_RATIO * elapsed_s
            and busy_s - (latest.cpu_s - earlier.cpu_s) >= CONTENTION_STOLEN_RATIO * elapsed_s
        )
