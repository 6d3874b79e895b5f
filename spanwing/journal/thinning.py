"""Thins out old segments: takes from them what no class keeps for so long any more.

Guarantees: only segments that no open request needs are touched; a segment is replaced whole at once, so a
crash at any point leaves the old or the new one; records of a class that still keeps them stay, byte for
byte, and so does whatever is not known to belong to a shorter one (lives, gaps, records whose taking stands
in a segment that was thinned before). Work is cut into slices, with a pause between them, for a thread that
shares its core with the scheduler. Memory: one segment.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterator

from spanwing.journal.files import Files
from spanwing.journal.frames import (
    COMPACTED,
    FRAME,
    HEADER_SIZE,
    Frame,
    Header,
    header_bytes,
    read_frames,
    read_header,
)
from spanwing.journal.log import PART, SEGMENT, Bounds, Reader, first_of
from spanwing.journal.records import Taken

SLICE = 200  # frames between two pauses
PAUSE_S = 0.005
EVERY_S = 600.0


class Thinner:
    """Knows which segments were looked at, and for which classes."""

    def __init__(self, files: Files, bounds: Bounds) -> None:
        self.files, self.bounds = files, bounds
        self.done: dict[str, frozenset[str]] = {}  # by segment: the classes that are out of it

    def sweep(self) -> None:
        """Remove what a crash left of a thinning; once, before the first."""
        for name in self.files.names():
            if name.endswith(SEGMENT + PART):
                self.files.remove(name)

    def run(self, oldest: int | None, now_ms: float) -> Iterator[None]:
        """Thin out what is due, in slices. oldest: the first record that an open request needs. Raises
        OSError; what was done until then stands."""
        reader = Reader(self.files)
        names = reader.segments()
        self.done = {name: classes for name, classes in self.done.items() if name in names}
        before = ""
        for name, following in zip(names, names[1:], strict=False):
            if oldest is not None and oldest < first_of(following):
                return
            try:
                ended_ms = read_header(self.files.read(following, HEADER_SIZE)).begun_ms
                # No class has the empty name: it stands for all that have the general time.
                over = frozenset(
                    cls
                    for cls in ("", *self.bounds.keep_ms_of)
                    if now_ms - ended_ms > self.bounds.keep_of(cls)
                )
                if over != self.done.get(name, frozenset()):
                    yield from self._thin(before, name, ended_ms, now_ms)
                    self.done[name] = over
            except (ValueError, FileNotFoundError):
                pass  # damaged: repair's to mend; or removed meanwhile
            before = name

    def _thin(self, before: str, name: str, ended_ms: float, now_ms: float) -> Iterator[None]:
        classes: dict[str, str] = {}
        if before:
            yield from self._classes(before, classes)
        data = self.files.read(name)
        header = read_header(data)
        sparse = bool(header.flags & COMPACTED)
        yield from self._classes(name, classes)
        kept, dropped = [header_bytes(Header(header.first, header.begun_ms, COMPACTED, header.after))], 0
        for count, each in enumerate(read_frames(data, header.first, HEADER_SIZE, sparse), 1):
            if not isinstance(each, Frame):
                return  # what is damaged is left as it is
            cls = classes.get(each.record.request)
            if cls is not None and now_ms - ended_ms > self.bounds.keep_of(cls):
                dropped += 1
            else:
                size = FRAME.size + FRAME.unpack_from(data, each.at)[1]
                kept.append(data[each.at : each.at + size])
            if count % SLICE == 0:
                yield
        if not dropped:
            return
        part = name + PART
        self.files.create(part)
        try:
            self.files.append(part, b"".join(kept))
            self.files.sync(part)
        finally:
            self.files.close(part)
        self.files.rename(part, name)
        self.files.sync_folder()

    def _classes(self, name: str, classes: dict[str, str]) -> Iterator[None]:
        data = self.files.read(name)
        header = read_header(data)
        for count, each in enumerate(read_frames(data, header.first, HEADER_SIZE, True), 1):
            if isinstance(each, Frame) and isinstance(each.record, Taken):
                classes[each.record.request] = each.record.cls
            if count % SLICE == 0:
                yield


class ThinningThread:
    """Thins out every EVERY_S; asks at each time what is still needed."""

    def __init__(self, thinner: Thinner, oldest: Callable[[], int | None]) -> None:
        self.thinner, self.oldest = thinner, oldest
        self.fault = ""
        self.over = threading.Event()
        self.thread = threading.Thread(target=self._run, name="journal-thinning", daemon=True)

    def start(self) -> None:
        self.thread.start()

    def stop(self) -> None:
        """It ends within a slice."""
        self.over.set()
        self.thread.join(1.0)

    def _run(self) -> None:
        while not self.over.wait(EVERY_S):
            try:
                self.thinner.sweep()
                for _ in self.thinner.run(self.oldest(), time.time() * 1000.0):
                    if self.over.wait(PAUSE_S):
                        return
                self.fault = ""
            except OSError as error:
                self.fault = error.strerror or str(error)
