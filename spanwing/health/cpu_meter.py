"""Computes CPU usage from cumulative readings.

At most 64 readings are stored. All figures are differences within that window, so the starting point of a
clock does not matter, and a reading that steps back counts as no time at all.

The busy time of the event loop shows a shortage soonest: a process that needs 0.6 of a core and gets 0.5
uses only 0.5, yet its loop is busy all the time (utilisation of a server with one queue, Little 1961). The
kernel's figures of waiting time are not used: they are zero on many machines.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from spanwing.health.signals import CpuUsage

MAX_READINGS = 64
CONTENTION_WINDOW_S, CONTENTION_BUSY_RATIO, CONTENTION_STOLEN_RATIO = 0.15, 0.97, 0.5


class CpuReading(NamedTuple):
    """Cumulative times in seconds, each from one clock."""

    wall_s: float
    cpu_s: float  # of the whole process
    busy_s: float | None  # of the loop, outside its wait for input; None: not measured
    timer_delay_s: float  # delay of the timer that took this reading


class CpuMeter:
    """Computes CPU usage over the last window_s seconds."""

    def __init__(self, cores: float = 1.0, window_s: float = 0.3) -> None:
        assert cores > 0
        assert window_s > 0
        self.cores, self.window_s = cores, window_s
        self.readings: deque[CpuReading] = deque(maxlen=MAX_READINGS)

    def add_reading(self, reading: CpuReading) -> CpuUsage:
        """Adds a reading; returns the usage up to it."""
        readings = self.readings
        readings.append(reading)
        # The oldest reading that stays is the last one before the window: the window begins at it.
        while len(readings) > 2 and readings[1].wall_s <= reading.wall_s - self.window_s:
            readings.popleft()
        oldest = readings[0]
        wall = reading.wall_s - oldest.wall_s
        if wall <= 0:
            return CpuUsage()
        cpu = max(0.0, reading.cpu_s - oldest.cpu_s)
        used = cpu / (wall * self.cores)
        lag_ms = 1000.0 * max(each.timer_delay_s for each in list(readings)[1:])
        if reading.busy_s is None or oldest.busy_s is None:
            # Without the loop's busy time, late timers are the only sign of CPU wanted and not given.
            waited_s = sum(each.timer_delay_s for each in list(readings)[1:])
            return CpuUsage(
                used, min(1.0, max(used, (cpu + waited_s) / wall)), min(1.0, waited_s / wall), lag_ms
            )
        busy = min(wall, max(0.0, reading.busy_s - oldest.busy_s))
        return CpuUsage(
            used,
            min(1.0, max(used, busy / wall)),
            max(0.0, busy - cpu) / wall,
            lag_ms,
            self._is_contended(reading),
        )

    def _is_contended(self, latest: CpuReading) -> bool:
        """Returns whether others take most of the core, over the last CONTENTION_WINDOW_S (0.15 s) or a
        little more: such a neighbour fills the queue within a few hundred ms, and the whole window would
        show it too late.
        """
        earlier = next(
            (each for each in reversed(self.readings) if each.wall_s <= latest.wall_s - CONTENTION_WINDOW_S),
            None,
        )
        if earlier is None or earlier.busy_s is None:
            return False
        wall, busy = latest.wall_s - earlier.wall_s, latest.busy_s - earlier.busy_s
        return (
            busy >= CONTENTION_BUSY_RATIO * wall
            and busy - (latest.cpu_s - earlier.cpu_s) >= CONTENTION_STOLEN_RATIO * wall
        )
