"""Decision CPU from cumulative readings.

Guarantees: a bounded window of readings (64 at most); figures come from differences within it, so a clock's
starting point does not matter and a reading that steps back is taken as no time at all.

The loop's own busy time tells shortage soonest: a process that needs 0.6 of a core and gets 0.5 uses only
0.5, yet its loop is busy all the time (utilisation of a server with one queue, Little 1961). The kernel's
figures of waiting time are no use: they are zero on many machines.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from spanwing.health.signals import Cpu

MOST = 64
ROBBED_S, ROBBED_BUSY, ROBBED_SHARE = 0.15, 0.97, 0.5


class Reading(NamedTuple):
    """Cumulative, in seconds of one clock each."""

    wall: float
    cpu: float  # of the whole process
    busy: float | None  # the loop outside its wait for input; None: not metered
    late: float  # by which the timer that took this reading came after its time


class CpuMeter:
    """Shares over the last window_s seconds."""

    def __init__(self, cores: float = 1.0, window_s: float = 0.3) -> None:
        assert cores > 0 and window_s > 0
        self.cores, self.window_s = cores, window_s
        self.readings: deque[Reading] = deque(maxlen=MOST)

    def read(self, reading: Reading) -> Cpu:
        """Take a reading; returns the figures up to it."""
        readings = self.readings
        readings.append(reading)
        # The first reading kept is the last one that is older than the window: its end is where ours begins.
        while len(readings) > 2 and readings[1].wall <= reading.wall - self.window_s:
            readings.popleft()
        first = readings[0]
        wall = reading.wall - first.wall
        if wall <= 0:
            return Cpu()
        cpu = max(0.0, reading.cpu - first.cpu)
        used = cpu / (wall * self.cores)
        lag_ms = 1000.0 * max(each.late for each in list(readings)[1:])
        if reading.busy is None or first.busy is None:
            # Without the loop's meter, late timers are the only sight of CPU that was wanted and not given.
            lost = sum(each.late for each in list(readings)[1:])
            return Cpu(used, min(1.0, max(used, (cpu + lost) / wall)), min(1.0, lost / wall), lag_ms)
        busy = min(wall, max(0.0, reading.busy - first.busy))
        return Cpu(
            used, min(1.0, max(used, busy / wall)), max(0.0, busy - cpu) / wall, lag_ms, self._robbed(reading)
        )

    def _robbed(self, last: Reading) -> bool:
        """Over the last ROBBED_S or a little more: a neighbour that takes most of the core fills the queue
        within a few hundred ms, and the whole window would tell too late."""
        first = next((each for each in reversed(self.readings) if each.wall <= last.wall - ROBBED_S), None)
        if first is None or first.busy is None:
            return False
        wall, busy = last.wall - first.wall, last.busy - first.busy
        return busy >= ROBBED_BUSY * wall and busy - (last.cpu - first.cpu) >= ROBBED_SHARE * wall
