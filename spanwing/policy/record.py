"""What the fleet's document says of the policy.

Guarantees: pure; what cannot be read is told by the reader and counts as a closed policy, under which nobody
takes anything. Bounds: one change at a time, HISTORY lines of history, a policy of LONGEST bytes, MOST_NAMES
schedulers in the register, whose names have LONGEST_NAME bytes.
"""

from __future__ import annotations

import hashlib
from typing import Literal

import msgspec

from spanwing.store.document import Document

NOW, NEXT, CHANGE, REGISTER, PAST = (
    "policy/now",
    "policy/next",
    "policy/change",
    "policy/register",
    "policy/history",
)
HISTORY = 40
LONGEST = 20 * 1024
MOST_NAMES, LONGEST_NAME = 500, 24


class Version(msgspec.Struct, frozen=True):
    """One policy; number 0 is none."""

    number: int = 0
    digest: str = ""
    text: str = ""
    author: str = ""
    reason: str = ""
    wall_ms: float = 0.0


class Change(msgspec.Struct, frozen=True):
    """What is being made of a proposal, which stands under NEXT."""

    id: str
    state: Literal["asking", "closing"]
    wait_ms: float  # in all, by the clock of whoever keeps
    gone: list[str] = []  # sessions that the operator says are gone for good
    tries: int = 0  # times that it was closing and had to go back


class Past(msgspec.Struct, frozen=True, array_like=True):
    """How a change ended."""

    number: int  # of the version that was proposed
    wall_ms: float
    taken: bool
    reason: str
    author: str
    digest: str


class Policy(msgspec.Struct, frozen=True):
    """All of it, as read from a document."""

    now: Version = Version()
    next: Version | None = None
    change: Change | None = None
    change_number: int = 0  # the document's revision that the change last came with
    register: dict[str, str] = {}  # by name: the session that may hold a permit
    register_number: int = 0
    past: list[Past] = []
    unread: tuple[str, ...] = ()

    def closed(self) -> bool:
        """Whether nobody may take anything now."""
        return bool(self.unread) or (self.change is not None and self.change.state == "closing")


KINDS = {
    NOW: ("now", Version),
    NEXT: ("next", Version),
    CHANGE: ("change", Change),
    REGISTER: ("register", dict[str, str]),
    PAST: ("past", list[Past]),
}


def read(document: Document) -> Policy:
    found: dict[str, object] = {}
    unread = []
    for key, (name, kind) in KINDS.items():
        entry = document.entries.get(key)
        if entry is None:
            continue
        try:
            found[name] = msgspec.json.decode(entry.value, type=kind)
        except ValueError:
            unread.append(key)
            continue
        if key in (CHANGE, REGISTER):
            found[f"{name}_number"] = entry.revision
    return Policy(**found, unread=tuple(unread))


def encode(value: object) -> str:
    return msgspec.json.encode(value).decode()


def digest(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()[:16]


def name_of(session: str) -> str:
    """The scheduler's name, of which a session is one life."""
    return session.rpartition(".")[0]
