"""A scheduler with a deliberate bug, to show that a day's checks find it; nothing else starts one.

    .venv/bin/python -m measure.fleet.bugged BUG

no-lease: a lease that was granted once is never looked at again. minority: one observer that is cut off is
enough for a verdict. unsafe: on leaving, work that must not run twice is called back and sent again.
no-wait: a feeder that is dealt a worker begins at once, and with its whole part.
"""

from __future__ import annotations

import sys
from collections.abc import Callable


def no_lease() -> None:
    from spanwing.store.lease import Lease

    Lease.is_valid = lambda self, now: self.expires_at_ms > float("-inf")


def minority() -> None:
    from spanwing.zones import controller, evidence, failure_detector

    failure_detector.is_credible = lambda zone, observer: True
    failure_detector.required_observers = controller.required_observers = lambda schedulers, observers: 1
    evidence.EvidenceCollector.build_report = lambda self, now, slots=(): evidence.EvidenceReport(
        self.evidence_by_zone(now)
    )


def unsafe() -> None:
    from spanwing.core.messages import AttemptEnded
    from spanwing.core.request_manager import RequestManager

    def recall(self: RequestManager, request: str, number: int) -> None:
        if (request, number) in self.in_flight and request in self.pending_requests:
            self.post(AttemptEnded(request, number, "moot", is_unsent=True))  # as if nothing had been sent

    RequestManager.cancel_idempotent = recall


def no_wait() -> None:
    from spanwing.zones.routing_filter import RoutingRules

    RoutingRules.feeder_change_delay_ms = lambda self: 0.0


BUGS: dict[str, Callable[[], None]] = {
    "no-lease": no_lease,
    "minority": minority,
    "unsafe": unsafe,
    "no-wait": no_wait,
}


if __name__ == "__main__":
    BUGS[sys.argv.pop(1)]()
    from spanwing.__main__ import main

    main()
