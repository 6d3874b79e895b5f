"""A scheduler with a planted bug, to show that the checks of a fleet run find it.

    .venv/bin/python -m measure.fleet.bugged BUG

no-lease: a lease stays valid for ever once it has been granted.
minority: the reports of one disconnected scheduler are enough for a verdict that a zone has failed.
unsafe: when a zone is left, non-idempotent requests that were sent there are sent again elsewhere.
no-wait: a feeder that is assigned a worker starts at once, and with its full budget.

Only the checks of a fleet start this program.
"""

from __future__ import annotations

import sys
from collections.abc import Callable


def plant_no_lease() -> None:
    """Makes a lease valid for ever once it has been granted."""
    from spanwing.store.lease import Lease

    Lease.is_valid = lambda self, now: self.expires_at_ms > float("-inf")


def plant_minority() -> None:
    """Accepts the evidence of every observer, and makes one observer enough for a verdict."""
    from spanwing.zones import controller, evidence, failure_detector

    failure_detector.is_credible = lambda zone, observer: True
    failure_detector.required_observers = controller.required_observers = lambda schedulers, observers: 1
    evidence.EvidenceCollector.build_report = lambda self, now, slots=(): evidence.EvidenceReport(
        self.evidence_by_zone(now)
    )


def plant_unsafe() -> None:
    """Cancels every attempt in a zone that is left as if it had not been sent, so that it is sent again."""
    from spanwing.core.messages import AttemptEnded
    from spanwing.core.request_manager import RequestManager

    def cancel_as_unsent(self: RequestManager, request: str, number: int) -> None:
        if (request, number) in self.in_flight and request in self.pending_requests:
            self.post(AttemptEnded(request, number, "moot", is_unsent=True))

    RequestManager.cancel_idempotent = cancel_as_unsent


def plant_no_wait() -> None:
    """Removes the delay before a newly assigned feeder may send."""
    from spanwing.zones.routing_filter import RoutingRules

    RoutingRules.feeder_change_delay_ms = lambda self: 0.0


BUGS: dict[str, Callable[[], None]] = {
    "no-lease": plant_no_lease,
    "minority": plant_minority,
    "unsafe": plant_unsafe,
    "no-wait": plant_no_wait,
}


if __name__ == "__main__":
    BUGS[sys.argv.pop(1)]()
    from spanwing.__main__ import main

    main()
