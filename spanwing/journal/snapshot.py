"""What is open at one number, so that a start reads the log from there on only.

Guarantees: a snapshot is whole or it is not taken (checksum over all of it); it is never needed, as the log
alone gives the same; one of a newer version is passed over.
"""

from __future__ import annotations

import struct

import google_crc32c
import msgspec

from spanwing.journal.records import RequestAccepted
from spanwing.journal.request_states import InterruptedRequest, JournalAttempt, JournalRequest, RequestStates

MAGIC, VERSION = b"SPWJSNAP", 2
HEADER_STRUCT = struct.Struct("!8sHQI")


class AttemptSnapshot(msgspec.Struct, array_like=True):
    number: int
    worker: str
    address: str
    intent_ms: float | None
    last_byte_ms: float | None
    unsent_reason: str
    cancel_reason: str
    result: str
    is_closed_at_start: bool


class RequestSnapshot(msgspec.Struct, array_like=True):
    id: str
    first_number: int
    accepted: RequestAccepted | None
    answer: str
    answered_ms: float | None
    is_interrupted: bool
    attempts: list[AttemptSnapshot]
    may_lack_attempts: bool


def encode_snapshot(states: RequestStates, last_number: int) -> bytes:
    """What is open after record `last`."""
    requests = [
        RequestSnapshot(
            each.id,
            each.first_number,
            each.accepted,
            each.answer,
            each.answered_ms,
            each.is_interrupted,
            [
                AttemptSnapshot(*(getattr(attempt, name) for name in AttemptSnapshot.__struct_fields__))
                for attempt in each.attempts.values()
            ],
            each.may_lack_attempts,
        )
        for each in states.open_requests.values()
    ]
    body = msgspec.msgpack.encode((requests, list(states.interrupted.items()), states.has_every_intent))
    return (
        HEADER_STRUCT.pack(
            MAGIC, VERSION, last_number, google_crc32c.value(struct.pack("!Q", last_number) + body)
        )
        + body
    )


def decode_snapshot(data: bytes) -> tuple[RequestStates, int]:
    """The ledger and the last number in it. Raises ValueError on what cannot be used."""
    try:
        magic, version, last_number, checksum = HEADER_STRUCT.unpack_from(data)
    except struct.error:
        raise ValueError("cut off") from None
    body = data[HEADER_STRUCT.size :]
    if magic != MAGIC or version != VERSION:
        raise ValueError("not a snapshot of this version")
    if google_crc32c.value(struct.pack("!Q", last_number) + body) != checksum:
        raise ValueError("damaged")
    states = RequestStates()
    body_type = tuple[list[RequestSnapshot], list[tuple[str, InterruptedRequest]], bool]
    kept, interrupted, states.has_every_intent = msgspec.msgpack.decode(body, type=body_type)
    states.interrupted.update(interrupted)
    for each in kept:
        attempts = {kept.number: JournalAttempt(*msgspec.structs.astuple(kept)) for kept in each.attempts}
        states.open_requests[each.id] = JournalRequest(
            each.id,
            each.first_number,
            each.accepted,
            each.answer,
            each.answered_ms,
            each.is_interrupted,
            each.may_lack_attempts,
            attempts,
        )
    return states, last_number
