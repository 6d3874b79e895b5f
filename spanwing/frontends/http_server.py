"""HTTP listeners, whose connections clients, workers with call-backs, or tools have opened.

A frontend converts the messages. The server owns the listening socket, bounds the connections, drains them
and transfers them during a hot restart.
"""

from __future__ import annotations

import math
import socket
from collections import Counter
from collections.abc import Callable
from contextlib import suppress

from tornado.ioloop import IOLoop

from spanwing.actor import spawn_task
from spanwing.core.messages import AttemptListener, FinalAnswer, JobRequest
from spanwing.frontends.http_connection import FRESH_CONNECTION_S, HttpClientConnection, HttpFrontend
from spanwing.net.address import Address, listen
from spanwing.net.buffers import BufferPool
from spanwing.net.connection_table import (
    EVICTION_GRACE_S,
    RANK_IDLE,
    RANK_SILENT,
    READ_AHEAD_BYTES,
    ConnectionTable,
)
from spanwing.net.proxied_connections import Network, is_proxy_source, peer_address_of
from spanwing.net.tcp_stream import TcpStream
from spanwing.resources.memory_account import REQUEST_BYTES

ACCEPT_RETRY_S = 0.005  # retry of a connection that waits for room in a full table
FULL_TABLE_RETRY_AFTER_MS = 100.0  # Retry-After for a client that is rejected by a full table


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
        self.end_counts: Counter[str] = Counter()  # connections ended and requests rejected, by reason
        self.table.on_evicted = lambda: self.end_counts.update(("evicted",))
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
        self.end_counts["table_full"] += 1
        with suppress(OSError):
            sock.send(self.encode_rejection())
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

    def admit_request(self, body_bytes: int) -> bool:
        """Counts a client's request as pending; returns False if too many are, or if they hold too much.

        Clients may use two thirds of the table; the rest is reserved for call-backs.
        """
        if not self.buffers.account.has_room(REQUEST_BYTES + body_bytes):
            self.end_counts["memory"] += 1
            return False
        has_room = self.pending_requests < self.table.max_connections * 2 // 3
        self.pending_requests += has_room
        return has_room

    def encode_rejection(self) -> bytes:
        """Returns the response to a request that is rejected by a full table or for want of memory."""
        return self.frontend.render_answer(FinalAnswer("refused", retry_after_ms=self.retry_after_ms), False)

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
