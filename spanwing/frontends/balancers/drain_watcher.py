"""Watches the replicated store for its quorum and for drain orders for this member.

The local copy of this member's key is checked every LOCAL_CHECK_INTERVAL_S without I/O. A change there takes
effect once a majority has confirmed it. The key is also confirmed every CONFIRM_INTERVAL_S, in case the local
copy has missed a change. An order that is older than this process takes effect before the first request, by
the local copy, and has no notice period. The quorum is probed every QUORUM_CHECK_INTERVAL_S without a write
to any disk.
"""

from __future__ import annotations

import logging

import msgspec
from tornado.gen import sleep

from spanwing.frontends.balancers.health_reporter import HealthReporter
from spanwing.json_input import decode_json
from spanwing.log import log_event
from spanwing.store.store import NoQuorumError, Store

LOCAL_CHECK_INTERVAL_S, QUORUM_CHECK_INTERVAL_S, CONFIRM_INTERVAL_S = 0.25, 1.0, 10.0

logger = logging.getLogger("spanwing")


class DrainOrder(msgspec.Struct):
    """The drain order for a member, as it is kept in the store."""

    drain: bool  # False: the order is withdrawn
    by: str = ""  # the member that wrote the order
    within_s: float | None = None  # time until all requests are to be answered; None: no limit


def drain_key(member: str) -> str:
    """Returns the key under which the store keeps a member's drain order."""
    return f"drain/{member}"


async def write_drain_order(store: Store, member: str, drain_order: DrainOrder) -> None:
    """Writes the drain order for a member. Raises NoQuorumError if no majority of the store accepts it."""
    text = msgspec.json.encode(drain_order).decode()
    await store.change(drain_key(member), lambda _: text)


class DrainWatcher:
    """Passes the drain orders for this member, and changes of the quorum, to the health reporter."""

    def __init__(self, store: Store, reporter: HealthReporter) -> None:
        self.store, self.reporter = store, reporter
        self.has_quorum: bool | None = None  # None: not probed yet
        self.confirmed_value: str | None = None  # the key's value that was applied last
        self.is_starting = False  # an order that is confirmed now is older than this process

    def apply_earlier_order(self) -> None:
        """Applies the order of the local copy at the start of the process, before a majority confirms it."""
        self.is_starting = True
        register = self.store.acceptor.registers.get(drain_key(self.store.member))
        if register is not None:
            self._apply(register.value)

    async def run(self) -> None:
        """Checks the key and the quorum at their intervals; never returns."""
        key, ticks = drain_key(self.store.member), 0
        while True:
            if ticks % round(QUORUM_CHECK_INTERVAL_S / LOCAL_CHECK_INTERVAL_S) == 0:
                await self._check_quorum()
            register = self.store.acceptor.registers.get(key)
            changed = register is not None and register.value != self.confirmed_value
            if changed or ticks % round(CONFIRM_INTERVAL_S / LOCAL_CHECK_INTERVAL_S) == 0:
                await self._confirm_order(key)
            self.is_starting = False
            ticks += 1
            await sleep(LOCAL_CHECK_INTERVAL_S)

    async def _check_quorum(self) -> None:
        has_quorum = await self.store.count_reachable_members() >= self.store.majority
        if has_quorum != self.has_quorum:
            log_event("store", majority=has_quorum)
            self.has_quorum = has_quorum
            self.reporter.sample_soon()

    async def _confirm_order(self, key: str) -> None:
        """Reads the key through a majority, and applies the order if it has changed."""
        try:
            value = await self.store.read_through_change(key)
        except (NoQuorumError, OSError):  # OSError: writing this member's state to its disk has failed
            return  # the last order stays in force
        self._apply(value)

    def _apply(self, value: str | None) -> None:
        """Applies the key's value if it differs from the one that was applied last."""
        if value == self.confirmed_value:
            return
        self.confirmed_value = value
        try:
            drain_order = decode_json(value or '{"drain":false}', DrainOrder)
        except ValueError as error:
            logger.warning("ignoring an invalid drain order in the store: %s", error)
            return
        if drain_order.drain:
            within_s = float("inf") if drain_order.within_s is None else drain_order.within_s
            self.reporter.drain("store", within_s, has_notice=not self.is_starting)
        else:
            self.reporter.undrain("store")
