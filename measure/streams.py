"""Open asyncio streams of a stand-in or a test, which have to be closed before their event loop is.

A stream that is collected after its loop was closed raises in its destructor, in whichever code the garbage
collector happens to run.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]
ConnectionHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class OpenStreams:
    """Holds the streams that were opened or accepted through it until they are closed."""

    def __init__(self) -> None:
        self.writers: set[asyncio.StreamWriter] = set()

    def add(self, writer: asyncio.StreamWriter) -> None:
        """Holds a stream until close()."""
        self.writers.add(writer)

    async def connect(self, host: str, port: int) -> Streams:
        """Opens a connection. Raises OSError."""
        reader, writer = await asyncio.open_connection(host, port)
        self.writers = {each for each in self.writers if not each.is_closing()}
        self.add(writer)
        return reader, writer

    def accepting(self, handler: ConnectionHandler) -> Callable[..., Coroutine[None, None, None]]:
        """Returns a callback for asyncio.start_server that closes each stream when its handler returns."""

        def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> Coroutine[None, None, None]:
            self.add(writer)  # here, as a task that is cancelled before its first step runs no code
            return self._handle(handler, reader, writer)

        return accept

    async def _handle(
        self, handler: ConnectionHandler, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await handler(reader, writer)
        finally:
            writer.close()
            self.writers.discard(writer)

    def close(self) -> None:
        """Closes all streams."""
        for each in self.writers:
            each.close()
        self.writers.clear()
