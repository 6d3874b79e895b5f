"""Accepts connections on a listening socket, and keeps accepting after accept() has failed.

A connection that broke before it was accepted is skipped. If the system is out of descriptors or memory, or
if accept() fails MAX_FAILED_ACCEPTS times in a row for whatever reason, accepting pauses for ACCEPT_PAUSE_S
while connections wait in the backlog.
"""

from __future__ import annotations

import errno
import logging
import socket
from collections.abc import Callable

from tornado.ioloop import IOLoop

logger = logging.getLogger("spanwing")

MAX_ACCEPTS_PER_ITERATION = 16  # per iteration of the event loop, so that open connections are served too
MAX_FAILED_ACCEPTS = 16  # in a row, with errors that need not concern the next connection
ACCEPT_PAUSE_S = 0.05  # without a pause, a listener that lacks resources would keep the event loop busy
#: The system is out of descriptors or memory; the connection stays in the backlog.
NO_RESOURCE_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


class ConnectionAcceptor:
    """Accepts connections on a listening socket while it is started."""

    def __init__(
        self, listening_socket: socket.socket, on_connection: Callable[[socket.socket], None]
    ) -> None:
        self.listening_socket, self.on_connection = listening_socket, on_connection
        self.loop = IOLoop.current()
        self.is_started = False
        self.pause_timer: object | None = None
        self.failed_accepts = 0  # in a row
        self.has_paused = False  # since accept() last succeeded
        #: Since when connections may have waited in the backlog; None: it was empty when last checked.
        self.waiting_since_s: float | None = None

    def start(self) -> None:
        """Starts accepting."""
        if not self.is_started:
            self.is_started = True
            self._add_handler()

    def stop(self) -> None:
        """Stops accepting; new connections wait in the backlog."""
        if not self.is_started:
            return
        self.is_started = False
        self.waiting_since_s = self.waiting_since_s or self.loop.time()
        if self.pause_timer is not None:
            self.loop.remove_timeout(self.pause_timer)
            self.pause_timer = None
        else:
            self.loop.remove_handler(self.listening_socket)

    def accept_pending(self) -> None:
        """Accepts the connections in the backlog, unless it is stopped or accept() fails in a row."""
        failures = 0
        while self.is_started and failures < MAX_FAILED_ACCEPTS:
            try:
                connection, _ = self.listening_socket.accept()
            except BlockingIOError:
                return
            except OSError:
                failures += 1
                continue
            failures = 0
            self.on_connection(connection)

    def backlog_wait_s(self) -> float:
        """Returns the longest time in seconds that the connection being accepted may have waited."""
        return 0.0 if self.waiting_since_s is None else self.loop.time() - self.waiting_since_s

    def _add_handler(self) -> None:
        self.pause_timer = None
        self.loop.add_handler(self.listening_socket, self._accept, IOLoop.READ)

    def _accept(self, *_: object) -> None:
        for _ in range(MAX_ACCEPTS_PER_ITERATION):
            if not self.is_started:
                return
            try:
                connection, _ = self.listening_socket.accept()
            except BlockingIOError:
                self.waiting_since_s = None
                if not self.has_paused:
                    self.failed_accepts = 0
                return
            except OSError as error:
                if self._handle_failure(error):
                    return
                continue  # the connection broke before it was accepted (accept(2))
            if self.has_paused:
                logger.warning("accept() succeeds again after %d failures", self.failed_accepts)
            self.failed_accepts, self.has_paused = 0, False
            self.on_connection(connection)

    def _handle_failure(self, error: OSError) -> bool:
        """Notes a failure of accept(); returns whether accepting pauses, as the next call would fail too.

        The connection may wait in the backlog still, whatever the error is, so its wait begins here.
        """
        self.failed_accepts += 1
        self.waiting_since_s = self.waiting_since_s or self.loop.time()
        lacks_resources = error.errno in NO_RESOURCE_ERRORS
        if not lacks_resources and self.failed_accepts < MAX_FAILED_ACCEPTS:
            return False
        self.loop.remove_handler(self.listening_socket)
        self.pause_timer = self.loop.call_later(ACCEPT_PAUSE_S, self._add_handler)
        if not self.has_paused:
            self.has_paused = True
            if lacks_resources:
                logger.warning("accept() failed: %s; retrying until resources are available", error)
            else:
                logger.warning("accept() failed %d times: %s; retrying", self.failed_accepts, error)
        return True
