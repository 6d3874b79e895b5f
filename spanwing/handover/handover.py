"""One process takes the place of another on the platform's listening socket.

Guarantees, for both sides: no wait here is longer than ANSWER_S, so no start and no answer hangs on the
other process; whatever ends the link, each side goes on as the only process. The predecessor accepts until
its successor is ready, tells all it has learned at that moment, feeds no cold job worker from then on, and
never shuts the shared socket down. After SIGTERM its connections go over whole. Both together hold no more
connections than one may: what the predecessor holds is taken off the successor's shares.
"""

from __future__ import annotations

import os
import random
import socket
from collections.abc import Callable
from typing import NamedTuple

from tornado.concurrent import Future
from tornado.gen import sleep
from tornado.ioloop import IOLoop

from spanwing import interface as api
from spanwing.actor import spawn
from spanwing.core.exchange import Call, Exchange, Out
from spanwing.core.messages import Delivery, Envelope, SenderSide
from spanwing.fronts.senderside import HttpServer, SenderConnection
from spanwing.handover.learned import (
    Resumed,
    feed_again,
    feed_no_more,
    forget,
    into_module,
    into_worker,
    of_job,
    of_module,
    of_worker,
)
from spanwing.handover.link import Link, Place
from spanwing.handover.messages import (
    LONGEST_DATA,
    PART,
    VERSION,
    Bye,
    Called,
    Held,
    Hello,
    Ids,
    Learned,
    Message,
    Moved,
    Over,
    Passed,
    Ready,
    Workers,
    WorkerSeen,
)
from spanwing.hops.nexthop import CallBack, HttpNextHop
from spanwing.hops.pool import Descriptors
from spanwing.hops.transportmap import Heard, Member, MemberList, TransportMap

ANSWER_S = 1.0  # a predecessor that has not answered by then is taken for hung, and told nothing more
WATCH_S = 0.2  # a watch continues another if it begins within this, by the protocol
TELL_S = 0.05  # between looks at how much is held here
PASS_S = 0.005  # between looks at which connections can go


class Parts(NamedTuple):
    """The daemon's parts that are told of, or taken over."""

    core: Exchange
    transport: TransportMap
    descriptors: Descriptors


class Handover:
    """Both roles of this process: successor of the one before, predecessor of the next."""

    def __init__(self, place: Place, deal: Callable[[], None]) -> None:
        self.place, self.deal = place, deal
        self.parts: Parts | None = None
        self.server: HttpServer | None = None
        self.before: Link | None = None  # the process that we replace
        self.after: Link | None = None  # the one that replaces us
        self.away = Held(0, 0)  # what the predecessor holds
        self.handed = False  # all was told to the successor
        self.leaving = self.done = False  # done: nothing is left here
        self.others: set[str] = set()  # requests open at the other process: no more than it has connections
        self.gone: set[str] = set()  # requests that went to the successor, each with a connection of ours
        self.waiting: Future[None] | None = None
        self.members: list[Member] = []
        self.seen: list[WorkerSeen] = []
        self.learned: Learned | None = None
        self.unlisten: Callable[[], None] | None = None

    # As the successor.

    async def join(self) -> None:
        """Find the process before us, if there is one, and hear what it holds."""
        link = self.place.call()
        if link is None:
            return
        self.before = link
        link.hear, link.ended = self._hear_before, self._before_ended
        link.send(Hello(VERSION))
        await self._answer()

    async def take_over(self, parts: Parts) -> None:
        """Say that we are ready, and take in what the process before us has learned."""
        self._connect(parts)
        if self.before is None:
            return
        self.before.send(Ready())
        if not await self._answer() or self.learned is None:
            return
        core, transport = parts.core, parts.transport
        if self.learned.discovery == str(transport.discovery):
            transport.adopt(MemberList(self.learned.revision or 0, True, self.members))
        while core.mailbox:  # the list comes first
            await sleep(0)
        now = core.clock.now()
        into_module(core.module, self.learned, now)
        for each in self.seen:
            if each.id in core.module.views:
                into_worker(core.module.views[each.id], each, now)
        self.members, self.seen, self.learned = [], [], None
        # The watch goes on where the predecessor's ends; 200 that are replaced at once call apart.
        transport.loop.call_later(random.uniform(0.0, WATCH_S), transport.watch)

    def serve(self, server: HttpServer) -> None:
        """We take clients from now on, and a successor may come. Raises OSError."""
        self.server = server
        self.unlisten = self.place.listen(self._come)

    async def _answer(self) -> bool:
        """Whether the predecessor's answer came in time; where not, it is given up."""
        self.waiting = Future()
        timer = IOLoop.current().call_later(ANSWER_S, self._no_answer)
        await self.waiting
        IOLoop.current().remove_timeout(timer)
        self.waiting = None
        return self.before is not None

    def _no_answer(self) -> None:
        if self.before is not None:
            self.before.close()
        self._before_ended()

    def _answered(self) -> None:
        if self.waiting is not None and not self.waiting.done():
            self.waiting.set_result(None)

    def _before_ended(self) -> None:
        self.before, self.away = None, Held(0, 0)
        self._apart()
        self._answered()
        self.deal()

    def _hear_before(self, message: Message, fd: int | None) -> None:
        if fd is not None and self.server is None:  # nothing goes over before our yes
            os.close(fd)
            return
        if isinstance(message, Passed):
            if fd is not None:
                self._passed(message, fd)
        elif isinstance(message, Held):
            self.away = message
            self._answered()
            self.deal()
        elif isinstance(message, Workers):
            self.members += message.members
            self.seen += message.seen
        elif isinstance(message, Learned):
            self.learned = message
        elif isinstance(message, Over):
            self._answered()
        elif isinstance(message, Moved):
            if fd is not None:
                self._moved(message, fd)
        elif isinstance(message, Bye):
            self.before.close()
        else:
            self._hear(message)

    def _passed(self, passed: Passed, fd: int, asked: tuple[Envelope, bool] | None = None) -> SenderSide:
        sock = socket.socket(fileno=fd)
        self.away.clients = max(0, self.away.clients - 1)
        self.server.table.most += 1
        return self.server.adopt(sock, passed.data, passed.heard, passed.asks, passed.peer, asked)

    def _moved(self, moved: Moved, fd: int) -> None:
        core, envelope = self.parts.core, moved.envelope
        self.others.discard(envelope.id)
        sender = self._passed(moved.connection, fd, (envelope, moved.keep))
        call, out = Call(envelope, sender, moved.deadline, moved.sent), None
        for number, each in enumerate(moved.tried):
            if not each.open and not each.proof:
                core.ran(call, each.at)
            if each.open:
                hop = self.parts.transport.hop_at(moved.hop, moved.place)
                budget = max(0.0, moved.until - core.clock.now())
                hop.resume(Delivery(envelope, number, budget, envelope.cls in core.safe), core)
                out = number, Out(hop, each.worker, each.at, moved.until, None)
        core.resume(
            call,
            out,
            Resumed(
                api.Request(
                    envelope.id,
                    envelope.cls,
                    moved.deadline,
                    envelope.tenant,
                    envelope.slots,
                    envelope.memory,
                    envelope.hint,
                    envelope.route_key,
                    envelope.repeat,
                ),
                moved.born,
                moved.spoilt,
                moved.over,
                moved.tried,
            ),
        )

    # As the predecessor.

    def _come(self, link: Link) -> None:
        if self.after is not None or self.leaving:  # one successor at a time
            link.close()
            return
        self.after = link
        link.hear, link.ended = self._hear_after, self._after_ended

    def _hear_after(self, message: Message, fd: int | None) -> None:
        if fd is not None:
            os.close(fd)
        if isinstance(message, Hello):
            if message.version != VERSION:
                self.after.close()
                return
            self.deal()
            spawn(self._tell_held(self.after))
        elif isinstance(message, Ready):
            self._hand_over()
        else:
            self._hear(message)

    def _hand_over(self) -> None:
        core, transport, link = self.parts.core, self.parts.transport, self.after
        self.handed = True
        self.server.accepting(False)
        self._unlisten()
        module = core.module
        members = transport.members()
        seen = [of_worker(view) for view in module.views.values()]
        feed_no_more(module)
        for at in range(0, max(len(members), len(seen)), PART):
            link.send(Workers(members[at : at + PART], seen[at : at + PART]))
        ids = list(core.open_ids())
        for at in range(0, len(ids), PART):
            link.send(Ids(opened=ids[at : at + PART]))
        link.send(of_module(module, transport.revision, str(transport.discovery)))
        link.send(Over())

    async def _tell_held(self, link: Link) -> None:
        """What the successor may not use, at each change, for as long as the link stands."""
        told = None
        while link.open:
            held = self.held()
            if held != told:
                link.send(told := held)
            await sleep(TELL_S)

    def held(self) -> Held:
        """What we hold, or may still open."""
        hops = self.parts.descriptors
        return Held(len(self.server.table.seats), hops.held if self.leaving else max(hops.held, hops.most))

    def _after_ended(self) -> None:
        """The successor is gone, and this process is the only one again; or all has gone to it."""
        if self.done:
            return
        self.after, handed, self.handed = None, self.handed, False
        self._apart()
        if handed:
            feed_again(self.parts.core.module)
            self.server.accepting(True)
            if not self.leaving:
                self.unlisten = self.place.listen(self._come)
        self.deal()

    async def leave(self) -> bool:
        """After SIGTERM: pass everything on until nothing is left here; False if the successor went first."""
        self.leaving = True
        while self.handed and (self.server.table.seats or not self.parts.core.idle() or self.after.queue):
            for each in list(self.server.table.seats):
                self._pass_on(each)
            await sleep(PASS_S)
        # Ended from this side, the link could lose what is still on it.
        self.done = self.handed
        if self.done:
            end = IOLoop.current().time() + ANSWER_S
            self.after.send(Bye())
            while self.after.open and IOLoop.current().time() < end:
                await sleep(PASS_S)
        return self.done

    def _pass_on(self, connection: SenderConnection) -> None:
        """Give one connection to the successor, with the request that waits there, if it can go now."""
        asked, link, moved = connection.asked, self.after, None
        if link is None or not link.open:
            return
        if asked is not None and (moved := self._movable(connection, *asked)) is None:
            return
        given = connection.detach(LONGEST_DATA)
        if given is None:
            return
        fd, data = given
        passed = Passed(data, connection.heard, connection.asks, connection.peer)
        if moved is None:
            link.send(passed, fd)
            return
        moved.connection = passed
        core, request = self.parts.core, moved.envelope.id
        for _, out in core.attempts_out(request):
            out.hop.forget(request)
        core.give_away(request)
        forget(core.module, request)
        self.gone.add(request)
        link.send(moved, fd)

    def _movable(self, connection: SenderConnection, envelope: Envelope, keep: bool) -> Moved | None:
        """What there is to tell of a request; None while an attempt of it is being sent or given up, and
        where a journal has it."""
        core = self.parts.core
        call, job = core.calls.get(envelope.id), core.module.jobs.get(envelope.id)
        if call is None or call.sender is not connection or job is None or core.recorder is not None:
            return None
        moved = Moved(
            Passed(b"", True, True, ""),
            keep,
            envelope,
            call.deadline,
            job.born,
            job.spoilt,
            job.over,
            call.sent,
            of_job(job),
        )
        for number, out in core.attempts_out(envelope.id):
            if not isinstance(out.hop, HttpNextHop) or out.hop.open_job(envelope.id, number) is None:
                return None
            moved.hop, moved.place, moved.until = out.hop.name, out.hop.place, out.until
        return moved

    # Both.

    def _connect(self, parts: Parts) -> None:
        self.parts = parts
        parts.core.elsewhere = self.others
        parts.core.mirror = self._mirror
        parts.transport.stray = self._stray

    def linked(self) -> Link | None:
        """The other process, once both know of each other."""
        return self.after if self.handed else self.before

    def two(self) -> bool:
        return self.before is not None or self.after is not None

    def _hear(self, message: Message) -> None:
        if isinstance(message, Called) and message.request in self.gone and self.after is not None:
            self.after.send(message)  # it met the request on its way
        elif isinstance(message, Called):
            event = CallBack(message.request, message.state, message.body, message.report)
            self.parts.transport.post(Heard(message.name, event, True))
        elif isinstance(message, Ids):
            self.others.update(message.opened)
            self.others.difference_update(message.ended)

    def _stray(self, heard: Heard) -> None:
        link = self.linked()
        if link is not None:
            event = heard.event
            link.send(Called(heard.name, event.request, event.state, event.body, event.report))

    def _mirror(self, request: str, opened: bool) -> None:
        link = self.linked()
        if link is not None:
            link.send(Ids(opened=[request]) if opened else Ids(ended=[request]))

    def _apart(self) -> None:
        self.others.clear()

    def _unlisten(self) -> None:
        if self.unlisten is not None:
            self.unlisten()
            self.unlisten = None

    def close(self) -> None:
        self._unlisten()
        for link in (self.before, self.after):
            if link is not None:
                link.close()
