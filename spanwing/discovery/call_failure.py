"""Why a call to discovery brought no endpoint list."""

from __future__ import annotations

import enum


class CallFailure(enum.StrEnum):
    """Why a call brought no list."""

    NO_SOCKET = "no_socket"  # the system gave none
    CONNECT_TIMEOUT = "connect_timeout"
    CONNECT_FAILED = "connect_failed"
    NO_ANSWER = "no_answer"  # no byte within the time allowed
    STALLED = "stalled"  # the answer began and was not complete within the time allowed
    CLOSED = "closed"  # the connection ended before the answer began
    CUT_OFF = "cut_off"  # the connection ended within the answer
    MALFORMED = "malformed"  # no HTTP
    TOO_LARGE = "too_large"  # a list beyond MAX_LIST_BYTES
    STATUS = "status"  # an answer that is not 200
    UNREADABLE = "unreadable"  # no endpoint list


#: Failures that show that discovery answers nobody, or that nothing reaches it; by the protocol page a call
#: that fails ends with 503 or a reset.
UNREACHABLE_FAILURES = frozenset(
    {
        CallFailure.CONNECT_TIMEOUT,
        CallFailure.CONNECT_FAILED,
        CallFailure.CLOSED,
        CallFailure.STATUS,
    }
)
