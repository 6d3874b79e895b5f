"""The signals from which the health is computed: a sample of the daemon's state at one moment.

A value that is not available is None.
"""

from __future__ import annotations

from typing import NamedTuple


class CpuUsage(NamedTuple):
    """CPU usage in the last window of the CPU meter.

    used, demand and stolen are ratios from 0 up; with a demand of 1 a backlog grows.
    """

    used: float = 0.0  # CPU time of the process, relative to the cores that it may use
    demand: float = 0.0  # time in which the event loop had work, relative to all time
    stolen: float = 0.0  # time in which the event loop had work but got no CPU, relative to all time
    lag_ms: float = 0.0  # the largest delay of a timer
    is_contended: bool = False  # in the last few readings the loop never idled and others took much CPU


class ClassLoad(NamedTuple):
    """The queued requests of one class."""

    name: str
    latency_objective_ms: float
    worker_kind: str | None = None  # the only kind of worker that runs this class; None: any
    queued: int = 0
    oldest_queued_ms: float = 0.0  # how long the oldest queued request has waited
    needs_store: bool = False  # whether it is accepted only with a quorum of the store
    rejection_reason: str = ""  # why the daemon rejects this class at present; empty if it does not


class WorkerCounts(NamedTuple):
    """The workers of one zone and kind."""

    zone: str
    kind: str
    listed: int  # workers in the endpoint list
    accepting: int  # listed workers that accept new work


class ResourceUsage(NamedTuple):
    """The use of a limited resource."""

    used: float
    limit: float

    @property
    def used_ratio(self) -> float:
        """The use relative to the limit, at most 9.99; 0 without a limit."""
        return min(9.99, self.used / self.limit) if self.limit > 0 else 0.0


class HealthSignals(NamedTuple):
    """One sample of all signals."""

    cpu: CpuUsage = CpuUsage()
    classes: tuple[ClassLoad, ...] = ()
    workers: tuple[WorkerCounts, ...] = ()
    zone: str = ""  # the zone of this daemon
    answered: int = 0  # final answers since the start
    rejected: int = 0  # rejections among the final answers
    client_connections: ResourceUsage = ResourceUsage(0, 1)
    descriptors: ResourceUsage = ResourceUsage(0, 1)
    memory_mb: ResourceUsage = ResourceUsage(0, 1)
    has_store_quorum: bool | None = None  # None: there is no shared store, or its quorum is not known yet
    discovery_age_s: float | None = (
        None  # since the last message of discovery; None: without a discovery watch
    )
    endpoints_known: bool = True  # whether an endpoint list has been received
    outstanding: int = 0  # pending requests plus attempts in flight
