"""The leadership of the document, and the leader's sessions with schedulers.

Pure: the time is passed in as `now`, in ms. The leader grants a lease only if a majority read that began
after it received the renewal shows that it still leads (docs/design/zones.md has the proof).
has_lease_expired() returns True only once no lease of the session can still be valid at its holder, even one
from an earlier leader. A reply to a renewal contains every change after the revision that the renewal
acknowledged.

Bounds: MAX_SESSIONS sessions, with one pending renewal each; a session is removed SESSION_RETENTION_MS after
its last renewal.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import msgspec

from spanwing.store.document import Document, Transaction
from spanwing.store.lease import lease_expiry_ms
from spanwing.store.messages import Renew, RenewalReply

LEADERSHIP_KEY = "keeper"  # the key of the Leadership record
POLL_HOLD_MS = 400.0  # long poll: a renewal is answered after this time if the document has not changed
#: A member takes over after 1 to 2 times this without a read by the leader; the factor is random.
LEADER_SILENCE_MS = 1000.0
#: In each interval at most MAX_PROBE_REQUESTS schedulers are asked to probe.
PROBE_REQUEST_INTERVAL_MS, MAX_PROBE_REQUESTS = 500.0, 8
MAX_SESSIONS = 1000
SESSION_RETENTION_MS = 60_000.0
MAX_SESSION_NAME_LENGTH = 80


class Leadership(msgspec.Struct, frozen=True):
    """The leading member, and its term: each takeover begins the next one."""

    member: str
    term: int


@dataclass(slots=True)
class PendingRenewal:
    """A renewal that has not been answered yet."""

    renewal: Renew
    send_answer: Callable[[RenewalReply], None]
    received_at_ms: float
    is_confirmed: bool = False  # by a majority read that began after the renewal was received


@dataclass(slots=True)
class SchedulerSession:
    """The session of one incarnation of a scheduler."""

    id: str
    zone: str
    position: int
    acknowledged_revision: int  # the last revision that the scheduler has applied
    confirmed_at_ms: float = -math.inf  # when a renewal was last confirmed
    pending_renewal: PendingRenewal | None = None
    last_renewal_at_ms: float = -math.inf  # when the last renewal was received


class Controller(Protocol):
    """Decides on changes of the document while this member leads."""

    def refresh_worker_list(self, now: float) -> None:
        """Updates the list of workers that a takeover needs; called about once a second at every member."""

    def record_evidence(self, now: float, session: SchedulerSession, evidence: msgspec.Raw) -> None:
        """Records the evidence that a renewal reports. Raises ValueError if it is invalid."""

    def zones_to_probe(self, now: float, leader: Leader) -> tuple[str, ...]:
        """Returns the zones on which there is too little evidence, for some schedulers to probe."""

    def decide_next_change(self, now: float, document: Document, leader: Leader) -> Transaction | None:
        """Returns the transaction of the next change; None if no change is due."""

    def handle_order(
        self, now: float, order: msgspec.Raw, document: Document, leader: Leader
    ) -> tuple[Transaction | None, str]:
        """Returns the transaction that an operator's order requires, if any, and the text of the reply.

        Raises ValueError if the order is rejected.
        """


class PermitAuthority(Protocol):
    """Decides which sessions get a permit, which may be valid for longer than a lease."""

    def record_vote(self, session: str, vote: msgspec.Raw) -> None:
        """Records the vote in a renewal. Raises ValueError if it is invalid."""

    def permit_duration_ms(self, session: str, document: Document) -> float:
        """Returns the duration of the session's permit in ms; 0: no permit."""


class Leader:
    """One member's part in the leadership: it serves sessions while it leads, else watches the leader."""

    permit_authority: PermitAuthority | None = None

    def __init__(
        self,
        member: str,
        lease_ms: float,
        controller: Controller,
        now: float,
        draw_random: Callable[[], float],
    ) -> None:
        """Takes draw_random, which returns a random number from 0 to 1."""
        self.member, self.lease_ms, self.controller, self.draw_random = (
            member,
            lease_ms,
            controller,
            draw_random,
        )
        self.document, self.sessions = Document(), dict[str, SchedulerSession]()
        self.leading_since_ms = now  # last start of this member's leadership, or of the process
        self.leader_seen_at_ms = now  # the last known read by the leader
        self.probes_requested_at_ms = -math.inf  # when schedulers were last asked to probe
        self.takeover_delay_ms = LEADER_SILENCE_MS * (1.0 + draw_random())
        self.rejected_renewals = 0  # invalid renewals, and those of sessions beyond MAX_SESSIONS

    def leadership(self) -> Leadership | None:
        """Returns the leadership according to this member's copy of the document; None if it has none."""
        text = self.document.get_value(LEADERSHIP_KEY)
        return None if text is None else msgspec.json.decode(text, type=Leadership)

    def is_leader(self) -> bool:
        """Returns whether this member leads, according to its copy of the document."""
        leadership = self.leadership()
        return leadership is not None and leadership.member == self.member

    def record_read(self, now: float, member: str) -> None:
        """Records that a member has read the document. A read by the leader shows that it is alive."""
        leadership = self.leadership()
        if leadership is not None and leadership.member == member:
            self.leader_seen_at_ms = now

    def handle_renewal(self, now: float, renewal: Renew, send_answer: Callable[[RenewalReply], None]) -> None:
        """Processes a renewal; send_answer is called exactly once for it.

        An invalid renewal is rejected here, and one with an unknown revision by handle_read(). Others are
        answered by answer_due_renewals(), when the session renews again, or when this member no longer leads.
        """
        if not 0 < len(renewal.session) <= MAX_SESSION_NAME_LENGTH or renewal.acknowledged_revision < 0:
            self.rejected_renewals += 1
            send_answer(RenewalReply(renewal.message_id, reason="no renewal of ours"))
            return
        session = self.sessions.get(renewal.session)
        if session is None:
            if len(self.sessions) >= MAX_SESSIONS:
                self.rejected_renewals += 1
                send_answer(
                    RenewalReply(renewal.message_id, reason=f"{MAX_SESSIONS} sessions are all that are kept")
                )
                return
            session = self.sessions[renewal.session] = SchedulerSession(
                renewal.session, renewal.zone, renewal.position, renewal.acknowledged_revision
            )
        if session.pending_renewal is not None:
            self._answer_renewal(session)
        session.last_renewal_at_ms = now
        session.pending_renewal = PendingRenewal(renewal, send_answer, now)
        try:
            if self.permit_authority is not None and bytes(renewal.policy_vote) != b"null":
                self.permit_authority.record_vote(session.id, renewal.policy_vote)
            self.controller.record_evidence(now, session, renewal.evidence)
        except ValueError:
            self.rejected_renewals += 1

    def needs_confirming_read(self) -> bool:
        """Returns whether a pending renewal needs a majority read before it can be granted."""
        return any(
            each.pending_renewal is not None and not each.pending_renewal.is_confirmed
            for each in self.sessions.values()
        )

    def handle_read(self, now: float, read_started_at_ms: float, document: Document) -> None:
        """Processes the document from a majority read that began at read_started_at_ms.

        Confirms the renewals that were received before, if this member leads.
        """
        was_leader, previous_leadership = self.is_leader(), self.document.get_value(LEADERSHIP_KEY)
        if document.revision >= self.document.revision:
            self.document = document
        if self.document.get_value(LEADERSHIP_KEY) != previous_leadership:
            self.leader_seen_at_ms = now  # a new leader has the full delay until its first read
        if not self.is_leader():
            if was_leader:
                self.reject_pending_renewals("another member keeps now")
            return
        if not was_leader:
            self._begin_leading(now)
        self.leader_seen_at_ms = now
        for session in self.sessions.values():
            pending = session.pending_renewal
            if pending is None or pending.received_at_ms > read_started_at_ms or pending.is_confirmed:
                continue
            if pending.renewal.acknowledged_revision > document.revision:  # no document has had this revision
                self.rejected_renewals += 1
                session.pending_renewal = None
                pending.send_answer(
                    RenewalReply(
                        pending.renewal.message_id,
                        reason=f"revision {pending.renewal.acknowledged_revision} is none of ours",
                    )
                )
                continue
            pending.is_confirmed, session.confirmed_at_ms, session.acknowledged_revision = (
                True,
                now,
                pending.renewal.acknowledged_revision,
            )

    def handle_change(self, now: float, document: Document) -> None:
        """Processes the document that a majority accepted after a transaction of this member."""
        was_leader = self.is_leader()
        self.document = document
        if self.is_leader() and not was_leader:
            self._begin_leading(now)

    def _begin_leading(self, now: float) -> None:
        """Records the start of this member's leadership; leases of earlier leaders may still be valid."""
        self.leading_since_ms = now

    def answer_due_renewals(self, now: float) -> None:
        """Answers the confirmed renewals that are due, and removes old sessions.

        A renewal is due if there are changes to report or if it has been pending for POLL_HOLD_MS. If there
        are zones to probe, at most MAX_PROBE_REQUESTS renewals, drawn at random, are answered early in each
        PROBE_REQUEST_INTERVAL_MS to ask for probes.
        """
        if (
            self.is_leader()
            and now - self.probes_requested_at_ms >= PROBE_REQUEST_INTERVAL_MS
            and (zones := self.controller.zones_to_probe(now, self))
        ):
            waiting = [
                each
                for each in self.sessions.values()
                if each.pending_renewal and each.pending_renewal.is_confirmed
            ]
            if waiting:
                self.probes_requested_at_ms = now
            for _ in range(min(MAX_PROBE_REQUESTS, len(waiting))):
                self._answer_renewal(waiting.pop(int(self.draw_random() * len(waiting))), zones)
        for session in self.sessions.values():
            pending = session.pending_renewal
            if (
                pending is not None
                and pending.is_confirmed
                and (
                    self.document.revision > pending.renewal.acknowledged_revision
                    or now - pending.received_at_ms >= POLL_HOLD_MS
                )
            ):
                self._answer_renewal(session)
        for each in [
            each
            for each in self.sessions.values()
            if each.pending_renewal is None
            and now - max(each.last_renewal_at_ms, self.leading_since_ms) > SESSION_RETENTION_MS
        ]:
            del self.sessions[each.id]

    def _answer_renewal(self, session: SchedulerSession, zones_to_probe: tuple[str, ...] = ()) -> None:
        pending, session.pending_renewal = session.pending_renewal, None
        if not pending.is_confirmed:
            pending.send_answer(RenewalReply(pending.renewal.message_id, reason="renewed again"))
            return
        changes = self.document.changes_after(pending.renewal.acknowledged_revision)
        document = self.document if changes is None else None
        permit_ms = (
            0.0
            if self.permit_authority is None
            else self.permit_authority.permit_duration_ms(session.id, self.document)
        )
        pending.send_answer(
            RenewalReply(
                pending.renewal.message_id, self.lease_ms, "", changes, document, zones_to_probe, permit_ms
            )
        )

    def reject_pending_renewals(self, reason: str) -> None:
        """Rejects all pending renewals and removes all sessions, as this member no longer leads."""
        for session in self.sessions.values():
            pending, session.pending_renewal = session.pending_renewal, None
            if pending is not None:
                pending.send_answer(RenewalReply(pending.renewal.message_id, reason=reason))
        self.sessions.clear()

    def has_lease_expired(self, session_id: str, now: float) -> bool:
        """Returns whether every lease granted to this session so far, also by earlier leaders, has expired.

        The session's holder then cannot act again without a new lease.
        """
        known_session = self.sessions.get(session_id)
        confirmed_at_ms = (
            self.leading_since_ms
            if known_session is None
            else max(self.leading_since_ms, known_session.confirmed_at_ms)
        )
        return now >= lease_expiry_ms(confirmed_at_ms, self.lease_ms)

    def active_sessions(self, now: float) -> list[SchedulerSession]:
        """Returns the sessions to which this member has granted a lease that may still be valid."""
        return [
            each
            for each in self.sessions.values()
            if each.confirmed_at_ms > -math.inf and now < lease_expiry_ms(each.confirmed_at_ms, self.lease_ms)
        ]

    def is_acknowledged_by(self, revision: int, session_ids: list[str], now: float) -> bool:
        """Returns whether each of these sessions has acknowledged this revision or has no valid lease."""
        for session_id in session_ids:
            session = self.sessions.get(session_id)
            if not self.has_lease_expired(session_id, now) and (
                session is None or session.acknowledged_revision < revision
            ):
                return False
        return True

    def is_leader_silent(self, now: float) -> bool:
        """Returns whether this member should take over, as the leader has been silent for too long."""
        return not self.is_leader() and now - self.leader_seen_at_ms > self.takeover_delay_ms

    def takeover_transaction(self, now: float, transaction_id: str) -> Transaction:
        """Returns the transaction by which this member takes over, and restarts its takeover delay."""
        self.leader_seen_at_ms, self.takeover_delay_ms = now, LEADER_SILENCE_MS * (1.0 + self.draw_random())
        previous = self.leadership()
        next_leadership = Leadership(self.member, 1 if previous is None else previous.term + 1)
        return Transaction(
            transaction_id,
            {LEADERSHIP_KEY: msgspec.json.encode(next_leadership).decode()},
            self.document.current_revisions(LEADERSHIP_KEY),
        )

    def on_condition_of_leadership(self, transaction: Transaction) -> Transaction:
        """Returns the transaction with the added condition that the leadership has not changed."""
        return Transaction(
            transaction.id,
            transaction.writes,
            {**transaction.expected_revisions, **self.document.current_revisions(LEADERSHIP_KEY)},
        )
