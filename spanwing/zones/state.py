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

STEPS = 4
HISTORY = 40
ZONE, DEAL, PAST = "zone/", "deal", "zones/history"
Is = Literal["open", "leaving", "left", "returning"]


class Zone(msgspec.Struct, frozen=True, omit_defaults=True):
    """One zone's state; its number is the revision that it came with."""

    state: Is = "open"
    step: int = 0  # of a return, 1 to STEPS
    share: float = 0.0  # of its workers that stay in use while it is left
    inside: bool = False  # its own schedulers go on using it
    held: bool = False  # by an operator: nothing changes by itself
    failures: int = 0  # in a row; each doubles the stay
    reason: str = ""
    author: str = ""
    #: Of a return: when workers began their lives, by short number, where that is known.
    starts: dict[str, float] = {}


class Deal(msgspec.Struct, frozen=True):
    """Who feeds the cold workers of returning zones."""

    number: int
    sessions: list[str]
    before: list[str] = []  # of the deal before, while and after this one is announced
    in_force: bool = False


class Past(msgspec.Struct, frozen=True, array_like=True):
    """One change, for the history."""

    number: int
    wall_ms: float
    zone: str
    state: str
    step: int
    reason: str
    author: str
    share: float = 0.0  # of its workers that stay in use


class Fleet(msgspec.Struct, frozen=True):
    """All of it, as read from a document."""

    zones: dict[str, Zone]
    numbers: dict[str, int]
    deal: Deal | None
    deal_number: int  # the revision of the deal's last change
    past: list[Past]
    unread: tuple[str, ...] = ()

    def zone(self, name: str) -> Zone:
        return self.zones.get(name, OPEN)


OPEN = Zone()


def encode(value: object) -> str:
    return msgspec.json.encode(value).decode()


def read(document: Document) -> Fleet:
    zones, numbers, unread = {}, {}, []
    deal, deal_number, past = None, 0, []
    for key, entry in document.entries.items():
        try:
            if key.startswith(ZONE):
                name = key[len(ZONE) :]
                zones[name] = msgspec.json.decode(entry.value, type=Zone)
                numbers[name] = entry.revision
            elif key == DEAL:
                deal, deal_number = msgspec.json.decode(entry.value, type=Deal), entry.revision
            elif key == PAST:
                past = msgspec.json.decode(entry.value, type=list[Past])
        except ValueError:
            unread.append(key)
    return Fleet(zones, numbers, deal, deal_number, past, tuple(unread))


def rank(workers: list[int]) -> list[int]:
    """The order in which a zone's workers are admitted, the same everywhere."""
    return sorted(workers, key=lambda each: (mix(each, 104729), each))


@lru_cache(4096)
def place(session: str) -> int:
    return int.from_bytes(hashlib.blake2b(session.encode(), digest_size=8).digest(), "big")


def feeders_of(worker: int, sessions: list[str], most: int) -> list[str]:
    """Those of the sessions that feed this worker: the ones that hash highest with it."""
    return nlargest(most, sessions, key=lambda each: (mix(worker, place(each)), each))
