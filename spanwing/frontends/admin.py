"""The admin listener: a Unix socket that takes commands as lines of JSON, and GET /journal/... requests.

The socket has mode 0600 from the start, so only the daemon's own user can connect. It serves at most
MAX_CONNECTIONS connections, and lines of at most MAX_LINE_BYTES. A line must be complete within
MESSAGE_TIMEOUT_S, and a reply must be read within WRITE_TIMEOUT_S. A stale socket file is replaced, unless
another daemon is listening on it.
"""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any, Protocol

import msgspec
from tornado.gen import TimeoutError as TornadoTimeoutError
from tornado.gen import sleep, with_timeout
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from spanwing.actor import spawn_task
from spanwing.frontends.balancers.health_checks import health_report
from spanwing.frontends.balancers.health_reporter import HealthReporter
from spanwing.frontends.journal_endpoint import JournalEndpoint
from spanwing.json_input import decode_json
from spanwing.log import log_event
from spanwing.net.address import listen_unix
from spanwing.net.buffers import BufferPool
from spanwing.net.connection_table import (
    LINGER_TIMEOUT_S,
    MESSAGE_TIMEOUT_S,
    RANK_FINISHED,
    RANK_IDLE,
    RANK_SILENT,
    ConnectionTable,
)
from spanwing.net.stream import LineStream, LineTooLongError
from spanwing.net.tcp_stream import TcpStream

MAX_CONNECTIONS = 8
MAX_LINE_BYTES = 64 * 1024  # has room for a proposed policy, the longest message
MAX_BUFFERED_BYTES = 256 * 1024
WATCH_INTERVAL_S = 1.0  # between two states written to a "watch" command
WRITE_TIMEOUT_S = 5.0  # a connection is closed if its peer does not read a reply within this


class AdminCommand(msgspec.Struct):
    """A command from the command line; which fields apply depends on its name."""

    name: str = msgspec.field(name="do")
    within_s: float | None = None  # time limit of a drain, or duration of an order
    percent: float | None = None  # weight
    member: str = ""  # the store member that a drain or undrain is for; empty: this daemon
    zone: str = ""  # a zone or region
    action: str = msgspec.field(default="", name="order")  # of a zone or policy order
    text: str = ""  # of a proposed policy
    base_version: int = msgspec.field(default=0, name="base")  # policy version that the proposal is based on
    version: int = 0  # policy version to show
    reason: str = ""
    author: str = msgspec.field(default="operator", name="by")
    #: Schedulers that are gone permanently.
    departed_schedulers: list[str] = msgspec.field(default=[], name="gone")


class PolicyOrders(Protocol):
    """What the admin listener requires of the fleet's policy."""

    async def order(
        self,
        action: str,
        author: str,
        text: str,
        base_version: int,
        reason: str,
        wait_s: float,
        departed_schedulers: list[str],
    ) -> str:
        """Executes an order and returns its outcome; raises ValueError if the order is rejected."""

    def status(self) -> dict[str, Any]:
        """Returns this scheduler's view of the policy, for the command line."""

    def history(self) -> list[dict[str, Any]]:
        """Returns the outcomes of the last changes, newest last."""

    def text(self, version: int) -> str:
        """Returns the text of a version, or of the one in force for 0; raises ValueError."""

    def check(self, text: str) -> str:
        """Returns why this scheduler could not adopt the text now, or an empty string if it could."""


class ZoneOrders(Protocol):
    """What the admin listener requires of the fleet's zones."""

    async def order(self, action: str, zone: str, within_s: float) -> str:
        """Executes an order and returns its outcome; raises ValueError if the order is rejected."""

    def status(self) -> dict[str, Any]:
        """Returns the state of the zones, for the command line."""

    def history(self) -> list[dict[str, Any]]:
        """Returns the last changes, newest last."""


class AdminError(Exception):
    """A command cannot be executed; its text is the error in the reply."""


class AdminConnection:
    """One connection to the admin socket; commands are executed one at a time."""

    def __init__(self, frontend: AdminFrontend, stream: IOStream) -> None:
        self.frontend, self.line_stream = frontend, LineStream(stream, frontend.buffers, MAX_LINE_BYTES)
        self.is_finished = self.has_sent_command = self.is_busy = False
        self.last_activity_s = IOLoop.current().time()

    async def serve(self) -> None:
        """Answers commands until the connection ends; an HTTP request ends it after its response."""
        try:
            while (
                line := await self.line_stream.read_line(MESSAGE_TIMEOUT_S, not self.has_sent_command)
            ) is not None:
                self.has_sent_command = self.is_busy = True
                if line.startswith((b"GET ", b"HEAD ", b"POST ", b"PUT ", b"DELETE ")):
                    await self.frontend.journal_endpoint.serve(self.line_stream, line, MESSAGE_TIMEOUT_S)
                    return
                try:
                    command = decode_json(line, AdminCommand)
                    if command.name == "watch":
                        await self._stream_status()
                        return
                    await self._write_reply({"ok": True, **await self.frontend.execute(command)})
                except (ValueError, AdminError) as error:
                    await self._write_reply({"ok": False, "error": str(error)})
                self.is_busy, self.last_activity_s = False, IOLoop.current().time()
        except (StreamClosedError, StreamBufferFullError, LineTooLongError, TornadoTimeoutError):
            pass
        finally:
            self.is_finished = True
            await self.line_stream.close_gracefully(LINGER_TIMEOUT_S)
            self.frontend.table.connections.discard(self)

    async def _stream_status(self) -> None:
        """Writes the complete state every WATCH_INTERVAL_S until the peer closes."""
        while not self.line_stream.stream.closed() and self.line_stream.has_no_pending_input():
            await self._write_reply({"ok": True, **self.frontend.status()})
            await sleep(WATCH_INTERVAL_S)

    async def _write_reply(self, reply: dict[str, Any]) -> None:
        timeout = timedelta(seconds=WRITE_TIMEOUT_S)
        await with_timeout(
            timeout,
            self.line_stream.write(msgspec.json.encode(reply) + b"\n"),
            quiet_exceptions=StreamClosedError,
        )

    def eviction_rank(self, inactive_s: float) -> int | None:
        """Returns the rank for the connection table; None while a command runs."""
        if self.is_finished:
            return RANK_FINISHED
        return None if self.is_busy else RANK_IDLE if self.has_sent_command else RANK_SILENT

    def has_no_pending_input(self) -> bool:
        """Returns whether the connection has no unread input and the peer has not closed."""
        return self.line_stream.has_no_pending_input()

    def close(self) -> None:
        """Closes the connection at once."""
        self.line_stream.close()


class AdminFrontend:
    """Listens on the admin socket and executes commands."""

    def __init__(
        self,
        path: str,
        name: str,
        reporter: HealthReporter,
        counters: Callable[[], dict[str, int]],
        order_drain: Callable[[str, bool, float | None], Awaitable[None]],
        buffers: BufferPool,
        journal_directory: str = "",
        zones: ZoneOrders | None = None,
        policy: PolicyOrders | None = None,
        process_figures: Callable[[], dict[str, int]] = dict,
    ) -> None:
        self.name, self.reporter, self.counters, self.order_drain = name, reporter, counters, order_drain
        self.buffers, self.journal_endpoint, self.zones, self.policy = (
            buffers,
            JournalEndpoint(journal_directory),
            zones,
            policy,
        )
        self.process_figures = process_figures
        self.table: ConnectionTable[AdminConnection] = ConnectionTable(MAX_CONNECTIONS)
        self.listening_socket = listen_unix(path, self._accept)
        self.address = path

    def _accept(self, sock) -> None:
        if not self.table.make_room():
            sock.close()
            return
        stream = TcpStream(sock, max_buffer_size=MAX_BUFFERED_BYTES, max_write_buffer_size=MAX_BUFFERED_BYTES)
        connection = AdminConnection(self, stream)
        self.table.connections.add(connection)
        spawn_task(connection.serve())

    def status(self) -> dict[str, Any]:
        """Returns the complete state of the daemon, for the command line."""
        drains = self.reporter.health.drain_orders
        version = {} if self.policy is None else {"policy": self.policy.status()}
        return {
            "name": self.name,
            **health_report(self.reporter),
            **version,
            "drained_by": sorted(drains.deadlines),
            "owed": self.reporter.outstanding_requests(),
            "counters": self.counters(),
            "process": self.process_figures(),
        }

    async def execute(self, command: AdminCommand) -> dict[str, Any]:
        """Executes a command and returns its reply; raises AdminError or ValueError with the error text."""
        if command.within_s is not None and not 0 < command.within_s <= 86_400:
            raise AdminError("within: must be more than 0 and at most 86400 seconds")
        match command.name:
            case "status":
                return self.status()
            case "drain" | "undrain" if command.member:
                log_event("order", do=command.name, member=command.member)
                await self.order_drain(command.member, command.name == "drain", command.within_s)
                return {"member": command.member}
            case "drain":
                log_event("order", do="drain", within_s=command.within_s)
                self.reporter.drain("command", math.inf if command.within_s is None else command.within_s)
                return self.status()
            case "undrain":
                log_event("order", do="undrain")
                if self.reporter.undrain("command"):
                    sources = " and ".join(sorted(self.reporter.health.drain_orders.deadlines))
                    raise AdminError(f"still draining, as ordered by {sources}")
                return self.status()
            case "weight":
                if command.percent is None:
                    raise AdminError("weight: a percentage is needed")
                log_event("order", do="weight", percent=command.percent)
                self.reporter.set_weight(command.percent)
                return self.status()
            case "zones" | "zones_history" | "zones_order" if self.zones is None:
                raise AdminError("the fleet's zones are not switched on here: there is no [zones] table")
            case "zones":
                return {"name": self.name, **self.zones.status()}
            case "zones_history":
                return {"history": self.zones.history()}
            case "zones_order":
                log_event("order", do=f"zones {command.action}", zone=command.zone)
                return {"text": await self.zones.order(command.action, command.zone, command.within_s or 0.0)}
            case "policy" | "policy_history" | "policy_text" | "policy_check" | "policy_order" if (
                self.policy is None
            ):
                raise AdminError("the fleet's policy is not switched on here: there is no [policy] table")
            case "policy":
                return {"name": self.name, **self.policy.status()}
            case "policy_history":
                return {"history": self.policy.history()}
            case "policy_text":
                return {"text": self.policy.text(command.version)}
            case "policy_check":
                return {"no": self.policy.check(command.text)}
            case "policy_order":
                log_event("order", do=f"policy {command.action}", by=command.author)
                return {
                    "text": await self.policy.order(
                        command.action,
                        command.author,
                        command.text,
                        command.base_version,
                        command.reason,
                        command.within_s or 60.0,
                        command.departed_schedulers,
                    )
                }
        raise AdminError(f"unknown command {command.name[:20]!r}")

    def close(self) -> None:
        """Stops listening and closes all connections."""
        self.listening_socket.close()
        for each in list(self.table.connections):
            each.close()
