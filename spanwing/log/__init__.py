"""Logs structured events for operators, one event a line; see spanwing/log/events.py."""

from spanwing.log.events import log_event

__all__ = ["log_event"]
