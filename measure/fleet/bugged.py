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

    Lease.valid = lambda self, now: self.until > float("-inf")


def minority() -> None:
    from spanwing.zones import evidence, steward, verdict

    verdict.counts = lambda zone, observer: True
    verdict.enough = steward.enough = lambda schedulers, observers: 1
    evidence.Witness.report = lambda self, now, slots=(): evidence.Report(self.words(now))


def unsafe() -> None:
    from spanwing.core.exchange import Exchange
    from spanwing.core.messages import Ended

    def recall(self: Exchange, request: str, number: int) -> None:
        if (request, number) in self.out and request in self.calls:
            self.post(Ended(request, number, "moot", unsent=True))  # as if nothing had been sent

    Exchange.recall = recall


def no_wait() -> None:
    from spanwing.zones.gate import Rules

    Rules.wait_ms = lambda self: 0.0


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
