"""The index of a segment: the offsets of each request's records, and of each worker's intents by time.

The command line builds and stores indexes; the daemon never does. An index is rebuilt from its segment if it
is missing, damaged or made for another segment size. It stores hashes of names; the reader compares the
records that it finds, so a hash collision costs a read but gives no wrong result.

File format: HEADER_STRUCT, then the two arrays as numpy has them in memory, little endian.
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
# Magic, version, segment size in bytes, number of request entries, number of intent entries, first and last
# time (wall clock, ms), checksum of both arrays.
HEADER_STRUCT = struct.Struct("<8sHQQQddI")
REQUEST_DTYPE = np.dtype([("hash", "<u8"), ("offset", "<u4")])
INTENT_DTYPE = np.dtype([("hash", "<u8"), ("wall_ms", "<i8"), ("offset", "<u4")])
FILE_SUFFIX = INDEX_SUFFIX


def hash_name(text: str) -> int:
    """Returns the 64-bit BLAKE2b hash of a name."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "little")


def hash_names(names: Iterable[str]) -> np.ndarray:
    """Returns the hashes of many names, sorted and without duplicates."""
    return np.unique(np.array([hash_name(name) for name in names], np.uint64))


@dataclass
class SegmentIndex:
    """The index of one segment; times are wall-clock ms, offsets are bytes from the segment's start."""

    segment_bytes: int  # size of the indexed segment
    requests: np.ndarray  # REQUEST_DTYPE, one entry per record, sorted by the hash of its request id
    intents: np.ndarray  # INTENT_DTYPE, one entry per intent, sorted by the hash of its worker, then by time
    first_ms: float  # lowest time of any record
    last_ms: float  # highest time of any record

    def offsets_of_requests(self, request_hashes: np.ndarray) -> list[int]:
        """Returns the offsets of the frames whose request id has one of these hashes, in ascending order."""
        starts = np.searchsorted(self.requests["hash"], request_hashes, "left")
        ends = np.searchsorted(self.requests["hash"], request_hashes, "right")
        found = np.flatnonzero(ends > starts)
        offset_arrays = [self.requests["offset"][starts[position] : ends[position]] for position in found]
        return sorted(int(offset) for offsets in offset_arrays for offset in offsets)

    def offsets_of_intents(self, worker: str, after_ms: float, before_ms: float) -> list[int]:
        """Returns the offsets of the intents for a worker between two times, in ascending order.

        Intents for another worker whose name has the same hash are included.
        """
        worker_hash = np.uint64(hash_name(worker))
        start = np.searchsorted(self.intents["hash"], worker_hash, "left")
        end = np.searchsorted(self.intents["hash"], worker_hash, "right")
        intents = self.intents[start:end]
        in_range = (intents["wall_ms"] >= np.floor(max(after_ms, -9e18))) & (
            intents["wall_ms"] <= np.ceil(min(before_ms, 9e18))
        )  # 9e18: infinite bounds are cut to the range of int64
        return sorted(int(offset) for offset in intents["offset"][in_range])


def build_index(data: bytes) -> SegmentIndex:
    """Builds the index of a segment's complete frames. Raises ValueError if the header is unusable."""
    header = decode_header(data)
    requests, intents = [], []
    first_ms, last_ms = float("inf"), float("-inf")
    for item in read_frames(data, header.first_number, HEADER_SIZE, bool(header.flags & COMPACTED_FLAG)):
        if not isinstance(item, RecordFrame):
            continue
        record = item.record
        first_ms, last_ms = min(first_ms, record.wall_ms), max(last_ms, record.wall_ms)
        # Process starts and gaps have an empty request id.
        requests.append((hash_name(record.request), item.offset))
        if isinstance(record, AttemptIntent):
            intents.append((hash_name(record.worker), int(record.wall_ms), item.offset))
    request_entries, intent_entries = np.array(requests, REQUEST_DTYPE), np.array(intents, INTENT_DTYPE)
    return SegmentIndex(
        len(data),
        np.sort(request_entries, order=("hash", "offset")),
        np.sort(intent_entries, order=("hash", "wall_ms", "offset")),
        first_ms,
        last_ms,
    )


def write_index(index: SegmentIndex, path: Path) -> None:
    """Writes the index to its file atomically. Raises OSError if the folder cannot be written."""
    body = index.requests.tobytes() + index.intents.tobytes()
    header = HEADER_STRUCT.pack(
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
    partial_path.write_bytes(header + body)
    partial_path.replace(path)


def read_index(path: Path, segment_bytes: int) -> SegmentIndex:
    """Reads the index of a segment of this size.

    Raises OSError if the file cannot be read, ValueError if it is damaged, of another version or made for
    another segment size.
    """
    data = path.read_bytes()
    try:
        magic, version, indexed_bytes, request_count, intent_count, first_ms, last_ms, checksum = (
            HEADER_STRUCT.unpack_from(data)
        )
    except struct.error:
        raise ValueError("index file ends within its header") from None
    if magic != MAGIC or version != VERSION or indexed_bytes != segment_bytes:
        raise ValueError("index file is of another version or segment size")
    body = data[HEADER_STRUCT.size :]
    requests_size = request_count * REQUEST_DTYPE.itemsize
    if (
        len(body) != requests_size + intent_count * INTENT_DTYPE.itemsize
        or google_crc32c.value(body) != checksum
    ):
        raise ValueError("index file is damaged")
    return SegmentIndex(
        segment_bytes,
        np.frombuffer(body[:requests_size], REQUEST_DTYPE),
        np.frombuffer(body[requests_size:], INTENT_DTYPE),
        first_ms,
        last_ms,
    )
