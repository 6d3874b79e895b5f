"""The request manager: the actor that runs the scheduler and owns the pending requests.

It passes events (submitted requests, results of attempts, changes of the worker list) to the scheduler,
carries out the actions that the scheduler returns, and gives each request exactly one final answer.
"""

from __future__ import annotations

import logging
import math
from collections import Counter
from collections.abc import Callable, Container, Iterable, Mapping
from dataclasses import dataclass
from functools import partial
from typing import Any

from tornado.concurrent import Future

from spanwing import interface as api
from spanwing.actor import Actor
from spanwing.core.clock import Clock
from spanwing.core.ended_requests import EndedRequests
from spanwing.core.messages import (
    AttemptAccepted,
    AttemptEnded,
    AttemptExpired,
    AttemptProgress,
    AttemptRecorded,
    AttemptRecorder,
    ClientConnection,
    ClientDisconnected,
    DeliveryAttempt,
    EarlierRequest,
    EarlierState,
    EndpointDirectory,
    EndpointsChanged,
    FinalAnswer,
    JobRequest,
    LastByteSent,
    PolicyAdmission,
    ProbeEnded,
    RequestRejected,
    RequestSubmitted,
    TimerExpired,
    WorkerConnection,
    ZoneRouting,
)
from spanwing.core.send_guard import SendGuard, SendRefusal
from spanwing.log import log_event
from spanwing.resources.memory_account import REQUEST_BYTES, MemoryAccount, MemoryCharge
from spanwing.scheduler import Scheduler

DISCOVERY_SOURCE = "discovery"  # name of the directory whose workers come from discovery
JOURNAL_RETRY_AFTER_MS = 1000.0  # Retry-After for requests that the journal cannot record
# An attempt expires this long before its request's deadline, so that its result is handled first.
TIMEOUT_MARGIN_MS = 1.0
MAX_TIMER_DELAY_S = 0.05  # of a timer, from which on the event loop counts as held up
TURNS_UNTIL_HANDLED = 4  # turns of the event loop from input in the kernel to the event for the scheduler
IDS_RETRY_AFTER_MS = 1000.0  # Retry-After while no more ids can be remembered
ENDED_TEXT = "a request of this id has ended and may have run"

logger = logging.getLogger("spanwing")


@dataclass(slots=True)
class PendingRequest:
    """An accepted request without a final answer. Times are those of the scheduler's clock."""

    request: JobRequest
    client: ClientConnection
    deadline_ms: float
    attempt_count: int = 0  # attempts begun, which is the number of the next one
    # End of the deduplication window: workers would no longer drop a repeat that is sent later.
    send_until_ms: float = math.inf
    may_have_run: bool = False  # an attempt has ended that may have run the job


@dataclass(slots=True)
class InFlightAttempt:
    """A delivery attempt that has not ended. Times are those of the scheduler's clock."""

    connection: WorkerConnection | None  # None: the worker is no longer in a directory
    worker: int  # scheduler id of the worker
    forwarded_ms: float
    expires_ms: float
    timer: object  # posts AttemptExpired at expires_ms
    is_recorded: bool = False  # the intent was passed to the journal
    awaits_record: bool = False  # not delivered to the worker connection until the intent is on disk
    to_discovered_worker: bool = False  # the worker is from discovery's endpoint list
    is_unsafe: bool = False  # the job must not run twice


class RequestManager(Actor):
    """Owns the scheduler, the pending requests, the attempts in flight and the counters.

    A request is open while it is pending or has an attempt in flight.
    """

    def __init__(
        self, settings: api.Settings, seed: int, clock: Clock, account: MemoryAccount | None = None
    ) -> None:
        super().__init__()
        account = account or MemoryAccount()
        self.request_charge = MemoryCharge(account, "requests")
        self.ended_requests = EndedRequests(self.loop.time, account)  # of classes that must not run twice
        self.settings, self.clock = settings, clock
        self.scheduler = Scheduler(settings, seed, clock.now_ms())
        # Requests of a safe class may run twice, those of an unsafe class must not. Keyed classes are in
        # neither set: workers drop a repeat by its idempotency key within the deduplication window.
        self.safe_classes = {each.name for each in settings.classes if each.idempotency == "safe"}
        self.unsafe_classes = {each.name for each in settings.classes if each.idempotency == "unsafe"}
        #: The classes of the policy in use by name; the frontends look them up for each request.
        self.service_classes = classes_by_name(settings)
        self.recorder: AttemptRecorder | None = None  # the journal; None: nothing is recorded
        self.journal_retry_after_ms = min(JOURNAL_RETRY_AFTER_MS, settings.max_retry_after)
        self.directory: EndpointDirectory | None = None  # discovery
        self.zone_routing: ZoneRouting | None = None
        self.policy_admission: PolicyAdmission | None = None
        # Schedulers of earlier policies continue to decide about the requests that they accepted.
        self.retiring_schedulers: list[Scheduler] = []
        self.scheduler_by_request: dict[str, Scheduler] = {}  # only requests of retiring schedulers
        self.acting_scheduler = self.scheduler  # the scheduler whose actions are being carried out
        self.pending_requests: dict[str, PendingRequest] = {}
        self.in_flight: dict[tuple[str, int], InFlightAttempt] = {}  # by request id and attempt number
        # By name of the directory: its worker connections, and those worker ids that the scheduler knows.
        self.connections_by_source: dict[str, Mapping[int, WorkerConnection]] = {}
        self.announced_ids: dict[str, set[int]] = {}
        self.counters: Counter[str] = Counter()
        self.guard = SendGuard(self, self.counters)
        self.remote_open_ids: Container[str] = ()  # requests open in the other process of a hot restart
        # Called with a request id and True when the request opens here, and with False when it ends.
        self.on_open_change: Callable[[str, bool], None] | None = None
        self.idle_waiters: list[Future[None]] = []  # of wait_until_idle()
        # Called after each change of the worker list.
        self.on_endpoints_changed: Callable[[], None] | None = None
        self.endpoints_known = False  # a worker list that is complete or not empty has been received
        self.last_discovery_report_s = self.loop.time()  # loop time; the start until discovery reports

    def handle_message(self, message: Any) -> None:
        """Handles one message, then resolves the futures of wait_until_idle() if nothing is open."""
        MESSAGE_HANDLERS[type(message)](self, message)
        if self.idle_waiters and self.is_idle():
            for waiter in self.idle_waiters:
                waiter.set_result(None)
            self.idle_waiters = []

    def worker_counts(self) -> dict[tuple[str, str], tuple[int, int]]:
        """Returns by zone and kind the numbers of listed workers and of those that accept new work now.

        A draining or ejected worker accepts no new work.
        """
        counts: dict[tuple[str, str], tuple[int, int]] = {}
        now_ms = self.clock.now_ms()
        for worker in self.scheduler.worker_states.values():
            endpoint = worker.entry
            if endpoint.state != "gone":
                listed, available = counts.get((endpoint.zone, endpoint.kind), (0, 0))
                is_available = endpoint.state == "healthy" and worker.ejected_until_ms <= now_ms
                counts[endpoint.zone, endpoint.kind] = listed + 1, available + is_available
        return counts

    def pool_counts(self) -> tuple[int, int]:
        """Returns the number of listed workers, and the number of those that are ejected now."""
        now_ms = self.clock.now_ms()
        workers = [view for view in self.scheduler.worker_states.values() if view.entry.state != "gone"]
        return len(workers), sum(view.ejected_until_ms > now_ms for view in workers)

    def queued_by_class(self) -> dict[str, tuple[int, float]]:
        """Returns by class the number of queued requests and the age of the oldest, in ms.

        Classes without queued requests are left out.
        """
        if not self.scheduler.queued_count:
            return {}
        now_ms, queued = self.clock.now_ms(), {}
        for job in self.scheduler.jobs.values():
            if job.is_queued:
                count, oldest_ms = queued.get(job.service_class.name, (0, 0.0))
                queued[job.service_class.name] = count + 1, max(oldest_ms, now_ms - job.arrived_ms)
        return queued

    def unavailable_classes(self) -> dict[str, str]:
        """Returns the reason, by class, for the classes whose requests are all rejected now."""
        if policy_reason := self.policy_rejection_reason():
            return {each.name: f"policy: {policy_reason}" for each in self.settings.classes}
        reason = self.recorder.unavailable_reason() if self.recorder is not None else ""
        return {
            each.name: f"journal: {reason}"
            for each in self.settings.classes
            if reason and each.name not in self.safe_classes
        }

    def policy_rejection_reason(self) -> str:
        """Returns why the fleet's policy lets no request in now; empty if it does, or if there is none."""
        return "" if self.policy_admission is None else self.policy_admission.rejection_reason()

    def discovery_age_s(self) -> float:
        """Returns the seconds since discovery last reported its endpoint list, or since the start."""
        return self.loop.time() - self.last_discovery_report_s

    def is_idle(self) -> bool:
        """Returns whether no request is pending, no attempt is in flight and the mailbox is empty."""
        return not self.pending_requests and not self.in_flight and not self.mailbox

    def wait_until_idle(self) -> Future[None]:
        """Returns a future that is done once is_idle() holds."""
        waiter: Future[None] = Future()
        if self.is_idle():
            waiter.set_result(None)
        else:
            self.idle_waiters.append(waiter)
        return waiter

    def _dispatch_event(self, event: api.Event, scheduler: Scheduler | None = None) -> None:
        """Passes an event to a scheduler and carries out its actions; default: the current scheduler."""
        previous, self.acting_scheduler = self.acting_scheduler, scheduler or self.scheduler
        for action in self.acting_scheduler.handle(self.clock.now_ms(), event):
            ACTION_HANDLERS[type(action)](self, action)
        self.acting_scheduler = previous
        if self.retiring_schedulers:
            self._drop_retired_schedulers()

    def _dispatch_to_all(self, event: api.Event) -> None:
        """Passes an event to every scheduler, including the retiring ones."""
        for scheduler in (*self.retiring_schedulers, self.scheduler):
            self._dispatch_event(event, scheduler)

    def _scheduler_of(self, request: str) -> Scheduler:
        """Returns the scheduler that decides about this request."""
        return (
            self.scheduler_by_request.get(request, self.scheduler)
            if self.scheduler_by_request
            else self.scheduler
        )

    def switch_policy(self, settings: api.Settings, scheduler: Scheduler) -> None:
        """Switches to another policy within this turn of the event loop.

        The new scheduler decides about new requests; the previous one continues to decide about those that it
        accepted, and retires once they have ended.
        """
        previous = self.scheduler
        self.scheduler_by_request.update(
            dict.fromkeys((*previous.jobs, *(request for request, _ in previous.open_attempts)), previous)
        )
        if previous.jobs or previous.open_attempts:
            self.retiring_schedulers.append(previous)
        self.scheduler, self.settings = scheduler, settings
        self.service_classes = classes_by_name(settings)
        self.journal_retry_after_ms = min(JOURNAL_RETRY_AFTER_MS, settings.max_retry_after)
        self._update_class_sets()

    def _update_class_sets(self) -> None:
        """Recomputes the class sets from all policies under which requests are open.

        Where the policies differ, the strictest one counts: a class is safe only if it is safe in all of
        them, and unsafe if it is unsafe in any.
        """
        class_effects = [
            (each.name, each.idempotency)
            for scheduler in (*self.retiring_schedulers, self.scheduler)
            for each in scheduler.settings.classes
        ]
        self.unsafe_classes = {name for name, effect in class_effects if effect == "unsafe"}
        self.safe_classes = {name for name, effect in class_effects if effect == "safe"} - {
            name for name, effect in class_effects if effect != "safe"
        }

    def _drop_retired_schedulers(self) -> None:
        """Drops the retiring schedulers whose requests have all ended."""
        remaining = [each for each in self.retiring_schedulers if each.jobs or each.open_attempts]
        if len(remaining) < len(self.retiring_schedulers):
            self.retiring_schedulers = remaining
            self.scheduler_by_request = {
                request: scheduler
                for request, scheduler in self.scheduler_by_request.items()
                if scheduler in remaining
            }
            self._update_class_sets()

    def _handle_submitted(self, submission: RequestSubmitted) -> None:
        """Accepts a request, or answers it at once if its id is in use or it cannot be recorded."""
        request = submission.request
        if self.policy_admission is not None and not self.policy_admission.admit(submission):
            return
        if self._answer_without_accepting(submission):
            return
        if self._needs_record(request):
            self.recorder.record_accepted(
                request.id,
                request.cls,
                request.tenant or "",
                request.effect_key or "",
                request.front,
                request.budget,
            )
        if self.scheduler_by_request:  # an earlier request of this id, under an earlier policy, has ended
            self.scheduler_by_request.pop(request.id, None)
        deadline_ms = self.clock.now_ms() + request.budget
        self._add_pending(PendingRequest(request, submission.client, deadline_ms))
        if self.on_open_change is not None:
            self.on_open_change(request.id, True)
        self.counters["taken"] += 1
        self.counters[f"taken.{request.cls}"] += 1
        if submission.on_accepted is not None:
            submission.on_accepted()
        self._dispatch_event(
            api.Request(
                request.id,
                request.cls,
                deadline_ms,
                request.tenant,
                request.slots,
                request.memory,
                request.hint,
                request.route_key,
                request.repeat,
            )
        )

    def _answer_without_accepting(self, submission: RequestSubmitted) -> bool:
        """Answers a request whose id is in use or may have run, or that cannot be recorded.

        Returns whether it is answered.
        """
        request, earlier = submission.request, self._find_earlier(submission.request.id)
        # The earlier request of this id is not answered yet, or has an attempt in flight. It must run once,
        # and another client that uses the same id must not affect it.
        if earlier is not None:
            self._answer_repeated(submission, earlier)
            return True
        if request.cls in self.unsafe_classes and self._answer_repeated_unsafe(submission):
            return True
        if self._needs_record(request) and self.recorder.unavailable_reason():
            self.counters["refused.journal"] += 1
            self._reject(submission, self.journal_retry_after_ms)
            return True
        return False

    def _answer_repeated_unsafe(self, submission: RequestSubmitted) -> bool:
        """Answers a request that must not run twice if it may have run; returns whether it is answered."""
        request = submission.request
        if request.id in self.ended_requests:
            self._answer_repeated(submission, EarlierRequest(EarlierState.ENDED), ENDED_TEXT)
            return True
        if not self.ended_requests.has_room():
            self.counters["refused.ids"] += 1
            self._reject(submission, min(IDS_RETRY_AFTER_MS, self.settings.max_retry_after))
            return True
        if self._needs_record(request) and (state := self.recorder.find_interrupted(request.id)):
            self._answer_repeated(submission, EarlierRequest(EarlierState.INTERRUPTED), state)
            return True
        return False

    def _reject(self, submission: RequestSubmitted, retry_after_ms: float) -> None:
        """Answers a request as rejected before it is pending."""
        self._handle_rejected(RequestRejected(submission.request.cls))
        submission.client.answer(submission.request, FinalAnswer("refused", retry_after_ms=retry_after_ms))

    def _add_pending(self, pending: PendingRequest) -> None:
        self.pending_requests[pending.request.id] = pending
        self.request_charge.add(_held_bytes(pending.request))

    def _drop_pending(self, request: str) -> None:
        pending = self.pending_requests.pop(request)
        self.request_charge.add(-_held_bytes(pending.request))

    def _find_earlier(self, request: str) -> EarlierRequest | None:
        """Returns the open request of this id, or None if there is none."""
        pending = self.pending_requests.get(request)
        if pending is not None:
            return EarlierRequest(EarlierState.PENDING, pending.client)
        if request in self.remote_open_ids:
            return EarlierRequest(EarlierState.IN_OTHER_PROCESS)
        return EarlierRequest(EarlierState.ATTEMPT_IN_FLIGHT) if self._is_open(request) else None

    def _is_open(self, request: str) -> bool:
        """Returns whether the request is open."""
        return request in self.pending_requests or any(
            (request, number) in self.in_flight
            for number in range(self._scheduler_of(request).settings.max_attempts)
        )

    def pending_client(self, request: str) -> ClientConnection | None:
        """Returns the client of a pending request; None if no request of this id is pending."""
        pending = self.pending_requests.get(request)
        return None if pending is None else pending.client

    def open_ids(self) -> set[str]:
        """Returns the ids of the open requests, and of those that have ended and must not run again."""
        return {
            *self.pending_requests,
            *(request for request, _ in self.in_flight),
            *self.ended_requests,
        }

    def remember_ended(self, requests: Iterable[str]) -> None:
        """Remembers ids of another process that has ended; those of classes that must not run twice count."""
        for request in requests:
            self.ended_requests.add(request)

    def in_flight_attempts(self, request: str) -> list[tuple[int, InFlightAttempt]]:
        """Returns a request's attempts in flight, with their numbers."""
        return [
            (number, self.in_flight[request, number])
            for number in range(self._scheduler_of(request).settings.max_attempts)
            if (request, number) in self.in_flight
        ]

    def release_request(self, request: str) -> None:
        """Drops a request and its attempts in flight after another process has taken them over.

        The other process gives the answer from now on.
        """
        self._drop_pending(request)
        for number, attempt in self.in_flight_attempts(request):
            self.loop.remove_timeout(attempt.timer)
            del self.in_flight[request, number]
        self.counters["moved.away"] += 1

    def resume_request(
        self, pending: PendingRequest, numbered_attempt: tuple[int, InFlightAttempt] | None, event: Any
    ) -> None:
        """Takes over a pending request from another process.

        numbered_attempt: the request's attempt in flight, with its number, if there is one; event: the event
        that tells the scheduler of the request.
        """
        request, now_ms = pending.request.id, self.clock.now_ms()
        self._add_pending(pending)
        self.counters["moved.here"] += 1
        if numbered_attempt is not None:
            number, attempt = numbered_attempt
            wait_s = max(0.0, attempt.expires_ms - now_ms) / 1000.0
            attempt.timer = self.loop.call_later(wait_s, self.post, AttemptExpired(request, number))
            self.in_flight[request, number] = attempt
        self._dispatch_event(event)

    def _notify_ended(self, request: str) -> None:
        """Calls on_open_change if the request is no longer open, unless it must not run again."""
        is_over = not self._is_open(request) and request not in self.ended_requests
        if self.on_open_change is not None and is_over:
            self.on_open_change(request, False)

    def _answer_repeated(
        self, submission: RequestSubmitted, earlier: EarlierRequest, journal_text: str = ""
    ) -> None:
        """Answers a request whose id was accepted before; journal_text is what is known of it."""
        request = submission.request
        self.counters["repeated"] += 1
        self.counters[f"repeated.{request.cls}"] += 1
        log_event("request_repeated", request=request.id, front=request.front, earlier=earlier.state)
        submission.client.answer(request, FinalAnswer("repeated", journal_text.encode(), earlier=earlier))

    def _handle_rejected(self, message: RequestRejected) -> None:
        self.counters[f"turned.{message.class_name}"] += 1

    def _needs_record(self, request: JobRequest) -> bool:
        """Returns whether the request and its attempts are recorded in the journal."""
        return self.recorder is not None and request.cls not in self.safe_classes

    def _handle_client_disconnected(self, message: ClientDisconnected) -> None:
        """Drops a pending request whose client has disconnected, and withdraws its attempts."""
        pending = self.pending_requests.get(message.request)
        is_withdrawn, may_have_run = False, False
        if pending is None:
            self._note_undelivered(message.request)
        if pending is None and self.policy_admission is not None:
            is_withdrawn = self.policy_admission.client_disconnected(message.request, message.client)
        if pending is not None and pending.client is message.client:
            is_withdrawn = True
            may_have_run = pending.may_have_run or any(
                not attempt.awaits_record for _, attempt in self.in_flight_attempts(message.request)
            )
            self._drop_pending(message.request)
            if self._needs_record(pending.request):
                self.recorder.record_answered(message.request, "left")
            self.counters["left"] += 1
            self._dispatch_event(api.ClientGone(message.request), self._scheduler_of(message.request))
            self._withdraw_attempts(message.request)
            self._notify_ended(message.request)
        if is_withdrawn and message.on_withdrawn is not None:
            message.on_withdrawn(may_have_run)

    def _note_undelivered(self, request: str) -> None:
        """Notes that a client left before it had the result of its request, which must not run again."""
        self.ended_requests.note_undelivered(request)
        if self.on_open_change is not None and request in self.ended_requests:
            self.on_open_change(request, True)

    def _withdraw_attempts(self, request: str) -> None:
        """Withdraws the attempts of a request that no longer needs an answer.

        An attempt that is not sent yet is never sent, even where the settings allow no cancellation. An
        attempt that was sent follows the rules of its class.
        """
        for number, attempt in self.in_flight_attempts(request):
            if attempt.awaits_record:
                self._cancel_attempt(request, number, "cancelled")
            elif attempt.connection is not None:
                attempt.connection.withdraw(request, number)

    def _handle_endpoints_changed(self, message: EndpointsChanged) -> None:
        """Passes a change of a directory to the schedulers; with several directories, as a partial list."""
        update, announced = message.update, self.announced_ids.setdefault(message.source, set())
        self.connections_by_source[message.source] = message.connections
        self.counters[f"listed.{update.scope}"] += 1
        if update.scope != "error":
            self.endpoints_known |= bool(update.workers) or update.scope == "complete"
            if update.scope != "persisted" and message.source == DISCOVERY_SOURCE:
                self.last_discovery_report_s = self.loop.time()
        if update.scope in ("complete", "persisted") and len(self.connections_by_source) > 1:
            # A complete list of one directory does not cover the workers of the others.
            listed_ids = {each.id for each in update.workers}
            gone = [api.Worker(worker, "gone") for worker in announced - listed_ids]
            update = api.WorkerList("partial", (*update.workers, *gone))
        if update.scope != "partial" and update.scope != "error":
            announced.clear()
        for each in update.workers:
            if each.state == "gone":
                announced.discard(each.id)
            else:
                announced.add(each.id)
        if self.zone_routing is not None:
            update = self.zone_routing.filter_workers(update)
        self._dispatch_to_all(update)
        if self.on_endpoints_changed is not None:
            self.on_endpoints_changed()

    def _connection_to(self, worker_id: int) -> WorkerConnection | None:
        """Returns the connection to a worker from any directory, or None."""
        directories = self.connections_by_source.values()
        found = (directory.get(worker_id) for directory in directories)
        return next((connection for connection in found if connection is not None), None)

    def _handle_progress(self, message: AttemptProgress) -> None:
        attempt = self.in_flight.get((message.request, message.number))
        if attempt is not None:
            event = api.ProgressReport(message.request, message.number, attempt.worker, message.has_started)
            self._dispatch_event(event, self._scheduler_of(message.request))

    def _handle_accepted(self, message: AttemptAccepted) -> None:
        attempt = self.in_flight.get(message)
        if attempt is not None:
            if self.zone_routing is not None:
                self.zone_routing.attempt_accepted(attempt.worker, message)
            event = api.Accepted(message.request, message.number, attempt.worker)
            self._dispatch_event(event, self._scheduler_of(message.request))

    def _handle_expired(self, message: AttemptExpired) -> None:
        self._cancel_attempt(*message, "timeout")

    def _cancel_attempt(self, request: str, number: int, result: api.Result) -> None:
        """Cancels an attempt with this result; does nothing if it is not in flight."""
        attempt = self.in_flight.get((request, number))
        if attempt is None or attempt.connection is None:
            return
        if attempt.is_recorded:
            self.recorder.record_cancelled(request, number, result)
        if attempt.awaits_record:  # not delivered to the worker connection yet, so it ends here
            attempt.awaits_record = False
            self.post(AttemptEnded(request, number, "moot", is_unsent=True))
        else:
            attempt.connection.cancel(request, number, result)

    def _handle_attempt_ended(self, message: AttemptEnded) -> None:
        """Records the result of an attempt, answers the request if it is ok, and informs the scheduler."""
        # Further messages about an attempt that has ended, such as a repeated callback, are ignored.
        attempt = self.in_flight.pop((message.request, message.number), None)
        if attempt is None:
            return
        self.loop.remove_timeout(attempt.timer)
        self.counters[f"ended.{message.result}"] += 1
        if self.zone_routing is not None:
            self.zone_routing.attempt_ended(attempt.worker, message[:2], message.result)
        if attempt.is_recorded:
            record = self.recorder.record_unsent if message.is_unsent else self.recorder.record_outcome
            record(message.request, message.number, message.result)
        if attempt.is_unsafe and not message.is_unsent and message.result not in api.NEVER_RAN:
            is_served = message.result == "ok" and message.request in self.pending_requests
            self.ended_requests.add(message.request, is_served)
        if message.result not in api.NEVER_RAN and message.request in self.pending_requests:
            self.attempt_may_have_run(self.pending_requests[message.request], attempt.forwarded_ms)
        if message.result == "ok":
            self._answer_request(message.request, FinalAnswer("served", message.body))
        self._dispatch_event(
            api.Outcome(
                message.request,
                message.number,
                attempt.worker,
                message.result,
                message.request not in self.pending_requests,
                self.clock.now_ms() - attempt.forwarded_ms,
                message.report,
                message.excludes_worker,
            ),
            self._scheduler_of(message.request),
        )
        self._notify_ended(message.request)

    def _handle_last_byte(self, message: LastByteSent) -> None:
        self.counters["tries"] += 1
        attempt = self.in_flight.get(message[:2])
        if attempt is not None and attempt.is_recorded:  # nothing is recorded after an attempt has ended
            self.recorder.record_last_byte(*message)

    def _answer_request(self, request: str, answer: FinalAnswer) -> None:
        """Answers a pending request and withdraws its attempts; does nothing if it is not pending."""
        pending = self.pending_requests.get(request)
        if pending is not None:
            self._drop_pending(request)
            self.counters["answered"] += 1
            self.counters[f"answered.{answer.kind}.{pending.request.cls}"] += 1
            if self._needs_record(pending.request):
                self.recorder.record_answered(request, answer.kind)
            pending.client.answer(pending.request, answer)
            self._withdraw_attempts(request)
            self._notify_ended(request)

    def _forward(self, action: api.Send) -> None:
        """Begins the attempt that a Send action of the scheduler asks for.

        The attempt is registered as in flight first, so that one that cannot be sent ends like any other, as
        moot. If its intent has to be recorded, it is delivered once the record is on disk.
        """
        pending, now_ms = self.pending_requests[action.request], self.clock.now_ms()
        number, pending.attempt_count = pending.attempt_count, pending.attempt_count + 1
        timeout_ms = pending.deadline_ms - now_ms - TIMEOUT_MARGIN_MS
        if action.timeout:
            timeout_ms = min(timeout_ms, action.timeout)
        key = (action.request, number)
        timer = self.loop.call_later(max(0.0, timeout_ms) / 1000.0, self.post, AttemptExpired(*key))
        connection = self._connection_to(action.worker)
        attempt = self.in_flight[key] = InFlightAttempt(
            connection,
            action.worker,
            now_ms,
            now_ms + timeout_ms,
            timer,
            to_discovered_worker=action.worker in self.connections_by_source.get(DISCOVERY_SOURCE, ()),
            is_unsafe=pending.request.cls in self.unsafe_classes,
        )
        if timeout_ms <= 0 or number >= self.acting_scheduler.settings.max_attempts or connection is None:
            self.post(AttemptEnded(*key, "moot"))
            return
        may_send = self.guard.permit(action.request, number, connection.name)
        if not may_send():
            if may_send.refusal is SendRefusal.ZONE_CLOSED:
                self.counters["zones.moot"] += 1
            self.post(AttemptEnded(*key, "moot", is_unsent=True))
            return
        if self.zone_routing is not None:
            self.zone_routing.attempt_sent(action.worker, key)
        self.counters["sent"] += 1
        self.counters[f"sent.{pending.request.cls}"] += 1
        if not self._needs_record(pending.request):
            is_safe = pending.request.cls in self.safe_classes
            connection.deliver(
                DeliveryAttempt(pending.request, number, timeout_ms, is_safe, may_send=may_send), self
            )
            return
        if connection.records_intent_itself:

            def record_intent(on_recorded: Callable[[bool], None]) -> None:
                attempt.is_recorded = True
                self.recorder.record_intent(
                    *key,
                    connection.name,
                    connection.address,
                    partial(self._handle_intent_recorded, key, attempt, on_recorded),
                )

            connection.deliver(
                DeliveryAttempt(
                    pending.request,
                    number,
                    timeout_ms,
                    is_recorded=True,
                    record_intent=record_intent,
                    may_send=may_send,
                ),
                self,
            )
            return
        attempt.is_recorded = attempt.awaits_record = True
        self.recorder.record_intent(
            *key,
            connection.name,
            connection.address,
            partial(self._handle_intent_recorded, key, attempt, None),
        )

    def attempt_may_have_run(self, pending: PendingRequest, forwarded_ms: float) -> None:
        """Marks the request as possibly run by an attempt that was forwarded at this time (Unix ms).

        For a class with idempotency keys, further attempts may be sent only within the deduplication window
        from that time, less one tick of the settings.
        """
        pending.may_have_run = True
        scheduler = self._scheduler_of(pending.request.id)
        for each in scheduler.settings.classes:
            if each.name == pending.request.cls and each.idempotency == "keyed":
                pending.send_until_ms = min(
                    pending.send_until_ms,
                    forwarded_ms + each.deduplication_window_ms - scheduler.settings.tick_ms,
                )

    def to_discovered_worker(self, request: str, number: int) -> bool:
        """Returns whether the attempt goes to a worker from discovery's endpoint list."""
        attempt = self.in_flight.get((request, number))
        return attempt is not None and attempt.to_discovered_worker

    def send_refusal(self, request: str, number: int) -> SendRefusal | None:
        """Returns why this attempt may not be sent now, or None if it may.

        The scheduler decided before the waits for a connection slot, a connection and the journal, so its
        decision may be outdated.
        """
        pending, attempt = self.pending_requests.get(request), self.in_flight.get((request, number))
        if pending is None:
            return SendRefusal.REQUEST_ENDED
        if attempt is None or number != pending.attempt_count - 1:
            return SendRefusal.ATTEMPT_ENDED
        now_ms = self.clock.now_ms()
        if now_ms >= attempt.expires_ms:
            return SendRefusal.DEADLINE_PASSED
        if now_ms >= pending.send_until_ms:
            return SendRefusal.WINDOW_PASSED
        if pending.may_have_run and pending.request.cls in self.unsafe_classes:
            return SendRefusal.MAY_HAVE_RUN
        if attempt.to_discovered_worker and self.guard.is_list_stale():
            return SendRefusal.LIST_STALE
        zones = self.zone_routing
        if zones is not None and not zones.may_forward(attempt.worker):
            return SendRefusal.ZONE_CLOSED
        return None

    def _handle_intent_recorded(
        self,
        key: tuple[str, int],
        attempt: InFlightAttempt,
        on_recorded: Callable[[bool], None] | None,
        may_send: bool,
    ) -> None:
        """Handles the journal's answer for an intent.

        on_recorded: the callback of a worker connection that records its intents itself, else None. It is
        called after AttemptRecorded is posted, so that the request is rejected before the attempt ends.
        """
        self.post(AttemptRecorded(*key, attempt, may_send))
        if on_recorded is not None:
            on_recorded(may_send)

    def _handle_recorded(self, message: AttemptRecorded) -> None:
        """Delivers an attempt whose intent is recorded, or rejects its request if it cannot be recorded.

        The attempt may have been cancelled meanwhile.
        """
        key = message[:2]
        attempt, pending = self.in_flight.get(key), self.pending_requests.get(message.request)
        if attempt is None or attempt is not message.attempt:
            return
        if not message.may_send:
            self.counters["refused.journal"] += 1
            self._answer_request(
                message.request, FinalAnswer("refused", retry_after_ms=self.journal_retry_after_ms)
            )
        if not attempt.awaits_record:  # the worker connection recorded the intent, and proceeds by itself
            return
        attempt.awaits_record = False
        if pending is None or not message.may_send:
            self.post(AttemptEnded(*key, "moot", is_unsent=True))
            return
        timeout_ms = max(0.0, attempt.expires_ms - self.clock.now_ms())
        may_send = self.guard.permit(message.request, message.number, attempt.connection.name)
        attempt.connection.deliver(
            DeliveryAttempt(pending.request, message.number, timeout_ms, is_recorded=True, may_send=may_send),
            self,
        )

    def _handle_cancel(self, action: api.Cancel) -> None:
        self._cancel_attempt(action.request, action.attempt, "cancelled")

    def _handle_probe(self, action: api.Probe) -> None:
        self.probe_worker(action.worker)

    def probe_worker(self, worker: int) -> None:
        """Probes a worker for its load report; does nothing if it has no connection."""
        connection = self._connection_to(worker)
        to_discovered_worker = worker in self.connections_by_source.get(DISCOVERY_SOURCE, ())
        if connection is not None and self.guard.may_probe(to_discovered_worker):
            self.counters["probed"] += 1
            connection.probe(worker, self)

    def _handle_probe_ended(self, message: ProbeEnded) -> None:
        if self.zone_routing is not None:
            probe = message.result
            self.zone_routing.probe_finished(probe.worker, probe.result, probe.elapsed)
        self._dispatch_to_all(message.result)

    def notify_schedulers(self, event: Any) -> None:
        """Passes an event from another component to every scheduler, including the retiring ones."""
        self._dispatch_to_all(event)

    def cancel_idempotent(self, request: str, number: int) -> None:
        """Cancels an attempt in flight if its request is pending and of a safe class.

        The scheduler may then retry the request on any worker.
        """
        pending = self.pending_requests.get(request)
        if pending is not None and pending.request.cls in self.safe_classes:
            self._cancel_attempt(request, number, "cancelled")

    def _set_timer(self, action: api.SetTimer) -> None:
        due_s = self.loop.time() + action.delay / 1000.0
        self.loop.call_at(due_s, self._post_timer, TimerExpired(action.token, self.acting_scheduler), due_s)

    def _post_timer(self, message: TimerExpired, due_s: float) -> None:
        """Posts an expired timer; if it is late, the schedulers learn first that reports may lie unread.

        Whatever arrived while the event loop was held up is read in this turn and handled in the next ones.
        """
        late_s = self.loop.time() - due_s
        if late_s > MAX_TIMER_DELAY_S:
            self.counters["timers.late"] += 1
            self._dispatch_to_all(api.HostDelayed(late_s * 1000.0 * TURNS_UNTIL_HANDLED))
        self.post(message)

    def _handle_timer(self, message: TimerExpired) -> None:
        """Passes an expired timer to its scheduler, unless that has retired meanwhile."""
        if (
            message.scheduler is None
            or message.scheduler is self.scheduler
            or message.scheduler in self.retiring_schedulers
        ):
            self._dispatch_event(api.TimerDue(message.token), message.scheduler)

    def _log_line(self, action: api.Log) -> None:
        logger.info("%s", action.line)

    def _broadcast_to_peers(self, action: api.BroadcastToPeers) -> None:
        logger.warning("sending messages to peers is not supported; dropped message: %s", action.payload)


def _held_bytes(request: JobRequest) -> int:
    """Returns the bytes that a pending request holds."""
    texts = (request.target, request.tenant, request.route_key, request.effect_key)
    return REQUEST_BYTES + len(request.body) + sum(len(each or "") for each in texts)


def classes_by_name(settings: api.Settings) -> dict[str, api.ServiceClass]:
    """Returns the classes of the settings by name."""
    return {each.name: each for each in settings.classes}


MESSAGE_HANDLERS = {
    RequestSubmitted: RequestManager._handle_submitted,
    ClientDisconnected: RequestManager._handle_client_disconnected,
    EndpointsChanged: RequestManager._handle_endpoints_changed,
    AttemptProgress: RequestManager._handle_progress,
    AttemptAccepted: RequestManager._handle_accepted,
    AttemptEnded: RequestManager._handle_attempt_ended,
    AttemptExpired: RequestManager._handle_expired,
    AttemptRecorded: RequestManager._handle_recorded,
    RequestRejected: RequestManager._handle_rejected,
    LastByteSent: RequestManager._handle_last_byte,
    TimerExpired: RequestManager._handle_timer,
    ProbeEnded: RequestManager._handle_probe_ended,
}
ACTION_HANDLERS = {
    api.Send: RequestManager._forward,
    api.Cancel: RequestManager._handle_cancel,
    api.Probe: RequestManager._handle_probe,
    api.Reject: lambda self, action: self._answer_request(
        action.request, FinalAnswer("refused", retry_after_ms=action.retry_after)
    ),
    api.Fail: lambda self, action: self._answer_request(action.request, FinalAnswer("failed")),
    api.SetTimer: RequestManager._set_timer,
    api.Log: RequestManager._log_line,
    api.BroadcastToPeers: RequestManager._broadcast_to_peers,
    api.Watch: lambda self, _: self.directory.watch(),
}
