"""Watches the process's own memory and the turns of its event loop, and logs what an operator has to know.

A process that is killed for its memory leaves no other record, and a process whose event loop is held up sees
answers late that arrived in time.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable

from tornado.ioloop import IOLoop

from spanwing.log import log_event
from spanwing.resources.memory_account import MemoryAccount
from spanwing.resources.memory_release import MemoryReleaser, trim_allocator

CHECK_INTERVAL_S = 0.5
LONG_TURN_S = 0.25  # a turn of the event loop that is longer is logged
MEMORY_LEVELS = (0.5, 0.75, 0.9, 1.0)  # shares of the memory limit at which the use is logged
REARM_SHARE = 0.1  # a level is logged again once the use has fallen this far below it
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MB = 1024 * 1024


class MemoryGauge:
    """Reads the resident memory of this process."""

    def __init__(self) -> None:
        self.statm_fd = os.open("/proc/self/statm", os.O_RDONLY | os.O_CLOEXEC)

    def resident_bytes(self) -> int:
        """Returns the resident memory in bytes (proc(5), statm)."""
        return int(os.pread(self.statm_fd, 256, 0).split()[1]) * PAGE_BYTES

    def close(self) -> None:
        """Closes the file."""
        os.close(self.statm_fd)


class MemoryLevels:
    """Tells when the use of memory rises above one of MEMORY_LEVELS."""

    def __init__(self) -> None:
        self.reached = 0  # number of levels that the use has reached

    def rises_to(self, share: float) -> float | None:
        """Returns the highest level that this share of the limit newly reaches, or None."""
        while self.reached and share < MEMORY_LEVELS[self.reached - 1] - REARM_SHARE:
            self.reached -= 1
        level = None
        while self.reached < len(MEMORY_LEVELS) and share >= MEMORY_LEVELS[self.reached]:
            level = MEMORY_LEVELS[self.reached]
            self.reached += 1
        return level


class ProcessMonitor:
    """Checks the process every CHECK_INTERVAL_S, and counts what it finds."""

    def __init__(
        self,
        memory_limit_mb: Callable[[], float],
        account: MemoryAccount,
        drop_spare_memory: Callable[[], None] = lambda: None,
    ) -> None:
        """memory_limit_mb returns the limit in MB, which a reload may change.

        account gets its budget from the checks. drop_spare_memory drops what is only kept to be used again.
        """
        self.account = account
        self.drop_spare_memory, self.releaser = drop_spare_memory, MemoryReleaser(self._release_memory)
        self.memory_limit_mb, self.loop = memory_limit_mb, IOLoop.current()
        self.started_s = time.monotonic()
        self.due_s = self.loop.time()
        self.gauge, self.levels = MemoryGauge(), MemoryLevels()
        self.peak_bytes = 0
        self.long_turns, self.longest_turn_ms = 0, 0
        self.stalled_s = 0.0  # total length of the long turns

    def start(self) -> None:
        """Starts the checks, which end with the event loop."""
        self.due_s = self.loop.time() + CHECK_INTERVAL_S
        self.loop.call_at(self.due_s, self._check)

    def _check(self) -> None:
        turn_s = self.loop.time() - self.due_s
        if turn_s > LONG_TURN_S:
            self._note_long_turn(turn_s)
        self._check_memory()
        self.account.update_budget(self.memory_limit_mb(), self.gauge.resident_bytes())
        self.releaser.check(self.gauge.resident_bytes(), self.loop.time())
        self.start()

    def _release_memory(self) -> None:
        self.drop_spare_memory()
        trim_allocator()

    def _note_long_turn(self, turn_s: float) -> None:
        self.long_turns += 1
        self.stalled_s += turn_s
        self.longest_turn_ms = max(self.longest_turn_ms, round(turn_s * 1000.0))
        log_event(
            "loop_held_up",
            level="warning",
            turn_ms=round(turn_s * 1000.0),
            uptime_s=round(self.uptime_s(), 1),
        )

    def _check_memory(self) -> None:
        used_bytes, limit_mb = self.gauge.resident_bytes(), self.memory_limit_mb()
        self.peak_bytes = max(self.peak_bytes, used_bytes)
        level = self.levels.rises_to(used_bytes / MB / limit_mb)
        if level is not None:
            log_event(
                "memory",
                level="warning" if level > MEMORY_LEVELS[0] else "info",
                used_mb=round(used_bytes / MB, 1),
                limit_mb=limit_mb,
                held_kb=self.account.held_bytes // 1024,
                budget_kb=self.account.figures()["budget_kb"],
                messages_given_up=self.account.shed_count,
                uptime_s=round(self.uptime_s(), 1),
            )

    def uptime_s(self) -> float:
        """Returns the seconds since the monitor was created."""
        return time.monotonic() - self.started_s

    def has_findings(self) -> bool:
        """Returns whether the event loop was held up, or the memory use has reached one of MEMORY_LEVELS."""
        return self.long_turns > 0 or self.levels.reached > 0

    def log_figures(self) -> None:
        """Logs the figures."""
        log_event(
            "process",
            rate_limited=False,
            used_kb=self.gauge.resident_bytes() // 1024,
            peak_kb=self.figures()["memory_peak_kb"],
            held_kb=self.account.held_bytes // 1024,
            messages_given_up=self.account.shed_count,
            long_turns=self.long_turns,
            longest_turn_ms=self.longest_turn_ms,
            uptime_s=round(self.uptime_s(), 1),
        )

    def figures(self) -> dict[str, int]:
        """Returns the figures by name, as statistics and status show them."""
        return {
            "memory_used_kb": self.gauge.resident_bytes() // 1024,
            "memory_peak_kb": max(self.peak_bytes, self.gauge.resident_bytes()) // 1024,
            "loop_long_turns": self.long_turns,
            "loop_longest_turn_ms": self.longest_turn_ms,
            **self.account.figures(),
        }
