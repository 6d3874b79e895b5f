"""Writes golden files that are not there yet, from the program as it is; run by hand, and never by a test.

    python tests/golden_make.py

A golden file is what an earlier program stored or sent. It is never written anew: this refuses to touch one.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path

sys.path[:0] = [str(Path(__file__).parent), str(Path(__file__).parent.parent)]

from golden_files import FORMS, TOLERANCE, tolerance  # noqa: E402
from golden_messages import SUBJECTS  # noqa: E402


def _new(path: Path, text: str) -> None:
    if path.exists():
        print(f"{path.name} is there and stays as it is")
        return
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(text)


def _line(name: str, data: bytes, binary: bool) -> str:
    return f"{name}\t" + (f"hex\t{data.hex()}" if binary else f"text\t{data.decode()}") + "\n"


def make_forms() -> None:
    found: dict[str, dict[str, object]] = {}
    for subject, each in SUBJECTS.items():
        coded = {name: each.encode(value) for name, value in each.objects.items()}
        _new(
            FORMS / f"{subject}.tsv", "".join(_line(name, data, each.binary) for name, data in coded.items())
        )
        found[subject] = {
            name: tolerance(
                data,
                each.binary,
                lambda data, name=name, each=each: each.decode(data, type(each.objects[name])),
            )
            for name, data in coded.items()
        }
    _new(TOLERANCE, json.dumps(found, indent=1) + "\n")


if __name__ == "__main__":
    make_forms()
