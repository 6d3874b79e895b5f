"""Derives the state of each request from its records: not sent, possibly sent or sent.

This module does no I/O. Any order and repetition of records that a crash can leave gives the same state.
Whatever is not known counts as possibly sent:

- An attempt counts as not sent only if the incarnation that made it recorded that its last byte was not
  written.
- A request without attempts counts as not sent only if none of its intents can be missing. In an incarnation
  that forwards without the journal (the failure policy `serve`), intents can be missing across a gap or a
  crash.

Memory: settled requests are dropped. The open ones are at most those that the daemon has accepted, and
MAX_INTERRUPTED_REQUESTS interrupted ones are kept.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Literal, NamedTuple

from spanwing.journal.records import (
    AnyRecord,
    AttemptCancelled,
    AttemptClosed,
    AttemptCompleted,
    AttemptIntent,
    AttemptUnsent,
    JournalGap,
    LastByteWritten,
    ProcessStarted,
    RequestAccepted,
    RequestAnswered,
)

MAX_INTERRUPTED_REQUESTS = 100_000
NO_ATTEMPT = -1  # attempt number of an AttemptClosed for a request without an open attempt
DeliveryState = Literal["not sent", "possibly sent", "sent"]
# Outcomes that prove that an attempt never ran: the decision module's NEVER_RAN, as stored on disk.
NEVER_RAN_OUTCOMES = frozenset({"full", "unreachable", "moot"})


@dataclass(slots=True)
class JournalAttempt:
    """What the journal knows of one attempt; times are wall-clock ms, None if unknown."""

    number: int
    worker: str = ""
    address: str = ""
    intent_ms: float | None = None
    last_byte_ms: float | None = None
    unsent_reason: str = ""  # why its last byte was certainly not written; empty if it may have been
    cancel_reason: str = ""
    result: str = ""
    is_closed_at_start: bool = False  # a later incarnation found it without an end

    @property
    def delivery_state(self) -> DeliveryState:
        """Returns "sent" or "not sent" if the journal proves it, else "possibly sent"."""
        if self.last_byte_ms is not None:
            return "sent"
        return "not sent" if self.unsent_reason else "possibly sent"

    @property
    def is_ended(self) -> bool:
        """Returns whether a record states the end of the attempt: its result, that it is unsent or closed."""
        return bool(self.unsent_reason or self.result or self.is_closed_at_start)


@dataclass(slots=True)
class JournalRequest:
    """What the journal knows of one request; times are wall-clock ms, None if unknown."""

    id: str
    first_number: int  # of its first record
    accepted: RequestAccepted | None = None
    answer: str = ""
    answered_ms: float | None = None
    is_interrupted: bool = False  # a later incarnation found it open; it will not be answered any more
    may_lack_attempts: bool = False  # all records of an attempt may be missing
    attempts: dict[int, JournalAttempt] = field(default_factory=dict)

    @property
    def delivery_state(self) -> DeliveryState:
        """Returns "sent" if an attempt was sent, "possibly sent" if one may have been, else "not sent"."""
        states = {attempt.delivery_state for attempt in self.attempts.values()}
        if self.is_incomplete:
            states.add("possibly sent")
        return "sent" if "sent" in states else "possibly sent" if "possibly sent" in states else "not sent"

    @property
    def is_incomplete(self) -> bool:
        """Returns whether records of the request may be missing."""
        return self.may_lack_attempts or self.accepted is None

    @property
    def is_settled(self) -> bool:
        """Returns whether the request was answered, or interrupted by a crash, and all its attempts ended.

        No further record of a settled request is due.
        """
        has_ended = self.answered_ms is not None or self.is_interrupted
        return has_ended and all(attempt.is_ended for attempt in self.attempts.values())

    def get_or_add_attempt(self, number: int) -> JournalAttempt:
        """Returns the attempt with this number and adds it first if it is new."""
        return self.attempts.setdefault(number, JournalAttempt(number))


class InterruptedRequest(NamedTuple):
    """What a client is told when it repeats a request that a crash interrupted."""

    delivery_state: str
    worker: str  # of the last attempt; empty if unknown
    wall_ms: float  # wall clock of the last attempt's intent, or of the closing record


class RequestStates:
    """The open requests and the interrupted ones, by id, after records applied in the order of their numbers.

    A request is open until it is settled.
    """

    def __init__(self) -> None:
        self.open_requests: dict[str, JournalRequest] = {}
        # At most MAX_INTERRUPTED_REQUESTS; beyond that the oldest is dropped.
        self.interrupted: OrderedDict[str, InterruptedRequest] = OrderedDict()
        # Whether the incarnation whose records are being read forwards attempts only with an intent on disk.
        self.has_every_intent = True

    def apply(self, number: int, record: AnyRecord) -> JournalRequest | None:
        """Applies a record; returns its request if the record settles it, else None."""
        if not record.request:
            self._apply_process_record(record)
            return None
        request = self.open_requests.get(record.request)
        if request is None:
            request = self.open_requests[record.request] = JournalRequest(record.request, number)
        update_request(request, record)
        if not request.is_settled:
            return None
        if request.is_interrupted and request.delivery_state != "not sent":
            last_attempt = max(
                request.attempts.values(), key=lambda attempt: attempt.number, default=JournalAttempt(0)
            )
            self.interrupted[request.id] = InterruptedRequest(
                request.delivery_state, last_attempt.worker, last_attempt.intent_ms or record.wall_ms
            )
            self.interrupted.move_to_end(request.id)
            if len(self.interrupted) > MAX_INTERRUPTED_REQUESTS:
                self.interrupted.popitem(last=False)
        return self.open_requests.pop(record.request)

    def _apply_process_record(self, record: AnyRecord) -> None:
        """Applies a record that belongs to no request: a process start or a gap.

        If the incarnation before it may have forwarded attempts without an intent on disk, every open request
        may lack attempts.
        """
        if isinstance(record, JournalGap | ProcessStarted) and not self.has_every_intent:
            for request in self.open_requests.values():
                request.may_lack_attempts = True
        if isinstance(record, ProcessStarted):
            self.has_every_intent = record.certain

    def oldest_needed_number(self) -> int | None:
        """Returns the lowest record number of an open request; None if no request is open."""
        return min((request.first_number for request in self.open_requests.values()), default=None)

    def unfinished_attempts(self) -> list[tuple[JournalRequest, JournalAttempt]]:
        """Returns the attempts of open requests that may have been sent and have not ended.

        If a request has no such attempt but its intents may be missing, it is listed with an attempt numbered
        NO_ATTEMPT.
        """
        unfinished = []
        for request in self.open_requests.values():
            attempts = [
                attempt
                for attempt in request.attempts.values()
                if attempt.delivery_state != "not sent" and not attempt.is_ended
            ]
            if not attempts and (request.is_incomplete or not self.has_every_intent):
                attempts = [JournalAttempt(NO_ATTEMPT)]
            unfinished += [(request, attempt) for attempt in attempts]
        return unfinished

    def closing_records(self, wall_ms: float, mono_ms: float) -> list[AttemptClosed]:
        """Returns the records by which a new incarnation closes the requests that earlier ones left open.

        There is one for each attempt without an end, and one with NO_ATTEMPT for each open request that has
        no such attempt.
        """
        records = []
        for request in self.open_requests.values():
            attempts = [attempt for attempt in request.attempts.values() if not attempt.is_ended]
            records += [
                AttemptClosed(request.id, wall_ms, mono_ms, attempt.number, attempt.worker)
                for attempt in attempts
            ]
            if not attempts:
                records.append(AttemptClosed(request.id, wall_ms, mono_ms, NO_ATTEMPT))
        return records


def update_request(request: JournalRequest, record: AnyRecord) -> None:
    """Updates a request with one of its records."""
    match record:
        case RequestAccepted():
            request.accepted = record
        case AttemptIntent():
            attempt = request.get_or_add_attempt(record.attempt)
            attempt.worker, attempt.address = record.worker, record.address
            attempt.intent_ms = record.wall_ms
        case LastByteWritten():
            request.get_or_add_attempt(record.attempt).last_byte_ms = record.wall_ms
        case AttemptUnsent():
            request.get_or_add_attempt(record.attempt).unsent_reason = record.why or "unsent"
        case AttemptCancelled():
            request.get_or_add_attempt(record.attempt).cancel_reason = record.why or "given up"
        case AttemptCompleted():
            request.get_or_add_attempt(record.attempt).result = record.result
        case RequestAnswered():
            request.answer, request.answered_ms = record.kind, record.wall_ms
        case AttemptClosed():
            request.is_interrupted = True
            if record.attempt == NO_ATTEMPT:
                return
            attempt = request.get_or_add_attempt(record.attempt)
            attempt.is_closed_at_start = True
            if attempt.intent_ms is None:  # it had an intent, which was removed with an old segment
                attempt.intent_ms, attempt.worker = record.wall_ms, record.worker
