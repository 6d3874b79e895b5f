"""The objects that the golden messages encode, by name, with the codec that the program uses for each.

Only this file and golden_folders.py use names of the program, so a rename in the program changes these two
and nothing under tests/golden/. The `full` object of a struct sets every field to another value than its
default, the `least` object only the fields without a default. Structs that are encoded by position are built
by keyword; otherwise a swap of two fields would go unnoticed.

To rename a field that is stored by name, keep its old name with msgspec.field(name=...); a class keeps its
tag. JobRequest is a dataclass, which has no such names: its fields are stored under their own names.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from spanwing import interface as api
from spanwing import settings
from spanwing.core.messages import JobRequest
from spanwing.discovery.client import DiscoveredEndpoints, DiscoveredWorker
from spanwing.hot_restart import messages, state_transfer
from spanwing.journal import records, snapshot
from spanwing.policy import combined_controller, coordinator, policy_cache
from spanwing.policy import records as policy_records
from spanwing.scheduler import Scheduler
from spanwing.scheduler_state import Attempt, Job, WorkerState
from spanwing.store import claims, document, leader, peer, shared_settings
from spanwing.store import messages as store_messages
from spanwing.zones import controller as zone_controller
from spanwing.zones import evidence, state

MODULES = (
    records,
    snapshot,
    store_messages,
    document,
    leader,
    claims,
    shared_settings,
    state,
    evidence,
    zone_controller,
    policy_records,
    coordinator,
    combined_controller,
    policy_cache,
    messages,
    settings,
)  # each struct that one of these modules defines needs a golden message
NOT_ENCODED = {
    records.JournalRecord,
    state.FleetZones,
    policy_records.PolicyState,
}  # a base class, and values that are derived from a document


class Subject(NamedTuple):
    """Objects that share a codec. `decode` gets the data and the type of the object, which it may ignore."""

    encode: Callable[[Any], bytes]
    decode: Callable[[bytes, type], Any]
    objects: dict[str, Any]
    binary: bool = False


def _json_bytes(value: object) -> bytes:
    return msgspec.json.encode(value)


def _json_value(data: bytes, kind: Any) -> Any:
    return msgspec.json.decode(data, type=kind)


_REQUEST, _RESPONSE = msgspec.json.Decoder(peer.StoreRequest), msgspec.json.Decoder(peer.StoreResponse)


def _peer_value(data: bytes, kind: type) -> Any:
    """Decodes a message between members of the store with the decoder of its direction."""
    return (_RESPONSE if kind in _RESPONSES else _REQUEST).decode(data)


_RESPONSES = (store_messages.RegisterReply, store_messages.RenewalReply, store_messages.OrderResult)


def _journal_records() -> dict[str, Any]:
    """Returns each kind of journal record; the `least` ones have the common fields alone."""
    request = {"request": "job-1", "wall_ms": 1700000000123.5, "mono_ms": 5000.25}
    life = {"request": "", "wall_ms": 1700000000000.0, "mono_ms": 4000.0}
    names = {
        "started": (
            records.ProcessStarted,
            life,
            {"name": "scheduler-a", "life": "0123456789abcdef", "certain": False},
        ),
        "taken": (records.RequestAccepted, request, _ACCEPTED_FIELDS),
        "intent": (
            records.AttemptIntent,
            request,
            {"attempt": 2, "worker": "worker-1", "address": "127.0.0.1:4001"},
        ),
        "last byte": (records.LastByteWritten, request, {"attempt": 2}),
        "unsent": (records.AttemptUnsent, request, {"attempt": 2, "why": "unreachable"}),
        "given up": (records.AttemptCancelled, request, {"attempt": 2, "why": "deadline"}),
        "outcome": (records.AttemptCompleted, request, {"attempt": 2, "result": "ok"}),
        "answered": (records.RequestAnswered, request, {"kind": "served"}),
        "closed": (records.AttemptClosed, request, {"attempt": 2, "worker": "worker-1"}),
        "gap": (
            records.JournalGap,
            life,
            {"since_wall_ms": 1699999999000.5, "count": 7, "why": "the disk is slow"},
        ),
    }
    full = {f"{name} full": kind(**common, **own) for name, (kind, common, own) in names.items()}
    return full | {f"{name} least": kind(**common) for name, (kind, common, _) in names.items()}


_ACCEPTED_FIELDS = {
    "cls": "schedule-apply",
    "tenant": "corrib",
    "key": "key-1",
    "front": "platform",
    "budget_ms": 25000.5,
}
_CHANGE = document.DocumentChange(
    revision=8, transaction_id="change-8", writes={"zone/galway": '{"state":"left"}', "deal": None}
)
_ENTRY = document.DocumentEntry(value='{"member":"a","term":3}', revision=7)
_DOCUMENT = document.Document(8, {"keeper": _ENTRY}, (_CHANGE,))


def _store_messages() -> dict[str, Any]:
    """Returns the messages between schedulers and members of the store."""
    own = store_messages
    ballot, raw = (4, "member-b"), msgspec.Raw
    return {
        "prepare full": own.Prepare(1, "claim/job-1", ballot),
        "accept full": own.Accept(2, "claim/job-1", ballot, "value"),
        "ping full": own.Ping(3),
        "look full": own.ReadRegister(4, "fleet", "member-b"),
        "look least": own.ReadRegister(4, "fleet"),
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
        "submit full": own.SubmitOrder(6, "a.01", raw(b'{"do":"leave","name":"galway"}'), True),
        "submit least": own.SubmitOrder(6, "a.01", raw(b'{"do":"leave","name":"galway"}')),
        "granted full": own.RenewalReply(7, 900.5, "why", (_CHANGE,), _DOCUMENT, ("galway",), 60000.5),
        "granted least": own.RenewalReply(7),
        "done full": own.OrderResult(8, True, "ordered"),
        "reply full": own.RegisterReply(9, True, ballot, (3, "member-a"), "value"),
        "reply least": own.RegisterReply(9, True, ballot),
    }


def _store_values() -> dict[str, Any]:
    """Returns the values that the store holds, and the registers that hold them."""
    register = store_messages.Register
    return {
        "register full": register("fleet", (4, "member-b"), (3, "member-a"), "value"),
        "register least": register("fleet"),
        "entry full": _ENTRY,
        "change full": _CHANGE,
        "document full": _DOCUMENT,
        "document least": document.Document(),
        "txn full": document.Transaction("txn-1", {"deal": "x", "zone/galway": None}, {"deal": 4}),
        "txn least": document.Transaction("txn-1", {"deal": "x"}),
        "keeps full": leader.Leadership("member-a", 3),
        "claim full": claims.Claim("0123456789abcdef", "served"),
        "shared full": shared_settings.SharedSettings(3, '{"a":1}'),
    } | {f"claim {name}": claims.Claim("01", name) for name in ("claimed", "failed", "refused")}


_HISTORY_FIELDS = {
    "number": 9,
    "wall_ms": 1700000000123.5,
    "zone": "galway",
    "state": "left",
    "step": 1,
    "reason": "silent",
    "author": "member-a",
}
_EVIDENCE = evidence.ZoneEvidence(
    healthy_workers=[1, 2], faulty_workers=[3], slots_in_flight=4.5, idle_slots=5.5
)


def _zones() -> dict[str, Any]:
    """Returns the values of the zones in the document, in renewals and in orders."""
    return {
        "zone full": state.ZoneState(
            "returning", 2, 0.5, True, True, 3, "silent", "member-a", {"17": 1700000000123.5}
        ),
        "zone least": state.ZoneState(),
        "deal full": state.FeederAssignment(4, ["a.01"], ["b.02"], True),
        "deal least": state.FeederAssignment(4, ["a.01"]),
        "past full": state.ZoneHistoryEntry(**_HISTORY_FIELDS, share=0.25),
        "past least": state.ZoneHistoryEntry(**_HISTORY_FIELDS),
        "words full": _EVIDENCE,
        "words least": evidence.ZoneEvidence(healthy_workers=[1, 2], faulty_workers=[3]),
        "report full": evidence.EvidenceReport(zones={"galway": _EVIDENCE}),
        "order full": zone_controller.ZoneOrder("leave", "galway", 30.5, "operator at a"),
        "order least": zone_controller.ZoneOrder("return", "galway"),
    } | {f"zone {name}": state.ZoneState(name) for name in ("leaving", "left")}


def _policy() -> dict[str, Any]:
    """Returns the values of the policy in the document, in renewals, in orders and in the policy cache."""
    version = policy_records.PolicyVersion(
        3, "0123456789abcdef", '{"a":1}', "operator", "more room", 1700000000123.5
    )
    change = policy_records.PolicyChange("change-1", "closing", 60000.5, ["b.02"], 2)
    past = policy_records.PolicyHistoryEntry(
        number=3,
        wall_ms=1700000000123.5,
        taken=True,
        reason="more room",
        author="operator",
        digest="0123456789abcdef",
    )
    return {
        "version full": version,
        "version least": policy_records.PolicyVersion(),
        "change full": change,
        "change least": policy_records.PolicyChange("change-1", "asking", 60000.5),
        "past full": past,
        "says full": coordinator.PolicyVote(wants_permit=True, change_id="change-1", objection="no"),
        "says least": coordinator.PolicyVote(),
        "order full": combined_controller.PolicyOrder(
            "propose", '{"a":1}', 2, "operator at a", "more room", 30.5, ["b"]
        ),
        "order least": combined_controller.PolicyOrder("abort"),
        "order waits": combined_controller.PolicyOrder("waits"),
        "permit full": policy_cache.CachedPermit(3, 5000.5, "0b0b0b0b-0000-4000-8000-000000000001"),
    }


_ESTIMATES = messages.WorkerEstimates(
    worker_id=11,
    estimated_slots=4.5,
    slots_reported=True,
    reserved_slots=2,
    foreign_slots=1.5,
    last_observed_ms=90.5,
    last_heard_ms=80.5,
    reports_progress=False,
    ejected_until_ms=70.5,
    ejection_count=3,
    concurrency_limit=2.5,
    peak_running_slots=6.5,
    capacity_fixed_until_ms=60.5,
    relative_service_time=1.25,
    recent_work=[(50.5, 40.5)],
)
_NEVER_OBSERVED = messages.WorkerEstimates(
    worker_id=12,
    estimated_slots=4.5,
    slots_reported=False,
    reserved_slots=0,
    foreign_slots=0.0,
    last_observed_ms=None,
    last_heard_ms=0.0,
    reports_progress=False,
    ejected_until_ms=0.0,
    ejection_count=0,
    concurrency_limit=None,
    peak_running_slots=0.0,
    capacity_fixed_until_ms=0.0,
    relative_service_time=1.0,
    recent_work=[],
)
_WORKER_ENTRY = DiscoveredWorker(
    "worker-1", "127.0.0.1:4001", "galway", "large", 7, "leaving", 8.5, 1700000000123.5
)
_JOB_REQUEST = JobRequest(
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
_CONNECTION = messages.TransferredConnection(b"read already", True, True, "127.0.0.1:5001")
_ATTEMPT = messages.TransferredAttempt(
    worker_id=11, forwarded_ms=1.5, is_open=False, started_ms=2.5, last_progress_ms=3.5, never_ran=True
)


def _hot_restart_messages() -> dict[str, Any]:
    """Returns the messages between predecessor and successor of a hot restart."""
    own = messages
    plain = own.TransferredConnection(b"", False, False, "")
    return {
        "hello full": own.SuccessorHello(own.VERSION),
        "held full": own.ConnectionCounts(100, 200),
        "ready full": own.SuccessorReady(),
        "workers full": own.WorkerEstimatesBatch([_WORKER_ENTRY], [_ESTIMATES, _NEVER_OBSERVED]),
        "workers plain": own.WorkerEstimatesBatch([DiscoveredWorker("worker-1")], []),
        "learned full": own.SchedulerEstimates(
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
        "learned plain": own.SchedulerEstimates(None, "", 0.0, {}, {}, {}, 0.0, 0.0, False, {}),
        "ids full": own.RequestIdChanges(["job-1"], ["job-2"]),
        "ids least": own.RequestIdChanges(),
        "over full": own.AcceptingStopped(),
        "called full": own.ForwardedCallback("worker-1", "job-1", "done", b"body", (1.5, 2.5)),
        "called plain": own.ForwardedCallback("worker-1", "job-1", "started", b"", None),
        "passed full": _CONNECTION,
        "moved full": own.TransferredRequest(
            _CONNECTION,
            True,
            _JOB_REQUEST,
            1.5,
            2.5,
            True,
            True,
            3,
            [_ATTEMPT],
            "worker-1",
            "127.0.0.1:4001",
            4.5,
        ),
        "moved least": own.TransferredRequest(
            plain, False, JobRequest("job-1", "schedule-apply", 1.5), 1.5, 2.5, False, False, 0, []
        ),
        "bye full": own.PredecessorDone(),
        "state of workers": own.WorkerEstimatesBatch(
            [],
            [
                state_transfer.export_worker(_worker_state()),
                state_transfer.export_worker(_unobserved_worker()),
            ],
        ),
        "state of workers, told on": own.WorkerEstimatesBatch(
            [],
            [
                msgspec.structs.replace(
                    _ESTIMATES, reserved_slots=0, foreign_slots=3.5, last_observed_ms=100.5
                ),
                _NEVER_OBSERVED,
            ],
        ),
        "state of the module": state_transfer.export_scheduler(_scheduler(), 7, "127.0.0.1:6001"),
        "state of a job": own.TransferredRequest(
            plain, False, _JOB_REQUEST, 1.5, 2.5, False, False, 1, state_transfer.export_attempts(_job())
        ),
    }


def _hot_restart_parts() -> dict[str, Any]:
    """Returns the structs that the hot restart messages contain."""
    return {
        "worker seen full": _ESTIMATES,
        "worker never seen": _NEVER_OBSERVED,
        "tried full": _ATTEMPT,
        "member full": _WORKER_ENTRY,
        "member least": DiscoveredWorker("worker-1"),
        "envelope full": _JOB_REQUEST,
        "envelope least": JobRequest("job-1", "schedule-apply", 1.5),
    }


def _worker_state() -> WorkerState:
    """Returns the state of a worker with distinct values in the fields that a hot restart transfers."""
    view = WorkerState(
        entry=api.Worker(11),
        feeder_share=0.0,
        estimated_slots=4.5,
        is_owned=False,
        slots_reported=True,
        reserved_slots=2,
        running_slots=1,
        reserved_memory=5.5,
        peak_running_slots=6.5,
        capacity_fixed_until_ms=60.5,
        foreign_slots=1.5,
        last_observed_ms=90.5,
        last_probed_ms=95.5,
        last_heard_ms=80.5,
        reports_progress=False,
        ejected_until_ms=70.5,
        ejection_count=3,
        concurrency_limit=2.5,
        max_weight=7.5,
        relative_service_time=1.25,
    )
    view.recent_work.append((50.5, 40.5))
    return view


def _unobserved_worker() -> WorkerState:
    """Returns the state of a worker that has not been observed yet."""
    return WorkerState(api.Worker(12), 0.0, 4.5)


def _scheduler() -> Scheduler:
    """Returns a scheduler with estimates that differ from those at its start."""
    cls = api.ServiceClass("schedule-apply", latency_objective_ms=300.0, deadline_ms=5000.0)
    scheduler_settings = api.Settings(
        (cls,), zone="galway", zones=("galway", "sligo"), tenants=(api.Tenant("corrib", 2.0),)
    )
    scheduler = Scheduler(scheduler_settings, 1, 1.5)
    (
        scheduler.mean_service_ms,
        scheduler.slots_by_kind,
        scheduler.fleet_utilization,
        scheduler.sticky_share,
        scheduler.acceptance_reported,
    ) = (
        [2.5],
        {"large": 4.5},
        0.75,
        0.25,
        True,
    )
    account = scheduler.token_accounts["corrib"]
    account.earned, account.spent, account.burst_allowance = 1.5, 2.5, 3.5
    return scheduler


def _job() -> Job:
    """Returns a job with one attempt, which has ended."""
    request = api.Request("job-1", "schedule-apply", 25000.0)
    job = Job(
        request, api.ServiceClass("schedule-apply", latency_objective_ms=300.0, deadline_ms=5000.0), 0, 1.5
    )
    job.attempts.append(
        Attempt(
            job=job,
            worker=_worker_state(),
            forwarded_ms=1.5,
            is_open=False,
            started_ms=2.5,
            last_progress_ms=3.5,
            never_ran=True,
        )
    )
    return job


def transfer_state(workers: bytes, scheduler: bytes) -> tuple[bytes, bytes]:
    """Imports two hot restart messages into a new scheduler; returns its state exported as such messages."""
    batch, estimates = messages.decode_message(workers), messages.decode_message(scheduler)
    successor = Scheduler(_scheduler().settings, 2, 0.0)
    state_transfer.import_scheduler(successor, estimates, 0.0)
    exported = []
    for worker_estimates in batch.estimates:
        worker_state = WorkerState(api.Worker(worker_estimates.worker_id), 0.0, 1.0)
        state_transfer.import_worker(worker_state, worker_estimates, 100.5)
        exported.append(state_transfer.export_worker(worker_state))
    return (
        messages.encode_message(messages.WorkerEstimatesBatch([], exported)),
        messages.encode_message(
            state_transfer.export_scheduler(successor, estimates.revision, estimates.discovery)
        ),
    )


def _snapshot_parts() -> dict[str, Any]:
    """Returns the structs of a journal snapshot."""
    attempt = snapshot.AttemptSnapshot(
        number=2,
        worker="worker-1",
        address="127.0.0.1:4001",
        intent_ms=1.5,
        last_byte_ms=2.5,
        unsent_reason="unreachable",
        cancel_reason="deadline",
        result="ok",
        is_closed_at_start=True,
    )
    accepted = records.RequestAccepted(request="job-1", wall_ms=1.5, mono_ms=2.5, **_ACCEPTED_FIELDS)
    request = snapshot.RequestSnapshot(
        id="job-1",
        first_number=9,
        accepted=accepted,
        answer="served",
        answered_ms=3.5,
        is_interrupted=True,
        attempts=[attempt],
        may_lack_attempts=False,
    )
    return {
        "kept attempt full": attempt,
        "kept request full": request,
    }


def _settings() -> dict[str, Any]:
    """Returns the settings that a policy text holds, and the persisted list of a settings file."""
    own = settings
    cls = own.ClassSettings("bill", 300.5, 5000.5, 2.5, 0.5, 1.5, "keyed", "zone", 4000.5, True)
    tenant = own.TenantSettings("corrib", 2.5)
    report = own.ReportSettings(["rif", "q", "x0"], "header")
    permissions = own.PermissionSettings(True, True, True, 5, True, 900.5, 14000.5, 240.5)
    rules = own.RuleSettings(16.5, 500.5, 9000.5, 0.25, 10000.5, 3.5, 1000.5)
    specifics = own.SpecificSettings(
        [1], [2], [1.25], "mb", "priority", "free slots", "free memory", True, 100.5
    )
    options = own.PlatformSettings(
        classes=[cls],
        node_index=2,
        node_count=3,
        zone="galway",
        zones=["galway", "sligo"],
        kinds=["small", "large"],
        tenants=[tenant],
        over_quota_weight=0.5,
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
        "class least": own.ClassSettings("bill", 300.5, 5000.5),
        "org full": tenant,
        "report full": report,
        "report least": own.ReportSettings(),
        "permissions full": permissions,
        "permissions least": own.PermissionSettings(),
        "rules full": rules,
        "rules least": own.RuleSettings(),
        "specifics full": specifics,
        "specifics least": own.SpecificSettings(),
        "options full": options,
        "options least": own.PlatformSettings([]),
        "member full": _WORKER_ENTRY,
        "member least": DiscoveredWorker("worker-1"),
        "member list full": DiscoveredEndpoints(7, True, [_WORKER_ENTRY]),
        "member list least": DiscoveredEndpoints(),
    }


def read_settings(text: bytes) -> list[Any]:
    """Returns the settings that the scheduler gets from a policy text, by position."""
    scheduler_settings = settings.scheduler_settings(
        msgspec.json.decode(text, type=settings.PlatformSettings)
    )
    return [
        [dataclasses.astuple(part) if dataclasses.is_dataclass(part) else part for part in value]
        if isinstance(value, tuple)
        else value
        for value in (
            getattr(scheduler_settings, each.name) for each in dataclasses.fields(scheduler_settings)
        )
    ]


def _msgpack_value(data: bytes, kind: type) -> Any:
    return msgspec.msgpack.decode(data, type=kind)


SUBJECTS = {
    "journal-records": Subject(
        records.encode_record, lambda data, _: records.decode_record(data), _journal_records(), True
    ),
    "journal-snapshot": Subject(msgspec.msgpack.encode, _msgpack_value, _snapshot_parts(), True),
    "store-messages": Subject(_json_bytes, _peer_value, _store_messages()),
    "store-values": Subject(_json_bytes, _json_value, _store_values()),
    "zones": Subject(_json_bytes, _json_value, _zones()),
    "settings": Subject(_json_bytes, _json_value, _settings()),
    "policy": Subject(_json_bytes, _json_value, _policy()),
    "handover-messages": Subject(
        messages.encode_message, lambda data, _: messages.decode_message(data), _hot_restart_messages(), True
    ),
    "handover-parts": Subject(msgspec.msgpack.encode, _msgpack_value, _hot_restart_parts(), True),
}


def structs_without_message() -> set[str]:
    """Returns the names of the structs of MODULES that have no object in SUBJECTS."""
    defined = {
        each
        for module in MODULES
        for each in vars(module).values()
        if isinstance(each, type) and issubclass(each, msgspec.Struct) and each.__module__ == module.__name__
    }
    covered = {type(each) for subject in SUBJECTS.values() for each in subject.objects.values()}
    return {each.__name__ for each in defined - covered - NOT_ENCODED}


def fields_left_at_default(value: Any) -> list[str]:
    """Returns the names of the fields of an object that are equal to their default."""
    if isinstance(value, msgspec.Struct):
        names = []
        for each in msgspec.structs.fields(value):
            default = (
                each.default_factory() if each.default_factory is not msgspec.NODEFAULT else each.default
            )
            if each.default is not msgspec.NODEFAULT or each.default_factory is not msgspec.NODEFAULT:
                names += [each.name] if getattr(value, each.name) == default else []
        return names
    return [
        each.name
        for each in dataclasses.fields(value)
        if each.default is not dataclasses.MISSING and getattr(value, each.name) == each.default
    ]
