"""What the records of a request add up to: certainly not sent, or possibly sent, with all that is known.

Guarantees: pure; any order and repetition of records that a crash can leave gives the same standing; an
attempt counts as unsent only while no intent of it is there, or where its own last life wrote down that its
last byte was not written. Whatever is not known counts as possibly sent. Bounded: settled requests leave,
open ones are as many as the daemon has taken.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal

from spanwing.journal.records import (
    Answered,
    Any,
    Closed,
    GivenUp,
    Intent,
    LastByte,
    Outcome,
    Taken,
    Unsent,
)

Finding = Literal["not sent", "possibly sent", "sent"]
#: Outcomes that prove that an attempt never ran (the decision module's NEVER_RAN, as text on disk).
NEVER_RAN = frozenset({"full", "unreachable", "moot"})


@dataclass(slots=True)
class Attempt:
    """One delivery attempt as the journal knows it."""

    number: int
    worker: str = ""
    address: str = ""
    intent_ms: float | None = None  # wall clock
    last_byte_ms: float | None = None
    unsent: str = ""  # why its last byte was certainly not written
    given_up: str = ""
    result: str = ""
    closed: bool = False  # a later life found it open

    @property
    def finding(self) -> Finding:
        if self.intent_ms is None and self.last_byte_ms is None:
            return "not sent"
        if self.last_byte_ms is not None:
            return "sent"
        return "not sent" if self.unsent else "possibly sent"

    @property
    def over(self) -> bool:
        """Nothing more is to come of it."""
        return bool(self.unsent or self.result or self.closed)


@dataclass(slots=True)
class Request:
    """All that is known of one request."""

    id: str
    first: int  # the number of its first record
    taken: Taken | None = None
    answer: str = ""
    answered_ms: float | None = None
    attempts: dict[int, Attempt] = field(default_factory=dict)

    @property
    def finding(self) -> Finding:
        """The gravest of its attempts."""
        found = {each.finding for each in self.attempts.values()}
        return "sent" if "sent" in found else "possibly sent" if "possibly sent" in found else "not sent"

    @property
    def settled(self) -> bool:
        """Answered, and every attempt is over: no later record is owed."""
        return self.answered_ms is not None and all(each.over for each in self.attempts.values())

    def attempt(self, number: int) -> Attempt:
        return self.attempts.setdefault(number, Attempt(number))


class Ledger:
    """Requests that are not settled, from records in their order."""

    def __init__(self) -> None:
        self.open: dict[str, Request] = {}

    def take(self, number: int, record: Any) -> Request | None:
        """Add a record; returns the request if this settles it."""
        if not record.request:
            return None
        request = self.open.get(record.request)
        if request is None:
            request = self.open[record.request] = Request(record.request, number)
        add(request, record)
        if request.settled:
            return self.open.pop(record.request)
        return None

    def oldest(self) -> int | None:
        """The number of the first record that is still needed."""
        return min((each.first for each in self.open.values()), default=None)

    def left_open(self) -> list[tuple[Request, Attempt]]:
        """After a crash: attempts with an intent and no end."""
        return [(request, attempt) for request in self.open.values() for attempt in request.attempts.values()
                if attempt.finding != "not sent" and not attempt.over]


def add(request: Request, record: Any) -> None:
    """Take one record of a request into account."""
    match record:
        case Taken():
            request.taken = record
        case Intent():
            attempt = request.attempt(record.attempt)
            attempt.worker, attempt.address = record.worker, record.address
            attempt.intent_ms = record.wall_ms
        case LastByte():
            request.attempt(record.attempt).last_byte_ms = record.wall_ms
        case Unsent():
            request.attempt(record.attempt).unsent = record.why or "unsent"
        case GivenUp():
            request.attempt(record.attempt).given_up = record.why or "given up"
        case Outcome():
            request.attempt(record.attempt).result = record.result
        case Answered():
            request.answer, request.answered_ms = record.kind, record.wall_ms
        case Closed():
            attempt = request.attempt(record.attempt)
            attempt.closed = True
            if attempt.intent_ms is None:  # its intent was dropped with an old segment: it was there
                attempt.intent_ms, attempt.worker = record.wall_ms, record.worker
