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
    Answered,
    Any,
    Closed,
    Gap,
    GivenUp,
    Intent,
    LastByte,
    Outcome,
    Started,
    Taken,
    Unsent,
)

MOST_LOST = 100_000
NO_ATTEMPT = -1  # of a Closed: nothing of the request was out
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
    cut_short: bool = False  # a later life found it unanswered: it never will be
    doubtful: bool = False  # an attempt of it may be missing here
    attempts: dict[int, Attempt] = field(default_factory=dict)

    @property
    def finding(self) -> Finding:
        """The gravest of its attempts."""
        found = {each.finding for each in self.attempts.values()}
        if self.missing:
            found.add("possibly sent")
        return "sent" if "sent" in found else "possibly sent" if "possibly sent" in found else "not sent"

    @property
    def missing(self) -> bool:
        """Records of it may not be there."""
        return self.doubtful or self.taken is None

    @property
    def settled(self) -> bool:
        """Answered, or cut short by a crash, and every attempt is over: no later record is owed."""
        ended = self.answered_ms is not None or self.cut_short
        return ended and all(each.over for each in self.attempts.values())

    def attempt(self, number: int) -> Attempt:
        return self.attempts.setdefault(number, Attempt(number))


class Lost(NamedTuple):
    """A request that an earlier life left open, as far as a repeat of it is to be told."""

    finding: str
    worker: str
    wall_ms: float


class Ledger:
    """Requests that are not settled, from records in their order, and those that a crash has settled."""

    def __init__(self) -> None:
        self.open: dict[str, Request] = {}
        self.lost: OrderedDict[str, Lost] = OrderedDict()  # MOST_LOST at most, the oldest goes
        self.certain = True  # of the life whose records come: none of its intents can be missing

    def take(self, number: int, record: Any) -> Request | None:
        """Add a record; returns the request if this settles it."""
        if not record.request:
            self._of_a_life(record)
            return None
        request = self.open.get(record.request)
        if request is None:
            request = self.open[record.request] = Request(record.request, number)
        add(request, record)
        if not request.settled:
            return None
        if request.cut_short and request.finding != "not sent":
            attempt = max(request.attempts.values(), key=lambda each: each.number, default=Attempt(0))
            self.lost[request.id] = Lost(request.finding, attempt.worker, attempt.intent_ms or record.wall_ms)
            self.lost.move_to_end(request.id)
            if len(self.lost) > MOST_LOST:
                self.lost.popitem(last=False)
        return self.open.pop(record.request)

    def _of_a_life(self, record: Any) -> None:
        if isinstance(record, Gap | Started) and not self.certain:
            for each in self.open.values():
                each.doubtful = True
        if isinstance(record, Started):
            self.certain = record.certain

    def oldest(self) -> int | None:
        """The number of the first record that is still needed."""
        return min((each.first for each in self.open.values()), default=None)

    def left_open(self) -> list[tuple[Request, Attempt]]:
        """After a crash: attempts with an intent and no end; where records of a request may be missing, an
        attempt of no number stands for what is not known."""
        found = []
        for request in self.open.values():
            ends = [
                each for each in request.attempts.values() if each.finding != "not sent" and not each.over
            ]
            if not ends and (request.missing or not self.certain):
                ends = [Attempt(NO_ATTEMPT)]
            found += [(request, each) for each in ends]
        return found

    def closing(self, wall_ms: float, mono_ms: float) -> list[Closed]:
        """What a new life writes down so that nothing of an earlier one stays open: for each attempt of which
        the end is not known, and for each request that has none, that no answer will come."""
        records = []
        for request in self.open.values():
            ends = [each for each in request.attempts.values() if not each.over]
            records += [Closed(request.id, wall_ms, mono_ms, each.number, each.worker) for each in ends]
            if not ends:
                records.append(Closed(request.id, wall_ms, mono_ms, NO_ATTEMPT))
        return records


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
            request.cut_short = True
            if record.attempt == NO_ATTEMPT:
                return
            attempt = request.attempt(record.attempt)
            attempt.closed = True
            if attempt.intent_ms is None:  # its intent was dropped with an old segment: it was there
                attempt.intent_ms, attempt.worker = record.wall_ms, record.worker
