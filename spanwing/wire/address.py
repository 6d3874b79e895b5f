"""Host and port, and the sockets made from them."""

from __future__ import annotations

import ipaddress
import os
import socket
import stat
from collections.abc import Callable
from contextlib import suppress
from typing import NamedTuple

from tornado.netutil import add_accept_handler


class Address(NamedTuple):
    """A numeric address; names are not looked up (the platform has no DNS)."""

    host: str
    port: int

    @property
    def target(self) -> tuple[str, int]:
        return (self.host, self.port)

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    host, colon, port = text.rpartition(":")
    host = host.strip("[]")
    try:
        ipaddress.ip_address(host)
        number = int(port)
    except ValueError:
        raise ValueError(f"{text!r} is not HOST:PORT with a numeric host") from None
    if not colon or not 0 <= number <= 65535:
        raise ValueError(f"{text!r} has no valid port")
    return Address(host, number)


def _family(address: Address) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in address.host else socket.AF_INET


def open_socket(address: Address) -> socket.socket:
    return socket.socket(_family(address), socket.SOCK_STREAM)


class Listening(NamedTuple):
    """A listening socket: its address, with the port that the system chose for 0, and what closes it."""

    address: Address
    close: Callable[[], None]
    accepting: Callable[[bool], None] = lambda accepts: None  # stop accepting for a while, and go on
    last: Callable[[], None] = lambda: None  # accept what waits to be, and close, with nothing in between


def inherited(number: int) -> socket.socket:
    """The listening socket that whoever started us holds open under this descriptor. Raises OSError."""
    sock = socket.socket(fileno=number)
    if not (
        sock.family in (socket.AF_INET, socket.AF_INET6)
        and sock.type == socket.SOCK_STREAM
        and sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    ):
        sock.detach()
        raise OSError(22, "it is no listening TCP socket")
    return sock


def listen(
    address: Address, accept: Callable[[socket.socket], None], shared: socket.socket | None = None
) -> Listening:
    """Listen on exactly this address, or take part in a socket that other processes accept on too: that one
    is closed here at the end, and never shut down. Raises OSError."""
    sock = shared or open_socket(address)
    sock.setblocking(False)
    if shared is None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(address.target)
        except OSError:
            sock.close()
            raise
        sock.listen(512)
    removing: list[Callable[[], None]] = []

    def accepting(accepts: bool) -> None:
        if accepts and not removing:
            removing.append(add_accept_handler(sock, lambda connection, _: accept(connection)))
        elif not accepts and removing:
            removing.pop()()

    def close() -> None:
        accepting(False)
        sock.close()

    def last() -> None:
        with suppress(OSError):
            while removing:  # what waits in the backlog of a listener that closes is reset
                accept(sock.accept()[0])
        close()

    accepting(True)
    return Listening(Address(*sock.getsockname()[:2]), close, accepting, last)


def listen_unix(path: str, accept: Callable[[socket.socket], None]) -> Listening:
    """Listen on a path that only our own user may use; one left by a process that has ended is replaced.
    Raises OSError."""
    _remove_dead(path)
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    sock.setblocking(False)
    mask = os.umask(0o177)  # its mode must be right from the first moment on
    try:
        sock.bind(path)
    except OSError:
        sock.close()
        raise
    finally:
        os.umask(mask)
    ours = os.stat(path)
    sock.listen(16)
    remove = add_accept_handler(sock, lambda connection, _: accept(connection))

    def close() -> None:
        remove()
        sock.close()
        try:
            there = os.stat(path)
            if (there.st_dev, there.st_ino) == (ours.st_dev, ours.st_ino):
                os.unlink(path)
        except OSError:
            pass  # already gone

    return Listening(Address(path, 0), close)


def _remove_dead(path: str) -> None:
    try:
        if not stat.S_ISSOCK(os.stat(path).st_mode):
            raise OSError(17, "something else is there")
    except FileNotFoundError:
        return
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as asked:
        try:
            asked.connect(path)
        except ConnectionRefusedError:
            os.unlink(path)
            return
    raise OSError(98, "in use by another process")
