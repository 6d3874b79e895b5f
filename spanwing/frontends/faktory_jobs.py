"""The jobs that Faktory clients have pushed: submission, acceptance, outcome, and state for TRACK."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Mapping
from datetime import UTC, datetime
from typing import Protocol

import msgspec
from tornado.concurrent import Future

from spanwing import interface as api
from spanwing.actor import spawn_task
from spanwing.core.messages import (
    AnswerKind,
    AttemptListener,
    ClientConnection,
    ClientDisconnected,
    EarlierRequest,
    EarlierState,
    FinalAnswer,
    JobRequest,
    RequestSubmitted,
)
from spanwing.net.resp import OK, encode_error
from spanwing.store.claims import Claim, Claims, ClaimState

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

    service_classes: Mapping[str, api.ServiceClass]  # of the policy in use, by name

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
        self.is_joined = False  # another PUSH of the jid relies on the outcome
        self.is_withdrawn = False  # its client has left, and the core is told so
        #: None once the core has accepted the job, or an earlier job that it joins; else the answer instead.
        self.acceptance: Future[FinalAnswer | None] = Future()

    def submit(self, request: JobRequest, request_manager: JobReceiver) -> None:
        """Submits the job to the core."""
        request_manager.post(RequestSubmitted(request, self, lambda: self._handle_accepted(request.id)))

    def withdraw(self, request: JobRequest, request_manager: JobReceiver) -> None:
        """Tells the core that the client has left, unless another PUSH relies on the outcome."""
        if not self.is_joined:
            self.is_withdrawn = True
            request_manager.post(
                ClientDisconnected(
                    request.id, self, lambda may_have_run: self._handle_withdrawn(request.id, may_have_run)
                )
            )

    def _handle_withdrawn(self, jid: str, may_have_run: bool) -> None:
        """Releases the claim of a job that no worker can have run; otherwise the job must not be repeated."""
        if self.claim is not None and not may_have_run:
            spawn_task(self.claims.settle(jid, self.claim, "refused"))

    def join(self, jid: str) -> bool:
        """Lets another PUSH of the jid rely on the outcome of this job, which is pending at the core.

        Returns False if the job has been withdrawn: then it has no outcome.
        """
        if self.is_withdrawn:
            return False
        self.is_joined = True
        self.states.set(jid, STATE_ENQUEUED)
        return True

    def _handle_accepted(self, jid: str) -> None:
        if self.on_answer is None:
            self.states.set(jid, STATE_ENQUEUED)
        self.acceptance.set_result(None)

    def answer(self, request: JobRequest, answer: FinalAnswer) -> None:
        """Receives the final answer from the core."""
        if self.acceptance.done():
            self._record_state(request.id, answer)
        else:
            self.acceptance.set_result(None if self._joins_earlier(request.id, answer) else answer)
        if self.claim is not None:
            spawn_task(self.claims.settle(request.id, self.claim, _settled_state(answer)))
        if self.on_answer is not None:
            self.on_answer(answer)

    def _joins_earlier(self, jid: str, answer: FinalAnswer) -> bool:
        """Joins the earlier PUSH of the jid that is pending, if there is one and no outcome is waited for."""
        earlier = None if answer.earlier is None else answer.earlier.client
        return self.on_answer is None and isinstance(earlier, PushedJob) and earlier.join(jid)

    def _record_state(self, jid: str, answer: FinalAnswer) -> None:
        description = f"try again after {answer.retry_after_ms:.0f} ms" if answer.kind == "refused" else ""
        self.states.set(jid, STATE_OF_ANSWER[answer.kind], description)


def _settled_state(answer: FinalAnswer) -> ClaimState:
    """Returns the state in which a claim ends whose job got this answer.

    Nothing was sent under the claim of a repeated job: the claim is released. It stays if an earlier job of
    the jid has ended and may have run.
    """
    if answer.kind != "repeated":
        return answer.kind
    may_have_run = answer.earlier is not None and answer.earlier.state in (
        EarlierState.INTERRUPTED,
        EarlierState.ENDED,
    )
    return "claimed" if may_have_run else "refused"


def encode_acceptance(answer: FinalAnswer | None) -> bytes:
    """Encodes the reply to a PUSH that does not wait for the outcome, from PushedJob.acceptance."""
    return OK if answer is None else encode_answer(answer)


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
    if answer.earlier is not None and _is_ending(answer.earlier):
        # The earlier job has or needs no answer, and this one can be submitted once the attempt has ended.
        return encode_error("BUSY", "an attempt of an earlier job of this jid has not ended, try again later")
    earlier_outcome = answer.body.decode() or "this jid was taken before, and its outcome is not known here"
    return encode_error("REPEATED", earlier_outcome)


def _is_ending(earlier: EarlierRequest) -> bool:
    """Returns whether the earlier request has no outcome to wait for, but is still open."""
    is_withdrawn = isinstance(earlier.client, PushedJob) and earlier.client.is_withdrawn
    return is_withdrawn or earlier.state is EarlierState.ATTEMPT_IN_FLIGHT
