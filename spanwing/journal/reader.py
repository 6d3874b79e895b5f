"""Reads a journal's folder for the command line: beside a running daemon or after its end, without a lock.

It never writes to a segment and never blocks the daemon. A segment that is being written is read as far as it
is complete, and a torn tail there is no damage. Memory: one segment's index at a time, the requested names,
and the requests that are not settled.
"""

from __future__ import annotations

import mmap
from collections.abc import Collection, Iterator
from contextlib import suppress
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

MAX_CLOCK_STEP_MS = 3_600_000.0  # the largest step back of a clock that is allowed for
MAX_REQUEST_MS = 3_600_000.0  # the longest time that a frontend lets a client wait


@dataclass
class VerifyFinding:
    """Damage in a segment, and whether it is harmless."""

    segment: str
    damage: DamagedBytes
    is_harmless: bool  # a crash may leave it: no acknowledged record is missing


class JournalReader:
    """Reads one folder. Raises FileNotFoundError if there is none."""

    def __init__(self, path: str) -> None:
        self.path = Path(path)
        if not self.path.is_dir():
            raise FileNotFoundError(f"{path} is no folder")
        self.segment_reader = SegmentReader(LocalFolder(path, for_writing=False))

    def read_frames(self, after_number: int = 0) -> Iterator[tuple[str, RecordFrame | DamagedBytes]]:
        """Yields the complete records with a number above after_number, and the damage, by segment."""
        return self.segment_reader.read_all(after_number)

    def read_requests(self) -> Iterator[JournalRequest]:
        """Yields each request once it is settled, and at the end those that are not."""
        states = RequestStates()
        for _, each in self.read_frames():
            if isinstance(each, RecordFrame):
                settled = states.apply(each.number, each.record)
                if settled is not None:
                    yield settled
        yield from states.open_requests.values()

    def find_rows(self, plan: QueryPlan) -> Iterator[AttemptRow]:
        """Yields the rows that match; by the indexes if the plan names requests or workers."""
        if plan.request_ids is not None:
            chosen = self.find_requests(plan.request_ids)
        elif plan.workers is not None:
            chosen = self.find_requests(self._request_ids_of_workers(plan))
        else:
            chosen = self.read_requests()
        for request in chosen:
            yield from (row for row in attempt_rows(request) if plan.matches(row))

    def find_request(self, request_id: str) -> JournalRequest | None:
        """Returns all that is known of one request; None if the journal has no record of it."""
        return max(self.find_requests({request_id}), key=lambda each: each.first_number, default=None)

    def find_requests(self, request_ids: Collection[str]) -> Iterator[JournalRequest]:
        """Yields all that is known of these requests.

        One pass over the indexes; no record of any other request is read, but for a collision of hashes.
        """
        states, request_hashes = RequestStates(), indexes.hash_names({"", *request_ids})
        # Process starts and gaps (the empty name) are read too, as they can make requests doubtful.
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
        """Returns the requests that had an intent for one of the workers.

        A request's time is that of its acceptance: its intents follow within MAX_REQUEST_MS, give or take
        MAX_CLOCK_STEP_MS.
        """
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
        """Returns a segment's index, from its file or rebuilt.

        A rebuilt index is stored, if the folder can be written, unless the segment is the last one.
        """
        path = (self.path / segment).with_suffix(indexes.FILE_SUFFIX)
        try:
            found = indexes.read_index(path, len(data))
        except (OSError, ValueError):
            found = indexes.build_index(data)
            if segment != self.segment_reader.segment_names()[-1]:
                with suppress(OSError):  # a folder that may only be read
                    indexes.write_index(found, path)
        return found

    def _map_segment(self, segment: str) -> tuple[mmap.mmap | bytes, SegmentHeader | None]:
        """Maps a segment, so that only the pages that are used come into memory."""
        try:
            with open(self.path / segment, "rb") as file:
                data = mmap.mmap(file.fileno(), 0, access=mmap.ACCESS_READ)
            return data, decode_header(data)
        except (OSError, ValueError):  # removed, empty or unusable
            return b"", None

    def verify(self) -> Iterator[VerifyFinding]:
        """Yields all damage, in order."""
        for segment, each in self.read_frames():
            if isinstance(each, DamagedBytes):
                yield VerifyFinding(segment, each, self.is_harmless(each))

    @staticmethod
    def is_harmless(damage: DamagedBytes) -> bool:
        """Returns whether a crash may have left the damage.

        A torn tail was never acknowledged; acknowledged records that are missing show as damage of their own,
        by the header of the next segment.
        """
        return damage.missing_numbers == 0 and (
            damage.reason.startswith("torn tail") or damage.offset + damage.size <= HEADER_SIZE
        )

    def read_gaps(self) -> Iterator[JournalGap]:
        """Yields the gaps that the journal records."""
        for _, each in self.read_frames():
            if isinstance(each, RecordFrame) and isinstance(each.record, JournalGap):
                yield each.record

    def segment_sizes(self) -> list[tuple[str, int, int]]:
        """Returns each segment's name, first number and size in bytes."""
        return [
            (name, number_in_name(name) or 0, self.segment_reader.files.size(name))
            for name in self.segment_reader.segment_names()
        ]
