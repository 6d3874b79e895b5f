"""Detects a failed zone, as distinct from a cut-off scheduler, a few bad workers or a full zone.

Pure. All credible observers in one zone together have one vote on a worker, and a worker is down if more
zones vote it bad than good. A zone has failed if two thirds of its workers are down, at most a sixth are
good, and enough observers agree, from at least two zones if there are observers in two. An observer that is
itself cut off does not count. docs/design/zones.md has the reasons for these rules.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Collection, Mapping
from typing import Literal, NamedTuple

from spanwing.zones.evidence import ZoneEvidence

# Fractions of a zone's workers: down, at most good in a failed zone, and good from inside in a cut-off zone.
DOWN_FRACTION, MAX_GOOD_FRACTION, MIN_GOOD_INSIDE_FRACTION = (2 / 3, 1 / 6, 1 / 3)
MAX_REQUIRED_OBSERVERS = 5
MIN_SAMPLE_WORKERS = 3  # fewest workers with evidence that represent a zone if is_sampled
Finding = Literal["failed", "cut", "well", "unknown"]


class Observer(NamedTuple):
    """A scheduler that holds a lease: its zone, and its evidence by zone."""

    zone: str
    evidence: Mapping[str, ZoneEvidence]


class ZoneVerdict(NamedTuple):
    """The verdict on one zone, and the counts that led to it.

    finding: "failed"; "cut" if schedulers in the zone see its workers as good while those of two other zones
    see them as down; "well"; or "unknown".
    """

    finding: Finding
    down_workers: int
    good_workers: int
    known_workers: int
    agreeing_observers: int  # credible observers with more bad than good workers in the zone

    def __str__(self) -> str:
        return (
            f"{self.down_workers} of {self.known_workers} workers down, "
            f"{self.good_workers} good, {self.agreeing_observers} observers"
        )


def is_credible(zone: str, observer: Observer) -> bool:
    """Returns whether the observer's evidence on this zone counts.

    It does if the observer sees a good worker in another zone; if it has evidence on remote zones other than
    this one, one of them must have a good worker.
    """
    others = {
        name: evidence
        for name, evidence in observer.evidence.items()
        if name != zone and (evidence.healthy_workers or evidence.faulty_workers)
    }
    if not any(evidence.healthy_workers for evidence in others.values()):
        return False
    remote_evidence = [evidence for name, evidence in others.items() if name != observer.zone]
    return not remote_evidence or any(evidence.healthy_workers for evidence in remote_evidence)


def required_observers(scheduler_count: int, observer_count: int) -> int:
    """Returns how many observers have to agree that a zone is down.

    This is a third of the configured schedulers, at most MAX_REQUIRED_OBSERVERS, and at most all but one of
    the observers; but never less than two with more than two schedulers, and never less than one.
    """
    minimum = max(1, min(2, scheduler_count - 1))
    return max(minimum, min(MAX_REQUIRED_OBSERVERS, math.ceil(scheduler_count / 3), observer_count - 1))


def judge_zone(
    zone: str,
    observers: Collection[Observer],
    worker_ids: Collection[int],
    scheduler_count: int,
    is_sampled: bool = False,
) -> ZoneVerdict:
    """Computes the verdict on a zone from the evidence of all observers.

    worker_ids: all workers of the zone, as short ids. scheduler_count: configured schedulers, up or down;
    with more than two, one observer alone is never enough. is_sampled: the observers cannot see all workers,
    so the workers with evidence represent the zone if there are at least MIN_SAMPLE_WORKERS, or all workers.
    """
    known_workers, good_inside = set(worker_ids), Counter[int]()
    votes_by_zone: dict[str, Counter[int]] = defaultdict(
        Counter
    )  # by the observers' zone and worker: observers that see it good, minus those that see it bad
    credible_observers, agreeing_observers, agreeing_zones = 0, 0, set[str]()
    for each in observers:
        zone_evidence = each.evidence.get(zone)
        if zone_evidence is None or not (zone_evidence.healthy_workers or zone_evidence.faulty_workers):
            continue
        if each.zone == zone:
            good_inside.update(known_workers.intersection(zone_evidence.healthy_workers))
        if not is_credible(zone, each):
            continue
        votes_by_zone[each.zone].subtract(known_workers.intersection(zone_evidence.faulty_workers))
        votes_by_zone[each.zone].update(known_workers.intersection(zone_evidence.healthy_workers))
        credible_observers += 1
        if len(zone_evidence.faulty_workers) > len(zone_evidence.healthy_workers):
            agreeing_observers += 1
            agreeing_zones.add(each.zone)
    # A cut link between two zones makes many schedulers of one zone report bad evidence, and bad evidence
    # outlasts the good evidence of all others. Counting zones instead of schedulers prevents a false verdict.
    zones_calling_bad, zones_calling_good = Counter[int](), Counter[int]()
    for vote in votes_by_zone.values():
        zones_calling_bad.update(worker for worker, count in vote.items() if count < 0)
        zones_calling_good.update(worker for worker, count in vote.items() if count >= 0)
    if is_sampled:
        known_workers = {
            each
            for each in known_workers
            if each in zones_calling_bad or each in zones_calling_good or each in good_inside
        }
        if len(known_workers) < min(MIN_SAMPLE_WORKERS, len(worker_ids)):
            return ZoneVerdict("unknown", 0, 0, len(known_workers), agreeing_observers)
    worker_count = len(known_workers)
    down_count = sum(zones_calling_bad[worker] > zones_calling_good[worker] for worker in known_workers)
    good_count = sum(
        zones_calling_good[worker] >= max(1, zones_calling_bad[worker]) for worker in known_workers
    )
    # The schedulers of one zone may be cut off together while their good evidence on other zones, which is
    # older, still counts: so two zones have to agree.
    required_zones = min(2, len({each.zone for each in observers}))
    is_agreed = (
        agreeing_observers >= required_observers(scheduler_count, len(observers))
        and 2 * agreeing_observers >= credible_observers
        and len(agreeing_zones) >= required_zones
    )
    mostly_down = worker_count > 0 and down_count >= max(
        min(2, worker_count), math.ceil(DOWN_FRACTION * worker_count - 1e-9)
    )
    if mostly_down and is_agreed:
        if len(good_inside) >= MIN_GOOD_INSIDE_FRACTION * worker_count:
            is_cut_off = len(agreeing_zones - {zone}) >= 2
            return ZoneVerdict(
                "cut" if is_cut_off else "unknown",
                down_count,
                len(good_inside),
                worker_count,
                agreeing_observers,
            )
        if good_count <= MAX_GOOD_FRACTION * worker_count:
            return ZoneVerdict("failed", down_count, good_count, worker_count, agreeing_observers)
    if worker_count and good_count >= math.ceil(DOWN_FRACTION * worker_count - 1e-9):
        return ZoneVerdict("well", down_count, good_count, worker_count, agreeing_observers)
    return ZoneVerdict("unknown", down_count, good_count, worker_count, agreeing_observers)
