"""The records of the journal, and their encoding on disk.

Each record is a msgpack array that begins with the tag of its type. Every record names its request and
carries two times in ms: wall_ms is for operators, mono_ms measures durations within one incarnation of the
daemon. New fields are only appended, with a default, so that a newer program reads an older file.

The names of the fields are part of the output of `spanwing journal tail`.
"""

from __future__ import annotations

import msgspec

MAX_RECORD_BYTES = 16 * 1024  # of one encoded record; the front ends bound the length of ids and keys


class JournalRecord(msgspec.Struct, array_like=True, frozen=True, omit_defaults=False):
    """The fields that every record has."""

    request: str
    wall_ms: float
    mono_ms: float


class ProcessStarted(JournalRecord, tag="S"):
    """An incarnation of the daemon started; request is empty."""

    name: str = ""
    life: str = ""  # random id of the incarnation
    certain: bool = True  # this incarnation forwards nothing before its intent is on disk


class RequestAccepted(JournalRecord, tag="T"):
    """A non-idempotent request was accepted from a client."""

    cls: str = ""
    tenant: str = ""
    key: str = ""
    front: str = ""
    budget_ms: float = 0.0


class AttemptIntent(JournalRecord, tag="I"):
    """An attempt is about to be forwarded. The record is on disk before the attempt's first byte is sent."""

    attempt: int = 0
    worker: str = ""
    address: str = ""


class LastByteWritten(JournalRecord, tag="L"):
    """The attempt's last byte was written to its connection; from then on the attempt counts as sent."""

    attempt: int = 0


class AttemptUnsent(JournalRecord, tag="U"):
    """The attempt ended, and its last byte was certainly not written."""

    attempt: int = 0
    why: str = ""


class AttemptCancelled(JournalRecord, tag="G"):
    """The scheduler stopped waiting for the attempt."""

    attempt: int = 0
    why: str = ""


class AttemptCompleted(JournalRecord, tag="O"):
    """The attempt ended, with the worker's result or the way in which its connection ended."""

    attempt: int = 0
    result: str = ""


class RequestAnswered(JournalRecord, tag="A"):
    """The request got its only final answer."""

    kind: str = ""


class AttemptClosed(JournalRecord, tag="C"):
    """An attempt that an earlier incarnation left open, possibly sent. Written when the daemon starts."""

    attempt: int = 0
    worker: str = ""


class JournalGap(JournalRecord, tag="X"):
    """Records are missing: they were lost or could not be written; request is empty.

    With the failure policy `serve`, the requests of these records may have been forwarded all the same.
    """

    since_wall_ms: float = 0.0
    count: int = 0
    why: str = ""


AnyRecord = (
    ProcessStarted
    | RequestAccepted
    | AttemptIntent
    | LastByteWritten
    | AttemptUnsent
    | AttemptCancelled
    | AttemptCompleted
    | RequestAnswered
    | AttemptClosed
    | JournalGap
)

# The name of each record type in the output of the command line.
RECORD_KINDS: dict[type[JournalRecord], str] = {
    ProcessStarted: "started",
    RequestAccepted: "taken",
    AttemptIntent: "intent",
    LastByteWritten: "lastbyte",
    AttemptUnsent: "unsent",
    AttemptCancelled: "givenup",
    AttemptCompleted: "outcome",
    RequestAnswered: "answered",
    AttemptClosed: "closed",
    JournalGap: "gap",
}

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(AnyRecord)


def encode_record(record: AnyRecord) -> bytes:
    """Returns the record's msgpack encoding. Raises ValueError if it is longer than MAX_RECORD_BYTES."""
    data = _encoder.encode(record)
    if len(data) > MAX_RECORD_BYTES:
        raise ValueError(f"a record of {len(data)} bytes, {MAX_RECORD_BYTES} are possible")
    return data


def decode_record(data: bytes | memoryview) -> AnyRecord:
    """Returns the record that the data encodes. Raises ValueError if the data is not a record."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ValueError(str(error)) from None
