"""The connections that a front holds: so many at most, and which one goes when there is no room."""

from __future__ import annotations

from typing import Generic, Protocol, TypeVar

from tornado.ioloop import IOLoop

MESSAGE_TIMEOUT_S = (
    2.4  # a message must be there whole so long after its first byte, a connection's first after accept
)
LINGER_TIMEOUT_S = 2.4  # after a last answer, unread input is passed over so long
PARTIAL_MESSAGE_S = 0.5  # a message that has begun may be cut off after this, if the table is full
WRITE_STALL_TIMEOUT_S = 2.4  # an answer of which nothing is taken for so long is given up
READ_AHEAD_BYTES = 32 * 1024  # bytes that one connection may pile up while its message is answered

#: How soon a connection goes, first to last.
RANK_FINISHED, RANK_SILENT, RANK_STALE, RANK_PARTIAL, RANK_IDLE = range(
    5
)  # STALE: idle for HALF_S, and easily opened anew


class TableConnection(Protocol):
    """A connection as the table sees it."""

    is_finished: bool  # the last answer is written, the other side has not closed yet
    last_activity_s: float  # when it began to do what it does now

    def eviction_rank(self, unchanged_s: float) -> int | None:
        """One of the ranks above; None: it must stay."""

    def has_no_pending_input(self) -> bool:
        """Whether nothing lies unread in the kernel."""

    def close(self) -> None: ...


ConnectionT = TypeVar("ConnectionT", bound=TableConnection)


class ConnectionTable(Generic[ConnectionT]):
    """Past the limit on descriptors not even the list could be asked for: the least needed one gives way."""

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self.connections: set[ConnectionT] = set()

    def make_room(self) -> bool:
        """Whether one more may come, if need be in the place of another."""
        return len(self.connections) < self.max_connections or self._evict_one()

    def trim(self, target: int) -> None:
        """What has been of no use for a while and stands beyond this many goes at once; a connection that
        idles between requests stays, and a fresh one: its next request may be under way."""
        while len(self.connections) > target and self._evict_one((RANK_STALE, RANK_IDLE), PARTIAL_MESSAGE_S):
            pass

    def _evict_one(self, spared_ranks: tuple[int, ...] = (), unchanged_s: float = 0.0) -> bool:
        """Close one of a rank that is not spared, and that has been so for so long."""
        now = IOLoop.current().time()
        ranked = [
            (rank, each.last_activity_s, number, each)
            for number, each in enumerate(self.connections)
            if (rank := each.eviction_rank(now - each.last_activity_s)) is not None
            and rank not in spared_ranks
            and now - each.last_activity_s >= unchanged_s
        ]
        for *_, each in sorted(ranked):
            # What the kernel holds for us unread may be a good client's request: closing then would lose it.
            if each.is_finished or each.has_no_pending_input():
                each.close()
                self.connections.discard(each)
                return True
        return False
