"""The module made anew for another policy, with what the former one had learned.

Guarantees: pure. The new module knows the same job workers, estimates, counts and cold budgets; what the
former one still has out counts as others' load, as it goes on deciding about its own jobs. Cold workers are
fed by the new one alone: one budget, one feeder. A brand's credit moves in proportion to its share.
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
    """One that has heard of no list yet: see known()."""
    scheduler = Dispatcher(settings, seed, now)
    import_scheduler(scheduler, export_scheduler(previous, None, ""), now)
    for name, account in scheduler.ledgers.items():
        previous_account = previous.ledgers.get(name)
        if previous_account is not None and previous_account.rate > 0:
            account.credit = previous_account.credit * account.rate / previous_account.rate
            account.earned = previous_account.earned * account.rate / previous_account.rate
    return scheduler


def known_workers(previous: Dispatcher) -> api.WorkerList:
    """The list that the former module has, for the new one."""
    entries = (view.entry for view in previous.views.values() if view.entry.state != "gone")
    return api.WorkerList("persisted", tuple(entries))


def transfer_worker_estimates(scheduler: Dispatcher, previous: Dispatcher, now: float) -> None:
    """What was learned of each worker; called once the new module knows the list."""
    for worker, worker_state in scheduler.views.items():
        previous_state = previous.views.get(worker)
        if previous_state is not None:
            import_worker(worker_state, export_worker(previous_state), now)
    stop_feeding(previous)
