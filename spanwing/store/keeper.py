"""Sessions of the schedulers, as the keeper has them, and who keeps: pure, time passed in.

Guarantees: a lease is granted only for a renewal that had come before a read by majority began which showed
that we still keep (docs/design/zones.md has the proof); lapsed() holds only once a session's holder can act
no more, also
for sessions that an earlier keeper granted. An answer names every change after the revision that was asked
with. Bounds: MOST_SESSIONS, one waiting renewal each, forgotten FORGET_MS after they lapsed.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import msgspec

from spanwing.store.document import Document, Txn
from spanwing.store.lease import lapsed_at
from spanwing.store.messages import Granted, Renew

KEEPER = "keeper"  # the key that says who keeps
HOLD_MS = 400.0  # a renewal that nothing is new for is answered after this
QUIET_MS = 1000.0  # another member keeps if the keeper has not read for this, and up to as much more
LOOK_MS, LOOKERS = 500.0, 8  # so many schedulers are asked to look so often at most
MOST_SESSIONS = 1000
FORGET_MS = 60_000.0
LONGEST_NAME = 80


class Keeps(msgspec.Struct, frozen=True):
    """Who keeps; each taking over has the next term."""

    member: str
    term: int


@dataclass(slots=True)
class Poll:
    """A renewal that waits for its answer."""

    message: Renew
    answer: Callable[[Granted], None]
    came: float
    confirmed: bool = False


@dataclass(slots=True)
class Session:
    """A scheduler in one life."""

    id: str
    zone: str
    position: int
    seen: int  # the revision that it follows, and so has acknowledged
    confirmed: float = -math.inf  # when a renewal was last granted, by our clock
    poll: Poll | None = None
    fresh: float = -math.inf  # when its last renewal came


class Mind(Protocol):
    """Decides what the document becomes while we keep."""

    def look(self, now: float) -> None:
        """Called now and then at every member: what has to be known already when it comes to keep."""

    def heard(self, now: float, session: Session, payload: msgspec.Raw) -> None:
        """What a renewal brought."""

    def wonders(self, now: float, keeper: Keeper) -> tuple[str, ...]:
        """What some schedulers should look at, as too few have seen it."""

    def decide(self, now: float, document: Document, keeper: Keeper) -> Txn | None:
        """The next change, if one is due."""

    def order(
        self, now: float, order: msgspec.Raw, document: Document, keeper: Keeper
    ) -> tuple[Txn | None, str]:
        """What an order comes to: a change, or none; and what is said of it. Raises ValueError: refused."""


class Permits(Protocol):
    """Grants what lasts for longer than a lease, to sessions that the document names."""

    def heard(self, session: str, says: msgspec.Raw) -> None:
        """What a renewal brought. Raises ValueError."""

    def permit(self, session: str, document: Document) -> float:
        """For how many ms; 0: none."""


class Keeper:
    """One member's part."""

    permits: Permits | None = None

    def __init__(
        self, member: str, lease_ms: float, mind: Mind, now: float, draw: Callable[[], float]
    ) -> None:
        """draw: a number from 0 to 1 at random."""
        self.member, self.lease_ms, self.mind, self.draw = member, lease_ms, mind, draw
        self.document, self.sessions = Document(), dict[str, Session]()
        self.since = now  # when we took over, or began
        self.heard_at = now  # when the keeper last showed that it reads
        self.asked_at = -math.inf  # when we last had schedulers look at something
        self.patience = QUIET_MS * (1.0 + draw())
        self.refused = 0  # renewals that were none

    def keeps(self) -> Keeps | None:
        text = self.document.value(KEEPER)
        return None if text is None else msgspec.json.decode(text, type=Keeps)

    def ours(self) -> bool:
        keeps = self.keeps()
        return keeps is not None and keeps.member == self.member

    def read_by(self, now: float, member: str) -> None:
        """A member has read the document; where it is the keeper, it lives."""
        keeps = self.keeps()
        if keeps is not None and keeps.member == member:
            self.heard_at = now

    def renew(self, now: float, message: Renew, answer: Callable[[Granted], None]) -> None:
        """A renewal has come to us as the keeper; it is answered once, now or by due()."""
        if not 0 < len(message.session) <= LONGEST_NAME or message.seen < 0:
            self.refused += 1
            answer(Granted(message.n, why="no renewal of ours"))
            return
        session = self.sessions.get(message.session)
        if session is None:
            if len(self.sessions) >= MOST_SESSIONS:
                self.refused += 1
                answer(Granted(message.n, why=f"{MOST_SESSIONS} sessions are all that are kept"))
                return
            session = self.sessions[message.session] = Session(
                message.session, message.zone, message.position, message.seen
            )
        if session.poll is not None:
            self._answer(session)
        session.fresh = now
        session.poll = Poll(message, answer, now)
        try:
            if self.permits is not None and bytes(message.says) != b"null":
                self.permits.heard(session.id, message.says)
            self.mind.heard(now, session, message.payload)
        except ValueError:
            self.refused += 1

    def wants_read(self) -> bool:
        return any(each.poll is not None and not each.poll.confirmed for each in self.sessions.values())

    def read(self, now: float, begun: float, document: Document) -> None:
        """The document as a majority has it, from a read that began then."""
        was, before = self.ours(), self.document.value(KEEPER)
        if document.revision >= self.document.revision:
            self.document = document
        if self.document.value(KEEPER) != before:
            self.heard_at = now  # whoever keeps now has its own time to show that it lives
        if not self.ours():
            if was:
                self.drop("another member keeps now")
            return
        if not was:
            self._begin(now)
        self.heard_at = now
        for session in self.sessions.values():
            poll = session.poll
            if poll is None or poll.came > begun or poll.confirmed:
                continue
            if poll.message.seen > document.revision:  # a number from the future: no document of ours had it
                self.refused += 1
                session.poll = None
                poll.answer(Granted(poll.message.n, why=f"revision {poll.message.seen} is none of ours"))
                continue
            poll.confirmed, session.confirmed, session.seen = True, now, poll.message.seen

    def changed(self, now: float, document: Document) -> None:
        """A change of ours has been taken by a majority."""
        was = self.ours()
        self.document = document
        if self.ours() and not was:
            self._begin(now)

    def _begin(self, now: float) -> None:
        """We keep from now on: whatever was granted before may be in use for one more lease."""
        self.since = now

    def due(self, now: float) -> None:
        """Answer what can be answered."""
        if self.ours() and now - self.asked_at >= LOOK_MS and (look := self.mind.wonders(now, self)):
            waiting = [each for each in self.sessions.values() if each.poll and each.poll.confirmed]
            if waiting:
                self.asked_at = now
            for _ in range(min(LOOKERS, len(waiting))):
                self._answer(waiting.pop(int(self.draw() * len(waiting))), look)
        for session in self.sessions.values():
            poll = session.poll
            if (
                poll is not None
                and poll.confirmed
                and (self.document.revision > poll.message.seen or now - poll.came >= HOLD_MS)
            ):
                self._answer(session)
        for each in [
            each
            for each in self.sessions.values()
            if each.poll is None and now - max(each.fresh, self.since) > FORGET_MS
        ]:
            del self.sessions[each.id]

    def _answer(self, session: Session, look: tuple[str, ...] = ()) -> None:
        poll, session.poll = session.poll, None
        if not poll.confirmed:
            poll.answer(Granted(poll.message.n, why="renewed again"))
            return
        changes = self.document.changes_after(poll.message.seen)
        whole = self.document if changes is None else None
        permit = 0.0 if self.permits is None else self.permits.permit(session.id, self.document)
        poll.answer(Granted(poll.message.n, self.lease_ms, "", changes, whole, look, permit))

    def drop(self, why: str) -> None:
        """We do not keep: nobody waits here for nothing."""
        for session in self.sessions.values():
            poll, session.poll = session.poll, None
            if poll is not None:
                poll.answer(Granted(poll.message.n, why=why))
        self.sessions.clear()

    def lapsed(self, session: str, now: float) -> bool:
        """Whether this session's holder can act no more; it never can again without a new grant."""
        known = self.sessions.get(session)
        confirmed = self.since if known is None else max(self.since, known.confirmed)
        return now >= lapsed_at(confirmed, self.lease_ms)

    def in_contact(self, now: float) -> list[Session]:
        """Those that hold a lease of ours, as far as we know."""
        return [
            each
            for each in self.sessions.values()
            if each.confirmed > -math.inf and now < lapsed_at(each.confirmed, self.lease_ms)
        ]

    def acknowledged(self, revision: int, sessions: list[str], now: float) -> bool:
        """Whether each of these follows this revision, or has lapsed."""
        for each in sessions:
            known = self.sessions.get(each)
            if not self.lapsed(each, now) and (known is None or known.seen < revision):
                return False
        return True

    def quiet(self, now: float) -> bool:
        """Whether the keeper has been silent for so long that we should keep."""
        return not self.ours() and now - self.heard_at > self.patience

    def take_over(self, now: float, id: str) -> Txn:
        """The change by which we keep. Another try waits anew."""
        self.heard_at, self.patience = now, QUIET_MS * (1.0 + self.draw())
        keeps = self.keeps()
        mine = Keeps(self.member, 1 if keeps is None else keeps.term + 1)
        return Txn(id, {KEEPER: msgspec.json.encode(mine).decode()}, self.document.at(KEEPER))

    def as_keeper(self, txn: Txn) -> Txn:
        """The change on the condition that we still keep."""
        return Txn(txn.id, txn.writes, {**txn.at, **self.document.at(KEEPER)})
