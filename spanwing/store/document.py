"""A versioned document of keys and values, with a history of its last changes for watchers.

Pure. A transaction applies as a whole or not at all, and raises the document's revision by one. A transaction
that is still in the history has no effect if it is applied again, so one with an unknown outcome can be
retried. A watcher that missed more changes than the history contains needs the complete document.

Bounds: MAX_KEYS keys of MAX_KEY_BYTES, values of MAX_VALUE_BYTES, MAX_DOCUMENT_BYTES in all, and a history of
MAX_HISTORY_CHANGES changes. The changes before the last one have at most MAX_HISTORY_BYTES. The sizes of the
document and of the history are approximate, as characters are counted instead of bytes.
"""

from __future__ import annotations

import msgspec

MAX_KEYS, MAX_KEY_BYTES, MAX_VALUE_BYTES = 512, 128, 24 * 1024
MAX_DOCUMENT_BYTES = 64 * 1024
MAX_HISTORY_CHANGES, MAX_HISTORY_BYTES = 64, 24 * 1024
MAX_SCHEDULER_NAME_LENGTH = 24  # characters of the name under which a session is registered


class DocumentEntry(msgspec.Struct, frozen=True, array_like=True):
    """The value of a key, and the revision that wrote it."""

    value: str
    revision: int


class DocumentChange(msgspec.Struct, frozen=True, array_like=True):
    """The writes of one transaction. If a written value is None, the key was deleted."""

    revision: int
    transaction_id: str
    writes: dict[str, str | None]

    def size_in_bytes(self) -> int:
        """Returns the approximate size of the change in the history: its text plus 40 bytes of overhead."""
        return 40 + sum(len(key) + len(value or "") for key, value in self.writes.items())


class Transaction(msgspec.Struct, frozen=True):
    """Writes that apply only if each key in expected_revisions still has that revision.

    Revision 0 means that the key does not exist. A written value of None deletes the key.
    """

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
        """Returns the revisions of these keys, 0 for a missing key, for use as expected_revisions."""
        return {key: self.entries[key].revision if key in self.entries else 0 for key in keys}

    def has_applied(self, transaction_id: str) -> bool:
        """Returns whether the history contains this transaction."""
        return any(each.transaction_id == transaction_id for each in self.history)

    def apply(self, transaction: Transaction) -> Document | None:
        """Returns the document after the transaction, or None if an expected revision differs.

        Returns this document itself if the history contains the transaction. Raises ValueError if the
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
                    f"{key[:40]!r}: the key exceeds {MAX_KEY_BYTES} bytes or its value {MAX_VALUE_BYTES}"
                )
            entries[key] = DocumentEntry(value, revision)
        if (
            len(entries) > MAX_KEYS
            or sum(len(name) + len(entry.value) for name, entry in entries.items()) > MAX_DOCUMENT_BYTES
        ):
            raise ValueError(f"the fleet's state would exceed {MAX_KEYS} keys or {MAX_DOCUMENT_BYTES} bytes")
        history, size_bytes = [DocumentChange(revision, transaction.id, transaction.writes)], 0
        for each in reversed(self.history):
            size_bytes += each.size_in_bytes()
            if len(history) >= MAX_HISTORY_CHANGES or size_bytes > MAX_HISTORY_BYTES:
                break
            history.append(each)
        return Document(revision, entries, tuple(reversed(history)))

    def changes_after(self, revision: int) -> tuple[DocumentChange, ...] | None:
        """Returns every change after this revision, in order.

        Returns None if the history does not reach back that far, or if the document has no such revision.
        """
        if revision == self.revision:
            return ()
        if not self.history or not self.history[0].revision - 1 <= revision < self.revision:
            return None
        return self.history[revision + 1 - self.history[0].revision :]

    def apply_changes(self, changes: tuple[DocumentChange, ...]) -> Document:
        """Returns this copy of the document after further changes. Raises ValueError if one is missing."""
        entries, revision = dict(self.entries), self.revision
        for change in changes:
            if change.revision != revision + 1:
                raise ValueError(f"change {change.revision} does not follow revision {revision}")
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
    """Returns a watcher's copy of the document, brought up to date by a reply of the leader.

    The reply has either the later changes or the complete document. Revisions that the copy already has are
    ignored. Raises ValueError if a change is missing.
    """
    if document is not None:
        return document if document.revision > local_copy.revision else local_copy
    later = tuple(each for each in changes or () if each.revision > local_copy.revision)
    return local_copy.apply_changes(later) if later else local_copy


DOCUMENT_DECODER = msgspec.json.Decoder(Document)


def encode_document(document: Document) -> str:
    """Returns the document as JSON."""
    return msgspec.json.encode(document).decode()


def decode_document(text: str | None) -> Document:
    """Returns the decoded document, an empty one for None. Raises ValueError if the text is malformed."""
    return Document() if text is None else DOCUMENT_DECODER.decode(text)
