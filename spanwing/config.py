"""What the daemon is told at its start: the platform's configuration."""

from __future__ import annotations

import os
from collections.abc import Mapping
from functools import partial
from pathlib import Path
from typing import Any

import msgspec

from spanwing import interface as api
from spanwing.faults import Faults
from spanwing.frontsfile import (
    FILE,
    Balancers,
    FleetPolicy,
    Fronts,
    JournalTable,
    LogTable,
    Proxied,
    StoreTable,
    Zones,
    balancers_of,
    journal_of,
    log_of,
    opened,
    policy_of,
    proxied_of,
    store_of,
    zones_of,
)
from spanwing.hops.transportmap import MemberList
from spanwing.settings import SAID_AS, Options, settings_of
from spanwing.wire.address import Address, parse_address

OWN_SOCKETS = 28  # listeners, logs, the loop, discovery, members of the store
MANAGEMENT_CALLS = 16  # callers of the management address at once
CHECK_SOCKETS = 13  # a listener for balancers and its connections
MIN_SOCKETS = 64
MIN_FREE = 16  # descriptors for connections, whatever else there is
OWN_MB = 24  # of memory, with no connection open
SECOND_SOCKETS, SECOND_MB = 12, 18  # what a second process takes besides, by measurement
MIN_MB = 32
CONNECTION_KB = 112  # a head, a body, what is read ahead and what is written, at their largest
MIN_CONNECTIONS = 32
MIN_CORES = 0.05

#: By the fields of Config, what takes a restart to change.
FIXED = {
    "listen": "listen",
    "management": "management",
    "raw_settings": "settings",
    "faktory": "faktory.listen",
    "proxied": "proxy",
    "log": "log",
    "store": "store",
    "journal": "journal",
    "zones": "zones",
    "policy": "policy",
}


class Limits(msgspec.Struct):
    sockets: int = 1024
    memory_mb: float = 192
    cores: float = 1.0


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
    management: str = ""
    discovery: str = ""
    seed: str = "0"
    limits: Limits = msgspec.field(default_factory=Limits)
    known: MemberList = msgspec.field(default_factory=MemberList)


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
    management: Address | None
    shared: int | None  # the descriptor of a listening socket that the platform holds
    faktory: Address | None
    balancers: Balancers
    proxied: Proxied
    log: LogTable
    store: StoreTable
    store_listen: Address | None
    store_peers: dict[str, Address]
    journal: JournalTable | None
    zones: Zones | None
    policy: FleetPolicy | None

    def shares(self, processes: int = 1) -> Shares:
        """Half of what is free is the clients' side's, where clients are told to hold a third of all.
        processes: that share the limits just now; the shares are those of all together."""
        own = OWN_SOCKETS + CHECK_SOCKETS * self.balancers.listeners() + (processes - 1) * SECOND_SOCKETS
        if self.management:
            own += processes * (MANAGEMENT_CALLS + 1)
        free = max(MIN_FREE, self.limits.sockets - own)
        room_mb = self.limits.memory_mb - OWN_MB - (processes - 1) * SECOND_MB
        held = max(MIN_CONNECTIONS, int(room_mb * 1024 // CONNECTION_KB))
        front = min(free // 2, held)
        faktory = front // 2 if self.faktory else 0
        return Shares(front - faktory, faktory, free - front)

    def fixed(self, old: Config) -> list[str]:
        """The settings that differ from the old ones and that a running program cannot take over."""
        return [setting for name, setting in FIXED.items() if getattr(self, name) != getattr(old, name)]


def read_struct(path: str, setting: str, form: type, decode: Any, faults: Faults) -> Any:
    """Decode a file into its Struct; any fault is a plain line naming file, setting and place."""
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        faults.add(setting, f"cannot read {path}: {error.strerror}")
        return None
    try:
        return decode(data, type=form)
    except (ValueError, UnicodeDecodeError) as error:
        # Decoded at once, only the first fault would be known: where all are wanted, each value is looked at.
        if not faults.collect:
            faults.add(setting, f"{path}: {error}")
        from spanwing.everyfault import every_fault

        left, found = every_fault(data, form, decode)
        for place, fault in found:
            faults.add(place or setting, fault if place else f"{path}: {fault}")
        return left


def read_settings(
    raw: str, own: Options | None = None, faults: Faults | None = None
) -> tuple[Options, api.Settings] | None:
    """Decode the settings object; what is a member's own (its number and zone) comes from its own file."""
    faults = faults or Faults()
    options = faults.check("settings", lambda text: msgspec.json.decode(text, type=Options), raw)
    if options is None:
        return None
    if own is not None:
        options.position, options.zone = own.position, own.zone
    try:
        return options, settings_of(options)
    except api.SettingsError as error:  # the module names what is wrong in its own words
        for each in error.faults:
            name, _, fault = each.partition(": ")
            faults.add(f"settings.{SAID_AS.get(name, name)}", fault)
        return None


def load(
    environment: Mapping[str, str] = os.environ, before: Config | None = None, faults: Faults | None = None
) -> Config | None:
    """Read both files; before: what was read last, where this is a reload. Raises the first fault as a
    ConfigError; with faults that collect, all are there afterwards, and None is returned if there are any."""
    faults = faults or Faults()
    path = environment.get("ROUTER_CONFIG")
    raw = None
    if path:
        raw = read_struct(path, "ROUTER_CONFIG", Platform, msgspec.json.decode, faults)
    else:
        faults.add("ROUTER_CONFIG", "not set; it names the configuration file")
    fronts = read_fronts(environment.get("SPANWING_FRONTS"), faults) or Fronts()
    balancers, proxied = balancers_of(fronts, faults), proxied_of(fronts.proxy, faults)
    table, journal = store_of(fronts.store, faults), journal_of(fronts.journal, faults)
    zones = zones_of(fronts.zones, table, faults)
    policy = policy_of(fronts.policy, zones, faults)
    if policy is not None and environment.get("ROUTER_FD"):
        faults.add("policy", "cannot stand beside ROUTER_FD: two processes would hold one permit")
    check = faults.check
    faktory, log = opened("faktory", fronts.faktory, faults), log_of(fronts.log, faults)
    store_listen = check("store.listen", parse_address, table.listen) if table.listen else None
    peers = {name: check(f"store.peers.{name}", parse_address, text) for name, text in table.peers.items()}
    if raw is None:
        return None
    settings = read_settings(bytes(raw.settings).decode(), faults=faults)
    if journal is not None and settings is not None:
        for cls in sorted(set(journal.keep_days_of) - {each.name for each in settings[1].classes}):
            faults.add(f"journal.keep_days_of.{cls}", "no class has this name")
    if zones is not None and settings is not None:
        for region, names in zones.regions.items():
            for name in sorted(set(names) - set(settings[1].zones)):
                faults.add(f"zones.regions.{region}", f"{name!r} is no zone of the settings")
    # The environment is as old as the process: an address that the file has changed since then is newer.
    newer = before is not None and raw.discovery and raw.discovery != before.told
    discovery = raw.discovery if newer else environment.get("ROUTER_DISCOVERY") or raw.discovery
    if before is not None and not newer:
        discovery = str(before.discovery)
    listen = check("ROUTER_LISTEN", parse_address, environment.get("ROUTER_LISTEN") or raw.listen)
    management = environment.get("ROUTER_MANAGEMENT") or raw.management
    management = check("management", parse_address, management) if management else None
    shared = environment.get("ROUTER_FD")
    shared = check("ROUTER_FD", _descriptor, shared) if shared else None
    discovery = check("discovery" if newer else "ROUTER_DISCOVERY", parse_address, discovery)
    seed = check("seed", lambda text: int(text, 16), raw.seed)
    limits = raw.limits
    sockets = MIN_SOCKETS + CHECK_SOCKETS * balancers.listeners()
    for name, least in (("sockets", sockets), ("memory_mb", MIN_MB), ("cores", MIN_CORES)):
        check(f"limits.{name}", partial(_enough, least), getattr(limits, name))
    if faults.found:
        return None
    return Config(
        name=environment.get("ROUTER_NAME") or raw.name,
        listen=listen,
        discovery=discovery,
        management=management,
        shared=shared,
        told=raw.discovery,
        seed=seed,
        limits=limits,
        known=raw.known,
        revision=raw.revision,
        raw_settings=bytes(raw.settings).decode(),
        options=settings[0],
        settings=settings[1],
        faktory=faktory,
        balancers=balancers,
        proxied=proxied,
        log=log,
        store=table,
        store_listen=store_listen,
        store_peers=peers,
        journal=journal,
        zones=zones,
        policy=policy,
    )


def read_fronts(path: str | None, faults: Faults) -> Fronts | None:
    """The file that SPANWING_FRONTS names, else the repository's own."""
    if path is None and not FILE.exists():
        return Fronts()
    return read_struct(path or str(FILE), "SPANWING_FRONTS", Fronts, msgspec.toml.decode, faults)


def _descriptor(text: str) -> int:
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        raise ValueError(f"{text!r} is no descriptor's number")
    return int(text)


def _enough(least: float, value: Any) -> Any:
    if not value >= least:
        raise ValueError(f"{value} is too few, {least} are needed")
    return value
