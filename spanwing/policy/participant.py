"""The policy participant at each scheduler: votes on changes, and decides whether to accept a request now.

Pure: the time is passed in as `now`, in ms by the permit's clock. decide_admission() evaluates the permit and
one copy of the document at the moment of use. The copies' revisions only increase. Bounds: one vote, on one
change.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Literal, NamedTuple

from spanwing.policy.coordinator import MAX_REASON_LENGTH, PolicyVote
from spanwing.policy.records import PolicyState, policy_digest
from spanwing.store.lease import Lease

MAX_ADMISSION_WAIT_MS = 250.0  # of a request that arrives while a change is closing


#: A request is accepted, queued or rejected.
AdmissionAction = Literal["take", "hold", "refuse"]


class AdmissionDecision(NamedTuple):
    """What is done with a request that arrives now."""

    action: AdmissionAction
    version: int = 0
    reason: str = ""


class PolicyParticipant:
    """Takes part in changes of the policy, for one incarnation of a scheduler."""

    def __init__(self, session: str, find_objection: Callable[[str], str], permit: Lease) -> None:
        """Takes find_objection, which returns why a policy text cannot be applied here; empty: it can."""
        self.session, self.find_objection, self.permit = session, find_objection, permit
        self.policy = PolicyState()
        self.vote = PolicyVote(True)
        self.closed_since_ms: float | None = None

    def update_policy(self, now: float, policy: PolicyState) -> bool:
        """Takes over a later state of the policy and votes on a new change.

        Returns whether the version in force has changed.
        """
        previous, self.policy = self.policy, policy
        if not policy.is_closed():
            self.closed_since_ms = None
        elif self.closed_since_ms is None:
            self.closed_since_ms = now
        change = policy.change
        if change is None or policy.next is None:
            self.vote = PolicyVote(True)
        elif self.vote.change_id != change.id:
            is_intact = policy_digest(policy.next.text) == policy.next.digest
            objection = (
                self.find_objection(policy.next.text) if is_intact else "its text does not match its digest"
            )
            self.vote = PolicyVote(True, change.id, objection[:MAX_REASON_LENGTH])
        return policy.now != previous.now

    def decide_admission(self, now: float) -> AdmissionDecision:
        """Returns whether a request may be accepted now, and under which version.

        While a change is closing, requests are queued until MAX_ADMISSION_WAIT_MS after this scheduler first
        saw the closing, and rejected after that.
        """
        policy = self.policy
        if policy.unreadable_keys:
            return AdmissionDecision(
                "refuse", reason=f"{policy.unreadable_keys[0]} cannot be decoded by this scheduler"
            )
        if policy.now.number == 0:
            return AdmissionDecision("refuse", reason="no policy is in force")
        if not self.permit.is_valid(now):
            return AdmissionDecision("refuse", reason="no permit: the fleet's policy may be another by now")
        if policy.is_closed():
            waited_ms = now - (self.closed_since_ms if self.closed_since_ms is not None else now)
            if waited_ms < MAX_ADMISSION_WAIT_MS:
                return AdmissionDecision("hold", reason="a change of policy is being made")
            return AdmissionDecision("refuse", reason="cut off in a change of policy")
        return AdmissionDecision("take", policy.now.number)
