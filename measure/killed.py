"""Runs a daemon that kills itself with SIGKILL at its Nth system call on the journal or a next hop's socket.

This program is a fork server: it imports the daemon once, and forks for each line on its standard input, the
JSON form of a RunOrder. For each run it prints the process id and then the exit status. Calls are counted
over all threads of the daemon. A socket belongs to a next hop if its peer address is HOP_HOST, which nothing
else uses.
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


class RunOrder(msgspec.Struct):
    """One run: the call to kill the daemon at, and its files."""

    at: int  # number of the call, from 1; 0: the daemon isn't killed
    after: bool  # whether the call is still made
    config: str
    fronts: str
    out: str  # file for the daemon's output
    trace: str  # file for the names of the counted calls


class CallCounter:
    """Counts and traces calls, and kills the process at the one that the order names."""

    def __init__(self, order: RunOrder) -> None:
        self.order, self.count, self.lock = order, 0, threading.Lock()
        self.trace = os.open(order.trace, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
        self.write = os.write

    def count_call(self, call_name: str, function: Callable[[], Any]) -> Any:
        """Makes one call and returns its result, unless the process is killed at it."""
        with self.lock:
            self.count += 1
            is_chosen = self.count == self.order.at
        self.write(self.trace, f"{call_name}\n".encode())
        if is_chosen and not self.order.after:
            os.kill(os.getpid(), signal.SIGKILL)
        result = function()
        if is_chosen:
            os.kill(os.getpid(), signal.SIGKILL)
        return result


class CountingOs:
    """Replaces the os module for the journal's files, and counts their calls of JOURNAL_CALLS."""

    def __init__(self, counter: CallCounter) -> None:
        self.counter = counter

    def __getattr__(self, name: str) -> Any:
        value = getattr(os, name)
        if name not in JOURNAL_CALLS:
            return value
        return lambda *args, **kwargs: self.counter.count_call(
            f"journal {name}", lambda: value(*args, **kwargs)
        )


def count_streams(counter: CallCounter) -> None:
    """Counts connects, reads, writes and closes of streams to next hops."""
    from tornado.iostream import IOStream

    def is_next_hop(stream: Any) -> bool:
        try:
            return stream.socket.getpeername()[0] == HOP_HOST
        except (OSError, AttributeError):
            return False

    def counting(name: str, original: Callable[..., Any]) -> Callable[..., Any]:
        def call(self, *args: Any, **kwargs: Any) -> Any:
            if not is_next_hop(self):
                return original(self, *args, **kwargs)
            return counter.count_call(f"hop {name}", lambda: original(self, *args, **kwargs))

        return call

    for name in ("write_to_fd", "read_from_fd", "close_fd"):
        setattr(IOStream, name, counting(name, getattr(IOStream, name)))
    connect = IOStream.connect

    def counting_connect(self, address: Any, *args: Any, **kwargs: Any) -> Any:
        if address[0] != HOP_HOST:
            return connect(self, address, *args, **kwargs)
        return counter.count_call("hop connect", lambda: connect(self, address, *args, **kwargs))

    IOStream.connect = counting_connect


def run(order: RunOrder) -> None:
    """Runs the daemon in the forked child; does not return."""
    from spanwing.daemon import serve
    from spanwing.journal import files

    out = os.open(order.out, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
    os.dup2(out, 1)
    os.dup2(out, 2)
    os.environ["ROUTER_CONFIG"], os.environ["SPANWING_FRONTS"] = order.config, order.fronts
    counter = CallCounter(order)
    files.os = CountingOs(counter)
    count_streams(counter)
    os._exit(serve())


def main() -> None:
    """Forks a daemon for each order on standard input, one after the other."""
    import spanwing.daemon  # noqa: F401 - imported once, for all runs
    import spanwing.journal.writer  # noqa: F401

    for line in sys.stdin:
        order = msgspec.json.decode(line, type=RunOrder)
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
