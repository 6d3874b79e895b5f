"""The processes around the schedulers of a fleet on this machine: relays, job workers, discovery, clients.

    python -m measure.fleet.parts relay|worker|discovery|clients

Each process reads one JSON object, its configuration, from the first line of standard input and prints one
JSON object with its ports. Every further line of input is an order, a JSON object as well. A process ends
with its standard input. All processes listen on the loopback address only.

Events are appended to the file that `log` names, one JSON object a line. The field `t` is the wall clock's
time in s, so that check.py can merge the files of all processes in order of time.
"""

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

from measure.streams import OpenStreams

HOST = "127.0.0.1"


class Log:
    """A file of events, one JSON object a line."""

    def __init__(self, path: str) -> None:
        self.file = open(path, "a", buffering=1)  # noqa: SIM115 - held for the life of the process

    def write(self, **fields: Any) -> None:
        """Appends one event, with the time of the wall clock in s as `t`."""
        self.file.write(json.dumps({"t": time.time(), **fields}) + "\n")


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Returns the start line, headers and body of one HTTP message.

    Header names are in lower case. Returns None if the connection ends first or the message is malformed.
    """
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        header_parts = (line.partition(":") for line in head[1:])
        headers = {name.lower(): value.strip() for name, _, value in header_parts}
        return head[0], headers, await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.LimitOverrunError):
        return None


def response(status: int, body: bytes = b"") -> bytes:
    """Returns an HTTP response as bytes."""
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


async def send_request(
    port: int, method: str, target: str, body: bytes = b"", **headers: str
) -> tuple[int, bytes] | None:
    """Sends one HTTP request on its own connection; underscores in header names become dashes.

    Returns the status and body of the response, or None if no valid response came.
    """
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


def pop_request(buffer: bytearray) -> bytes | None:
    """Removes the first complete HTTP request from a buffer and returns the id of its job.

    The id is empty if the request is no POST with an X-Call-Id. Returns None, and leaves the buffer as it is,
    if no request is complete.
    """
    head_end = buffer.find(b"\r\n\r\n")
    head = bytes(buffer[: max(0, head_end)])
    content_length = re.search(rb"(?i)\r\ncontent-length: (\d+)", head)
    request_end = head_end + 4 + (int(content_length[1]) if content_length else 0)
    if head_end < 0 or len(buffer) < request_end:
        return None
    del buffer[:request_end]
    call_id = re.search(rb"\r\nX-Call-Id: (\S+)", head)
    return call_id[1] if call_id and head.startswith(b"POST ") else b""


class Relay:
    """One directed link between two processes: forwards TCP connections to a port, with injected faults.

    The name of a link is `FROM>TO`.
    """

    def __init__(self, name: str, target: int, log: Log) -> None:
        self.name, self.target, self.log = name, target, log
        self.leads_to_worker = name.partition(">")[2].startswith("w")
        # Whether bytes pass towards the target, and back. If not, they are dropped silently.
        self.passes_forward = self.passes_back = True
        self.refuses_connections = False  # new connections are closed at once
        self.delay_s, self.rate_bytes_per_s = 0.0, 0.0  # a rate of 0: no limit
        self.writers: set[asyncio.StreamWriter] = set()

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Relays one connection to its end."""
        target_writer = None
        try:
            if self.refuses_connections:
                return
            self.writers.add(writer)
            target_reader, target_writer = await asyncio.open_connection(HOST, self.target)
            self.writers.add(target_writer)
            unanswered: list[bytes] = []  # the last job that was sent here, until a response passes
            await asyncio.gather(
                self._pump(reader, target_writer, lambda: self.passes_forward, unanswered, True),
                self._pump(target_reader, writer, lambda: self.passes_back, unanswered, False),
            )
        except OSError:
            pass
        finally:
            for each in (writer, target_writer):
                if each is not None:
                    self.writers.discard(each)
                    each.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        passes: Callable[[], bool],
        unanswered: list[bytes],
        is_forward: bool,
    ) -> None:
        """Copies one direction of a connection until its end, with the link's delay, rate and losses.

        Records `ended` if a client ends its connection to a worker before the response to a job.
        """
        delayed: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(1000)  # due time, bytes; empty: the end

        async def deliver() -> None:
            while True:
                due_s, data = await delayed.get()
                await asyncio.sleep(max(0.0, due_s - time.monotonic()))
                if not data:
                    return
                if passes():
                    if not is_forward:
                        unanswered.clear()
                    writer.write(data)
                    await writer.drain()
                if self.rate_bytes_per_s:
                    await asyncio.sleep(len(data) / self.rate_bytes_per_s)

        delivery, buffer = asyncio.ensure_future(deliver()), bytearray()
        try:
            while data := await reader.read(65536):
                if is_forward and self.leads_to_worker:
                    buffer += data
                    while (job := pop_request(buffer)) is not None:
                        unanswered[:] = [job] if job else []
                await delayed.put((time.monotonic() + self.delay_s, data))
        except ConnectionError:
            pass
        if is_forward and unanswered:  # the end of a connection before the 202 withdraws its job
            self.log.write(ev="ended", worker=self.name.rpartition(">")[2], job=unanswered[0].decode())
        await delayed.put((time.monotonic() + self.delay_s, b""))
        await delivery
        if passes():
            writer.close()
        else:  # the end of the connection is lost as well: the other side does not see it
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
        """Sets the state of the link; what is not given returns to normal.

        there, back: whether bytes pass towards the target, and back. refused: closes connections at once.
        slow_s: delay of all bytes. rate: limit in bytes a second; 0: none. reset: aborts open connections.
        """
        (
            self.passes_forward,
            self.passes_back,
            self.refuses_connections,
            self.delay_s,
            self.rate_bytes_per_s,
        ) = (
            there,
            back,
            refused,
            slow_s,
            rate,
        )
        if refused or reset:
            for each in list(self.writers):
                each.transport.abort()


async def relay(config: dict[str, Any]) -> tuple[dict[str, Any], Callable[[dict[str, Any]], None]]:
    """Starts the relays; returns their ports by link, and the handler of orders.

    config: links, the target port by link; log. An order may hold new target ports by link as `targets`, and
    sets the state of the links in `names`.
    """
    log = Log(config["log"])
    links, ports = {name: Relay(name, port, log) for name, port in config["links"].items()}, {}
    for name, link in links.items():
        server = await asyncio.start_server(link.accept, HOST, 0)
        ports[name] = server.sockets[0].getsockname()[1]

    def set_links(order: dict[str, Any]) -> None:
        for name in order.pop("names"):
            links[name].set(**order)
        for name, port in order.pop("targets", {}).items():
            links[name].target = port

    def handle_order(order: dict[str, Any]) -> None:
        for name, port in order.pop("targets", {}).items():
            links[name].target = port
        set_links(order)

    return {"ports": ports}, handle_order


# -- job workers


class JobWorker:
    """A job worker with slots, a queue and a run time by class; records each arrival, run and end."""

    def __init__(self, config: dict[str, Any]) -> None:
        self.name, self.slots, self.run_ms = config["name"], config["slots"], config["run_ms"]
        self.ports_by_scheduler: dict[str, int] = config["back"]  # of the links to the schedulers
        self.log, self.mode = Log(config["log"]), "up"  # up, failing or full
        self.free_slots = asyncio.Semaphore(self.slots)
        self.jobs: dict[str, asyncio.Task] = {}  # jobs that can still be cancelled
        self.tasks: set[asyncio.Task] = set()  # references to all tasks: the event loop holds weak ones only
        self.random = random.Random(config.get("seed", 1))

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection of a scheduler."""
        while (message := await read_message(reader)) is not None:
            start_line, headers, _ = message
            method, target, _ = start_line.split(" ", 2)
            if reader.at_eof():  # the end of a connection before the 202 withdraws its job
                self.log.write(
                    ev="got",
                    worker=self.name,
                    job=headers.get("x-call-id", ""),
                    cls=target.strip("/"),
                    how="ended",
                )
                break
            try:
                writer.write(self._respond(method, target, headers))
                await writer.drain()
            except ConnectionError:
                return

    def _respond(self, method: str, target: str, headers: dict[str, str]) -> bytes:
        """Handles one request and returns the response: POST starts a job, DELETE cancels one."""
        if method == "DELETE":
            task = self.jobs.pop(target.rsplit("/", 1)[1], None)
            if task is not None:
                task.cancel()
            return response(200)
        if method != "POST":
            return response(200, b"{}")
        job, cls = headers["x-call-id"], target.strip("/")
        self.log.write(ev="got", worker=self.name, job=job, cls=cls, how=self.mode)
        if self.mode == "failing":
            return response(500)
        if self.mode == "full":
            return b"HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
        self.jobs[job] = task = asyncio.ensure_future(self._run(job, cls))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return response(202)

    async def _run(self, job: str, cls: str) -> None:
        """Runs one job in a slot, for its class's time within 30%, then calls back its scheduler.

        Tries the call-back up to 10 times, 200 ms apart.
        """
        try:
            async with self.free_slots:
                self.log.write(ev="run", worker=self.name, job=job, cls=cls)
                await asyncio.sleep(self.run_ms[cls] / 1000.0 * self.random.uniform(0.7, 1.3))
                self.log.write(ev="done", worker=self.name, job=job, cls=cls)
        except asyncio.CancelledError:
            self.log.write(ev="dropped", worker=self.name, job=job, cls=cls)
            return
        finally:
            self.jobs.pop(job, None)
        body = json.dumps({"id": job, "from": self.name, "state": "done", "result": "ok"}).encode()
        port = self.ports_by_scheduler[job.split("-")[0]]
        for _ in range(10):
            reply = await send_request(port, "POST", "/v1/job-events", body)
            if reply is not None and reply[0] in (200, 204):
                return
            await asyncio.sleep(0.2)


async def worker(config: dict[str, Any]) -> tuple[dict[str, Any], Callable[[dict[str, Any]], None]]:
    """Starts a job worker; returns its port, and the handler of orders.

    An order may hold the mode (up, failing, full) as `how`, and new ports by scheduler as `back`.
    """
    job_worker = JobWorker(config)
    accept = OpenStreams().accepting(job_worker.accept)
    server = await asyncio.start_server(accept, HOST, config.get("port", 0), backlog=512)

    def handle_order(order: dict[str, Any]) -> None:
        job_worker.mode = order.get("how", job_worker.mode)
        job_worker.ports_by_scheduler.update(order.get("back", {}))

    return {"port": server.sockets[0].getsockname()[1]}, handle_order


# -- discovery


async def discovery(config: dict[str, Any]) -> tuple[dict[str, Any], Callable[[dict[str, Any]], None]]:
    """Starts discovery with one listener for each scheduler; returns their ports, and the handler of orders.

    Each scheduler has its own listener because it reaches the job workers by links of its own, so that its
    endpoint list holds other ports. A request with `since` waits for a later revision, for `timeout_ms` at
    most.
    """
    state = {"members": {}, "revision": 1, "changed": {}}
    watches: set[asyncio.Future] = set()

    def endpoint_list(scheduler: str, since: int | None) -> bytes:
        members = [
            dict(member, host_port=f"{HOST}:{member['ports'][scheduler]}")
            for name, member in state["members"].items()
            if since is None or state["changed"][name] > since
        ]
        for member in members:
            member.pop("ports")
        reply = {"revision": state["revision"], "complete": since is None, "members": members}
        return json.dumps(reply).encode()

    def handler_for(scheduler: str) -> Callable[..., Awaitable[None]]:
        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while (message := await read_message(reader)) is not None:
                query_string = message[0].split(" ")[1].partition("?")[2]
                query = dict(pair.split("=") for pair in query_string.split("&") if pair)
                since = int(query["since"]) if "since" in query else None
                if since is not None and since >= state["revision"]:
                    watch = asyncio.get_running_loop().create_future()
                    watches.add(watch)
                    await asyncio.wait([watch], timeout=float(query.get("timeout_ms", 10000)) / 1000.0)
                    watches.discard(watch)
                try:
                    writer.write(response(200, endpoint_list(scheduler, since)))
                    await writer.drain()
                except ConnectionError:
                    return

        return OpenStreams().accepting(accept)

    ports = {}
    for name in config["schedulers"]:
        server = await asyncio.start_server(handler_for(name), HOST, 0)
        ports[name] = server.sockets[0].getsockname()[1]

    def handle_order(order: dict[str, Any]) -> None:
        """Publishes the changed members of an order, by name, as one new revision."""
        state["revision"] += 1
        for name, member in order["members"].items():
            state["members"][name] = member
            state["changed"][name] = state["revision"]
        for watch in list(watches):
            if not watch.done():
                watch.set_result(None)

    return {"ports": ports}, handle_order


# -- clients


async def clients(config: dict[str, Any]) -> tuple[dict[str, Any], Callable[[dict[str, Any]], None]]:
    """Starts an open-loop Poisson load on each scheduler; returns the handler of orders.

    Records each job as `asked`, and its answer with the status (0: none came) and the time that it took, in
    ms. An order may switch the load by `on`, and hold new ports by scheduler as `ports`. With `settle` a line
    is printed as soon as every job has an answer or its wait has ended, 5 s after its budget.
    """
    log, rng = Log(config["log"]), random.Random(config["seed"])
    rates: dict[str, float] = config["rates"]  # jobs a second, by scheduler
    ports: dict[str, int] = config["ports"]
    classes: dict[str, dict[str, float]] = config["classes"]  # share and deadline_ms
    state, tasks = {"on": False, "open": 0}, set[asyncio.Task]()

    async def send_job(scheduler: str, number: int) -> None:
        cls = rng.choices(list(classes), [each["share"] for each in classes.values()])[0]
        job, budget_ms = f"{scheduler}-{config['seed']}-{number}", classes[cls]["deadline_ms"]
        log.write(ev="asked", job=job, cls=cls, budget=budget_ms)
        state["open"] += 1
        sent_at = time.monotonic()
        try:
            answer = await asyncio.wait_for(
                send_request(
                    ports[scheduler],
                    "POST",
                    f"/{cls}",
                    b"x",
                    X_Call_Id=job,
                    X_Budget_Ms=str(int(budget_ms)),
                    Idempotency_Key=job,
                ),
                budget_ms / 1000.0 + 5.0,
            )
        except TimeoutError:
            answer = None
        state["open"] -= 1
        log.write(
            ev="answer",
            job=job,
            cls=cls,
            status=0 if answer is None else answer[0],
            took=(time.monotonic() - sent_at) * 1000.0,
            budget=budget_ms,
        )

    async def generate_load(scheduler: str) -> None:
        number, due_s = 0, time.monotonic()
        while True:
            due_s += rng.expovariate(rates[scheduler])
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            if state["on"]:
                number += 1
                task = asyncio.ensure_future(send_job(scheduler, number))
                tasks.add(task)
                task.add_done_callback(tasks.discard)

    def handle_order(order: dict[str, Any]) -> None:
        state["on"] = order.get("on", state["on"])
        ports.update(order.get("ports", {}))
        if order.get("settle"):
            tasks.add(asyncio.ensure_future(report_settled()))

    async def report_settled() -> None:
        while state["open"]:
            await asyncio.sleep(0.02)
        print(json.dumps({"settled": True}), flush=True)

    for scheduler in rates:
        tasks.add(asyncio.ensure_future(generate_load(scheduler)))
    return {}, handle_order


PARTS = {"relay": relay, "worker": worker, "discovery": discovery, "clients": clients}


async def main() -> None:
    """Runs the part that the command line names, until the end of standard input."""
    reader = asyncio.StreamReader(limit=1 << 22)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    ready, handle_order = await PARTS[sys.argv[1]](json.loads(await reader.readline()))
    print(json.dumps(ready), flush=True)
    while line := await reader.readline():
        handle_order(json.loads(line))
    os._exit(0)  # abandons the open connections and jobs


if __name__ == "__main__":
    asyncio.run(main())
