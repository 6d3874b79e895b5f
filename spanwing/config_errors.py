"""Errors of a configuration: the first one raised, or all of them collected."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any


class ConfigurationError(Exception):
    """A configuration error: one plain line that names the setting."""


class ErrorCollector:
    """Raises the first error as a ConfigurationError; with collects_all, collects all and continues."""

    def __init__(self, collects_all: bool = False) -> None:
        self.collects_all = collects_all
        self.errors: list[tuple[str, str]] = []  # setting and message

    def add_error(self, setting: str, message: str) -> None:
        """Adds an error of a setting, once if it repeats. Raises ConfigurationError unless all errors are
        collected.
        """
        if not self.collects_all:
            raise ConfigurationError(f"{setting}: {message}")
        if (setting, message) not in self.errors:
            self.errors.append((setting, message))

    def run_check(self, setting: str, converter: Callable[[Any], Any], value: Any) -> Any:
        """Returns the converted value, or None if the converter raises ValueError and errors are collected.
        Raises ConfigurationError otherwise.
        """
        try:
            return converter(value)
        except ValueError as error:
            self.add_error(setting, str(error))
            return None
