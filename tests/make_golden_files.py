"""Writes the golden files that do not exist yet, from the current program. Run by hand, never by a test.

    python tests/make_golden_files.py

A golden file holds what an earlier version stored or sent, so an existing file is never replaced.
"""

from __future__ import annotations

import json
import shutil
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path

sys.path[:0] = [str(Path(__file__).parent), str(Path(__file__).parent.parent)]

import golden_folders  # noqa: E402
from golden_files import (  # noqa: E402
    ANSWERS,
    FOLDERS,
    FORMS,
    TOLERANCE,
    copy_folder,
    folder_bytes,
    measure_tolerance,
    read_messages,
)
from golden_messages import SUBJECTS, read_settings  # noqa: E402


def _write_new(path: Path, text: str) -> None:
    """Writes a file unless it exists."""
    if path.exists():
        print(f"{path.name} exists and is not changed")
        return
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(text)


def _tsv_line(name: str, data: bytes, binary: bool) -> str:
    """Returns the line of a file under tests/golden/forms: name, encoding and data, separated by tabs."""
    return f"{name}\t" + (f"hex\t{data.hex()}" if binary else f"text\t{data.decode()}") + "\n"


def make_forms() -> None:
    """Writes the encoded objects of each subject and the tolerance of their decoders."""
    for subject, each in SUBJECTS.items():
        encoded = {name: each.encode(value) for name, value in each.objects.items()}
        _write_new(
            FORMS / f"{subject}.tsv",
            "".join(_tsv_line(name, data, each.binary) for name, data in encoded.items()),
        )
        tolerance = {
            name: measure_tolerance(
                data,
                each.binary,
                lambda data, name=name, each=each: each.decode(data, type(each.objects[name])),
            )
            for name, data in encoded.items()
        }
        _write_new(TOLERANCE / f"{subject}.json", json.dumps(tolerance, indent=1) + "\n")


def _write_new_folder(path: Path, write: Callable[[Path], object]) -> None:
    """Creates a folder, unless it exists, with the files that `write` produces, except the lock file."""
    if path.exists():
        print(f"{path.name} exists and is not changed")
        return
    with tempfile.TemporaryDirectory() as target:
        write(Path(target))
        path.mkdir(parents=True)
        for name, data in folder_bytes(Path(target)).items():
            (path / name).write_bytes(data)


def make_folders() -> None:
    """Writes the golden folders, then the answers read from copies of them."""
    maker = golden_folders
    for subject, write in maker.WRITERS.items():
        _write_new_folder(FOLDERS / subject / "written", write)
    answers = {}
    with tempfile.TemporaryDirectory() as place:
        for subject, read in maker.READERS.items():
            copy = copy_folder(subject, Path(place) / subject)
            answers[subject] = read(copy)
            if folder_bytes(copy) != folder_bytes(FOLDERS / subject / "written"):
                _write_new_folder(
                    FOLDERS / subject / "opened",
                    lambda target, copy=copy: shutil.copytree(copy, target, dirs_exist_ok=True),
                )
        copy = copy_folder("journal", Path(place) / "restart")
        answers["journal, restarted"] = maker.restart_journal(copy)
        _write_new_folder(
            FOLDERS / "journal" / "restarted",
            lambda target: shutil.copytree(copy, target, dirs_exist_ok=True),
        )
    for name, answer in {
        **answers,
        "claims": maker.write_claims(),
        "status": maker.status(),
        "settings": read_settings(read_messages("settings")["options full"]),
    }.items():
        _write_new(ANSWERS / f"{name}.json", json.dumps(answer, indent=1) + "\n")


if __name__ == "__main__":
    make_forms()
    make_folders()
