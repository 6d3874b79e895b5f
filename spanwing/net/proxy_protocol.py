"""Parser for the PROXY protocol, versions 1 and 2 (HAProxy, proxy-protocol.txt).

The parser is pure and examines at most MAX_V1_BYTES or MAX_V2_BYTES. It returns a complete header or None if
more bytes are needed, and raises ProxyError for input that cannot become a header. Input without a header is
always an error, as the specification demands.
"""

from __future__ import annotations

import ipaddress
import re
import struct
from typing import NamedTuple

SIGNATURE_V2 = b"\r\n\r\n\x00\r\nQUIT\n"
PREFIX_V1 = b"PROXY "
MAX_V1_BYTES = 107  # including the line end (specification, 2.1)
MAX_V2_BYTES = 4096  # including the addresses and all TLVs
CRC32C_TYPE = 0x03
PORT_PATTERN = re.compile(r"0|[1-9][0-9]{0,4}")
ADDRESS_BYTES = {0: 0, 1: 12, 2: 36, 3: 216}  # by address family: unspecified, IPv4, IPv6, Unix


class ProxyError(ValueError):
    """The input is not a valid PROXY protocol header."""


class ProxyHeader(NamedTuple):
    """One complete header."""

    size: int  # length of the header in bytes
    is_local: bool  # the balancer's own connection, such as a health check, or the client is unknown
    source: tuple[str, int] | None = None  # the client's IP address and port
    tlvs: tuple[tuple[int, bytes], ...] = ()  # type and value of each TLV


def parse_header(data: bytes | bytearray) -> ProxyHeader | None:
    """Returns the header at the start of data, or None if more bytes are needed.

    Raises ProxyError if data cannot become a valid header.
    """
    prefix = bytes(data[:12])
    if len(prefix) < 12 and (SIGNATURE_V2.startswith(prefix) or PREFIX_V1.startswith(prefix)):
        return None
    if prefix == SIGNATURE_V2:
        return _parse_v2(data)
    if prefix.startswith(PREFIX_V1):
        return _parse_v1(data)
    raise ProxyError("the connection does not begin with a PROXY header")


def _parse_v1(data: bytes | bytearray) -> ProxyHeader | None:
    end = data.find(b"\r\n", 0, MAX_V1_BYTES)
    if end < 0:
        if len(data) >= MAX_V1_BYTES:
            raise ProxyError("PROXY line exceeds 107 bytes")
        return None
    fields = bytes(data[:end]).decode("latin-1").split(" ")
    if fields[1] == "UNKNOWN":
        return ProxyHeader(end + 2, True)
    if len(fields) != 6 or fields[1] not in ("TCP4", "TCP6"):
        raise ProxyError("malformed PROXY line")
    family = ipaddress.IPv4Address if fields[1] == "TCP4" else ipaddress.IPv6Address
    try:
        source, _ = family(fields[2]), family(fields[3])
    except ValueError:
        raise ProxyError("malformed address in a PROXY line") from None
    if not all(PORT_PATTERN.fullmatch(each) and int(each) < 65536 for each in fields[4:]):
        raise ProxyError("malformed port in a PROXY line")
    return ProxyHeader(end + 2, False, (str(source), int(fields[4])))


def _parse_v2(data: bytes | bytearray) -> ProxyHeader | None:
    if len(data) < 16:
        return None
    version_command, family_protocol, length = struct.unpack_from("!BBH", data, 12)
    version, command = divmod(version_command, 16)
    family, protocol = divmod(family_protocol, 16)
    if version != 2 or command > 1:
        raise ProxyError("unsupported version or command of the PROXY protocol")
    if family > 3 or protocol > 2:
        raise ProxyError("unknown address family or transport protocol in a PROXY header")
    size = 16 + length
    if size > MAX_V2_BYTES:
        raise ProxyError("PROXY header exceeds 4096 bytes")
    if len(data) < size:
        return None
    header = bytes(data[:size])
    # A balancer's own health check (LOCAL) may omit the addresses of any family.
    address_bytes = ADDRESS_BYTES[family] if command or length >= ADDRESS_BYTES[family] else 0
    if length < address_bytes:
        raise ProxyError("PROXY header is too short for the addresses of its family")
    tlvs = _parse_tlvs(header, 16 + address_bytes)
    if command == 0 or family in (0, 3):
        return ProxyHeader(size, True, None, tlvs)
    host_bytes = 4 if family == 1 else 16
    source = ipaddress.ip_address(header[16 : 16 + host_bytes])
    port = struct.unpack_from("!H", header, 16 + 2 * host_bytes)[0]
    return ProxyHeader(size, False, (str(source), port), tlvs)


def _parse_tlvs(header: bytes, offset: int) -> tuple[tuple[int, bytes], ...]:
    parsed_tlvs = []
    has_checksum = False
    while offset < len(header):
        if offset + 3 > len(header):
            raise ProxyError("truncated TLV in a PROXY header")
        tlv_type, length = struct.unpack_from("!BH", header, offset)
        value = header[offset + 3 : offset + 3 + length]
        if len(value) < length:
            raise ProxyError("truncated TLV in a PROXY header")
        if tlv_type == CRC32C_TYPE:
            if length != 4 or has_checksum:
                raise ProxyError("malformed or repeated checksum in a PROXY header")
            has_checksum = True
            _verify_checksum(header, offset + 3)
        parsed_tlvs.append((tlv_type, value))
        offset += 3 + length
    return tuple(parsed_tlvs)


def _verify_checksum(header: bytes, offset: int) -> None:
    """Verifies the CRC-32c of the header, computed with zeros in place of the checksum itself."""
    import google_crc32c  # part of spanwing[tools]; its presence is checked at startup if this is enabled

    expected = struct.unpack_from("!I", header, offset)[0]
    if google_crc32c.value(header[:offset] + bytes(4) + header[offset + 4 :]) != expected:
        raise ProxyError("wrong checksum in a PROXY header")
