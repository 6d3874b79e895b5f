"""Draws the faults of a run from a seed: kind, start time, target and duration. Faults overlap in time."""

from __future__ import annotations

import enum
import random
from typing import NamedTuple

from measure.soak.fault_proxy import LinkState
from measure.soak.stand_ins import AnswerFault, WorkerMode

FAULT_FREE_START_S, FAULT_FREE_END_S = 2.0, 9.0  # independent faults begin between these parts of a run
ANSWER_SHARES = (0.02, 0.3, 0.7, 0.97)  # share of an answer's bytes that is written before its fault
CRASH_NOTICE_DELAY_S = (0.5, 4.0)  # shortest and longest time until discovery delists a crashed worker


class FaultKind(enum.StrEnum):
    """The kinds of faults. Seeds depend on their order."""

    ANSWER_FAULTS = "answers"  # in discovery's next answers to one scheduler
    ANSWER_FAULTS_FOR_ALL = "answers_of_all"  # in its next answers to every scheduler
    #: Each answer of discovery to one scheduler stalls before its end. The longest of these faults outlast
    #: the age that a list may have.
    NO_COMPLETE_ANSWER = "no_whole_answer"
    DISCOVERY_LINK = "discovery_link"
    DISCOVERY_DOWN = "discovery_down"
    DISCOVERY_RESET = "discovery_reset"
    WORKER_LINK = "worker_link"
    WORKER_RESET = "worker_reset"
    WORKER_MODE = "worker_mode"
    WORKER_CRASH = "worker_crash"
    WORKER_DRAIN = "worker_drain"
    PAUSE = "hold_up"  # by SIGSTOP, at most 0.15 s
    LONG_PAUSE = "long_hold_up"  # up to 10 s
    TERMINATE = "terminate"
    KILL = "kill"
    RELOAD = "reload"
    CLIENT_DISCONNECTS = "clients_leave"
    BURST = "burst"
    CONNECTION_FLOOD = "crowd"  # idle clients occupy the scheduler's descriptors
    REPEATED_RELOADS = "reloads"  # several new configurations, one after the other
    REPEATED_SIGNALS = "signals"  # SIGTERM, SIGHUP, SIGTERM, SIGINT
    LARGE_LIST_CHANGE = "list_change"  # many entries in one revision
    HOSTILE_CROWD = "hostile"  # clients that send much, slowly, in part or without reading answers


#: The kinds that draw_faults draws. Adding one changes the faults of every seed, so further kinds are drawn
#: by random_plan.draw_extra_faults.
BASE_KINDS = list(FaultKind)[: list(FaultKind).index(FaultKind.CONNECTION_FLOOD)]


class Fault(NamedTuple):
    """One fault.

    target: number of the scheduler or worker that it concerns; unused by kinds that concern all.
    answer_faults: faults of discovery's next answers, each with a share or a time (see AnswerFault).
    """

    at_s: float
    kind: FaultKind
    target: int
    duration_s: float
    answer_faults: tuple[tuple[AnswerFault, float], ...] = ()
    link_state: LinkState | None = None
    worker_mode: WorkerMode | None = None
    crowd_shapes: tuple[str, ...] = ()  # of measure.crowds.shapes
    crowd_size: int = 0


def draw_faults(seed: int, run_duration_s: float, scheduler_count: int, worker_count: int) -> list[Fault]:
    """Returns the faults of a run in the order of their start times. A seed always gives the same faults.

    run_duration_s: length of the run, at least 21 s.
    """
    rng = random.Random(seed)
    count = rng.randint(6, 8 + int(run_duration_s / 4.0))
    faults = [_draw_fault(rng, run_duration_s, scheduler_count, worker_count) for _ in range(count)]
    # Most runs drain workers while discovery's answers fail. In an incident, schedulers kept sending to
    # removed workers under these conditions.
    if rng.random() < 0.7:
        begin_s = rng.uniform(FAULT_FREE_START_S, run_duration_s - FAULT_FREE_END_S - 10.0)
        faults.append(_draw_answer_faults(rng, begin_s - 0.5, FaultKind.ANSWER_FAULTS_FOR_ALL, 0))
        drain_s = rng.uniform(8.0, 20.0)
        drain_count = rng.randint(1, 2)
        if rng.random() < 0.5:  # the scheduler is down for longer than the notification limit
            target, down_s = rng.randrange(scheduler_count), rng.uniform(8.5, 12.0)
            faults.append(Fault(begin_s - 0.3, FaultKind.KILL, target, down_s))
            drain_s = max(drain_s, down_s + 4.0)
            drain_count = worker_count // 2  # with fewer, its first requests may all go to other workers
        if rng.random() < 0.4:
            target = rng.randrange(scheduler_count)
            faults.append(Fault(begin_s - 0.2, FaultKind.NO_COMPLETE_ANSWER, target, rng.uniform(9.0, 14.0)))
        for offset, target in enumerate(rng.sample(range(worker_count), drain_count)):
            faults.append(Fault(begin_s + 0.4 * offset, FaultKind.WORKER_DRAIN, target, drain_s))
    return sorted(faults, key=lambda fault: fault.at_s)


def _draw_answer_faults(rng: random.Random, at_s: float, kind: FaultKind, target: int) -> Fault:
    answer_faults = tuple(
        (rng.choice(list(AnswerFault)), rng.choice(ANSWER_SHARES)) for _ in range(rng.randint(1, 4))
    )
    return Fault(at_s, kind, target, rng.uniform(2.0, 8.0), answer_faults=answer_faults)


def _draw_fault(rng: random.Random, run_duration_s: float, scheduler_count: int, worker_count: int) -> Fault:
    at_s = rng.uniform(FAULT_FREE_START_S, run_duration_s - FAULT_FREE_END_S)
    duration_s = min(
        rng.choice((0.5, 2.0, 5.0, 9.0)) * rng.uniform(0.5, 1.5),
        run_duration_s - FAULT_FREE_END_S - at_s + 3.0,
    )
    kind = rng.choice(BASE_KINDS)
    scheduler, worker = rng.randrange(scheduler_count), rng.randrange(worker_count)
    match kind:
        case FaultKind.ANSWER_FAULTS | FaultKind.ANSWER_FAULTS_FOR_ALL:
            return _draw_answer_faults(rng, at_s, kind, scheduler)
        case FaultKind.DISCOVERY_LINK:
            return Fault(
                at_s, kind, scheduler, duration_s, link_state=_draw_link(rng, allows_long_delay=True)
            )
        case FaultKind.WORKER_LINK:
            return Fault(at_s, kind, worker, duration_s, link_state=_draw_link(rng, allows_long_delay=False))
        case FaultKind.WORKER_MODE:
            worker_mode = rng.choice(
                [WorkerMode.NEVER_FINISHES, WorkerMode.NEVER_ANSWERS, WorkerMode.FAILS, WorkerMode.FULL]
            )
            return Fault(at_s, kind, worker, duration_s, worker_mode=worker_mode)
        case FaultKind.WORKER_CRASH | FaultKind.WORKER_DRAIN | FaultKind.WORKER_RESET:
            return Fault(at_s, kind, worker, duration_s)
        case FaultKind.PAUSE:
            return Fault(at_s, kind, scheduler, rng.uniform(0.02, 0.15))
        case FaultKind.LONG_PAUSE:
            return Fault(at_s, kind, scheduler, rng.uniform(0.5, 10.0))
        case _:
            return Fault(at_s, kind, scheduler, duration_s)


def _draw_link(rng: random.Random, allows_long_delay: bool) -> LinkState:
    match rng.randrange(6):
        case 0:
            return LinkState(delay_s=rng.uniform(0.01, 1.0 if allows_long_delay else 0.1))
        case 1:
            return LinkState(holds_requests=True)
        case 2:
            return LinkState(holds_answers=True)
        case 3:
            return LinkState(holds_requests=True, holds_answers=True)
        case 4:
            return LinkState(refuses_connections=True)
        case _:
            return LinkState(piece_bytes=rng.choice((1, 7, 100)), connect_delay_s=rng.uniform(0.0, 0.3))
