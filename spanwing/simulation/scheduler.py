"""Simulates one scheduler: the decision module, and the part of the daemon's core that drives it.

Each request that arrives is answered exactly once, unless its client disconnects or the scheduler stops.
Each forwarded attempt ends in exactly one outcome for the decision module. Attempts and answers leave
through the scheduler's SchedulerEnvironment, which models the network.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from spanwing import interface as api
from spanwing.scheduler import Scheduler
from spanwing.simulation.event_queue import EventQueue, ScheduledCall

TIMEOUT_MARGIN_MS = 1.0  # an attempt times out this long before the client's deadline, as in the core


class SchedulerEnvironment(Protocol):
    """The calls by which a scheduler reaches clients, workers and discovery."""

    def send_attempt(
        self, scheduler: SimulatedScheduler, request_id: str, attempt_number: int, worker_id: int
    ) -> None:
        """Forwards an attempt to a worker."""

    def cancel_attempt(
        self,
        scheduler: SimulatedScheduler,
        request_id: str,
        attempt_number: int,
        worker_id: int,
        result: api.Result,
    ) -> None:
        """Cancels an attempt, which then ends with `result`."""

    def send_answer(
        self, scheduler: SimulatedScheduler, request_id: str, outcome: str, retry_after_ms: float
    ) -> None:
        """Sends the final answer of a request to its client. `outcome`: served, refused or failed."""

    def probe_worker(self, scheduler: SimulatedScheduler, worker_id: int) -> None:
        """Probes a worker; the result is delivered to the scheduler as an api.ProbeResult."""

    def watch_endpoints(self, scheduler: SimulatedScheduler) -> None:
        """Subscribes the scheduler to changes of the endpoint list."""


class ZoneRoutingModel(Protocol):
    """Decides which workers a scheduler may use, in fleets that leave and return to zones."""

    def may_forward(self, worker_id: int) -> bool:
        """Returns whether an attempt may be forwarded to this worker now."""

    def filter_workers(self, endpoint_list: api.WorkerList) -> api.WorkerList:
        """Returns the endpoint list as the decision module is to see it."""

    def attempt_sent(self, worker_id: int, attempt: tuple[str, int]) -> None:
        """Records that an attempt was forwarded."""

    def attempt_accepted(self, worker_id: int, attempt: tuple[str, int]) -> None:
        """Records that the worker accepted an attempt."""

    def attempt_ended(self, worker_id: int, attempt: tuple[str, int], result: str) -> None:
        """Records the result of an attempt."""

    def probe_finished(self, worker_id: int, result: str) -> None:
        """Records the result of a probe."""


@dataclass
class SimulatedRequest:
    """A request that the scheduler has not answered yet."""

    deadline_ms: float
    attempt_count: int = 0


@dataclass
class SimulatedAttempt:
    """An attempt that has not ended yet."""

    worker_id: int
    forwarded_at_ms: float
    timeout: ScheduledCall


class SimulatedScheduler:
    """One scheduler in one incarnation; it is up until stop() and never starts again."""

    def __init__(
        self,
        name: str,
        zone: str,
        settings: api.Settings,
        seed: int,
        event_queue: EventQueue,
        environment: SchedulerEnvironment,
    ) -> None:
        self.name, self.zone, self.event_queue, self.environment = name, zone, event_queue, environment
        self.decision_module = Scheduler(settings, seed, event_queue.now_ms)
        self.settings, self.seed = settings, seed
        self.pending_requests: dict[str, SimulatedRequest] = {}
        self.open_attempts: dict[tuple[str, int], SimulatedAttempt] = {}
        self.zone_routing: ZoneRoutingModel | None = None
        self.is_up = True
        self.stolen_cpu_share = 0.0  # share of its CPU that other processes take
        self.cpu_busy_until_ms = 0.0
        self.event_count = 0  # events that the decision module handled
        self.probe_count = 0
        self.decision_time_s = 0.0  # wall-clock time spent in the decision module

    def receive_event(self, event: api.Event) -> None:
        """Handles an event that arrives from outside, with zone routing applied where the fleet has it."""
        if self.zone_routing is not None and self.is_up:
            if isinstance(event, api.WorkerList):
                event = self.zone_routing.filter_workers(event)
            elif isinstance(event, api.ProbeResult):
                self.zone_routing.probe_finished(event.worker, event.result)
        self.handle_event(event)

    def handle_event(self, event: api.Event) -> None:
        """Passes an event to the decision module and performs the returned actions."""
        if not self.is_up:
            return
        started_at_s = time.perf_counter()
        actions = self.decision_module.handle(self.event_queue.now_ms, event)
        self.decision_time_s += time.perf_counter() - started_at_s
        self.event_count += 1
        for action in actions:
            self._perform(action)

    def schedule_work(
        self, delay_ms: float, cpu_ms: float, callback: Callable[..., object], *arguments: Any
    ) -> None:
        """Schedules a call that arrives after `delay_ms` and needs `cpu_ms` of this scheduler's CPU time.

        The CPU processes calls one after another in order of arrival, slower by `stolen_cpu_share`. A call
        without CPU cost is made right after the delay.
        """
        if cpu_ms <= 0:
            self.event_queue.schedule_after(delay_ms, callback, *arguments)
        else:
            self.event_queue.schedule_after(delay_ms, self._queue_on_cpu, cpu_ms, callback, *arguments)

    def _queue_on_cpu(self, cpu_ms: float, callback: Callable[..., object], *arguments: Any) -> None:
        """Schedules a call for when the CPU has finished all earlier calls and this one."""
        self.cpu_busy_until_ms = max(self.cpu_busy_until_ms, self.event_queue.now_ms) + cpu_ms / (
            1.0 - self.stolen_cpu_share
        )
        self.event_queue.schedule_at(self.cpu_busy_until_ms, callback, *arguments)

    def request_arrived(self, event: api.Request) -> None:
        """Accepts a request of a client. Its id must not be pending."""
        assert event.id not in self.pending_requests
        self.pending_requests[event.id] = SimulatedRequest(event.deadline)
        self.receive_event(event)

    def client_disconnected(self, request_id: str) -> None:
        """Drops a pending request whose client has disconnected; it gets no answer."""
        if self.pending_requests.pop(request_id, None) is not None:
            self.receive_event(api.ClientGone(request_id))

    def attempt_ended(
        self,
        request_id: str,
        attempt_number: int,
        result: api.Result,
        load_report: tuple[float, ...] | None = None,
    ) -> None:
        """Ends an open attempt with `result`; results of attempts that are not open are ignored."""
        attempt = self.open_attempts.pop((request_id, attempt_number), None)
        if attempt is None or not self.is_up:
            return
        attempt.timeout.cancel()
        if self.zone_routing is not None:
            self.zone_routing.attempt_ended(attempt.worker_id, (request_id, attempt_number), result)
        if result == "ok":
            self._send_answer(request_id, "served", 0.0)
        self.receive_event(
            api.Outcome(
                request_id,
                attempt_number,
                attempt.worker_id,
                result,
                request_id not in self.pending_requests,
                self.event_queue.now_ms - attempt.forwarded_at_ms,
                load_report,
            )
        )

    def attempt_progressed(self, request_id: str, attempt_number: int, has_started: bool = True) -> None:
        """Reports the progress of an open attempt to the decision module."""
        attempt = self.open_attempts.get((request_id, attempt_number))
        if attempt is not None:
            self.receive_event(api.ProgressReport(request_id, attempt_number, attempt.worker_id, has_started))

    def attempt_accepted(self, request_id: str, attempt_number: int) -> None:
        """Reports to the decision module that the worker accepted an open attempt."""
        attempt = self.open_attempts.get((request_id, attempt_number))
        if attempt is not None:
            if self.zone_routing is not None:
                self.zone_routing.attempt_accepted(attempt.worker_id, (request_id, attempt_number))
            self.receive_event(api.Accepted(request_id, attempt_number, attempt.worker_id))

    def stop(self) -> list[str]:
        """Stops at once; returns the ids of the pending requests, which get no answer."""
        self.is_up = False
        for each in self.open_attempts.values():
            each.timeout.cancel()
        self.open_attempts.clear()
        unanswered = list(self.pending_requests)
        self.pending_requests.clear()
        return unanswered

    def _perform(self, action: api.Action) -> None:
        """Performs one action of the decision module."""
        match action:
            case api.Send():
                self._forward(action)
            case api.Cancel():
                self._cancel_attempt(action.request, action.attempt, "cancelled")
            case api.Reject():
                self._send_answer(action.request, "refused", action.retry_after)
            case api.Fail():
                self._send_answer(action.request, "failed", 0.0)
            case api.SetTimer():
                self.event_queue.schedule_after(action.delay, self._handle_timer, action.token)
            case api.Probe():
                self.send_probe(action.worker)
            case api.Watch():
                self.environment.watch_endpoints(self)

    def send_probe(self, worker_id: int) -> None:
        """Probes a worker and counts the probe."""
        self.probe_count += 1
        self.environment.probe_worker(self, worker_id)

    def cancel_if_idempotent(self, request_id: str, attempt_number: int) -> None:
        """Cancels an open attempt if its request is pending and of an idempotent class (`safe`)."""
        if request_id in self.pending_requests and (request_id, attempt_number) in self.open_attempts:
            service_class = (
                self.decision_module.jobs[request_id].service_class
                if request_id in self.decision_module.jobs
                else None
            )
            if service_class is not None and service_class.idempotency == "safe":
                self._cancel_attempt(request_id, attempt_number, "cancelled")

    def _handle_timer(self, token: int) -> None:
        self.receive_event(api.TimerDue(token))

    def _forward(self, action: api.Send) -> None:
        """Forwards an attempt, or ends it as moot if it is too late, one too many or not permitted."""
        pending, now_ms = self.pending_requests[action.request], self.event_queue.now_ms
        attempt_number, pending.attempt_count = pending.attempt_count, pending.attempt_count + 1
        remaining_ms = pending.deadline_ms - now_ms - TIMEOUT_MARGIN_MS
        if action.timeout:
            remaining_ms = min(remaining_ms, action.timeout)
        timeout = self.event_queue.schedule_after(
            max(0.0, remaining_ms), self._cancel_attempt, action.request, attempt_number, "timeout"
        )
        self.open_attempts[action.request, attempt_number] = SimulatedAttempt(action.worker, now_ms, timeout)
        if remaining_ms <= 0 or attempt_number >= self.settings.max_attempts:
            self.event_queue.schedule_at(now_ms, self.attempt_ended, action.request, attempt_number, "moot")
            return
        if self.zone_routing is not None:
            if not self.zone_routing.may_forward(action.worker):
                self.event_queue.schedule_at(
                    now_ms, self.attempt_ended, action.request, attempt_number, "moot"
                )
                return
            self.zone_routing.attempt_sent(action.worker, (action.request, attempt_number))
        self.environment.send_attempt(self, action.request, attempt_number, action.worker)

    def _cancel_attempt(self, request_id: str, attempt_number: int, result: api.Result) -> None:
        """Cancels an attempt at its worker, if it is open."""
        attempt = self.open_attempts.get((request_id, attempt_number))
        if attempt is not None:
            self.environment.cancel_attempt(self, request_id, attempt_number, attempt.worker_id, result)

    def _send_answer(self, request_id: str, outcome: str, retry_after_ms: float) -> None:
        """Sends the final answer of a request, unless it has been answered before."""
        if self.pending_requests.pop(request_id, None) is not None:
            self.environment.send_answer(self, request_id, outcome, retry_after_ms)
