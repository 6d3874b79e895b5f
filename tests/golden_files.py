"""Reads the golden files, and determines which fields a decoder needs and whether it accepts unknown ones.

This file uses no names of the program.
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
LOCK_NAME = "lock"  # an empty file that a process locks while it writes to the folder


def read_messages(subject: str) -> dict[str, bytes]:
    """Returns the golden bytes of a subject by name. The file has binary values as hexadecimal digits."""
    found = {}
    for line in (FORMS / f"{subject}.tsv").read_text().splitlines():
        name, kind, text = line.split("\t")
        found[name] = bytes.fromhex(text) if kind == "hex" else text.encode()
    return found


def folder_bytes(folder: Path) -> dict[str, bytes]:
    """Returns the contents of all files of a folder by name, without the lock file."""
    return {each.name: each.read_bytes() for each in sorted(folder.iterdir()) if each.name != LOCK_NAME}


def copy_folder(subject: str, place: Path) -> Path:
    """Copies a golden folder to `place`, where a test may open and change it, and returns `place`."""
    shutil.copytree(FOLDERS / subject / "written", place)
    return place


def read_json(name: str) -> Any:
    """Returns the value of a JSON file under tests/golden."""
    return json.loads((GOLDEN / name).read_text())


def read_tolerance() -> dict[str, Any]:
    """Returns the recorded results of measure_tolerance(), by subject and name."""
    return {each.stem: json.loads(each.read_text()) for each in TOLERANCE.iterdir()}


def _encode(value: object, binary: bool) -> bytes:
    """Encodes a value as MessagePack or as JSON."""
    return (msgspec.msgpack if binary else msgspec.json).encode(value)


def _is_accepted(decode: Callable[[bytes], Any], data: bytes) -> bool:
    """Returns whether the decoder accepts the data."""
    try:
        decode(data)
    except ValueError:
        return False
    return True


def measure_tolerance(data: bytes, binary: bool, decode: Callable[[bytes], Any]) -> dict[str, Any]:
    """Returns which changes of one encoded value a decoder accepts.

    `more`: whether it accepts an unknown field. For an array `shortest` is the least number of elements it
    accepts; for an object `needed` lists the fields without which it rejects the value.
    """
    value = (msgspec.msgpack if binary else msgspec.json).decode(data)
    if isinstance(value, list):
        shortest = next(
            size for size in range(len(value) + 1) if _is_accepted(decode, _encode(value[:size], binary))
        )
        return {
            "more": _is_accepted(decode, _encode([*value, "of a newer program"], binary)),
            "shortest": shortest,
        }
    needed = [
        name
        for name in value
        if not _is_accepted(
            decode, _encode({key: each for key, each in value.items() if key != name}, binary)
        )
    ]
    return {
        "more": _is_accepted(decode, _encode({**value, "of a newer program": 1}, binary)),
        "needed": needed,
    }


def reduce_message(data: bytes, binary: bool, known: dict[str, Any]) -> Iterator[bytes]:
    """Yields the encoded value without its optional fields, then with an unknown field if that is accepted.

    `known` is the result of measure_tolerance() for the value.
    """
    value = (msgspec.msgpack if binary else msgspec.json).decode(data)
    if isinstance(value, list):
        yield _encode(value[: known["shortest"]], binary)
        extended: Any = [*value, "of a newer program"]
    else:
        yield _encode({key: each for key, each in value.items() if key in known["needed"]}, binary)
        extended = {**value, "of a newer program": 1}
    if known["more"]:
        yield _encode(extended, binary)
