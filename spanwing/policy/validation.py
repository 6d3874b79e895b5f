"""Validates a proposed policy against this process and its current state.

Pure. find_objection() never raises: text that cannot be decoded is an objection. A policy with unknown
fields, as of a newer program, is rejected instead of being applied in part. Guarantees given to clients must
hold. While requests of a class are open, it cannot be removed, and its effect, group and kind cannot change.
While an idempotency key of a class may be used again, the class must stay keyed and in its group, and its
window cannot shrink.

Bounds: MAX_POLICY_BYTES of text, MAX_CLASSES, MAX_TENANTS.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

import msgspec
import msgspec.inspect

from spanwing import interface as api
from spanwing.policy.records import MAX_POLICY_BYTES, PolicyVersion, policy_digest
from spanwing.settings import SETTING_NAMES, PlatformSettings, scheduler_settings

MAX_CLASSES, MAX_TENANTS = 64, 2000
INITIAL_VERSION = 1  # number of the policy that the first leader's file brings
PER_SCHEDULER_SETTINGS = ("position", "zone")  # never part of a policy
# Read only when the process starts; the second tuple names settings of `permissions`.
RESTART_SETTINGS = ("report_fields", "max_retry_after", "subscribe", "probes")
CONNECTION_SETTINGS = ("conn_idle_ms", "connect_timeout_ms")
TENANT_MEMORY_KB, TENANT_CLASS_MEMORY_KB = 0.4, 0.1  # per tenant, and per class of each tenant


class UnusablePolicyError(ValueError):
    """This scheduler cannot run under a version that is in force; the message says why, in one line."""


class RunningState(NamedTuple):
    """The state of this scheduler that a policy is validated against."""

    settings: api.Settings  # in force, with the position and zone of this scheduler
    open_requests: Mapping[str, int] = {}  # by class; open: unanswered, or with an attempt in flight
    idempotency_windows_ms: Mapping[str, float] = {}  # by keyed class: ms until its open keys expire
    available_memory_mb: float = 64.0
    policy_text: str = ""  # of the policy in force; empty: none


def find_objection(text: str, state: RunningState) -> str:
    """Returns why the policy cannot be applied here, in one line; empty: it can."""
    try:
        return next(_objections(text, state), "")
    except (ValueError, TypeError, RecursionError) as error:
        return _single_line(f"cannot be read: {error}")


def remove_per_scheduler_settings(text: str) -> str:
    """Returns the policy in a settings object: its JSON without the settings of each scheduler.

    Raises ValueError if the text is not JSON.
    """
    raw = msgspec.json.decode(text)
    return msgspec.json.encode(
        {name: each for name, each in raw.items() if name not in PER_SCHEDULER_SETTINGS}
    ).decode()


def parse_policy(text: str, own_settings: api.Settings) -> api.Settings:
    """Returns the settings under a policy, with the position and zone of own_settings.

    Raises ValueError if the policy is invalid.
    """
    options = msgspec.json.decode(text, type=PlatformSettings)
    options.node_index, options.zone = own_settings.node_index, own_settings.zone
    return scheduler_settings(options)


def settings_in_force(version: PolicyVersion, own_settings: api.Settings) -> api.Settings:
    """Returns the settings under a version that is in force, with the position and zone of own_settings.

    It may have come into force without this scheduler's vote. Raises UnusablePolicyError if this scheduler
    cannot run under the whole of it. The initial policy is a settings object of an operator's file, in which
    unknown fields are allowed; a later version has one only if a newer program knows it.
    """
    if version.digest and policy_digest(version.text) != version.digest:
        raise UnusablePolicyError("its text does not match its digest")
    try:
        settings = parse_policy(version.text, own_settings)
        raw = msgspec.json.decode(version.text)
    except (ValueError, TypeError, RecursionError) as error:
        raise UnusablePolicyError(_single_line(_describe(error))) from error
    if version.number > INITIAL_VERSION:
        for path in _unknown_fields(raw, msgspec.inspect.type_info(PlatformSettings), ""):
            raise UnusablePolicyError(f"{path}: this program does not know it")
    return settings


def _describe(error: Exception) -> str:
    """Returns the text of an error; an invalid setting has the name that it has in the settings object."""
    name, separator, message = str(error).partition(": ")
    is_setting = isinstance(error, api.SettingsError)
    return f"{SETTING_NAMES.get(name, name)}{separator}{message}" if is_setting else str(error)


def _objections(text: str, state: RunningState) -> Iterator[str]:
    if len(text.encode()) > MAX_POLICY_BYTES:
        yield f"{len(text.encode())} bytes of policy, {MAX_POLICY_BYTES} are allowed"
        return
    raw, current_settings = msgspec.json.decode(text), state.settings
    if not isinstance(raw, dict):
        yield "the policy is not a JSON object"
        return
    for name in PER_SCHEDULER_SETTINGS:
        if name in raw:
            yield f"{name}: is set for each scheduler, and cannot be part of a policy"
    for path in _unknown_fields(raw, msgspec.inspect.type_info(PlatformSettings), ""):
        yield f"{path}: this program does not know it"
    if len(raw.get("classes") or ()) > MAX_CLASSES:
        yield f"classes: {len(raw['classes'])}, but only {MAX_CLASSES} are allowed"
    if len(raw.get("orgs") or ()) > MAX_TENANTS:
        yield f"orgs: {len(raw['orgs'])}, but only {MAX_TENANTS} are allowed"
    new_settings = parse_policy(text, current_settings)
    for name in RESTART_SETTINGS:
        if getattr(new_settings, name) != getattr(current_settings, name):
            setting = SETTING_NAMES.get(name, name)
            yield f"{setting}: can only be changed by a restart of every scheduler"
    for name in CONNECTION_SETTINGS if state.policy_text else ():
        current_value = (msgspec.json.decode(state.policy_text).get("permissions") or {}).get(name)
        if (raw.get("permissions") or {}).get(name) != current_value:
            yield f"permissions.{name}: can only be changed by a restart of every scheduler"
    for tenant in new_settings.tenants:
        if not tenant.quota_per_s > 0:
            yield f"orgs.{tenant.name}: a quota of {tenant.quota_per_s:g} would reject all of its requests"
    needs_mb = (
        len(new_settings.tenants)
        * (TENANT_MEMORY_KB + TENANT_CLASS_MEMORY_KB * len(new_settings.classes))
        / 1024.0
    )
    if needs_mb > state.available_memory_mb:
        yield f"orgs: need {needs_mb:.0f} MB of memory, only {state.available_memory_mb:.0f} are available"
    yield from _open_request_objections(new_settings, state)


def _open_request_objections(new_settings: api.Settings, state: RunningState) -> Iterator[str]:
    """Yields objections from open requests and idempotency keys at this scheduler."""
    classes = {each.name: each for each in new_settings.classes}
    for old_class in state.settings.classes:
        count, remaining_window_ms = (
            state.open_requests.get(old_class.name, 0),
            state.idempotency_windows_ms.get(old_class.name, 0.0),
        )
        new_class = classes.get(old_class.name)
        if new_class is None:
            if count:
                yield f"classes.{old_class.name}: cannot be removed with {_request_count(count)} open"
            if remaining_window_ms > 0:
                yield (
                    f"classes.{old_class.name}: cannot be removed, as its idempotency keys may be used again "
                    f"for {remaining_window_ms / 1000:.1f} s"
                )
            continue
        compared = (
            ("effect", old_class.idempotency, new_class.idempotency),
            ("group", old_class.repeat_group, new_class.repeat_group),
            ("kind", old_class.kind, new_class.kind),
        )
        for attribute, old_value, new_value in compared:
            if old_value != new_value and count:
                yield (
                    f"classes.{old_class.name}: its {attribute} cannot change from {old_value} "
                    f"to {new_value} with {_request_count(count)} open"
                )
        window_is_preserved = (
            new_class.idempotency == "keyed"
            and new_class.repeat_group == old_class.repeat_group
            and new_class.deduplication_window_ms >= old_class.deduplication_window_ms
        )
        if old_class.idempotency == "keyed" and remaining_window_ms > 0 and not window_is_preserved:
            yield (
                f"classes.{old_class.name}: its idempotency keys may be used again "
                f"for {remaining_window_ms / 1000:.1f} s, which "
                "the new group, window or effect would not recognize"
            )


def _request_count(count: int) -> str:
    return "1 request" if count == 1 else f"{count} requests"


def _unknown_fields(value: Any, known_type: msgspec.inspect.Type, path: str) -> Iterator[str]:
    """Yields the paths in a decoded JSON value that are not fields of the type."""
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
    """Returns the differences between two policies for an operator, one line each.

    Raises ValueError if a text is not JSON.
    """
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
    """Yields every leaf with its path. Objects in a list are indexed by their name, if they have one."""
    if isinstance(value, dict) and value:
        for name, each in value.items():
            yield from _flatten(each, f"{path}.{name}" if path else name)
    elif isinstance(value, list) and value and isinstance(value[0], dict):
        for number, each in enumerate(value):
            name = each.get("name", number) if isinstance(each, dict) else number
            yield from _flatten(each, f"{path}[{name}]")
    else:
        yield path, value
