"""One-line health protocols: HAProxy's agent-check, and feedback agents of IPVS-like balancers.

The client connects, reads one line, and the connection is closed. The line is written at once, whatever the
client sends, unless the listener expects a line that names a class. After the line the connection is closed
within CLOSE_TIMEOUT_S plus TIMEOUT_CHECK_INTERVAL_S. A listener has at most MAX_CONNECTIONS; a further one
evicts the connection that was answered longest ago.
"""

from __future__ import annotations

import socket
from collections.abc import Callable

from tornado.ioloop import IOLoop

from spanwing.health.state_machine import HealthVerdict
from spanwing.net.address import Address, ListeningSocket, listen
from spanwing.net.connection_table import RANK_FINISHED, ConnectionTable

MAX_CONNECTIONS = 12  # connections to one listener
CLOSE_TIMEOUT_S = 1.0  # how long an answered connection may wait for the peer to close it
REQUEST_TIMEOUT_S = 0.5  # how long to wait for a line that names a class
TIMEOUT_CHECK_INTERVAL_S = 0.1
MAX_REQUEST_BYTES = 256  # length of the line that names a class


def agent_check_reply(verdict: HealthVerdict, class_name: str = "", maxconn: int | None = None) -> bytes:
    """Returns the reply to HAProxy's agent-check, in the words of HAProxy's configuration manual.

    `ready` revokes an earlier `drain`; a weight of 0% makes HAProxy send no new sessions. A class_name limits
    the reply to that class. maxconn adds the word `maxconn:`. The comment after `#` gives the reason.
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
    """Returns the reply to a feedback agent of IPVS-like balancers: a percentage, or 0% for no new work.

    maxconn is not used: the protocol has no place for it.
    """
    weight = 0 if dict(verdict.classes).get(class_name, "") or not verdict.accepts_work else verdict.weight
    return b"%d%%\n" % weight


def _comment_text(reason: str) -> str:
    """Replaces line ends, which would end the comment, and commas, which separate words of the reply."""
    return " ".join(reason.replace(",", ";").split())


class AgentCheckConnection:
    """One connection: it is answered, then read until the peer closes it or CLOSE_TIMEOUT_S has passed."""

    def __init__(self, frontend: AgentCheckFrontend, sock: socket.socket) -> None:
        self.frontend, self.sock, self.loop = frontend, sock, IOLoop.current()
        self.is_finished, self.last_activity_s = False, self.loop.time()
        self.data = b""
        self.loop.add_handler(sock, self._handle_readable, IOLoop.READ)

    def send_reply(self, class_name: str) -> None:
        """Writes the reply for the class, or for the whole daemon if empty, and shuts down the write side.

        The connection is not closed yet: closing it with unread input would send a reset, which may discard
        the line at the peer. Further input is read and discarded instead.
        """
        self.is_finished, self.last_activity_s = True, self.loop.time()
        line = self.frontend.make_reply(
            self.frontend.verdict(), class_name, self.frontend.maxconn and self.frontend.maxconn()
        )
        try:
            # The send buffer is empty, so it accepts the whole line unless the peer has gone.
            is_complete = self.sock.send(line) == len(line)
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            is_complete = False
        if not is_complete:
            self.close()

    def _handle_readable(self, *_: object) -> None:
        """Reads once per loop iteration, so that a fast sender cannot monopolize the loop."""
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
        """Returns the class that HAProxy's `agent-send` names; empty for the whole daemon."""
        return self.data.split(b"\n")[0].strip().decode("ascii", "replace")

    def enforce_timeouts(self, now_s: float) -> None:
        """Replies if REQUEST_TIMEOUT_S has passed, closes if CLOSE_TIMEOUT_S has.

        Called every TIMEOUT_CHECK_INTERVAL_S.
        """
        if self.is_finished and now_s - self.last_activity_s >= CLOSE_TIMEOUT_S:
            self.close()
        elif not self.is_finished and now_s - self.last_activity_s >= REQUEST_TIMEOUT_S:
            self.send_reply(self.requested_class())

    def eviction_rank(self, inactive_s: float) -> int | None:
        """Returns RANK_FINISHED: any connection may be evicted, as its line is written or about to be."""
        return RANK_FINISHED

    def has_no_pending_input(self) -> bool:
        """Returns True: unread input never prevents an eviction."""
        return True

    def close(self) -> None:
        """Closes the connection and removes it from the table."""
        if self.sock.fileno() >= 0:
            self.loop.remove_handler(self.sock)
            self.sock.close()
            self.frontend.table.connections.discard(self)


class AgentCheckFrontend:
    """The listener of one of the two protocols; make_reply returns the protocol's reply.

    It creates no coroutine, Future or stream for a check, as they would cost several times the check itself.
    """

    def __init__(
        self,
        address: Address,
        verdict: Callable[[], HealthVerdict],
        make_reply: Callable[[HealthVerdict, str, int | None], bytes],
    ) -> None:
        self.verdict, self.make_reply = verdict, make_reply
        self.maxconn: Callable[[], int] | None = None  # returns the value of `maxconn:`; None: not reported
        self.expects_class_name = False  # whether to wait for a line that names a class before the reply
        self.table: ConnectionTable[AgentCheckConnection] = ConnectionTable(MAX_CONNECTIONS)
        self.is_timer_running = False
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
        if not self.is_timer_running and self.table.connections:
            self.is_timer_running = True
            IOLoop.current().call_later(TIMEOUT_CHECK_INTERVAL_S, self._enforce_timeouts)

    def _enforce_timeouts(self) -> None:
        """Enforces the timeouts of all connections; one timer serves them all."""
        now_s = IOLoop.current().time()
        for connection in list(self.table.connections):
            connection.enforce_timeouts(now_s)
        self.is_timer_running = bool(self.table.connections)
        if self.is_timer_running:
            IOLoop.current().call_later(TIMEOUT_CHECK_INTERVAL_S, self._enforce_timeouts)

    def close(self) -> None:
        """Stops listening and closes all connections."""
        self.listening_socket.close()
        for connection in list(self.table.connections):
            connection.close()
