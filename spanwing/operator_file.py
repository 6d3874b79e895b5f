"""The operator's file (deploy/fronts.toml by default): its tables, their checks and the checked settings.

It configures all listeners besides the platform's, and the log, store, journal, zones and policy. A feature
without a table is off, except the log and a standalone store in memory, which have defaults. The check
functions report each error with the name of its setting to an ErrorCollector.
"""

from __future__ import annotations

import importlib.util
import ipaddress
from pathlib import Path
from typing import Any, Literal
from urllib.parse import quote

import msgspec

from spanwing.config_errors import ErrorCollector
from spanwing.health.settings import HealthSettings
from spanwing.log.events import LogFormat
from spanwing.net.address import Address, parse_address
from spanwing.net.proxied_connections import Network
from spanwing.store.store import ROUND_TIMEOUT_MS

DEFAULT_OPERATOR_FILE = Path(__file__).parent.parent / "deploy" / "fronts.toml"
PROXY_PROTOCOL_LISTENERS = ("clients", "faktory", "health")
MAX_AWAY_MS = 86_400_000.0  # one day
MIN_LEASE_MS, MAX_LEASE_MS = 1500.0, 60_000.0  # the shortest lease leaves time for three renewals
MAX_SOCKET_PATH_BYTES = 100  # Linux limits the path of a Unix socket to 108 bytes


class ListenerTable(msgspec.Struct, forbid_unknown_fields=True):
    """The table of a frontend with a listen address."""

    listen: str


class AgentTable(msgspec.Struct, forbid_unknown_fields=True):
    """The table [agent_check]: the listener for the agent-check of HAProxy."""

    listen: str
    # Whether replies report the maximum number of concurrent requests (`maxconn:`).
    reports_maxconn: bool = msgspec.field(default=False, name="maxconn")
    # Whether to wait for the line of `agent-send`, which names a class, before a reply.
    expects_class_name: bool = msgspec.field(default=False, name="asks")


class AdminTable(msgspec.Struct, forbid_unknown_fields=True):
    """The table [admin]: the Unix socket on which the daemon takes commands of the command line."""

    socket: str


class ProxyTable(msgspec.Struct, forbid_unknown_fields=True):
    """The table [proxy]: the frontends that accept the PROXY protocol, and the addresses of its senders."""

    fronts: list[str]
    sources: list[str]


class LogTable(msgspec.Struct, forbid_unknown_fields=True):
    """The table [log]: the log format and the rate limit of each event."""

    log_format: LogFormat = msgspec.field(default="plain", name="form")
    # Lines per second of one event; a burst may have four times as many.
    max_per_second: float = msgspec.field(default=5.0, name="per_second")


class StoreTable(msgspec.Struct, forbid_unknown_fields=True):
    """The table [store]: this member of the store and its peers.

    Without a directory the store is standalone, and in memory unless it keeps the claims of Faktory jobs.
    """

    member: str = "alone"
    directory: str = ""
    listen: str = ""
    peers: dict[str, str] = {}
    answer_timeout_ms: float = msgspec.field(default=ROUND_TIMEOUT_MS, name="answer_ms")

    def with_default_directory(self, file: Path, scheduler_name: str) -> StoreTable:
        """Returns the table with a directory: if it has none, one beside the operator's file.

        Claims on Faktory jobs that must never run twice have to outlast a restart.
        """
        if self.directory:
            return self
        name = quote(scheduler_name or self.member, safe="")
        return msgspec.structs.replace(self, directory=str(file.absolute().parent / f"claims-{name}"))


class JournalTable(msgspec.Struct, forbid_unknown_fields=True):
    """The table [journal]: the journal of non-idempotent requests, and its retention limits."""

    directory: str
    # Whether requests that need the journal are refused or served while it cannot be written.
    failure_mode: Literal["refuse", "serve"] = msgspec.field(default="refuse", name="when_failing")
    wait_ms: float = 250.0  # how long an attempt waits at most until its intent is on disk
    segment_mb: float = 16.0
    segment_hours: float = 1.0
    keep_days: float = 90.0
    keep_gb: float = 4.0
    # Overrides keep_days for single classes.
    keep_days_by_class: dict[str, float] = msgspec.field(default={}, name="keep_days_of")


class ZonesTable(msgspec.Struct, forbid_unknown_fields=True):
    """The table [zones]: who decides when zones are left and returned to. The members of a store decide for
    all schedulers, or this scheduler decides standalone, by its own evidence.
    """

    members: dict[str, str] = {}
    is_standalone: bool = msgspec.field(default=False, name="alone")
    regions: dict[str, list[str]] = {}
    lease_ms: float = 2000.0


class PolicyTable(msgspec.Struct, forbid_unknown_fields=True):
    """The table [policy]: one policy for the whole fleet, kept by the members that [zones] lists."""

    directory: str
    # How long a scheduler continues without contact to the members, also after a start.
    away_ms: float = 10_000.0


class OperatorFile(msgspec.Struct, forbid_unknown_fields=True):
    """The operator's file as it is written."""

    faktory: ListenerTable | None = None
    health: ListenerTable | None = None
    agent_check: AgentTable | None = None
    feedback: ListenerTable | None = None
    grpc: ListenerTable | None = None
    admin: AdminTable | None = None
    proxy: ProxyTable | None = None
    health_policy: HealthSettings = msgspec.field(name="balancers", default_factory=HealthSettings)
    log: LogTable = msgspec.field(default_factory=LogTable)
    store: StoreTable = msgspec.field(default_factory=StoreTable)
    journal: JournalTable | None = None
    zones: ZonesTable | None = None
    policy: PolicyTable | None = None


class AgentCheckSettings(msgspec.Struct, frozen=True):
    """The checked settings of the agent-check."""

    listen: Address
    reports_maxconn: bool = msgspec.field(name="maxconn")
    expects_class_name: bool = msgspec.field(name="asks")


class BalancerSettings(msgspec.Struct, frozen=True):
    """The checked settings of the health reports and the admin socket; a reload applies all of them."""

    health: Address | None = None
    agent_check: AgentCheckSettings | None = msgspec.field(default=None, name="agent")
    feedback: Address | None = None
    grpc: Address | None = None
    admin: str = ""
    health_policy: HealthSettings = msgspec.field(name="policy", default_factory=HealthSettings)

    def listener_count(self) -> int:
        """Returns the number of configured listeners."""
        return sum(
            bool(each) for each in (self.health, self.agent_check, self.feedback, self.grpc, self.admin)
        )


class ZonesConfiguration(msgspec.Struct, frozen=True):
    """The checked settings of the fleet's zones."""

    members: dict[str, Address]
    regions: dict[str, tuple[str, ...]]
    lease_ms: float


class PolicyConfiguration(msgspec.Struct, frozen=True):
    """The checked settings of the fleet's policy."""

    directory: str
    away_ms: float
    members: dict[str, Address]
    lease_ms: float


class ProxyProtocolSettings(msgspec.Struct, frozen=True):
    """The checked settings of the PROXY protocol: listeners that accept it, and its source networks."""

    listeners: frozenset[str] = msgspec.field(default=frozenset(), name="fronts")
    sources: tuple[Network, ...] = ()

    def sources_for(self, listener: str) -> tuple[Network, ...]:
        """Returns the source networks whose connections to this listener begin with a PROXY header."""
        return self.sources if listener in self.listeners else ()


def check_balancers(operator_file: OperatorFile, errors: ErrorCollector) -> BalancerSettings:
    """Checks the tables of all balancer protocols and of the admin socket."""
    if operator_file.grpc:
        _require_package("grpc", "h2", errors)
    agent = operator_file.agent_check
    return BalancerSettings(
        health=parse_listen_address("health", operator_file.health, errors),
        agent_check=AgentCheckSettings(
            parse_listen_address("agent_check", agent, errors),
            agent.reports_maxconn,
            agent.expects_class_name,
        )
        if agent
        else None,
        feedback=parse_listen_address("feedback", operator_file.feedback, errors),
        grpc=parse_listen_address("grpc", operator_file.grpc, errors),
        admin=errors.run_check("admin.socket", _check_socket_path, operator_file.admin.socket)
        if operator_file.admin
        else "",
        health_policy=operator_file.health_policy,
    )


def parse_listen_address(name: str, table: Any, errors: ErrorCollector) -> Address | None:
    """Returns the listen address of the table with this name, or None without a table."""
    return errors.run_check(f"{name}.listen", parse_address, table.listen) if table else None


def check_proxy_protocol(table: ProxyTable | None, errors: ErrorCollector) -> ProxyProtocolSettings:
    """Checks the listeners and source networks of the PROXY protocol."""
    if table is None:
        return ProxyProtocolSettings()
    _require_package("proxy", "google_crc32c", errors)
    for each in table.fronts:
        if each not in PROXY_PROTOCOL_LISTENERS:
            errors.add_error("proxy.fronts", f"{each!r} is none of {', '.join(PROXY_PROTOCOL_LISTENERS)}")
    if not table.sources:
        errors.add_error("proxy.sources", "no source is listed, so no balancer could use the PROXY protocol")
    sources = [errors.run_check("proxy.sources", ipaddress.ip_network, each) for each in table.sources]
    return ProxyProtocolSettings(frozenset(table.fronts), tuple(each for each in sources if each is not None))


def check_log(table: LogTable, errors: ErrorCollector) -> LogTable:
    """Checks the log table: 0.1 to 10000 lines per second, and the package that the format needs."""
    if not 0.1 <= table.max_per_second <= 10_000:
        errors.add_error("log.per_second", f"{table.max_per_second} is not possible, 0.1 to 10000 are")
    if table.log_format != "plain":
        _require_package("log.form", "structlog", errors)
    return table


def operator_file_path(path: str | None) -> Path:
    """Returns the path of the operator's file, from the variable that names it."""
    return Path(path) if path else DEFAULT_OPERATOR_FILE


def check_store(table: StoreTable, errors: ErrorCollector) -> StoreTable:
    """Checks the store table: a member with peers needs a directory and a listener."""
    if table.peers and not table.directory:
        # A member that loses its promises in a restart could let two proposers win.
        errors.add_error("store.directory", "needed where store.peers are listed")
    if table.peers and not table.listen:
        errors.add_error("store.listen", "needed where store.peers are listed")
    if table.answer_timeout_ms <= 0:
        errors.add_error("store.answer_ms", f"{table.answer_timeout_ms} is not possible")
    if table.member in table.peers:
        errors.add_error(
            "store.peers", f"{table.member!r} is this member's own name; list only the other members"
        )
    return table


def check_journal(table: JournalTable | None, errors: ErrorCollector) -> JournalTable | None:
    """Checks the journal table: an absolute directory, the bounds of all numbers, and space for two
    segments.
    """
    if table is None:
        return None
    _require_package("journal", "google_crc32c", errors)
    if not table.directory.startswith("/"):
        errors.add_error("journal.directory", f"{table.directory!r} is no absolute path")
    for name, minimum, maximum in (
        ("wait_ms", 1, 60_000),
        ("segment_mb", 0.1, 4096),
        ("segment_hours", 0.001, 8760),
        ("keep_days", 0.01, 36_500),
        ("keep_gb", 0.001, 1_000_000),
    ):
        value = getattr(table, name)
        if not minimum <= value <= maximum:
            errors.add_error(f"journal.{name}", f"{value:g} is not possible, {minimum:g} to {maximum:g} are")
    for class_name, days in table.keep_days_by_class.items():
        if not 0.01 <= days <= 36_500:
            errors.add_error(
                f"journal.keep_days_of.{class_name}", f"{days:g} is not possible, 0.01 to 36500 are"
            )
    if table.keep_gb * 1000 < 2 * table.segment_mb:
        minimum = 2 * table.segment_mb / 1000
        errors.add_error(
            "journal.keep_gb", f"{table.keep_gb:g} is too few for two segments, {minimum:g} are needed"
        )
    return table


def check_zones(
    table: ZonesTable | None, store: StoreTable, errors: ErrorCollector
) -> ZonesConfiguration | None:
    """Checks the zones table: the members are those of the store, the lease is within its bounds, and each
    zone is in at most one region.
    """
    if table is None:
        return None
    members = {
        name: errors.run_check(f"zones.members.{name}", parse_address, text)
        for name, text in table.members.items()
    }
    if table.is_standalone and members:
        errors.add_error(
            "zones.alone",
            "cannot be combined with zones.members: a scheduler follows the members or is standalone",
        )
    if not members and not table.is_standalone:
        errors.add_error("zones.members", "none is listed, so nobody could keep the fleet's state")
    if store.peers and not table.is_standalone and set(members) != {store.member, *store.peers}:
        errors.add_error("zones.members", "not the members that store.member and store.peers name")
    if store.listen and not store.peers and store.member not in members and members:
        errors.add_error("zones.members", f"store.member {store.member!r} is not listed")
    if not MIN_LEASE_MS <= table.lease_ms <= MAX_LEASE_MS:
        errors.add_error(
            "zones.lease_ms",
            f"{table.lease_ms:g} is not possible, {MIN_LEASE_MS:g} to {MAX_LEASE_MS:g} are",
        )
    region_by_zone: dict[str, str] = {}
    for region, names in table.regions.items():
        if not names:
            errors.add_error(f"zones.regions.{region}", "no zone is listed")
        for name in names:
            if name in region_by_zone:
                errors.add_error(
                    f"zones.regions.{region}", f"{name!r} is in region {region_by_zone[name]!r} already"
                )
            region_by_zone[name] = region
    return ZonesConfiguration(
        members, {region: tuple(names) for region, names in table.regions.items()}, table.lease_ms
    )


def check_policy(
    table: PolicyTable | None, zones: ZonesConfiguration | None, errors: ErrorCollector
) -> PolicyConfiguration | None:
    """Checks the policy table: it needs the members of [zones], and away_ms between the lease and one day."""
    if table is None:
        return None
    if not table.directory.startswith("/"):
        errors.add_error("policy.directory", f"{table.directory!r} is no absolute path")
    if zones is None or not zones.members:
        errors.add_error("policy", "needs [zones] with the members of the store that all schedulers follow")
        return None
    if not zones.lease_ms <= table.away_ms <= MAX_AWAY_MS:
        errors.add_error(
            "policy.away_ms",
            f"{table.away_ms:g} is not possible, {zones.lease_ms:g} (zones.lease_ms) to {MAX_AWAY_MS:g} are",
        )
    return PolicyConfiguration(table.directory, table.away_ms, zones.members, zones.lease_ms)


def _check_socket_path(text: str) -> str:
    if not text.startswith("/") or len(text.encode()) > MAX_SOCKET_PATH_BYTES:
        raise ValueError(f"{text!r} is no absolute path of at most {MAX_SOCKET_PATH_BYTES} bytes")
    if not Path(text).parent.is_dir():
        raise ValueError(f"the folder of {text} is not there")
    return text


def _require_package(setting: str, package: str, errors: ErrorCollector) -> None:
    if importlib.util.find_spec(package) is None:
        errors.add_error(setting, f"needs the package {package}, which spanwing[tools] installs")
