"""The policy coordinator, at the leader: brings each change of policy to one outcome.

It also registers schedulers. Pure: the time is passed in. Each transaction holds only if the entries that it
was made from still stand. A version comes into force only once every session that may hold a permit has
acknowledged that the former version is closed, or can no longer accept requests (docs/design/policy.md has
the proof).

Bounds: one change at a time, MAX_SCHEDULERS names, one vote and one permit time for each.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from typing import NamedTuple, Protocol

import msgspec

from spanwing.policy.records import (
    CHANGE_KEY,
    CURRENT_KEY,
    HISTORY_KEY,
    MAX_HISTORY_ENTRIES,
    MAX_NAME_BYTES,
    MAX_POLICY_BYTES,
    MAX_SCHEDULERS,
    PROPOSED_KEY,
    REGISTER_KEY,
    PolicyChange,
    PolicyHistoryEntry,
    PolicyState,
    PolicyVersion,
    encode_value,
    policy_digest,
    read_policy,
    scheduler_name,
)
from spanwing.store.document import Document, Transaction
from spanwing.store.lease import lease_expiry_ms

CLOSING_TIMEOUT_MS = 200.0  # requests wait while a change is closing: after this it returns to asking
MAX_CONTACT_AGE_MS = 1000.0  # closing begins only if every participant was in contact within this
REVERT_BACKOFF_MS = 500.0  # after a return to asking, closing begins no sooner than this
MAX_REASON_LENGTH = 200


class PolicyVote(msgspec.Struct, frozen=True, array_like=True):
    """A participant's vote, as its renewal brings it."""

    wants_permit: bool = False  # asks for a permit
    change_id: str = ""  # of the change that was validated; empty: none
    objection: str = ""  # why the change cannot be applied there; empty: ready


class ParticipantSession(Protocol):
    """A session as the leader has it."""

    confirmed_at_ms: float
    acknowledged_revision: int


class SessionRegistry(Protocol):
    """What the coordinator reads of the leader."""

    leading_since_ms: float
    sessions: Mapping[str, ParticipantSession]


class PermitSettings(NamedTuple):
    """Permit settings from the operator's file."""

    permit_duration_ms: float  # for which a permit is granted


class PolicyCoordinator:
    """The leader's controller for the policy."""

    def __init__(
        self, permit_settings: PermitSettings, wall_clock_ms: Callable[[], float], new_id: Callable[[], str]
    ) -> None:
        """Takes the wall clock (ms) and a source of unique ids for changes and transactions."""
        self.permit_settings, self.wall_clock_ms, self.new_id = permit_settings, wall_clock_ms, new_id
        self.votes: dict[str, PolicyVote] = {}  # by session: the last vote
        self.permit_confirmed_at_ms: dict[
            str, float
        ] = {}  # by session: when its permit was last granted, or may have been
        self.change_revision_seen: tuple[int, float] = (
            0,
            0.0,
        )  # the change's revision, and when this leader first saw it
        self.change_started: tuple[str, float] = ("", 0.0)  # the change's id, and since when it is known
        self.leading_since_ms = -math.inf
        self.initial_policy = ""  # for a fleet that has no policy yet

    # -- what comes in

    def record_vote(self, session: str, vote: PolicyVote | msgspec.Raw) -> None:
        """Records a session's vote. Raises ValueError if it cannot be read."""
        self.votes[session] = (
            vote if isinstance(vote, PolicyVote) else msgspec.json.decode(vote, type=PolicyVote)
        )

    def permit_duration_ms(self, session: str, document: Document) -> float:
        """Returns how long a permit this session may be granted, in ms; 0: none."""
        return self.permit_settings.permit_duration_ms if self.may_hold_permit(session, document) else 0.0

    def may_hold_permit(self, session: str, document: Document) -> bool:
        """Returns whether the document's register names this session, so that it may be granted a permit.

        Called after the read that confirms the renewal.
        """
        return read_policy(document).register.get(scheduler_name(session)) == session

    # -- who may still act

    def _update_session_state(self, now: float, leader: SessionRegistry, policy: PolicyState) -> None:
        if (
            leader.leading_since_ms != self.leading_since_ms
        ):  # a new term of leadership: permits granted before may still be valid
            self.leading_since_ms, self.permit_confirmed_at_ms = leader.leading_since_ms, {}
        registered = set(policy.register.values())
        self.permit_confirmed_at_ms = {
            id: at for id, at in self.permit_confirmed_at_ms.items() if id in registered
        }
        self.votes = {id: says for id, says in self.votes.items() if id in leader.sessions}
        for id in registered:
            session = leader.sessions.get(id)
            if session is not None and session.confirmed_at_ms > -math.inf:
                self.permit_confirmed_at_ms[id] = max(
                    session.confirmed_at_ms, self.permit_confirmed_at_ms.get(id, -math.inf)
                )
        change = policy.change
        if change is not None and self.change_revision_seen[0] != policy.change_revision:
            self.change_revision_seen = policy.change_revision, now
        if change is not None and self.change_started[0] != change.id:
            self.change_started = change.id, now

    def has_permit_expired(self, now: float, session: str, leader: SessionRegistry) -> bool:
        """Returns whether the session's permit has expired, whichever leader granted it."""
        granted_at = max(leader.leading_since_ms, self.permit_confirmed_at_ms.get(session, -math.inf))
        return now >= lease_expiry_ms(granted_at, self.permit_settings.permit_duration_ms)

    def _possible_permit_holders(
        self, now: float, policy: PolicyState, leader: SessionRegistry
    ) -> dict[str, str]:
        """Returns, by name, the sessions that may hold a permit."""
        removed_sessions = set(policy.change.removed_sessions) if policy.change is not None else set()
        return {
            name: session
            for name, session in policy.register.items()
            if session not in removed_sessions and not self.has_permit_expired(now, session, leader)
        }

    def blocking_schedulers(self, now: float, document: Document, leader: SessionRegistry) -> dict[str, str]:
        """Returns, by name, the schedulers that keep the change from going on, and why."""
        policy = read_policy(document)
        change = policy.change
        if change is None:
            return {}
        found = {}
        for name, session in self._possible_permit_holders(now, policy, leader).items():
            participant, vote = leader.sessions.get(session), self.votes.get(session, PolicyVote())
            if participant is None or now - participant.confirmed_at_ms > MAX_CONTACT_AGE_MS:
                found[name] = "is not in contact"
            elif change.state == "closing":
                if participant.acknowledged_revision < policy.change_revision:
                    found[name] = "has not said that it takes nothing"
            elif vote.change_id != change.id:
                found[name] = "has not answered"
            elif vote.objection:
                found[name] = f"no: {vote.objection}"
        return found

    # -- what comes out

    def decide_next_change(
        self, now: float, document: Document, leader: SessionRegistry
    ) -> Transaction | None:
        """Returns the next transaction: the initial policy, registrations, or a step of the change.

        None if there is nothing to do, or if a part of the policy in the document cannot be read.
        """
        policy = read_policy(document)
        if policy.unreadable_keys:
            return None
        self._update_session_state(now, leader, policy)
        if policy.now.number == 0 and self.initial_policy:
            initial_version = PolicyVersion(
                1,
                policy_digest(self.initial_policy),
                self.initial_policy,
                "the first keeper's file",
                "",
                self.wall_clock_ms(),
            )
            return Transaction(
                self.new_id(),
                {CURRENT_KEY: encode_value(initial_version)},
                document.current_revisions(CURRENT_KEY),
            )
        return self._register_sessions(policy, leader, document) or self._advance_change(
            now, policy, leader, document
        )

    def _register_sessions(
        self, policy: PolicyState, leader: SessionRegistry, document: Document
    ) -> Transaction | None:
        """Registers, in one transaction, all sessions that ask for a permit and are not in the register."""
        register = dict(policy.register)
        for session, vote in self.votes.items():
            name, participant = scheduler_name(session), leader.sessions.get(session)
            if (
                vote.wants_permit
                and participant is not None
                and participant.confirmed_at_ms > -math.inf
                and len(name) > 0
                and len(name) <= MAX_NAME_BYTES
                and register.get(name) != session
                and (name in register or len(register) < MAX_SCHEDULERS)
            ):
                register[name] = session
        if register == policy.register:
            return None
        return Transaction(
            self.new_id(), {REGISTER_KEY: encode_value(register)}, document.current_revisions(REGISTER_KEY)
        )

    def _advance_change(
        self, now: float, policy: PolicyState, leader: SessionRegistry, document: Document
    ) -> Transaction | None:
        change = policy.change
        if change is None or policy.next is None:
            return None
        blocking, state_age_ms = (
            self.blocking_schedulers(now, document, leader),
            now - self.change_revision_seen[1],
        )
        objections = [f"{name} {why}" for name, why in blocking.items() if why.startswith("no: ")]
        if objections:
            return self._end_change(policy, document, False, objections[0])
        if change.state == "closing":
            if not blocking:
                return self._end_change(policy, document, True, "")
            if state_age_ms < CLOSING_TIMEOUT_MS:
                return None
            reopened = msgspec.structs.replace(change, state="asking", revert_count=change.revert_count + 1)
            return Transaction(
                self.new_id(), {CHANGE_KEY: encode_value(reopened)}, document.current_revisions(CHANGE_KEY)
            )
        if now - self.change_started[1] >= change.timeout_ms:
            blocking_summary = "; ".join(f"{name} {why}" for name, why in sorted(blocking.items()))
            return self._end_change(
                policy, document, False, f"not in time: {blocking_summary or 'it had to go back'}"
            )
        if blocking or (change.revert_count and state_age_ms < REVERT_BACKOFF_MS):
            return None
        # The end holds only for an unchanged register; a session that registers anew sees `closing` first.
        closing = msgspec.structs.replace(change, state="closing")
        return Transaction(
            self.new_id(),
            {CHANGE_KEY: encode_value(closing)},
            document.current_revisions(CHANGE_KEY, CURRENT_KEY),
        )

    def _end_change(
        self, policy: PolicyState, document: Document, is_accepted: bool, reason: str
    ) -> Transaction:
        """Returns the transaction that ends the change, accepted or not, in one step.

        It holds only for the register that was evaluated, as every session in it may hold a permit.
        """
        proposed = policy.next
        history_entry = PolicyHistoryEntry(
            proposed.number,
            self.wall_clock_ms(),
            is_accepted,
            (reason or proposed.reason)[:MAX_REASON_LENGTH],
            proposed.author,
            proposed.digest,
        )
        writes: dict[str, str | None] = {
            CHANGE_KEY: None,
            PROPOSED_KEY: None,
            HISTORY_KEY: encode_value([*policy.history, history_entry][-MAX_HISTORY_ENTRIES:]),
        }
        if is_accepted:
            writes[CURRENT_KEY] = encode_value(proposed)
        return Transaction(
            self.new_id(),
            writes,
            document.current_revisions(CHANGE_KEY, PROPOSED_KEY, CURRENT_KEY, REGISTER_KEY, HISTORY_KEY),
        )

    # -- orders

    def propose(
        self,
        document: Document,
        text: str,
        base_version: int,
        author: str,
        reason: str,
        timeout_ms: float,
        removed_names: list[str],
    ) -> Transaction:
        """Returns the transaction that proposes a policy.

        Raises ValueError with the reason if it is rejected.
        """
        policy = read_policy(document)
        if policy.unreadable_keys:
            raise ValueError(
                f"{policy.unreadable_keys[0]} cannot be read: it is of a newer program, or damaged"
            )
        if policy.change is not None:
            raise ValueError(f"version {policy.next.number} by {policy.next.author} is under way")
        if base_version != policy.now.number:
            raise ValueError(
                f"it was made from version {base_version}, and {policy.now.number} by "
                f"{policy.now.author or 'nobody'} is in force"
            )
        if len(text.encode()) > MAX_POLICY_BYTES:
            raise ValueError(f"{len(text.encode())} bytes, {MAX_POLICY_BYTES} at most")
        if unknown := sorted(set(removed_names) - set(policy.register)):
            raise ValueError(f"{unknown[0]!r} is no scheduler that is known")
        proposed = PolicyVersion(
            base_version + 1,
            policy_digest(text),
            text,
            author[:MAX_REASON_LENGTH],
            reason[:MAX_REASON_LENGTH],
            self.wall_clock_ms(),
        )
        # By session: a later incarnation of the same name is not removed.
        change = PolicyChange(
            self.new_id(), "asking", timeout_ms, sorted(policy.register[name] for name in removed_names)
        )
        return Transaction(
            self.new_id(),
            {PROPOSED_KEY: encode_value(proposed), CHANGE_KEY: encode_value(change)},
            document.current_revisions(CURRENT_KEY, PROPOSED_KEY, CHANGE_KEY),
        )

    def abort(self, document: Document, author: str) -> Transaction:
        """Returns the transaction that aborts the change. Raises ValueError if none is under way."""
        policy = read_policy(document)
        if policy.change is None or policy.next is None:
            raise ValueError("no change is under way")
        return self._end_change(policy, document, False, f"given up by {author}")
