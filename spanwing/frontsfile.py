"""The operator's own file under deploy/: what listens besides the platform's front, and how.

Guarantees: everything is off unless its table is there; a fault is a ConfigError that names the setting.
"""

from __future__ import annotations

import importlib.util
import ipaddress
from pathlib import Path
from typing import Any, Literal

import msgspec

from spanwing.faults import Faults
from spanwing.health.policy import Policy
from spanwing.log.events import Form
from spanwing.store.store import ANSWER_MS
from spanwing.wire.address import Address, parse_address
from spanwing.wire.proxied import Network

FILE = Path(__file__).parent.parent / "deploy" / "fronts.toml"
PROXIED = ("clients", "faktory", "health")
MOST_AWAY_MS = 86_400_000.0
LEAST_LEASE_MS, MOST_LEASE_MS = 1500.0, 60_000.0  # three renewals at least
LONGEST_PATH = 100  # of a Unix socket, which the kernel bounds at 108 bytes


class Opened(msgspec.Struct, forbid_unknown_fields=True):
    """A front that listens."""

    listen: str


class AgentTable(msgspec.Struct, forbid_unknown_fields=True):
    """HAProxy's agent-check."""

    listen: str
    maxconn: bool = False  # tell how many requests are taken at once
    asks: bool = False  # wait for a line of `agent-send` that names a class


class AdminTable(msgspec.Struct, forbid_unknown_fields=True):
    """The Unix socket of the command line."""

    socket: str


class ProxyTable(msgspec.Struct, forbid_unknown_fields=True):
    """The PROXY protocol: on these fronts, and there from these addresses only."""

    fronts: list[str]
    sources: list[str]


class LogTable(msgspec.Struct, forbid_unknown_fields=True):
    form: Form = "plain"
    per_second: float = 5.0  # of one event; a burst of four times as many passes


class StoreTable(msgspec.Struct, forbid_unknown_fields=True):
    """Our member of the store; without a directory it lives in memory, alone."""

    member: str = "alone"
    directory: str = ""
    listen: str = ""
    peers: dict[str, str] = {}
    answer_ms: float = ANSWER_MS


class JournalTable(msgspec.Struct, forbid_unknown_fields=True):
    """The journal of work that must not run twice."""

    directory: str
    when_failing: Literal["refuse", "serve"] = "refuse"
    wait_ms: float = 250.0  # a send waits so long for its intent to be on disk
    segment_mb: float = 16.0
    segment_hours: float = 1.0
    keep_days: float = 90.0
    keep_gb: float = 4.0
    keep_days_of: dict[str, float] = {}  # by class, where it differs from keep_days


class ZonesTable(msgspec.Struct, forbid_unknown_fields=True):
    """The fleet leaves and returns to zones as one; by the members of a store that all schedulers follow. Or
    each alone, by what it sees itself."""

    members: dict[str, str] = {}
    alone: bool = False
    regions: dict[str, list[str]] = {}
    lease_ms: float = 2000.0


class PolicyTable(msgspec.Struct, forbid_unknown_fields=True):
    """One policy for the whole fleet, by the members that [zones] names."""

    directory: str
    away_ms: float = 10_000.0  # a scheduler goes on for so long without contact, also from a start


class Fronts(msgspec.Struct, forbid_unknown_fields=True):
    """The file as it is written."""

    faktory: Opened | None = None
    health: Opened | None = None
    agent_check: AgentTable | None = None
    feedback: Opened | None = None
    grpc: Opened | None = None
    admin: AdminTable | None = None
    proxy: ProxyTable | None = None
    balancers: Policy = msgspec.field(default_factory=Policy)
    log: LogTable = msgspec.field(default_factory=LogTable)
    store: StoreTable = msgspec.field(default_factory=StoreTable)
    journal: JournalTable | None = None
    zones: ZonesTable | None = None
    policy: PolicyTable | None = None


class Agent(msgspec.Struct, frozen=True):
    """The agent-check, checked."""

    listen: Address
    maxconn: bool
    asks: bool


class Balancers(msgspec.Struct, frozen=True):
    """What is told to balancers and to the operator, and where; a reload follows all of it."""

    health: Address | None = None
    agent: Agent | None = None
    feedback: Address | None = None
    grpc: Address | None = None
    admin: str = ""
    policy: Policy = msgspec.field(default_factory=Policy)

    def listeners(self) -> int:
        """How many protocols are open."""
        return sum(bool(each) for each in (self.health, self.agent, self.feedback, self.grpc, self.admin))


class Zones(msgspec.Struct, frozen=True):
    """The fleet's zones, checked."""

    members: dict[str, Address]
    regions: dict[str, tuple[str, ...]]
    lease_ms: float


class FleetPolicy(msgspec.Struct, frozen=True):
    """The fleet's policy, checked."""

    directory: str
    away_ms: float
    members: dict[str, Address]
    lease_ms: float


class Proxied(msgspec.Struct, frozen=True):
    """Where the PROXY protocol is spoken, and by whom."""

    fronts: frozenset[str] = frozenset()
    sources: tuple[Network, ...] = ()

    def of(self, front: str) -> tuple[Network, ...]:
        """The addresses that send a header to this front; all others speak plainly."""
        return self.sources if front in self.fronts else ()


def balancers_of(fronts: Fronts, faults: Faults) -> Balancers:
    if fronts.grpc:
        _extra("grpc", "h2", faults)
    agent = fronts.agent_check
    return Balancers(
        health=opened("health", fronts.health, faults),
        agent=Agent(opened("agent_check", agent, faults), agent.maxconn, agent.asks) if agent else None,
        feedback=opened("feedback", fronts.feedback, faults),
        grpc=opened("grpc", fronts.grpc, faults),
        admin=faults.check("admin.socket", _path, fronts.admin.socket) if fronts.admin else "",
        policy=fronts.balancers,
    )


def opened(name: str, front: Any, faults: Faults) -> Address | None:
    return faults.check(f"{name}.listen", parse_address, front.listen) if front else None


def proxied_of(table: ProxyTable | None, faults: Faults) -> Proxied:
    if table is None:
        return Proxied()
    _extra("proxy", "google_crc32c", faults)
    for each in table.fronts:
        if each not in PROXIED:
            faults.add("proxy.fronts", f"{each!r} is none of {', '.join(PROXIED)}")
    if not table.sources:
        faults.add("proxy.sources", "no address is listed, so no balancer could speak it")
    sources = [faults.check("proxy.sources", ipaddress.ip_network, each) for each in table.sources]
    return Proxied(frozenset(table.fronts), tuple(each for each in sources if each is not None))


def log_of(table: LogTable, faults: Faults) -> LogTable:
    if not 0.1 <= table.per_second <= 10_000:
        faults.add("log.per_second", f"{table.per_second} is not possible, 0.1 to 10000 are")
    if table.form != "plain":
        _extra("log.form", "structlog", faults)
    return table


def store_of(table: StoreTable, faults: Faults) -> StoreTable:
    if table.peers and not table.directory:
        # A member that forgets its promises can let two proposers win.
        faults.add("store.directory", "needed where store.peers are listed")
    if table.peers and not table.listen:
        faults.add("store.listen", "needed where store.peers are listed")
    if table.answer_ms <= 0:
        faults.add("store.answer_ms", f"{table.answer_ms} is not possible")
    if table.member in table.peers:
        faults.add("store.peers", f"{table.member!r} is this member itself")
    return table


def journal_of(table: JournalTable | None, faults: Faults) -> JournalTable | None:
    if table is None:
        return None
    _extra("journal", "google_crc32c", faults)
    if not table.directory.startswith("/"):
        faults.add("journal.directory", f"{table.directory!r} is no absolute path")
    for name, least, most in (
        ("wait_ms", 1, 60_000),
        ("segment_mb", 0.1, 4096),
        ("segment_hours", 0.001, 8760),
        ("keep_days", 0.01, 36_500),
        ("keep_gb", 0.001, 1_000_000),
    ):
        value = getattr(table, name)
        if not least <= value <= most:
            faults.add(f"journal.{name}", f"{value:g} is not possible, {least:g} to {most:g} are")
    for cls, days in table.keep_days_of.items():
        if not 0.01 <= days <= 36_500:
            faults.add(f"journal.keep_days_of.{cls}", f"{days:g} is not possible, 0.01 to 36500 are")
    if table.keep_gb * 1000 < 2 * table.segment_mb:
        least = 2 * table.segment_mb / 1000
        faults.add("journal.keep_gb", f"{table.keep_gb:g} is too few for two segments, {least:g} are needed")
    return table


def zones_of(table: ZonesTable | None, store: StoreTable, faults: Faults) -> Zones | None:
    if table is None:
        return None
    members = {
        name: faults.check(f"zones.members.{name}", parse_address, text)
        for name, text in table.members.items()
    }
    if table.alone and members:
        faults.add("zones.alone", "members are listed: a scheduler follows them, or acts alone")
    if not members and not table.alone:
        faults.add("zones.members", "none is listed, so nobody could keep the fleet's state")
    if store.peers and not table.alone and set(members) != {store.member, *store.peers}:
        faults.add("zones.members", "not the members that store.member and store.peers name")
    if store.listen and not store.peers and store.member not in members and members:
        faults.add("zones.members", f"store.member {store.member!r} is not among them")
    if not LEAST_LEASE_MS <= table.lease_ms <= MOST_LEASE_MS:
        faults.add(
            "zones.lease_ms",
            f"{table.lease_ms:g} is not possible, {LEAST_LEASE_MS:g} to {MOST_LEASE_MS:g} are",
        )
    seen: dict[str, str] = {}
    for region, names in table.regions.items():
        if not names:
            faults.add(f"zones.regions.{region}", "no zone is listed")
        for name in names:
            if name in seen:
                faults.add(f"zones.regions.{region}", f"{name!r} is in region {seen[name]!r} already")
            seen[name] = region
    return Zones(members, {region: tuple(names) for region, names in table.regions.items()}, table.lease_ms)


def policy_of(table: PolicyTable | None, zones: Zones | None, faults: Faults) -> FleetPolicy | None:
    if table is None:
        return None
    if not table.directory.startswith("/"):
        faults.add("policy.directory", f"{table.directory!r} is no absolute path")
    if zones is None or not zones.members:
        faults.add("policy", "needs [zones] with the members of the store that all schedulers follow")
        return None
    if not zones.lease_ms <= table.away_ms <= MOST_AWAY_MS:
        faults.add(
            "policy.away_ms",
            f"{table.away_ms:g} is not possible, {zones.lease_ms:g} (zones.lease_ms) to {MOST_AWAY_MS:g} are",
        )
    return FleetPolicy(table.directory, table.away_ms, zones.members, zones.lease_ms)


def _path(text: str) -> str:
    if not text.startswith("/") or len(text.encode()) > LONGEST_PATH:
        raise ValueError(f"{text!r} is no absolute path of at most {LONGEST_PATH} bytes")
    if not Path(text).parent.is_dir():
        raise ValueError(f"the folder of {text} is not there")
    return text


def _extra(setting: str, module: str, faults: Faults) -> None:
    if importlib.util.find_spec(module) is None:
        faults.add(setting, f"needs {module}, which spanwing[tools] installs")
