"""Standalone mode: one scheduler judges zones by its own evidence, where schedulers may not communicate.

Pure; time is passed in. The zone controller, verdict, return steps and hold-down are those of a fleet; the
document is kept in this process. A zone has failed if two thirds of its workers with evidence, of which there
are at least MIN_SAMPLE_WORKERS, are down and there is good evidence on another zone. There is no feeder
assignment: workers that are warming up are fed as without zones. Bounds: those of the document.
"""

from __future__ import annotations

import math

import msgspec

from spanwing.store.document import Document, Transaction
from spanwing.store.leader import Leader
from spanwing.store.messages import Renew, RenewalReply
from spanwing.zones.controller import ZoneController
from spanwing.zones.state import ASSIGNMENT_KEY

EVALUATION_INTERVAL_MS = 50.0
STANDALONE_LEASE_MS = (
    10.0 * EVALUATION_INTERVAL_MS
)  # of this scheduler's own session, which each evaluation renews


class PermanentLease:
    """A lease that never expires, as the document is kept in this process."""

    expires_at_ms = math.inf

    def is_valid(self, now: float) -> bool:
        """Returns True at any time."""
        return True


class StandaloneController:
    """Leader and follower of the document in one process, with the scheduler's session as the only one."""

    def __init__(self, session: str, zone: str, controller: ZoneController, now: float) -> None:
        self.session, self.zone, self.controller = session, zone, controller
        self.lease, self.document = PermanentLease(), Document()
        self.leader = Leader("alone", STANDALONE_LEASE_MS, controller, now, lambda: 0.0)
        self._apply_transaction(now, self.leader.takeover_transaction(now, "begin"))
        self.zones_to_probe: tuple[str, ...] = ()

    def _apply_transaction(self, now: float, transaction: Transaction) -> None:
        changed_document = self.document.apply(transaction)
        if changed_document is not None:
            self.document = changed_document
            self.leader.handle_change(now, changed_document)

    def evaluate(self, now: float, evidence: bytes) -> bool:
        """Evaluates an encoded evidence report; returns whether the document has changed.

        Applies at most one change. Sets self.zones_to_probe to the zones that need more evidence.
        """
        previous, self.zones_to_probe = self.document, ()
        renewal = Renew(0, self.session, self.zone, 0, previous.revision, msgspec.Raw(evidence))
        self.leader.handle_renewal(now, renewal, self._handle_grant)
        self.leader.handle_read(now, now, previous)
        transaction = self.controller.decide_next_change(now, previous, self.leader)
        if transaction is not None and ASSIGNMENT_KEY not in transaction.writes:
            self._apply_transaction(now, transaction)
        self.leader.answer_due_renewals(now)
        return self.document is not previous

    def _handle_grant(self, grant: RenewalReply) -> None:
        self.zones_to_probe = self.zones_to_probe or grant.zones_to_probe

    def handle_order(self, now: float, order: object) -> str:
        """Carries out an operator's order; returns the answer's text. Raises ValueError if rejected."""
        transaction, text = self.controller.handle_order(
            now, msgspec.Raw(msgspec.json.encode(order)), self.document, self.leader
        )
        if transaction is not None:
            self._apply_transaction(now, transaction)
        return text
