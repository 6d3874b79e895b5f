"""Work that only a zone which was left could still do: it gets its own answer now, and not at its deadline.

Guarantees: pure. A keyed job of which an attempt may have run in the zone, and whose repeat only that zone's
workers would drop, is ended as failed (no promise is made as to its effect); nothing else changes.
"""

from __future__ import annotations

from typing import NamedTuple

from spanwing.choice import HANDLERS, Dispatcher


class ZoneUnreachable(NamedTuple):
    """An event of the module: nothing is sent to this zone any more."""

    zone: str


def _fail_unreachable_work(module: Dispatcher, event: ZoneUnreachable) -> None:
    if not module.waiting:
        return
    for job in [each for each in module.jobs.values() if each.held and each.cls.effect == "keyed"]:
        attempts_maybe_run = [each for each in job.attempts if not each.proof]
        if (
            attempts_maybe_run
            and job.cls.group != "all"
            and all(each.view.entry.zone == event.zone for each in attempts_maybe_run)
        ):
            module._end(job)


HANDLERS[ZoneUnreachable] = _fail_unreachable_work
