"""An installation of the package contains all its files and works without the repository."""

from __future__ import annotations

import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

from player import ROOT

# Runs the build system that pyproject.toml names. The test uses build_py, since bdist_wheel, which takes its
# files from build_py, needs one more package.
SETUP_SCRIPT = "from setuptools import setup; setup()"


def list_files(folder: Path) -> set[str]:
    """Returns the paths of all files in the folder, relative to it and without caches."""
    return {
        str(path.relative_to(folder))
        for path in folder.rglob("*")
        if path.is_file() and "__pycache__" not in path.parts
    }


def test_installation_contains_every_file_of_the_package() -> None:
    with tempfile.TemporaryDirectory() as folder:
        source, built = Path(folder) / "copy", Path(folder) / "built"
        shutil.copytree(ROOT / "spanwing", source / "spanwing", ignore=shutil.ignore_patterns("__pycache__"))
        for each in ("pyproject.toml", "README.md"):
            shutil.copy(ROOT / each, source)
        process = subprocess.run(
            [sys.executable, "-c", SETUP_SCRIPT, "-q", "build_py", "--build-lib", str(built)],
            cwd=source,
            capture_output=True,
            text=True,
        )
        assert process.returncode == 0, process.stderr
        assert list_files(built / "spanwing") == list_files(source / "spanwing")
        assert [each.name for each in built.iterdir()] == ["spanwing"]
        process = subprocess.run(
            [sys.executable, "-c", "import spanwing.hot_restart.hot_restart"],
            cwd=built,
            capture_output=True,
            text=True,
        )
        assert process.returncode == 0, process.stderr
