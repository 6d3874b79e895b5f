"""Stand-in job workers, on asyncio: each answers a job at once or after its running time, with a 200, or
takes it with a 202 and calls back."""

from __future__ import annotations

import asyncio
import json
import os
import random
import socket
from collections import Counter
from contextlib import suppress

Place = tuple[str, int]
TELLS_S = 0.5  # between the words of a job that is held


class Workers:
    """Some of them, with a record of what ran how often."""

    def __init__(self, running_s: tuple[float, float], seed: int) -> None:
        self.running_s, self.random = running_s, random.Random(seed)
        self.run_counts: Counter[str] = Counter()
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
                    self.run_counts[fields["x-call-id"]] += 1
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


def gone(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
    """Whether the other side has closed, also where this loop has not come to read so."""
    if reader.at_eof():
        return True
    with socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno())) as seen:
        try:
            return not seen.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True


class CallingWorkers(Workers):
    """They tell what becomes of a job by call-backs, on connections that they keep, to one scheduler."""

    def __init__(self, running_s: tuple[float, float], seed: int, back: Place) -> None:
        super().__init__(running_s, seed)
        self.back, self.out = back, Counter()
        self.most_out = 0  # attempts of one request at once; a give-up that crosses a 202 counts as one too
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.tasks: set[asyncio.Task] = set()
        self.broken = 0  # call-backs that met a refused, reset or unread connection
        self.running: dict[tuple[str, str], asyncio.Task] = {}
        self.completion_allowed = (
            asyncio.Event()
        )  # while it is clear, jobs whose time is over go on, and tell so
        self.completion_allowed.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        ours = [each.sockets[0].getsockname() for each in self.servers]
        name = f"w{ours.index(writer.get_extra_info('sockname'))}"
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
                await reader.readexactly(int(fields.get("content-length", 0)))
                status = 200
                if gone(reader, writer):  # closed before the 202: that gives the attempt up
                    return
                if head.startswith("POST"):
                    status, job = 202, fields["x-call-id"]
                    self.run_counts[job] += 1
                    self.out[job] += 1
                    self.most_out = max(self.most_out, self.out[job])
                    task = self.running[name, job] = asyncio.ensure_future(self._run(name, job))
                    self.tasks.add(task)
                    task.add_done_callback(self.tasks.discard)
                elif head.startswith("DELETE"):
                    self._give_up(name, head.split(" ")[1].rpartition("/")[2])
                writer.write(b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % status)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _give_up(self, name: str, job: str) -> None:
        task = self.running.pop((name, job), None)
        if task is not None and not task.done():
            task.cancel()
            self.out[job] -= 1

    async def _run(self, name: str, job: str) -> None:
        running = self.random.uniform(*self.running_s)
        await self._call({"id": job, "from": name, "state": "started"})
        await asyncio.sleep(running / 2)
        await self._call({"id": job, "from": name, "state": "running", "share": 0.5})
        await asyncio.sleep(running / 2)
        while not self.completion_allowed.is_set():
            await self._call({"id": job, "from": name, "state": "running", "share": 0.9})
            with suppress(TimeoutError):
                await asyncio.wait_for(self.completion_allowed.wait(), TELLS_S)
        self.out[job] -= 1
        del self.running[name, job]
        for _ in range(1 + (self.random.random() < 0.2)):  # repeated, at times
            await self._call({"id": job, "from": name, "state": "done", "result": job})

    async def _call(self, event: dict) -> None:
        body = json.dumps(event).encode()
        data = b"POST /v1/job-events HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        for _ in range(10):
            try:
                reader, writer = self.idle.pop() if self.idle else await asyncio.open_connection(*self.back)
                writer.write(data)
                status = (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1]
            except (OSError, asyncio.IncompleteReadError):
                self.broken += 1
                continue
            if status in (b"200", b"204"):
                self.idle.append((reader, writer))
                return

    def stop(self) -> None:
        super().stop()
        for each in self.tasks:
            each.cancel()
        for _, writer in self.idle:
            writer.close()
