"""Group commit: records are submitted on the loop, written and synced by a thread, and reported on the loop.

submit() never waits for the disk; at most MAX_PENDING_RECORDS records are pending, beyond them it returns
False. Records reach the disk in the order of their submission. A callback gets "" only once its records are
on disk, and a reason if they may not be. After a failure the disk is not tried for DISK_BACKOFF_S: records
that come meanwhile get the same reason at once; then a write is retried, whether records are pending or not.
Records that were lost or left out are written down as a JournalGap as soon as the disk takes records again.
"""

from __future__ import annotations

import threading
import time
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from spanwing.journal.records import AnyRecord, JournalGap
from spanwing.journal.segment_log import SegmentLog

MAX_PENDING_RECORDS = 20_000
MAX_BATCH_RECORDS = 1024  # in one write
DISK_BACKOFF_S = 1.0
BATCH_DELAY_S = 0.05
RETENTION_INTERVAL_S = 60.0

CommitCallback = Callable[[str], None]


class PendingBatch(NamedTuple):
    """Records that are written together, and the callback that gets the result."""

    records: list[AnyRecord]
    on_commit: CommitCallback | None


class Committer:
    """Owns the log from start() on.

    call_on_loop runs a call on the loop, from any thread.
    """

    def __init__(
        self,
        segment_log: SegmentLog,
        call_on_loop: Callable[..., object],
        wall_clock_ms: Callable[[], float] = lambda: time.time() * 1000.0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.segment_log, self.call_on_loop, self.wall_clock_ms, self.clock = (
            segment_log,
            call_on_loop,
            wall_clock_ms,
            clock,
        )
        self.pending: deque[PendingBatch] = deque()
        self.pending_records = 0  # records in `pending`
        self.has_waiter = False  # a pending record has a callback
        self.condition = threading.Condition()
        self.is_stopping = False
        self.failure_reason, self.retry_at_s = "", 0.0
        self.lost_records, self.lost_since_ms, self.lost_reason = 0, 0.0, ""
        self.syncs = self.written_records = 0
        self.write_started_at_s: float | None = None  # set while a write is in progress
        self.last_retention_at_s = clock()
        self.oldest_needed_number = (
            segment_log.request_states.oldest_needed_number()
        )  # as of the last retention run: the first record that is still needed
        self.thread = threading.Thread(target=self._run, name="journal", daemon=True)

    def start(self) -> None:
        """Starts the thread that writes."""
        self.thread.start()

    def submit(self, records: list[AnyRecord], on_commit: CommitCallback | None = None) -> bool:
        """Submits records; returns False if too many are pending.

        Then, or once stop() was called, none is taken and on_commit is not called.
        """
        with self.condition:
            if self.is_stopping or self.pending_records + len(records) > MAX_PENDING_RECORDS:
                self._count_lost(len(records), "too many records wait")
                return False
            self.pending.append(PendingBatch(records, on_commit))
            self.pending_records += len(records)
            # Records without a callback are written with those that have one, or BATCH_DELAY_S later.
            if on_commit is not None or self.pending_records >= MAX_BATCH_RECORDS:
                self.has_waiter = True
                self.condition.notify()
            elif self.pending_records == len(records):
                self.condition.notify()
        return True

    def unavailable_reason(self, slow_after_s: float) -> str:
        """Returns why a write cannot be relied on soon; empty if it can.

        A write that takes longer than slow_after_s counts as slow.
        """
        started_at_s = self.write_started_at_s
        if started_at_s is not None and self.clock() - started_at_s > slow_after_s:
            return "the disk is slow"
        return self.failure_reason

    def stop(self, timeout_s: float = 5.0) -> bool:
        """Writes what is pending, then ends the thread; returns whether that was done within timeout_s."""
        with self.condition:
            self.is_stopping = True
            self.condition.notify()
        self.thread.join(timeout_s)
        return not self.thread.is_alive()

    def _run(self) -> None:
        while True:
            with self.condition:
                while not self.pending and not self.is_stopping and not self._is_retry_due():
                    self.condition.wait(DISK_BACKOFF_S if self.failure_reason else None)
                self.condition.wait_for(lambda: self.has_waiter or self.is_stopping, BATCH_DELAY_S)
                batch = self._dequeue_batch()
                self.has_waiter = any(handed.on_commit for handed in self.pending)
            if not batch and self.is_stopping:
                self.segment_log.close()
                return
            self._commit(batch)
            self._apply_retention()

    def _is_retry_due(self) -> bool:
        """Returns whether the disk is to be tried again after a failure.

        A retry needs no records: requests may be rejected until a write succeeds.
        """
        return bool(self.failure_reason) and self.clock() >= self.retry_at_s

    def _dequeue_batch(self) -> list[PendingBatch]:
        """Returns what is written together; submitted records larger than a batch are written alone."""
        batch: list[PendingBatch] = []
        size = 0
        while self.pending and (not batch or size + len(self.pending[0].records) <= MAX_BATCH_RECORDS):
            batch.append(self.pending.popleft())
            size += len(batch[-1].records)
        self.pending_records -= size
        return batch

    def _commit(self, batch: list[PendingBatch]) -> None:
        records = [record for handed in batch for record in handed.records]
        reason = (
            self.failure_reason
            if self.failure_reason and self.clock() < self.retry_at_s
            else self._write(records)
        )
        if reason:
            with self.condition:
                self._count_lost(len(records), reason)
        # One call on the loop for all callbacks: a wake-up for each would cost more than the shared sync.
        callbacks = [handed.on_commit for handed in batch if handed.on_commit is not None]
        if callbacks:
            self.call_on_loop(_run_callbacks, callbacks, reason)

    def _write(self, records: list[AnyRecord]) -> str:
        now = self.wall_clock_ms()
        with self.condition:
            lost_records, lost_since_ms, lost_reason = self.lost_records, self.lost_since_ms, self.lost_reason
        if lost_records:
            records = [
                JournalGap("", now, self.clock() * 1000.0, lost_since_ms, lost_records, lost_reason),
                *records,
            ]
        self.write_started_at_s = self.clock()
        try:
            self.segment_log.write(records, now)
        except (OSError, ValueError) as error:
            self.failure_reason = getattr(error, "strerror", None) or str(error)
            self.retry_at_s = self.clock() + DISK_BACKOFF_S
            return self.failure_reason
        finally:
            self.write_started_at_s = None
        with self.condition:
            self.lost_records -= lost_records
        self.failure_reason = ""
        self.syncs, self.written_records = self.syncs + 1, self.written_records + len(records)
        return ""

    def _count_lost(self, count: int, reason: str) -> None:
        if not self.lost_records:
            self.lost_since_ms = self.wall_clock_ms()
        self.lost_records, self.lost_reason = self.lost_records + count, reason

    def _apply_retention(self) -> None:
        if self.clock() - self.last_retention_at_s < RETENTION_INTERVAL_S:
            return
        self.last_retention_at_s = self.clock()
        self.oldest_needed_number = (
            self.segment_log.request_states.oldest_needed_number() or self.segment_log.next_number
        )
        try:
            self.segment_log.remove_expired(self.wall_clock_ms())
        except OSError as error:
            self.failure_reason = self.failure_reason or (error.strerror or str(error))


def _run_callbacks(callbacks: list[CommitCallback], reason: str) -> None:
    for each in callbacks:
        each(reason)
