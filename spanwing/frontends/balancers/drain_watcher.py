"""Watches the replicated store for balancers' health: its majority, and drains ordered through it.

The local copy of this member's key is checked every LOCAL_CHECK_INTERVAL_S at no cost. A change there counts
once a majority has confirmed it, and the key is confirmed every CONFIRM_INTERVAL_S in case the local copy
missed a change. The majority is probed every QUORUM_CHECK_INTERVAL_S without a write to any disk.
"""

from __future__ import annotations

import logging

import msgspec
from tornado.gen import sleep

from spanwing.frontends.balancers.health_reporter import HealthReporter
from spanwing.log import log_event
from spanwing.store.store import NoQuorumError, Store

LOCAL_CHECK_INTERVAL_S, QUORUM_CHECK_INTERVAL_S, CONFIRM_INTERVAL_S = 0.25, 1.0, 10.0

logger = logging.getLogger("spanwing")


class DrainOrder(msgspec.Struct):
    """The drain order that the store holds for a member."""

    drain: bool
    by: str = ""
    within_s: float | None = None


def drain_key(member: str) -> str:
    """Returns the store's key for a member's drain order."""
    return f"drain/{member}"


async def write_drain_order(store: Store, member: str, drain_order: DrainOrder) -> None:
    """Writes an order for a member; raises NoQuorumError."""
    text = msgspec.json.encode(drain_order).decode()
    await store.change(drain_key(member), lambda _: text)


class DrainWatcher:
    """Follows the drain orders for this member."""

    def __init__(self, store: Store, reporter: HealthReporter) -> None:
        self.store, self.reporter = store, reporter
        self.has_quorum: bool | None = None
        self.confirmed_value: str | None = None  # the last confirmed value

    async def run(self) -> None:
        """Checks the key and the majority for ever, every LOCAL_CHECK_INTERVAL_S."""
        key, ticks = drain_key(self.store.member), 0
        while True:
            if ticks % round(QUORUM_CHECK_INTERVAL_S / LOCAL_CHECK_INTERVAL_S) == 0:
                await self._check_quorum()
            register = self.store.acceptor.registers.get(key)
            changed = register is not None and register.value != self.confirmed_value
            if changed or ticks % round(CONFIRM_INTERVAL_S / LOCAL_CHECK_INTERVAL_S) == 0:
                await self._confirm_order(key)
            ticks += 1
            await sleep(LOCAL_CHECK_INTERVAL_S)

    async def _check_quorum(self) -> None:
        has_quorum = await self.store.count_reachable_members() >= self.store.majority
        if has_quorum != self.has_quorum:
            log_event("store", majority=has_quorum)
            self.has_quorum = has_quorum
            self.reporter.sample_soon()

    async def _confirm_order(self, key: str) -> None:
        try:
            value = await self.store.read_through_change(key)
        except (NoQuorumError, OSError):  # OSError: of the local disk, to which a round writes
            return  # the last order stays in force
        if value == self.confirmed_value:
            return
        self.confirmed_value = value
        try:
            drain_order = msgspec.json.decode(value or '{"drain":false}', type=DrainOrder)
        except ValueError as error:
            logger.warning("the order in the store cannot be read: %s", error)
            return
        if drain_order.drain:
            within_s = float("inf") if drain_order.within_s is None else drain_order.within_s
            self.reporter.drain("store", within_s)
        else:
            self.reporter.undrain("store")
