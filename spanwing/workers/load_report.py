"""Load reports of workers: in a header, in a callback object or as the body of a probe's response."""

from __future__ import annotations

import msgspec

#: Names of a report's values on the wire, and the scheduler's names for them.
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
    """Returns a report's values in the order in which the settings name them."""

    def __init__(self, field_names: tuple[str, ...]) -> None:
        self.field_names = tuple(REPORT_FIELD_NAMES.get(name, name) for name in field_names)

    def read_values(self, report: dict[str, float] | None) -> tuple[float, ...] | None:
        """Returns the values, or None if the report is absent or lacks one."""
        if not report or not self.field_names:
            return None
        named = {REPORT_FIELD_NAMES.get(name, name): value for name, value in report.items()}
        if any(name not in named for name in self.field_names):
            return None
        return tuple(named[name] for name in self.field_names)

    def read_text(self, text: str) -> tuple[float, ...] | None:
        """Parses `TEXT name=value, name=value` or a JSON object of numbers; None if it cannot."""
        try:
            if text.lstrip().startswith("{"):
                return self.read_values(msgspec.json.decode(text, type=dict[str, float]))
            pairs = [part.split("=") for part in text.removeprefix("TEXT").split(",") if "=" in part]
            return self.read_values({name.strip(): float(value) for name, value in pairs})
        except ValueError:
            return None
