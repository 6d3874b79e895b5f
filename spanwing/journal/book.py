"""Reads a journal's folder for people: beside a living daemon or after a dead one, without a lock.

Guarantees: it never writes to a segment and never holds the daemon up; a segment that is being written is
read as far as it is whole, and a torn tail there is no damage. Memory: one segment's index at a time, the
names that are asked for, and the requests that are not settled.
"""

from __future__ import annotations

import mmap
from collections.abc import Collection, Iterator
from dataclasses import dataclass
from pathlib import Path

from spanwing.journal import index as indexes
from spanwing.journal.files import Folder
from spanwing.journal.frames import HEADER_SIZE, Frame, Header, Skipped, read_frames, read_header
from spanwing.journal.ledger import Ledger, Request
from spanwing.journal.log import Reader, first_of
from spanwing.journal.query import Plan
from spanwing.journal.records import Gap
from spanwing.journal.rows import Row, rows_of

STEPPED_MS = 3_600_000.0  # by which a clock may have stepped back
LONGEST_MS = 3_600_000.0  # that a front lets a client wait


@dataclass
class Finding:
    """Something that is not as it should be."""

    segment: str
    skipped: Skipped
    harmless: bool  # a crash may leave it: nothing that was acknowledged is missing


class Book:
    """One folder."""

    def __init__(self, path: str) -> None:
        self.path = Path(path)
        if not self.path.is_dir():
            raise FileNotFoundError(f"{path} is no folder")
        self.reader = Reader(Folder(path, write=False))

    def frames(self, after: int = 0) -> Iterator[tuple[str, Frame | Skipped]]:
        return self.reader.read(after)

    def requests(self) -> Iterator[Request]:
        """All requests, each once it is settled, and at the end those that are not."""
        ledger = Ledger()
        for _, each in self.frames():
            if isinstance(each, Frame):
                settled = ledger.take(each.number, each.record)
                if settled is not None:
                    yield settled
        yield from ledger.open.values()

    def rows(self, plan: Plan) -> Iterator[Row]:
        """Those that match; by the indexes where the plan names requests, or workers and a time."""
        if plan.requests is not None:
            chosen = self.of(plan.requests)
        elif plan.workers is not None:
            chosen = self.of(self._of_workers(plan))
        else:
            chosen = self.requests()
        for request in chosen:
            yield from (row for row in rows_of(request) if plan.test(row))

    def request(self, name: str) -> Request | None:
        """All that is known of one request; None: the journal does not know it."""
        return max(self.of({name}), key=lambda each: each.first, default=None)

    def of(self, names: Collection[str]) -> Iterator[Request]:
        """All that is known of these, in one pass over the indexes and no record of any other."""
        ledger, wanted = Ledger(), indexes.hashes({"", *names})
        # Lives and gaps, which have no name, go along: what they make doubtful is the ledger's to say.
        for segment in self.reader.segments():
            data, header = self._data(segment)
            if header is None:
                continue
            for at in self.index(segment, data).of_requests(wanted):
                frame = next(read_frames(data, 0, at, True), None)
                if isinstance(frame, Frame) and (not frame.record.request or frame.record.request in names):
                    settled = ledger.take(frame.number, frame.record)
                    if settled is not None:
                        yield settled
        yield from ledger.open.values()

    def _of_workers(self, plan: Plan) -> set[str]:
        """Requests that had an intent for one of the workers. A request's time is that of its taking: its
        intents come within the longest time that a client may wait, give or take what a clock has stepped."""
        names: set[str] = set()
        for segment in self.reader.segments():
            data, header = self._data(segment)
            if header is None:
                continue
            index = self.index(segment, data)
            for worker in sorted(plan.workers):
                for at in index.of_worker(
                    worker, plan.after - STEPPED_MS, plan.before + LONGEST_MS + STEPPED_MS
                ):
                    frame = next(read_frames(data, 0, at, True), None)
                    if isinstance(frame, Frame) and getattr(frame.record, "worker", "") == worker:
                        names.add(frame.record.request)
        return names

    def index(self, segment: str, data: mmap.mmap | bytes) -> indexes.Index:
        """From its file, or made anew; kept on disk once the segment is not the last one."""
        path = (self.path / segment).with_suffix(indexes.ENDING)
        try:
            found = indexes.read(path, len(data))
        except (OSError, ValueError):
            found = indexes.build(data)
            if segment != self.reader.segments()[-1]:
                try:
                    indexes.write(found, path)
                except OSError:
                    pass  # a folder that we may only read
        return found

    def _data(self, segment: str) -> tuple[mmap.mmap | bytes, Header | None]:
        """Mapped, not read: only the pages that are looked at come into memory."""
        try:
            with open(self.path / segment, "rb") as file:
                data = mmap.mmap(file.fileno(), 0, access=mmap.ACCESS_READ)
            return data, read_header(data)
        except (OSError, ValueError):  # gone, empty, or of no use
            return b"", None

    def verify(self) -> Iterator[Finding]:
        """Everything that is not whole, in order."""
        for segment, each in self.frames():
            if isinstance(each, Skipped):
                yield Finding(segment, each, self.harmless(each))

    @staticmethod
    def harmless(skipped: Skipped) -> bool:
        """A torn tail was never acknowledged: of the segments after it, none counts on more than is there."""
        return skipped.missing == 0 and (
            skipped.reason.startswith("torn tail") or skipped.at + skipped.size <= HEADER_SIZE
        )

    def gaps(self) -> Iterator[Gap]:
        for _, each in self.frames():
            if isinstance(each, Frame) and isinstance(each.record, Gap):
                yield each.record

    def sizes(self) -> list[tuple[str, int, int]]:
        """Segments, their first numbers and bytes."""
        return [(name, first_of(name) or 0, self.reader.files.size(name)) for name in self.reader.segments()]
