"""The jobs that Faktory clients have pushed: submission, acceptance, outcome, and state for TRACK."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Protocol

import msgspec
from tornado.concurrent import Future

from spanwing.actor import spawn_task
from spanwing.core.messages import (
    AnswerKind,
    AttemptListener,
    ClientConnection,
    EarlierState,
    FinalAnswer,
    JobRequest,
    RequestSubmitted,
)
from spanwing.net.resp import OK, encode_error
from spanwing.store.claims import Claim, Claims

MAX_TRACKED_JOBS = 10_000  # jobs whose state TRACK GET can return
STATE_ENQUEUED = "enqueued"  # accepted, without a final answer
STATE_OF_ANSWER: dict[AnswerKind, str] = {"served": "success", "failed": "failed", "refused": "dead"}


class TrackedJob(msgspec.Struct):
    """The reply to TRACK GET."""

    jid: str
    state: str
    desc: str = ""
    updated_at: str = ""


class JobStates:
    """The states of recent jobs, at most MAX_TRACKED_JOBS; they are reported and decide nothing."""

    def __init__(self) -> None:
        self.jobs: OrderedDict[str, TrackedJob] = OrderedDict()

    def set(self, jid: str, state: str, description: str = "") -> None:
        """Stores a job's state; drops the oldest one beyond the limit."""
        self.jobs[jid] = TrackedJob(jid, state, description, datetime.now(UTC).isoformat())
        self.jobs.move_to_end(jid)
        if len(self.jobs) > MAX_TRACKED_JOBS:
            self.jobs.popitem(last=False)

    def find(self, jid: str) -> TrackedJob:
        """Returns a job's state, which is `unknown` if it is not stored."""
        return self.jobs.get(jid) or TrackedJob(jid, "unknown")


class JobReceiver(AttemptListener, Protocol):
    """The core, as the Faktory frontend uses it."""

    def pending_client(self, request: str) -> ClientConnection | None:
        """Returns the client of a pending request; None if no request of this id is pending."""


class PushedJob:
    """One job of one PUSH; the client of its request at the core.

    Settles the job's claim. Its state is recorded once the core has accepted it, so that a PUSH that is not
    accepted leaves the state of an earlier job of the same jid as it is.
    """

    def __init__(
        self,
        states: JobStates,
        claims: Claims,
        claim: Claim | None,
        on_answer: Callable[[FinalAnswer], None] | None = None,
    ) -> None:
        """Takes on_answer for a PUSH that waits for the outcome."""
        self.states, self.claims, self.claim, self.on_answer = states, claims, claim, on_answer
        #: None once the core has accepted the job; the answer, if that comes first.
        self.acceptance: Future[FinalAnswer | None] = Future()

    def submit(self, request: JobRequest, request_manager: JobReceiver) -> None:
        """Submits the job to the core."""
        request_manager.post(RequestSubmitted(request, self, lambda: self._handle_accepted(request.id)))

    def _handle_accepted(self, jid: str) -> None:
        if self.on_answer is None:
            self.states.set(jid, STATE_ENQUEUED)
        self.acceptance.set_result(None)

    def answer(self, request: JobRequest, answer: FinalAnswer) -> None:
        """Receives the final answer from the core."""
        if self.acceptance.done():
            self._record_state(request.id, answer)
        else:
            self.acceptance.set_result(answer)
        if self.claim is not None and answer.kind != "repeated":
            spawn_task(self.claims.settle(request.id, self.claim, answer.kind))
        if self.on_answer is not None:
            self.on_answer(answer)

    def _record_state(self, jid: str, answer: FinalAnswer) -> None:
        description = f"try again after {answer.retry_after_ms:.0f} ms" if answer.kind == "refused" else ""
        self.states.set(jid, STATE_OF_ANSWER[answer.kind], description)


def encode_acceptance(answer: FinalAnswer | None) -> bytes:
    """Encodes the reply to a PUSH that does not wait for the outcome.

    answer: None if the core has accepted the job, else the answer that it gave instead. A job of the same jid
    that an earlier PUSH has submitted and that is pending is accepted too: its outcome will be recorded.
    """
    if answer is None:
        return OK
    earlier = answer.earlier
    if (
        earlier is not None
        and earlier.state is EarlierState.PENDING
        and isinstance(earlier.client, PushedJob)
    ):
        return OK
    return encode_answer(answer)


def encode_answer(answer: FinalAnswer) -> bytes:
    """Encodes a final answer: OK (served), BUSY (rejected; a retry is safe), REPEATED, or ERR (failed)."""
    if answer.kind == "served":
        return OK
    if answer.kind == "refused":
        return encode_error("BUSY", f"refused, try again after {answer.retry_after_ms:.0f} ms")
    if answer.kind == "repeated":
        return _encode_repeated(answer)
    return encode_error("ERR", "failed")


def _encode_repeated(answer: FinalAnswer) -> bytes:
    if answer.earlier is not None and answer.earlier.state is EarlierState.ATTEMPT_IN_FLIGHT:
        # The earlier job has its answer, and this one can be submitted once the attempt has ended.
        return encode_error("BUSY", "an attempt of an earlier job of this jid has not ended, try again later")
    earlier_outcome = answer.body.decode() or "this jid was taken before, and its outcome is not known here"
    return encode_error("REPEATED", earlier_outcome)
