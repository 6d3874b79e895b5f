"""The filter language of `spanwing journal query`, parsed with lark.

    class = schedule-apply and worker in (w3, w7) and time >= -2h
    state = "possibly sent" and not tenant ~ corrib*
    time >= 2026-12-01T06:00 and time < 2026-12-01T09:30 and attempt > 0

Pure. An expression either parses completely or raises QueryError with the column of the first error. The
bounds of a QueryPlan are never narrower than the expression, so skipping files by them leaves nothing out.
"""

from __future__ import annotations

import fnmatch
import operator
import re
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime
from functools import cache
from typing import Any

from lark import Lark, Token, Transformer
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedInput, VisitError

from spanwing.journal.table import AttemptRow

GRAMMAR = r"""
?start: any
?any: all (_OR all)*
?all: one (_AND one)*
?one: _NOT one -> no
    | "(" any ")"
    | FIELD OP value -> test
    | FIELD _IN "(" value ("," value)* ")" -> among
    | FIELD _NOT _IN "(" value ("," value)* ")" -> not_among
?value: STRING | WORD
_OR.3: /or\b/i
_AND.3: /and\b/i
_NOT.3: /not\b/i
_IN.3: /in\b/i
FIELD.2: /[a-z_]+/
OP: "!=" | ">=" | "<=" | "=" | "<" | ">" | "~"
STRING: /"[^"]*"|'[^']*'/
WORD: /[^\s(),"'=<>!~]+/
%ignore /\s+/
"""
TEXT_FIELDS = {
    "request": "request",
    "class": "cls",
    "tenant": "tenant",
    "key": "key",
    "front": "front",
    "worker": "worker",
    "address": "address",
    "state": "state",
    "given_up": "given_up",
    "result": "result",
    "answer": "answer",
}
NUMBER_FIELDS = {"attempt": "attempt"}
TIME_FIELDS = {"time": "time", "intent": "intent", "last_byte": "last_byte", "answered": "answered"}
FLAG_FIELDS = {"closed": "closed"}
FIELDS = sorted({*TEXT_FIELDS, *NUMBER_FIELDS, *TIME_FIELDS, *FLAG_FIELDS})
COMPARISONS = {
    "=": operator.eq,
    "!=": operator.ne,
    "<": operator.lt,
    "<=": operator.le,
    ">": operator.gt,
    ">=": operator.ge,
}
UNIT_MS = {"ms": 1.0, "s": 1e3, "m": 60e3, "h": 3600e3, "d": 86400e3}
MAX_EXPRESSION_CHARS = 4096

RowPredicate = Callable[[AttemptRow], bool]


class QueryError(ValueError):
    """An error in an expression, with its column."""

    def __init__(self, text: str, column: int) -> None:
        super().__init__(f"column {column}: {text}")
        self.column = column


@dataclass
class QueryPlan:
    """A filter, and bounds on where matching rows can be."""

    matches: RowPredicate
    after_ms: float = float("-inf")  # the times of matching rows lie between these
    before_ms: float = float("inf")
    request_ids: frozenset[str] | None = None  # only these ids can match; None: any
    workers: frozenset[str] | None = None


@dataclass
class _QueryNode:
    """A part of an expression: its test and its bounds."""

    matches: RowPredicate
    after_ms: float = float("-inf")
    before_ms: float = float("inf")
    required_values: dict[str, frozenset[str]] = field(default_factory=dict)


def parse_time(text: str, now_ms: float) -> float:
    """Returns a time in wall-clock ms.

    Accepts ISO 8601 (local time without a zone), `now`, or a time relative to now such as -90s, -15m, -2h,
    -1d. Raises ValueError.
    """
    if text == "now":
        return now_ms
    if match := re.fullmatch(r"([-+])(\d+(?:\.\d+)?)(ms|s|m|h|d)", text):
        amount = float(match[2]) * UNIT_MS[match[3]]
        return now_ms + (amount if match[1] == "+" else -amount)
    try:
        return datetime.fromisoformat(text).timestamp() * 1000.0
    except ValueError:
        raise ValueError(f"{text!r} is no time: write 2026-12-01T06:30, now, -15m, -2h or -1d") from None


def _unquote(token: Token) -> str:
    return token[1:-1] if token.type == "STRING" else str(token)


class _PlanBuilder(Transformer):
    """Builds the test and its bounds from the parse tree."""

    def __init__(self, now_ms: float) -> None:
        super().__init__()
        self.now_ms = now_ms

    def _row_field(self, name: Token) -> str:
        for names in (TEXT_FIELDS, NUMBER_FIELDS, TIME_FIELDS, FLAG_FIELDS):
            if name in names:
                return names[name]
        raise QueryError(f"unknown field {str(name)!r}, known are {', '.join(FIELDS)}", name.column)

    def _parse_value(self, name: Token, value: Token) -> Any:
        text = _unquote(value)
        try:
            if name in NUMBER_FIELDS:
                return float(text)
            if name in TIME_FIELDS:
                return parse_time(text, self.now_ms)
        except ValueError as error:
            fault = str(error) if name in TIME_FIELDS else f"{text!r} is no number"
            raise QueryError(fault, value.column) from None
        if name in FLAG_FIELDS:
            if text not in ("true", "false"):
                raise QueryError(f"{name!s} is true or false", value.column)
            return text == "true"
        return text

    def test(self, parts: list[Token]) -> _QueryNode:
        name, order, raw = parts
        row_field = self._row_field(name)
        if order == "~" and name not in TEXT_FIELDS:
            raise QueryError("~ compares text with a pattern of * and ?", order.column)
        value = self._parse_value(name, raw)
        if order == "~":
            pattern = re.compile(fnmatch.translate(value))
            return _QueryNode(lambda row: pattern.fullmatch(getattr(row, row_field)) is not None)
        if name in (*TEXT_FIELDS, *FLAG_FIELDS) and order not in ("=", "!="):
            raise QueryError(f"{name!s} has no order: = and != are possible, and ~ for text", order.column)
        compare = COMPARISONS[order]

        def matches_row(row: AttemptRow) -> bool:
            there = getattr(row, row_field)
            # An unknown value is neither before nor after any other, nor equal to it.
            return compare(there, value) if there is not None else order == "!="

        node = _QueryNode(matches_row)
        if order == "=" and name in TEXT_FIELDS:
            node.required_values[name] = frozenset((value,))
        if name == "time":
            node.after_ms = value if order in (">", ">=", "=") else node.after_ms
            node.before_ms = value if order in ("<", "<=", "=") else node.before_ms
        return node

    def among(self, parts: list[Token]) -> _QueryNode:
        name, *raws = parts
        row_field, values = self._row_field(name), frozenset(self._parse_value(name, raw) for raw in raws)
        node = _QueryNode(lambda row: getattr(row, row_field) in values)
        if name in TEXT_FIELDS:
            node.required_values[name] = values
        return node

    def not_among(self, parts: list[Token]) -> _QueryNode:
        inner = self.among(parts).matches
        return _QueryNode(lambda row: not inner(row))

    def no(self, parts: list[_QueryNode]) -> _QueryNode:
        inner = parts[0].matches
        return _QueryNode(lambda row: not inner(row))

    def all(self, parts: list[_QueryNode]) -> _QueryNode:
        tests = [each.matches for each in parts]
        node = _QueryNode(
            lambda row: all(each(row) for each in tests),
            max(each.after_ms for each in parts),
            min(each.before_ms for each in parts),
        )
        for each in parts:
            for name, values in each.required_values.items():
                node.required_values[name] = node.required_values.get(name, values) & values
        return node

    def any(self, parts: list[_QueryNode]) -> _QueryNode:
        tests = [each.matches for each in parts]
        node = _QueryNode(
            lambda row: any(each(row) for each in tests),
            min(each.after_ms for each in parts),
            max(each.before_ms for each in parts),
        )
        for name in set.intersection(*(set(each.required_values) for each in parts)):
            node.required_values[name] = frozenset().union(*(each.required_values[name] for each in parts))
        return node


@cache
def _parser() -> Lark:
    return Lark(GRAMMAR, parser="lalr", maybe_placeholders=False)


def parse_query(text: str, now_ms: float) -> QueryPlan:
    """Parses an expression; an empty one matches every row. Raises QueryError."""
    if not text.strip():
        return QueryPlan(lambda row: True)
    if len(text) > MAX_EXPRESSION_CHARS:
        raise QueryError(
            f"an expression of more than {MAX_EXPRESSION_CHARS} characters", MAX_EXPRESSION_CHARS
        )
    try:
        node = _PlanBuilder(now_ms).transform(_parser().parse(text))
    except VisitError as error:
        raise error.orig_exc from None
    except UnexpectedEOF:
        raise QueryError("it ends too early", len(text) + 1) from None
    except UnexpectedCharacters as error:
        raise QueryError(f"{text[error.column - 1 :][:12]!r} is not understood", error.column) from None
    except UnexpectedInput as error:
        token = getattr(error, "token", None)
        if token is None or token.type == "$END":
            raise QueryError("it ends too early", len(text) + 1) from None
        raise QueryError(f"{str(token)!r} was not expected here", token.column) from None
    return QueryPlan(
        node.matches,
        node.after_ms,
        node.before_ms,
        node.required_values.get("request"),
        node.required_values.get("worker"),
    )
