"""The fleet's zones as the store's document has them.

Guarantees: pure; what cannot be read counts as open, and is told by the reader. One key a zone, one for the
deal of feeders, one for the last HISTORY changes.
"""

from __future__ import annotations

import hashlib
from functools import lru_cache
from heapq import nlargest
from typing import Literal

import msgspec

from spanwing.state import mix
from spanwing.store.document import Document

RETURN_STEPS = 4
MAX_HISTORY_ENTRIES = 40
ZONE_KEY_PREFIX, ASSIGNMENT_KEY, HISTORY_KEY = "zone/", "deal", "zones/history"
ZonePhase = Literal["open", "leaving", "left", "returning"]


class ZoneState(msgspec.Struct, frozen=True, omit_defaults=True):
    """One zone's state; its number is the revision that it came with."""

    state: ZonePhase = "open"
    step: int = 0  # of a return, 1 to STEPS
    share: float = 0.0  # of its workers that stay in use while it is left
    inside: bool = False  # its own schedulers go on using it
    held: bool = False  # by an operator: nothing changes by itself
    failures: int = 0  # in a row; each doubles the stay
    reason: str = ""
    author: str = ""
    #: Of a return: when workers began their lives, by short number, where that is known.
    starts: dict[str, float] = {}


class FeederAssignment(msgspec.Struct, frozen=True):
    """Who feeds the cold workers of returning zones."""

    number: int
    sessions: list[str]
    previous_sessions: list[str] = msgspec.field(
        default=[], name="before"
    )  # of the deal before, while and after this one is announced
    in_force: bool = False


class ZoneHistoryEntry(msgspec.Struct, frozen=True, array_like=True):
    """One change, for the history."""

    number: int
    wall_ms: float
    zone: str
    state: str
    step: int
    reason: str
    author: str
    share: float = 0.0  # of its workers that stay in use


class FleetZones(msgspec.Struct, frozen=True):
    """All of it, as read from a document."""

    zones: dict[str, ZoneState]
    revisions: dict[str, int] = msgspec.field(name="numbers")
    feeder_assignment: FeederAssignment | None = msgspec.field(name="deal")
    assignment_revision: int = msgspec.field(name="deal_number")  # the revision of the deal's last change
    history: list[ZoneHistoryEntry] = msgspec.field(name="past")
    unreadable_keys: tuple[str, ...] = msgspec.field(default=(), name="unread")

    def get_zone(self, name: str) -> ZoneState:
        return self.zones.get(name, OPEN_ZONE)


OPEN_ZONE = ZoneState()


def encode_value(value: object) -> str:
    return msgspec.json.encode(value).decode()


def read_fleet_zones(document: Document) -> FleetZones:
    zones, revisions, unreadable_keys = {}, {}, []
    feeder_assignment, assignment_revision, history = None, 0, []
    for key, entry in document.entries.items():
        try:
            if key.startswith(ZONE_KEY_PREFIX):
                name = key[len(ZONE_KEY_PREFIX) :]
                zones[name] = msgspec.json.decode(entry.value, type=ZoneState)
                revisions[name] = entry.revision
            elif key == ASSIGNMENT_KEY:
                feeder_assignment, assignment_revision = (
                    msgspec.json.decode(entry.value, type=FeederAssignment),
                    entry.revision,
                )
            elif key == HISTORY_KEY:
                history = msgspec.json.decode(entry.value, type=list[ZoneHistoryEntry])
        except ValueError:
            unreadable_keys.append(key)
    return FleetZones(
        zones, revisions, feeder_assignment, assignment_revision, history, tuple(unreadable_keys)
    )


def admission_order(worker_ids: list[int]) -> list[int]:
    """The order in which a zone's workers are admitted, the same everywhere."""
    return sorted(worker_ids, key=lambda each: (mix(each, 104729), each))


@lru_cache(4096)
def session_hash(session: str) -> int:
    return int.from_bytes(hashlib.blake2b(session.encode(), digest_size=8).digest(), "big")


def choose_feeders(worker: int, sessions: list[str], count: int) -> list[str]:
    """Those of the sessions that feed this worker: the ones that hash highest with it."""
    return nlargest(count, sessions, key=lambda each: (mix(worker, session_hash(each)), each))
