"""Fails requests that only workers in a zone that was left could still run, before their deadline.

Pure. This concerns requests with an idempotency key of which all attempts that may have run were in the zone,
as only that zone's workers would drop a repeat. Such a request fails, with no claim about its effect; no
other request is changed.
"""

from __future__ import annotations

from typing import NamedTuple

from spanwing.scheduler import HANDLERS, Scheduler


class ZoneUnreachable(NamedTuple):
    """An event for the decision module: nothing is forwarded to this zone any more."""

    zone: str


def _fail_unreachable_work(module: Scheduler, event: ZoneUnreachable) -> None:
    """Fails the waiting requests that could run only in this zone."""
    if not module.queued_count:
        return
    for job in [
        each for each in module.jobs.values() if each.is_queued and each.service_class.idempotency == "keyed"
    ]:
        attempts_that_may_have_run = [each for each in job.attempts if not each.never_ran]
        if (
            attempts_that_may_have_run
            and job.service_class.repeat_group != "all"
            and all(each.worker.entry.zone == event.zone for each in attempts_that_may_have_run)
        ):
            module._finish_unserved(job)


HANDLERS[ZoneUnreachable] = _fail_unreachable_work
