"""Messages between schedulers and the store's members: JSON, one message per line."""

from __future__ import annotations

import msgspec

from spanwing.store.document import Document, DocumentChange

Ballot = tuple[int, str]  # a counter and the proposing member, which makes it unique
NO_BALLOT: Ballot = (0, "")


class Prepare(msgspec.Struct, tag="prepare"):
    """CASPaxos, first phase: asks for a promise for this ballot."""

    message_id: int = msgspec.field(name="n")
    key: str
    ballot: Ballot


class Accept(msgspec.Struct, tag="accept"):
    """CASPaxos, second phase: asks to accept this value under the ballot."""

    message_id: int = msgspec.field(name="n")
    key: str
    ballot: Ballot
    value: str


class Ping(msgspec.Struct, tag="ping"):
    """Asks for a sign of life; nothing is promised or written."""

    message_id: int = msgspec.field(name="n")


class ReadRegister(msgspec.Struct, tag="look"):
    """Asks for a register's state; nothing is promised or written."""

    message_id: int = msgspec.field(name="n")
    key: str
    reader: str = msgspec.field(default="", name="by")  # the member that reads


class Renew(msgspec.Struct, tag="renew"):
    """Renews a session's lease, acknowledges the revision that it follows, and brings its evidence."""

    message_id: int = msgspec.field(name="n")
    session: str
    zone: str
    position: int
    acknowledged_revision: int = msgspec.field(name="seen")
    evidence: msgspec.Raw = msgspec.field(default=msgspec.Raw(b"null"), name="payload")
    passed: bool = False  # forwarded by a member that does not lead
    policy_vote: msgspec.Raw = msgspec.field(
        default=msgspec.Raw(b"null"), name="says"
    )  # vote on the fleet's policy; null: none


class SubmitOrder(msgspec.Struct, tag="submit"):
    """Submits an operator's order to the leader."""

    message_id: int = msgspec.field(name="n")
    session: str
    order: msgspec.Raw
    passed: bool = False


class RenewalReply(msgspec.Struct, tag="granted"):
    """Answers a Renew; the lease counts from when that was sent. lease_ms 0: none is granted."""

    message_id: int = msgspec.field(name="n")
    lease_ms: float = 0.0
    reason: str = msgspec.field(default="", name="why")  # if no lease is granted
    changes: tuple[DocumentChange, ...] | None = (
        None  # all after the acknowledged revision; None: see document
    )
    document: Document | None = msgspec.field(default=None, name="whole")
    zones_to_probe: tuple[str, ...] = msgspec.field(
        default=(), name="look"
    )  # zones that the leader wants this scheduler to probe
    permit_ms: float = 0.0  # permit under the policy in force, counted as the lease is


class OrderResult(msgspec.Struct, tag="done"):
    """Answers a SubmitOrder."""

    message_id: int = msgspec.field(name="n")
    is_accepted: bool = msgspec.field(name="ok")
    text: str


class RegisterReply(msgspec.Struct, tag="reply"):
    """Answers Prepare, Accept, ReadRegister and Ping: whether granted, and the register's state."""

    message_id: int = msgspec.field(name="n")
    is_granted: bool = msgspec.field(name="granted")
    promised_ballot: Ballot = msgspec.field(name="promised")
    accepted_ballot: Ballot = msgspec.field(default=NO_BALLOT, name="accepted")
    value: str | None = None


class Register(msgspec.Struct):
    """The state of one key at one member."""

    key: str
    promised: Ballot = NO_BALLOT
    accepted_ballot: Ballot = msgspec.field(default=NO_BALLOT, name="accepted")
    value: str | None = None
