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
from spanwing.journal.ledger import Ledger
from spanwing.journal.records import Any, encode
from spanwing.journal.snapshot import read_snapshot, snapshot_bytes

SEGMENT, SNAPSHOT, PART, INDEX = ".log", ".snap", ".part", ".idx"
KEPT_SNAPSHOTS = 2
NUMBERS_A_LIFE = 1 << 20


def segment_name(first: int) -> str:
    return f"{first:016x}{SEGMENT}"


def first_of(name: str) -> int | None:
    """The number in a file's name; None for a file that is not ours."""
    stem, _, ending = name.rpartition(".")
    if f".{ending}" not in (SEGMENT, SNAPSHOT) or len(stem) != 16:
        return None
    try:
        return int(stem, 16)
    except ValueError:
        return None


@dataclass(frozen=True, slots=True)
class Bounds:
    """When a segment ends, and what is kept."""

    segment_bytes: int = 64 * 1024 * 1024
    segment_ms: float = 3_600_000.0
    keep_ms: float = 90 * 86_400_000.0
    keep_bytes: int = 4 * 1024 * 1024 * 1024
    keep_ms_of: Mapping[str, float] = field(default_factory=dict)  # by class, where it differs

    def keep_of(self, cls: str) -> float:
        return self.keep_ms_of.get(cls, self.keep_ms)

    @property
    def longest_ms(self) -> float:
        """Nothing that is settled is kept for longer."""
        return max(self.keep_ms, *self.keep_ms_of.values()) if self.keep_ms_of else self.keep_ms


class Reader:
    """All that a folder holds, in order, without a lock."""

    def __init__(self, files: Files) -> None:
        self.files = files

    def segments(self) -> list[str]:
        return sorted(
            name for name in self.files.names() if name.endswith(SEGMENT) and first_of(name) is not None
        )

    def read(self, after: int = 0) -> Iterator[tuple[str, Frame | Skipped]]:
        """Every whole record with a number above after, and whatever is not whole, by segment."""
        names, last, whole = self.segments(), after, bool(after)
        for place, name in enumerate(names):
            following = first_of(names[place + 1]) if place + 1 < len(names) else None
            if following is not None and following <= after + 1:
                continue  # all of it is older
            try:
                data = self.files.read(name)
            except FileNotFoundError:
                continue  # retention has removed it while we read
            try:
                header = read_header(data)
            except ValueError as error:
                yield name, Skipped(0, len(data), f"{error}", 0)
                continue
            if whole and header.after > last:
                yield (
                    name,
                    Skipped(
                        0,
                        0,
                        f"records up to {header.after} are not there before this segment",
                        header.after - last,
                    ),
                )
            # Before the oldest segment that is there nothing is missed: retention has taken it.
            whole = not header.flags & COMPACTED
            for each in read_frames(data, header.first, HEADER_SIZE, bool(header.flags & COMPACTED)):
                if isinstance(each, Skipped):
                    yield name, each
                elif each.number > last:
                    last = each.number
                    yield name, each


class Log:
    """Opened by one process at a time; the ledger follows what is on disk."""

    def __init__(self, files: Files, bounds: Bounds = Bounds()) -> None:  # noqa: B008 - immutable
        self.files, self.bounds = files, bounds
        self.skipped: list[tuple[str, Skipped]] = []
        self.ledger, self.last = self._snapshot()
        reader = Reader(files)
        for name in reader.segments():
            try:
                read_header(files.read(name, HEADER_SIZE))
            except FutureVersion as error:
                raise ValueError(f"{name}: {error}") from None
            except ValueError:
                pass  # told below, and nothing is written to it
        for name, each in reader.read(self.last):
            if isinstance(each, Skipped):
                self.skipped.append((name, each))
            else:
                self.last = each.number
                self.ledger.take(each.number, each.record)
        # Numbers that a lost tail may have used are left out: they must not stand for two records.
        highest = max([self.last, *(first_of(name) or 0 for name in reader.segments())])
        self.number = highest + NUMBERS_A_LIFE if reader.segments() else 1
        self.current: str | None = None
        self.size, self.begun_ms = 0, 0.0

    def _snapshot(self) -> tuple[Ledger, int]:
        for name in sorted(self.files.names(), reverse=True):
            if name.endswith(SNAPSHOT) and first_of(name) is not None:
                try:
                    return read_snapshot(self.files.read(name))
                except ValueError as error:
                    self.skipped.append((name, Skipped(0, 0, f"snapshot: {error}")))
        return Ledger(), 0

    def write(self, batch: list[Any], now_ms: float) -> int:
        """Write and sync; returns the number of the last record. Raises OSError: then none of the batch may
        be relied on, and all of it may be there."""
        numbers = range(self.number, self.number + len(batch))
        data = b"".join(
            frame_bytes(number, encode(record)) for number, record in zip(numbers, batch, strict=True)
        )
        # A clock that stepped back must not keep a segment open for ever.
        old = not 0 <= now_ms - self.begun_ms < self.bounds.segment_ms
        if self.current is None or old or self.size + len(data) > self.bounds.segment_bytes:
            self._rotate(now_ms)
        name, self.number = self.current, numbers.stop  # also where it fails: no number stands twice
        try:
            self.files.append(name, data)
            self.files.sync(name)
        except OSError:
            self._abandon()
            raise
        self.size += len(data)
        self.last = self.number - 1
        for number, record in zip(numbers, batch, strict=True):
            self.ledger.take(number, record)
        return self.last

    def _rotate(self, now_ms: float) -> None:
        """Begin a segment; it counts only once its header and its name are on disk."""
        before = self.current
        self._abandon()
        name = segment_name(self.number)
        try:
            self.files.create(name)
            self.files.append(name, header_bytes(Header(self.number, now_ms, 0, self.last)))
            self.files.sync(name)
            self.files.sync_folder()
        except OSError:
            self.files.close(name)
            self.number += 1  # another try makes another file
            raise
        self.current, self.size, self.begun_ms = name, HEADER_SIZE, now_ms
        if before is not None:
            self.snapshot()

    def _abandon(self) -> None:
        if self.current is not None:
            self.files.close(self.current)
            self.current = None

    def snapshot(self) -> None:
        """Write down what is open; a crash at any point of it leaves the one before."""
        name = f"{self.last:016x}{SNAPSHOT}"
        part = name + PART
        for each in self.files.names():
            if each.endswith(SNAPSHOT + PART):
                self.files.remove(each)
        self.files.create(part)
        try:
            self.files.append(part, snapshot_bytes(self.ledger, self.last))
            self.files.sync(part)
        finally:
            self.files.close(part)
        self.files.rename(part, name)
        self.files.sync_folder()
        kept = sorted(each for each in self.files.names() if each.endswith(SNAPSHOT))
        for each in kept[:-KEPT_SNAPSHOTS]:
            self.files.remove(each)

    def retain(self, now_ms: float) -> list[str]:
        """Remove segments that are too old or too much, but none that is needed; returns their names."""
        names = Reader(self.files).segments()
        oldest = self.ledger.oldest()
        sizes = {name: self.files.size(name) for name in names}
        total, gone = sum(sizes.values()), []
        for name, following in zip(names, names[1:], strict=False):
            begins_next = first_of(following)
            if oldest is not None and oldest < begins_next:
                break
            try:
                ended_ms = read_header(self.files.read(following, HEADER_SIZE)).begun_ms
            except ValueError:
                break
            if now_ms - ended_ms <= self.bounds.longest_ms and total <= self.bounds.keep_bytes:
                break
            self.files.remove(name)
            index = name.removesuffix(SEGMENT) + INDEX
            if index in self.files.names():  # made by the command line; it would outlive its segment for ever
                self.files.remove(index)
            total -= sizes[name]
            gone.append(name)
        if gone:
            self.files.sync_folder()
        return gone

    def close(self) -> None:
        self._abandon()
