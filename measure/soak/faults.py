"""The faults of a run, drawn from a seed: what, when, at whom, for how long. They overlap in time."""

from __future__ import annotations

import enum
import random
from typing import NamedTuple

from measure.soak.fault_proxy import LinkState
from measure.soak.stand_ins import AnswerFault, WorkerMode

QUIET_START_S, QUIET_END_S = 2.0, 9.0
ANSWER_SHARES = (0.02, 0.3, 0.7, 0.97)  # of an answer that come before its fault
GRACE_OF_CRASH_S = (0.5, 4.0)  # until discovery notices that a worker has gone


class FaultKind(enum.StrEnum):
    """What goes wrong."""

    ANSWERS = "answers"  # of discovery to one scheduler
    ANSWERS_OF_ALL = "answers_of_all"
    NO_WHOLE_ANSWER = "no_whole_answer"  # to one scheduler, for longer than the rules allow a list to be old
    DISCOVERY_LINK = "discovery_link"
    DISCOVERY_DOWN = "discovery_down"
    DISCOVERY_RESET = "discovery_reset"
    WORKER_LINK = "worker_link"
    WORKER_RESET = "worker_reset"
    WORKER_MODE = "worker_mode"
    WORKER_CRASH = "worker_crash"
    WORKER_DRAIN = "worker_drain"
    HOLD_UP = "hold_up"
    LONG_HOLD_UP = "long_hold_up"
    TERMINATE = "terminate"
    KILL = "kill"
    RELOAD = "reload"
    CLIENTS_LEAVE = "clients_leave"
    BURST = "burst"
    CROWD = "crowd"  # idle clients fill the descriptors
    RELOADS = "reloads"  # new configurations in a row
    SIGNALS = "signals"  # SIGHUP, SIGTERM and both again
    LIST_CHANGE = "list_change"  # of many entries at once


#: Drawn by draw_faults, whose seeds stay what they were; the others are drawn with a plan.
FIRST_KINDS = list(FaultKind)[: list(FaultKind).index(FaultKind.CROWD)]


class Fault(NamedTuple):
    """One fault; its target is a scheduler or a worker by number, where it has one."""

    at_s: float
    kind: FaultKind
    target: int
    span_s: float
    answers: tuple[tuple[AnswerFault, float], ...] = ()
    link: LinkState | None = None
    mode: WorkerMode | None = None


def draw_faults(seed: int, span_s: float, schedulers: int, workers: int) -> list[Fault]:
    """Returns the faults of a run of this length, in the order of time; the same for the same seed."""
    draw = random.Random(seed)
    count = draw.randint(6, 8 + int(span_s / 4.0))
    faults = [_draw_fault(draw, span_s, schedulers, workers) for _ in range(count)]
    # Most runs have changes of the list right beside trouble with discovery: the class of the incident.
    if draw.random() < 0.7:
        begin_s = draw.uniform(QUIET_START_S, span_s - QUIET_END_S - 10.0)
        faults.append(_answers(draw, begin_s - 0.5, FaultKind.ANSWERS_OF_ALL, 0))
        drain_s = draw.uniform(8.0, 20.0)
        drain_count = draw.randint(1, 2)
        if draw.random() < 0.5:  # a scheduler is away for longer than a change takes to count as notified
            target, down_s = draw.randrange(schedulers), draw.uniform(8.5, 12.0)
            faults.append(Fault(begin_s - 0.3, FaultKind.KILL, target, down_s))
            drain_s = max(drain_s, down_s + 4.0)
            drain_count = workers // 2  # or its first requests go to others by chance
        if draw.random() < 0.4:
            target = draw.randrange(schedulers)
            faults.append(Fault(begin_s - 0.2, FaultKind.NO_WHOLE_ANSWER, target, draw.uniform(9.0, 14.0)))
        for offset, target in enumerate(draw.sample(range(workers), drain_count)):
            faults.append(Fault(begin_s + 0.4 * offset, FaultKind.WORKER_DRAIN, target, drain_s))
    return sorted(faults, key=lambda fault: fault.at_s)


def _answers(draw: random.Random, at_s: float, kind: FaultKind, target: int) -> Fault:
    answers = tuple(
        (draw.choice(list(AnswerFault)), draw.choice((0.02, 0.3, 0.7, 0.97)))
        for _ in range(draw.randint(1, 4))
    )
    return Fault(at_s, kind, target, draw.uniform(2.0, 8.0), answers=answers)


def _draw_fault(draw: random.Random, span_s: float, schedulers: int, workers: int) -> Fault:
    at_s = draw.uniform(QUIET_START_S, span_s - QUIET_END_S)
    lasts_s = min(
        draw.choice((0.5, 2.0, 5.0, 9.0)) * draw.uniform(0.5, 1.5), span_s - QUIET_END_S - at_s + 3.0
    )
    kind = draw.choice(FIRST_KINDS)
    scheduler, worker = draw.randrange(schedulers), draw.randrange(workers)
    match kind:
        case FaultKind.ANSWERS | FaultKind.ANSWERS_OF_ALL:
            return _answers(draw, at_s, kind, scheduler)
        case FaultKind.DISCOVERY_LINK:
            return Fault(at_s, kind, scheduler, lasts_s, link=_draw_link(draw, slow=True))
        case FaultKind.WORKER_LINK:
            return Fault(at_s, kind, worker, lasts_s, link=_draw_link(draw, slow=False))
        case FaultKind.WORKER_MODE:
            mode = draw.choice([WorkerMode.HANGS, WorkerMode.MUTE, WorkerMode.FAILS, WorkerMode.FULL])
            return Fault(at_s, kind, worker, lasts_s, mode=mode)
        case FaultKind.WORKER_CRASH | FaultKind.WORKER_DRAIN | FaultKind.WORKER_RESET:
            return Fault(at_s, kind, worker, lasts_s)
        case FaultKind.HOLD_UP:
            return Fault(at_s, kind, scheduler, draw.uniform(0.02, 0.15))
        case FaultKind.LONG_HOLD_UP:
            return Fault(at_s, kind, scheduler, draw.uniform(0.5, 10.0))
        case _:
            return Fault(at_s, kind, scheduler, lasts_s)


def _draw_link(draw: random.Random, slow: bool) -> LinkState:
    match draw.randrange(6):
        case 0:
            return LinkState(delay_s=draw.uniform(0.01, 1.0 if slow else 0.1))
        case 1:
            return LinkState(holds_requests=True)
        case 2:
            return LinkState(holds_answers=True)
        case 3:
            return LinkState(holds_requests=True, holds_answers=True)
        case 4:
            return LinkState(refuses=True)
        case _:
            return LinkState(piece_bytes=draw.choice((1, 7, 100)), connect_delay_s=draw.uniform(0.0, 0.3))
