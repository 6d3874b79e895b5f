"""What the journal writes down, and how it stands on disk.

Guarantees: every record names its request and carries both clocks (the wall's for people, the monotonic one
for spans within one life of the daemon); fields are only ever added at the end, with a default, so that an
older file reads in a newer program. Encoded by msgpack as an array that begins with its tag.
"""

from __future__ import annotations

import msgspec

MAX_RECORD_BYTES = 16 * 1024  # bytes of one record: ids and keys are bounded by the fronts


class JournalRecord(msgspec.Struct, array_like=True, frozen=True, omit_defaults=False):
    """What all have."""

    request: str
    wall_ms: float
    mono_ms: float


class ProcessStarted(JournalRecord, tag="S"):
    """A life of the daemon begins; request is empty."""

    name: str = ""
    life: str = ""  # drawn at each start
    certain: bool = True  # in this life nothing is sent without an intent on disk


class RequestAccepted(JournalRecord, tag="T"):
    """A request that must not run twice was taken, and from whom."""

    cls: str = ""
    tenant: str = ""
    key: str = ""
    front: str = ""
    budget_ms: float = 0.0


class AttemptIntent(JournalRecord, tag="I"):
    """An attempt is about to be sent; on disk before its first byte may leave."""

    attempt: int = 0
    worker: str = ""
    address: str = ""


class LastByteWritten(JournalRecord, tag="L"):
    """The attempt's last byte is written: from here on it counts."""

    attempt: int = 0


class AttemptUnsent(JournalRecord, tag="U"):
    """The attempt is over, and its last byte was certainly not written."""

    attempt: int = 0
    why: str = ""


class AttemptCancelled(JournalRecord, tag="G"):
    """We stopped waiting for the attempt."""

    attempt: int = 0
    why: str = ""


class AttemptCompleted(JournalRecord, tag="O"):
    """What the job worker told of the attempt, or what became of its connection."""

    attempt: int = 0
    result: str = ""


class RequestAnswered(JournalRecord, tag="A"):
    """The request's one final answer."""

    kind: str = ""


class AttemptClosed(JournalRecord, tag="C"):
    """At a start: an attempt that an earlier life left open, possibly sent."""

    attempt: int = 0
    worker: str = ""


class JournalGap(JournalRecord, tag="X"):
    """Work was served without being written down, as the operator chose; request is empty."""

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

#: What the command line calls each record.
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
    """Raises ValueError where the record is too long to be written."""
    data = _encoder.encode(record)
    if len(data) > MAX_RECORD_BYTES:
        raise ValueError(f"a record of {len(data)} bytes, {MAX_RECORD_BYTES} are possible")
    return data


def decode_record(data: bytes | memoryview) -> AnyRecord:
    """Raises ValueError on what is no record."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ValueError(str(error)) from None
