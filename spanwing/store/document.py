"""One document of keys, changed by transactions of several keys; its history lets watchers catch up.

Pure. A transaction applies as a whole or not at all, and each change raises the revision by one.
changes_after() returns every change after a revision, or says that the history no longer reaches back. A
transaction is known by its id while it is in the history, so that one with an unknown outcome can be
retried. Bounds: MAX_KEYS keys of MAX_KEY_BYTES, values of MAX_VALUE_BYTES, MAX_DOCUMENT_BYTES in all, and a
history of MAX_HISTORY_CHANGES changes and MAX_HISTORY_BYTES.
"""

from __future__ import annotations

import msgspec

MAX_KEYS, MAX_KEY_BYTES, MAX_VALUE_BYTES = 512, 128, 24 * 1024
MAX_DOCUMENT_BYTES = 64 * 1024
MAX_HISTORY_CHANGES, MAX_HISTORY_BYTES = 64, 24 * 1024


class DocumentEntry(msgspec.Struct, frozen=True, array_like=True):
    """A value, and the revision in which it was written."""

    value: str
    revision: int


class DocumentChange(msgspec.Struct, frozen=True, array_like=True):
    """What one transaction wrote; None: the key was deleted."""

    revision: int
    transaction_id: str
    writes: dict[str, str | None]

    def size_in_bytes(self) -> int:
        """Returns the approximate size of the change in the history, with 40 bytes of overhead."""
        return 40 + sum(len(key) + len(value or "") for key, value in self.writes.items())


class Transaction(msgspec.Struct, frozen=True):
    """Writes that apply only if each key still has its expected revision; 0: the key does not exist."""

    id: str
    writes: dict[str, str | None]
    expected_revisions: dict[str, int] = msgspec.field(default={}, name="at")


class Document(msgspec.Struct, frozen=True):
    """An immutable document; apply() returns the next one."""

    revision: int = 0
    entries: dict[str, DocumentEntry] = {}
    history: tuple[DocumentChange, ...] = ()

    def get_value(self, key: str) -> str | None:
        """Returns the key's value, or None if the key does not exist."""
        entry = self.entries.get(key)
        return None if entry is None else entry.value

    def current_revisions(self, *keys: str) -> dict[str, int]:
        """Returns these keys' revisions, as conditions that they stay unchanged."""
        return {key: self.entries[key].revision if key in self.entries else 0 for key in keys}

    def has_applied(self, transaction_id: str) -> bool:
        """Returns whether this transaction has been applied, as far as the history reaches."""
        return any(each.transaction_id == transaction_id for each in self.history)

    def apply(self, transaction: Transaction) -> Document | None:
        """Returns the document after the transaction, or None if a condition does not hold.

        Returns the document itself if the transaction has been applied already. Raises ValueError if the
        result would exceed the bounds.
        """
        if self.has_applied(transaction.id):
            return self
        if self.current_revisions(*transaction.expected_revisions) != transaction.expected_revisions:
            return None
        revision, entries = self.revision + 1, dict(self.entries)
        for key, value in transaction.writes.items():
            if value is None:
                entries.pop(key, None)
                continue
            if len(key.encode()) > MAX_KEY_BYTES or len(value.encode()) > MAX_VALUE_BYTES:
                raise ValueError(
                    f"{key[:40]!r}: a key has {MAX_KEY_BYTES} bytes at most, a value {MAX_VALUE_BYTES}"
                )
            entries[key] = DocumentEntry(value, revision)
        if (
            len(entries) > MAX_KEYS
            or sum(len(k) + len(e.value) for k, e in entries.items()) > MAX_DOCUMENT_BYTES
        ):
            raise ValueError(
                f"the fleet's state would go beyond {MAX_KEYS} keys or {MAX_DOCUMENT_BYTES} bytes"
            )
        history, size = [DocumentChange(revision, transaction.id, transaction.writes)], 0
        for each in reversed(self.history):
            size += each.size_in_bytes()
            if len(history) >= MAX_HISTORY_CHANGES or size > MAX_HISTORY_BYTES:
                break
            history.append(each)
        return Document(revision, entries, tuple(reversed(history)))

    def changes_after(self, revision: int) -> tuple[DocumentChange, ...] | None:
        """Returns every change after this revision, in order.

        None if the history does not reach so far back, or this document never had the revision.
        """
        if revision == self.revision:
            return ()
        if not self.history or not self.history[0].revision - 1 <= revision < self.revision:
            return None
        return self.history[revision + 1 - self.history[0].revision :]

    def apply_changes(self, changes: tuple[DocumentChange, ...]) -> Document:
        """Returns a watcher's copy with the next changes. Raises ValueError if one is missing between."""
        entries, revision = dict(self.entries), self.revision
        for change in changes:
            if change.revision != revision + 1:
                raise ValueError(f"change {change.revision} does not follow {revision}")
            revision = change.revision
            for key, value in change.writes.items():
                if value is None:
                    entries.pop(key, None)
                else:
                    entries[key] = DocumentEntry(value, revision)
        return Document(revision, entries)


def catch_up(
    local_copy: Document, changes: tuple[DocumentChange, ...] | None, document: Document | None
) -> Document:
    """Returns a watcher's copy after an answer of the leader: with later changes, or the complete document.

    Raises ValueError at a gap.
    """
    if document is not None:
        return document if document.revision > local_copy.revision else local_copy
    later = tuple(each for each in changes or () if each.revision > local_copy.revision)
    return local_copy.apply_changes(later) if later else local_copy


DOCUMENT_DECODER = msgspec.json.Decoder(Document)


def encode_document(document: Document) -> str:
    """Encodes the document as JSON."""
    return msgspec.json.encode(document).decode()


def decode_document(text: str | None) -> Document:
    """Decodes a document; None is an empty one. Raises ValueError if it is malformed."""
    return Document() if text is None else DOCUMENT_DECODER.decode(text)
