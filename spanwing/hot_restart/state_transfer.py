"""Exports and imports the scheduler's estimates and open requests for a hot restart.

These functions do no I/O. Both processes use the same clock, so times are imported unchanged. Estimates for a
class or a tenant that this process does not know are ignored. If the worker of a resumed attempt is not in
the endpoint list, it is added as a worker that has left the list. The work already forwarded to a worker that
is warming up is transferred too, so that both processes together stay within that worker's budget.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from spanwing import interface as api
from spanwing.hot_restart.messages import SchedulerEstimates, TransferredAttempt, WorkerEstimates
from spanwing.scheduler import ASSUMED_SLOTS, HANDLERS, MISSED_PROGRESS_INTERVALS, Scheduler
from spanwing.scheduler_state import Attempt, Job, TokenAccount, WorkerState


def export_worker(worker: WorkerState) -> WorkerEstimates:
    """Returns the estimates for a worker; an infinite time or limit becomes None."""
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


def import_worker(worker: WorkerState, estimates: WorkerEstimates, now_ms: float) -> None:
    """Sets the estimates for a worker.

    The slots that the predecessor has reserved count as load of other schedulers, observed at now_ms.
    """
    worker.estimated_slots, worker.slots_reported = estimates.estimated_slots, estimates.slots_reported
    worker.foreign_slots = estimates.foreign_slots + estimates.reserved_slots
    worker.last_observed_ms = (
        now_ms
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
    """Stops feeding workers that are warming up.

    From now on only the successor feeds them, as two feeders would exceed the budget of one.
    """
    scheduler.is_feeding_enabled, scheduler.fed_workers = False, []
    for worker in scheduler.worker_states.values():
        worker.feeder_share = 0.0


def resume_feeding(scheduler: Scheduler) -> None:
    """Resumes feeding workers that are warming up after the successor has ended.

    How much the successor has forwarded to them is unknown, so feeding starts with halved shares, as after a
    restart.
    """
    scheduler.is_feeding_enabled, scheduler.started_ms = True, scheduler.now
    for worker in scheduler.worker_states.values():
        worker.feeder_share = scheduler.is_feeder(worker.entry.id)
    scheduler.assign_workers()


def export_scheduler(scheduler: Scheduler, revision: int | None, discovery: str) -> SchedulerEstimates:
    """Returns the estimates that do not concern a single worker.

    revision and discovery: the revision of the endpoint list and the address of its discovery service.
    """
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


def import_scheduler(scheduler: Scheduler, estimates: SchedulerEstimates, now_ms: float) -> None:
    """Sets the estimates that do not concern a single worker; ignores unknown classes and tenants."""
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
    for name, (earned, spent, burst_allowance) in estimates.token_accounts.items():
        account: TokenAccount | None = scheduler.token_accounts.get(name)
        if account is not None:
            account.earned, account.spent, account.burst_allowance, account.refilled_ms = (
                earned,
                spent,
                burst_allowance,
                now_ms,
            )


class RequestResumed(NamedTuple):
    """An event for the scheduler: a request taken over from another process, with its attempts so far."""

    request: api.Request
    arrived_ms: float
    is_late: bool
    is_over_quota: bool
    attempts: list[TransferredAttempt]


def export_attempts(job: Job) -> list[TransferredAttempt]:
    """Returns the attempts of a request in the order in which they were started."""
    return [
        TransferredAttempt(
            each.worker.entry.id,
            each.forwarded_ms,
            each.is_open,
            each.started_ms,
            each.last_progress_ms,
            each.never_ran,
        )
        for each in job.attempts
    ]


def release_request(scheduler: Scheduler, request_id: str) -> None:
    """Removes a request that has been transferred: dequeues it and releases its reserved slots."""
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
    """Adds a request as if it had been submitted here, with the same counts and timers at the same times."""
    request = event.request
    index = scheduler.class_indexes.get(request.class_name, 0)
    job = Job(
        request,
        scheduler.settings.classes[index],
        index,
        event.arrived_ms,
        is_late=event.is_late,
        is_over_quota=event.is_over_quota,
    )
    scheduler.jobs[request.id] = job
    scheduler.timers.call_at(request.deadline, scheduler._finish_unserved, job)
    for number, transferred in enumerate(event.attempts):
        worker = scheduler.worker_states.get(transferred.worker_id)
        if worker is None:  # no longer in the endpoint list, but its attempt may still end
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
            scheduler.open_attempts[request.id, number] = attempt
            _reserve_slots(scheduler, attempt, number)
    if not any(each.is_open for each in job.attempts):
        scheduler._enqueue(job)
        scheduler._dispatch_queued()


def _reserve_slots(scheduler: Scheduler, attempt: Attempt, number: int) -> None:
    """Reserves the slots of a resumed attempt and starts its timers."""
    job, worker, settings = attempt.job, attempt.worker, scheduler.settings
    # import_worker() has counted these slots as load of other schedulers.
    worker.foreign_slots = max(0.0, worker.foreign_slots - job.request.slots)
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
