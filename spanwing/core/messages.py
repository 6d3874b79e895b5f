"""Messages to and from the request manager, and the interfaces of the components that it works with.

In messages and method parameters a `request: str` is the id of a request, and `number` is the number of a
delivery attempt among the attempts of its request, from 0. Names that end in `_ms` are milliseconds.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Literal, NamedTuple, Protocol

from spanwing import interface as api

#: served: the worker's result; refused: the job has not run, so a retry is harmless; failed: no statement on
#: whether the job ran; repeated: a request of the same id is open, or began earlier with unknown outcome.
AnswerKind = Literal["served", "refused", "failed", "repeated"]


@dataclass(frozen=True, slots=True)
class JobRequest:
    """A request as a front end submits it.

    A hot restart transfers requests to another process under these field names. The target, the body and
    the idempotency key are passed to the worker unread.
    """

    id: str
    cls: str  # name of the service class
    budget: float  # ms that the client waits for the answer, from its submission
    tenant: str | None = None
    slots: int = 1  # worker slots that the job occupies
    memory: float = 0.0  # memory that the job needs, in the unit that the setting memory_unit names
    hint: float = 0.0  # the client's estimate of the running time; 0: none
    route_key: str | None = None  # sticky key: requests with the same key prefer the same worker
    repeat: bool = False  # the client states that it has submitted this request before
    method: str = "POST"
    target: str = "/"
    body: bytes = b""
    effect_key: str | None = None  # idempotency key
    media: str = ""  # media type of the body; empty if the front end gives none
    front: str = ""  # name of the front end that accepted the request


class EarlierState(enum.StrEnum):
    """The state of the earlier request of an id under which another request is submitted."""

    PENDING = "pending"  # it has no final answer yet
    ATTEMPT_IN_FLIGHT = "attempt_in_flight"  # it is answered or was withdrawn, but an attempt has not ended
    IN_OTHER_PROCESS = "in_other_process"  # it is open in the other process of a hot restart
    ENDED = "ended"  # it has ended here or in another process, and may have run
    INTERRUPTED = "interrupted"  # an earlier incarnation left it open, by the journal


class EarlierRequest(NamedTuple):
    """The earlier request of an id under which another request is submitted."""

    state: EarlierState
    client: ClientConnection | None = None  # of a pending request


class FinalAnswer(NamedTuple):
    """The final answer of a request; each request gets exactly one."""

    kind: AnswerKind
    body: bytes = b""
    retry_after_ms: float = 0.0  # 0: the answer carries no Retry-After
    earlier: EarlierRequest | None = None  # only of the kind "repeated"


class ClientConnection(Protocol):
    """The client connection that submitted a request and receives its answer."""

    def answer(self, request: JobRequest, answer: FinalAnswer) -> None:
        """Sends the final answer of a request to the client."""


class DeliveryAttempt(NamedTuple):
    """One delivery attempt of a request."""

    request: JobRequest
    number: int
    timeout_ms: float  # time from now after which the request manager cancels the attempt
    is_idempotent: bool = False  # running the job twice does no harm
    is_recorded: bool = False  # its intent is recorded in the journal before its first byte is sent
    #: Set only for a worker connection that records the intent itself. The connection calls it before the
    #: first byte, with a callback that receives whether the attempt may be sent.
    record_intent: Callable[[Callable[[bool], None]], None] | None = None
    #: Checked by the worker connection before each write, up to that of the last byte; None: no check.
    #: An attempt that may no longer be sent ends as moot.
    may_send: Callable[[], bool] | None = None


class AttemptListener(Protocol):
    """Receives the messages of a worker connection about its delivery attempts and probes."""

    def post(self, message: object) -> None:
        """Queues a message for the listener."""


class WorkerConnection(Protocol):
    """Connection to one worker, over any protocol. Each delivery ends in exactly one AttemptEnded."""

    name: str  # the worker's name in its directory
    address: str  # network address
    #: The connection calls DeliveryAttempt.record_intent itself, as attempts may be queued in it for long.
    records_intent_itself: bool

    def deliver(self, delivery: DeliveryAttempt, listener: AttemptListener) -> None:
        """Starts a delivery attempt; the listener receives its progress and its result."""

    def cancel(self, request: str, number: int, result: api.Result) -> None:
        """Cancels an attempt, sent or not; it ends with this result unless it has ended already."""

    def withdraw(self, request: str, number: int) -> None:
        """Withdraws an attempt whose request no longer needs an answer.

        The attempt ends as moot if its last byte is unsent, and continues otherwise.
        """

    def probe(self, worker: int, listener: AttemptListener) -> None:
        """Probes the worker for its load report; the listener receives ProbeEnded."""


class EndpointDirectory(Protocol):
    """Source of the worker list and its changes."""

    def watch(self) -> None:
        """Subscribes to changes of the worker list."""


class AttemptRecorder(Protocol):
    """Records requests that must not run twice, and their attempts.

    Records are stored in the order of the calls. No call blocks, and only an intent is acknowledged, by a
    callback on the event loop.
    """

    def unavailable_reason(self) -> str:
        """Returns why requests that must be recorded are rejected now; empty if they are accepted."""

    def find_interrupted(self, request: str) -> str:
        """Returns what is known of a request of this id that an earlier incarnation left open.

        Returns an empty string if there is none.
        """

    def record_accepted(
        self, request: str, class_name: str, tenant: str, key: str, front: str, budget_ms: float
    ) -> None:
        """Records that a request was accepted; key is its idempotency key, front its front end."""

    def record_intent(
        self, request: str, attempt: int, worker: str, address: str, on_recorded: Callable[[bool], None]
    ) -> None:
        """Records the intent to send an attempt.

        Calls on_recorded with whether the attempt may be sent, once the record is on disk or the recorder
        stops waiting for that.
        """

    def record_last_byte(self, request: str, attempt: int) -> None:
        """Records that an attempt's last byte was written."""

    def record_unsent(self, request: str, attempt: int, reason: str) -> None:
        """Records that an attempt ended and its last byte was certainly not sent."""

    def record_cancelled(self, request: str, attempt: int, reason: str) -> None:
        """Records that the scheduler cancelled an attempt."""

    def record_outcome(self, request: str, attempt: int, result: str) -> None:
        """Records the result of an attempt whose last byte may have been sent."""

    def record_answered(self, request: str, kind: str) -> None:
        """Records the kind of a request's final answer, or "left" if its client disconnected first."""


class ZoneRouting(Protocol):
    """Decides which workers may be used, where the fleet leaves a zone and returns to it as a whole.

    Workers are identified by their scheduler id, attempts by their request id and number.
    """

    def may_forward(self, worker: int) -> bool:
        """Returns whether an attempt may be forwarded to the worker now."""

    def filter_workers(self, endpoint_list: api.WorkerList) -> api.WorkerList:
        """Returns the worker list in which workers that may not be used are marked as draining."""

    def attempt_sent(self, worker: int, attempt: tuple[str, int]) -> None:
        """Called when an attempt is forwarded to the worker."""

    def attempt_accepted(self, worker: int, attempt: tuple[str, int]) -> None:
        """Called when the worker has accepted the attempt."""

    def attempt_ended(self, worker: int, attempt: tuple[str, int], result: str) -> None:
        """Called when an attempt has ended, with its result."""

    def probe_finished(self, worker: int, result: str, elapsed_ms: float) -> None:
        """Called when a probe of the worker has ended, with its result and how long it took."""


class PolicyAdmission(Protocol):
    """Decides whether a request may be accepted now, where the fleet shares a policy."""

    def admit(self, submitted: RequestSubmitted) -> bool:
        """Returns whether the request is accepted now.

        Otherwise the implementation rejects it, or queues it and submits it again later.
        """

    def rejection_reason(self) -> str:
        """Returns why every request is rejected now; empty if requests are accepted or queued."""

    def client_disconnected(self, request: str, client: ClientConnection) -> bool:
        """Drops a request that is queued and whose client has disconnected; returns whether there was one."""


class RequestSubmitted(NamedTuple):
    """A client connection submits a request."""

    request: JobRequest
    client: ClientConnection
    #: Called when the request is pending: from then on its only answer is its final one. A request that is
    #: answered before this call was not accepted.
    on_accepted: Callable[[], None] | None = None


class RequestRejected(NamedTuple):
    """A front end has rejected a request that was not submitted to the request manager."""

    class_name: str


class ClientDisconnected(NamedTuple):
    """The client of a request disconnected; a request of the same id from another client is not affected."""

    request: str
    client: ClientConnection
    #: Called once the request is withdrawn, with whether a worker may have run it; not called if the request
    #: had its answer before.
    on_withdrawn: Callable[[bool], None] | None = None


class EndpointsChanged(NamedTuple):
    """A directory reports a change of its workers."""

    update: api.WorkerList
    connections: Mapping[int, WorkerConnection]  # of all workers in the directory, by scheduler id
    source: str = "discovery"  # name of the directory


class AttemptProgress(NamedTuple):
    """A worker reports progress of an attempt; has_started: the job has just started."""

    request: str
    number: int
    has_started: bool


class AttemptAccepted(NamedTuple):
    """A worker has accepted a delivery attempt; the job may still be queued there."""

    request: str
    number: int


class AttemptRecorded(NamedTuple):
    """The recorder has answered for the intent of an attempt: it may be sent or not."""

    request: str
    number: int
    attempt: object  # the attempt in flight; another one may have its request id and number by now
    may_send: bool


class LastByteSent(NamedTuple):
    """The last byte of an attempt was written; also posted if the attempt was cancelled meanwhile."""

    request: str
    number: int


class AttemptEnded(NamedTuple):
    """A delivery attempt has ended with this result."""

    request: str
    number: int
    result: api.Result
    body: bytes = b""
    report: tuple[float, ...] | None = None  # values of the worker's load report
    is_unsent: bool = False  # its last byte was certainly not written, and will not be
    excludes_worker: bool = False  # the worker must get no further attempt of the request


class ProbeEnded(NamedTuple):
    """A probe has ended."""

    result: api.ProbeResult


class AttemptExpired(NamedTuple):
    """The timeout of a delivery attempt has expired."""

    request: str
    number: int


class TimerExpired(NamedTuple):
    """A timer of a scheduler has expired; None stands for the scheduler of the current policy."""

    token: int
    scheduler: Any = None
