"""Load reports of job workers: in a header, in a call-back object or as a probe's body."""

from __future__ import annotations

import msgspec

#: The names of a report's values on the sockets, in the module's words.
REPORT_FIELD_NAMES = {
    "x0": "free_slots",
    "x1": "free_memory",
    "rif": "inflight",
    "q": "queue",
    "lat_ms": "latency_ms",
    "busy": "util",
    "rate": "qps",
    "fail_rate": "eps",
}


class LoadReportReader:
    """Gives the values in the order in which the settings name them."""

    def __init__(self, field_names: tuple[str, ...]) -> None:
        self.field_names = tuple(REPORT_FIELD_NAMES.get(name, name) for name in field_names)

    def read_values(self, report: dict[str, float] | None) -> tuple[float, ...] | None:
        """None where the report is absent or lacks a value."""
        if not report or not self.field_names:
            return None
        named = {REPORT_FIELD_NAMES.get(name, name): value for name, value in report.items()}
        if any(name not in named for name in self.field_names):
            return None
        return tuple(named[name] for name in self.field_names)

    def read_text(self, text: str) -> tuple[float, ...] | None:
        """Read `TEXT name=value, name=value` or a JSON object of numbers."""
        try:
            if text.lstrip().startswith("{"):
                return self.read_values(msgspec.json.decode(text, type=dict[str, float]))
            pairs = [part.split("=") for part in text.removeprefix("TEXT").split(",") if "=" in part]
            return self.read_values({name.strip(): float(value) for name, value in pairs})
        except ValueError:
            return None
