"""Ends work that only a zone which was left could still do: it fails now, not at its deadline.

Pure. A keyed request of which an attempt may have run in the zone, and whose repeat only that zone's workers
would drop, fails (no promise as to its effect). Nothing else changes.
"""

from __future__ import annotations

from typing import NamedTuple

from spanwing.scheduler import HANDLERS, Scheduler


class ZoneUnreachable(NamedTuple):
    """An event for the scheduler: nothing is sent to this zone any more."""

    zone: str


def _fail_unreachable_work(module: Scheduler, event: ZoneUnreachable) -> None:
    if not module.queued_count:
        return
    for job in [
        each for each in module.jobs.values() if each.is_queued and each.service_class.idempotency == "keyed"
    ]:
        attempts_maybe_run = [each for each in job.attempts if not each.never_ran]
        if (
            attempts_maybe_run
            and job.service_class.repeat_group != "all"
            and all(each.worker.entry.zone == event.zone for each in attempts_maybe_run)
        ):
            module._finish_unserved(job)


HANDLERS[ZoneUnreachable] = _fail_unreachable_work
