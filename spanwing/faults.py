"""What is wrong with a configuration: the first fault alone, or all of them at once."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any


class ConfigError(Exception):
    """One plain line that names the setting."""


class Faults:
    """Raises the first fault as a ConfigError; where all are wanted, collects them and goes on."""

    def __init__(self, collect: bool = False) -> None:
        self.collect = collect
        self.found: list[tuple[str, str]] = []  # setting and fault

    def add(self, setting: str, fault: str) -> None:
        if not self.collect:
            raise ConfigError(f"{setting}: {fault}")
        if (setting, fault) not in self.found:
            self.found.append((setting, fault))

    def check(self, setting: str, check: Callable[[Any], Any], value: Any) -> Any:
        """What check makes of the value, or None where it raises ValueError and faults are collected."""
        try:
            return check(value)
        except ValueError as error:
            self.add(setting, str(error))
            return None
