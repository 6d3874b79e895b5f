"""Draws a fleet from a seed: its size, limits and settings, and faults that go with them."""

from __future__ import annotations

import random

from measure.soak.faults import QUIET_END_S, QUIET_START_S, Fault, FaultKind
from measure.soak.fleet import FleetPlan

MANY_WORKERS = (500, 1500, 3200)  # listed; STANDING.md has 3,200 at most
LIMITS = ((1024, 192), (1024, 192), (256, 96), (96, 32))  # descriptors, memory in MB
WORKER_RATE_PER_S = 8.0  # of requests; a worker does some 30
MORE_KINDS = (FaultKind.CROWD, FaultKind.RELOADS, FaultKind.SIGNALS, FaultKind.LIST_CHANGE)


def draw_plan(seed: int, rate_per_s: float) -> FleetPlan:
    """Returns the fleet of this seed; some have few workers, some list thousands."""
    draw = random.Random(f"{seed} plan")
    sockets, memory_mb = draw.choice(LIMITS)
    schedulers, workers = draw.choice((1, 2, 4, 6)), draw.choice((2, 3, 5, 8))
    return FleetPlan(
        schedulers=schedulers,
        workers=workers,
        drain_grace_s=draw.choice((0.3, 1.0, 2.0, 2.0, 2.0)),
        pushed=draw.random() < 0.2,
        rate_per_s=min(rate_per_s, WORKER_RATE_PER_S * workers / schedulers),
        placeholder_workers=draw.choice((0, 0, *MANY_WORKERS)),
        deadline_scale=draw.choice((0.25, 0.5, 1.0, 1.0)),
        sockets=sockets,
        memory_mb=memory_mb,
        lists_indented=draw.random() < 0.3,
        list_chunk_bytes=draw.choice((0, 0, 700, 5000)),
    )


def draw_more_faults(seed: int, span_s: float, plan: FleetPlan) -> list[Fault]:
    """Returns further faults: crowds, signals in series, changes of thousands of entries."""
    draw, found = random.Random(f"{seed} more"), []
    for _ in range(draw.randint(1, 5)):
        kind = draw.choice(MORE_KINDS)
        at_s = draw.uniform(QUIET_START_S, span_s - QUIET_END_S)
        found.append(Fault(at_s, kind, draw.randrange(plan.schedulers), draw.uniform(1.0, 5.0)))
    return found
