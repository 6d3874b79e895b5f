"""The transport map: discovery's list, the watch on it, and the next hops it names."""

from __future__ import annotations

import hashlib
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, NamedTuple

import msgspec
from tornado.gen import TimeoutError as WaitOver
from tornado.gen import sleep, with_timeout
from tornado.iostream import IOStream, StreamClosedError

from spanwing import interface as api
from spanwing.actor import Actor, spawn
from spanwing.core.messages import Listed, Listener
from spanwing.hops.nexthop import CallBack, HttpNextHop, Retire
from spanwing.wire.address import Address, open_socket, parse_address
from spanwing.wire.buffers import BufferPool
from spanwing.wire.http import HttpError, HttpStream, Message, request_bytes

AGAIN_S = 0.5  # a call that may not wait for the core's pace is made again within this
MOVED_S = 4.0  # after a move; until then a discovery may not be up yet, and from then on its list counts
LIST_S = 3.0  # for the whole list, which waits for its turn
# The protocol's: what a silent watch has missed counts as told so long after it fell silent, and not before
# so long after its call's wait is over.
SILENCE_S, TOLD_S = 6.0, 2.0
LEFT_S = 1.75  # of the time until sends must have stopped: for the call that opens a silent watch anew
PHASES: dict[str, api.State] = {"active": "healthy", "leaving": "draining", "left": "gone"}

log = logging.getLogger("spanwing")


class Pace(NamedTuple):
    """How the calls to discovery are timed."""

    watch_s: float = 10.0  # a quiet watch answers after this
    answer_s: float = 1.5  # and so much later at the latest, or it is broken; a connection stands then
    silent_s: float = 0.75  # a broken watch is opened anew within this, by all schedulers
    again_s: float = 0.0  # a failed call is made again within this; 0: when the core asks for it

    @classmethod
    def of(cls, grace_ms: float, pushed: bool, ask_every_ms: float) -> Pace:
        """From what the settings hold us to. What a silent watch has missed counts as told SILENCE_S after
        it fell silent, or TOLD_S after its wait, and sends must have stopped grace_ms later: by then the
        watch has to be opened anew and to have answered. Where the list is pushed, what discovery has
        counts at once, watch or no watch; where it is asked for, ask_every_ms after the last call."""
        grace_s, most = grace_ms / 1000.0, cls()
        answer_s = min(most.answer_s, most.answer_s * (TOLD_S + grace_s) / (TOLD_S + 2.0))
        silent_s = answer_s / 2.0
        watch_s = most.watch_s
        if TOLD_S + grace_s - answer_s - silent_s < LEFT_S:  # a shorter wait is held to SILENCE_S alone
            watch_s = max(1.0, SILENCE_S + grace_s - answer_s - silent_s - LEFT_S)
        again_s = min(1.0, grace_s / 2.0) if pushed else ask_every_ms / 2000.0
        return cls(watch_s, answer_s, silent_s, max(0.05, again_s) if pushed or again_s < MOVED_S else 0.0)


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


@dataclass(slots=True, eq=False)
class Watch:
    """The calls to one discovery; what they tell counts until the next watch has begun."""

    discovery: Address
    revision: int | None  # None: the whole list is asked for first
    until: float  # of the loop's time: before it failed calls are made again, and the core hears nothing
    connection: HttpStream | None = None
    silent: bool = False  # the last call was still open when its wait was over


class Follow(NamedTuple):
    """Begin to watch."""


class Move(NamedTuple):
    """Discovery has another address from now on."""

    discovery: Address


class News(NamedTuple):
    """Discovery has answered; None: the call failed."""

    members: MemberList | None
    watch: Watch


class Heard(NamedTuple):
    """A call-back for the next hop of this name."""

    name: str
    event: CallBack
    passed: bool = False  # by another process: it goes no further


class Retired(NamedTuple):
    """A next hop has closed up."""

    name: str
    hop: HttpNextHop


def number_of(name: str) -> int:
    """The module's number for a job worker: the same at every scheduler."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=6).digest(), "big")


class TransportMap(Actor):
    """Owns the list; tells the core of changes."""

    def __init__(
        self,
        known: MemberList,
        discovery: Address,
        listener: Listener,
        buffers: BufferPool,
        make_hop: Callable[[str, Address, Callable[[HttpNextHop], None]], HttpNextHop],
        pace: Pace = Pace(),  # noqa: B008 - a tuple
    ) -> None:
        super().__init__()
        self.pace = pace
        self.closing_up: dict[str, list[HttpNextHop]] = {}  # those that were replaced, with what is out there
        self.discovery, self.listener, self.buffers, self.make_hop = discovery, listener, buffers, make_hop
        self.hops: dict[str, HttpNextHop] = {}
        self.addresses: dict[str, str] = {}
        self.listed: set[str] = set()  # not gone
        self.told: dict[str, Member] = {}  # what was last told of each that is listed
        self.revision: int | None = known.revision
        self.stray: Callable[[Heard], None] | None = None  # hears call-backs about no attempt of ours
        self.watching: Watch | None = None
        self._apply(known, "persisted")

    def members(self) -> list[Member]:
        """The list as discovery told it: what the fleet does with its zones is another matter."""
        return [self.told[name] for name in self.listed]

    def adopt(self, known: MemberList) -> None:
        """Take over a list that another process had from the same discovery, unless ours is newer."""
        if known.members and (self.watching is None or known.revision > (self.revision or 0)):
            self.revision = known.revision
            self._apply(known, "persisted")

    def hop_at(self, name: str, place: str) -> HttpNextHop:
        """The next hop of this name; for one that is not listed (any more) a new one, which closes up once
        nothing is out there."""
        hop = self.hops.get(name)
        if hop is None or self.addresses[name] != place:
            hop = self.make_hop(name, parse_address(place), lambda hop: self.post(Retired(name, hop)))
            if name not in self.hops:
                self.hops[name], self.addresses[name] = hop, place
            hop.post(Retire(True))
        return hop

    def watch(self) -> None:
        self.post(Follow())

    def move(self, discovery: Address) -> None:
        """Ask another discovery from now on."""
        self.post(Move(discovery))

    def take(self, message: Any) -> None:
        HANDLERS[type(message)](self, message)

    def _follow(self, _: Follow) -> None:
        if self.watching is None:
            self._begin(0.0)

    def _move(self, move: Move) -> None:
        if move.discovery == self.discovery:
            return
        # Revisions are a discovery's own: another one is asked for its whole list, and nothing that the
        # former still says may undo it. What is in flight at next hops does not depend on either.
        self.discovery, self.revision = move.discovery, None
        if self.watching is not None and self.watching.connection is not None:
            self.watching.connection.close()
        self._begin(MOVED_S)

    def _begin(self, patience_s: float) -> None:
        self.watching = Watch(self.discovery, self.revision, self.loop.time() + patience_s)
        spawn(self._ask(self.watching))

    async def _ask(self, watch: Watch) -> None:
        """One call of the watch, and the next at once: a pause of 200 ms would end the watch."""
        while self.watching is watch:
            target = "/discovery/hosts"
            if watch.revision is not None:
                target += f"?since={watch.revision}&timeout_ms={self.pace.watch_s * 1000.0:.0f}"
            reply = await self._call(watch, target)
            members = None
            if reply is not None and reply.status == 200:
                try:
                    members = msgspec.json.decode(reply.body, type=MemberList)
                except ValueError as error:
                    log.warning("discovery's list cannot be read: %s", error)
            if members is not None:
                watch.revision, watch.until = members.revision, 0.0
                self.post(News(members, watch))
                continue
            if watch.connection is not None:
                watch.connection.close()
            pause_s, now = AGAIN_S, self.loop.time()
            if watch.silent:  # it is due again soon, however often, and also if it cannot be opened at once
                watch.until = max(watch.until, now + LEFT_S)
                pause_s = self.pace.silent_s
            elif now >= watch.until:
                pause_s = self.pace.again_s
                if not pause_s:
                    self.post(News(None, watch))
                    return
            await sleep(random.uniform(0.0, pause_s))

    async def _call(self, watch: Watch, target: str) -> Message | None:
        connection, watch.silent = watch.connection, False
        asked = False
        try:
            if connection is None or not connection.fresh():
                stream = IOStream(open_socket(watch.discovery))
                connection = watch.connection = HttpStream(stream, self.buffers, responses=True)
                await with_timeout(
                    timedelta(seconds=self.pace.answer_s),
                    stream.connect(watch.discovery.target),
                    quiet_exceptions=StreamClosedError,
                )
            await connection.write(request_bytes("GET", target, {"Host": str(watch.discovery)}))
            asked = watch.revision is not None
            wait = timedelta(
                seconds=LIST_S if watch.revision is None else self.pace.watch_s + self.pace.answer_s
            )
            reply = await with_timeout(
                wait, connection.receive(), quiet_exceptions=(HttpError, StreamClosedError)
            )
        except WaitOver:
            watch.silent = asked
            return None
        except (StreamClosedError, HttpError):
            return None
        if reply is not None and not reply.keep:
            connection.close()
        return reply

    def _news(self, news: News) -> None:
        if news.watch is not self.watching:  # of a discovery that is no longer asked
            return
        if news.members is None:
            self.watching = None
            self.listener.post(Listed(api.WorkerList("error"), self._numbered()))
            return
        self.revision = news.members.revision
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
            workers.append(
                api.Worker(
                    id=number_of(each.id),
                    state=PHASES.get(each.phase, "draining"),
                    zone=each.locality or "",
                    cell=each.cell or 0,
                    weight=1.0 if each.size is None else each.size,
                    kind=each.flavor or "",
                    started=each.up_since_ms or 0.0,
                )
            )
            self._keep_hop(each)
        self.listener.post(Listed(api.WorkerList(scope, tuple(workers)), self._numbered()))

    def _keep_hop(self, member: Member) -> None:
        name = member.id
        if member.phase == "left":
            self._drop(name)
            return
        self.listed.add(name)
        self.told[name] = member
        leaves = member.phase != "active"
        if name in self.hops and self.addresses[name] == member.host_port:
            self._mark(self.hops[name], leaves)
            self.hops[name].post(Retire(False))
            return
        try:
            address = parse_address(member.host_port)
        except ValueError as error:
            log.warning("a job worker's address: %s", error)
            return
        if name in self.hops:
            former = self.hops[name]
            former.leave()
            former.post(Retire(True))
            self.closing_up.setdefault(name, []).append(former)
        self.addresses[name] = member.host_port
        self.hops[name] = self.make_hop(name, address, lambda hop: self.post(Retired(name, hop)))
        self._mark(self.hops[name], leaves)

    def _mark(self, hop: HttpNextHop, leaves: bool) -> None:
        if leaves:
            hop.leave()
        else:
            hop.leaving = False

    def _drop(self, name: str) -> None:
        self.listed.discard(name)
        self.told.pop(name, None)
        if name in self.hops:
            self.hops[name].leave()
            self.hops[name].post(Retire(True))

    def _retired(self, retired: Retired) -> None:
        former = self.closing_up.get(retired.name, [])
        if retired.hop in former:
            former.remove(retired.hop)
            if not former:
                del self.closing_up[retired.name]
        # One that came back while it closed up keeps its next hop, or its call-backs would be lost.
        if self.hops.get(retired.name) is retired.hop and retired.name not in self.listed:
            del self.hops[retired.name], self.addresses[retired.name]

    def _heard(self, heard: Heard) -> None:
        # Under one name a job worker may have moved; what it took at its former address ends by its word too.
        known = (self.hops.get(heard.name), *self.closing_up.get(heard.name, ()))
        hop = next((each for each in known if each is not None and heard.event.request in each.jobs), None)
        if hop is not None:
            hop.post(heard.event)
        elif self.stray is not None and not heard.passed:  # about no attempt of ours, or one that is over
            self.stray(heard)


HANDLERS = {
    Follow: TransportMap._follow,
    Move: TransportMap._move,
    News: TransportMap._news,
    Heard: TransportMap._heard,
    Retired: TransportMap._retired,
}
