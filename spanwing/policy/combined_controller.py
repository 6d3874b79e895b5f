"""The leader's controller for both parts of the document: the policy and the zones.

Pure. Changes of the policy are decided first, as requests may be queued until they end. An order that is not
about the policy goes to the zone controller.
"""

from __future__ import annotations

from typing import Literal

import msgspec

from spanwing.json_input import decode_json
from spanwing.policy.coordinator import PolicyCoordinator
from spanwing.policy.records import read_policy
from spanwing.store.document import Document, Transaction
from spanwing.store.leader import Controller, Leader, SchedulerSession

MIN_CHANGE_TIMEOUT_S, MAX_CHANGE_TIMEOUT_S = 1.0, 86_400.0


class PolicyOrder(msgspec.Struct, forbid_unknown_fields=True):
    """An operator's order about the policy: propose one, abort the change, or ask what blocks it."""

    action: Literal["propose", "abort", "waits"] = msgspec.field(name="policy")
    text: str = ""
    base_version: int = msgspec.field(default=0, name="base")
    author: str = msgspec.field(default="operator", name="by")
    reason: str = ""
    timeout_s: float = msgspec.field(default=60.0, name="wait_s")
    removed_names: list[str] = msgspec.field(default=[], name="gone")


class CombinedController:
    """The policy coordinator and the zone controller, as one controller.

    There is no zone controller until this member's scheduler has its policy.
    """

    def __init__(self, policy_coordinator: PolicyCoordinator) -> None:
        self.policy_coordinator, self.zone_controller = policy_coordinator, None

    def attach_zone_controller(self, zone_controller: Controller) -> None:
        """Sets the zone controller, once the scheduler has its policy."""
        self.zone_controller = zone_controller

    def refresh_worker_list(self, now: float) -> None:
        """Has the zone controller update its list of workers, at every member, in case of a takeover."""
        if self.zone_controller is not None:
            self.zone_controller.refresh_worker_list(now)

    def record_evidence(self, now: float, session: SchedulerSession, evidence: msgspec.Raw) -> None:
        """Passes a session's evidence to the zone controller. Raises ValueError if it is invalid."""
        if self.zone_controller is not None:
            self.zone_controller.record_evidence(now, session, evidence)

    def zones_to_probe(self, now: float, leader: Leader) -> tuple[str, ...]:
        """Returns the zones that some schedulers should probe; none without a zone controller."""
        return () if self.zone_controller is None else self.zone_controller.zones_to_probe(now, leader)

    def decide_next_change(self, now: float, document: Document, leader: Leader) -> Transaction | None:
        """Returns the next transaction of the policy, else of the zones; None if neither has one."""
        transaction = self.policy_coordinator.decide_next_change(now, document, leader)
        return (
            self.zone_controller.decide_next_change(now, document, leader)
            if transaction is None and self.zone_controller is not None
            else transaction
        )

    def handle_order(
        self, now: float, order: msgspec.Raw, document: Document, leader: Leader
    ) -> tuple[Transaction | None, str]:
        """Returns the transaction that an operator's order requires, if any, and the text of the reply.

        Raises ValueError if the order cannot be decoded or is rejected.
        """
        try:
            policy_order = decode_json(order, PolicyOrder)
        except ValueError:
            if self.zone_controller is None:
                raise
            return self.zone_controller.handle_order(now, order, document, leader)
        if policy_order.action == "abort":
            return self.policy_coordinator.abort(document, policy_order.author), "the change is aborted"
        if policy_order.action == "waits":
            blocking = self.policy_coordinator.blocking_schedulers(now, document, leader)
            return None, "; ".join(f"{name} {reason}" for name, reason in sorted(blocking.items()))
        if not MIN_CHANGE_TIMEOUT_S <= policy_order.timeout_s <= MAX_CHANGE_TIMEOUT_S:
            raise ValueError(
                f"--wait: {MIN_CHANGE_TIMEOUT_S:g} to {MAX_CHANGE_TIMEOUT_S:g} seconds are allowed"
            )
        transaction = self.policy_coordinator.propose(
            document,
            policy_order.text,
            policy_order.base_version,
            policy_order.author,
            policy_order.reason,
            1000.0 * policy_order.timeout_s,
            policy_order.removed_names,
        )
        return transaction, f"version {read_policy(document).now.number + 1} is proposed"
