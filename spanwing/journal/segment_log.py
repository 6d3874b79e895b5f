"""The log itself: records in, segments on disk; and all of it read again.

Guarantees: write() returns only when every record of the batch is on disk, its segment's header and name
too; a batch that fails is not acknowledged, its segment is never written again, and the next batch begins
another one. A segment is never cut or changed: a new life begins a new segment, so whatever a crash left
stays to be looked at. Nothing is removed that an open request needs. All of it is blocking: a thread of its
own runs it.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

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
    return f"{first_number:016x}{SEGMENT_SUFFIX}"


def number_in_name(name: str) -> int | None:
    """The number in a file's name; None for a file that is not ours."""
    stem, _, suffix = name.rpartition(".")
    if f".{suffix}" not in (SEGMENT_SUFFIX, SNAPSHOT_SUFFIX) or len(stem) != 16:
        return None
    try:
        return int(stem, 16)
    except ValueError:
        return None


@dataclass(frozen=True, slots=True)
class RetentionLimits:
    """When a segment ends, and what is kept."""

    segment_bytes: int = 64 * 1024 * 1024
    segment_ms: float = 3_600_000.0
    retention_ms: float = 90 * 86_400_000.0
    retention_bytes: int = 4 * 1024 * 1024 * 1024
    retention_ms_by_class: Mapping[str, float] = field(default_factory=dict)  # by class, where it differs

    def retention_ms_for(self, cls: str) -> float:
        return self.retention_ms_by_class.get(cls, self.retention_ms)

    @property
    def longest_retention_ms(self) -> float:
        """Nothing that is settled is kept for longer."""
        return (
            max(self.retention_ms, *self.retention_ms_by_class.values())
            if self.retention_ms_by_class
            else self.retention_ms
        )


class SegmentReader:
    """All that a folder holds, in order, without a lock."""

    def __init__(self, files: FolderFiles) -> None:
        self.files = files

    def segment_names(self) -> list[str]:
        return sorted(
            name
            for name in self.files.names()
            if name.endswith(SEGMENT_SUFFIX) and number_in_name(name) is not None
        )

    def read_all(self, after_number: int = 0) -> Iterator[tuple[str, RecordFrame | DamagedBytes]]:
        """Every whole record with a number above after, and whatever is not whole, by segment."""
        names, last_number, expects_predecessor = self.segment_names(), after_number, bool(after_number)
        for position, name in enumerate(names):
            next_first_number = number_in_name(names[position + 1]) if position + 1 < len(names) else None
            if next_first_number is not None and next_first_number <= after_number + 1:
                continue  # all of it is older
            try:
                data = self.files.read(name)
            except FileNotFoundError:
                continue  # retention has removed it while we read
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
            # Before the oldest segment that is there nothing is missed: retention has taken it.
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
    """Opened by one process at a time; the ledger follows what is on disk."""

    def __init__(self, files: FolderFiles, limits: RetentionLimits = RetentionLimits()) -> None:  # noqa: B008 - immutable
        self.files, self.limits = files, limits
        self.damaged: list[tuple[str, DamagedBytes]] = []
        self.request_states, self.last_number = self._load_snapshot()
        reader = SegmentReader(files)
        for name in reader.segment_names():
            try:
                decode_header(files.read(name, HEADER_SIZE))
            except FutureVersionError as error:
                raise ValueError(f"{name}: {error}") from None
            except ValueError:
                pass  # told below, and nothing is written to it
        for name, each in reader.read_all(self.last_number):
            if isinstance(each, DamagedBytes):
                self.damaged.append((name, each))
            else:
                self.last_number = each.number
                self.request_states.apply(each.number, each.record)
        # Numbers that a lost tail may have used are left out: they must not stand for two records.
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
                    self.damaged.append((name, DamagedBytes(0, 0, f"snapshot: {error}")))
        return RequestStates(), 0

    def write(self, batch: list[AnyRecord], now_ms: float) -> int:
        """Write and sync; returns the number of the last record. Raises OSError: then none of the batch may
        be relied on, and all of it may be there."""
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
        )  # also where it fails: no number stands twice
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
        """Begin a segment; it counts only once its header and its name are on disk."""
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
            self.next_number += 1  # another try makes another file
            raise
        self.current_segment, self.current_bytes, self.segment_started_ms = name, HEADER_SIZE, now_ms
        if previous is not None:
            self.write_snapshot()

    def _close_segment(self) -> None:
        if self.current_segment is not None:
            self.files.close(self.current_segment)
            self.current_segment = None

    def write_snapshot(self) -> None:
        """Write down what is open; a crash at any point of it leaves the one before."""
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
        """Remove segments that are too old or too much, but none that is needed; returns their names."""
        names = SegmentReader(self.files).segment_names()
        oldest_needed = self.request_states.oldest_needed_number()
        sizes = {name: self.files.size(name) for name in names}
        total_bytes, removed = sum(sizes.values()), []
        for name, following in zip(names, names[1:], strict=False):
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
            if index in self.files.names():  # made by the command line; it would outlive its segment for ever
                self.files.remove(index)
            total_bytes -= sizes[name]
            removed.append(name)
        if removed:
            self.files.sync_folder()
        return removed

    def close(self) -> None:
        self._close_segment()
