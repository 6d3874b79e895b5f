"""The journal as a table: one row for each attempt, or for a request that has none.

Guarantees: every row says `not sent`, `possibly sent` or `sent`; times are wall-clock milliseconds, None
where nothing is known. The fields are those that a filter names (query.py).
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from spanwing.journal.ledger import Attempt, Request

MISSING = "records are missing"


class Row(NamedTuple):
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
    time: float | None  # when the request was taken, or the attempt's intent where that is all there is
    intent: float | None
    last_byte: float | None
    given_up: str
    result: str
    answer: str
    answered: float | None
    closed: bool  # a later life found it open


def rows_of(request: Request) -> Iterator[Row]:
    """In the order of the attempts."""
    attempts = sorted(request.attempts.values(), key=lambda each: each.number)
    for attempt in attempts:
        yield _row(request, attempt)
    if (
        not attempts
        or request.finding == "possibly sent"
        and all(each.finding == "not sent" for each in attempts)
    ):
        yield _row(request, None)  # what is known of the request as a whole


def _row(request: Request, attempt: Attempt | None) -> Row:
    taken = request.taken
    intent = attempt.intent_ms if attempt else None
    result = MISSING if request.missing else ""
    if attempt is not None:
        result = attempt.result or attempt.unsent
    return Row(
        request.id,
        taken.cls if taken else "",
        taken.tenant if taken else "",
        taken.key if taken else "",
        taken.front if taken else "",
        attempt.number if attempt else None,
        attempt.worker if attempt else "",
        attempt.address if attempt else "",
        attempt.finding if attempt else request.finding,
        taken.wall_ms if taken else intent,
        intent,
        attempt.last_byte_ms if attempt else None,
        attempt.given_up if attempt else "",
        result,
        request.answer,
        request.answered_ms,
        attempt.closed if attempt else request.cut_short,
    )
