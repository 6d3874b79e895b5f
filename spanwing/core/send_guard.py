"""Checks each send of an attempt or probe at the moment its bytes are written, and detects violations.

A send is decided in one turn of the event loop and its bytes are written in a later one, after waiting for a
connection slot, a connection, the journal or room in the kernel's send buffer. The conditions of the decision
are therefore checked again each time bytes are written. The first refusal ends the attempt as unsent.

If the last byte is written although the permit would be refused, that is a violation: it is counted, logged
and shown in the counters. This detects a code path that does not ask for the permit. The age of the endpoint
list is checked independently of the deadline that the guard uses. Other errors in the conditions themselves
are not detected here; the oracle of the soak test finds them.
"""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple, Protocol

from spanwing.log.events import log_event


class SendRefusal(enum.StrEnum):
    """Why an attempt may not be sent. The values appear in counters and logs."""

    REQUEST_ENDED = "request_over"  # answered, its client disconnected, or taken over by another process
    ATTEMPT_ENDED = "attempt_over"  # cancelled or ended, or superseded by a later attempt of the request
    DEADLINE_PASSED = "deadline_passed"  # the attempt's timeout has expired
    WINDOW_PASSED = "window_passed"  # the deduplication window has passed: workers might run the job again
    MAY_HAVE_RUN = "may_have_run"  # an earlier attempt may have run, and the class is not idempotent
    LIST_STALE = "list_stale"  # the endpoint list is too old to rely on
    ZONE_CLOSED = "zone_closed"  # the fleet does not use the worker's zone now
    WORKER_DRAINING = "worker_draining"  # the worker is draining, or has left the endpoint list


class SendRule(enum.StrEnum):
    """The rules that a send can violate. The values appear in counters and logs."""

    DRAIN = "drain"  # nothing is sent to a worker that drains
    LOST = "lost"  # each request is answered, and is not sent once no answer is needed
    DUPLICATE = "duplicate"  # no request runs twice that must not


#: The rule that is violated if an attempt is sent despite this reason to refuse it.
RULE_OF_REFUSAL = {
    SendRefusal.REQUEST_ENDED: SendRule.LOST,
    SendRefusal.ATTEMPT_ENDED: SendRule.DUPLICATE,
    SendRefusal.DEADLINE_PASSED: SendRule.LOST,
    SendRefusal.WINDOW_PASSED: SendRule.DUPLICATE,
    SendRefusal.MAY_HAVE_RUN: SendRule.DUPLICATE,
    SendRefusal.LIST_STALE: SendRule.DRAIN,
    SendRefusal.WORKER_DRAINING: SendRule.DRAIN,
}


class Violation(NamedTuple):
    """A send that a rule forbids."""

    rule: SendRule
    reason: str


class SendState(Protocol):
    """The present state of the attempts, which the request manager provides."""

    def send_refusal(self, request: str, number: int) -> SendRefusal | None:
        """Returns why this attempt may not be sent now, or None if it may."""

    def to_discovered_worker(self, request: str, number: int) -> bool:
        """Returns whether the attempt goes to a worker from discovery's endpoint list."""


class SendGuard:
    """Issues permits for sends; counts and logs refusals and violations."""

    def __init__(
        self, state: SendState, counters: Counter[str], is_list_stale: Callable[[], bool] = lambda: False
    ) -> None:
        """is_list_stale: returns whether the endpoint list is past its deadline."""
        self.state, self.counters, self.is_list_stale = state, counters, is_list_stale
        #: Returns whether the age of the endpoint list forbids a send, computed apart from its deadline.
        self.is_list_too_old: Callable[[], bool] = lambda: False

    def permit(self, request: str, number: int, worker: str) -> SendPermit:
        """Returns the permit for one attempt; each call of the permit checks again."""
        return SendPermit(self, request, number, worker)

    def may_probe(self, to_discovered_worker: bool) -> bool:
        """Returns whether a probe may be sent now.

        to_discovered_worker: whether the worker is from discovery's endpoint list, whose age then matters.
        """
        if to_discovered_worker and self.is_list_stale():
            self.counters["guard.refused.probe"] += 1
            return False
        return True

    def record_refusal(self, permit: SendPermit, refusal: SendRefusal) -> None:
        """Counts and logs a refusal; the permit calls it once per attempt."""
        self.counters[f"guard.refused.{refusal}"] += 1
        log_event(
            "send_refused",
            request=permit.request,
            attempt=permit.number,
            worker=permit.worker,
            reason=str(refusal),
        )

    def record_violation(self, rule: SendRule, request: str, worker: str, reason: str) -> None:
        """Counts and logs the violation of a rule, which indicates a bug."""
        self.counters[f"violation.{rule}"] += 1
        log_event(
            "rule_violated", level="error", rule=str(rule), request=request, worker=worker, reason=reason
        )


class SendPermit:
    """The permit to send one attempt. Once refused, it stays refused."""

    __slots__ = ("guard", "is_confirmed", "number", "refusal", "request", "worker")

    def __init__(self, guard: SendGuard, request: str, number: int, worker: str) -> None:
        self.guard, self.request, self.number, self.worker = guard, request, number, worker
        self.refusal: SendRefusal | None = None
        self.is_confirmed = False  # the worker has confirmed that it accepts work

    def __call__(self) -> bool:
        """Returns whether bytes of the attempt may be written now."""
        if self.refusal is None:
            refusal = self.guard.state.send_refusal(self.request, self.number)
            if refusal is not None:
                self.refuse(refusal)
        return self.refusal is None

    def refuse(self, refusal: SendRefusal) -> None:
        """Refuses the attempt permanently. Only the first refusal is recorded."""
        if self.refusal is None:
            self.refusal = refusal
            self.guard.record_refusal(self, refusal)

    def note_unconfirmed(self) -> None:
        """Counts an attempt that is not sent because its worker did not confirm that it accepts work."""
        self.guard.counters["guard.refused.worker_unconfirmed"] += 1

    def find_violation(self, is_worker_draining: bool) -> Violation | None:
        """Returns the violation that writing the attempt's last byte now would be, or None.

        The caller asks before it asks the permit, and records the violation only if the byte is then written:
        a condition that ends between the two is refused by the permit and violates nothing. A list that is
        too old is no violation if the worker has confirmed that it accepts work.
        """
        refusal = self.guard.state.send_refusal(self.request, self.number)
        if is_worker_draining:
            refusal = SendRefusal.WORKER_DRAINING
        if refusal in RULE_OF_REFUSAL:
            return Violation(RULE_OF_REFUSAL[refusal], str(refusal))
        if (
            not self.is_confirmed
            and self.guard.state.to_discovered_worker(self.request, self.number)
            and self.guard.is_list_too_old()
        ):
            return Violation(SendRule.DRAIN, "list_too_old")
        return None

    def record_violation(self, violation: Violation) -> None:
        """Records a violation by the attempt, whose bytes are written now."""
        self.guard.record_violation(violation.rule, self.request, self.worker, violation.reason)
