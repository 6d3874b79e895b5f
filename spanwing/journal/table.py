"""The journal as a table, for the command line: one row per attempt, or one for a request without attempts.

If all known attempts of a request are not sent, but it may lack attempts, it has one more row for itself.
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
    key: str
    front: str
    attempt: int | None  # None in the row of a request
    worker: str
    address: str
    state: str  # "not sent", "possibly sent" or "sent"
    time: float | None  # when the request was accepted, or if that is unknown the attempt's intent
    intent: float | None
    last_byte: float | None
    given_up: str  # why the scheduler stopped waiting for the attempt; empty if it did not
    result: str
    answer: str
    answered: float | None
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
