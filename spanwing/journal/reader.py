"""Reads a journal's folder for the command line, without a lock: while the daemon runs or after it has ended.

The reader writes no file except indexes and never blocks the daemon. A segment that is still being written is
read up to its last complete frame; the torn tail after it is harmless. Memory: the index of one segment at a
time, the requested ids and the open requests.
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

MAX_CLOCK_STEP_MS = 3_600_000.0  # the largest step of the wall clock that queries by worker allow for
MAX_REQUEST_MS = 3_600_000.0  # the longest time that a front end lets a client wait


@dataclass
class VerifyFinding:
    """Damage in a segment, and whether it is harmless."""

    segment: str  # name of its file
    damage: DamagedBytes
    is_harmless: bool  # a crash can leave it without the loss of an acknowledged record


class JournalReader:
    """Reads the journal in one folder. Raises FileNotFoundError if there is no such folder."""

    def __init__(self, path: str) -> None:
        self.path = Path(path)
        if not self.path.is_dir():
            raise FileNotFoundError(f"{path} is no folder")
        self.segment_reader = SegmentReader(LocalFolder(path, for_writing=False))

    def read_frames(self, after_number: int = 0) -> Iterator[tuple[str, RecordFrame | DamagedBytes]]:
        """Yields the complete frames with a number above after_number, and the damage, by segment name."""
        return self.segment_reader.read_all(after_number)

    def read_requests(self) -> Iterator[JournalRequest]:
        """Yields all requests: each settled one after the record that settles it, then the open ones."""
        states = RequestStates()
        for _, item in self.read_frames():
            if isinstance(item, RecordFrame):
                settled_request = states.apply(item.number, item.record)
                if settled_request is not None:
                    yield settled_request
        yield from states.open_requests.values()

    def find_rows(self, plan: QueryPlan) -> Iterator[AttemptRow]:
        """Yields the rows that match a plan. Uses the indexes if the plan names requests or workers."""
        if plan.request_ids is not None:
            requests = self.find_requests(plan.request_ids)
        elif plan.workers is not None:
            requests = self.find_requests(self._request_ids_of_workers(plan))
        else:
            requests = self.read_requests()
        for request in requests:
            yield from (row for row in attempt_rows(request) if plan.matches(row))

    def find_request(self, request_id: str) -> JournalRequest | None:
        """Returns the latest request with this id; None if the journal has no record of one."""
        return max(self.find_requests({request_id}), key=lambda request: request.first_number, default=None)

    def find_requests(self, request_ids: Collection[str]) -> Iterator[JournalRequest]:
        """Yields the requests with these ids, in one pass over the indexes.

        Records of other requests are read only if their id has the same hash as one of these.
        """
        # Process starts and gaps, which have an empty request id, are read too: they show which requests may
        # lack attempts.
        states, request_hashes = RequestStates(), indexes.hash_names({"", *request_ids})
        for segment in self.segment_reader.segment_names():
            data, header = self._map_segment(segment)
            if header is None:
                continue
            for offset in self.load_index(segment, data).offsets_of_requests(request_hashes):
                frame = next(read_frames(data, 0, offset, True), None)
                if isinstance(frame, RecordFrame) and (
                    not frame.record.request or frame.record.request in request_ids
                ):
                    settled_request = states.apply(frame.number, frame.record)
                    if settled_request is not None:
                        yield settled_request
        yield from states.open_requests.values()

    def _request_ids_of_workers(self, plan: QueryPlan) -> set[str]:
        """Returns the ids of the requests that have an intent for one of the plan's workers.

        The plan's bounds are on the time of acceptance. The intents of a request follow that within
        MAX_REQUEST_MS, and the wall clock may step by MAX_CLOCK_STEP_MS meanwhile, so the search is for
        intents in a range widened by both.
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
        """Returns a segment's index, read from its file or else rebuilt from the segment's data.

        A rebuilt index is stored if the folder can be written. That of the last segment is not, as the
        segment may still grow.
        """
        path = (self.path / segment).with_suffix(indexes.FILE_SUFFIX)
        try:
            index = indexes.read_index(path, len(data))
        except (OSError, ValueError):
            index = indexes.build_index(data)
            if segment != self.segment_reader.segment_names()[-1]:
                with suppress(OSError):  # the folder may be read-only
                    indexes.write_index(index, path)
        return index

    def _map_segment(self, segment: str) -> tuple[mmap.mmap | bytes, SegmentHeader | None]:
        """Maps a segment into memory and returns its data and header; no data and None if that fails.

        Only the pages that are used are read from disk.
        """
        try:
            with open(self.path / segment, "rb") as file:
                data = mmap.mmap(file.fileno(), 0, access=mmap.ACCESS_READ)
            return data, decode_header(data)
        except (OSError, ValueError):  # the file was removed, is empty or has an unusable header
            return b"", None

    def verify(self) -> Iterator[VerifyFinding]:
        """Reads all segments and yields the damage in them, in order."""
        for segment, item in self.read_frames():
            if isinstance(item, DamagedBytes):
                yield VerifyFinding(segment, item, self.is_harmless(item))

    @staticmethod
    def is_harmless(damage: DamagedBytes) -> bool:
        """Returns whether a crash can have left the damage without the loss of an acknowledged record.

        Records in a torn tail were not acknowledged: if acknowledged records were lost with it, the header of
        the next segment shows them as missing, which is damage of its own.
        """
        return damage.missing_numbers == 0 and (
            damage.reason.startswith("torn tail") or damage.offset + damage.size <= HEADER_SIZE
        )

    def read_gaps(self) -> Iterator[JournalGap]:
        """Yields the JournalGap records, in order."""
        for _, item in self.read_frames():
            if isinstance(item, RecordFrame) and isinstance(item.record, JournalGap):
                yield item.record

    def segment_sizes(self) -> list[tuple[str, int, int]]:
        """Returns each segment's name, first number and size in bytes."""
        return [
            (name, number_in_name(name) or 0, self.segment_reader.files.size(name))
            for name in self.segment_reader.segment_names()
        ]
