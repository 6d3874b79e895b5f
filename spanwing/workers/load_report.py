"""Decoding of workers' load reports: from a header, a callback, or the body of a probe's response."""

from __future__ import annotations

from spanwing.json_input import decode_json

#: By the name of a value on the wire, the scheduler's name for it. Other names are used as they are.
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
    """Decodes load reports to tuples of values, in the order in which the settings name the fields."""

    def __init__(self, field_names: tuple[str, ...]) -> None:
        self.field_names = tuple(REPORT_FIELD_NAMES.get(name, name) for name in field_names)

    def read_values(self, report: dict[str, float] | None) -> tuple[float, ...] | None:
        """Returns the configured values of a report.

        Returns None if the report is absent, if it lacks one of the values, or if no fields are configured.
        """
        if not report or not self.field_names:
            return None
        values = {REPORT_FIELD_NAMES.get(name, name): value for name, value in report.items()}
        if any(name not in values for name in self.field_names):
            return None
        return tuple(values[name] for name in self.field_names)

    def read_text(self, text: str) -> tuple[float, ...] | None:
        """Parses a report of the form `TEXT name=value, name=value` or a JSON object of numbers.

        Returns None if the text is malformed, and where read_values() does.
        """
        try:
            if text.lstrip().startswith("{"):
                return self.read_values(decode_json(text, dict[str, float]))
            pairs = [part.split("=") for part in text.removeprefix("TEXT").split(",") if "=" in part]
            return self.read_values({name.strip(): float(value) for name, value in pairs})
        except ValueError:
            return None
