"""One scheduler in simulated time: the decision module, with what the daemon's core does around it.

Guarantees: each request that is handed in is answered exactly once; each attempt that is sent ends in exactly
one outcome for the module. It knows no network: what it sends and answers goes out by the calls of its Side.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from spanwing import interface as api
from spanwing.choice import Dispatcher
from spanwing.simulation.event_queue import EventQueue, ScheduledCall

TIMEOUT_MARGIN_MS = 1.0  # as in the core: an attempt's time ends so long before the client's


class SchedulerEnvironment(Protocol):
    """What is around a scheduler."""

    def send_attempt(
        self, scheduler: SimulatedScheduler, request_id: str, attempt_number: int, worker_id: int
    ) -> None: ...

    def cancel_attempt(
        self,
        scheduler: SimulatedScheduler,
        request_id: str,
        attempt_number: int,
        worker_id: int,
        result: api.Result,
    ) -> None: ...

    def send_answer(
        self, scheduler: SimulatedScheduler, request_id: str, outcome: str, retry_after_ms: float
    ) -> None: ...

    def probe_worker(self, scheduler: SimulatedScheduler, worker_id: int) -> None: ...

    def watch_endpoints(self, scheduler: SimulatedScheduler) -> None: ...


class ZoneRoutingModel(Protocol):
    """Which workers may be used, where the fleet leaves and returns to zones as one."""

    def may_forward(self, worker_id: int) -> bool: ...

    def filter_workers(self, endpoint_list: api.WorkerList) -> api.WorkerList: ...

    def attempt_sent(self, worker_id: int, attempt: tuple[str, int]) -> None: ...

    def attempt_accepted(self, worker_id: int, attempt: tuple[str, int]) -> None: ...

    def attempt_ended(self, worker_id: int, attempt: tuple[str, int], result: str) -> None: ...

    def probe_finished(self, worker_id: int, result: str) -> None: ...


@dataclass
class SimulatedRequest:
    """A request that owes its answer."""

    deadline_ms: float
    attempt_count: int = 0


@dataclass
class SimulatedAttempt:
    """An attempt that has not ended."""

    worker_id: int
    forwarded_at_ms: float
    timeout: ScheduledCall


class SimulatedScheduler:
    """A scheduler; up until it is stopped."""

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
        self.decision_module = Dispatcher(settings, seed, event_queue.now_ms)
        self.settings, self.seed = settings, seed
        self.pending_requests: dict[str, SimulatedRequest] = {}
        self.open_attempts: dict[tuple[str, int], SimulatedAttempt] = {}
        self.zone_routing: ZoneRoutingModel | None = None
        self.is_up = True
        self.stolen = 0.0  # part of its CPU that others take
        self.cpu_busy_until_ms = 0.0
        self.event_count = 0  # events that the module took
        self.probe_count = 0
        self.decision_time_s = 0.0  # of real time, in the module

    def receive_event(self, event: api.Event) -> None:
        if self.zone_routing is not None and self.is_up:
            if isinstance(event, api.WorkerList):
                event = self.zone_routing.filter_workers(event)
            elif isinstance(event, api.ProbeResult):
                self.zone_routing.probe_finished(event.worker, event.result)
        self.handle_event(event)

    def handle_event(self, event: api.Event) -> None:
        """An event as the module is to have it."""
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
        """Have it do what comes after delay and takes cost ms of its CPU, one thing after another."""
        if cpu_ms <= 0:
            self.event_queue.schedule_after(delay_ms, callback, *arguments)
        else:
            self.event_queue.schedule_after(delay_ms, self._queue_on_cpu, cpu_ms, callback, *arguments)

    def _queue_on_cpu(self, cpu_ms: float, callback: Callable[..., object], *arguments: Any) -> None:
        self.cpu_busy_until_ms = max(self.cpu_busy_until_ms, self.event_queue.now_ms) + cpu_ms / (
            1.0 - self.stolen
        )
        self.event_queue.schedule_at(self.cpu_busy_until_ms, callback, *arguments)

    def request_arrived(self, event: api.Request) -> None:
        """A client's request has arrived."""
        assert event.id not in self.pending_requests
        self.pending_requests[event.id] = SimulatedRequest(event.deadline)
        self.receive_event(event)

    def client_disconnected(self, request_id: str) -> None:
        """Its client is gone; nothing is owed any more."""
        if self.pending_requests.pop(request_id, None) is not None:
            self.receive_event(api.ClientGone(request_id))

    def attempt_ended(
        self,
        request_id: str,
        attempt_number: int,
        result: api.Result,
        load_report: tuple[float, ...] | None = None,
    ) -> None:
        """How an attempt ended; a second word on it changes nothing."""
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
        attempt = self.open_attempts.get((request_id, attempt_number))
        if attempt is not None:
            self.receive_event(api.Note(request_id, attempt_number, attempt.worker_id, has_started))

    def attempt_accepted(self, request_id: str, attempt_number: int) -> None:
        attempt = self.open_attempts.get((request_id, attempt_number))
        if attempt is not None:
            if self.zone_routing is not None:
                self.zone_routing.attempt_accepted(attempt.worker_id, (request_id, attempt_number))
            self.receive_event(api.Accepted(request_id, attempt_number, attempt.worker_id))

    def stop(self) -> list[str]:
        """It is gone at once; the requests that never get their answer."""
        self.is_up = False
        for each in self.open_attempts.values():
            each.timeout.cancel()
        self.open_attempts.clear()
        unanswered = list(self.pending_requests)
        self.pending_requests.clear()
        return unanswered

    def _perform(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._forward(action)
            case api.Cancel():
                self._cancel_attempt(action.request, action.attempt, "cancelled")
            case api.Refuse():
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
        self.probe_count += 1
        self.environment.probe_worker(self, worker_id)

    def cancel_if_idempotent(self, request_id: str, attempt_number: int) -> None:
        """Give up an attempt that may be repeated anywhere, if it is out and its answer is owed."""
        if request_id in self.pending_requests and (request_id, attempt_number) in self.open_attempts:
            service_class = (
                self.decision_module.jobs[request_id].cls if request_id in self.decision_module.jobs else None
            )
            if service_class is not None and service_class.effect == "safe":
                self._cancel_attempt(request_id, attempt_number, "cancelled")

    def _handle_timer(self, token: int) -> None:
        self.receive_event(api.TimerDue(token))

    def _forward(self, action: api.Send) -> None:
        pending, now = self.pending_requests[action.request], self.event_queue.now_ms
        attempt_number, pending.attempt_count = pending.attempt_count, pending.attempt_count + 1
        remaining_ms = pending.deadline_ms - now - TIMEOUT_MARGIN_MS
        if action.timeout:
            remaining_ms = min(remaining_ms, action.timeout)
        timeout = self.event_queue.schedule_after(
            max(0.0, remaining_ms), self._cancel_attempt, action.request, attempt_number, "timeout"
        )
        self.open_attempts[action.request, attempt_number] = SimulatedAttempt(action.worker, now, timeout)
        if remaining_ms <= 0 or attempt_number >= self.settings.max_attempts:
            self.event_queue.schedule_at(now, self.attempt_ended, action.request, attempt_number, "moot")
            return
        if self.zone_routing is not None:
            if not self.zone_routing.may_forward(action.worker):
                self.event_queue.schedule_at(now, self.attempt_ended, action.request, attempt_number, "moot")
                return
            self.zone_routing.attempt_sent(action.worker, (action.request, attempt_number))
        self.environment.send_attempt(self, action.request, attempt_number, action.worker)

    def _cancel_attempt(self, request_id: str, attempt_number: int, result: api.Result) -> None:
        attempt = self.open_attempts.get((request_id, attempt_number))
        if attempt is not None:
            self.environment.cancel_attempt(self, request_id, attempt_number, attempt.worker_id, result)

    def _send_answer(self, request_id: str, outcome: str, retry_after_ms: float) -> None:
        if self.pending_requests.pop(request_id, None) is not None:
            self.environment.send_answer(self, request_id, outcome, retry_after_ms)
