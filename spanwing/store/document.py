"""One document of keys, changed by transactions of several keys at once; its history lets watchers catch up.

Guarantees: pure. A transaction holds or changes nothing. Revisions go up by one at each change.
changes_after() names every change after a revision, or says that the history no longer reaches back. A
transaction is known by its id while it is in the history, so that one whose outcome was not heard can be
asked for again. Bounds: MOST_KEYS keys of LONGEST_KEY bytes, values of LONGEST_VALUE, LARGEST bytes in all,
KEPT changes and KEPT_BYTES of history.
"""

from __future__ import annotations

import msgspec

MOST_KEYS, LONGEST_KEY, LONGEST_VALUE = 512, 128, 24 * 1024
LARGEST = 64 * 1024
KEPT, KEPT_BYTES = 64, 24 * 1024


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """A value, and the revision that it came with."""

    value: str
    revision: int


class Change(msgspec.Struct, frozen=True, array_like=True):
    """What one transaction wrote; None: a key that went."""

    revision: int
    id: str
    writes: dict[str, str | None]

    def size(self) -> int:
        return 40 + sum(len(key) + len(value or "") for key, value in self.writes.items())


class Txn(msgspec.Struct, frozen=True):
    """Writes that hold only if each named key is still at its revision; 0: it is not there."""

    id: str
    writes: dict[str, str | None]
    at: dict[str, int] = {}


class Document(msgspec.Struct, frozen=True):
    """Never changed: apply() makes another one."""

    revision: int = 0
    entries: dict[str, Entry] = {}
    history: tuple[Change, ...] = ()

    def value(self, key: str) -> str | None:
        entry = self.entries.get(key)
        return None if entry is None else entry.value

    def at(self, *keys: str) -> dict[str, int]:
        """The conditions that these keys stay as they are."""
        return {key: self.entries[key].revision if key in self.entries else 0 for key in keys}

    def knows(self, id: str) -> bool:
        """Whether this transaction has taken hold, as far as the history reaches."""
        return any(each.id == id for each in self.history)

    def apply(self, txn: Txn) -> Document | None:
        """The document with the transaction; itself where that has taken hold already; None where a condition
        does not hold. Raises ValueError where it goes beyond the bounds."""
        if self.knows(txn.id):
            return self
        if self.at(*txn.at) != txn.at:
            return None
        revision, entries = self.revision + 1, dict(self.entries)
        for key, value in txn.writes.items():
            if value is None:
                entries.pop(key, None)
                continue
            if len(key.encode()) > LONGEST_KEY or len(value.encode()) > LONGEST_VALUE:
                raise ValueError(
                    f"{key[:40]!r}: a key has {LONGEST_KEY} bytes at most, a value {LONGEST_VALUE}"
                )
            entries[key] = Entry(value, revision)
        if len(entries) > MOST_KEYS or sum(len(k) + len(e.value) for k, e in entries.items()) > LARGEST:
            raise ValueError(f"the fleet's state would go beyond {MOST_KEYS} keys or {LARGEST} bytes")
        history, size = [Change(revision, txn.id, txn.writes)], 0
        for each in reversed(self.history):
            size += each.size()
            if len(history) >= KEPT or size > KEPT_BYTES:
                break
            history.append(each)
        return Document(revision, entries, tuple(reversed(history)))

    def changes_after(self, revision: int) -> tuple[Change, ...] | None:
        """Every change after this revision, in order; None where the history does not reach so far back, or
        where the revision is none of ours."""
        if revision == self.revision:
            return ()
        if not self.history or not self.history[0].revision - 1 <= revision < self.revision:
            return None
        return self.history[revision + 1 - self.history[0].revision :]

    def follow(self, changes: tuple[Change, ...]) -> Document:
        """A watcher's copy with the next changes. Raises ValueError where one is missing between."""
        entries, revision = dict(self.entries), self.revision
        for change in changes:
            if change.revision != revision + 1:
                raise ValueError(f"change {change.revision} does not follow {revision}")
            revision = change.revision
            for key, value in change.writes.items():
                if value is None:
                    entries.pop(key, None)
                else:
                    entries[key] = Entry(value, revision)
        return Document(revision, entries)


def caught_up(mine: Document, changes: tuple[Change, ...] | None, whole: Document | None) -> Document:
    """A watcher's copy after an answer of the keeper: later changes, or the whole. Raises ValueError at a
    gap."""
    if whole is not None:
        return whole if whole.revision > mine.revision else mine
    later = tuple(each for each in changes or () if each.revision > mine.revision)
    return mine.follow(later) if later else mine


DECODER = msgspec.json.Decoder(Document)


def encode(document: Document) -> str:
    return msgspec.json.encode(document).decode()


def decode(text: str | None) -> Document:
    """Raises ValueError where it is none."""
    return Document() if text is None else DECODER.decode(text)
