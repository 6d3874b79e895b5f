"""Stand-ins for clients, job workers, discovery and links, and the start of real schedulers.

They follow the operators' protocol page. Everything runs on loopback addresses and the real clock; each
scheduler is a process of its own, started by the `run` command of the deploy file.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "127.0.0.1"
CALL_TRIES = 10  # of a job worker, for each of its calls
CALL_WAIT_S = 1.0  # a job worker waits this long for the answer to a call
Message = tuple[str, dict[str, str], bytes]  # first line, headers in lower case, body

SETTINGS: dict[str, Any] = {
    "areas": ["galway"],
    "balancers": 1,
    "callers": {"marks_retry": True},
    "classes": [
        {
            "name": "status-read",
            "aim_ms": 150.0,
            "deadline_ms": 5000.0,
            "group": "all",
            "idempotency": "safe",
            "late_worth": 0.0,
            "streamed": False,
            "window_ms": 5000.0,
            "worth": 5.0,
        },
        {
            "name": "schedule-apply",
            "aim_ms": 600.0,
            "deadline_ms": 25000.0,
            "group": "all",
            "idempotency": "unsafe",
            "late_worth": 0.0,
            "streamed": False,
            "window_ms": 5000.0,
            "worth": 10.0,
        },
        {
            "name": "setpoint-push",
            "aim_ms": 300.0,
            "deadline_ms": 8000.0,
            "group": "zone",
            "idempotency": "keyed",
            "late_worth": 0.0,
            "streamed": False,
            "window_ms": 12000.0,
            "worth": 8.0,
        },
    ],
    "counted_by": "request",
    "discovery": "subscribe",
    "family": "jobs",
    "kinds": ["big-box", "old-box"],
    "layers": ["controls-workers"],
    "orgs": [
        {"name": "corrib", "allowance_per_s": 14.0, "fraction": 0.5},
        {"name": "shannonheat", "allowance_per_s": 13.0, "fraction": 0.5},
    ],
    "over_share_worth": 0.1,
    "permissions": {
        "cancel": True,
        "conn_idle_ms": 15000.0,
        "connect_timeout_ms": 250.0,
        "cpu_us_per_s": 15000,
        "max_attempts": 3,
        "max_open": 20000,
        "max_retry_after_ms": 2000.0,
        "peer_messages": False,
        "probes": True,
        "retry_after": True,
        "second_copies": False,
        "streams_per_conn": 1,
    },
    "position": 0,
    "report": {"fields": ["lat_ms", "q", "x0", "x1"], "via": "on_probe"},
    "rules": {
        "ask_every_ms": 10000.0,
        "cold_from": 0.3,
        "cold_ms": 8600.0,
        "fall_ms": 3000.0,
        "fall_multiple": 3.0,
        "grace_to_answer_ms": 16.0,
        "stop_sending_within_ms": 2000.0,
    },
    "specifics": {
        "class_kind": [-1, -1, 0],
        "class_priority": [0, 1, 0],
        "class_stretch": [2.0, 2.0, 1.75],
        "memory_unit": "a worker has one unit for each slot",
        "progress_ms": 1000.0,
        "queue_order": "priority",
        "report_x0": "free slots",
        "report_x1": "free memory",
        "tells_start": True,
    },
    "tick_ms": 4.0,
    "tier": 0,
    "weight_source": "off",
    "zone": "galway",
}


class Record:
    """Writes to record.txt what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = open(folder / "record.txt", "w", buffering=1)  # noqa: SIM115 - closed by close()
        self.started_s = time.monotonic()
        self.refused: set[str] = set()  # ids of the requests that were answered 429 or 503

    def __call__(self, text: str) -> None:
        """Writes one line."""
        self.file.write(f"{time.monotonic() - self.started_s:8.3f}  {text}\n")

    def close(self) -> None:
        """Closes the file."""
        self.file.close()


def free_port() -> int:
    """Returns a TCP port of the loopback address that nobody listens on."""
    with socket.socket() as each:
        each.bind((HOST, 0))
        return each.getsockname()[1]


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Returns the next HTTP message, or None if the connection has ended.

    Lines end in CRLF, or in a single LF, as RFC 9112 (2.2) allows a recipient to read them.
    """
    try:
        lines: list[str] = []
        while (line := (await reader.readuntil(b"\n")).decode("latin-1").rstrip("\r\n")) or not lines:
            lines += [line] if line else []
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length") or 0))
    except (OSError, asyncio.IncompleteReadError):
        return None
    return lines[0], headers, body


def response(status: int, body: bytes = b"", **headers: str) -> bytes:
    """Returns an HTTP response."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name.replace('_', '-')}: {each}" for name, each in headers.items())]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode("latin-1") + body


async def call(address: tuple[str, int], request: bytes, wait_s: float) -> Message | None:
    """Sends one request on a new connection; returns the response, or None if none comes in time."""
    writer = None
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(request)
            return await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Discovery:
    """Discovery: the whole list, and watches."""

    def __init__(self, members: list[dict[str, Any]]) -> None:
        self.members, self.revision, self.changed = members, 41, asyncio.Event()
        self.port = 0

    async def start(self) -> None:
        """Listens on a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    def whole_list(self) -> dict[str, Any]:
        """Returns the list in discovery's form."""
        return {"revision": self.revision, "complete": True, "members": self.members}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (message := await read_message(reader)) is not None:
            query = message[0].split(" ")[1].partition("?")[2]
            fields = dict(each.split("=") for each in query.split("&") if "=" in each)
            reply = self.whole_list()
            if int(fields.get("since", -1)) >= self.revision:
                await asyncio.sleep(int(fields.get("timeout_ms", 0)) / 1000.0)
                reply = {"revision": self.revision, "complete": False, "members": []}
            writer.write(response(200, json.dumps(reply).encode()))


class Job:
    """One attempt that a job worker has taken."""

    def __init__(self, request_id: str, path: str, body: bytes, slots: int) -> None:
        self.id, self.path, self.body, self.slots = request_id, path, body, slots
        self.task: asyncio.Task | None = None


class Worker:
    """A job worker: takes jobs, runs them when slots are free, and tells what becomes of them.

    Its calls are tried until they get an answer, CALL_TRIES times at most.
    """

    def __init__(
        self,
        name: str,
        record: Record,
        scheduler: tuple[str, int],
        kind: str = "big-box",
        slots: int = 5,
        run_s: float = 0.2,
    ) -> None:
        self.name, self.record, self.scheduler = name, record, scheduler
        self.kind, self.slots, self.run_s = kind, slots, run_s
        self.port = 0
        self.jobs: dict[str, Job] = {}  # taken and not ended
        self.used_slots = 0
        self.runs: list[tuple[float, str]] = []  # when a run began, and the request's id
        self.attempts: list[tuple[float, str]] = []  # when an attempt's last byte came, and the request's id
        self.on_job: Callable[[Job], Awaitable[bool]] | None = None  # returns True if it has ended the job

    async def start(self) -> None:
        """Listens on a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    def entry(self, phase: str = "active") -> dict[str, Any]:
        """Returns the worker's entry in discovery's list."""
        return {
            "id": self.name,
            "host_port": f"{HOST}:{self.port}",
            "locality": "galway",
            "flavor": self.kind,
            "cell": 0,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (message := await read_message(reader)) is not None:
            method, target, _ = message[0].split(" ", 2)
            if method == "POST":
                writer.write(self.take(target, message))
            elif method == "DELETE":
                writer.write(self.give_up(target.rpartition("/")[2]))
            elif target in ("/alive", "/metrics/load"):
                free = max(0, self.slots - sum(each.slots for each in self.jobs.values()))
                text = f"TEXT lat_ms=200, q=0, x0={free}, x1={free}"
                writer.write(response(200, text.encode(), X_Load_Report=text))
            else:
                writer.write(response(404))
        writer.close()

    def take(self, target: str, message: Message) -> bytes:
        """Takes a job; returns the response."""
        _, headers, body = message
        request_id = headers.get("x-call-id")
        if not request_id:
            return response(404)
        self.attempts.append((time.monotonic(), request_id))
        self.record(
            f"{self.name}: attempt of {request_id} {target} has come, key {headers.get('idempotency-key')}, "
            f"{len(body)} bytes" + (", while an earlier one runs" if request_id in self.jobs else "")
        )
        job = Job(request_id, target, body, 1)
        self.jobs[request_id] = job
        job.task = asyncio.create_task(self._run(job))
        return response(202)

    def give_up(self, request_id: str) -> bytes:
        """Drops a job that the scheduler has given up; returns the response."""
        self.record(f"{self.name}: {request_id} is given up")
        job = self.jobs.pop(request_id, None)
        if job is not None and job.task is not None:
            job.task.cancel()
        return response(200 if job else 404)

    async def _run(self, job: Job) -> None:
        if self.on_job is not None and await self.on_job(job):
            return
        self.runs.append((time.monotonic(), job.id))
        self.record(f"{self.name}: {job.id} {job.path} RUNS")
        await self.tell(job.id, "started")
        await asyncio.sleep(json.loads(job.body or b"{}").get("run_ms", self.run_s * 1000.0) / 1000.0)
        self.end(job)
        self.record(f"{self.name}: {job.id} is done")
        await self.tell(job.id, "done", result=f"result of {job.id}")

    def end(self, job: Job) -> None:
        """Forgets a job that has ended."""
        if self.jobs.get(job.id) is job:
            del self.jobs[job.id]

    async def tell(self, request_id: str, state: str, **more: str) -> None:
        """Tells the scheduler what becomes of a job; tries until it gets an answer."""
        event = json.dumps({"id": request_id, "from": self.name, "state": state, **more}).encode()
        head = (
            f"POST /v1/job-events HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n"
            f"Content-Length: {len(event)}\r\n\r\n"
        )
        for number in range(CALL_TRIES):
            reply = await call(self.scheduler, head.encode() + event, CALL_WAIT_S)
            self.record(
                f"{self.name}: call {number + 1} '{state}' of {request_id}: "
                + ("no answer" if reply is None else reply[0])
            )
            if reply is not None:
                return
            await asyncio.sleep(0.1)


class Proxy:
    """A link to one address. It can lose the answer to a request, or be cut."""

    def __init__(self, target: tuple[str, int]) -> None:
        self.target, self.port = target, 0
        self.is_cut = False  # nothing passes in either direction; connections stay open and silent
        #: Returns, for each piece that passes, whether what comes back on its connection is lost from now on.
        self.loses_answer: Callable[[bytes], bool] = lambda data: False
        #: Called with each piece that has passed back, and asked before each whether all of that gets lost.
        self.after_answer: Callable[[bytes], object] = lambda data: None
        self.is_mute: Callable[[], bool] = lambda: False

    async def start(self, port: int = 0) -> None:
        """Listens on this port, 0: on a free one."""
        server = await asyncio.start_server(self._serve, HOST, port)
        self.port = server.sockets[0].getsockname()[1]

    async def _wait_while_cut(self) -> None:
        while self.is_cut:
            await asyncio.sleep(0.02)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self._wait_while_cut()
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        is_lost = False

        async def pass_on() -> None:
            nonlocal is_lost
            while data := await reader.read(65536):
                await self._wait_while_cut()
                is_lost |= self.loses_answer(data)
                far_writer.write(data)
            far_writer.close()

        async def pass_back() -> None:
            while data := await far_reader.read(65536):
                await self._wait_while_cut()
                if not is_lost and not self.is_mute():
                    writer.write(data)
                    self.after_answer(data)
            if not is_lost and not self.is_mute():
                writer.close()

        await asyncio.gather(pass_on(), pass_back(), return_exceptions=True)
        writer.close()


class Scheduler:
    """A real scheduler, started by the deploy file's `run` command, with a folder of its own."""

    def __init__(self, name: str, config: dict[str, Any], fronts: str = "") -> None:
        self.name, self.folder = name, tempfile.TemporaryDirectory()
        self.address = (HOST, int(config["listen"].rpartition(":")[2]))
        folder = Path(self.folder.name)
        (folder / "tmp").mkdir()
        (folder / "config.json").write_text(json.dumps({"name": name, **config}))
        (folder / "fronts.toml").write_text(fronts)
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Starts the process and waits until it takes clients. Raises RuntimeError if it does not."""
        folder = Path(self.folder.name)
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            "PATH": os.environ["PATH"],
            "TMPDIR": str(folder / "tmp"),
            "ROUTER_CONFIG": str(folder / "config.json"),
            "SPANWING_FRONTS": str(folder / "fronts.toml"),
        }
        with open(folder / "log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        for _ in range(150):
            reply = await call(self.address, b"GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 1.0)
            if reply is not None and " 200 " in f"{reply[0]} ":
                return
            if self.process.returncode is not None:
                break
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{self.name} does not start: {self.log_text()}")

    def log_text(self) -> str:
        """Returns what the process has written."""
        return (Path(self.folder.name) / "log").read_text()

    async def stop(self, number: int = signal.SIGKILL) -> None:
        """Sends a signal, and waits for the end."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            await self.process.wait()

    async def close(self) -> None:
        """Kills the process, and removes its folder."""
        await self.stop()
        self.folder.cleanup()


class Client:
    """A client's connection, which is kept: one request at a time."""

    def __init__(self, scheduler: tuple[str, int], record: Record) -> None:
        self.scheduler, self.record = scheduler, record
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def send(
        self, request_id: str, service_class: str, budget_ms: int, body: bytes = b"{}", key: str = ""
    ) -> int:
        """Sends a job and waits for its answer; returns the status, 0 if none has come.

        Waits half a second longer than the budget: up to then an answer only earns nothing.
        """
        head = (
            f"POST /{service_class} HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {request_id}\r\n"
            f"X-Caller: corrib\r\nX-Budget-Ms: {budget_ms}\r\nX-Call-Info: slots=1,memory=1\r\n"
            + (f"Idempotency-Key: {key}\r\n" if key else "")
            + f"Content-Length: {len(body)}\r\n\r\n"
        )
        self.record(f"client: sends {request_id} /{service_class}, budget {budget_ms} ms")
        reply, text = None, "nothing in its time"
        try:
            async with asyncio.timeout(budget_ms / 1000.0 + 0.55):
                if self.writer is None:
                    self.reader, self.writer = await asyncio.open_connection(*self.scheduler)
                self.writer.write(head.encode() + body)
                reply = await read_message(self.reader)
                text = "nothing: its connection was ended" if reply is None else reply[0]
        except TimeoutError:
            pass
        except OSError as error:
            text = f"nothing: {type(error).__name__}"
        status = 0 if reply is None else int(reply[0].split(" ")[1])
        self.record(f"client: {request_id} gets {text}")
        if status in (429, 503):
            self.record.refused.add(request_id)
        if reply is None or reply[1].get("connection", "").lower() == "close":
            self.close()
        return status

    def close(self) -> None:
        """Closes the connection."""
        if self.writer is not None:
            self.writer.close()
            self.reader = self.writer = None


async def send_job(
    scheduler: tuple[str, int],
    record: Record,
    request_id: str,
    service_class: str,
    budget_ms: int,
    body: bytes = b"{}",
) -> int:
    """Sends one job on a new connection and waits for its answer; returns the status, 0 if none has come."""
    client = Client(scheduler, record)
    try:
        return await client.send(request_id, service_class, budget_ms, body)
    finally:
        client.close()


class FaktoryClient:
    """A connection of a Faktory client, or of a Faktory job worker if it names a wid."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, address: tuple[str, int], **hello: Any) -> FaktoryClient:
        """Opens a connection and says HELLO."""
        client = cls(*await asyncio.open_connection(*address))
        await client.reader.readline()
        await client.ask("HELLO", {"v": 2, **hello})
        return client

    async def ask(self, verb: str, arguments: Any) -> str | None:
        """Sends a command; returns the reply line or the bulk string, None for a null one.

        Raises ConnectionError if the connection ends before the reply.
        """
        text = arguments if isinstance(arguments, str) else json.dumps(arguments, ensure_ascii=False)
        self.writer.write(f"{verb} {text}\r\n".encode())
        line = (await self.reader.readline()).decode()
        if not line:
            raise ConnectionError("the scheduler has closed the connection")
        if not line.startswith("$"):
            return line.strip()
        size = int(line[1:])
        return None if size < 0 else (await self.reader.readexactly(size + 2))[:-2].decode()

    def close(self) -> None:
        """Closes the connection."""
        self.writer.close()


def base_config(discovery: Discovery, settings: dict[str, Any] | None = None) -> dict[str, Any]:
    """Returns the configuration of one scheduler."""
    return {
        "listen": f"{HOST}:{free_port()}",
        "discovery": f"{HOST}:{discovery.port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": discovery.whole_list(),
        "settings": settings or SETTINGS,
    }


def has_trouble() -> bool:
    """Returns whether the disruption is played: not with TROUBLE=0."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(play: Callable[[Record], Awaitable[bool]], folder: Path) -> int:
    """Plays a case; returns 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    try:
        record = Record(folder)
    except OSError as error:
        print(f"the case could not run: {error}", file=sys.stderr)
        return 2

    async def bounded() -> bool:
        # Connections that are still open at the end are no news.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        async with asyncio.timeout(110):
            return await play(record)

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # ends what was started, too
    try:
        is_broken = asyncio.run(bounded())
    except Exception as error:  # whatever it is, the case could not run
        record(f"the case could not run: {type(error).__name__}: {error}")
        return 2
    record("the rule was BROKEN" if is_broken else "the rule held")
    record.close()
    return int(is_broken)
