"""The policy participant, at each scheduler: under which version it may accept a request now.

Pure: the time is passed in. decide_admission() evaluates one permit and one copy of the document, both at the
moment of use. Copies of the document only go forward. Bounds: one vote, on one change.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Literal, NamedTuple

from spanwing.policy.coordinator import MAX_REASON_LENGTH, PolicyVote
from spanwing.policy.records import PolicyState, policy_digest
from spanwing.store.lease import Lease

MAX_ADMISSION_WAIT_MS = 250.0  # the longest wait of a request that arrives while a change is closing


class AdmissionDecision(NamedTuple):
    """What to do with a request that arrives now: accept it, queue it or reject it."""

    action: Literal["take", "hold", "refuse"]
    version: int = 0
    reason: str = ""


class PolicyParticipant:
    """One scheduler's part in changes of policy, for one incarnation."""

    def __init__(self, session: str, find_objection: Callable[[str], str], permit: Lease) -> None:
        """Takes find_objection, which returns why a policy's text cannot be applied here; empty: it can."""
        self.session, self.find_objection, self.permit = session, find_objection, permit
        self.policy = PolicyState()
        self.vote = PolicyVote(True)
        self.closed_since_ms: float | None = None

    def update_policy(self, now: float, policy: PolicyState) -> bool:
        """Takes a later copy of the document; returns whether another version is in force now."""
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
            objection = self.find_objection(policy.next.text) if is_intact else "its text is damaged"
            self.vote = PolicyVote(True, change.id, objection[:MAX_REASON_LENGTH])
        return policy.now != previous.now

    def decide_admission(self, now: float) -> AdmissionDecision:
        """Returns whether a request may be accepted now, and under which version.

        `now` is in ms, by the permit's clock. While a change is closing a request is queued, for
        MAX_ADMISSION_WAIT_MS after the closing was first seen; then it is rejected.
        """
        policy = self.policy
        if policy.unreadable_keys:
            return AdmissionDecision("refuse", reason=f"{policy.unreadable_keys[0]} cannot be read here")
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
