"""The bytes of a segment: a header, then frames, each with its length, number and checksum.

A frame is read complete or not at all, whatever tears, zeroes or swaps bytes; after damage the next complete
frame is found, however far away. A frame of another place or segment is never accepted here, as its number is
part of the checksum and has to grow. The checksum is CRC32C (RFC 3720, B.4).

Layout, big endian, sizes in bytes. Header: magic 8, version 2, flags 2, first number 8, start (wall clock,
ms) 8, last record before the segment 8, checksum of these 4. Frame: mark 2, length 4, number 8, checksum of
length, number and payload 4, payload.
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
COMPACTED_FLAG = 1  # flag: records were dropped, so numbers may skip


class FutureVersionError(ValueError):
    """The segment was written by a newer program."""


class SegmentHeader(NamedTuple):
    """The header of a segment."""

    first_number: int  # the number of its first record
    started_ms: float  # wall clock, ms
    flags: int = 0
    last_number_before: int = (
        0  # the last record that was on disk before it: any of those that are missing are lost
    )


class RecordFrame(NamedTuple):
    """A complete record, its number and its offset."""

    number: int
    offset: int
    record: AnyRecord


class DamagedBytes(NamedTuple):
    """Bytes that are no complete frame; reason is one line, missing_numbers counts the missing records."""

    offset: int
    size: int
    reason: str
    missing_numbers: int = 0


def encode_header(header: SegmentHeader) -> bytes:
    """Encodes a segment's header, with its checksum."""
    head = HEADER_STRUCT.pack(
        MAGIC, VERSION, header.flags, header.first_number, header.started_ms, header.last_number_before
    )
    return head + struct.pack("!I", google_crc32c.value(head))


def decode_header(data: bytes | memoryview) -> SegmentHeader:
    """Decodes a header. Raises FutureVersionError, and ValueError for any other unusable header."""
    if len(data) < HEADER_SIZE:
        raise ValueError("cut off within its header")
    head = bytes(data[: HEADER_STRUCT.size])
    magic, version, flags, first, started_ms, after = HEADER_STRUCT.unpack(head)
    if magic != MAGIC:
        raise ValueError("not a journal's segment")
    if struct.unpack_from("!I", data, HEADER_STRUCT.size)[0] != google_crc32c.value(head):
        raise ValueError("damaged header")
    if version > VERSION:
        raise FutureVersionError(f"version {version}, this program reads up to {VERSION}")
    return SegmentHeader(first, started_ms, flags, after)


def encode_frame(number: int, payload: bytes) -> bytes:
    """Encodes one frame, with its checksum."""
    checksum = google_crc32c.value(CHECKSUM_PREFIX_STRUCT.pack(len(payload), number) + payload)
    return FRAME_STRUCT.pack(FRAME_MARK, len(payload), number, checksum) + payload


def _decode_frame(data: memoryview, offset: int, last_number: int) -> RecordFrame | None:
    """Returns the frame at this offset if its number is above last_number; None if there is none."""
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

    first_number is the lowest number that the next frame may have; is_compacted: numbers may skip.
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
    """Returns the next complete frame: searched by its mark, confirmed by its checksum."""
    raw = data if isinstance(data, bytes) else bytes(data[start:])
    raw_start = 0 if isinstance(data, bytes) else start
    position = raw.find(FRAME_MARK, start - raw_start)
    while position >= 0:
        frame = _decode_frame(view, position + raw_start, last_number)
        if frame is not None:
            return frame
        position = raw.find(FRAME_MARK, position + 1)
    return None
