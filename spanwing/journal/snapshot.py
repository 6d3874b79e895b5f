"""Snapshots of the request states after one record, so that a restart reads the log only from there on.

A snapshot is used only if its checksum, which covers all of it, is right. Damaged snapshots and those of
another version are skipped: they only save time, as the log alone gives the same states.
"""

from __future__ import annotations

import struct

import google_crc32c
import msgspec

from spanwing.journal.records import RequestAccepted
from spanwing.journal.request_states import InterruptedRequest, JournalAttempt, JournalRequest, RequestStates

MAGIC, VERSION = b"SPWJSNAP", 2
HEADER_STRUCT = struct.Struct("!8sHQI")  # magic, version, last record number, checksum of number and body


class AttemptSnapshot(msgspec.Struct, array_like=True):
    """The stored form of a JournalAttempt; its fields have the same names and order."""

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
    """The stored form of a JournalRequest."""

    id: str
    first_number: int
    accepted: RequestAccepted | None
    answer: str
    answered_ms: float | None
    is_interrupted: bool
    attempts: list[AttemptSnapshot]
    may_lack_attempts: bool


def encode_snapshot(states: RequestStates, last_number: int) -> bytes:
    """Returns the snapshot of the states after the record with this number."""
    requests = [
        RequestSnapshot(
            request.id,
            request.first_number,
            request.accepted,
            request.answer,
            request.answered_ms,
            request.is_interrupted,
            [
                AttemptSnapshot(*(getattr(attempt, name) for name in AttemptSnapshot.__struct_fields__))
                for attempt in request.attempts.values()
            ],
            request.may_lack_attempts,
        )
        for request in states.open_requests.values()
    ]
    body = msgspec.msgpack.encode((requests, list(states.interrupted.items()), states.has_every_intent))
    return (
        HEADER_STRUCT.pack(
            MAGIC, VERSION, last_number, google_crc32c.value(struct.pack("!Q", last_number) + body)
        )
        + body
    )


def decode_snapshot(data: bytes) -> tuple[RequestStates, int]:
    """Returns the request states and the number of the last record that they include.

    Raises ValueError if the snapshot is damaged or of another version.
    """
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
    requests, interrupted, states.has_every_intent = msgspec.msgpack.decode(body, type=body_type)
    states.interrupted.update(interrupted)
    for request in requests:
        attempts = {
            attempt.number: JournalAttempt(*msgspec.structs.astuple(attempt)) for attempt in request.attempts
        }
        states.open_requests[request.id] = JournalRequest(
            request.id,
            request.first_number,
            request.accepted,
            request.answer,
            request.answered_ms,
            request.is_interrupted,
            request.may_lack_attempts,
            attempts,
        )
    return states, last_number
