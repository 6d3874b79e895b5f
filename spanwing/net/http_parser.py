"""An incremental parser of HTTP/1.1 messages (RFC 9112).

What a message may make the process keep or compute is bounded: heads by size and number of fields, bodies by
size and number of chunks. What has been searched for the end of a head or a trailer is not searched again,
and fields that nobody uses are not kept.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

MAX_HEAD_BYTES = 16 * 1024  # also of the trailer of a chunked body
MAX_FIELDS = 256  # in a head
MAX_BODY_BYTES = 64 * 1024  # the platform protocol's limit for a job's request or response
MAX_CHUNK_LINE_BYTES = 1024  # size and extensions
MIN_MEAN_CHUNK_BYTES = 32  # a body may have as many chunks as one of the maximum size has of this size
TOO_LARGE_STATUS = 413
TOKEN_PATTERN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
TARGET_PATTERN = re.compile(r"[!-~]+")
#: All but the tab. They are invalid in a field value (RFC 9110, 5.5); a line end would end the field.
CONTROL_PATTERN = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
VERSION_PATTERN = re.compile(r"HTTP/\d\.\d")
STATUS_PATTERN = re.compile(r"[1-5]\d\d")
LENGTH_PATTERN = re.compile(r"[0-9]{1,18}")
CHUNKS_AT_ONCE = 128  # then next_message() returns, so that others get their turn
EMPTY_LINES_PATTERN = re.compile(rb"(?:\r\n)+")
CHUNK_LINE_PATTERN = re.compile(rb"[ \t]*([0-9a-fA-F]{1,8})[ \t]*(?:;[^\r]*)?\r\n")
#: Fields that the parser itself needs.
FRAMING_FIELDS = frozenset({"content-length", "transfer-encoding", "connection", "host"})


class HttpError(Exception):
    """The input is not an acceptable HTTP message; status is the status of the error response."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


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

    def __init__(
        self,
        parses_responses: bool = False,
        max_body_bytes: int = MAX_BODY_BYTES,
        used_fields: frozenset[str] | None = None,
    ) -> None:
        """used_fields: names in lower case of the fields that messages keep; None: all."""
        self.parses_responses, self.max_body_bytes, self.used_fields = (
            parses_responses,
            max_body_bytes,
            used_fields,
        )
        self.max_chunks = max_body_bytes // MIN_MEAN_CHUNK_BYTES
        self.data = bytearray()
        self.searched_bytes = 0  # of data, in which the end of the head or of the line is not
        self.head: HttpMessage | None = None
        self.head_bytes = 0  # size on the wire of the current head
        self.remaining_body: int | None = 0  # body bytes to read; None: until the connection ends
        self.is_chunked = False
        self.remaining_chunk: int | None = None  # bytes of the current chunk; None: a size line comes next
        self.chunk_count = 0
        self.is_interrupted = False  # next_message() has returned although data holds more chunks
        self.trailer_bytes: int | None = None  # read of the trailer; None: it has not begun
        self.body = bytearray()

    def is_idle(self) -> bool:
        """Returns whether the parser is between messages and holds no input."""
        return self.head is None and not self.data

    def held_bytes(self) -> int:
        """Returns the bytes of input that the parser holds, parsed or not."""
        return len(self.data) + len(self.body) + (0 if self.head is None else self.head_bytes)

    def discard(self) -> None:
        """Drops all input; no message can be parsed any more."""
        self.data.clear()
        self.body, self.head, self.searched_bytes = bytearray(), None, 0

    def next_message(self, has_ended: bool = False) -> HttpMessage | None:
        """Returns the next complete message, or None if more input is needed, or after CHUNKS_AT_ONCE chunks.

        With has_ended, no more input follows, which completes a body without a length. Raises HttpError.
        """
        self.is_interrupted = False
        if self.head is None and not self._read_head():
            return None
        is_complete = self._read_chunks() if self.is_chunked else self._read_body(has_ended)
        if not is_complete:
            return None
        message, self.head = self.head, None
        message.body, self.body = bytes(self.body), bytearray()
        return message

    def _read_head(self) -> bool:
        if empty_lines := EMPTY_LINES_PATTERN.match(self.data):  # before a message (RFC 9112, 2.2)
            del self.data[: empty_lines.end()]
            self.searched_bytes = 0
        end = self._find(b"\r\n\r\n")
        if end < 0 and len(self.data) < MAX_HEAD_BYTES + len(b"\r\n\r\n"):
            return False
        if end < 0 or end > MAX_HEAD_BYTES:
            raise HttpError(431, "head too large")
        if self.data.count(b"\r\n", 0, end) > MAX_FIELDS:
            raise HttpError(431, "too many header fields")
        lines = self._without_control_characters(self.data[:end].decode("latin-1").split("\r\n"))
        self._consume(end + 4)
        self.head_bytes = end
        headers = self._parse_fields(lines[1:])
        self.head = self._parse_first_line(lines[0], headers)
        self._set_framing(headers)
        if self.used_fields is not None:
            self.head.headers = {name: headers[name] for name in self.used_fields if name in headers}
        return True

    def _parse_fields(self, lines: list[str]) -> dict[str, str]:
        """Returns the fields that are used or needed for the framing; checks the others."""
        headers: dict[str, str] = {}
        for line in lines:
            name, colon, value = line.partition(":")
            if not colon or not TOKEN_PATTERN.fullmatch(name):
                raise HttpError(400, "malformed header")
            name = name.lower()
            if self.used_fields is not None and name not in self.used_fields and name not in FRAMING_FIELDS:
                continue
            value = value.strip(" \t")
            if name in ("content-length", "host") and headers.get(name, value) != value:
                raise HttpError(400, f"{name} differs")
            headers[name] = value
        return headers

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
        if not VERSION_PATTERN.fullmatch(version):
            raise HttpError(400, "no HTTP version")
        if version not in ("HTTP/1.1", "HTTP/1.0"):
            raise HttpError(505, "another HTTP version")
        connection_options = headers.get("connection", "").lower()
        keep_alive = "close" not in connection_options and (
            version == "HTTP/1.1" or "keep-alive" in connection_options
        )
        if self.parses_responses:
            if not STATUS_PATTERN.fullmatch(parts[1]):
                raise HttpError(400, "malformed status")
            return HttpMessage("", "", int(parts[1]), headers, keep_alive)
        if not TOKEN_PATTERN.fullmatch(parts[0]) or not TARGET_PATTERN.fullmatch(parts[1]):
            raise HttpError(400, "malformed first line")
        return HttpMessage(parts[0], parts[1], 0, headers, keep_alive)

    def _set_framing(self, headers: dict[str, str]) -> None:
        transfer_coding, length = headers.get("transfer-encoding"), headers.get("content-length")
        self.is_chunked, self.remaining_body = transfer_coding is not None, 0
        self.remaining_chunk, self.chunk_count, self.trailer_bytes = None, 0, None
        if transfer_coding is not None:
            # A message with both forms of length would allow request smuggling.
            if length is not None or transfer_coding.lower() != "chunked":
                raise HttpError(400 if length is not None else 501, "transfer coding")
        elif length is not None:
            if not LENGTH_PATTERN.fullmatch(length):
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
        if len(self.body) + available > self.max_body_bytes:
            raise HttpError(TOO_LARGE_STATUS, "body too large")
        self.body += self.data[:available]
        self._consume(available)
        if self.remaining_body is None:
            return has_ended
        self.remaining_body -= available
        return self.remaining_body == 0

    def _read_chunks(self) -> bool:
        position, last_count = 0, self.chunk_count + CHUNKS_AT_ONCE
        try:
            while self.trailer_bytes is None:
                if self.chunk_count >= last_count and self.remaining_chunk is None:
                    self.is_interrupted = True
                    return False
                if self.remaining_chunk is None:
                    position, is_complete = self._read_chunk_line(position)
                else:
                    position, is_complete = self._read_chunk_data(position)
                if not is_complete:
                    return False
        finally:
            if position:
                self._consume(position)
        return self._read_trailer()

    def _read_chunk_line(self, position: int) -> tuple[int, bool]:
        """Reads a chunk's size line; returns the position behind it, and whether it was complete."""
        match = CHUNK_LINE_PATTERN.match(self.data, position)
        if match is None or match.end() - position > MAX_CHUNK_LINE_BYTES:
            is_partial = len(self.data) - position <= MAX_CHUNK_LINE_BYTES
            if is_partial and self.data.find(b"\r\n", position) < 0:
                return position, False
            raise HttpError(400, "malformed chunk")
        size = int(match[1], 16)
        if size == 0:
            self.trailer_bytes = 0
            return match.end(), True
        if len(self.body) + size > self.max_body_bytes:
            raise HttpError(TOO_LARGE_STATUS, "body too large")
        self.chunk_count += 1
        if self.chunk_count > self.max_chunks:
            raise HttpError(TOO_LARGE_STATUS, "too many chunks")
        self.remaining_chunk = size
        return match.end(), True

    def _read_chunk_data(self, position: int) -> tuple[int, bool]:
        """Reads what is there of a chunk; returns the position behind it, and whether it was complete."""
        available = min(self.remaining_chunk, len(self.data) - position)
        self.body += self.data[position : position + available]
        position += available
        self.remaining_chunk -= available
        if self.remaining_chunk or len(self.data) < position + 2:
            return position, False
        if not self.data.startswith(b"\r\n", position):
            raise HttpError(400, "malformed chunk")
        self.remaining_chunk = None
        return position + 2, True

    def _read_trailer(self) -> bool:
        """Drops the trailer; returns whether it has ended."""
        while (end := self._find(b"\r\n")) >= 0:
            self._consume(end + 2)
            self.trailer_bytes += end + 2
            if end == 0:
                return True
            self._check_trailer()
        self._check_trailer()
        return False

    def _check_trailer(self) -> None:
        if self.trailer_bytes + len(self.data) > MAX_HEAD_BYTES:
            raise HttpError(431, "trailer too large")

    def _find(self, delimiter: bytes) -> int:
        """Returns the offset of the delimiter in data, or -1, without searching the same bytes again."""
        found = self.data.find(delimiter, max(0, self.searched_bytes - len(delimiter) + 1))
        self.searched_bytes = len(self.data) if found < 0 else 0
        return found

    def _consume(self, count: int) -> None:
        del self.data[:count]
        self.searched_bytes = 0
