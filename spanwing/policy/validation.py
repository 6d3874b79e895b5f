"""Validates a proposed policy against this process and its state: no objection, or one reason.

Pure; find_objection() never raises: text that cannot be read is an objection. A policy with fields that this
program does not know (of a newer program) is rejected, not applied in part. Promises made to clients must
hold: a class cannot be removed, nor change its effect or its group, while requests of it are open, and an
idempotency window cannot shrink while a key of it may be used again.

Bounds: MAX_POLICY_BYTES of text, MAX_CLASSES, MAX_TENANTS.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

import msgspec
import msgspec.inspect

from spanwing import interface as api
from spanwing.policy.records import MAX_POLICY_BYTES
from spanwing.settings import SETTING_NAMES, PlatformSettings, scheduler_settings

MAX_CLASSES, MAX_TENANTS = 64, 2000
PER_SCHEDULER_SETTINGS = ("position", "zone")  # a member's own, never part of a policy
RESTART_SETTINGS = ("report_fields", "max_retry_after", "subscribe", "probes")  # read only at the start
CONNECTION_SETTINGS = ("conn_idle_ms", "connect_timeout_ms")
TENANT_MEMORY_KB, TENANT_CLASS_MEMORY_KB = 0.4, 0.1  # for each tenant, and for each class of a tenant


class RunningState(NamedTuple):
    """What a policy is validated against at this scheduler."""

    settings: api.Settings  # in use, with this scheduler's own position and zone
    open_requests: Mapping[str, int] = {}  # by class: unanswered, or with an attempt in flight
    idempotency_windows_ms: Mapping[str, float] = {}  # by keyed class: ms until no open key may be used again
    available_memory_mb: float = 64.0
    policy_text: str = ""  # of the policy in use


def find_objection(text: str, state: RunningState) -> str:
    """Returns why the policy cannot be applied, in one line; empty: it can."""
    try:
        return next(_objections(text, state), "")
    except (ValueError, TypeError, RecursionError) as error:
        return _single_line(f"cannot be read: {error}")


def remove_per_scheduler_settings(text: str) -> str:
    """Returns the policy part of a settings object, as JSON. Raises ValueError."""
    raw = msgspec.json.decode(text)
    return msgspec.json.encode(
        {name: each for name, each in raw.items() if name not in PER_SCHEDULER_SETTINGS}
    ).decode()


def parse_policy(text: str, own_settings: api.Settings) -> api.Settings:
    """Returns the settings of a scheduler with this position and zone under a policy. Raises ValueError."""
    options = msgspec.json.decode(text, type=PlatformSettings)
    options.node_index, options.zone = own_settings.node, own_settings.zone
    return scheduler_settings(options)


def _objections(text: str, state: RunningState) -> Iterator[str]:
    if len(text.encode()) > MAX_POLICY_BYTES:
        yield f"{len(text.encode())} bytes, {MAX_POLICY_BYTES} at most"
        return
    raw, current_settings = msgspec.json.decode(text), state.settings
    if not isinstance(raw, dict):
        yield "is no object"
        return
    for name in PER_SCHEDULER_SETTINGS:
        if name in raw:
            yield f"{name}: is a member's own, and no policy's"
    for path in _unknown_fields(raw, msgspec.inspect.type_info(PlatformSettings), ""):
        yield f"{path}: this program does not know it"
    if len(raw.get("classes") or ()) > MAX_CLASSES:
        yield f"classes: {len(raw['classes'])}, {MAX_CLASSES} at most"
    if len(raw.get("orgs") or ()) > MAX_TENANTS:
        yield f"orgs: {len(raw['orgs'])}, {MAX_TENANTS} at most"
    new_settings = parse_policy(text, current_settings)
    for name in RESTART_SETTINGS:
        if getattr(new_settings, name) != getattr(current_settings, name):
            setting = SETTING_NAMES.get(name, name)
            yield f"{setting}: takes a restart of every scheduler, not a change while serving"
    for name in CONNECTION_SETTINGS if state.policy_text else ():
        current_value = (msgspec.json.decode(state.policy_text).get("permissions") or {}).get(name)
        if (raw.get("permissions") or {}).get(name) != current_value:
            yield f"permissions.{name}: takes a restart of every scheduler, not a change while serving"
    for tenant in new_settings.tenants:
        if not tenant.rate > 0:
            yield f"orgs.{tenant.name}: a share of {tenant.rate:g} would turn away all of its work"
    needs_mb = (
        len(new_settings.tenants)
        * (TENANT_MEMORY_KB + TENANT_CLASS_MEMORY_KB * len(new_settings.classes))
        / 1024.0
    )
    if needs_mb > state.available_memory_mb:
        yield f"needs {needs_mb:.0f} MB, {state.available_memory_mb:.0f} are spare"
    yield from _broken_promises(new_settings, state)


def _broken_promises(new_settings: api.Settings, state: RunningState) -> Iterator[str]:
    """Yields objections from requests and idempotency windows that are open here."""
    classes = {each.name: each for each in new_settings.classes}
    for old_class in state.settings.classes:
        count, remaining_window_ms = (
            state.open_requests.get(old_class.name, 0),
            state.idempotency_windows_ms.get(old_class.name, 0.0),
        )
        new_class = classes.get(old_class.name)
        if new_class is None:
            if count:
                yield f"classes.{old_class.name}: goes, while {_request_count(count)} of it are open"
            if remaining_window_ms > 0:
                yield (
                    f"classes.{old_class.name}: goes, while keys of it may come again "
                    f"for {remaining_window_ms / 1000:.1f} s"
                )
            continue
        compared = (
            ("effect", old_class.effect, new_class.effect),
            ("group", old_class.group, new_class.group),
            ("kind", old_class.kind, new_class.kind),
        )
        for attribute, old_value, new_value in compared:
            if old_value != new_value and count:
                yield (
                    f"classes.{old_class.name}: its {attribute} turns from {old_value} to {new_value}, "
                    f"while {_request_count(count)} "
                    "of it are open"
                )
        window_is_preserved = (
            new_class.effect == "keyed"
            and new_class.group == old_class.group
            and new_class.window >= old_class.window
        )
        if old_class.effect == "keyed" and remaining_window_ms > 0 and not window_is_preserved:
            yield (
                f"classes.{old_class.name}: keys of it may come again "
                f"for {remaining_window_ms / 1000:.1f} s, which its "
                "window or its effect would no longer see"
            )


def _request_count(count: int) -> str:
    return "1 job" if count == 1 else f"{count} jobs"


def _unknown_fields(value: Any, known_type: msgspec.inspect.Type, path: str) -> Iterator[str]:
    """Yields the paths of the text that are no fields of the settings."""
    if isinstance(known_type, msgspec.inspect.UnionType):
        for each in known_type.types:
            if isinstance(each, msgspec.inspect.StructType | msgspec.inspect.ListType):
                yield from _unknown_fields(value, each, path)
    elif isinstance(known_type, msgspec.inspect.ListType) and isinstance(value, list):
        for number, each in enumerate(value):
            yield from _unknown_fields(each, known_type.item_type, f"{path}[{number}]")
    elif isinstance(known_type, msgspec.inspect.StructType) and isinstance(value, dict):
        fields = {each.encode_name: each.type for each in known_type.fields}
        for name, each in value.items():
            field_path = f"{path}.{name}" if path else name
            if name not in fields:
                yield field_path[:120]
            else:
                yield from _unknown_fields(each, fields[name], field_path)


def _single_line(text: str) -> str:
    return " ".join(text.split())[:200]


def describe_differences(old: str, new: str) -> list[str]:
    """Returns what changes from one policy to another, a line each, for an operator. Raises ValueError."""
    before, after = (dict(_flatten(msgspec.json.decode(text), "")) for text in (old, new))
    found = []
    for path in sorted({*before, *after}):
        if path not in after:
            found.append(f"- {path} = {before[path]}")
        elif path not in before:
            found.append(f"+ {path} = {after[path]}")
        elif before[path] != after[path]:
            found.append(f"  {path}: {before[path]} -> {after[path]}")
    return found


def _flatten(value: Any, path: str) -> Iterator[tuple[str, Any]]:
    """Yields every leaf with its path; items of a list by their name, where they have one."""
    if isinstance(value, dict) and value:
        for name, each in value.items():
            yield from _flatten(each, f"{path}.{name}" if path else name)
    elif isinstance(value, list) and value and isinstance(value[0], dict):
        for number, each in enumerate(value):
            name = each.get("name", number) if isinstance(each, dict) else number
            yield from _flatten(each, f"{path}[{name}]")
    else:
        yield path, value
