"""Lines to standard error without ever holding up the loop.

Guarantees: put() never waits; WAITING lines at most are kept for a reader that does not read, further ones
are counted and the count is told once there is room; close() gives what waits LAST_S to leave.
"""

from __future__ import annotations

import os
import queue
import threading

MAX_QUEUED_LINES = 1000
CLOSE_TIMEOUT_S = 0.5


class StderrWriter:
    """A thread of its own writes; a terminal or pipe may block it as long as it likes."""

    def __init__(self, descriptor: int = 2) -> None:
        self.descriptor, self.dropped_lines = descriptor, 0
        self.lines: queue.Queue[bytes | None] = queue.Queue(MAX_QUEUED_LINES)
        self.thread = threading.Thread(target=self._write_lines, name="log", daemon=True)
        self.thread.start()

    def enqueue(self, line: str) -> None:
        try:
            self.lines.put_nowait(line.encode("utf-8", "replace") + b"\n")
        except queue.Full:
            self.dropped_lines += 1

    def _write_lines(self) -> None:
        while (line := self.lines.get()) is not None:
            dropped, self.dropped_lines = self.dropped_lines, 0
            if dropped:
                line += b"event=log_lost lines=%d\n" % dropped
            try:
                while line:
                    line = line[os.write(self.descriptor, line) :]
            except OSError:
                self.dropped_lines += 1  # nobody reads any more; the daemon goes on

    def close(self) -> None:
        try:
            self.lines.put_nowait(None)
        except queue.Full:
            return
        self.thread.join(CLOSE_TIMEOUT_S)
