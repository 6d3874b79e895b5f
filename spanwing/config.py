"""What the daemon is told at its start: the platform's configuration."""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec

from spanwing import interface as api
from spanwing.net.address import Address, parse_address
from spanwing.net.transportmap import MemberList
from spanwing.settings import Options, settings_of


class ConfigError(Exception):
    """One plain line that names the setting."""


class Limits(msgspec.Struct):
    sockets: int = 1024


class Platform(msgspec.Struct):
    """The file named by ROUTER_CONFIG."""

    settings: Options
    name: str = ""
    listen: str = ""
    discovery: str = ""
    seed: str = "0"
    limits: Limits = msgspec.field(default_factory=Limits)
    known: MemberList = msgspec.field(default_factory=MemberList)


class Config(msgspec.Struct):
    """The same, checked and translated."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    known: MemberList
    options: Options
    settings: api.Settings


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


def load(environment: Mapping[str, str] = os.environ) -> Config:
    path = environment.get("ROUTER_CONFIG")
    if not path:
        raise ConfigError("ROUTER_CONFIG: not set; it names the configuration file")
    raw = read_struct(path, "ROUTER_CONFIG", Platform, msgspec.json.decode)
    return Config(
        name=environment.get("ROUTER_NAME") or raw.name,
        listen=checked("ROUTER_LISTEN", parse_address, environment.get("ROUTER_LISTEN") or raw.listen),
        discovery=checked("ROUTER_DISCOVERY", parse_address,
                          environment.get("ROUTER_DISCOVERY") or raw.discovery),
        seed=checked("seed", lambda text: int(text, 16), raw.seed),
        sockets=checked("limits.sockets", _enough, raw.limits.sockets),
        known=raw.known,
        options=raw.settings,
        settings=checked("settings", settings_of, raw.settings),
    )


def _enough(sockets: int) -> int:
    if sockets < 64:
        raise ValueError(f"{sockets} is too few, 64 are needed")
    return sockets
