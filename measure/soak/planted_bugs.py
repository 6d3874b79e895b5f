"""Runs a scheduler with a planted bug, to verify that the soak's oracle detects it.

    python -m measure.soak.planted_bugs BUG

Each bug replaces functions of the scheduler by name before the scheduler starts. Only the soak uses it.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from types import SimpleNamespace

WHOLE_ANSWER_TIMEOUT_S = 11.5  # hold time and margin, as in the version of the incident


def long_answer_timeout() -> None:
    """Gives a whole answer of discovery one long timeout, and sends without checking the age of the list.

    This reproduces a bug of an incident, in which removed workers got jobs.
    """
    from spanwing.discovery import call, client, freshness

    freshness.EndpointFreshness.is_stale = lambda self, now_s: False
    call.AnswerStream._next_byte_deadline_s = lambda self: self.began_s + WHOLE_ANSWER_TIMEOUT_S
    client.IMMEDIATE_POLL_HOLD_S = 10.0


def persisted_list_used_at_once() -> None:
    """Makes a new process send by its persisted list before discovery has answered.

    This reproduces a bug of the same incident.
    """
    from spanwing.discovery.client import DiscoveryClient

    original = DiscoveryClient.watch

    def watch(self, max_delay_s=0.0):
        if not self.announced.is_set():
            self._announce_all("persisted")
        original(self, 1.0)

    DiscoveryClient.watch = watch


def stale_list_accepted() -> None:
    """Sends without checking the age of the list."""
    from spanwing.discovery.client import DiscoveryClient

    DiscoveryClient.is_stale = lambda self: False


def draining_ignored() -> None:
    """Treats draining workers as active."""
    from spanwing.discovery import client, worker_table

    client.STATE_OF_PHASE["leaving"] = "healthy"
    worker_table.set_draining = lambda actor, is_draining: None


def unsafe_repeated() -> None:
    """Treats classes of non-idempotent jobs as idempotent."""
    from spanwing import settings

    original = settings._service_class

    def as_safe(class_settings, *args):
        if class_settings.idempotency == "unsafe":
            class_settings.idempotency = "safe"
        return original(class_settings, *args)

    settings._service_class = as_safe


def cancel_not_sent() -> None:
    """Ends a cancelled attempt at once, without cancelling it at its worker."""
    from spanwing.workers.http_worker import HttpWorker

    def cancel(self, message):
        attempt = self.attempts.get(message.request)
        if attempt is not None and attempt.delivery.number == message.number:
            self._end_attempt(attempt, message.result)

    HttpWorker.handlers = {
        kind: cancel if handler is HttpWorker._handle_cancel else handler
        for kind, handler in HttpWorker.handlers.items()
    }


def disconnect_ignored() -> None:
    """Ignores that a client has disconnected."""
    from spanwing.core import request_manager

    handlers = request_manager.MESSAGE_HANDLERS
    handlers[request_manager.ClientDisconnected] = lambda self, message: None


def answers_dropped() -> None:
    """Does not send every fiftieth answer."""
    from spanwing.core.request_manager import RequestManager

    original, count = RequestManager._answer_request, SimpleNamespace(answers=0)

    def answer(self, request, final):
        count.answers += 1
        if count.answers % 50:
            original(self, request, final)
        else:
            self.pending_requests.pop(request, None)

    RequestManager._answer_request = answer


def budget_doubled() -> None:
    """Passes workers twice the remaining time."""
    from spanwing.workers import http_worker

    original = http_worker.encode_request

    def encode(method, target, headers, body=b""):
        if "X-Budget-Ms" in headers:
            headers["X-Budget-Ms"] = str(2 * int(headers["X-Budget-Ms"]))
        return original(method, target, headers, body)

    http_worker.encode_request = encode


def outcome_written_once() -> None:
    """Forgets the outcome of a claim that no majority has confirmed."""
    from spanwing.store.claims import Claims

    Claims._start_retrying = lambda self: self.settling_claims.clear()


def repeated_as_accepted() -> None:
    """Answers +OK for a jid that was taken before, whoever holds the job."""
    from spanwing.frontends import faktory_jobs

    faktory_jobs._encode_repeated = lambda answer: faktory_jobs.OK


def accepted_before_the_core() -> None:
    """Answers +OK, and records the job as enqueued, before the core has accepted it."""
    from spanwing.frontends.faktory_jobs import STATE_ENQUEUED, PushedJob

    original = PushedJob.submit

    def submit(self, request, request_manager):
        self.states.set(request.id, STATE_ENQUEUED)
        original(self, request, request_manager)

    PushedJob.submit = submit
    repeated_as_accepted()


def claim_skipped() -> None:
    """Takes jobs that must not run twice without a claim."""
    from spanwing.frontends.faktory import FaktoryFrontend

    async def claim_job(self, job, service_class):
        return None

    FaktoryFrontend.claim_job = claim_job


#: Bugs that the soak of Faktory jobs has to find.
CLAIM_BUGS: dict[str, Callable[[], None]] = {
    "written-once": outcome_written_once,
    "repeated-as-accepted": repeated_as_accepted,
    "accepted-early": accepted_before_the_core,
    "claim-skipped": claim_skipped,
}
PLANTED_BUGS: dict[str, Callable[[], None]] = {
    **CLAIM_BUGS,
    "patient": long_answer_timeout,
    "persisted-at-once": persisted_list_used_at_once,
    "no-stale": stale_list_accepted,
    "drain-unread": draining_ignored,
    "unsafe-repeat": unsafe_repeated,
    "second-copy": cancel_not_sent,
    "client-forgotten": disconnect_ignored,
    "answer-dropped": answers_dropped,
    "long-budget": budget_doubled,
}


if __name__ == "__main__":
    PLANTED_BUGS[sys.argv.pop(1)]()
    from spanwing.__main__ import main

    main()
