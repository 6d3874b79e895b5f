"""Compacts old segments: drops the records of classes whose retention has ended.

Only segments that no open request needs are touched. A segment is replaced atomically, so a crash at any
point leaves the old or the new one. Records of a class that is still retained stay, byte for byte, and so
does whatever is not known to belong to a class with a shorter retention (process starts, gaps, records whose
acceptance is in a segment that was compacted before). Work is cut into slices of FRAMES_PER_SLICE frames with
a pause of PAUSE_S between them, for a thread that shares its core with the scheduler. Memory: one segment.
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

FRAMES_PER_SLICE = 200  # between two pauses
PAUSE_S = 0.005
INTERVAL_S = 600.0


class SegmentCompactor:
    """Compacts segments and remembers which classes were removed from each."""

    def __init__(self, files: FolderFiles, limits: RetentionLimits) -> None:
        self.files, self.limits = files, limits
        self.removed_classes: dict[
            str, frozenset[str]
        ] = {}  # by segment: the classes that were removed from it

    def remove_leftovers(self) -> None:
        """Removes files that a crash during a compaction left; called before each run."""
        for name in self.files.names():
            if name.endswith(SEGMENT_SUFFIX + PARTIAL_SUFFIX):
                self.files.remove(name)

    def compact(self, oldest_needed: int | None, now_ms: float) -> Iterator[None]:
        """Compacts the segments that are due, in slices; yields between them.

        oldest_needed is the number of the first record that an open request needs. Raises OSError; what was
        done until then stands.
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
                # The empty name, which no class has, stands for all classes with the general retention.
                expired_classes = frozenset(
                    cls
                    for cls in ("", *self.limits.retention_ms_by_class)
                    if now_ms - ended_ms > self.limits.retention_ms_for(cls)
                )
                if expired_classes != self.removed_classes.get(name, frozenset()):
                    yield from self._compact_segment(previous, name, ended_ms, now_ms)
                    self.removed_classes[name] = expired_classes
            except (ValueError, FileNotFoundError):
                pass  # damaged, left to repair; or removed meanwhile
            previous = name

    def _compact_segment(self, previous: str, name: str, ended_ms: float, now_ms: float) -> Iterator[None]:
        classes: dict[str, str] = {}
        if previous:
            yield from self._collect_classes(previous, classes)
        data = self.files.read(name)
        header = decode_header(data)
        is_compacted = bool(header.flags & COMPACTED_FLAG)
        yield from self._collect_classes(name, classes)
        kept, dropped = (
            [
                encode_header(
                    SegmentHeader(
                        header.first_number, header.started_ms, COMPACTED_FLAG, header.last_number_before
                    )
                )
            ],
            0,
        )
        for count, each in enumerate(read_frames(data, header.first_number, HEADER_SIZE, is_compacted), 1):
            if not isinstance(each, RecordFrame):
                return  # a damaged segment is left as it is
            cls = classes.get(each.record.request)
            if cls is not None and now_ms - ended_ms > self.limits.retention_ms_for(cls):
                dropped += 1
            else:
                size = FRAME_STRUCT.size + FRAME_STRUCT.unpack_from(data, each.offset)[1]
                kept.append(data[each.offset : each.offset + size])
            if count % FRAMES_PER_SLICE == 0:
                yield
        if not dropped:
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

    def _collect_classes(self, name: str, classes: dict[str, str]) -> Iterator[None]:
        data = self.files.read(name)
        header = decode_header(data)
        for count, each in enumerate(read_frames(data, header.first_number, HEADER_SIZE, True), 1):
            if isinstance(each, RecordFrame) and isinstance(each.record, RequestAccepted):
                classes[each.record.request] = each.record.cls
            if count % FRAMES_PER_SLICE == 0:
                yield


class CompactionThread:
    """Compacts every INTERVAL_S; asks at each run for the oldest record that is still needed."""

    def __init__(self, compactor: SegmentCompactor, oldest_needed: Callable[[], int | None]) -> None:
        self.compactor, self.oldest_needed = compactor, oldest_needed
        self.fault = ""
        self.stop_event = threading.Event()
        self.thread = threading.Thread(target=self._run, name="journal-thinning", daemon=True)

    def start(self) -> None:
        """Starts the thread."""
        self.thread.start()

    def stop(self) -> None:
        """Stops the thread, within a slice; waits for at most 1 s."""
        self.stop_event.set()
        self.thread.join(1.0)

    def _run(self) -> None:
        while not self.stop_event.wait(INTERVAL_S):
            try:
                self.compactor.remove_leftovers()
                for _ in self.compactor.compact(self.oldest_needed(), time.time() * 1000.0):
                    if self.stop_event.wait(PAUSE_S):
                        return
                self.fault = ""
            except OSError as error:
                self.fault = error.strerror or str(error)
