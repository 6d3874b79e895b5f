"""The listeners for balancers and for the operator's commands, opened at the start and changed by a reload.

A reload opens all new listeners before it closes old ones; if one cannot be opened, nothing changes. A
listener whose address has not changed stays open with its connections.
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

MAX_HEALTH_CONNECTIONS = 12  # connections to the HTTP listener for health checks


class Listeners:
    """Owns the open listeners.

    counters: returns the daemon's counters. maxconn: returns the number of connections that the agent-check
    reports. order_drain: orders a drain through the store, or its end. zones, policy: the commands on zones
    and policies; None if these are not enabled.
    """

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
        process_figures: Callable[[], dict[str, int]] = dict,
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
        self.policy, self.process_figures = policy, process_figures
        self.journal_directory, self.zones = journal_directory, zones
        self.open_listeners: dict[str, tuple[Any, Any]] = {}  # by name: settings and frontend

    def reconfigure(self, settings: BalancerSettings) -> list[tuple[str, str]]:
        """Opens and closes listeners to match the settings.

        Returns the names and addresses of new listeners. Raises ConfigurationError if one cannot be opened.
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
        if settings.agent_check is not None:  # the settings of its reply apply without a new listener
            frontend = self.open_listeners["agent_check"][1]
            frontend.maxconn = self.maxconn if settings.agent_check.reports_maxconn else None
            frontend.expects_class_name = settings.agent_check.expects_class_name
            self.open_listeners["agent_check"] = settings.agent_check, frontend
        self.reporter.health.update_settings(settings.health_policy)
        return [(name, str(frontend.address)) for name, (_, frontend) in opened.items()]

    def _is_unchanged(self, name: str, settings: Any) -> bool:
        """Returns whether the listener is open at the address of these settings."""
        if name not in self.open_listeners:
            return False
        previous = self.open_listeners[name][0]
        return previous.listen == settings.listen if name == "agent_check" else previous == settings

    def frontends(self) -> list[Any]:
        """Returns the frontends of all open listeners; each has a table of its connections."""
        return [frontend for _, frontend in self.open_listeners.values()]

    def _open_listener(self, name: str, settings: Any) -> Any:
        try:
            return getattr(self, f"_open_{name}")(settings)
        except OSError as error:
            setting = "admin.socket" if name == "admin" else f"{name}.listen"
            address = settings.listen if name == "agent_check" else settings
            raise ConfigurationError(f"{setting}: cannot listen on {address}: {error.strerror}") from None

    def _open_health(self, address):
        frontend = HealthFrontend(self.reporter, self.counters)
        return HttpServer(
            address,
            frontend,
            self.request_manager,
            self.buffers,
            max_connections=MAX_HEALTH_CONNECTIONS,
            proxy_sources=self.proxy_sources,
        )

    def _open_agent_check(self, settings):
        return AgentCheckFrontend(settings.listen, lambda: self.reporter.verdict, agent_check_reply)

    def _open_feedback(self, address):
        return AgentCheckFrontend(address, lambda: self.reporter.verdict, feedback_reply)

    def _open_grpc(self, address):
        # Imported here so that h2 is loaded only if gRPC health is enabled.
        from spanwing.frontends.balancers.grpc_health import GrpcFrontend

        return GrpcFrontend(address, lambda: self.reporter.verdict, self.reporter.subscribe, self.buffers)

    def _open_admin(self, path):
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
            self.process_figures,
        )

    def close(self) -> None:
        """Closes all listeners."""
        for _, frontend in self.open_listeners.values():
            frontend.close()
        self.open_listeners.clear()
