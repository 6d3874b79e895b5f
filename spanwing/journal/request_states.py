"""What the records of a request add up to: certainly not sent, or possibly sent, with all that is known.

Guarantees: pure; any order and repetition of records that a crash can leave gives the same standing; an
attempt counts as unsent only where its own last life wrote down that its last byte was not written, and a
request without attempts only where no intent of it can have been left out: not across a gap, and not across
the crash of a life that served without the journal. Whatever is not known counts as possibly sent. Bounded:
settled requests leave, open ones are as many as the daemon has taken.
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
NO_ATTEMPT = -1  # of a Closed: nothing of the request was out
DeliveryState = Literal["not sent", "possibly sent", "sent"]
#: Outcomes that prove that an attempt never ran (the decision module's NEVER_RAN, as text on disk).
NEVER_RAN_OUTCOMES = frozenset({"full", "unreachable", "moot"})


@dataclass(slots=True)
class JournalAttempt:
    """One delivery attempt as the journal knows it."""

    number: int
    worker: str = ""
    address: str = ""
    intent_ms: float | None = None  # wall clock
    last_byte_ms: float | None = None
    unsent_reason: str = ""  # why its last byte was certainly not written
    cancel_reason: str = ""
    result: str = ""
    is_closed_at_start: bool = False  # a later life found it open

    @property
    def delivery_state(self) -> DeliveryState:
        if self.last_byte_ms is not None:
            return "sent"
        return "not sent" if self.unsent_reason else "possibly sent"

    @property
    def is_ended(self) -> bool:
        """Nothing more is to come of it."""
        return bool(self.unsent_reason or self.result or self.is_closed_at_start)


@dataclass(slots=True)
class JournalRequest:
    """All that is known of one request."""

    id: str
    first_number: int  # the number of its first record
    accepted: RequestAccepted | None = None
    answer: str = ""
    answered_ms: float | None = None
    is_interrupted: bool = False  # a later life found it unanswered: it never will be
    may_lack_attempts: bool = False  # an attempt of it may be missing here
    attempts: dict[int, JournalAttempt] = field(default_factory=dict)

    @property
    def delivery_state(self) -> DeliveryState:
        """The gravest of its attempts."""
        states = {each.delivery_state for each in self.attempts.values()}
        if self.is_incomplete:
            states.add("possibly sent")
        return "sent" if "sent" in states else "possibly sent" if "possibly sent" in states else "not sent"

    @property
    def is_incomplete(self) -> bool:
        """Records of it may not be there."""
        return self.may_lack_attempts or self.accepted is None

    @property
    def is_settled(self) -> bool:
        """Answered, or cut short by a crash, and every attempt is over: no later record is owed."""
        has_ended = self.answered_ms is not None or self.is_interrupted
        return has_ended and all(each.is_ended for each in self.attempts.values())

    def get_or_add_attempt(self, number: int) -> JournalAttempt:
        return self.attempts.setdefault(number, JournalAttempt(number))


class InterruptedRequest(NamedTuple):
    """A request that an earlier life left open, as far as a repeat of it is to be told."""

    delivery_state: str
    worker: str
    wall_ms: float


class RequestStates:
    """Requests that are not settled, from records in their order, and those that a crash has settled."""

    def __init__(self) -> None:
        self.open_requests: dict[str, JournalRequest] = {}
        self.interrupted: OrderedDict[str, InterruptedRequest] = (
            OrderedDict()
        )  # MOST_LOST at most, the oldest goes
        self.has_every_intent = True  # of the life whose records come: none of its intents can be missing

    def apply(self, number: int, record: AnyRecord) -> JournalRequest | None:
        """Add a record; returns the request if this settles it."""
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
        """The number of the first record that is still needed."""
        return min((each.first_number for each in self.open_requests.values()), default=None)

    def unfinished_attempts(self) -> list[tuple[JournalRequest, JournalAttempt]]:
        """After a crash: attempts with an intent and no end; where records of a request may be missing, an
        attempt of no number stands for what is not known."""
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
        """What a new life writes down so that nothing of an earlier one stays open: for each attempt of which
        the end is not known, and for each request that has none, that no answer will come."""
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
    """Take one record of a request into account."""
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
            if attempt.intent_ms is None:  # its intent was dropped with an old segment: it was there
                attempt.intent_ms, attempt.worker = record.wall_ms, record.worker
