"""Simulates a complete fleet: clients, a load balancer, schedulers, the network, discovery and workers.

The same FleetPlan and seed give the same run, event for event. At the end of run() every request and all
work are accounted for (request_accounting.py). The wall clock is read only to measure the time spent in the
decision modules; it does not affect the run.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from spanwing import interface as api
from spanwing.simulation.clients import (
    ClassSpec,
    ClientModel,
    GeneratedRequest,
    LoadSpec,
    RetrySpec,
    TenantSpec,
)
from spanwing.simulation.event_queue import EventQueue, ScheduledCall
from spanwing.simulation.network import NetworkDelays, NetworkModel
from spanwing.simulation.random_streams import RandomStreams
from spanwing.simulation.request_accounting import RequestAccounting, WorkTotals
from spanwing.simulation.scheduler import SimulatedScheduler
from spanwing.simulation.worker import JobBegan, SimulatedWorker, WorkerJob, WorkerJobEvent, WorkerSpec

CONNECT_TIMEOUT_MS = 250.0  # after this time without an answer a host counts as unreachable
ACCEPT_TIMEOUT_MS = 2500.0  # after this time an attempt that was neither accepted nor rejected times out
PROBE_TIMEOUT_MS = 500.0
FIRST_POLL_DELAY_MS = 500.0  # from a scheduler's restart to its first poll of discovery
RUN_OUT_MS = 10_000.0  # simulated beyond the last deadline, so that all requests end
#: The result of an attempt by the result of its job at the worker.
RESULT_BY_JOB_RESULT: dict[str, api.Result] = {
    "ok": "ok",
    "error": "error",
    "full": "full",
    "cancelled": "cancelled",
    "expired": "full",  # an expired job never began to run
}


class FleetPlan(NamedTuple):
    """Describes a simulated fleet, its clients and its network."""

    workers: tuple[WorkerSpec, ...]
    schedulers: tuple[tuple[str, str], ...]  # names and zones
    classes: tuple[ClassSpec, ...]
    load: LoadSpec
    tenants: tuple[TenantSpec, ...] = (TenantSpec("one", 1.0),)
    retries: RetrySpec = RetrySpec()
    network_delays: NetworkDelays = NetworkDelays()
    make_settings: Callable[[int, str], api.Settings] | None = None  # from a scheduler's index and zone
    #: Bounds of the time until a scheduler learns of a change in discovery.
    discovery_lag_ms: tuple[float, float] = (20.0, 120.0)
    decision_ms: float = 0.0  # CPU time of a scheduler for each message that it receives
    scheduler_loss_notice_ms: float = 1000.0  # until the load balancer stops using a stopped scheduler
    load_report_interval_ms: float = 25.0  # maximum age of a load report


#: Field names in the digest of a run's answers. They never change, so that digests of all revisions compare.
DIGEST_FIELDS = ("at", "cls", "brand", "kind", "took", "tries", "attempts", "running")


class AnsweredRequest(NamedTuple):
    """The outcome of one request."""

    arrived_at_ms: float
    class_name: str
    tenant: str
    outcome: str  # served, refused, failed, left, lost
    elapsed_ms: float  # from the request's arrival until it ended
    submission_count: int
    attempt_count: int
    work_ms: float  # at speed 1; the latency objective of some classes grows with it


@dataclass
class ClientRequestState:
    """A request that has not ended, with the state of its client."""

    generated: GeneratedRequest
    submission_count: int = 0
    attempt_count: int = 0  # of all submissions
    scheduler: SimulatedScheduler | None = None  # of the last submission
    departure: ScheduledCall | None = None  # when the client's patience is over


@dataclass
class WorkerHost:
    """A worker and what the fleet knows about it; kept over restarts of the worker."""

    worker: SimulatedWorker
    worker_id: int
    wake_up: ScheduledCall | None = None  # for the worker's next event
    phase: api.State = "healthy"  # as discovery publishes it
    #: Open attempts by attempt key: scheduler, request id and attempt number.
    attempts_by_key: dict[str, tuple[SimulatedScheduler, str, int]] = field(default_factory=dict)
    last_load_report: dict[str, float] = field(default_factory=dict)
    load_reported_at_ms: float = -1e12


def worker_id_of(name: str) -> int:
    """Returns the id of a worker: a 48-bit digest of its name."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=6).digest(), "big")


class FleetSimulation:
    """One simulated fleet, from its start to the end of its day.

    `on_answered` is called once for each request, when it ends.
    """

    def __init__(
        self, plan: FleetPlan, seed: int, on_answered: Callable[[AnsweredRequest], None] | None = None
    ) -> None:
        self.plan, self.streams, self.event_queue = plan, RandomStreams(seed), EventQueue()
        self.network, self.accounting = NetworkModel(plan.network_delays, self.streams), RequestAccounting()
        self.clients = ClientModel(plan.load, plan.classes, plan.tenants, self.streams)
        self.on_answered: Callable[[AnsweredRequest], None] = on_answered or (lambda _: None)
        self.worker_hosts: dict[int, WorkerHost] = {}
        for spec in plan.workers:
            worker_id = worker_id_of(spec.name)
            self.worker_hosts[worker_id] = WorkerHost(SimulatedWorker(spec, started_at_ms=-1e9), worker_id)
        self.hosts_by_name = {host.worker.spec.name: host for host in self.worker_hosts.values()}
        assert len(self.worker_hosts) == len(plan.workers), "two workers have the same name"
        make_settings = plan.make_settings or self._default_settings
        self.schedulers = [
            SimulatedScheduler(
                name, zone, make_settings(index, zone), seed * 1000 + index, self.event_queue, self
            )
            for index, (name, zone) in enumerate(plan.schedulers)
        ]
        self.schedulers_believed_up = list(self.schedulers)  # those that the load balancer uses
        self.client_requests: dict[str, ClientRequestState] = {}
        self.request_of_submission: dict[str, str] = {}  # request id by submission id
        self.scheduler_choice_stream = self.streams.stream("front")
        self.work_noise_stream = self.streams.stream("workers", "noise")
        self.discovery_lag_stream = self.streams.stream("discovery")
        self.heavy_tail_stream = self.streams.stream("workers", "tail")
        self.heavy_tail = (0.0, 1.0)  # share of attempts, and the factor by which their work is multiplied
        self.is_discovery_up, self.unannounced_workers = True, set[int]()
        self.attempt_count = 0  # accepted by workers
        self.digest = hashlib.blake2b(digest_size=16)  # of all answers
        for scheduler in self.schedulers:
            scheduler.receive_event(
                api.WorkerList(
                    "complete", tuple(self.endpoint_of(each) for each in self.worker_hosts.values())
                )
            )

    def _default_settings(self, scheduler_index: int, zone: str) -> api.Settings:
        """Returns the settings of a scheduler for the plan's classes, tenants and workers."""
        classes = tuple(
            api.ServiceClass(
                each.name,
                latency_objective_ms=each.latency_objective_ms,
                deadline_ms=each.deadline_ms,
                priority_weight=each.priority_weight,
                idempotency=each.idempotency,
                late_weight=each.late_weight,
                objective_stretch=each.objective_stretch,
                deduplication_window_ms=each.deduplication_window_ms,
                kind=each.worker_kind,
                priority=each.priority,
            )
            for each in self.plan.classes
        )
        all_zones = tuple(sorted({each.zone for each in self.plan.workers} | {zone}))
        worker_specs = self.plan.workers
        warming_specs = [each for each in worker_specs if each.slow_start_ms > 0]
        tenants = tuple(api.Tenant(each.name, each.quota) for each in self.plan.tenants if each.quota < 1e9)
        return api.Settings(
            classes=classes,
            node_index=scheduler_index,
            node_count=len(self.plan.schedulers),
            zone=zone,
            zones=all_zones,
            cancel=True,
            max_attempts=3,
            max_retry_after=2000.0,
            answer_grace=16.0,
            tells_start=True,
            tick_ms=4.0,
            tenants=tenants,
            over_quota_weight=0.1 if tenants else 1.0,
            probes=True,
            report_fields=("latency", "queue", "free_slots", "free_memory"),
            preempts=any(each.preempts for each in worker_specs),
            slow_start_initial_fraction=min((each.initial_capacity for each in warming_specs), default=1.0),
            slow_start_ms=max((each.slow_start_ms for each in warming_specs), default=0.0),
            overload_multiple=min(
                (each.overload_multiple for each in warming_specs if each.overload_multiple < 1e9),
                default=1.0,
            ),
            overload_window_ms=max((each.overload_window_ms for each in warming_specs), default=0.0),
        )

    def run(self, day_end_ms: float) -> None:
        """Runs the day until `day_end_ms`, then until all requests have ended.

        Raises AssertionError if requests or work were lost or created.
        """
        self._schedule_arrival(self.clients.next_request(), day_end_ms)
        self.event_queue.run_until(day_end_ms)
        self.event_queue.run_until(
            day_end_ms + max(each.deadline_ms for each in self.plan.classes) + RUN_OUT_MS
        )
        self.check_conservation()

    def check_conservation(self) -> None:
        """Raises AssertionError if requests or work were lost or created."""
        self.accounting.check_requests()
        workers = [host.worker for host in self.worker_hosts.values()]
        self.accounting.check_work(
            WorkTotals(
                *(sum(getattr(each.work_totals, name) for each in workers) for name in ("done", "wasted")),
                sum(each.unfinished_processed_work() for each in workers),
                sum(each.work_totals.withdrawn for each in workers),
                sum(each.remaining_work() for each in workers),
                sum(each.processed_work for each in workers),
            ),
            self.attempt_count,
        )

    def _schedule_arrival(self, generated: GeneratedRequest, day_end_ms: float) -> None:
        """Schedules a request at its arrival time, unless it arrives after the end of the day."""
        if generated.arrives_at_ms <= day_end_ms:
            self.event_queue.schedule_at(generated.arrives_at_ms, self._start_request, generated, day_end_ms)

    def _start_request(self, generated: GeneratedRequest, day_end_ms: float) -> None:
        """Starts and submits a request at its arrival, and schedules the next arrival."""
        self._schedule_arrival(self.clients.next_request(), day_end_ms)
        self.accounting.add_request(generated.id)
        client_request = self.client_requests[generated.id] = ClientRequestState(generated)
        client_request.departure = self.event_queue.schedule_after(
            generated.patience_ms, self._client_leaves, generated.id
        )
        self._submit(generated.id)

    def _submit(self, request_id: str) -> None:
        """Submits a request to a scheduler that the load balancer chooses at random."""
        client_request = self.client_requests.get(request_id)
        if client_request is None:
            return
        client_request.submission_count += 1
        self.accounting.set_stage(request_id, "on its way")
        if not self.schedulers_believed_up:
            self._finish_request(request_id, "lost")
            return
        # The load balancer prefers the schedulers of the client's zone while it believes that one is up.
        candidates = [
            each for each in self.schedulers_believed_up if each.zone == client_request.generated.zone
        ] or self.schedulers_believed_up
        scheduler = client_request.scheduler = candidates[
            int(self.scheduler_choice_stream.integers(len(candidates)))
        ]
        delay_ms = self.network.message_delay_ms("", scheduler.zone)
        if delay_ms is None:
            self.event_queue.schedule_after(
                CONNECT_TIMEOUT_MS, self._handle_rejection, request_id, client_request.submission_count, 0.0
            )
        else:
            scheduler.schedule_work(
                delay_ms,
                self.plan.decision_ms,
                self._arrive_at_scheduler,
                request_id,
                client_request.submission_count,
                scheduler,
            )

    def _arrive_at_scheduler(
        self, request_id: str, submission_number: int, scheduler: SimulatedScheduler
    ) -> None:
        """Delivers a submission to its scheduler, unless the client has left or has retried meanwhile."""
        client_request = self.client_requests.get(request_id)
        if client_request is None or client_request.submission_count != submission_number:
            return
        if not scheduler.is_up:  # the connection is refused, and the client may retry at once
            self._handle_rejection(request_id, submission_number, 0.0)
            return
        generated = client_request.generated
        self.accounting.set_stage(request_id, "scheduler")
        submission_id = f"{request_id}.{submission_number}"
        self.request_of_submission[submission_id] = request_id
        scheduler.request_arrived(
            api.Request(
                submission_id,
                generated.class_spec.name,
                client_request.departure.due_at_ms,
                generated.tenant,
                generated.slots,
                generated.class_spec.memory,
                is_repeat=submission_number > 1,
            )
        )

    def send_answer(
        self, scheduler: SimulatedScheduler, request_id: str, outcome: str, retry_after_ms: float
    ) -> None:
        """Sends the answer of a scheduler to the client; see SchedulerEnvironment."""
        client_request_id = self.request_of_submission.pop(request_id)
        client_request = self.client_requests.get(client_request_id)
        if client_request is None:
            return
        self.accounting.set_stage(client_request_id, "answer on its way")
        delay_ms = self.network.message_delay_ms(scheduler.zone, "")
        if delay_ms is None:
            return  # the answer is lost; the request ends when the client leaves
        self.event_queue.schedule_after(
            delay_ms,
            self._receive_answer,
            client_request_id,
            client_request.submission_count,
            outcome,
            retry_after_ms,
        )

    def _receive_answer(
        self, request_id: str, submission_number: int, outcome: str, retry_after_ms: float
    ) -> None:
        """Handles an answer at the client: retries or ends the request."""
        if outcome == "refused":
            self._handle_rejection(request_id, submission_number, retry_after_ms)
        elif request_id in self.client_requests:
            self._finish_request(request_id, outcome)

    def _handle_rejection(self, request_id: str, submission_number: int, retry_after_ms: float) -> None:
        """Retries a rejected request after a delay, or ends it if it has no retry or no time left."""
        client_request = self.client_requests.get(request_id)
        if client_request is None or client_request.submission_count != submission_number:
            return
        retry_spec = self.plan.retries
        delay_ms = retry_spec.next_delay_ms(
            submission_number,
            retry_after_ms,
            client_request.generated.retry_after_draw < retry_spec.retry_after_honour_share,
            float(self.streams.stream("clients", "backoff").random()),
        )
        if delay_ms is None or self.event_queue.now_ms + delay_ms >= client_request.departure.due_at_ms:
            self._finish_request(request_id, "refused")
            return
        if self.accounting.stage_of(request_id) == "on its way":
            self.accounting.set_stage(request_id, "answer on its way")
        self.accounting.set_stage(request_id, "waits to retry")
        self.event_queue.schedule_after(delay_ms, self._submit, request_id)

    def _client_leaves(self, request_id: str) -> None:
        """Ends a request whose client leaves; later answers are ignored."""
        client_request = self.client_requests.get(request_id)
        if client_request is None:
            return
        if self.accounting.stage_of(request_id) == "scheduler":
            submission_id = f"{request_id}.{client_request.submission_count}"
            self.request_of_submission.pop(submission_id, None)
            client_request.scheduler.client_disconnected(submission_id)
        self._finish_request(request_id, "left")

    def _finish_request(self, request_id: str, outcome: str) -> None:
        """Ends a request, adds it to the digest and reports it to `on_answered`."""
        client_request = self.client_requests.pop(request_id)
        client_request.departure.cancel()
        self.accounting.set_stage(request_id, "over")
        generated, now_ms = client_request.generated, self.event_queue.now_ms
        answered = AnsweredRequest(
            generated.arrives_at_ms,
            generated.class_spec.name,
            generated.tenant,
            outcome,
            now_ms - generated.arrives_at_ms,
            client_request.submission_count,
            client_request.attempt_count,
            generated.work_ms,
        )
        fields = ", ".join(f"{name}={value!r}" for name, value in zip(DIGEST_FIELDS, answered, strict=True))
        self.digest.update(f"({request_id!r}, Answered({fields}))".encode())
        self.on_answered(answered)

    def send_attempt(
        self, scheduler: SimulatedScheduler, request_id: str, attempt_number: int, worker_id: int
    ) -> None:
        """Sends an attempt to its worker; see SchedulerEnvironment."""
        client_request = self.client_requests.get(self.request_of_submission.get(request_id, ""))
        if client_request is not None:
            client_request.attempt_count += 1
        host = self.worker_hosts.get(worker_id)
        delay_ms = (
            None if host is None else self.network.message_delay_ms(scheduler.zone, host.worker.spec.zone)
        )
        if host is None or delay_ms is None or host.phase == "gone":
            self.event_queue.schedule_after(
                CONNECT_TIMEOUT_MS, scheduler.attempt_ended, request_id, attempt_number, "unreachable"
            )
            return
        generated = client_request.generated if client_request is not None else None
        self.event_queue.schedule_after(
            delay_ms, self._arrive_at_worker, scheduler, request_id, attempt_number, host, generated
        )

    def _arrive_at_worker(
        self,
        scheduler: SimulatedScheduler,
        request_id: str,
        attempt_number: int,
        host: WorkerHost,
        generated: GeneratedRequest | None,
    ) -> None:
        """Submits an attempt to its worker; `generated` is None if the request has ended."""
        attempt_key, worker = f"{scheduler.name} {request_id}#{attempt_number}", host.worker
        if (
            generated is None or (request_id, attempt_number) not in scheduler.open_attempts
        ):  # the attempt was cancelled in transit
            self._return_outcome(scheduler, host, request_id, attempt_number, "cancelled")
            return
        if worker.is_down:
            self._return_outcome(scheduler, host, request_id, attempt_number, "unreachable")
            return
        work_cv, class_spec = self.plan.load.attempt_work_cv, generated.class_spec
        work = generated.work_ms * (
            1.0 if work_cv <= 0 else float(self.work_noise_stream.lognormal(-work_cv * work_cv / 2, work_cv))
        )
        if self.heavy_tail[0] > 0 and float(self.heavy_tail_stream.random()) < self.heavy_tail[0]:
            work *= self.heavy_tail[1]
        job = WorkerJob(
            attempt_key,
            work,
            generated.slots,
            class_spec.memory,
            class_spec.priority,
            class_spec.idempotency != "unsafe",
            generated.arrives_at_ms + generated.patience_ms,
            generated.sticky_key if class_spec.idempotency == "keyed" else "",
            class_spec.deduplication_window_ms,
        )
        host.attempts_by_key[attempt_key] = scheduler, request_id, attempt_number
        events = worker.submit_job(self.event_queue.now_ms, job)
        if attempt_key in worker.accepted_jobs:
            self.accounting.requested_work += work
            self.attempt_count += 1
        if not worker.is_silent and attempt_key in worker.accepted_jobs:
            delay_ms = self.network.message_delay_ms(worker.spec.zone, scheduler.zone)
            if delay_ms is not None:
                scheduler.schedule_work(
                    delay_ms, self.plan.decision_ms, scheduler.attempt_accepted, request_id, attempt_number
                )
        if worker.is_silent:
            self.event_queue.schedule_after(
                ACCEPT_TIMEOUT_MS,
                self._accept_timed_out,
                host,
                attempt_key,
                scheduler,
                request_id,
                attempt_number,
            )
        self._handle_worker_events(host, events)

    def _accept_timed_out(
        self,
        host: WorkerHost,
        attempt_key: str,
        scheduler: SimulatedScheduler,
        request_id: str,
        attempt_number: int,
    ) -> None:
        """Ends an attempt that the worker neither accepted nor rejected."""
        host.attempts_by_key.pop(attempt_key, None)
        scheduler.attempt_ended(request_id, attempt_number, "timeout")

    def cancel_attempt(
        self,
        scheduler: SimulatedScheduler,
        request_id: str,
        attempt_number: int,
        worker_id: int,
        result: api.Result,
    ) -> None:
        """Cancels an attempt. It ends after a round trip to the worker, or at once if it cannot answer."""
        host = self.worker_hosts.get(worker_id)
        delay_ms = (
            None if host is None else self.network.message_delay_ms(scheduler.zone, host.worker.spec.zone)
        )
        if delay_ms is None or host.worker.is_down or host.worker.is_silent:
            self.event_queue.schedule_at(
                self.event_queue.now_ms, scheduler.attempt_ended, request_id, attempt_number, result
            )
            if host is not None and not host.worker.is_down:
                self._cancel_at_worker(f"{scheduler.name} {request_id}#{attempt_number}", host)
            return
        self.event_queue.schedule_after(
            delay_ms, self._cancel_at_worker, f"{scheduler.name} {request_id}#{attempt_number}", host
        )
        self.event_queue.schedule_after(
            2 * delay_ms, scheduler.attempt_ended, request_id, attempt_number, result
        )

    def _cancel_at_worker(self, attempt_key: str, host: WorkerHost) -> None:
        """Cancels a job at its worker; no further outcome of it is returned."""
        host.attempts_by_key.pop(attempt_key, None)
        if not host.worker.is_down:
            self._handle_worker_events(host, host.worker.cancel_job(self.event_queue.now_ms, attempt_key))

    def _advance_worker(self, host: WorkerHost) -> None:
        """Handles the event for which the worker's wake-up was scheduled."""
        host.wake_up = None
        self._handle_worker_events(host, host.worker.advance_to(self.event_queue.now_ms))

    def _handle_worker_events(self, host: WorkerHost, events: list[WorkerJobEvent]) -> None:
        """Sends a worker's events to the schedulers, and schedules the worker's next event."""
        worker = host.worker
        for each in events:
            attempt = host.attempts_by_key.get(each.attempt_key)
            if attempt is None:
                continue
            scheduler, request_id, attempt_number = attempt
            if isinstance(each, JobBegan):
                delay_ms = self.network.message_delay_ms(worker.spec.zone, scheduler.zone)
                if delay_ms is not None:
                    scheduler.schedule_work(
                        delay_ms,
                        self.plan.decision_ms,
                        scheduler.attempt_progressed,
                        request_id,
                        attempt_number,
                    )
            else:
                del host.attempts_by_key[each.attempt_key]
                self._return_outcome(
                    scheduler, host, request_id, attempt_number, RESULT_BY_JOB_RESULT[each.result]
                )
        if worker.is_down and host.phase != "gone":
            self.worker_went_down(host)
        if host.wake_up is not None:
            host.wake_up.cancel()
            host.wake_up = None
        next_event_ms = worker.next_event_ms()
        if next_event_ms is not None:
            host.wake_up = self.event_queue.schedule_at(next_event_ms, self._advance_worker, host)

    def _return_outcome(
        self,
        scheduler: SimulatedScheduler,
        host: WorkerHost,
        request_id: str,
        attempt_number: int,
        result: api.Result,
    ) -> None:
        """Sends the result of an attempt from its worker to the scheduler, unless the message is lost."""
        delay_ms = self.network.message_delay_ms(host.worker.spec.zone, scheduler.zone)
        if delay_ms is not None:
            scheduler.schedule_work(
                delay_ms, self.plan.decision_ms, scheduler.attempt_ended, request_id, attempt_number, result
            )

    def _load_report(self, scheduler: SimulatedScheduler, host: WorkerHost) -> tuple[float, ...]:
        """Returns the worker's last load report, at most `load_report_interval_ms` old."""
        if self.event_queue.now_ms >= host.load_reported_at_ms + self.plan.load_report_interval_ms:
            host.last_load_report, host.load_reported_at_ms = (
                host.worker.load_report(),
                self.event_queue.now_ms,
            )
        return tuple(host.last_load_report.get(name, 0.0) for name in scheduler.settings.report_fields)

    def probe_worker(self, scheduler: SimulatedScheduler, worker_id: int) -> None:
        """Probes a worker; the result arrives after a round trip, or `unreachable` after PROBE_TIMEOUT_MS."""
        host = self.worker_hosts.get(worker_id)
        delay_ms = (
            None if host is None else self.network.message_delay_ms(scheduler.zone, host.worker.spec.zone)
        )
        if delay_ms is None or host.worker.is_down or host.worker.is_silent:
            self.event_queue.schedule_after(
                PROBE_TIMEOUT_MS,
                scheduler.receive_event,
                api.ProbeResult(worker_id, "unreachable", PROBE_TIMEOUT_MS),
            )
        else:
            self.event_queue.schedule_after(
                2 * delay_ms,
                scheduler.receive_event,
                api.ProbeResult(worker_id, "ok", 2 * delay_ms, self._load_report(scheduler, host)),
            )

    def watch_endpoints(self, scheduler: SimulatedScheduler) -> None:
        """Does nothing: set_phase() sends changes to every scheduler."""

    def worker_went_down(self, host: WorkerHost) -> None:
        """Marks a worker as gone; its open attempts end with `reset`."""
        for scheduler, request_id, attempt_number in host.attempts_by_key.values():
            self._return_outcome(scheduler, host, request_id, attempt_number, "reset")
        host.attempts_by_key.clear()
        self.set_phase(host, "gone")

    def set_phase(self, host: WorkerHost, phase: api.State) -> None:
        """Publishes a worker's new phase, which reaches each scheduler after a discovery lag of its own."""
        host.phase = phase
        if not self.is_discovery_up:
            self.unannounced_workers.add(host.worker_id)
            return
        for scheduler in self.schedulers:
            scheduler.schedule_work(
                float(self.discovery_lag_stream.uniform(*self.plan.discovery_lag_ms)),
                self.plan.decision_ms,
                scheduler.receive_event,
                api.WorkerList("partial", (self.endpoint_of(host),)),
            )

    def restore_discovery(self) -> None:
        """Restores discovery, and publishes the changes since it went down."""
        self.is_discovery_up = True
        for worker_id in sorted(self.unannounced_workers):
            self.set_phase(self.worker_hosts[worker_id], self.worker_hosts[worker_id].phase)
        self.unannounced_workers.clear()

    def advance_worker(self, host: WorkerHost) -> None:
        """Advances a worker that is up to the current time."""
        if not host.worker.is_down:
            self._handle_worker_events(host, host.worker.advance_to(self.event_queue.now_ms))

    def crash_worker(self, host: WorkerHost) -> None:
        """Stops a worker without notice."""
        self._handle_worker_events(host, host.worker.crash(self.event_queue.now_ms))

    def drain_worker(self, host: WorkerHost) -> None:
        """Makes a worker that is up reject new jobs, and publishes that it is draining."""
        if not host.worker.is_down:
            host.worker.is_draining = True
            self.set_phase(host, "draining")

    def crash_if_up(self, host: WorkerHost) -> None:
        """Stops a worker without notice, unless it is down."""
        if not host.worker.is_down:
            self.crash_worker(host)

    def start_if_down(self, host: WorkerHost) -> None:
        """Restarts a worker, if it is down."""
        if host.worker.is_down:
            self.start_worker(host)

    def start_replacement(self, host: WorkerHost) -> None:
        """Starts another worker of the same spec and the name with a `+`; it is warming up."""
        spec = host.worker.spec._replace(name=f"{host.worker.spec.name}+")
        worker_id = worker_id_of(spec.name)
        replacement = self.worker_hosts[worker_id] = WorkerHost(
            SimulatedWorker(spec, self.event_queue.now_ms, self.event_queue.now_ms), worker_id
        )
        self.hosts_by_name[spec.name] = replacement
        self.set_phase(replacement, "healthy")

    def start_worker(self, host: WorkerHost) -> None:
        """Restarts a worker that is down; it is warming up."""
        host.worker = SimulatedWorker(
            host.worker.spec,
            self.event_queue.now_ms,
            self.event_queue.now_ms,
            work_totals=host.worker.work_totals,
            processed_work=host.worker.processed_work,
        )
        self.set_phase(host, "healthy")

    def endpoint_of(self, host: WorkerHost) -> api.Worker:
        """Returns the entry of a worker in the endpoint list."""
        spec = host.worker.spec
        return api.Worker(
            host.worker_id,
            host.phase,
            spec.zone,
            spec.cell,
            spec.slots * spec.speed,
            spec.kind,
            max(0.0, host.worker.started_at_ms),
        )

    def stop_scheduler(self, scheduler: SimulatedScheduler) -> None:
        """Stops a scheduler without notice; its unanswered requests are lost."""
        for submission_id in scheduler.stop():
            request_id = self.request_of_submission.pop(submission_id, None)
            if request_id in self.client_requests:
                self._finish_request(request_id, "lost")
        self.event_queue.schedule_after(
            self.plan.scheduler_loss_notice_ms, self._notice_scheduler_loss, scheduler
        )

    def start_scheduler(self, name: str) -> None:
        """Restarts a stopped scheduler, which keeps nothing but its persisted endpoint list."""
        index, previous = next(
            (index, each) for index, each in enumerate(self.schedulers) if each.name == name
        )
        if previous.is_up:
            return
        restarted = self.schedulers[index] = SimulatedScheduler(
            previous.name, previous.zone, previous.settings, previous.seed + 500_000, self.event_queue, self
        )
        restarted.decision_time_s, restarted.event_count, restarted.probe_count = (
            previous.decision_time_s,
            previous.event_count,
            previous.probe_count,
        )
        if previous in self.schedulers_believed_up:
            self.schedulers_believed_up.remove(previous)
        self.schedulers_believed_up.append(restarted)
        restarted.receive_event(
            api.WorkerList(
                "persisted", tuple(state.entry for state in previous.decision_module.worker_states.values())
            )
        )
        # The changes since it stopped arrive with its first poll of discovery.
        self.event_queue.schedule_after(
            float(self.discovery_lag_stream.uniform(*self.plan.discovery_lag_ms)) + FIRST_POLL_DELAY_MS,
            self._send_endpoint_list,
            restarted,
        )

    def _send_endpoint_list(self, scheduler: SimulatedScheduler) -> None:
        """Sends the complete endpoint list to a scheduler."""
        scheduler.receive_event(
            api.WorkerList(
                "complete",
                tuple(self.endpoint_of(each) for each in self.worker_hosts.values() if each.phase != "gone"),
            )
        )

    def _notice_scheduler_loss(self, scheduler: SimulatedScheduler) -> None:
        """Removes a stopped scheduler from those that the load balancer uses."""
        if scheduler in self.schedulers_believed_up and not scheduler.is_up:
            self.schedulers_believed_up.remove(scheduler)
