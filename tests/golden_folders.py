"""Whole folders of the journal, the store and the policy: how each is written, and what is read from one.

Beside golden_messages.py the only file of the golden tests that uses names of the program. All times, names
and ids are fixed, so the same calls write the same bytes; what is read comes as plain values by position.
"""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from types import SimpleNamespace
from typing import Any
from unittest.mock import patch

import msgspec

from spanwing.cli.journal import plain as row_as_json
from spanwing.journal.book import Book
from spanwing.journal.files import Folder
from spanwing.journal.frames import Frame, frame_bytes
from spanwing.journal.keeper import Keeper as JournalKeeper
from spanwing.journal.log import Bounds as JournalBounds
from spanwing.journal.log import Log, Reader
from spanwing.journal.query import FIELDS, parse
from spanwing.journal.records import (
    Answered,
    Closed,
    Gap,
    GivenUp,
    Intent,
    LastByte,
    Outcome,
    Started,
    Taken,
    Unsent,
    encode,
)
from spanwing.journal.snapshot import read_snapshot
from spanwing.journal.thinning import Thinner
from spanwing.policy import record
from spanwing.policy.chair import Bounds as ChairBounds
from spanwing.policy.chair import Chair, Says
from spanwing.policy.hand import Hand
from spanwing.policy.kept import Kept
from spanwing.policy.side import PolicySide
from spanwing.store.acceptor import Acceptor
from spanwing.store.claims import Claim, Claims
from spanwing.store.disk import Disk
from spanwing.store.document import Document, Txn
from spanwing.store.document import decode as document_of
from spanwing.store.document import encode as document_text
from spanwing.store.keeper import KEEPER, Keeper
from spanwing.store.lease import Lease
from spanwing.store.messages import Accept, Prepare
from spanwing.store.service import KEY
from spanwing.store.shared import Shared, shared_settings
from spanwing.zones import state
from spanwing.zones.evidence import Words
from spanwing.zones.side import ZoneSide
from spanwing.zones.steward import Bounds as StewardBounds
from spanwing.zones.steward import Listed, Order, Steward

WALL_MS = 1700000000000.0
BOOT = "0b0b0b0b-0000-4000-8000-000000000001"


def plain(value: Any) -> Any:
    """A value as JSON has it, where what is made of named fields goes by position."""
    if isinstance(value, msgspec.Struct):
        return [plain(each) for each in msgspec.structs.astuple(value)]
    if dataclasses.is_dataclass(value):
        return [plain(getattr(value, each.name)) for each in dataclasses.fields(value)]
    if isinstance(value, dict):
        return {str(key): plain(each) for key, each in value.items()}
    if isinstance(value, list | tuple | set | frozenset):
        return [plain(each) for each in (sorted(value) if isinstance(value, set | frozenset) else value)]
    return value


@contextmanager
def _fixed_clock() -> Iterator[None]:
    """Both clocks stand still, and what is drawn is always the same."""
    with (
        patch("time.time", lambda: WALL_MS / 1000.0 + 900.0),
        patch("time.monotonic", lambda: 9000.0),
        patch("secrets.token_hex", lambda size: "ab" * size),
    ):
        yield


# -- the journal

JOURNAL_BOUNDS = JournalBounds(
    segment_bytes=900,
    segment_ms=1e9,
    keep_ms=1e12,
    keep_bytes=1 << 40,
    keep_ms_of={"look": 1000.0},
)
EXPRESSIONS = (
    "",
    "class = look",
    "worker in (worker-2, worker-3)",
    'state = "possibly sent"',
    "request = job-2",
    "worker = worker-1 and time >= 2023-11-14",
    "closed = true or given_up != ''",
)


class _Ticks:
    """Times of records, each a little later than the one before."""

    def __init__(self) -> None:
        self.count = 0

    def __call__(self) -> dict[str, float]:
        self.count += 1
        return {"wall_ms": WALL_MS + 10.5 * self.count, "mono_ms": 4000.0 + 10.25 * self.count}


def _job(tick: _Ticks, number: int, cls: str, ends: str) -> list[Any]:
    """The records of one request; ends: at which of its steps the records stop."""
    name, worker = f"job-{number}", f"worker-{number % 3 + 1}"
    own = {"request": name}
    made = [
        Taken(
            **own,
            **tick(),
            cls=cls,
            tenant="corrib",
            key=f"key-{number}",
            front="platform",
            budget_ms=25000.5,
        ),
        Intent(**own, **tick(), attempt=0, worker=worker, address=f"127.0.0.1:{4000 + number}"),
    ]
    if ends == "intent":
        return made
    if ends == "retried":
        made += [
            Unsent(**own, **tick(), attempt=0, why="unreachable"),
            Intent(**own, **tick(), attempt=1, worker="worker-3", address="127.0.0.1:4999"),
            GivenUp(**own, **tick(), attempt=1, why="deadline"),
        ]
    made.append(LastByte(**own, **tick(), attempt=1 if ends == "retried" else 0))
    if ends == "last byte":
        return made
    made.append(Outcome(**own, **tick(), attempt=1 if ends == "retried" else 0, result="ok"))
    return made if ends == "outcome" else [*made, Answered(**own, **tick(), kind="served")]


def write_journal(path: Path) -> None:
    """Three lives in several segments, with snapshots, thinned segments and indexes; a crash tears the last
    record."""
    tick = _Ticks()

    def life(number: int, certain: bool, batches: list[list[Any]], closes: bool = True) -> None:
        files = Folder(str(path))
        log = Log(files, JOURNAL_BOUNDS)
        started = Started(request="", **tick(), name="scheduler-a", life=f"{number:016x}", certain=certain)
        log.write(
            [started, *(log.ledger.closing(*tick().values()) if closes else [])], WALL_MS + number * 5e5
        )
        for batch in batches:
            log.write(batch, WALL_MS + number * 5e5)
        log.close()
        files.stop()

    life(1, True, [_job(tick, n, "look" if n % 2 else "schedule-apply", "answer") for n in range(1, 7)])
    life(
        2,
        True,
        [
            _job(tick, 11, "schedule-apply", "intent"),
            _job(tick, 12, "bill", "last byte"),
            _job(tick, 13, "bill", "retried"),
            _job(tick, 14, "schedule-apply", "outcome"),
        ],
    )
    gap = Gap(request="", **tick(), since_wall_ms=WALL_MS + 1.5, count=7, why="the disk is slow")
    life(
        3,
        False,
        [
            _job(tick, 21, "bill", "answer"),
            [gap],
            _job(tick, 22, "bill", "intent"),
            [Taken(request="job-23", **tick(), cls="bill", tenant="corrib")],
            _job(tick, 24, "schedule-apply", "answer"),
            _job(tick, 25, "bill", "last byte"),
            _job(tick, 26, "schedule-apply", "retried"),
            [Closed(request="job-27", **tick(), attempt=2, worker="worker-1")],
        ],
    )
    files = Folder(str(path))
    torn = frame_bytes(1 << 22, encode(Answered(request="job-25", **tick(), kind="served")))
    with open(path / Reader(files).segments()[-1], "ab") as segment:
        segment.write(torn[:-5])
    for _ in Thinner(files, JOURNAL_BOUNDS).run(None, WALL_MS + 1e9):
        pass
    files.stop()
    list(Book(str(path)).of({"job-1"}))  # leaves an index beside each segment but the last


def read_journal(path: Path) -> dict[str, Any]:
    """All that the reader, the query language and a start find in a folder."""
    book, files = Book(str(path)), Folder(str(path), write=False)
    log = Log(files, JOURNAL_BOUNDS)
    snapshots = [read_snapshot(files.read(each)) for each in files.names() if each.endswith(".snap")]
    return plain(
        {
            "sizes": book.sizes(),
            "frames": [(name, isinstance(each, Frame), *each[:2]) for name, each in book.frames()],
            "records": [
                msgspec.to_builtins(each.record) for _, each in book.frames() if isinstance(each, Frame)
            ],
            "gaps": list(book.gaps()),
            "verify": [(each.segment, each.skipped, each.harmless) for each in book.verify()],
            "rows": {text: list(book.rows(parse(text, WALL_MS + 1e9))) for text in EXPRESSIONS},
            "rows as JSON": [row_as_json(each)["class"] for each in book.rows(parse("", WALL_MS))],
            "keys of a row": list(row_as_json(next(book.rows(parse("", WALL_MS))))),
            "fields of the language": FIELDS,
            "requests": {
                name: book.request(name) for name in ("job-1", "job-2", "job-11", "job-13", "job-26", "none")
            },
            "last": log.last,
            "next": log.number,
            "skipped": log.skipped,
            "open": log.ledger.open,
            "lost": log.ledger.lost,
            "left open": log.ledger.left_open(),
            "snapshots": [(last, ledger.open, ledger.lost, ledger.certain) for ledger, last in snapshots],
            "segments": Reader(files).segments(),
        }
    )


def restart_journal(path: Path) -> dict[str, Any]:
    """The daemon's side starts on a folder that a crash left, writes one request of its own, and stops."""
    files = Folder(str(path))
    with _fixed_clock():
        keeper = JournalKeeper(Log(files), "refuse", "scheduler-b", lambda call, *args: call(*args))
        may: list[bool] = []
        keeper.taken("job-31", "bill", "corrib", "key-31", "platform", 25000.5)
        for attempt in (0, 1):
            keeper.intent("job-31", attempt, f"worker-{attempt}", "127.0.0.1:4031", may.append)
        keeper.unsent("job-31", 0, "unreachable")
        keeper.given_up("job-31", 1, "deadline")
        keeper.last_byte("job-31", 1)
        keeper.outcome("job-31", 1, "ok")
        keeper.answered("job-31", "served")
        known = {name: keeper.earlier(name) for name in ("job-1", "job-11", "job-12", "job-22", "job-25")}
        closed = keeper.close()
    files.stop()
    return plain(
        {
            "left open": keeper.left_open,
            "lost": keeper.lost,
            "skipped": keeper.skipped,
            "earlier": known,
            "may be sent": may,
            "closed": closed,
            "refusing": keeper.refusing(),
        }
    )


# -- the store

POLICY_TEXT = '{"classes":[{"name":"bill"}],"weight":%d}'


class _HeldValues:
    """Stands for the store: one value a key, and every value that a key has had."""

    def __init__(self) -> None:
        self.values: dict[str, list[str]] = {}

    async def change(self, key: str, apply: Callable[[str | None], str | None]) -> str | None:
        held = self.values.setdefault(key, [])
        value = apply(held[-1] if held else None)
        if value is not None and value not in held[-1:]:
            held.append(value)
        return value


async def _claims_and_settings(store: _HeldValues) -> list[Any]:
    claims = Claims(store)
    found = []
    for number, ending in enumerate(("served", "failed", "refused", None)):
        ours, claim = await claims.take(f"job-{number}")
        found.append([ours, claim])
        if ending is not None:
            await claims.settle(f"job-{number}", claim, ending)
    found.append(await claims.take("job-0"))
    found += [await shared_settings(store, revision, f'{{"revision":{revision}}}') for revision in (3, 2)]
    return found


def _ids() -> Callable[[], str]:
    count = itertools.count(1)
    return lambda: f"txn-{next(count)}"


def _transactions() -> Iterator[Document]:
    """The fleet's document after each change that its writers make to it."""
    draw, document = _ids(), Document()
    keeper = Keeper("member-a", 900.0, SimpleNamespace(), 0.0, lambda: 0.5)

    def taken(txn: Txn | None) -> Document:
        nonlocal document
        document = keeper.document = document.apply(txn)
        return document

    yield taken(keeper.take_over(0.0, draw()))
    chair = Chair(ChairBounds(60000.0), lambda: WALL_MS + 1.5, draw)
    chair.first = POLICY_TEXT % 1
    known = SimpleNamespace(confirmed=1.0, seen=1)
    sessions = SimpleNamespace(since=0.0, sessions={"a.01": known, "b.02": known})
    yield taken(chair.decide(1.0, document, sessions))
    chair.heard("a.01", Says(wants=True))
    chair.heard("b.02", Says(wants=True))
    yield taken(chair.decide(2.0, document, sessions))
    proposal = {"base": 1, "author": "operator", "reason": "more room", "wait_ms": 60000.0, "gone": ["b"]}
    yield taken(chair.propose(document, POLICY_TEXT % 2, **proposal))
    yield taken(chair.abort(document, "operator"))
    yield taken(chair.propose(document, POLICY_TEXT % 3, **proposal))
    for word in ("a.01", "b.02"):
        change = record.read(document).change
        chair.heard(word, Says(wants=True, change=change.id))
    yield taken(chair.decide(3.0, document, sessions))
    workers = {"galway": [Listed(1, 0.0, False)], "sligo": [Listed(2, 5.5, False)]}
    steward = Steward(StewardBounds(1000.0), lambda: workers, lambda: WALL_MS + 2.5, "member-a", draw)
    for do, name in (("leave", "galway"), ("hold", "sligo"), ("release", "sligo")):
        order = msgspec.Raw(msgspec.json.encode(Order(do=do, name=name, by="operator at a")))
        yield taken(steward.order(4.0, order, document, keeper)[0])
    deal = state.Deal(number=document.revision, sessions=["a.01", "b.02"], before=["a.01"], in_force=False)
    yield taken(Txn(draw(), {state.DEAL: state.encode(deal)}, document.at(state.DEAL)))


def write_store(path: Path) -> None:
    """One member's folder, with the fleet's document, claims and settings, as they came one after another."""
    held = _HeldValues()
    with _fixed_clock():
        asyncio.run(_claims_and_settings(held))
    held.values[KEY] = [document_text(each) for each in _transactions()]
    disk = Disk(str(path))
    acceptor, counter = Acceptor(disk), itertools.count(1)
    for key, values in held.values.items():
        for value in values:
            ballot = (next(counter), "member-a")
            acceptor.answer(Prepare(1, key, ballot))
            acceptor.answer(Accept(2, key, ballot, value))
    acceptor.answer(Prepare(3, KEY, (next(counter), "member-b")))
    _close(disk)
    _tear_last_line(path)


def _tear_last_line(path: Path) -> None:
    """A crash while a register was being saved."""
    with open(path / "registers.log", "ab") as log:
        log.write(b'{"key":"flee')


def _close(disk: Disk) -> None:
    disk.file.close()
    disk.lock.close()


def read_store(path: Path) -> dict[str, Any]:
    """All that a member finds in its folder; opening writes it anew without what was overwritten."""
    disk = Disk(str(path))
    registers = dict(disk.registers)
    _close(disk)
    document = document_of(registers[KEY].value)
    claims = {
        key: msgspec.json.decode(each.value, type=Claim) for key, each in registers.items() if "/" in key
    }
    settings = msgspec.json.decode(registers["settings"].value, type=Shared)
    keeper = Keeper("member-a", 900.0, SimpleNamespace(), 0.0, lambda: 0.5)
    keeper.document = document
    return plain(
        {
            "registers": registers,
            "document": document,
            "claims": claims,
            "settings": settings,
            "keeps": keeper.keeps(),
            "ours": keeper.ours(),
            "zones": state.read(document),
            "policy": record.read(document),
            "keys": [KEY, KEEPER, state.ZONE, state.DEAL, state.PAST, *record.KINDS],
        }
    )


def taken_claims() -> dict[str, Any]:
    """What claims and settings come to, and each value that their keys had."""
    held = _HeldValues()
    with _fixed_clock():
        found = asyncio.run(_claims_and_settings(held))
    return plain({"found": found, "values": held.values})


# -- the policy


def _version(number: int) -> record.Version:
    text = POLICY_TEXT % number
    return record.Version(
        number=number,
        digest=record.digest(text),
        text=text,
        author="operator",
        reason="more room",
        wall_ms=WALL_MS + number,
    )


def _close_kept(kept: Kept) -> None:
    kept.lock.close()


def write_policy(path: Path) -> None:
    with patch("spanwing.policy.kept.boot", lambda: BOOT):
        kept = Kept(str(path))
        for number in (1, 2, 3):
            kept.put(_version(number))
        kept.put_permit(2, 5000.5)
        kept.put_permit(3, 6000.5)
        _close_kept(kept)


def read_policy(path: Path) -> dict[str, Any]:
    """What a scheduler may start with, in the boot of the permit and in another one."""
    kept = Kept(str(path))
    with patch("spanwing.policy.kept.boot", lambda: BOOT):
        here = kept.permit()
    with patch("spanwing.policy.kept.boot", lambda: "another"):
        elsewhere = kept.permit()
    _close_kept(kept)
    return plain({"versions": kept.versions, "skipped": kept.skipped, "permit": here, "elsewhere": elsewhere})


# -- what the status commands show of the document


def status() -> dict[str, Any]:
    """The JSON that operators see, with its names, from the document that write_store() leaves."""
    document = list(_transactions())[-1]
    fleet, policy, lease = state.read(document), record.read(document), Lease()
    lease.until = 1e18
    local = SimpleNamespace(
        fleet=fleet,
        witness=SimpleNamespace(words=lambda now: {"galway": Words(good=[1], bad=[2, 3])}),
        gate=SimpleNamespace(zones=lambda: {"galway": [1, 2, 3], "sligo": [4]}),
    )
    follower = SimpleNamespace(
        lease=lease,
        permit=lease,
        by="member-a",
        why="",
        document=document,
        session="a.01",
        holds=lambda: True,
    )
    zones = SimpleNamespace(
        local=local,
        follower=follower,
        wanted=SimpleNamespace(regions={"west": ("galway", "sligo")}),
        service=SimpleNamespace(keeper=SimpleNamespace(refused=2)),
        may=lambda worker: worker > 2,
    )
    hand = Hand("a.01", lambda text: "", lease)
    hand.follow(0.0, policy)
    core = SimpleNamespace(under={"job-1": 1})
    side = SimpleNamespace(version=_version(1), hand=hand, follower=follower, core=core)
    shown = PolicySide.status(side)
    del shown["permit_ms"]  # counted by the machine's clock
    return {
        "zones": ZoneSide.status(zones),
        "zones history": ZoneSide.history(zones),
        "policy": shown,
        "policy history": PolicySide.history(side),
    }


WRITTEN = {"journal": write_journal, "store": write_store, "policy": write_policy}
OPENED = {"journal": read_journal, "store": read_store, "policy": read_policy}
