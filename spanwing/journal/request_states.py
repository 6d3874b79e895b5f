"""The state of each request from its records: certainly not sent, or possibly sent, with all that is known.

Pure. Any order and repetition of records that a crash can leave gives the same state. An attempt counts as
unsent only if the incarnation that made it recorded that its last byte was not written; a request without
attempts only if none of its intents can be missing: not across a gap, and not across the crash of an
incarnation that served without the journal. Whatever is not known counts as possibly sent.

Bounds: settled requests are dropped, open ones are as many as the daemon has accepted; MAX_INTERRUPTED
interrupted ones.
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

MAX_INTERRUPTED = 100_000
NO_ATTEMPT = -1  # in an AttemptClosed: no attempt of the request was in flight
DeliveryState = Literal["not sent", "possibly sent", "sent"]
#: Outcomes that prove that an attempt never ran (the decision module's NEVER_RAN, as text on disk).
NEVER_RAN_OUTCOMES = frozenset({"full", "unreachable", "moot"})


@dataclass(slots=True)
class JournalAttempt:
    """One attempt as the journal knows it."""

    number: int
    worker: str = ""
    address: str = ""
    intent_ms: float | None = None  # wall clock
    last_byte_ms: float | None = None
    unsent_reason: str = ""  # why its last byte was certainly not written
    cancel_reason: str = ""
    result: str = ""
    is_closed_at_start: bool = False  # a later incarnation found it open

    @property
    def delivery_state(self) -> DeliveryState:
        """Returns whether the attempt was sent, as far as the journal knows."""
        if self.last_byte_ms is not None:
            return "sent"
        return "not sent" if self.unsent_reason else "possibly sent"

    @property
    def is_ended(self) -> bool:
        """Returns whether no further record of the attempt is due."""
        return bool(self.unsent_reason or self.result or self.is_closed_at_start)


@dataclass(slots=True)
class JournalRequest:
    """All that is known of one request."""

    id: str
    first_number: int  # the number of its first record
    accepted: RequestAccepted | None = None
    answer: str = ""
    answered_ms: float | None = None
    is_interrupted: bool = False  # a later incarnation found it unanswered: it never will be answered
    may_lack_attempts: bool = False  # the records of an attempt may be missing
    attempts: dict[int, JournalAttempt] = field(default_factory=dict)

    @property
    def delivery_state(self) -> DeliveryState:
        """Returns the gravest state of its attempts."""
        states = {each.delivery_state for each in self.attempts.values()}
        if self.is_incomplete:
            states.add("possibly sent")
        return "sent" if "sent" in states else "possibly sent" if "possibly sent" in states else "not sent"

    @property
    def is_incomplete(self) -> bool:
        """Returns whether records of it may be missing."""
        return self.may_lack_attempts or self.accepted is None

    @property
    def is_settled(self) -> bool:
        """Returns whether it was answered, or cut short by a crash, and every attempt has ended.

        No later record of it is due then.
        """
        has_ended = self.answered_ms is not None or self.is_interrupted
        return has_ended and all(each.is_ended for each in self.attempts.values())

    def get_or_add_attempt(self, number: int) -> JournalAttempt:
        """Returns the attempt of this number, added if it is new."""
        return self.attempts.setdefault(number, JournalAttempt(number))


class InterruptedRequest(NamedTuple):
    """What is told about a request that an earlier incarnation left open, when a client repeats it."""

    delivery_state: str
    worker: str
    wall_ms: float


class RequestStates:
    """The requests that are not settled, from records in their order, and those that a crash interrupted."""

    def __init__(self) -> None:
        self.open_requests: dict[str, JournalRequest] = {}
        self.interrupted: OrderedDict[str, InterruptedRequest] = (
            OrderedDict()
        )  # MAX_INTERRUPTED at most; the oldest is dropped
        self.has_every_intent = True  # of the incarnation being read: none of its intents can be missing

    def apply(self, number: int, record: AnyRecord) -> JournalRequest | None:
        """Adds a record; returns the request if the record settles it."""
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
            attempt = max(request.attempts.values(), key=lambda each: each.number, default=JournalAttempt(0))
            self.interrupted[request.id] = InterruptedRequest(
                request.delivery_state, attempt.worker, attempt.intent_ms or record.wall_ms
            )
            self.interrupted.move_to_end(request.id)
            if len(self.interrupted) > MAX_INTERRUPTED:
                self.interrupted.popitem(last=False)
        return self.open_requests.pop(record.request)

    def _apply_process_record(self, record: AnyRecord) -> None:
        if isinstance(record, JournalGap | ProcessStarted) and not self.has_every_intent:
            for each in self.open_requests.values():
                each.may_lack_attempts = True
        if isinstance(record, ProcessStarted):
            self.has_every_intent = record.certain

    def oldest_needed_number(self) -> int | None:
        """Returns the number of the first record that is still needed; None if none is."""
        return min((each.first_number for each in self.open_requests.values()), default=None)

    def unfinished_attempts(self) -> list[tuple[JournalRequest, JournalAttempt]]:
        """Returns, after a crash, the attempts with an intent and no end.

        If records of a request may be missing, an attempt numbered NO_ATTEMPT stands for what is not known.
        """
        unfinished = []
        for request in self.open_requests.values():
            attempts = [
                each
                for each in request.attempts.values()
                if each.delivery_state != "not sent" and not each.is_ended
            ]
            if not attempts and (request.is_incomplete or not self.has_every_intent):
                attempts = [JournalAttempt(NO_ATTEMPT)]
            unfinished += [(request, each) for each in attempts]
        return unfinished

    def closing_records(self, wall_ms: float, mono_ms: float) -> list[AttemptClosed]:
        """Returns the records by which a new incarnation closes what earlier ones left open.

        One for each attempt without a known end, and one for each request that has none: no answer will come.
        """
        records = []
        for request in self.open_requests.values():
            attempts = [each for each in request.attempts.values() if not each.is_ended]
            records += [
                AttemptClosed(request.id, wall_ms, mono_ms, each.number, each.worker) for each in attempts
            ]
            if not attempts:
                records.append(AttemptClosed(request.id, wall_ms, mono_ms, NO_ATTEMPT))
        return records


def update_request(request: JournalRequest, record: AnyRecord) -> None:
    """Updates a request by one of its records."""
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
            if attempt.intent_ms is None:  # its intent was removed with an old segment, so there was one
                attempt.intent_ms, attempt.worker = record.wall_ms, record.worker
