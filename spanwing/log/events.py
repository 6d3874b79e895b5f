"""tell(): one event a line, plain by default, by structlog where the operator's file asks for a form.

Guarantees: rate and memory are bounded (limit.py, writer.py), the loop never waits for a reader; structlog
is loaded only by open_log(). Every change of state is told with its reason.
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
    """Where events go; opened once by the daemon."""

    def __init__(self) -> None:
        self.limiter = RateLimiter(DEFAULT_LINES_PER_S, DEFAULT_BURST_LINES)
        self.writer: StderrWriter | None = None
        self.structured: Any = None

    def open(self, log_format: LogFormat, lines_per_s: float, fields: dict[str, str]) -> None:
        """Write by structlog from now on, the standard library's records too; fields stand in each line."""
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
        self.structured = structlog.get_logger("spanwing").bind(**fields)

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()

    def log_event(self, event: str, level: str = "info", rate_limited: bool = True, **fields: Any) -> None:
        """bounded: false for events whose number the caller bounds."""
        left_out = self.limiter.admit(event, time.monotonic()) if rate_limited else 0
        if left_out is None:
            return
        if left_out:
            fields["left_out"] = left_out
        if self.structured is not None:
            getattr(self.structured, level)(event, **fields)
        else:
            getattr(fallback_logger, level)(
                "%s %s", event, " ".join(f"{key}={value}" for key, value in fields.items())
            )


def _flatten_lists(_: object, __: str, fields: dict[str, Any]) -> dict[str, Any]:
    """Lists as one word: a line of key=value has no other place for them."""
    return {
        key: ",".join(map(str, value)) if isinstance(value, list | tuple) else value
        for key, value in fields.items()
    }


def _keep_fields(_: object, __: str, fields: dict[str, Any]) -> dict[str, Any]:
    return fields


class _StderrHandler(logging.Handler):
    """Records of the standard library, bounded by their message's text as it stands in the code."""

    def __init__(self, writer: StderrWriter, limiter: RateLimiter, formatter: logging.Formatter) -> None:
        super().__init__()
        self.writer, self.limiter = writer, limiter
        self.setFormatter(formatter)

    def emit(self, record: logging.LogRecord) -> None:
        is_structured = isinstance(record.msg, dict)  # of structlog, and bounded by tell() already
        if not is_structured and self.limiter.admit(str(record.msg), time.monotonic()) is None:
            return
        try:
            self.writer.enqueue(self.format(record))
        except Exception:  # noqa: BLE001 - a line that cannot be formed must not end what it tells of
            self.writer.enqueue(f"event=log_fault message={record.msg!r}")


EVENT_LOG = EventLog()
log_event = EVENT_LOG.log_event


def print_line(text: str) -> None:
    """A line to whoever watches the start: plain, on standard error."""
    print(f"spanwing: {text}", file=sys.stderr, flush=True)
