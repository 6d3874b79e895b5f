"""The records of the policy in the fleet's document.

Pure. A record that cannot be read is named by the reader and counts as a closed policy, under which no
scheduler accepts requests. Bounds: one change at a time, MAX_HISTORY_ENTRIES of history, MAX_POLICY_BYTES of
policy text, MAX_SCHEDULERS in the register, with names of MAX_NAME_BYTES.
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
    """One version of the policy; number 0 means none."""

    number: int = 0
    digest: str = ""
    text: str = ""
    author: str = ""
    reason: str = ""
    wall_ms: float = 0.0


class PolicyChange(msgspec.Struct, frozen=True):
    """The state of the change to the proposed version (under PROPOSED_KEY)."""

    id: str
    state: Literal["asking", "closing"]
    timeout_ms: float = msgspec.field(name="wait_ms")  # for the whole change, by the leader's clock
    removed_sessions: list[str] = msgspec.field(
        default=[], name="gone"
    )  # sessions that the operator has declared gone for good
    revert_count: int = msgspec.field(default=0, name="tries")  # how often it returned from closing to asking


class PolicyHistoryEntry(msgspec.Struct, frozen=True, array_like=True):
    """How a change ended."""

    number: int  # of the version that was proposed
    wall_ms: float
    taken: bool
    reason: str
    author: str
    digest: str


class PolicyState(msgspec.Struct, frozen=True):
    """Everything that a document holds of the policy."""

    now: PolicyVersion = PolicyVersion()
    next: PolicyVersion | None = None
    change: PolicyChange | None = None
    change_revision: int = 0  # the revision of the document that last wrote the change
    register: dict[str, str] = {}  # by name: the session that may hold a permit
    register_revision: int = 0
    history: list[PolicyHistoryEntry] = []
    unreadable_keys: tuple[str, ...] = ()

    def is_closed(self) -> bool:
        """Returns whether no scheduler may accept requests now."""
        return bool(self.unreadable_keys) or (self.change is not None and self.change.state == "closing")


FIELDS_BY_KEY = {
    CURRENT_KEY: ("now", PolicyVersion),
    PROPOSED_KEY: ("next", PolicyVersion),
    CHANGE_KEY: ("change", PolicyChange),
    REGISTER_KEY: ("register", dict[str, str]),
    HISTORY_KEY: ("history", list[PolicyHistoryEntry]),
}


def read_policy(document: Document) -> PolicyState:
    """Reads the policy's records from a document; `unreadable_keys` lists keys that cannot be decoded."""
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
            fields[f"{name}_revision"] = entry.revision
    return PolicyState(**fields, unreadable_keys=tuple(unreadable_keys))


def encode_value(value: object) -> str:
    """Encodes a record as the JSON text of a document entry."""
    return msgspec.json.encode(value).decode()


def policy_digest(text: str) -> str:
    """Returns the digest of a policy's text: the first 16 hex digits of its SHA-256."""
    return hashlib.sha256(text.encode()).hexdigest()[:16]


def scheduler_name(session: str) -> str:
    """Returns the name of the scheduler of which a session is one incarnation."""
    return session.rpartition(".")[0]
