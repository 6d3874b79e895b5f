"""The packages import one way, without a circle: what a later part may know is written down here."""

from __future__ import annotations

import ast
import unittest
from pathlib import Path

ROOT = Path(__file__).parent.parent / "spanwing"
DECISIONS = {"choice", "state", "interface", "settings", "adapter"}
#: By package or module, what it may import of the project, itself aside.
MAY = {
    "decisions": set(),
    "actor": set(),
    "faults": set(),
    "everyfault": set(),
    "log": set(),
    "health": set(),
    "wire": set(),
    "journal": set(),
    "world": {"decisions", "faults", "everyfault", "store", "zones"},
    "experiment": {"world", "faults"},
    "load": {"world"},
    "core": {"decisions", "actor"},
    "store": {"actor", "wire"},
    "hops": {"decisions", "actor", "core", "wire"},
    "frontsfile": {"faults", "health", "log", "store", "wire"},
    "fronts": {
        "decisions",
        "actor",
        "core",
        "wire",
        "hops",
        "store",
        "health",
        "log",
        "faults",
        "frontsfile",
    },
    "zones": {"decisions", "actor", "core", "store", "wire", "log"},
    "policy": {"decisions", "actor", "core", "store", "wire", "log", "handover"},
    "handover": {"decisions", "actor", "core", "wire", "hops", "fronts"},
    "config": {"decisions", "wire", "hops", "store", "faults", "everyfault", "frontsfile"},
    "daemon": {
        "decisions",
        "actor",
        "core",
        "wire",
        "hops",
        "store",
        "fronts",
        "log",
        "faults",
        "config",
        "journal",
        "handover",
        "zones",
        "policy",
    },
    "cli": {"config", "faults", "frontsfile", "daemon", "journal", "experiment", "load", "policy", "world"},
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
