"""Replaces a scheduler's process under load, again and again, on one listening socket that is held here.

Clients keep their connections and send one request after the other; job workers call back on connections of
their own, which come to whichever process accepts. Counted: connections that were refused, reset or closed
unread, requests without their one answer, attempts of one request at once, schedule-apply that ran twice, the
time from start to yes, and the memory and descriptors that both processes hold together at their peak.

    .venv/bin/python -m measure.replacements --times 100 --out docs/results/replacements.md
"""

from __future__ import annotations

import asyncio
import os
import random
import re
import socket
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import click

from measure.daemons import HostPort, Program, settings
from measure.workers import CallingWorkers

CLASSES = (("status-read", 5000), ("schedule-apply", 25000), ("setpoint-push", 8000))
YES_S = 6.0  # the platform's patience with a new process
LOOK_S = 0.02  # between looks at memory and descriptors


@dataclass
class Result:
    """Of some replacements."""

    replaced: int = 0
    requests: int = 0
    answers: Counter = field(default_factory=Counter)
    connection_errors: Counter = field(default_factory=Counter)  # refused, reset or unread connections
    unanswered: int = 0
    most_attempts: int = 0
    duplicate_runs: int = 0
    yes_s: list[float] = field(default_factory=list)
    left_s: list[float] = field(default_factory=list)
    memory_mb: float = 0.0
    descriptors: int = 0
    stderr_text: str = ""


class ReplacementRun:
    """One scheduler, its clients and its job workers."""

    def __init__(self, seed: int, clients: int, running_s: tuple[float, float], **limits: float) -> None:
        self.random = random.Random(seed)
        self.seed, self.clients, self.limits = seed, clients, {"sockets": 384, "memory_mb": 80, **limits}
        self.listening = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.address: HostPort = self.listening.getsockname()
        self.workers = CallingWorkers(running_s, seed, self.address)
        self.folder = tempfile.TemporaryDirectory()
        self.result, self.count, self.over = Result(), 0, False
        self.running: list[Program] = []
        self.discovery = "127.0.0.1:9"

    def start(self, fd: int | None = None, command: tuple[str, ...] = ("-m", "spanwing")) -> Program:
        members = [
            {
                "id": each,
                "host_port": f"127.0.0.1:{port}",
                "locality": "a",
                "flavor": "big",
                "cell": 0,
                "phase": "active",
                "size": 1.0,
                "up_since_ms": 0,
            }
            for each, port in self.places
        ]
        known = {"revision": 1, "complete": True, "members": members}
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.address[1]}",
            "discovery": self.discovery,
            "seed": "2a",
            "management": "127.0.0.1:0",
            "known": known,
            "limits": self.limits,
            "settings": settings(specifics={"tells_start": True, "progress_ms": 1000}),
        }
        fd = self.listening.fileno() if fd is None else fd
        started = Program(
            config,
            "",
            command=command,
            inherited_fds=(self.listening.fileno(),),
            environment={"ROUTER_FD": str(fd), "TMPDIR": self.folder.name},
        )
        self.running.append(started)
        return started

    async def open(self) -> Program:
        self.places = await self.workers.start(8)
        first = await asyncio.to_thread(self.start)
        if not await asyncio.to_thread(first.serving):
            raise RuntimeError(first.stderr_text())
        self.tasks = [asyncio.ensure_future(self._client(n)) for n in range(self.clients)]
        self.looks = asyncio.ensure_future(self._look())
        return first

    async def replace(self, old: Program) -> Program:
        """As the platform does: the old one hears SIGTERM at the new one's yes."""
        at = time.monotonic()
        new = await asyncio.to_thread(self.start)
        if not await asyncio.to_thread(new.serving):
            raise RuntimeError(new.stderr_text())
        await self.wait_until_healthy(new, at + YES_S)
        self.result.yes_s.append(time.monotonic() - at)
        await self.stop_process(old)
        self.result.replaced += 1
        return new

    async def wait_until_healthy(self, process: Program, end: float) -> None:
        while not await self.is_healthy(process):
            if time.monotonic() > end:
                raise RuntimeError(f"no yes: {process.stderr_text()}")
            await asyncio.sleep(0.01)

    async def is_healthy(self, process: Program) -> bool:
        return b" 200 " in await self.get_management(process, "healthcheck")

    async def get_management(self, process: Program, path: str) -> bytes:
        reader, writer = await asyncio.open_connection(*process.addresses["management"])
        writer.write(f"GET /{path} HTTP/1.1\r\n\r\n".encode())
        try:
            return await reader.read()
        finally:
            writer.close()

    async def stop_process(self, old: Program) -> None:
        at = time.monotonic()
        old.process.terminate()
        await asyncio.to_thread(old.process.wait, 30)
        self.result.left_s.append(time.monotonic() - at)
        self.remove_process(old)

    def remove_process(self, ended: Program) -> None:
        self.running.remove(ended)
        self.result.stderr_text += ended.stderr_text()
        ended.close()

    async def close(self) -> Result:
        self.over = True
        await asyncio.gather(*self.tasks)
        self.looks.cancel()
        for each in list(self.running):
            self.remove_process(each)
        self.workers.stop()
        self.listening.close()
        self.folder.cleanup()
        result = self.result
        result.requests, result.most_attempts = self.count, self.workers.most_attempts
        result.connection_errors["call-backs"] = self.workers.failed_callbacks
        result.duplicate_runs = sum(
            count > 1 for job, count in self.workers.run_counts.items() if "schedule-apply" in job
        )
        return result

    async def _client(self, number: int) -> None:
        """One request after the other, on one connection for as long as that lasts, or a fresh one each."""
        reader = writer = None
        while not self.over:
            cls, budget = self.random.choices(CLASSES, (49, 32, 19))[0]
            self.count += 1
            job = f"{cls}-{self.seed}-{self.count}"
            if writer is None:
                try:
                    reader, writer = await asyncio.open_connection(*self.address)
                except OSError:
                    self.result.connection_errors["refused"] += 1
                    self.result.unanswered += 1
                    continue
            head = (
                f"POST /{cls} HTTP/1.1\r\nHost: x\r\nX-Call-Id: {job}\r\nX-Budget-Ms: {budget}\r\n"
                f"Idempotency-Key: {job}\r\nContent-Length: 4\r\n\r\n"
            ).encode()
            try:
                cut = self.random.randrange(len(head))
                writer.write(head[:cut])
                if number % 3 == 0:  # some messages come in two parts
                    await asyncio.sleep(0.01)
                writer.write(head[cut:] + b"body")
                answer = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                size = int(re.search(r"Content-Length: (\d+)", answer)[1])
                body = (await reader.readexactly(size)).decode()
            except (OSError, asyncio.IncompleteReadError) as error:
                self.result.connection_errors[type(error).__name__] += 1
                self.result.unanswered += 1
                writer.close()
                writer = None
                continue
            status = answer.split(" ")[1]
            self.result.answers[status if status != "200" or body == job else "another's"] += 1
            if "Connection: close" in answer or number % 4 == 0:
                writer.close()
                writer = None
            if number % 2 == 0:
                await asyncio.sleep(self.random.uniform(0, 0.3))
        if writer is not None:
            writer.close()

    async def _look(self) -> None:
        while True:
            memory, descriptors = await asyncio.to_thread(held, [each.process.pid for each in self.running])
            self.result.memory_mb = max(self.result.memory_mb, memory)
            self.result.descriptors = max(self.result.descriptors, descriptors)
            await asyncio.sleep(LOOK_S)


def held(processes: list[int]) -> tuple[float, int]:
    """MB and descriptors of some processes together; what several map is held once, so each has its part."""
    memory = descriptors = 0
    for pid in processes:
        try:
            status = Path(f"/proc/{pid}/smaps_rollup").read_text()
            memory += int(re.search(r"Pss:\s+(\d+) kB", status)[1])
            descriptors += len(os.listdir(f"/proc/{pid}/fd"))
        except (OSError, TypeError):  # it has just ended
            continue
    return memory / 1024, descriptors


async def lane(times: int, seed: int, clients: int, **limits: float) -> Result:
    """Some replacements, one after the other."""
    running = ReplacementRun(seed, clients, (0.05, 1.5), **limits)
    current = await running.open()
    for _ in range(times):
        await asyncio.sleep(running.random.uniform(0.2, 1.0))
        current = await running.replace(current)
    await asyncio.sleep(0.5)
    return await running.close()


def row(name: str, limits: dict[str, float], result: Result) -> str:
    yes, left = sorted(result.yes_s), sorted(result.left_s)
    connection_errors = sum(result.connection_errors.values())
    failed = sum(count for status, count in result.answers.items() if status not in ("200", "503"))
    answers = result.answers
    cells = [
        name,
        result.replaced,
        result.requests,
        answers["200"],
        answers["503"],
        failed,
        connection_errors,
        result.unanswered,
        result.most_attempts,
        result.duplicate_runs,
        f"{yes[len(yes) // 2]:.2f}, {yes[-1]:.2f}",
        f"{left[len(left) // 2]:.2f}, {left[-1]:.2f}",
        f"{result.memory_mb:.0f} of {limits['memory_mb']:g}",
        f"{result.descriptors} of {limits['sockets']:g}",
    ]
    return f"| {' | '.join(map(str, cells))} |"


@click.command()
@click.option("--times", default=100, show_default=True)
@click.option("--clients", default=40, show_default=True)
@click.option("--out", type=click.Path(path_type=Path))
def main(times: int, clients: int, out: Path | None) -> None:
    """Replace the process under load, with the usual limits and with halved ones."""
    lines = [
        "| limits | replaced | requests | 200 | 503 | failed | refused, reset, unread | unanswered "
        "| most attempts at once | ran twice | s to yes, median, most | s to leave, likewise | MB, both "
        "| descriptors, both |",
        "|" + " --- |" * 14,
    ]
    for name, limits in (
        ("usual", {"sockets": 384, "memory_mb": 80}),
        ("halved", {"sockets": 192, "memory_mb": 48}),
    ):
        result = asyncio.run(lane(times, 1, clients, **limits))
        lines.append(row(name, limits, result))
        click.echo(
            f"{lines[-1]}\n{dict(result.connection_errors)} {dict(result.answers)}\n"
            f"{result.stderr_text[-2000:]}",
            err=True,
        )
    table = "\n".join(lines) + "\n"
    if out is None:
        click.echo(table)
    else:
        out.write_text(table)


if __name__ == "__main__":
    main()
