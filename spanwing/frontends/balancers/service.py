"""Combines the health reporter, the listeners and the drain watcher; imported only if a listener is enabled.

The reporter reads the sampled values from the daemon's own tables. Drain orders for other members go through
the store and need a majority of it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from spanwing.actor import spawn_task
from spanwing.core.request_manager import RequestManager
from spanwing.frontends.admin import AdminError, PolicyOrders, ZoneOrders
from spanwing.frontends.balancers.drain_watcher import DrainOrder, DrainWatcher, write_drain_order
from spanwing.frontends.balancers.health_reporter import HealthReporter
from spanwing.frontends.balancers.listeners import Listeners
from spanwing.frontends.faktory import FaktoryFrontend
from spanwing.frontends.http_server import HttpServer
from spanwing.health.signals import ResourceUsage
from spanwing.net.buffers import BufferPool
from spanwing.net.loop_meter import MeteredSelector
from spanwing.net.proxied_connections import Network
from spanwing.operator_file import BalancerSettings
from spanwing.store.store import NoQuorumError, Store
from spanwing.workers.connection_pool import DescriptorBudget


class DaemonLimits(NamedTuple):
    """The daemon's limits, which a reload may change."""

    cpu_cores: float
    memory_mb: float
    sockets: int
    reserved_sockets: int  # descriptors that neither clients nor workers may use


class DaemonParts(NamedTuple):
    """The components of the daemon whose state is reported."""

    name: str
    request_manager: RequestManager
    http_server: HttpServer
    faktory_frontend: FaktoryFrontend | None
    store: Store
    descriptor_budget: DescriptorBudget
    buffers: BufferPool
    counters: Callable[[], dict[str, int]]
    proxy_sources: tuple[Network, ...]
    journal_directory: str = ""  # empty: no journal
    zones: ZoneOrders | None = None  # None: not enabled
    policy: PolicyOrders | None = None  # None: not enabled
    process_figures: Callable[[], dict[str, int]] = dict  # memory and event loop, for the status
    is_starting: bool = False  # no client has been accepted yet


class BalancerService:
    """Owns the health reporter, the listeners and the drain watcher."""

    def __init__(
        self,
        parts: DaemonParts,
        limits: Callable[[], DaemonLimits],
        settings: BalancerSettings,
        loop_meter: MeteredSelector | None,
    ) -> None:
        self.parts, self.limits = parts, limits
        request_manager = parts.request_manager
        self.reporter = HealthReporter(request_manager, settings.health_policy, self, loop_meter)
        self.reporter.work_frontends = [
            parts.http_server,
            *([parts.faktory_frontend] if parts.faktory_frontend else []),
        ]
        self.listeners = Listeners(
            parts.name,
            self.reporter,
            request_manager,
            parts.buffers,
            parts.counters,
            lambda: parts.http_server.table.max_connections * 2 // 3,
            self.order_drain,
            parts.proxy_sources,
            parts.journal_directory,
            parts.zones,
            parts.policy,
            parts.process_figures,
        )
        self.drain_watcher = DrainWatcher(parts.store, self.reporter) if parts.store.peers else None
        if self.drain_watcher is not None:
            if parts.is_starting:
                self.drain_watcher.apply_earlier_order()
            spawn_task(self.drain_watcher.run())

    async def order_drain(self, member: str, drain: bool, within_s: float | None) -> None:
        """Orders a drain of any member, or its end, through the store.

        Raises AdminError if there is no shared store, no such member, or no majority of the store.
        """
        store = self.parts.store
        if not store.peers:
            raise AdminError(
                "this daemon has no shared store: drain each daemon through its own admin socket"
            )
        if member != store.member and member not in store.peer_names:
            raise AdminError(f"{member!r} is not a member of the store")
        try:
            await write_drain_order(store, member, DrainOrder(drain, store.member, within_s))
        except NoQuorumError as error:
            raise AdminError(f"the store has no majority: {error}") from None

    def client_connections(self) -> ResourceUsage:
        """Returns the use of the table of client connections."""
        table = self.parts.http_server.table
        return ResourceUsage(len(table.connections), table.max_connections)

    def descriptors(self) -> ResourceUsage:
        """Returns the use of file descriptors by listeners and connections, including those reserved."""
        frontends = [
            self.parts.http_server,
            *([self.parts.faktory_frontend] if self.parts.faktory_frontend else []),
            *self.listeners.frontends(),
        ]
        open_count = (
            sum(len(each.table.connections) + 1 for each in frontends)
            + self.parts.descriptor_budget.open_count
        )
        limits = self.limits()
        return ResourceUsage(open_count + limits.reserved_sockets, limits.sockets)

    def cpu_cores(self) -> float:
        """Returns the CPU limit in cores."""
        return self.limits().cpu_cores

    def memory_limit_mb(self) -> float:
        """Returns the memory limit in MB."""
        return self.limits().memory_mb

    def has_store_quorum(self) -> bool | None:
        """Returns whether the store has a majority; None if that is unknown or no store is shared."""
        return None if self.drain_watcher is None else self.drain_watcher.has_quorum

    def classes_needing_store(self) -> frozenset[str]:
        """Returns the non-idempotent classes, which Faktory accepts only with a majority of the store."""
        if self.parts.faktory_frontend is None or self.drain_watcher is None:
            return frozenset()
        return frozenset(
            each.name for each in self.parts.request_manager.settings.classes if each.idempotency == "unsafe"
        )
