"""What is known of the daemon at one moment, in plain figures.

Guarantees: nothing here measures or decides; every figure has its unit in its name or its comment, and a
figure that cannot be had is None, never a guess.
"""

from __future__ import annotations

from typing import NamedTuple


class CpuUsage(NamedTuple):
    """Decision CPU over the last window, each a share from 0 up."""

    used: float = 0.0  # CPU time of the process, of the cores that it may use
    demand: float = 0.0  # time in which the loop had work, of all time: at 1 what comes in piles up
    stolen: float = 0.0  # time in which the loop had work and got no CPU, of all time
    lag_ms: float = 0.0  # the latest that a timer came
    is_contended: bool = False  # just now: no pause, and much of the time taken by others


class ClassLoad(NamedTuple):
    """The held work of one class."""

    name: str
    latency_objective_ms: float
    worker_kind: str | None = None  # the only kind of job worker that runs it; None: any
    queued: int = 0
    oldest_queued_ms: float = 0.0  # how long the longest held has waited
    needs_store: bool = False
    rejection_reason: str = ""  # why the daemon itself takes none of it now


class WorkerCounts(NamedTuple):
    """Job workers of one zone and kind."""

    zone: str
    kind: str
    listed: int
    accepting: int  # of these, that take new work


class ResourceUsage(NamedTuple):
    """How much of a limit is in use."""

    used: float
    limit: float

    @property
    def used_ratio(self) -> float:
        return min(9.99, self.used / self.limit) if self.limit > 0 else 0.0


class HealthSignals(NamedTuple):
    """One sample."""

    cpu: CpuUsage = CpuUsage()
    classes: tuple[ClassLoad, ...] = ()
    workers: tuple[WorkerCounts, ...] = ()
    zone: str = ""
    answered: int = 0  # final answers since the start
    rejected: int = 0  # of these, refusals
    client_connections: ResourceUsage = ResourceUsage(0, 1)  # clients' connections
    descriptors: ResourceUsage = ResourceUsage(0, 1)
    memory_mb: ResourceUsage = ResourceUsage(0, 1)
    has_store_quorum: bool | None = None  # of the store's members; None: no store is shared
    discovery_age_s: float | None = None  # since its last word; None: it is not asked
    endpoints_known: bool = True  # a list of job workers has been told
    outstanding: int = 0  # requests taken and not answered, or attempts still out
