"""Compares what the program shows now with files that were written by an earlier one.

A file is written anew only on purpose: WRITE_GOLDEN=1 in the environment of the test run. What an operator or
a script can see of the difference belongs in CHANGELOG.md.
"""

from __future__ import annotations

import json
import os
import re
from pathlib import Path
from typing import Any

GOLDEN = Path(__file__).parent / "golden"
WRITING = os.environ.get("WRITE_GOLDEN") == "1"
TOLD = re.compile(r"[^0-9/]{0,80}")  # a text without figures, times, ports and paths is the same every time


def compare_text(name: str, got: str) -> None:
    """The file NAME under tests/golden, byte for byte."""
    path = GOLDEN / name
    if WRITING:
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(got)
    assert got == path.read_text(), f"not as {path.relative_to(GOLDEN.parent.parent)} has it"


def compare_json(name: str, got: Any) -> None:
    """As compare_text; a list or an object of a line's length stands on one line."""
    compare_text(name, _laid_out(got) + "\n")


def form(value: Any) -> Any:
    """Keys and types of a JSON value; booleans, nulls and texts that are the same every time as they are."""
    match value:
        case dict():
            return {key: form(each) for key, each in value.items()}
        case list():
            forms = []
            for each in map(form, value):
                if each not in forms:
                    forms.append(each)
            return forms
        case str():
            return f"={value}" if TOLD.fullmatch(value) else "text"
        case bool() | None:
            return value
    return {int: "integer", float: "number"}[type(value)]


def _laid_out(value: Any, depth: int = 0) -> str:
    line = json.dumps(value, ensure_ascii=False)
    if len(line) + depth <= 110 or not isinstance(value, dict | list):
        return line
    pad, end = " " * (depth + 1), " " * depth
    if isinstance(value, list):
        inner = ",\n".join(pad + _laid_out(each, depth + 1) for each in value)
        return f"[\n{inner}\n{end}]"
    inner = ",\n".join(f"{pad}{json.dumps(key)}: {_laid_out(each, depth + 1)}" for key, each in value.items())
    return f"{{\n{inner}\n{end}}}"
