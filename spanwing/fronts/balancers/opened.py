"""All listeners for balancers and the operator: opened at the start, moved by a reload.

Guarantees: what a reload opens is open before anything old is closed, and if one cannot be opened nothing
changes; a listener whose address stays is not touched.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

from spanwing.core.exchange import Exchange
from spanwing.faults import ConfigError
from spanwing.fronts.admin import AdminFront, PolicyOrders, ZoneOrders
from spanwing.fronts.balancers.checks import HealthFront
from spanwing.fronts.balancers.lines import LineFront, agent_line, feedback_line
from spanwing.fronts.balancers.reporter import Reporter
from spanwing.fronts.senderside import HttpServer
from spanwing.frontsfile import Balancers
from spanwing.wire.buffers import BufferPool
from spanwing.wire.proxied import Network

CHECKS = 12  # connections to the health listener


class Listeners:
    """Owns what is open."""

    def __init__(
        self,
        name: str,
        reporter: Reporter,
        core: Exchange,
        buffers: BufferPool,
        counters: Callable[[], dict[str, int]],
        maxconn: Callable[[], int],
        order: Callable[[str, bool, float | None], Awaitable[None]],
        proxied: tuple[Network, ...],
        journal: str = "",
        zones: ZoneOrders | None = None,
        policy: PolicyOrders | None = None,
    ) -> None:
        self.name, self.reporter, self.core, self.buffers = name, reporter, core, buffers
        self.counters, self.maxconn, self.order, self.proxied = counters, maxconn, order, proxied
        self.policy = policy
        self.journal, self.zones = journal, zones  # the folder that is written; None: not switched on
        self.open: dict[str, tuple[Any, Any]] = {}  # by name: what was asked for, and the front

    def move(self, wanted: Balancers) -> list[tuple[str, str]]:
        """Open and close until all is as wanted; returns the new ones, and where. Raises ConfigError."""
        asked = {
            "health": wanted.health,
            "agent_check": wanted.agent,
            "feedback": wanted.feedback,
            "grpc": wanted.grpc,
            "admin": wanted.admin or None,
        }
        fresh: dict[str, tuple[Any, Any]] = {}
        try:
            for name, what in asked.items():
                if what is not None and not self._stays(name, what):
                    fresh[name] = what, self._make(name, what)
        except ConfigError:
            for _, front in fresh.values():
                front.close()
            raise
        for name, (_, front) in list(self.open.items()):
            if asked[name] is None or name in fresh:
                front.close()
                del self.open[name]
        self.open.update(fresh)
        if wanted.agent is not None:  # its words may change where its address stays
            front = self.open["agent_check"][1]
            front.maxconn = self.maxconn if wanted.agent.maxconn else None
            front.asks = wanted.agent.asks
            self.open["agent_check"] = wanted.agent, front
        self.reporter.health.policy_is(wanted.policy)
        return [(name, str(front.address)) for name, (_, front) in fresh.items()]

    def _stays(self, name: str, what: Any) -> bool:
        """Whether a listener is open where it should be."""
        if name not in self.open:
            return False
        was = self.open[name][0]
        return was.listen == what.listen if name == "agent_check" else was == what

    def fronts(self) -> list[Any]:
        """All that are open; each has a table of its connections."""
        return [front for _, front in self.open.values()]

    def _make(self, name: str, what: Any) -> Any:
        try:
            return getattr(self, f"_{name}")(what)
        except OSError as error:
            setting = "admin.socket" if name == "admin" else f"{name}.listen"
            where = what.listen if name == "agent_check" else what
            raise ConfigError(f"{setting}: cannot listen on {where}: {error.strerror}") from None

    def _health(self, address):
        front = HealthFront(self.reporter, self.counters)
        return HttpServer(address, front, self.core, self.buffers, most=CHECKS, proxied=self.proxied)

    def _agent_check(self, agent):
        return LineFront(agent.listen, lambda: self.reporter.verdict, agent_line)

    def _feedback(self, address):
        return LineFront(address, lambda: self.reporter.verdict, feedback_line)

    def _grpc(self, address):
        from spanwing.fronts.balancers.grpc import GrpcFront  # h2 is loaded where this is opened

        return GrpcFront(address, lambda: self.reporter.verdict, self.reporter.subscribe, self.buffers)

    def _admin(self, path):
        return AdminFront(
            path,
            self.name,
            self.reporter,
            self.counters,
            self.order,
            self.buffers,
            self.journal,
            self.zones,
            self.policy,
        )

    def close(self) -> None:
        for _, front in self.open.values():
            front.close()
        self.open.clear()
