"""Repairs a damaged folder, without losing a complete record and without hiding what is lost.

Nothing is changed unless this process holds the folder's lock. A damaged segment keeps its bytes under
another name (`.damaged`), and a copy of its complete records atomically takes its place. Steps are reported
before they are taken, and a dry run takes none.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from spanwing.journal.files import FolderFiles
from spanwing.journal.frames import (
    COMPACTED_FLAG,
    HEADER_SIZE,
    DamagedBytes,
    FutureVersionError,
    RecordFrame,
    SegmentHeader,
    decode_header,
    encode_frame,
    encode_header,
    read_frames,
)
from spanwing.journal.records import encode_record
from spanwing.journal.segment_log import PARTIAL_SUFFIX, SNAPSHOT_SUFFIX, SegmentReader, number_in_name
from spanwing.journal.snapshot import decode_snapshot

DAMAGED_SUFFIX = ".damaged"


class RepairStep(NamedTuple):
    """One step of the repair, and its reason."""

    file_name: str
    action: str  # remove, rewrite, or leave
    reason: str


def plan_repair(files: FolderFiles) -> Iterator[RepairStep]:
    """Yields the steps that the folder needs."""
    names = files.names()
    for name in names:
        if name.endswith(PARTIAL_SUFFIX):
            yield RepairStep(name, "remove", "left by a crash before it was whole")
        elif name.endswith(SNAPSHOT_SUFFIX) and number_in_name(name) is not None:
            try:
                decode_snapshot(files.read(name))
            except ValueError as error:
                yield RepairStep(name, "remove", f"snapshot: {error}; the log gives the same")
    segments = SegmentReader(files).segment_names()
    for name in segments:
        data = files.read(name)
        try:
            header = decode_header(data)
        except FutureVersionError as error:
            yield RepairStep(name, "leave", f"{error}")
            continue
        except ValueError as error:
            if len(data) <= HEADER_SIZE and name == segments[-1]:
                yield RepairStep(name, "remove", f"{error}: it never held a record")
            else:
                yield RepairStep(name, "rewrite", f"{error}")
            continue
        is_compacted = bool(header.flags & COMPACTED_FLAG)
        damaged = [
            each
            for each in read_frames(data, header.first_number, HEADER_SIZE, is_compacted)
            if isinstance(each, DamagedBytes)
        ]
        torn = [each for each in damaged if each.reason.startswith("torn tail")]
        if len(damaged) > len(torn):
            yield RepairStep(name, "rewrite", "; ".join(each.reason for each in damaged))
        elif torn:
            reason = f"{torn[0].reason}: a crash leaves that, and nothing of it was acknowledged"
            yield RepairStep(name, "leave", reason)


def apply_step(files: FolderFiles, step: RepairStep) -> None:
    """Carries one step out. Raises OSError."""
    if step.action == "remove":
        files.remove(step.file_name)
    elif step.action == "rewrite":
        _rewrite(files, step.file_name)
    files.sync_folder()


def _rewrite(files: FolderFiles, name: str) -> None:
    data = files.read(name)
    first_number = number_in_name(name) or 0
    try:
        header = decode_header(data)
    except ValueError:
        header = SegmentHeader(first_number, 0.0)
    partial_name = name + PARTIAL_SUFFIX
    files.create(partial_name)
    try:
        files.append(
            partial_name,
            encode_header(
                SegmentHeader(
                    header.first_number, header.started_ms, COMPACTED_FLAG, header.last_number_before
                )
            ),
        )
        for each in read_frames(data, header.first_number, HEADER_SIZE, True):
            if isinstance(each, RecordFrame):
                files.append(partial_name, encode_frame(each.number, encode_record(each.record)))
        files.sync(partial_name)
    finally:
        files.close(partial_name)
    files.rename(name, name + DAMAGED_SUFFIX)
    files.rename(partial_name, name)
