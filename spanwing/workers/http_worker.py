"""The actor for one worker that is reached over HTTP."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

from tornado.gen import TimeoutError as TornadoTimeoutError
from tornado.gen import sleep, with_timeout
from tornado.ioloop import IOLoop
from tornado.iostream import StreamClosedError

from spanwing import interface as api
from spanwing.actor import spawn_task
from spanwing.core.messages import (
    AttemptAccepted,
    AttemptEnded,
    AttemptListener,
    AttemptProgress,
    DeliveryAttempt,
    LastByteSent,
    ProbeEnded,
)
from spanwing.core.send_guard import SendPermit, SendRefusal
from spanwing.log.events import log_event
from spanwing.net.http import HttpError, HttpMessage, encode_request
from spanwing.workers.connection_pool import ConnectionPool, PooledConnection
from spanwing.workers.load_report import LoadReportReader
from spanwing.workers.worker_connection import (
    CancelDelivery,
    DeliverAttempt,
    ProbeRequested,
    WithdrawAttempt,
    WorkerConnectionActor,
)

logger = logging.getLogger("spanwing")

ACCEPT_TIMEOUT_S = 2.5  # wait for a worker's 202, which comes before any work; its pauses are far shorter
CANCEL_TIMEOUT_S = 1.0  # wait for the response to a DELETE
CANCEL_RETRY_MIN_S, CANCEL_RETRY_MAX_S = 0.1, 2.0  # first and longest backoff before a DELETE is retried
PROBE_TIMEOUT_S = 0.5
MAX_SEND_CONNECTIONS = 3  # connections used for one request at most; all but the first are new
CLOSE_GRACE_S = 0.02  # a close has arrived by then: no other worker may get the request before
LAST_BYTE_DELAY_S = 0.002  # upper estimate of a round trip

CALLBACK_RESULTS: dict[str, api.Result] = {
    "done": "ok",
    "failed": "error",
    "returned": "full",
    "lost": "reset",
}


class WorkerCallback(NamedTuple):
    """State that a worker reports of a job it has accepted."""

    request: str
    state: str
    body: bytes
    report: tuple[float, ...] | None


class Confirmation(NamedTuple):
    """When a worker is asked, before a request goes to it, whether it accepts work.

    A draining worker answers GET /alive with 503. So even a list of unknown age sends nothing to it.
    """

    is_needed: Callable[[], bool] = lambda: False
    valid_s: float = 0.0  # a worker that accepted work a moment ago is not asked again


class RetireWorker(NamedTuple):
    """The worker has left the endpoint list (or is back): close once nothing is in flight."""

    is_retired: bool


class WithdrawQueued(NamedTuple):
    """Ends the attempts that have not been sent yet."""


@dataclass(slots=True, eq=False)
class HttpAttempt:
    """A delivery attempt at this worker that has not ended."""

    delivery: DeliveryAttempt
    listener: AttemptListener
    expires_s: float = 0.0  # loop time; nobody waits for it longer
    connection: PooledConnection | None = None  # from the moment its last byte may leave until the 202
    is_last_byte_written: bool = False  # the last byte is being written or was written
    is_accepted: bool = False  # the 202 has arrived
    cancel_result: api.Result | None = None


class HttpWorker(WorkerConnectionActor):
    """Delivers, cancels and probes over HTTP; each delivery ends in exactly one AttemptEnded."""

    def __init__(
        self,
        name: str,
        connection_pool: ConnectionPool,
        load_reader: LoadReportReader,
        on_retired: Callable[[HttpWorker], None],
        confirmation: Confirmation = Confirmation(),  # noqa: B008 - a tuple
    ) -> None:
        super().__init__()
        self.confirmation, self.confirmed_until_s = confirmation, 0.0
        self.name, self.address = name, str(connection_pool.address)
        self.connection_pool, self.load_reader, self.on_retired = connection_pool, load_reader, on_retired
        self.attempts: dict[str, HttpAttempt] = {}
        self.is_retiring = False
        self.is_draining = False  # draining or gone: nothing new may be sent to it
        self.draining_since_s = 0.0  # loop time of the list that said so

    def find_transferable(self, request: str, number: int) -> HttpAttempt | None:
        """Returns the attempt if it may be transferred to another process, else None.

        It may once the worker has accepted it, unless it was cancelled.
        """
        attempt = self.attempts.get(request)
        is_transferable = (
            attempt is not None
            and attempt.delivery.number == number
            and attempt.is_accepted
            and attempt.cancel_result is None
        )
        return attempt if is_transferable else None

    def release_attempt(self, request: str) -> None:
        """Drops an attempt that another process has taken over."""
        del self.attempts[request]
        self._close_if_retired()

    def resume_attempt(self, delivery: DeliveryAttempt, listener: AttemptListener) -> None:
        """Takes over an attempt that the worker accepted from another process."""
        self.attempts[delivery.request.id] = HttpAttempt(
            delivery,
            listener,
            self.loop.time() + delivery.timeout_ms / 1000.0,
            is_last_byte_written=True,
            is_accepted=True,
        )

    def _handle_deliver(self, message: DeliverAttempt) -> None:
        attempt = HttpAttempt(*message, self.loop.time() + message.delivery.timeout_ms / 1000.0)
        if (
            attempt.delivery.request.id in self.attempts
        ):  # one attempt of a request at a time goes to a worker
            attempt.listener.post(
                AttemptEnded(attempt.delivery.request.id, attempt.delivery.number, "moot", is_unsent=True)
            )
            return
        self.attempts[attempt.delivery.request.id] = attempt
        spawn_task(self._keep_attempt(attempt))

    async def _keep_attempt(self, attempt: HttpAttempt) -> None:
        """Runs the attempt, and ends it after a fault of the program: its request still owes its answer."""
        try:
            await self._run_attempt(attempt)
        except Exception:  # one attempt's fault must not lose the request
            logger.exception("fault in an attempt")
            was_sent = attempt.is_last_byte_written
            self._end_attempt(attempt, "reset" if was_sent else "unreachable", is_unsent=not was_sent)

    async def _run_attempt(self, attempt: HttpAttempt) -> None:
        request = attempt.delivery.request
        holds_last_byte = not attempt.delivery.is_repeatable
        connection = await self._send_request(
            lambda: self._encode_attempt(attempt), holds_last_byte, lambda: self._is_wanted(attempt), attempt
        )
        if connection is None:  # the last byte was never written
            self._end_attempt(
                attempt,
                attempt.cancel_result or ("unreachable" if self._may_send(attempt) else "moot"),
                is_unsent=True,
            )
            return
        attempt.listener.post(LastByteSent(request.id, attempt.delivery.number))
        # A worker that neither accepts nor rejects is not waited for: that would only occupy its slots and
        # make the client wait until its deadline.
        accept_timer = self.loop.call_later(ACCEPT_TIMEOUT_S, self._abort_unanswered, attempt, "timeout")
        response = await self._receive_response(connection)
        self.loop.remove_timeout(accept_timer)
        attempt.connection = None
        self._handle_response(attempt, response, connection.is_garbled)

    def _encode_attempt(self, attempt: HttpAttempt) -> bytes:
        """Encodes the request with the time that is left now, after any wait for a connection."""
        request = attempt.delivery.request
        left_ms = (attempt.expires_s - self.loop.time()) * 1000.0
        headers = {
            "Host": str(self.connection_pool.address),
            "X-Call-Id": request.id,
            "X-Budget-Ms": str(max(1, int(left_ms))),
        }
        if request.effect_key is not None:
            headers["Idempotency-Key"] = request.effect_key
        return encode_request(request.method, request.target, headers, request.body)

    async def _send_request(
        self,
        encode: Callable[[], bytes],
        hold_last_byte: bool,
        is_wanted: Callable[[], bool],
        attempt: HttpAttempt | None = None,
    ) -> PooledConnection | None:
        """Returns the connection that took the complete request, or None if none took its last byte.

        encode is called once there is a connection; is_wanted is asked after each wait, and each time bytes
        of an attempt are handed to the kernel.

        A pooled connection that the worker has dropped silently looks open, and a request written to it may
        count as run. Requests that must not run twice therefore go on a new connection, and their last byte,
        without which they cannot run, is held back until a reset would have arrived.
        """
        for number in range(MAX_SEND_CONNECTIONS):
            connection = await self.connection_pool.acquire(hold_last_byte or number > 0, is_wanted)
            if connection is None:
                return None
            try:
                if attempt is not None and not await self._confirm(connection, attempt):
                    self.connection_pool.discard(connection)
                    return None
                data = encode()
                if hold_last_byte and is_wanted():
                    await connection.write(data[:-1])
                    await sleep(LAST_BYTE_DELAY_S)
                if is_wanted() and connection.is_reusable():
                    if attempt is not None:
                        attempt.is_last_byte_written, attempt.connection = True, connection
                        # Also for bytes buffered in the stream.
                        connection.stream.permit = lambda: self._may_send(attempt)
                    self._check_send(data, attempt)
                    await connection.write(data[-1:] if hold_last_byte else data)
                    connection.stream.permit = None
                    return connection
            except StreamClosedError:
                pass
            self.connection_pool.discard(connection)
            if attempt is not None:
                attempt.is_last_byte_written, attempt.connection = False, None
            if not is_wanted():  # cancelled meanwhile: nothing may be sent any more
                return None
        return None

    async def _confirm(self, connection: PooledConnection, attempt: HttpAttempt) -> bool:
        """Returns whether the worker may get an attempt: asks it on this connection, if that is needed."""
        permit = attempt.delivery.may_send
        if not self.confirmation.is_needed():
            return True
        if self.loop.time() >= self.confirmed_until_s:
            asked_s = self.loop.time()
            await connection.write(encode_request("GET", "/alive", {"Host": self.address}))
            response = None
            with suppress(HttpError, TornadoTimeoutError):
                response = await with_timeout(
                    timedelta(seconds=PROBE_TIMEOUT_S),
                    connection.receive(),
                    quiet_exceptions=(HttpError, StreamClosedError),
                )
            if response is None or response.status != 200 or not response.keep_alive:
                if isinstance(permit, SendPermit):
                    permit.note_unconfirmed()
                return False
            self.confirmed_until_s = asked_s + self.confirmation.valid_s
        if isinstance(permit, SendPermit):
            permit.is_confirmed = True
        return True

    def _check_send(self, data: bytes, attempt: HttpAttempt | None) -> None:
        """Checks the rules for what is about to be written, and logs what goes to a draining worker: a DELETE
        is owed to it, a probe was begun before.
        """
        permit = None if attempt is None else attempt.delivery.may_send
        if isinstance(permit, SendPermit):
            permit.check_sent(self.is_draining)
        if self.is_draining:
            method, target, _ = data.split(b" ", 2)
            log_event(
                "write_to_draining_worker",
                worker=self.name,
                method=method.decode(),
                request=target.decode() if attempt is None else attempt.delivery.request.id,
                draining_s=round(self.loop.time() - self.draining_since_s, 3),
            )

    async def _receive_response(
        self, connection: PooledConnection, timeout_s: float | None = None
    ) -> HttpMessage | None:
        """Returns the response, or None; releases or discards the connection."""
        response, timeout = None, None if timeout_s is None else timedelta(seconds=timeout_s)
        try:
            incoming = connection.receive()
            response = await (
                incoming
                if timeout is None
                else with_timeout(timeout, incoming, quiet_exceptions=(HttpError, StreamClosedError))
            )
        except HttpError:
            connection.is_garbled = True
        except TornadoTimeoutError:
            connection.is_garbled = not connection.parser.is_idle()
        except StreamClosedError:
            pass
        self.connection_pool.record_outcome(connection, response is not None)
        if response is not None and response.keep_alive and not connection.is_shut_down:
            self.connection_pool.release(connection)
        else:
            self.connection_pool.discard(connection)
        return response

    def _handle_response(self, attempt: HttpAttempt, response: HttpMessage | None, is_garbled: bool) -> None:
        if not self._is_current(attempt):
            return
        report = self.load_reader.read_text(response.headers.get("x-load-report", "")) if response else None
        if response is None and is_garbled:  # the garbled response may have been a 202
            attempt.cancel_result = attempt.cancel_result or "reset"
            spawn_task(self._cancel_at_worker(attempt))
        elif response is None and attempt.cancel_result is not None:
            self.loop.call_later(CLOSE_GRACE_S, self._end_attempt, attempt, attempt.cancel_result)
        elif response is None:
            self._end_attempt(attempt, "reset")
        elif response.status == 202 and attempt.cancel_result is not None:  # the 202 crossed the cancellation
            spawn_task(self._cancel_at_worker(attempt))
        elif response.status == 202:
            attempt.is_accepted = True
            attempt.listener.post(AttemptAccepted(attempt.delivery.request.id, attempt.delivery.number))
        elif response.status == 200:  # final answer without a callback
            self._end_attempt(attempt, "ok", response.body, report)
        elif response.status in (503, 504) and response.headers.get("x-rejected") == "1":
            self._end_attempt(attempt, "full", report=report)
        elif 400 <= response.status < 500:  # the client's request is at fault, not this worker
            self._end_attempt(attempt, "rejected", report=report)
        else:
            self._end_attempt(attempt, "error", report=report)

    def _is_wanted(self, attempt: HttpAttempt) -> bool:
        return self._is_current(attempt) and attempt.cancel_result is None and self._may_send(attempt)

    def _may_send(self, attempt: HttpAttempt) -> bool:
        """Checks the permission at the moment of use.

        Sees a lease that ended while the connection was made, and a worker that has begun to drain.
        """
        permit = attempt.delivery.may_send
        if self.is_draining and isinstance(permit, SendPermit):
            permit.refuse(SendRefusal.WORKER_DRAINING)
        return not self.is_draining and (permit is None or permit())

    def _is_current(self, attempt: HttpAttempt) -> bool:
        return self.attempts.get(attempt.delivery.request.id) is attempt

    def _end_attempt(
        self,
        attempt: HttpAttempt,
        result: api.Result,
        body: bytes = b"",
        report: tuple[float, ...] | None = None,
        is_unsent: bool = False,
    ) -> None:
        # A callback may come before the 202, or twice: only the first end of an attempt counts.
        if not self._is_current(attempt):
            return
        del self.attempts[attempt.delivery.request.id]
        attempt.listener.post(
            AttemptEnded(
                attempt.delivery.request.id, attempt.delivery.number, result, body, report, is_unsent
            )
        )
        self._close_if_retired()

    def _handle_callback(self, callback: WorkerCallback) -> None:
        attempt = self.attempts.get(callback.request)
        if attempt is None:
            return
        if callback.state in CALLBACK_RESULTS:
            self._end_attempt(attempt, CALLBACK_RESULTS[callback.state], callback.body, callback.report)
        elif callback.state in ("started", "running"):
            attempt.listener.post(
                AttemptProgress(callback.request, attempt.delivery.number, callback.state == "started")
            )

    def _handle_cancel(self, message: CancelDelivery) -> None:
        attempt = self.attempts.get(message.request)
        if attempt is None or attempt.delivery.number != message.number or attempt.cancel_result is not None:
            return
        if attempt.connection is not None:
            self._abort_unanswered(attempt, message.result)
            return
        attempt.cancel_result = message.result
        if attempt.is_accepted:
            spawn_task(self._cancel_at_worker(attempt))
        else:
            self._end_attempt(attempt, message.result, is_unsent=True)

    def _abort_unanswered(self, attempt: HttpAttempt, result: api.Result) -> None:
        """Cancels an attempt that was sent and not answered yet.

        Before the 202 the end of the connection cancels the job. A 202 may be on its way, and then the job
        runs: responses are still read for CLOSE_GRACE_S, until the close has certainly arrived.
        """
        if attempt.connection is not None and attempt.cancel_result is None:
            attempt.cancel_result = result
            attempt.connection.shut_down_writing()
            self.loop.call_later(CLOSE_GRACE_S, attempt.connection.abort)

    def _handle_withdraw(self, message: WithdrawAttempt) -> None:
        attempt = self.attempts.get(message.request)
        if attempt is None or attempt.delivery.number != message.number:
            return
        if not attempt.is_last_byte_written:
            attempt.cancel_result = attempt.cancel_result or "moot"
            self._end_attempt(attempt, "moot", is_unsent=True)
        elif (
            attempt.connection is not None and attempt.connection.stream.writing()
        ):  # the last byte has not left the stream's buffer
            attempt.cancel_result = attempt.cancel_result or "moot"
            attempt.connection.close()

    async def _cancel_at_worker(self, attempt: HttpAttempt) -> None:
        """Cancels an accepted job; the attempt ends only once the worker was notified.

        A DELETE that was cut off is retried with backoff until the attempt's deadline: forwarded elsewhere
        meanwhile, the request would be in flight twice.
        """
        backoff_s = CANCEL_RETRY_MIN_S
        try:
            while not await self._delete_job(f"/jobs/{attempt.delivery.request.id}") and self._is_current(
                attempt
            ):
                remaining_s = attempt.expires_s - self.loop.time()
                if remaining_s <= 0:
                    break
                await sleep(min(remaining_s, random.uniform(backoff_s / 2, backoff_s)))
                backoff_s = min(2 * backoff_s, CANCEL_RETRY_MAX_S)
        finally:
            self._end_attempt(attempt, attempt.cancel_result or "cancelled")

    async def _delete_job(self, target: str) -> bool:
        """Returns whether the worker has read the DELETE, whatever its response."""
        # Owed also to a worker that drains or is gone.
        connection = await self._send_bodiless("DELETE", target, lambda: True)
        return connection is not None and (
            await self._receive_response(connection, CANCEL_TIMEOUT_S) is not None or connection.is_garbled
        )

    async def _send_bodiless(
        self, method: str, target: str, is_wanted: Callable[[], bool]
    ) -> PooledConnection | None:
        data = encode_request(method, target, {"Host": str(self.connection_pool.address)})
        return await self._send_request(lambda: data, False, is_wanted)

    def _handle_probe(self, probe: ProbeRequested) -> None:
        spawn_task(self._probe_load(probe))

    async def _probe_load(self, probe: ProbeRequested) -> None:
        loop = IOLoop.current()
        started_s = loop.time()
        connection = await self._send_bodiless("GET", "/metrics/load", lambda: not self.is_draining)
        response = None if connection is None else await self._receive_response(connection, PROBE_TIMEOUT_S)
        report = None
        result: api.Result = (
            "unreachable" if response is None else "ok" if response.status == 200 else "error"
        )
        if response is not None:
            text = response.headers.get("x-load-report") or response.body.decode("utf-8", "replace")
            report = self.load_reader.read_text(text)
        elapsed_ms = (loop.time() - started_s) * 1000.0
        probe.listener.post(ProbeEnded(api.ProbeResult(probe.worker, result, elapsed_ms, report)))

    def start_draining(self) -> None:
        """Marks the worker as draining or gone.

        Nothing new is sent from now on, and attempts not sent yet end as unsent.
        """
        if not self.is_draining:
            self.is_draining, self.draining_since_s = True, self.loop.time()
            self.post(WithdrawQueued())

    def _withdraw_queued(self, _: WithdrawQueued) -> None:
        for attempt in list(self.attempts.values()):
            if self.is_draining and not attempt.is_last_byte_written:
                self._end_attempt(attempt, "moot", is_unsent=True)

    def _handle_retire(self, message: RetireWorker) -> None:
        self.is_retiring = message.is_retired
        self._close_if_retired()

    def _close_if_retired(self) -> None:
        if self.is_retiring and not self.attempts:
            self.connection_pool.close_idle()
            self.on_retired(self)


HttpWorker.handlers = {
    DeliverAttempt: HttpWorker._handle_deliver,
    CancelDelivery: HttpWorker._handle_cancel,
    WorkerCallback: HttpWorker._handle_callback,
    WithdrawAttempt: HttpWorker._handle_withdraw,
    ProbeRequested: HttpWorker._handle_probe,
    RetireWorker: HttpWorker._handle_retire,
    WithdrawQueued: HttpWorker._withdraw_queued,
}
