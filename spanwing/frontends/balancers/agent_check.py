"""Protocols whose client connects, reads one line and is closed: HAProxy's agent-check, and feedback agents.

A line is written at once, whatever the peer sends, sends partly, or does not send. After it the connection is
closed within CLOSE_TIMEOUT_S plus SWEEP_INTERVAL_S. At most MAX_CONNECTIONS at once; a further one evicts the
one answered longest ago.
"""

from __future__ import annotations

import socket
from collections.abc import Callable

from tornado.ioloop import IOLoop

from spanwing.health.state_machine import HealthVerdict
from spanwing.net.address import Address, ListeningSocket, listen
from spanwing.net.connection_table import RANK_FINISHED, ConnectionTable

MAX_CONNECTIONS = 12  # connections to one listener
CLOSE_TIMEOUT_S = 1.0
REQUEST_TIMEOUT_S = 0.5  # wait for a line that names a class
SWEEP_INTERVAL_S = 0.1  # between checks for expired connections
MAX_REQUEST_BYTES = 256  # length of that line


def agent_check_reply(verdict: HealthVerdict, class_name: str = "", maxconn: int | None = None) -> bytes:
    """Returns the reply of HAProxy's agent-check (configuration manual): words, and a comment where allowed.

    `ready` undoes an earlier `drain`; a weight of 0% keeps new sessions away. With class_name the reply is
    for that class alone.
    """
    if verdict.state in ("starting", "absent"):
        return f"down#{_comment_text(verdict.reason)}\n".encode()
    if verdict.state == "drained":
        return f"stopped#{_comment_text(verdict.reason)}\n".encode()
    if verdict.state == "draining":
        return b"drain\n"
    unserved_reason = dict(verdict.classes).get(class_name, "")
    if unserved_reason:
        return f"down#{_comment_text(unserved_reason)}\n".encode()
    limit = "" if maxconn is None else f" maxconn:{maxconn}"
    return f"ready up {verdict.weight}%{limit}\n".encode()


def feedback_reply(verdict: HealthVerdict, class_name: str = "", maxconn: int | None = None) -> bytes:
    """Returns the reply for feedback agents of IPVS-like balancers: a bare percentage, 0% for no new work."""
    weight = 0 if dict(verdict.classes).get(class_name, "") or not verdict.accepts_work else verdict.weight
    return b"%d%%\n" % weight


def _comment_text(reason: str) -> str:
    """Removes line ends, which would end the comment, and commas, which separate words."""
    return " ".join(reason.replace(",", ";").split())


class AgentCheckConnection:
    """One connection: answered, then drained until the peer has closed or its time is over."""

    def __init__(self, frontend: AgentCheckFrontend, sock: socket.socket) -> None:
        self.frontend, self.sock, self.loop = frontend, sock, IOLoop.current()
        self.is_finished, self.last_activity_s = False, self.loop.time()
        self.data = b""
        self.loop.add_handler(sock, self._handle_readable, IOLoop.READ)

    def send_reply(self, class_name: str) -> None:
        """Writes the line and closes the write side.

        Closing with unread input would send a reset, which may overtake the line: input is therefore
        discarded.
        """
        self.is_finished, self.last_activity_s = True, self.loop.time()
        line = self.frontend.make_reply(
            self.frontend.verdict(), class_name, self.frontend.maxconn and self.frontend.maxconn()
        )
        try:
            is_complete = self.sock.send(line) == len(
                line
            )  # the buffer is empty: all of it, or the peer is gone
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            is_complete = False
        if not is_complete:
            self.close()

    def _handle_readable(self, *_: object) -> None:
        """Reads once per turn of the loop, so that a fast sender cannot monopolize it."""
        try:
            data = self.sock.recv(4096)
        except BlockingIOError:
            return
        except OSError:
            self.close()
            return
        if not self.is_finished:
            self.data += data[: MAX_REQUEST_BYTES - len(self.data)]
            if not data or b"\n" in self.data or len(self.data) >= MAX_REQUEST_BYTES:
                self.send_reply(self.requested_class())
        if not data:  # end of input
            self.close()

    def requested_class(self) -> str:
        """Returns the class that `agent-send` names; empty: the whole daemon is meant."""
        return self.data.split(b"\n")[0].strip().decode("ascii", "replace")

    def enforce_timeouts(self, now: float) -> None:
        """Replies or closes if its time is over; called every SWEEP_INTERVAL_S."""
        if self.is_finished and now - self.last_activity_s >= CLOSE_TIMEOUT_S:
            self.close()
        elif not self.is_finished and now - self.last_activity_s >= REQUEST_TIMEOUT_S:
            self.send_reply(self.requested_class())

    def eviction_rank(self, inactive_s: float) -> int | None:
        """Returns RANK_FINISHED: any connection may be evicted."""
        return RANK_FINISHED  # its line is written or about to be

    def has_no_pending_input(self) -> bool:
        """Returns True: unread input never prevents an eviction."""
        return True

    def close(self) -> None:
        """Closes the connection and takes it off the table."""
        if self.sock.fileno() >= 0:
            self.loop.remove_handler(self.sock)
            self.sock.close()
            self.frontend.table.connections.discard(self)


class AgentCheckFrontend:
    """Listens for one of the two protocols.

    No coroutine, Future or stream is made for a check: they would cost several times the check itself.
    """

    def __init__(
        self,
        address: Address,
        verdict: Callable[[], HealthVerdict],
        make_reply: Callable[[HealthVerdict, str, int | None], bytes],
    ) -> None:
        self.verdict, self.make_reply = verdict, make_reply
        self.maxconn: Callable[[], int] | None = None  # value of `maxconn:`
        self.expects_class_name = False  # whether to wait for a line that names a class
        self.table: ConnectionTable[AgentCheckConnection] = ConnectionTable(MAX_CONNECTIONS)
        self.is_sweeping = False
        self.listening_socket: ListeningSocket = listen(address, self._accept)
        self.address = self.listening_socket.address

    def _accept(self, sock: socket.socket) -> None:
        if not self.table.make_room():
            sock.close()
            return
        connection = AgentCheckConnection(self, sock)
        self.table.connections.add(connection)
        if not self.expects_class_name:
            connection.send_reply("")
        if not self.is_sweeping and self.table.connections:
            self.is_sweeping = True
            IOLoop.current().call_later(SWEEP_INTERVAL_S, self._enforce_timeouts)

    def _enforce_timeouts(self) -> None:
        """Checks all connections with one timer."""
        now = IOLoop.current().time()
        for connection in list(self.table.connections):
            connection.enforce_timeouts(now)
        self.is_sweeping = bool(self.table.connections)
        if self.is_sweeping:
            IOLoop.current().call_later(SWEEP_INTERVAL_S, self._enforce_timeouts)

    def close(self) -> None:
        """Stops listening and closes all connections."""
        self.listening_socket.close()
        for connection in list(self.table.connections):
            connection.close()
