"""The zones as they are stored in the fleet's document.

Pure. The document has one key per zone, one for the feeder assignment and one for the last
MAX_HISTORY_ENTRIES changes. A zone whose value cannot be decoded counts as open, and its key is reported.
"""

from __future__ import annotations

import hashlib
from functools import lru_cache
from heapq import nlargest
from typing import Literal

import msgspec

from spanwing.scheduler_state import stable_hash
from spanwing.store.document import Document

RETURN_STEPS = 4
MAX_HISTORY_ENTRIES = 40
ZONE_KEY_PREFIX, ASSIGNMENT_KEY, HISTORY_KEY = "zone/", "deal", "zones/history"
ZonePhase = Literal["open", "leaving", "left", "returning"]


class ZoneState(msgspec.Struct, frozen=True, omit_defaults=True):
    """The state of one zone. Its revision is that of its document entry."""

    state: ZonePhase = "open"
    step: int = 0  # step of a return, 1 to RETURN_STEPS
    share: float = 0.0  # fraction of its workers in use while it is leaving or left
    used_by_own_zone: bool = msgspec.field(default=False, name="inside")  # by schedulers in this zone
    on_hold: bool = msgspec.field(default=False, name="held")  # only an operator's orders change it
    failures: int = 0  # consecutive failures; each doubles the hold-down
    reason: str = ""
    author: str = ""
    #: While returning: start of workers by short id, by the wall clock, where known.
    worker_starts_ms: dict[str, float] = msgspec.field(default={}, name="starts")


class FeederAssignment(msgspec.Struct, frozen=True):
    """The sessions that feed workers warming up in returning zones."""

    number: int
    sessions: list[str]
    previous_sessions: list[str] = msgspec.field(
        default=[], name="before"
    )  # the sessions of the previous assignment
    in_force: bool = False  # if not, the assignment is only announced


class ZoneHistoryEntry(msgspec.Struct, frozen=True, array_like=True):
    """One change of a zone, as listed in the history; number is the document's revision."""

    number: int
    wall_ms: float
    zone: str
    state: str
    step: int
    reason: str
    author: str
    share: float = 0.0  # fraction of its workers in use


class FleetZones(msgspec.Struct, frozen=True):
    """All zones, the feeder assignment and the history, as decoded from a document."""

    zones: dict[str, ZoneState]
    revisions: dict[str, int] = msgspec.field(name="numbers")
    feeder_assignment: FeederAssignment | None = msgspec.field(name="deal")
    assignment_revision: int = msgspec.field(name="deal_number")  # of the assignment's last change
    history: list[ZoneHistoryEntry] = msgspec.field(name="past")
    unreadable_keys: tuple[str, ...] = msgspec.field(default=(), name="unread")

    def get_zone(self, name: str) -> ZoneState:
        """Returns the zone's state; an unknown zone is open."""
        return self.zones.get(name, OPEN_ZONE)


OPEN_ZONE = ZoneState()


def encode_value(value: object) -> str:
    """Encodes a value of the document as JSON."""
    return msgspec.json.encode(value).decode()


def read_fleet_zones(document: Document) -> FleetZones:
    """Decodes the zones of a document; keys whose values cannot be decoded go to unreadable_keys."""
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
    """Returns a zone's workers in the order in which a return admits them, the same at every scheduler."""
    return sorted(worker_ids, key=lambda worker_id: (stable_hash(worker_id, 104729), worker_id))


@lru_cache(4096)
def session_hash(session: str) -> int:
    """Returns the first 64 bits of the session's BLAKE2b hash."""
    return int.from_bytes(hashlib.blake2b(session.encode(), digest_size=8).digest(), "big")


def choose_feeders(worker: int, sessions: list[str], count: int) -> list[str]:
    """Returns the count sessions that feed this worker, chosen by rendezvous hashing."""
    return nlargest(
        count, sessions, key=lambda session: (stable_hash(worker, session_hash(session)), session)
    )
