"""The IOStream of every connection: whatever error ends it, it ends like a connection that was closed."""

from __future__ import annotations

from tornado.iostream import IOStream


class TcpStream(IOStream):
    """Reads and writes that fail raise StreamClosedError, with the error in the attribute error.

    Linux reports a broken connection by more errors than ECONNRESET: ETIMEDOUT, EHOSTUNREACH, ENETUNREACH,
    EPIPE and others (tcp(7), ip(7)).
    """

    def _is_connreset(self, exc: BaseException) -> bool:
        return isinstance(exc, OSError)
