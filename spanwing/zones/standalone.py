"""Standalone mode: one scheduler's zones by its own evidence alone, where schedulers may not talk.

Pure; time is passed in. The same zone controller, verdict, steps and hold-down as for a fleet, over a
document of the process's own. A zone fails if two thirds of the workers with evidence, MIN_SAMPLE_WORKERS at
least, are down and another zone is seen well. There is no feeder assignment: workers that warm up are fed as
without zones. Bounds: those of the document.
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
STANDALONE_LEASE_MS = 10.0 * EVALUATION_INTERVAL_MS  # the own session's, renewed at each evaluation


class PermanentLease:
    """A lease that never expires: the document is the process's own."""

    expires_at_ms = math.inf

    def is_valid(self, now: float) -> bool:
        """Returns True."""
        return True


class StandaloneController:
    """Leader and follower in one."""

    def __init__(self, session: str, zone: str, controller: ZoneController, now: float) -> None:
        self.session, self.zone, self.controller = session, zone, controller
        self.lease, self.document = PermanentLease(), Document()
        self.leader = Leader("alone", STANDALONE_LEASE_MS, controller, now, lambda: 0.0)
        self._apply_transaction(now, self.leader.takeover_transaction(now, "begin"))
        self.zones_to_probe: tuple[str, ...] = ()

    def _apply_transaction(self, now: float, transaction: Transaction) -> None:
        after = self.document.apply(transaction)
        if after is not None:
            self.document = after
            self.leader.handle_change(now, after)

    def evaluate(self, now: float, evidence: bytes) -> bool:
        """Takes in this scheduler's evidence; returns whether the document has changed.

        Sets self.zones_to_probe.
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
        """Carries out an operator's order; returns the answer. Raises ValueError if rejected."""
        transaction, text = self.controller.handle_order(
            now, msgspec.Raw(msgspec.json.encode(order)), self.document, self.leader
        )
        if transaction is not None:
            self._apply_transaction(now, transaction)
        return text
