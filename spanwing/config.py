"""Reads the daemon's configuration: the platform's file, the operator's file and the environment.

The platform's file (JSON, named by ROUTER_CONFIG) holds the settings of the scheduler, its addresses and its
resource limits; ROUTER_LISTEN, ROUTER_DISCOVERY, ROUTER_MANAGEMENT and ROUTER_NAME override it. The
operator's file (TOML, named by SPANWING_FRONTS) configures the additional listeners, the log, the store, the
journal, zones and the fleet's policy.
"""

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
from spanwing.json_input import decode_json
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
    operator_file_path,
    parse_listen_address,
)
from spanwing.settings import SETTING_NAMES, PlatformSettings, scheduler_settings
from spanwing.store.document import MAX_SCHEDULER_NAME_LENGTH

RESERVED_SOCKETS = 28  # for listeners, logs, the event loop, discovery and the members of the store
MAX_MANAGEMENT_CONNECTIONS = 16  # concurrent connections to the management address
SOCKETS_PER_BALANCER_LISTENER = 13  # for a listener for balancers with its connections
MIN_SOCKETS = 64  # minimum of limits.sockets without listeners for balancers
MIN_CONNECTION_SOCKETS = 16  # available to connections, however many sockets are reserved
BASE_MEMORY_MB = 24  # for a process without open connections
SECOND_PROCESS_SOCKETS, SECOND_PROCESS_MEMORY_MB = 12, 18  # for the second process of a hot restart
MIN_MEMORY_MB = 32  # minimum of limits.memory_mb
CONNECTION_MEMORY_KB = 112  # head, body, read buffer and write buffer at their maximum sizes
MIN_CONNECTIONS = 32  # client connections that are allowed however little memory is left
MIN_CORES = 0.05  # minimum of limits.cores

#: Fields of Configuration that change only with a restart, and the setting that is reported for each.
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
    """Resource limits of the process: descriptors, memory in MB and CPU cores."""

    sockets: int = 1024
    memory_mb: float = 192
    cores: float = 1.0


class ConnectionShares(msgspec.Struct):
    """Maximum numbers of connections from HTTP clients, from Faktory clients and to workers."""

    clients: int
    faktory: int
    workers: int = msgspec.field(name="hops")


class PlatformFile(msgspec.Struct):
    """The platform's file, named by ROUTER_CONFIG."""

    settings: msgspec.Raw
    # All members of the store use the settings with the highest revision.
    settings_revision: int = msgspec.field(default=0, name="revision")
    name: str = ""
    listen: str = ""
    management: str = ""
    discovery: str = ""
    seed: str = "0"
    limits: ResourceLimits = msgspec.field(default_factory=ResourceLimits)
    known_endpoints: DiscoveredEndpoints = msgspec.field(name="known", default_factory=DiscoveredEndpoints)


class Configuration(msgspec.Struct):
    """The validated configuration from both files and the environment."""

    name: str
    listen: Address
    discovery: Address
    # `discovery` of the platform's file, even where the environment overrides it.
    file_discovery: str = msgspec.field(name="told")
    seed: int
    limits: ResourceLimits
    known_endpoints: DiscoveredEndpoints = msgspec.field(name="known")
    settings_revision: int = msgspec.field(name="revision")
    settings_json: str = msgspec.field(name="raw_settings")
    # The settings object as decoded, and as converted for the decision module.
    platform_settings: PlatformSettings = msgspec.field(name="options")
    settings: api.Settings
    management: Address | None
    # Descriptor of the listening socket that the platform holds open across hot restarts.
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
        """Computes the maximum numbers of connections within the limits on descriptors and memory.

        Clients get at most half of the free descriptors. This leaves a margin, as the platform tells clients
        to hold at most a third of all descriptors.

        process_count: the number of processes that share the limits now; the result holds for all of them
        together.
        """
        reserved_sockets = (
            RESERVED_SOCKETS
            + SOCKETS_PER_BALANCER_LISTENER * self.balancers.listener_count()
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
        """Returns the names of the changed settings that take effect only after a restart."""
        return [
            setting
            for name, setting in RESTART_ONLY_SETTINGS.items()
            if getattr(self, name) != getattr(previous, name)
        ]


def read_file(path: str, setting: str, struct_type: type, decode: Any, errors: ErrorCollector) -> Any:
    """Decodes a file into struct_type and returns the value.

    setting: the name under which errors of the entire file are reported.
    If errors are collected, invalid settings are left out of the value, and it is None if the file cannot be
    read or nothing valid remains. Otherwise raises ConfigurationError for the first error.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        errors.add_error(setting, f"cannot read {path}: {error.strerror}")
        return None
    try:
        return decode(data, type=struct_type)
    except RecursionError:
        errors.add_error(setting, f"{path}: nested too deeply")
        return None
    except (ValueError, UnicodeDecodeError) as error:
        # The decoder reports only the first error. To collect all of them, each value is checked on its own.
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
    """Decodes the settings object and converts it for the decision module.

    own_settings: the settings of this scheduler's own file, whose position and zone replace those of the
    shared settings. Returns None if a setting is invalid and errors are collected; otherwise raises
    ConfigurationError.
    """
    errors = errors or ErrorCollector()
    platform_settings = errors.run_check("settings", lambda text: decode_json(text, PlatformSettings), text)
    if platform_settings is None:
        return None
    if own_settings is not None:
        platform_settings.node_index, platform_settings.zone = own_settings.node_index, own_settings.zone
    try:
        return platform_settings, scheduler_settings(platform_settings)
    except api.SettingsError as error:  # its lines begin with the decision module's names of settings
        for message_line in error.faults:
            name, _, message = message_line.partition(": ")
            errors.add_error(f"settings.{SETTING_NAMES.get(name, name)}", message)
        return None


def load_configuration(
    environment: Mapping[str, str] = os.environ,
    previous: Configuration | None = None,
    errors: ErrorCollector | None = None,
) -> Configuration | None:
    """Reads and checks both files and the environment.

    previous: the configuration in use, for a reload. errors: where to collect all errors; the result is None
    if there are any. Without it, raises ConfigurationError for the first error.
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
    scheduler_name = environment.get("ROUTER_NAME") or platform.name
    if policy is not None:
        _check_registered_name(scheduler_name or store.member, errors)
    settings_pair = parse_settings(bytes(platform.settings).decode(), errors=errors)
    if journal is not None and settings_pair is not None:
        for class_name in sorted(
            set(journal.keep_days_by_class) - {each.name for each in settings_pair[1].classes}
        ):
            errors.add_error(f"journal.keep_days_of.{class_name}", "no class has this name")
    if zones is not None and settings_pair is not None:
        for region, names in zones.regions.items():
            for name in sorted(set(names) - set(settings_pair[1].zones)):
                errors.add_error(f"zones.regions.{region}", f"{name!r} is no zone of the settings")
    # The environment stays as it was when the process started. An address that has changed in the file since
    # the previous load is therefore newer and wins; else a reload keeps the address in use.
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
    min_sockets = MIN_SOCKETS + SOCKETS_PER_BALANCER_LISTENER * balancers.listener_count()
    for name, minimum in (("sockets", min_sockets), ("memory_mb", MIN_MEMORY_MB), ("cores", MIN_CORES)):
        run_check(f"limits.{name}", partial(_check_minimum, minimum), getattr(limits, name))
    if errors.errors:
        return None
    if faktory_address is not None and _needs_lasting_claims(settings_pair[1], policy):
        store = store.with_default_directory(
            operator_file_path(environment.get("SPANWING_FRONTS")), scheduler_name
        )
    return Configuration(
        name=scheduler_name,
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
        platform_settings=settings_pair[0],
        settings=settings_pair[1],
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


def _needs_lasting_claims(settings: api.Settings, policy: PolicyConfiguration | None) -> bool:
    """Returns whether a class exists, or may come with a policy, whose Faktory jobs must never run twice."""
    return policy is not None or any(each.idempotency == "unsafe" for each in settings.classes)


def _check_registered_name(name: str, errors: ErrorCollector) -> None:
    """Checks the name under which the fleet's policy registers this scheduler."""
    if not 0 < len(name) <= MAX_SCHEDULER_NAME_LENGTH:
        errors.add_error(
            "name",
            f"has {len(name)} characters, with [policy] 1 to {MAX_SCHEDULER_NAME_LENGTH} are possible",
        )


def read_operator_file(path: str | None, errors: ErrorCollector) -> OperatorFile | None:
    """Reads the operator's file at this path, or DEFAULT_OPERATOR_FILE without one.

    Returns the defaults if there is neither, and None if the file is invalid and errors are collected.
    """
    if path is None and not DEFAULT_OPERATOR_FILE.exists():
        return OperatorFile()
    return read_file(
        str(operator_file_path(path)), "SPANWING_FRONTS", OperatorFile, msgspec.toml.decode, errors
    )


def _parse_descriptor(text: str) -> int:
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        raise ValueError(f"{text!r} is no descriptor's number")
    return int(text)


def _check_minimum(minimum: float, value: Any) -> Any:
    if not value >= minimum:
        raise ValueError(f"{value} is too few, {minimum} are needed")
    return value
