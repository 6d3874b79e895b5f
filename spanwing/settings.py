"""The platform's settings object in JSON, and its conversion to the settings of the decision module.

The simulator sends the object in its first message; the daemon reads it from its configuration. Where the
JSON key of a field differs from the field's name, msgspec.field(name=...) gives the key. Times are in ms.
"""

from __future__ import annotations

from typing import Any

import msgspec

from spanwing import interface as api

#: By the name of a load report field in the settings object, its name in the decision module if it differs.
LOAD_REPORT_NAMES = {"rif": "inflight", "q": "queue"}
#: The same for the fields x0 and x1, by the text of the setting report_x0 or report_x1.
EXTRA_LOAD_REPORT_NAMES = {"free slots": "free_slots", "free memory": "free_memory"}

#: By the name of a setting in a SettingsError, its path in the settings object if it differs.
SETTING_NAMES = {
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


class ClassSettings(msgspec.Struct):
    """A class of requests: latency objective, deadline, priority weight and idempotency."""

    name: str
    latency_objective_ms: float = msgspec.field(name="aim_ms")
    deadline_ms: float
    priority_weight: float = msgspec.field(default=1.0, name="worth")
    late_weight: float = msgspec.field(default=0.0, name="late_worth")  # of an answer after the objective
    # The objective grows by this multiple of the job's own running time.
    objective_stretch: float | None = msgspec.field(default=None, name="aim_stretch")
    idempotency: str = "safe"
    repeat_group: str | None = msgspec.field(default=None, name="group")
    deduplication_window_ms: float | None = msgspec.field(default=None, name="window_ms")
    streamed: bool = False


class TenantSettings(msgspec.Struct):
    """A tenant and its quota in requests per second."""

    name: str
    quota_per_s: float = msgspec.field(name="allowance_per_s")


class ReportSettings(msgspec.Struct):
    """The fields of the workers' load reports; there are no reports if via is "off"."""

    fields: list[str] | None = None
    via: str = ""


class PermissionSettings(msgspec.Struct):
    """What the scheduler may do, and the timeouts of connections to workers."""

    cancel: bool = False
    probes: bool = False
    peer_messages: bool = False
    max_attempts: int = 1
    retry_after: bool = False
    max_retry_after_ms: float | None = None
    conn_idle_ms: float = 15000.0  # idle time after which a worker may close a connection
    connect_timeout_ms: float = 250.0


class RuleSettings(msgspec.Struct):
    """The rules of the platform: grace times, polling, and the limits of workers that warm up."""

    # A final answer may come this long after the deadline.
    answer_grace_ms: float = msgspec.field(default=0.0, name="grace_to_answer_ms")
    # Sends to a draining worker must end within this.
    drain_grace_ms: float = msgspec.field(default=0.0, name="stop_sending_within_ms")
    poll_interval_ms: float = msgspec.field(default=10000.0, name="ask_every_ms")
    slow_start_initial_fraction: float = msgspec.field(default=1.0, name="cold_from")
    slow_start_ms: float = msgspec.field(default=0.0, name="cold_ms")
    overload_multiple: float = msgspec.field(default=1.0, name="fall_multiple")
    overload_window_ms: float = msgspec.field(default=0.0, name="fall_ms")


class SpecificSettings(msgspec.Struct):
    """Further settings of the classes, and properties of the workers' queues and reports.

    The lists have one value for each class, in the order of the classes; values at the end may be missing.
    """

    class_kind: list[int] = []  # index in kinds of the only worker kind that runs the class; -1: any kind
    class_priority: list[int] = []
    class_stretch: list[float] = []  # replaces the class's own objective_stretch
    memory_unit: str | None = None  # if set, a worker's slots also bound the memory of its jobs
    queue_order: str | None = None  # "priority": workers may preempt a job of lower priority
    report_x0: str | None = None  # what the load report field x0 contains, such as "free slots"
    report_x1: str | None = None  # the same for x1
    tells_start: bool = False  # workers report the start of each job
    progress_ms: float = 0.0  # interval at which workers report each running job; 0: never


class PlatformSettings(msgspec.Struct):
    """The complete settings object; unknown keys are ignored, missing ones have the defaults given here."""

    classes: list[ClassSettings]
    node_index: int = msgspec.field(default=0, name="position")
    node_count: int = msgspec.field(default=1, name="balancers")
    zone: str | None = None
    zones: list[str] | None = msgspec.field(default=None, name="areas")
    kinds: list[str] | None = None
    tenants: list[TenantSettings] | None = msgspec.field(default=None, name="orgs")
    # Weight of a request beyond its tenant's quota, as a fraction.
    over_quota_weight: float = msgspec.field(default=1.0, name="over_share_worth")
    tick_ms: float = 1.0
    discovery: str | None = None  # "subscribe": the worker list is sent only on a Watch
    weight_source: str | None = None
    report: ReportSettings | None = None
    permissions: PermissionSettings | None = None
    rules: RuleSettings | None = None
    specifics: SpecificSettings | None = None


def _service_class(
    class_settings: ClassSettings, index: int, specifics: SpecificSettings, kinds: list[str]
) -> api.ServiceClass:
    def value_at(values: list, default: Any) -> Any:
        return values[index] if index < len(values) else default

    kind_index = value_at(specifics.class_kind, -1)
    return api.ServiceClass(
        name=class_settings.name,
        latency_objective_ms=class_settings.latency_objective_ms,
        deadline_ms=class_settings.deadline_ms,
        priority_weight=class_settings.priority_weight,
        late_weight=class_settings.late_weight,
        objective_stretch=value_at(specifics.class_stretch, class_settings.objective_stretch or 0.0),
        idempotency=class_settings.idempotency,
        repeat_group=class_settings.repeat_group or "all",
        deduplication_window_ms=class_settings.deduplication_window_ms or 0.0,
        streamed=class_settings.streamed,
        kind=kinds[kind_index] if 0 <= kind_index < len(kinds) else None,
        priority=value_at(specifics.class_priority, 0),
    )


def load_report_fields(options: PlatformSettings) -> tuple[str, ...]:
    """Returns the fields of a load report in their order, by their names in the decision module."""
    report, specifics = options.report or ReportSettings(), options.specifics or SpecificSettings()
    extra_texts = {"x0": specifics.report_x0, "x1": specifics.report_x1}
    extra_names = {name: EXTRA_LOAD_REPORT_NAMES.get(text or "", name) for name, text in extra_texts.items()}
    fields = () if report.via == "off" else report.fields or ()
    return tuple(extra_names.get(name, LOAD_REPORT_NAMES.get(name, name)) for name in fields)


def scheduler_settings(options: PlatformSettings) -> api.Settings:
    """Returns the settings of the decision module.

    Raises SettingsError, a ValueError that names each setting with an invalid value.
    """
    specifics = options.specifics or SpecificSettings()
    permissions, rules = options.permissions or PermissionSettings(), options.rules or RuleSettings()
    return api.Settings(
        classes=tuple(
            _service_class(each, index, specifics, options.kinds or [])
            for index, each in enumerate(options.classes)
        ),
        node_index=options.node_index,
        node_count=options.node_count,
        zone=options.zone or "",
        zones=tuple(options.zones or ()),
        tenants=tuple(api.Tenant(each.name, each.quota_per_s) for each in options.tenants or ()),
        over_quota_weight=options.over_quota_weight,
        tick_ms=options.tick_ms,
        subscribe=options.discovery == "subscribe",
        report_fields=load_report_fields(options),
        live_weights=options.weight_source == "live",
        nominal_weights=options.weight_source in ("nominal", "rough"),
        tells_start=specifics.tells_start,
        progress_interval_ms=specifics.progress_ms,
        preempts=specifics.queue_order == "priority",
        counts_memory=specifics.memory_unit is not None,
        cancel=permissions.cancel,
        probes=permissions.probes,
        peers=permissions.peer_messages,
        max_attempts=permissions.max_attempts,
        max_retry_after=(permissions.max_retry_after_ms or 0.0) if permissions.retry_after else 0.0,
        answer_grace=rules.answer_grace_ms,
        drain_grace=rules.drain_grace_ms,
        slow_start_initial_fraction=rules.slow_start_initial_fraction,
        slow_start_ms=rules.slow_start_ms,
        overload_multiple=rules.overload_multiple,
        overload_window_ms=rules.overload_window_ms,
    )
