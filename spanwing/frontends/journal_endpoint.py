"""GET /journal/... on the admin socket: streams the output of `spanwing journal`.

Reading the journal would block the scheduler's event loop, so each request starts a reader process. At most
MAX_READERS of them run, and each is killed after READER_TIMEOUT_S or as soon as its client closes. Output is
passed on as fast as the client reads it, with at most MAX_BUFFERED_BYTES buffered.

    GET /journal/list, /journal/show/REQUEST, /journal/query?q=EXPRESSION, /journal/tail?n=COUNT,
    /journal/export?format=csv&q=EXPRESSION, /journal/verify, /journal/stats

The end of the connection delimits the response. The body is JSON with one object per line, plain text from
verify, or CSV on request. Parquet is not offered, as it must be written to a file. Status 400 reports an
invalid query, 404 a path or request that is not found, and 503 that all readers are busy.
"""

from __future__ import annotations

import subprocess
import sys
from contextlib import suppress
from datetime import timedelta
from urllib.parse import parse_qs, unquote, urlsplit

from tornado.gen import TimeoutError as TornadoTimeoutError
from tornado.gen import with_timeout
from tornado.ioloop import IOLoop
from tornado.iostream import StreamClosedError
from tornado.process import Subprocess

from spanwing.net.stream import LineStream

MAX_READERS = 2
READER_TIMEOUT_S = 120.0
MAX_BUFFERED_BYTES = 256 * 1024
MAX_HEADER_LINES = 50  # in a request
MAX_ERROR_BYTES = 500  # of a reader's error text
REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    503: "Service Unavailable",
}


def command_arguments(target: str) -> list[str]:
    """Returns the arguments of `spanwing journal` for a target; raises ValueError if its path is unknown."""
    parts = urlsplit(target)
    query = {name: values[-1] for name, values in parse_qs(parts.query).items()}
    path = [unquote(each) for each in parts.path.split("/")[2:]]
    match path:
        case ["list" | "stats" as what]:
            return [what, "--json"]
        case ["show", request] if request:
            return ["show", "--json", "--", request]
        case ["query"] if "q" in query:
            return ["query", "--json", "--limit", "0", "--", query["q"]]
        case ["export"] if (export_format := query.get("format", "jsonl")) in ("jsonl", "csv"):
            return ["export", "--format", export_format, "--", query.get("q", "")]
        case ["tail"] if query.get("n", "10").isdecimal() and len(query.get("n", "10")) <= 6:
            return ["tail", "-n", query.get("n", "10")]
        case ["verify"]:
            return ["verify"]
    raise ValueError("the pages are list, show/REQUEST, query?q=, export?q=, tail?n=, verify and stats")


def response_head(status: int, content_type: str = "text/plain") -> bytes:
    """Encodes the head of a response that is delimited by the end of the connection."""
    return (
        f"HTTP/1.1 {status} {REASON_PHRASES[status]}\r\n"
        f"Content-Type: {content_type}\r\nConnection: close\r\n\r\n"
    ).encode()


class JournalEndpoint:
    """Answers journal requests by running reader processes."""

    def __init__(self, directory: str) -> None:
        self.directory, self.reader_count = directory, 0

    async def serve(self, line_stream: LineStream, request: bytes, timeout_s: float) -> None:
        """Answers one request; request is its first line, without the line end."""
        for _ in range(MAX_HEADER_LINES):
            line = await line_stream.read_line(timeout_s)
            if not line:
                break
        method, _, rest = request.decode("latin-1").partition(" ")
        target = rest.partition(" ")[0]
        if method != "GET":
            return await line_stream.write(response_head(405) + b"GET only\n")
        if not self.directory or not target.startswith("/journal/"):
            return await line_stream.write(
                response_head(404) + b"no journal is kept here\n"
                if not self.directory
                else response_head(404) + b"only /journal/ is here\n"
            )
        if self.reader_count >= MAX_READERS:
            return await line_stream.write(response_head(503) + b"the journal is being read by others\n")
        try:
            command = command_arguments(target)
        except ValueError as error:
            return await line_stream.write(response_head(404) + f"{error}\n".encode())
        self.reader_count += 1
        try:
            await self._run_reader(line_stream, command)
        finally:
            self.reader_count -= 1

    async def _run_reader(self, line_stream: LineStream, command: list[str]) -> None:
        reader = Subprocess(
            [
                sys.executable,
                "-m",
                "spanwing.cli.main",
                "journal",
                command[0],
                "--directory",
                self.directory,
                *command[1:],
            ],
            stdin=subprocess.DEVNULL,
            stdout=Subprocess.STREAM,
            stderr=Subprocess.STREAM,
        )
        reader.stdout.max_buffer_size = reader.stderr.max_buffer_size = MAX_BUFFERED_BYTES
        timer = IOLoop.current().call_later(READER_TIMEOUT_S, reader.proc.kill)
        # Kills the reader immediately if the peer closes, even while nothing is being written.
        line_stream.stream.set_close_callback(reader.proc.kill)
        try:
            is_head_written = False
            while data := await self._read_chunk(reader.stdout):
                if not is_head_written:
                    content_type = (
                        "text/plain"
                        if command[0] == "verify"
                        else "text/csv"
                        if "csv" in command[:3]
                        else "application/x-ndjson"
                    )
                    await line_stream.write(response_head(200, content_type))
                    is_head_written = True
                await line_stream.write(data)
            if not is_head_written:
                error_text = (await self._read_chunk(reader.stderr))[:MAX_ERROR_BYTES]
                status = await self._wait_for_exit(reader)
                http_status = {0: 200, 2: 400}.get(status, 404)
                await line_stream.write(
                    response_head(http_status) + (b"" if http_status == 200 else error_text)
                )
        finally:
            IOLoop.current().remove_timeout(timer)
            line_stream.stream.set_close_callback(None)
            if reader.proc.poll() is None:
                reader.proc.kill()
            await self._wait_for_exit(reader)
            reader.stdout.close()
            reader.stderr.close()

    @staticmethod
    async def _read_chunk(stream) -> bytes:
        with suppress(StreamClosedError):
            return await stream.read_bytes(65536, partial=True)
        return b""

    @staticmethod
    async def _wait_for_exit(reader: Subprocess) -> int:
        """Returns the exit status of a reader that closed its output or was killed, or -1 after 5 s."""
        with suppress(TornadoTimeoutError):
            return await with_timeout(
                timedelta(seconds=5), IOLoop.current().run_in_executor(None, reader.proc.wait)
            )
        return -1
