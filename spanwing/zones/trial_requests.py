"""Trial requests: evidence on workers that would get no request, when the leader asks for it.

Pure. One request per worker, of those that arrive within TRIAL_WINDOW_MS, and only an idempotent one with an
attempt left. What the scheduler allows at a worker (backoff, warm-up budget, free slots) holds here too.
"""

from __future__ import annotations

from collections.abc import Iterable

from spanwing.scheduler import Scheduler
from spanwing.scheduler_state import Job, WorkerState

TRIAL_WINDOW_MS = 1000.0  # a worker gets its trial within this, or none


class TrialPlacement:
    """A placement that the scheduler consults first for each request."""

    def __init__(self, scheduler: Scheduler, workers: Iterable[int], now: float) -> None:
        self.scheduler, self.untried_workers, self.ends_at_ms = scheduler, set(workers), now + TRIAL_WINDOW_MS

    def __call__(self, job: Job) -> WorkerState | None:
        """Returns a worker still to be tried that can take this request; None: place it as usual."""
        if self.scheduler.now >= self.ends_at_ms or not self.untried_workers:
            self.scheduler.placement_override = None
            return None
        if (
            job.attempts
            or job.service_class.idempotency != "safe"
            or self.scheduler.settings.max_attempts < 2
        ):
            return None
        for worker in sorted(self.untried_workers):
            view = self.scheduler.worker_states.get(worker)
            if view is not None and self.scheduler._has_room(view, job):
                self.untried_workers.discard(worker)
                return view
        return None


def start_trials(scheduler: Scheduler, workers: list[int], now: float) -> None:
    """Has each of these workers get one request that would have gone elsewhere.

    now: ms, by the scheduler's clock. Replaces the trials of an earlier call.
    """
    scheduler.placement_override = TrialPlacement(scheduler, workers, now) if workers else None
