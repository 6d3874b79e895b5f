"""GET /journal/... on the admin socket: what `spanwing journal` prints, by a process of its own.

Guarantees: the scheduler's loop reads no journal; AT_ONCE readers at most, each ended after WHOLE_S or as
soon as the one who asked goes; its output is passed on as fast as it is read, HELD bytes at most are kept.

    GET /journal/list, /journal/show/REQUEST, /journal/query?q=EXPRESSION, /journal/tail?n=COUNT,
    /journal/export?format=csv&q=EXPRESSION, /journal/verify, /journal/stats

Answers are closed by the end of the connection: JSON, one object a line, plain text from verify, CSV where
it is asked for (Parquet needs a file of its own). 400 is a
faulty question, 404 what the journal does not know, 503 no reader free.
"""

from __future__ import annotations

import subprocess
import sys
from contextlib import suppress
from datetime import timedelta
from urllib.parse import parse_qs, unquote, urlsplit

from tornado.gen import TimeoutError as WaitOver
from tornado.gen import with_timeout
from tornado.ioloop import IOLoop
from tornado.iostream import StreamClosedError
from tornado.process import Subprocess

from spanwing.wire.stream import LineStream

AT_ONCE = 2
WHOLE_S = 120.0
HELD = 256 * 1024
LONGEST_HEAD = 50  # lines
SHOWN = 500  # bytes of a fault
REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    503: "Service Unavailable",
}


def arguments(target: str) -> list[str]:
    """Those of the command. Raises ValueError on a path that there is not."""
    parts = urlsplit(target)
    asked = {name: values[-1] for name, values in parse_qs(parts.query).items()}
    path = [unquote(each) for each in parts.path.split("/")[2:]]
    match path:
        case ["list" | "stats" as what]:
            return [what, "--json"]
        case ["show", request] if request:
            return ["show", "--json", "--", request]
        case ["query"] if "q" in asked:
            return ["query", "--json", "--limit", "0", "--", asked["q"]]
        case ["export"] if (form := asked.get("format", "jsonl")) in ("jsonl", "csv"):
            return ["export", "--format", form, "--", asked.get("q", "")]
        case ["tail"] if asked.get("n", "10").isdecimal() and len(asked.get("n", "10")) <= 6:
            return ["tail", "-n", asked.get("n", "10")]
        case ["verify"]:
            return ["verify"]
    raise ValueError("the pages are list, show/REQUEST, query?q=, export?q=, tail?n=, verify and stats")


def head(status: int, form: str = "text/plain") -> bytes:
    return (
        f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Type: {form}\r\nConnection: close\r\n\r\n"
    ).encode()


class JournalPage:
    """Runs the readers."""

    def __init__(self, directory: str) -> None:
        self.directory, self.running = directory, 0

    async def serve(self, lines: LineStream, request: bytes, whole_s: float) -> None:
        """Answer one question, of which the first line was read."""
        for _ in range(LONGEST_HEAD):
            line = await lines.line(whole_s)
            if not line:
                break
        method, _, rest = request.decode("latin-1").partition(" ")
        target = rest.partition(" ")[0]
        if method != "GET":
            return await lines.write(head(405) + b"GET only\n")
        if not self.directory or not target.startswith("/journal/"):
            return await lines.write(
                head(404) + b"no journal is kept here\n"
                if not self.directory
                else head(404) + b"only /journal/ is here\n"
            )
        if self.running >= AT_ONCE:
            return await lines.write(head(503) + b"the journal is being read by others\n")
        try:
            command = arguments(target)
        except ValueError as fault:
            return await lines.write(head(404) + f"{fault}\n".encode())
        self.running += 1
        try:
            await self._run(lines, command)
        finally:
            self.running -= 1

    async def _run(self, lines: LineStream, command: list[str]) -> None:
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
        reader.stdout.max_buffer_size = reader.stderr.max_buffer_size = HELD
        end = IOLoop.current().call_later(WHOLE_S, reader.proc.kill)
        # Who goes away while nothing is written is noticed here, and the reader ends at once.
        lines.stream.set_close_callback(reader.proc.kill)
        try:
            told = False
            while data := await self._read(reader.stdout):
                if not told:
                    form = (
                        "text/plain"
                        if command[0] == "verify"
                        else "text/csv"
                        if "csv" in command[:3]
                        else "application/x-ndjson"
                    )
                    await lines.write(head(200, form))
                    told = True
                await lines.write(data)
            if not told:
                fault = (await self._read(reader.stderr))[:SHOWN]
                status = await self._ended(reader)
                code = {0: 200, 2: 400}.get(status, 404)
                await lines.write(head(code) + (b"" if code == 200 else fault))
        finally:
            IOLoop.current().remove_timeout(end)
            lines.stream.set_close_callback(None)
            if reader.proc.poll() is None:
                reader.proc.kill()
            await self._ended(reader)
            reader.stdout.close()
            reader.stderr.close()

    @staticmethod
    async def _read(stream) -> bytes:
        with suppress(StreamClosedError):
            return await stream.read_bytes(65536, partial=True)
        return b""

    @staticmethod
    async def _ended(reader: Subprocess) -> int:
        """Its exit status; it has closed its output, or was killed, and ends now."""
        with suppress(WaitOver):
            return await with_timeout(
                timedelta(seconds=5), IOLoop.current().run_in_executor(None, reader.proc.wait)
            )
        return -1
