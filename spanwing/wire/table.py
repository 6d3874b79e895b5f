"""The connections that a front holds: so many at most, and which one goes when there is no room."""

from __future__ import annotations

from typing import Generic, Protocol, TypeVar

from tornado.ioloop import IOLoop

WHOLE_S = 2.4  # a message must be there whole so long after its first byte, a connection's first after accept
LINGER_S = 2.4  # after a last answer, unread input is passed over so long
HALF_S = 0.5  # a message that has begun may be cut off after this, if the table is full
STUCK_S = 2.4  # an answer of which nothing is taken for so long is given up
READ_AHEAD = 32 * 1024  # bytes that one connection may pile up while its message is answered

#: How soon a connection goes, first to last.
OVER, SILENT, STALE, HALF, IDLE = range(5)  # STALE: idle for HALF_S, and easily opened anew


class Seat(Protocol):
    """A connection as the table sees it."""

    over: bool  # the last answer is written, the other side has not closed yet
    since: float  # when it began to do what it does now

    def rank(self, waited_s: float) -> int | None:
        """One of the ranks above; None: it must stay."""

    def silent(self) -> bool:
        """Whether nothing lies unread in the kernel."""

    def close(self) -> None: ...


Each = TypeVar("Each", bound=Seat)


class Table(Generic[Each]):
    """Past the limit on descriptors not even the list could be asked for: the least needed one gives way."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.seats: set[Each] = set()

    def room(self) -> bool:
        """Whether one more may come, if need be in the place of another."""
        return len(self.seats) < self.most or self._make_room()

    def trim(self, most: int) -> None:
        """What has been of no use for a while and stands beyond this many goes at once; a connection that
        idles between requests stays, and a fresh one: its next request may be under way."""
        while len(self.seats) > most and self._make_room((STALE, IDLE), HALF_S):
            pass

    def _make_room(self, spared: tuple[int, ...] = (), waited_s: float = 0.0) -> bool:
        """Close one of a rank that is not spared, and that has been so for so long."""
        now = IOLoop.current().time()
        ranked = [
            (rank, each.since, number, each)
            for number, each in enumerate(self.seats)
            if (rank := each.rank(now - each.since)) is not None
            and rank not in spared
            and now - each.since >= waited_s
        ]
        for *_, each in sorted(ranked):
            # What the kernel holds for us unread may be a good client's request: closing then would lose it.
            if each.over or each.silent():
                each.close()
                self.seats.discard(each)
                return True
        return False
