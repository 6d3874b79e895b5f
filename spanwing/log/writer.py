"""Lines to standard error without ever holding up the loop.

Guarantees: put() never waits; WAITING lines at most are kept for a reader that does not read, further ones
are counted and the count is told once there is room; close() gives what waits LAST_S to leave.
"""

from __future__ import annotations

import os
import queue
import threading

WAITING = 1000
LAST_S = 0.5


class Writer:
    """A thread of its own writes; a terminal or pipe may block it as long as it likes."""

    def __init__(self, descriptor: int = 2) -> None:
        self.descriptor, self.lost = descriptor, 0
        self.lines: queue.Queue[bytes | None] = queue.Queue(WAITING)
        self.thread = threading.Thread(target=self._run, name="log", daemon=True)
        self.thread.start()

    def put(self, line: str) -> None:
        try:
            self.lines.put_nowait(line.encode("utf-8", "replace") + b"\n")
        except queue.Full:
            self.lost += 1

    def _run(self) -> None:
        while (line := self.lines.get()) is not None:
            lost, self.lost = self.lost, 0
            if lost:
                line += b"event=log_lost lines=%d\n" % lost
            try:
                while line:
                    line = line[os.write(self.descriptor, line) :]
            except OSError:
                self.lost += 1  # nobody reads any more; the daemon goes on

    def close(self) -> None:
        try:
            self.lines.put_nowait(None)
        except queue.Full:
            return
        self.thread.join(LAST_S)
