"""Trial requests: sent on the leader's demand to workers without evidence, which get no requests otherwise.

Pure. Each worker gets one of the requests that arrive within TRIAL_WINDOW_MS: an idempotent one that has not
been attempted and may be retried. The decision module's limits on a worker (backoff, warm-up budget, free
slots) apply.
"""

from __future__ import annotations

from collections.abc import Iterable

from spanwing.scheduler import Scheduler
from spanwing.scheduler_state import Job, WorkerState

TRIAL_WINDOW_MS = 1000.0  # a worker gets its trial request within this time or not at all


class TrialPlacement:
    """Places requests at the workers to try; the decision module consults it before its own placement."""

    def __init__(self, scheduler: Scheduler, workers: Iterable[int], now: float) -> None:
        self.scheduler, self.untried_workers, self.ends_at_ms = scheduler, set(workers), now + TRIAL_WINDOW_MS

    def __call__(self, job: Job) -> WorkerState | None:
        """Returns an untried worker that can take this request, or None to have it placed as usual."""
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
            worker_state = self.scheduler.worker_states.get(worker)
            if worker_state is not None and self.scheduler._has_room(worker_state, job):
                self.untried_workers.discard(worker)
                return worker_state
        return None


def start_trials(scheduler: Scheduler, workers: list[int], now: float) -> None:
    """Starts trials: each of these workers gets one request that would have gone to another worker.

    now: in ms, by the decision module's clock. Replaces the trials of an earlier call.
    """
    scheduler.placement_override = TrialPlacement(scheduler, workers, now) if workers else None
