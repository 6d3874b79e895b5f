"""Replies of the Faktory work protocol, in RESP."""

from __future__ import annotations


def encode_simple(text: str) -> bytes:
    return f"+{text}\r\n".encode()


def encode_error(error_code: str, text: str) -> bytes:
    """A line of its own: a line end inside would forge a second reply."""
    return f"-{error_code} {' '.join(text.split())}\r\n".encode()


def encode_bulk(data: bytes | None) -> bytes:
    return b"$-1\r\n" if data is None else b"$%d\r\n%s\r\n" % (len(data), data)


OK = encode_simple("OK")
