"""Actors for Faktory workers: a connection actor for each worker, and the directory of all of them.

A Faktory worker fetches its jobs by FETCH, and answers each with ACK or FAIL. Its process, identified by a
`wid`, may have several connections, and sends BEAT as a heartbeat.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

import msgspec
from tornado.concurrent import Future

from spanwing import interface as api
from spanwing.actor import Actor
from spanwing.core.messages import (
    AttemptAccepted,
    AttemptEnded,
    AttemptListener,
    AttemptProgress,
    DeliveryAttempt,
    EndpointsChanged,
    JobRequest,
    LastByteSent,
    ProbeEnded,
)
from spanwing.workers.worker_connection import (
    CancelDelivery,
    DeliverAttempt,
    ProbeRequested,
    WithdrawAttempt,
    WorkerConnectionActor,
)
from spanwing.workers.worker_id import worker_id_of

JOB_CONTENT_TYPE = "application/vnd.faktory.job+json"
MAX_QUEUED_JOBS = 8  # jobs queued here for a worker's FETCH, as many as in the queue of an HTTP worker
MAX_UNFINISHED_JOBS = 1000  # given-up jobs of a worker that are remembered; the oldest are dropped
FETCH_TIMEOUT_S = 2.0  # a FETCH for which there is no job is answered after this
HEARTBEAT_TIMEOUT_S = 60.0  # a worker that sends no BEAT for this long is removed
#: By the state in a BEAT: the worker's state. Other states leave it unchanged.
WORKER_STATES: dict[str, api.State] = {
    "quiet": "draining",
    "terminate": "draining",
    "terminating": "draining",
}

#: The text of a job, and the callback that receives whether all of it was written.
FetchedJob = tuple[bytes, Callable[[bool], None]]


class FetchRequested(NamedTuple):
    """A connection of the worker has sent FETCH for these queues.

    The future resolves to a job, or to None if there is none within FETCH_TIMEOUT_S.
    """

    queues: tuple[str, ...]
    reply: Future[FetchedJob | None]


class JobFinished(NamedTuple):
    """The worker has sent ACK or FAIL for a job."""

    request: str
    result: api.Result


class WorkerLost(NamedTuple):
    """The worker's last connection has closed, or its heartbeat has timed out."""


@dataclass(slots=True, eq=False)
class FaktoryAttempt:
    """A delivery attempt at this worker that has not ended."""

    delivery: DeliveryAttempt
    listener: AttemptListener
    is_handed_out: bool = False  # the job was passed to a FETCH
    is_permitted: bool = False  # the intent is recorded, or the recorder permits to go without
    reserved_fetch: WaitingFetch | None = None  # reserved while the intent is being recorded


class JobWritten(NamedTuple):
    """An attempt's job was written to the worker's connection, completely or in part."""

    attempt: FaktoryAttempt
    is_complete: bool


class JobPermitted(NamedTuple):
    """The recorder has answered for the intent of an attempt: the job may be handed out or not."""

    attempt: FaktoryAttempt
    may_send: bool


@dataclass(slots=True, eq=False)
class WaitingFetch:
    """A FETCH for which there is no job yet."""

    fetch: FetchRequested
    timer: object  # answers the FETCH without a job after FETCH_TIMEOUT_S


def encode_job(request: JobRequest) -> bytes:
    """Returns the text of a job for the worker.

    A job from a Faktory client is passed on unchanged; for any other request a job is built.
    """
    if request.media == JOB_CONTENT_TYPE:
        return request.body
    return msgspec.json.encode(
        {
            "jid": request.id,
            "queue": request.cls,
            "jobtype": request.cls,
            "args": [request.target, request.body.decode("utf-8", "replace")],
            "custom": {"effect_key": request.effect_key},
        }
    )


class FaktoryWorker(WorkerConnectionActor):
    """The connection to one worker, which fetches its jobs.

    Each delivery ends in exactly one AttemptEnded; a late ACK is ignored. At most MAX_QUEUED_JOBS attempts
    wait for a FETCH; further ones end as "full".
    """

    records_intent_itself = True  # the intent is recorded at the FETCH; nothing is sent before

    def __init__(self, name: str, address: str) -> None:
        super().__init__()
        self.name, self.address = name, address
        self.attempts: dict[str, FaktoryAttempt] = {}
        self.queued_attempts: deque[FaktoryAttempt] = deque()
        self.waiting_fetches: deque[WaitingFetch] = deque()
        # Ids of jobs that were given up here while the worker had them; at most MAX_UNFINISHED_JOBS.
        self.unfinished_jobs: OrderedDict[str, None] = OrderedDict()

    def _handle_deliver(self, message: DeliverAttempt) -> None:
        attempt = FaktoryAttempt(*message)
        request = attempt.delivery.request
        if request.id in self.attempts:  # a worker has at most one attempt of a request at a time
            attempt.listener.post(AttemptEnded(request.id, attempt.delivery.number, "moot", is_unsent=True))
            return
        # The worker still runs the job for an earlier request, and its ACK or FAIL would end this attempt.
        if request.id in self.unfinished_jobs:
            attempt.listener.post(
                AttemptEnded(
                    request.id, attempt.delivery.number, "moot", is_unsent=True, excludes_worker=True
                )
            )
            return
        self.attempts[request.id] = attempt
        self._assign_fetch(attempt)

    def _assign_fetch(self, attempt: FaktoryAttempt) -> None:
        """Hands the attempt out to a waiting FETCH, or queues it; if the queue is full, ends it as "full"."""
        waiting_fetch = next(
            (
                each
                for each in self.waiting_fetches
                if attempt.delivery.request.cls in each.fetch.queues and not each.fetch.reply.done()
            ),
            None,
        )
        if waiting_fetch is not None:
            self.waiting_fetches.remove(waiting_fetch)
            self._hand_out(attempt, waiting_fetch)
            return
        if len(self.queued_attempts) >= MAX_QUEUED_JOBS:
            self._end_attempt(attempt, "full")
        else:
            self.queued_attempts.append(attempt)
            attempt.listener.post(AttemptAccepted(attempt.delivery.request.id, attempt.delivery.number))

    def _handle_fetch(self, fetch: FetchRequested) -> None:
        """Hands out the first queued attempt for the queues of the FETCH, or lets the FETCH wait."""
        if fetch.reply.done():
            return
        waiting_fetch = WaitingFetch(fetch, None)
        for attempt in self.queued_attempts:
            if attempt.delivery.request.cls in fetch.queues:
                self.queued_attempts.remove(attempt)
                self._hand_out(attempt, waiting_fetch)
                return

        def answer_empty() -> None:
            if waiting_fetch in self.waiting_fetches:
                self.waiting_fetches.remove(waiting_fetch)
            if not fetch.reply.done():
                fetch.reply.set_result(None)

        waiting_fetch.timer = self.loop.call_later(FETCH_TIMEOUT_S, answer_empty)
        self.waiting_fetches.append(waiting_fetch)

    def _hand_out(self, attempt: FaktoryAttempt, waiting_fetch: WaitingFetch) -> None:
        """Answers the FETCH with the job, once it may be sent and its intent is recorded."""
        if waiting_fetch.timer is not None:
            self.loop.remove_timeout(waiting_fetch.timer)
        # Checked now, as the attempt may have been queued for long.
        if attempt.delivery.may_send is not None and not attempt.delivery.may_send():
            attempt.reserved_fetch = waiting_fetch
            self._end_attempt(attempt, "moot")
            return
        if attempt.delivery.record_intent is not None and not attempt.is_permitted:
            attempt.reserved_fetch = waiting_fetch
            attempt.delivery.record_intent(lambda may_send: self.post(JobPermitted(attempt, may_send)))
            return
        attempt.is_handed_out = True
        waiting_fetch.fetch.reply.set_result(
            (
                encode_job(attempt.delivery.request),
                lambda is_complete: self.post(JobWritten(attempt, is_complete)),
            )
        )

    def _handle_permitted(self, permitted: JobPermitted) -> None:
        attempt = permitted.attempt
        if not self._is_in_flight(attempt) or attempt.reserved_fetch is None:
            return
        if not permitted.may_send:
            self._end_attempt(attempt, "moot")
            return
        attempt.is_permitted, waiting_fetch, attempt.reserved_fetch = True, attempt.reserved_fetch, None
        if waiting_fetch.fetch.reply.done():  # the connection of the FETCH has closed meanwhile
            self._assign_fetch(attempt)
        else:
            self._hand_out(attempt, waiting_fetch)

    def _handle_written(self, written: JobWritten) -> None:
        attempt = written.attempt
        if not self._is_in_flight(attempt):
            if not written.is_complete:
                self.unfinished_jobs.pop(attempt.delivery.request.id, None)
            return
        if written.is_complete:
            key = (attempt.delivery.request.id, attempt.delivery.number)
            attempt.listener.post(LastByteSent(*key))
            attempt.listener.post(AttemptProgress(*key, True))
        else:  # the last byte was not written, so the job cannot have run
            self._end_attempt(attempt, "unreachable", is_unsent=True)

    def _is_in_flight(self, attempt: FaktoryAttempt) -> bool:
        """Returns whether the attempt has not ended; its id and number may be another one's by now."""
        return self.attempts.get(attempt.delivery.request.id) is attempt

    def _handle_finished(self, finished: JobFinished) -> None:
        self.unfinished_jobs.pop(finished.request, None)
        attempt = self.attempts.get(finished.request)
        if attempt is not None and attempt.is_handed_out:
            self._end_attempt(attempt, finished.result)

    def _handle_cancel(self, message: CancelDelivery) -> None:
        attempt = self.attempts.get(message.request)
        if attempt is not None and attempt.delivery.number == message.number:
            if attempt.is_handed_out:
                self._note_unfinished(message.request)
            # A job that was not handed out has not run, so an unsafe one can be rejected instead of failed.
            self._end_attempt(attempt, message.result if attempt.is_handed_out else "full")

    def _note_unfinished(self, request: str) -> None:
        self.unfinished_jobs[request] = None
        if len(self.unfinished_jobs) > MAX_UNFINISHED_JOBS:
            self.unfinished_jobs.popitem(last=False)

    def _handle_withdraw(self, message: WithdrawAttempt) -> None:
        attempt = self.attempts.get(message.request)
        if attempt is not None and attempt.delivery.number == message.number and not attempt.is_handed_out:
            self._end_attempt(attempt, "moot")

    def _handle_lost(self, _: WorkerLost) -> None:
        for attempt in list(self.attempts.values()):
            self._end_attempt(attempt, "reset" if attempt.is_handed_out else "unreachable")

    def _end_attempt(self, attempt: FaktoryAttempt, result: api.Result, is_unsent: bool = False) -> None:
        del self.attempts[attempt.delivery.request.id]
        if attempt in self.queued_attempts:
            self.queued_attempts.remove(attempt)
        if attempt.reserved_fetch is not None:  # the FETCH becomes available to other attempts
            waiting_fetch, attempt.reserved_fetch = attempt.reserved_fetch, None
            self._handle_fetch(waiting_fetch.fetch)
        attempt.listener.post(
            AttemptEnded(
                attempt.delivery.request.id,
                attempt.delivery.number,
                result,
                is_unsent=is_unsent or not attempt.is_handed_out,
            )
        )

    def _handle_probe(self, probe: ProbeRequested) -> None:
        probe.listener.post(ProbeEnded(api.ProbeResult(probe.worker, "ok", 0.0)))


FaktoryWorker.handlers = {
    DeliverAttempt: FaktoryWorker._handle_deliver,
    CancelDelivery: FaktoryWorker._handle_cancel,
    FetchRequested: FaktoryWorker._handle_fetch,
    JobPermitted: FaktoryWorker._handle_permitted,
    JobWritten: FaktoryWorker._handle_written,
    WithdrawAttempt: FaktoryWorker._handle_withdraw,
    JobFinished: FaktoryWorker._handle_finished,
    WorkerLost: FaktoryWorker._handle_lost,
    ProbeRequested: FaktoryWorker._handle_probe,
}


class WorkerJoined(NamedTuple):
    """A connection has sent HELLO with a wid; the future resolves to the worker's connection actor."""

    wid: str
    labels: dict[str, str]
    peer_address: str
    worker: Future[FaktoryWorker]


class HeartbeatReceived(NamedTuple):
    """A worker has sent BEAT with this state."""

    wid: str
    state: str


class ConnectionClosed(NamedTuple):
    """A connection of a worker has closed."""

    wid: str


class HeartbeatMissed(NamedTuple):
    """A worker has sent no BEAT within HEARTBEAT_TIMEOUT_S."""

    wid: str


@dataclass(slots=True, eq=False)
class FaktoryMember:
    """The directory's entry of one worker."""

    endpoint: api.Worker
    worker: FaktoryWorker
    connection_count: int
    heartbeat_timer: object


class FaktoryWorkerDirectory(Actor):
    """The directory of Faktory workers; posts EndpointsChanged for each change to its listener.

    A worker is listed from its first HELLO until its last connection closes or its heartbeat times out.
    """

    def __init__(self, listener: AttemptListener, default_zone: str) -> None:
        super().__init__()
        self.listener, self.default_zone = listener, default_zone
        self.members: dict[str, FaktoryMember] = {}

    def handle_message(self, message: Any) -> None:
        """Handles one message by the handler of its type."""
        DIRECTORY_HANDLERS[type(message)](self, message)

    def _handle_joined(self, join: WorkerJoined) -> None:
        member = self.members.get(join.wid)
        if member is None:
            started_ms = join.labels.get("started_ms", "0")
            endpoint = api.Worker(
                id=worker_id_of(f"faktory {join.wid}"),
                zone=join.labels.get("zone", self.default_zone),
                cell=int(join.labels.get("cell", "0")),
                kind=join.labels.get("kind", ""),
                started=float(started_ms),
            )
            member = self.members[join.wid] = FaktoryMember(
                endpoint, FaktoryWorker(join.wid, join.peer_address), 0, self._start_heartbeat_timer(join.wid)
            )
            self._publish_change(member.endpoint)
        member.connection_count += 1
        join.worker.set_result(member.worker)

    def _start_heartbeat_timer(self, wid: str) -> object:
        return self.loop.call_later(HEARTBEAT_TIMEOUT_S, self.post, HeartbeatMissed(wid))

    def _handle_heartbeat(self, heartbeat: HeartbeatReceived) -> None:
        member = self.members.get(heartbeat.wid)
        if member is None:
            return
        self.loop.remove_timeout(member.heartbeat_timer)
        member.heartbeat_timer = self._start_heartbeat_timer(heartbeat.wid)
        # A worker that was "quiet" once stays draining, as in Faktory.
        state = WORKER_STATES.get(heartbeat.state, member.endpoint.state)
        if state != member.endpoint.state:
            member.endpoint = member.endpoint._replace(state=state)
            self._publish_change(member.endpoint)

    def _handle_connection_closed(self, closed: ConnectionClosed) -> None:
        member = self.members.get(closed.wid)
        if member is not None:
            member.connection_count -= 1
            if member.connection_count == 0:
                self._remove_worker(closed.wid)

    def _remove_worker(self, wid: str) -> None:
        member = self.members.pop(wid, None)
        if member is not None:
            self.loop.remove_timeout(member.heartbeat_timer)
            self._publish_change(member.endpoint._replace(state="gone"))
            member.worker.post(WorkerLost())

    def _publish_change(self, endpoint: api.Worker) -> None:
        """Posts the changed entry of one worker, with the connection actors of all listed workers."""
        workers = {each.endpoint.id: each.worker for each in self.members.values()}
        self.listener.post(EndpointsChanged(api.WorkerList("partial", (endpoint,)), workers, "faktory"))


DIRECTORY_HANDLERS = {
    WorkerJoined: FaktoryWorkerDirectory._handle_joined,
    HeartbeatReceived: FaktoryWorkerDirectory._handle_heartbeat,
    ConnectionClosed: FaktoryWorkerDirectory._handle_connection_closed,
    HeartbeatMissed: lambda self, message: self._remove_worker(message.wid),
}
