"""Messages between schedulers and the store's members: JSON, one message per line.

The `type` key of a message is its tag. `message_id` is chosen by the sender of a request and repeated in the
reply.
"""

from __future__ import annotations

import msgspec

from spanwing.store.document import Document, DocumentChange

Ballot = tuple[int, str]  # a counter, and the name of the proposing member, which makes the ballot unique
NO_BALLOT: Ballot = (0, "")


class Prepare(msgspec.Struct, tag="prepare"):
    """First phase of CASPaxos: asks an acceptor to promise this ballot."""

    message_id: int = msgspec.field(name="n")
    key: str
    ballot: Ballot


class Accept(msgspec.Struct, tag="accept"):
    """Second phase of CASPaxos: asks an acceptor to accept this value under the ballot."""

    message_id: int = msgspec.field(name="n")
    key: str
    ballot: Ballot
    value: str


class Ping(msgspec.Struct, tag="ping"):
    """Checks that a member answers; the member promises and writes nothing."""

    message_id: int = msgspec.field(name="n")


class ReadRegister(msgspec.Struct, tag="look"):
    """Asks for the state of a register; the member promises and writes nothing."""

    message_id: int = msgspec.field(name="n")
    key: str
    reader: str = msgspec.field(default="", name="by")  # name of the member that reads


class Renew(msgspec.Struct, tag="renew"):
    """Renews a session's lease, acknowledges a revision of the document and reports evidence."""

    message_id: int = msgspec.field(name="n")
    session: str
    zone: str
    position: int
    acknowledged_revision: int = msgspec.field(name="seen")
    evidence: msgspec.Raw = msgspec.field(default=msgspec.Raw(b"null"), name="payload")
    is_forwarded: bool = msgspec.field(default=False, name="passed")  # by a member that does not lead
    #: The vote on a change of the fleet's policy; null: none.
    policy_vote: msgspec.Raw = msgspec.field(default=msgspec.Raw(b"null"), name="says")


class SubmitOrder(msgspec.Struct, tag="submit"):
    """Submits an operator's order to the leader."""

    message_id: int = msgspec.field(name="n")
    session: str
    order: msgspec.Raw
    is_forwarded: bool = msgspec.field(default=False, name="passed")


class RenewalReply(msgspec.Struct, tag="granted"):
    """Answers a Renew: grants a lease, or rejects the renewal if lease_ms is 0.

    The lease runs from when the Renew was sent.
    """

    message_id: int = msgspec.field(name="n")
    lease_ms: float = 0.0
    reason: str = msgspec.field(default="", name="why")  # why no lease is granted
    #: Every change after the acknowledged revision; None if the history lacks some, which sets `document`.
    changes: tuple[DocumentChange, ...] | None = None
    document: Document | None = msgspec.field(default=None, name="whole")
    #: Zones that the scheduler should probe.
    zones_to_probe: tuple[str, ...] = msgspec.field(default=(), name="look")
    permit_ms: float = 0.0  # duration of the policy permit, which runs as the lease does; 0: none


class OrderResult(msgspec.Struct, tag="done"):
    """Answers a SubmitOrder: whether the order was carried out, and a text for the operator."""

    message_id: int = msgspec.field(name="n")
    is_accepted: bool = msgspec.field(name="ok")
    text: str


class RegisterReply(msgspec.Struct, tag="reply"):
    """Answers Prepare, Accept, ReadRegister and Ping: whether it is granted, and the register's state."""

    message_id: int = msgspec.field(name="n")
    is_granted: bool = msgspec.field(name="granted")
    promised_ballot: Ballot = msgspec.field(name="promised")
    accepted_ballot: Ballot = msgspec.field(default=NO_BALLOT, name="accepted")
    value: str | None = None


class Register(msgspec.Struct):
    """The state of one key at one member, as its acceptor stores it."""

    key: str
    promised_ballot: Ballot = msgspec.field(default=NO_BALLOT, name="promised")
    accepted_ballot: Ballot = msgspec.field(default=NO_BALLOT, name="accepted")
    value: str | None = None
