"""Connections on which a balancer speaks the PROXY protocol: who does, and reading its header.

Guarantees: a header is asked of listed addresses only, and of each of their connections; whoever else sends
one sends what his protocol does not allow, so an address cannot be forged.
"""

from __future__ import annotations

import ipaddress
import socket

from tornado.ioloop import IOLoop

from spanwing.net.proxy_protocol import ProxyHeader, parse_header
from spanwing.net.stream import PooledStream

Network = ipaddress.IPv4Network | ipaddress.IPv6Network


def peer_address_of(sock: socket.socket) -> str:
    """The other side's address; empty where the socket has none or is gone."""
    try:
        return str(sock.getpeername()[0])
    except (OSError, IndexError):
        return ""


def is_proxy_source(peer_address: str, sources: tuple[Network, ...]) -> bool:
    """Whether this address has to send a header."""
    if not sources or not peer_address:
        return False
    address = ipaddress.ip_address(peer_address.partition("%")[0])
    address = getattr(address, "ipv4_mapped", None) or address
    return any(address in each for each in sources if each.version == address.version)


async def read_peer_address(
    stream: PooledStream, data: bytearray, timeout_s: float, balancer_address: str
) -> str | None:
    """Read the header that this balancer (peer) owes; returns whom it speaks for, itself where it tells of
    nobody, None as read_header() does. Raises ProxyError."""
    header = await read_header(stream, data, timeout_s)
    if header is None:
        return None
    return header.source[0] if header.source else balancer_address


async def read_header(stream: PooledStream, data: bytearray, timeout_s: float) -> ProxyHeader | None:
    """Read one header into data and take it off; None: the connection ended, or it was not whole in time.
    Raises ProxyError."""
    timer = IOLoop.current().call_later(timeout_s, stream.close)
    try:
        while (header := parse_header(data)) is None:
            if not await stream.read(data):
                return None
        del data[: header.size]
        return header
    finally:
        IOLoop.current().remove_timeout(timer)
