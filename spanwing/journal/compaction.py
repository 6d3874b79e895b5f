"""Compacts old segments: drops the records of classes whose retention has ended.

Only segments that no open request needs are compacted. A segment is replaced atomically, so a crash at any
point leaves the old or the new one. Frames that stay are copied byte for byte. A record stays if its class is
still retained or unknown: process starts, gaps, and records whose RequestAccepted is neither in their segment
nor in the one before it, for example because an earlier compaction dropped it.

The compaction thread shares its core with the scheduler, so it pauses for SLICE_PAUSE_S after each slice of
FRAMES_PER_SLICE frames. Memory: one segment.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterator
from itertools import pairwise

from spanwing.journal.files import FolderFiles
from spanwing.journal.frames import (
    COMPACTED_FLAG,
    FRAME_STRUCT,
    HEADER_SIZE,
    RecordFrame,
    SegmentHeader,
    decode_header,
    encode_header,
    read_frames,
)
from spanwing.journal.records import RequestAccepted
from spanwing.journal.segment_log import (
    PARTIAL_SUFFIX,
    SEGMENT_SUFFIX,
    RetentionLimits,
    SegmentReader,
    number_in_name,
)

FRAMES_PER_SLICE = 200  # frames read between two pauses
SLICE_PAUSE_S = 0.005
COMPACTION_INTERVAL_S = 600.0


class SegmentCompactor:
    """Compacts the segments of one folder, and keeps in memory which classes it removed from each."""

    def __init__(self, files: FolderFiles, limits: RetentionLimits) -> None:
        self.files, self.limits = files, limits
        self.removed_classes: dict[str, frozenset[str]] = {}  # by segment name

    def remove_partial_files(self) -> None:
        """Removes the partial files that a crash during a compaction left. Call it before each compact()."""
        for name in self.files.names():
            if name.endswith(SEGMENT_SUFFIX + PARTIAL_SUFFIX):
                self.files.remove(name)

    def compact(self, oldest_needed: int | None, now_ms: float) -> Iterator[None]:
        """Compacts the segments that are due, and yields after each slice of the work.

        oldest_needed is the number of the oldest record that an open request needs; None if no request is
        open. Raises OSError; the segments that were compacted before the error stay compacted.
        """
        reader = SegmentReader(self.files)
        names = reader.segment_names()
        self.removed_classes = {
            name: classes for name, classes in self.removed_classes.items() if name in names
        }
        previous = ""
        for name, next_name in pairwise(names):
            if oldest_needed is not None and oldest_needed < number_in_name(next_name):
                return
            try:
                ended_ms = decode_header(self.files.read(next_name, HEADER_SIZE)).started_ms
                # No class has an empty name: here it stands for all classes without a retention of their own.
                expired_classes = frozenset(
                    cls
                    for cls in ("", *self.limits.retention_ms_by_class)
                    if now_ms - ended_ms > self.limits.retention_ms_for(cls)
                )
                if expired_classes != self.removed_classes.get(name, frozenset()):
                    yield from self._compact_segment(previous, name, ended_ms, now_ms)
                    self.removed_classes[name] = expired_classes
            except (ValueError, FileNotFoundError):
                pass  # the segment is damaged and left for repair, or was removed since it was listed
            previous = name

    def _compact_segment(self, previous: str, name: str, ended_ms: float, now_ms: float) -> Iterator[None]:
        """Replaces a segment by a copy without the expired records, unless it has none or is damaged.

        Classes of requests are looked up in this segment and the previous one (empty: there is none).
        """
        class_by_request: dict[str, str] = {}
        if previous:
            yield from self._collect_classes(previous, class_by_request)
        data = self.files.read(name)
        header = decode_header(data)
        is_compacted = bool(header.flags & COMPACTED_FLAG)
        yield from self._collect_classes(name, class_by_request)
        kept, dropped_count = (
            [
                encode_header(
                    SegmentHeader(
                        header.first_number, header.started_ms, COMPACTED_FLAG, header.last_number_before
                    )
                )
            ],
            0,
        )
        for count, item in enumerate(read_frames(data, header.first_number, HEADER_SIZE, is_compacted), 1):
            if not isinstance(item, RecordFrame):
                return  # a damaged segment is left for repair
            cls = class_by_request.get(item.record.request)
            if cls is not None and now_ms - ended_ms > self.limits.retention_ms_for(cls):
                dropped_count += 1
            else:
                size = FRAME_STRUCT.size + FRAME_STRUCT.unpack_from(data, item.offset)[1]
                kept.append(data[item.offset : item.offset + size])
            if count % FRAMES_PER_SLICE == 0:
                yield
        if not dropped_count:
            return
        partial_name = name + PARTIAL_SUFFIX
        self.files.create(partial_name)
        try:
            self.files.append(partial_name, b"".join(kept))
            self.files.sync(partial_name)
        finally:
            self.files.close(partial_name)
        self.files.rename(partial_name, name)
        self.files.sync_folder()

    def _collect_classes(self, name: str, class_by_request: dict[str, str]) -> Iterator[None]:
        """Adds the classes of the requests accepted in this segment, and yields after each slice."""
        data = self.files.read(name)
        header = decode_header(data)
        for count, item in enumerate(read_frames(data, header.first_number, HEADER_SIZE, True), 1):
            if isinstance(item, RecordFrame) and isinstance(item.record, RequestAccepted):
                class_by_request[item.record.request] = item.record.cls
            if count % FRAMES_PER_SLICE == 0:
                yield


class CompactionThread:
    """Runs a compactor every COMPACTION_INTERVAL_S in a thread of its own.

    get_oldest_needed is called at each run, for the number of the oldest record that an open request needs.
    last_error is the error that ended the last run; empty if it was complete.
    """

    def __init__(self, compactor: SegmentCompactor, get_oldest_needed: Callable[[], int | None]) -> None:
        self.compactor, self.get_oldest_needed = compactor, get_oldest_needed
        self.last_error = ""
        self.stop_event = threading.Event()
        self.thread = threading.Thread(target=self._run, name="journal-thinning", daemon=True)

    def start(self) -> None:
        """Starts the thread."""
        self.thread.start()

    def stop(self) -> None:
        """Stops the thread at its next pause; waits at most 1 s for it to end."""
        self.stop_event.set()
        self.thread.join(1.0)

    def _run(self) -> None:
        while not self.stop_event.wait(COMPACTION_INTERVAL_S):
            try:
                self.compactor.remove_partial_files()
                for _ in self.compactor.compact(self.get_oldest_needed(), time.time() * 1000.0):
                    if self.stop_event.wait(SLICE_PAUSE_S):
                        return
                self.last_error = ""
            except OSError as error:
                self.last_error = error.strerror or str(error)
