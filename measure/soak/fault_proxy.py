"""A TCP proxy on one link of the soak, which delays, holds, cuts, resets or refuses what it carries."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable
from dataclasses import dataclass

HOST = "127.0.0.1"
CHUNK_BYTES = 65536
MAX_QUEUED_CHUNKS = 1000


@dataclass
class LinkState:
    """The fault on a link; every field at its default: none."""

    delay_s: float = 0.0  # each chunk is passed on this much later
    holds_requests: bool = False  # silent in this direction: bytes and ends wait until it is over
    holds_answers: bool = False
    refuses: bool = False  # new connections are reset
    piece_bytes: int = 0  # bytes are passed on in pieces of this size; 0: as they come
    connect_delay_s: float = 0.0  # a new connection passes nothing for this long


class FaultProxy:
    """Carries connections to a target port.

    observe gets what the source sends, by connection number; an empty chunk is the source's end.
    """

    def __init__(self, target_port: int, observe: Callable[[int, bytes], None] | None = None) -> None:
        self.target_port, self.observe = target_port, observe
        self.state, self.port = LinkState(), 0
        self.changed = asyncio.Event()
        self.writers: set[asyncio.StreamWriter] = set()
        self.connection_count = 0
        self.server: asyncio.Server | None = None

    async def listen(self) -> int:
        """Starts to listen on a free port of the loopback address; returns it."""
        self.server = await asyncio.start_server(self._accept, HOST, 0, backlog=256)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    def set_state(self, state: LinkState) -> None:
        """Puts another fault into force, for open connections too."""
        self.state = state
        self.changed.set()
        self.changed = asyncio.Event()

    def reset_connections(self, draw: random.Random | None = None) -> None:
        """Resets the open connections; with draw about half of them."""
        for writer in list(self.writers):
            if draw is None or draw.random() < 0.5:
                writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connection_count += 1
        number, target = self.connection_count, None
        self.writers.add(writer)
        # What the source sends is seen when it leaves the source, however long it is held here.
        requests: asyncio.Queue[bytes] = asyncio.Queue(MAX_QUEUED_CHUNKS)
        reading = asyncio.ensure_future(self._read(reader, requests, number))
        try:
            if self.state.refuses:
                return
            await asyncio.sleep(self.state.connect_delay_s)
            target_reader, target = await asyncio.open_connection(HOST, self.target_port)
            self.writers.add(target)
            answers: asyncio.Queue[bytes] = asyncio.Queue(MAX_QUEUED_CHUNKS)
            await asyncio.gather(
                reading,
                self._read(target_reader, answers, None),
                self._pass_on(requests, target, lambda: self.state.holds_requests),
                self._pass_on(answers, writer, lambda: self.state.holds_answers),
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            reading.cancel()
            if self.observe is not None:
                self.observe(number, b"")
            for each in (writer, target):
                if each is not None:
                    self.writers.discard(each)
                    each.transport.abort()

    async def _read(
        self, reader: asyncio.StreamReader, queue: asyncio.Queue[bytes], number: int | None
    ) -> None:
        """Queues what comes; an empty chunk at the end."""
        data = b"-"
        while data:
            try:
                data = await reader.read(CHUNK_BYTES)
            except ConnectionError:
                data = b""
            if number is not None and self.observe is not None:
                self.observe(number, data)
            await queue.put(data)

    async def _pass_on(
        self, queue: asyncio.Queue[bytes], writer: asyncio.StreamWriter, is_held: Callable[[], bool]
    ) -> None:
        while data := await queue.get():
            await self._wait(is_held)
            await self._write(writer, data)
        await self._wait(is_held)
        with contextlib.suppress(OSError):
            writer.write_eof()

    async def _wait(self, is_held: Callable[[], bool]) -> None:
        await asyncio.sleep(self.state.delay_s)
        while is_held():
            await self.changed.wait()

    async def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        size = self.state.piece_bytes or len(data)
        for start in range(0, len(data), size):
            writer.write(data[start : start + size])
            await writer.drain()
            if size < len(data):
                await asyncio.sleep(0.001)


class RequestSplitter:
    """Splits the bytes that a scheduler sends on one connection into HTTP requests."""

    def __init__(self) -> None:
        self.data = b""
        self.begun_s: float | None = None

    def feed(self, data: bytes, now_s: float) -> list[tuple[bytes, float]]:
        """Returns the heads of the requests that are complete now, each with the time of its first byte."""
        if self.begun_s is None:
            self.begun_s = now_s
        self.data += data
        complete = []
        while (end := self.data.find(b"\r\n\r\n")) >= 0:
            head = self.data[:end]
            length = 0
            for line in head.split(b"\r\n")[1:]:
                name, _, value = line.partition(b":")
                if name.lower() == b"content-length":
                    length = int(value)
            if len(self.data) < end + 4 + length:
                break
            complete.append((head, self.begun_s))
            self.data = self.data[end + 4 + length :]
            self.begun_s = now_s if self.data else None
        return complete
