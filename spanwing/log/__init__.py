"""Logs events for operators, one a line; see spanwing/log/events.py."""

from spanwing.log.events import log_event

__all__ = ["log_event"]
