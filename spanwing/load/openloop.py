"""Sends a scenario's requests to schedulers at their arrival times, independent of the answers (open loop).

The latency of a request counts from its arrival time, not from when it was written. A stall of a scheduler
therefore shows in the latency of every request that arrives meanwhile (this avoids coordinated omission, G.
Tene). The generator records how late it sends each request. If that is LATENESS_WARNING_MS or more at the
99th percentile, the result has a warning, as the actual load differed from the requested load.

Bounds: `max_connections` connections. If all are in use, a request waits for one, and the wait counts as
latency. A request is given up when the wait and the exchange take 1 s longer than its class's deadline. Each
request ends in exactly one CompletedRequest.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

import numpy as np

from spanwing.simulation.clients import GeneratedRequest

LATENESS_WARNING_MS = 5.0
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)
OUTCOME_BY_STATUS = {200: "served", 409: "repeated", 502: "failed", 503: "refused"}
HostAndPort = tuple[str, int]


class CompletedRequest(NamedTuple):
    """The outcome of one request; times in ms."""

    class_name: str
    outcome: str  # of OUTCOME_BY_STATUS, or `broken` without a complete answer
    latency_ms: float  # from the arrival time
    service_ms: float  # from when the request was written to the end of its answer
    lateness_ms: float  # how long after the arrival time the generator started to send


class LoadTestResult(NamedTuple):
    """The figures of a load test; times in ms by percentile.

    The field names are the keys of the JSON report of `spanwing load`.
    """

    asked: int  # number of requests
    seconds: float  # duration of the run
    kinds: dict[str, int]  # number of requests by outcome
    latency: dict[str, float]  # CompletedRequest.latency_ms
    service: dict[str, float]  # CompletedRequest.service_ms
    late: dict[str, float]  # CompletedRequest.lateness_ms
    by_class: dict[str, dict[str, float]]  # latency by class and percentile

    @property
    def warning(self) -> str:
        """A warning if the generator sent requests too late, else an empty string."""
        lateness_ms = self.late["99"]
        return (
            ""
            if lateness_ms < LATENESS_WARNING_MS
            else (
                f"the generator ran {lateness_ms:.0f} ms late at the 99th percentile; "
                "the load was not as requested"
            )
        )


def compute_percentiles(values: list[float]) -> dict[str, float]:
    """Returns the PERCENTILES of the values, with keys such as "99.9"; all are 0 if there are no values."""
    if not values:
        return {f"{each:g}": 0.0 for each in PERCENTILES}
    computed = np.percentile(values, PERCENTILES)
    return {f"{each:g}": float(value) for each, value in zip(PERCENTILES, computed, strict=True)}


class OpenLoopGenerator:
    """One load test of some schedulers, which get the requests round robin.

    `run_id` is part of the ids of all requests; it has to differ between runs.
    """

    def __init__(self, endpoints: list[HostAndPort], run_id: str, max_connections: int = 2000) -> None:
        assert endpoints
        assert max_connections > 0
        self.endpoints, self.run_id, self.max_connections = endpoints, run_id, max_connections
        self.idle_connections: dict[HostAndPort, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = {
            endpoint: [] for endpoint in endpoints
        }
        self.connection_slots = asyncio.Semaphore(max_connections)
        self.completed: list[CompletedRequest] = []
        self.tasks: set[asyncio.Task] = set()

    async def run(self, requests: Iterable[GeneratedRequest], seconds: float) -> LoadTestResult:
        """Sends all requests that arrive before `seconds`, and waits until each is answered or given up."""
        started_at_s = time.perf_counter()
        for index, each in enumerate(requests):
            if each.arrives_at_ms >= seconds * 1000.0:
                break
            due_at_s = started_at_s + each.arrives_at_ms / 1000.0
            if (wait_s := due_at_s - time.perf_counter()) > 0:
                await asyncio.sleep(wait_s)
            task = asyncio.ensure_future(
                self._send_request(each, due_at_s, self.endpoints[index % len(self.endpoints)])
            )
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        while self.tasks:
            await asyncio.wait(self.tasks)
        self.close_idle_connections()
        return self.build_result(time.perf_counter() - started_at_s)

    async def _send_request(self, request: GeneratedRequest, due_at_s: float, endpoint: HostAndPort) -> None:
        """Sends a request once a connection is free, and records its outcome."""
        started_at_s = time.perf_counter()
        outcome, written_at_s = "broken", started_at_s
        try:
            async with asyncio.timeout(request.class_spec.deadline_ms / 1000.0 + 1.0), self.connection_slots:
                outcome, written_at_s = await self._exchange_http(request, endpoint)
        except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
            pass
        now_s = time.perf_counter()
        self.completed.append(
            CompletedRequest(
                request.class_spec.name,
                outcome,
                (now_s - due_at_s) * 1000.0,
                (now_s - written_at_s) * 1000.0,
                (started_at_s - due_at_s) * 1000.0,
            )
        )

    async def _exchange_http(self, request: GeneratedRequest, endpoint: HostAndPort) -> tuple[str, float]:
        """Sends a request and reads its answer; returns the outcome and when the request was written, in s.

        Raises OSError, IncompleteReadError or ValueError if no complete and valid answer comes.
        """
        body = b"x" * 64
        data = (
            f"POST /{request.class_spec.name} HTTP/1.1\r\nHost: x\r\n"
            f"X-Call-Id: {self.run_id}-{request.id}\r\n"
            f"X-Caller: {request.tenant}\r\nX-Budget-Ms: {request.patience_ms:.3f}\r\n"
            f"Idempotency-Key: {request.sticky_key}\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        idle = self.idle_connections[endpoint]
        while idle and idle[-1][0].at_eof():  # closed by the scheduler while it was idle
            idle.pop()[1].close()
        reader, writer = idle.pop() if idle else await asyncio.open_connection(*endpoint)
        try:
            writer.write(data)
            await writer.drain()
            written_at_s = time.perf_counter()
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
            await reader.readexactly(int(fields.get("content-length", 0)))
        except BaseException:
            writer.close()
            raise
        if fields.get("connection") == "close":
            writer.close()
        else:
            idle.append((reader, writer))
        return OUTCOME_BY_STATUS.get(int(head.split(" ")[1]), "failed"), written_at_s

    def build_result(self, seconds: float) -> LoadTestResult:
        """Computes the figures of all completed requests; `seconds` is the duration of the run."""
        classes = sorted({each.class_name for each in self.completed})
        return LoadTestResult(
            len(self.completed),
            seconds,
            dict(Counter(each.outcome for each in self.completed)),
            compute_percentiles([each.latency_ms for each in self.completed]),
            compute_percentiles([each.service_ms for each in self.completed]),
            compute_percentiles([each.lateness_ms for each in self.completed]),
            {
                class_name: compute_percentiles(
                    [each.latency_ms for each in self.completed if each.class_name == class_name]
                )
                for class_name in classes
            },
        )

    def close_idle_connections(self) -> None:
        """Closes all idle connections."""
        for idle in self.idle_connections.values():
            while idle:
                idle.pop()[1].close()
