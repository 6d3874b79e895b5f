"""A frontend's table of open connections, which is bounded and evicts the least needed one when full."""

from __future__ import annotations

import weakref
from collections.abc import Callable
from typing import Any, Generic, NamedTuple, Protocol, TypeVar

from tornado.ioloop import IOLoop

#: A message must be complete this long after its first byte; on a new connection, after the accept.
MESSAGE_TIMEOUT_S = 2.4
LINGER_TIMEOUT_S = 2.4  # after the last response, unread input is discarded for this long
EVICTION_GRACE_S = 0.5  # inactivity after which a connection may be evicted within a message
WRITE_STALL_TIMEOUT_S = 2.4  # a connection is closed if its peer reads nothing of a response for this long
READ_AHEAD_BYTES = 32 * 1024  # limit on input read from a connection while its message is being answered

#: Ranks of eviction, first to last. FINISHED: only the peer's close is awaited. SILENT: no message has been
#: received. STALE: idle for more than EVICTION_GRACE_S, and cheap to reopen. PARTIAL: within a message. IDLE:
#: between two messages.
RANK_FINISHED, RANK_SILENT, RANK_STALE, RANK_PARTIAL, RANK_IDLE = range(5)


class TableConnection(Protocol):
    """What the table requires of a connection."""

    is_finished: bool  # the last response is written; only the peer's close is awaited
    last_activity_s: float  # loop time of the last input or change of rank

    def eviction_rank(self, inactive_s: float) -> int | None:
        """Returns one of the ranks above, or None if the connection must not be evicted."""

    def has_no_pending_input(self) -> bool:
        """Returns whether the kernel holds no unread input."""

    def close(self) -> None:
        """Closes the connection at once."""


ConnectionT = TypeVar("ConnectionT", bound=TableConnection)
MAX_RANKING_AGE_S = 0.05  # an order of eviction is reused for this long


class EvictionCandidate(NamedTuple):
    """A connection that may be evicted; sorts by rank, then by the time of its last activity."""

    rank: int
    last_activity_s: float
    number: int  # its position in the scan; unique, so that connections themselves are never compared
    connection: weakref.ref[Any]


class ConnectionTable(Generic[ConnectionT]):
    """The open connections of a frontend; a full table evicts the least needed one.

    Without the bound, the process could run out of descriptors and then fail even to fetch the endpoint list.
    """

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self.connections: set[ConnectionT] = set()
        #: The latest order of eviction; the least needed connection is at the end.
        self.candidates: list[EvictionCandidate] = []
        self.ranked_at_s = 0.0
        self.on_evicted: Callable[[], None] = lambda: None

    def has_room(self) -> bool:
        """Returns whether one more connection fits."""
        return len(self.connections) < self.max_connections

    def make_room(self, max_rank: int = RANK_IDLE) -> bool:
        """Returns whether one more connection fits; a full table evicts one of at most this rank."""
        return self.has_room() or self._evict_next(max_rank)

    def trim(self, target: int) -> None:
        """Evicts connections until target are left, but only those inactive for EVICTION_GRACE_S.

        Connections that are idle between requests are kept, as their next request may be on its way.
        """
        now_s = IOLoop.current().time()
        for candidate in reversed(self._ranked(now_s)):
            if len(self.connections) <= target:
                return
            is_spared = candidate.rank in (RANK_STALE, RANK_IDLE)
            connection = candidate.connection()
            is_inactive = now_s - candidate.last_activity_s >= EVICTION_GRACE_S
            if not is_spared and is_inactive and connection is not None:
                self._evict(connection)

    def _evict_next(self, max_rank: int) -> bool:
        """Closes the least needed connection; returns False if none may be closed.

        During a burst, each new connection evicts another one, so the order is computed once for many
        evictions. Connections accepted since then rank no lower than RANK_SILENT. The order therefore stays
        valid for candidates that are finished or silent, as long as their own state has not changed.
        """
        now_s = IOLoop.current().time()
        is_ranking_new = (
            not self.candidates
            or self.candidates[-1].rank > RANK_SILENT
            or now_s - self.ranked_at_s > MAX_RANKING_AGE_S
        )
        if is_ranking_new:
            self.candidates, self.ranked_at_s = self._ranked(now_s), now_s
        while self.candidates:
            if self.candidates[-1].rank > (max_rank if is_ranking_new else RANK_SILENT):
                break
            candidate = self.candidates.pop()
            connection = candidate.connection()
            if (
                connection is not None
                and self._is_unchanged(connection, candidate, now_s)
                and self._evict(connection)
            ):
                return True
        return False if is_ranking_new else self._evict_next(max_rank)

    def _ranked(self, now_s: float) -> list[EvictionCandidate]:
        candidates = [
            EvictionCandidate(rank, each.last_activity_s, number, weakref.ref(each))
            for number, each in enumerate(self.connections)
            if (rank := each.eviction_rank(now_s - each.last_activity_s)) is not None
        ]
        return sorted(candidates, reverse=True)

    def _is_unchanged(self, connection: ConnectionT, candidate: EvictionCandidate, now_s: float) -> bool:
        return (
            connection in self.connections
            and connection.last_activity_s == candidate.last_activity_s
            and connection.eviction_rank(now_s - connection.last_activity_s) == candidate.rank
        )

    def _evict(self, connection: ConnectionT) -> bool:
        """Closes a connection unless it has unread input, which may be a valid request."""
        if not connection.is_finished and not connection.has_no_pending_input():
            return False
        connection.close()
        self.connections.discard(connection)
        self.on_evicted()
        return True
