"""Stand-ins for discovery, the workers and their clients; what they see goes into the records."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import json
import random
import time
from dataclasses import dataclass, field

from measure.soak.fault_proxy import HOST, FaultProxy
from measure.soak.records import (
    ClientRequest,
    EndpointChange,
    ListDelivery,
    Records,
    WorkerOutcome,
)

CALLBACK_TRIES, CALLBACK_RETRY_S = 10, 0.2
UNLINKED_PORT = 9
MessageParts = tuple[str, dict[str, str], bytes]


async def read_message(reader: asyncio.StreamReader) -> MessageParts | None:
    """Returns first line, headers and body of an HTTP message; None if the connection ended first."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {}
        for line in head[1:]:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        return head[0], headers, await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, ValueError):
        return None


def response(status: int, body: bytes = b"", header: str = "") -> bytes:
    """Encodes an HTTP response."""
    return f"HTTP/1.1 {status} X\r\n{header}Content-Length: {len(body)}\r\n\r\n".encode() + body


class AnswerFault(enum.StrEnum):
    """What happens to an answer of discovery."""

    STALL = "stall"  # it stops before its end, and the connection stays open
    CUT = "cut"  # it stops before its end, and the connection is closed
    RESET = "reset"
    BYTES = "bytes"  # a byte at a time
    NO_END = "no_end"  # in chunks, without the last one
    SILENT = "silent"  # no byte comes
    UNAVAILABLE = "unavailable"  # 503
    LATE = "late"  # it begins some time later


@dataclass
class Member:
    """A worker as discovery lists it, with its port for each scheduler."""

    id: str
    phase: str = "active"
    up_since_ms: float = 0.0
    ports: dict[str, int] = field(default_factory=dict)
    revision: int = 1
    host: str = HOST

    def address_for(self, scheduler: str) -> str:
        """Returns host and port as this scheduler is told; a member without links has one for all."""
        return f"{self.host}:{self.ports.get(scheduler, UNLINKED_PORT)}"


def placeholder_members(count: int, phase: str, revision: int) -> list[Member]:
    """Returns members that are listed and that nobody listens for, at addresses of their own."""
    return [
        Member(f"s-{number:08x}", phase, revision=revision, host=f"127.77.{number // 250}.{1 + number % 250}")
        for number in range(count)
    ]


class DiscoveryStandIn:
    """Serves the endpoint list, with a listener for each scheduler."""

    def __init__(self, records: Records, schedulers: list[str]) -> None:
        self.records, self.schedulers = records, schedulers
        self.members: dict[str, Member] = {}
        self.revision = 1
        self.waiting: set[asyncio.Event] = set()
        self.faults: dict[str, list[tuple[AnswerFault, float]]] = {name: [] for name in schedulers}
        self.links: dict[str, FaultProxy] = {}
        self.call_count = 0
        self.is_indented = False
        self.chunk_bytes = 0  # lists come in chunks of this size; 0: with their length

    async def listen(self) -> None:
        """Opens a listener, and a link to it, for each scheduler."""
        for name in self.schedulers:
            server = await asyncio.start_server(self._server_for(name), HOST, 0)
            self.links[name] = FaultProxy(server.sockets[0].getsockname()[1])
            await self.links[name].listen()

    def change(self, names: list[str], phase: str, up_since_ms: float | None = None) -> None:
        """Changes the phase of workers in one revision."""
        self.revision += 1
        now_s = time.monotonic()
        for name in names:
            member = self.members[name]
            member.phase, member.revision = phase, self.revision
            if up_since_ms is not None:
                member.up_since_ms = up_since_ms
            is_start = up_since_ms is not None
            self.records.changes.append(EndpointChange(self.revision, name, phase, now_s, is_start))
        for event in list(self.waiting):
            event.set()

    def add_placeholders(self, count: int, phase: str) -> None:
        """Lists further members, in the revision that the next change makes."""
        for member in placeholder_members(count, phase, self.revision + 1):
            self.members[member.id] = member

    def encoded(self, scheduler: str, since: int | None) -> bytes:
        """Returns the complete list, or what changed after a revision."""
        members = [
            {
                "id": each.id,
                "host_port": each.address_for(scheduler),
                "locality": "a",
                "flavor": "big",
                "cell": 0,
                "phase": each.phase,
                "size": 1.0,
                "up_since_ms": each.up_since_ms,
            }
            for each in self.members.values()
            if (each.phase != "left" if since is None else each.revision > since)
        ]
        whole = {"revision": self.revision, "complete": since is None, "members": members}
        return json.dumps(whole, indent=2 if self.is_indented else None).encode()

    def framed(self, body: bytes) -> bytes:
        """Returns a whole answer, with its length or in chunks."""
        size = self.chunk_bytes
        if not size:
            return response(200, body)
        chunks = (body[start : start + size] for start in range(0, len(body), size))
        framed = b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks)
        return b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n" + framed + b"0\r\n\r\n"

    def toggle_placeholders(self, share: float, draw: random.Random) -> None:
        """Changes a share of the members that nobody listens for, in one revision."""
        unlinked = [each for each in self.members.values() if not each.ports]
        self.revision += 1
        for member in draw.sample(unlinked, int(share * len(unlinked))):
            member.phase = "left" if member.phase == "leaving" else "leaving"
            member.revision = self.revision
        for event in list(self.waiting):
            event.set()

    def _server_for(self, scheduler: str):
        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(OSError, asyncio.CancelledError):
                while (message := await read_message(reader)) is not None:
                    self.call_count += 1
                    if not await self._answer(scheduler, message[0].split(" ")[1], writer):
                        break
            writer.close()

        return accept

    async def _answer(self, scheduler: str, target: str, writer: asyncio.StreamWriter) -> bool:
        query = dict(each.split("=") for each in target.partition("?")[2].split("&") if each)
        since = int(query["since"]) if "since" in query else None
        if since is not None and since >= self.revision:
            event = asyncio.Event()
            self.waiting.add(event)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(event.wait(), float(query.get("timeout_ms", 10000)) / 1000.0)
            self.waiting.discard(event)
        body, revision = self.encoded(scheduler, since), self.revision
        fault = self.faults[scheduler].pop(0) if self.faults[scheduler] else None
        if fault is not None and fault[0] is AnswerFault.LATE:
            await asyncio.sleep(fault[1])
            fault = None
        link = self.links[scheduler].state
        is_written = fault is None or fault[0] not in (AnswerFault.SILENT, AnswerFault.UNAVAILABLE)
        if is_written and not (link.holds_answers or link.refuses):
            delivery = ListDelivery(scheduler, since, revision, time.monotonic())
            self.records.deliveries.append(delivery)
        if fault is not None:
            return await self._spoil(fault, body, writer)
        writer.write(self.framed(body))
        await writer.drain()
        return True

    async def _spoil(
        self, fault: tuple[AnswerFault, float], body: bytes, writer: asyncio.StreamWriter
    ) -> bool:
        """Writes an answer with a fault; returns whether the connection goes on."""
        kind, share = fault
        whole = self.framed(body)
        part = whole[: max(1, min(len(whole) - 1, int(len(whole) * share)))]
        match kind:
            case AnswerFault.STALL:
                writer.write(part)
                await asyncio.sleep(3600)
            case AnswerFault.SILENT:
                await asyncio.sleep(3600)
            case AnswerFault.NO_END:
                head = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
                writer.write(head + b"%x\r\n" % len(body) + body + b"\r\n")
                await asyncio.sleep(3600)
            case AnswerFault.CUT:
                writer.write(part)
                await writer.drain()
            case AnswerFault.RESET:
                writer.write(part)
                await writer.drain()
                writer.transport.abort()
            case AnswerFault.UNAVAILABLE:
                writer.write(response(503))
                return True
            case AnswerFault.BYTES:
                for offset in range(len(whole)):
                    writer.write(whole[offset : offset + 1])
                    await asyncio.sleep(0.4 * share / len(whole))
                return True
        return False


class WorkerMode(enum.StrEnum):
    """How a worker behaves."""

    UP = "up"
    HANGS = "hangs"  # accepts, and nothing comes of it
    MUTE = "mute"  # reads, and does not answer
    FAILS = "fails"
    FULL = "full"


class WorkerStandIn:
    """A worker with slots; one listener, reached by a link for each scheduler."""

    def __init__(self, name: str, records: Records, run_s: dict[str, float], draw: random.Random) -> None:
        self.name, self.records, self.run_s, self.draw = name, records, run_s, draw
        self.mode, self.port, self.is_draining = WorkerMode.UP, 0, False
        self.jobs: dict[str, asyncio.Task[None]] = {}
        self.callback_ports: dict[str, int] = {}
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Starts to listen, on the former port if there was one."""
        self.server = await asyncio.start_server(self._accept, HOST, self.port, backlog=256)
        self.port = self.server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Ends as a killed process does: connections are reset, jobs are lost, connects are refused."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for request, task in list(self.jobs.items()):
            task.cancel()
            self._note(request, "lost")
        self.jobs.clear()

    def _note(self, request: str, state: str) -> None:
        self.records.outcomes.append(WorkerOutcome(self.name, request, state, time.monotonic()))

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                answer = self._handle(*message)
                if answer is None:
                    await asyncio.sleep(3600)
                else:
                    writer.write(answer)
                    await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def _handle(self, first: str, headers: dict[str, str], _: bytes) -> bytes | None:
        method, target, _ = first.split(" ", 2)
        if method == "GET":  # a worker that drains says so itself
            return response(503 if self.is_draining else 200, b"{}")
        if method == "DELETE":
            request = target.rsplit("/", 1)[1]
            task = self.jobs.pop(request, None)
            if task is not None:
                task.cancel()
            self._note(request, "deleted")
            return response(200)
        request, cls = headers["x-call-id"], target.strip("/")
        if self.mode is WorkerMode.FULL:
            self._note(request, "rejected")
            return response(503, header="X-Rejected: 1\r\n")
        self._note(request, "accepted")
        if self.mode is WorkerMode.FAILS:
            self._note(request, "failed")
            return response(500)
        if self.mode is WorkerMode.MUTE:
            return None
        if self.mode is not WorkerMode.HANGS:
            self.jobs[request] = asyncio.ensure_future(self._run(request, cls))
        return response(202)

    async def _run(self, request: str, cls: str) -> None:
        await asyncio.sleep(self.run_s[cls] * self.draw.uniform(0.5, 1.5))
        self._note(request, "done")
        self.jobs.pop(request, None)
        body = json.dumps({"id": request, "from": self.name, "state": "done", "result": "ok"}).encode()
        scheduler = request.split("x")[0]
        for _ in range(CALLBACK_TRIES):
            if await post_callback(self.callback_ports[scheduler], body):
                return
            await asyncio.sleep(CALLBACK_RETRY_S)


class CrowdStandIn:
    """Clients that open connections and send nothing."""

    def __init__(self) -> None:
        self.writers: list[asyncio.StreamWriter] = []

    async def open(self, port: int, count: int) -> None:
        """Opens connections; those that are refused or closed do not matter."""
        for _ in range(count):
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(HOST, port)
                self.writers.append(writer)

    def leave(self) -> None:
        """Closes them all."""
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()


async def post_callback(port: int, body: bytes) -> bool:
    """Posts a worker's callback; returns whether it was answered with 200 or 204."""
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
        head = f"POST /v1/job-events HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        message = await asyncio.wait_for(read_message(reader), 1.0)
        writer.close()
    except (OSError, TimeoutError):
        return False
    return message is not None and message[0].split(" ")[1] in ("200", "204")


class ClientStandIn:
    """Open arrivals at one scheduler; some clients leave early, some write slowly, some keep connections."""

    def __init__(
        self, scheduler: str, records: Records, classes: dict[str, dict[str, float]], draw: random.Random
    ) -> None:
        self.scheduler, self.records, self.classes, self.draw = scheduler, records, classes, draw
        self.port, self.rate_per_s, self.is_sending, self.count = 0, 10.0, True, 0
        self.odd_share = 0.0  # of clients that leave early
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Sends until is_sending is False."""
        while self.is_sending:
            await asyncio.sleep(self.draw.expovariate(self.rate_per_s))
            if not self.is_sending:
                return
            task = asyncio.ensure_future(self._send_one())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _send_one(self) -> None:
        names = list(self.classes)
        cls = self.draw.choices(names, [self.classes[name]["share"] for name in names])[0]
        budget_ms = int(self.classes[cls]["deadline_ms"] * self.draw.choice((0.3, 1.0, 1.0)))
        self.count += 1
        request_id = f"{self.scheduler}x{self.count:08x}"
        leaves = self.draw.random() < self.odd_share
        head = (
            f"POST /{cls} HTTP/1.1\r\nHost: x\r\nX-Call-Id: {request_id}\r\nX-Budget-Ms: {budget_ms}\r\n"
            f"Idempotency-Key: {request_id}\r\nContent-Length: 4\r\n\r\nwork"
        )
        record = ClientRequest(request_id, self.scheduler, cls, budget_ms, time.monotonic())
        self.records.requests.append(record)
        if self.idle:
            reader, writer = self.idle.pop()
            with contextlib.suppress(OSError):
                writer.write(head.encode())
            await self._await_answer(record, reader, writer, leaves)
            if record.ended_unanswered_s is None:
                return
            # The scheduler's close crossed the request: it is sent once more, on a new connection.
            record.ended_unanswered_s = None
        try:
            reader, writer = await asyncio.open_connection(HOST, self.port)
            record.is_on_new_connection = True
            record.sent_s = time.monotonic()  # a request's time starts at its last byte
            writer.write(head.encode())
        except OSError:
            self.records.requests.remove(record)  # never taken
            return
        await self._await_answer(record, reader, writer, leaves)

    async def _await_answer(
        self,
        record: ClientRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        leaves: bool,
    ) -> None:
        patience_s = record.budget_ms / 1000.0 + 3.0
        if leaves:
            patience_s = self.draw.uniform(0.0, 0.5)
        try:
            message = await asyncio.wait_for(read_message(reader), patience_s)
        except TimeoutError:
            record.left_s = time.monotonic()
            writer.transport.abort()
            return
        now_s = time.monotonic()
        if message is None:
            record.ended_unanswered_s = now_s
            writer.close()
            return
        record.status, record.answered_s = int(message[0].split(" ")[1]), now_s
        if message[1].get("connection", "") == "close" or len(self.idle) > 4:
            writer.close()
        else:
            self.idle.append((reader, writer))
