"""HTTP listeners and their connections, which are opened by clients, by workers for call-backs, or by tools.

A frontend converts the messages. The server owns the listening socket, bounds the connections, drains them
and transfers them during a hot restart.
"""

from __future__ import annotations

import dataclasses
import math
import os
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol

from tornado.gen import sleep
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError
from tornado.queues import Queue

from spanwing.actor import spawn_task
from spanwing.core.messages import (
    AttemptListener,
    ClientDisconnected,
    FinalAnswer,
    JobRequest,
    RequestRejected,
    RequestSubmitted,
)
from spanwing.log import log_event
from spanwing.net.address import Address, listen
from spanwing.net.buffers import BufferPool
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
    ConnectionTable,
)
from spanwing.net.http import HttpError, HttpMessage, HttpStream, encode_response
from spanwing.net.proxied_connections import Network, is_proxy_source, peer_address_of, read_peer_address
from spanwing.net.proxy_protocol import ProxyError
from spanwing.net.tcp_stream import TcpStream

HttpReply = tuple[int, bytes] | tuple[int, bytes, dict[str, str]]  # status, body, headers
ACCEPT_RETRY_S = 0.005  # retry of a connection that waits for room in a full table
FRESH_CONNECTION_S = 0.1  # a client is assumed to send its first request within this after connecting
FULL_TABLE_RETRY_AFTER_MS = 100.0  # Retry-After for a client that is rejected by a full table


class HttpFrontend(Protocol):
    """Converts between HTTP messages and the core's requests and answers."""

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
        self.server, self.http_stream = server, HttpStream(stream, server.buffers)
        self.mailbox: Queue[FinalAnswer | None] = Queue()  # None: the peer has closed
        self.has_sent_request = False  # a complete request was received
        self.is_client = False  # the connection has carried a client's request
        self.is_busy = False
        self.is_finished = False
        #: The request that is waiting for its answer, and whether the connection is kept alive after it.
        self.pending_request: tuple[JobRequest, bool] | None = None
        self.idle_since_s = self.accepted_s = IOLoop.current().time()
        self.backlog_wait_s = 0.0  # longest time that the connection may have waited to be accepted
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
            while keep_alive:
                message = await self.http_stream.receive(
                    MESSAGE_TIMEOUT_S, is_fresh=not self.has_sent_request
                )
                if message is None:
                    return
                self.has_sent_request = self.is_busy = True
                self.server.retry_waiting_connection()
                keep_alive = await self._handle_request(message)
                self.is_busy, self.idle_since_s = False, IOLoop.current().time()
                self.server.close_if_draining(self)
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
            self.server.retry_waiting_connection()
            await self.http_stream.close_gracefully(LINGER_TIMEOUT_S)
            self.server.table.connections.discard(self)

    async def _handle_request(self, message: HttpMessage) -> bool:
        """Answers one request; returns whether the connection is kept alive."""
        keep_alive = message.keep_alive and not self.server.is_single_request
        parsed = self.server.frontend.parse_request(message)
        if isinstance(parsed, tuple):
            status, body, *headers = parsed
            head_only = message.method == "HEAD"  # the client would parse a body as the next response
            await self.http_stream.write(
                encode_response(status, body, keep_alive, head_only, *headers), WRITE_STALL_TIMEOUT_S
            )
            return keep_alive
        self.is_client = True
        parsed = self._without_backlog_wait(parsed)
        if self.http_stream.has_peer_closed():  # the client left before its request was read
            return False
        if not self.server.is_rejecting and self.server.admit_request():
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
        self.http_stream.start_read_ahead(self.http_stream.parser.data, READ_AHEAD_BYTES)
        answer = await self.mailbox.get()
        self.http_stream.stop_read_ahead()
        self.pending_request = None
        self.server.release_request()
        if answer is None:
            self.server.request_manager.post(ClientDisconnected(request.id, self))
            return False
        return await self._write_answer(answer, keep_alive)

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


class HttpServer:
    """Listens on behalf of one frontend and owns its connections."""

    def __init__(
        self,
        address: Address,
        frontend: HttpFrontend,
        request_manager: AttemptListener,
        buffers: BufferPool,
        max_connections: int,
        max_retry_after_ms: float = 0.0,
        proxy_sources: tuple[Network, ...] = (),
        shared_socket: socket.socket | None = None,
        is_single_request: bool = False,
        partial_message_grace_s: float = EVICTION_GRACE_S,
    ) -> None:
        self.proxy_sources = proxy_sources
        self.is_single_request = is_single_request  # each connection carries one request
        #: How long a new connection is kept for its first request, even if the table is full.
        self.fresh_connection_s = 0.0 if is_single_request else FRESH_CONNECTION_S
        #: Inactivity after which a full table may close a connection with an incomplete request.
        self.partial_message_grace_s = partial_message_grace_s
        self.frontend, self.request_manager, self.buffers = frontend, request_manager, buffers
        #: Retry-After for clients rejected by a full table; 0 if the settings allow no Retry-After.
        self.retry_after_ms = min(FULL_TABLE_RETRY_AFTER_MS, max_retry_after_ms)
        self.table: ConnectionTable[HttpClientConnection] = ConnectionTable(max_connections)
        self.pending_requests = 0  # client requests that the core has not answered
        #: Called with the id of an unanswered request if this process closes its connection.
        self.on_unanswered_close: Callable[[str], None] = lambda _: None
        self.is_closing = False  # the next answer to a client closes its connection
        self.is_draining = False  # clients' connections are also closed between requests
        self.is_rejecting = False  # new requests are also rejected
        self.has_stopped_accepting = False
        self.is_accepting = True  # also while accepting is interrupted for waiting_socket
        #: An accepted connection that waits for room in a full table; no other is accepted before it.
        self.waiting_socket: socket.socket | None = None
        self.waiting_timer: object = None  # of the next look for room
        self.is_sharing = False  # another process accepts on this socket too, or is about to
        self.listening_socket = listen(address, self._accept, shared_socket)
        self.address = self.listening_socket.address

    def _accept(self, sock: socket.socket) -> None:
        if self.table.has_room():
            self._add_connection(sock)
            return
        may_wait = self.is_accepting and not self.has_stopped_accepting
        # A fresh connection can soon be evicted or has a request: until then only silent ones are closed.
        has_fresh = may_wait and any(each.is_fresh() for each in self.table.connections)
        if self.table.make_room(RANK_SILENT if has_fresh else RANK_IDLE):
            self._add_connection(sock)
        elif has_fresh or (may_wait and self.is_single_request):  # a single request is read and answered soon
            self.waiting_socket = sock
            self._update_accepting()
            self.waiting_timer = IOLoop.current().call_later(ACCEPT_RETRY_S, self._accept_waiting)
        else:
            self._reject_connection(sock)

    def retry_waiting_connection(self) -> None:
        """Looks for room for the waiting connection, as the state of another one has changed."""
        if self.waiting_socket is not None:
            IOLoop.current().add_callback(self._accept_waiting)

    def _accept_waiting(self) -> None:
        """Handles the connection that waits for room before any other is accepted."""
        sock, self.waiting_socket = self.waiting_socket, None
        if sock is not None:
            IOLoop.current().remove_timeout(self.waiting_timer)
            self._update_accepting()
            self._accept(sock)

    def _reject_connection(self, sock: socket.socket) -> None:
        with suppress(OSError):
            sock.send(
                self.frontend.render_answer(FinalAnswer("refused", retry_after_ms=self.retry_after_ms), False)
            )
        sock.close()

    def _add_connection(self, sock: socket.socket) -> None:
        peer_address = peer_address_of(sock) if self.proxy_sources else ""
        connection = HttpClientConnection(
            self,
            TcpStream(sock, max_buffer_size=READ_AHEAD_BYTES),
            peer_address,
            is_proxy_source(peer_address, self.proxy_sources),
        )
        connection.backlog_wait_s = self.listening_socket.backlog_wait_s()
        self.table.connections.add(connection)
        spawn_task(connection.serve())
        if self.is_sharing:
            self.set_sharing(True)

    def set_sharing(self, is_sharing: bool) -> None:
        """Sets whether another process accepts on this socket too.

        While it does, this process accepts only if its table has room. Other connections wait in the backlog
        instead of being rejected, as there will soon be room for them.
        """
        self.is_sharing = is_sharing
        if is_sharing:
            self.table.trim(self.table.max_connections - 1)
        self.set_accepting(not is_sharing or len(self.table.connections) < self.table.max_connections)

    def adopt_connection(
        self,
        connected_socket: socket.socket,
        data: bytes,
        has_sent_request: bool,
        is_client: bool,
        peer_address: str,
        pending_request: tuple[JobRequest, bool] | None = None,
    ) -> HttpClientConnection:
        """Continues a connection that another process has transferred, and returns it.

        The caller has raised the table's limit by one, as the other process has given the connection up.
        pending_request is the request that is waiting for its answer, and whether the connection is kept
        alive after it.
        """
        connection = HttpClientConnection(
            self, TcpStream(connected_socket, max_buffer_size=READ_AHEAD_BYTES), peer_address
        )
        connection.has_sent_request, connection.is_client, connection.pending_request = (
            has_sent_request,
            is_client,
            pending_request,
        )
        connection.is_busy = pending_request is not None
        self.pending_requests += connection.is_busy
        connection.http_stream.parser.data += data
        self.table.connections.add(connection)
        spawn_task(connection.serve())
        return connection

    def set_accepting(self, is_accepting: bool) -> None:
        """Pauses or resumes accepting."""
        self.is_accepting = is_accepting
        if not is_accepting:
            self._accept_waiting()
        self._update_accepting()

    def _update_accepting(self) -> None:
        self.listening_socket.set_accepting(self.is_accepting and self.waiting_socket is None)

    def admit_request(self) -> bool:
        """Counts a client's request as pending; returns False if too many are.

        Clients may use two thirds of the table; the rest is reserved for call-backs.
        """
        has_room = self.pending_requests < self.table.max_connections * 2 // 3
        self.pending_requests += has_room
        return has_room

    def release_request(self) -> None:
        """Ends the count of a client's request as pending."""
        self.pending_requests -= 1

    def close_if_draining(self, connection: HttpClientConnection) -> None:
        """Closes a client's connection between requests during a drain; pending input is answered first."""
        if self.is_draining and connection.is_client and connection.has_no_pending_input():
            connection.http_stream.close()

    def has_unanswered_requests(self) -> bool:
        """Returns whether a request is being read or answered, is unread or may still arrive.

        Once the server has stopped accepting, a request may still arrive on a connection that was accepted
        less than FRESH_CONNECTION_S ago and has carried none.
        """
        fresh_since_s = (
            IOLoop.current().time() - FRESH_CONNECTION_S if self.has_stopped_accepting else math.inf
        )
        return self.waiting_socket is not None or any(
            each.has_unfinished_request()
            or (
                not each.is_finished
                and (
                    not each.has_no_pending_input()
                    or (each.idle_since_s > fresh_since_s and not each.has_sent_request)
                )
            )
            for each in self.table.connections
        )

    def stop_listening(self) -> None:
        """Accepts the backlog and stops listening."""
        self.has_stopped_accepting = True
        self._accept_waiting()
        self.listening_socket.accept_pending_and_close()

    def announce_drain(self) -> None:
        """Starts a drain: each client's next response carries `Connection: close`."""
        self.is_closing = True

    def cancel_drain(self) -> None:
        """Ends the drain."""
        self.is_closing = self.is_draining = self.is_rejecting = False

    def close(self) -> None:
        """Stops listening and closes all connections; for frontends that answer every request immediately."""
        self.has_stopped_accepting = True
        self._accept_waiting()
        self.listening_socket.close()
        for each in list(self.table.connections):
            each.close()

    def drain(self, reject_new: bool = False) -> None:
        """Closes clients' connections between requests, and rejects new requests if reject_new is set.

        Call-back connections and the listener stay open.
        """
        self.is_closing = self.is_draining = True
        self.is_rejecting |= reject_new
        for each in list(self.table.connections):
            if each.is_client and not each.has_unfinished_request() and each.has_no_pending_input():
                each.close()
