"""The names of the events in the log and their keys, as operators' scripts look for them, against a list."""

from __future__ import annotations

import ast

from golden_compare import compare_text
from player import ROOT

OF_THE_LOG = {"level", "rate_limited"}  # how it is told, not what


def told_in(tree: ast.AST) -> list[str]:
    """`event key key ...` of each call of log_event(), as written in the code."""
    found: list[str] = []
    imported = {
        each.name for node in ast.walk(tree) if isinstance(node, ast.ImportFrom) for each in node.names
    }
    if "log_event" not in imported:  # another function of this name
        return found
    for node in ast.walk(tree):
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Name) and node.func.id == "log_event":
            event = node.args[0].value if node.args and isinstance(node.args[0], ast.Constant) else "?"
            keys = sorted(each.arg or "**" for each in node.keywords if each.arg not in OF_THE_LOG)
            found.append(" ".join([str(event), *keys]))
    return found


def logged_in(tree: ast.AST) -> list[str]:
    """The texts that are given to the standard library's log: `log.warning("...")`."""
    found = []
    for node in ast.walk(tree):
        if (
            isinstance(node, ast.Call)
            and isinstance(node.func, ast.Attribute)
            and isinstance(node.func.value, ast.Name)
            and node.func.value.id in ("log", "logger")
            and node.func.attr in ("debug", "info", "warning", "error", "exception", "critical")
        ):
            text = node.args[0].value if node.args and isinstance(node.args[0], ast.Constant) else "?"
            found.append(f"{node.func.attr}: {text}")
    return found


def test_events_and_their_keys_are_those_of_the_list() -> None:
    trees = [ast.parse(each.read_text()) for each in sorted((ROOT / "spanwing").rglob("*.py"))]
    events = sorted({line for tree in trees for line in told_in(tree)})
    lines = sorted({line for tree in trees for line in logged_in(tree)})
    assert not [each for each in events + lines if "?" in each.split(" ")[:2]]
    compare_text("log_events.txt", "\n".join([*events, "", *lines, ""]))
