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
from spanwing.journal.files import LocalFolder
from spanwing.journal.frames import (
    HEADER_SIZE,
    DamagedBytes,
    RecordFrame,
    SegmentHeader,
    decode_header,
    read_frames,
)
from spanwing.journal.query import QueryPlan
from spanwing.journal.records import JournalGap
from spanwing.journal.request_states import JournalRequest, RequestStates
from spanwing.journal.segment_log import SegmentReader, number_in_name
from spanwing.journal.table import AttemptRow, attempt_rows

MAX_CLOCK_STEP_MS = 3_600_000.0  # by which a clock may have stepped back
MAX_REQUEST_MS = 3_600_000.0  # that a front lets a client wait


@dataclass
class VerifyFinding:
    """Something that is not as it should be."""

    segment: str
    damage: DamagedBytes
    is_harmless: bool  # a crash may leave it: nothing that was acknowledged is missing


class JournalReader:
    """One folder."""

    def __init__(self, path: str) -> None:
        self.path = Path(path)
        if not self.path.is_dir():
            raise FileNotFoundError(f"{path} is no folder")
        self.segment_reader = SegmentReader(LocalFolder(path, for_writing=False))

    def read_frames(self, after_number: int = 0) -> Iterator[tuple[str, RecordFrame | DamagedBytes]]:
        return self.segment_reader.read_all(after_number)

    def read_requests(self) -> Iterator[JournalRequest]:
        """All requests, each once it is settled, and at the end those that are not."""
        states = RequestStates()
        for _, each in self.read_frames():
            if isinstance(each, RecordFrame):
                settled = states.apply(each.number, each.record)
                if settled is not None:
                    yield settled
        yield from states.open_requests.values()

    def find_rows(self, plan: QueryPlan) -> Iterator[AttemptRow]:
        """Those that match; by the indexes where the plan names requests, or workers and a time."""
        if plan.request_ids is not None:
            chosen = self.find_requests(plan.request_ids)
        elif plan.workers is not None:
            chosen = self.find_requests(self._request_ids_of_workers(plan))
        else:
            chosen = self.read_requests()
        for request in chosen:
            yield from (row for row in attempt_rows(request) if plan.matches(row))

    def find_request(self, request_id: str) -> JournalRequest | None:
        """All that is known of one request; None: the journal does not know it."""
        return max(self.find_requests({request_id}), key=lambda each: each.first_number, default=None)

    def find_requests(self, request_ids: Collection[str]) -> Iterator[JournalRequest]:
        """All that is known of these, in one pass over the indexes and no record of any other."""
        states, request_hashes = RequestStates(), indexes.hash_names({"", *request_ids})
        # Lives and gaps, which have no name, go along: what they make doubtful is the ledger's to say.
        for segment in self.segment_reader.segment_names():
            data, header = self._map_segment(segment)
            if header is None:
                continue
            for offset in self.load_index(segment, data).offsets_of_requests(request_hashes):
                frame = next(read_frames(data, 0, offset, True), None)
                if isinstance(frame, RecordFrame) and (
                    not frame.record.request or frame.record.request in request_ids
                ):
                    settled = states.apply(frame.number, frame.record)
                    if settled is not None:
                        yield settled
        yield from states.open_requests.values()

    def _request_ids_of_workers(self, plan: QueryPlan) -> set[str]:
        """Requests that had an intent for one of the workers. A request's time is that of its taking: its
        intents come within the longest time that a client may wait, give or take what a clock has stepped."""
        request_ids: set[str] = set()
        for segment in self.segment_reader.segment_names():
            data, header = self._map_segment(segment)
            if header is None:
                continue
            index = self.load_index(segment, data)
            for worker in sorted(plan.workers):
                for offset in index.offsets_of_intents(
                    worker,
                    plan.after_ms - MAX_CLOCK_STEP_MS,
                    plan.before_ms + MAX_REQUEST_MS + MAX_CLOCK_STEP_MS,
                ):
                    frame = next(read_frames(data, 0, offset, True), None)
                    if isinstance(frame, RecordFrame) and getattr(frame.record, "worker", "") == worker:
                        request_ids.add(frame.record.request)
        return request_ids

    def load_index(self, segment: str, data: mmap.mmap | bytes) -> indexes.SegmentIndex:
        """From its file, or made anew; kept on disk once the segment is not the last one."""
        path = (self.path / segment).with_suffix(indexes.FILE_SUFFIX)
        try:
            found = indexes.read_index(path, len(data))
        except (OSError, ValueError):
            found = indexes.build_index(data)
            if segment != self.segment_reader.segment_names()[-1]:
                try:
                    indexes.write_index(found, path)
                except OSError:
                    pass  # a folder that we may only read
        return found

    def _map_segment(self, segment: str) -> tuple[mmap.mmap | bytes, SegmentHeader | None]:
        """Mapped, not read: only the pages that are looked at come into memory."""
        try:
            with open(self.path / segment, "rb") as file:
                data = mmap.mmap(file.fileno(), 0, access=mmap.ACCESS_READ)
            return data, decode_header(data)
        except (OSError, ValueError):  # gone, empty, or of no use
            return b"", None

    def verify(self) -> Iterator[VerifyFinding]:
        """Everything that is not whole, in order."""
        for segment, each in self.read_frames():
            if isinstance(each, DamagedBytes):
                yield VerifyFinding(segment, each, self.is_harmless(each))

    @staticmethod
    def is_harmless(damage: DamagedBytes) -> bool:
        """A torn tail was never acknowledged: of the segments after it, none counts on more than is there."""
        return damage.missing_numbers == 0 and (
            damage.reason.startswith("torn tail") or damage.offset + damage.size <= HEADER_SIZE
        )

    def read_gaps(self) -> Iterator[JournalGap]:
        for _, each in self.read_frames():
            if isinstance(each, RecordFrame) and isinstance(each.record, JournalGap):
                yield each.record

    def segment_sizes(self) -> list[tuple[str, int, int]]:
        """Segments, their first numbers and bytes."""
        return [
            (name, number_in_name(name) or 0, self.segment_reader.files.size(name))
            for name in self.segment_reader.segment_names()
        ]
