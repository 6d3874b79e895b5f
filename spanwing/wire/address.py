"""Host and port, and the sockets made from them."""

from __future__ import annotations

import ipaddress
import socket
from collections.abc import Callable
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


def listen(address: Address, accept: Callable[[socket.socket], None]) -> Address:
    """Listen on exactly this address; returns it with the port that the system chose for 0."""
    sock = open_socket(address)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setblocking(False)
    sock.bind(address.target)
    sock.listen(512)
    add_accept_handler(sock, lambda connection, _: accept(connection))
    return Address(*sock.getsockname()[:2])
