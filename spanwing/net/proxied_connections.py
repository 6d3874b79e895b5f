"""Connections from load balancers that send a PROXY protocol header.

Every connection from a configured source must begin with a header. On any other connection, a header is
parsed as part of the port's own protocol, where it is invalid, so a client cannot forge its address.
"""

from __future__ import annotations

import ipaddress
import socket

from tornado.ioloop import IOLoop

from spanwing.net.proxy_protocol import ProxyHeader, parse_header
from spanwing.net.stream import PooledStream

Network = ipaddress.IPv4Network | ipaddress.IPv6Network


def peer_address_of(sock: socket.socket) -> str:
    """Returns the peer's IP address, or an empty string if the socket has none or is closed."""
    try:
        return str(sock.getpeername()[0])
    except (OSError, IndexError):
        return ""


def is_proxy_source(peer_address: str, sources: tuple[Network, ...]) -> bool:
    """Returns whether this peer must send a PROXY protocol header."""
    if not sources or not peer_address:
        return False
    address = ipaddress.ip_address(peer_address.partition("%")[0])
    address = getattr(address, "ipv4_mapped", None) or address
    return any(address in each for each in sources if each.version == address.version)


async def read_peer_address(
    stream: PooledStream, data: bytearray, timeout_s: float, balancer_address: str
) -> str | None:
    """Reads the balancer's header and returns the client's IP address.

    Returns the balancer's address if the header names no client, and None if the connection ended or the
    header was not complete within timeout_s. Raises ProxyError if the header is invalid.
    """
    header = await read_header(stream, data, timeout_s)
    if header is None:
        return None
    return header.source[0] if header.source else balancer_address


async def read_header(stream: PooledStream, data: bytearray, timeout_s: float) -> ProxyHeader | None:
    """Reads input into data until it begins with a complete header, and removes the header.

    Returns None if the connection ended or the header was not complete within timeout_s. Raises ProxyError
    if the header is invalid.
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
