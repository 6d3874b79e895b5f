"""Repairs a damaged folder: keeps every complete record, and the damaged bytes for inspection.

A damaged segment is renamed to end in `.damaged`, and a copy of its complete records is put in its place. The
caller holds the folder's lock, reports each step before it applies it, and applies none in a dry run.
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
    """What to do with one file, and why."""

    file_name: str
    action: str  # "remove", "rewrite" or "leave"
    reason: str


def plan_repair(files: FolderFiles) -> Iterator[RepairStep]:
    """Yields the steps that the folder needs; reads all its segments and changes nothing."""
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
        damaged_ranges = [
            item
            for item in read_frames(data, header.first_number, HEADER_SIZE, is_compacted)
            if isinstance(item, DamagedBytes)
        ]
        torn_tails = [damage for damage in damaged_ranges if damage.reason.startswith("torn tail")]
        if len(damaged_ranges) > len(torn_tails):
            yield RepairStep(name, "rewrite", "; ".join(damage.reason for damage in damaged_ranges))
        elif torn_tails:
            reason = f"{torn_tails[0].reason}: a crash leaves that, and nothing of it was acknowledged"
            yield RepairStep(name, "leave", reason)


def apply_step(files: FolderFiles, step: RepairStep) -> None:
    """Applies one step and syncs the folder. Raises OSError."""
    if step.action == "remove":
        files.remove(step.file_name)
    elif step.action == "rewrite":
        _rewrite(files, step.file_name)
    files.sync_folder()


def _rewrite(files: FolderFiles, name: str) -> None:
    """Renames a segment to end in DAMAGED_SUFFIX and puts a copy of its complete records in its place.

    If the header is unusable, the new one has the first number that the segment's name states. After a crash
    between the two renames the segment exists only under its DAMAGED_SUFFIX name, and a new plan_repair()
    does not restore it.
    """
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
        for item in read_frames(data, header.first_number, HEADER_SIZE, True):
            if isinstance(item, RecordFrame):
                files.append(partial_name, encode_frame(item.number, encode_record(item.record)))
        files.sync(partial_name)
    finally:
        files.close(partial_name)
    files.rename(name, name + DAMAGED_SUFFIX)
    files.rename(partial_name, name)
