"""Reads the daemon's configuration: the platform's file and the operator's file."""

from __future__ import annotations

import os
from collections.abc import Mapping
from functools import partial
from pathlib import Path
from typing import Any

import msgspec

from spanwing import interface as api
from spanwing.config_errors import ErrorCollector
from spanwing.discovery.client import DiscoveredEndpoints
from spanwing.net.address import Address, parse_address
from spanwing.operator_file import (
    DEFAULT_OPERATOR_FILE,
    BalancerSettings,
    JournalTable,
    LogTable,
    OperatorFile,
    PolicyConfiguration,
    ProxyProtocolSettings,
    StoreTable,
    ZonesConfiguration,
    check_balancers,
    check_journal,
    check_log,
    check_policy,
    check_proxy_protocol,
    check_store,
    check_zones,
    parse_listen_address,
)
from spanwing.settings import SETTING_NAMES, PlatformSettings, scheduler_settings

RESERVED_SOCKETS = 28  # listeners, logs, the loop, discovery, members of the store
MAX_MANAGEMENT_CONNECTIONS = 16  # concurrent connections to the management address
SOCKETS_PER_CHECK_LISTENER = 13  # a listener for balancers, with its connections
MIN_SOCKETS = 64
MIN_CONNECTION_SOCKETS = 16  # descriptors for connections, whatever else needs some
BASE_MEMORY_MB = 24  # without open connections
SECOND_PROCESS_SOCKETS, SECOND_PROCESS_MEMORY_MB = 12, 18  # needs of a second process, as measured
MIN_MEMORY_MB = 32
CONNECTION_MEMORY_KB = 112  # head, body, read and write buffers at their largest
MIN_CONNECTIONS = 32
MIN_CORES = 0.05

#: By field of Configuration, the settings that take a restart to change.
RESTART_ONLY_SETTINGS = {
    "listen": "listen",
    "management": "management",
    "settings_json": "settings",
    "faktory": "faktory.listen",
    "proxy_protocol": "proxy",
    "log": "log",
    "store": "store",
    "journal": "journal",
    "zones": "zones",
    "policy": "policy",
}


class ResourceLimits(msgspec.Struct):
    """The limits of the process: descriptors, memory in MB and cores."""

    sockets: int = 1024
    memory_mb: float = 192
    cores: float = 1.0


class ConnectionShares(msgspec.Struct):
    """How many connections each side may hold, within the limits on descriptors and memory together."""

    clients: int
    faktory: int
    workers: int = msgspec.field(name="hops")


class PlatformFile(msgspec.Struct):
    """The file named by ROUTER_CONFIG."""

    settings: msgspec.Raw
    # The store holds the settings of the highest revision.
    settings_revision: int = msgspec.field(default=0, name="revision")
    name: str = ""
    listen: str = ""
    management: str = ""
    discovery: str = ""
    seed: str = "0"
    limits: ResourceLimits = msgspec.field(default_factory=ResourceLimits)
    known_endpoints: DiscoveredEndpoints = msgspec.field(name="known", default_factory=DiscoveredEndpoints)


class Configuration(msgspec.Struct):
    """Both files, checked and translated."""

    name: str
    listen: Address
    discovery: Address
    # `discovery` as in the file, whatever the environment says.
    file_discovery: str = msgspec.field(name="told")
    seed: int
    limits: ResourceLimits
    known_endpoints: DiscoveredEndpoints = msgspec.field(name="known")
    settings_revision: int = msgspec.field(name="revision")
    settings_json: str = msgspec.field(name="raw_settings")
    platform_settings: PlatformSettings = msgspec.field(name="options")
    settings: api.Settings
    management: Address | None
    # Descriptor of a listening socket that the platform holds open.
    inherited_descriptor: int | None = msgspec.field(name="shared")
    faktory: Address | None
    balancers: BalancerSettings
    proxy_protocol: ProxyProtocolSettings = msgspec.field(name="proxied")
    log: LogTable
    store: StoreTable
    store_listen: Address | None
    store_peers: dict[str, Address]
    journal: JournalTable | None
    zones: ZonesConfiguration | None
    policy: PolicyConfiguration | None

    def connection_shares(self, process_count: int = 1) -> ConnectionShares:
        """Computes how many connections each side may hold.

        Clients get half of the free descriptors at most, while they are told to hold a third of all.

        process_count: the processes that share the limits now; the result is for all of them together.
        """
        reserved_sockets = (
            RESERVED_SOCKETS
            + SOCKETS_PER_CHECK_LISTENER * self.balancers.listener_count()
            + (process_count - 1) * SECOND_PROCESS_SOCKETS
        )
        if self.management:
            reserved_sockets += process_count * (MAX_MANAGEMENT_CONNECTIONS + 1)
        free_sockets = max(MIN_CONNECTION_SOCKETS, self.limits.sockets - reserved_sockets)
        connection_memory_mb = (
            self.limits.memory_mb - BASE_MEMORY_MB - (process_count - 1) * SECOND_PROCESS_MEMORY_MB
        )
        max_connections = max(MIN_CONNECTIONS, int(connection_memory_mb * 1024 // CONNECTION_MEMORY_KB))
        client_sockets = min(free_sockets // 2, max_connections)
        faktory = client_sockets // 2 if self.faktory else 0
        return ConnectionShares(client_sockets - faktory, faktory, free_sockets - client_sockets)

    def changed_restart_settings(self, previous: Configuration) -> list[str]:
        """Returns the settings that differ from the previous ones and take effect only after a restart."""
        return [
            setting
            for name, setting in RESTART_ONLY_SETTINGS.items()
            if getattr(self, name) != getattr(previous, name)
        ]


def read_file(path: str, setting: str, struct_type: type, decode: Any, errors: ErrorCollector) -> Any:
    """Decodes a file into its Struct; each error is a plain line that names file, setting and place.

    Returns None if the file cannot be read or nothing of it is valid, and errors are collected; raises
    ConfigurationError for the first error otherwise.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        errors.add_error(setting, f"cannot read {path}: {error.strerror}")
        return None
    try:
        return decode(data, type=struct_type)
    except (ValueError, UnicodeDecodeError) as error:
        # Decoding reports only the first error; to collect all of them, each value is checked.
        if not errors.collects_all:
            errors.add_error(setting, f"{path}: {error}")
        from spanwing.schema_validation import find_all_errors

        value, file_errors = find_all_errors(data, struct_type, decode)
        for path_in_file, message in file_errors:
            errors.add_error(path_in_file or setting, message if path_in_file else f"{path}: {message}")
        return value


def parse_settings(
    text: str, own_settings: PlatformSettings | None = None, errors: ErrorCollector | None = None
) -> tuple[PlatformSettings, api.Settings] | None:
    """Decodes the settings object; number and zone of this member come from its own file. Returns None if
    there are errors and they are collected; raises ConfigurationError otherwise.
    """
    errors = errors or ErrorCollector()
    platform_settings = errors.run_check(
        "settings", lambda text: msgspec.json.decode(text, type=PlatformSettings), text
    )
    if platform_settings is None:
        return None
    if own_settings is not None:
        platform_settings.node_index, platform_settings.zone = own_settings.node_index, own_settings.zone
    try:
        return platform_settings, scheduler_settings(platform_settings)
    except api.SettingsError as error:  # with the scheduler's names of settings
        for message_line in error.faults:
            name, _, message = message_line.partition(": ")
            errors.add_error(f"settings.{SETTING_NAMES.get(name, name)}", message)
        return None


def load_configuration(
    environment: Mapping[str, str] = os.environ,
    previous: Configuration | None = None,
    errors: ErrorCollector | None = None,
) -> Configuration | None:
    """Reads both files.

    previous: the configuration in use, for a reload. Raises ConfigurationError for the first error; if
    errors collects all of them, returns None if there are any.
    """
    errors = errors or ErrorCollector()
    path = environment.get("ROUTER_CONFIG")
    platform = None
    if path:
        platform = read_file(path, "ROUTER_CONFIG", PlatformFile, msgspec.json.decode, errors)
    else:
        errors.add_error("ROUTER_CONFIG", "not set; it names the configuration file")
    operator_file = read_operator_file(environment.get("SPANWING_FRONTS"), errors) or OperatorFile()
    balancers, proxy_protocol = (
        check_balancers(operator_file, errors),
        check_proxy_protocol(operator_file.proxy, errors),
    )
    store, journal = check_store(operator_file.store, errors), check_journal(operator_file.journal, errors)
    zones = check_zones(operator_file.zones, store, errors)
    policy = check_policy(operator_file.policy, zones, errors)
    if policy is not None and environment.get("ROUTER_FD"):
        errors.add_error("policy", "cannot stand beside ROUTER_FD: two processes would hold one permit")
    run_check = errors.run_check
    faktory_address, log = (
        parse_listen_address("faktory", operator_file.faktory, errors),
        check_log(operator_file.log, errors),
    )
    store_listen = run_check("store.listen", parse_address, store.listen) if store.listen else None
    store_peers = {
        name: run_check(f"store.peers.{name}", parse_address, text) for name, text in store.peers.items()
    }
    if platform is None:
        return None
    settings = parse_settings(bytes(platform.settings).decode(), errors=errors)
    if journal is not None and settings is not None:
        for class_name in sorted(
            set(journal.keep_days_by_class) - {each.name for each in settings[1].classes}
        ):
            errors.add_error(f"journal.keep_days_of.{class_name}", "no class has this name")
    if zones is not None and settings is not None:
        for region, names in zones.regions.items():
            for name in sorted(set(names) - set(settings[1].zones)):
                errors.add_error(f"zones.regions.{region}", f"{name!r} is no zone of the settings")
    # The environment dates from the start of the process: an address changed in the file since then is newer.
    uses_file_discovery = (
        previous is not None and platform.discovery and platform.discovery != previous.file_discovery
    )
    discovery = (
        platform.discovery
        if uses_file_discovery
        else environment.get("ROUTER_DISCOVERY") or platform.discovery
    )
    if previous is not None and not uses_file_discovery:
        discovery = str(previous.discovery)
    listen = run_check("ROUTER_LISTEN", parse_address, environment.get("ROUTER_LISTEN") or platform.listen)
    management = environment.get("ROUTER_MANAGEMENT") or platform.management
    management = run_check("management", parse_address, management) if management else None
    inherited_descriptor = environment.get("ROUTER_FD")
    inherited_descriptor = (
        run_check("ROUTER_FD", _parse_descriptor, inherited_descriptor) if inherited_descriptor else None
    )
    discovery = run_check(
        "discovery" if uses_file_discovery else "ROUTER_DISCOVERY", parse_address, discovery
    )
    seed = run_check("seed", lambda text: int(text, 16), platform.seed)
    limits = platform.limits
    min_sockets = MIN_SOCKETS + SOCKETS_PER_CHECK_LISTENER * balancers.listener_count()
    for name, minimum in (("sockets", min_sockets), ("memory_mb", MIN_MEMORY_MB), ("cores", MIN_CORES)):
        run_check(f"limits.{name}", partial(_check_minimum, minimum), getattr(limits, name))
    if errors.errors:
        return None
    return Configuration(
        name=environment.get("ROUTER_NAME") or platform.name,
        listen=listen,
        discovery=discovery,
        management=management,
        inherited_descriptor=inherited_descriptor,
        file_discovery=platform.discovery,
        seed=seed,
        limits=limits,
        known_endpoints=platform.known_endpoints,
        settings_revision=platform.settings_revision,
        settings_json=bytes(platform.settings).decode(),
        platform_settings=settings[0],
        settings=settings[1],
        faktory=faktory_address,
        balancers=balancers,
        proxy_protocol=proxy_protocol,
        log=log,
        store=store,
        store_listen=store_listen,
        store_peers=store_peers,
        journal=journal,
        zones=zones,
        policy=policy,
    )


def read_operator_file(path: str | None, errors: ErrorCollector) -> OperatorFile | None:
    """Reads the file that SPANWING_FRONTS names, or else the repository's own; without either, the
    defaults.
    """
    if path is None and not DEFAULT_OPERATOR_FILE.exists():
        return OperatorFile()
    return read_file(
        path or str(DEFAULT_OPERATOR_FILE), "SPANWING_FRONTS", OperatorFile, msgspec.toml.decode, errors
    )


def _parse_descriptor(text: str) -> int:
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        raise ValueError(f"{text!r} is no descriptor's number")
    return int(text)


def _check_minimum(minimum: float, value: Any) -> Any:
    if not value >= minimum:
        raise ValueError(f"{value} is too few, {minimum} are needed")
    return value
