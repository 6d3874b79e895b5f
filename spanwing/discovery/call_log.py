"""Log events for calls to discovery."""

from __future__ import annotations

from spanwing.discovery.call import CallResult
from spanwing.log.events import log_event


def log_list(since: int | None, result: CallResult) -> None:
    """Logs a list unless it holds no change; since is the revision that was requested."""
    endpoints = result.endpoints
    if not endpoints.members and not endpoints.complete:
        return  # the hold time of the poll ran out without a change
    log_event(
        "discovery_list",
        since=since,
        revision=endpoints.revision,
        complete=endpoints.complete,
        members=len(endpoints.members),
        not_active=sum(each.phase != "active" for each in endpoints.members),
        took_s=round(result.ended_s - result.began_s, 3),
        received_bytes=result.received_bytes,
    )


def log_failure(since: int | None, result: CallResult, retry_s: float) -> None:
    """Logs a failed call; retry_s is the pause before the next call."""
    last_byte_s = None if result.last_byte_s is None else round(result.last_byte_s - result.began_s, 3)
    log_event(
        "discovery_call_failed",
        level="warning",
        reason=str(result.failure),
        since=since,
        took_s=round(result.ended_s - result.began_s, 3),
        last_byte_s=last_byte_s,
        received_bytes=result.received_bytes,
        detail=result.detail,
        retry_s=round(retry_s, 3),
    )
