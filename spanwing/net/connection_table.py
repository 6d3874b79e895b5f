"""The connections of a frontend: how many at most, and which one is closed when there is no room."""

from __future__ import annotations

from typing import Generic, Protocol, TypeVar

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

    def eviction_rank(self, unchanged_s: float) -> int | None:
        """Returns one of the ranks above; None: it must not be evicted."""

    def has_no_pending_input(self) -> bool:
        """Returns whether the kernel holds no unread input."""

    def close(self) -> None:
        """Closes the connection at once."""


ConnectionT = TypeVar("ConnectionT", bound=TableConnection)


class ConnectionTable(Generic[ConnectionT]):
    """Bounds the open connections; a full table evicts the least needed one.

    Without the bound the process could run out of descriptors and then not even fetch the endpoint list.
    """

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self.connections: set[ConnectionT] = set()

    def make_room(self) -> bool:
        """Returns whether one more connection fits, if need be after an eviction."""
        return len(self.connections) < self.max_connections or self._evict_one()

    def trim(self, target: int) -> None:
        """Evicts unused connections beyond this many.

        Only those unused for PARTIAL_MESSAGE_S are closed. Connections that are idle between requests, or
        new, are spared: their next request may be under way.
        """
        while len(self.connections) > target and self._evict_one((RANK_STALE, RANK_IDLE), PARTIAL_MESSAGE_S):
            pass

    def _evict_one(self, spared_ranks: tuple[int, ...] = (), unchanged_s: float = 0.0) -> bool:
        """Closes one connection whose rank is not spared and unchanged for this long (s)."""
        now = IOLoop.current().time()
        ranked = [
            (rank, each.last_activity_s, number, each)
            for number, each in enumerate(self.connections)
            if (rank := each.eviction_rank(now - each.last_activity_s)) is not None
            and rank not in spared_ranks
            and now - each.last_activity_s >= unchanged_s
        ]
        for *_, each in sorted(ranked):
            # Unread input in the kernel may be a valid request, which a close would lose.
            if each.is_finished or each.has_no_pending_input():
                each.close()
                self.connections.discard(each)
                return True
        return False
