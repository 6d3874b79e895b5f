"""What is known of the daemon at one moment, in plain figures.

Nothing here measures or decides. Each figure has its unit in its name or comment; a figure that cannot be
had is None, never a guess.
"""

from __future__ import annotations

from typing import NamedTuple


class CpuUsage(NamedTuple):
    """CPU usage over the last window, each figure a ratio from 0 up."""

    used: float = 0.0  # CPU time of the process, of the cores that it may use
    demand: float = 0.0  # time in which the loop had work, of all time: at 1 a backlog grows
    stolen: float = 0.0  # time in which the loop had work and got no CPU, of all time
    lag_ms: float = 0.0  # the largest delay of a timer
    is_contended: bool = False  # just now: the loop has no pause, and others take much of the time


class ClassLoad(NamedTuple):
    """The queued requests of one class."""

    name: str
    latency_objective_ms: float
    worker_kind: str | None = None  # the only kind of worker that runs it; None: any
    queued: int = 0
    oldest_queued_ms: float = 0.0  # how long the oldest queued request has waited
    needs_store: bool = False
    rejection_reason: str = ""  # why the daemon itself accepts none of it now


class WorkerCounts(NamedTuple):
    """The workers of one zone and kind."""

    zone: str
    kind: str
    listed: int
    accepting: int  # of these, that accept new work


class ResourceUsage(NamedTuple):
    """How much of a limit is in use."""

    used: float
    limit: float

    @property
    def used_ratio(self) -> float:
        """The used part of the limit, at most 9.99; 0 without a limit."""
        return min(9.99, self.used / self.limit) if self.limit > 0 else 0.0


class HealthSignals(NamedTuple):
    """One sample."""

    cpu: CpuUsage = CpuUsage()
    classes: tuple[ClassLoad, ...] = ()
    workers: tuple[WorkerCounts, ...] = ()
    zone: str = ""
    answered: int = 0  # final answers since the start
    rejected: int = 0  # of these, rejections
    client_connections: ResourceUsage = ResourceUsage(0, 1)  # clients' connections
    descriptors: ResourceUsage = ResourceUsage(0, 1)
    memory_mb: ResourceUsage = ResourceUsage(0, 1)
    has_store_quorum: bool | None = None  # of the store's members; None: no store is shared
    discovery_age_s: float | None = None  # since its last message; None: it is not polled
    endpoints_known: bool = True  # a worker list has come
    outstanding: int = 0  # requests accepted and not answered, or attempts in flight
