"""The transport map: discovery's list, the watch on it, and the next hops it names."""

from __future__ import annotations

import hashlib
import logging
from collections.abc import Callable
from datetime import timedelta
from typing import Any, NamedTuple

import msgspec
from tornado.gen import TimeoutError as WaitOver
from tornado.gen import with_timeout
from tornado.iostream import IOStream, StreamClosedError

from spanwing import interface as api
from spanwing.core.actor import Actor, spawn
from spanwing.core.messages import Listed, Listener
from spanwing.net.address import Address, open_socket, parse_address
from spanwing.net.buffers import BufferPool
from spanwing.net.http import HttpError, HttpStream, Message, request_bytes
from spanwing.net.nexthop import CallBack, HttpNextHop, Retire

WATCH_MS = 10000  # a quiet watch answers after this
ANSWER_S = 1.5  # and this much later at the latest, or the call has failed
PHASES: dict[str, api.State] = {"active": "healthy", "leaving": "draining", "left": "gone"}

log = logging.getLogger("spanwing")


class Member(msgspec.Struct):
    """One job worker as discovery has it."""

    id: str
    host_port: str = ""
    locality: str | None = None
    flavor: str | None = None
    cell: int | None = None
    phase: str = "active"
    size: float | None = None
    up_since_ms: float | None = None


class MemberList(msgspec.Struct):
    """The list, or what changed in it."""

    revision: int = 0
    complete: bool = False
    members: list[Member] = []


class Follow(NamedTuple):
    """Begin to watch."""


class News(NamedTuple):
    """Discovery has answered; None: the call failed."""

    members: MemberList | None


class Heard(NamedTuple):
    """A call-back for the next hop of this name."""

    name: str
    event: CallBack


class Retired(NamedTuple):
    """A next hop has closed up."""

    name: str
    hop: HttpNextHop


def number_of(name: str) -> int:
    """The module's number for a job worker: the same at every scheduler."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=6).digest(), "big")


class TransportMap(Actor):
    """Owns the list; tells the core of changes."""

    def __init__(self, known: MemberList, discovery: Address, listener: Listener, buffers: BufferPool,
                 make_hop: Callable[[Address, Callable[[HttpNextHop], None]], HttpNextHop]) -> None:
        super().__init__()
        self.discovery, self.listener, self.buffers, self.make_hop = discovery, listener, buffers, make_hop
        self.hops: dict[str, HttpNextHop] = {}
        self.addresses: dict[str, str] = {}
        self.listed: set[str] = set()  # not gone
        self.revision = known.revision
        self.following = False
        self._apply(known, "persisted")

    def watch(self) -> None:
        self.post(Follow())

    def take(self, message: Any) -> None:
        HANDLERS[type(message)](self, message)

    def _follow(self, _: Follow) -> None:
        if not self.following:
            self.following = True
            spawn(self._ask(None))

    async def _ask(self, connection: HttpStream | None) -> None:
        """One call of the watch, and the next at once: a pause of 200 ms would end the watch."""
        while True:
            target = f"/discovery/hosts?since={self.revision}&timeout_ms={WATCH_MS}"
            connection, reply = await self._call(connection, target)
            members = None
            if reply is not None and reply.status == 200:
                try:
                    members = msgspec.json.decode(reply.body, type=MemberList)
                except ValueError as error:
                    log.warning("discovery's list cannot be read: %s", error)
            if members is None:
                if connection is not None:
                    connection.close()
                self.post(News(None))
                return
            self.revision = members.revision
            self.post(News(members))

    async def _call(self, connection: HttpStream | None,
                    target: str) -> tuple[HttpStream | None, Message | None]:
        if connection is None or not connection.fresh():
            stream = IOStream(open_socket(self.discovery))
            connection = HttpStream(stream, self.buffers, responses=True)
            try:
                await with_timeout(timedelta(seconds=ANSWER_S), stream.connect(self.discovery.target),
                                   quiet_exceptions=StreamClosedError)
            except (WaitOver, StreamClosedError):
                return connection, None
        try:
            await connection.write(request_bytes("GET", target, {"Host": str(self.discovery)}))
            wait = timedelta(milliseconds=WATCH_MS, seconds=ANSWER_S)
            reply = await with_timeout(wait, connection.receive(),
                                       quiet_exceptions=(HttpError, StreamClosedError))
        except (WaitOver, StreamClosedError, HttpError):
            reply = None
        if reply is not None and not reply.keep:
            connection.close()
        return connection, reply

    def _news(self, news: News) -> None:
        if news.members is None:
            self.following = False
            self.listener.post(Listed(api.WorkerList("error"), self._numbered()))
        else:
            self._apply(news.members, "complete" if news.members.complete else "partial")

    def _numbered(self) -> dict[int, HttpNextHop]:
        return {number_of(name): hop for name, hop in self.hops.items()}

    def _apply(self, members: MemberList, scope: str) -> None:
        if scope != "partial":
            for name in set(self.hops) - {each.id for each in members.members}:
                self._drop(name)
        workers = []
        for each in members.members:
            if each.phase not in PHASES:
                log.warning("unknown phase %r of a job worker, taken as leaving", each.phase)
            workers.append(api.Worker(
                id=number_of(each.id), state=PHASES.get(each.phase, "draining"), zone=each.locality or "",
                cell=each.cell or 0, weight=1.0 if each.size is None else each.size, kind=each.flavor or "",
                started=each.up_since_ms or 0.0,
            ))
            self._keep_hop(each)
        self.listener.post(Listed(api.WorkerList(scope, tuple(workers)), self._numbered()))

    def _keep_hop(self, member: Member) -> None:
        name = member.id
        if member.phase == "left":
            self._drop(name)
            return
        self.listed.add(name)
        if name in self.hops and self.addresses[name] == member.host_port:
            self.hops[name].post(Retire(False))
            return
        try:
            address = parse_address(member.host_port)
        except ValueError as error:
            log.warning("a job worker's address: %s", error)
            return
        if name in self.hops:
            self.hops[name].post(Retire(True))
        self.addresses[name] = member.host_port
        self.hops[name] = self.make_hop(address, lambda hop: self.post(Retired(name, hop)))

    def _drop(self, name: str) -> None:
        self.listed.discard(name)
        if name in self.hops:
            self.hops[name].post(Retire(True))

    def _retired(self, retired: Retired) -> None:
        # One that came back while it closed up keeps its next hop, or its call-backs would be lost.
        if self.hops.get(retired.name) is retired.hop and retired.name not in self.listed:
            del self.hops[retired.name], self.addresses[retired.name]

    def _heard(self, heard: Heard) -> None:
        hop = self.hops.get(heard.name)
        if hop is not None:  # a call-back of one that is not listed is about no attempt of ours
            hop.post(heard.event)


HANDLERS = {
    Follow: TransportMap._follow, News: TransportMap._news, Heard: TransportMap._heard,
    Retired: TransportMap._retired,
}
