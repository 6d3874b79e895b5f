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

from spanwing.cli.journal import row_as_json as row_as_json
from spanwing.journal.compaction import SegmentCompactor
from spanwing.journal.files import LocalFolder
from spanwing.journal.frames import RecordFrame, encode_frame
from spanwing.journal.query import FIELDS, parse_query
from spanwing.journal.reader import JournalReader
from spanwing.journal.records import (
    AttemptCancelled,
    AttemptClosed,
    AttemptCompleted,
    AttemptIntent,
    AttemptUnsent,
    JournalGap,
    LastByteWritten,
    ProcessStarted,
    RequestAccepted,
    RequestAnswered,
    encode_record,
)
from spanwing.journal.segment_log import RetentionLimits as JournalBounds
from spanwing.journal.segment_log import SegmentLog, SegmentReader
from spanwing.journal.snapshot import decode_snapshot
from spanwing.journal.writer import JournalWriter as JournalKeeper
from spanwing.policy import records as record
from spanwing.policy.coordinator import PermitSettings as ChairBounds
from spanwing.policy.coordinator import PolicyCoordinator, PolicyVote
from spanwing.policy.participant import PolicyParticipant
from spanwing.policy.policy_cache import PolicyCache
from spanwing.policy.service import PolicyService
from spanwing.store.acceptor import Acceptor
from spanwing.store.claims import Claim, Claims
from spanwing.store.disk import RegisterLog
from spanwing.store.document import Document, Transaction
from spanwing.store.document import decode_document as document_of
from spanwing.store.document import encode_document as document_text
from spanwing.store.document_service import DOCUMENT_KEY
from spanwing.store.leader import LEADERSHIP_KEY, Leader
from spanwing.store.lease import Lease
from spanwing.store.messages import Accept, Prepare
from spanwing.store.shared_settings import SharedSettings, agree_on_settings
from spanwing.zones import state
from spanwing.zones.controller import ListedWorker, ZoneController, ZoneLimits, ZoneOrder
from spanwing.zones.evidence import ZoneEvidence
from spanwing.zones.service import ZoneService

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
    retention_ms=1e12,
    retention_bytes=1 << 40,
    retention_ms_by_class={"look": 1000.0},
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
        RequestAccepted(
            **own,
            **tick(),
            cls=cls,
            tenant="corrib",
            key=f"key-{number}",
            front="platform",
            budget_ms=25000.5,
        ),
        AttemptIntent(**own, **tick(), attempt=0, worker=worker, address=f"127.0.0.1:{4000 + number}"),
    ]
    if ends == "intent":
        return made
    if ends == "retried":
        made += [
            AttemptUnsent(**own, **tick(), attempt=0, why="unreachable"),
            AttemptIntent(**own, **tick(), attempt=1, worker="worker-3", address="127.0.0.1:4999"),
            AttemptCancelled(**own, **tick(), attempt=1, why="deadline"),
        ]
    made.append(LastByteWritten(**own, **tick(), attempt=1 if ends == "retried" else 0))
    if ends == "last byte":
        return made
    made.append(AttemptCompleted(**own, **tick(), attempt=1 if ends == "retried" else 0, result="ok"))
    return made if ends == "outcome" else [*made, RequestAnswered(**own, **tick(), kind="served")]


def write_journal(path: Path) -> None:
    """Three lives in several segments, with snapshots, thinned segments and indexes; a crash tears the last
    record."""
    tick = _Ticks()

    def life(number: int, certain: bool, batches: list[list[Any]], closes: bool = True) -> None:
        files = LocalFolder(str(path))
        log = SegmentLog(files, JOURNAL_BOUNDS)
        started = ProcessStarted(
            request="", **tick(), name="scheduler-a", life=f"{number:016x}", certain=certain
        )
        log.write(
            [started, *(log.request_states.closing_records(*tick().values()) if closes else [])],
            WALL_MS + number * 5e5,
        )
        for batch in batches:
            log.write(batch, WALL_MS + number * 5e5)
        log.close()
        files.close_all()

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
    gap = JournalGap(request="", **tick(), since_wall_ms=WALL_MS + 1.5, count=7, why="the disk is slow")
    life(
        3,
        False,
        [
            _job(tick, 21, "bill", "answer"),
            [gap],
            _job(tick, 22, "bill", "intent"),
            [RequestAccepted(request="job-23", **tick(), cls="bill", tenant="corrib")],
            _job(tick, 24, "schedule-apply", "answer"),
            _job(tick, 25, "bill", "last byte"),
            _job(tick, 26, "schedule-apply", "retried"),
            [AttemptClosed(request="job-27", **tick(), attempt=2, worker="worker-1")],
        ],
    )
    files = LocalFolder(str(path))
    torn = encode_frame(1 << 22, encode_record(RequestAnswered(request="job-25", **tick(), kind="served")))
    with open(path / SegmentReader(files).segment_names()[-1], "ab") as segment:
        segment.write(torn[:-5])
    for _ in SegmentCompactor(files, JOURNAL_BOUNDS).compact(None, WALL_MS + 1e9):
        pass
    files.close_all()
    list(
        JournalReader(str(path)).find_requests({"job-1"})
    )  # leaves an index beside each segment but the last


def read_journal(path: Path) -> dict[str, Any]:
    """All that the reader, the query language and a start find in a folder."""
    book, files = JournalReader(str(path)), LocalFolder(str(path), for_writing=False)
    log = SegmentLog(files, JOURNAL_BOUNDS)
    snapshots = [decode_snapshot(files.read(each)) for each in files.names() if each.endswith(".snap")]
    return plain(
        {
            "sizes": book.segment_sizes(),
            "frames": [(name, isinstance(each, RecordFrame), *each[:2]) for name, each in book.read_frames()],
            "records": [
                msgspec.to_builtins(each.record)
                for _, each in book.read_frames()
                if isinstance(each, RecordFrame)
            ],
            "gaps": list(book.read_gaps()),
            "verify": [(each.segment, each.damage, each.is_harmless) for each in book.verify()],
            "rows": {text: list(book.find_rows(parse_query(text, WALL_MS + 1e9))) for text in EXPRESSIONS},
            "rows as JSON": [row_as_json(each)["class"] for each in book.find_rows(parse_query("", WALL_MS))],
            "keys of a row": list(row_as_json(next(book.find_rows(parse_query("", WALL_MS))))),
            "fields of the language": FIELDS,
            "requests": {
                name: book.find_request(name)
                for name in ("job-1", "job-2", "job-11", "job-13", "job-26", "none")
            },
            "last": log.last_number,
            "next": log.next_number,
            "skipped": log.damaged_ranges,
            "open": log.request_states.open_requests,
            "lost": log.request_states.interrupted,
            "left open": log.request_states.unfinished_attempts(),
            "snapshots": [
                (last, ledger.open_requests, ledger.interrupted, ledger.has_every_intent)
                for ledger, last in snapshots
            ],
            "segments": SegmentReader(files).segment_names(),
        }
    )


def restart_journal(path: Path) -> dict[str, Any]:
    """The daemon's side starts on a folder that a crash left, writes one request of its own, and stops."""
    files = LocalFolder(str(path))
    with _fixed_clock():
        keeper = JournalKeeper(SegmentLog(files), "refuse", "scheduler-b", lambda call, *args: call(*args))
        may: list[bool] = []
        keeper.record_accepted("job-31", "bill", "corrib", "key-31", "platform", 25000.5)
        for attempt in (0, 1):
            keeper.record_intent("job-31", attempt, f"worker-{attempt}", "127.0.0.1:4031", may.append)
        keeper.record_unsent("job-31", 0, "unreachable")
        keeper.record_cancelled("job-31", 1, "deadline")
        keeper.record_last_byte("job-31", 1)
        keeper.record_outcome("job-31", 1, "ok")
        keeper.record_answered("job-31", "served")
        known = {
            name: keeper.find_interrupted(name) for name in ("job-1", "job-11", "job-12", "job-22", "job-25")
        }
        closed = keeper.close()
    files.close_all()
    return plain(
        {
            "left open": keeper.unfinished_attempts,
            "lost": keeper.interrupted,
            "skipped": keeper.damaged_ranges,
            "earlier": known,
            "may be sent": may,
            "closed": closed,
            "refusing": keeper.unavailable_reason(),
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
        ours, claim = await claims.claim(f"job-{number}")
        found.append([ours, claim])
        if ending is not None:
            await claims.settle(f"job-{number}", claim, ending)
    found.append(await claims.claim("job-0"))
    found += [await agree_on_settings(store, revision, f'{{"revision":{revision}}}') for revision in (3, 2)]
    return found


def _ids() -> Callable[[], str]:
    count = itertools.count(1)
    return lambda: f"txn-{next(count)}"


def _transactions() -> Iterator[Document]:
    """The fleet's document after each change that its writers make to it."""
    draw, document = _ids(), Document()
    keeper = Leader("member-a", 900.0, SimpleNamespace(), 0.0, lambda: 0.5)

    def taken(txn: Transaction | None) -> Document:
        nonlocal document
        document = keeper.document = document.apply(txn)
        return document

    yield taken(keeper.takeover_transaction(0.0, draw()))
    chair = PolicyCoordinator(ChairBounds(60000.0), lambda: WALL_MS + 1.5, draw)
    chair.initial_policy = POLICY_TEXT % 1
    known = SimpleNamespace(confirmed_at_ms=1.0, acknowledged_revision=1)
    sessions = SimpleNamespace(leading_since_ms=0.0, sessions={"a.01": known, "b.02": known})
    yield taken(chair.decide_next_change(1.0, document, sessions))
    chair.record_vote("a.01", PolicyVote(wants_permit=True))
    chair.record_vote("b.02", PolicyVote(wants_permit=True))
    yield taken(chair.decide_next_change(2.0, document, sessions))
    proposal = {
        "base_version": 1,
        "author": "operator",
        "reason": "more room",
        "timeout_ms": 60000.0,
        "removed_names": ["b"],
    }
    yield taken(chair.propose(document, POLICY_TEXT % 2, **proposal))
    yield taken(chair.abort(document, "operator"))
    yield taken(chair.propose(document, POLICY_TEXT % 3, **proposal))
    for word in ("a.01", "b.02"):
        change = record.read_policy(document).change
        chair.record_vote(word, PolicyVote(wants_permit=True, change_id=change.id))
    yield taken(chair.decide_next_change(3.0, document, sessions))
    workers = {"galway": [ListedWorker(1, 0.0, False)], "sligo": [ListedWorker(2, 5.5, False)]}
    controller = ZoneController(ZoneLimits(1000.0), lambda: workers, lambda: WALL_MS + 2.5, "member-a", draw)
    for do, name in (("leave", "galway"), ("hold", "sligo"), ("release", "sligo")):
        order = msgspec.Raw(msgspec.json.encode(ZoneOrder(action=do, target=name, author="operator at a")))
        yield taken(controller.handle_order(4.0, order, document, keeper)[0])
    deal = state.FeederAssignment(
        number=document.revision, sessions=["a.01", "b.02"], previous_sessions=["a.01"], in_force=False
    )
    yield taken(
        Transaction(
            draw(),
            {state.ASSIGNMENT_KEY: state.encode_value(deal)},
            document.current_revisions(state.ASSIGNMENT_KEY),
        )
    )


def write_store(path: Path) -> None:
    """One member's folder, with the fleet's document, claims and settings, as they came one after another."""
    held = _HeldValues()
    with _fixed_clock():
        asyncio.run(_claims_and_settings(held))
    held.values[DOCUMENT_KEY] = [document_text(each) for each in _transactions()]
    disk = RegisterLog(str(path))
    acceptor, counter = Acceptor(disk), itertools.count(1)
    for key, values in held.values.items():
        for value in values:
            ballot = (next(counter), "member-a")
            acceptor.handle_message(Prepare(1, key, ballot))
            acceptor.handle_message(Accept(2, key, ballot, value))
    acceptor.handle_message(Prepare(3, DOCUMENT_KEY, (next(counter), "member-b")))
    _close(disk)
    _tear_last_line(path)


def _tear_last_line(path: Path) -> None:
    """A crash while a register was being saved."""
    with open(path / "registers.log", "ab") as log:
        log.write(b'{"key":"flee')


def _close(disk: RegisterLog) -> None:
    disk.log_file.close()
    disk.lock_file.close()


def read_store(path: Path) -> dict[str, Any]:
    """All that a member finds in its folder; opening writes it anew without what was overwritten."""
    disk = RegisterLog(str(path))
    registers = dict(disk.registers)
    _close(disk)
    document = document_of(registers[DOCUMENT_KEY].value)
    claims = {
        key: msgspec.json.decode(each.value, type=Claim) for key, each in registers.items() if "/" in key
    }
    settings = msgspec.json.decode(registers["settings"].value, type=SharedSettings)
    keeper = Leader("member-a", 900.0, SimpleNamespace(), 0.0, lambda: 0.5)
    keeper.document = document
    return plain(
        {
            "registers": registers,
            "document": document,
            "claims": claims,
            "settings": settings,
            "keeps": keeper.leadership(),
            "ours": keeper.is_leader(),
            "zones": state.read_fleet_zones(document),
            "policy": record.read_policy(document),
            "keys": [
                DOCUMENT_KEY,
                LEADERSHIP_KEY,
                state.ZONE_KEY_PREFIX,
                state.ASSIGNMENT_KEY,
                state.HISTORY_KEY,
                *record.FIELDS_BY_KEY,
            ],
        }
    )


def taken_claims() -> dict[str, Any]:
    """What claims and settings come to, and each value that their keys had."""
    held = _HeldValues()
    with _fixed_clock():
        found = asyncio.run(_claims_and_settings(held))
    return plain({"found": found, "values": held.values})


# -- the policy


def _version(number: int) -> record.PolicyVersion:
    text = POLICY_TEXT % number
    return record.PolicyVersion(
        number=number,
        digest=record.policy_digest(text),
        text=text,
        author="operator",
        reason="more room",
        wall_ms=WALL_MS + number,
    )


def _close_kept(kept: PolicyCache) -> None:
    kept.lock_file.close()


def write_policy(path: Path) -> None:
    with patch("spanwing.policy.policy_cache.current_boot_id", lambda: BOOT):
        kept = PolicyCache(str(path))
        for number in (1, 2, 3):
            kept.store_version(_version(number))
        kept.store_permit(2, 5000.5)
        kept.store_permit(3, 6000.5)
        _close_kept(kept)


def read_policy(path: Path) -> dict[str, Any]:
    """What a scheduler may start with, in the boot of the permit and in another one."""
    kept = PolicyCache(str(path))
    with patch("spanwing.policy.policy_cache.current_boot_id", lambda: BOOT):
        here = kept.load_permit()
    with patch("spanwing.policy.policy_cache.current_boot_id", lambda: "another"):
        elsewhere = kept.load_permit()
    _close_kept(kept)
    return plain(
        {"versions": kept.versions, "skipped": kept.skipped_files, "permit": here, "elsewhere": elsewhere}
    )


# -- what the status commands show of the document


def status() -> dict[str, Any]:
    """The JSON that operators see, with its names, from the document that write_store() leaves."""
    document = list(_transactions())[-1]
    fleet, policy, lease = state.read_fleet_zones(document), record.read_policy(document), Lease()
    lease.expires_at_ms = 1e18
    local = SimpleNamespace(
        fleet=fleet,
        evidence_collector=SimpleNamespace(
            evidence_by_zone=lambda now: {"galway": ZoneEvidence(healthy_workers=[1], faulty_workers=[2, 3])}
        ),
        routing_filter=SimpleNamespace(workers_by_zone=lambda: {"galway": [1, 2, 3], "sligo": [4]}),
    )
    follower = SimpleNamespace(
        lease=lease,
        permit=lease,
        connected_member="member-a",
        last_failure="",
        document=document,
        session="a.01",
        has_lease=lambda: True,
    )
    zones = SimpleNamespace(
        agent=local,
        follower=follower,
        zone_settings=SimpleNamespace(regions={"west": ("galway", "sligo")}),
        document_service=SimpleNamespace(leader=SimpleNamespace(rejected_renewals=2)),
        may_forward=lambda worker: worker > 2,
    )
    hand = PolicyParticipant("a.01", lambda text: "", lease)
    hand.update_policy(0.0, policy)
    core = SimpleNamespace(scheduler_by_request={"job-1": 1})
    side = SimpleNamespace(
        active_version=_version(1), participant=hand, follower=follower, request_manager=core
    )
    shown = PolicyService.status(side)
    del shown["permit_ms"]  # counted by the machine's clock
    return {
        "zones": ZoneService.status(zones),
        "zones history": ZoneService.history(zones),
        "policy": shown,
        "policy history": PolicyService.history(side),
    }


WRITTEN = {"journal": write_journal, "store": write_store, "policy": write_policy}
OPENED = {"journal": read_journal, "store": read_store, "policy": read_policy}
