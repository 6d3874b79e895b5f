"""An IOStream that treats every socket error as the end of the connection; used for all connections."""

from __future__ import annotations

from typing import Any

from tornado.iostream import IOStream


class TcpStream(IOStream):
    """A stream on which a failed read or write raises StreamClosedError; the attribute error has the cause.

    Linux reports a broken connection not only as ECONNRESET but also as ETIMEDOUT, EHOSTUNREACH, ENETUNREACH,
    EPIPE and others (tcp(7), ip(7)).
    """

    def close(self, exc_info: Any = False) -> None:
        """Closes the stream, as IOStream does.

        The error is kept without its traceback, whose frames refer to the stream.
        """
        super().close(exc_info)
        if self.error is not None:
            self.error.__traceback__ = None

    def _is_connreset(self, exc: BaseException) -> bool:
        return isinstance(exc, OSError)
