"""Reads the golden files, and measures how a form takes what an older or a newer program would send.

Nothing here names anything of the program.
"""

from __future__ import annotations

import json
import shutil
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import msgspec

GOLDEN = Path(__file__).parent / "golden"
FORMS, TOLERANCE = GOLDEN / "forms", GOLDEN / "tolerance"
FOLDERS, ANSWERS = GOLDEN / "folders", GOLDEN / "answers"
LOCK = "lock"  # an empty file of a folder that one process at a time may write


def forms(subject: str) -> dict[str, bytes]:
    """The golden bytes of a subject, by name; binary ones stand as hexadecimal digits."""
    found = {}
    for line in (FORMS / f"{subject}.tsv").read_text().splitlines():
        name, kind, text = line.split("\t")
        found[name] = bytes.fromhex(text) if kind == "hex" else text.encode()
    return found


def folder_bytes(folder: Path) -> dict[str, bytes]:
    """All files of a folder but its lock."""
    return {each.name: each.read_bytes() for each in sorted(folder.iterdir()) if each.name != LOCK}


def copied(subject: str, place: Path) -> Path:
    """A copy of a golden folder, which may be opened and written."""
    shutil.copytree(FOLDERS / subject / "written", place)
    return place


def answers(name: str) -> Any:
    return json.loads((GOLDEN / name).read_text())


def known_tolerance() -> dict[str, Any]:
    """By subject and name: how the program took each form when the golden files were made."""
    return {each.stem: json.loads(each.read_text()) for each in TOLERANCE.iterdir()}


def _pack(value: object, binary: bool) -> bytes:
    return (msgspec.msgpack if binary else msgspec.json).encode(value)


def _reads(decode: Callable[[bytes], Any], data: bytes) -> bool:
    try:
        decode(data)
    except ValueError:
        return False
    return True


def tolerance(data: bytes, binary: bool, decode: Callable[[bytes], Any]) -> dict[str, Any]:
    """How a decoder takes one form with something more, or with something missing."""
    value = (msgspec.msgpack if binary else msgspec.json).decode(data)
    if isinstance(value, list):
        shortest = next(size for size in range(len(value) + 1) if _reads(decode, _pack(value[:size], binary)))
        return {"more": _reads(decode, _pack([*value, "of a newer program"], binary)), "shortest": shortest}
    needed = [
        name
        for name in value
        if not _reads(decode, _pack({key: each for key, each in value.items() if key != name}, binary))
    ]
    return {"more": _reads(decode, _pack({**value, "of a newer program": 1}, binary)), "needed": needed}


def shortened(data: bytes, binary: bool, known: dict[str, Any]) -> Iterator[bytes]:
    """The form without all that may be missing, and with something unknown where that is taken."""
    value = (msgspec.msgpack if binary else msgspec.json).decode(data)
    if isinstance(value, list):
        yield _pack(value[: known["shortest"]], binary)
        more: Any = [*value, "of a newer program"]
    else:
        yield _pack({key: each for key, each in value.items() if key in known["needed"]}, binary)
        more = {**value, "of a newer program": 1}
    if known["more"]:
        yield _pack(more, binary)
