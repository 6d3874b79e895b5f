"""A scheduler whose system calls fail and whose wall clock is stepped, by a script drawn from a seed.

    python -m measure.soak.syscall_shim SEED
    python -m measure.soak.syscall_shim step:AT_S:BY_S      steps the wall clock once, and fails no call
    python -m measure.soak.syscall_shim fail:CALL:ERROR:FROM_S:TO_S      fails these calls alone

Errors are those that Linux documents. They come in spans of some hundred milliseconds. Only connections that
the scheduler opened itself break: on its clients' an error would be a lost request of the shim's making.
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

SCRIPT_S = 300.0
GAP_S, SPAN_S = (0.5, 6.0), (0.05, 1.0)
FIRST_FAULT_S = 1.0  # from the start of the process
STEPS_S = (-3600.0, -5.0, -0.5, 0.5, 5.0, 3600.0)
ERRORS = {
    "socket": (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM),
    "connect": (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ECONNREFUSED, errno.ETIMEDOUT),
    "accept": (errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM),
    "recv": (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET),
    "send": (errno.EPIPE, errno.ETIMEDOUT, errno.EHOSTUNREACH),
    "short": (0,),  # one byte at a time, read and written, on every connection
}


class FailureSpan(NamedTuple):
    """From begin_s to end_s a share of these calls fails."""

    begin_s: float
    end_s: float
    call: str
    error: int
    share: float


def draw_script(seed: str) -> tuple[list[FailureSpan], list[tuple[float, float]]]:
    """Returns the spans, and when (s from the start) the wall clock is stepped by how much."""
    if seed.startswith("step:"):
        _, at_s, by_s = seed.split(":")
        return [], [(float(at_s), float(by_s))]
    if seed.startswith("fail:"):
        _, call, error, from_s, to_s = seed.split(":")
        return [FailureSpan(float(from_s), float(to_s), call, getattr(errno, error), 1.0)], []
    draw, spans, steps, at_s = random.Random(seed), [], [], FIRST_FAULT_S
    while at_s < SCRIPT_S:
        at_s += draw.uniform(*GAP_S)
        call = draw.choice(list(ERRORS))
        end_s = at_s + draw.uniform(*SPAN_S)
        spans.append(FailureSpan(at_s, end_s, call, draw.choice(ERRORS[call]), draw.choice((0.2, 0.6, 1.0))))
        if draw.random() < 0.1:
            steps.append((at_s, draw.choice(STEPS_S)))
    return spans, steps


class Shim:
    """Installed by install(), before the program's modules are loaded."""

    def __init__(self, seed: str) -> None:
        self.spans, self.steps = draw_script(seed)
        self.draw, self.started_s = random.Random(f"{seed} calls"), time.monotonic()
        self.opened: weakref.WeakSet[socket.socket] = weakref.WeakSet()

    def error_of(self, call: str) -> int | None:
        """Returns the error of this call now; 0 stands for a short one, None for none."""
        elapsed_s = time.monotonic() - self.started_s
        for span in self.spans:
            if span.call == call and span.begin_s <= elapsed_s < span.end_s:
                return span.error if self.draw.random() < span.share else None
        return None

    def check(self, call: str) -> None:
        """Raises the error of this call now, if there is one."""
        error = self.error_of(call)
        if error:
            raise OSError(error, f"{errno.errorcode[error]} by the shim")

    def install(self) -> None:
        """Replaces the calls."""
        kind = socket.socket
        plain: dict[str, Callable[..., Any]] = {
            name: getattr(kind, name)
            for name in ("__init__", "connect", "accept", "recv_into", "recv", "send")
        }

        def make(sock: socket.socket, *args: Any, **more: Any) -> None:
            if more.get("fileno") is None and len(args) < 4:
                self.check("socket")
            plain["__init__"](sock, *args, **more)

        def connect(sock: socket.socket, address: Any) -> None:
            self.check("connect")
            self.opened.add(sock)
            plain["connect"](sock, address)

        def accept(sock: socket.socket) -> Any:
            self.check("accept")
            return plain["accept"](sock)

        def recv_into(sock: socket.socket, buffer: Any, *args: Any) -> int:
            if sock in self.opened:
                self.check("recv")
            if self.error_of("short") is not None and not args:
                buffer = memoryview(buffer)[:1]
            return plain["recv_into"](sock, buffer, *args)

        def send(sock: socket.socket, data: Any, *args: Any) -> int:
            if sock in self.opened:
                self.check("send")
            if self.error_of("short") is not None:
                data = memoryview(data)[:1]
            return plain["send"](sock, data, *args)

        for method in (connect, accept, recv_into, send):
            setattr(kind, method.__name__, method)
        kind.__init__ = make  # type: ignore[method-assign]
        wall = time.time

        def stepped() -> float:
            elapsed_s = time.monotonic() - self.started_s
            return wall() + sum(step_s for at_s, step_s in self.steps if at_s <= elapsed_s)

        time.time = stepped


if __name__ == "__main__":
    Shim(sys.argv.pop(1)).install()
    from spanwing.__main__ import main

    main()
