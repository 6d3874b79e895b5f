"""The failures of a call to discovery."""

from __future__ import annotations

import enum


class CallFailure(enum.StrEnum):
    """Why a call returned no endpoint list."""

    NO_SOCKET = "no_socket"  # the system could not create a socket
    CONNECT_TIMEOUT = "connect_timeout"
    CONNECT_FAILED = "connect_failed"
    NO_ANSWER = "no_answer"  # no byte arrived before the timeout
    STALLED = "stalled"  # the answer began but was not complete before its deadline
    CLOSED = "closed"  # the connection ended before the answer began
    CUT_OFF = "cut_off"  # the connection ended within the answer
    MALFORMED = "malformed"  # the answer is not valid HTTP
    TOO_LARGE = "too_large"  # the list exceeds MAX_LIST_BYTES
    STATUS = "status"  # the status of the answer is not 200
    UNREADABLE = "unreadable"  # the body is not a valid endpoint list


#: Failures that show that discovery serves no scheduler at all, or cannot be reached. The discovery protocol
#: rejects a call with 503 or a connection reset.
UNREACHABLE_FAILURES = frozenset(
    {
        CallFailure.CONNECT_TIMEOUT,
        CallFailure.CONNECT_FAILED,
        CallFailure.CLOSED,
        CallFailure.STATUS,
    }
)
