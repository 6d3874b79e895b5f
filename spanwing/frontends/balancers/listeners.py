"""All listeners for balancers and the operator: opened at the start, changed by a reload.

A reload opens the new listeners before it closes old ones, and if one cannot be opened nothing changes. A
listener whose address stays is not touched.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

from spanwing.config_errors import ConfigurationError
from spanwing.core.request_manager import RequestManager
from spanwing.frontends.admin import AdminFrontend, PolicyOrders, ZoneOrders
from spanwing.frontends.balancers.agent_check import AgentCheckFrontend, agent_check_reply, feedback_reply
from spanwing.frontends.balancers.health_checks import HealthFrontend
from spanwing.frontends.balancers.health_reporter import HealthReporter
from spanwing.frontends.http_server import HttpServer
from spanwing.net.buffers import BufferPool
from spanwing.net.proxied_connections import Network
from spanwing.operator_file import BalancerSettings

MAX_HEALTH_CONNECTIONS = 12  # connections of the health listener


class Listeners:
    """Owns the open listeners."""

    def __init__(
        self,
        name: str,
        reporter: HealthReporter,
        request_manager: RequestManager,
        buffers: BufferPool,
        counters: Callable[[], dict[str, int]],
        maxconn: Callable[[], int],
        order_drain: Callable[[str, bool, float | None], Awaitable[None]],
        proxy_sources: tuple[Network, ...],
        journal_directory: str = "",
        zones: ZoneOrders | None = None,
        policy: PolicyOrders | None = None,
    ) -> None:
        self.name, self.reporter, self.request_manager, self.buffers = (
            name,
            reporter,
            request_manager,
            buffers,
        )
        self.counters, self.maxconn, self.order_drain, self.proxy_sources = (
            counters,
            maxconn,
            order_drain,
            proxy_sources,
        )
        self.policy = policy
        self.journal_directory, self.zones = (
            journal_directory,
            zones,
        )  # the journal's folder; zones None: not enabled
        self.open_listeners: dict[str, tuple[Any, Any]] = {}  # by name: its settings, and the frontend

    def reconfigure(self, settings: BalancerSettings) -> list[tuple[str, str]]:
        """Opens and closes listeners to match the settings.

        Returns the names and addresses of the new ones. Raises ConfigError.
        """
        requested = {
            "health": settings.health,
            "agent_check": settings.agent_check,
            "feedback": settings.feedback,
            "grpc": settings.grpc,
            "admin": settings.admin or None,
        }
        opened: dict[str, tuple[Any, Any]] = {}
        try:
            for name, listener_settings in requested.items():
                if listener_settings is not None and not self._is_unchanged(name, listener_settings):
                    opened[name] = listener_settings, self._open_listener(name, listener_settings)
        except ConfigurationError:
            for _, frontend in opened.values():
                frontend.close()
            raise
        for name, (_, frontend) in list(self.open_listeners.items()):
            if requested[name] is None or name in opened:
                frontend.close()
                del self.open_listeners[name]
        self.open_listeners.update(opened)
        if settings.agent_check is not None:  # its reply settings may change while its address stays
            frontend = self.open_listeners["agent_check"][1]
            frontend.maxconn = self.maxconn if settings.agent_check.reports_maxconn else None
            frontend.expects_class_name = settings.agent_check.expects_class_name
            self.open_listeners["agent_check"] = settings.agent_check, frontend
        self.reporter.health.update_settings(settings.health_policy)
        return [(name, str(front.address)) for name, (_, front) in opened.items()]

    def _is_unchanged(self, name: str, settings: Any) -> bool:
        """Returns whether a listener is open at the right address."""
        if name not in self.open_listeners:
            return False
        previous = self.open_listeners[name][0]
        return previous.listen == settings.listen if name == "agent_check" else previous == settings

    def frontends(self) -> list[Any]:
        """Returns all open frontends; each has a table of its connections."""
        return [front for _, front in self.open_listeners.values()]

    def _open_listener(self, name: str, settings: Any) -> Any:
        try:
            return getattr(self, f"_{name}")(settings)
        except OSError as error:
            setting = "admin.socket" if name == "admin" else f"{name}.listen"
            where = settings.listen if name == "agent_check" else settings
            raise ConfigurationError(f"{setting}: cannot listen on {where}: {error.strerror}") from None

    def _health(self, address):
        front = HealthFrontend(self.reporter, self.counters)
        return HttpServer(
            address,
            front,
            self.request_manager,
            self.buffers,
            max_connections=MAX_HEALTH_CONNECTIONS,
            proxy_sources=self.proxy_sources,
        )

    def _agent_check(self, agent):
        return AgentCheckFrontend(agent.listen, lambda: self.reporter.verdict, agent_check_reply)

    def _feedback(self, address):
        return AgentCheckFrontend(address, lambda: self.reporter.verdict, feedback_reply)

    def _grpc(self, address):
        from spanwing.frontends.balancers.grpc_health import (
            GrpcFrontend,
        )  # loads h2 only where this is enabled

        return GrpcFrontend(address, lambda: self.reporter.verdict, self.reporter.subscribe, self.buffers)

    def _admin(self, path):
        return AdminFrontend(
            path,
            self.name,
            self.reporter,
            self.counters,
            self.order_drain,
            self.buffers,
            self.journal_directory,
            self.zones,
            self.policy,
        )

    def close(self) -> None:
        """Closes all listeners."""
        for _, frontend in self.open_listeners.values():
            frontend.close()
        self.open_listeners.clear()
