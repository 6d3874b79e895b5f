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
    def socket_address(self) -> tuple[str, int]:
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


class ListeningSocket(NamedTuple):
    """A listening socket: its address, with the port that the system chose for 0, and what closes it."""

    address: Address
    close: Callable[[], None]
    set_accepting: Callable[[bool], None] = lambda accepts: None  # stop accepting for a while, and go on
    accept_pending_and_close: Callable[[], None] = lambda: (
        None
    )  # accept what waits to be, and close, with nothing in between


def adopt_listening_socket(descriptor: int) -> socket.socket:
    """The listening socket that whoever started us holds open under this descriptor. Raises OSError."""
    sock = socket.socket(fileno=descriptor)
    if not (
        sock.family in (socket.AF_INET, socket.AF_INET6)
        and sock.type == socket.SOCK_STREAM
        and sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    ):
        sock.detach()
        raise OSError(22, "it is no listening TCP socket")
    return sock


def listen(
    address: Address,
    on_connection: Callable[[socket.socket], None],
    shared_socket: socket.socket | None = None,
) -> ListeningSocket:
    """Listen on exactly this address, or take part in a socket that other processes accept on too: that one
    is closed here at the end, and never shut down. Raises OSError."""
    listening_socket = shared_socket or open_socket(address)
    listening_socket.setblocking(False)
    if shared_socket is None:
        listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listening_socket.bind(address.socket_address)
        except OSError:
            listening_socket.close()
            raise
        listening_socket.listen(512)
    remove_handlers: list[Callable[[], None]] = []

    def set_accepting(accepts: bool) -> None:
        if accepts and not remove_handlers:
            remove_handlers.append(
                add_accept_handler(listening_socket, lambda connection, _: on_connection(connection))
            )
        elif not accepts and remove_handlers:
            remove_handlers.pop()()

    def close() -> None:
        set_accepting(False)
        listening_socket.close()

    def accept_pending_and_close() -> None:
        with suppress(OSError):
            while remove_handlers:  # what waits in the backlog of a listener that closes is reset
                on_connection(listening_socket.accept()[0])
        close()

    set_accepting(True)
    return ListeningSocket(
        Address(*listening_socket.getsockname()[:2]), close, set_accepting, accept_pending_and_close
    )


def listen_unix(path: str, on_connection: Callable[[socket.socket], None]) -> ListeningSocket:
    """Listen on a path that only our own user may use; one left by a process that has ended is replaced.
    Raises OSError."""
    _remove_stale_socket(path)
    listening_socket = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    listening_socket.setblocking(False)
    mask = os.umask(0o177)  # its mode must be right from the first moment on
    try:
        listening_socket.bind(path)
    except OSError:
        listening_socket.close()
        raise
    finally:
        os.umask(mask)
    own_stat = os.stat(path)
    listening_socket.listen(16)
    remove_handler = add_accept_handler(listening_socket, lambda connection, _: on_connection(connection))

    def close() -> None:
        remove_handler()
        listening_socket.close()
        try:
            current_stat = os.stat(path)
            if (current_stat.st_dev, current_stat.st_ino) == (own_stat.st_dev, own_stat.st_ino):
                os.unlink(path)
        except OSError:
            pass  # already gone

    return ListeningSocket(Address(path, 0), close)


def _remove_stale_socket(path: str) -> None:
    try:
        if not stat.S_ISSOCK(os.stat(path).st_mode):
            raise OSError(17, "something else is there")
    except FileNotFoundError:
        return
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe_socket:
        try:
            probe_socket.connect(path)
        except ConnectionRefusedError:
            os.unlink(path)
            return
    raise OSError(98, "in use by another process")
