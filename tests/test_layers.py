"""The packages import one way, without a circle: what a later part may know is written down here."""

from __future__ import annotations

import ast
import unittest
from pathlib import Path

ROOT = Path(__file__).parent.parent / "spanwing"
DECISIONS = {"choice", "state", "interface", "settings", "adapter"}
#: By package or module, what it may import of the project, itself aside.
MAY = {
    "__init__": set(),
    "decisions": set(),
    "actor": set(),
    "config_errors": set(),
    "schema_validation": set(),
    "log": set(),
    "health": set(),
    "net": set(),
    "journal": set(),
    "simulation": {"decisions", "config_errors", "schema_validation", "store", "zones"},
    "experiment": {"simulation", "config_errors"},
    "load": {"simulation"},
    "core": {"decisions", "actor", "log"},
    "store": {"actor", "net"},
    "workers": {"decisions", "actor", "core", "net", "log"},
    "discovery": {"decisions", "actor", "core", "net", "workers", "log"},
    "operator_file": {"config_errors", "health", "log", "store", "net"},
    "frontends": {
        "decisions",
        "actor",
        "core",
        "net",
        "workers",
        "discovery",
        "store",
        "health",
        "log",
        "config_errors",
        "operator_file",
    },
    "zones": {"decisions", "actor", "core", "store", "net", "log"},
    "policy": {"decisions", "actor", "core", "store", "net", "log", "hot_restart"},
    "hot_restart": {"decisions", "actor", "core", "net", "workers", "discovery", "frontends"},
    "config": {
        "decisions",
        "net",
        "discovery",
        "store",
        "config_errors",
        "schema_validation",
        "operator_file",
    },
    "daemon": {
        "decisions",
        "actor",
        "core",
        "net",
        "workers",
        "discovery",
        "store",
        "frontends",
        "log",
        "config_errors",
        "config",
        "journal",
        "hot_restart",
        "zones",
        "policy",
    },
    "cli": {
        "config",
        "config_errors",
        "operator_file",
        "daemon",
        "journal",
        "experiment",
        "load",
        "policy",
        "simulation",
    },
    "__main__": {"cli", "daemon"},
}


def part(module: str) -> str:
    name = module.split(".")[1] if "." in module else ""
    return "decisions" if name in DECISIONS else name


class Layers(unittest.TestCase):
    def test_imports_point_one_way(self) -> None:
        wrong = []
        for path in ROOT.rglob("*.py"):
            own = part(".".join(("spanwing", *path.relative_to(ROOT).with_suffix("").parts)))
            if own not in MAY:
                wrong.append(f"{path.relative_to(ROOT)}: its part is not in the table")
                continue
            for node in ast.walk(ast.parse(path.read_text())):
                names = (
                    [node.module or ""]
                    if isinstance(node, ast.ImportFrom)
                    else ([each.name for each in node.names] if isinstance(node, ast.Import) else [])
                )
                if names == ["spanwing"]:
                    names = [f"spanwing.{each.name}" for each in node.names]
                wrong += [
                    f"{path.relative_to(ROOT)}: {name}"
                    for name in names
                    if name.startswith("spanwing.") and part(name) not in MAY[own] | {own}
                ]
        self.assertEqual(wrong, [])

    def test_allowed_imports_have_no_circle(self) -> None:
        left = dict(MAY)
        while left:
            free = [each for each, needs in left.items() if not needs & set(left)]
            self.assertTrue(free, f"a circle among {sorted(left)}")
            for each in free:
                del left[each]


if __name__ == "__main__":
    unittest.main()
