"""Transfers the scheduler's estimates and open requests to the process that replaces this one.

Pure. State is imported as it was exported, by the same clock; estimates of a class, tenant or worker that is
unknown here are ignored, and a resumed attempt's unknown worker counts as gone from the list. The budgets of
workers that are warming up are transferred with the work already forwarded to them, so that both processes
together stay within them.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from spanwing import interface as api
from spanwing.hot_restart.messages import SchedulerEstimates, TransferredAttempt, WorkerEstimates
from spanwing.scheduler import ASSUMED_SLOTS, HANDLERS, MISSED_PROGRESS_INTERVALS, Scheduler
from spanwing.scheduler_state import Attempt, Job, TokenAccount, WorkerState


def export_worker(worker: WorkerState) -> WorkerEstimates:
    """Returns the estimates of one worker."""
    return WorkerEstimates(
        worker.entry.id,
        worker.estimated_slots,
        worker.slots_reported,
        worker.reserved_slots,
        worker.foreign_slots,
        None if math.isinf(worker.last_observed_ms) else worker.last_observed_ms,
        worker.last_heard_ms,
        worker.reports_progress,
        worker.ejected_until_ms,
        worker.ejection_count,
        None if math.isinf(worker.concurrency_limit) else worker.concurrency_limit,
        worker.peak_running_slots,
        worker.capacity_fixed_until_ms,
        worker.relative_service_time,
        list(worker.recent_work),
    )


def import_worker(worker: WorkerState, estimates: WorkerEstimates, now: float) -> None:
    """Sets a worker's estimates; the predecessor's reserved slots count as load of others, seen now."""
    worker.estimated_slots, worker.slots_reported = estimates.estimated_slots, estimates.slots_reported
    worker.foreign_slots = estimates.foreign_slots + estimates.reserved_slots
    worker.last_observed_ms = (
        now
        if estimates.reserved_slots
        else -math.inf
        if estimates.last_observed_ms is None
        else estimates.last_observed_ms
    )
    worker.last_heard_ms, worker.reports_progress, worker.ejected_until_ms = (
        estimates.last_heard_ms,
        estimates.reports_progress,
        estimates.ejected_until_ms,
    )
    worker.ejection_count, worker.concurrency_limit = (
        estimates.ejection_count,
        math.inf if estimates.concurrency_limit is None else estimates.concurrency_limit,
    )
    worker.peak_running_slots, worker.capacity_fixed_until_ms, worker.relative_service_time = (
        estimates.peak_running_slots,
        estimates.capacity_fixed_until_ms,
        estimates.relative_service_time,
    )
    worker.recent_work.extend(estimates.recent_work)


def stop_feeding(scheduler: Scheduler) -> None:
    """Stops feeding workers that are warming up; the successor feeds them: one budget, one feeder."""
    scheduler.is_feeding_enabled, scheduler.fed_workers = False, []
    for view in scheduler.worker_states.values():
        view.feeder_share = 0.0


def resume_feeding(scheduler: Scheduler) -> None:
    """Resumes feeding, as the successor has gone.

    What it forwarded is not known, so feeding begins with halved parts, as after a restart.
    """
    scheduler.is_feeding_enabled, scheduler.started_ms = True, scheduler.now
    for view in scheduler.worker_states.values():
        view.feeder_share = scheduler.is_feeder(view.entry.id)
    scheduler.assign_workers()


def export_scheduler(scheduler: Scheduler, revision: int | None, discovery: str) -> SchedulerEstimates:
    """Returns the scheduler's estimates that concern no single worker, and the list's revision."""
    class_names = [each.name for each in scheduler.settings.classes]
    return SchedulerEstimates(
        revision,
        discovery,
        scheduler.started_ms,
        dict(zip(class_names, scheduler.mean_service_ms, strict=True)),
        dict(scheduler.start_delay_by_zone),
        dict(scheduler.slots_by_kind),
        scheduler.fleet_utilization,
        scheduler.sticky_share,
        scheduler.acceptance_reported,
        {
            name: (each.earned, each.spent, each.burst_allowance)
            for name, each in scheduler.token_accounts.items()
            if name is not None
        },
    )


def import_scheduler(scheduler: Scheduler, estimates: SchedulerEstimates, now: float) -> None:
    """Sets the scheduler's estimates; classes and tenants that are unknown here are left out."""
    scheduler.started_ms, scheduler.fleet_utilization, scheduler.sticky_share = (
        estimates.started_ms,
        estimates.fleet_utilization,
        estimates.sticky_share,
    )
    scheduler.acceptance_reported |= estimates.acceptance_reported
    scheduler.slots_by_kind.update(estimates.slots_by_kind)
    scheduler.start_delay_by_zone.update(estimates.start_delay_by_zone)
    for name, service_ms in estimates.mean_service_ms.items():
        if name in scheduler.class_indexes:
            scheduler.mean_service_ms[scheduler.class_indexes[name]] = service_ms
    for name, (earned, spent, credit) in estimates.token_accounts.items():
        account: TokenAccount | None = scheduler.token_accounts.get(name)
        if account is not None:
            account.earned, account.spent, account.burst_allowance, account.refilled_ms = (
                earned,
                spent,
                credit,
                now,
            )


class RequestResumed(NamedTuple):
    """An event for the scheduler: another process's request, with its attempts so far."""

    request: api.Request
    arrived_ms: float
    is_late: bool
    is_over_quota: bool
    attempts: list[TransferredAttempt]


def export_attempts(request: Job) -> list[TransferredAttempt]:
    """Returns the attempts of a request, in their order."""
    return [
        TransferredAttempt(
            each.worker.entry.id,
            each.forwarded_ms,
            each.is_open,
            each.started_ms,
            each.last_progress_ms,
            each.never_ran,
        )
        for each in request.attempts
    ]


def release_request(scheduler: Scheduler, request_id: str) -> None:
    """Drops a request that another process now has: it is no longer queued, and its slots are released."""
    job = scheduler.jobs.pop(request_id)
    scheduler._dequeue(job)
    for number, attempt in enumerate(job.attempts):
        if attempt.is_open:
            del scheduler.open_attempts[request_id, number]
            attempt.is_open, worker = False, attempt.worker
            worker.reserved_slots -= job.request.slots
            worker.reserved_memory -= job.request.memory
            worker.running_slots -= job.request.slots if attempt.started_ms else 0


def _resume_request(scheduler: Scheduler, event: RequestResumed) -> None:
    """Adds a request as if it had begun here: the same counts, the same alarms from the same moments."""
    req = event.request
    index = scheduler.class_indexes.get(req.class_name, 0)
    job = Job(
        req,
        scheduler.settings.classes[index],
        index,
        event.arrived_ms,
        is_late=event.is_late,
        is_over_quota=event.is_over_quota,
    )
    scheduler.jobs[req.id] = job
    scheduler.timers.call_at(req.deadline, scheduler._finish_unserved, job)
    for number, transferred in enumerate(event.attempts):
        worker = scheduler.worker_states.get(transferred.worker_id)
        if worker is None:  # gone from the list; its attempt may still end
            worker = scheduler.worker_states[transferred.worker_id] = WorkerState(
                api.Worker(transferred.worker_id, "gone"), False, ASSUMED_SLOTS
            )
        attempt = Attempt(
            job,
            worker,
            transferred.forwarded_ms,
            transferred.is_open,
            transferred.started_ms,
            transferred.last_progress_ms,
            transferred.never_ran,
        )
        job.attempts.append(attempt)
        if transferred.is_open:
            scheduler.open_attempts[req.id, number] = attempt
            _reserve_slots(scheduler, attempt, number)
    if not any(each.is_open for each in job.attempts):
        scheduler._enqueue(job)
        scheduler._dispatch_queued()


def _reserve_slots(scheduler: Scheduler, attempt: Attempt, number: int) -> None:
    job, worker, settings = attempt.job, attempt.worker, scheduler.settings
    worker.foreign_slots = max(
        0.0, worker.foreign_slots - job.request.slots
    )  # counted as load of others until now
    worker.reserved_slots += job.request.slots
    worker.reserved_memory += job.request.memory
    start_delay_ms = scheduler.start_delay_by_zone.get(worker.entry.zone, 10.0)
    if attempt.started_ms:
        worker.running_slots += job.request.slots
        worker.peak_running_slots = max(worker.peak_running_slots, worker.running_slots)
    elif settings.tells_start:
        scheduler.timers.call_at(
            attempt.forwarded_ms + 3.0 * start_delay_ms + 2 * settings.tick_ms,
            scheduler._check_started,
            attempt,
            number,
        )
    if attempt.last_progress_ms and settings.progress_interval_ms > 0 and settings.cancel:
        scheduler.timers.call_at(
            attempt.last_progress_ms + MISSED_PROGRESS_INTERVALS * settings.progress_interval_ms,
            scheduler._check_progress,
            attempt,
            number,
        )
    scheduler.timers.call_at(
        attempt.forwarded_ms + start_delay_ms + 4.0 * scheduler.mean_service_ms[job.class_index],
        scheduler._check_heard,
        attempt,
        number,
    )


HANDLERS[RequestResumed] = _resume_request
