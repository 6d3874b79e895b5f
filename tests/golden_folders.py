"""Writes and reads whole folders of the journal, the store and the policy for the golden tests.

With golden_messages.py the only file of the golden tests that uses names of the program. Times, names and ids
are fixed, so the same calls write the same bytes. What is read is returned as plain values by position.
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
from spanwing.journal.segment_log import RetentionLimits, SegmentLog, SegmentReader
from spanwing.journal.snapshot import decode_snapshot
from spanwing.journal.writer import JournalWriter
from spanwing.policy import records
from spanwing.policy.coordinator import PermitSettings, PolicyCoordinator, PolicyVote
from spanwing.policy.participant import PolicyParticipant
from spanwing.policy.policy_cache import PolicyCache
from spanwing.policy.service import PolicyService
from spanwing.store.acceptor import Acceptor
from spanwing.store.claims import Claim, Claims
from spanwing.store.disk import RegisterLog
from spanwing.store.document import Document, Transaction, decode_document, encode_document
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
BOOT_ID = "0b0b0b0b-0000-4000-8000-000000000001"


def plain(value: Any) -> Any:
    """Returns a value as JSON has it; structs and dataclasses become lists of their fields by position."""
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
    """Fixes the wall clock, the monotonic clock and the random tokens."""
    with (
        patch("time.time", lambda: WALL_MS / 1000.0 + 900.0),
        patch("time.monotonic", lambda: 9000.0),
        patch("secrets.token_hex", lambda size: "ab" * size),
    ):
        yield


# -- the journal

RETENTION_LIMITS = RetentionLimits(
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


class _RecordTimes:
    """Returns the times of successive records, each some 10 ms after the one before."""

    def __init__(self) -> None:
        self.count = 0

    def __call__(self) -> dict[str, float]:
        self.count += 1
        return {"wall_ms": WALL_MS + 10.5 * self.count, "mono_ms": 4000.0 + 10.25 * self.count}


def _request_records(next_times: _RecordTimes, number: int, cls: str, last_step: str) -> list[Any]:
    """Returns the records of one request up to the step that `last_step` names."""
    name, worker = f"job-{number}", f"worker-{number % 3 + 1}"
    request = {"request": name}
    made = [
        RequestAccepted(
            **request,
            **next_times(),
            cls=cls,
            tenant="corrib",
            key=f"key-{number}",
            front="platform",
            budget_ms=25000.5,
        ),
        AttemptIntent(
            **request, **next_times(), attempt=0, worker=worker, address=f"127.0.0.1:{4000 + number}"
        ),
    ]
    if last_step == "intent":
        return made
    if last_step == "retried":
        made += [
            AttemptUnsent(**request, **next_times(), attempt=0, why="unreachable"),
            AttemptIntent(**request, **next_times(), attempt=1, worker="worker-3", address="127.0.0.1:4999"),
            AttemptCancelled(**request, **next_times(), attempt=1, why="deadline"),
        ]
    made.append(LastByteWritten(**request, **next_times(), attempt=1 if last_step == "retried" else 0))
    if last_step == "last byte":
        return made
    made.append(
        AttemptCompleted(**request, **next_times(), attempt=1 if last_step == "retried" else 0, result="ok")
    )
    return (
        made if last_step == "outcome" else [*made, RequestAnswered(**request, **next_times(), kind="served")]
    )


def write_journal(path: Path) -> None:
    """Writes three process runs into several segments, with snapshots, compaction, indexes, a torn record."""
    next_times = _RecordTimes()

    def write_run(number: int, certain: bool, batches: list[list[Any]], closes_attempts: bool = True) -> None:
        files = LocalFolder(str(path))
        log = SegmentLog(files, RETENTION_LIMITS)
        started = ProcessStarted(
            request="", **next_times(), name="scheduler-a", life=f"{number:016x}", certain=certain
        )
        log.write(
            [
                started,
                *(log.request_states.closing_records(*next_times().values()) if closes_attempts else []),
            ],
            WALL_MS + number * 5e5,
        )
        for batch in batches:
            log.write(batch, WALL_MS + number * 5e5)
        log.close()
        files.close_all()

    write_run(
        1,
        True,
        [
            _request_records(next_times, n, "look" if n % 2 else "schedule-apply", "answer")
            for n in range(1, 7)
        ],
    )
    write_run(
        2,
        True,
        [
            _request_records(next_times, 11, "schedule-apply", "intent"),
            _request_records(next_times, 12, "bill", "last byte"),
            _request_records(next_times, 13, "bill", "retried"),
            _request_records(next_times, 14, "schedule-apply", "outcome"),
        ],
    )
    gap = JournalGap(request="", **next_times(), since_wall_ms=WALL_MS + 1.5, count=7, why="the disk is slow")
    write_run(
        3,
        False,
        [
            _request_records(next_times, 21, "bill", "answer"),
            [gap],
            _request_records(next_times, 22, "bill", "intent"),
            [RequestAccepted(request="job-23", **next_times(), cls="bill", tenant="corrib")],
            _request_records(next_times, 24, "schedule-apply", "answer"),
            _request_records(next_times, 25, "bill", "last byte"),
            _request_records(next_times, 26, "schedule-apply", "retried"),
            [AttemptClosed(request="job-27", **next_times(), attempt=2, worker="worker-1")],
        ],
    )
    files = LocalFolder(str(path))
    torn = encode_frame(
        1 << 22, encode_record(RequestAnswered(request="job-25", **next_times(), kind="served"))
    )
    with open(path / SegmentReader(files).segment_names()[-1], "ab") as segment:
        segment.write(torn[:-5])
    for _ in SegmentCompactor(files, RETENTION_LIMITS).compact(None, WALL_MS + 1e9):
        pass
    files.close_all()
    list(
        JournalReader(str(path)).find_requests({"job-1"})
    )  # writes an index beside each segment except the last


def read_journal(path: Path) -> dict[str, Any]:
    """Returns what the journal reader, the query language and a daemon at its start read from a folder."""
    reader, files = JournalReader(str(path)), LocalFolder(str(path), for_writing=False)
    log = SegmentLog(files, RETENTION_LIMITS)
    snapshots = [decode_snapshot(files.read(each)) for each in files.names() if each.endswith(".snap")]
    return plain(
        {
            "sizes": reader.segment_sizes(),
            "frames": [
                (name, isinstance(each, RecordFrame), *each[:2]) for name, each in reader.read_frames()
            ],
            "records": [
                msgspec.to_builtins(each.record)
                for _, each in reader.read_frames()
                if isinstance(each, RecordFrame)
            ],
            "gaps": list(reader.read_gaps()),
            "verify": [(each.segment, each.damage, each.is_harmless) for each in reader.verify()],
            "rows": {text: list(reader.find_rows(parse_query(text, WALL_MS + 1e9))) for text in EXPRESSIONS},
            "rows as JSON": [
                row_as_json(each)["class"] for each in reader.find_rows(parse_query("", WALL_MS))
            ],
            "keys of a row": list(row_as_json(next(reader.find_rows(parse_query("", WALL_MS))))),
            "fields of the language": FIELDS,
            "requests": {
                name: reader.find_request(name)
                for name in ("job-1", "job-2", "job-11", "job-13", "job-26", "none")
            },
            "last": log.last_number,
            "next": log.next_number,
            "skipped": log.damaged_ranges,
            "open": log.request_states.open_requests,
            "lost": log.request_states.interrupted,
            "left open": log.request_states.unfinished_attempts(),
            "snapshots": [
                (last, states.open_requests, states.interrupted, states.has_every_intent)
                for states, last in snapshots
            ],
            "segments": SegmentReader(files).segment_names(),
        }
    )


def restart_journal(path: Path) -> dict[str, Any]:
    """Starts the journal writer on the folder of a crashed process, records one request and closes it."""
    files = LocalFolder(str(path))
    with _fixed_clock():
        writer = JournalWriter(SegmentLog(files), "refuse", "scheduler-b", lambda call, *args: call(*args))
        permissions: list[bool] = []
        writer.record_accepted("job-31", "bill", "corrib", "key-31", "platform", 25000.5)
        for attempt in (0, 1):
            writer.record_intent("job-31", attempt, f"worker-{attempt}", "127.0.0.1:4031", permissions.append)
        writer.record_unsent("job-31", 0, "unreachable")
        writer.record_cancelled("job-31", 1, "deadline")
        writer.record_last_byte("job-31", 1)
        writer.record_outcome("job-31", 1, "ok")
        writer.record_answered("job-31", "served")
        interrupted = {
            name: writer.find_interrupted(name) for name in ("job-1", "job-11", "job-12", "job-22", "job-25")
        }
        is_closed = writer.close()
    files.close_all()
    return plain(
        {
            "left open": writer.unfinished_attempts,
            "lost": writer.interrupted,
            "skipped": writer.damaged_ranges,
            "earlier": interrupted,
            "may be sent": permissions,
            "closed": is_closed,
            "refusing": writer.unavailable_reason(),
        }
    )


# -- the store

POLICY_TEXT = '{"classes":[{"name":"bill"}],"weight":%d}'


class _ValueHistory:
    """A stand-in for the store that keeps every value that a key has had."""

    def __init__(self) -> None:
        self.values: dict[str, list[str]] = {}

    async def change(self, key: str, apply: Callable[[str | None], str | None]) -> str | None:
        """Replaces the current value by apply(value) and returns the result."""
        history = self.values.setdefault(key, [])
        value = apply(history[-1] if history else None)
        if value is not None and value not in history[-1:]:
            history.append(value)
        return value


async def _claims_and_settings(store: _ValueHistory) -> list[Any]:
    """Claims and settles requests and agrees on settings; returns the results."""
    claims = Claims(store)
    results = []
    for number, ending in enumerate(("served", "failed", "refused", None)):
        is_ours, claim = await claims.claim(f"job-{number}")
        results.append([is_ours, claim])
        if ending is not None:
            await claims.settle(f"job-{number}", claim, ending)
    results.append(await claims.claim("job-0"))
    results += [await agree_on_settings(store, revision, f'{{"revision":{revision}}}') for revision in (3, 2)]
    return results


def _transaction_ids() -> Callable[[], str]:
    """Returns a function that returns txn-1, txn-2 and so on."""
    count = itertools.count(1)
    return lambda: f"txn-{next(count)}"


def _transactions() -> Iterator[Document]:
    """Yields the document after each transaction of the leader, the policy coordinator and the controller."""
    next_id, document = _transaction_ids(), Document()
    leader = Leader("member-a", 900.0, SimpleNamespace(), 0.0, lambda: 0.5)

    def apply_transaction(txn: Transaction | None) -> Document:
        nonlocal document
        document = leader.document = document.apply(txn)
        return document

    yield apply_transaction(leader.takeover_transaction(0.0, next_id()))
    coordinator = PolicyCoordinator(PermitSettings(60000.0), lambda: WALL_MS + 1.5, next_id)
    coordinator.initial_policy = POLICY_TEXT % 1
    session_state = SimpleNamespace(confirmed_at_ms=1.0, acknowledged_revision=1)
    sessions = SimpleNamespace(leading_since_ms=0.0, sessions={"a.01": session_state, "b.02": session_state})
    yield apply_transaction(coordinator.decide_next_change(1.0, document, sessions))
    coordinator.record_vote("a.01", PolicyVote(wants_permit=True))
    coordinator.record_vote("b.02", PolicyVote(wants_permit=True))
    yield apply_transaction(coordinator.decide_next_change(2.0, document, sessions))
    proposal = {
        "base_version": 1,
        "author": "operator",
        "reason": "more room",
        "timeout_ms": 60000.0,
        "removed_names": ["b"],
    }
    yield apply_transaction(coordinator.propose(document, POLICY_TEXT % 2, **proposal))
    yield apply_transaction(coordinator.abort(document, "operator"))
    yield apply_transaction(coordinator.propose(document, POLICY_TEXT % 3, **proposal))
    for session in ("a.01", "b.02"):
        change = records.read_policy(document).change
        coordinator.record_vote(session, PolicyVote(wants_permit=True, change_id=change.id))
    yield apply_transaction(coordinator.decide_next_change(3.0, document, sessions))
    workers = {"galway": [ListedWorker(1, 0.0, False)], "sligo": [ListedWorker(2, 5.5, False)]}
    controller = ZoneController(
        ZoneLimits(1000.0), lambda: workers, lambda: WALL_MS + 2.5, "member-a", next_id
    )
    for action, zone in (("leave", "galway"), ("hold", "sligo"), ("release", "sligo")):
        order = msgspec.Raw(
            msgspec.json.encode(ZoneOrder(action=action, target=zone, author="operator at a"))
        )
        yield apply_transaction(controller.handle_order(4.0, order, document, leader)[0])
    assignment = state.FeederAssignment(
        number=document.revision, sessions=["a.01", "b.02"], previous_sessions=["a.01"], in_force=False
    )
    yield apply_transaction(
        Transaction(
            next_id(),
            {state.ASSIGNMENT_KEY: state.encode_value(assignment)},
            document.current_revisions(state.ASSIGNMENT_KEY),
        )
    )


def write_store(path: Path) -> None:
    """Writes the folder of one member: every value of the document, the claims and the settings, in order."""
    store = _ValueHistory()
    with _fixed_clock():
        asyncio.run(_claims_and_settings(store))
    store.values[DOCUMENT_KEY] = [encode_document(each) for each in _transactions()]
    register_log = RegisterLog(str(path))
    acceptor, counter = Acceptor(register_log), itertools.count(1)
    for key, values in store.values.items():
        for value in values:
            ballot = (next(counter), "member-a")
            acceptor.handle_message(Prepare(1, key, ballot))
            acceptor.handle_message(Accept(2, key, ballot, value))
    acceptor.handle_message(Prepare(3, DOCUMENT_KEY, (next(counter), "member-b")))
    _close_log(register_log)
    _tear_last_line(path)


def _tear_last_line(path: Path) -> None:
    """Appends part of a line, as a crash during a write leaves it."""
    with open(path / "registers.log", "ab") as log:
        log.write(b'{"key":"flee')


def _close_log(register_log: RegisterLog) -> None:
    register_log.log_file.close()
    register_log.lock_file.close()


def read_store(path: Path) -> dict[str, Any]:
    """Returns what a member reads from its folder. Opening rewrites the file without superseded values."""
    register_log = RegisterLog(str(path))
    registers = dict(register_log.registers)
    _close_log(register_log)
    document = decode_document(registers[DOCUMENT_KEY].value)
    claims = {
        key: msgspec.json.decode(each.value, type=Claim) for key, each in registers.items() if "/" in key
    }
    settings = msgspec.json.decode(registers["settings"].value, type=SharedSettings)
    leader = Leader("member-a", 900.0, SimpleNamespace(), 0.0, lambda: 0.5)
    leader.document = document
    return plain(
        {
            "registers": registers,
            "document": document,
            "claims": claims,
            "settings": settings,
            "keeps": leader.leadership(),
            "ours": leader.is_leader(),
            "zones": state.read_fleet_zones(document),
            "policy": records.read_policy(document),
            "keys": [
                DOCUMENT_KEY,
                LEADERSHIP_KEY,
                state.ZONE_KEY_PREFIX,
                state.ASSIGNMENT_KEY,
                state.HISTORY_KEY,
                *records.FIELDS_BY_KEY,
            ],
        }
    )


def write_claims() -> dict[str, Any]:
    """Claims requests and agrees on settings; returns the results and each value that the keys had."""
    store = _ValueHistory()
    with _fixed_clock():
        results = asyncio.run(_claims_and_settings(store))
    return plain({"found": results, "values": store.values})


# -- the policy


def _policy_version(number: int) -> records.PolicyVersion:
    text = POLICY_TEXT % number
    return records.PolicyVersion(
        number=number,
        digest=records.policy_digest(text),
        text=text,
        author="operator",
        reason="more room",
        wall_ms=WALL_MS + number,
    )


def _close_cache(cache: PolicyCache) -> None:
    cache.lock_file.close()


def write_policy(path: Path) -> None:
    """Writes the policy cache of a scheduler: three versions and, one after the other, two permits."""
    with patch("spanwing.policy.policy_cache.current_boot_id", lambda: BOOT_ID):
        cache = PolicyCache(str(path))
        for number in (1, 2, 3):
            cache.store_version(_policy_version(number))
        cache.store_permit(2, 5000.5)
        cache.store_permit(3, 6000.5)
        _close_cache(cache)


def read_policy(path: Path) -> dict[str, Any]:
    """Returns what a scheduler reads at its start, in the boot of the permit and after a reboot."""
    cache = PolicyCache(str(path))
    with patch("spanwing.policy.policy_cache.current_boot_id", lambda: BOOT_ID):
        same_boot = cache.load_permit()
    with patch("spanwing.policy.policy_cache.current_boot_id", lambda: "another"):
        other_boot = cache.load_permit()
    _close_cache(cache)
    return plain(
        {
            "versions": cache.versions,
            "skipped": cache.skipped_files,
            "permit": same_boot,
            "elsewhere": other_boot,
        }
    )


# -- the status commands


def status() -> dict[str, Any]:
    """Returns the JSON of the status commands, by command, for the last document of write_store()."""
    document = list(_transactions())[-1]
    fleet, policy, lease = state.read_fleet_zones(document), records.read_policy(document), Lease()
    lease.expires_at_ms = 1e18
    agent = SimpleNamespace(
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
        agent=agent,
        follower=follower,
        zone_settings=SimpleNamespace(regions={"west": ("galway", "sligo")}),
        document_service=SimpleNamespace(leader=SimpleNamespace(rejected_renewals=2)),
        may_forward=lambda worker: worker > 2,
    )
    participant = PolicyParticipant("a.01", lambda text: "", lease)
    participant.update_policy(0.0, policy)
    request_manager = SimpleNamespace(scheduler_by_request={"job-1": 1})
    service = object.__new__(PolicyService)
    service.active_version, service.unusable_version = _policy_version(1), None
    service.participant, service.follower, service.request_manager = participant, follower, request_manager
    policy_status = PolicyService.status(service)
    del policy_status["permit_ms"]  # depends on the clock
    return {
        "zones": ZoneService.status(zones),
        "zones history": ZoneService.history(zones),
        "policy": policy_status,
        "policy history": PolicyService.history(service),
    }


WRITERS = {"journal": write_journal, "store": write_store, "policy": write_policy}
READERS = {"journal": read_journal, "store": read_store, "policy": read_policy}
