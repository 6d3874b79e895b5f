"""A scheduler with a planted bug, to show that the soak's oracle can fail; nothing else starts one.

python -m measure.soak.planted_bugs BUG
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from types import SimpleNamespace

PATIENT_S = 11.5  # of the version that broke: hold and margin over a whole answer


def patient() -> None:
    """The incident: one long timer over a whole answer, and no check of the list's age at a send."""
    from spanwing.discovery import call, client, freshness

    freshness.EndpointFreshness.is_stale = lambda self, now_s: False
    call.AnswerStream._next_byte_deadline_s = lambda self: self.began_s + PATIENT_S
    client.IMMEDIATE_POLL_HOLD_S = 10.0


def persisted_at_once() -> None:
    """The incident: a new process sends by its persisted list before discovery has answered."""
    from spanwing.discovery.client import DiscoveryClient

    plain = DiscoveryClient.watch

    def watch(self, within_s=0.0):
        if not self.announced.is_set():
            self._announce_all("persisted")
        plain(self, 1.0)

    DiscoveryClient.watch = watch


def no_stale() -> None:
    """The age of the list is not checked at a send."""
    from spanwing.discovery.client import DiscoveryClient

    DiscoveryClient.is_stale = lambda self: False


def drain_unread() -> None:
    """Draining workers are taken for active ones."""
    from spanwing.discovery import client

    client.STATE_OF_PHASE["leaving"] = "healthy"
    client.DiscoveryClient._set_draining = lambda self, worker, is_draining: None


def unsafe_repeat() -> None:
    """Classes that must not run twice are treated as safe ones."""
    from spanwing import settings

    made_plainly = settings._service_class

    def as_safe(class_settings, *args):
        if class_settings.idempotency == "unsafe":
            class_settings.idempotency = "safe"
        return made_plainly(class_settings, *args)

    settings._service_class = as_safe


def second_copy() -> None:
    """An attempt that is called off ends here at once; its worker hears nothing of it."""
    from spanwing.workers.http_worker import HttpWorker

    def cancel(self, message):
        attempt = self.attempts.get(message.request)
        if attempt is not None and attempt.delivery.number == message.number:
            self._end_attempt(attempt, message.result)

    HttpWorker.handlers = {
        kind: cancel if handler is HttpWorker._handle_cancel else handler
        for kind, handler in HttpWorker.handlers.items()
    }


def client_forgotten() -> None:
    """Nobody hears that a client has left."""
    from spanwing.core import request_manager

    handlers = request_manager.MESSAGE_HANDLERS
    handlers[request_manager.ClientDisconnected] = lambda self, message: None


def answer_dropped() -> None:
    """One answer of fifty is not given."""
    from spanwing.core.request_manager import RequestManager

    plain, count = RequestManager._answer_request, SimpleNamespace(answers=0)

    def answer(self, request, final):
        count.answers += 1
        if count.answers % 50:
            plain(self, request, final)
        else:
            self.pending_requests.pop(request, None)

    RequestManager._answer_request = answer


def long_budget() -> None:
    """Workers are given twice the time that is left."""
    from spanwing.workers import http_worker

    plain = http_worker.encode_request

    def encode(method, target, headers, body=b""):
        if "X-Budget-Ms" in headers:
            headers["X-Budget-Ms"] = str(2 * int(headers["X-Budget-Ms"]))
        return plain(method, target, headers, body)

    http_worker.encode_request = encode


PLANTED_BUGS: dict[str, Callable[[], None]] = {
    "patient": patient,
    "persisted-at-once": persisted_at_once,
    "no-stale": no_stale,
    "drain-unread": drain_unread,
    "unsafe-repeat": unsafe_repeat,
    "second-copy": second_copy,
    "client-forgotten": client_forgotten,
    "answer-dropped": answer_dropped,
    "long-budget": long_budget,
}


if __name__ == "__main__":
    PLANTED_BUGS[sys.argv.pop(1)]()
    from spanwing.__main__ import main

    main()
