"""The daemon's interface to the journal: records the events of requests, and knows the interrupted ones.

An attempt may be forwarded only after its intent is reported to be on disk. All other records are submitted
in the order of the events, and nothing waits for them. If an intent cannot be made durable, or is still
pending after intent_timeout_s, the failure policy applies: with `refuse` the attempt may not be forwarded;
with `serve` it may, and the journal records a gap if the intent was lost. This module forwards and retries
nothing.
"""

from __future__ import annotations

import secrets
import time
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Literal

from spanwing.journal.committer import Committer
from spanwing.journal.compaction import CompactionThread, SegmentCompactor
from spanwing.journal.records import (
    AnyRecord,
    AttemptCancelled,
    AttemptCompleted,
    AttemptIntent,
    AttemptUnsent,
    LastByteWritten,
    ProcessStarted,
    RequestAccepted,
    RequestAnswered,
)
from spanwing.journal.request_states import InterruptedRequest, JournalAttempt, JournalRequest
from spanwing.journal.segment_log import SegmentLog

MAX_NAME_CHARS = 200  # of a tenant, idempotency key, worker or address

FailurePolicy = Literal["refuse", "serve"]


def truncate(text: str) -> str:
    """Returns the text, truncated to MAX_NAME_CHARS characters.

    Clients choose some of these names, and one record that is too long would fail its whole batch.
    """
    return text if len(text) <= MAX_NAME_CHARS else f"{text[: MAX_NAME_CHARS - 1]}…"


class JournalWriter:
    """Records non-idempotent requests, their attempts and their answers."""

    def __init__(
        self,
        segment_log: SegmentLog,
        failure_policy: FailurePolicy,
        name: str,
        call_on_loop: Callable[..., object],
        intent_timeout_s: float = 0.25,
        call_later: Callable[[float, Callable[[], None]], object] | None = None,
        cancel_timer: Callable[[object], None] = lambda timer: None,
    ) -> None:
        """Closes what earlier incarnations left open, and starts the writer and compaction threads.

        name is the name of this scheduler process. call_on_loop schedules a call on the event loop and may be
        used from any thread. call_later and cancel_timer are the loop's timers; without call_later an intent
        has no timeout. Raises OSError if the first write fails.
        """
        self.failure_policy = failure_policy
        self.intent_timeout_s, self.call_later, self.cancel_timer = intent_timeout_s, call_later, cancel_timer
        clocks_ms = self._clocks_ms()
        self.unfinished_attempts: list[tuple[JournalRequest, JournalAttempt]] = (
            segment_log.request_states.unfinished_attempts()
        )
        # The first write of this incarnation closes the attempts that earlier ones left open; none of them is
        # retried. The write is made here, so that a failing disk is noticed before the first client connects.
        closing_records = segment_log.request_states.closing_records(*clocks_ms)
        segment_log.write(
            [
                ProcessStarted("", *clocks_ms, name, secrets.token_hex(8), failure_policy == "refuse"),
                *closing_records,
            ],
            clocks_ms[0],
        )
        self.interrupted: dict[str, InterruptedRequest] = dict(segment_log.request_states.interrupted)
        self.damaged_ranges = segment_log.damaged_ranges
        self.committer = Committer(segment_log, call_on_loop)
        self.committer.start()
        # If all classes have the same retention, whole segments are removed and none needs compaction.
        self.compaction: CompactionThread | None = None
        if segment_log.limits.retention_ms_by_class:
            self.compaction = CompactionThread(
                SegmentCompactor(segment_log.files, segment_log.limits),
                lambda: self.committer.oldest_needed_number,
            )
            self.compaction.start()

    @staticmethod
    def _clocks_ms() -> tuple[float, float]:
        """Returns the wall clock and the monotonic clock, in ms."""
        return time.time() * 1000.0, time.monotonic() * 1000.0

    def unavailable_reason(self) -> str:
        """Returns why requests that must be recorded are rejected now; empty if they are accepted.

        With the failure policy `serve` they are always accepted.
        """
        return (
            self.committer.unavailable_reason(self.intent_timeout_s)
            if self.failure_policy == "refuse"
            else ""
        )

    def find_interrupted(self, request: str) -> str:
        """Returns what is known of a request that an earlier incarnation left open.

        The result is one line for the client; empty if no such request has this id or it was certainly not
        sent.
        """
        interrupted = self.interrupted.get(request)
        if interrupted is None:
            return ""
        time_iso = datetime.fromtimestamp(interrupted.wall_ms / 1000.0, UTC).isoformat(
            timespec="milliseconds"
        )
        worker = f" to {interrupted.worker}" if interrupted.worker else ""
        return f"{interrupted.delivery_state}{worker} at {time_iso}, before a crash; its outcome is not known"

    def record_accepted(
        self, request: str, cls: str, tenant: str, key: str, front: str, budget_ms: float
    ) -> None:
        """Records that a request was accepted, with its budget in ms."""
        self._submit(
            RequestAccepted(
                request, *self._clocks_ms(), cls, truncate(tenant), truncate(key), front, budget_ms
            )
        )

    def record_intent(
        self, request: str, attempt: int, worker: str, address: str, on_recorded: Callable[[bool], None]
    ) -> None:
        """Records an intent; calls on_recorded once, with whether the attempt may be forwarded.

        If the writer has the loop's timers, that happens after intent_timeout_s at the latest.
        """
        is_decided, timer = False, None

        def decide(reason: str) -> None:
            nonlocal is_decided
            if not is_decided:
                is_decided = True
                if timer is not None:
                    self.cancel_timer(timer)
                on_recorded(not reason or self.failure_policy == "serve")

        record = AttemptIntent(request, *self._clocks_ms(), attempt, truncate(worker), truncate(address))
        if not self.committer.submit([record], decide):
            decide("too many records wait")
        elif self.call_later is not None:
            timer = self.call_later(self.intent_timeout_s, lambda: decide("the disk is slow"))

    def record_last_byte(self, request: str, attempt: int) -> None:
        """Records that the attempt's last byte was written to its connection."""
        self._submit(LastByteWritten(request, *self._clocks_ms(), attempt))

    def record_unsent(self, request: str, attempt: int, why: str) -> None:
        """Records that the attempt ended and its last byte was certainly not written, with the reason."""
        self._submit(AttemptUnsent(request, *self._clocks_ms(), attempt, why))

    def record_cancelled(self, request: str, attempt: int, why: str) -> None:
        """Records that the scheduler stopped waiting for the attempt, with the reason."""
        self._submit(AttemptCancelled(request, *self._clocks_ms(), attempt, why))

    def record_outcome(self, request: str, attempt: int, result: str) -> None:
        """Records the attempt's result."""
        self._submit(AttemptCompleted(request, *self._clocks_ms(), attempt, result))

    def record_answered(self, request: str, kind: str) -> None:
        """Records the request's final answer."""
        self._submit(RequestAnswered(request, *self._clocks_ms(), kind))

    def _submit(self, record: AnyRecord) -> None:
        """Submits a record without a callback; if the queue is full, the record is counted in a gap."""
        self.committer.submit([record])

    def counters(self) -> dict[str, int]:
        """Returns the journal's counters.

        syncs, records: written since the start of the process. waiting: records pending. lost: records that
        the next gap will count. failing: 1 if the last write failed, else 0.
        """
        committer = self.committer
        return {
            "syncs": committer.syncs,
            "records": committer.written_records,
            "waiting": committer.pending_records,
            "lost": committer.lost_records,
            "failing": int(bool(committer.failure_reason)),
        }

    def close(self) -> bool:
        """Writes the pending records and ends the threads.

        Returns whether the writer thread ended in time and no lost records are left for a gap.
        """
        if self.compaction is not None:
            self.compaction.stop()
        return self.committer.stop() and not self.committer.lost_records
