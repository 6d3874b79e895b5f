"""Creates the scheduler for another policy from the state of the previous one.

Pure. The new scheduler starts with the same workers, estimates, counts and warm-up budgets. The previous one
keeps deciding on its own open requests, so their slots in flight count as load from others. Only the new
scheduler feeds workers that are warming up, so that each has one feeder with one budget. A tenant's credit is
scaled in proportion to its quota.
"""

from __future__ import annotations

from spanwing import interface as api
from spanwing.hot_restart.state_transfer import (
    export_scheduler,
    export_worker,
    import_scheduler,
    import_worker,
    stop_feeding,
)
from spanwing.scheduler import Scheduler


def create_scheduler(settings: api.Settings, seed: int, now: float, previous: Scheduler) -> Scheduler:
    """Returns a scheduler for the new settings, with the previous one's state except for that of workers.

    It has no worker list yet: notify it of known_workers(), then call transfer_worker_estimates().
    """
    scheduler = Scheduler(settings, seed, now)
    import_scheduler(scheduler, export_scheduler(previous, None, ""), now)
    for name, account in scheduler.token_accounts.items():
        previous_account = previous.token_accounts.get(name)
        if previous_account is not None and previous_account.quota_per_s > 0:
            account.burst_allowance = (
                previous_account.burst_allowance * account.quota_per_s / previous_account.quota_per_s
            )
            account.earned = previous_account.earned * account.quota_per_s / previous_account.quota_per_s
    return scheduler


def known_workers(previous: Scheduler) -> api.WorkerList:
    """Returns the previous scheduler's worker list, without workers that are gone."""
    entries = (view.entry for view in previous.worker_states.values() if view.entry.state != "gone")
    return api.WorkerList("persisted", tuple(entries))


def transfer_worker_estimates(scheduler: Scheduler, previous: Scheduler, now: float) -> None:
    """Copies the estimates of each worker to the new scheduler, and ends feeding by the previous one.

    Called once the new scheduler has the worker list.
    """
    for worker, worker_state in scheduler.worker_states.items():
        previous_state = previous.worker_states.get(worker)
        if previous_state is not None:
            import_worker(worker_state, export_worker(previous_state), now)
    stop_feeding(previous)
