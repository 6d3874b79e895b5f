"""The actors of Faktory job workers: one for each, and one for the list of them."""

from __future__ import annotations

from collections import deque
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
MAX_QUEUED_JOBS = 8  # jobs that may wait for a worker's FETCH, as in a job worker's queue
FETCH_TIMEOUT_S = 2.0  # an empty FETCH is answered after this
HEARTBEAT_TIMEOUT_S = 60.0  # a worker that has not sent a BEAT for so long is gone
WORKER_STATES: dict[str, api.State] = {
    "quiet": "draining",
    "terminate": "draining",
    "terminating": "draining",
}

FetchedJob = tuple[bytes, Callable[[bool], None]]


class FetchRequested(NamedTuple):
    """A free slot: the future gets a job's bytes and what to call once they are written, or None."""

    queues: tuple[str, ...]
    reply: Future[FetchedJob | None]


class JobWritten(NamedTuple):
    """Whether the bytes of a job reached the worker's connection whole."""

    request: str
    number: int
    is_complete: bool


class JobPermitted(NamedTuple):
    """Whether a job that has to be written down first may be handed over."""

    request: str
    number: int
    may_send: bool


class JobFinished(NamedTuple):
    """ACK or FAIL."""

    request: str
    result: api.Result


class WorkerVanished(NamedTuple):
    """The worker's last connection ended, or it fell silent."""


@dataclass(slots=True, eq=False)
class FaktoryAttempt:
    """A delivery attempt here that has not ended."""

    delivery: DeliveryAttempt
    listener: AttemptListener
    is_handed_out: bool = False
    is_permitted: bool = False
    reserved_fetch: WaitingFetch | None = None  # kept for it while its intent is on its way to the disk


@dataclass(slots=True, eq=False)
class WaitingFetch:
    """A FETCH that waits."""

    fetch: FetchRequested
    timer: object


def encode_job(request: JobRequest) -> bytes:
    """The job as a worker gets it: its own text where it came by Faktory, else one made of the envelope."""
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
    """A job worker that fetches. Each delivery ends in one Ended; a late ACK changes nothing."""

    records_intent_itself = True  # a job may wait here for its FETCH: until one comes nothing can leave

    def __init__(self, name: str, address: str) -> None:
        super().__init__()
        self.name, self.address = name, address
        self.attempts: dict[str, FaktoryAttempt] = {}
        self.queued_attempts: deque[FaktoryAttempt] = deque()
        self.waiting_fetches: deque[WaitingFetch] = deque()

    def _handle_deliver(self, message: DeliverAttempt) -> None:
        attempt = FaktoryAttempt(*message)
        request = attempt.delivery.request
        if request.id in self.attempts:  # one attempt of a request at a time goes to a job worker
            attempt.listener.post(AttemptEnded(request.id, attempt.delivery.number, "moot", is_unsent=True))
            return
        self.attempts[request.id] = attempt
        self._assign_fetch(attempt)

    def _assign_fetch(self, attempt: FaktoryAttempt) -> None:
        """To a FETCH that waits, or among those that wait for one."""
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
        if waiting_fetch.timer is not None:
            self.loop.remove_timeout(waiting_fetch.timer)
        if (
            attempt.delivery.may_send is not None and not attempt.delivery.may_send()
        ):  # the moment of use: it has waited
            attempt.reserved_fetch = waiting_fetch
            self._end_attempt(attempt, "moot")
            return
        if attempt.delivery.record_intent is not None and not attempt.is_permitted:
            attempt.reserved_fetch, key = (
                waiting_fetch,
                (attempt.delivery.request.id, attempt.delivery.number),
            )
            attempt.delivery.record_intent(lambda may: self.post(JobPermitted(*key, may)))
            return
        attempt.is_handed_out = True
        key = (attempt.delivery.request.id, attempt.delivery.number)
        waiting_fetch.fetch.reply.set_result(
            (encode_job(attempt.delivery.request), lambda whole: self.post(JobWritten(*key, whole)))
        )

    def _handle_permitted(self, permitted: JobPermitted) -> None:
        attempt = self.attempts.get(permitted.request)
        if attempt is None or attempt.delivery.number != permitted.number or attempt.reserved_fetch is None:
            return
        if not permitted.may_send:
            self._end_attempt(attempt, "moot")
            return
        attempt.is_permitted, waiting_fetch, attempt.reserved_fetch = True, attempt.reserved_fetch, None
        if waiting_fetch.fetch.reply.done():  # its connection ended meanwhile
            self._assign_fetch(attempt)
        else:
            self._hand_out(attempt, waiting_fetch)

    def _handle_written(self, written: JobWritten) -> None:
        attempt = self.attempts.get(written.request)
        if attempt is None or attempt.delivery.number != written.number:
            return
        if written.is_complete:
            attempt.listener.post(LastByteSent(written.request, written.number))
            attempt.listener.post(AttemptProgress(written.request, written.number, True))
        else:  # the job's last byte was never written: it cannot have run
            self._end_attempt(attempt, "unreachable", is_unsent=True)

    def _handle_finished(self, finished: JobFinished) -> None:
        attempt = self.attempts.get(finished.request)
        if attempt is not None and attempt.is_handed_out:
            self._end_attempt(attempt, finished.result)

    def _handle_cancel(self, message: CancelDelivery) -> None:
        attempt = self.attempts.get(message.request)
        if attempt is not None and attempt.delivery.number == message.number:
            # What no FETCH has taken never ran, and says so: an unsafe job may then be refused, not failed.
            self._end_attempt(attempt, message.result if attempt.is_handed_out else "full")

    def _handle_withdraw(self, message: WithdrawAttempt) -> None:
        attempt = self.attempts.get(message.request)
        if attempt is not None and attempt.delivery.number == message.number and not attempt.is_handed_out:
            self._end_attempt(attempt, "moot")

    def _handle_vanished(self, _: WorkerVanished) -> None:
        for attempt in list(self.attempts.values()):
            self._end_attempt(attempt, "reset" if attempt.is_handed_out else "unreachable")

    def _end_attempt(self, attempt: FaktoryAttempt, result: api.Result, is_unsent: bool = False) -> None:
        del self.attempts[attempt.delivery.request.id]
        if attempt in self.queued_attempts:
            self.queued_attempts.remove(attempt)
        if attempt.reserved_fetch is not None:  # another may have what was kept for it
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
    WorkerVanished: FaktoryWorker._handle_vanished,
    ProbeRequested: FaktoryWorker._handle_probe,
}


class WorkerJoined(NamedTuple):
    """A connection said HELLO with a wid; the future gets the worker's next hop."""

    wid: str
    labels: dict[str, str]
    peer_address: str
    worker: Future[FaktoryWorker]


class HeartbeatReceived(NamedTuple):
    wid: str
    state: str


class ConnectionClosed(NamedTuple):
    """A connection of a worker has ended."""

    wid: str


class HeartbeatMissed(NamedTuple):
    """No BEAT came in time."""

    wid: str


@dataclass(slots=True, eq=False)
class FaktoryMember:
    """What the list knows of a worker."""

    endpoint: api.Worker
    worker: FaktoryWorker
    connection_count: int
    heartbeat_timer: object


class FaktoryWorkerDirectory(Actor):
    """The list of Faktory job workers; tells the core of changes."""

    def __init__(self, listener: AttemptListener, default_zone: str) -> None:
        super().__init__()
        self.listener, self.default_zone = listener, default_zone
        self.members: dict[str, FaktoryMember] = {}

    def handle_message(self, message: Any) -> None:
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
        state = WORKER_STATES.get(
            heartbeat.state, member.endpoint.state
        )  # quiet is for good, as with Faktory
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
            member.worker.post(WorkerVanished())

    def _publish_change(self, endpoint: api.Worker) -> None:
        workers = {each.endpoint.id: each.worker for each in self.members.values()}
        self.listener.post(EndpointsChanged(api.WorkerList("partial", (endpoint,)), workers, "faktory"))


DIRECTORY_HANDLERS = {
    WorkerJoined: FaktoryWorkerDirectory._handle_joined,
    HeartbeatReceived: FaktoryWorkerDirectory._handle_heartbeat,
    ConnectionClosed: FaktoryWorkerDirectory._handle_connection_closed,
    HeartbeatMissed: lambda self, silent: self._remove_worker(silent.wid),
}
