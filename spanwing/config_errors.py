"""The error of a configuration, and the collector that raises the first error or collects all of them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any


class ConfigurationError(Exception):
    """An error in the configuration; the text is one line that begins with the setting."""


class ErrorCollector:
    """Raises ConfigurationError for the first error, or collects all errors if collects_all is set."""

    def __init__(self, collects_all: bool = False) -> None:
        self.collects_all = collects_all
        self.errors: list[tuple[str, str]] = []  # setting and message

    def add_error(self, setting: str, message: str) -> None:
        """Adds an error of a setting, unless the same error was added before.

        Raises ConfigurationError if errors are not collected.
        """
        if not self.collects_all:
            raise ConfigurationError(f"{setting}: {message}")
        if (setting, message) not in self.errors:
            self.errors.append((setting, message))

    def run_check(self, setting: str, converter: Callable[[Any], Any], value: Any) -> Any:
        """Returns converter(value). A ValueError of the converter becomes an error of the setting.

        Returns None after an error if errors are collected; otherwise raises ConfigurationError.
        """
        try:
            return converter(value)
        except ValueError as error:
            self.add_error(setting, str(error))
            return None
