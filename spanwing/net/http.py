"""HTTP/1.1 messages (RFC 9112): a stream of messages, and encoders."""

from __future__ import annotations

import time

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError

from spanwing.net.buffers import BufferPool
from spanwing.net.http_parser import CONTROL_PATTERN, MAX_BODY_BYTES, HttpMessage, HttpParser
from spanwing.net.stream import PooledStream
from spanwing.resources.processor_share import PeerTime

REASON_PHRASES = {
    200: "OK",
    202: "Accepted",
    204: "No Content",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    505: "HTTP Version Not Supported",
}


class UnsendableHeadError(ValueError):
    """A line of a message head has a control character, or one that is not in Latin-1."""


class HttpStream(PooledStream):
    """A byte stream that carries HTTP messages."""

    def __init__(
        self,
        stream: IOStream,
        buffers: BufferPool,
        parses_responses: bool = False,
        max_body_bytes: int = MAX_BODY_BYTES,
        used_fields: frozenset[str] | None = None,
    ) -> None:
        """used_fields: names in lower case of the fields that messages keep; None: all."""
        super().__init__(stream, buffers)
        self.parser = HttpParser(parses_responses, max_body_bytes, used_fields)
        self.peer_time = PeerTime()
        self.has_timed_out = False  # an incomplete message was answered with 408

    def held_input_bytes(self) -> int:
        """Returns the bytes of input that are held here."""
        return self.parser.held_bytes()

    def discard_input(self) -> None:
        """Drops the input that is held; the connection is about to end."""
        self.parser.discard()
        super().discard_input()

    async def receive(self, timeout_s: float | None = None, is_fresh: bool = False) -> HttpMessage | None:
        """Returns the next message, or None if the connection ended first.

        If a message is not complete timeout_s after its first byte, it is answered with 408 and the
        connection closed. With is_fresh, the timeout starts immediately, and a connection without input is
        closed without a response. Raises HttpError.
        """
        try:
            while True:
                message = await self._parse_next()
                if message is not None:
                    return message
                if (
                    self.message_timer is None
                    and timeout_s is not None
                    and (is_fresh or not self.parser.is_idle())
                ):
                    self.message_timer = IOLoop.current().call_later(timeout_s, self._handle_stall)
                if self.parser.is_interrupted:
                    continue
                if not await self.read(self.parser.data):
                    return self.parser.next_message(has_ended=True)
        finally:
            self.cancel_message_timer()

    async def _parse_next(self) -> HttpMessage | None:
        """Parses input that is there; a peer that has used up its processor time waits. Raises HttpError."""
        if self.parser.parses_responses:
            message = self.parser.next_message()
            self.charge_input()
            return message
        began_s = time.thread_time()
        try:
            return self.parser.next_message()
        finally:
            self.charge_input()
            spent_s, now_s = time.thread_time() - began_s, IOLoop.current().time()
            wait_s = self.buffers.processor_share.charge(self.peer_time, spent_s, now_s)
            if wait_s > 0.0:
                await self.buffers.processor_share.wait(wait_s)

    def collect_read_ahead(self) -> None:
        """Moves available input into the parser; must not be called during receive()."""
        if self.pending_read is not None:  # started by start_read_ahead()
            if self.pending_read.done():
                self._collect_read(self.parser.data)
            return
        buffer = bytearray(self.stream.max_buffer_size)
        read = self.stream.read_into(buffer, partial=True)
        if read.done() and read.exception() is None:
            self.parser.data += buffer[: read.result()]
        else:
            read.add_done_callback(lambda read: read.exception())  # retrieves the error, which is ignored

    def _handle_stall(self) -> None:
        """Answers an incomplete message with 408; closes a silent connection without a response."""
        if self.parser.is_idle():
            if self.has_no_pending_input():
                self.close()
            else:  # an unread request would be lost by closing now
                self.message_timer = IOLoop.current().call_later(0, self._handle_stall)
        else:
            self.has_timed_out = True
            self.write_and_close(encode_response(408, b"not whole in time", keep_alive=False))

    def is_reusable(self) -> bool:
        """Returns whether a request may be written: the connection is open and between messages.

        Tornado's stream may have fetched input while no read was pending, and stray input would be taken for
        the response. The read of the response is therefore started here and must find no input.
        """
        try:
            return self.parser.is_idle() and not self._begin_read().done() and self.has_no_pending_input()
        except StreamClosedError:
            return False


def is_field_value(text: str) -> bool:
    """Returns whether a header can carry this text unchanged (RFC 9110, 5.5)."""
    return (
        text == text.strip(" \t")
        and not CONTROL_PATTERN.search(text)
        and all(each < "\u0100" for each in text)
    )


def _encode_head(lines: list[str]) -> bytes:
    """Encodes the lines of a head. Raises UnsendableHeadError.

    Every head is written here, wherever its values come from: a line end within a value would let the
    recipient read the rest of it as further headers, or as a request of its own.
    """
    if CONTROL_PATTERN.search("".join(lines)):
        name = next(line for line in lines if CONTROL_PATTERN.search(line)).partition(":")[0]
        raise UnsendableHeadError(f"control character in the header {name[:40]!a}")
    try:
        return "\r\n".join([*lines, "", ""]).encode("latin-1")
    except UnicodeEncodeError as error:
        raise UnsendableHeadError("a character of a header is not in Latin-1") from error


def encode_request(method: str, target: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encodes a request, with Content-Length if there is a body or the method is POST.

    Raises UnsendableHeadError if a value cannot be part of the head.
    """
    lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return _encode_head(lines) + body


def encode_response(
    status: int,
    body: bytes = b"",
    keep_alive: bool = True,
    head_only: bool = False,
    headers: dict[str, str] | None = None,
) -> bytes:
    """Encodes a response; head_only omits the body, as for a HEAD request.

    Raises UnsendableHeadError if a value cannot be part of the head.
    """
    lines = [f"HTTP/1.1 {status} {REASON_PHRASES.get(status, 'Other')}"]
    if headers:
        lines += [f"{name}: {value}" for name, value in headers.items()]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    if not keep_alive:
        lines.append("Connection: close")
    return _encode_head(lines) + (b"" if head_only else body)
