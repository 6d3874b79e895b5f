"""The account of the bytes that peers make this process hold: one for the whole process.

What is kept for a peer is charged when it is kept and released by the owner of its end: connections, input
that is not parsed or not complete, waiting requests, messages that are being written. The budget is what the
memory limit leaves beside everything that is not in the account. It is measured again and again, so memory
that nobody charges makes the budget smaller.

Over the budget, new requests are rejected, and of the incomplete messages the largest are given up.
"""

from __future__ import annotations

import math
import weakref
from typing import Protocol

MB = 1024 * 1024
KINDS = ("connections", "input", "requests", "output")
LIMIT_SHARE = 0.75  # of the limit that may be used, where the limit is large
SMALL_LIMIT_BYTES = 56 * MB  # of a smaller limit all but HEADROOM_BYTES may be used
HEADROOM_BYTES = 8 * MB  # for what is held only while a message is decoded
MIN_BUDGET_BYTES = 2 * MB  # however much is used beside the account
LOW_SHARE = 0.9  # of the budget, down to which messages are given up once it is exceeded
MIN_SHED_BYTES = 4096  # an incomplete message that holds less is not given up; call-backs are smaller
CONNECTION_BYTES = 16 * 1024  # a connection without input, with its read buffer
REQUEST_BYTES = 3 * 1024  # a waiting request without its body


class MemoryHolder(Protocol):
    """A connection that may hold an incomplete message."""

    def shed_bytes(self) -> int:
        """Returns the bytes of an incomplete message that may be given up; 0 if there is none."""

    def shed(self) -> None:
        """Gives the message up: answers it as rejected, drops it and ends the connection."""


class MemoryCharge:
    """What one owner has charged to an account."""

    __slots__ = ("account", "held_bytes", "kind")

    def __init__(self, account: MemoryAccount, kind: str) -> None:
        self.account, self.kind, self.held_bytes = account, kind, 0

    def set(self, held_bytes: int) -> None:
        """Changes what is charged."""
        if held_bytes != self.held_bytes:
            difference, self.held_bytes = held_bytes - self.held_bytes, held_bytes
            self.account.change(self.kind, difference)

    def add(self, difference: int) -> None:
        """Changes what is charged by the difference."""
        self.set(self.held_bytes + difference)

    def __del__(self) -> None:
        self.set(0)


class MemoryAccount:
    """The bytes held, by kind, and the budget for them."""

    def __init__(self) -> None:
        self.held_bytes = 0
        self.held_by_kind = dict.fromkeys(KINDS, 0)
        self.budget_bytes = math.inf
        self.shed_count = 0  # incomplete messages given up
        self.holders: weakref.WeakSet[MemoryHolder] = weakref.WeakSet()
        self.is_shedding = False

    def change(self, kind: str, difference: int) -> None:
        """Changes the bytes held by the difference; gives messages up if they exceed the budget."""
        self.held_bytes += difference
        self.held_by_kind[kind] += difference
        if difference > 0 and self.held_bytes > self.budget_bytes:
            self._shed_largest()

    def has_room(self, more_bytes: int = 0) -> bool:
        """Returns whether the bytes held, and so many more, are within the budget."""
        return self.held_bytes + more_bytes <= self.budget_bytes

    def update_budget(self, limit_mb: float, resident_bytes: int) -> None:
        """Computes the budget from the memory limit and the resident memory of the process."""
        limit_bytes = limit_mb * MB
        usable_bytes = min(limit_bytes - HEADROOM_BYTES, max(LIMIT_SHARE * limit_bytes, SMALL_LIMIT_BYTES))
        unaccounted_bytes = resident_bytes - self.held_bytes
        self.budget_bytes = max(MIN_BUDGET_BYTES, usable_bytes - max(0, unaccounted_bytes))
        if not self.has_room():
            self._shed_largest()

    def _shed_largest(self) -> None:
        """Gives up the largest incomplete messages until LOW_SHARE of the budget is held."""
        if self.is_shedding:  # a holder charges its last words
            return
        self.is_shedding = True
        try:
            sizes = [(holder.shed_bytes(), number, holder) for number, holder in enumerate(self.holders)]
            for size, _, holder in sorted(sizes, reverse=True):
                if size < MIN_SHED_BYTES or self.has_room(int((1.0 - LOW_SHARE) * self.budget_bytes)):
                    return
                holder.shed()
                self.shed_count += 1
        finally:
            self.is_shedding = False

    def figures(self) -> dict[str, int]:
        """Returns the figures by name, in KB, and the number of messages given up."""
        budget_kb = 0 if math.isinf(self.budget_bytes) else int(self.budget_bytes) // 1024
        return {
            "held_kb": self.held_bytes // 1024,
            "budget_kb": budget_kb,
            "messages_given_up": self.shed_count,
            **{f"held_{kind}_kb": held // 1024 for kind, held in self.held_by_kind.items()},
        }
