"""A TCP proxy for one link of the soak, with faults: delays, silence, small fragments, resets, refusals."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable
from dataclasses import dataclass

HOST = "127.0.0.1"
CHUNK_BYTES = 65536
MAX_QUEUED_CHUNKS = 1000  # in each direction of a connection; reading stops at this limit


@dataclass
class LinkState:
    """The fault on a link. The default values mean no fault."""

    delay_s: float = 0.0  # added before each chunk is forwarded
    holds_requests: bool = False  # bytes and ends of stream from the source wait while this is set
    holds_answers: bool = False  # the same for those from the target
    refuses_connections: bool = False  # new connections are reset
    piece_bytes: int = 0  # bytes are forwarded in pieces of this size; 0: as received
    connect_delay_s: float = 0.0  # a new connection forwards nothing for this long


class FaultProxy:
    """Listens on a loopback port and forwards connections to a target port, with the faults of its state.

    observe: called with the connection's number and each chunk from the source, and with an empty chunk at
        the end of the source's stream and at the end of the connection.
    """

    def __init__(self, target_port: int, observe: Callable[[int, bytes], None] | None = None) -> None:
        self.target_port, self.observe = target_port, observe
        self.state, self.port = LinkState(), 0
        self.state_changed = asyncio.Event()
        self.writers: set[asyncio.StreamWriter] = set()
        self.connection_count = 0
        self.server: asyncio.Server | None = None

    async def listen(self) -> int:
        """Starts to listen on a free loopback port and returns the port."""
        self.server = await asyncio.start_server(self._accept, HOST, 0, backlog=256)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    def set_state(self, state: LinkState) -> None:
        """Replaces the fault on the link, also for open connections."""
        self.state = state
        self.state_changed.set()
        self.state_changed = asyncio.Event()

    def reset_connections(self, rng: random.Random | None = None) -> None:
        """Resets every open connection, or each end with a probability of one half if rng is given."""
        for writer in list(self.writers):
            if rng is None or rng.random() < 0.5:
                writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connection_count += 1
        number, target = self.connection_count, None
        self.writers.add(writer)
        # Reading starts at once, so observe is called when the source sends, however long the proxy then
        # holds the bytes.
        requests: asyncio.Queue[bytes] = asyncio.Queue(MAX_QUEUED_CHUNKS)
        reading = asyncio.ensure_future(self._read(reader, requests, number))
        try:
            if self.state.refuses_connections:
                return
            await asyncio.sleep(self.state.connect_delay_s)
            target_reader, target = await asyncio.open_connection(HOST, self.target_port)
            self.writers.add(target)
            answers: asyncio.Queue[bytes] = asyncio.Queue(MAX_QUEUED_CHUNKS)
            await asyncio.gather(
                reading,
                self._read(target_reader, answers, None),
                self._forward(requests, target, lambda: self.state.holds_requests),
                self._forward(answers, writer, lambda: self.state.holds_answers),
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
        """Queues and observes the received chunks, then an empty chunk at the end of the stream."""
        data = b"-"
        while data:
            try:
                data = await reader.read(CHUNK_BYTES)
            except ConnectionError:
                data = b""
            if number is not None and self.observe is not None:
                self.observe(number, data)
            await queue.put(data)

    async def _forward(
        self, queue: asyncio.Queue[bytes], writer: asyncio.StreamWriter, is_held: Callable[[], bool]
    ) -> None:
        """Forwards the queued chunks and then the end of the stream."""
        while data := await queue.get():
            await self._wait_until_released(is_held)
            await self._write(writer, data)
        await self._wait_until_released(is_held)
        with contextlib.suppress(OSError):
            writer.write_eof()

    async def _wait_until_released(self, is_held: Callable[[], bool]) -> None:
        """Waits for the link's delay, then for as long as the link holds this direction."""
        await asyncio.sleep(self.state.delay_s)
        while is_held():
            await self.state_changed.wait()

    async def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Writes the data, in pieces if the link's fault says so."""
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
        self.began_s: float | None = None

    def feed(self, data: bytes, now_s: float) -> list[tuple[bytes, float]]:
        """Adds received bytes and returns the requests that they complete.

        Returns for each request its head, without the empty line, and the time of its first byte.
        """
        if self.began_s is None:
            self.began_s = now_s
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
            complete.append((head, self.began_s))
            self.data = self.data[end + 4 + length :]
            self.began_s = now_s if self.data else None
        return complete
