"""Client connections over HTTP: an actor for each connection that clients or workers have opened."""

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
ACCEPT_RETRY_S = 0.005  # single-request frontends: a new connection without room is retried after this
FRESH_CONNECTION_S = 0.1  # a client has sent its first request this long after connecting
FULL_TABLE_RETRY_AFTER_MS = 100.0  # Retry-After for a client that finds no room


class HttpFrontend(Protocol):
    """Parses messages: a request goes to the core, a reply is the immediate answer."""

    def parse_request(self, message: HttpMessage) -> JobRequest | HttpReply:
        """Converts a message to a request for the core, or to the immediate reply."""

    def render_answer(self, answer: FinalAnswer, keep_alive: bool) -> bytes:
        """Encodes a final answer as a response."""


class HttpClientConnection:
    """One connection: a request at a time, answered before the next is read."""

    def __init__(
        self, server: HttpServer, stream: IOStream, peer_address: str = "", awaits_proxy_header: bool = False
    ) -> None:
        self.peer_address, self.awaits_proxy_header = (
            peer_address,
            awaits_proxy_header,
        )  # the client's address, and whether a PROXY header is due
        self.server, self.http = server, HttpStream(stream, server.buffers)
        self.mailbox: Queue[FinalAnswer | None] = Queue()  # None: the peer has closed
        self.has_sent_request = False  # it has sent a complete request
        self.is_client = False  # it carried a client's request
        self.is_busy = False
        self.is_finished = False
        self.pending_request: tuple[JobRequest, bool] | None = (
            None  # the request that awaits its answer, and keep_alive
        )
        self.idle_since_s = self.accepted_s = IOLoop.current().time()
        self.backlog_wait_s = 0.0  # how long the connection waited to be accepted, at most
        stream.set_close_callback(lambda: self.mailbox.put_nowait(None))

    def answer(self, request: JobRequest, answer: FinalAnswer) -> None:
        """Receives the final answer from the core."""
        self.mailbox.put_nowait(answer)

    async def serve(self) -> None:
        """Reads and answers requests until the connection ends."""
        try:
            if self.awaits_proxy_header:
                peer = await read_peer_address(
                    self.http, self.http.parser.data, MESSAGE_TIMEOUT_S, self.peer_address
                )
                if peer is None:
                    return
                self.peer_address, self.awaits_proxy_header = (
                    peer,
                    False,
                )  # an ordinary connection from here on, also for a successor
            keep_alive = True
            if self.pending_request is not None:  # taken over from another process
                keep_alive = await self._resume_request(*self.pending_request)
            while keep_alive:
                message = await self.http.receive(MESSAGE_TIMEOUT_S, is_fresh=not self.has_sent_request)
                if message is None:
                    return
                self.has_sent_request = self.is_busy = True
                keep_alive = await self._handle_request(message)
                self.is_busy, self.idle_since_s = False, IOLoop.current().time()
                self.server.close_if_draining(self)
                if not self.http.parser.is_idle():
                    await sleep(0)  # a peer that pipelines requests must not monopolize the loop
        except HttpError as error:
            await self._reject_malformed(error)
        except ProxyError as error:
            log_event("proxy", level="warning", peer=self.peer_address, reason=str(error))
        except StreamClosedError:
            return
        finally:
            self.is_busy, self.is_finished = False, True
            await self.http.close_gracefully(LINGER_TIMEOUT_S)
            self.server.table.connections.discard(self)

    async def _handle_request(self, message: HttpMessage) -> bool:
        """Answers one request; returns whether the connection continues."""
        keep_alive = message.keep_alive and not self.server.is_single_request
        parsed = self.server.frontend.parse_request(message)
        if isinstance(parsed, tuple):
            status, body, *headers = parsed
            head_only = message.method == "HEAD"  # a body would be taken for the next response
            await self.http.write(
                encode_response(status, body, keep_alive, head_only, *headers), WRITE_STALL_TIMEOUT_S
            )
            return keep_alive
        self.is_client = True
        parsed = self._without_backlog_wait(parsed)
        if self.http.has_peer_closed():  # the client left while its request was unread
            return False
        if not self.server.is_rejecting and self.server.admit_request():
            self.server.request_manager.post(RequestSubmitted(parsed, self))
            return await self._await_answer(parsed, keep_alive)
        self.server.request_manager.post(RequestRejected(parsed.cls))
        return await self._write_answer(
            FinalAnswer("refused", retry_after_ms=self.server.retry_after_ms), keep_alive
        )

    def _without_backlog_wait(self, request: JobRequest) -> JobRequest:
        """Takes off a request's time what it may have waited before its connection was accepted."""
        wait_s, self.backlog_wait_s = self.backlog_wait_s, 0.0
        if not wait_s or IOLoop.current().time() - self.accepted_s > FRESH_CONNECTION_S:
            return request  # it was sent later
        return dataclasses.replace(request, budget=max(0.0, request.budget - wait_s * 1000.0))

    async def _await_answer(self, request: JobRequest, keep_alive: bool) -> bool:
        """Waits for the answer and writes it; returns whether the connection continues."""
        self.pending_request = request, keep_alive
        self.http.start_read_ahead(self.http.parser.data, READ_AHEAD_BYTES)  # notices a client that closes
        answer = await self.mailbox.get()
        self.http.stop_read_ahead()
        self.pending_request = None
        self.server.release_request()
        if answer is None:
            self.server.request_manager.post(ClientDisconnected(request.id, self))
            return False
        return await self._write_answer(answer, keep_alive)

    async def _write_answer(self, answer: FinalAnswer, keep_alive: bool) -> bool:
        keep_alive = keep_alive and not self.server.is_closing
        await self.http.write(self.server.frontend.render_answer(answer, keep_alive), WRITE_STALL_TIMEOUT_S)
        return keep_alive

    async def _resume_request(self, request: JobRequest, keep_alive: bool) -> bool:
        self.is_busy = self.has_sent_request = True
        keep_alive = await self._await_answer(request, keep_alive)
        self.is_busy, self.idle_since_s = False, IOLoop.current().time()
        self.server.close_if_draining(self)
        return keep_alive

    async def _reject_malformed(self, error: HttpError) -> None:
        with suppress(StreamClosedError):
            await self.http.write(
                encode_response(error.status, str(error).encode(), keep_alive=False), WRITE_STALL_TIMEOUT_S
            )

    def detach(self, max_bytes: int) -> tuple[int, bytes] | None:
        """Prepares the connection for transfer to another process.

        Returns a duplicate of its descriptor and what was read of its next request (at most max_bytes), or
        None if it cannot be transferred now: a message that has begun must be read completely, an answer must
        be written. A connection that awaits its answer can be transferred, and the answer is no longer owed
        here.
        """
        parser, awaits_answer = self.http.parser, self.pending_request is not None and self.mailbox.empty()
        if (
            self.is_finished
            or self.awaits_proxy_header
            or parser.head is not None
            or self.http.stream.closed()
            or (len(parser.data) > max_bytes - READ_AHEAD_BYTES)
            or (not awaits_answer and (self.is_busy or not self.http.is_waiting_for_input()))
        ):
            return None
        if awaits_answer:
            self.http.collect_read_ahead()
        fd, data = os.dup(self.http.stream.socket.fileno()), bytes(parser.data)
        parser.data.clear()
        self.http.close()  # closes only this process's descriptor; the peer does not notice
        return fd, data

    def has_unfinished_request(self) -> bool:
        """Returns whether a request here is being read or answered."""
        return self.is_busy or not (self.is_finished or self.http.parser.is_idle())

    @property
    def last_activity_s(self) -> float:
        """Returns the loop time of the accept, the last answer or the last input.

        A message that still grows is therefore not stalled.
        """
        return max(self.idle_since_s, self.http.last_read_s)

    def eviction_rank(self, inactive_s: float) -> int | None:
        """Returns the rank for the connection table; None while a request is answered."""
        if self.is_finished:
            return RANK_FINISHED
        if self.is_busy:
            return None
        if not self.http.parser.is_idle():
            return RANK_PARTIAL if inactive_s > self.server.partial_message_grace_s else None
        if not self.has_sent_request:
            return RANK_SILENT
        return RANK_STALE if inactive_s > EVICTION_GRACE_S else RANK_IDLE

    def has_no_pending_input(self) -> bool:
        """Returns whether nothing unread has come."""
        return self.http.has_no_pending_input()

    def close(self) -> None:
        """Closes the connection at once; never while a request awaits its answer."""
        if self.pending_request is not None and not self.http.stream.closed():
            self.server.on_unanswered_close(self.pending_request[0].id)
        self.http.close()


class HttpServer:
    """Listens for one frontend and owns its connections."""

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
        self.partial_message_grace_s = (
            partial_message_grace_s  # if the table is full, an incomplete request may be cut off after this
        )
        self.frontend, self.request_manager, self.buffers = frontend, request_manager, buffers
        self.retry_after_ms = min(
            FULL_TABLE_RETRY_AFTER_MS, max_retry_after_ms
        )  # 0: the settings allow no Retry-After
        self.table: ConnectionTable[HttpClientConnection] = ConnectionTable(max_connections)
        self.pending_requests = 0  # client requests in the core
        #: Called with the id of a request that is owed an answer as its connection is closed from here.
        self.on_unanswered_close: Callable[[str], None] = lambda _: None
        self.is_closing = False  # a client's next answer is the last on its connection
        self.is_draining = False  # also closes connections between requests
        self.is_rejecting = False  # also rejects new requests
        self.has_stopped_accepting = False  # no connection is accepted any more
        self.is_sharing = False  # another process accepts here too, or will: accepts only while there is room
        self.listening_socket = listen(address, self._accept, shared_socket)
        self.address = self.listening_socket.address

    def _accept(self, sock) -> None:
        if not self.table.make_room():
            if self.is_single_request:
                # The present ones have unread input; by the next turn of the loop one of them can be evicted.
                self.set_accepting(False)
                IOLoop.current().call_later(ACCEPT_RETRY_S, self._accept_waiting, sock)
                return
            with suppress(OSError):
                sock.send(
                    self.frontend.render_answer(
                        FinalAnswer("refused", retry_after_ms=self.retry_after_ms), False
                    )
                )
            sock.close()
            return
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

    def _accept_waiting(self, sock: socket.socket) -> None:
        """Accepts the connection that found no room, before any other."""
        self.set_accepting(True)
        self._accept(sock)

    def set_sharing(self, is_sharing: bool) -> None:
        """Sets whether another process still accepts on this socket.

        Meanwhile a connection that finds no room waits in the backlog, as there will be room soon.
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
        """Continues a connection that another process transferred; both processes' limits hold.

        pending_request is the request that awaits its answer, and whether the connection continues after it.
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
        connection.http.parser.data += data
        self.table.connections.add(connection)
        spawn_task(connection.serve())
        return connection

    def set_accepting(self, is_accepting: bool) -> None:
        """Pauses or resumes accepting."""
        self.listening_socket.set_accepting(is_accepting)

    def admit_request(self) -> bool:
        """Reserves a place for a client's request; returns False if there is none.

        A third of the table is left for callbacks.
        """
        has_room = self.pending_requests < self.table.max_connections * 2 // 3
        self.pending_requests += has_room
        return has_room

    def release_request(self) -> None:
        """Frees the place of a client's request."""
        self.pending_requests -= 1

    def close_if_draining(self, connection: HttpClientConnection) -> None:
        """Closes a client's connection between requests if a drain is on."""
        if (
            self.is_draining and connection.is_client and connection.has_no_pending_input()
        ):  # else its input is read and answered
            connection.http.close()

    def has_unanswered_requests(self) -> bool:
        """Returns whether a client's request is being read or answered, is unread or may be under way.

        It may be under way on a connection opened less than FRESH_CONNECTION_S ago, once no other can come.
        """
        fresh_since_s = (
            IOLoop.current().time() - FRESH_CONNECTION_S if self.has_stopped_accepting else math.inf
        )
        return any(
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
        self.listening_socket.accept_pending_and_close()

    def announce_drain(self) -> None:
        """Starts a drain: with its next answer each client is notified to use another connection."""
        self.is_closing = True

    def cancel_drain(self) -> None:
        """Ends the drain."""
        self.is_closing = self.is_draining = self.is_rejecting = False

    def close(self) -> None:
        """Stops listening and closes all connections; for frontends that answer at once."""
        self.listening_socket.close()
        for each in list(self.table.connections):
            each.close()

    def drain(self, reject_new: bool = False) -> None:
        """Closes clients' connections between requests; callback connections and the listener stay."""
        self.is_closing = self.is_draining = True
        self.is_rejecting |= reject_new
        for each in list(self.table.connections):
            if each.is_client and not each.has_unfinished_request() and each.has_no_pending_input():
                each.close()
