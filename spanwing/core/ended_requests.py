"""Remembers the ids of requests that must not run twice and may have run, after they have ended.

A client that has left, or has got no result, may send its request again under the same id when nothing of the
first one is open any more. An id whose client has got the result may be used again.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from spanwing.resources.memory_account import MemoryAccount, MemoryCharge

REMEMBERED_S = 600.0  # since the last attempt ended
MAX_REMEMBERED = 8192
#: An id is not forgotten earlier than this after its last attempt, however many come: by then a job that a
#: worker still runs has passed its deadline.
MIN_REMEMBERED_S = 60.0
ENTRY_BYTES = 256  # of an id and its place in the table


class EndedRequests:
    """The ids of ended requests that may have run, at most MAX_REMEMBERED, oldest first."""

    def __init__(self, now_s: Callable[[], float], account: MemoryAccount) -> None:
        """now_s returns the time in seconds of a monotonic clock."""
        self.now_s, self.ended_at_s = now_s, dict[str, float]()
        self.served: set[str] = set()  # ids whose answer has the result and may still be on its way
        self.charge = MemoryCharge(account, "requests")

    def __contains__(self, request: str) -> bool:
        self._drop_expired()
        return request in self.ended_at_s and request not in self.served

    def __iter__(self) -> Iterator[str]:
        return (each for each in self.ended_at_s if each not in self.served)

    def add(self, request: str, is_served: bool = False) -> None:
        """Remembers an id whose attempt has ended now; forgets the oldest one beyond the bound.

        is_served: its client is being sent the result.
        """
        self._forget(request)
        self.ended_at_s[request] = self.now_s()
        if is_served:
            self.served.add(request)
        if len(self.ended_at_s) > MAX_REMEMBERED:
            self._forget(next(iter(self.ended_at_s)))
        self._drop_expired()
        self.charge.set(ENTRY_BYTES * len(self.ended_at_s))

    def note_undelivered(self, request: str) -> None:
        """Notes that the client of this id left before it had its answer."""
        self.served.discard(request)

    def has_room(self) -> bool:
        """Returns whether one more id can be remembered without forgetting one that is still needed."""
        if len(self.ended_at_s) < MAX_REMEMBERED:
            return True
        oldest_s = next(iter(self.ended_at_s.values()))
        return self.now_s() >= oldest_s + MIN_REMEMBERED_S

    def _drop_expired(self) -> None:
        limit_s = self.now_s() - REMEMBERED_S
        while self.ended_at_s and next(iter(self.ended_at_s.values())) <= limit_s:
            self._forget(next(iter(self.ended_at_s)))

    def _forget(self, request: str) -> None:
        self.ended_at_s.pop(request, None)
        self.served.discard(request)
