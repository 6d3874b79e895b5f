"""The golden forms: which object each name stands for, and the codec that the program uses for it.

This file and golden_folders.py are the only places of these tests that use names of the program: a rename in
the program is followed here, and never in tests/golden/. `full` sets every field to something other than its
default, `least` only the fields that have none. Structs that go by position are built by keyword, or a swap
of two fields would not be seen.

To rename a field that is stored by name, keep its old name with msgspec.field(name=...); a class keeps its
tag. Envelope is a dataclass, which has no such names: its fields are stored as they are called.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from spanwing import interface as api
from spanwing import settings
from spanwing.choice import Dispatcher
from spanwing.core.messages import Envelope
from spanwing.handover import learned, messages
from spanwing.hops.transportmap import Member, MemberList
from spanwing.journal import records, snapshot
from spanwing.policy import chair, kept, minds, record
from spanwing.state import Attempt, Job, View
from spanwing.store import claims, document, keeper, peer, shared
from spanwing.store import messages as store_messages
from spanwing.zones import evidence, state, steward

MODULES = (
    records,
    snapshot,
    store_messages,
    document,
    keeper,
    claims,
    shared,
    state,
    evidence,
    steward,
    record,
    chair,
    minds,
    kept,
    messages,
    settings,
)  # every struct that one of these defines has a golden form
NOT_STORED = {records.Record, state.Fleet, record.Policy}  # a base, and what is made of a document


class Subject(NamedTuple):
    """Objects with one codec; `decode` may be one function for all, or find the type by the object's own."""

    encode: Callable[[Any], bytes]
    decode: Callable[[bytes, type], Any]
    objects: dict[str, Any]
    binary: bool = False


def _json_bytes(value: object) -> bytes:
    return msgspec.json.encode(value)


def _json_value(data: bytes, kind: Any) -> Any:
    return msgspec.json.decode(data, type=kind)


_REQUEST, _RESPONSE = msgspec.json.Decoder(peer.Request), msgspec.json.Decoder(peer.Response)


def _peer_value(data: bytes, kind: type) -> Any:
    return (_RESPONSE if kind in _RESPONSES else _REQUEST).decode(data)


_RESPONSES = (store_messages.Reply, store_messages.Granted, store_messages.Done)


def _journal_records() -> dict[str, Any]:
    request = {"request": "job-1", "wall_ms": 1700000000123.5, "mono_ms": 5000.25}
    life = {"request": "", "wall_ms": 1700000000000.0, "mono_ms": 4000.0}
    names = {
        "started": (
            records.Started,
            life,
            {"name": "scheduler-a", "life": "0123456789abcdef", "certain": False},
        ),
        "taken": (records.Taken, request, _TAKEN),
        "intent": (
            records.Intent,
            request,
            {"attempt": 2, "worker": "worker-1", "address": "127.0.0.1:4001"},
        ),
        "last byte": (records.LastByte, request, {"attempt": 2}),
        "unsent": (records.Unsent, request, {"attempt": 2, "why": "unreachable"}),
        "given up": (records.GivenUp, request, {"attempt": 2, "why": "deadline"}),
        "outcome": (records.Outcome, request, {"attempt": 2, "result": "ok"}),
        "answered": (records.Answered, request, {"kind": "served"}),
        "closed": (records.Closed, request, {"attempt": 2, "worker": "worker-1"}),
        "gap": (records.Gap, life, {"since_wall_ms": 1699999999000.5, "count": 7, "why": "the disk is slow"}),
    }
    full = {f"{name} full": kind(**common, **own) for name, (kind, common, own) in names.items()}
    return full | {f"{name} least": kind(**common) for name, (kind, common, _) in names.items()}


_TAKEN = {
    "cls": "schedule-apply",
    "tenant": "corrib",
    "key": "key-1",
    "front": "platform",
    "budget_ms": 25000.5,
}
_CHANGE = document.Change(revision=8, id="change-8", writes={"zone/galway": '{"state":"left"}', "deal": None})
_ENTRY = document.Entry(value='{"member":"a","term":3}', revision=7)
_DOCUMENT = document.Document(8, {"keeper": _ENTRY}, (_CHANGE,))


def _store_messages() -> dict[str, Any]:
    own = store_messages
    ballot, raw = (4, "member-b"), msgspec.Raw
    return {
        "prepare full": own.Prepare(1, "claim/job-1", ballot),
        "accept full": own.Accept(2, "claim/job-1", ballot, "value"),
        "ping full": own.Ping(3),
        "look full": own.Look(4, "fleet", "member-b"),
        "look least": own.Look(4, "fleet"),
        "renew full": own.Renew(
            5,
            "a.01",
            "galway",
            2,
            8,
            raw(b'[{"galway":[[1],[2],3.5,4.5]}]'),
            True,
            raw(b'[true,"change-1","no"]'),
        ),
        "renew least": own.Renew(5, "a.01", "galway", 2, 8),
        "submit full": own.Submit(6, "a.01", raw(b'{"do":"leave","name":"galway"}'), True),
        "submit least": own.Submit(6, "a.01", raw(b'{"do":"leave","name":"galway"}')),
        "granted full": own.Granted(7, 900.5, "why", (_CHANGE,), _DOCUMENT, ("galway",), 60000.5),
        "granted least": own.Granted(7),
        "done full": own.Done(8, True, "ordered"),
        "reply full": own.Reply(9, True, ballot, (3, "member-a"), "value"),
        "reply least": own.Reply(9, True, ballot),
    }


def _store_values() -> dict[str, Any]:
    register = store_messages.Register
    return {
        "register full": register("fleet", (4, "member-b"), (3, "member-a"), "value"),
        "register least": register("fleet"),
        "entry full": _ENTRY,
        "change full": _CHANGE,
        "document full": _DOCUMENT,
        "document least": document.Document(),
        "txn full": document.Txn("txn-1", {"deal": "x", "zone/galway": None}, {"deal": 4}),
        "txn least": document.Txn("txn-1", {"deal": "x"}),
        "keeps full": keeper.Keeps("member-a", 3),
        "claim full": claims.Claim("0123456789abcdef", "served"),
        "shared full": shared.Shared(3, '{"a":1}'),
    } | {f"claim {name}": claims.Claim("01", name) for name in ("claimed", "failed", "refused")}


_ZONE_PAST = {
    "number": 9,
    "wall_ms": 1700000000123.5,
    "zone": "galway",
    "state": "left",
    "step": 1,
    "reason": "silent",
    "author": "member-a",
}
_WORDS = evidence.Words(good=[1, 2], bad=[3], held=4.5, idle=5.5)


def _zones() -> dict[str, Any]:
    return {
        "zone full": state.Zone(
            "returning", 2, 0.5, True, True, 3, "silent", "member-a", {"17": 1700000000123.5}
        ),
        "zone least": state.Zone(),
        "deal full": state.Deal(4, ["a.01"], ["b.02"], True),
        "deal least": state.Deal(4, ["a.01"]),
        "past full": state.Past(**_ZONE_PAST, share=0.25),
        "past least": state.Past(**_ZONE_PAST),
        "words full": _WORDS,
        "words least": evidence.Words(good=[1, 2], bad=[3]),
        "report full": evidence.Report(zones={"galway": _WORDS}),
        "order full": steward.Order("leave", "galway", 30.5, "operator at a"),
        "order least": steward.Order("return", "galway"),
    } | {f"zone {name}": state.Zone(name) for name in ("leaving", "left")}


def _policy() -> dict[str, Any]:
    version = record.Version(3, "0123456789abcdef", '{"a":1}', "operator", "more room", 1700000000123.5)
    change = record.Change("change-1", "closing", 60000.5, ["b.02"], 2)
    past = record.Past(
        number=3,
        wall_ms=1700000000123.5,
        taken=True,
        reason="more room",
        author="operator",
        digest="0123456789abcdef",
    )
    return {
        "version full": version,
        "version least": record.Version(),
        "change full": change,
        "change least": record.Change("change-1", "asking", 60000.5),
        "past full": past,
        "says full": chair.Says(wants=True, change="change-1", no="no"),
        "says least": chair.Says(),
        "order full": minds.PolicyOrder("propose", '{"a":1}', 2, "operator at a", "more room", 30.5, ["b"]),
        "order least": minds.PolicyOrder("abort"),
        "order waits": minds.PolicyOrder("waits"),
        "permit full": kept.Permit(3, 5000.5, "0b0b0b0b-0000-4000-8000-000000000001"),
    }


_SEEN = messages.WorkerSeen(
    id=11,
    total=4.5,
    learned=True,
    held=2,
    others=1.5,
    seen=90.5,
    heard=80.5,
    tells=False,
    rest_until=70.5,
    strikes=3,
    limit=2.5,
    peak=6.5,
    no_raise=60.5,
    pace=1.25,
    sent=[(50.5, 40.5)],
)
_NEVER_SEEN = messages.WorkerSeen(
    id=12,
    total=4.5,
    learned=False,
    held=0,
    others=0.0,
    seen=None,
    heard=0.0,
    tells=False,
    rest_until=0.0,
    strikes=0,
    limit=None,
    peak=0.0,
    no_raise=0.0,
    pace=1.0,
    sent=[],
)
_MEMBER = Member("worker-1", "127.0.0.1:4001", "galway", "large", 7, "leaving", 8.5, 1700000000123.5)
_ENVELOPE = Envelope(
    "job-1",
    "schedule-apply",
    25000.5,
    "corrib",
    2,
    3.5,
    4.5,
    "route-1",
    True,
    "PUT",
    "/run",
    b"body",
    "key-1",
    "application/json",
    "platform",
)
_PASSED = messages.Passed(b"read already", True, True, "127.0.0.1:5001")
_TRIED = messages.Tried(worker=11, at=1.5, open=False, started=2.5, noted=3.5, proof=True)


def _handover() -> dict[str, Any]:
    own = messages
    plain = own.Passed(b"", False, False, "")
    return {
        "hello full": own.Hello(own.VERSION),
        "held full": own.Held(100, 200),
        "ready full": own.Ready(),
        "workers full": own.Workers([_MEMBER], [_SEEN, _NEVER_SEEN]),
        "workers plain": own.Workers([Member("worker-1")], []),
        "learned full": own.Learned(
            7,
            "127.0.0.1:6001",
            1.5,
            {"schedule-apply": 2.5},
            {"galway": 3.5},
            {"large": 4.5},
            0.5,
            0.25,
            True,
            {"corrib": (1.5, 2.5, 3.5)},
        ),
        "learned plain": own.Learned(None, "", 0.0, {}, {}, {}, 0.0, 0.0, False, {}),
        "ids full": own.Ids(["job-1"], ["job-2"]),
        "ids least": own.Ids(),
        "over full": own.Over(),
        "called full": own.Called("worker-1", "job-1", "done", b"body", (1.5, 2.5)),
        "called plain": own.Called("worker-1", "job-1", "started", b"", None),
        "passed full": _PASSED,
        "moved full": own.Moved(
            _PASSED, True, _ENVELOPE, 1.5, 2.5, True, True, 3, [_TRIED], "worker-1", "127.0.0.1:4001", 4.5
        ),
        "moved least": own.Moved(
            plain, False, Envelope("job-1", "schedule-apply", 1.5), 1.5, 2.5, False, False, 0, []
        ),
        "bye full": own.Bye(),
        "state of workers": own.Workers([], [learned.of_worker(_view()), learned.of_worker(_unseen())]),
        "state of workers, told on": own.Workers(
            [], [msgspec.structs.replace(_SEEN, held=0, others=3.5, seen=100.5), _NEVER_SEEN]
        ),
        "state of the module": learned.of_module(_dispatcher(), 7, "127.0.0.1:6001"),
        "state of a job": own.Moved(
            plain, False, _ENVELOPE, 1.5, 2.5, False, False, 1, learned.of_job(_job())
        ),
    }


def _parts() -> dict[str, Any]:
    """What stands within the messages of the handover."""
    return {
        "worker seen full": _SEEN,
        "worker never seen": _NEVER_SEEN,
        "tried full": _TRIED,
        "member full": _MEMBER,
        "member least": Member("worker-1"),
        "envelope full": _ENVELOPE,
        "envelope least": Envelope("job-1", "schedule-apply", 1.5),
    }


def _view() -> View:
    view = View(
        entry=api.Worker(11),
        owner=0.0,
        total=4.5,
        home=False,
        learned=True,
        held=2,
        running=1,
        memory=5.5,
        peak=6.5,
        no_raise=60.5,
        others=1.5,
        seen=90.5,
        asked=95.5,
        heard=80.5,
        tells=False,
        rest_until=70.5,
        strikes=3,
        limit=2.5,
        size=7.5,
        pace=1.25,
    )
    view.sent.append((50.5, 40.5))
    return view


def _unseen() -> View:
    return View(api.Worker(12), 0.0, 4.5)


def _dispatcher() -> Dispatcher:
    cls = api.ServiceClass("schedule-apply", aim=300.0, deadline=5000.0)
    told = api.Settings(
        (cls,), zone="galway", zones=("galway", "sligo"), tenants=(api.Tenant("corrib", 2.0),)
    )
    module = Dispatcher(told, 1, 1.5)
    module.work, module.kinds, module.busy, module.keys, module.accepts = (
        [2.5],
        {"large": 4.5},
        0.75,
        0.25,
        True,
    )
    ledger = module.ledgers["corrib"]
    ledger.earned, ledger.spent, ledger.credit = 1.5, 2.5, 3.5
    return module


def _job() -> Job:
    request = api.Request("job-1", "schedule-apply", 25000.0)
    job = Job(request, api.ServiceClass("schedule-apply", aim=300.0, deadline=5000.0), 0, 1.5)
    job.attempts.append(
        Attempt(job=job, view=_view(), at=1.5, open=False, started=2.5, noted=3.5, proof=True)
    )
    return job


def taken_over(workers: bytes, module: bytes) -> tuple[bytes, bytes]:
    """The state of a fresh module after it took over these two messages, told on in the same form."""
    told, of_all = messages.decode(workers), messages.decode(module)
    fresh = Dispatcher(_dispatcher().set, 2, 0.0)
    learned.into_module(fresh, of_all, 0.0)
    views = []
    for seen in told.seen:
        view = View(api.Worker(seen.id), 0.0, 1.0)
        learned.into_worker(view, seen, 100.5)
        views.append(learned.of_worker(view))
    return (
        messages.encode(messages.Workers([], views)),
        messages.encode(learned.of_module(fresh, of_all.revision, of_all.discovery)),
    )


def _snapshot_parts() -> dict[str, Any]:
    attempt = snapshot.KeptAttempt(
        number=2,
        worker="worker-1",
        address="127.0.0.1:4001",
        intent_ms=1.5,
        last_byte_ms=2.5,
        unsent="unreachable",
        given_up="deadline",
        result="ok",
        closed=True,
    )
    taken = records.Taken(request="job-1", wall_ms=1.5, mono_ms=2.5, **_TAKEN)
    request = snapshot.KeptRequest(
        id="job-1",
        first=9,
        taken=taken,
        answer="served",
        answered_ms=3.5,
        cut_short=True,
        attempts=[attempt],
        doubtful=False,
    )
    return {
        "kept attempt full": attempt,
        "kept request full": request,
    }


def _settings() -> dict[str, Any]:
    """What a policy's text in the store is read as, and the list of job workers in a settings file."""
    own = settings
    cls = own.Class("bill", 300.5, 5000.5, 2.5, 0.5, 1.5, "keyed", "zone", 4000.5, True)
    org = own.Org("corrib", 2.5)
    report = own.Report(["rif", "q", "x0"], "header")
    permissions = own.Permissions(True, True, True, 5, True, 900.5, 14000.5, 240.5)
    rules = own.Rules(16.5, 500.5, 9000.5, 0.25, 10000.5, 3.5, 1000.5)
    specifics = own.Specifics([1], [2], [1.25], "mb", "priority", "free slots", "free memory", True, 100.5)
    options = own.Options(
        classes=[cls],
        position=2,
        balancers=3,
        zone="galway",
        areas=["galway", "sligo"],
        kinds=["small", "large"],
        orgs=[org],
        over_share_worth=0.5,
        tick_ms=1.5,
        discovery="subscribe",
        weight_source="live",
        report=report,
        permissions=permissions,
        rules=rules,
        specifics=specifics,
    )
    return {
        "class full": cls,
        "class least": own.Class("bill", 300.5, 5000.5),
        "org full": org,
        "report full": report,
        "report least": own.Report(),
        "permissions full": permissions,
        "permissions least": own.Permissions(),
        "rules full": rules,
        "rules least": own.Rules(),
        "specifics full": specifics,
        "specifics least": own.Specifics(),
        "options full": options,
        "options least": own.Options([]),
        "member full": _MEMBER,
        "member least": Member("worker-1"),
        "member list full": MemberList(7, True, [_MEMBER]),
        "member list least": MemberList(),
    }


def settings_read(text: bytes) -> list[Any]:
    """What the module is told at its start, from a policy's text, by position."""
    made = settings.settings_of(msgspec.json.decode(text, type=settings.Options))
    return [
        [dataclasses.astuple(part) if dataclasses.is_dataclass(part) else part for part in value]
        if isinstance(value, tuple)
        else value
        for value in (getattr(made, each.name) for each in dataclasses.fields(made))
    ]


def _msgpack_value(data: bytes, kind: type) -> Any:
    return msgspec.msgpack.decode(data, type=kind)


SUBJECTS = {
    "journal-records": Subject(
        records.encode, lambda data, _: records.decode(data), _journal_records(), True
    ),
    "journal-snapshot": Subject(msgspec.msgpack.encode, _msgpack_value, _snapshot_parts(), True),
    "store-messages": Subject(_json_bytes, _peer_value, _store_messages()),
    "store-values": Subject(_json_bytes, _json_value, _store_values()),
    "zones": Subject(_json_bytes, _json_value, _zones()),
    "settings": Subject(_json_bytes, _json_value, _settings()),
    "policy": Subject(_json_bytes, _json_value, _policy()),
    "handover-messages": Subject(messages.encode, lambda data, _: messages.decode(data), _handover(), True),
    "handover-parts": Subject(msgspec.msgpack.encode, _msgpack_value, _parts(), True),
}


def kinds_without_form() -> set[str]:
    """Structs of the golden modules of which no object stands in the tables."""
    defined = {
        each
        for module in MODULES
        for each in vars(module).values()
        if isinstance(each, type) and issubclass(each, msgspec.Struct) and each.__module__ == module.__name__
    }
    shown = {type(each) for subject in SUBJECTS.values() for each in subject.objects.values()}
    return {each.__name__ for each in defined - shown - NOT_STORED}


def fields_left_at_default(value: Any) -> list[str]:
    """Names of the fields of one object that have their default."""
    if isinstance(value, msgspec.Struct):
        found = []
        for each in msgspec.structs.fields(value):
            default = (
                each.default_factory() if each.default_factory is not msgspec.NODEFAULT else each.default
            )
            if each.default is not msgspec.NODEFAULT or each.default_factory is not msgspec.NODEFAULT:
                found += [each.name] if getattr(value, each.name) == default else []
        return found
    return [
        each.name
        for each in dataclasses.fields(value)
        if each.default is not dataclasses.MISSING and getattr(value, each.name) == each.default
    ]
