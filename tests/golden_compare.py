"""Compares output of the program with golden files of an earlier version.

A golden file is replaced only on purpose, by WRITE_GOLDEN=1 in the environment of the test run. Changes that
operators or scripts can see belong in CHANGELOG.md.
"""

from __future__ import annotations

import json
import os
import re
from pathlib import Path
from typing import Any

GOLDEN = Path(__file__).parent / "golden"
WRITE_FILES = os.environ.get("WRITE_GOLDEN") == "1"
STABLE_TEXT = re.compile(r"[^0-9/]{0,80}")  # no numbers, times, ports or paths: equal in every run


def compare_text(name: str, actual: str) -> None:
    """Asserts that the file `name` under tests/golden is equal to a text, byte for byte."""
    path = GOLDEN / name
    if WRITE_FILES:
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(actual)
    assert actual == path.read_text(), (
        f"output differs from {path.relative_to(GOLDEN.parent.parent)} in at least one byte"
    )


def compare_json(name: str, actual: Any) -> None:
    """Asserts that the file holds a JSON value, laid out with each list or object that fits on one line."""
    compare_text(name, _format_json(actual) + "\n")


def json_shape(value: Any) -> Any:
    """Returns the shape of a JSON value: its keys, and the types of its numbers and variable texts.

    Booleans, nulls and texts that are equal in every run are kept; a list keeps each distinct shape once.
    """
    match value:
        case dict():
            return {key: json_shape(each) for key, each in value.items()}
        case list():
            shapes = []
            for each in map(json_shape, value):
                if each not in shapes:
                    shapes.append(each)
            return shapes
        case str():
            return f"={value}" if STABLE_TEXT.fullmatch(value) else "text"
        case bool() | None:
            return value
    return {int: "integer", float: "number"}[type(value)]


def _format_json(value: Any, depth: int = 0) -> str:
    """Returns JSON with each list or object on one line if it fits, indented by one space per level."""
    line = json.dumps(value, ensure_ascii=False)
    if len(line) + depth <= 110 or not isinstance(value, dict | list):
        return line
    pad, end = " " * (depth + 1), " " * depth
    if isinstance(value, list):
        inner = ",\n".join(pad + _format_json(each, depth + 1) for each in value)
        return f"[\n{inner}\n{end}]"
    inner = ",\n".join(
        f"{pad}{json.dumps(key)}: {_format_json(each, depth + 1)}" for key, each in value.items()
    )
    return f"{{\n{inner}\n{end}}}"
