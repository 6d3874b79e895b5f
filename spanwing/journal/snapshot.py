"""A snapshot of the open requests at one record number, so that a start reads the log only from there on.

A snapshot is used only if it is complete (a checksum covers all of it). It is never needed, as the log alone
gives the same; one of another version is skipped.
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
    """A JournalAttempt, as it is stored."""

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
    """A JournalRequest, as it is stored."""

    id: str
    first_number: int
    accepted: RequestAccepted | None
    answer: str
    answered_ms: float | None
    is_interrupted: bool
    attempts: list[AttemptSnapshot]
    may_lack_attempts: bool


def encode_snapshot(states: RequestStates, last_number: int) -> bytes:
    """Encodes what is open after record last_number."""
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
    """Returns the request states and the last record's number. Raises ValueError if it cannot be used."""
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
