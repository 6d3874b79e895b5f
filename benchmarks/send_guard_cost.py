"""Measures the cost of one check of a send permit. An attempt checks its permit about five times.

.venv/bin/python -m benchmarks.send_guard_cost
"""

from __future__ import annotations

import asyncio
import time
from types import SimpleNamespace

from spanwing import interface as api
from spanwing.core.clock import Clock
from spanwing.core.request_manager import InFlightAttempt, PendingRequest, RequestManager
from spanwing.discovery.freshness import CallTiming, EndpointFreshness

CHECK_COUNT = 200_000


async def main() -> None:
    settings = api.Settings(classes=(api.ServiceClass("read", latency_objective_ms=300, deadline_ms=5000),))
    request_manager = RequestManager(settings, 1, Clock())
    freshness = EndpointFreshness(CallTiming(), time.monotonic())
    request_manager.guard.is_list_stale = lambda: freshness.is_stale(time.monotonic())
    request = SimpleNamespace(id="job-1", cls="read")
    now_ms = request_manager.clock.now_ms()
    request_manager.pending_requests["job-1"] = PendingRequest(request, None, now_ms + 1e7, attempt_count=1)
    request_manager.in_flight["job-1", 0] = InFlightAttempt(
        None, 1, now_ms, now_ms + 1e7, None, to_discovered_worker=True
    )
    permit = request_manager.guard.permit("job-1", 0, "w1")
    started_s = time.perf_counter()
    for _ in range(CHECK_COUNT):
        permit()
    print(f"one check: {(time.perf_counter() - started_s) / CHECK_COUNT * 1e6:.2f} us")
    assert permit.refusal is None


if __name__ == "__main__":
    asyncio.run(main())
