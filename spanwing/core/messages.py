"""What the core is told and tells, and the two interfaces it stands between."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Literal, NamedTuple, Protocol

from spanwing import interface as api

AnswerKind = Literal["served", "refused", "failed", "repeated"]


@dataclass(frozen=True, slots=True)
class JobRequest:
    """A request as any front hands it in; target, body and key pass through unread."""

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
    media: str = ""  # what the body is, where a front says so
    front: str = ""  # which one took it


class FinalAnswer(NamedTuple):
    """The one final answer of a request."""

    kind: AnswerKind
    body: bytes = b""
    retry_after_ms: float = 0.0  # ms


class ClientConnection(Protocol):
    """Whoever handed in an envelope."""

    def answer(self, request: JobRequest, answer: FinalAnswer) -> None: ...


class DeliveryAttempt(NamedTuple):
    """One delivery attempt of an envelope."""

    request: JobRequest
    number: int
    timeout_ms: float  # ms from now that the core will wait
    is_repeatable: bool = False  # no harm is done if it runs again
    is_recorded: bool = False  # it is written down before its first byte
    #: Where the next hop asks: to be called before its first byte, with what hears whether it may be sent.
    record_intent: Callable[[Callable[[bool], None]], None] | None = None
    #: Where it is set: asked just before the last byte; an attempt that may not be sent then ends as moot.
    may_send: Callable[[], bool] | None = None


class AttemptListener(Protocol):
    """Where a next hop tells what became of a delivery attempt."""

    def post(self, message: object) -> None: ...


class WorkerConnection(Protocol):
    """A job worker, however it is reached. Each delivery ends in exactly one Ended."""

    name: str  # as its directory has it
    address: str  # where it is reached
    records_intent_itself: bool  # it asks for the intent by itself, as work may wait there for long

    def deliver(self, delivery: DeliveryAttempt, listener: AttemptListener) -> None: ...

    def cancel(self, request: str, number: int, result: api.Result) -> None: ...

    def withdraw(self, request: str, number: int) -> None:
        """Nobody wants it any more: it ends as moot if its last byte is unsent, and goes on otherwise."""

    def probe(self, worker: int, listener: AttemptListener) -> None: ...


class EndpointDirectory(Protocol):
    """Where news of job workers comes from."""

    def watch(self) -> None: ...


class AttemptRecorder(Protocol):
    """Where work that must not run twice is written down. Records stand in the order of the calls; none of
    them waits but an intent, which is told back on the loop."""

    def unavailable_reason(self) -> str:
        """Why such work is turned away now; empty where it is taken."""

    def find_interrupted(self, request: str) -> str:
        """What an earlier life left of a request of this id; empty where that is nothing."""

    def record_accepted(
        self, request: str, class_name: str, tenant: str, key: str, front: str, budget_ms: float
    ) -> None: ...

    def record_intent(
        self, request: str, attempt: int, worker: str, address: str, on_recorded: Callable[[bool], None]
    ) -> None:
        """then hears whether the attempt may be sent."""

    def record_last_byte(self, request: str, attempt: int) -> None: ...

    def record_unsent(self, request: str, attempt: int, reason: str) -> None: ...

    def record_cancelled(self, request: str, attempt: int, reason: str) -> None: ...

    def record_outcome(self, request: str, attempt: int, result: str) -> None: ...

    def record_answered(self, request: str, kind: str) -> None: ...


class ZoneRouting(Protocol):
    """Which job workers may be used, where the fleet leaves and returns to zones as one; a worker by its
    number."""

    def may_forward(self, worker: int) -> bool: ...

    def filter_workers(self, endpoint_list: api.WorkerList) -> api.WorkerList:
        """The news as the module is to have it."""

    def attempt_sent(self, worker: int, attempt: tuple[str, int]) -> None: ...

    def attempt_accepted(self, worker: int, attempt: tuple[str, int]) -> None: ...

    def attempt_ended(self, worker: int, attempt: tuple[str, int], result: str) -> None: ...

    def probe_finished(self, worker: int, result: str) -> None: ...


class PolicyAdmission(Protocol):
    """Whether a job may be taken now, where the policy is the fleet's."""

    def admit(self, submitted: RequestSubmitted) -> bool:
        """False: it is not taken now; it is answered, or posted again."""

    def client_disconnected(self, request: str, client: ClientConnection) -> None:
        """The client of a job that was not taken has gone."""


class RequestSubmitted(NamedTuple):
    """A sender side hands in an envelope."""

    request: JobRequest
    client: ClientConnection


class RequestRejected(NamedTuple):
    """A front has refused a whole request by itself; it never became an envelope of ours."""

    class_name: str


class ClientDisconnected(NamedTuple):
    """The sender side went away; an id of another sender is left alone."""

    request: str
    client: ClientConnection


class EndpointsChanged(NamedTuple):
    """News of job workers, with all next hops of the directory that tells."""

    update: api.WorkerList
    connections: dict[int, WorkerConnection]
    source: str = "map"


class AttemptProgress(NamedTuple):
    """A job worker tells of progress; began is true when the job has just started."""

    request: str
    number: int
    has_started: bool


class AttemptAccepted(NamedTuple):
    """A job worker has taken a delivery attempt, which may still wait there."""

    request: str
    number: int


class AttemptRecorded(NamedTuple):
    """Whether an attempt that had to be written down first may be sent."""

    request: str
    number: int
    may_send: bool


class LastByteSent(NamedTuple):
    """An attempt's last byte is written; told of each, also of one that was given up meanwhile."""

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
    """The time of a delivery attempt is over."""

    request: str
    number: int


class TimerExpired(NamedTuple):
    """A timer of a module has come; None: of the one in use."""

    token: int
    scheduler: Any = None
