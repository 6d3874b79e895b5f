"""What is installed is what the repository holds."""

from __future__ import annotations

import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

from player import ROOT

# What an installation copies, by the build system that pyproject.toml names; its command for wheels needs one
# more package, and takes its files from this one.
BUILD = "from setuptools import setup; setup()"


def files(folder: Path) -> set[str]:
    return {
        str(each.relative_to(folder))
        for each in folder.rglob("*")
        if each.is_file() and "__pycache__" not in each.parts
    }


def test_an_installation_has_every_file_of_the_tree() -> None:
    with tempfile.TemporaryDirectory() as name:
        copy, built = Path(name) / "copy", Path(name) / "built"
        shutil.copytree(ROOT / "spanwing", copy / "spanwing", ignore=shutil.ignore_patterns("__pycache__"))
        for each in ("pyproject.toml", "README.md"):
            shutil.copy(ROOT / each, copy)
        done = subprocess.run(
            [sys.executable, "-c", BUILD, "-q", "build_py", "--build-lib", str(built)],
            cwd=copy,
            capture_output=True,
            text=True,
        )
        assert done.returncode == 0, done.stderr
        assert files(built / "spanwing") == files(copy / "spanwing")
        assert [each.name for each in built.iterdir()] == ["spanwing"]
        done = subprocess.run(
            [sys.executable, "-c", "import spanwing.hot_restart.hot_restart"],
            cwd=built,
            capture_output=True,
            text=True,
        )
        assert done.returncode == 0, done.stderr
