"""Samples the daemon, updates the health state machine, and notifies subscribers.

A sample is taken every SAMPLE_INTERVAL_S, or every CALM_SAMPLE_INTERVAL_S while the load is low. One is also
taken as soon as the event loop has been busy for BUSY_ALARM_S, the endpoint list changes, or the store gains
or loses its majority. Subscribers are notified of every change of the announced verdict, also by a drain, in
the same loop iteration. The reporter exists only if a protocol for balancers is enabled.
"""

from __future__ import annotations

import math
import os
import time
from collections.abc import Callable
from typing import Protocol

from tornado.ioloop import IOLoop

from spanwing.core.request_manager import RequestManager
from spanwing.health.cpu_meter import CpuMeter, CpuReading
from spanwing.health.drain_orders import DrainPhase, DrainSource
from spanwing.health.settings import HealthSettings
from spanwing.health.signals import ClassLoad, CpuUsage, HealthSignals, ResourceUsage, WorkerCounts
from spanwing.health.state_machine import HealthStateMachine, HealthVerdict
from spanwing.log import log_event
from spanwing.net.loop_meter import MeteredSelector

# Intervals between samples; the second one applies while the load is low.
SAMPLE_INTERVAL_S, CALM_SAMPLE_INTERVAL_S = 0.05, 1.0
CALM_CPU_RATIO = 0.12  # the load is low up to this ratio of the event loop's busy time to all time
# Busy time since the last sample that triggers one early, and how long samples are frequent after that.
BUSY_ALARM_S, FREQUENT_SAMPLES_S = CALM_CPU_RATIO * CALM_SAMPLE_INTERVAL_S, 1.0
FULL_SAMPLE_INTERVAL_S = 0.25  # samples in between read only the CPU usage and the outstanding requests
PAGE_SIZE_MB = os.sysconf("SC_PAGE_SIZE") / 1024 / 1024


class WorkFrontend(Protocol):
    """A frontend that accepts requests from clients."""

    def announce_drain(self) -> None:
        """Starts the notice period of a drain: the frontend tells its clients of the drain."""

    def drain(self, reject_new: bool) -> None:
        """Ends the notice period: closes idle connections, and rejects new work if reject_new is set."""

    def cancel_drain(self) -> None:
        """Ends the drain."""


class DaemonGauges(Protocol):
    """Values that the reporter reads from other components of the daemon."""

    def client_connections(self) -> ResourceUsage:
        """Returns the use of the table of client connections."""

    def descriptors(self) -> ResourceUsage:
        """Returns the use of file descriptors."""

    def cpu_cores(self) -> float:
        """Returns the CPU limit in cores."""

    def memory_limit_mb(self) -> float:
        """Returns the memory limit in MB."""

    def has_store_quorum(self) -> bool | None:
        """Returns whether the store has a majority; None if that is unknown or no store is shared."""

    def classes_needing_store(self) -> frozenset[str]:
        """Returns the classes that are accepted only with a majority of the store."""


def resident_memory_mb(statm_fd: int) -> float:
    """Returns the resident memory in MB; statm_fd is an open /proc/self/statm."""
    return int(os.pread(statm_fd, 128, 0).split()[1]) * PAGE_SIZE_MB


class HealthReporter:
    """Feeds the health state machine of this daemon, and announces its verdicts.

    Without a loop_meter the event loop's busy time is unknown, and samples are always frequent.
    """

    def __init__(
        self,
        request_manager: RequestManager,
        settings: HealthSettings,
        gauges: DaemonGauges,
        loop_meter: MeteredSelector | None = None,
    ) -> None:
        self.request_manager, self.gauges, self.loop_meter = request_manager, gauges, loop_meter
        self.loop = IOLoop.current()
        self.health = HealthStateMachine(settings, self.loop.time())
        self.cpu_meter, self.cpu_usage = CpuMeter(), CpuUsage()
        self.statm_fd = os.open("/proc/self/statm", os.O_RDONLY)
        self.work_frontends: list[WorkFrontend] = []
        self.subscribers: set[Callable[[HealthVerdict], None]] = set()
        self.drain_phase: DrainPhase = "none"
        self.last_full_sample_s = -math.inf
        self.announced_verdict = self.health.verdict
        self.frequent_samples_until_s = 0.0
        self.next_sample_s = self.loop.time() + SAMPLE_INTERVAL_S
        self.sample_timer = self.loop.call_at(self.next_sample_s, self._handle_sample_timer)
        request_manager.on_endpoints_changed = self.sample_soon

    @property
    def verdict(self) -> HealthVerdict:
        """The verdict announced last."""
        return self.announced_verdict

    def subscribe(self, subscriber: Callable[[HealthVerdict], None]) -> Callable[[], None]:
        """Calls the subscriber with each changed verdict; returns a function that unsubscribes it."""
        self.subscribers.add(subscriber)
        return lambda: self.subscribers.discard(subscriber)

    def drain(self, source: DrainSource, within_s: float = math.inf, has_notice: bool = True) -> None:
        """Adds the drain order of a source, and announces the drain by every protocol at once.

        All requests are to be answered within within_s seconds. has_notice: see DrainOrders.add().
        """
        now = self.loop.time()
        self._publish(self.health.drain(source, now, within_s, has_notice))
        # The frontends are updated exactly at the end of the notice period, not with the next sample.
        if (notice_ends_at_s := self.health.drain_orders.notice_ends_at_s) > now:
            self.loop.call_at(notice_ends_at_s, self._update_frontends)

    def undrain(self, source: DrainSource) -> bool:
        """Withdraws the drain order of a source; returns whether the daemon is still draining."""
        self._publish(self.health.undrain(source, self.loop.time()))
        return self.health.drain_orders.is_draining

    def set_weight(self, percent: float) -> None:
        """Sets the operator's upper bound of the weight in percent; raises ValueError outside 0 to 100."""
        self._publish(self.health.set_weight(percent, self.loop.time()))

    def remaining_s(self) -> float:
        """Returns the seconds left until the earliest deadline of a drain; infinity if there is none."""
        return self.health.drain_orders.earliest_deadline_s - self.loop.time()

    def _handle_sample_timer(self) -> None:
        try:
            self._take_sample()
        finally:  # an exception in one sample must not end the sampling, or the verdict would never change
            now = self.loop.time()
            interval_s = SAMPLE_INTERVAL_S
            if (
                self.loop_meter
                and now > self.frequent_samples_until_s
                and self.cpu_usage.demand <= CALM_CPU_RATIO
                and (self.announced_verdict.state in ("ready", "absent"))
            ):
                interval_s = CALM_SAMPLE_INTERVAL_S
                self.loop_meter.set_alarm(BUSY_ALARM_S, self._handle_busy_alarm)
            self.next_sample_s = max(self.next_sample_s + interval_s, now + interval_s / 5)
            self.sample_timer = self.loop.call_at(self.next_sample_s, self._handle_sample_timer)

    def _handle_busy_alarm(self) -> None:
        """Samples frequently for FREQUENT_SAMPLES_S, as the event loop is busy again."""
        self.frequent_samples_until_s = self.loop.time() + FREQUENT_SAMPLES_S
        self.sample_soon()

    def sample_soon(self) -> None:
        """Takes a full sample in the next loop iteration; called when a sampled value has changed."""
        now = self.loop.time()
        if self.next_sample_s > now:
            self.loop.remove_timeout(self.sample_timer)
            self.last_full_sample_s, self.next_sample_s = -math.inf, now
            self.sample_timer = self.loop.call_at(now, self._handle_sample_timer)

    def _take_sample(self) -> None:
        """Reads the CPU usage, and all signals if a full sample is due; publishes the verdict."""
        now = self.loop.time()
        busy_s = self.loop_meter.busy_s() if self.loop_meter else None
        # A timer is late because of the loop's own work or a lack of CPU; the CPU meter distinguishes them.
        self.cpu_meter.cores = self.gauges.cpu_cores()
        reading = CpuReading(now, time.process_time(), busy_s, max(0.0, now - self.next_sample_s))
        self.cpu_usage = self.cpu_meter.add_reading(reading)
        if now >= self.last_full_sample_s + FULL_SAMPLE_INTERVAL_S * 0.9:
            self.last_full_sample_s = now
            self._publish(self.health.observe(now, self.collect_signals()))
        else:
            self._publish(
                self.health.observe(
                    now,
                    self.health.signals._replace(cpu=self.cpu_usage, outstanding=self.outstanding_requests()),
                )
            )

    def outstanding_requests(self) -> int:
        """Returns the number of pending requests plus attempts in flight."""
        return len(self.request_manager.pending_requests) + len(self.request_manager.in_flight)

    def collect_signals(self) -> HealthSignals:
        """Reads all signals of a full sample."""
        request_manager, needing_store = self.request_manager, self.gauges.classes_needing_store()
        queued, unavailable = request_manager.queued_by_class(), request_manager.unavailable_classes()
        counters = request_manager.counters
        return HealthSignals(
            cpu=self.cpu_usage,
            classes=tuple(
                ClassLoad(
                    each.name,
                    each.latency_objective_ms,
                    each.kind,
                    *queued.get(each.name, (0, 0.0)),
                    each.name in needing_store,
                    unavailable.get(each.name, ""),
                )
                for each in request_manager.settings.classes
            ),
            workers=tuple(
                WorkerCounts(zone, kind, *counts)
                for (zone, kind), counts in request_manager.worker_counts().items()
            ),
            zone=request_manager.settings.zone,
            answered=counters["answered"],
            rejected=sum(
                counters[f"answered.refused.{each.name}"] for each in request_manager.settings.classes
            ),
            client_connections=self.gauges.client_connections(),
            descriptors=self.gauges.descriptors(),
            memory_mb=ResourceUsage(resident_memory_mb(self.statm_fd), self.gauges.memory_limit_mb()),
            has_store_quorum=self.gauges.has_store_quorum(),
            discovery_age_s=request_manager.discovery_age_s() if request_manager.settings.subscribe else None,
            endpoints_known=request_manager.endpoints_known,
            outstanding=self.outstanding_requests(),
        )

    def _publish(self, verdict: HealthVerdict) -> None:
        """Makes a verdict the announced one; logs it and notifies subscribers if its fields have changed."""
        self._update_frontends()
        previous, self.announced_verdict = self.announced_verdict, verdict
        if verdict.published_fields == previous.published_fields:
            return
        if verdict.state != previous.state:
            log_event(
                "health",
                state=verdict.state,
                was=previous.state,
                weight=verdict.weight,
                reason=verdict.reason or "no shortage",
            )
        elif verdict.classes != previous.classes:
            log_event(
                "classes",
                unserved=[name for name, reason in verdict.classes if reason],
                reason=next(
                    (reason for _, reason in verdict.classes if reason), "all classes are served again"
                ),
            )
        for subscriber in list(self.subscribers):
            subscriber(verdict)

    def _update_frontends(self) -> None:
        """Tells the frontends of a new phase of the drain."""
        phase = self.health.drain_orders.phase(self.loop.time())
        if phase == self.drain_phase:
            return
        previous, self.drain_phase = self.drain_phase, phase
        for frontend in self.work_frontends:
            if phase == "none":
                frontend.cancel_drain()
            elif previous == "none":
                frontend.announce_drain()
            if phase == "closed":
                frontend.drain(True)
