"""The PROXY protocol, versions 1 and 2, after its published specification (HAProxy, proxy-protocol.txt).

Guarantees: a pure parser; it takes at most LONGEST bytes, gives a whole header, asks for more, or raises
ProxyError on what can never become a header. It never guesses: who does not send one is at fault.
"""

from __future__ import annotations

import ipaddress
import re
import struct
from typing import NamedTuple

SIGNATURE = b"\r\n\r\n\x00\r\nQUIT\n"
FIRST_V1 = b"PROXY "
LONGEST_V1 = 107  # with its line end, as the specification has it
LONGEST = 4096  # of version 2: addresses and all TLVs
CRC32C = 0x03
PORT = re.compile(r"0|[1-9][0-9]{0,4}")
ADDRESS_SIZE = {0: 0, 1: 12, 2: 36, 3: 216}  # by address family


class ProxyError(ValueError):
    """Not a header of the PROXY protocol."""


class Header(NamedTuple):
    """One whole header."""

    size: int  # bytes of it
    local: bool  # the balancer speaks for itself (a check), or does not tell for whom
    source: tuple[str, int] | None = None
    tlvs: tuple[tuple[int, bytes], ...] = ()


def parse(data: bytes | bytearray) -> Header | None:
    """The header that data begins with; None while more is needed. Raises ProxyError."""
    begin = bytes(data[:12])
    if len(begin) < 12 and (SIGNATURE.startswith(begin) or FIRST_V1.startswith(begin)):
        return None
    if begin == SIGNATURE:
        return _binary(data)
    if begin.startswith(FIRST_V1):
        return _text(data)
    raise ProxyError("no PROXY header")


def _text(data: bytes | bytearray) -> Header | None:
    end = data.find(b"\r\n", 0, LONGEST_V1)
    if end < 0:
        if len(data) >= LONGEST_V1:
            raise ProxyError("PROXY line too long")
        return None
    words = bytes(data[:end]).decode("latin-1").split(" ")
    if words[1] == "UNKNOWN":
        return Header(end + 2, True)
    if len(words) != 6 or words[1] not in ("TCP4", "TCP6"):
        raise ProxyError("malformed PROXY line")
    family = ipaddress.IPv4Address if words[1] == "TCP4" else ipaddress.IPv6Address
    try:
        source, _ = family(words[2]), family(words[3])
    except ValueError:
        raise ProxyError("malformed address in a PROXY line") from None
    if not all(PORT.fullmatch(each) and int(each) < 65536 for each in words[4:]):
        raise ProxyError("malformed port in a PROXY line")
    return Header(end + 2, False, (str(source), int(words[4])))


def _binary(data: bytes | bytearray) -> Header | None:
    if len(data) < 16:
        return None
    version_command, family_protocol, length = struct.unpack_from("!BBH", data, 12)
    version, command = divmod(version_command, 16)
    family, protocol = divmod(family_protocol, 16)
    if version != 2 or command > 1:
        raise ProxyError("another version or command of the PROXY protocol")
    if family > 3 or protocol > 2:
        raise ProxyError("unknown address family in a PROXY header")
    size = 16 + length
    if size > LONGEST:
        raise ProxyError("PROXY header too long")
    if len(data) < size:
        return None
    whole = bytes(data[:size])
    # A check of the balancer's own may name no addresses, whatever family it gives; its length still holds.
    fixed = ADDRESS_SIZE[family] if command or length >= ADDRESS_SIZE[family] else 0
    if length < fixed:
        raise ProxyError("PROXY header without room for its addresses")
    tlvs = _tlvs(whole, 16 + fixed)
    if command == 0 or family in (0, 3):
        return Header(size, True, None, tlvs)
    width = 4 if family == 1 else 16
    source = ipaddress.ip_address(whole[16 : 16 + width])
    port = struct.unpack_from("!H", whole, 16 + 2 * width)[0]
    return Header(size, False, (str(source), port), tlvs)


def _tlvs(whole: bytes, at: int) -> tuple[tuple[int, bytes], ...]:
    found = []
    checked = False
    while at < len(whole):
        if at + 3 > len(whole):
            raise ProxyError("cut off TLV in a PROXY header")
        kind, length = struct.unpack_from("!BH", whole, at)
        value = whole[at + 3 : at + 3 + length]
        if len(value) < length:
            raise ProxyError("cut off TLV in a PROXY header")
        if kind == CRC32C:
            if length != 4 or checked:
                raise ProxyError("malformed checksum in a PROXY header")
            checked = True
            _check(whole, at + 3)
        found.append((kind, value))
        at += 3 + length
    return tuple(found)


def _check(whole: bytes, at: int) -> None:
    """The checksum counts the header with four zeros in its own place."""
    import google_crc32c  # of spanwing[tools], asked for at the start where this protocol is opened

    told = struct.unpack_from("!I", whole, at)[0]
    if google_crc32c.value(whole[:at] + bytes(4) + whole[at + 4 :]) != told:
        raise ProxyError("wrong checksum in a PROXY header")
