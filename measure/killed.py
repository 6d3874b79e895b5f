"""A daemon that ends itself with SIGKILL at its Nth system call on the journal or on a next hop's socket.

One program serves many runs: it has everything loaded and forks for each line on its standard input, a JSON
object (Order); it prints the exit status of each run. Calls are counted over all threads of the daemon.
Next hops are known by the address HOP_HOST, which nobody else uses.
"""

from __future__ import annotations

import os
import signal
import sys
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

HOP_HOST = "127.0.0.9"
JOURNAL_CALLS = ("open", "write", "fsync", "close", "rename", "unlink")


class Order(msgspec.Struct):
    """One run: which call ends it (0: none), before or after it is made, and its files."""

    at: int
    after: bool
    config: str
    fronts: str
    out: str
    trace: str


class Killer:
    """Counts calls, and ends the process at one of them."""

    def __init__(self, order: Order) -> None:
        self.order, self.count, self.lock = order, 0, threading.Lock()
        self.trace = os.open(order.trace, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
        self.write = os.write

    def call(self, what: str, do: Callable[[], Any]) -> Any:
        with self.lock:
            self.count += 1
            ours = self.count == self.order.at
        self.write(self.trace, f"{what}\n".encode())
        if ours and not self.order.after:
            os.kill(os.getpid(), signal.SIGKILL)
        result = do()
        if ours:
            os.kill(os.getpid(), signal.SIGKILL)
        return result


class CountedOs:
    """The os module, as the journal's files see it."""

    def __init__(self, killer: Killer) -> None:
        self.killer = killer

    def __getattr__(self, name: str) -> Any:
        value = getattr(os, name)
        if name not in JOURNAL_CALLS:
            return value
        return lambda *given, **named: self.killer.call(f"journal {name}", lambda: value(*given, **named))


def count_streams(killer: Killer) -> None:
    """Count what happens on streams whose other side is a next hop."""
    from tornado.iostream import IOStream

    def is_hop(stream: Any) -> bool:
        try:
            return stream.socket.getpeername()[0] == HOP_HOST
        except (OSError, AttributeError):
            return False

    def counted(name: str, original: Callable[..., Any]) -> Callable[..., Any]:
        def call(self, *given: Any, **named: Any) -> Any:
            if not is_hop(self):
                return original(self, *given, **named)
            return killer.call(f"hop {name}", lambda: original(self, *given, **named))

        return call

    for name in ("write_to_fd", "read_from_fd", "close_fd"):
        setattr(IOStream, name, counted(name, getattr(IOStream, name)))
    connect = IOStream.connect

    def counted_connect(self, address: Any, *given: Any, **named: Any) -> Any:
        if address[0] != HOP_HOST:
            return connect(self, address, *given, **named)
        return killer.call("hop connect", lambda: connect(self, address, *given, **named))

    IOStream.connect = counted_connect


def run(order: Order) -> None:
    """In the child: the daemon, until it is killed or told to end."""
    from spanwing.daemon import serve
    from spanwing.journal import files

    out = os.open(order.out, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
    os.dup2(out, 1)
    os.dup2(out, 2)
    os.environ["ROUTER_CONFIG"], os.environ["SPANWING_FRONTS"] = order.config, order.fronts
    killer = Killer(order)
    files.os = CountedOs(killer)
    count_streams(killer)
    os._exit(serve())


def main() -> None:
    import spanwing.daemon  # noqa: F401 - loaded once, for all runs
    import spanwing.journal.writer  # noqa: F401

    for line in sys.stdin:
        order = msgspec.json.decode(line, type=Order)
        Path(order.out).touch()
        child = os.fork()
        if child == 0:
            try:
                run(order)
            finally:
                os._exit(70)
        print(child, flush=True)
        print(os.waitstatus_to_exitcode(os.waitpid(child, 0)[1]), flush=True)


if __name__ == "__main__":
    main()
