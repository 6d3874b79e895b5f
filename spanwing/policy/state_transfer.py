"""Creates the scheduler for another policy from the state of the previous one.

Pure. The new scheduler starts with the same workers, estimates, counts and warm-up budgets. The previous one
keeps deciding on its own open requests, so their slots in flight count as load from others. Only the new
scheduler feeds workers that are warming up, so that each has one feeder with one budget. A tenant's credit is
scaled in proportion to its quota.
"""

from __future__ import annotations

from spanwing import interface as api
from spanwing.choice import Dispatcher
from spanwing.hot_restart.state_transfer import (
    export_scheduler,
    export_worker,
    import_scheduler,
    import_worker,
    stop_feeding,
)


def create_scheduler(settings: api.Settings, seed: int, now: float, previous: Dispatcher) -> Dispatcher:
    """Returns a scheduler for the new settings, with the previous one's state except for that of workers.

    It has no worker list yet: notify it of known_workers(), then call transfer_worker_estimates().
    """
    scheduler = Dispatcher(settings, seed, now)
    import_scheduler(scheduler, export_scheduler(previous, None, ""), now)
    for name, account in scheduler.ledgers.items():
        previous_account = previous.ledgers.get(name)
        if previous_account is not None and previous_account.rate > 0:
            account.credit = previous_account.credit * account.rate / previous_account.rate
            account.earned = previous_account.earned * account.rate / previous_account.rate
    return scheduler


def known_workers(previous: Dispatcher) -> api.WorkerList:
    """Returns the previous scheduler's worker list, without workers that are gone."""
    entries = (view.entry for view in previous.views.values() if view.entry.state != "gone")
    return api.WorkerList("persisted", tuple(entries))


def transfer_worker_estimates(scheduler: Dispatcher, previous: Dispatcher, now: float) -> None:
    """Copies the estimates of each worker to the new scheduler, and ends feeding by the previous one.

    Called once the new scheduler has the worker list.
    """
    for worker, worker_state in scheduler.views.items():
        previous_state = previous.views.get(worker)
        if previous_state is not None:
            import_worker(worker_state, export_worker(previous_state), now)
    stop_feeding(previous)
