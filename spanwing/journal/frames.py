"""The bytes of a segment: a header, then frames, each with its length, number and checksum.

Guarantees: a frame is whole or it is not taken, whatever tears, zeroes or swaps bytes; after damage the next
whole frame is found again, however far away; a frame of another place or segment is never taken for one of
here, as its number is part of the checksum and has to grow. The checksum is CRC32C (RFC 3720, B.4).

Layout, big endian. Header: magic 8, version 2, flags 2, first number 8, begun (wall, ms) 8, last record
before 8, checksum of these 4.
Frame: mark 2, length 4, number 8, checksum of length, number and payload 4, payload.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import NamedTuple

import google_crc32c

from spanwing.journal.records import LONGEST, Any, decode

MAGIC, VERSION = b"SPWNJRNL", 1
HEADER = struct.Struct("!8sHHQdQ")
HEADER_SIZE = HEADER.size + 4
MARK = b"\xa5\x4a"
FRAME = struct.Struct("!2sIQI")
NUMBERED = struct.Struct("!IQ")
COMPACTED = 1  # a flag: records that nobody wants any more were left out, so numbers may skip


class FutureVersion(ValueError):
    """A segment that a newer program wrote."""


class Header(NamedTuple):
    first: int  # the number of its first record
    begun_ms: float  # wall clock
    flags: int = 0
    after: int = 0  # the last record that was on disk before it: what of them is not there has been lost


class Frame(NamedTuple):
    """A whole record and where it stands."""

    number: int
    at: int
    record: Any


class Skipped(NamedTuple):
    """Bytes that are no whole frame; reason is one plain line. missing: numbers that are not there."""

    at: int
    size: int
    reason: str
    missing: int = 0


def header_bytes(header: Header) -> bytes:
    head = HEADER.pack(MAGIC, VERSION, header.flags, header.first, header.begun_ms, header.after)
    return head + struct.pack("!I", google_crc32c.value(head))


def read_header(data: bytes | memoryview) -> Header:
    """Raises FutureVersion, and ValueError on any other header that cannot be used."""
    if len(data) < HEADER_SIZE:
        raise ValueError("cut off within its header")
    head = bytes(data[: HEADER.size])
    magic, version, flags, first, begun, after = HEADER.unpack(head)
    if magic != MAGIC:
        raise ValueError("not a journal's segment")
    if struct.unpack_from("!I", data, HEADER.size)[0] != google_crc32c.value(head):
        raise ValueError("damaged header")
    if version > VERSION:
        raise FutureVersion(f"version {version}, this program reads up to {VERSION}")
    return Header(first, begun, flags, after)


def frame_bytes(number: int, payload: bytes) -> bytes:
    checksum = google_crc32c.value(NUMBERED.pack(len(payload), number) + payload)
    return FRAME.pack(MARK, len(payload), number, checksum) + payload


def _whole(data: memoryview, at: int, after: int) -> Frame | None:
    """The frame that stands here, if its number is above after; None if none does."""
    if at + FRAME.size > len(data):
        return None
    mark, length, number, checksum = FRAME.unpack_from(data, at)
    end = at + FRAME.size + length
    if mark != MARK or length > LONGEST or number <= after or end > len(data):
        return None
    payload = bytes(data[at + FRAME.size : end])
    if google_crc32c.value(NUMBERED.pack(length, number) + payload) != checksum:
        return None
    try:
        return Frame(number, at, decode(payload))
    except ValueError:
        return None


def size_of(data: memoryview, frame: Frame) -> int:
    """Bytes of a frame that was read there."""
    return FRAME.size + FRAME.unpack_from(data, frame.at)[1]


def read_frames(
    data: bytes | memoryview, first: int, at: int = HEADER_SIZE, sparse: bool = False
) -> Iterator[Frame | Skipped]:
    """All whole frames from a place on, in order, and what lies between them.

    first: the least number that the next frame may have. sparse: numbers may skip (a compacted segment)."""
    view = memoryview(data)
    last = first - 1
    while at < len(view):
        frame = _whole(view, at, last)
        skipped = at
        if frame is None:
            frame = _search(data, view, at + 1, last)
            end = len(view) if frame is None else frame.at
            missing = frame.number - last - 1 if frame is not None and not sparse else 0
            where = "torn tail" if frame is None else "damaged"
            yield Skipped(skipped, end - skipped, f"{where}: {end - skipped} bytes at {skipped}", missing)
            if frame is None:
                return
        elif frame.number != last + 1 and not sparse:
            yield Skipped(
                frame.at,
                0,
                f"numbers {last + 1} to {frame.number - 1} are not there",
                frame.number - last - 1,
            )
        yield frame
        last, at = frame.number, frame.at + size_of(view, frame)


def _search(data: bytes | memoryview, view: memoryview, at: int, last: int) -> Frame | None:
    """The next whole frame; the mark makes the search fast, the checksum makes it right."""
    raw = data if isinstance(data, bytes) else bytes(data[at:])
    offset = 0 if isinstance(data, bytes) else at
    place = raw.find(MARK, at - offset)
    while place >= 0:
        frame = _whole(view, place + offset, last)
        if frame is not None:
            return frame
        place = raw.find(MARK, place + 1)
    return None
