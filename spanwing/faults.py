"""What is wrong with a configuration: the first fault alone, or all of them at once."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any


class ConfigurationError(Exception):
    """One plain line that names the setting."""


class ErrorCollector:
    """Raises the first fault as a ConfigError; where all are wanted, collects them and goes on."""

    def __init__(self, collects_all: bool = False) -> None:
        self.collects_all = collects_all
        self.errors: list[tuple[str, str]] = []  # setting and fault

    def add_error(self, setting: str, message: str) -> None:
        if not self.collects_all:
            raise ConfigurationError(f"{setting}: {message}")
        if (setting, message) not in self.errors:
            self.errors.append((setting, message))

    def run_check(self, setting: str, converter: Callable[[Any], Any], value: Any) -> Any:
        """What check makes of the value, or None where it raises ValueError and faults are collected."""
        try:
            return converter(value)
        except ValueError as error:
            self.add_error(setting, str(error))
            return None
