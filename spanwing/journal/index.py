"""An index of one segment: the offsets of a request's records, and a worker's intents by time.

It can always be rebuilt from its segment, and is whenever it is missing, damaged or of another size. The
records that it points at are read and compared, so a collision of hashes costs a read and never a wrong
answer. The command line builds it, never the daemon. Arrays are numpy's, little endian, read from the file as
they are.
"""

from __future__ import annotations

import hashlib
import struct
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import google_crc32c
import numpy as np

from spanwing.journal.frames import COMPACTED_FLAG, HEADER_SIZE, RecordFrame, decode_header, read_frames
from spanwing.journal.records import AttemptIntent
from spanwing.journal.segment_log import INDEX_SUFFIX

MAGIC, VERSION = b"SPWJINDX", 2
# Magic, version, bytes of the segment, requests, intents, first and last time (ms), checksum.
HEADER_STRUCT = struct.Struct("<8sHQQQddI")
REQUEST_DTYPE = np.dtype([("hash", "<u8"), ("at", "<u4")])
INTENT_DTYPE = np.dtype([("hash", "<u8"), ("wall", "<i8"), ("at", "<u4")])
FILE_SUFFIX = INDEX_SUFFIX


def hash_name(text: str) -> int:
    """Returns the 64-bit BLAKE2b hash of a name."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "little")


def hash_names(names: Iterable[str]) -> np.ndarray:
    """Returns the hashes of many names, sorted and without duplicates."""
    return np.unique(np.array([hash_name(each) for each in names], np.uint64))


@dataclass
class SegmentIndex:
    """The index of one segment; times are wall-clock ms."""

    segment_bytes: int
    requests: np.ndarray  # by hash
    intents: np.ndarray  # by hash of the worker, then time
    first_ms: float
    last_ms: float

    def offsets_of_requests(self, request_hashes: np.ndarray) -> list[int]:
        """Returns the offsets of frames whose request has one of these hashes, in order."""
        low = np.searchsorted(self.requests["hash"], request_hashes, "left")
        high = np.searchsorted(self.requests["hash"], request_hashes, "right")
        there = np.flatnonzero(high > low)
        parts = [self.requests["at"][low[each] : high[each]] for each in there]
        return sorted(int(at) for part in parts for at in part)

    def offsets_of_intents(self, worker: str, after_ms: float, before_ms: float) -> list[int]:
        """Returns the offsets of intents for a worker of this name's hash between two times (ms)."""
        wanted = np.uint64(hash_name(worker))
        low = np.searchsorted(self.intents["hash"], wanted, "left")
        high = np.searchsorted(self.intents["hash"], wanted, "right")
        part = self.intents[low:high]
        in_range = (part["wall"] >= np.floor(max(after_ms, -9e18))) & (
            part["wall"] <= np.ceil(min(before_ms, 9e18))
        )
        return sorted(int(each) for each in part["at"][in_range])


def build_index(data: bytes) -> SegmentIndex:
    """Builds a segment's index, without its damaged parts. Raises ValueError if the header is unusable."""
    header = decode_header(data)
    requests, intents = [], []
    first_ms, last_ms = float("inf"), float("-inf")
    for each in read_frames(data, header.first_number, HEADER_SIZE, bool(header.flags & COMPACTED_FLAG)):
        if not isinstance(each, RecordFrame):
            continue
        record = each.record
        first_ms, last_ms = min(first_ms, record.wall_ms), max(last_ms, record.wall_ms)
        requests.append(
            (hash_name(record.request), each.offset)
        )  # process starts and gaps have the empty name
        if isinstance(record, AttemptIntent):
            intents.append((hash_name(record.worker), int(record.wall_ms), each.offset))
    by_request, by_worker = np.array(requests, REQUEST_DTYPE), np.array(intents, INTENT_DTYPE)
    return SegmentIndex(
        len(data),
        np.sort(by_request, order=("hash", "at")),
        np.sort(by_worker, order=("hash", "wall", "at")),
        first_ms,
        last_ms,
    )


def write_index(index: SegmentIndex, path: Path) -> None:
    """Writes the index beside its segment, atomically. Raises OSError if the folder cannot be written."""
    body = index.requests.tobytes() + index.intents.tobytes()
    head = HEADER_STRUCT.pack(
        MAGIC,
        VERSION,
        index.segment_bytes,
        len(index.requests),
        len(index.intents),
        index.first_ms,
        index.last_ms,
        google_crc32c.value(body),
    )
    partial_path = path.with_suffix(FILE_SUFFIX + ".part")
    partial_path.write_bytes(head + body)
    partial_path.replace(path)


def read_index(path: Path, segment_bytes: int) -> SegmentIndex:
    """Reads an index. Raises ValueError if it is damaged or not of a segment of this size."""
    data = path.read_bytes()
    try:
        magic, version, indexed_bytes, requests, intents, first_ms, last_ms, checksum = (
            HEADER_STRUCT.unpack_from(data)
        )
    except struct.error:
        raise ValueError("cut off") from None
    if magic != MAGIC or version != VERSION or indexed_bytes != segment_bytes:
        raise ValueError("another version, or of another segment")
    body = data[HEADER_STRUCT.size :]
    split = requests * REQUEST_DTYPE.itemsize
    if len(body) != split + intents * INTENT_DTYPE.itemsize or google_crc32c.value(body) != checksum:
        raise ValueError("damaged")
    return SegmentIndex(
        segment_bytes,
        np.frombuffer(body[:split], REQUEST_DTYPE),
        np.frombuffer(body[split:], INTENT_DTYPE),
        first_ms,
        last_ms,
    )
