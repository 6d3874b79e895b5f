"""Computes the figures of one simulation, and their series over time, from the outcomes of its requests.

Does no I/O. Every request counts once. A request is in time if its latency is at most its class's latency
objective plus `objective_stretch` times its work; a request that is served after that is late. Goodput is
the priority weight earned by served requests, where a late one earns `late_weight` of its weight, divided by
the priority weight of all requests.
"""

from __future__ import annotations

from collections import Counter
from typing import Any

import numpy as np

from spanwing.simulation.clients import ClassSpec
from spanwing.simulation.fleet import AnsweredRequest, FleetSimulation

PERCENTILES = (50.0, 95.0, 99.0)
#: Figures of a row that can be compared, and whether higher is better.
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
    """Collects the outcomes of requests; pass record_answer() as `on_answered` to a FleetSimulation."""

    def __init__(self, classes: tuple[ClassSpec, ...]) -> None:
        self.classes = {each.name: each for each in classes}
        self.count_by_outcome: Counter[str] = Counter()
        self.weight_offered: Counter[tuple[str, str]] = Counter()  # by ("class" or "brand", name)
        self.weight_earned: Counter[tuple[str, str]] = Counter()
        self.latencies_by_class: dict[str, list[float]] = {each.name: [] for each in classes}
        self.counts_by_second: dict[str, Counter[int]] = {
            name: Counter() for name in ("offered", "in_time", "late", "refused", "other")
        }
        self.attempt_count = self.submission_count = 0
        #: By second: the jobs at all workers, and at the worker with the most.
        self.jobs_at_workers: list[tuple[int, int]] = []

    def record_answer(self, answered: AnsweredRequest) -> None:
        """Counts the outcome of one request."""
        class_spec = self.classes[answered.class_name]
        outcome = answered.outcome
        earned = 0.0
        if outcome == "served":
            is_in_time = (
                answered.elapsed_ms
                <= class_spec.latency_objective_ms + class_spec.objective_stretch * answered.work_ms
            )
            outcome, earned = (
                ("in_time", class_spec.priority_weight)
                if is_in_time
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
        """Samples the number of jobs at the workers. Call it once per simulated second."""
        jobs_per_worker = [
            len(each.worker.accepted_jobs)
            for each in simulation.worker_hosts.values()
            if not each.worker.is_down
        ]
        self.jobs_at_workers.append((sum(jobs_per_worker), max(jobs_per_worker, default=0)))

    def figures_row(self, simulation: FleetSimulation) -> dict[str, Any]:
        """Returns the figures by name; shares are of all requests, latencies in ms."""
        offered = sum(self.count_by_outcome.values())
        request_count = max(1, offered)
        offered_weight = sum(weight for (kind, _), weight in self.weight_offered.items() if kind == "class")
        earned_weight = sum(weight for (kind, _), weight in self.weight_earned.items() if kind == "class")
        latencies = [each for values in self.latencies_by_class.values() for each in values]
        work_totals = [host.worker.work_totals for host in simulation.worker_hosts.values()]
        done, wasted = sum(each.done for each in work_totals), sum(each.wasted for each in work_totals)
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
        for (kind, name), weight in self.weight_offered.items():
            row[f"{kind}.{name}.goodput"] = self.weight_earned[kind, name] / weight
        return row

    def series_by_second(self, seconds: int) -> dict[str, list[int]]:
        """Returns the series by second: requests by second of arrival, and the samples of jobs at workers."""
        series = {
            name: [counts[each] for each in range(seconds)] for name, counts in self.counts_by_second.items()
        }
        series["at_workers"] = [each for each, _ in self.jobs_at_workers[:seconds]]
        series["at_fullest"] = [each for _, each in self.jobs_at_workers[:seconds]]
        return series


def _percentiles(prefix: str, values: list[float]) -> dict[str, float]:
    """Returns the PERCENTILES of the values, keyed by prefix and percentile; all 0 without values."""
    if not values:
        return {f"{prefix}{each:g}": 0.0 for each in PERCENTILES}
    return dict(
        zip(
            (f"{prefix}{each:g}" for each in PERCENTILES),
            (float(each) for each in np.percentile(values, PERCENTILES)),
            strict=True,
        )
    )
