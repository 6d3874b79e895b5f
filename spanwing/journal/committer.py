"""Group commit: a thread writes and syncs the records that the event loop submits, many with one sync.

submit() never waits for the disk. At most MAX_PENDING_RECORDS records are pending; beyond that submit()
returns False. Records reach the disk in the order of submission. Each callback runs on the event loop: with
an empty reason once its records are on disk, otherwise with the reason why they may not be.

For DISK_BACKOFF_S after a failed write nothing is written, and records that are due meanwhile fail at once
with the same reason. Then a write is retried, even if no records are pending. Records that were lost or
rejected are counted, and the next successful write includes a JournalGap with their count.
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
MAX_BATCH_RECORDS = 1024  # records in one write
DISK_BACKOFF_S = 1.0  # time without writes after a failed write
BATCH_DELAY_S = 0.05  # longest delay of records without a callback
RETENTION_INTERVAL_S = 60.0

CommitCallback = Callable[[str], None]  # gets the reason of the failure; empty if the records are on disk


class PendingBatch(NamedTuple):
    """The records of one submit() call, written together, and the callback that gets the result."""

    records: list[AnyRecord]
    on_commit: CommitCallback | None


class Committer:
    """Writes records to a segment log in a thread of its own, which owns the log from start() on.

    call_on_loop schedules a call on the event loop and may be used from any thread. wall_clock_ms returns the
    wall clock in ms, clock the monotonic clock in s.
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
        self.pending_records = 0  # number of records in `pending`
        self.is_write_due = False  # a pending batch has a callback, or a full batch is pending
        self.condition = threading.Condition()
        self.is_stopping = False
        self.failure_reason, self.retry_at_s = "", 0.0
        self.lost_records, self.lost_since_ms, self.lost_reason = 0, 0.0, ""
        self.syncs = self.written_records = 0
        self.write_started_at_s: float | None = None  # None while no write is in progress
        self.last_retention_at_s = clock()
        # The number of the oldest record that an open request needs, as of the last retention run.
        self.oldest_needed_number = segment_log.request_states.oldest_needed_number()
        self.thread = threading.Thread(target=self._run, name="journal", daemon=True)

    def start(self) -> None:
        """Starts the writer thread."""
        self.thread.start()

    def submit(self, records: list[AnyRecord], on_commit: CommitCallback | None = None) -> bool:
        """Submits records for one write and returns whether they were accepted.

        Records are rejected if too many are pending or stop() was called; on_commit is not called then.
        """
        with self.condition:
            if self.is_stopping or self.pending_records + len(records) > MAX_PENDING_RECORDS:
                self._count_lost(len(records), "too many records wait")
                return False
            self.pending.append(PendingBatch(records, on_commit))
            self.pending_records += len(records)
            # Records without a callback are written together with the next that have one, or after
            # BATCH_DELAY_S.
            if on_commit is not None or self.pending_records >= MAX_BATCH_RECORDS:
                self.is_write_due = True
                self.condition.notify()
            elif self.pending_records == len(records):
                self.condition.notify()
        return True

    def unavailable_reason(self, slow_after_s: float) -> str:
        """Returns why new records cannot be expected on disk soon; empty if they can.

        The reason is that the write in progress has taken longer than slow_after_s, or the error of the last
        write or retention run.
        """
        started_at_s = self.write_started_at_s
        if started_at_s is not None and self.clock() - started_at_s > slow_after_s:
            return "the disk is slow"
        return self.failure_reason

    def stop(self, timeout_s: float = 5.0) -> bool:
        """Writes the pending records and ends the thread; returns whether it ended within timeout_s."""
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
                self.condition.wait_for(lambda: self.is_write_due or self.is_stopping, BATCH_DELAY_S)
                batches = self._dequeue_batches()
                self.is_write_due = any(batch.on_commit for batch in self.pending)
            if not batches and self.is_stopping:
                self.segment_log.close()
                return
            self._commit(batches)
            self._apply_retention()

    def _is_retry_due(self) -> bool:
        """Returns whether the last write failed and DISK_BACKOFF_S has passed since.

        The retry must not wait for new records: with the failure policy `refuse` none come, as requests are
        rejected until a write succeeds.
        """
        return bool(self.failure_reason) and self.clock() >= self.retry_at_s

    def _dequeue_batches(self) -> list[PendingBatch]:
        """Removes and returns the oldest pending batches, MAX_BATCH_RECORDS records at most.

        A single batch that is larger is returned alone.
        """
        batches: list[PendingBatch] = []
        record_count = 0
        while self.pending and (
            not batches or record_count + len(self.pending[0].records) <= MAX_BATCH_RECORDS
        ):
            batches.append(self.pending.popleft())
            record_count += len(batches[-1].records)
        self.pending_records -= record_count
        return batches

    def _commit(self, batches: list[PendingBatch]) -> None:
        """Writes the batches' records or counts them as lost; the callbacks run on the event loop."""
        records = [record for batch in batches for record in batch.records]
        reason = (
            self.failure_reason
            if self.failure_reason and self.clock() < self.retry_at_s
            else self._write(records)
        )
        if reason:
            with self.condition:
                self._count_lost(len(records), reason)
        # One call on the event loop runs all callbacks: waking it for each would cost more than the sync that
        # they share.
        callbacks = [batch.on_commit for batch in batches if batch.on_commit is not None]
        if callbacks:
            self.call_on_loop(_run_callbacks, callbacks, reason)

    def _write(self, records: list[AnyRecord]) -> str:
        """Writes the records, after a JournalGap if any were lost; returns the reason if that failed."""
        now_ms = self.wall_clock_ms()
        with self.condition:
            lost_records, lost_since_ms, lost_reason = self.lost_records, self.lost_since_ms, self.lost_reason
        if lost_records:
            records = [
                JournalGap("", now_ms, self.clock() * 1000.0, lost_since_ms, lost_records, lost_reason),
                *records,
            ]
        self.write_started_at_s = self.clock()
        try:
            self.segment_log.write(records, now_ms)
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
        """Adds to the lost records that the next JournalGap reports."""
        if not self.lost_records:
            self.lost_since_ms = self.wall_clock_ms()
        self.lost_records, self.lost_reason = self.lost_records + count, reason

    def _apply_retention(self) -> None:
        """Removes expired segments, at most once per RETENTION_INTERVAL_S."""
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
    for callback in callbacks:
        callback(reason)
