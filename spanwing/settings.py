"""The settings object of the simulator's first message, which the daemon finds in its configuration."""

from __future__ import annotations

from typing import Any

import msgspec

from spanwing import interface as api

REPORT_FIELDS = {"rif": "inflight", "q": "queue"}
REPORT_EXTRAS = {"free slots": "free_slots", "free memory": "free_memory"}


#: The module's names for what the settings object calls otherwise.
SAID_AS = {
    "nodes": "balancers",
    "node": "position",
    "tick": "tick_ms",
    "zones": "areas",
    "tenants": "orgs",
    "max_attempts": "permissions.max_attempts",
    "max_retry_after": "permissions.max_retry_after_ms",
    "answer_grace": "rules.grace_to_answer_ms",
    "drain_grace": "rules.stop_sending_within_ms",
    "cold_from": "rules.cold_from",
    "cold_ms": "rules.cold_ms",
    "fall_ms": "rules.fall_ms",
    "fall_multiple": "rules.fall_multiple",
    "progress": "specifics.progress_ms",
}


class Class(msgspec.Struct):
    name: str
    aim_ms: float
    deadline_ms: float
    worth: float = 1.0
    late_worth: float = 0.0
    aim_stretch: float | None = None
    idempotency: str = "safe"
    group: str | None = None
    window_ms: float | None = None
    streamed: bool = False


class Org(msgspec.Struct):
    name: str
    allowance_per_s: float


class Report(msgspec.Struct):
    fields: list[str] | None = None
    via: str = ""


class Permissions(msgspec.Struct):
    cancel: bool = False
    probes: bool = False
    peer_messages: bool = False
    max_attempts: int = 1
    retry_after: bool = False
    max_retry_after_ms: float | None = None
    conn_idle_ms: float = 15000.0
    connect_timeout_ms: float = 250.0


class Rules(msgspec.Struct):
    grace_to_answer_ms: float = 0.0
    stop_sending_within_ms: float = 0.0
    ask_every_ms: float = 10000.0
    cold_from: float = 1.0
    cold_ms: float = 0.0
    fall_multiple: float = 1.0
    fall_ms: float = 0.0


class Specifics(msgspec.Struct):
    class_kind: list[int] = []
    class_priority: list[int] = []
    class_stretch: list[float] = []
    memory_unit: str | None = None
    queue_order: str | None = None
    report_x0: str | None = None
    report_x1: str | None = None
    tells_start: bool = False
    progress_ms: float = 0.0


class Options(msgspec.Struct):
    """The values in use; unknown keys are ignored, missing ones get the documented default."""

    classes: list[Class]
    position: int = 0
    balancers: int = 1
    zone: str | None = None
    areas: list[str] | None = None
    kinds: list[str] | None = None
    orgs: list[Org] | None = None
    over_share_worth: float = 1.0
    tick_ms: float = 1.0
    discovery: str | None = None
    weight_source: str | None = None
    report: Report | None = None
    permissions: Permissions | None = None
    rules: Rules | None = None
    specifics: Specifics | None = None


def _service_class(each: Class, index: int, specifics: Specifics, kinds: list[str]) -> api.ServiceClass:
    def told(values: list, default: Any) -> Any:
        return values[index] if index < len(values) else default

    kind = told(specifics.class_kind, -1)
    return api.ServiceClass(
        name=each.name,
        aim=each.aim_ms,
        deadline=each.deadline_ms,
        worth=each.worth,
        late_worth=each.late_worth,
        stretch=told(specifics.class_stretch, each.aim_stretch or 0.0),
        effect=each.idempotency,
        group=each.group or "all",
        window=each.window_ms or 0.0,
        streamed=each.streamed,
        kind=kinds[kind] if 0 <= kind < len(kinds) else None,
        priority=told(specifics.class_priority, 0),
    )


def report_fields(options: Options) -> tuple[str, ...]:
    """The names of a load report's values, in the module's words."""
    report, specifics = options.report or Report(), options.specifics or Specifics()
    said = {"x0": specifics.report_x0, "x1": specifics.report_x1}
    extras = {name: REPORT_EXTRAS.get(text or "", name) for name, text in said.items()}
    fields = () if report.via == "off" else report.fields or ()
    return tuple(extras.get(name, REPORT_FIELDS.get(name, name)) for name in fields)


def settings_of(options: Options) -> api.Settings:
    """Translate; a value that no decision could honour raises ValueError naming it."""
    specifics = options.specifics or Specifics()
    allow, rules = options.permissions or Permissions(), options.rules or Rules()
    return api.Settings(
        classes=tuple(
            _service_class(each, index, specifics, options.kinds or [])
            for index, each in enumerate(options.classes)
        ),
        node=options.position,
        nodes=options.balancers,
        zone=options.zone or "",
        zones=tuple(options.areas or ()),
        tenants=tuple(api.Tenant(each.name, each.allowance_per_s) for each in options.orgs or ()),
        over_share_worth=options.over_share_worth,
        tick=options.tick_ms,
        subscribe=options.discovery == "subscribe",
        report_fields=report_fields(options),
        live_weights=options.weight_source == "live",
        nominal_weights=options.weight_source in ("nominal", "rough"),
        tells_start=specifics.tells_start,
        progress=specifics.progress_ms,
        preempts=specifics.queue_order == "priority",
        counts_memory=specifics.memory_unit is not None,
        cancel=allow.cancel,
        probes=allow.probes,
        peers=allow.peer_messages,
        max_attempts=allow.max_attempts,
        max_retry_after=(allow.max_retry_after_ms or 0.0) if allow.retry_after else 0.0,
        answer_grace=rules.grace_to_answer_ms,
        drain_grace=rules.stop_sending_within_ms,
        cold_from=rules.cold_from,
        cold_ms=rules.cold_ms,
        fall_multiple=rules.fall_multiple,
        fall_ms=rules.fall_ms,
    )
