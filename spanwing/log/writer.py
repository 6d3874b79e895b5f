"""Writes lines to standard error without ever blocking the loop.

enqueue() never waits. MAX_QUEUED_LINES (1000) lines at most are queued for a reader that does not read;
further ones are dropped and counted, and the count is written once there is room. close() gives the queued
lines CLOSE_TIMEOUT_S (0.5 s) to be written.
"""

from __future__ import annotations

import os
import queue
import threading

MAX_QUEUED_LINES = 1000
CLOSE_TIMEOUT_S = 0.5


class StderrWriter:
    """Writes in a thread of its own; a terminal or pipe may block it as long as it likes."""

    def __init__(self, descriptor: int = 2) -> None:
        self.descriptor, self.dropped_lines = descriptor, 0
        self.lines: queue.Queue[bytes | None] = queue.Queue(MAX_QUEUED_LINES)
        self.thread = threading.Thread(target=self._write_lines, name="log", daemon=True)
        self.thread.start()

    def enqueue(self, line: str) -> None:
        """Queues a line; drops and counts it if the queue is full."""
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
                self.dropped_lines += 1  # nobody reads any more; the daemon continues

    def close(self) -> None:
        """Ends the thread; waits 0.5 s at most for queued lines, and not at all if the queue is full."""
        try:
            self.lines.put_nowait(None)
        except queue.Full:
            return
        self.thread.join(CLOSE_TIMEOUT_S)
