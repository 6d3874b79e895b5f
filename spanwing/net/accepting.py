"""Accepting connections although accept() fails: which errors pass, and the pause before the next try."""

from __future__ import annotations

import errno
import logging
import socket
from collections.abc import Callable

from tornado.ioloop import IOLoop

logger = logging.getLogger("spanwing")

MAX_ACCEPTS_PER_TURN = 16  # then what was sent on open connections is read
ACCEPT_PAUSE_S = 0.05  # with no descriptor or memory, the listener would be ready again at once
#: The system has no room; the connection stays in the backlog.
NO_RESOURCE_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


class ConnectionAcceptor:
    """Accepts on a listening socket while it is started."""

    def __init__(
        self, listening_socket: socket.socket, on_connection: Callable[[socket.socket], None]
    ) -> None:
        self.listening_socket, self.on_connection = listening_socket, on_connection
        self.loop = IOLoop.current()
        self.is_started = False
        self.pause_timer: object | None = None
        self.failed_accepts = 0  # in a row, for want of resources
        #: Since when connections have waited in the backlog, at most; None: they are accepted as they come.
        self.waiting_since_s: float | None = None

    def start(self) -> None:
        """Accepts from now on."""
        if not self.is_started:
            self.is_started = True
            self._add_handler()

    def stop(self) -> None:
        """Accepts no more; connections wait in the backlog."""
        if not self.is_started:
            return
        self.is_started = False
        self.waiting_since_s = self.waiting_since_s or self.loop.time()
        if self.pause_timer is not None:
            self.loop.remove_timeout(self.pause_timer)
            self.pause_timer = None
        else:
            self.loop.remove_handler(self.listening_socket)

    def backlog_wait_s(self) -> float:
        """Returns how long the connection that is being accepted may have waited, at most."""
        return 0.0 if self.waiting_since_s is None else self.loop.time() - self.waiting_since_s

    def _add_handler(self) -> None:
        self.pause_timer = None
        self.loop.add_handler(self.listening_socket, self._accept, IOLoop.READ)

    def _accept(self, *_: object) -> None:
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if not self.is_started:
                return
            try:
                connection, _ = self.listening_socket.accept()
            except BlockingIOError:
                self.waiting_since_s = None
                return
            except OSError as error:
                if error.errno in NO_RESOURCE_ERRORS:
                    self._pause(error)
                    return
                continue  # that connection broke before it was accepted (accept(2))
            if self.failed_accepts:
                logger.warning("accept succeeds again, after %d failures", self.failed_accepts)
                self.failed_accepts = 0
            self.on_connection(connection)

    def _pause(self, error: OSError) -> None:
        self.loop.remove_handler(self.listening_socket)
        self.pause_timer = self.loop.call_later(ACCEPT_PAUSE_S, self._add_handler)
        self.waiting_since_s = self.waiting_since_s or self.loop.time()
        if not self.failed_accepts:
            logger.warning("accept fails: %s", error)
        self.failed_accepts += 1
