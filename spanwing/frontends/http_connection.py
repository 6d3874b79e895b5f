"""One HTTP connection of a frontend, opened by a client, by a worker for its call-backs, or by a tool.

The connection reads and answers one request after another; the server decides when it is closed.
"""

from __future__ import annotations

import dataclasses
import os
from contextlib import suppress
from typing import TYPE_CHECKING, Protocol

from tornado.gen import sleep
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError
from tornado.queues import Queue

from spanwing.core.messages import (
    ClientDisconnected,
    FinalAnswer,
    JobRequest,
    RequestRejected,
    RequestSubmitted,
)
from spanwing.log import log_event
from spanwing.net.connection_table import (
    EVICTION_GRACE_S,
    LINGER_TIMEOUT_S,
    MESSAGE_TIMEOUT_S,
    RANK_FINISHED,
    RANK_IDLE,
    RANK_PARTIAL,
    RANK_SILENT,
    RANK_STALE,
    READ_AHEAD_BYTES,
    WRITE_STALL_TIMEOUT_S,
)
from spanwing.net.http import HttpStream, encode_response
from spanwing.net.http_parser import HttpError, HttpMessage
from spanwing.net.proxied_connections import read_peer_address
from spanwing.net.proxy_protocol import ProxyError
from spanwing.resources.memory_account import CONNECTION_BYTES, MemoryCharge

if TYPE_CHECKING:
    from spanwing.frontends.http_server import HttpServer

HttpReply = tuple[int, bytes] | tuple[int, bytes, dict[str, str]]  # status, body, headers
MAX_READ_AHEAD_AT_ONCE = 4  # requests behind a waiting one that are read every PEER_CHECK_INTERVAL_S
MAX_REPLIES_AHEAD = 4096  # responses to such requests
FRESH_CONNECTION_S = 0.1  # a client is assumed to send its first request within this after connecting


class HttpFrontend(Protocol):
    """Converts between HTTP messages and the core's requests and answers."""

    used_fields: frozenset[str]  # names in lower case of the header fields that it reads
    kept_targets: frozenset[str]  # of requests that are never given up for memory while they are incomplete

    def parse_request(self, message: HttpMessage) -> JobRequest | HttpReply:
        """Converts a message to a request for the core, or returns the immediate reply."""

    def render_answer(self, answer: FinalAnswer, keep_alive: bool) -> bytes:
        """Encodes a final answer as a response."""


class HttpClientConnection:
    """One connection; each request is answered before the next one is parsed."""

    def __init__(
        self, server: HttpServer, stream: IOStream, peer_address: str = "", awaits_proxy_header: bool = False
    ) -> None:
        #: The client's address (the balancer's until its header is read); whether a PROXY header is expected.
        self.peer_address, self.awaits_proxy_header = peer_address, awaits_proxy_header
        self.server, self.http_stream = (
            server,
            HttpStream(stream, server.buffers, used_fields=server.frontend.used_fields),
        )
        self.mailbox: Queue[FinalAnswer | None] = Queue()  # None: the peer has closed
        self.has_sent_request = False  # a complete request was received
        self.is_client = False  # the connection has carried a client's request
        self.is_busy = False
        self.is_finished = False
        #: Id of the answered request after which nothing came: whether its client has read the answer is
        #: not known.
        self.answered_id = ""
        #: Responses to requests that were read behind the waiting one, and the fault of the input there.
        self.replies_ahead: list[bytes] = []
        self.error_ahead: tuple[int, str] | None = None
        self.closes_ahead = False  # one of them ends the connection
        #: The request that is waiting for its answer, and whether the connection is kept alive after it.
        self.pending_request: tuple[JobRequest, bool] | None = None
        self.idle_since_s = self.accepted_s = IOLoop.current().time()
        self.backlog_wait_s = 0.0  # longest time that the connection may have waited to be accepted
        self.connection_charge = MemoryCharge(server.buffers.account, "connections")
        self.connection_charge.set(CONNECTION_BYTES)
        server.buffers.account.holders.add(self)
        stream.set_close_callback(lambda: self.mailbox.put_nowait(None))

    def answer(self, request: JobRequest, answer: FinalAnswer) -> None:
        """Receives the final answer from the core."""
        self.mailbox.put_nowait(answer)

    async def serve(self) -> None:
        """Reads and answers requests until the connection ends."""
        try:
            if self.awaits_proxy_header:
                peer = await read_peer_address(
                    self.http_stream, self.http_stream.parser.data, MESSAGE_TIMEOUT_S, self.peer_address
                )
                if peer is None:
                    return
                # From here on this is an ordinary connection, also after its transfer to a successor.
                self.peer_address, self.awaits_proxy_header = peer, False
            keep_alive = True
            if self.pending_request is not None:  # transferred from another process
                keep_alive = await self._resume_request(*self.pending_request)
            while keep_alive and await self._serve_request():
                if not self.http_stream.parser.is_idle():
                    await sleep(0)  # a peer that pipelines requests must not monopolize the event loop
        except HttpError as error:
            await self._reject_malformed(error)
        except ProxyError as error:
            log_event("proxy", level="warning", peer=self.peer_address, reason=str(error))
        except StreamClosedError:
            return
        finally:
            self.is_busy, self.is_finished = False, True
            self.server.end_counts.update(["status_408"] * self.http_stream.has_timed_out)
            self.server.retry_waiting_connection()
            if self.answered_id:
                self.server.request_manager.post(ClientDisconnected(self.answered_id, self))
            await self.http_stream.close_gracefully(LINGER_TIMEOUT_S)
            self.connection_charge.set(0)
            self.server.table.connections.discard(self)

    async def _serve_request(self) -> bool:
        """Reads and answers one request; returns whether another one may follow.

        The request is only held here and in the functions below, so that nothing of it is left when the
        connection rests.
        """
        message = await self.http_stream.receive(MESSAGE_TIMEOUT_S, is_fresh=not self.has_sent_request)
        if message is None:
            return False
        self.has_sent_request = self.is_busy = True
        self.answered_id = ""
        self.server.retry_waiting_connection()
        keep_alive = message.keep_alive and not self.server.is_single_request
        parsed = self.server.frontend.parse_request(message)
        if isinstance(parsed, tuple):
            # The client would parse a body of the response to HEAD as the next response.
            keep_alive = await self._write_reply(parsed, keep_alive, head_only=message.method == "HEAD")
        else:
            del message
            keep_alive = await self._handle_request(parsed, keep_alive)
        if keep_alive and (self.replies_ahead or self.error_ahead is not None):
            keep_alive = await self._write_replies_ahead()
        self.is_busy, self.idle_since_s = False, IOLoop.current().time()
        self.server.close_if_draining(self)
        return keep_alive

    async def _write_reply(self, reply: HttpReply, keep_alive: bool, head_only: bool) -> bool:
        status, body, *headers = reply
        await self.http_stream.write(
            encode_response(status, body, keep_alive, head_only, *headers), WRITE_STALL_TIMEOUT_S
        )
        return keep_alive

    async def _handle_request(self, parsed: JobRequest, keep_alive: bool) -> bool:
        """Answers a request for the core; returns whether the connection is kept alive."""
        self.is_client = True
        parsed = self._without_backlog_wait(parsed)
        if self.http_stream.has_peer_closed():  # the client left before its request was read
            return False
        if not self.server.is_rejecting and self.server.admit_request(len(parsed.body)):
            self.server.request_manager.post(RequestSubmitted(parsed, self))
            return await self._await_answer(parsed, keep_alive)
        self.server.request_manager.post(RequestRejected(parsed.cls))
        return await self._write_answer(
            FinalAnswer("refused", retry_after_ms=self.server.retry_after_ms), keep_alive
        )

    def _without_backlog_wait(self, request: JobRequest) -> JobRequest:
        """Reduces the budget of a request by the time that it may have waited in the listen backlog."""
        wait_s, self.backlog_wait_s = self.backlog_wait_s, 0.0
        if not wait_s or IOLoop.current().time() - self.accepted_s > FRESH_CONNECTION_S:
            return request  # sent after the connection was accepted
        return dataclasses.replace(request, budget=max(0.0, request.budget - wait_s * 1000.0))

    async def _await_answer(self, request: JobRequest, keep_alive: bool) -> bool:
        """Waits for the answer and writes it; returns whether the connection is kept alive."""
        self.pending_request = request, keep_alive
        # Reading ahead notices if the client closes.
        self.http_stream.start_read_ahead(
            self.http_stream.parser.data, READ_AHEAD_BYTES, self._make_room_ahead
        )
        answer = await self.mailbox.get()
        self.http_stream.stop_read_ahead()
        self.pending_request = None
        self.server.release_request()
        if answer is None:
            self.server.request_manager.post(ClientDisconnected(request.id, self))
            return False
        self.answered_id = request.id
        del request
        return await self._write_answer(answer, keep_alive)

    def _make_room_ahead(self) -> None:
        """Reads the requests that lie behind the waiting one, more than READ_AHEAD_BYTES, and rejects them.

        Otherwise the close of a client would stay behind them in the kernel, and its waiting request would be
        sent on.
        """
        parser = self.http_stream.parser
        if self.error_ahead is not None or self.closes_ahead or len(self.replies_ahead) >= MAX_REPLIES_AHEAD:
            return
        try:
            for _ in range(MAX_READ_AHEAD_AT_ONCE):
                message = parser.next_message()
                if message is None:
                    break
                self.replies_ahead.append(self._reply_ahead(message))
                self.closes_ahead = not message.keep_alive
                if self.closes_ahead:
                    break
        except HttpError as error:
            self.error_ahead = error.status, str(error)
        self.http_stream.charge_input()

    def _reply_ahead(self, message: HttpMessage) -> bytes:
        """Returns the response to a request that is read before the one ahead of it is answered."""
        parsed = self.server.frontend.parse_request(message)
        if isinstance(parsed, tuple):
            status, body, *headers = parsed
            return encode_response(status, body, message.keep_alive, message.method == "HEAD", *headers)
        self.server.end_counts["read_ahead"] += 1
        self.server.request_manager.post(RequestRejected(parsed.cls))
        answer = FinalAnswer("refused", retry_after_ms=self.server.retry_after_ms)
        return self.server.frontend.render_answer(answer, message.keep_alive)

    async def _write_replies_ahead(self) -> bool:
        """Writes the responses to requests that were read ahead; returns whether another one may follow.

        Raises HttpError if the input behind them is malformed.
        """
        replies, self.replies_ahead = self.replies_ahead, []
        for reply in replies:
            await self.http_stream.write(reply, WRITE_STALL_TIMEOUT_S)
        if self.error_ahead is not None:
            raise HttpError(*self.error_ahead)
        return not self.closes_ahead

    async def _write_answer(self, answer: FinalAnswer, keep_alive: bool) -> bool:
        keep_alive = keep_alive and not self.server.is_closing
        await self.http_stream.write(
            self.server.frontend.render_answer(answer, keep_alive), WRITE_STALL_TIMEOUT_S
        )
        return keep_alive

    async def _resume_request(self, request: JobRequest, keep_alive: bool) -> bool:
        self.is_busy = self.has_sent_request = True
        keep_alive = await self._await_answer(request, keep_alive)
        self.is_busy, self.idle_since_s = False, IOLoop.current().time()
        self.server.close_if_draining(self)
        return keep_alive

    async def _reject_malformed(self, error: HttpError) -> None:
        self.server.end_counts[f"status_{error.status}"] += 1
        with suppress(StreamClosedError):
            await self.http_stream.write(
                encode_response(error.status, str(error).encode(), keep_alive=False), WRITE_STALL_TIMEOUT_S
            )

    def detach(self, max_bytes: int) -> tuple[int, bytes] | None:
        """Prepares the connection for transfer to another process.

        Returns a duplicate of its descriptor and the input already read of its next request (at most
        max_bytes), or None if it cannot be transferred now: a message that has begun must first be read
        completely, and an answer that is ready must first be written. A connection that is waiting for its
        answer can be transferred; this process then no longer answers it.
        """
        parser, awaits_answer = (
            self.http_stream.parser,
            self.pending_request is not None and self.mailbox.empty(),
        )
        if (
            self.is_finished
            or self.awaits_proxy_header
            or self.replies_ahead
            or self.error_ahead is not None
            or parser.head is not None
            or self.http_stream.stream.closed()
            or (len(parser.data) > max_bytes - READ_AHEAD_BYTES)
            or (not awaits_answer and (self.is_busy or not self.http_stream.is_waiting_for_input()))
        ):
            return None
        if awaits_answer:
            self.http_stream.collect_read_ahead()
        fd, data = os.dup(self.http_stream.stream.socket.fileno()), bytes(parser.data)
        parser.data.clear()
        self.http_stream.close()  # the duplicate keeps the connection open
        return fd, data

    def shed_bytes(self) -> int:
        """Returns the bytes of an incomplete request that may be given up."""
        parser = self.http_stream.parser
        is_kept = parser.head is not None and parser.head.target in self.server.frontend.kept_targets
        if self.is_busy or self.is_finished or self.awaits_proxy_header or is_kept:
            return 0
        return parser.held_bytes()

    def shed(self) -> None:
        """Gives up an incomplete request: it is answered as rejected."""
        self.server.end_counts["memory"] += 1
        self.is_finished = True
        self.http_stream.reject_input(self.server.encode_rejection(), LINGER_TIMEOUT_S)

    def has_unfinished_request(self) -> bool:
        """Returns whether a request is being read or answered."""
        return self.is_busy or not (self.is_finished or self.http_stream.parser.is_idle())

    @property
    def last_activity_s(self) -> float:
        """Returns the loop time of the accept, the last answer or the last input, whichever is latest.

        Input counts, so a message that is still arriving is not treated as stalled.
        """
        return max(self.idle_since_s, self.http_stream.last_read_s)

    def eviction_rank(self, inactive_s: float) -> int | None:
        """Returns the rank for the connection table, or None while a request is being answered."""
        if self.is_finished:
            return RANK_FINISHED
        if self.is_busy:
            return None
        if not self.http_stream.parser.is_idle():
            return RANK_PARTIAL if inactive_s > self.server.partial_message_grace_s else None
        if not self.has_sent_request:
            return None if self.is_fresh() else RANK_SILENT
        return RANK_STALE if inactive_s > EVICTION_GRACE_S else RANK_IDLE

    def is_fresh(self) -> bool:
        """Returns whether the first request of a new connection may be on its way.

        A client whose request met the close of an idle connection sends it again on a new one, once: if that
        one is closed too, the request is lost.
        """
        is_silent = not self.has_sent_request and self.http_stream.parser.is_idle()
        age_s = IOLoop.current().time() - self.accepted_s
        return is_silent and not self.is_finished and age_s < self.server.fresh_connection_s

    def has_no_pending_input(self) -> bool:
        """Returns whether the connection has no unread input and the peer has not closed."""
        return self.http_stream.has_no_pending_input()

    def close(self) -> None:
        """Closes the connection at once.

        No request should be waiting for its answer; if one is, it is passed to the server's
        on_unanswered_close.
        """
        if self.pending_request is not None and not self.http_stream.stream.closed():
            self.server.on_unanswered_close(self.pending_request[0].id)
        self.http_stream.close()
