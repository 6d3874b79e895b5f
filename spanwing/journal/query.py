"""The filter language of `spanwing journal query`, parsed with lark.

    class = schedule-apply and worker in (w3, w7) and time >= -2h
    state = "possibly sent" and not tenant ~ corrib*
    time >= 2026-12-01T06:00 and time < 2026-12-01T09:30 and attempt > 0

Guarantees: pure; an expression either parses as a whole or raises QueryError with the column of the first
thing that is wrong; Plan's bounds are never narrower than what the expression allows, so using them to skip
files leaves nothing out.
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

from spanwing.journal.rows import Row

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
TEXTS = {
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
NUMBERS = {"attempt": "attempt"}
TIMES = {"time": "time", "intent": "intent", "last_byte": "last_byte", "answered": "answered"}
FLAGS = {"closed": "closed"}
FIELDS = sorted({*TEXTS, *NUMBERS, *TIMES, *FLAGS})
ORDERS = {
    "=": operator.eq,
    "!=": operator.ne,
    "<": operator.lt,
    "<=": operator.le,
    ">": operator.gt,
    ">=": operator.ge,
}
UNITS = {"ms": 1.0, "s": 1e3, "m": 60e3, "h": 3600e3, "d": 86400e3}
LONGEST = 4096

Test = Callable[[Row], bool]


class QueryError(ValueError):
    """What is wrong with an expression, and where."""

    def __init__(self, text: str, column: int) -> None:
        super().__init__(f"column {column}: {text}")
        self.column = column


@dataclass
class Plan:
    """A filter, and what it tells of where to look."""

    test: Test
    after: float = float("-inf")  # rows' times lie between these
    before: float = float("inf")
    requests: frozenset[str] | None = None  # only these ids can match; None: any
    workers: frozenset[str] | None = None


@dataclass
class _Node:
    """A part of an expression."""

    test: Test
    after: float = float("-inf")
    before: float = float("inf")
    sets: dict[str, frozenset[str]] = field(default_factory=dict)


def instant(text: str, now_ms: float) -> float:
    """A time as people write it, in wall-clock ms: ISO 8601 (local where it has no zone), `now`, or relative
    to now as -90s, -15m, -2h, -1d. Raises ValueError."""
    if text == "now":
        return now_ms
    if match := re.fullmatch(r"([-+])(\d+(?:\.\d+)?)(ms|s|m|h|d)", text):
        amount = float(match[2]) * UNITS[match[3]]
        return now_ms + (amount if match[1] == "+" else -amount)
    try:
        return datetime.fromisoformat(text).timestamp() * 1000.0
    except ValueError:
        raise ValueError(f"{text!r} is no time: write 2026-12-01T06:30, now, -15m, -2h or -1d") from None


def _plain(token: Token) -> str:
    return token[1:-1] if token.type == "STRING" else str(token)


class _Build(Transformer):
    """From the parse tree to a test and its bounds."""

    def __init__(self, now_ms: float) -> None:
        super().__init__()
        self.now_ms = now_ms

    def _field(self, name: Token) -> str:
        for names in (TEXTS, NUMBERS, TIMES, FLAGS):
            if name in names:
                return names[name]
        raise QueryError(f"unknown field {str(name)!r}, known are {', '.join(FIELDS)}", name.column)

    def _value(self, name: Token, value: Token) -> Any:
        text = _plain(value)
        try:
            if name in NUMBERS:
                return float(text)
            if name in TIMES:
                return instant(text, self.now_ms)
        except ValueError as error:
            fault = str(error) if name in TIMES else f"{text!r} is no number"
            raise QueryError(fault, value.column) from None
        if name in FLAGS:
            if text not in ("true", "false"):
                raise QueryError(f"{str(name)} is true or false", value.column)
            return text == "true"
        return text

    def test(self, parts: list[Token]) -> _Node:
        name, order, raw = parts
        place = self._field(name)
        if order == "~" and name not in TEXTS:
            raise QueryError("~ compares text with a pattern of * and ?", order.column)
        value = self._value(name, raw)
        if order == "~":
            pattern = re.compile(fnmatch.translate(value))
            return _Node(lambda row: pattern.fullmatch(getattr(row, place)) is not None)
        if name in (*TEXTS, *FLAGS) and order not in ("=", "!="):
            raise QueryError(f"{str(name)} has no order: = and != are possible, and ~ for text", order.column)
        compare = ORDERS[order]

        def holds(row: Row) -> bool:
            there = getattr(row, place)
            # What is not known is neither before nor after anything, but it is not equal to it either.
            return compare(there, value) if there is not None else order == "!="

        node = _Node(holds)
        if order == "=" and name in TEXTS:
            node.sets[name] = frozenset((value,))
        if name == "time":
            node.after = value if order in (">", ">=", "=") else node.after
            node.before = value if order in ("<", "<=", "=") else node.before
        return node

    def among(self, parts: list[Token]) -> _Node:
        name, *raws = parts
        place, values = self._field(name), frozenset(self._value(name, raw) for raw in raws)
        node = _Node(lambda row: getattr(row, place) in values)
        if name in TEXTS:
            node.sets[name] = values
        return node

    def not_among(self, parts: list[Token]) -> _Node:
        inner = self.among(parts).test
        return _Node(lambda row: not inner(row))

    def no(self, parts: list[_Node]) -> _Node:
        inner = parts[0].test
        return _Node(lambda row: not inner(row))

    def all(self, parts: list[_Node]) -> _Node:
        tests = [each.test for each in parts]
        node = _Node(
            lambda row: all(each(row) for each in tests),
            max(each.after for each in parts),
            min(each.before for each in parts),
        )
        for each in parts:
            for name, values in each.sets.items():
                node.sets[name] = node.sets.get(name, values) & values
        return node

    def any(self, parts: list[_Node]) -> _Node:
        tests = [each.test for each in parts]
        node = _Node(
            lambda row: any(each(row) for each in tests),
            min(each.after for each in parts),
            max(each.before for each in parts),
        )
        for name in set.intersection(*(set(each.sets) for each in parts)):
            node.sets[name] = frozenset().union(*(each.sets[name] for each in parts))
        return node


@cache
def _parser() -> Lark:
    return Lark(GRAMMAR, parser="lalr", maybe_placeholders=False)


def parse(text: str, now_ms: float) -> Plan:
    """An expression; an empty one lets everything through. Raises QueryError."""
    if not text.strip():
        return Plan(lambda row: True)
    if len(text) > LONGEST:
        raise QueryError(f"an expression of more than {LONGEST} characters", LONGEST)
    try:
        node = _Build(now_ms).transform(_parser().parse(text))
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
    return Plan(node.test, node.after, node.before, node.sets.get("request"), node.sets.get("worker"))
