"""Jobs on trial: a word on workers that would get no job, when the keeper asks for one.

Guarantees: pure. One job a worker, of those that come within TRIAL_MS, and only one that may be repeated and
has an attempt left; what the module allows at a worker (rests, budgets of cold ones, room) holds here too.
"""

from __future__ import annotations

from collections.abc import Iterable

from spanwing.choice import Dispatcher
from spanwing.state import Job, View

TRIAL_WINDOW_MS = 1000.0  # a worker gets a job within so long, or none


class TrialPlacement:
    """Asked first by the module where a job is to go."""

    def __init__(self, scheduler: Dispatcher, workers: Iterable[int], now: float) -> None:
        self.scheduler, self.untried_workers, self.ends_at_ms = scheduler, set(workers), now + TRIAL_WINDOW_MS

    def __call__(self, job: Job) -> View | None:
        """A worker that is still to be tried, and bears this job; None: the job goes where it always does."""
        if self.scheduler.now >= self.ends_at_ms or not self.untried_workers:
            self.scheduler.first = None
            return None
        if job.attempts or job.cls.effect != "safe" or self.scheduler.set.max_attempts < 2:
            return None
        for worker in sorted(self.untried_workers):
            view = self.scheduler.views.get(worker)
            if view is not None and self.scheduler._fits(view, job):
                self.untried_workers.discard(worker)
                return view
        return None


def start_trials(scheduler: Dispatcher, workers: list[int], now: float) -> None:
    """Have each of these workers get one job that would have gone elsewhere; now: by the module's clock. What
    was to be tried before is tried no more."""
    scheduler.first = TrialPlacement(scheduler, workers, now) if workers else None
