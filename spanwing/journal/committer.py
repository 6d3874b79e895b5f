"""Group commit: records are handed over on the loop, written and synced by a thread, and told back on the
loop.

Guarantees: submit() never waits for the disk; WAITING records at most wait, beyond them it says no; records
reach the disk in the order of their submission; a callback hears "" only once its records are on disk, and
a reason if they may not be. After a failure the disk is left alone for REST_S: what comes meanwhile hears
the same reason at once, and then it is tried again, whether anything has come or not. What was lost or left
out is written down as a Gap as soon as the disk takes records again.
"""

from __future__ import annotations

import threading
import time
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from spanwing.journal.log import Log
from spanwing.journal.records import Any, Gap

WAITING = 20_000
BATCH = 1024  # records in one write
REST_S = 1.0
LAZY_S = 0.05
RETAIN_S = 60.0

Told = Callable[[str], None]


class Handed(NamedTuple):
    """Records that go together, and who hears of it."""

    records: list[Any]
    told: Told | None


class Committer:
    """Owns the log from its start on; post: runs a call on the loop, from any thread."""

    def __init__(
        self,
        log: Log,
        post: Callable[..., object],
        wall_ms: Callable[[], float] = lambda: time.time() * 1000.0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.log, self.post, self.wall_ms, self.clock = log, post, wall_ms, clock
        self.waiting: deque[Handed] = deque()
        self.count = 0  # records that wait
        self.urgent = False  # somebody waits for one of them
        self.awake = threading.Condition()
        self.stopping = False
        self.failing, self.rest_until = "", 0.0
        self.lost, self.lost_since, self.lost_why = 0, 0.0, ""
        self.syncs = self.written = 0
        self.busy_since: float | None = None  # a write is going on
        self.retained_at = clock()
        self.oldest = log.ledger.oldest()  # as of the last look: the first record that is still needed
        self.thread = threading.Thread(target=self._run, name="journal", daemon=True)

    def start(self) -> None:
        self.thread.start()

    def submit(self, records: list[Any], told: Told | None = None) -> bool:
        """Hand records over; False where too many wait: then nothing was taken, and told hears nothing."""
        with self.awake:
            if self.stopping or self.count + len(records) > WAITING:
                self._miss(len(records), "too many records wait")
                return False
            self.waiting.append(Handed(records, told))
            self.count += len(records)
            # What nobody waits for rides along with what somebody does, or goes LAZY_S later.
            if told is not None or self.count >= BATCH:
                self.urgent = True
                self.awake.notify()
            elif self.count == len(records):
                self.awake.notify()
        return True

    def trouble(self, slow_s: float) -> str:
        """Why nothing can be relied on to be written soon; empty where it can. Slow: a write that goes on
        for longer than this."""
        busy = self.busy_since
        if busy is not None and self.clock() - busy > slow_s:
            return "the disk is slow"
        return self.failing

    def stop(self, wait_s: float = 5.0) -> bool:
        """Write what waits, then end; whether that was done in time."""
        with self.awake:
            self.stopping = True
            self.awake.notify()
        self.thread.join(wait_s)
        return not self.thread.is_alive()

    def _run(self) -> None:
        while True:
            with self.awake:
                while not self.waiting and not self.stopping and not self._to_try():
                    self.awake.wait(REST_S if self.failing else None)
                self.awake.wait_for(lambda: self.urgent or self.stopping, LAZY_S)
                batch = self._next()
                self.urgent = any(handed.told for handed in self.waiting)
            if not batch and self.stopping:
                self.log.close()
                return
            self._commit(batch)
            self._retain()

    def _to_try(self) -> bool:
        """A disk that failed has rested: who turns work away until it is back must hear that it is."""
        return bool(self.failing) and self.clock() >= self.rest_until

    def _next(self) -> list[Handed]:
        """What is written together; one that is larger than a batch goes alone."""
        batch: list[Handed] = []
        size = 0
        while self.waiting and (not batch or size + len(self.waiting[0].records) <= BATCH):
            batch.append(self.waiting.popleft())
            size += len(batch[-1].records)
        self.count -= size
        return batch

    def _commit(self, batch: list[Handed]) -> None:
        records = [record for handed in batch for record in handed.records]
        reason = self.failing if self.failing and self.clock() < self.rest_until else self._write(records)
        if reason:
            with self.awake:
                self._miss(len(records), reason)
        # All that were told the same way go back in one call: a wake-up of the loop for each would cost more
        # than the sync that they shared.
        told = [handed.told for handed in batch if handed.told is not None]
        if told:
            self.post(_tell_all, told, reason)

    def _write(self, records: list[Any]) -> str:
        now = self.wall_ms()
        with self.awake:
            lost, since, why = self.lost, self.lost_since, self.lost_why
        if lost:
            records = [Gap("", now, self.clock() * 1000.0, since, lost, why), *records]
        self.busy_since = self.clock()
        try:
            self.log.write(records, now)
        except (OSError, ValueError) as error:
            self.failing = getattr(error, "strerror", None) or str(error)
            self.rest_until = self.clock() + REST_S
            return self.failing
        finally:
            self.busy_since = None
        with self.awake:
            self.lost -= lost
        self.failing = ""
        self.syncs, self.written = self.syncs + 1, self.written + len(records)
        return ""

    def _miss(self, count: int, why: str) -> None:
        if not self.lost:
            self.lost_since = self.wall_ms()
        self.lost, self.lost_why = self.lost + count, why

    def _retain(self) -> None:
        if self.clock() - self.retained_at < RETAIN_S:
            return
        self.retained_at = self.clock()
        self.oldest = self.log.ledger.oldest() or self.log.number
        try:
            self.log.retain(self.wall_ms())
        except OSError as error:
            self.failing = self.failing or (error.strerror or str(error))


def _tell_all(told: list[Told], reason: str) -> None:
    for each in told:
        each(reason)
