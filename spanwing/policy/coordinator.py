"""The policy coordinator at the leader: it registers schedulers and decides on changes of the policy.

Pure: the time is passed in as `now`, in ms. Each transaction applies only if the entries that it was computed
from are unchanged. A change is first `asking`: every session that may hold a permit votes. Once all agree, it
is `closing`: no scheduler accepts requests. The new version comes into force only once each of these sessions
has acknowledged the closing or can no longer accept requests, because its permit has expired or because the
operator has declared it gone (docs/design/policy.md has the proof).

Bounds: one change at a time, MAX_SCHEDULERS names, and one vote and one permit time for each.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from typing import NamedTuple, Protocol

import msgspec

from spanwing.json_input import decode_json
from spanwing.policy.records import (
    CHANGE_KEY,
    CURRENT_KEY,
    HISTORY_KEY,
    MAX_HISTORY_ENTRIES,
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
from spanwing.store.document import MAX_SCHEDULER_NAME_LENGTH, Document, Transaction
from spanwing.store.lease import lease_expiry_ms

CLOSING_TIMEOUT_MS = 200.0  # after this a closing change returns to asking, as requests are queued meanwhile
MAX_CONTACT_AGE_MS = 1000.0  # longest time since a participant's last renewal for closing to begin
REVERT_BACKOFF_MS = 500.0  # shortest time from a return to asking until the next closing
MAX_REASON_LENGTH = 200


class PolicyVote(msgspec.Struct, frozen=True, array_like=True):
    """A participant's vote, as reported in its renewal."""

    wants_permit: bool = False  # whether the session should be registered, for a permit
    change_id: str = ""  # id of the change that was validated; empty: none
    objection: str = ""  # why the participant cannot apply the change; empty: it can


class ParticipantSession(Protocol):
    """What the coordinator reads of a session at the leader."""

    confirmed_at_ms: float
    acknowledged_revision: int


class SessionRegistry(Protocol):
    """What the coordinator reads of the leader: its sessions by id."""

    leading_since_ms: float
    sessions: Mapping[str, ParticipantSession]


class PermitSettings(NamedTuple):
    """The settings of permits, from the operator's file."""

    permit_duration_ms: float


class PolicyCoordinator:
    """Decides on changes of the policy while this member leads."""

    def __init__(
        self, permit_settings: PermitSettings, wall_clock_ms: Callable[[], float], new_id: Callable[[], str]
    ) -> None:
        """Takes a wall clock in ms, and a source of unique ids for changes and transactions."""
        self.permit_settings, self.wall_clock_ms, self.new_id = permit_settings, wall_clock_ms, new_id
        self.votes: dict[str, PolicyVote] = {}  # the last vote, by session
        # By session: when a permit was last granted to it, or may have been.
        self.permit_confirmed_at_ms: dict[str, float] = {}
        # The last revision of the change, and when this leader first saw it.
        self.change_revision_seen: tuple[int, float] = (0, 0.0)
        # The id of the change, and when this leader first saw it.
        self.change_started: tuple[str, float] = ("", 0.0)
        self.leading_since_ms = -math.inf
        self.initial_policy = ""  # text of the policy for a fleet that has none yet

    # -- votes and permits

    def record_vote(self, session: str, vote: PolicyVote | msgspec.Raw) -> None:
        """Records a session's vote. Raises ValueError if it cannot be decoded."""
        self.votes[session] = vote if isinstance(vote, PolicyVote) else decode_json(vote, PolicyVote)

    def permit_duration_ms(self, session: str, document: Document) -> float:
        """Returns the duration of the permit to grant to this session, in ms; 0: no permit."""
        return self.permit_settings.permit_duration_ms if self.may_hold_permit(session, document) else 0.0

    def may_hold_permit(self, session: str, document: Document) -> bool:
        """Returns whether this session may be granted a permit, as the document's register names it.

        Called with the document of the majority read that confirms the session's renewal.
        """
        return read_policy(document).register.get(scheduler_name(session)) == session

    # -- permits that may still be valid

    def _update_session_state(self, now: float, leader: SessionRegistry, policy: PolicyState) -> None:
        if leader.leading_since_ms != self.leading_since_ms:
            # A new term: all earlier grants count from its start, as they may be of another leader.
            self.leading_since_ms, self.permit_confirmed_at_ms = leader.leading_since_ms, {}
        registered = set(policy.register.values())
        self.permit_confirmed_at_ms = {
            session_id: confirmed_at_ms
            for session_id, confirmed_at_ms in self.permit_confirmed_at_ms.items()
            if session_id in registered
        }
        self.votes = {
            session_id: vote for session_id, vote in self.votes.items() if session_id in leader.sessions
        }
        for session_id in registered:
            session = leader.sessions.get(session_id)
            if session is not None and session.confirmed_at_ms > -math.inf:
                self.permit_confirmed_at_ms[session_id] = max(
                    session.confirmed_at_ms, self.permit_confirmed_at_ms.get(session_id, -math.inf)
                )
        change = policy.change
        if change is not None and self.change_revision_seen[0] != policy.change_revision:
            self.change_revision_seen = policy.change_revision, now
        if change is not None and self.change_started[0] != change.id:
            self.change_started = change.id, now

    def has_permit_expired(self, now: float, session: str, leader: SessionRegistry) -> bool:
        """Returns whether every permit of the session has expired, also those from earlier leaders."""
        granted_at_ms = max(leader.leading_since_ms, self.permit_confirmed_at_ms.get(session, -math.inf))
        return now >= lease_expiry_ms(granted_at_ms, self.permit_settings.permit_duration_ms)

    def _possible_permit_holders(
        self, now: float, policy: PolicyState, leader: SessionRegistry
    ) -> dict[str, str]:
        """Returns the registered sessions that may hold a valid permit, by scheduler name."""
        removed_sessions = set(policy.change.removed_sessions) if policy.change is not None else set()
        return {
            name: session
            for name, session in policy.register.items()
            if session not in removed_sessions and not self.has_permit_expired(now, session, leader)
        }

    def blocking_schedulers(self, now: float, document: Document, leader: SessionRegistry) -> dict[str, str]:
        """Returns the schedulers that block the next step of the change: a reason for each name."""
        policy = read_policy(document)
        change = policy.change
        if change is None:
            return {}
        reason_by_name = {}
        for name, session in self._possible_permit_holders(now, policy, leader).items():
            participant, vote = leader.sessions.get(session), self.votes.get(session, PolicyVote())
            if participant is None or now - participant.confirmed_at_ms > MAX_CONTACT_AGE_MS:
                reason_by_name[name] = "is not in contact"
            elif change.state == "closing":
                if participant.acknowledged_revision < policy.change_revision:
                    reason_by_name[name] = "has not said that it takes nothing"
            elif vote.change_id != change.id:
                reason_by_name[name] = "has not answered"
            elif vote.objection:
                reason_by_name[name] = f"no: {vote.objection}"
        return reason_by_name

    # -- transactions

    def decide_next_change(
        self, now: float, document: Document, leader: SessionRegistry
    ) -> Transaction | None:
        """Returns the next transaction: the initial policy, registrations, or a step of the change.

        Returns None if nothing is due, or if a record of the policy in the document cannot be decoded.
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
                "the first keeper's file",  # stored as the author of the initial policy
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
        """Returns a transaction that registers every session that asks for it; None if there is none."""
        register = dict(policy.register)
        for session, vote in self.votes.items():
            name, participant = scheduler_name(session), leader.sessions.get(session)
            if (
                vote.wants_permit
                and participant is not None
                and participant.confirmed_at_ms > -math.inf
                and len(name) > 0
                and len(name) <= MAX_SCHEDULER_NAME_LENGTH
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
        objections = [f"{name} {reason}" for name, reason in blocking.items() if reason.startswith("no: ")]
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
            blocking_summary = "; ".join(f"{name} {reason}" for name, reason in sorted(blocking.items()))
            return self._end_change(
                policy, document, False, f"not in time: {blocking_summary or 'it had to go back'}"
            )
        if blocking or (change.revert_count and state_age_ms < REVERT_BACKOFF_MS):
            return None
        # The register is no condition here: _end_change() requires an unchanged one, and a session that
        # registers later sees `closing` first.
        closing = msgspec.structs.replace(change, state="closing")
        return Transaction(
            self.new_id(),
            {CHANGE_KEY: encode_value(closing)},
            document.current_revisions(CHANGE_KEY, CURRENT_KEY),
        )

    def _end_change(
        self, policy: PolicyState, document: Document, is_accepted: bool, reason: str
    ) -> Transaction:
        """Returns the transaction that ends the change: the proposed version takes effect, or is dropped.

        It applies only if the register is unchanged, as any session in the register may hold a permit.
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

        removed_names are schedulers that the operator declares to be gone for good. Raises ValueError with
        the reason if the proposal is rejected.
        """
        policy = read_policy(document)
        if policy.unreadable_keys:
            raise ValueError(
                f"{policy.unreadable_keys[0]} cannot be read: it is damaged, or of a newer program"
            )
        if policy.change is not None:
            raise ValueError(f"version {policy.next.number} by {policy.next.author} is under way")
        if base_version != policy.now.number:
            raise ValueError(
                f"the proposal is based on version {base_version}, but version {policy.now.number} by "
                f"{policy.now.author or 'nobody'} is in force"
            )
        if len(text.encode()) > MAX_POLICY_BYTES:
            raise ValueError(f"{len(text.encode())} bytes of policy, {MAX_POLICY_BYTES} are allowed")
        if unknown := sorted(set(removed_names) - set(policy.register)):
            raise ValueError(f"{unknown[0]!r} is not a known scheduler")
        proposed = PolicyVersion(
            base_version + 1,
            policy_digest(text),
            text,
            author[:MAX_REASON_LENGTH],
            reason[:MAX_REASON_LENGTH],
            self.wall_clock_ms(),
        )
        # Names sessions, as a later incarnation of the same scheduler is not gone.
        change = PolicyChange(
            self.new_id(), "asking", timeout_ms, sorted(policy.register[name] for name in removed_names)
        )
        return Transaction(
            self.new_id(),
            {PROPOSED_KEY: encode_value(proposed), CHANGE_KEY: encode_value(change)},
            document.current_revisions(CURRENT_KEY, PROPOSED_KEY, CHANGE_KEY),
        )

    def abort(self, document: Document, author: str) -> Transaction:
        """Returns the transaction that aborts the change. Raises ValueError if no change is under way."""
        policy = read_policy(document)
        if policy.change is None or policy.next is None:
            raise ValueError("no change is under way")
        return self._end_change(policy, document, False, f"given up by {author}")
