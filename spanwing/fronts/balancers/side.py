"""Everything that balancers and the operator are told, put together; loaded where one of it is open.

Guarantees: the figures that are sampled are those of the daemon's own tables, read when asked for; orders for
other members go through the store and need its majority.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from spanwing.actor import spawn
from spanwing.core.exchange import Exchange
from spanwing.fronts.admin import Fault, PolicyOrders, ZoneOrders
from spanwing.fronts.balancers.opened import Listeners
from spanwing.fronts.balancers.reporter import Reporter
from spanwing.fronts.balancers.storewatch import Order, StoreWatch, order
from spanwing.fronts.faktory import FaktoryFront
from spanwing.fronts.senderside import HttpServer
from spanwing.frontsfile import Balancers
from spanwing.health.signals import Use
from spanwing.hops.pool import Descriptors
from spanwing.store.store import NoMajority, Store
from spanwing.wire.buffers import BufferPool
from spanwing.wire.meter import MeteredSelector
from spanwing.wire.proxied import Network


class Bounds(NamedTuple):
    """The daemon's limits, which a reload may change."""

    cores: float
    memory_mb: float
    sockets: int
    own_sockets: int  # that are neither clients' nor job workers'


class Parts(NamedTuple):
    """The daemon's parts whose state is told."""

    name: str
    core: Exchange
    server: HttpServer
    faktory: FaktoryFront | None
    store: Store
    hops: Descriptors
    buffers: BufferPool
    counters: Callable[[], dict[str, int]]
    proxied: tuple[Network, ...]
    journal: str = ""  # the folder that is written
    zones: ZoneOrders | None = None
    policy: PolicyOrders | None = None


class BalancerSide:
    """Owns the reporter, the listeners and the watch on the store."""

    def __init__(
        self, parts: Parts, bounds: Callable[[], Bounds], wanted: Balancers, meter: MeteredSelector | None
    ) -> None:
        self.parts, self.bounds = parts, bounds
        core = parts.core
        self.reporter = Reporter(core, wanted.policy, self, meter)
        self.reporter.gates = [parts.server, *([parts.faktory] if parts.faktory else [])]
        self.listeners = Listeners(
            parts.name,
            self.reporter,
            core,
            parts.buffers,
            parts.counters,
            lambda: parts.server.table.most * 2 // 3,
            self.order,
            parts.proxied,
            parts.journal,
            parts.zones,
            parts.policy,
        )
        self.watch = StoreWatch(parts.store, self.reporter) if parts.store.peers else None
        if self.watch is not None:
            spawn(self.watch.run())

    async def order(self, member: str, drain: bool, within_s: float | None) -> None:
        """A drain of any member, through the store; raises Fault."""
        store = self.parts.store
        if not store.peers:
            raise Fault("there is no shared store here: drain each daemon by its own socket")
        if member != store.member and member not in store.names:
            raise Fault(f"{member!r} is no member of the store")
        try:
            await order(store, member, Order(drain, store.member, within_s))
        except NoMajority as reason:
            raise Fault(f"the store has no majority: {reason}") from None

    def table(self) -> Use:
        table = self.parts.server.table
        return Use(len(table.seats), table.most)

    def descriptors(self) -> Use:
        fronts = [
            self.parts.server,
            *([self.parts.faktory] if self.parts.faktory else []),
            *self.listeners.fronts(),
        ]
        held = sum(len(each.table.seats) + 1 for each in fronts) + self.parts.hops.held
        bounds = self.bounds()
        return Use(held + bounds.own_sockets, bounds.sockets)

    def cores(self) -> float:
        return self.bounds().cores

    def memory_mb(self) -> float:
        return self.bounds().memory_mb

    def majority(self) -> bool | None:
        return None if self.watch is None else self.watch.majority

    def needing_store(self) -> frozenset[str]:
        """The classes that only a majority of the store lets in: by Faktory, what must not run twice."""
        if self.parts.faktory is None or self.watch is None:
            return frozenset()
        return frozenset(each.name for each in self.parts.core.settings.classes if each.effect == "unsafe")
