"""The journal as a table, for the command line: one row per attempt, or one for a request without attempts.

A request has one more row, without an attempt, if none of its known attempts was sent but records of another
attempt may be missing. The state of that row is "possibly sent".
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from spanwing.journal.request_states import JournalAttempt, JournalRequest

RECORDS_MISSING = "records are missing"


class AttemptRow(NamedTuple):
    """What is known of one attempt, or of a request; times are wall-clock ms, None if unknown.

    The filter language (query.py) and the output of the command line use the names of these fields, with
    `class` for cls.
    """

    request: str
    cls: str
    tenant: str
    key: str  # idempotency key
    front: str  # front end that accepted the request
    attempt: int | None  # None in the row of a request
    worker: str
    address: str
    state: str  # "not sent", "possibly sent" or "sent"
    time: float | None  # when the request was accepted; if that is unknown, the same as intent
    # When the intent to send the attempt was recorded. If that record was removed with an old segment, when a
    # later incarnation closed the attempt.
    intent: float | None
    last_byte: float | None  # when the attempt's last byte was written
    given_up: str  # why the scheduler stopped waiting for the attempt; empty if it did not
    result: str  # of the attempt, or why it was not sent; in the row of a request RECORDS_MISSING or empty
    answer: str  # kind of the request's answer; empty if there is none
    answered: float | None  # when the request was answered
    closed: bool  # a later incarnation found the attempt or request without an end


def attempt_rows(request: JournalRequest) -> Iterator[AttemptRow]:
    """Yields the rows of a request, in the order of its attempts."""
    attempts = sorted(request.attempts.values(), key=lambda attempt: attempt.number)
    for attempt in attempts:
        yield _build_row(request, attempt)
    if not attempts or (
        request.delivery_state == "possibly sent"
        and all(attempt.delivery_state == "not sent" for attempt in attempts)
    ):
        yield _build_row(request, None)


def _build_row(request: JournalRequest, attempt: JournalAttempt | None) -> AttemptRow:
    """Returns the row of an attempt, or with None the row of the request itself."""
    accepted = request.accepted
    intent = attempt.intent_ms if attempt else None
    result = RECORDS_MISSING if request.is_incomplete else ""
    if attempt is not None:
        result = attempt.result or attempt.unsent_reason
    return AttemptRow(
        request.id,
        accepted.cls if accepted else "",
        accepted.tenant if accepted else "",
        accepted.key if accepted else "",
        accepted.front if accepted else "",
        attempt.number if attempt else None,
        attempt.worker if attempt else "",
        attempt.address if attempt else "",
        attempt.delivery_state if attempt else request.delivery_state,
        accepted.wall_ms if accepted else intent,
        intent,
        attempt.last_byte_ms if attempt else None,
        attempt.cancel_reason if attempt else "",
        result,
        request.answer,
        request.answered_ms,
        attempt.is_closed_at_start if attempt else request.is_interrupted,
    )
