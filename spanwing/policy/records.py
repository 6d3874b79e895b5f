"""The records of the policy in the fleet's document.

Pure. read_policy() reports the keys of records that it cannot decode; the policy then counts as closed, and
no scheduler accepts requests. Bounds: one change at a time, MAX_HISTORY_ENTRIES entries of history,
MAX_POLICY_BYTES of policy text, MAX_SCHEDULERS schedulers in the register.
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
MAX_SCHEDULERS = 500


class PolicyVersion(msgspec.Struct, frozen=True):
    """One version of the policy; number 0 stands for no policy."""

    number: int = 0
    digest: str = ""
    text: str = ""
    author: str = ""
    reason: str = ""
    wall_ms: float = 0.0


class PolicyChange(msgspec.Struct, frozen=True):
    """A change to the proposed version, which is stored under PROPOSED_KEY.

    In the state "asking" the schedulers validate the version and vote. In the state "closing" no scheduler
    accepts requests, until the change ends or returns to "asking".
    """

    id: str
    state: Literal["asking", "closing"]
    timeout_ms: float = msgspec.field(name="wait_ms")  # for the whole change, by the leader's clock
    #: Sessions that the operator has declared to be gone for good.
    removed_sessions: list[str] = msgspec.field(default=[], name="gone")
    revert_count: int = msgspec.field(default=0, name="tries")  # how often it returned from closing to asking


class PolicyHistoryEntry(msgspec.Struct, frozen=True, array_like=True):
    """The outcome of a change."""

    number: int  # of the proposed version
    wall_ms: float
    taken: bool  # whether the proposed version came into force
    reason: str
    author: str
    digest: str


class PolicyState(msgspec.Struct, frozen=True):
    """The records of the policy, decoded from a document."""

    now: PolicyVersion = PolicyVersion()  # the version in force
    next: PolicyVersion | None = None  # the proposed version
    change: PolicyChange | None = None
    change_revision: int = 0  # the document's revision that last wrote the change
    register: dict[str, str] = {}  # the session that may hold a permit, by scheduler name
    register_revision: int = 0
    history: list[PolicyHistoryEntry] = []
    unreadable_keys: tuple[str, ...] = ()

    def is_closed(self) -> bool:
        """Returns whether no scheduler may accept requests: a change is closing or a record is unreadable."""
        return bool(self.unreadable_keys) or (self.change is not None and self.change.state == "closing")


FIELDS_BY_KEY = {
    CURRENT_KEY: ("now", PolicyVersion),
    PROPOSED_KEY: ("next", PolicyVersion),
    CHANGE_KEY: ("change", PolicyChange),
    REGISTER_KEY: ("register", dict[str, str]),
    HISTORY_KEY: ("history", list[PolicyHistoryEntry]),
}


def read_policy(document: Document) -> PolicyState:
    """Returns the policy's records in a document; `unreadable_keys` lists those that cannot be decoded."""
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
    """Returns a record as JSON, the value of a document entry."""
    return msgspec.json.encode(value).decode()


def policy_digest(text: str) -> str:
    """Returns the digest of a policy's text: the first 16 hex digits of its SHA-256."""
    return hashlib.sha256(text.encode()).hexdigest()[:16]


def scheduler_name(session: str) -> str:
    """Returns the name of a session's scheduler: the session's id without its incarnation."""
    return session.rpartition(".")[0]
