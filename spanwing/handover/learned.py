"""What the module has learned and what it has open, told to the process that takes its place.

Guarantees: pure; what comes out of one module goes into another as it was, by the same clock, and nothing
that the other side names wrongly (a class, a tenant, a job worker unknown here) changes anything. Budgets of
cold job workers go over with what was sent to them, so both processes together stay under them.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from spanwing import interface as api
from spanwing.choice import GUESS, HANDLERS, MISSED, Dispatcher
from spanwing.handover.messages import Learned, Tried, WorkerSeen
from spanwing.state import Attempt, Job, Ledger, View


def of_worker(view: View) -> WorkerSeen:
    return WorkerSeen(
        view.entry.id,
        view.total,
        view.learned,
        view.held,
        view.others,
        None if math.isinf(view.seen) else view.seen,
        view.heard,
        view.tells,
        view.rest_until,
        view.strikes,
        None if math.isinf(view.limit) else view.limit,
        view.peak,
        view.no_raise,
        view.pace,
        list(view.sent),
    )


def into_worker(view: View, seen: WorkerSeen, now: float) -> None:
    """What the predecessor holds there counts as others', seen now."""
    view.total, view.learned = seen.total, seen.learned
    view.others = seen.others + seen.held
    view.seen = now if seen.held else -math.inf if seen.seen is None else seen.seen
    view.heard, view.tells, view.rest_until = seen.heard, seen.tells, seen.rest_until
    view.strikes, view.limit = seen.strikes, math.inf if seen.limit is None else seen.limit
    view.peak, view.no_raise, view.pace = seen.peak, seen.no_raise, seen.pace
    view.sent.extend(seen.sent)


def feed_no_more(module: Dispatcher) -> None:
    """The successor feeds the cold job workers from now on: one budget, one feeder."""
    module.feeding, module.fed = False, []
    for view in module.views.values():
        view.owner = 0.0


def feed_again(module: Dispatcher) -> None:
    """There is no successor any more. What it sent is not known: feeding begins with halved parts, as after a
    restart."""
    module.feeding, module.born = True, module.now
    for view in module.views.values():
        view.owner = module.feeds(view.entry.id)
    module.divide()


def of_module(module: Dispatcher, revision: int | None, discovery: str) -> Learned:
    names = [each.name for each in module.set.classes]
    return Learned(
        revision,
        discovery,
        module.born,
        dict(zip(names, module.work, strict=True)),
        dict(module.quick),
        dict(module.kinds),
        module.busy,
        module.keys,
        module.accepts,
        {
            name: (each.earned, each.spent, each.credit)
            for name, each in module.ledgers.items()
            if name is not None
        },
    )


def into_module(module: Dispatcher, learned: Learned, now: float) -> None:
    module.born, module.busy, module.keys = learned.born, learned.busy, learned.keys
    module.accepts |= learned.accepts
    module.kinds.update(learned.kinds)
    module.quick.update(learned.quick)
    for name, work in learned.work.items():
        if name in module.index:
            module.work[module.index[name]] = work
    for name, (earned, spent, credit) in learned.ledgers.items():
        ledger: Ledger | None = module.ledgers.get(name)
        if ledger is not None:
            ledger.earned, ledger.spent, ledger.credit, ledger.at = earned, spent, credit, now


class Resumed(NamedTuple):
    """An event of the module: a request that another process had, with its attempts so far."""

    request: api.Request
    born: float
    spoilt: bool
    over: bool
    tried: list[Tried]


def of_job(job: Job) -> list[Tried]:
    return [
        Tried(each.view.entry.id, each.at, each.open, each.started, each.noted, each.proof)
        for each in job.attempts
    ]


def forget(module: Dispatcher, request: str) -> None:
    """The request is another process's from now on: nothing is decided on it here, nor held for it."""
    job = module.jobs.pop(request)
    module._unhold(job)
    for number, attempt in enumerate(job.attempts):
        if attempt.open:
            del module.open[request, number]
            attempt.open, view = False, attempt.view
            view.held -= job.req.slots
            view.memory -= job.req.memory
            view.running -= job.req.slots if attempt.started else 0


def _resumed(module: Dispatcher, event: Resumed) -> None:
    """As if this module had begun it: the same counts, the same alarms from the same moments."""
    req = event.request
    index = module.index.get(req.cls, 0)
    job = Job(req, module.set.classes[index], index, event.born, spoilt=event.spoilt, over=event.over)
    module.jobs[req.id] = job
    module.alarms.add(req.deadline, module._end, job)
    for number, told in enumerate(event.tried):
        view = module.views.get(told.worker)
        if view is None:  # gone from the list, and what it has may still end
            view = module.views[told.worker] = View(api.Worker(told.worker, "gone"), False, GUESS)
        attempt = Attempt(job, view, told.at, told.open, told.started, told.noted, told.proof)
        job.attempts.append(attempt)
        if told.open:
            module.open[req.id, number] = attempt
            _hold_slots(module, attempt, number)
    if not any(each.open for each in job.attempts):
        module._hold(job)
        module._drain()


def _hold_slots(module: Dispatcher, attempt: Attempt, number: int) -> None:
    job, view, settings = attempt.job, attempt.view, module.set
    view.others = max(0.0, view.others - job.req.slots)  # counted there until now
    view.held += job.req.slots
    view.memory += job.req.memory
    quick = module.quick.get(view.entry.zone, 10.0)
    if attempt.started:
        view.running += job.req.slots
        view.peak = max(view.peak, view.running)
    elif settings.tells_start:
        module.alarms.add(attempt.at + 3.0 * quick + 2 * settings.tick, module._late_start, attempt, number)
    if attempt.noted and settings.progress > 0 and settings.cancel:
        module.alarms.add(attempt.noted + MISSED * settings.progress, module._unheard, attempt, number)
    module.alarms.add(attempt.at + quick + 4.0 * module.work[job.index], module._silent, attempt, number)


HANDLERS[Resumed] = _resumed
