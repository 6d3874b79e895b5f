"""Writes golden files that are not there yet, from the program as it is; run by hand, and never by a test.

    python tests/golden_make.py

A golden file is what an earlier program stored or sent. It is never written anew: this refuses to touch one.
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
from golden_files import ANSWERS, FOLDERS, FORMS, TOLERANCE, copied, folder_bytes, forms, tolerance  # noqa: E402
from golden_messages import SUBJECTS, settings_read  # noqa: E402


def _new(path: Path, text: str) -> None:
    if path.exists():
        print(f"{path.name} is there and stays as it is")
        return
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(text)


def _line(name: str, data: bytes, binary: bool) -> str:
    return f"{name}\t" + (f"hex\t{data.hex()}" if binary else f"text\t{data.decode()}") + "\n"


def make_forms() -> None:
    for subject, each in SUBJECTS.items():
        coded = {name: each.encode(value) for name, value in each.objects.items()}
        _new(
            FORMS / f"{subject}.tsv", "".join(_line(name, data, each.binary) for name, data in coded.items())
        )
        taken = {
            name: tolerance(
                data,
                each.binary,
                lambda data, name=name, each=each: each.decode(data, type(each.objects[name])),
            )
            for name, data in coded.items()
        }
        _new(TOLERANCE / f"{subject}.json", json.dumps(taken, indent=1) + "\n")


def _new_folder(path: Path, write: Callable[[Path], object]) -> None:
    """With all that is written into a folder but its lock."""
    if path.exists():
        print(f"{path.name} is there and stays as it is")
        return
    with tempfile.TemporaryDirectory() as made:
        write(Path(made))
        path.mkdir(parents=True)
        for name, data in folder_bytes(Path(made)).items():
            (path / name).write_bytes(data)


def make_folders() -> None:
    """The folders first, then what is read from them, from copies."""
    own = golden_folders
    for subject, write in own.WRITTEN.items():
        _new_folder(FOLDERS / subject / "written", write)
    read = {}
    with tempfile.TemporaryDirectory() as place:
        for subject, open_it in own.OPENED.items():
            copy = copied(subject, Path(place) / subject)
            read[subject] = open_it(copy)
            if folder_bytes(copy) != folder_bytes(FOLDERS / subject / "written"):
                _new_folder(
                    FOLDERS / subject / "opened",
                    lambda made, copy=copy: shutil.copytree(copy, made, dirs_exist_ok=True),
                )
        copy = copied("journal", Path(place) / "restart")
        read["journal, restarted"] = own.restart_journal(copy)
        _new_folder(
            FOLDERS / "journal" / "restarted", lambda made: shutil.copytree(copy, made, dirs_exist_ok=True)
        )
    for name, answer in {
        **read,
        "claims": own.taken_claims(),
        "status": own.status(),
        "settings": settings_read(forms("settings")["options full"]),
    }.items():
        _new(ANSWERS / f"{name}.json", json.dumps(answer, indent=1) + "\n")


if __name__ == "__main__":
    make_forms()
    make_folders()
