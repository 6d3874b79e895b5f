"""What proposers and acceptors say to each other; JSON, one message a line."""

from __future__ import annotations

import msgspec

Ballot = tuple[int, str]  # a counter and the proposing member, which makes it unique
NONE: Ballot = (0, "")


class Prepare(msgspec.Struct, tag="prepare"):
    n: int
    key: str
    ballot: Ballot


class Accept(msgspec.Struct, tag="accept"):
    n: int
    key: str
    ballot: Ballot
    value: str


class Ping(msgspec.Struct, tag="ping"):
    """Asks for a sign of life; nothing is promised and nothing written."""

    n: int


class Reply(msgspec.Struct, tag="reply"):
    """Whether it was granted, and what the register holds."""

    n: int
    granted: bool
    promised: Ballot
    accepted: Ballot = NONE
    value: str | None = None


class Register(msgspec.Struct):
    """One key at one member."""

    key: str
    promised: Ballot = NONE
    accepted: Ballot = NONE
    value: str | None = None
