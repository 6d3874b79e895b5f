"""Compares the names and fields of log events, and the texts of other log calls, with a golden list.

Guards against a change of a name that operators' scripts search the log for.
"""

from __future__ import annotations

import ast

from golden_compare import compare_text
from player import ROOT

CONTROL_ARGUMENTS = {"level", "rate_limited"}  # arguments of log_event() that are not fields of the event


def find_events(tree: ast.AST) -> list[str]:
    """Returns `event field field ...` for each call of log_event() in the code."""
    found_lines: list[str] = []
    imported = {
        each.name for node in ast.walk(tree) if isinstance(node, ast.ImportFrom) for each in node.names
    }
    if "log_event" not in imported:  # the module defines another function of this name
        return found_lines
    for node in ast.walk(tree):
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Name) and node.func.id == "log_event":
            event = node.args[0].value if node.args and isinstance(node.args[0], ast.Constant) else "?"
            keys = sorted(each.arg or "**" for each in node.keywords if each.arg not in CONTROL_ARGUMENTS)
            found_lines.append(" ".join([str(event), *keys]))
    return found_lines


def find_log_texts(tree: ast.AST) -> list[str]:
    """Returns `level: text` for each call of the standard library's log, such as `log.warning("...")`."""
    found_lines = []
    for node in ast.walk(tree):
        if (
            isinstance(node, ast.Call)
            and isinstance(node.func, ast.Attribute)
            and isinstance(node.func.value, ast.Name)
            and node.func.value.id in ("log", "logger")
            and node.func.attr in ("debug", "info", "warning", "error", "exception", "critical")
        ):
            text = node.args[0].value if node.args and isinstance(node.args[0], ast.Constant) else "?"
            found_lines.append(f"{node.func.attr}: {text}")
    return found_lines


def test_event_names_fields_and_log_texts_match_the_golden_list() -> None:
    trees = [ast.parse(each.read_text()) for each in sorted((ROOT / "spanwing").rglob("*.py"))]
    events = sorted({line for tree in trees for line in find_events(tree)})
    lines = sorted({line for tree in trees for line in find_log_texts(tree)})
    assert not [each for each in events + lines if "?" in each.split(" ")[:2]]
    compare_text("log_events.txt", "\n".join([*events, "", *lines, ""]))
