"""log_event() writes one event a line: as plain text by default, or by structlog in a configured format.

The rate of lines (limit.py) and the memory for queued lines (writer.py) are bounded, and the event loop never
waits for a reader of the log. structlog is imported only by EventLog.open(), that is, only if a format is
configured.
"""

from __future__ import annotations

import logging
import sys
import time
from typing import Any, Literal

from spanwing.log.limit import RateLimiter
from spanwing.log.writer import StderrWriter

LogFormat = Literal["plain", "keys", "json"]
DEFAULT_LINES_PER_S, DEFAULT_BURST_LINES = 5.0, 20.0

fallback_logger = logging.getLogger("spanwing")


class EventLog:
    """The destination of events: the standard library's log until open() is called, then structlog."""

    def __init__(self) -> None:
        self.limiter = RateLimiter(DEFAULT_LINES_PER_S, DEFAULT_BURST_LINES)
        self.writer: StderrWriter | None = None
        self.structlog_logger: Any = None

    def open(self, log_format: LogFormat, lines_per_s: float, fields: dict[str, str]) -> None:
        """Writes events, and records of the standard library's log, by structlog from now on.

        lines_per_s limits the rate of each event; fields are added to each line.
        """
        import structlog

        self.limiter = RateLimiter(
            lines_per_s, max(1.0, lines_per_s * DEFAULT_BURST_LINES / DEFAULT_LINES_PER_S)
        )
        self.writer = StderrWriter()
        shared_processors = [
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
        ]
        renderer = (
            structlog.processors.JSONRenderer()
            if log_format == "json"
            else structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "event"], bool_as_flag=False
            )
        )
        formatter = structlog.stdlib.ProcessorFormatter(
            processor=renderer, foreign_pre_chain=[*shared_processors, structlog.processors.format_exc_info]
        )
        handler = _StderrHandler(self.writer, self.limiter, formatter)
        root = logging.getLogger()
        root.handlers[:] = [handler]
        root.setLevel(logging.INFO)
        structlog.configure(
            processors=[
                structlog.stdlib.filter_by_level,
                *shared_processors,
                _flatten_lists if log_format == "keys" else _keep_fields,
                structlog.stdlib.ProcessorFormatter.wrap_for_formatter,
            ],
            logger_factory=structlog.stdlib.LoggerFactory(),
            wrapper_class=structlog.stdlib.BoundLogger,
        )
        self.structlog_logger = structlog.get_logger("spanwing").bind(**fields)

    def close(self) -> None:
        """Closes the writer, which has CLOSE_TIMEOUT_S (0.5 s) to write the lines still queued."""
        if self.writer is not None:
            self.writer.close()

    def log_event(self, event: str, level: str = "info", rate_limited: bool = True, **fields: Any) -> None:
        """Logs an event with its fields.

        rate_limited is False for events whose number the caller bounds. The first line after suppressed ones
        has their number as the field `left_out`.
        """
        suppressed_lines = self.limiter.admit(event, time.monotonic()) if rate_limited else 0
        if suppressed_lines is None:
            return
        if suppressed_lines:
            fields["left_out"] = suppressed_lines
        fields = {key: escape_control_characters(value) for key, value in fields.items()}
        if self.structlog_logger is not None:
            getattr(self.structlog_logger, level)(event, **fields)
        else:
            getattr(fallback_logger, level)(
                "%s %s", event, " ".join(f"{key}={value}" for key, value in fields.items())
            )


def escape_control_characters(value: Any) -> Any:
    """Returns a text with its unprintable characters escaped; any other value, and each item of a list, too.

    Names of workers and texts of peers come from outside: a line end in one would begin another log line.
    """
    if isinstance(value, list | tuple):
        return [escape_control_characters(each) for each in value]
    if not isinstance(value, str) or value.isprintable():
        return value
    return "".join(
        each if each.isprintable() else each.encode("unicode_escape").decode("ascii") for each in value
    )


def _flatten_lists(_: object, __: str, fields: dict[str, Any]) -> dict[str, Any]:
    """Joins the items of lists by commas, as lines of key=value pairs have no lists."""
    return {
        key: ",".join(map(str, value)) if isinstance(value, list | tuple) else value
        for key, value in fields.items()
    }


def _keep_fields(_: object, __: str, fields: dict[str, Any]) -> dict[str, Any]:
    return fields


class _StderrHandler(logging.Handler):
    """Writes records of the standard library's log, with a rate limit for each message template."""

    def __init__(self, writer: StderrWriter, limiter: RateLimiter, formatter: logging.Formatter) -> None:
        super().__init__()
        self.writer, self.limiter = writer, limiter
        self.setFormatter(formatter)

    def emit(self, record: logging.LogRecord) -> None:
        is_structured = isinstance(record.msg, dict)  # it comes from log_event(), which has limited its rate
        if not is_structured and self.limiter.admit(str(record.msg), time.monotonic()) is None:
            return
        try:
            self.writer.enqueue(self.format(record))
        except Exception:  # a record that cannot be formatted must not raise in the caller
            self.writer.enqueue(f"event=log_fault message={record.msg!r}")


EVENT_LOG = EventLog()
log_event = EVENT_LOG.log_event


def print_line(text: str) -> None:
    """Prints a line on standard error without the log's format, for the operator who starts the daemon."""
    print(f"spanwing: {text}", file=sys.stderr, flush=True)
