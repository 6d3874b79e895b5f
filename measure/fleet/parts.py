"""The processes around the schedulers of a fleet on this machine: relays, job workers, discovery, clients.

    python -m measure.fleet.parts relay|worker|discovery|clients

Each reads one JSON object on standard input first, prints one with its ports, then does what further lines
say. What happens is written to the file that `log` names, a JSON object a line, with this machine's wall
clock in `t`, so that the checker can put all of it in one order. They serve loopback alone, and end with
their standard input."""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Any

HOST = "127.0.0.1"


class Log:
    """One file of what happened."""

    def __init__(self, path: str) -> None:
        self.file = open(path, "a", buffering=1)  # noqa: SIM115 - held for the life of the process

    def put(self, **what: Any) -> None:
        self.file.write(json.dumps({"t": time.time(), **what}) + "\n")


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """One HTTP message; None where the connection has ended."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        parted = (line.partition(":") for line in head[1:])
        fields = {name.lower(): value.strip() for name, _, value in parted}
        return head[0], fields, await reader.readexactly(int(fields.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.LimitOverrunError):
        return None


def reply(status: int, body: bytes = b"") -> bytes:
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


async def ask(
    port: int, method: str, target: str, body: bytes = b"", **headers: str
) -> tuple[int, bytes] | None:
    """One request on a connection of its own; None where no answer came."""
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
    except OSError:
        return None
    try:
        lines = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items())
        head = f"{method} {target} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n{lines}\r\n"
        writer.write(head.encode() + body)
        message = await read_message(reader)
        return None if message is None else (int(message[0].split(" ")[1]), message[2])
    except (OSError, IndexError, ValueError):
        return None
    finally:
        writer.close()


# -- relays


def pop_request(said: bytearray) -> bytes | None:
    """Take out the request that is whole there; its job, empty for one about none. None: none is whole."""
    end = said.find(b"\r\n\r\n")
    head = bytes(said[: max(0, end)])
    length = re.search(rb"(?i)\r\ncontent-length: (\d+)", head)
    whole = end + 4 + (int(length[1]) if length else 0)
    if end < 0 or len(said) < whole:
        return None
    del said[:whole]
    named = re.search(rb"\r\nX-Call-Id: (\S+)", head)
    return named[1] if named and head.startswith(b"POST ") else b""


class Relay:
    """One link: what comes to its port goes on to another, in whatever state the link is."""

    def __init__(self, name: str, target: int, log: Log) -> None:
        self.name, self.target, self.log = name, target, log
        self.to_worker = name.partition(">")[2].startswith("w")
        self.there = self.back = True  # bytes pass in this direction; else they are lost, and nobody is told
        self.refused = False  # connections are closed at once
        self.slow_s, self.rate = 0.0, 0.0  # bytes a second; 0: no limit
        self.open: set[asyncio.StreamWriter] = set()

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        other = None
        try:
            if self.refused:
                return
            self.open.add(writer)
            theirs, other = await asyncio.open_connection(HOST, self.target)
            self.open.add(other)
            waits: list[bytes] = []  # the job that was asked for here and has had no answer
            await asyncio.gather(
                self._pump(reader, other, lambda: self.there, waits, True),
                self._pump(theirs, writer, lambda: self.back, waits, False),
            )
        except OSError:
            pass
        finally:
            for each in (writer, other):
                if each is not None:
                    self.open.discard(each)
                    each.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        passes: Callable[[], bool],
        waits: list[bytes],
        asks: bool,
    ) -> None:
        due: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(1000)

        async def give() -> None:
            while True:
                when, data = await due.get()
                await asyncio.sleep(max(0.0, when - time.monotonic()))
                if not data:
                    return
                if passes():
                    if not asks:
                        waits.clear()
                    writer.write(data)
                    await writer.drain()
                if self.rate:
                    await asyncio.sleep(len(data) / self.rate)

        giving, said = asyncio.ensure_future(give()), bytearray()
        try:
            while data := await reader.read(65536):
                if asks and self.to_worker:
                    said += data
                    while (job := pop_request(said)) is not None:
                        waits[:] = [job] if job else []
                await due.put((time.monotonic() + self.slow_s, data))
        except ConnectionError:
            pass
        if asks and waits:  # before the 202, the end of its connection gives a job up
            self.log.put(ev="ended", worker=self.name.rpartition(">")[2], job=waits[0].decode())
        await due.put((time.monotonic() + self.slow_s, b""))
        await giving
        if passes():
            writer.close()
        else:  # an end that is lost is not seen on the other side either
            await asyncio.sleep(3600)

    def set(
        self,
        there: bool = True,
        back: bool = True,
        refused: bool = False,
        slow_s: float = 0.0,
        rate: float = 0.0,
        reset: bool = False,
    ) -> None:
        self.there, self.back, self.refused, self.slow_s, self.rate = there, back, refused, slow_s, rate
        if refused or reset:
            for each in list(self.open):
                each.transport.abort()


async def relay(start: dict[str, Any]) -> tuple[dict[str, Any], Callable[[dict[str, Any]], None]]:
    """start: links, by name the port that each leads to; log."""
    log = Log(start["log"])
    links, ports = {name: Relay(name, port, log) for name, port in start["links"].items()}, {}
    for name, each in links.items():
        server = await asyncio.start_server(each.accept, HOST, 0)
        ports[name] = server.sockets[0].getsockname()[1]

    def act(order: dict[str, Any]) -> None:
        for name in order.pop("names"):
            links[name].set(**order)
        for name, port in order.pop("targets", {}).items():
            links[name].target = port

    def do(order: dict[str, Any]) -> None:
        for name, port in order.pop("targets", {}).items():
            links[name].target = port
        act(order)

    return {"ports": ports}, do


# -- job workers


class WorkerPart:
    """One job worker: slots, a queue, a run time by class; every arrival, run and end is written down."""

    def __init__(self, start: dict[str, Any]) -> None:
        self.name, self.slots, self.run_ms = start["name"], start["slots"], start["run_ms"]
        self.back: dict[str, int] = start["back"]  # by scheduler: the port of the link to it
        self.log, self.how = Log(start["log"]), "up"
        self.free = asyncio.Semaphore(self.slots)
        self.jobs: dict[str, asyncio.Task] = {}  # that may still be dropped
        self.tasks: set[asyncio.Task] = set()  # all of them: the loop itself holds none
        self.random = random.Random(start.get("seed", 1))

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (message := await read_message(reader)) is not None:
            first, headers, _ = message
            method, target, _ = first.split(" ", 2)
            if reader.at_eof():  # before the 202, the end of its connection has given a job up
                self.log.put(
                    ev="got",
                    worker=self.name,
                    job=headers.get("x-call-id", ""),
                    cls=target.strip("/"),
                    how="ended",
                )
                break
            try:
                writer.write(self._answer(method, target, headers))
                await writer.drain()
            except ConnectionError:
                return
        writer.close()

    def _answer(self, method: str, target: str, headers: dict[str, str]) -> bytes:
        if method == "DELETE":
            task = self.jobs.pop(target.rsplit("/", 1)[1], None)
            if task is not None:
                task.cancel()
            return reply(200)
        if method != "POST":
            return reply(200, b"{}")
        job, cls = headers["x-call-id"], target.strip("/")
        self.log.put(ev="got", worker=self.name, job=job, cls=cls, how=self.how)
        if self.how == "failing":
            return reply(500)
        if self.how == "full":
            return b"HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
        self.jobs[job] = task = asyncio.ensure_future(self._run(job, cls))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return reply(202)

    async def _run(self, job: str, cls: str) -> None:
        try:
            async with self.free:
                self.log.put(ev="run", worker=self.name, job=job, cls=cls)
                await asyncio.sleep(self.run_ms[cls] / 1000.0 * self.random.uniform(0.7, 1.3))
                self.log.put(ev="done", worker=self.name, job=job, cls=cls)
        except asyncio.CancelledError:
            self.log.put(ev="dropped", worker=self.name, job=job, cls=cls)
            return
        finally:
            self.jobs.pop(job, None)
        body = json.dumps({"id": job, "from": self.name, "state": "done", "result": "ok"}).encode()
        port = self.back[job.split("-")[0]]
        for _ in range(10):
            told = await ask(port, "POST", "/v1/job-events", body)
            if told is not None and told[0] in (200, 204):
                return
            await asyncio.sleep(0.2)


async def worker(start: dict[str, Any]) -> tuple[dict[str, Any], Callable[[dict[str, Any]], None]]:
    part = WorkerPart(start)
    server = await asyncio.start_server(part.accept, HOST, start.get("port", 0), backlog=512)

    def do(order: dict[str, Any]) -> None:
        part.how = order.get("how", part.how)
        part.back.update(order.get("back", {}))

    return {"port": server.sockets[0].getsockname()[1]}, do


# -- discovery


async def discovery(start: dict[str, Any]) -> tuple[dict[str, Any], Callable[[dict[str, Any]], None]]:
    """A listener for each scheduler, as each reaches the job workers by links of its own."""
    state = {"members": {}, "revision": 1, "changed": {}}
    news: set[asyncio.Future] = set()

    def listing(scheduler: str, since: int | None) -> bytes:
        members = [
            dict(each, host_port=f"{HOST}:{each['ports'][scheduler]}")
            for name, each in state["members"].items()
            if since is None or state["changed"][name] > since
        ]
        for each in members:
            each.pop("ports")
        told = {"revision": state["revision"], "complete": since is None, "members": members}
        return json.dumps(told).encode()

    def server_of(scheduler: str) -> Callable[..., Awaitable[None]]:
        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while (message := await read_message(reader)) is not None:
                asked = message[0].split(" ")[1].partition("?")[2]
                query = dict(each.split("=") for each in asked.split("&") if each)
                since = int(query["since"]) if "since" in query else None
                if since is not None and since >= state["revision"]:
                    waiting = asyncio.get_running_loop().create_future()
                    news.add(waiting)
                    await asyncio.wait([waiting], timeout=float(query.get("timeout_ms", 10000)) / 1000.0)
                    news.discard(waiting)
                try:
                    writer.write(reply(200, listing(scheduler, since)))
                    await writer.drain()
                except ConnectionError:
                    return
            writer.close()

        return accept

    ports = {}
    for name in start["schedulers"]:
        server = await asyncio.start_server(server_of(name), HOST, 0)
        ports[name] = server.sockets[0].getsockname()[1]

    def do(order: dict[str, Any]) -> None:
        """order: members that have changed, by name."""
        state["revision"] += 1
        for name, each in order["members"].items():
            state["members"][name] = each
            state["changed"][name] = state["revision"]
        for each in list(news):
            if not each.done():
                each.set_result(None)

    return {"ports": ports}, do


# -- clients


async def clients(start: dict[str, Any]) -> tuple[dict[str, Any], Callable[[dict[str, Any]], None]]:
    """Open arrivals at each scheduler, by its own rate; every job and its answer are written down."""
    log, draw = Log(start["log"]), random.Random(start["seed"])
    rates: dict[str, float] = start["rates"]  # jobs a second, by scheduler
    ports: dict[str, int] = start["ports"]
    classes: dict[str, dict[str, float]] = start["classes"]  # share and deadline_ms
    running, tasks = {"on": False, "open": 0}, set[asyncio.Task]()

    async def one(scheduler: str, number: int) -> None:
        cls = draw.choices(list(classes), [each["share"] for each in classes.values()])[0]
        job, budget = f"{scheduler}-{start['seed']}-{number}", classes[cls]["deadline_ms"]
        log.put(ev="asked", job=job, cls=cls, budget=budget)
        running["open"] += 1
        began = time.monotonic()
        try:
            answer = await asyncio.wait_for(
                ask(
                    ports[scheduler],
                    "POST",
                    f"/{cls}",
                    b"x",
                    X_Call_Id=job,
                    X_Budget_Ms=str(int(budget)),
                    Idempotency_Key=job,
                ),
                budget / 1000.0 + 5.0,
            )
        except TimeoutError:
            answer = None
        running["open"] -= 1
        log.put(
            ev="answer",
            job=job,
            cls=cls,
            status=0 if answer is None else answer[0],
            took=(time.monotonic() - began) * 1000.0,
            budget=budget,
        )

    async def drive(scheduler: str) -> None:
        number, due = 0, time.monotonic()
        while True:
            due += draw.expovariate(rates[scheduler])
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            if running["on"]:
                number += 1
                task = asyncio.ensure_future(one(scheduler, number))
                tasks.add(task)
                task.add_done_callback(tasks.discard)

    def do(order: dict[str, Any]) -> None:
        running["on"] = order.get("on", running["on"])
        ports.update(order.get("ports", {}))
        if order.get("settle"):
            tasks.add(asyncio.ensure_future(settle()))

    async def settle() -> None:
        while running["open"]:
            await asyncio.sleep(0.02)
        print(json.dumps({"settled": True}), flush=True)

    for each in rates:
        tasks.add(asyncio.ensure_future(drive(each)))
    return {}, do


PARTS = {"relay": relay, "worker": worker, "discovery": discovery, "clients": clients}


async def main() -> None:
    reader = asyncio.StreamReader(limit=1 << 22)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    begun, do = await PARTS[sys.argv[1]](json.loads(await reader.readline()))
    print(json.dumps(begun), flush=True)
    while line := await reader.readline():
        do(json.loads(line))
    os._exit(0)  # whatever is under way ends with its rig


if __name__ == "__main__":
    asyncio.run(main())
