"""One event a line, for operators; see spanwing/log/events.py."""

from spanwing.log.events import tell

__all__ = ["tell"]
