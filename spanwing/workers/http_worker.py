"""The connection actor for one worker that is reached over HTTP.

A worker answers a job with 202 before it runs it, and reports the result by a callback to the scheduler. It
may also answer with the result (200), or reject the job (503 or 504 with `X-Rejected: 1`).
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple
from urllib.parse import quote

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
from spanwing.net.http import UnsendableHeadError, encode_request
from spanwing.net.http_parser import HttpError, HttpMessage
from spanwing.workers.connection_pool import ConnectionPool, PooledConnection
from spanwing.workers.load_report import LoadReportReader
from spanwing.workers.reported_requests import ReportedRequests
from spanwing.workers.worker_connection import (
    CancelDelivery,
    DeliverAttempt,
    ProbeRequested,
    WithdrawAttempt,
    WorkerConnectionActor,
)

logger = logging.getLogger("spanwing")

ACCEPT_TIMEOUT_S = 2.5  # for a worker's 202, which it sends before any work; its pauses are far shorter
CANCEL_TIMEOUT_S = 1.0  # for the response to a DELETE
CANCEL_RETRY_MIN_S, CANCEL_RETRY_MAX_S = 0.1, 2.0  # first and longest backoff before a DELETE is retried
PROBE_TIMEOUT_S = 0.5  # for the response to a probe, or to the GET /alive before an attempt
MAX_SEND_CONNECTIONS = 3  # connections tried for one request; all but the first are new
# Upper estimate of the time until a worker has noticed that its connection was closed. The request is sent to
# another worker only after it.
CLOSE_GRACE_S = 0.02
LAST_BYTE_DELAY_S = 0.002  # upper estimate of a round trip, after which a reset would have arrived

#: The result of an attempt, by the final state that the worker reports for its job.
CALLBACK_RESULTS: dict[str, api.Result] = {
    "done": "ok",
    "failed": "error",
    "returned": "full",
    "lost": "reset",
}


def job_target(request: str) -> str:
    """Returns the target that names a request's job at its worker.

    The id is a client's, and percent-encoded (RFC 3986, 2.1): a `?` in it would name another client's job.
    """
    return f"/jobs/{quote(request, safe='', encoding='latin-1')}"


class _UnconfirmedWorkerError(Exception):
    """The worker has not confirmed that it accepts work, so no attempt may be sent to it."""


class WorkerCallback(NamedTuple):
    """A worker reports the state of a job that it has accepted."""

    request: str
    state: str  # "started", "running" or a key of CALLBACK_RESULTS
    body: bytes
    report: tuple[float, ...] | None  # values of the worker's load report


class ConfirmationSettings(NamedTuple):
    """Whether a worker has to confirm that it accepts work before an attempt is sent to it.

    The worker confirms by answering GET /alive with 200; a draining worker answers with 503. So no attempt is
    sent to a draining worker even if the age of the endpoint list is unknown.
    """

    is_needed: Callable[[], bool] = lambda: False
    #: For how long after its confirmation a worker is not asked again.
    valid_s: Callable[[], float] = lambda: 0.0


class RetireWorker(NamedTuple):
    """The worker has left the endpoint list; the actor closes once no attempt is in flight."""

    is_retired: bool  # False: the worker is listed again


class WithdrawUnsent(NamedTuple):
    """End the attempts whose last byte is unsent, as the worker is draining."""


@dataclass(slots=True, eq=False)
class HttpAttempt:
    """A delivery attempt at this worker that has not ended."""

    delivery: DeliveryAttempt
    listener: AttemptListener
    expires_s: float = 0.0  # loop time of the attempt's timeout
    connection: PooledConnection | None = None  # set from the write of the last byte until the response
    is_last_byte_written: bool = False  # the last byte is being written or was written
    is_accepted: bool = False  # the 202 has arrived
    cancel_result: api.Result | None = None  # the attempt is cancelled and will end with this result
    has_started: bool = False  # the worker has reported that the job runs
    is_answered: bool = False  # its response was the result, so the worker makes no call about it


class HttpWorker(WorkerConnectionActor):
    """Delivers and cancels attempts over HTTP, and probes the worker.

    Each delivery ends in exactly one AttemptEnded.
    """

    def __init__(
        self,
        name: str,
        connection_pool: ConnectionPool,
        load_reader: LoadReportReader,
        on_retired: Callable[[HttpWorker], None],
        confirmation: ConfirmationSettings = ConfirmationSettings(),  # noqa: B008 - a tuple
        reported_requests: ReportedRequests | None = None,
    ) -> None:
        """Creates the actor; reported_requests may be shared by the actors of all workers.

        on_retired is called when the worker has left the endpoint list and no attempt is in flight.
        """
        super().__init__()
        self.reported_requests = reported_requests or ReportedRequests(self.loop.time)
        self.confirmation, self.confirmed_until_s = confirmation, 0.0  # confirmed_until_s: loop time
        self.name, self.address = name, str(connection_pool.address)
        self.connection_pool, self.load_reader, self.on_retired = connection_pool, load_reader, on_retired
        self.attempts: dict[str, HttpAttempt] = {}
        self.is_retiring = False  # the worker has left the endpoint list
        self.is_draining = False  # the worker is draining or has left: nothing new may be sent to it
        self.draining_since_s = 0.0  # loop time at which the endpoint list reported that

    def find_transferable(self, request: str, number: int) -> HttpAttempt | None:
        """Returns the attempt if it may be transferred to another process, else None.

        An attempt may be transferred once the worker has accepted it, unless it was cancelled.
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

    def resume_attempt(
        self, delivery: DeliveryAttempt, listener: AttemptListener, has_started: bool = False
    ) -> None:
        """Takes over an attempt that the worker has accepted from another process."""
        self.attempts[delivery.request.id] = HttpAttempt(
            delivery,
            listener,
            self.loop.time() + delivery.timeout_ms / 1000.0,
            is_last_byte_written=True,
            is_accepted=True,
            has_started=has_started,
        )

    def _handle_deliver(self, message: DeliverAttempt) -> None:
        attempt = HttpAttempt(*message, self.loop.time() + message.delivery.timeout_ms / 1000.0)
        request, number = attempt.delivery.request.id, attempt.delivery.number
        # A worker has at most one attempt of a request at a time.
        if request in self.attempts:
            attempt.listener.post(AttemptEnded(request, number, "moot", is_unsent=True))
            return
        # An earlier request of this id has ended here. A late report on it would end this attempt, and a late
        # DELETE would give it up.
        if self.reported_requests.may_be_reported(self.name, request):
            attempt.listener.post(AttemptEnded(request, number, "moot", is_unsent=True, excludes_worker=True))
            return
        self.attempts[request] = attempt
        spawn_task(self._supervise_attempt(attempt))

    async def _supervise_attempt(self, attempt: HttpAttempt) -> None:
        """Runs an attempt; ends it if an exception occurs, as its request still needs an answer."""
        try:
            await self._run_attempt(attempt)
        except UnsendableHeadError as error:  # the request is at fault: no worker can be sent it
            log_event("unsendable", level="warning", request=attempt.delivery.request.id, reason=str(error))
            self._end_attempt(attempt, "rejected", is_unsent=True)
        except Exception:  # a bug in one attempt must not lose the request
            logger.exception("fault in a delivery attempt; ending the attempt")
            was_sent = attempt.is_last_byte_written
            # An unsent attempt ends as moot: it says nothing about the worker.
            self._end_attempt(attempt, "reset" if was_sent else "moot", is_unsent=not was_sent)

    async def _run_attempt(self, attempt: HttpAttempt) -> None:
        request = attempt.delivery.request
        holds_last_byte = not attempt.delivery.is_idempotent
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
        # A worker may neither accept nor reject the job. Waiting longer would only occupy the worker's slots
        # and make the client wait until the deadline.
        accept_timer = self.loop.call_later(ACCEPT_TIMEOUT_S, self._abort_unanswered, attempt, "timeout")
        response = await self._receive_response(connection)
        self.loop.remove_timeout(accept_timer)
        attempt.connection = None
        self._handle_response(attempt, response, connection.is_response_invalid)

    def _encode_attempt(self, attempt: HttpAttempt) -> bytes:
        """Encodes the request with the remaining time as its budget, after any wait for a connection."""
        request = attempt.delivery.request
        remaining_ms = (attempt.expires_s - self.loop.time()) * 1000.0
        headers = {
            "Host": str(self.connection_pool.address),
            "X-Call-Id": request.id,
            "X-Budget-Ms": str(max(1, int(remaining_ms))),
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
        """Sends a request; returns its connection, or None if the last byte was not written.

        encode is called once for each connection that is tried, when the connection is ready. is_wanted is
        checked after each wait; for an attempt, the permission to send is also checked at each write to the
        socket.

        hold_last_byte is set for requests that must not run twice. A pooled connection that the worker has
        dropped silently still looks open. If a request were written to it, it would be unknown whether the
        request has run. Such requests therefore use only new connections. Their last byte, without which they
        cannot run, is held back until a reset would have arrived.
        """
        for number in range(MAX_SEND_CONNECTIONS):
            connection = await self.connection_pool.acquire(hold_last_byte or number > 0, is_wanted)
            if connection is None:
                return None
            try:
                if await self._send_on(connection, encode, hold_last_byte, is_wanted, attempt):
                    return connection
            except _UnconfirmedWorkerError:
                self.connection_pool.discard(connection)
                return None
            except StreamClosedError:
                pass
            except Exception:
                self.connection_pool.discard(connection)
                raise
            self.connection_pool.discard(connection)
            if attempt is not None:
                attempt.is_last_byte_written, attempt.connection = False, None
            if not is_wanted():  # cancelled, or no longer permitted
                return None
        return None

    async def _send_on(
        self,
        connection: PooledConnection,
        encode: Callable[[], bytes],
        hold_last_byte: bool,
        is_wanted: Callable[[], bool],
        attempt: HttpAttempt | None,
    ) -> bool:
        """Sends a request on this connection; returns whether its last byte was written.

        Raises _UnconfirmedWorkerError if the worker has to confirm that it accepts work and does not.
        """
        if attempt is not None and not await self._confirm_worker(connection, attempt):
            raise _UnconfirmedWorkerError
        data = encode()
        if hold_last_byte and is_wanted():
            await connection.write(data[:-1])
            await sleep(LAST_BYTE_DELAY_S)
        if not is_wanted() or not connection.is_reusable():
            return False
        if attempt is not None:
            attempt.is_last_byte_written, attempt.connection = True, connection
            # Bytes may wait in the stream's buffer; permission is checked again as they go out.
            connection.stream.permit = lambda: self._may_write(attempt)
        self._log_write_to_draining_worker(data, attempt)
        await connection.write(data[-1:] if hold_last_byte else data)
        connection.stream.permit = None
        return True

    async def _confirm_worker(self, connection: PooledConnection, attempt: HttpAttempt) -> bool:
        """Returns whether the worker has confirmed that it accepts work, or need not confirm it.

        Asks the worker on this connection unless its last confirmation is still valid.
        """
        permit = attempt.delivery.may_send
        if not self.confirmation.is_needed():
            return True
        if self.loop.time() >= self.confirmed_until_s:
            asked_at_s = self.loop.time()
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
            self.confirmed_until_s = asked_at_s + self.confirmation.valid_s()
        if isinstance(permit, SendPermit):
            permit.is_confirmed = True
        return True

    def _may_write(self, attempt: HttpAttempt) -> bool:
        """Returns whether bytes of the attempt may be written now; the caller then writes them.

        Records a violation of the send rules if the permit allows what they forbid.
        """
        permit = attempt.delivery.may_send
        violation = permit.find_violation(self.is_draining) if isinstance(permit, SendPermit) else None
        if not self._may_send(attempt):
            return False
        if violation is not None:
            permit.record_violation(violation)
        return True

    def _log_write_to_draining_worker(self, data: bytes, attempt: HttpAttempt | None) -> None:
        """Logs a request that is about to be written to a draining worker.

        Such a worker may still get a DELETE, or a probe that was begun before it started to drain.
        """
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
        """Returns the response, or None if it is invalid or does not arrive within timeout_s.

        Releases or discards the connection. Without timeout_s, waits until the connection closes.
        """
        response, timeout = None, None if timeout_s is None else timedelta(seconds=timeout_s)
        try:
            incoming = connection.receive()
            response = await (
                incoming
                if timeout is None
                else with_timeout(timeout, incoming, quiet_exceptions=(HttpError, StreamClosedError))
            )
        except HttpError:
            connection.is_response_invalid = True
        except TornadoTimeoutError:
            connection.is_response_invalid = not connection.parser.is_idle()
        except StreamClosedError:
            pass
        self.connection_pool.record_outcome(connection, response is not None)
        if response is not None and response.keep_alive and not connection.is_write_shut_down:
            self.connection_pool.release(connection)
        else:
            self.connection_pool.discard(connection)
        return response

    def _handle_response(
        self, attempt: HttpAttempt, response: HttpMessage | None, is_response_invalid: bool
    ) -> None:
        """Marks the attempt as accepted, ends it or cancels it, as the worker's response requires."""
        if not self._is_in_flight(attempt):
            return
        report = self.load_reader.read_text(response.headers.get("x-load-report", "")) if response else None
        attempt.is_answered = response is not None and response.status != 202
        if response is None and is_response_invalid:  # the invalid response may have been a 202
            attempt.cancel_result = attempt.cancel_result or "reset"
            spawn_task(self._cancel_at_worker(attempt))
        elif response is None and attempt.cancel_result is not None:  # closed here, to cancel the attempt
            self.loop.call_later(CLOSE_GRACE_S, self._end_attempt, attempt, attempt.cancel_result)
        elif response is None:
            self._end_attempt(attempt, "reset")
        elif response.status == 202 and attempt.cancel_result is not None:  # sent before the cancellation
            spawn_task(self._cancel_at_worker(attempt))
        elif response.status == 202:
            attempt.is_accepted = True
            attempt.listener.post(AttemptAccepted(attempt.delivery.request.id, attempt.delivery.number))
        elif response.status == 200:  # the result, without a callback
            self._end_attempt(attempt, "ok", response.body, report)
        elif response.status in (503, 504) and response.headers.get("x-rejected") == "1":
            self._end_attempt(attempt, "full", report=report)
        elif 400 <= response.status < 500:  # the request is at fault, not this worker
            self._end_attempt(attempt, "rejected", report=report)
        else:
            self._end_attempt(attempt, "error", report=report)

    def _is_wanted(self, attempt: HttpAttempt) -> bool:
        """Returns whether the attempt is in flight, not cancelled, and may be sent."""
        return self._is_in_flight(attempt) and attempt.cancel_result is None and self._may_send(attempt)

    def _may_send(self, attempt: HttpAttempt) -> bool:
        """Returns whether the attempt may be sent now.

        Refuses it if the worker began to drain, or a lease ended, while the connection was opened.
        """
        permit = attempt.delivery.may_send
        if self.is_draining and isinstance(permit, SendPermit):
            permit.refuse(SendRefusal.WORKER_DRAINING)
        return not self.is_draining and (permit is None or permit())

    def _is_in_flight(self, attempt: HttpAttempt) -> bool:
        """Returns whether the attempt has not ended."""
        return self.attempts.get(attempt.delivery.request.id) is attempt

    def _end_attempt(
        self,
        attempt: HttpAttempt,
        result: api.Result,
        body: bytes = b"",
        report: tuple[float, ...] | None = None,
        is_unsent: bool = False,
        excludes_worker: bool = False,
    ) -> None:
        """Ends the attempt with this result, unless it has ended already."""
        # A callback may arrive before the 202, or twice: only the first result counts.
        if not self._is_in_flight(attempt):
            return
        del self.attempts[attempt.delivery.request.id]
        # A "done" that comes late or again brings the job's own result, and does no harm.
        if attempt.is_last_byte_written and not attempt.is_answered and result != "ok":
            self.reported_requests.add(self.name, attempt.delivery.request.id)
        attempt.listener.post(
            AttemptEnded(
                attempt.delivery.request.id,
                attempt.delivery.number,
                result,
                body,
                report,
                is_unsent,
                excludes_worker,
            )
        )
        self._close_if_retired()

    def _handle_callback(self, callback: WorkerCallback) -> None:
        """Handles the worker's report on a job; reports on unknown jobs and in unknown states are ignored."""
        attempt = self.attempts.get(callback.request)
        if attempt is None or self._belongs_to_earlier_attempt(callback, attempt):
            return
        if callback.state in CALLBACK_RESULTS:
            self._end_attempt(
                attempt,
                CALLBACK_RESULTS[callback.state],
                callback.body,
                callback.report,
                # A job that was handed back may be repeated, but its report may come again as well.
                excludes_worker=callback.state == "returned",
            )
        elif callback.state in ("started", "running"):
            attempt.has_started = True
            attempt.listener.post(
                AttemptProgress(callback.request, attempt.delivery.number, callback.state == "started")
            )

    def _belongs_to_earlier_attempt(self, callback: WorkerCallback, attempt: HttpAttempt) -> bool:
        """Returns whether a report cannot be on this attempt of its request, and logs it if so.

        A worker does not report on a job whose last byte it has not got, nor hands back one that has started.
        """
        if not attempt.is_last_byte_written:
            reason = "the attempt is unsent"
        elif callback.state == "returned" and attempt.has_started:
            reason = "the job has started"
        else:
            return False
        log_event(
            "callback_ignored",
            level="warning",
            worker=self.name,
            request=callback.request,
            state=callback.state,
            attempt=attempt.delivery.number,
            reason=reason,
        )
        return True

    def _handle_cancel(self, message: CancelDelivery) -> None:
        """Cancels an attempt: by closing its connection, by a DELETE once accepted, or before it is sent."""
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
        """Cancels an attempt that was sent and is not answered yet.

        A worker cancels the job if its connection is closed before it sends the 202. If the 202 is already on
        its way, the job runs. A response is therefore still read for CLOSE_GRACE_S; by then the worker has
        certainly noticed the close.
        """
        if attempt.connection is not None and attempt.cancel_result is None:
            attempt.cancel_result = result
            attempt.connection.shut_down_writing()
            self.loop.call_later(CLOSE_GRACE_S, attempt.connection.abort)

    def _handle_withdraw(self, message: WithdrawAttempt) -> None:
        """Ends an attempt, or closes its connection, if its last byte has not been sent."""
        attempt = self.attempts.get(message.request)
        if attempt is None or attempt.delivery.number != message.number:
            return
        if not attempt.is_last_byte_written:
            attempt.cancel_result = attempt.cancel_result or "moot"
            self._end_attempt(attempt, "moot", is_unsent=True)
        elif attempt.connection is not None and attempt.connection.stream.writing():
            # The last byte is still in the stream's buffer.
            attempt.cancel_result = attempt.cancel_result or "moot"
            attempt.connection.close()

    async def _cancel_at_worker(self, attempt: HttpAttempt) -> None:
        """Cancels a job that the worker has accepted; the attempt ends once the worker was notified.

        A DELETE that the worker did not read is retried with backoff until the attempt's timeout. If the
        attempt ended earlier, the request could be forwarded to another worker while the job still runs at
        this one.
        """
        backoff_s, target = CANCEL_RETRY_MIN_S, job_target(attempt.delivery.request.id)
        try:
            while not await self._delete_job(target) and self._is_in_flight(attempt):
                remaining_s = attempt.expires_s - self.loop.time()
                if remaining_s <= 0:
                    break
                await sleep(min(remaining_s, random.uniform(backoff_s / 2, backoff_s)))
                backoff_s = min(2 * backoff_s, CANCEL_RETRY_MAX_S)
        finally:
            self._end_attempt(attempt, attempt.cancel_result or "cancelled")

    async def _delete_job(self, target: str) -> bool:
        """Sends a DELETE; returns whether the worker has read it, whatever its response.

        A worker that drains or has left the endpoint list is notified too.
        """
        connection = await self._send_without_body("DELETE", target, lambda: True)
        return connection is not None and (
            await self._receive_response(connection, CANCEL_TIMEOUT_S) is not None
            or connection.is_response_invalid
        )

    async def _send_without_body(
        self, method: str, target: str, is_wanted: Callable[[], bool]
    ) -> PooledConnection | None:
        """Sends a request without a body; returns the connection, or None if it could not be sent."""
        data = encode_request(method, target, {"Host": str(self.connection_pool.address)})
        return await self._send_request(lambda: data, False, is_wanted)

    def _handle_probe(self, probe: ProbeRequested) -> None:
        spawn_task(self._probe_load(probe))

    async def _probe_load(self, probe: ProbeRequested) -> None:
        """Requests the load report and posts ProbeEnded, within PROBE_TIMEOUT_S once the request is sent."""
        loop = IOLoop.current()
        started_s = loop.time()
        connection = await self._send_without_body("GET", "/metrics/load", lambda: not self.is_draining)
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
        """Marks the worker as draining, or as having left the endpoint list.

        Nothing new is sent from now on, and attempts whose last byte is unsent end as unsent.
        """
        if not self.is_draining:
            self.is_draining, self.draining_since_s = True, self.loop.time()
            self.post(WithdrawUnsent())

    def _withdraw_unsent(self, _: WithdrawUnsent) -> None:
        for attempt in list(self.attempts.values()):
            if self.is_draining and not attempt.is_last_byte_written:
                self._end_attempt(attempt, "moot", is_unsent=True)

    def _handle_retire(self, message: RetireWorker) -> None:
        self.is_retiring = message.is_retired
        self._close_if_retired()

    def _close_if_retired(self) -> None:
        """Closes the idle connections and calls on_retired, if the worker is retiring and has no attempts."""
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
    WithdrawUnsent: HttpWorker._withdraw_unsent,
}
