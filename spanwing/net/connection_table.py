"""The connections of a frontend: how many at most, and which one is closed when there is no room."""

from __future__ import annotations

from typing import Any, Generic, NamedTuple, Protocol, TypeVar

from tornado.ioloop import IOLoop

MESSAGE_TIMEOUT_S = (
    2.4  # from its first byte (on a new connection: from accept) until a message must be complete
)
LINGER_TIMEOUT_S = 2.4  # after the last response, unread input is discarded for this long
PARTIAL_MESSAGE_S = 0.5  # if the table is full, an incomplete message may be cut off after this
WRITE_STALL_TIMEOUT_S = 2.4  # a response of which the peer reads nothing for this long is abandoned
READ_AHEAD_BYTES = 32 * 1024  # bytes read ahead on one connection while its message is answered

#: Ranks by which connections are evicted, first to last.
RANK_FINISHED, RANK_SILENT, RANK_STALE, RANK_PARTIAL, RANK_IDLE = range(
    5
)  # STALE: idle for PARTIAL_MESSAGE_S, and easily reopened


class TableConnection(Protocol):
    """A connection as the table sees it."""

    is_finished: bool  # the last response is written, the peer has not closed yet
    last_activity_s: float  # start of its present state (loop time, s)

    def eviction_rank(self, inactive_s: float) -> int | None:
        """Returns one of the ranks above; None: it must not be evicted."""

    def has_no_pending_input(self) -> bool:
        """Returns whether the kernel holds no unread input."""

    def close(self) -> None:
        """Closes the connection at once."""


ConnectionT = TypeVar("ConnectionT", bound=TableConnection)
RANKING_AGE_S = 0.05  # the order of eviction is found anew after this


class EvictionCandidate(NamedTuple):
    """A connection that may be closed, ordered by how little it is needed."""

    rank: int
    last_activity_s: float
    number: int  # its place in the scan; unique, so that connections are never compared
    connection: Any


class ConnectionTable(Generic[ConnectionT]):
    """Bounds the open connections; a full table evicts the least needed one.

    Without the bound the process could run out of descriptors and then not even fetch the endpoint list.
    """

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self.connections: set[ConnectionT] = set()
        #: The order of eviction as found last, the least needed connection at the end.
        self.candidates: list[EvictionCandidate] = []
        self.ranked_s = 0.0

    def make_room(self) -> bool:
        """Returns whether one more connection fits, if need be after an eviction."""
        return len(self.connections) < self.max_connections or self._evict_next()

    def trim(self, target: int) -> None:
        """Evicts unused connections beyond this many.

        Only those unused for PARTIAL_MESSAGE_S are closed. Connections that are idle between requests, or
        new, are spared: their next request may be under way.
        """
        now = IOLoop.current().time()
        for candidate in reversed(self._ranked(now)):
            if len(self.connections) <= target:
                return
            is_spared = candidate.rank in (RANK_STALE, RANK_IDLE)
            if not is_spared and now - candidate.last_activity_s >= PARTIAL_MESSAGE_S:
                self._evict(candidate.connection)

    def _evict_next(self) -> bool:
        """Closes the least needed connection; returns False if none may be closed.

        Under a crowd each new connection evicts one, so the order is found once for many of them. Those that
        came since then are silent at least, so it counts for candidates that are silent or finished, while
        their own state is unchanged.
        """
        now = IOLoop.current().time()
        is_new = (
            not self.candidates
            or self.candidates[-1].rank > RANK_SILENT
            or now - self.ranked_s > RANKING_AGE_S
        )
        if is_new:
            self.candidates, self.ranked_s = self._ranked(now), now
        while self.candidates:
            if not is_new and self.candidates[-1].rank > RANK_SILENT:
                break
            candidate = self.candidates.pop()
            if self._is_unchanged(candidate, now) and self._evict(candidate.connection):
                return True
        return False if is_new else self._evict_next()

    def _ranked(self, now: float) -> list[EvictionCandidate]:
        candidates = [
            EvictionCandidate(rank, each.last_activity_s, number, each)
            for number, each in enumerate(self.connections)
            if (rank := each.eviction_rank(now - each.last_activity_s)) is not None
        ]
        return sorted(candidates, reverse=True)

    def _is_unchanged(self, candidate: EvictionCandidate, now: float) -> bool:
        each = candidate.connection
        return (
            each in self.connections
            and each.last_activity_s == candidate.last_activity_s
            and each.eviction_rank(now - each.last_activity_s) == candidate.rank
        )

    def _evict(self, connection: ConnectionT) -> bool:
        """Closes a connection, unless the kernel holds unread input of it: it may be a valid request."""
        if not connection.is_finished and not connection.has_no_pending_input():
            return False
        connection.close()
        self.connections.discard(connection)
        return True
