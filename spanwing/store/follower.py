"""A scheduler's side of the fleet's document: its session, its lease, and its copy, which misses no change.

Guarantees: nothing waits for it; changed() is called after each change, before that is acknowledged to the
keeper. A member that does not answer, or grants nothing, is left for another, after a wait at random that
doubles from FIRST_S to MOST_S (full jitter): members that come back are not met by all schedulers at once.
Bounds: one connection, one renewal a GAP_S at most, ORDERS orders out.
"""

from __future__ import annotations

import random
import secrets
from collections.abc import Callable
from datetime import timedelta

import msgspec
from tornado.concurrent import Future
from tornado.gen import TimeoutError as WaitOver
from tornado.gen import sleep, with_timeout
from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from spanwing.actor import spawn
from spanwing.store.document import Document, caught_up
from spanwing.store.keeper import HOLD_MS
from spanwing.store.lease import Lease, clock_ms
from spanwing.store.messages import Done, Granted, Renew, Submit
from spanwing.store.peer import CONNECT_S, LONGEST
from spanwing.wire.address import Address, open_socket
from spanwing.wire.buffers import BufferPool
from spanwing.wire.stream import LineStream, LineTooLong

ANSWER_S = HOLD_MS / 1000.0 + 0.8  # a member that takes longer is left for another
GAP_S = 0.1
FIRST_S, MOST_S = 0.1, 2.0
ORDER_S = 4.0
ORDERS = 8

Heard = Granted | Done


class Follower:
    """One session."""

    def __init__(
        self,
        name: str,
        zone: str,
        position: int,
        members: dict[str, Address],
        buffers: BufferPool,
        brings: Callable[[], bytes],
        changed: Callable[[Document], None],
        look: Callable[[tuple[str, ...]], None],
    ) -> None:
        """brings: what goes with a renewal, JSON; look: the keeper would have us look at these."""
        self.session = f"{name[:60]}.{secrets.token_hex(4)}"
        self.zone, self.position, self.members, self.buffers = zone, position, members, buffers
        self.brings, self.changed, self.look = brings, changed, look
        self.lease, self.document = Lease(), Document()
        self.permit = Lease()
        self.says: Callable[[], msgspec.Raw] | None = None  # of the policy
        self.numbers, self.stream = 0, None
        self.orders: dict[int, Future[Done]] = {}
        self.grants: Future[Granted | None] | None = None  # what is waited for; None: we were urged
        self.renewing, self.asked_s = 0, float("-inf")
        self.why = "no member has been asked yet"
        self.by = ""  # the member that is asked

    def holds(self) -> bool:
        return self.lease.valid(clock_ms())

    def urge(self) -> None:
        """There is something to be told now: the renewal that waits does not bring it."""
        if self.grants is not None and not self.grants.done():
            self.grants.set_result(None)

    async def order(self, order: object) -> Done:
        """Give an order; what came of it, or that nobody answered."""
        if self.stream is None or len(self.orders) >= ORDERS:
            return Done(0, False, f"no member of the store is reached: {self.why}")
        self.numbers += 1
        n, done = self.numbers, Future()
        self.orders[n] = done
        await self._write(Submit(n, self.session, msgspec.Raw(msgspec.json.encode(order))))
        try:
            return await with_timeout(timedelta(seconds=ORDER_S), done)
        except WaitOver:
            return Done(n, False, "no answer: it may still take hold, so look before you order again")
        finally:
            self.orders.pop(n, None)

    async def run(self) -> None:
        """Stay in contact, to the end of the program."""
        names, wait_s = list(self.members), FIRST_S
        random.shuffle(names)
        turn = 0
        while True:
            name = names[turn % len(names)]
            turn += 1
            if await self._contact(name, self.members[name]):
                wait_s = FIRST_S
            await sleep(random.uniform(0.0, wait_s))
            wait_s = min(2.0 * wait_s, MOST_S)

    async def _contact(self, name: str, address: Address) -> bool:
        """Renew by one member until that fails; whether it ever granted."""
        stream = IOStream(open_socket(address), max_write_buffer_size=LONGEST)
        try:
            await with_timeout(
                timedelta(seconds=CONNECT_S),
                stream.connect(address.target),
                quiet_exceptions=StreamClosedError,
            )
        except (WaitOver, StreamClosedError):
            stream.close()
            self.why = f"{name} cannot be connected to"
            return False
        self.stream, self.by = LineStream(stream, self.buffers, LONGEST), name
        spawn(self._read(self.stream))
        granted = False
        try:
            while await self._renew(name):
                granted = True
                await self._pause()
        finally:
            self.stream.close()
            self.stream = None
        return granted

    async def _pause(self) -> None:
        """Until the next renewal may go."""
        await sleep(max(0.0, self.asked_s + GAP_S - clock_ms() / 1000.0))

    async def _renew(self, name: str) -> bool:
        """One renewal, and another beside it when urged; whether it was granted."""
        while True:
            granted = self.grants = Future()
            self.numbers += 1
            self.renewing = n = self.numbers
            now = clock_ms()
            self.asked_s = now / 1000.0
            self.lease.ask(n, now)
            self.permit.ask(n, now)
            says = msgspec.Raw(b"null") if self.says is None else self.says()
            if not await self._write(
                Renew(
                    n,
                    self.session,
                    self.zone,
                    self.position,
                    self.document.revision,
                    msgspec.Raw(self.brings()),
                    False,
                    says,
                )
            ):
                self.why = f"{name} has closed the connection"
                return False
            try:
                reply = await with_timeout(timedelta(seconds=ANSWER_S), granted)
            except WaitOver:
                self.why = f"{name} does not answer"
                return False
            if reply is None:  # urged: another one goes, which has the keeper answer this one
                await self._pause()
                continue
            self.why = f"{name}: {reply.why}" if reply.why else ""
            return reply.lease_ms > 0

    async def _write(self, message: Renew | Submit) -> bool:
        try:
            await self.stream.write(msgspec.json.encode(message) + b"\n")
            return True
        except (StreamClosedError, StreamBufferFullError):
            return False

    async def _read(self, stream: LineStream) -> None:
        try:
            while (line := await stream.line()) is not None:
                self._heard(msgspec.json.decode(line, type=Heard))
        except (LineTooLong, ValueError):
            pass  # what speaks otherwise is no member
        stream.close()
        for n, done in self.orders.items():
            if not done.done():
                done.set_result(
                    Done(
                        n,
                        False,
                        "the connection was lost: the order may still take hold, so "
                        "look before you order again",
                    )
                )
        if self.stream is stream and self.grants is not None and not self.grants.done():
            self.grants.set_result(Granted(0, why="the connection was closed"))

    def _heard(self, reply: Heard) -> None:
        if isinstance(reply, Done):
            waiting = self.orders.get(reply.n)
            if waiting is not None and not waiting.done():
                waiting.set_result(reply)
            return
        before = self.document
        self.document = caught_up(before, reply.changes, reply.whole)
        if self.document is not before:
            self.changed(self.document)
        self.lease.granted(reply.n, reply.lease_ms)
        self.permit.granted(reply.n, reply.permit_ms)
        if reply.look:
            self.look(reply.look)
        if reply.n == self.renewing and self.grants is not None and not self.grants.done():
            self.grants.set_result(reply)
