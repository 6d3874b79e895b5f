"""Draws a fleet's size, limits and settings from a seed, and additional faults for that fleet."""

from __future__ import annotations

import random

from measure.crowds.shapes import HTTP_SHAPES
from measure.soak.faults import FAULT_FREE_END_S, FAULT_FREE_START_S, Fault, FaultKind
from measure.soak.fleet import FleetPlan

MANY_PLACEHOLDERS = (500, 1500, 3200)  # the platform allows at most 3,200 workers in a list
PROCESS_LIMITS = ((1024, 192), (1024, 192), (256, 96), (96, 32))  # (descriptors, memory in MB)
MAX_WORKER_RATE_PER_S = 8.0  # requests; a worker can complete about 30
CROWD_SIZES = (50, 150, 400)  # connections
EXTRA_KINDS = (
    FaultKind.CONNECTION_FLOOD,
    FaultKind.REPEATED_RELOADS,
    FaultKind.REPEATED_SIGNALS,
    FaultKind.LARGE_LIST_CHANGE,
)


def draw_plan(seed: int, rate_per_s: float) -> FleetPlan:
    """Returns the fleet plan of this seed. Some plans add hundreds or thousands of placeholder workers.

    rate_per_s: upper limit of the request rate at each scheduler.
    """
    rng = random.Random(f"{seed} plan")
    max_descriptors, memory_limit_mb = rng.choice(PROCESS_LIMITS)
    scheduler_count, worker_count = rng.choice((1, 2, 4, 6)), rng.choice((2, 3, 5, 8))
    return FleetPlan(
        scheduler_count=scheduler_count,
        worker_count=worker_count,
        drain_grace_s=rng.choice((0.3, 1.0, 2.0, 2.0, 2.0)),
        uses_push=rng.random() < 0.2,
        rate_per_s=min(rate_per_s, MAX_WORKER_RATE_PER_S * worker_count / scheduler_count),
        placeholder_workers=rng.choice((0, 0, *MANY_PLACEHOLDERS)),
        deadline_scale=rng.choice((0.25, 0.5, 1.0, 1.0)),
        max_descriptors=max_descriptors,
        memory_limit_mb=memory_limit_mb,
        lists_indented=rng.random() < 0.3,
        list_chunk_bytes=rng.choice((0, 0, 700, 5000)),
    )


def draw_crowds(seed: int, run_duration_s: float, plan: FleetPlan) -> list[Fault]:
    """Returns 1 to 3 hostile crowds of one to three shapes each, in no particular order.

    run_duration_s: length of the run. No crowd begins in its first 2 s or last 9 s.
    """
    rng = random.Random(f"{seed} crowds")
    return [
        Fault(
            rng.uniform(FAULT_FREE_START_S, run_duration_s - FAULT_FREE_END_S),
            FaultKind.HOSTILE_CROWD,
            rng.randrange(plan.scheduler_count),
            rng.uniform(2.0, 6.0),
            crowd_shapes=tuple(rng.sample(sorted(HTTP_SHAPES), rng.randint(1, 3))),
            crowd_size=rng.choice(CROWD_SIZES),
        )
        for _ in range(rng.randint(1, 3))
    ]


def draw_extra_faults(seed: int, run_duration_s: float, plan: FleetPlan) -> list[Fault]:
    """Returns 1 to 5 faults of the kinds in EXTRA_KINDS, in no particular order.

    run_duration_s: length of the run. No fault begins in its first 2 s or last 9 s.
    """
    rng, found = random.Random(f"{seed} more"), []
    for _ in range(rng.randint(1, 5)):
        kind = rng.choice(EXTRA_KINDS)
        at_s = rng.uniform(FAULT_FREE_START_S, run_duration_s - FAULT_FREE_END_S)
        found.append(Fault(at_s, kind, rng.randrange(plan.scheduler_count), rng.uniform(1.0, 5.0)))
    return found
