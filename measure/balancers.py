"""Stand-in balancers, scripted from the public specifications: how each asks, and what it does with the
answer.

Guarantees: Judge is pure (what a check saw, in; up or not, and the weight, out); the rest is asyncio.
Sources: HAProxy's configuration manual (agent-check, option httpchk, inter/rise/fall), Envoy's health
checking, keepalived's HTTP_GET, the gRPC health protocol, feedback agents of IPVS-like balancers.
"""

from __future__ import annotations

import asyncio
import random
import re
import struct
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import NamedTuple

from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.events import DataReceived, StreamEnded
from h2.exceptions import ProtocolError

CHECK_S = 0.3  # a check that takes longer has failed

Place = tuple[str, int]


class CheckResult(NamedTuple):
    """What one check saw."""

    up: bool | None = None  # None: it says nothing of it
    weight: int | None = None  # percent
    drain: bool | None = None
    at_once: bool = False  # it counts without waiting for `fall`


@dataclass
class HealthTracker:
    """rise and fall, as HAProxy, keepalived and Envoy count them."""

    rise: int
    fall: int
    up: bool = True
    weight: int = 100
    drain: bool = False
    streak: int = 0

    def record(self, seen: CheckResult) -> None:
        if seen.weight is not None:
            self.weight = seen.weight
        if seen.drain is not None:
            self.drain = seen.drain
        if seen.up is None or seen.up == self.up:
            self.streak = 0
            return
        self.streak += 1
        if seen.at_once or self.streak >= (self.rise if seen.up else self.fall):
            self.up, self.streak = seen.up, 0

    @property
    def effective_weight(self) -> int:
        return self.weight if self.up and not self.drain else 0


def parse_agent_reply(line: str) -> CheckResult:
    """HAProxy's words: a percentage, ready, drain, maint, up, down, failed, stopped, maxconn:N."""
    up = weight = drain = None
    for word in re.split(r"[ \t,]+", line.strip()):
        name = word.partition("#")[0].lower()
        if re.fullmatch(r"\d+%", name):
            weight = int(name[:-1])
        elif name in ("drain", "maint"):
            drain = True
        elif name == "ready":
            drain = False
        elif name == "up":
            up = True
        elif name in ("down", "fail", "failed", "stopped"):
            up = False
        elif not name.startswith("maxconn:"):
            raise ValueError(f"unknown word {word!r}")
        if "#" in word:
            break  # the rest of the line is a comment
    return CheckResult(up, weight, drain, at_once=True)


async def exchange(place: Place, data: bytes) -> bytes:
    """Connect, send, and read until the other side closes."""
    reader, writer = await asyncio.open_connection(*place)
    try:
        writer.write(data)
        return await reader.read(65536) if not data else await reader.read()
    finally:
        writer.close()


async def agent(place: Place) -> CheckResult:
    return parse_agent_reply((await exchange(place, b"")).decode())


async def feedback(place: Place) -> CheckResult:
    weight = int((await exchange(place, b"")).strip().rstrip(b"%"))
    return CheckResult(weight=weight, drain=weight == 0)


def http_reply(answer: bytes) -> CheckResult:
    head = answer.partition(b"\r\n\r\n")[0].decode("latin-1").lower()
    status = int(head.split(" ")[1])
    return CheckResult(200 <= status < 400, at_once="x-envoy-immediate-health-check-fail: true" in head)


async def haproxy_http(place: Place) -> CheckResult:
    """`option httpchk` without more."""
    return http_reply(await exchange(place, b"OPTIONS / HTTP/1.0\r\n\r\n"))._replace(at_once=False)


async def keepalived(place: Place) -> CheckResult:
    request = b"GET /health HTTP/1.0\r\nHost: x\r\nUser-Agent: KeepAliveClient\r\n\r\n"
    return http_reply(await exchange(place, request))._replace(at_once=False)


class Kept:
    """A check whose connection is kept for the next one, as Envoy does by default."""

    def __init__(self) -> None:
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def __call__(self, place: Place) -> CheckResult:
        if self.streams is None or self.streams[0].at_eof():
            self.streams = await asyncio.open_connection(*place)
            self.fresh()
        try:
            return await self.ask(*self.streams)
        except BaseException:
            self.streams[1].close()
            self.streams = None
            raise

    def fresh(self) -> None:
        """The connection is a new one."""

    async def ask(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> CheckResult:
        raise NotImplementedError


class EnvoyHttp(Kept):
    async def ask(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> CheckResult:
        writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nUser-Agent: Envoy/HC\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(int(re.search(rb"content-length: (\d+)", head.lower())[1]))
        return http_reply(head)


class Grpc(Kept):
    """Check of the whole daemon, over one HTTP/2 connection."""

    method = "Check"

    def fresh(self) -> None:
        self.h2 = H2Connection(H2Configuration(client_side=True, header_encoding="utf-8"))
        self.h2.initiate_connection()

    def call(self) -> int:
        stream = self.h2.get_next_available_stream_id()
        self.h2.send_headers(
            stream,
            [
                (":method", "POST"),
                (":scheme", "http"),
                (":authority", "x"),
                (":path", f"/grpc.health.v1.Health/{self.method}"),
                ("te", "trailers"),
                ("content-type", "application/grpc"),
            ],
        )
        self.h2.send_data(stream, struct.pack("!BI", 0, 0), end_stream=True)
        return stream

    async def events(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> list:
        """The next ones; raises OSError where the connection has ended."""
        writer.write(self.h2.data_to_send())
        data = await reader.read(65536)
        if not data:
            raise ConnectionResetError
        return self.h2.receive_data(data)

    async def ask(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> CheckResult:
        stream, statuses = self.call(), []
        while True:
            for event in await self.events(reader, writer):
                if isinstance(event, DataReceived):
                    statuses.append(event.data[-1])
                if isinstance(event, StreamEnded) and event.stream_id == stream:
                    return CheckResult(statuses == [1])


class GrpcWatch(Grpc):
    """Watch: each status that the daemon tells, until the connection ends."""

    method = "Watch"

    async def follow(self, place: Place, told: Callable[[int], object]) -> None:
        reader, writer = await asyncio.open_connection(*place)
        try:
            self.fresh()
            self.call()
            while True:
                for event in await self.events(reader, writer):
                    if isinstance(event, DataReceived):
                        told(event.data[-1])
        finally:
            writer.close()


class Protocol(NamedTuple):
    """How a balancer asks: the front, the check, its interval, rise and fall."""

    front: str
    check: Callable | type[Kept] | None  # None: it watches
    inter_s: float
    rise: int
    fall: int


#: With the timings that docs/operators/balancers.md recommends.
PROTOCOLS = {
    "agent-check": Protocol("agent_check", agent, 1.0, 1, 1),
    "feedback": Protocol("feedback", feedback, 1.0, 1, 1),
    "haproxy-http": Protocol("health", haproxy_http, 0.5, 1, 2),
    "keepalived": Protocol("health", keepalived, 0.5, 1, 2),
    "envoy-http": Protocol("health", EnvoyHttp, 1.0, 1, 2),
    "grpc-check": Protocol("grpc", Grpc, 0.5, 1, 2),
    "grpc-watch": Protocol("grpc", None, 0.0, 1, 1),
}


@dataclass
class Sent:
    """One request, as the balancer saw it."""

    id: str
    backend: str
    at: float  # its last byte was written
    answers: list[int] = field(default_factory=list)  # statuses; one is owed
    took_s: float = 0.0
    crossed: int = 0  # times that a close crossed it unread, and it was sent again


class Backend:
    """A scheduler behind the balancer."""

    def __init__(self, name: str, clients: Place, check: Place, protocol: Protocol) -> None:
        self.name, self.clients, self.check, self.protocol = name, clients, check, protocol
        self.health_tracker = HealthTracker(protocol.rise, protocol.fall)
        check = protocol.check
        self.ask = check() if isinstance(check, type) else check  # one that keeps its connection is its own
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.checked_at = 0.0
        self.wrong: list[str] = []

    async def follow(self) -> None:
        """Check for ever, at the protocol's interval."""
        while True:
            if self.protocol.check is None:
                with suppress(OSError, ProtocolError):
                    await GrpcWatch().follow(self.check, self._watched)
                self.health_tracker.record(CheckResult(False))
                await asyncio.sleep(0.1)
                continue
            begun = time.monotonic()
            try:
                seen = await asyncio.wait_for(self.ask(self.check), CHECK_S)
            except (OSError, TimeoutError, IndexError, ValueError, EOFError, ProtocolError) as error:
                seen = CheckResult(None if self.protocol.check in (agent, feedback) else False)
                self.wrong.append(repr(error))
            self.health_tracker.record(seen)
            self.checked_at = time.monotonic()
            await asyncio.sleep(max(0.0, begun + self.protocol.inter_s - time.monotonic()))

    def _watched(self, status: int) -> None:
        self.health_tracker.record(CheckResult(status == 1, at_once=True))
        self.checked_at = time.monotonic()


class Balancer:
    """Deals requests out by weight, over kept connections."""

    def __init__(self, backends: list[Backend], seed: int) -> None:
        self.backends, self.random = backends, random.Random(seed)
        self.sent: list[Sent] = []
        self.nowhere = 0  # requests for which no backend was left
        self.retried = 0  # refusals that were tried at another backend
        self.tasks = [asyncio.ensure_future(each.follow()) for each in backends]

    def pick(self, but: set[str] = frozenset()) -> Backend | None:
        fit = [
            each for each in self.backends if each.health_tracker.effective_weight and each.name not in but
        ]
        return (
            self.random.choices(fit, [each.health_tracker.effective_weight for each in fit])[0]
            if fit
            else None
        )

    async def request(self, number: str, cls: str, budget_ms: int, body: bytes = b"") -> Sent | None:
        """One client's request, sent on after a refusal to each other backend once."""
        tried: set[str] = set()
        sent = None
        while (backend := self.pick(tried)) is not None:
            tried.add(backend.name)
            sent = await self._send(backend, f"{number}-{len(tried)}", cls, budget_ms, body)
            if sent.answers != [503]:
                return sent
            self.retried += 1
        self.nowhere += sent is None
        return sent

    async def _send(self, backend: Backend, job: str, cls: str, budget_ms: int, body: bytes) -> Sent:
        data = (
            f"POST /{cls} HTTP/1.1\r\nHost: x\r\nX-Call-Id: {job}\r\nX-Budget-Ms: {budget_ms}\r\n"
            f"Idempotency-Key: {job}\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        sent = Sent(job, backend.name, 0.0)
        self.sent.append(sent)
        begun = time.monotonic()
        while True:
            while backend.idle and backend.idle[-1][0].at_eof():  # closed while it was idle
                backend.idle.pop()[1].close()
            kept = bool(backend.idle)
            try:
                reader, writer = (
                    backend.idle.pop() if kept else await asyncio.open_connection(*backend.clients)
                )
            except OSError:
                return sent
            try:
                sent.at = time.monotonic()
                writer.write(data)
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                length = int(re.search(r"content-length: (\d+)", head.lower())[1])
                await reader.readexactly(length)
            except (asyncio.IncompleteReadError, ConnectionError) as error:
                writer.close()
                if kept and not getattr(error, "partial", b""):
                    sent.crossed += 1  # as a client does: once more, on another connection
                    continue
                return sent
            sent.answers.append(int(head.split(" ")[1]))
            sent.took_s = time.monotonic() - begun
            if "connection: close" in head.lower():
                writer.close()
            else:
                backend.idle.append((reader, writer))
            return sent

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for each in self.backends:
            for _, writer in each.idle:
                writer.close()
