"""The journal as a table: one row for each attempt, or for a request that has none.

The state of every row is `not sent`, `possibly sent` or `sent`; times are wall-clock ms, None if unknown. The
fields are those that a filter names (query.py).
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from spanwing.journal.request_states import JournalAttempt, JournalRequest

RECORDS_MISSING = "records are missing"


class AttemptRow(NamedTuple):
    """What is known of one attempt."""

    request: str
    cls: str
    tenant: str
    key: str
    front: str
    attempt: int | None
    worker: str
    address: str
    state: str
    time: float | None  # when the request was accepted; the attempt's intent if that is not known
    intent: float | None
    last_byte: float | None
    given_up: str
    result: str
    answer: str
    answered: float | None
    closed: bool  # a later incarnation found it open


def attempt_rows(request: JournalRequest) -> Iterator[AttemptRow]:
    """Yields a request's rows, in the order of its attempts."""
    attempts = sorted(request.attempts.values(), key=lambda each: each.number)
    for attempt in attempts:
        yield _build_row(request, attempt)
    if not attempts or (
        request.delivery_state == "possibly sent"
        and all(each.delivery_state == "not sent" for each in attempts)
    ):
        yield _build_row(request, None)  # what is known of the request itself


def _build_row(request: JournalRequest, attempt: JournalAttempt | None) -> AttemptRow:
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
