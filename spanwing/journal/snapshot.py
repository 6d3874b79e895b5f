"""What is open at one number, so that a start reads the log from there on only.

Guarantees: a snapshot is whole or it is not taken (checksum over all of it); it is never needed, as the log
alone gives the same; one of a newer version is passed over.
"""

from __future__ import annotations

import struct

import google_crc32c
import msgspec

from spanwing.journal.ledger import Attempt, Ledger, Lost, Request
from spanwing.journal.records import Taken

MAGIC, VERSION = b"SPWJSNAP", 2
HEAD = struct.Struct("!8sHQI")


class KeptAttempt(msgspec.Struct, array_like=True):
    number: int
    worker: str
    address: str
    intent_ms: float | None
    last_byte_ms: float | None
    unsent: str
    given_up: str
    result: str
    closed: bool


class KeptRequest(msgspec.Struct, array_like=True):
    id: str
    first: int
    taken: Taken | None
    answer: str
    answered_ms: float | None
    cut_short: bool
    attempts: list[KeptAttempt]
    doubtful: bool


def snapshot_bytes(ledger: Ledger, last: int) -> bytes:
    """What is open after record `last`."""
    kept = [
        KeptRequest(
            each.id,
            each.first,
            each.taken,
            each.answer,
            each.answered_ms,
            each.cut_short,
            [
                KeptAttempt(*(getattr(attempt, name) for name in KeptAttempt.__struct_fields__))
                for attempt in each.attempts.values()
            ],
            each.doubtful,
        )
        for each in ledger.open.values()
    ]
    body = msgspec.msgpack.encode((kept, list(ledger.lost.items()), ledger.certain))
    return HEAD.pack(MAGIC, VERSION, last, google_crc32c.value(struct.pack("!Q", last) + body)) + body


def read_snapshot(data: bytes) -> tuple[Ledger, int]:
    """The ledger and the last number in it. Raises ValueError on what cannot be used."""
    try:
        magic, version, last, checksum = HEAD.unpack_from(data)
    except struct.error:
        raise ValueError("cut off") from None
    body = data[HEAD.size :]
    if magic != MAGIC or version != VERSION:
        raise ValueError("not a snapshot of this version")
    if google_crc32c.value(struct.pack("!Q", last) + body) != checksum:
        raise ValueError("damaged")
    ledger = Ledger()
    form = tuple[list[KeptRequest], list[tuple[str, Lost]], bool]
    kept, lost, ledger.certain = msgspec.msgpack.decode(body, type=form)
    ledger.lost.update(lost)
    for each in kept:
        attempts = {kept.number: Attempt(*msgspec.structs.astuple(kept)) for kept in each.attempts}
        ledger.open[each.id] = Request(
            each.id,
            each.first,
            each.taken,
            each.answer,
            each.answered_ms,
            each.cut_short,
            each.doubtful,
            attempts,
        )
    return ledger, last
