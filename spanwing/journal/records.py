"""The records of the journal, and their encoding on disk.

Every record names its request and carries both clocks in ms (the wall clock for people, the monotonic one for
spans within one incarnation of the daemon). Fields are only ever added at the end, with a default, so that a
newer program reads an older file. Encoded by msgpack as an array that begins with its tag.
"""

from __future__ import annotations

import msgspec

MAX_RECORD_BYTES = 16 * 1024  # of one record; the frontends bound ids and keys


class JournalRecord(msgspec.Struct, array_like=True, frozen=True, omit_defaults=False):
    """The fields of every record."""

    request: str
    wall_ms: float
    mono_ms: float


class ProcessStarted(JournalRecord, tag="S"):
    """An incarnation of the daemon begins; request is empty."""

    name: str = ""
    life: str = ""  # random, new at each start
    certain: bool = True  # in this incarnation nothing is forwarded without an intent on disk


class RequestAccepted(JournalRecord, tag="T"):
    """A non-idempotent request was accepted, and from whom."""

    cls: str = ""
    tenant: str = ""
    key: str = ""
    front: str = ""
    budget_ms: float = 0.0


class AttemptIntent(JournalRecord, tag="I"):
    """An attempt is about to be forwarded; on disk before its first byte may leave."""

    attempt: int = 0
    worker: str = ""
    address: str = ""


class LastByteWritten(JournalRecord, tag="L"):
    """The attempt's last byte was written: from here on it counts as sent."""

    attempt: int = 0


class AttemptUnsent(JournalRecord, tag="U"):
    """The attempt has ended, and its last byte was certainly not written."""

    attempt: int = 0
    why: str = ""


class AttemptCancelled(JournalRecord, tag="G"):
    """The scheduler stopped waiting for the attempt."""

    attempt: int = 0
    why: str = ""


class AttemptCompleted(JournalRecord, tag="O"):
    """The worker's result of the attempt, or how its connection ended."""

    attempt: int = 0
    result: str = ""


class RequestAnswered(JournalRecord, tag="A"):
    """The request's one final answer."""

    kind: str = ""


class AttemptClosed(JournalRecord, tag="C"):
    """At a start: an attempt that an earlier incarnation left open, possibly sent."""

    attempt: int = 0
    worker: str = ""


class JournalGap(JournalRecord, tag="X"):
    """Requests were served without being recorded, as the operator chose; request is empty."""

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

#: The command line's name for each record.
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
    """Encodes a record. Raises ValueError if it is longer than MAX_RECORD_BYTES."""
    data = _encoder.encode(record)
    if len(data) > MAX_RECORD_BYTES:
        raise ValueError(f"a record of {len(data)} bytes, {MAX_RECORD_BYTES} are possible")
    return data


def decode_record(data: bytes | memoryview) -> AnyRecord:
    """Decodes a record. Raises ValueError if the data is none."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ValueError(str(error)) from None
