"""tell(): one event a line, plain by default, by structlog where the operator's file asks for a form.

Guarantees: rate and memory are bounded (limit.py, writer.py), the loop never waits for a reader; structlog
is loaded only by open_log(). Every change of state is told with its reason.
"""

from __future__ import annotations

import logging
import sys
import time
from typing import Any, Literal

from spanwing.log.limit import Limiter
from spanwing.log.writer import Writer

Form = Literal["plain", "keys", "json"]
PER_SECOND, BURST = 5.0, 20.0

plain = logging.getLogger("spanwing")


class Log:
    """Where events go; opened once by the daemon."""

    def __init__(self) -> None:
        self.limiter = Limiter(PER_SECOND, BURST)
        self.writer: Writer | None = None
        self.structured: Any = None

    def open(self, form: Form, per_second: float, fields: dict[str, str]) -> None:
        """Write by structlog from now on, the standard library's records too; fields stand in each line."""
        import structlog

        self.limiter = Limiter(per_second, max(1.0, per_second * BURST / PER_SECOND))
        self.writer = Writer()
        shared = [structlog.processors.add_log_level, structlog.processors.TimeStamper(fmt="iso", utc=True)]
        render = (
            structlog.processors.JSONRenderer()
            if form == "json"
            else structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "event"], bool_as_flag=False
            )
        )
        formatter = structlog.stdlib.ProcessorFormatter(
            processor=render, foreign_pre_chain=[*shared, structlog.processors.format_exc_info]
        )
        handler = _ToWriter(self.writer, self.limiter, formatter)
        root = logging.getLogger()
        root.handlers[:] = [handler]
        root.setLevel(logging.INFO)
        structlog.configure(
            processors=[
                structlog.stdlib.filter_by_level,
                *shared,
                _flat if form == "keys" else _as_it_is,
                structlog.stdlib.ProcessorFormatter.wrap_for_formatter,
            ],
            logger_factory=structlog.stdlib.LoggerFactory(),
            wrapper_class=structlog.stdlib.BoundLogger,
        )
        self.structured = structlog.get_logger("spanwing").bind(**fields)

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()

    def tell(self, event: str, level: str = "info", bounded: bool = True, **fields: Any) -> None:
        """bounded: false for events whose number the caller bounds."""
        missed = self.limiter.admit(event, time.monotonic()) if bounded else 0
        if missed is None:
            return
        if missed:
            fields["left_out"] = missed
        if self.structured is not None:
            getattr(self.structured, level)(event, **fields)
        else:
            getattr(plain, level)("%s %s", event, " ".join(f"{key}={value}" for key, value in fields.items()))


def _flat(_: object, __: str, fields: dict[str, Any]) -> dict[str, Any]:
    """Lists as one word: a line of key=value has no other place for them."""
    return {
        key: ",".join(map(str, value)) if isinstance(value, list | tuple) else value
        for key, value in fields.items()
    }


def _as_it_is(_: object, __: str, fields: dict[str, Any]) -> dict[str, Any]:
    return fields


class _ToWriter(logging.Handler):
    """Records of the standard library, bounded by their message's text as it stands in the code."""

    def __init__(self, writer: Writer, limiter: Limiter, formatter: logging.Formatter) -> None:
        super().__init__()
        self.writer, self.limiter = writer, limiter
        self.setFormatter(formatter)

    def emit(self, record: logging.LogRecord) -> None:
        ours = isinstance(record.msg, dict)  # of structlog, and bounded by tell() already
        if not ours and self.limiter.admit(str(record.msg), time.monotonic()) is None:
            return
        try:
            self.writer.put(self.format(record))
        except Exception:  # noqa: BLE001 - a line that cannot be formed must not end what it tells of
            self.writer.put(f"event=log_fault message={record.msg!r}")


LOG = Log()
tell = LOG.tell


def say(text: str) -> None:
    """A line to whoever watches the start: plain, on standard error."""
    print(f"spanwing: {text}", file=sys.stderr, flush=True)
