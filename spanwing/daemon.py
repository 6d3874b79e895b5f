"""The scheduler daemon: reads its configuration, starts all components and serves until SIGTERM."""

from __future__ import annotations

import gc
import logging
import math
import os
import signal
import sys
from contextlib import suppress
from datetime import UTC, datetime, timedelta
from typing import TYPE_CHECKING

import msgspec
from tornado.gen import TimeoutError as TornadoTimeoutError
from tornado.gen import sleep
from tornado.ioloop import IOLoop
from tornado.locks import Event

from spanwing.config import (
    MAX_MANAGEMENT_CONNECTIONS,
    RESERVED_SOCKETS,
    SECOND_PROCESS_MEMORY_MB,
    Configuration,
    load_configuration,
    parse_settings,
)
from spanwing.config_errors import ConfigurationError
from spanwing.core.clock import Clock
from spanwing.core.request_manager import RequestManager
from spanwing.core.send_guard import SendRule
from spanwing.core.statistics import collect_statistics
from spanwing.discovery.client import DiscoveryClient
from spanwing.discovery.freshness import CallTiming
from spanwing.discovery.persisted_list import start_spread_s
from spanwing.frontends.faktory import FaktoryFrontend
from spanwing.frontends.http_server import HttpServer
from spanwing.frontends.platform import PlatformFrontend
from spanwing.log import log_event
from spanwing.log.events import EVENT_LOG
from spanwing.net.address import Address, adopt_listening_socket
from spanwing.net.buffers import BufferPool
from spanwing.net.loop_meter import MeteredSelector, install_metered_loop
from spanwing.net.monotonic_loop import MonotonicLoop
from spanwing.resources.process_monitor import ProcessMonitor
from spanwing.settings import PermissionSettings
from spanwing.store.acceptor import Acceptor
from spanwing.store.claims import Claims
from spanwing.store.disk import RegisterLog, RegisterLogError
from spanwing.store.peer import Peer, PeerListener
from spanwing.store.shared_settings import agree_on_settings
from spanwing.store.store import Store
from spanwing.workers.connection_pool import ConnectionPool, DescriptorBudget
from spanwing.workers.faktory_worker import FaktoryWorkerDirectory
from spanwing.workers.http_worker import ConfirmationSettings, HttpWorker
from spanwing.workers.load_report import LoadReportReader
from spanwing.workers.reported_requests import ReportedRequests

if TYPE_CHECKING:
    from spanwing.frontends.balancers.service import BalancerService
    from spanwing.hot_restart.hot_restart import HotRestart
    from spanwing.journal.writer import JournalWriter
    from spanwing.policy.service import PolicyService
    from spanwing.zones.service import ZoneService

HOUR_MS, DAY_MS = 3_600_000.0, 86_400_000.0
ENDPOINT_LIST_TIMEOUT_S = 1.0  # a start waits this long for an endpoint list before it listens without one
# After SIGTERM, new connections are still accepted for this long, and requests with their whole deadline.
SHUTDOWN_NOTICE_S = 0.5
# The platform sends SIGKILL no earlier than min(longest deadline, MAX_DRAIN_DEADLINE_MS) + KILL_MARGIN_MS
# after SIGTERM.
MAX_DRAIN_DEADLINE_MS, KILL_MARGIN_MS = 3000.0, 700.0
ANSWER_MARGIN_MS = 400.0  # the last answer is due this long before SIGKILL
MAX_JOURNAL_LOG_LINES = 500  # at a start, for damaged places and for interrupted attempts each
MIN_CONNECTION_SHARE = 8  # for clients and for workers each, while two processes share the limits
MAX_SETTLING_CHECKS = 100  # 10 ms apart: a shutdown waits at most 1 s until the store has the last outcomes


class Daemon:
    """One scheduler process: its components, their start, reload and shutdown."""

    def __init__(self, config: Configuration, loop_meter: MeteredSelector | None = None) -> None:
        self.config, self.is_stopping, self.loop_meter = config, False, loop_meter
        self.balancers: BalancerService | None = None
        self.terminated_s = math.inf  # loop time of SIGTERM; infinite before it
        self.has_successor = False  # a hot restart's successor takes new connections
        self.started = Event()
        self.buffer_pool = BufferPool()
        self.process_monitor = ProcessMonitor(
            self.memory_limit_mb, self.buffer_pool.account, self.buffer_pool.drop_spare
        )
        self.process_monitor.start()
        self.faktory_frontend: FaktoryFrontend | None = None
        self.http_server: HttpServer | None = None
        self.hot_restart: HotRestart | None = None
        self.journal: JournalWriter | None = None
        self.zone_routing: ZoneService | None = None
        self.fleet_policy: PolicyService | None = None
        self.store_listener: PeerListener | None = None
        self.open_management()
        store_table = config.store
        acceptor = Acceptor(RegisterLog(store_table.directory) if store_table.directory else None)
        peers = [Peer(address, self.buffer_pool) for address in config.store_peers.values()]
        self.store = Store(
            store_table.member,
            acceptor,
            peers,
            config.seed,
            store_table.answer_timeout_ms,
            tuple(config.store_peers),
        )
        if config.store_listen:
            self.store_listener = _open_listener(
                "store.listen",
                config.store_listen,
                lambda address: PeerListener(address, acceptor, self.buffer_pool),
            )
            self.print_address("store", self.store_listener.address)

    def memory_limit_mb(self) -> float:
        """Returns the memory limit for this process; the other process of a hot restart has its own part."""
        is_shared = self.hot_restart is not None and self.hot_restart.has_peer()
        return self.config.limits.memory_mb - is_shared * SECOND_PROCESS_MEMORY_MB

    async def start(self) -> None:
        """Obtains the settings from the fleet's policy or the store, then starts all components.

        Raises ConfigurationError if a setting is invalid or a listener cannot be opened.
        """
        config, buffers = self.config, self.buffer_pool
        if config.policy is not None:
            settings_json = await self.start_fleet_policy()
        else:
            settings_json = await agree_on_settings(
                self.store, config.settings_revision, config.settings_json
            )
        platform_settings, settings = parse_settings(settings_json, config.platform_settings)
        load_reader = LoadReportReader(settings.report_fields)
        permissions = platform_settings.permissions or PermissionSettings()
        self.request_manager = RequestManager(settings, config.seed, Clock(), buffers.account)
        self.open_journal()
        self.start_zone_routing()
        if self.fleet_policy is not None:
            self.fleet_policy.attach_request_manager(self.request_manager)

        # Adopted first, so that an invalid descriptor is reported before the predecessor is contacted.
        inherited_socket = (
            None
            if config.inherited_descriptor is None
            else _open_listener("ROUTER_FD", config.inherited_descriptor, adopt_listening_socket)
        )
        hot_restart = None
        if inherited_socket is not None:
            from spanwing.hot_restart.hot_restart import HotRestart, HotRestartContext
            from spanwing.hot_restart.link import RendezvousSocket

            rendezvous_name = str(Address(*inherited_socket.getsockname()[:2]))
            hot_restart = self.hot_restart = HotRestart(
                RendezvousSocket(os.environ.get("TMPDIR") or "/tmp", rendezvous_name),
                self.apply_connection_shares,
            )
            await hot_restart.connect_to_predecessor()

        shares = config.connection_shares()
        self.descriptors = DescriptorBudget(shares.workers)

        reported_requests = ReportedRequests(IOLoop.current().time)

        def make_worker_connection(name, address, retired):
            pool = ConnectionPool(
                address, buffers, self.descriptors, permissions.conn_idle_ms, permissions.connect_timeout_ms
            )
            return HttpWorker(name, pool, load_reader, retired, confirmation, reported_requests)

        confirmation = ConfirmationSettings(
            lambda: permissions.probes and discovery.is_unconfirmed(),
            lambda: discovery.freshness.timing.stale_after_unapplied_s,
        )
        discovery = self.discovery = DiscoveryClient(
            config.known_endpoints,
            config.discovery,
            self.request_manager,
            buffers,
            make_worker_connection,
            CallTiming.of(self.request_manager.settings),
        )
        if self.fleet_policy is not None:
            self.fleet_policy.on_policy_change.append(
                lambda changed: discovery.freshness.change_timing(CallTiming.of(changed))
            )
        self.request_manager.directory = discovery
        self.request_manager.guard.is_list_stale = discovery.is_stale
        self.request_manager.guard.is_list_too_old = discovery.violates_drain_rule
        # The watch starts even if the decision module does not ask for one: until the first answer of
        # discovery, nothing is sent to the workers of the persisted list.
        spread_s = start_spread_s(settings.node_count) if settings.subscribe else 0.0
        discovery.watch(spread_s)
        platform_frontend = PlatformFrontend(
            lambda: self.request_manager.service_classes,
            load_reader,
            discovery.post,
            self.collect_counters,
            self.accepts_clients,
            self.remaining_ms,
        )
        if hot_restart is not None:
            await hot_restart.take_over(HotRestartContext(self.request_manager, discovery, self.descriptors))
        with suppress(TornadoTimeoutError):
            await discovery.announced.wait(timedelta(seconds=spread_s + ENDPOINT_LIST_TIMEOUT_S))
        if self.zone_routing is not None:
            await self.zone_routing.wait_for_first_contact()
        self.http_server = _open_listener(
            "ROUTER_LISTEN",
            config.listen,
            lambda address: HttpServer(
                address,
                platform_frontend,
                self.request_manager,
                buffers,
                shares.clients,
                settings.max_retry_after,
                config.proxy_protocol.sources_for("clients"),
                inherited_socket,
            ),
        )
        guard = self.request_manager.guard
        self.http_server.on_unanswered_close = lambda request: guard.record_violation(
            SendRule.LOST, request, "", "closed_unanswered"
        )
        if config.faktory:
            workers = FaktoryWorkerDirectory(self.request_manager, settings.zone)
            self.faktory_frontend = _open_listener(
                "faktory.listen",
                config.faktory,
                lambda address: FaktoryFrontend(
                    address,
                    self.request_manager,
                    workers,
                    Claims(self.store),
                    buffers,
                    shares.faktory,
                    self.collect_counters,
                    config.proxy_protocol.sources_for("faktory"),
                    self.journal.find_interrupted if self.journal else lambda jid: "",
                ),
            )
            self.print_address("faktory", self.faktory_frontend.address)
        self.open_balancer_listeners(config)
        if hot_restart is not None:
            _open_listener(
                "TMPDIR", hot_restart.rendezvous.folder, lambda _: hot_restart.start_serving(self.http_server)
            )
            self.apply_connection_shares()
        self.print_address("clients", self.http_server.address)
        self.started.set()
        gc.freeze()  # objects that exist now live as long as the process; collections skip them

    def open_management(self) -> None:
        """Opens the management listener, if one is configured.

        It opens before all other listeners, so that it can report during the start that no clients are
        accepted yet. Raises ConfigurationError if the address cannot be opened.
        """
        address = self.config.management
        if address is not None:
            from spanwing.frontends.management import ManagementFrontend

            frontend = ManagementFrontend(
                self.accepts_clients,
                lambda: collect_statistics(self.request_manager) if self.started.is_set() else {},
            )
            server = _open_listener(
                "management",
                address,
                lambda address: HttpServer(
                    address,
                    frontend,
                    None,
                    self.buffer_pool,
                    MAX_MANAGEMENT_CONNECTIONS,
                    is_single_request=True,
                    partial_message_grace_s=0.0,
                ),
            )
            self.print_address("management", server.address)

    def accepts_clients(self) -> bool:
        """Returns whether this process accepts clients.

        It has started, is not stopping, and has an endpoint list, and the fleet's policy rejects no request.
        """
        return (
            self.started.is_set()
            and not self.is_stopping
            and self.discovery.announced.is_set()
            and not self.request_manager.policy_rejection_reason()
        )

    def open_journal(self) -> None:
        """Opens the journal, if one is configured, and attaches it to the request manager.

        The journal closes the attempts that an earlier incarnation left unfinished. These and the damaged
        places are logged, at most MAX_JOURNAL_LOG_LINES of each. Raises ConfigurationError if the directory
        cannot be used.
        """
        journal_table = self.config.journal
        if journal_table is None:
            return
        from spanwing.journal.files import LocalFolder
        from spanwing.journal.segment_log import RetentionLimits, SegmentLog
        from spanwing.journal.writer import JournalWriter

        loop = IOLoop.current()
        limits = RetentionLimits(
            int(journal_table.segment_mb * 1e6),
            journal_table.segment_hours * HOUR_MS,
            journal_table.keep_days * DAY_MS,
            int(journal_table.keep_gb * 1e9),
            {class_name: days * DAY_MS for class_name, days in journal_table.keep_days_by_class.items()},
        )
        try:
            journal_log = SegmentLog(LocalFolder(journal_table.directory), limits)
            self.journal = JournalWriter(
                journal_log,
                journal_table.failure_mode,
                self.config.name,
                loop.add_callback,
                journal_table.wait_ms / 1000.0,
                loop.call_later,
                loop.remove_timeout,
            )
        except (OSError, ValueError) as error:
            reason = getattr(error, "strerror", None) or str(error)
            raise ConfigurationError(f"journal.directory: {journal_table.directory}: {reason}") from None
        self.request_manager.recorder = self.journal
        for file_name, skipped in journal_log.damaged_ranges[:MAX_JOURNAL_LOG_LINES]:
            log_event(
                "journal_skipped",
                level="warning",
                rate_limited=False,
                file=file_name,
                at=skipped.offset,
                bytes=skipped.size,
                reason=skipped.reason,
            )
        interrupted = self.journal.unfinished_attempts
        log_event(
            "journal",
            level="warning" if interrupted else "info",
            directory=journal_table.directory,
            possibly_sent=len({request.id for request, _ in interrupted}),
        )
        for request, attempt in interrupted[:MAX_JOURNAL_LOG_LINES]:
            accepted = request.accepted
            log_event(
                "possibly_sent",
                level="warning",
                rate_limited=False,
                request=request.id,
                finding=attempt.delivery_state,
                attempt=attempt.number,
                worker=attempt.worker,
                address=attempt.address,
                intent=format_time(attempt.intent_ms),
                last_byte=format_time(attempt.last_byte_ms),
                cls=accepted.cls if accepted else "",
                tenant=accepted.tenant if accepted else "",
            )
        if len(interrupted) > MAX_JOURNAL_LOG_LINES:
            log_event(
                "possibly_sent_more",
                level="warning",
                left_out=len(interrupted) - MAX_JOURNAL_LOG_LINES,
                hint="spanwing journal list",
            )

    async def start_fleet_policy(self) -> str:
        """Starts this scheduler's part in the fleet's policy, and waits until requests may be accepted under
        the policy in force.

        Returns the settings of that policy as JSON. Raises ConfigurationError if the policy cache or the
        version in force cannot be used.
        """
        from spanwing.policy.policy_cache import PolicyCacheError
        from spanwing.policy.service import PolicyService
        from spanwing.policy.validation import UnusablePolicyError, remove_per_scheduler_settings

        config = self.config
        try:
            name = config.name or config.store.member
            participant = self.fleet_policy = PolicyService(
                name, config.policy, config.settings, self.buffer_pool, config.seed
            )
        except PolicyCacheError as error:
            raise ConfigurationError(f"policy.directory: {error}") from None
        if self.store_listener is not None and config.store.member in config.policy.members:
            participant.serve_as_member(
                self.store, self.store_listener, remove_per_scheduler_settings(config.settings_json)
            )
        participant.start()
        try:
            return await participant.wait_for_policy()
        except UnusablePolicyError as error:
            raise ConfigurationError(f"policy: the version in force cannot be used here: {error}") from None

    def start_zone_routing(self) -> None:
        """Starts routing by the state of zones, if [zones] is configured.

        A process that is also a member of the store serves the state of the zones to the fleet.
        """
        config = self.config
        if config.zones is None:
            return
        from spanwing.zones.service import ZoneService

        self.zone_routing = ZoneService(
            config.name or config.store.member,
            config.zones,
            self.request_manager,
            self.buffer_pool,
            config.seed,
            self.fleet_policy,
        )
        if self.store_listener is not None and config.store.member in config.zones.members:
            self.zone_routing.serve_as_member(self.store, self.store_listener)
        self.zone_routing.start()

    def open_balancer_listeners(self, config: Configuration) -> None:
        """Opens the listeners for balancers and the admin socket, as the operator's file names them.

        A reload opens, moves and closes them as needed. While none has been configured, their code is not
        loaded. Raises ConfigurationError if a listener cannot be opened.
        """
        balancer_settings = config.balancers
        if self.balancers is None and balancer_settings.listener_count():
            from spanwing.frontends.balancers.service import BalancerService, DaemonLimits, DaemonParts

            parts = DaemonParts(
                config.name or config.store.member,
                self.request_manager,
                self.http_server,
                self.faktory_frontend,
                self.store,
                self.descriptors,
                self.buffer_pool,
                self.collect_counters,
                config.proxy_protocol.sources_for("health"),
                config.journal.directory if config.journal else "",
                self.zone_routing,
                self.fleet_policy,
                self.process_monitor.figures,
                is_starting=not self.started.is_set(),
            )

            def resource_limits() -> DaemonLimits:
                limits = self.config.limits
                return DaemonLimits(limits.cores, limits.memory_mb, limits.sockets, RESERVED_SOCKETS)

            self.balancers = BalancerService(parts, resource_limits, balancer_settings, self.loop_meter)
            if self.is_stopping:  # opened by a reload after SIGTERM
                self.balancers.reporter.drain("signal")
        if self.balancers is not None:
            for name, address in self.balancers.listeners.reconfigure(balancer_settings):
                self.print_address(name, address)

    def print_address(self, listener_name: str, address: Address | str) -> None:
        """Prints the name and address of a listener on standard output."""
        print(f"spanwing: {listener_name} on {address}", flush=True)

    async def reload(self) -> None:
        """Reads both configuration files again and applies the settings that need no restart.

        If a file is invalid or a listener cannot be opened, the configuration in use stays.
        """
        await self.started.wait()
        try:
            config = load_configuration(previous=self.config)
        except ConfigurationError as error:
            print(f"spanwing: not reloaded: {error}", file=sys.stderr, flush=True)
            return
        try:
            self.open_balancer_listeners(config)
        except ConfigurationError as error:
            print(f"spanwing: not reloaded: {error}", file=sys.stderr, flush=True)
            return
        previous, self.config = self.config, config
        if config.discovery != previous.discovery:
            self.discovery.change_discovery(config.discovery)
        self.apply_connection_shares()
        for name in config.changed_restart_settings(previous):
            print(
                f"spanwing: {name} has changed; restart the daemon to apply it", file=sys.stderr, flush=True
            )
        print(f"spanwing: reloaded, discovery on {config.discovery}", flush=True)

    def apply_connection_shares(self) -> None:
        """Applies the connection limits, after a change of the limits or of the connections that the other
        process of a hot restart holds.
        """
        if self.http_server is None:
            return
        hot_restart, connection_table = self.hot_restart, self.http_server.table
        is_shared = hot_restart is not None and hot_restart.has_peer()
        shares = self.config.connection_shares(1 + is_shared)
        if self.faktory_frontend is not None:
            self.faktory_frontend.table.max_connections = shares.faktory
        # A predecessor keeps its limit. The successor's limit is what the predecessor's connections leave
        # free, and grows by one with each connection that it takes over.
        if is_shared and hot_restart.successor is not None:
            connection_table.trim(shares.clients - MIN_CONNECTION_SHARE)
            self.descriptors.set_limit(max(MIN_CONNECTION_SHARE, shares.workers // 2))
            return
        predecessor_counts = hot_restart.predecessor_counts if is_shared else None
        connection_table.max_connections = (
            max(MIN_CONNECTION_SHARE, shares.clients - predecessor_counts.client_connections)
            if predecessor_counts
            else shares.clients
        )
        self.descriptors.set_limit(
            max(MIN_CONNECTION_SHARE, shares.workers - predecessor_counts.worker_connections)
            if predecessor_counts
            else shares.workers
        )
        self.http_server.set_sharing(is_shared)

    def collect_counters(self) -> dict[str, int]:
        """Returns all counters and statistics by name; empty before the start is complete."""
        if not self.started.is_set():
            return {}
        journal_counters = (
            {}
            if self.journal is None
            else {f"journal.{name}": value for name, value in self.journal.counters().items()}
        )
        statistics = {
            name: value for name, value in collect_statistics(self.request_manager).items() if value
        }
        discovery_counters = {
            f"discovery.failed.{reason}": count for reason, count in self.discovery.failed_calls.items()
        }
        connection_counters = {
            f"connections.{name}": value for name, value in self.http_server.end_counts.items()
        }
        counters = {
            **self.request_manager.counters,
            **discovery_counters,
            **journal_counters,
            **statistics,
            **connection_counters,
        }
        return dict(sorted(counters.items()))

    def print_counters(self) -> None:
        """Prints the counters on standard output, as one line of JSON."""
        print("counters", msgspec.json.encode(self.collect_counters()).decode(), flush=True)

    def report(self) -> None:
        """Prints the counters and logs the figures of the process, as SIGUSR1 asks for."""
        self.print_counters()
        self.process_monitor.log_figures()

    def remaining_ms(self) -> float:
        """Returns how long (ms) a request that arrives now may take; infinite unless this process drains.

        The bound after SIGTERM depends on nothing but the time of SIGTERM: neither on a balancers' notice nor
        on an earlier drain order, which SIGKILL does not wait for.
        """
        now_s, remaining_s = IOLoop.current().time(), math.inf
        if self.has_successor or now_s >= self.terminated_s + SHUTDOWN_NOTICE_S:
            remaining_s = self.terminated_s + self.answer_window_s() - now_s
        if self.balancers is not None:
            remaining_s = min(remaining_s, self.balancers.reporter.remaining_s())
        return remaining_s * 1000.0

    def answer_window_s(self) -> float:
        """Returns how long (s) after SIGTERM answers may be sent; ANSWER_MARGIN_MS remain until SIGKILL."""
        longest_ms = max(each.deadline_ms for each in self.request_manager.settings.classes)
        return (min(longest_ms, MAX_DRAIN_DEADLINE_MS) + KILL_MARGIN_MS - ANSWER_MARGIN_MS) / 1000.0

    async def wait_until_all_answered(self) -> None:
        """Waits until all requests are answered, including those that have not been read yet."""
        while self._has_unanswered():
            await self.request_manager.wait_until_idle()
            await sleep(0.01)

    def _has_unanswered(self) -> bool:
        """Returns whether any frontend or the core owes an answer."""
        faktory = self.faktory_frontend
        return (
            self.http_server.has_unanswered_requests()
            or (faktory is not None and faktory.has_unanswered_pushes())
            or not self.request_manager.is_idle()
        )

    async def shut_down(self) -> None:
        """Accepts new connections for the notice period, answers all accepted requests, then stops the
        event loop.
        """
        if self.is_stopping:
            return
        self.is_stopping = True
        if not self.started.is_set():  # no request is accepted yet; the wait for a majority may never end
            IOLoop.current().stop()
            return
        drain_started_s, notice_s = IOLoop.current().time(), SHUTDOWN_NOTICE_S
        self.terminated_s = drain_started_s
        if self.hot_restart is not None and self.hot_restart.has_transferred_state:
            self.has_successor = True
            if await self.hot_restart.transfer_connections():  # new connections go to the successor
                drain_started_s, notice_s = IOLoop.current().time(), 0.0
        if self.balancers is not None:
            # Balancers must learn of the drain before connections are rejected. Where an earlier order began
            # the drain, its notice is not started again.
            self.balancers.reporter.drain("signal")
            notice_s = max(
                notice_s, self.balancers.reporter.health.drain_orders.notice_ends_at_s - drain_started_s
            )
        await sleep(notice_s)
        self.http_server.drain()
        if self.faktory_frontend is not None:
            self.faktory_frontend.is_draining = True
        await self.wait_until_all_answered()
        self.http_server.stop_listening()
        await self.wait_until_all_answered()
        if self.faktory_frontend is not None:
            for _ in range(MAX_SETTLING_CHECKS):
                if not self.faktory_frontend.claims.settling_claims:
                    break
                await sleep(0.01)
        if self.journal is not None and not self.journal.close():
            log_event(
                "journal",
                level="error",
                reason="not all records could be written to disk before the shutdown",
            )
        if self.balancers is not None:
            self.balancers.listeners.close()
        if self.hot_restart is not None:
            self.hot_restart.close()
        IOLoop.current().stop()


def format_time(wall_ms: float | None) -> str:
    """Returns a Unix time in ms as ISO 8601 in UTC; empty for None."""
    if wall_ms is None:
        return ""
    return datetime.fromtimestamp(wall_ms / 1000.0, UTC).isoformat(timespec="milliseconds")


def _open_listener(setting: str, address: Address | int | str, factory):
    """Returns factory(address); raises ConfigurationError that names the setting if this cannot listen."""
    try:
        return factory(address)
    except OSError as error:
        raise ConfigurationError(f"{setting}: cannot listen on {address}: {error.strerror}") from None


def run() -> None:
    """Runs the daemon until it is stopped.

    Raises ConfigurationError, or RegisterLogError if the directory of the store cannot be used.
    """
    config = load_configuration()
    loop_meter = install_metered_loop() if config.balancers.listener_count() else None
    loop = IOLoop.current(instance=False) or MonotonicLoop()
    if config.log.log_format != "plain":
        EVENT_LOG.open(config.log.log_format, config.log.max_per_second, {"name": config.name})
    daemon = Daemon(config, loop_meter)
    # The default action of these signals ends the process. The handlers replace it before the start, and a
    # signal that arrives during the start is handled once the loop runs.
    signal.signal(signal.SIGHUP, lambda *_: loop.add_callback_from_signal(daemon.reload))
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: loop.add_callback_from_signal(daemon.shut_down))
    signal.signal(signal.SIGUSR1, lambda *_: loop.add_callback_from_signal(daemon.report))
    start_errors: list[ConfigurationError] = []

    async def start() -> None:
        try:
            await daemon.start()
        except ConfigurationError as error:
            start_errors.append(error)
            loop.stop()

    loop.add_callback(start)
    loop.start()
    if daemon.process_monitor.has_findings():
        daemon.process_monitor.log_figures()
    EVENT_LOG.close()
    if start_errors:
        raise start_errors[0]
    daemon.print_counters()


def serve() -> int:
    """Runs the daemon until SIGTERM; returns the exit status: 0, or 2 after a configuration error."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(message)s")
    try:
        run()
    except (ConfigurationError, RegisterLogError) as error:
        setting = "store.directory: " if isinstance(error, RegisterLogError) else ""
        print(f"spanwing: {setting}{error}", file=sys.stderr)
        return 2
    return 0
