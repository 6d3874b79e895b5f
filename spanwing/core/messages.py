"""What the core is told and tells, and the two interfaces it stands between."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Literal, NamedTuple, Protocol

from spanwing import interface as api

Kind = Literal["served", "refused", "failed", "repeated"]


@dataclass(frozen=True, slots=True)
class Envelope:
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


class Answer(NamedTuple):
    """The one final answer of a request."""

    kind: Kind
    body: bytes = b""
    retry_after: float = 0.0  # ms


class SenderSide(Protocol):
    """Whoever handed in an envelope."""

    def answer(self, envelope: Envelope, answer: Answer) -> None: ...


class Delivery(NamedTuple):
    """One delivery attempt of an envelope."""

    envelope: Envelope
    number: int
    budget: float  # ms from now that the core will wait
    repeatable: bool = False  # no harm is done if it runs again
    recorded: bool = False  # it is written down before its first byte
    #: Where the next hop asks: to be called before its first byte, with what hears whether it may be sent.
    intent: Callable[[Callable[[bool], None]], None] | None = None
    #: Where it is set: asked just before the last byte; an attempt that may not be sent then ends as moot.
    may: Callable[[], bool] | None = None


class Listener(Protocol):
    """Where a next hop tells what became of a delivery attempt."""

    def post(self, message: object) -> None: ...


class NextHop(Protocol):
    """A job worker, however it is reached. Each delivery ends in exactly one Ended."""

    name: str  # as its directory has it
    place: str  # where it is reached
    asks: bool  # it asks for the intent by itself, as work may wait there for long

    def deliver(self, delivery: Delivery, listener: Listener) -> None: ...

    def give_up(self, request: str, number: int, result: api.Result) -> None: ...

    def withdraw(self, request: str, number: int) -> None:
        """Nobody wants it any more: it ends as moot if its last byte is unsent, and goes on otherwise."""

    def probe(self, worker: int, listener: Listener) -> None: ...


class Directory(Protocol):
    """Where news of job workers comes from."""

    def watch(self) -> None: ...


class Recorder(Protocol):
    """Where work that must not run twice is written down. Records stand in the order of the calls; none of
    them waits but an intent, which is told back on the loop."""

    def refusing(self) -> str:
        """Why such work is turned away now; empty where it is taken."""

    def earlier(self, request: str) -> str:
        """What an earlier life left of a request of this id; empty where that is nothing."""

    def taken(self, request: str, cls: str, tenant: str, key: str, front: str, budget_ms: float) -> None: ...

    def intent(
        self, request: str, attempt: int, worker: str, address: str, then: Callable[[bool], None]
    ) -> None:
        """then hears whether the attempt may be sent."""

    def last_byte(self, request: str, attempt: int) -> None: ...

    def unsent(self, request: str, attempt: int, why: str) -> None: ...

    def given_up(self, request: str, attempt: int, why: str) -> None: ...

    def outcome(self, request: str, attempt: int, result: str) -> None: ...

    def answered(self, request: str, kind: str) -> None: ...


class ZoneWatch(Protocol):
    """Which job workers may be used, where the fleet leaves and returns to zones as one; a worker by its
    number."""

    def may(self, worker: int) -> bool: ...

    def screen(self, news: api.WorkerList) -> api.WorkerList:
        """The news as the module is to have it."""

    def sent(self, worker: int, job: tuple[str, int]) -> None: ...

    def accepted(self, worker: int, job: tuple[str, int]) -> None: ...

    def ended(self, worker: int, job: tuple[str, int], result: str) -> None: ...

    def probed(self, worker: int, result: str) -> None: ...


class PolicyWatch(Protocol):
    """Whether a job may be taken now, where the policy is the fleet's."""

    def admits(self, take: Take) -> bool:
        """False: it is not taken now; it is answered, or posted again."""

    def left(self, request: str, sender: SenderSide) -> None:
        """The client of a job that was not taken has gone."""


class Take(NamedTuple):
    """A sender side hands in an envelope."""

    envelope: Envelope
    sender: SenderSide


class Turned(NamedTuple):
    """A front has refused a whole request by itself; it never became an envelope of ours."""

    cls: str


class Left(NamedTuple):
    """The sender side went away; an id of another sender is left alone."""

    request: str
    sender: SenderSide


class Listed(NamedTuple):
    """News of job workers, with all next hops of the directory that tells."""

    news: api.WorkerList
    hops: dict[int, NextHop]
    source: str = "map"


class Started(NamedTuple):
    """A job worker tells of progress; began is true when the job has just started."""

    request: str
    number: int
    began: bool


class Accepted(NamedTuple):
    """A job worker has taken a delivery attempt, which may still wait there."""

    request: str
    number: int


class Recorded(NamedTuple):
    """Whether an attempt that had to be written down first may be sent."""

    request: str
    number: int
    may: bool


class LastByte(NamedTuple):
    """An attempt's last byte is written; told of each, also of one that was given up meanwhile."""

    request: str
    number: int


class Ended(NamedTuple):
    """How a delivery attempt ended."""

    request: str
    number: int
    result: api.Result
    body: bytes = b""
    report: tuple[float, ...] | None = None
    unsent: bool = False  # its last byte was certainly not written, and will not be


class Probed(NamedTuple):
    """How a probe ended."""

    result: api.ProbeResult


class Expired(NamedTuple):
    """The time of a delivery attempt is over."""

    request: str
    number: int


class Due(NamedTuple):
    """A timer of a module has come; None: of the one in use."""

    token: int
    module: Any = None
