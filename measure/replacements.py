"""Replaces a scheduler's process repeatedly under load, on one listening socket that this program keeps open.

Clients keep their connections and send one request after the other. Job workers call back on connections of
their own, which either process may accept. The result counts the connections that were refused, reset or
closed without an answer, the requests without exactly one answer, the attempts of one request at once, and
the schedule-apply jobs that ran more than once. It also has the time from a start to the first successful
health check, and the peak memory and descriptors of both processes together.

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
HEALTHY_TIMEOUT_S = 6.0  # the platform waits this long for a new process to be healthy
SAMPLE_INTERVAL_S = 0.02  # between samples of memory and descriptors


@dataclass
class Result:
    """Counts and peaks over a number of replacements."""

    replaced: int = 0
    requests: int = 0
    answers: Counter = field(default_factory=Counter)
    connection_errors: Counter = field(default_factory=Counter)  # refused, reset, or closed unanswered
    unanswered: int = 0
    most_attempts_at_once: int = 0
    duplicate_runs: int = 0
    healthy_s: list[float] = field(default_factory=list)  # from each start to the first successful check
    exit_s: list[float] = field(default_factory=list)  # from each SIGTERM to the end of the process
    memory_mb: float = 0.0
    descriptors: int = 0
    stderr_text: str = ""


class ReplacementRun:
    """A scheduler whose process is replaced, its clients and its job workers.

    `limits` replaces limits of the daemon's configuration.
    """

    def __init__(self, seed: int, clients: int, running_s: tuple[float, float], **limits: float) -> None:
        self.random = random.Random(seed)
        self.seed, self.clients, self.limits = seed, clients, {"sockets": 384, "memory_mb": 80, **limits}
        self.listening_socket = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.address: HostPort = self.listening_socket.getsockname()
        self.workers = CallingWorkers(running_s, seed, self.address)
        self.folder = tempfile.TemporaryDirectory()
        self.result, self.request_count, self.stopping = Result(), 0, False
        self.running: list[Program] = []
        self.discovery = "127.0.0.1:9"

    def start(self, fd: int | None = None, command: tuple[str, ...] = ("-m", "spanwing")) -> Program:
        """Starts a process that inherits the listening socket; ROUTER_FD names `fd` if it is given."""
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
            for each, port in self.ports
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
        fd = self.listening_socket.fileno() if fd is None else fd
        started = Program(
            config,
            "",
            command=command,
            inherited_fds=(self.listening_socket.fileno(),),
            environment={"ROUTER_FD": str(fd), "TMPDIR": self.folder.name},
        )
        self.running.append(started)
        return started

    async def open(self) -> Program:
        """Starts the job workers, the first process and the clients; returns the process."""
        self.ports = await self.workers.start(8)
        first = await asyncio.to_thread(self.start)
        if not await asyncio.to_thread(first.serving):
            raise RuntimeError(first.stderr_text())
        self.tasks = [asyncio.ensure_future(self._client(n)) for n in range(self.clients)]
        self.sampling = asyncio.ensure_future(self._sample_usage())
        return first

    async def replace(self, old: Program) -> Program:
        """Replaces a process as the platform does: SIGTERM to the old one once the new one is healthy."""
        started = time.monotonic()
        new = await asyncio.to_thread(self.start)
        if not await asyncio.to_thread(new.serving):
            raise RuntimeError(new.stderr_text())
        await self.wait_until_healthy(new, started + HEALTHY_TIMEOUT_S)
        self.result.healthy_s.append(time.monotonic() - started)
        await self.stop_process(old)
        self.result.replaced += 1
        return new

    async def wait_until_healthy(self, process: Program, end: float) -> None:
        """Waits for a successful health check; raises RuntimeError at the monotonic time `end`."""
        while not await self.is_healthy(process):
            if time.monotonic() > end:
                raise RuntimeError(f"health check did not succeed in time: {process.stderr_text()}")
            await asyncio.sleep(0.01)

    async def is_healthy(self, process: Program) -> bool:
        """Returns whether the health check of the management address succeeds."""
        return b" 200 " in await self.get_management(process, "healthcheck")

    async def get_management(self, process: Program, path: str) -> bytes:
        """Returns the whole answer to a GET on the management address."""
        reader, writer = await asyncio.open_connection(*process.addresses["management"])
        writer.write(f"GET /{path} HTTP/1.1\r\n\r\n".encode())
        try:
            return await reader.read()
        finally:
            writer.close()

    async def stop_process(self, old: Program) -> None:
        """Sends SIGTERM, waits until the process has ended, and removes it."""
        started = time.monotonic()
        old.process.terminate()
        await asyncio.to_thread(old.process.wait, 30)
        self.result.exit_s.append(time.monotonic() - started)
        self.remove_process(old)

    def remove_process(self, ended: Program) -> None:
        """Keeps what the process wrote to standard error, and kills it if it runs."""
        self.running.remove(ended)
        self.result.stderr_text += ended.stderr_text()
        ended.close()

    async def close(self) -> Result:
        """Stops the clients, the processes and the job workers, and returns the result."""
        self.stopping = True
        await asyncio.gather(*self.tasks)
        self.sampling.cancel()
        for each in list(self.running):
            self.remove_process(each)
        self.workers.stop()
        self.listening_socket.close()
        self.folder.cleanup()
        result = self.result
        result.requests, result.most_attempts_at_once = self.request_count, self.workers.most_attempts_at_once
        result.connection_errors["call-backs"] = self.workers.failed_callbacks
        result.duplicate_runs = sum(
            count > 1 for job, count in self.workers.run_counts.items() if "schedule-apply" in job
        )
        return result

    async def _client(self, number: int) -> None:
        """Sends one request after the other, on a connection that every fourth client replaces each time."""
        reader = writer = None
        while not self.stopping:
            cls, budget_ms = self.random.choices(CLASSES, (49, 32, 19))[0]
            self.request_count += 1
            job = f"{cls}-{self.seed}-{self.request_count}"
            if writer is None:
                try:
                    reader, writer = await asyncio.open_connection(*self.address)
                except OSError:
                    self.result.connection_errors["refused"] += 1
                    self.result.unanswered += 1
                    continue
            request = (
                f"POST /{cls} HTTP/1.1\r\nHost: x\r\nX-Call-Id: {job}\r\nX-Budget-Ms: {budget_ms}\r\n"
                f"Idempotency-Key: {job}\r\nContent-Length: 4\r\n\r\n"
            ).encode()
            try:
                split_at = self.random.randrange(len(request))
                writer.write(request[:split_at])
                if number % 3 == 0:  # every third client sends the request in two parts
                    await asyncio.sleep(0.01)
                writer.write(request[split_at:] + b"body")
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

    async def _sample_usage(self) -> None:
        while True:
            memory_mb, descriptors = await asyncio.to_thread(
                read_usage, [each.process.pid for each in self.running]
            )
            self.result.memory_mb = max(self.result.memory_mb, memory_mb)
            self.result.descriptors = max(self.result.descriptors, descriptors)
            await asyncio.sleep(SAMPLE_INTERVAL_S)


def read_usage(processes: list[int]) -> tuple[float, int]:
    """Returns the memory in MB and the descriptors of the processes together.

    Memory is the proportional set size, which divides shared pages among the processes that map them.
    """
    memory_kb = descriptors = 0
    for pid in processes:
        try:
            status = Path(f"/proc/{pid}/smaps_rollup").read_text()
            memory_kb += int(re.search(r"Pss:\s+(\d+) kB", status)[1])
            descriptors += len(os.listdir(f"/proc/{pid}/fd"))
        except (OSError, TypeError):  # the process has just ended
            continue
    return memory_kb / 1024, descriptors


async def run_replacements(times: int, seed: int, clients: int, **limits: float) -> Result:
    """Replaces the process `times` times and returns the result."""
    replacement_run = ReplacementRun(seed, clients, (0.05, 1.5), **limits)
    current = await replacement_run.open()
    for _ in range(times):
        await asyncio.sleep(replacement_run.random.uniform(0.2, 1.0))
        current = await replacement_run.replace(current)
    await asyncio.sleep(0.5)
    return await replacement_run.close()


def format_row(name: str, limits: dict[str, float], result: Result) -> str:
    """Returns a line of the Markdown table."""
    healthy_s, exit_s = sorted(result.healthy_s), sorted(result.exit_s)
    error_count = sum(result.connection_errors.values())
    failed = sum(count for status, count in result.answers.items() if status not in ("200", "503"))
    answers = result.answers
    cells = [
        name,
        result.replaced,
        result.requests,
        answers["200"],
        answers["503"],
        failed,
        error_count,
        result.unanswered,
        result.most_attempts_at_once,
        result.duplicate_runs,
        f"{healthy_s[len(healthy_s) // 2]:.2f}, {healthy_s[-1]:.2f}",
        f"{exit_s[len(exit_s) // 2]:.2f}, {exit_s[-1]:.2f}",
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
        result = asyncio.run(run_replacements(times, 1, clients, **limits))
        lines.append(format_row(name, limits, result))
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
