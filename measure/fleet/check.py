"""What must hold of a fleet's day, from what clients and job workers wrote down; nothing is asked of the
schedulers.

Guarantees: pure; each broken rule is one line. Rules: every job has one answer, by its deadline and GRACE_MS;
a `schedule-apply` runs once at most; no job is at two workers at a time, unless the first one was killed or
its worker could not be told; a cold worker gets no more work in any window than its budget.
"""

from __future__ import annotations

from collections import Counter, defaultdict, deque
from collections.abc import Collection, Iterable, Iterator, Mapping
from typing import Any, NamedTuple

GRACE_MS = 1000.0  # of a machine that is shared by all of these processes


class WarmUpLimits(NamedTuple):
    """What a cold worker bears."""

    cold_from: float
    cold_ms: float
    fall_multiple: float
    fall_ms: float
    slots: int
    run_ms: Mapping[str, float]


def invalid_answers(records: Iterable[Mapping[str, Any]], gone: frozenset[str] = frozenset()) -> list[str]:
    """gone: schedulers that were killed, which owe nothing any more."""
    asked, told, wrong = {}, defaultdict(list), []
    for each in records:
        if each["ev"] == "asked":
            asked[each["job"]] = each
        elif each["ev"] == "answer":
            told[each["job"]].append(each)
    for job, each in asked.items():
        if job.split("-")[0] in gone:
            continue
        found = told.get(job, [])
        if len(found) != 1 or found[0]["status"] == 0:
            wrong.append(f"{job} ({each['cls']}): {len(found)} answers, {[one['status'] for one in found]}")
        elif found[0]["took"] > each["budget"] + GRACE_MS:
            took = found[0]["took"]
            wrong.append(f"{job} ({each['cls']}): answered after {took:.0f} ms of {each['budget']:.0f}")
    return wrong


def repeated_runs(records: Iterable[Mapping[str, Any]]) -> list[str]:
    """schedule-apply never runs twice."""
    seen: dict[str, str] = {}
    wrong = []
    for each in records:
        if each["ev"] == "run" and each["cls"] == "schedule-apply":
            if each["job"] in seen:
                wrong.append(f"{each['job']} ran at {seen[each['job']]} and at {each['worker']}")
            seen[each["job"]] = each["worker"]
    return wrong


def concurrent_assignments(records: Iterable[Mapping[str, Any]], spared: Collection[str] = ()) -> list[str]:
    """No job is at two workers at a time; spared: workers that were killed or stopped, or whose links were
    touched, so that they could not be told. A job whose connection ended before its 202 is given up, as soon
    as the link hears of that end; its worker may come to read it later. A `schedule-apply` is not: it may
    have run, and goes nowhere else."""
    records = list(records)
    once = {each["job"] for each in records if each["ev"] == "got" and each.get("cls") == "schedule-apply"}
    out: dict[str, set[str]] = defaultdict(set)
    unread: Counter[tuple[str, str]] = Counter()
    wrong = []
    for each in records:
        if each["ev"] in ("done", "dropped"):
            out[each["job"]].discard(each["worker"])
        elif each["ev"] == "ended" and each["job"] not in once:
            if each["worker"] in out[each["job"]]:
                out[each["job"]].discard(each["worker"])
            else:
                unread[each["job"], each["worker"]] += 1
        elif each["ev"] == "got" and unread[each["job"], each["worker"]]:
            unread[each["job"], each["worker"]] -= 1
        elif each["ev"] == "got" and each["how"] == "up":
            others = out[each["job"]] - {each["worker"]}
            if others.difference(spared):
                wrong.append(f"{each['job']} came to {each['worker']} while it was at {sorted(others)}")
            out[each["job"]].add(each["worker"])
    return wrong


class Window(NamedTuple):
    """What came to a cold worker within fall_ms, and what it bears."""

    worker: str
    after: float  # ms since its start
    work: float
    budget: float


def budget_windows(
    records: Iterable[Mapping[str, Any]], started: Mapping[str, list[float]], cold: WarmUpLimits
) -> Iterator[Window]:
    """One at each arrival at a cold worker. started: by worker, when each of its cold lives began, in ms of
    the wall clock."""
    came: dict[str, deque[tuple[float, float]]] = defaultdict(deque)
    for each in records:
        if each["ev"] != "got":
            continue
        at, worker = each["t"] * 1000.0, each["worker"]
        life = max((begun for begun in started.get(worker, ()) if begun <= at), default=None)
        if life is None or at - life >= cold.cold_ms:
            continue
        window = came[worker]
        window.append((at, cold.run_ms[each["cls"]]))
        while window[0][0] <= at - cold.fall_ms or window[0][0] < life:
            window.popleft()
        share = cold.cold_from + (1.0 - cold.cold_from) * (at - life) / cold.cold_ms
        yield Window(
            worker,
            at - life,
            sum(one for _, one in window),
            cold.fall_multiple * share * cold.slots * cold.fall_ms,
        )


def exceeded_budgets(
    records: Iterable[Mapping[str, Any]], started: Mapping[str, list[float]], cold: WarmUpLimits
) -> list[str]:
    return [
        f"{each.worker}: {each.work:.0f} ms of work in a window of {each.budget:.0f}, "
        f"{each.after:.0f} ms after its start"
        for each in budget_windows(records, started, cold)
        if each.work > each.budget
    ]


def version_regressions(records: Iterable[Mapping[str, Any]]) -> list[str]:
    """Once any scheduler has taken a job under a version, none takes one under an earlier one."""
    highest, by, wrong = 0, "", []
    for each in records:
        if each["ev"] != "taken":
            continue
        if each["version"] < highest:
            wrong.append(
                f"{each['job']} was taken under version {each['version']} by {each['scheduler']}, "
                f"after one under {highest} by {by}"
            )
        elif each["version"] > highest:
            highest, by = each["version"], each["scheduler"]
    return wrong


def arrivals(
    records: Iterable[Mapping[str, Any]],
    workers: Iterable[str],
    begin: float,
    end: float,
    schedulers: Iterable[str] | None = None,
) -> list[str]:
    """Jobs that came to these workers from begin to end, in s of the wall clock, by these schedulers."""
    names, by = set(workers), None if schedulers is None else set(schedulers)
    return [
        f"{each['job']} at {each['worker']}, {each['t'] - begin:.3f} s after"
        for each in records
        if each["ev"] == "got"
        and each["worker"] in names
        and begin <= each["t"] < end
        and (by is None or each["job"].split("-")[0] in by)
    ]


def count_outcomes(records: Iterable[Mapping[str, Any]], begin: float, end: float) -> dict[str, int]:
    """Answers to jobs that were asked in a time, by class and status."""
    times, found = {}, defaultdict(int)
    for each in records:
        if each["ev"] == "asked":
            times[each["job"]] = each["t"]
        elif each["ev"] == "answer" and begin <= times.get(each["job"], 0.0) < end:
            found[f"{each['cls']} {each['status']}"] += 1
    return dict(found)
