"""The driver of the keeper at a member: reads, takes over, changes the document, answers schedulers.

Guarantees: what a scheduler asks here is answered within WAIT_S, whoever keeps; a renewal that comes to
another member is passed to the keeper, once. The loop ends with the program; a disk or a majority that fails
is told once until it is back, and changes nothing that was granted. Bounds: ORDERS orders wait.
"""

from __future__ import annotations

import logging
import random
import secrets
from datetime import timedelta

import msgspec
from tornado.concurrent import Future
from tornado.gen import TimeoutError as WaitOver
from tornado.gen import sleep, with_timeout

from spanwing.actor import spawn
from spanwing.store.document import Document, Txn, decode, encode
from spanwing.store.keeper import HOLD_MS, Keeper, Mind
from spanwing.store.lease import clock_ms
from spanwing.store.messages import Done, Granted, Renew, Submit
from spanwing.store.peer import Peer, PeerListener
from spanwing.store.store import NoMajority, Store

KEY = "fleet"
TURN_S = 0.025
READ_MS = 300.0  # the keeper reads so often at least, which is how the others know that it lives
LOOK_MS = 1000.0
WAIT_S = 3.0
ORDERS = 16

log = logging.getLogger("spanwing")


class FleetService:
    """One member's side of the fleet's document."""

    def __init__(self, store: Store, listener: PeerListener, mind: Mind, lease_ms: float) -> None:
        self.store, self.mind = store, mind
        self.peers: dict[str, Peer] = dict(zip(store.names, store.peers, strict=True))
        self.keeper = Keeper(store.member, lease_ms, mind, clock_ms(), random.random)
        self.orders: list[tuple[Submit, Future[Done]]] = []
        self.read_at, self.failing = float("-inf"), ""
        self.looked_at = float("-inf")
        listener.serve = self.serve
        listener.read_by = lambda member: self.keeper.read_by(clock_ms(), member)

    async def run(self) -> None:
        while True:
            try:
                await self.turn()
                if self.failing:
                    log.warning("the fleet's state can be changed again")
                self.failing = ""
            except (NoMajority, OSError, ValueError) as error:
                if not self.failing:
                    log.warning("the fleet's state cannot be changed: %s", error)
                self.failing = str(error)
            await sleep(TURN_S)

    async def turn(self) -> None:
        """One look at what is due. Raises NoMajority or OSError."""
        keeper, now = self.keeper, clock_ms()
        if now - self.looked_at > LOOK_MS:
            self.looked_at = now
            self.mind.look(now)
        if keeper.quiet(now):
            await self._read()
            if keeper.quiet(clock_ms()):
                await self.change(keeper.take_over(clock_ms(), secrets.token_hex(8)))
        elif keeper.ours() and (keeper.wants_read() or now - self.read_at > READ_MS):
            await self._read()
        if keeper.ours():
            await self._order()
            txn = self.mind.decide(clock_ms(), keeper.document, keeper)
            if txn is not None:
                await self.change(keeper.as_keeper(txn))
        keeper.due(clock_ms())

    async def _read(self) -> None:
        begun = clock_ms()
        self.read_at = begun
        document = decode(await self.store.look(KEY))
        self.keeper.read(clock_ms(), begun, document)

    async def change(self, txn: Txn) -> bool:
        """Whether the transaction has taken hold. Raises NoMajority (it may have), ValueError."""
        outcome: list[bool] = []

        def apply(held: str | None) -> str | None:
            outcome[:] = [False]
            document = decode(held)
            after = document.apply(txn)
            outcome[:] = [after is not None]
            return held if after is None or after is document else encode(after)

        document = decode(await self.store.change(KEY, apply))
        self.keeper.changed(clock_ms(), document)
        return outcome[0]

    async def _order(self) -> None:
        """Carry out what was ordered, one after another."""
        while self.orders:
            submit, done = self.orders.pop(0)
            try:
                txn, text = self.mind.order(clock_ms(), submit.order, self.keeper.document, self.keeper)
                ok = txn is None or await self.change(self.keeper.as_keeper(txn))
                reply = Done(submit.n, ok, text if ok else "another change came first: look and order again")
            except (ValueError, NoMajority, OSError) as error:
                reply = Done(submit.n, False, str(error))
            if not done.done():
                done.set_result(reply)

    async def serve(self, message: Renew | Submit) -> Granted | Done:
        """The answer to a scheduler; by us where we keep, else by the keeper."""
        keeps = self.keeper.keeps()
        if not self.keeper.ours() and not message.passed and keeps is not None and keeps.member in self.peers:
            return await self._pass(self.peers[keeps.member], message)
        answered: Future = Future()
        if not self.keeper.ours():
            # Who keeps may not be known here yet, and the scheduler asks again.
            spawn(self._learn())
            return _none(message, "this member does not keep, and knows of none that does")
        if isinstance(message, Renew):
            self.keeper.renew(
                clock_ms(), message, lambda granted: answered.done() or answered.set_result(granted)
            )
        elif len(self.orders) < ORDERS:
            self.orders.append((message, answered))
        else:
            return Done(message.n, False, f"{ORDERS} orders wait already")
        try:
            return await with_timeout(timedelta(seconds=WAIT_S), answered)
        except WaitOver:
            return _none(message, "no majority of the store's members answers")

    async def _learn(self) -> None:
        if clock_ms() - self.read_at > HOLD_MS:
            try:
                await self._read()
            except (NoMajority, OSError, ValueError):
                pass  # it is asked for again

    async def _pass(self, peer: Peer, message: Renew | Submit) -> Granted | Done:
        n = next(self.store.numbers)
        asked = peer.ask(msgspec.structs.replace(message, n=n, passed=True))
        try:
            reply = await with_timeout(timedelta(seconds=WAIT_S), asked)
        except WaitOver:
            asked.cancel()
            reply = None
        if not isinstance(reply, Granted | Done):
            spawn(self._learn())
            return _none(message, "the member that keeps does not answer")
        return msgspec.structs.replace(reply, n=message.n)


def _none(message: Renew | Submit, why: str) -> Granted | Done:
    return Granted(message.n, why=why) if isinstance(message, Renew) else Done(message.n, False, why)


def document_of(store: Store) -> Document:
    """Our own copy of the document, which may be old; nothing is asked."""
    register = store.acceptor.registers.get(KEY)
    return decode(None if register is None else register.value)
