"""The ids of requests that the frontends accept, over whatever protocol they come."""

from __future__ import annotations

from spanwing.net.http import is_field_value

MAX_REQUEST_ID_LENGTH = 200


def is_request_id(text: str) -> bool:
    """Returns whether a request may have this id.

    It is passed to workers as a header, and as a segment of the target by which its job is given up; `.` and
    `..` would be no segments (RFC 3986, 5.2.4).
    """
    return (
        0 < len(text) <= MAX_REQUEST_ID_LENGTH
        and text.isprintable()
        and " " not in text
        and is_field_value(text)
        and text not in (".", "..")
    )
