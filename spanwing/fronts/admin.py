"""The admin listener: a Unix socket for the command line, JSON, one message a line; and GET /journal/...

Guarantees: only the daemon's own user reaches it (mode 0600 from the socket's first moment); MOST
connections, lines of LONGEST bytes, a whole line within WHOLE_S, a reply read within WRITE_S; a socket file
that a dead daemon left is replaced, one that a living daemon serves is not.
"""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any, Protocol

import msgspec
from tornado.gen import TimeoutError as WaitOver
from tornado.gen import sleep, with_timeout
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from spanwing.actor import spawn
from spanwing.fronts.balancers.checks import detail
from spanwing.fronts.balancers.reporter import Reporter
from spanwing.fronts.journalpage import JournalPage
from spanwing.log import tell
from spanwing.wire.address import listen_unix
from spanwing.wire.buffers import BufferPool
from spanwing.wire.stream import LineStream, LineTooLong
from spanwing.wire.table import IDLE, LINGER_S, OVER, SILENT, WHOLE_S, Table

MOST = 8
LONGEST = 64 * 1024  # a proposed policy is the longest
UNREAD = 256 * 1024
WATCH_S = 1.0
WRITE_S = 5.0  # a reader that does not read is closed after this, or it would keep its place


class Ask(msgspec.Struct):
    """One command."""

    do: str
    within_s: float | None = None
    percent: float | None = None
    member: str = ""  # of the store: another daemon than this one
    zone: str = ""  # or region
    order: str = ""  # for it, or for the policy
    text: str = ""  # of a policy
    base: int = 0  # the version that it was made from
    version: int = 0
    reason: str = ""
    by: str = "operator"
    gone: list[str] = []  # schedulers that are gone for good


class PolicyOrders(Protocol):
    """The fleet's policy, as this daemon follows it."""

    async def order(
        self, do: str, by: str, text: str, base: int, reason: str, wait_s: float, gone: list[str]
    ) -> str:
        """Raises ValueError with what is wrong."""

    def status(self) -> dict[str, Any]: ...

    def history(self) -> list[dict[str, Any]]: ...

    def text(self, number: int) -> str:
        """Raises ValueError."""

    def check(self, text: str) -> str:
        """Why it could not be taken over here now; empty: it could."""


class ZoneOrders(Protocol):
    """The fleet's zones, as this daemon follows them."""

    async def order(self, do: str, name: str, over_s: float) -> str:
        """What came of an order. Raises ValueError with what is wrong."""

    def status(self) -> dict[str, Any]: ...

    def history(self) -> list[dict[str, Any]]: ...


class Fault(Exception):
    """A command that is answered with an error."""


class AdminConnection:
    """One connection, a command at a time."""

    def __init__(self, front: AdminFront, stream: IOStream) -> None:
        self.front, self.lines = front, LineStream(stream, front.buffers, LONGEST)
        self.over = self.heard = self.busy = False
        self.since = IOLoop.current().time()

    async def serve(self) -> None:
        try:
            while (line := await self.lines.line(WHOLE_S, not self.heard)) is not None:
                self.heard = self.busy = True
                if line.startswith((b"GET ", b"HEAD ", b"POST ", b"PUT ", b"DELETE ")):
                    await self.front.journal.serve(self.lines, line, WHOLE_S)
                    return
                try:
                    ask = msgspec.json.decode(line, type=Ask)
                    if ask.do == "watch":
                        await self._watch()
                        return
                    await self._say({"ok": True, **await self.front.do(ask)})
                except (ValueError, Fault) as fault:
                    await self._say({"ok": False, "error": str(fault)})
                self.busy, self.since = False, IOLoop.current().time()
        except (StreamClosedError, StreamBufferFullError, LineTooLong, WaitOver):
            pass
        finally:
            self.over = True
            await self.lines.finish(LINGER_S)
            self.front.table.seats.discard(self)

    async def _watch(self) -> None:
        """The whole state every second until the other side goes."""
        while not self.lines.stream.closed() and self.lines.silent():
            await self._say({"ok": True, **self.front.status()})
            await sleep(WATCH_S)

    async def _say(self, reply: dict[str, Any]) -> None:
        wait = timedelta(seconds=WRITE_S)
        await with_timeout(
            wait, self.lines.write(msgspec.json.encode(reply) + b"\n"), quiet_exceptions=StreamClosedError
        )

    def rank(self, waited_s: float) -> int | None:
        if self.over:
            return OVER
        return None if self.busy else IDLE if self.heard else SILENT

    def silent(self) -> bool:
        return self.lines.silent()

    def close(self) -> None:
        self.lines.close()


class AdminFront:
    """Listens on the socket's path."""

    def __init__(
        self,
        path: str,
        name: str,
        reporter: Reporter,
        counters: Callable[[], dict[str, int]],
        order: Callable[[str, bool, float | None], Awaitable[None]],
        buffers: BufferPool,
        journal: str = "",
        zones: ZoneOrders | None = None,
        policy: PolicyOrders | None = None,
    ) -> None:
        self.name, self.reporter, self.counters, self.order = name, reporter, counters, order
        self.buffers, self.journal, self.zones, self.policy = buffers, JournalPage(journal), zones, policy
        self.table: Table[AdminConnection] = Table(MOST)
        self.listening = listen_unix(path, self._accept)
        self.address = path

    def _accept(self, sock) -> None:
        if not self.table.room():
            sock.close()
            return
        stream = IOStream(sock, max_buffer_size=UNREAD, max_write_buffer_size=UNREAD)
        connection = AdminConnection(self, stream)
        self.table.seats.add(connection)
        spawn(connection.serve())

    def status(self) -> dict[str, Any]:
        drains = self.reporter.health.drains
        version = {} if self.policy is None else {"policy": self.policy.status()}
        return {
            "name": self.name,
            **detail(self.reporter),
            **version,
            "drained_by": sorted(drains.orders),
            "owed": self.reporter.owed(),
            "counters": self.counters(),
        }

    async def do(self, ask: Ask) -> dict[str, Any]:
        """Carry out a command; raises Fault or ValueError with what is wrong with it."""
        if ask.within_s is not None and not 0 < ask.within_s <= 86_400:
            raise Fault("within: 0 to 86400 seconds are possible")
        match ask.do:
            case "status":
                return self.status()
            case "drain" | "undrain" if ask.member:
                tell("order", do=ask.do, member=ask.member)
                await self.order(ask.member, ask.do == "drain", ask.within_s)
                return {"member": ask.member}
            case "drain":
                tell("order", do="drain", within_s=ask.within_s)
                self.reporter.drain("command", math.inf if ask.within_s is None else ask.within_s)
                return self.status()
            case "undrain":
                tell("order", do="undrain")
                if self.reporter.undrain("command"):
                    asked = " and ".join(sorted(self.reporter.health.drains.orders))
                    raise Fault(f"still draining, asked for by {asked}")
                return self.status()
            case "weight":
                if ask.percent is None:
                    raise Fault("weight: a percentage is needed")
                tell("order", do="weight", percent=ask.percent)
                self.reporter.set_weight(ask.percent)
                return self.status()
            case "zones" | "zones_history" | "zones_order" if self.zones is None:
                raise Fault("the fleet's zones are not switched on here: there is no [zones] table")
            case "zones":
                return {"name": self.name, **self.zones.status()}
            case "zones_history":
                return {"history": self.zones.history()}
            case "zones_order":
                tell("order", do=f"zones {ask.order}", zone=ask.zone)
                return {"text": await self.zones.order(ask.order, ask.zone, ask.within_s or 0.0)}
            case "policy" | "policy_history" | "policy_text" | "policy_check" | "policy_order" if (
                self.policy is None
            ):
                raise Fault("the fleet's policy is not switched on here: there is no [policy] table")
            case "policy":
                return {"name": self.name, **self.policy.status()}
            case "policy_history":
                return {"history": self.policy.history()}
            case "policy_text":
                return {"text": self.policy.text(ask.version)}
            case "policy_check":
                return {"no": self.policy.check(ask.text)}
            case "policy_order":
                tell("order", do=f"policy {ask.order}", by=ask.by)
                return {
                    "text": await self.policy.order(
                        ask.order, ask.by, ask.text, ask.base, ask.reason, ask.within_s or 60.0, ask.gone
                    )
                }
        raise Fault(f"unknown command {ask.do[:20]!r}")

    def close(self) -> None:
        self.listening.close()
        for each in list(self.table.seats):
            each.close()
