"""The replicated store as balancers' health sees it: its majority, and drains that are ordered through it.

Guarantees: our own copy of our key is looked at every LOOK_S and costs nothing; a change there is confirmed
by a majority before it counts, and so is the key every CONFIRM_S, should our copy have missed it. The
majority is asked for every PING_S without a write to any disk.
"""

from __future__ import annotations

import logging

import msgspec
from tornado.gen import sleep

from spanwing.fronts.balancers.reporter import Reporter
from spanwing.log import tell
from spanwing.store.store import NoMajority, Store

LOOK_S, PING_S, CONFIRM_S = 0.25, 1.0, 10.0

log = logging.getLogger("spanwing")


class Order(msgspec.Struct):
    """What the store holds for a member."""

    drain: bool
    by: str = ""
    within_s: float | None = None


def key_of(member: str) -> str:
    return f"drain/{member}"


async def order(store: Store, member: str, order: Order) -> None:
    """Write an order for a member. Raises NoMajority."""
    text = msgspec.json.encode(order).decode()
    await store.change(key_of(member), lambda _: text)


class StoreWatch:
    """Follows the orders for this member."""

    def __init__(self, store: Store, reporter: Reporter) -> None:
        self.store, self.reporter = store, reporter
        self.majority: bool | None = None
        self.held: str | None = None  # the value that was confirmed last

    async def run(self) -> None:
        key, turns = key_of(self.store.member), 0
        while True:
            if turns % round(PING_S / LOOK_S) == 0:
                await self._ask_majority()
            register = self.store.acceptor.registers.get(key)
            changed = register is not None and register.value != self.held
            if changed or turns % round(CONFIRM_S / LOOK_S) == 0:
                await self._confirm(key)
            turns += 1
            await sleep(LOOK_S)

    async def _ask_majority(self) -> None:
        majority = await self.store.reachable() >= self.store.majority
        if majority != self.majority:
            tell("store", majority=majority)
            self.majority = majority
            self.reporter.look()

    async def _confirm(self, key: str) -> None:
        try:
            held = await self.store.read(key)
        except (NoMajority, OSError):  # the latter of our own disk, to which a round writes
            return  # what was ordered before still stands
        if held == self.held:
            return
        self.held = held
        try:
            wanted = msgspec.json.decode(held or '{"drain":false}', type=Order)
        except ValueError as error:
            log.warning("the order in the store cannot be read: %s", error)
            return
        if wanted.drain:
            within = float("inf") if wanted.within_s is None else wanted.within_s
            self.reporter.drain("store", within)
        else:
            self.reporter.undrain("store")
