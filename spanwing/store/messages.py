"""What proposers and acceptors say to each other; JSON, one message a line."""

from __future__ import annotations

import msgspec

from spanwing.store.document import Document, DocumentChange

Ballot = tuple[int, str]  # a counter and the proposing member, which makes it unique
NO_BALLOT: Ballot = (0, "")


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


class ReadRegister(msgspec.Struct, tag="look"):
    """Asks what a register holds; nothing is promised and nothing written."""

    n: int
    key: str
    reader: str = msgspec.field(default="", name="by")  # the member that reads


class Renew(msgspec.Struct, tag="renew"):
    """A scheduler renews its session's lease, names the revision that it follows, and brings what it saw."""

    n: int
    session: str
    zone: str
    position: int
    acknowledged_revision: int = msgspec.field(name="seen")
    evidence: msgspec.Raw = msgspec.field(default=msgspec.Raw(b"null"), name="payload")
    passed: bool = False  # by a member that does not keep
    policy_vote: msgspec.Raw = msgspec.field(
        default=msgspec.Raw(b"null"), name="says"
    )  # of the policy, where that is the fleet's


class SubmitOrder(msgspec.Struct, tag="submit"):
    """An order for the keeper."""

    n: int
    session: str
    order: msgspec.Raw
    passed: bool = False


class RenewalGranted(msgspec.Struct, tag="granted"):
    """Answers a Renew: the lease counts from when that was sent; 0: none is granted here and now."""

    n: int
    lease_ms: float = 0.0
    reason: str = msgspec.field(default="", name="why")  # where none is granted
    changes: tuple[DocumentChange, ...] | None = None  # all that came after `seen`; None: `whole` is there
    document: Document | None = msgspec.field(default=None, name="whole")
    zones_to_probe: tuple[str, ...] = msgspec.field(
        default=(), name="look"
    )  # what the keeper would have this scheduler look at
    permit_ms: float = 0.0  # to take jobs under the policy in force, counted as the lease is


class OrderResult(msgspec.Struct, tag="done"):
    """Answers a Submit."""

    n: int
    is_accepted: bool = msgspec.field(name="ok")
    text: str


class RegisterReply(msgspec.Struct, tag="reply"):
    """Whether it was granted, and what the register holds."""

    n: int
    is_granted: bool = msgspec.field(name="granted")
    promised_ballot: Ballot = msgspec.field(name="promised")
    accepted_ballot: Ballot = msgspec.field(default=NO_BALLOT, name="accepted")
    value: str | None = None


class Register(msgspec.Struct):
    """One key at one member."""

    key: str
    promised: Ballot = NO_BALLOT
    accepted_ballot: Ballot = msgspec.field(default=NO_BALLOT, name="accepted")
    value: str | None = None
