"""Writes lines to standard error without blocking the event loop.

enqueue() never waits. At most MAX_QUEUED_LINES (1000) lines are queued for a reader that does not read.
Further lines are dropped and counted, and the count is written after the next line. close() gives the queued
lines CLOSE_TIMEOUT_S (0.5 s) to be written.
"""

from __future__ import annotations

import os
import queue
import threading

MAX_QUEUED_LINES = 1000
CLOSE_TIMEOUT_S = 0.5


class StderrWriter:
    """Writes lines in a thread of its own, which a slow terminal or pipe may block."""

    def __init__(self, fd: int = 2) -> None:
        self.fd, self.dropped_lines = fd, 0
        self.lines: queue.Queue[bytes | None] = queue.Queue(MAX_QUEUED_LINES)
        self.thread = threading.Thread(target=self._write_lines, name="log", daemon=True)
        self.thread.start()

    def enqueue(self, line: str) -> None:
        """Queues a line for the thread; drops and counts it if the queue is full."""
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
                    line = line[os.write(self.fd, line) :]
            except OSError:
                self.dropped_lines += 1  # the reader has gone; the daemon continues without its log

    def close(self) -> None:
        """Ends the thread after the queued lines; waits at most 0.5 s, or not at all if the queue is full."""
        try:
            self.lines.put_nowait(None)
        except queue.Full:
            return
        self.thread.join(CLOSE_TIMEOUT_S)
