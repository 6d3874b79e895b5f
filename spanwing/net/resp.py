"""Encoders for replies of the Faktory protocol, in RESP (Redis serialization protocol)."""

from __future__ import annotations


def encode_simple(text: str) -> bytes:
    """Encodes a simple string."""
    return f"+{text}\r\n".encode()


def encode_error(error_code: str, text: str) -> bytes:
    """Encodes an error; whitespace is collapsed, as a line end in text would inject a second reply."""
    return f"-{error_code} {' '.join(text.split())}\r\n".encode()


def encode_bulk(data: bytes | None) -> bytes:
    """Encodes a bulk string; None becomes the null bulk string."""
    return b"$-1\r\n" if data is None else b"$%d\r\n%s\r\n" % (len(data), data)


OK = encode_simple("OK")
