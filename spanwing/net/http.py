"""HTTP/1.1 messages (RFC 9112): an incremental parser, a stream of messages, and encoders."""

from __future__ import annotations

import re
from dataclasses import dataclass

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError

from spanwing.net.buffers import BufferPool
from spanwing.net.stream import PooledStream

MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 64 * 1024  # the platform protocol's limit for a job's request or response
TOO_LARGE_STATUS = 413
TOKEN_PATTERN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
TARGET_PATTERN = re.compile(r"[!-~]+")
#: All but the tab. They are invalid in a field value (RFC 9110, 5.5); a line end would end the field.
CONTROL_PATTERN = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
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


class HttpError(Exception):
    """The input is not an acceptable HTTP message; status is the status of the error response."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class UnsendableHeadError(ValueError):
    """A line of a message head has a control character, or one that is not in Latin-1."""


@dataclass(slots=True)
class HttpMessage:
    """A request (method, target) or a response (status)."""

    method: str
    target: str
    status: int
    headers: dict[str, str]  # keys in lower case
    keep_alive: bool
    body: bytes = b""


class HttpParser:
    """An incremental parser: input is appended to data, and next_message() returns complete messages."""

    def __init__(self, parses_responses: bool = False, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self.parses_responses, self.max_body_bytes = parses_responses, max_body_bytes
        self.data = bytearray()
        self.head: HttpMessage | None = None
        self.remaining_body: int | None = 0  # body bytes to read; None: until the connection ends
        self.is_chunked = False
        self.chunk_bytes = -1  # size of the current chunk; -1: a size line comes next
        self.body = bytearray()

    def is_idle(self) -> bool:
        """Returns whether the parser is between messages and holds no input."""
        return self.head is None and not self.data

    def next_message(self, has_ended: bool = False) -> HttpMessage | None:
        """Returns the next complete message, or None if more input is needed.

        With has_ended, no more input follows, which completes a body without a length. Raises HttpError.
        """
        if self.head is None and not self._read_head():
            return None
        is_complete = self._read_chunks() if self.is_chunked else self._read_body(has_ended)
        if not is_complete:
            return None
        message, self.head = self.head, None
        message.body, self.body = bytes(self.body), bytearray()
        return message

    def _read_head(self) -> bool:
        while self.data[:2] == b"\r\n":  # empty lines before a message are skipped (RFC 9112, 2.2)
            del self.data[:2]
        end = self.data.find(b"\r\n\r\n")
        if end < 0 and len(self.data) <= MAX_HEAD_BYTES:
            return False
        if end < 0 or end > MAX_HEAD_BYTES:
            raise HttpError(431, "head too large")
        lines = self._without_control_characters(self.data[:end].decode("latin-1").split("\r\n"))
        del self.data[: end + 4]
        headers: dict[str, str] = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if not colon or not TOKEN_PATTERN.fullmatch(name):
                raise HttpError(400, "malformed header")
            name, value = name.lower(), value.strip(" \t")
            if name in ("content-length", "host") and headers.get(name, value) != value:
                raise HttpError(400, f"{name} differs")
            headers[name] = value
        self.head = self._parse_first_line(lines[0], headers)
        self._set_framing(headers)
        return True

    def _without_control_characters(self, lines: list[str]) -> list[str]:
        """Returns the lines of a head without control characters; raises HttpError if a request has any."""
        if not CONTROL_PATTERN.search("".join(lines)):
            return lines
        if not self.parses_responses:
            raise HttpError(400, "control character in a header")
        return [CONTROL_PATTERN.sub(" ", line) for line in lines]

    def _parse_first_line(self, line: str, headers: dict[str, str]) -> HttpMessage:
        parts = line.split(" ", 2)
        if len(parts) < 2 or (not self.parses_responses and len(parts) != 3):
            raise HttpError(400, "malformed first line")
        version = parts[0] if self.parses_responses else parts[2]
        if not re.fullmatch(r"HTTP/\d\.\d", version):
            raise HttpError(400, "no HTTP version")
        if version not in ("HTTP/1.1", "HTTP/1.0"):
            raise HttpError(505, "another HTTP version")
        connection_options = headers.get("connection", "").lower()
        keep_alive = "close" not in connection_options and (
            version == "HTTP/1.1" or "keep-alive" in connection_options
        )
        if self.parses_responses:
            if not re.fullmatch(r"[1-5]\d\d", parts[1]):
                raise HttpError(400, "malformed status")
            return HttpMessage("", "", int(parts[1]), headers, keep_alive)
        if not TOKEN_PATTERN.fullmatch(parts[0]) or not TARGET_PATTERN.fullmatch(parts[1]):
            raise HttpError(400, "malformed first line")
        return HttpMessage(parts[0], parts[1], 0, headers, keep_alive)

    def _set_framing(self, headers: dict[str, str]) -> None:
        transfer_coding, length = headers.get("transfer-encoding"), headers.get("content-length")
        self.is_chunked, self.remaining_body, self.chunk_bytes = transfer_coding is not None, 0, -1
        if transfer_coding is not None:
            # A message with both forms of length would allow request smuggling.
            if length is not None or transfer_coding.lower() != "chunked":
                raise HttpError(400 if length is not None else 501, "transfer coding")
        elif length is not None:
            if not re.fullmatch(r"[0-9]{1,18}", length):
                raise HttpError(400, "malformed content-length")
            self.remaining_body = int(length)
            if self.remaining_body > self.max_body_bytes:
                raise HttpError(TOO_LARGE_STATUS, "body too large")
        elif self.parses_responses and self.head.status not in (204, 304):
            self.remaining_body, self.head.keep_alive = None, False

    def _read_body(self, has_ended: bool) -> bool:
        available = (
            len(self.data) if self.remaining_body is None else min(self.remaining_body, len(self.data))
        )
        self._append_body(available)
        if self.remaining_body is None:
            return has_ended
        self.remaining_body -= available
        return self.remaining_body == 0

    def _read_chunks(self) -> bool:
        while True:
            if self.chunk_bytes < 0:
                end = self.data.find(b"\r\n")
                if end < 0:
                    if len(self.data) > 1024:
                        raise HttpError(400, "malformed chunk")
                    return False
                size = self.data[:end].split(b";")[0].strip().decode("latin-1")
                if not re.fullmatch(r"[0-9a-fA-F]{1,8}", size):
                    raise HttpError(400, "malformed chunk")
                if size.strip("0") == "":
                    return self._read_trailer(end)
                del self.data[: end + 2]
                self.chunk_bytes = int(size, 16)
            if len(self.body) + self.chunk_bytes > self.max_body_bytes:
                raise HttpError(TOO_LARGE_STATUS, "body too large")
            if len(self.data) < self.chunk_bytes + 2:
                return False
            self._append_body(self.chunk_bytes)
            if self.data[:2] != b"\r\n":
                raise HttpError(400, "malformed chunk")
            del self.data[:2]
            self.chunk_bytes = -1

    def _read_trailer(self, offset: int) -> bool:
        if self.data[offset + 2 : offset + 4] == b"\r\n":
            del self.data[: offset + 4]
            return True
        end = self.data.find(b"\r\n\r\n", offset)
        if end < 0 and len(self.data) > MAX_HEAD_BYTES:
            raise HttpError(431, "trailer too large")
        if end >= 0:
            del self.data[: end + 4]
        return end >= 0

    def _append_body(self, count: int) -> None:
        if len(self.body) + count > self.max_body_bytes:
            raise HttpError(TOO_LARGE_STATUS, "body too large")
        self.body += self.data[:count]
        del self.data[:count]


class HttpStream(PooledStream):
    """A byte stream that carries HTTP messages."""

    def __init__(
        self,
        stream: IOStream,
        buffers: BufferPool,
        parses_responses: bool = False,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        super().__init__(stream, buffers)
        self.parser = HttpParser(parses_responses, max_body_bytes)
        self.has_timed_out = False  # an incomplete message was answered with 408

    async def receive(self, timeout_s: float | None = None, is_fresh: bool = False) -> HttpMessage | None:
        """Returns the next message, or None if the connection ended first.

        If a message is not complete timeout_s after its first byte, it is answered with 408 and the
        connection closed. With is_fresh, the timeout starts immediately, and a connection without input is
        closed without a response. Raises HttpError.
        """
        try:
            while True:
                message = self.parser.next_message()
                if message is not None:
                    return message
                if (
                    self.message_timer is None
                    and timeout_s is not None
                    and (is_fresh or not self.parser.is_idle())
                ):
                    self.message_timer = IOLoop.current().call_later(timeout_s, self._handle_stall)
                if not await self.read(self.parser.data):
                    return self.parser.next_message(has_ended=True)
        finally:
            self.cancel_message_timer()

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
