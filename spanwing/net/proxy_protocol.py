"""Parser of the PROXY protocol, versions 1 and 2 (HAProxy, proxy-protocol.txt).

Pure and bounded: reads at most MAX_V1_BYTES or MAX_V2_BYTES, and returns a complete header, reports that more
bytes are needed, or raises ProxyError for input that can never become a header. A missing header is an error,
never guessed.
"""

from __future__ import annotations

import ipaddress
import re
import struct
from typing import NamedTuple

SIGNATURE_V2 = b"\r\n\r\n\x00\r\nQUIT\n"
PREFIX_V1 = b"PROXY "
MAX_V1_BYTES = 107  # with its line end (specification, 2.1)
MAX_V2_BYTES = 4096  # header, addresses and all TLVs
CRC32C_TYPE = 0x03
PORT_PATTERN = re.compile(r"0|[1-9][0-9]{0,4}")
ADDRESS_BYTES = {0: 0, 1: 12, 2: 36, 3: 216}  # by address family


class ProxyError(ValueError):
    """The input is not a header of the PROXY protocol."""


class ProxyHeader(NamedTuple):
    """One complete header."""

    size: int  # bytes of the header
    is_local: bool  # the balancer's own connection (a check), or no client is named
    source: tuple[str, int] | None = None
    tlvs: tuple[tuple[int, bytes], ...] = ()


def parse_header(data: bytes | bytearray) -> ProxyHeader | None:
    """Parses the header that data begins with; None while more bytes are needed. Raises ProxyError."""
    prefix = bytes(data[:12])
    if len(prefix) < 12 and (SIGNATURE_V2.startswith(prefix) or PREFIX_V1.startswith(prefix)):
        return None
    if prefix == SIGNATURE_V2:
        return _parse_v2(data)
    if prefix.startswith(PREFIX_V1):
        return _parse_v1(data)
    raise ProxyError("no PROXY header")


def _parse_v1(data: bytes | bytearray) -> ProxyHeader | None:
    end = data.find(b"\r\n", 0, MAX_V1_BYTES)
    if end < 0:
        if len(data) >= MAX_V1_BYTES:
            raise ProxyError("PROXY line too long")
        return None
    words = bytes(data[:end]).decode("latin-1").split(" ")
    if words[1] == "UNKNOWN":
        return ProxyHeader(end + 2, True)
    if len(words) != 6 or words[1] not in ("TCP4", "TCP6"):
        raise ProxyError("malformed PROXY line")
    family = ipaddress.IPv4Address if words[1] == "TCP4" else ipaddress.IPv6Address
    try:
        source, _ = family(words[2]), family(words[3])
    except ValueError:
        raise ProxyError("malformed address in a PROXY line") from None
    if not all(PORT_PATTERN.fullmatch(each) and int(each) < 65536 for each in words[4:]):
        raise ProxyError("malformed port in a PROXY line")
    return ProxyHeader(end + 2, False, (str(source), int(words[4])))


def _parse_v2(data: bytes | bytearray) -> ProxyHeader | None:
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
    if size > MAX_V2_BYTES:
        raise ProxyError("PROXY header too long")
    if len(data) < size:
        return None
    header = bytes(data[:size])
    # A balancer's own check may carry no addresses, whatever its family; its length still counts.
    address_bytes = ADDRESS_BYTES[family] if command or length >= ADDRESS_BYTES[family] else 0
    if length < address_bytes:
        raise ProxyError("PROXY header without room for its addresses")
    tlvs = _parse_tlvs(header, 16 + address_bytes)
    if command == 0 or family in (0, 3):
        return ProxyHeader(size, True, None, tlvs)
    host_bytes = 4 if family == 1 else 16
    source = ipaddress.ip_address(header[16 : 16 + host_bytes])
    port = struct.unpack_from("!H", header, 16 + 2 * host_bytes)[0]
    return ProxyHeader(size, False, (str(source), port), tlvs)


def _parse_tlvs(header: bytes, offset: int) -> tuple[tuple[int, bytes], ...]:
    found = []
    has_checksum = False
    while offset < len(header):
        if offset + 3 > len(header):
            raise ProxyError("cut off TLV in a PROXY header")
        kind, length = struct.unpack_from("!BH", header, offset)
        value = header[offset + 3 : offset + 3 + length]
        if len(value) < length:
            raise ProxyError("cut off TLV in a PROXY header")
        if kind == CRC32C_TYPE:
            if length != 4 or has_checksum:
                raise ProxyError("malformed checksum in a PROXY header")
            has_checksum = True
            _verify_checksum(header, offset + 3)
        found.append((kind, value))
        offset += 3 + length
    return tuple(found)


def _verify_checksum(header: bytes, offset: int) -> None:
    """Verifies the CRC-32c, which counts the header with zeros in place of the checksum."""
    import google_crc32c  # of spanwing[tools]; checked at the start where this protocol is enabled

    expected = struct.unpack_from("!I", header, offset)[0]
    if google_crc32c.value(header[:offset] + bytes(4) + header[offset + 4 :]) != expected:
        raise ProxyError("wrong checksum in a PROXY header")
