"""Checks that the packages import each other only as listed here, without cycles."""

from __future__ import annotations

import ast
import unittest
from pathlib import Path

PACKAGE_FOLDER = Path(__file__).parent.parent / "spanwing"
DECISION_MODULES = {"scheduler", "scheduler_state", "interface", "settings", "adapter"}
#: By package or module of spanwing, the other packages and modules of spanwing that it may import.
ALLOWED_IMPORTS = {
    "__init__": set(),
    "decisions": set(),
    "actor": set(),
    "config_errors": set(),
    "schema_validation": set(),
    "log": set(),
    "resources": {"log"},
    "json_input": set(),
    "health": set(),
    "net": {"resources"},
    "journal": set(),
    "simulation": {"decisions", "config_errors", "schema_validation", "store", "zones"},
    "experiment": {"simulation", "config_errors"},
    "load": {"simulation"},
    "core": {"decisions", "actor", "log", "resources"},
    "store": {"json_input", "actor", "net"},
    "workers": {"json_input", "resources", "decisions", "actor", "core", "net", "log"},
    "discovery": {"json_input", "decisions", "actor", "core", "net", "workers", "log"},
    "operator_file": {"config_errors", "health", "log", "store", "net"},
    "frontends": {
        "json_input",
        "resources",
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
    "zones": {"json_input", "decisions", "actor", "core", "store", "net", "log"},
    "policy": {"json_input", "decisions", "actor", "core", "store", "net", "log", "hot_restart"},
    "hot_restart": {"json_input", "decisions", "actor", "core", "net", "workers", "discovery", "frontends"},
    "config": {
        "json_input",
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
        "resources",
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


def layer_of(module: str) -> str:
    """Returns the key of ALLOWED_IMPORTS for a module; the files of the decision module share one."""
    name = module.split(".")[1] if "." in module else ""
    return "decisions" if name in DECISION_MODULES else name


class LayerTest(unittest.TestCase):
    def test_imports_are_allowed(self) -> None:
        violations = []
        for path in PACKAGE_FOLDER.rglob("*.py"):
            layer = layer_of(".".join(("spanwing", *path.relative_to(PACKAGE_FOLDER).with_suffix("").parts)))
            if layer not in ALLOWED_IMPORTS:
                violations.append(f"{path.relative_to(PACKAGE_FOLDER)}: its layer is not in ALLOWED_IMPORTS")
                continue
            for node in ast.walk(ast.parse(path.read_text())):
                names = (
                    [node.module or ""]
                    if isinstance(node, ast.ImportFrom)
                    else ([each.name for each in node.names] if isinstance(node, ast.Import) else [])
                )
                if names == ["spanwing"]:
                    names = [f"spanwing.{each.name}" for each in node.names]
                violations += [
                    f"{path.relative_to(PACKAGE_FOLDER)}: {name}"
                    for name in names
                    if name.startswith("spanwing.") and layer_of(name) not in ALLOWED_IMPORTS[layer] | {layer}
                ]
        self.assertEqual(violations, [])

    def test_allowed_imports_have_no_cycle(self) -> None:
        unsorted_layers = dict(ALLOWED_IMPORTS)
        while unsorted_layers:
            independent = [
                layer for layer, imports in unsorted_layers.items() if not imports & set(unsorted_layers)
            ]
            self.assertTrue(independent, f"a cycle among {sorted(unsorted_layers)}")
            for layer in independent:
                del unsorted_layers[layer]


if __name__ == "__main__":
    unittest.main()
