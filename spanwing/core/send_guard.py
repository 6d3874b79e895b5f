"""The one guard that every send of an attempt or probe passes, at the moment of use, and the check behind it.

A send is decided in one turn of the loop and its bytes leave in a later one: a connection slot, a
connection, the journal or the kernel's buffer may have come between. What was true at the decision is
therefore asked again here, each time bytes are handed on, and the first refusal ends the attempt as unsent.
A send whose bytes are handed on although its permit would be refused is a violation: counted, logged and
shown in the counters. That finds a path that does not ask. The age of the list is checked apart from the
deadline that the guard goes by; other faults in the answers are for an oracle outside.
"""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from spanwing.log.events import log_event


class SendRefusal(enum.StrEnum):
    """Why an attempt may not be sent."""

    REQUEST_ENDED = "request_over"  # answered, its client gone, or taken over by another process
    ATTEMPT_ENDED = "attempt_over"  # cancelled, ended, or another attempt of the request is out
    DEADLINE_PASSED = "deadline_passed"
    WINDOW_PASSED = "window_passed"  # workers may no longer drop it as a repeat
    MAY_HAVE_RUN = "may_have_run"  # its class must not run twice
    LIST_STALE = "list_stale"  # the endpoint list is too old to send by
    ZONE_CLOSED = "zone_closed"
    WORKER_DRAINING = "worker_draining"  # or gone


class SendRule(enum.StrEnum):
    """The rules that a send can break."""

    DRAIN = "drain"
    LOST = "lost"
    DUPLICATE = "duplicate"


#: The rule that would have been broken by a send that is refused for this reason.
RULE_OF_REFUSAL = {
    SendRefusal.REQUEST_ENDED: SendRule.LOST,
    SendRefusal.ATTEMPT_ENDED: SendRule.DUPLICATE,
    SendRefusal.DEADLINE_PASSED: SendRule.LOST,
    SendRefusal.WINDOW_PASSED: SendRule.DUPLICATE,
    SendRefusal.MAY_HAVE_RUN: SendRule.DUPLICATE,
    SendRefusal.LIST_STALE: SendRule.DRAIN,
    SendRefusal.WORKER_DRAINING: SendRule.DRAIN,
}


class SendState(Protocol):
    """What is asked about an attempt at the moment of use; the request manager answers."""

    def send_refusal(self, request: str, number: int) -> SendRefusal | None:
        """Returns why this attempt may not be sent now; None: it may."""

    def to_discovered_worker(self, request: str, number: int) -> bool:
        """Returns whether the attempt goes to a worker that discovery named."""


class SendGuard:
    """Refuses sends, counts and logs the refusals and the violations."""

    def __init__(
        self, state: SendState, counters: Counter[str], is_list_stale: Callable[[], bool] = lambda: False
    ) -> None:
        self.state, self.counters, self.is_list_stale = state, counters, is_list_stale
        self.is_list_too_old: Callable[[], bool] = lambda: False  # its age alone, whatever its deadline

    def permit(self, request: str, number: int, worker: str) -> SendPermit:
        """Returns the permit for one attempt; it is asked again at each use."""
        return SendPermit(self, request, number, worker)

    def may_probe(self, to_discovered_worker: bool) -> bool:
        """Returns whether a probe may be sent; follows_list: to a worker that discovery named."""
        if to_discovered_worker and self.is_list_stale():
            self.counters["guard.refused.probe"] += 1
            return False
        return True

    def record_refusal(self, permit: SendPermit, refusal: SendRefusal) -> None:
        """Counts and logs a refusal, once for each attempt."""
        self.counters[f"guard.refused.{refusal}"] += 1
        log_event(
            "send_refused",
            request=permit.request,
            attempt=permit.number,
            worker=permit.worker,
            reason=str(refusal),
        )

    def record_violation(self, rule: SendRule, request: str, worker: str, reason: str) -> None:
        """Counts and logs a broken rule; this must never happen."""
        self.counters[f"violation.{rule}"] += 1
        log_event(
            "rule_violated", level="error", rule=str(rule), request=request, worker=worker, reason=reason
        )


class SendPermit:
    """Whether one attempt may be sent; False for good once it was refused."""

    __slots__ = ("guard", "is_confirmed", "number", "refusal", "request", "worker")

    def __init__(self, guard: SendGuard, request: str, number: int, worker: str) -> None:
        self.guard, self.request, self.number, self.worker = guard, request, number, worker
        self.refusal: SendRefusal | None = None
        self.is_confirmed = False  # its worker said just now that it accepts work

    def __call__(self) -> bool:
        """Returns whether bytes of the attempt may be handed on now."""
        if self.refusal is None:
            refusal = self.guard.state.send_refusal(self.request, self.number)
            if refusal is not None:
                self.refuse(refusal)
        return self.refusal is None

    def refuse(self, refusal: SendRefusal) -> None:
        """Refuses the attempt for good."""
        if self.refusal is None:
            self.refusal = refusal
            self.guard.record_refusal(self, refusal)

    def note_unconfirmed(self) -> None:
        """Notes that the worker, asked first, did not say that it accepts work."""
        self.guard.counters["guard.refused.worker_unconfirmed"] += 1

    def check_sent(self, is_worker_draining: bool) -> None:
        """Checks the rules for a send whose last byte is being handed on."""
        refusal = self.guard.state.send_refusal(self.request, self.number)
        if is_worker_draining:
            refusal = SendRefusal.WORKER_DRAINING
        if refusal in RULE_OF_REFUSAL:
            self.guard.record_violation(RULE_OF_REFUSAL[refusal], self.request, self.worker, str(refusal))
        elif (
            not self.is_confirmed
            and self.guard.state.to_discovered_worker(self.request, self.number)
            and self.guard.is_list_too_old()
        ):
            self.guard.record_violation(SendRule.DRAIN, self.request, self.worker, "list_too_old")
