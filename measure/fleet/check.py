"""Checks of a fleet run, computed from what clients and job workers recorded.

The schedulers are asked nothing. All functions are pure; most return one line for each violation of a rule:

- Every job gets exactly one answer, within its budget and ANSWER_GRACE_MS.
- A `schedule-apply` job, which is non-idempotent, runs at most once.
- No job is at two workers at a time, unless the first worker was killed or could not be told to drop it.
- No worker gets more work in any window of its slow start than its budget.
- Once a job has been accepted under a policy version, no job is accepted under an earlier version.

A record is a JSON object that parts.py or watched.py wrote. Its field `ev` is the kind of the event, `t` its
time in s of the wall clock. The id of a job begins with the name of its scheduler and a dash.
"""

from __future__ import annotations

from collections import Counter, defaultdict, deque
from collections.abc import Collection, Iterable, Iterator, Mapping
from typing import Any, NamedTuple

ANSWER_GRACE_MS = 1000.0  # all processes of the fleet share one machine


class WarmUpLimits(NamedTuple):
    """The settings and the worker properties from which the budget of a worker in slow start follows."""

    slow_start_initial_fraction: float
    slow_start_ms: float
    overload_multiple: float
    overload_window_ms: float
    slots: int
    run_ms: Mapping[str, float]  # mean run time by service class


def invalid_answers(
    records: Iterable[Mapping[str, Any]], disturbed: frozenset[str] = frozenset()
) -> list[str]:
    """Returns a line for each job that has no answer, several answers or a late one.

    disturbed: schedulers that were killed or stopped; their jobs are not checked.
    """
    requests, answers, violations = {}, defaultdict(list), []
    for record in records:
        if record["ev"] == "asked":
            requests[record["job"]] = record
        elif record["ev"] == "answer":
            answers[record["job"]].append(record)
    for job, request in requests.items():
        if job.split("-")[0] in disturbed:
            continue
        found = answers.get(job, [])
        if len(found) != 1 or found[0]["status"] == 0:
            violations.append(
                f"{job} ({request['cls']}): {len(found)} answers, {[answer['status'] for answer in found]}"
            )
        elif found[0]["took"] > request["budget"] + ANSWER_GRACE_MS:
            took_ms = found[0]["took"]
            violations.append(
                f"{job} ({request['cls']}): answered after {took_ms:.0f} ms of {request['budget']:.0f}"
            )
    return violations


def repeated_runs(records: Iterable[Mapping[str, Any]]) -> list[str]:
    """Returns a line for each further run of a `schedule-apply` job."""
    worker_by_job: dict[str, str] = {}
    violations = []
    for record in records:
        if record["ev"] == "run" and record["cls"] == "schedule-apply":
            if record["job"] in worker_by_job:
                violations.append(
                    f"{record['job']} ran at {worker_by_job[record['job']]} and at {record['worker']}"
                )
            worker_by_job[record["job"]] = record["worker"]
    return violations


def concurrent_assignments(
    records: Iterable[Mapping[str, Any]], disturbed: Collection[str] = ()
) -> list[str]:
    """Returns a line for each job that came to a worker while another one still had it.

    disturbed: workers that were killed or stopped, or whose links had a fault; they may not have received a
    cancellation, so a job that they have does not count.

    If a connection ends before the 202 of its job, the scheduler treats the job as not accepted, and so does
    this check from the end of the connection at the relay on. The worker may still read the job later; that
    arrival does not count. A `schedule-apply` may have run all the same and is not sent elsewhere, so for it
    the end of a connection changes nothing.
    """
    records = list(records)
    run_once_jobs = {
        record["job"] for record in records if record["ev"] == "got" and record.get("cls") == "schedule-apply"
    }
    workers_by_job: dict[str, set[str]] = defaultdict(set)
    unread: Counter[tuple[str, str]] = Counter()  # jobs by worker whose connection ended before their arrival
    violations = []
    for record in records:
        if record["ev"] in ("done", "dropped"):
            workers_by_job[record["job"]].discard(record["worker"])
        elif record["ev"] == "ended" and record["job"] not in run_once_jobs:
            if record["worker"] in workers_by_job[record["job"]]:
                workers_by_job[record["job"]].discard(record["worker"])
            else:
                unread[record["job"], record["worker"]] += 1
        elif record["ev"] == "got" and unread[record["job"], record["worker"]]:
            unread[record["job"], record["worker"]] -= 1
        elif record["ev"] == "got" and record["how"] == "up":
            others = workers_by_job[record["job"]] - {record["worker"]}
            if others.difference(disturbed):
                violations.append(
                    f"{record['job']} came to {record['worker']} while it was at {sorted(others)}"
                )
            workers_by_job[record["job"]].add(record["worker"])
    return violations


class BudgetWindow(NamedTuple):
    """The work that came to a worker in slow start within one overload window, and its budget then."""

    worker: str
    since_start_ms: float
    work_ms: float
    budget_ms: float


def budget_windows(
    records: Iterable[Mapping[str, Any]], starts_ms: Mapping[str, list[float]], limits: WarmUpLimits
) -> Iterator[BudgetWindow]:
    """Yields the window that ends with each arrival of a job at a worker in slow start.

    starts_ms: by worker, when each of its slow starts began, in ms of the wall clock. The budget is that of
    the worker's capacity at the arrival.
    """
    arrivals_by_worker: dict[str, deque[tuple[float, float]]] = defaultdict(deque)  # arrival ms, work in ms
    for record in records:
        if record["ev"] != "got":
            continue
        now_ms, worker = record["t"] * 1000.0, record["worker"]
        start_ms = max((start for start in starts_ms.get(worker, ()) if start <= now_ms), default=None)
        if start_ms is None or now_ms - start_ms >= limits.slow_start_ms:
            continue
        window = arrivals_by_worker[worker]
        window.append((now_ms, limits.run_ms[record["cls"]]))
        while window[0][0] <= now_ms - limits.overload_window_ms or window[0][0] < start_ms:
            window.popleft()
        capacity_fraction = (
            limits.slow_start_initial_fraction
            + (1.0 - limits.slow_start_initial_fraction) * (now_ms - start_ms) / limits.slow_start_ms
        )
        yield BudgetWindow(
            worker,
            now_ms - start_ms,
            sum(work_ms for _, work_ms in window),
            limits.overload_multiple * capacity_fraction * limits.slots * limits.overload_window_ms,
        )


def exceeded_budgets(
    records: Iterable[Mapping[str, Any]], starts_ms: Mapping[str, list[float]], limits: WarmUpLimits
) -> list[str]:
    """Returns a line for each window in which a worker in slow start got more work than its budget."""
    return [
        f"{window.worker}: {window.work_ms:.0f} ms of work in a window of {window.budget_ms:.0f}, "
        f"{window.since_start_ms:.0f} ms after its start"
        for window in budget_windows(records, starts_ms, limits)
        if window.work_ms > window.budget_ms
    ]


def version_regressions(records: Iterable[Mapping[str, Any]]) -> list[str]:
    """Returns a line for each job that was accepted under an earlier policy version than a previous job."""
    highest_version, scheduler, violations = 0, "", []
    for record in records:
        if record["ev"] != "taken":
            continue
        if record["version"] < highest_version:
            violations.append(
                f"{record['job']} was taken under version {record['version']} by {record['scheduler']}, "
                f"after one under {highest_version} by {scheduler}"
            )
        elif record["version"] > highest_version:
            highest_version, scheduler = record["version"], record["scheduler"]
    return violations


def arrivals(
    records: Iterable[Mapping[str, Any]],
    workers: Iterable[str],
    begin: float,
    end: float,
    schedulers: Iterable[str] | None = None,
) -> list[str]:
    """Returns a line for each job that came to these workers from begin to end, in s of the wall clock.

    schedulers: counts only the jobs of these; None: of all.
    """
    names, senders = set(workers), None if schedulers is None else set(schedulers)
    return [
        f"{record['job']} at {record['worker']}, {record['t'] - begin:.3f} s after"
        for record in records
        if record["ev"] == "got"
        and record["worker"] in names
        and begin <= record["t"] < end
        and (senders is None or record["job"].split("-")[0] in senders)
    ]


def count_outcomes(records: Iterable[Mapping[str, Any]], begin: float, end: float) -> dict[str, int]:
    """Returns the number of answers by class and status, of the jobs sent from begin to end, in s."""
    sent_at, counts = {}, defaultdict(int)
    for record in records:
        if record["ev"] == "asked":
            sent_at[record["job"]] = record["t"]
        elif record["ev"] == "answer" and begin <= sent_at.get(record["job"], 0.0) < end:
            counts[f"{record['cls']} {record['status']}"] += 1
    return dict(counts)
