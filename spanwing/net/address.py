"""Network addresses, and the listening and connecting sockets created from them."""

from __future__ import annotations

import ipaddress
import os
import socket
import stat
from collections.abc import Callable
from contextlib import suppress
from typing import NamedTuple

from spanwing.net.accepting import ConnectionAcceptor

KERNEL_BUFFER_BYTES = 64 * 1024  # for each direction of a connection; room for one message


class Address(NamedTuple):
    """A numeric IP address and a port; host names are not resolved, as the platform has no DNS."""

    host: str
    port: int

    @property
    def socket_address(self) -> tuple[str, int]:
        """Returns the address as the pair that the socket module expects."""
        return (self.host, self.port)

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parses HOST:PORT with a numeric host ([HOST]:PORT for IPv6); raises ValueError if it is invalid."""
    host, colon, port = text.rpartition(":")
    host = host.strip("[]")
    is_valid = text.isprintable()  # ip_address() takes any character in the scope of an IPv6 address
    try:
        ipaddress.ip_address(host)
        number = int(port)
    except ValueError:
        is_valid = False
    if not is_valid:
        raise ValueError(f"{text!r} is not HOST:PORT with a numeric host")
    if not colon or not 0 <= number <= 65535:
        raise ValueError(f"{text!r} has no port between 0 and 65535")
    return Address(host, number)


def _family(address: Address) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in address.host else socket.AF_INET


def open_socket(address: Address) -> socket.socket:
    """Creates an unconnected TCP socket of the address's family, with bounded kernel buffers."""
    sock = socket.socket(_family(address), socket.SOCK_STREAM)
    bound_kernel_buffers(sock)
    return sock


def bound_kernel_buffers(sock: socket.socket) -> None:
    """Bounds the kernel's buffers of a TCP socket; accepted sockets inherit the bound.

    The kernel would otherwise let them grow to several MB while nobody reads, and they count where the memory
    limit is that of a control group. It doubles the values for its own structures (socket(7)).
    """
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        with suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, option, KERNEL_BUFFER_BYTES)


class ListeningSocket(NamedTuple):
    """A listening socket: its address, with the port that the system chose for port 0, and its operations."""

    address: Address
    close: Callable[[], None]
    set_accepting: Callable[[bool], None] = lambda is_accepting: None  # resumes (True) or pauses accepting
    accept_pending_and_close: Callable[[], None] = lambda: None  # accepts the backlog, then closes
    backlog_wait_s: Callable[[], float] = lambda: 0.0  # longest wait of the connection being accepted


def adopt_listening_socket(descriptor: int) -> socket.socket:
    """Returns the listening socket that the parent process passed on as this descriptor.

    Raises OSError if the descriptor is not a listening TCP socket; it is left open.
    """
    sock = socket.socket(fileno=descriptor)
    if not (
        sock.family in (socket.AF_INET, socket.AF_INET6)
        and sock.type == socket.SOCK_STREAM
        and sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    ):
        sock.detach()
        raise OSError(22, "the descriptor is not a listening TCP socket")
    return sock


def listen(
    address: Address,
    on_connection: Callable[[socket.socket], None],
    shared_socket: socket.socket | None = None,
) -> ListeningSocket:
    """Listens on this address, or accepts on a listening socket shared with other processes.

    A shared socket is only closed at the end, never shut down, so that the other processes can go on
    accepting. Raises OSError.
    """
    listening_socket = shared_socket or open_socket(address)
    listening_socket.setblocking(False)
    bound_kernel_buffers(listening_socket)
    if shared_socket is None:
        listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listening_socket.bind(address.socket_address)
        except OSError:
            listening_socket.close()
            raise
        listening_socket.listen(512)
    acceptor = ConnectionAcceptor(listening_socket, on_connection)

    def set_accepting(is_accepting: bool) -> None:
        if is_accepting:
            acceptor.start()
        else:
            acceptor.stop()

    def close() -> None:
        acceptor.stop()
        listening_socket.close()

    def accept_pending_and_close() -> None:
        acceptor.accept_pending()  # closing a listener makes the kernel reset connections in its backlog
        close()

    set_accepting(True)
    return ListeningSocket(
        Address(*listening_socket.getsockname()[:2]),
        close,
        set_accepting,
        accept_pending_and_close,
        acceptor.backlog_wait_s,
    )


def listen_unix(path: str, on_connection: Callable[[socket.socket], None]) -> ListeningSocket:
    """Listens on a Unix socket that only the process's own user may use (mode 0600).

    A stale socket file, on which no process listens, is replaced. Raises OSError, also if another process
    listens there.
    """
    _remove_stale_socket(path)
    listening_socket = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    listening_socket.setblocking(False)
    previous_umask = os.umask(0o177)  # the file must never exist with a wider mode
    try:
        listening_socket.bind(path)
    except OSError:
        listening_socket.close()
        raise
    finally:
        os.umask(previous_umask)
    bound_stat = os.stat(path)
    listening_socket.listen(16)
    acceptor = ConnectionAcceptor(listening_socket, on_connection)
    acceptor.start()

    def close() -> None:
        acceptor.stop()
        listening_socket.close()
        try:
            current_stat = os.stat(path)
            if (current_stat.st_dev, current_stat.st_ino) == (bound_stat.st_dev, bound_stat.st_ino):
                os.unlink(path)
        except OSError:
            pass  # the file has already been removed

    return ListeningSocket(Address(path, 0), close)


def _remove_stale_socket(path: str) -> None:
    try:
        if not stat.S_ISSOCK(os.stat(path).st_mode):
            raise OSError(17, "the path exists and is not a socket")
    except FileNotFoundError:
        return
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe_socket:
        try:
            probe_socket.connect(path)
        except ConnectionRefusedError:
            os.unlink(path)
            return
    raise OSError(98, "another process is listening on this socket")
