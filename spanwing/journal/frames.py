"""The format of a segment: a header, then frames, each with its length, record number and checksum.

A frame is read completely or not at all, also after a write that left bytes torn, zeroed or out of order.
After damage, reading continues at the next complete frame, however far away. Record numbers are covered by
the checksum and must increase, so a frame from an earlier position or segment is never accepted. The checksum
is CRC32C (RFC 3720, B.4).

Layout (big endian, sizes in bytes):

    header: magic 8, version 2, flags 2, first record number 8, start time (wall clock, ms) 8,
            last record number before the segment 8, checksum of all these fields 4
    frame:  mark 2, payload length 4, record number 8, checksum of length, number and payload 4, payload
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import NamedTuple

import google_crc32c

from spanwing.journal.records import MAX_RECORD_BYTES, AnyRecord, decode_record

MAGIC, VERSION = b"SPWNJRNL", 1
HEADER_STRUCT = struct.Struct("!8sHHQdQ")
HEADER_SIZE = HEADER_STRUCT.size + 4
FRAME_MARK = b"\xa5\x4a"
FRAME_STRUCT = struct.Struct("!2sIQI")
CHECKSUM_PREFIX_STRUCT = struct.Struct("!IQ")
COMPACTED_FLAG = 1  # bit of the header's flags: records were dropped, so numbers may have gaps


class FutureVersionError(ValueError):
    """The segment was written by a newer version of the program."""


class SegmentHeader(NamedTuple):
    """The header of a segment."""

    first_number: int  # the number of its first record
    started_ms: float  # wall clock, ms
    flags: int = 0
    # The number of the last record on disk when the segment was started. A record up to this number that
    # is in no earlier segment was lost, or removed by retention.
    last_number_before: int = 0


class RecordFrame(NamedTuple):
    """A complete frame: its record, the record's number and the frame's offset."""

    number: int
    offset: int  # bytes from the start of the segment
    record: AnyRecord


class DamagedBytes(NamedTuple):
    """A range of bytes without a complete frame; its size is 0 for other faults, such as missing numbers."""

    offset: int  # bytes from the start of the segment
    size: int
    reason: str  # one line
    missing_numbers: int = 0  # how many records are missing


def encode_header(header: SegmentHeader) -> bytes:
    """Returns the bytes of a segment's header, with its checksum."""
    fields = HEADER_STRUCT.pack(
        MAGIC, VERSION, header.flags, header.first_number, header.started_ms, header.last_number_before
    )
    return fields + struct.pack("!I", google_crc32c.value(fields))


def decode_header(data: bytes | memoryview) -> SegmentHeader:
    """Returns the header that a segment's data begins with.

    Raises FutureVersionError if a newer program wrote it, ValueError for any other unusable header.
    """
    if len(data) < HEADER_SIZE:
        raise ValueError("cut off within its header")
    fields = bytes(data[: HEADER_STRUCT.size])
    magic, version, flags, first_number, started_ms, last_number_before = HEADER_STRUCT.unpack(fields)
    if magic != MAGIC:
        raise ValueError("not a journal's segment")
    if struct.unpack_from("!I", data, HEADER_STRUCT.size)[0] != google_crc32c.value(fields):
        raise ValueError("damaged header")
    if version > VERSION:
        raise FutureVersionError(f"version {version}, this program reads up to {VERSION}")
    return SegmentHeader(first_number, started_ms, flags, last_number_before)


def encode_frame(number: int, payload: bytes) -> bytes:
    """Returns the bytes of one frame, with its checksum."""
    checksum = google_crc32c.value(CHECKSUM_PREFIX_STRUCT.pack(len(payload), number) + payload)
    return FRAME_STRUCT.pack(FRAME_MARK, len(payload), number, checksum) + payload


def _decode_frame(data: memoryview, offset: int, last_number: int) -> RecordFrame | None:
    """Returns the complete frame at this offset if its number is above last_number, else None."""
    if offset + FRAME_STRUCT.size > len(data):
        return None
    mark, length, number, checksum = FRAME_STRUCT.unpack_from(data, offset)
    end = offset + FRAME_STRUCT.size + length
    if mark != FRAME_MARK or length > MAX_RECORD_BYTES or number <= last_number or end > len(data):
        return None
    payload = bytes(data[offset + FRAME_STRUCT.size : end])
    if google_crc32c.value(CHECKSUM_PREFIX_STRUCT.pack(length, number) + payload) != checksum:
        return None
    try:
        return RecordFrame(number, offset, decode_record(payload))
    except ValueError:
        return None


def frame_size(data: memoryview, frame: RecordFrame) -> int:
    """Returns the size in bytes of a frame that was read from this data."""
    return FRAME_STRUCT.size + FRAME_STRUCT.unpack_from(data, frame.offset)[1]


def read_frames(
    data: bytes | memoryview, first_number: int, offset: int = HEADER_SIZE, is_compacted: bool = False
) -> Iterator[RecordFrame | DamagedBytes]:
    """Yields all complete frames from an offset on, in order, and the damage between them.

    first_number is the lowest number that the next frame may have. Without is_compacted, a gap in the numbers
    counts as damage.
    """
    view = memoryview(data)
    last_number = first_number - 1
    while offset < len(view):
        frame = _decode_frame(view, offset, last_number)
        damage_start = offset
        if frame is None:
            frame = _find_next_frame(data, view, offset + 1, last_number)
            end = len(view) if frame is None else frame.offset
            missing = frame.number - last_number - 1 if frame is not None and not is_compacted else 0
            kind = "torn tail" if frame is None else "damaged"
            yield DamagedBytes(
                damage_start,
                end - damage_start,
                f"{kind}: {end - damage_start} bytes at {damage_start}",
                missing,
            )
            if frame is None:
                return
        elif frame.number != last_number + 1 and not is_compacted:
            yield DamagedBytes(
                frame.offset,
                0,
                f"numbers {last_number + 1} to {frame.number - 1} are not there",
                frame.number - last_number - 1,
            )
        yield frame
        last_number, offset = frame.number, frame.offset + frame_size(view, frame)


def _find_next_frame(
    data: bytes | memoryview, view: memoryview, start: int, last_number: int
) -> RecordFrame | None:
    """Returns the next complete frame from offset start on; None if there is none.

    Candidates are found by the frame mark and confirmed by their checksum.
    """
    raw = data if isinstance(data, bytes) else bytes(data[start:])
    raw_start = 0 if isinstance(data, bytes) else start
    position = raw.find(FRAME_MARK, start - raw_start)
    while position >= 0:
        frame = _decode_frame(view, position + raw_start, last_number)
        if frame is not None:
            return frame
        position = raw.find(FRAME_MARK, position + 1)
    return None
