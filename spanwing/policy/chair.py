"""At the member that keeps: registers schedulers, and brings a change of policy to its one end.

Guarantees: pure, time passed in; each change of the document holds only if what it was made from still
stands. A version comes in force only once every session that may hold a permit has acknowledged that the
former is closed, or can act no more (docs/design/policy.md has the proof). Bounds: one change, MOST_NAMES
names, one word and one time for each.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from typing import NamedTuple, Protocol

import msgspec

from spanwing.policy.record import (
    CHANGE,
    HISTORY,
    LONGEST,
    LONGEST_NAME,
    MOST_NAMES,
    NEXT,
    NOW,
    PAST,
    REGISTER,
    Change,
    Past,
    Policy,
    Version,
    digest,
    encode,
    name_of,
    read,
)
from spanwing.store.document import Document, Txn
from spanwing.store.lease import lapsed_at

CLOSE_MS = 200.0  # jobs wait while a change is closing: after this it goes back to asking
FRESH_MS = 1000.0  # closing begins only if everybody was heard of within this
AGAIN_MS = 500.0  # and not sooner than this after it had to go back
LONGEST_REASON = 200


class Says(msgspec.Struct, frozen=True, array_like=True):
    """What a renewal brings of the policy."""

    wants: bool = False  # a permit
    change: str = ""  # the id of the change that was looked at
    no: str = ""  # why it cannot be taken over; empty: ready


class Known(Protocol):
    """A session as the keeper has it."""

    confirmed: float
    seen: int


class Keeps(Protocol):
    """What is asked of the keeper."""

    since: float
    sessions: Mapping[str, Known]


class Bounds(NamedTuple):
    """From the operator's file."""

    away_ms: float  # a permit


class Chair:
    """The keeper's mind for the policy."""

    def __init__(self, bounds: Bounds, wall_ms: Callable[[], float], draw: Callable[[], str]) -> None:
        """draw: an id for a change."""
        self.bounds, self.wall_ms, self.draw = bounds, wall_ms, draw
        self.words: dict[str, Says] = {}  # by session: the last
        self.confirmed: dict[str, float] = {}  # by session: when a permit of it was last granted, or may be
        self.entered: tuple[int, float] = (0, 0.0)  # the change's number, and when we first saw it
        self.begun: tuple[str, float] = ("", 0.0)  # the change's id, and since when we know of it
        self.ours_since = -math.inf
        self.first = ""  # the policy that a fleet without any begins with

    # -- what comes in

    def heard(self, session: str, says: Says | msgspec.Raw) -> None:
        """Raises ValueError where it says nothing of ours."""
        self.words[session] = says if isinstance(says, Says) else msgspec.json.decode(says, type=Says)

    def permit(self, session: str, document: Document) -> float:
        return self.bounds.away_ms if self.may_hold(session, document) else 0.0

    def may_hold(self, session: str, document: Document) -> bool:
        """Whether a permit may be granted to this session: the document names it. Asked after the read that
        confirms the renewal."""
        return read(document).register.get(name_of(session)) == session

    # -- who may still act

    def _note(self, now: float, keeper: Keeps, policy: Policy) -> None:
        if keeper.since != self.ours_since:  # we keep anew: whatever was granted before may still be held
            self.ours_since, self.confirmed = keeper.since, {}
        registered = set(policy.register.values())
        self.confirmed = {id: at for id, at in self.confirmed.items() if id in registered}
        self.words = {id: says for id, says in self.words.items() if id in keeper.sessions}
        for id in registered:
            known = keeper.sessions.get(id)
            if known is not None and known.confirmed > -math.inf:
                self.confirmed[id] = max(known.confirmed, self.confirmed.get(id, -math.inf))
        change = policy.change
        if change is not None and self.entered[0] != policy.change_number:
            self.entered = policy.change_number, now
        if change is not None and self.begun[0] != change.id:
            self.begun = change.id, now

    def lapsed(self, now: float, session: str, keeper: Keeps) -> bool:
        """Whether its permit has ended, whoever granted it."""
        granted = max(keeper.since, self.confirmed.get(session, -math.inf))
        return now >= lapsed_at(granted, self.bounds.away_ms)

    def _can_act(self, now: float, policy: Policy, keeper: Keeps) -> dict[str, str]:
        """Sessions that may hold a permit, by name."""
        gone = set(policy.change.gone) if policy.change is not None else set()
        return {
            name: session
            for name, session in policy.register.items()
            if session not in gone and not self.lapsed(now, session, keeper)
        }

    def waits_for(self, now: float, document: Document, keeper: Keeps) -> dict[str, str]:
        """By name, why the change has not gone on."""
        policy = read(document)
        change = policy.change
        if change is None:
            return {}
        found = {}
        for name, session in self._can_act(now, policy, keeper).items():
            known, says = keeper.sessions.get(session), self.words.get(session, Says())
            if known is None or now - known.confirmed > FRESH_MS:
                found[name] = "is not in contact"
            elif change.state == "closing":
                if known.seen < policy.change_number:
                    found[name] = "has not said that it takes nothing"
            elif says.change != change.id:
                found[name] = "has not answered"
            elif says.no:
                found[name] = f"no: {says.no}"
        return found

    # -- what comes out

    def decide(self, now: float, document: Document, keeper: Keeps) -> Txn | None:
        policy = read(document)
        if policy.unread:
            return None
        self._note(now, keeper, policy)
        if policy.now.number == 0 and self.first:
            first = Version(1, digest(self.first), self.first, "the first keeper's file", "", self.wall_ms())
            return Txn(self.draw(), {NOW: encode(first)}, document.at(NOW))
        return self._register(policy, keeper, document) or self._change(now, policy, keeper, document)

    def _register(self, policy: Policy, keeper: Keeps, document: Document) -> Txn | None:
        """All that ask for a permit and are not in the register, in one change."""
        register = dict(policy.register)
        for session, says in self.words.items():
            name, known = name_of(session), keeper.sessions.get(session)
            if (
                says.wants
                and known is not None
                and known.confirmed > -math.inf
                and 0 < len(name)
                and len(name) <= LONGEST_NAME
                and register.get(name) != session
                and (name in register or len(register) < MOST_NAMES)
            ):
                register[name] = session
        if register == policy.register:
            return None
        return Txn(self.draw(), {REGISTER: encode(register)}, document.at(REGISTER))

    def _change(self, now: float, policy: Policy, keeper: Keeps, document: Document) -> Txn | None:
        change = policy.change
        if change is None or policy.next is None:
            return None
        waits, since = self.waits_for(now, document, keeper), now - self.entered[1]
        no = [f"{name} {why}" for name, why in waits.items() if why.startswith("no: ")]
        if no:
            return self._end(policy, document, False, no[0])
        if change.state == "closing":
            if not waits:
                return self._end(policy, document, True, "")
            if since < CLOSE_MS:
                return None
            again = msgspec.structs.replace(change, state="asking", tries=change.tries + 1)
            return Txn(self.draw(), {CHANGE: encode(again)}, document.at(CHANGE))
        if now - self.begun[1] >= change.wait_ms:
            named = "; ".join(f"{name} {why}" for name, why in sorted(waits.items()))
            return self._end(policy, document, False, f"not in time: {named or 'it had to go back'}")
        if waits or (change.tries and since < AGAIN_MS):
            return None
        # The register stays as it is from here to the end: who comes anew hears `closing` first.
        closing = msgspec.structs.replace(change, state="closing")
        return Txn(self.draw(), {CHANGE: encode(closing)}, document.at(CHANGE, NOW))

    def _end(self, policy: Policy, document: Document, taken: bool, reason: str) -> Txn:
        """The decision: one change of the document, whichever it is. The register must be the one that was
        looked at, as who is in it may hold a permit."""
        new = policy.next
        past = Past(
            new.number, self.wall_ms(), taken, (reason or new.reason)[:LONGEST_REASON], new.author, new.digest
        )
        writes: dict[str, str | None] = {
            CHANGE: None,
            NEXT: None,
            PAST: encode([*policy.past, past][-HISTORY:]),
        }
        if taken:
            writes[NOW] = encode(new)
        return Txn(self.draw(), writes, document.at(CHANGE, NEXT, NOW, REGISTER, PAST))

    # -- orders

    def propose(
        self,
        document: Document,
        text: str,
        base: int,
        author: str,
        reason: str,
        wait_ms: float,
        gone: list[str],
    ) -> Txn:
        """Raises ValueError with why it is refused."""
        policy = read(document)
        if policy.unread:
            raise ValueError(f"{policy.unread[0]} cannot be read: it is of a newer program, or damaged")
        if policy.change is not None:
            raise ValueError(f"version {policy.next.number} by {policy.next.author} is under way")
        if base != policy.now.number:
            raise ValueError(
                f"it was made from version {base}, and {policy.now.number} by "
                f"{policy.now.author or 'nobody'} is in force"
            )
        if len(text.encode()) > LONGEST:
            raise ValueError(f"{len(text.encode())} bytes, {LONGEST} at most")
        if unknown := sorted(set(gone) - set(policy.register)):
            raise ValueError(f"{unknown[0]!r} is no scheduler that is known")
        new = Version(
            base + 1, digest(text), text, author[:LONGEST_REASON], reason[:LONGEST_REASON], self.wall_ms()
        )
        # Their sessions: a later life of the same name is another matter.
        change = Change(self.draw(), "asking", wait_ms, sorted(policy.register[name] for name in gone))
        return Txn(self.draw(), {NEXT: encode(new), CHANGE: encode(change)}, document.at(NOW, NEXT, CHANGE))

    def abort(self, document: Document, author: str) -> Txn:
        """Raises ValueError where there is nothing to give up."""
        policy = read(document)
        if policy.change is None or policy.next is None:
            raise ValueError("no change is under way")
        return self._end(policy, document, False, f"given up by {author}")
