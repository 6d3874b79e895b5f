"""An index of one segment: where a request's records are, and a worker's intents by time.

Guarantees: it can always be made again from its segment, and is whenever it is missing, damaged or of
another size; what it points at is read and compared, so a clash of hashes costs a look and never a wrong
answer. It is made by the command line, never by the daemon. Arrays are numpy's, little endian, read from
the file as it is.
"""

from __future__ import annotations

import hashlib
import struct
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import google_crc32c
import numpy as np

from spanwing.journal.frames import COMPACTED, HEADER_SIZE, Frame, read_frames, read_header
from spanwing.journal.log import INDEX
from spanwing.journal.records import Intent

MAGIC, VERSION = b"SPWJINDX", 2
# Magic, version, bytes of the segment, requests, intents, first and last time, checksum.
HEAD = struct.Struct("<8sHQQQddI")
REQUEST = np.dtype([("hash", "<u8"), ("at", "<u4")])
INTENT = np.dtype([("hash", "<u8"), ("wall", "<i8"), ("at", "<u4")])
ENDING = INDEX


def hashed(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "little")


def hashes(names: Iterable[str]) -> np.ndarray:
    """Of many names, in order."""
    return np.unique(np.array([hashed(each) for each in names], np.uint64))


@dataclass
class Index:
    """Of one segment; times are of the wall clock, in ms."""

    size: int
    requests: np.ndarray  # by hash
    intents: np.ndarray  # by hash of the worker, then time
    first_ms: float
    last_ms: float

    def of_requests(self, wanted: np.ndarray) -> list[int]:
        """Offsets of frames whose request has one of these hashes, in order."""
        low = np.searchsorted(self.requests["hash"], wanted, "left")
        high = np.searchsorted(self.requests["hash"], wanted, "right")
        there = np.flatnonzero(high > low)
        parts = [self.requests["at"][low[each] : high[each]] for each in there]
        return sorted(int(at) for part in parts for at in part)

    def of_worker(self, worker: str, after: float, before: float) -> list[int]:
        """Offsets of intents for a worker of this hash between two times."""
        wanted = np.uint64(hashed(worker))
        low = np.searchsorted(self.intents["hash"], wanted, "left")
        high = np.searchsorted(self.intents["hash"], wanted, "right")
        part = self.intents[low:high]
        fits = (part["wall"] >= np.floor(max(after, -9e18))) & (part["wall"] <= np.ceil(min(before, 9e18)))
        return sorted(int(each) for each in part["at"][fits])


def build(data: bytes) -> Index:
    """From a segment's bytes; damaged parts are left out. Raises ValueError on an unusable header."""
    header = read_header(data)
    requests, intents = [], []
    first, last = float("inf"), float("-inf")
    for each in read_frames(data, header.first, HEADER_SIZE, bool(header.flags & COMPACTED)):
        if not isinstance(each, Frame):
            continue
        record = each.record
        first, last = min(first, record.wall_ms), max(last, record.wall_ms)
        requests.append((hashed(record.request), each.at))  # lives and gaps: under no name
        if isinstance(record, Intent):
            intents.append((hashed(record.worker), int(record.wall_ms), each.at))
    by_request, by_worker = np.array(requests, REQUEST), np.array(intents, INTENT)
    return Index(
        len(data),
        np.sort(by_request, order=("hash", "at")),
        np.sort(by_worker, order=("hash", "wall", "at")),
        first,
        last,
    )


def write(index: Index, path: Path) -> None:
    """Beside its segment, whole at once; a folder that cannot be written keeps none."""
    body = index.requests.tobytes() + index.intents.tobytes()
    head = HEAD.pack(
        MAGIC,
        VERSION,
        index.size,
        len(index.requests),
        len(index.intents),
        index.first_ms,
        index.last_ms,
        google_crc32c.value(body),
    )
    part = path.with_suffix(ENDING + ".part")
    part.write_bytes(head + body)
    part.replace(path)


def read(path: Path, size: int) -> Index:
    """Raises ValueError where it is not the index of a segment of this size."""
    data = path.read_bytes()
    try:
        magic, version, of, requests, intents, first, last, checksum = HEAD.unpack_from(data)
    except struct.error:
        raise ValueError("cut off") from None
    if magic != MAGIC or version != VERSION or of != size:
        raise ValueError("another version, or of another segment")
    body = data[HEAD.size :]
    split = requests * REQUEST.itemsize
    if len(body) != split + intents * INTENT.itemsize or google_crc32c.value(body) != checksum:
        raise ValueError("damaged")
    return Index(size, np.frombuffer(body[:split], REQUEST), np.frombuffer(body[split:], INTENT), first, last)
