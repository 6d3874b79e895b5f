"""What the daemon is told at its start: the platform's configuration."""

from __future__ import annotations

import os
from collections.abc import Mapping
from functools import partial
from pathlib import Path
from typing import Any

import msgspec

from spanwing import interface as api
from spanwing.hops.transportmap import MemberList
from spanwing.settings import SAID_AS, Options, settings_of
from spanwing.store.store import ANSWER_MS
from spanwing.wire.address import Address, parse_address

FRONTS = Path(__file__).parent.parent / "deploy" / "fronts.toml"


OWN_SOCKETS = 28  # listeners, logs, the loop, discovery, members of the store, the balancers' checks
MIN_SOCKETS = 64
OWN_MB = 24  # of memory, with no connection open
MIN_MB = 32
CONNECTION_KB = 112  # a head, a body, what is read ahead and what is written, at their largest
MIN_CONNECTIONS = 32

#: By the fields of Config, what takes a restart to change.
FIXED = {"listen": "listen", "raw_settings": "settings", "faktory": "faktory.listen",
         "health": "health.listen", "agent_check": "agent_check.listen", "store": "store"}


class ConfigError(Exception):
    """One plain line that names the setting."""


class Limits(msgspec.Struct):
    sockets: int = 1024
    memory_mb: float = 192


class Shares(msgspec.Struct):
    """How many connections each side may hold, within the limits on descriptors and memory together."""

    clients: int
    faktory: int
    hops: int


class Platform(msgspec.Struct):
    """The file named by ROUTER_CONFIG."""

    settings: msgspec.Raw
    revision: int = 0  # of the settings: the store keeps those of the highest
    name: str = ""
    listen: str = ""
    discovery: str = ""
    seed: str = "0"
    limits: Limits = msgspec.field(default_factory=Limits)
    known: MemberList = msgspec.field(default_factory=MemberList)


class Opened(msgspec.Struct, forbid_unknown_fields=True):
    """A front that listens."""

    listen: str


class StoreTable(msgspec.Struct, forbid_unknown_fields=True):
    """Our member of the store; without a directory it lives in memory, alone."""

    member: str = "alone"
    directory: str = ""
    listen: str = ""
    peers: dict[str, str] = {}
    answer_ms: float = ANSWER_MS


class Fronts(msgspec.Struct, forbid_unknown_fields=True):
    """The file under deploy/ that opens what is off by default."""

    faktory: Opened | None = None
    health: Opened | None = None
    agent_check: Opened | None = None
    store: StoreTable = msgspec.field(default_factory=StoreTable)


class Config(msgspec.Struct):
    """Both files, checked and translated."""

    name: str
    listen: Address
    discovery: Address
    told: str  # `discovery` as the file has it, whatever the environment says
    seed: int
    limits: Limits
    known: MemberList
    revision: int
    raw_settings: str
    options: Options
    settings: api.Settings
    faktory: Address | None
    health: Address | None
    agent_check: Address | None
    store: StoreTable
    store_listen: Address | None
    store_peers: dict[str, Address]

    def shares(self) -> Shares:
        """Half of what is free is the clients' side's, where clients are told to hold a third of all."""
        free = self.limits.sockets - OWN_SOCKETS
        held = max(MIN_CONNECTIONS, int((self.limits.memory_mb - OWN_MB) * 1024 // CONNECTION_KB))
        front = min(free // 2, held)
        faktory = front // 2 if self.faktory else 0
        return Shares(front - faktory, faktory, free - front)

    def fixed(self, old: Config) -> list[str]:
        """The settings that differ from the old ones and that a running program cannot take over."""
        return [setting for name, setting in FIXED.items() if getattr(self, name) != getattr(old, name)]



def read_struct(path: str, setting: str, form: type, decode: Any) -> Any:
    """Decode a file into its Struct; any fault is a plain line naming file setting and place."""
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise ConfigError(f"{setting}: cannot read {path}: {error.strerror}") from None
    try:
        return decode(data, type=form)
    except (ValueError, UnicodeDecodeError) as error:
        raise ConfigError(f"{setting}: {path}: {error}") from None


def checked(setting: str, check: Any, value: Any) -> Any:
    try:
        return check(value)
    except ValueError as error:
        raise ConfigError(f"{setting}: {error}") from None


def read_settings(raw: str, own: Options | None = None) -> tuple[Options, api.Settings]:
    """Decode the settings object; what is a member's own (its number and zone) comes from its own file."""
    options = checked("settings", lambda text: msgspec.json.decode(text, type=Options), raw)
    if own is not None:
        options.position, options.zone = own.position, own.zone
    try:
        return options, settings_of(options)
    except ValueError as error:  # the module names what is wrong in its own words
        name, _, fault = str(error).partition(": ")
        raise ConfigError(f"settings.{SAID_AS.get(name, name)}: {fault}") from None


def load(environment: Mapping[str, str] = os.environ, before: Config | None = None) -> Config:
    """Read both files; before: what was read last, where this is a reload."""
    path = environment.get("ROUTER_CONFIG")
    if not path:
        raise ConfigError("ROUTER_CONFIG: not set; it names the configuration file")
    raw = read_struct(path, "ROUTER_CONFIG", Platform, msgspec.json.decode)
    options, settings = read_settings(bytes(raw.settings).decode())
    fronts = read_fronts(environment.get("SPANWING_FRONTS"))
    # The environment is as old as the process: an address that the file has changed since then is newer.
    newer = before is not None and raw.discovery and raw.discovery != before.told
    discovery = raw.discovery if newer else environment.get("ROUTER_DISCOVERY") or raw.discovery
    if before is not None and not newer:
        discovery = str(before.discovery)
    return Config(
        name=environment.get("ROUTER_NAME") or raw.name,
        listen=checked("ROUTER_LISTEN", parse_address, environment.get("ROUTER_LISTEN") or raw.listen),
        discovery=checked("discovery" if newer else "ROUTER_DISCOVERY", parse_address, discovery),
        told=raw.discovery,
        seed=checked("seed", lambda text: int(text, 16), raw.seed),
        limits=Limits(checked("limits.sockets", partial(_enough, MIN_SOCKETS), raw.limits.sockets),
                      checked("limits.memory_mb", partial(_enough, MIN_MB), raw.limits.memory_mb)),
        known=raw.known,
        revision=raw.revision,
        raw_settings=bytes(raw.settings).decode(),
        options=options,
        settings=settings,
        faktory=_opened("faktory", fronts.faktory),
        health=_opened("health", fronts.health),
        agent_check=_opened("agent_check", fronts.agent_check),
        store=_store(fronts.store),
        store_listen=checked("store.listen", parse_address, fronts.store.listen) if fronts.store.listen
        else None,
        store_peers={name: checked(f"store.peers.{name}", parse_address, text)
                     for name, text in fronts.store.peers.items()},
    )


def read_fronts(path: str | None) -> Fronts:
    """The file that SPANWING_FRONTS names, else the repository's own."""
    if path is None and not FRONTS.exists():
        return Fronts()
    return read_struct(path or str(FRONTS), "SPANWING_FRONTS", Fronts, msgspec.toml.decode)


def _opened(name: str, front: Opened | None) -> Address | None:
    return checked(f"{name}.listen", parse_address, front.listen) if front else None


def _store(table: StoreTable) -> StoreTable:
    if table.peers and not table.directory:
        # A member that forgets its promises can let two proposers win.
        raise ConfigError("store.directory: needed where store.peers are listed")
    if table.peers and not table.listen:
        raise ConfigError("store.listen: needed where store.peers are listed")
    if table.answer_ms <= 0:
        raise ConfigError(f"store.answer_ms: {table.answer_ms} is not possible")
    if table.member in table.peers:
        raise ConfigError(f"store.peers: {table.member!r} is this member itself")
    return table


def _enough(least: int, value: Any) -> Any:
    if value < least:
        raise ValueError(f"{value} is too few, {least} are needed")
    return value
