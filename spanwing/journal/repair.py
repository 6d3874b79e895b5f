"""Puts a damaged folder in order, without losing a whole record and without hiding what is lost.

Guarantees: nothing is changed unless the folder's lock is ours; a damaged segment keeps its bytes under
another name (`.damaged`), and a copy of its whole records takes its place, whole at once. Steps are told
before they are taken, and a dry run takes none.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from spanwing.journal.files import Files
from spanwing.journal.frames import (
    COMPACTED,
    HEADER_SIZE,
    Frame,
    FutureVersion,
    Header,
    Skipped,
    frame_bytes,
    header_bytes,
    read_frames,
    read_header,
)
from spanwing.journal.log import PART, SNAPSHOT, Reader, first_of
from spanwing.journal.records import encode
from spanwing.journal.snapshot import read_snapshot

DAMAGED = ".damaged"


class Step(NamedTuple):
    """One thing to do, and why."""

    file: str
    what: str  # remove, rewrite, or leave
    why: str


def steps(files: Files) -> Iterator[Step]:
    """What there is to do."""
    names = files.names()
    for name in names:
        if name.endswith(PART):
            yield Step(name, "remove", "left by a crash before it was whole")
        elif name.endswith(SNAPSHOT) and first_of(name) is not None:
            try:
                read_snapshot(files.read(name))
            except ValueError as error:
                yield Step(name, "remove", f"snapshot: {error}; the log gives the same")
    segments = Reader(files).segments()
    for name in segments:
        data = files.read(name)
        try:
            header = read_header(data)
        except FutureVersion as error:
            yield Step(name, "leave", f"{error}")
            continue
        except ValueError as error:
            if len(data) <= HEADER_SIZE and name == segments[-1]:
                yield Step(name, "remove", f"{error}: it never held a record")
            else:
                yield Step(name, "rewrite", f"{error}")
            continue
        sparse = bool(header.flags & COMPACTED)
        wrong = [
            each for each in read_frames(data, header.first, HEADER_SIZE, sparse) if isinstance(each, Skipped)
        ]
        torn = [each for each in wrong if each.reason.startswith("torn tail")]
        if len(wrong) > len(torn):
            yield Step(name, "rewrite", "; ".join(each.reason for each in wrong))
        elif torn:
            why = f"{torn[0].reason}: a crash leaves that, and nothing of it was acknowledged"
            yield Step(name, "leave", why)


def take(files: Files, step: Step) -> None:
    """Carry one step out. Raises OSError."""
    if step.what == "remove":
        files.remove(step.file)
    elif step.what == "rewrite":
        _rewrite(files, step.file)
    files.sync_folder()


def _rewrite(files: Files, name: str) -> None:
    data = files.read(name)
    first = first_of(name) or 0
    try:
        header = read_header(data)
    except ValueError:
        header = Header(first, 0.0)
    part = name + PART
    files.create(part)
    try:
        files.append(part, header_bytes(Header(header.first, header.begun_ms, COMPACTED, header.after)))
        for each in read_frames(data, header.first, HEADER_SIZE, True):
            if isinstance(each, Frame):
                files.append(part, frame_bytes(each.number, encode(each.record)))
        files.sync(part)
    finally:
        files.close(part)
    files.rename(name, name + DAMAGED)
    files.rename(part, name)
