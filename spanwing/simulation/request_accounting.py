"""Accounts for every request and for all work of a simulation.

A request is in exactly one stage at any time and moves only along STAGE_TRANSITIONS. check_requests()
checks that the stages together hold as many requests as were generated. Requested work is done, wasted,
under way, withdrawn or remaining. The first three add up to the work that the workers processed;
check_work() checks both sums with a tolerance of 0.001 ms for each attempt.
"""

from __future__ import annotations

from collections import Counter
from typing import Literal, NamedTuple

RequestStage = Literal["client", "on its way", "scheduler", "answer on its way", "waits to retry", "over"]
#: The stages that may follow each stage. A new request is in the stage "client".
STAGE_TRANSITIONS: dict[str, frozenset[str]] = {
    "client": frozenset({"on its way", "over"}),
    "on its way": frozenset({"scheduler", "answer on its way", "over"}),
    "scheduler": frozenset({"answer on its way", "over"}),
    "answer on its way": frozenset({"client", "waits to retry", "over"}),
    "waits to retry": frozenset({"on its way", "over"}),
}


class WorkTotals(NamedTuple):
    """The work of all attempts by its fate, in ms at speed 1."""

    done: float  # on jobs that succeeded
    wasted: float  # on jobs that ended otherwise
    under_way: float  # so far, on jobs that have not ended
    withdrawn: float  # never processed, as the job was cancelled, expired or lost before
    remaining: float  # not processed yet
    processed: float  # by workers, computed from their processing rates alone


class RequestAccounting:
    """Counts the requests by stage, and the requested work, of one simulation."""

    def __init__(self) -> None:
        self.stage_by_request: dict[str, str] = {}  # requests in the stage "over" are removed
        self.count_by_stage: Counter[str] = Counter()
        self.request_count = 0
        self.requested_work = 0.0  # of all attempts that workers accepted, in ms at speed 1

    def add_request(self, request_id: str) -> None:
        """Adds a new request in the stage "client". Raises AssertionError if the id is in use."""
        assert request_id not in self.stage_by_request, request_id
        self.stage_by_request[request_id] = "client"
        self.count_by_stage["client"] += 1
        self.request_count += 1

    def set_stage(self, request_id: str, stage: RequestStage) -> None:
        """Moves a request to a stage. Raises AssertionError if STAGE_TRANSITIONS does not allow it."""
        previous_stage = self.stage_by_request[request_id]
        assert stage in STAGE_TRANSITIONS[previous_stage], (request_id, previous_stage, stage)
        self.count_by_stage[previous_stage] -= 1
        self.count_by_stage[stage] += 1
        if stage == "over":
            del self.stage_by_request[request_id]
        else:
            self.stage_by_request[request_id] = stage

    def stage_of(self, request_id: str) -> str:
        """Returns the stage of a request, or "over" if the id is unknown."""
        return self.stage_by_request.get(request_id, "over")

    def check_requests(self) -> None:
        """Raises AssertionError if the counts by stage do not match the requests."""
        assert sum(self.count_by_stage.values()) == self.request_count, (
            dict(self.count_by_stage),
            self.request_count,
        )
        assert self.request_count - self.count_by_stage["over"] == len(self.stage_by_request)
        assert min(self.count_by_stage.values(), default=0) >= 0, dict(self.count_by_stage)

    def check_work(self, totals: WorkTotals, attempt_count: int) -> None:
        """Raises AssertionError if the totals do not add up to the processed and the requested work."""
        tolerance = 1e-3 * max(1, attempt_count)
        processed = totals.done + totals.wasted + totals.under_way
        assert abs(processed - totals.processed) <= tolerance, totals
        assert abs(processed + totals.withdrawn + totals.remaining - self.requested_work) <= tolerance, (
            self.requested_work,
            totals,
        )
