"""The segment log: writes records to segments on disk, and reads them.

write() returns only when every record of the batch is on disk, with its segment's header and name. A batch
that fails is not acknowledged, its segment is never written again, and the next batch starts another one. A
segment is never cut or changed by a write: a new incarnation starts a new segment, so whatever a crash left
stays for inspection. Nothing that an open request needs is removed. All calls block: they run in a thread of
their own.
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
MAX_SNAPSHOTS = 2
NUMBERS_SKIPPED_AT_START = 1 << 20


def segment_name(first_number: int) -> str:
    """Returns the name of the segment that begins with this record's number."""
    return f"{first_number:016x}{SEGMENT_SUFFIX}"


def number_in_name(name: str) -> int | None:
    """Returns the number in a file's name; None if it is no segment or snapshot."""
    stem, _, suffix = name.rpartition(".")
    if f".{suffix}" not in (SEGMENT_SUFFIX, SNAPSHOT_SUFFIX) or len(stem) != 16:
        return None
    try:
        return int(stem, 16)
    except ValueError:
        return None


@dataclass(frozen=True, slots=True)
class RetentionLimits:
    """When a segment ends, and how long and how much is retained."""

    segment_bytes: int = 64 * 1024 * 1024
    segment_ms: float = 3_600_000.0
    retention_ms: float = 90 * 86_400_000.0
    retention_bytes: int = 4 * 1024 * 1024 * 1024
    retention_ms_by_class: Mapping[str, float] = field(default_factory=dict)  # by class, where it differs

    def retention_ms_for(self, cls: str) -> float:
        """Returns the retention of a class, in ms."""
        return self.retention_ms_by_class.get(cls, self.retention_ms)

    @property
    def longest_retention_ms(self) -> float:
        """Returns the longest retention of any class, in ms; no settled request is kept for longer."""
        return (
            max(self.retention_ms, *self.retention_ms_by_class.values())
            if self.retention_ms_by_class
            else self.retention_ms
        )


class SegmentReader:
    """Reads the records of a folder, in order, without a lock."""

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
        """Yields the complete records with a number above after_number, and all damage, by segment."""
        names, last_number, expects_predecessor = self.segment_names(), after_number, bool(after_number)
        for position, name in enumerate(names):
            next_first_number = number_in_name(names[position + 1]) if position + 1 < len(names) else None
            if next_first_number is not None and next_first_number <= after_number + 1:
                continue  # all of its records are older
            try:
                data = self.files.read(name)
            except FileNotFoundError:
                continue  # retention has removed it meanwhile
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
            # Records before the oldest segment are not missing: retention has removed them.
            expects_predecessor = not header.flags & COMPACTED_FLAG
            for each in read_frames(
                data, header.first_number, HEADER_SIZE, bool(header.flags & COMPACTED_FLAG)
            ):
                if isinstance(each, DamagedBytes):
                    yield name, each
                elif each.number > last_number:
                    last_number = each.number
                    yield name, each


class SegmentLog:
    """The log, open in one process at a time; request_states follows what is on disk."""

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
                pass  # reported below as damage; nothing is written to it
        for name, each in reader.read_all(self.last_number):
            if isinstance(each, DamagedBytes):
                self.damaged_ranges.append((name, each))
            else:
                self.last_number = each.number
                self.request_states.apply(each.number, each.record)
        # Numbers that a lost tail may have used are skipped: none may stand for two records.
        highest_number = max(
            [self.last_number, *(number_in_name(name) or 0 for name in reader.segment_names())]
        )
        self.next_number = highest_number + NUMBERS_SKIPPED_AT_START if reader.segment_names() else 1
        self.current_segment: str | None = None
        self.current_bytes, self.segment_started_ms = 0, 0.0

    def _load_snapshot(self) -> tuple[RequestStates, int]:
        for name in sorted(self.files.names(), reverse=True):
            if name.endswith(SNAPSHOT_SUFFIX) and number_in_name(name) is not None:
                try:
                    return decode_snapshot(self.files.read(name))
                except ValueError as error:
                    self.damaged_ranges.append((name, DamagedBytes(0, 0, f"snapshot: {error}")))
        return RequestStates(), 0

    def write(self, batch: list[AnyRecord], now_ms: float) -> int:
        """Writes and syncs a batch; returns the number of its last record.

        Raises OSError: then none of the batch may be relied on, though all of it may be on disk.
        """
        numbers = range(self.next_number, self.next_number + len(batch))
        data = b"".join(
            encode_frame(number, encode_record(record)) for number, record in zip(numbers, batch, strict=True)
        )
        # A clock that stepped back must not keep a segment open for ever.
        is_too_old = not 0 <= now_ms - self.segment_started_ms < self.limits.segment_ms
        if (
            self.current_segment is None
            or is_too_old
            or self.current_bytes + len(data) > self.limits.segment_bytes
        ):
            self._start_segment(now_ms)
        name, self.next_number = (
            self.current_segment,
            numbers.stop,
        )  # even if the write fails: no number is used twice
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
        """Starts a segment; it counts only once its header and its name are on disk."""
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
            self.next_number += 1  # a retry creates another file
            raise
        self.current_segment, self.current_bytes, self.segment_started_ms = name, HEADER_SIZE, now_ms
        if previous is not None:
            self.write_snapshot()

    def _close_segment(self) -> None:
        if self.current_segment is not None:
            self.files.close(self.current_segment)
            self.current_segment = None

    def write_snapshot(self) -> None:
        """Writes a snapshot of the open requests; a crash at any point leaves the one before."""
        name = f"{self.last_number:016x}{SNAPSHOT_SUFFIX}"
        partial_name = name + PARTIAL_SUFFIX
        for each in self.files.names():
            if each.endswith(SNAPSHOT_SUFFIX + PARTIAL_SUFFIX):
                self.files.remove(each)
        self.files.create(partial_name)
        try:
            self.files.append(partial_name, encode_snapshot(self.request_states, self.last_number))
            self.files.sync(partial_name)
        finally:
            self.files.close(partial_name)
        self.files.rename(partial_name, name)
        self.files.sync_folder()
        snapshots = sorted(each for each in self.files.names() if each.endswith(SNAPSHOT_SUFFIX))
        for each in snapshots[:-MAX_SNAPSHOTS]:
            self.files.remove(each)

    def remove_expired(self, now_ms: float) -> list[str]:
        """Removes segments beyond the limits of time or size; returns their names.

        A segment that an open request needs stays, and so does the last one.
        """
        names = SegmentReader(self.files).segment_names()
        oldest_needed = self.request_states.oldest_needed_number()
        sizes = {name: self.files.size(name) for name in names}
        total_bytes, removed = sum(sizes.values()), []
        for name, following in pairwise(names):
            next_first_number = number_in_name(following)
            if oldest_needed is not None and oldest_needed < next_first_number:
                break
            try:
                ended_ms = decode_header(self.files.read(following, HEADER_SIZE)).started_ms
            except ValueError:
                break
            if (
                now_ms - ended_ms <= self.limits.longest_retention_ms
                and total_bytes <= self.limits.retention_bytes
            ):
                break
            self.files.remove(name)
            index = name.removesuffix(SEGMENT_SUFFIX) + INDEX_SUFFIX
            if index in self.files.names():  # nothing else would remove it
                self.files.remove(index)
            total_bytes -= sizes[name]
            removed.append(name)
        if removed:
            self.files.sync_folder()
        return removed

    def close(self) -> None:
        """Closes the current segment."""
        self._close_segment()
