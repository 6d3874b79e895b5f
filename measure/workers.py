"""Stand-in job workers, on asyncio: each answers a job at once or after its running time, with a 200."""

from __future__ import annotations

import asyncio
import random
from collections import Counter


class Workers:
    """Some of them, with a record of what ran how often."""

    def __init__(self, running_s: tuple[float, float], seed: int) -> None:
        self.running_s, self.random = running_s, random.Random(seed)
        self.ran: Counter[str] = Counter()
        self.servers: list[asyncio.Server] = []

    async def start(self, count: int) -> list[tuple[str, int]]:
        """Names and ports."""
        for _ in range(count):
            self.servers.append(await asyncio.start_server(self._serve, "127.0.0.1", 0))
        return [(f"w{n}", each.sockets[0].getsockname()[1]) for n, each in enumerate(self.servers)]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
                await reader.readexactly(int(fields.get("content-length", 0)))
                if head.startswith("POST"):
                    self.ran[fields["x-call-id"]] += 1
                    if self.running_s[1] > 0:
                        await asyncio.sleep(self.random.uniform(*self.running_s))
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def stop(self) -> None:
        for each in self.servers:
            each.close()
