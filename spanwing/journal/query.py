"""The filter language of `spanwing journal query`, parsed with lark.

    class = schedule-apply and worker in (w3, w7) and time >= -2h
    state = "possibly sent" and not tenant ~ corrib*
    time >= 2026-12-01T06:00 and time < 2026-12-01T09:30 and attempt > 0

This module does no I/O. An expression that does not parse completely raises QueryError with the column of the
first error. The bounds of a QueryPlan are never narrower than its expression, so a search that is limited to
them misses no matching row.
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
?start: disjunction
?disjunction: conjunction (_OR conjunction)*
?conjunction: condition (_AND condition)*
?condition: _NOT condition -> negation
    | "(" disjunction ")"
    | FIELD OP value -> comparison
    | FIELD _IN "(" value ("," value)* ")" -> membership
    | FIELD _NOT _IN "(" value ("," value)* ")" -> non_membership
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
# The fields of the language, by type, and the AttemptRow field of each.
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
MS_BY_UNIT = {"ms": 1.0, "s": 1e3, "m": 60e3, "h": 3600e3, "d": 86400e3}
MAX_EXPRESSION_CHARS = 4096

RowPredicate = Callable[[AttemptRow], bool]


class QueryError(ValueError):
    """An error in an expression; column counts from 1."""

    def __init__(self, text: str, column: int) -> None:
        super().__init__(f"column {column}: {text}")
        self.column = column


@dataclass
class QueryPlan:
    """A filter of rows, and bounds that every matching row is within.

    The bounds limit a search; a row within them may still not match.
    """

    matches: RowPredicate
    after_ms: float = float("-inf")  # lower bound of the row's time, wall-clock ms
    before_ms: float = float("inf")  # upper bound
    request_ids: frozenset[str] | None = None  # None: any
    workers: frozenset[str] | None = None  # None: any


@dataclass
class _QueryNode:
    """The filter and the bounds of a part of an expression, as in a QueryPlan."""

    matches: RowPredicate
    after_ms: float = float("-inf")
    before_ms: float = float("inf")
    # By text field: a matching row has one of these values.
    required_values: dict[str, frozenset[str]] = field(default_factory=dict)


def parse_time(text: str, now_ms: float) -> float:
    """Returns the time that a text states, in wall-clock ms.

    Accepts ISO 8601 (local time if it has no zone), `now`, and times relative to now such as -90s, -15m, -2h
    or -1d. Raises ValueError for any other text.
    """
    if text == "now":
        return now_ms
    if match := re.fullmatch(r"([-+])(\d+(?:\.\d+)?)(ms|s|m|h|d)", text):
        amount = float(match[2]) * MS_BY_UNIT[match[3]]
        return now_ms + (amount if match[1] == "+" else -amount)
    try:
        return datetime.fromisoformat(text).timestamp() * 1000.0
    except ValueError:
        raise ValueError(f"{text!r} is no time: write 2026-12-01T06:30, now, -15m, -2h or -1d") from None


def _unquote(token: Token) -> str:
    """Returns the token's text, a string without its quotes."""
    return token[1:-1] if token.type == "STRING" else str(token)


class _PlanBuilder(Transformer):
    """Builds a _QueryNode from the parse tree; lark calls the method of each grammar rule's name."""

    def __init__(self, now_ms: float) -> None:
        super().__init__()
        self.now_ms = now_ms

    def _row_field(self, name: Token) -> str:
        """Returns the AttemptRow field of a field name. Raises QueryError if there is none."""
        for row_field_by_name in (TEXT_FIELDS, NUMBER_FIELDS, TIME_FIELDS, FLAG_FIELDS):
            if name in row_field_by_name:
                return row_field_by_name[name]
        raise QueryError(f"unknown field {str(name)!r}, known are {', '.join(FIELDS)}", name.column)

    def _parse_value(self, name: Token, value: Token) -> Any:
        """Returns a value in the type of its field. Raises QueryError if it has another type."""
        text = _unquote(value)
        try:
            if name in NUMBER_FIELDS:
                return float(text)
            if name in TIME_FIELDS:
                return parse_time(text, self.now_ms)
        except ValueError as error:
            message = str(error) if name in TIME_FIELDS else f"{text!r} is no number"
            raise QueryError(message, value.column) from None
        if name in FLAG_FIELDS:
            if text not in ("true", "false"):
                raise QueryError(f"{name!s} is true or false", value.column)
            return text == "true"
        return text

    def comparison(self, tokens: list[Token]) -> _QueryNode:
        """Builds FIELD OP value."""
        name, comparator, value_token = tokens
        row_field = self._row_field(name)
        if comparator == "~" and name not in TEXT_FIELDS:
            raise QueryError("~ compares text with a pattern of * and ?", comparator.column)
        value = self._parse_value(name, value_token)
        if comparator == "~":
            pattern = re.compile(fnmatch.translate(value))
            return _QueryNode(lambda row: pattern.fullmatch(getattr(row, row_field)) is not None)
        if name in (*TEXT_FIELDS, *FLAG_FIELDS) and comparator not in ("=", "!="):
            raise QueryError(
                f"{name!s} has no order: = and != are possible, and ~ for text", comparator.column
            )
        compare = COMPARISONS[comparator]

        def matches_row(row: AttemptRow) -> bool:
            row_value = getattr(row, row_field)
            # An unknown value is not equal to, before or after any value.
            return compare(row_value, value) if row_value is not None else comparator == "!="

        node = _QueryNode(matches_row)
        if comparator == "=" and name in TEXT_FIELDS:
            node.required_values[name] = frozenset((value,))
        if name == "time":
            node.after_ms = value if comparator in (">", ">=", "=") else node.after_ms
            node.before_ms = value if comparator in ("<", "<=", "=") else node.before_ms
        return node

    def membership(self, tokens: list[Token]) -> _QueryNode:
        """Builds FIELD in (values)."""
        name, *value_tokens = tokens
        row_field, values = (
            self._row_field(name),
            frozenset(self._parse_value(name, value_token) for value_token in value_tokens),
        )
        node = _QueryNode(lambda row: getattr(row, row_field) in values)
        if name in TEXT_FIELDS:
            node.required_values[name] = values
        return node

    def non_membership(self, tokens: list[Token]) -> _QueryNode:
        """Builds FIELD not in (values); it has no bounds."""
        is_member = self.membership(tokens).matches
        return _QueryNode(lambda row: not is_member(row))

    def negation(self, nodes: list[_QueryNode]) -> _QueryNode:
        """Builds not node; it has no bounds, as those of the node do not hold for its negation."""
        inner_matches = nodes[0].matches
        return _QueryNode(lambda row: not inner_matches(row))

    def conjunction(self, nodes: list[_QueryNode]) -> _QueryNode:
        """Builds node and node ...; its bounds are the intersection of those of the nodes."""
        predicates = [node.matches for node in nodes]
        combined = _QueryNode(
            lambda row: all(matches(row) for matches in predicates),
            max(node.after_ms for node in nodes),
            min(node.before_ms for node in nodes),
        )
        for node in nodes:
            for name, values in node.required_values.items():
                combined.required_values[name] = combined.required_values.get(name, values) & values
        return combined

    def disjunction(self, nodes: list[_QueryNode]) -> _QueryNode:
        """Builds node or node ...; its bounds contain those of the nodes."""
        predicates = [node.matches for node in nodes]
        combined = _QueryNode(
            lambda row: any(matches(row) for matches in predicates),
            min(node.after_ms for node in nodes),
            max(node.before_ms for node in nodes),
        )
        for name in set.intersection(*(set(node.required_values) for node in nodes)):
            combined.required_values[name] = frozenset().union(
                *(node.required_values[name] for node in nodes)
            )
        return combined


@cache
def _parser() -> Lark:
    """Returns the parser, built on first use."""
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
