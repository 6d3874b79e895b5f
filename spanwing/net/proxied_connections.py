"""Connections on which a balancer speaks the PROXY protocol: which peers do, and reading the header.

A header is required on each connection of the listed addresses and accepted from no other, where it would
break the protocol of the port. So a client cannot forge its address.
"""

from __future__ import annotations

import ipaddress
import socket

from tornado.ioloop import IOLoop

from spanwing.net.proxy_protocol import ProxyHeader, parse_header
from spanwing.net.stream import PooledStream

Network = ipaddress.IPv4Network | ipaddress.IPv6Network


def peer_address_of(sock: socket.socket) -> str:
    """Returns the peer's IP address; empty if the socket has none or is closed."""
    try:
        return str(sock.getpeername()[0])
    except (OSError, IndexError):
        return ""


def is_proxy_source(peer_address: str, sources: tuple[Network, ...]) -> bool:
    """Returns whether this peer has to send a header."""
    if not sources or not peer_address:
        return False
    address = ipaddress.ip_address(peer_address.partition("%")[0])
    address = getattr(address, "ipv4_mapped", None) or address
    return any(address in each for each in sources if each.version == address.version)


async def read_peer_address(
    stream: PooledStream, data: bytearray, timeout_s: float, balancer_address: str
) -> str | None:
    """Reads the balancer's header and returns the client's address.

    Returns the balancer's address where the header names no client, and None as read_header() does. Raises
    ProxyError.
    """
    header = await read_header(stream, data, timeout_s)
    if header is None:
        return None
    return header.source[0] if header.source else balancer_address


async def read_header(stream: PooledStream, data: bytearray, timeout_s: float) -> ProxyHeader | None:
    """Reads one header into data and removes it.

    Returns None if the connection ended or the header was not complete within timeout_s. Raises ProxyError.
    """
    timer = IOLoop.current().call_later(timeout_s, stream.close)
    try:
        while (header := parse_header(data)) is None:
            if not await stream.read(data):
                return None
        del data[: header.size]
        return header
    finally:
        IOLoop.current().remove_timeout(timer)
