"""Stand-ins for job workers, on asyncio.

Workers answer a job with a 200, at once or after its running time. CallingWorkers accept it with a 202 and
report its progress and result by call-backs.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import socket
from collections import Counter
from contextlib import suppress

from measure.streams import OpenStreams, Streams

HostPort = tuple[str, int]
PROGRESS_INTERVAL_S = 0.5  # between the progress reports of a job that may not complete yet


class Workers:
    """Job workers on loopback, with a count of each job's runs.

    `running_s` holds the bounds of the random running time; jobs are answered at once if the upper one is 0.
    """

    def __init__(self, running_s: tuple[float, float], seed: int) -> None:
        self.running_s, self.random = running_s, random.Random(seed)
        self.run_counts: Counter[str] = Counter()
        self.servers: list[asyncio.Server] = []

    async def start(self, count: int) -> list[tuple[str, int]]:
        """Starts `count` workers and returns their names and ports."""
        for _ in range(count):
            self.servers.append(await asyncio.start_server(self._serve, "127.0.0.1", 0))
        return [(f"w{n}", each.sockets[0].getsockname()[1]) for n, each in enumerate(self.servers)]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                headers = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
                await reader.readexactly(int(headers.get("content-length", 0)))
                if head.startswith("POST"):
                    self.run_counts[headers["x-call-id"]] += 1
                    if self.running_s[1] > 0:
                        await asyncio.sleep(self.random.uniform(*self.running_s))
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def stop(self) -> None:
        """Stops listening."""
        for each in self.servers:
            each.close()


def is_closed_by_peer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
    """Returns whether the peer has closed the connection, even if the event loop has not read that yet."""
    if reader.at_eof():
        return True
    with socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno())) as duplicate:
        try:
            return not duplicate.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True


class CallingWorkers(Workers):
    """Workers that report on their jobs by call-backs to one scheduler, over reused connections."""

    def __init__(self, running_s: tuple[float, float], seed: int, callback_address: HostPort) -> None:
        super().__init__(running_s, seed)
        self.callback_address, self.attempts_in_flight = callback_address, Counter()
        self.most_attempts_at_once = (
            0  # of one request at once; one cancelled while its 202 is on the way counts too
        )
        self.open_streams = OpenStreams()  # to the scheduler
        self.idle: list[Streams] = []
        self.tasks: set[asyncio.Task] = set()
        self.failed_callbacks = 0  # tries on a connection that was refused, reset or closed without an answer
        self.running: dict[tuple[str, str], asyncio.Task] = {}
        self.completion_allowed = asyncio.Event()  # while clear, jobs go on past their running time
        self.completion_allowed.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        addresses = [each.sockets[0].getsockname() for each in self.servers]
        name = f"w{addresses.index(writer.get_extra_info('sockname'))}"
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                headers = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
                await reader.readexactly(int(headers.get("content-length", 0)))
                status = 200
                if is_closed_by_peer(reader, writer):  # a close before the 202 cancels the attempt
                    return
                if head.startswith("POST"):
                    status, job = 202, headers["x-call-id"]
                    self.run_counts[job] += 1
                    self.attempts_in_flight[job] += 1
                    self.most_attempts_at_once = max(self.most_attempts_at_once, self.attempts_in_flight[job])
                    task = self.running[name, job] = asyncio.ensure_future(self._run_job(name, job))
                    self.tasks.add(task)
                    task.add_done_callback(self.tasks.discard)
                elif head.startswith("DELETE"):
                    self._cancel_job(name, head.split(" ")[1].rpartition("/")[2])
                writer.write(b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % status)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _cancel_job(self, name: str, job: str) -> None:
        task = self.running.pop((name, job), None)
        if task is not None and not task.done():
            task.cancel()
            self.attempts_in_flight[job] -= 1

    async def _run_job(self, name: str, job: str) -> None:
        running_s = self.random.uniform(*self.running_s)
        await self._call_back({"id": job, "from": name, "state": "started"})
        await asyncio.sleep(running_s / 2)
        await self._call_back({"id": job, "from": name, "state": "running", "share": 0.5})
        await asyncio.sleep(running_s / 2)
        while not self.completion_allowed.is_set():
            await self._call_back({"id": job, "from": name, "state": "running", "share": 0.9})
            with suppress(TimeoutError):
                await asyncio.wait_for(self.completion_allowed.wait(), PROGRESS_INTERVAL_S)
        self.attempts_in_flight[job] -= 1
        del self.running[name, job]
        for _ in range(1 + (self.random.random() < 0.2)):  # one in five results is sent twice
            await self._call_back({"id": job, "from": name, "state": "done", "result": job})

    async def _call_back(self, event: dict) -> None:
        body = json.dumps(event).encode()
        data = b"POST /v1/job-events HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        for _ in range(10):
            try:
                reader, writer = (
                    self.idle.pop() if self.idle else await self.open_streams.connect(*self.callback_address)
                )
            except OSError:
                self.failed_callbacks += 1
                continue
            try:
                writer.write(data)
                status = (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1]
            except (OSError, asyncio.IncompleteReadError):
                writer.close()
                self.failed_callbacks += 1
                continue
            if status in (b"200", b"204"):
                self.idle.append((reader, writer))
                return
            writer.close()

    def stop(self) -> None:
        """Stops listening, cancels the jobs and closes the connections to the scheduler."""
        super().stop()
        for each in self.tasks:
            each.cancel()
        self.open_streams.close()
