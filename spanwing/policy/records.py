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

CURRENT_KEY, PROPOSED_KEY, CHANGE_KEY, REGISTER_KEY, HISTORY_KEY = (
    "policy/now",
    "policy/next",
    "policy/change",
    "policy/register",
    "policy/history",
)
MAX_HISTORY_ENTRIES = 40
MAX_POLICY_BYTES = 20 * 1024
MAX_SCHEDULERS, MAX_NAME_BYTES = 500, 24


class PolicyVersion(msgspec.Struct, frozen=True):
    """One policy; number 0 is none."""

    number: int = 0
    digest: str = ""
    text: str = ""
    author: str = ""
    reason: str = ""
    wall_ms: float = 0.0


class PolicyChange(msgspec.Struct, frozen=True):
    """What is being made of a proposal, which stands under NEXT."""

    id: str
    state: Literal["asking", "closing"]
    timeout_ms: float = msgspec.field(name="wait_ms")  # in all, by the clock of whoever keeps
    removed_sessions: list[str] = msgspec.field(
        default=[], name="gone"
    )  # sessions that the operator says are gone for good
    tries: int = 0  # times that it was closing and had to go back


class PolicyHistoryEntry(msgspec.Struct, frozen=True, array_like=True):
    """How a change ended."""

    number: int  # of the version that was proposed
    wall_ms: float
    taken: bool
    reason: str
    author: str
    digest: str


class PolicyState(msgspec.Struct, frozen=True):
    """All of it, as read from a document."""

    now: PolicyVersion = PolicyVersion()
    next: PolicyVersion | None = None
    change: PolicyChange | None = None
    change_number: int = 0  # the document's revision that the change last came with
    register: dict[str, str] = {}  # by name: the session that may hold a permit
    register_number: int = 0
    past: list[PolicyHistoryEntry] = []
    unread: tuple[str, ...] = ()

    def is_closed(self) -> bool:
        """Whether nobody may take anything now."""
        return bool(self.unread) or (self.change is not None and self.change.state == "closing")


FIELDS_BY_KEY = {
    CURRENT_KEY: ("now", PolicyVersion),
    PROPOSED_KEY: ("next", PolicyVersion),
    CHANGE_KEY: ("change", PolicyChange),
    REGISTER_KEY: ("register", dict[str, str]),
    HISTORY_KEY: ("past", list[PolicyHistoryEntry]),
}


def read_policy(document: Document) -> PolicyState:
    fields: dict[str, object] = {}
    unreadable_keys = []
    for key, (name, value_type) in FIELDS_BY_KEY.items():
        entry = document.entries.get(key)
        if entry is None:
            continue
        try:
            fields[name] = msgspec.json.decode(entry.value, type=value_type)
        except ValueError:
            unreadable_keys.append(key)
            continue
        if key in (CHANGE_KEY, REGISTER_KEY):
            fields[f"{name}_number"] = entry.revision
    return PolicyState(**fields, unread=tuple(unreadable_keys))


def encode_value(value: object) -> str:
    return msgspec.json.encode(value).decode()


def policy_digest(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()[:16]


def scheduler_name(session: str) -> str:
    """The scheduler's name, of which a session is one life."""
    return session.rpartition(".")[0]
