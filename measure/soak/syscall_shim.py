"""Runs a scheduler with a shim that fails its socket calls and steps its wall clock.

    python -m measure.soak.syscall_shim SEED                             draws failures and clock steps
    python -m measure.soak.syscall_shim step:AT_S:BY_S                   steps the wall clock once
    python -m measure.soak.syscall_shim fail:CALL:ERROR:FROM_S:TO_S      fails one kind of call in one period

The errors are those that Linux documents for the call. A drawn period of failures lasts 0.05 to 1 s. Reads
and writes fail only on connections that the scheduler opened: on a client's connection, the injected error
itself would lose the request.
"""

from __future__ import annotations

import errno
import random
import socket
import sys
import time
import weakref
from collections.abc import Callable
from typing import Any, NamedTuple

SCRIPT_DURATION_S = 300.0  # from the start of the process; no failure begins much later
SPAN_GAP_S, SPAN_DURATION_S = (0.5, 6.0), (0.05, 1.0)  # shortest and longest
SCRIPT_START_S = 1.0  # from the start of the process
CLOCK_STEPS_S = (-3600.0, -5.0, -0.5, 0.5, 5.0, 3600.0)
ERRORS_BY_CALL = {
    "socket": (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM),
    "connect": (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ECONNREFUSED, errno.ETIMEDOUT),
    "accept": (errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM),
    "recv": (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET),
    "send": (errno.EPIPE, errno.ETIMEDOUT, errno.EHOSTUNREACH),
    "short": (0,),  # not an error: every connection reads and writes one byte at a time
}


class FailureSpan(NamedTuple):
    """A period, in seconds from the start of the process, in which this share of the calls fails."""

    begin_s: float
    end_s: float
    call: str
    error: int  # errno; 0 for short reads and writes
    share: float


def draw_script(seed: str) -> tuple[list[FailureSpan], list[tuple[float, float]]]:
    """Returns the periods of failures and the steps of the wall clock.

    Each step is a pair: seconds from the start of the process, and seconds by which the clock moves. The seed
    may also be one of the two explicit forms that the module describes.
    """
    if seed.startswith("step:"):
        _, at_s, by_s = seed.split(":")
        return [], [(float(at_s), float(by_s))]
    if seed.startswith("fail:"):
        _, call, error, from_s, to_s = seed.split(":")
        return [FailureSpan(float(from_s), float(to_s), call, getattr(errno, error), 1.0)], []
    rng, spans, steps, at_s = random.Random(seed), [], [], SCRIPT_START_S
    while at_s < SCRIPT_DURATION_S:
        at_s += rng.uniform(*SPAN_GAP_S)
        call = rng.choice(list(ERRORS_BY_CALL))
        end_s = at_s + rng.uniform(*SPAN_DURATION_S)
        spans.append(
            FailureSpan(at_s, end_s, call, rng.choice(ERRORS_BY_CALL[call]), rng.choice((0.2, 0.6, 1.0)))
        )
        if rng.random() < 0.1:
            steps.append((at_s, rng.choice(CLOCK_STEPS_S)))
    return spans, steps


class Shim:
    """Replaces socket methods and time.time; install() has to run before the scheduler's modules load."""

    def __init__(self, seed: str) -> None:
        self.spans, self.steps = draw_script(seed)
        self.rng, self.started_s = random.Random(f"{seed} calls"), time.monotonic()
        self.outgoing_sockets: weakref.WeakSet[socket.socket] = weakref.WeakSet()

    def current_error(self, call: str) -> int | None:
        """Draws whether this call fails now; returns its errno, 0 for a short read or write, or None."""
        elapsed_s = time.monotonic() - self.started_s
        for span in self.spans:
            if span.call == call and span.begin_s <= elapsed_s < span.end_s:
                return span.error if self.rng.random() < span.share else None
        return None

    def check(self, call: str) -> None:
        """Raises OSError if this call fails now."""
        error = self.current_error(call)
        if error:
            raise OSError(error, f"{errno.errorcode[error]} injected by the shim")

    def install(self) -> None:
        """Replaces the socket methods and time.time of this process."""
        socket_class = socket.socket
        original: dict[str, Callable[..., Any]] = {
            name: getattr(socket_class, name)
            for name in ("__init__", "connect", "accept", "recv_into", "recv", "send")
        }

        def init(sock: socket.socket, *args: Any, **kwargs: Any) -> None:
            if kwargs.get("fileno") is None and len(args) < 4:
                self.check("socket")
            original["__init__"](sock, *args, **kwargs)

        def connect(sock: socket.socket, address: Any) -> None:
            self.check("connect")
            self.outgoing_sockets.add(sock)
            original["connect"](sock, address)

        def accept(sock: socket.socket) -> Any:
            self.check("accept")
            return original["accept"](sock)

        def recv_into(sock: socket.socket, buffer: Any, *args: Any) -> int:
            if sock in self.outgoing_sockets:
                self.check("recv")
            if self.current_error("short") is not None and not args:
                buffer = memoryview(buffer)[:1]
            return original["recv_into"](sock, buffer, *args)

        def send(sock: socket.socket, data: Any, *args: Any) -> int:
            if sock in self.outgoing_sockets:
                self.check("send")
            if self.current_error("short") is not None:
                data = memoryview(data)[:1]
            return original["send"](sock, data, *args)

        for method in (connect, accept, recv_into, send):
            setattr(socket_class, method.__name__, method)
        socket_class.__init__ = init  # type: ignore[method-assign]
        wall_time = time.time

        def stepped_time() -> float:
            elapsed_s = time.monotonic() - self.started_s
            return wall_time() + sum(step_s for at_s, step_s in self.steps if at_s <= elapsed_s)

        time.time = stepped_time


if __name__ == "__main__":
    Shim(sys.argv.pop(1)).install()
    from spanwing.__main__ import main

    main()
