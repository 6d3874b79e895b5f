"""Accounts for every request and for all work of a simulation.

A request is in exactly one stage at any time and moves only along STAGE_TRANSITIONS; check_requests()
checks that the stages together hold as many requests as were made. Requested work is done, wasted, under
way, withdrawn or remaining. The first three add up to what workers processed, which check_work() checks to
within a thousandth of a ms for each attempt.
"""

from __future__ import annotations

from collections import Counter
from typing import Literal, NamedTuple

RequestStage = Literal["client", "on its way", "scheduler", "answer on its way", "waits to retry", "over"]
#: By stage: the stages that may follow it. A new request is at its client.
STAGE_TRANSITIONS: dict[str, frozenset[str]] = {
    "client": frozenset({"on its way", "over"}),
    "on its way": frozenset({"scheduler", "answer on its way", "over"}),
    "scheduler": frozenset({"answer on its way", "over"}),
    "answer on its way": frozenset({"client", "waits to retry", "over"}),
    "waits to retry": frozenset({"on its way", "over"}),
}


class WorkTotals(NamedTuple):
    """Where work went, in ms at speed 1."""

    done: float
    wasted: float
    under_way: float
    withdrawn: float
    remaining: float
    processed: float  # by workers, computed from their rates alone


class RequestAccounting:
    """Counts the requests and the work of one simulation."""

    def __init__(self) -> None:
        self.stage_by_request: dict[str, str] = {}  # of requests that are not over
        self.count_by_stage: Counter[str] = Counter()
        self.request_count = 0
        self.requested_work = 0.0  # of all attempts that workers accepted, in ms at speed 1

    def add_request(self, request_id: str) -> None:
        """Adds a new request, at its client."""
        assert request_id not in self.stage_by_request, request_id
        self.stage_by_request[request_id] = "client"
        self.count_by_stage["client"] += 1
        self.request_count += 1

    def set_stage(self, request_id: str, stage: RequestStage) -> None:
        """Moves a request to a stage. Raises AssertionError for a transition that is not allowed."""
        previous_stage = self.stage_by_request[request_id]
        assert stage in STAGE_TRANSITIONS[previous_stage], (request_id, previous_stage, stage)
        self.count_by_stage[previous_stage] -= 1
        self.count_by_stage[stage] += 1
        if stage == "over":
            del self.stage_by_request[request_id]
        else:
            self.stage_by_request[request_id] = stage

    def stage_of(self, request_id: str) -> str:
        """Returns the stage of a request; "over" also for one that is unknown."""
        return self.stage_by_request.get(request_id, "over")

    def check_requests(self) -> None:
        """Raises AssertionError if a request is in no stage or in two."""
        assert sum(self.count_by_stage.values()) == self.request_count, (
            dict(self.count_by_stage),
            self.request_count,
        )
        assert self.request_count - self.count_by_stage["over"] == len(self.stage_by_request)
        assert min(self.count_by_stage.values(), default=0) >= 0, dict(self.count_by_stage)

    def check_work(self, totals: WorkTotals, attempt_count: int) -> None:
        """Raises AssertionError if work was lost or created."""
        tolerance = 1e-3 * max(1, attempt_count)
        processed = totals.done + totals.wasted + totals.under_way
        assert abs(processed - totals.processed) <= tolerance, totals
        assert abs(processed + totals.withdrawn + totals.remaining - self.requested_work) <= tolerance, (
            self.requested_work,
            totals,
        )
