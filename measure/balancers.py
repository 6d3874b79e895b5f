"""Stand-ins for load balancers, written from the public specifications of their health checks.

HealthTracker is pure: it maps check results to a state and a weight. Everything else runs on asyncio.
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

from measure.streams import OpenStreams, Streams

CHECK_TIMEOUT_S = 0.3  # a check that takes longer counts as failed

HostPort = tuple[str, int]


class CheckResult(NamedTuple):
    """The result of one health check; a field that is None leaves the tracked state unchanged."""

    up: bool | None = None
    weight: int | None = None  # percent
    drain: bool | None = None
    immediate: bool = False  # applies at once, whatever `rise` and `fall` are


@dataclass
class HealthTracker:
    """Tracks a backend's state from its check results, with rise and fall as HAProxy, keepalived and Envoy
    count them: consecutive results that differ from the state."""

    rise: int
    fall: int
    up: bool = True
    weight: int = 100
    drain: bool = False
    streak: int = 0

    def record(self, result: CheckResult) -> None:
        """Applies one check result."""
        if result.weight is not None:
            self.weight = result.weight
        if result.drain is not None:
            self.drain = result.drain
        if result.up is None or result.up == self.up:
            self.streak = 0
            return
        self.streak += 1
        if result.immediate or self.streak >= (self.rise if result.up else self.fall):
            self.up, self.streak = result.up, 0

    @property
    def effective_weight(self) -> int:
        """The weight for new requests, in percent; 0 while the backend is down or draining."""
        return self.weight if self.up and not self.drain else 0


def parse_agent_reply(line: str) -> CheckResult:
    """Parses a reply to HAProxy's agent-check.

    The words are a percentage, ready, drain, maint, up, down, fail, failed, stopped and maxconn:N. Raises
    ValueError for any other word.
    """
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
            raise ValueError(f"agent-check reply contains the unknown word {word!r}")
        if "#" in word:
            break  # the rest of the line is a comment
    return CheckResult(up, weight, drain, immediate=True)


async def send_and_read(address: HostPort, data: bytes) -> bytes:
    """Sends `data` on a new connection and returns what the peer sends before it closes.

    With no data to send, as for an agent check, returns the first chunk read.
    """
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(data)
        return await reader.read(65536) if not data else await reader.read()
    finally:
        writer.close()


async def check_agent(address: HostPort) -> CheckResult:
    """HAProxy's agent-check: the daemon replies as soon as the connection opens."""
    return parse_agent_reply((await send_and_read(address, b"")).decode())


async def check_feedback(address: HostPort) -> CheckResult:
    """A feedback agent: the reply is a weight in percent, where 0 means drain."""
    weight = int((await send_and_read(address, b"")).strip().rstrip(b"%"))
    return CheckResult(weight=weight, drain=weight == 0)


def parse_http_reply(answer: bytes) -> CheckResult:
    """Returns up for a status of 2xx or 3xx, and honours Envoy's header for an immediate failure."""
    head = answer.partition(b"\r\n\r\n")[0].decode("latin-1").lower()
    status = int(head.split(" ")[1])
    return CheckResult(200 <= status < 400, immediate="x-envoy-immediate-health-check-fail: true" in head)


async def check_haproxy_http(address: HostPort) -> CheckResult:
    """HAProxy's `option httpchk` with its defaults."""
    return parse_http_reply(await send_and_read(address, b"OPTIONS / HTTP/1.0\r\n\r\n"))._replace(
        immediate=False
    )


async def check_keepalived(address: HostPort) -> CheckResult:
    """keepalived's HTTP_GET."""
    request = b"GET /health HTTP/1.0\r\nHost: x\r\nUser-Agent: KeepAliveClient\r\n\r\n"
    return parse_http_reply(await send_and_read(address, request))._replace(immediate=False)


class PersistentCheck:
    """A check that reuses its connection, as Envoy does by default."""

    def __init__(self) -> None:
        self.open_streams = OpenStreams()
        self.streams: Streams | None = None

    async def __call__(self, address: HostPort) -> CheckResult:
        if self.streams is None or self.streams[0].at_eof():
            self.open_streams.close()
            self.streams = await self.open_streams.connect(*address)
            self.on_connected()
        try:
            return await self.exchange(*self.streams)
        except BaseException:
            self.streams[1].close()
            self.streams = None
            raise

    def close(self) -> None:
        """Closes the connection."""
        self.open_streams.close()

    def on_connected(self) -> None:
        """Called after a new connection is opened."""

    async def exchange(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> CheckResult:
        """Sends one check and returns its result."""
        raise NotImplementedError


class EnvoyHttp(PersistentCheck):
    """Envoy's HTTP health check."""

    async def exchange(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> CheckResult:
        writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nUser-Agent: Envoy/HC\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(int(re.search(rb"content-length: (\d+)", head.lower())[1]))
        return parse_http_reply(head)


class GrpcCheck(PersistentCheck):
    """gRPC health Check of the whole daemon, over one HTTP/2 connection."""

    method = "Check"

    def on_connected(self) -> None:
        self.h2 = H2Connection(H2Configuration(client_side=True, header_encoding="utf-8"))
        self.h2.initiate_connection()

    def start_call(self) -> int:
        """Queues a call of `method` and returns its stream id."""
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

    async def receive_events(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> list:
        """Sends what is pending and returns the next HTTP/2 events.

        Raises ConnectionResetError if the connection has ended.
        """
        writer.write(self.h2.data_to_send())
        data = await reader.read(65536)
        if not data:
            raise ConnectionResetError
        return self.h2.receive_data(data)

    async def exchange(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> CheckResult:
        stream, statuses = self.start_call(), []
        while True:
            for event in await self.receive_events(reader, writer):
                if isinstance(event, DataReceived):
                    statuses.append(event.data[-1])
                if isinstance(event, StreamEnded) and event.stream_id == stream:
                    return CheckResult(statuses == [1])


class GrpcWatch(GrpcCheck):
    """gRPC health Watch: a stream of status changes."""

    method = "Watch"

    async def watch(self, address: HostPort, on_status: Callable[[int], object]) -> None:
        """Passes each status that the daemon sends to `on_status`, until the connection ends."""
        reader, writer = await asyncio.open_connection(*address)
        try:
            self.on_connected()
            self.start_call()
            while True:
                for event in await self.receive_events(reader, writer):
                    if isinstance(event, DataReceived):
                        on_status(event.data[-1])
        finally:
            writer.close()


class Protocol(NamedTuple):
    """How a balancer checks a backend: the daemon's listener, the check, its interval, rise and fall."""

    front: str
    check: Callable | type[PersistentCheck] | None  # None: gRPC Watch instead of repeated checks
    interval_s: float
    rise: int
    fall: int


#: The protocols by name, with the timings that docs/operators/balancers.md recommends.
PROTOCOLS = {
    "agent-check": Protocol("agent_check", check_agent, 1.0, 1, 1),
    "feedback": Protocol("feedback", check_feedback, 1.0, 1, 1),
    "haproxy-http": Protocol("health", check_haproxy_http, 0.5, 1, 2),
    "keepalived": Protocol("health", check_keepalived, 0.5, 1, 2),
    "envoy-http": Protocol("health", EnvoyHttp, 1.0, 1, 2),
    "grpc-check": Protocol("grpc", GrpcCheck, 0.5, 1, 2),
    "grpc-watch": Protocol("grpc", None, 0.0, 1, 1),
}


@dataclass
class SentRequest:
    """One request that the balancer sent to a backend."""

    id: str
    backend: str
    sent_at: float  # monotonic time just before it was last written; 0.0 if it never was
    statuses: list[int] = field(default_factory=list)  # exactly one is expected
    duration_s: float = 0.0
    close_races: int = 0  # resends, as the backend had closed the idle connection meanwhile


class Backend:
    """A scheduler behind the balancer, with its health state and its idle client connections."""

    def __init__(
        self, name: str, client_address: HostPort, check_address: HostPort, protocol: Protocol
    ) -> None:
        self.name, self.client_address, self.check_address, self.protocol = (
            name,
            client_address,
            check_address,
            protocol,
        )
        self.health_tracker = HealthTracker(protocol.rise, protocol.fall)
        check = protocol.check
        # A persistent check is instantiated per backend, because it holds that backend's connection.
        self.run_check = check() if isinstance(check, type) else check
        self.open_streams = OpenStreams()  # of requests
        self.idle: list[Streams] = []
        self.checked_at = 0.0
        self.check_errors: list[str] = []

    async def run_checks(self) -> None:
        """Checks the backend at the protocol's interval until cancelled."""
        while True:
            if self.protocol.check is None:
                with suppress(OSError, ProtocolError):
                    await GrpcWatch().watch(self.check_address, self._on_watched_status)
                self.health_tracker.record(CheckResult(False))
                await asyncio.sleep(0.1)
                continue
            begun = time.monotonic()
            try:
                # wait_for() of Python 3.11 swallows a cancellation that meets the end of the check.
                async with asyncio.timeout(CHECK_TIMEOUT_S):
                    result = await self.run_check(self.check_address)
            except (OSError, TimeoutError, IndexError, ValueError, EOFError, ProtocolError) as error:
                result = CheckResult(None if self.protocol.check in (check_agent, check_feedback) else False)
                self.check_errors.append(repr(error))
            self.health_tracker.record(result)
            self.checked_at = time.monotonic()
            await asyncio.sleep(max(0.0, begun + self.protocol.interval_s - time.monotonic()))

    def close(self) -> None:
        """Closes the connections of requests and of a persistent check."""
        self.open_streams.close()
        if isinstance(self.run_check, PersistentCheck):
            self.run_check.close()

    def _on_watched_status(self, status: int) -> None:
        self.health_tracker.record(CheckResult(status == 1, immediate=True))
        self.checked_at = time.monotonic()


class Balancer:
    """Distributes requests by weight, over reused connections."""

    def __init__(self, backends: list[Backend], seed: int) -> None:
        self.backends, self.random = backends, random.Random(seed)
        self.sent: list[SentRequest] = []
        self.unroutable = 0  # requests for which no backend was available
        self.retry_count = 0  # answers of 503; the request then goes to another backend if one is left
        self.tasks = [asyncio.ensure_future(each.run_checks()) for each in backends]

    def pick(self, excluded: set[str] = frozenset()) -> Backend | None:
        """Picks a backend at random by weight, or None if none is available."""
        available = [
            each
            for each in self.backends
            if each.health_tracker.effective_weight and each.name not in excluded
        ]
        return (
            self.random.choices(available, [each.health_tracker.effective_weight for each in available])[0]
            if available
            else None
        )

    async def request(self, number: str, cls: str, budget_ms: int, body: bytes = b"") -> SentRequest | None:
        """Sends a request to one backend after the other, each at most once, while the answer is 503.

        Returns the last attempt, or None if no backend was available.
        """
        tried: set[str] = set()
        sent = None
        while (backend := self.pick(tried)) is not None:
            tried.add(backend.name)
            sent = await self._send(backend, f"{number}-{len(tried)}", cls, budget_ms, body)
            if sent.statuses != [503]:
                return sent
            self.retry_count += 1
        self.unroutable += sent is None
        return sent

    async def _send(self, backend: Backend, job: str, cls: str, budget_ms: int, body: bytes) -> SentRequest:
        data = (
            f"POST /{cls} HTTP/1.1\r\nHost: x\r\nX-Call-Id: {job}\r\nX-Budget-Ms: {budget_ms}\r\n"
            f"Idempotency-Key: {job}\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        sent = SentRequest(job, backend.name, 0.0)
        self.sent.append(sent)
        begun = time.monotonic()
        while True:
            while backend.idle and backend.idle[-1][0].at_eof():  # the backend closed it while it was idle
                backend.idle.pop()[1].close()
            reused = bool(backend.idle)
            try:
                reader, writer = (
                    backend.idle.pop()
                    if reused
                    else await backend.open_streams.connect(*backend.client_address)
                )
            except OSError:
                return sent
            try:
                sent.sent_at = time.monotonic()
                writer.write(data)
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                length = int(re.search(r"content-length: (\d+)", head.lower())[1])
                await reader.readexactly(length)
            except (asyncio.IncompleteReadError, ConnectionError) as error:
                writer.close()
                if reused and not getattr(error, "partial", b""):
                    sent.close_races += 1  # retries on another connection, as HTTP clients do
                    continue
                return sent
            sent.statuses.append(int(head.split(" ")[1]))
            sent.duration_s = time.monotonic() - begun
            if "connection: close" in head.lower():
                writer.close()
            else:
                backend.idle.append((reader, writer))
            return sent

    async def stop(self) -> None:
        """Stops the checks and closes all connections."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for each in self.backends:
            each.close()
