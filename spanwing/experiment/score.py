"""Scores a day: from the answers of one simulation to a row of figures and a series over time.

Pure; every request counts once. A request is in time within its class's latency objective, which grows by
`objective_stretch` times the request's work. Goodput is the priority weight of what was served (after the
latency objective, `late_weight` of it) over the priority weight of all requests.
"""

from __future__ import annotations

from collections import Counter
from typing import Any

import numpy as np

from spanwing.simulation.clients import ClassSpec
from spanwing.simulation.fleet import AnsweredRequest, FleetSimulation

PERCENTILES = (50.0, 95.0, 99.0)
#: Figures of a row that can be compared, and whether more is better.
COMPARABLE_FIGURES = {
    "goodput": True,
    "in_time": True,
    "refused": False,
    "late": False,
    "failed": False,
    "attempts": False,
    "wasted": False,
    "p50": False,
    "p99": False,
}


class OutcomeTally:
    """Tallies answers as they come; pass record_answer to a FleetSimulation."""

    def __init__(self, classes: tuple[ClassSpec, ...]) -> None:
        self.classes = {each.name: each for each in classes}
        self.count_by_outcome: Counter[str] = Counter()
        self.weight_offered: Counter[tuple[str, str]] = Counter()  # by class and by tenant
        self.weight_earned: Counter[tuple[str, str]] = Counter()
        self.latencies_by_class: dict[str, list[float]] = {each.name: [] for each in classes}
        self.counts_by_second: dict[str, Counter[int]] = {
            name: Counter() for name in ("offered", "in_time", "late", "refused", "other")
        }
        self.attempt_count = self.submission_count = 0
        self.jobs_at_workers: list[
            tuple[int, int]
        ] = []  # each second: jobs at workers, and at the fullest one

    def record_answer(self, answered: AnsweredRequest) -> None:
        """Counts one answered request."""
        class_spec = self.classes[answered.class_name]
        outcome = answered.outcome
        earned = 0.0
        if outcome == "served":
            on_time = (
                answered.elapsed_ms
                <= class_spec.latency_objective_ms + class_spec.objective_stretch * answered.work_ms
            )
            outcome, earned = (
                ("in_time", class_spec.priority_weight)
                if on_time
                else ("late", class_spec.priority_weight * class_spec.late_weight)
            )
            self.latencies_by_class[answered.class_name].append(answered.elapsed_ms)
        self.count_by_outcome[outcome] += 1
        for key in (("class", answered.class_name), ("brand", answered.tenant)):
            self.weight_offered[key] += class_spec.priority_weight
            self.weight_earned[key] += earned
        second = int(answered.arrived_at_ms // 1000.0)
        self.counts_by_second["offered"][second] += 1
        self.counts_by_second[outcome if outcome in self.counts_by_second else "other"][second] += 1
        self.attempt_count += answered.attempt_count
        self.submission_count += answered.submission_count

    def sample_workers(self, simulation: FleetSimulation) -> None:
        """Samples the jobs at the workers; to be called once a second."""
        jobs_per_worker = [
            len(each.worker.accepted_jobs)
            for each in simulation.worker_hosts.values()
            if not each.worker.is_down
        ]
        self.jobs_at_workers.append((sum(jobs_per_worker), max(jobs_per_worker, default=0)))

    def figures_row(self, simulation: FleetSimulation) -> dict[str, Any]:
        """Returns one number for each figure; shares are of all requests."""
        offered = sum(self.count_by_outcome.values())
        request_count = max(1, offered)
        offered_weight = sum(worth for (kind, _), worth in self.weight_offered.items() if kind == "class")
        earned_weight = sum(worth for (kind, _), worth in self.weight_earned.items() if kind == "class")
        latencies = [each for values in self.latencies_by_class.values() for each in values]
        workers = [place.worker.work_totals for place in simulation.worker_hosts.values()]
        done, wasted = sum(each.done for each in workers), sum(each.wasted for each in workers)
        row: dict[str, Any] = {
            "offered": offered,
            "goodput": earned_weight / offered_weight if offered_weight else 1.0,
            **{
                name: self.count_by_outcome[name] / request_count
                for name in ("in_time", "late", "refused", "failed", "left", "lost")
            },
            "probes": sum(each.probe_count for each in simulation.schedulers) / request_count,
            "attempts": self.attempt_count / request_count,
            "tries": self.submission_count / request_count,
            "wasted": wasted / (done + wasted) if done + wasted else 0.0,
            "decision_us": 1e6
            * sum(each.decision_time_s for each in simulation.schedulers)
            / max(1, sum(each.event_count for each in simulation.schedulers)),
        }
        row |= _percentiles("p", latencies)
        for name, values in self.latencies_by_class.items():
            row |= _percentiles(f"{name}.p", values)
        for (kind, name), worth in self.weight_offered.items():
            row[f"{kind}.{name}.goodput"] = self.weight_earned[kind, name] / worth
        return row

    def series_by_second(self, seconds: int) -> dict[str, list[int]]:
        """Returns the series by second of the requests' arrival."""
        found = {
            name: [counts[each] for each in range(seconds)] for name, counts in self.counts_by_second.items()
        }
        found["at_workers"] = [each for each, _ in self.jobs_at_workers[:seconds]]
        found["at_fullest"] = [each for _, each in self.jobs_at_workers[:seconds]]
        return found


def _percentiles(name: str, values: list[float]) -> dict[str, float]:
    if not values:
        return {f"{name}{each:g}": 0.0 for each in PERCENTILES}
    return dict(
        zip(
            (f"{name}{each:g}" for each in PERCENTILES),
            (float(each) for each in np.percentile(values, PERCENTILES)),
            strict=True,
        )
    )
