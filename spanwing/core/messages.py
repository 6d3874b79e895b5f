"""Messages to and from the request manager, and the protocols of the parts it works with."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Literal, NamedTuple, Protocol

from spanwing import interface as api

AnswerKind = Literal["served", "refused", "failed", "repeated"]


@dataclass(frozen=True, slots=True)
class JobRequest:
    """A request as any frontend submits it; target, body and key are passed through unread."""

    id: str
    cls: str
    budget: float  # ms that the client will wait
    tenant: str | None = None
    slots: int = 1
    memory: float = 0.0
    hint: float = 0.0
    route_key: str | None = None
    repeat: bool = False
    method: str = "POST"
    target: str = "/"
    body: bytes = b""
    effect_key: str | None = None
    media: str = ""  # media type of the body, where the frontend gives one
    front: str = ""  # the frontend that accepted it


class FinalAnswer(NamedTuple):
    """The one final answer of a request."""

    kind: AnswerKind
    body: bytes = b""
    retry_after_ms: float = 0.0  # ms


class ClientConnection(Protocol):
    """The connection that submitted a request and receives its answer."""

    def answer(self, request: JobRequest, answer: FinalAnswer) -> None:
        """Sends the final answer of a request to the client."""


class DeliveryAttempt(NamedTuple):
    """One delivery attempt of a request."""

    request: JobRequest
    number: int
    timeout_ms: float  # ms from now after which the request manager cancels it
    is_idempotent: bool = False  # idempotent: running it again does no harm
    is_recorded: bool = False  # recorded in the journal before its first byte is sent
    #: If the worker connection records the intent itself: called before the first byte, with the callback
    #: that receives whether the attempt may be sent.
    record_intent: Callable[[Callable[[bool], None]], None] | None = None
    #: If set: called just before the last byte; an attempt that may not be sent then ends as moot.
    may_send: Callable[[], bool] | None = None


class AttemptListener(Protocol):
    """Receives the messages of a worker connection about its delivery attempts."""

    def post(self, message: object) -> None:
        """Queues a message for the listener."""


class WorkerConnection(Protocol):
    """A worker, however it is reached. Each delivery ends in exactly one AttemptEnded."""

    name: str  # as in its directory
    address: str  # network address
    records_intent_itself: bool  # it calls record_intent itself, since work may be queued there for long

    def deliver(self, delivery: DeliveryAttempt, listener: AttemptListener) -> None:
        """Starts a delivery attempt; the listener receives its progress and its end."""

    def cancel(self, request: str, number: int, result: api.Result) -> None:
        """Cancels an attempt; it ends with this result unless it has ended already."""

    def withdraw(self, request: str, number: int) -> None:
        """Withdraws an attempt that nobody waits for: it ends as moot if its last byte is unsent, and
        continues otherwise.
        """

    def probe(self, worker: int, listener: AttemptListener) -> None:
        """Probes the worker for its load report; the listener receives ProbeEnded."""


class EndpointDirectory(Protocol):
    """Source of the worker list and its changes."""

    def watch(self) -> None:
        """Starts to follow the worker list."""


class AttemptRecorder(Protocol):
    """Records work that must not run twice. Records are stored in the order of the calls; none of the calls
    blocks, and only an intent is acknowledged, by a callback on the loop.
    """

    def unavailable_reason(self) -> str:
        """Returns why such work is rejected now; empty if it is accepted."""

    def find_interrupted(self, request: str) -> str:
        """Returns the state in which an earlier incarnation left a request of this id; empty if it left
        none.
        """

    def record_accepted(
        self, request: str, class_name: str, tenant: str, key: str, front: str, budget_ms: float
    ) -> None:
        """Records that a request was accepted."""

    def record_intent(
        self, request: str, attempt: int, worker: str, address: str, on_recorded: Callable[[bool], None]
    ) -> None:
        """Records the intent to send an attempt, then calls on_recorded with whether the attempt may be
        sent.
        """

    def record_last_byte(self, request: str, attempt: int) -> None:
        """Records that the attempt's last byte was written."""

    def record_unsent(self, request: str, attempt: int, reason: str) -> None:
        """Records that the attempt ended with its last byte certainly unsent."""

    def record_cancelled(self, request: str, attempt: int, reason: str) -> None:
        """Records that the scheduler stopped waiting for the attempt."""

    def record_outcome(self, request: str, attempt: int, result: str) -> None:
        """Records the result of an attempt that may have run."""

    def record_answered(self, request: str, kind: str) -> None:
        """Records the kind of the final answer."""


class ZoneRouting(Protocol):
    """Decides which workers may be used where the fleet leaves and returns to zones as one. Workers are
    named by their number.
    """

    def may_forward(self, worker: int) -> bool:
        """Returns whether an attempt may be forwarded to the worker now."""

    def filter_workers(self, endpoint_list: api.WorkerList) -> api.WorkerList:
        """Returns the worker list as the scheduler is to see it."""

    def attempt_sent(self, worker: int, attempt: tuple[str, int]) -> None:
        """Notes that an attempt was forwarded to the worker."""

    def attempt_accepted(self, worker: int, attempt: tuple[str, int]) -> None:
        """Notes that the worker accepted the attempt."""

    def attempt_ended(self, worker: int, attempt: tuple[str, int], result: str) -> None:
        """Notes the result of an attempt."""

    def probe_finished(self, worker: int, result: str) -> None:
        """Notes the result of a probe."""


class PolicyAdmission(Protocol):
    """Decides whether a request may be accepted now, where the policy is shared by the fleet."""

    def admit(self, submitted: RequestSubmitted) -> bool:
        """Returns whether the request is accepted now; if not, it is answered or posted again later."""

    def client_disconnected(self, request: str, client: ClientConnection) -> None:
        """Notes that the client of a request that was not accepted has disconnected."""


class RequestSubmitted(NamedTuple):
    """A client connection submits a request."""

    request: JobRequest
    client: ClientConnection


class RequestRejected(NamedTuple):
    """A frontend has rejected a request by itself; it never reached the request manager."""

    class_name: str


class ClientDisconnected(NamedTuple):
    """The client disconnected; a request of the same id from another client is not affected."""

    request: str
    client: ClientConnection


class EndpointsChanged(NamedTuple):
    """A change of the worker list, with the worker connections of the directory that reports it."""

    update: api.WorkerList
    connections: Mapping[int, WorkerConnection]
    source: str = "map"


class AttemptProgress(NamedTuple):
    """A worker reports progress; has_started is true when the job has just started."""

    request: str
    number: int
    has_started: bool


class AttemptAccepted(NamedTuple):
    """A worker has accepted a delivery attempt, which may still be queued there."""

    request: str
    number: int


class AttemptRecorded(NamedTuple):
    """Whether an attempt that had to be recorded first may be sent."""

    request: str
    number: int
    may_send: bool


class LastByteSent(NamedTuple):
    """An attempt's last byte is written; posted for each attempt, also if it was cancelled meanwhile."""

    request: str
    number: int


class AttemptEnded(NamedTuple):
    """How a delivery attempt ended."""

    request: str
    number: int
    result: api.Result
    body: bytes = b""
    report: tuple[float, ...] | None = None
    is_unsent: bool = False  # its last byte was certainly not written, and will not be


class ProbeEnded(NamedTuple):
    """How a probe ended."""

    result: api.ProbeResult


class AttemptExpired(NamedTuple):
    """The timeout of a delivery attempt has expired."""

    request: str
    number: int


class TimerExpired(NamedTuple):
    """A timer of a scheduler has expired; scheduler None stands for the one in use."""

    token: int
    scheduler: Any = None
