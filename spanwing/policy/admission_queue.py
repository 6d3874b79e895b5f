"""The requests that wait while a change of the policy is closing.

Each request waits once, for at most MAX_ADMISSION_WAIT_MS in all, however often the decision about it has to
be put off: one that is submitted again and cannot be accepted then either keeps the end of its wait. At most
MAX_QUEUED_REQUESTS wait. Times are in ms and passed in.
"""

from __future__ import annotations

import bisect
from collections.abc import Callable
from dataclasses import dataclass, replace

from spanwing.core.messages import ClientConnection, RequestSubmitted
from spanwing.policy.participant import MAX_ADMISSION_WAIT_MS, AdmissionAction

MAX_QUEUED_REQUESTS = 10_000


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request that waits, or that was submitted again after its wait and has not been decided yet."""

    submitted: RequestSubmitted  # as its client has submitted it
    queued_at_ms: float
    is_abandoned: bool = False  # its client has disconnected

    @property
    def wait_ends_at_ms(self) -> float:
        """Returns when the request has to be rejected."""
        return self.queued_at_ms + MAX_ADMISSION_WAIT_MS

    def reduced_by_wait(self, now_ms: float) -> RequestSubmitted:
        """Returns the request with the time in the queue deducted from the client's budget."""
        request = self.submitted.request
        remaining_ms = max(1.0, request.budget - (now_ms - self.queued_at_ms))
        return self.submitted._replace(request=replace(request, budget=remaining_ms))

    def is_of_client(self, request_id: str, client: ClientConnection) -> bool:
        """Returns whether this is the request of this id and client."""
        return self.submitted.request.id == request_id and self.submitted.client is client


class AdmissionQueue:
    """Queues requests, submits them again once they may be accepted, and rejects those that wait too long."""

    def __init__(
        self, resubmit: Callable[[RequestSubmitted], None], reject: Callable[[RequestSubmitted], None]
    ) -> None:
        """Takes resubmit, which has to lead to a call of take_resubmitted() with the same object."""
        self.resubmit, self.reject = resubmit, reject
        self.waiting: list[QueuedRequest] = []  # by the end of the wait
        self.resubmitted: dict[int, QueuedRequest] = {}  # by the id() of the object that was submitted again

    def take_resubmitted(self, submitted: RequestSubmitted) -> QueuedRequest | None:
        """Returns the queued request that was submitted again as this object; None if it is a new one."""
        return self.resubmitted.pop(id(submitted), None)

    def add(self, now_ms: float, submitted: RequestSubmitted, earlier: QueuedRequest | None) -> None:
        """Queues a request, or rejects it if the queue is full.

        earlier: from take_resubmitted(). Such a request is rejected if its wait is over.
        """
        queued = earlier or QueuedRequest(submitted, now_ms)
        if len(self.waiting) >= MAX_QUEUED_REQUESTS or now_ms >= queued.wait_ends_at_ms:
            self.reject(queued.submitted)
        else:
            bisect.insort(self.waiting, queued, key=lambda each: each.wait_ends_at_ms)

    def release(self, now_ms: float, action: AdmissionAction) -> None:
        """Submits all requests again if they may be accepted now, and rejects all if they may not.

        While neither is decided, those whose wait is over are rejected.
        """
        count = len(self.waiting)
        if action == "hold":
            count = bisect.bisect_right(self.waiting, now_ms, key=lambda each: each.wait_ends_at_ms)
        released, self.waiting = self.waiting[:count], self.waiting[count:]
        for queued in released:
            if action == "take":
                self._resubmit(queued, now_ms)
            else:
                self.reject(queued.submitted)

    def _resubmit(self, queued: QueuedRequest, now_ms: float) -> None:
        submitted = queued.reduced_by_wait(now_ms)
        self.resubmitted[id(submitted)] = queued  # the mailbox keeps the object until it is taken
        self.resubmit(submitted)

    def drop(self, request_id: str, client: ClientConnection) -> bool:
        """Drops a request whose client has disconnected; returns whether it was queued."""
        count = len(self.waiting)
        self.waiting = [each for each in self.waiting if not each.is_of_client(request_id, client)]
        was_queued = len(self.waiting) < count
        for queued in self.resubmitted.values():
            if queued.is_of_client(request_id, client):
                queued.is_abandoned = was_queued = True
        return was_queued
