"""Stand-ins for discovery, workers and clients, which record what they observe."""

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
from measure.streams import OpenStreams, Streams

MAX_CALLBACK_ATTEMPTS, CALLBACK_RETRY_S = 10, 0.2  # a worker repeats a call-back that is not answered
PLACEHOLDER_PORT = 9  # the discard service; no process listens there
MessageParts = tuple[str, dict[str, str], bytes]  # first line, headers by lower-case name, body


async def read_message(reader: asyncio.StreamReader) -> MessageParts | None:
    """Reads an HTTP message. Returns None if the connection ends before its end, or if it is malformed."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {}
        for line in head[1:]:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        return head[0], headers, await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, ValueError):
        return None


def encode_response(status: int, body: bytes = b"", header: str = "") -> bytes:
    """Encodes an HTTP response. header: further header lines, each with its line end."""
    return f"HTTP/1.1 {status} X\r\n{header}Content-Length: {len(body)}\r\n\r\n".encode() + body


class AnswerFault(enum.StrEnum):
    """The faults of an answer of discovery. Seeds depend on their order.

    The number that goes with a fault is the share of the answer's bytes that is written before it.
    """

    STALLED = "stall"  # stops before its end; the connection stays open
    TRUNCATED = "cut"  # stops before its end; the connection is closed
    RESET = "reset"  # stops before its end; the connection is reset
    BYTE_BY_BYTE = "bytes"  # one byte at a time, within 0.4 s times the number
    NO_LAST_CHUNK = "no_end"  # in chunked encoding, without the last chunk
    SILENT = "silent"  # no byte is sent; the connection stays open
    UNAVAILABLE = "unavailable"  # status 503
    LATE = "late"  # complete, after a delay of the number in seconds


@dataclass
class Member:
    """A worker in the endpoint list, with its port for each scheduler."""

    id: str
    phase: str = "active"
    up_since_ms: float = 0.0
    ports: dict[str, int] = field(default_factory=dict)
    revision: int = 1
    host: str = HOST

    def address_for(self, scheduler: str) -> str:
        """Returns the host and port in this scheduler's list; for a placeholder they are always the same."""
        return f"{self.host}:{self.ports.get(scheduler, PLACEHOLDER_PORT)}"


def placeholder_members(count: int, phase: str, revision: int) -> list[Member]:
    """Returns placeholders: list entries with distinct addresses at which no process listens."""
    return [
        Member(f"s-{number:08x}", phase, revision=revision, host=f"127.77.{number // 250}.{1 + number % 250}")
        for number in range(count)
    ]


class DiscoveryStandIn:
    """Serves the endpoint list, on one listener and link for each scheduler."""

    def __init__(self, records: Records, schedulers: list[str]) -> None:
        self.records, self.schedulers = records, schedulers
        self.members: dict[str, Member] = {}
        self.revision = 1
        self.pending_watches: set[asyncio.Event] = set()
        #: By scheduler: the faults of its next answers, one for each answer.
        self.faults: dict[str, list[tuple[AnswerFault, float]]] = {name: [] for name in schedulers}
        self.links: dict[str, FaultProxy] = {}
        self.call_count = 0
        self.lists_indented = False
        self.chunk_bytes = 0  # lists are sent in HTTP chunks of this size; 0: with Content-Length

    async def listen(self) -> None:
        """Opens a listener and a link to it for each scheduler."""
        for name in self.schedulers:
            server = await asyncio.start_server(self._server_for(name), HOST, 0)
            self.links[name] = FaultProxy(server.sockets[0].getsockname()[1])
            await self.links[name].listen()

    def change(self, names: list[str], phase: str, up_since_ms: float | None = None) -> None:
        """Changes the phase of the named workers in one new revision, and answers the pending watches.

        up_since_ms: wall clock time of the workers' start, if they have just started.
        """
        self.revision += 1
        now_s = time.monotonic()
        for name in names:
            member = self.members[name]
            member.phase, member.revision = phase, self.revision
            if up_since_ms is not None:
                member.up_since_ms = up_since_ms
            is_start = up_since_ms is not None
            self.records.changes.append(EndpointChange(self.revision, name, phase, now_s, is_start))
        for event in list(self.pending_watches):
            event.set()

    def add_placeholders(self, count: int, phase: str) -> None:
        """Adds placeholders to the list; the next change announces them in its revision."""
        for member in placeholder_members(count, phase, self.revision + 1):
            self.members[member.id] = member

    def encode_list(self, scheduler: str, since_revision: int | None) -> bytes:
        """Encodes the complete list for a scheduler, or its changes after a revision."""
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
            if (each.phase != "left" if since_revision is None else each.revision > since_revision)
        ]
        whole = {"revision": self.revision, "complete": since_revision is None, "members": members}
        return json.dumps(whole, indent=2 if self.lists_indented else None).encode()

    def frame_answer(self, body: bytes) -> bytes:
        """Encodes a complete response, with Content-Length or in chunked encoding."""
        size = self.chunk_bytes
        if not size:
            return encode_response(200, body)
        chunks = (body[start : start + size] for start in range(0, len(body), size))
        encoded_chunks = b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks)
        return b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n" + encoded_chunks + b"0\r\n\r\n"

    def toggle_placeholders(self, share: float, rng: random.Random) -> None:
        """Removes a share of the placeholders, or lists them again if removed, in one new revision."""
        placeholders = [each for each in self.members.values() if not each.ports]
        self.revision += 1
        for member in rng.sample(placeholders, int(share * len(placeholders))):
            member.phase = "left" if member.phase == "leaving" else "leaving"
            member.revision = self.revision
        for event in list(self.pending_watches):
            event.set()

    def _server_for(self, scheduler: str):
        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(OSError, asyncio.CancelledError):
                while (message := await read_message(reader)) is not None:
                    self.call_count += 1
                    if not await self._answer(scheduler, message[0].split(" ")[1], writer):
                        break

        return OpenStreams().accepting(accept)

    async def _answer(self, scheduler: str, target: str, writer: asyncio.StreamWriter) -> bool:
        """Answers a request for the list; returns whether the connection can be used again.

        A watch of the current revision waits for a change or its timeout.
        """
        query = dict(each.split("=") for each in target.partition("?")[2].split("&") if each)
        since_revision = int(query["since"]) if "since" in query else None
        if since_revision is not None and since_revision >= self.revision:
            event = asyncio.Event()
            self.pending_watches.add(event)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(event.wait(), float(query.get("timeout_ms", 10000)) / 1000.0)
            self.pending_watches.discard(event)
        body, revision = self.encode_list(scheduler, since_revision), self.revision
        fault = self.faults[scheduler].pop(0) if self.faults[scheduler] else None
        if fault is not None and fault[0] is AnswerFault.LATE:
            await asyncio.sleep(fault[1])
            fault = None
        link = self.links[scheduler].state
        is_written = fault is None or fault[0] not in (AnswerFault.SILENT, AnswerFault.UNAVAILABLE)
        if is_written and not (link.holds_answers or link.refuses_connections):
            delivery = ListDelivery(scheduler, since_revision, revision, time.monotonic())
            self.records.deliveries.append(delivery)
        if fault is not None:
            return await self._write_faulty_answer(fault, body, writer)
        writer.write(self.frame_answer(body))
        await writer.drain()
        return True

    async def _write_faulty_answer(
        self, fault: tuple[AnswerFault, float], body: bytes, writer: asyncio.StreamWriter
    ) -> bool:
        """Writes an answer with a fault; returns whether the connection can be used again."""
        kind, share = fault
        whole = self.frame_answer(body)
        part = whole[: max(1, min(len(whole) - 1, int(len(whole) * share)))]
        match kind:
            case AnswerFault.STALLED:
                writer.write(part)
                await asyncio.sleep(3600)
            case AnswerFault.SILENT:
                await asyncio.sleep(3600)
            case AnswerFault.NO_LAST_CHUNK:
                head = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
                writer.write(head + b"%x\r\n" % len(body) + body + b"\r\n")
                await asyncio.sleep(3600)
            case AnswerFault.TRUNCATED:
                writer.write(part)
                await writer.drain()
            case AnswerFault.RESET:
                writer.write(part)
                await writer.drain()
                writer.transport.abort()
            case AnswerFault.UNAVAILABLE:
                writer.write(encode_response(503))
                return True
            case AnswerFault.BYTE_BY_BYTE:
                for offset in range(len(whole)):
                    writer.write(whole[offset : offset + 1])
                    await asyncio.sleep(0.4 * share / len(whole))
                return True
        return False


class WorkerMode(enum.StrEnum):
    """The ways in which a worker handles jobs."""

    UP = "up"
    NEVER_FINISHES = "hangs"  # accepts jobs and never completes them
    NEVER_ANSWERS = "mute"  # reads jobs and never responds
    FAILS = "fails"  # responds to jobs with status 500
    FULL = "full"  # rejects jobs


class WorkerStandIn:
    """A worker with one listener, which schedulers reach through a link for each of them.

    run_s: by class, the mean run time of its jobs in seconds.
    """

    def __init__(self, name: str, records: Records, run_s: dict[str, float], rng: random.Random) -> None:
        self.name, self.records, self.run_s, self.rng = name, records, run_s, rng
        self.mode, self.port, self.is_draining = WorkerMode.UP, 0, False
        self.jobs: dict[str, asyncio.Task[None]] = {}
        self.callback_ports: dict[str, int] = {}
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Starts to listen, on the same port as before if it has listened already."""
        self.server = await asyncio.start_server(self._accept, HOST, self.port, backlog=256)
        self.port = self.server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Behaves like a killed process: resets connections, loses jobs and refuses new connections."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for request, task in list(self.jobs.items()):
            task.cancel()
            self._record_outcome(request, "lost")
        self.jobs.clear()

    def _record_outcome(self, request: str, state: str) -> None:
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

    def _handle(self, request_line: str, headers: dict[str, str], _: bytes) -> bytes | None:
        """Handles a request of a scheduler; returns the response, or None if the worker never responds."""
        method, target, _ = request_line.split(" ", 2)
        if method == "GET":  # a draining worker also reports it in its health checks
            return encode_response(503 if self.is_draining else 200, b"{}")
        if method == "DELETE":
            request = target.rsplit("/", 1)[1]
            task = self.jobs.pop(request, None)
            if task is not None:
                task.cancel()
            self._record_outcome(request, "deleted")
            return encode_response(200)
        request, service_class = headers["x-call-id"], target.strip("/")
        if self.mode is WorkerMode.FULL:
            self._record_outcome(request, "rejected")
            return encode_response(503, header="X-Rejected: 1\r\n")
        self._record_outcome(request, "accepted")
        if self.mode is WorkerMode.FAILS:
            self._record_outcome(request, "failed")
            return encode_response(500)
        if self.mode is WorkerMode.NEVER_ANSWERS:
            return None
        if self.mode is not WorkerMode.NEVER_FINISHES:
            self.jobs[request] = asyncio.ensure_future(self._run(request, service_class))
        return encode_response(202)

    async def _run(self, request: str, service_class: str) -> None:
        """Runs a job and posts its result to the scheduler, whose name begins the request's id."""
        await asyncio.sleep(self.run_s[service_class] * self.rng.uniform(0.5, 1.5))
        self._record_outcome(request, "done")
        self.jobs.pop(request, None)
        body = json.dumps({"id": request, "from": self.name, "state": "done", "result": "ok"}).encode()
        scheduler = request.split("x")[0]
        for _ in range(MAX_CALLBACK_ATTEMPTS):
            if await post_callback(self.callback_ports[scheduler], body):
                return
            await asyncio.sleep(CALLBACK_RETRY_S)


class IdleConnectionFlood:
    """Idle clients, which open connections and send nothing."""

    def __init__(self) -> None:
        self.writers: list[asyncio.StreamWriter] = []

    async def open(self, port: int, count: int) -> None:
        """Opens connections; ignores those that are refused."""
        for _ in range(count):
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(HOST, port)
                self.writers.append(writer)

    def close_all(self) -> None:
        """Resets all connections."""
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()


async def post_callback(port: int, body: bytes) -> bool:
    """Posts a worker's call-back; returns whether it was answered with 200 or 204 within 1 s."""
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
    except OSError:
        return False
    try:
        head = f"POST /v1/job-events HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        message = await asyncio.wait_for(read_message(reader), 1.0)
    except (OSError, TimeoutError):
        return False
    finally:
        writer.close()
    return message is not None and message[0].split(" ")[1] in ("200", "204")


class ClientStandIn:
    """The clients of one scheduler. Requests arrive at random at a mean rate, regardless of answers.

    Some clients disconnect early. Connections are kept and reused.
    """

    def __init__(
        self, scheduler: str, records: Records, classes: dict[str, dict[str, float]], rng: random.Random
    ) -> None:
        self.scheduler, self.records, self.classes, self.rng = scheduler, records, classes, rng
        self.port, self.rate_per_s, self.is_sending, self.request_count = 0, 10.0, True, 0
        self.disconnect_share = 0.0  # share of requests whose client disconnects early
        self.open_streams = OpenStreams()
        self.idle_connections: list[Streams] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Sends requests until is_sending is False."""
        while self.is_sending:
            await asyncio.sleep(self.rng.expovariate(self.rate_per_s))
            if not self.is_sending:
                return
            task = asyncio.ensure_future(self._send_request())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def close_idle_connections(self) -> None:
        """Closes the connections that wait for a request."""
        for _, writer in self.idle_connections:
            writer.close()
        self.idle_connections.clear()

    def close(self) -> None:
        """Closes all connections, also those that wait for an answer."""
        self.open_streams.close()

    async def _send_request(self) -> None:
        """Sends one request of a random class with its full budget or 30% of it."""
        names = list(self.classes)
        service_class = self.rng.choices(names, [self.classes[name]["share"] for name in names])[0]
        budget_ms = int(self.classes[service_class]["deadline_ms"] * self.rng.choice((0.3, 1.0, 1.0)))
        self.request_count += 1
        request_id = f"{self.scheduler}x{self.request_count:08x}"
        disconnects_early = self.rng.random() < self.disconnect_share
        encoded_request = (
            f"POST /{service_class} HTTP/1.1\r\nHost: x\r\n"
            f"X-Call-Id: {request_id}\r\nX-Budget-Ms: {budget_ms}\r\n"
            f"Idempotency-Key: {request_id}\r\nContent-Length: 4\r\n\r\nwork"
        )
        record = ClientRequest(request_id, self.scheduler, service_class, budget_ms, time.monotonic())
        self.records.requests.append(record)
        if self.idle_connections:
            reader, writer = self.idle_connections.pop()
            with contextlib.suppress(OSError):
                writer.write(encoded_request.encode())
            await self._await_answer(record, reader, writer, disconnects_early)
            if record.closed_unanswered_s is None:
                return
            # The scheduler closed the idle connection while the request was on its way. Retries on a new one.
            record.closed_unanswered_s = None
        try:
            reader, writer = await self.open_streams.connect(HOST, self.port)
            record.is_on_new_connection = True
            record.sent_s = time.monotonic()  # a request's budget starts at its last byte
            writer.write(encoded_request.encode())
        except OSError:
            self.records.requests.remove(record)  # the scheduler never received it
            return
        await self._await_answer(record, reader, writer, disconnects_early)

    async def _await_answer(
        self,
        record: ClientRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        disconnects_early: bool,
    ) -> None:
        """Records the answer, its absence or the client's disconnect.

        Most clients wait until 3 s after their deadline; those that disconnect early wait at most 0.5 s.
        """
        timeout_s = record.budget_ms / 1000.0 + 3.0
        if disconnects_early:
            timeout_s = self.rng.uniform(0.0, 0.5)
        try:
            message = await asyncio.wait_for(read_message(reader), timeout_s)
        except TimeoutError:
            record.disconnected_s = time.monotonic()
            writer.transport.abort()
            return
        now_s = time.monotonic()
        if message is None:
            record.closed_unanswered_s = now_s
            writer.close()
            return
        record.status, record.answered_s = int(message[0].split(" ")[1]), now_s
        if message[1].get("connection", "") == "close" or len(self.idle_connections) > 4:
            writer.close()
        else:
            self.idle_connections.append((reader, writer))
