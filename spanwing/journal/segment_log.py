"""The segment log: writes records to segments on disk, and reads them.

write() returns only when every record of the batch is on disk, with its segment's header and name. If a write
fails, its batch is not acknowledged, its segment is never written again, and the next batch starts a new
segment. A write only appends, and a new incarnation starts a new segment, so whatever a crash left stays
available for inspection. Records that an open request needs are never removed.

All calls block, so the daemon makes them from the committer's thread once the log is open.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from itertools import pairwise

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
from spanwing.journal.records import AnyRecord, encode_record
from spanwing.journal.request_states import RequestStates
from spanwing.journal.snapshot import decode_snapshot, encode_snapshot

SEGMENT_SUFFIX, SNAPSHOT_SUFFIX, PARTIAL_SUFFIX, INDEX_SUFFIX = ".log", ".snap", ".part", ".idx"
MAX_SNAPSHOTS = 2  # if the newest is damaged, the one before is used
NUMBERS_SKIPPED_AT_START = 1 << 20  # record numbers that a lost tail may have used


def segment_name(first_number: int) -> str:
    """Returns the name of the segment whose first record has this number."""
    return f"{first_number:016x}{SEGMENT_SUFFIX}"


def number_in_name(name: str) -> int | None:
    """Returns the record number in the name of a segment or snapshot; None for any other name."""
    stem, _, suffix = name.rpartition(".")
    if f".{suffix}" not in (SEGMENT_SUFFIX, SNAPSHOT_SUFFIX) or len(stem) != 16:
        return None
    try:
        return int(stem, 16)
    except ValueError:
        return None


@dataclass(frozen=True, slots=True)
class RetentionLimits:
    """The largest size and age of a segment, and the limits of retention."""

    segment_bytes: int = 64 * 1024 * 1024  # a write that would exceed it starts a new segment
    segment_ms: float = 3_600_000.0  # age after which a write starts a new segment
    retention_ms: float = 90 * 86_400_000.0
    retention_bytes: int = 4 * 1024 * 1024 * 1024  # of all segments together
    retention_ms_by_class: Mapping[str, float] = field(default_factory=dict)  # where it is not retention_ms

    def retention_ms_for(self, cls: str) -> float:
        """Returns the retention of a class, in ms."""
        return self.retention_ms_by_class.get(cls, self.retention_ms)

    @property
    def longest_retention_ms(self) -> float:
        """Returns the longest retention of any class, in ms; a segment older than that may be removed."""
        return (
            max(self.retention_ms, *self.retention_ms_by_class.values())
            if self.retention_ms_by_class
            else self.retention_ms
        )


class SegmentReader:
    """Reads the records of a folder in the order of their numbers, without a lock."""

    def __init__(self, files: FolderFiles) -> None:
        self.files = files

    def segment_names(self) -> list[str]:
        """Returns the names of the segments, in the order of their numbers."""
        return sorted(
            name
            for name in self.files.names()
            if name.endswith(SEGMENT_SUFFIX) and number_in_name(name) is not None
        )

    def read_all(self, after_number: int = 0) -> Iterator[tuple[str, RecordFrame | DamagedBytes]]:
        """Yields the complete frames with a number above after_number, and the damage, by segment name.

        A segment that can only have records up to after_number is not read, so its damage is not reported.
        """
        names, last_number, expects_predecessor = self.segment_names(), after_number, bool(after_number)
        for position, name in enumerate(names):
            next_first_number = number_in_name(names[position + 1]) if position + 1 < len(names) else None
            if next_first_number is not None and next_first_number <= after_number + 1:
                continue  # this segment has no record above after_number
            try:
                data = self.files.read(name)
            except FileNotFoundError:
                continue  # removed by retention since the names were listed
            try:
                header = decode_header(data)
            except ValueError as error:
                yield name, DamagedBytes(0, len(data), f"{error}", 0)
                continue
            if expects_predecessor and header.last_number_before > last_number:
                yield (
                    name,
                    DamagedBytes(
                        0,
                        0,
                        f"records up to {header.last_number_before} are not there before this segment",
                        header.last_number_before - last_number,
                    ),
                )
            # The first segment has no predecessor to compare with: retention has removed the records before
            # it. After a compacted segment no records count as missing either.
            expects_predecessor = not header.flags & COMPACTED_FLAG
            for item in read_frames(
                data, header.first_number, HEADER_SIZE, bool(header.flags & COMPACTED_FLAG)
            ):
                if isinstance(item, DamagedBytes):
                    yield name, item
                elif item.number > last_number:
                    last_number = item.number
                    yield name, item


class SegmentLog:
    """The log, open for writing in one process at a time.

    request_states holds the state of the requests by the records on disk, damaged_ranges the damage that was
    found when the log was opened, by file name. The constructor raises ValueError if a newer program wrote a
    segment.
    """

    def __init__(self, files: FolderFiles, limits: RetentionLimits = RetentionLimits()) -> None:
        self.files, self.limits = files, limits
        self.damaged_ranges: list[tuple[str, DamagedBytes]] = []
        self.request_states, self.last_number = self._load_snapshot()
        reader = SegmentReader(files)
        for name in reader.segment_names():
            try:
                decode_header(files.read(name, HEADER_SIZE))
            except FutureVersionError as error:
                raise ValueError(f"{name}: {error}") from None
            except ValueError:
                pass  # read_all() reports it as damage
        for name, item in reader.read_all(self.last_number):
            if isinstance(item, DamagedBytes):
                self.damaged_ranges.append((name, item))
            else:
                self.last_number = item.number
                self.request_states.apply(item.number, item.record)
        # Records of a lost tail may have had the next numbers. They are skipped, as no two records may have
        # the same number.
        highest_number = max(
            [self.last_number, *(number_in_name(name) or 0 for name in reader.segment_names())]
        )
        self.next_number = highest_number + NUMBERS_SKIPPED_AT_START if reader.segment_names() else 1
        self.current_segment: str | None = None
        self.current_bytes, self.segment_started_ms = 0, 0.0

    def _load_snapshot(self) -> tuple[RequestStates, int]:
        """Returns the states and the last record number of the newest usable snapshot.

        Without a usable snapshot, the states are empty and the number is 0.
        """
        for name in sorted(self.files.names(), reverse=True):
            if name.endswith(SNAPSHOT_SUFFIX) and number_in_name(name) is not None:
                try:
                    return decode_snapshot(self.files.read(name))
                except ValueError as error:
                    self.damaged_ranges.append((name, DamagedBytes(0, 0, f"snapshot: {error}")))
        return RequestStates(), 0

    def write(self, batch: list[AnyRecord], now_ms: float) -> int:
        """Writes and syncs a batch; returns the number of its last record.

        Raises OSError if the write fails: none of the batch may be relied on then, though all of it may be on
        disk. Raises ValueError if a record is too long.
        """
        numbers = range(self.next_number, self.next_number + len(batch))
        data = b"".join(
            encode_frame(number, encode_record(record)) for number, record in zip(numbers, batch, strict=True)
        )
        # A negative age, after the clock stepped back, also starts a new segment: the current one would
        # otherwise stay open until the clock has caught up.
        is_too_old = not 0 <= now_ms - self.segment_started_ms < self.limits.segment_ms
        if (
            self.current_segment is None
            or is_too_old
            or self.current_bytes + len(data) > self.limits.segment_bytes
        ):
            self._start_segment(now_ms)
        # The numbers count as used even if the write fails: part of the batch may be on disk.
        name, self.next_number = self.current_segment, numbers.stop
        try:
            self.files.append(name, data)
            self.files.sync(name)
        except OSError:
            self._close_segment()
            raise
        self.current_bytes += len(data)
        self.last_number = self.next_number - 1
        for number, record in zip(numbers, batch, strict=True):
            self.request_states.apply(number, record)
        return self.last_number

    def _start_segment(self, now_ms: float) -> None:
        """Starts a segment, and makes its header and its name durable before any record is written.

        If it replaces an open segment, a snapshot is written as well. Raises OSError.
        """
        previous = self.current_segment
        self._close_segment()
        name = segment_name(self.next_number)
        try:
            self.files.create(name)
            self.files.append(
                name, encode_header(SegmentHeader(self.next_number, now_ms, 0, self.last_number))
            )
            self.files.sync(name)
            self.files.sync_folder()
        except OSError:
            self.files.close(name)
            self.next_number += 1  # the name contains the number, so a retry creates another file
            raise
        self.current_segment, self.current_bytes, self.segment_started_ms = name, HEADER_SIZE, now_ms
        if previous is not None:
            self.write_snapshot()

    def _close_segment(self) -> None:
        """Closes the current segment, if any; the next write starts another one."""
        if self.current_segment is not None:
            self.files.close(self.current_segment)
            self.current_segment = None

    def write_snapshot(self) -> None:
        """Writes a snapshot of the request states and removes all but the newest MAX_SNAPSHOTS.

        A crash at any point leaves the snapshots before it usable. Raises OSError.
        """
        name = f"{self.last_number:016x}{SNAPSHOT_SUFFIX}"
        partial_name = name + PARTIAL_SUFFIX
        for file_name in self.files.names():
            if file_name.endswith(SNAPSHOT_SUFFIX + PARTIAL_SUFFIX):
                self.files.remove(file_name)
        self.files.create(partial_name)
        try:
            self.files.append(partial_name, encode_snapshot(self.request_states, self.last_number))
            self.files.sync(partial_name)
        finally:
            self.files.close(partial_name)
        self.files.rename(partial_name, name)
        self.files.sync_folder()
        snapshots = sorted(
            file_name for file_name in self.files.names() if file_name.endswith(SNAPSHOT_SUFFIX)
        )
        for file_name in snapshots[:-MAX_SNAPSHOTS]:
            self.files.remove(file_name)

    def remove_expired(self, now_ms: float) -> list[str]:
        """Removes the oldest segments beyond the limits of age or total size; returns their names.

        Segments that an open request needs stay, as do all later ones and the last one. Raises OSError.
        """
        names = SegmentReader(self.files).segment_names()
        oldest_needed = self.request_states.oldest_needed_number()
        sizes = {name: self.files.size(name) for name in names}
        total_bytes, removed = sum(sizes.values()), []
        for name, next_name in pairwise(names):
            next_first_number = number_in_name(next_name)
            if oldest_needed is not None and oldest_needed < next_first_number:
                break
            try:
                ended_ms = decode_header(self.files.read(next_name, HEADER_SIZE)).started_ms
            except ValueError:
                break
            if (
                now_ms - ended_ms <= self.limits.longest_retention_ms
                and total_bytes <= self.limits.retention_bytes
            ):
                break
            self.files.remove(name)
            index_name = name.removesuffix(SEGMENT_SUFFIX) + INDEX_SUFFIX
            if index_name in self.files.names():  # nothing else removes an index
                self.files.remove(index_name)
            total_bytes -= sizes[name]
            removed.append(name)
        if removed:
            self.files.sync_folder()
        return removed

    def close(self) -> None:
        """Closes the current segment."""
        self._close_segment()
