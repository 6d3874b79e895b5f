"""Whether a proposed policy can be taken over here and now: ready, or no with one reason.

Guarantees: pure; never raises, whatever the text is. A policy of a newer program, which names what this one
does not know, is refused rather than read in part. What runs forbids what would break a promise that was
made: a class cannot go, change its effect or its group while jobs of it are open, and a window cannot shrink
while a key of it may still come again. Bounds: LONGEST bytes of text, MOST_CLASSES, MOST_BRANDS.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

import msgspec
import msgspec.inspect

from spanwing import interface as api
from spanwing.policy.record import LONGEST
from spanwing.settings import SAID_AS, Options, settings_of

MOST_CLASSES, MOST_BRANDS = 64, 2000
OWN = ("position", "zone")  # a member's own, which no policy says
FIXED = ("report_fields", "max_retry_after", "subscribe", "probes")  # read at a start alone
CONNECTIONS = ("conn_idle_ms", "connect_timeout_ms")
LEDGER_KB, CLASS_KB = 0.4, 0.1  # of a brand, and of a class of it


class Running(NamedTuple):
    """What is going on at this scheduler."""

    settings: api.Settings  # in use, with our own position and zone
    open: Mapping[str, int] = {}  # by class: jobs that owe their answer or have an attempt out
    windows: Mapping[str, float] = {}  # by keyed class: ms until the last key that is open may come no more
    spare_mb: float = 64.0
    text: str = ""  # of the policy in use


def unsound(text: str, running: Running) -> str:
    """Why it cannot be taken over, one line; empty: it can."""
    try:
        return next(_reasons(text, running), "")
    except (ValueError, TypeError, RecursionError) as error:
        return _line(f"cannot be read: {error}")


def without_own(text: str) -> str:
    """The policy in a settings object. Raises ValueError."""
    raw = msgspec.json.decode(text)
    return msgspec.json.encode({name: each for name, each in raw.items() if name not in OWN}).decode()


def parse(text: str, own: api.Settings) -> api.Settings:
    """The settings that a scheduler with this position and zone makes of a policy. Raises ValueError."""
    options = msgspec.json.decode(text, type=Options)
    options.position, options.zone = own.node, own.zone
    return settings_of(options)


def _reasons(text: str, running: Running) -> Iterator[str]:
    if len(text.encode()) > LONGEST:
        yield f"{len(text.encode())} bytes, {LONGEST} at most"
        return
    raw, own = msgspec.json.decode(text), running.settings
    if not isinstance(raw, dict):
        yield "is no object"
        return
    for name in OWN:
        if name in raw:
            yield f"{name}: is a member's own, and no policy's"
    for place in _unknown(raw, msgspec.inspect.type_info(Options), ""):
        yield f"{place}: this program does not know it"
    if len(raw.get("classes") or ()) > MOST_CLASSES:
        yield f"classes: {len(raw['classes'])}, {MOST_CLASSES} at most"
    if len(raw.get("orgs") or ()) > MOST_BRANDS:
        yield f"orgs: {len(raw['orgs'])}, {MOST_BRANDS} at most"
    new = parse(text, own)
    for name in FIXED:
        if getattr(new, name) != getattr(own, name):
            yield f"{SAID_AS.get(name, name)}: takes a restart of every scheduler, not a change while serving"
    for name in CONNECTIONS if running.text else ():
        before = (msgspec.json.decode(running.text).get("permissions") or {}).get(name)
        if (raw.get("permissions") or {}).get(name) != before:
            yield f"permissions.{name}: takes a restart of every scheduler, not a change while serving"
    for tenant in new.tenants:
        if not tenant.rate > 0:
            yield f"orgs.{tenant.name}: a share of {tenant.rate:g} would turn away all of its work"
    needs_mb = len(new.tenants) * (LEDGER_KB + CLASS_KB * len(new.classes)) / 1024.0
    if needs_mb > running.spare_mb:
        yield f"needs {needs_mb:.0f} MB, {running.spare_mb:.0f} are spare"
    yield from _promises(new, running)


def _promises(new: api.Settings, running: Running) -> Iterator[str]:
    """What jobs and windows that are open here forbid."""
    classes = {each.name: each for each in new.classes}
    for old in running.settings.classes:
        count, rest = running.open.get(old.name, 0), running.windows.get(old.name, 0.0)
        now = classes.get(old.name)
        if now is None:
            if count:
                yield f"classes.{old.name}: goes, while {_jobs(count)} of it are open"
            if rest > 0:
                yield f"classes.{old.name}: goes, while keys of it may come again for {rest / 1000:.1f} s"
            continue
        for what in ("effect", "group", "kind"):
            was, becomes = getattr(old, what), getattr(now, what)
            if was != becomes and count:
                yield (
                    f"classes.{old.name}: its {what} turns from {was} to {becomes}, while {_jobs(count)} "
                    "of it are open"
                )
        kept = now.effect == "keyed" and now.group == old.group and now.window >= old.window
        if old.effect == "keyed" and rest > 0 and not kept:
            yield (
                f"classes.{old.name}: keys of it may come again for {rest / 1000:.1f} s, which its "
                "window or its effect would no longer see"
            )


def _jobs(count: int) -> str:
    return "1 job" if count == 1 else f"{count} jobs"


def _unknown(value: Any, known: msgspec.inspect.Type, place: str) -> Iterator[str]:
    """Places of the text that no field of ours has."""
    if isinstance(known, msgspec.inspect.UnionType):
        for each in known.types:
            if isinstance(each, msgspec.inspect.StructType | msgspec.inspect.ListType):
                yield from _unknown(value, each, place)
    elif isinstance(known, msgspec.inspect.ListType) and isinstance(value, list):
        for number, each in enumerate(value):
            yield from _unknown(each, known.item_type, f"{place}[{number}]")
    elif isinstance(known, msgspec.inspect.StructType) and isinstance(value, dict):
        fields = {each.encode_name: each.type for each in known.fields}
        for name, each in value.items():
            where = f"{place}.{name}" if place else name
            if name not in fields:
                yield where[:120]
            else:
                yield from _unknown(each, fields[name], where)


def _line(text: str) -> str:
    return " ".join(text.split())[:200]


def differences(old: str, new: str) -> list[str]:
    """What changes from one policy to another, a line each; for an operator to read. Raises ValueError."""
    before, after = (dict(_flat(msgspec.json.decode(text), "")) for text in (old, new))
    found = []
    for place in sorted({*before, *after}):
        if place not in after:
            found.append(f"- {place} = {before[place]}")
        elif place not in before:
            found.append(f"+ {place} = {after[place]}")
        elif before[place] != after[place]:
            found.append(f"  {place}: {before[place]} -> {after[place]}")
    return found


def _flat(value: Any, place: str) -> Iterator[tuple[str, Any]]:
    """Every leaf with its place; things of a list by their name, where they have one."""
    if isinstance(value, dict) and value:
        for name, each in value.items():
            yield from _flat(each, f"{place}.{name}" if place else name)
    elif isinstance(value, list) and value and isinstance(value[0], dict):
        for number, each in enumerate(value):
            name = each.get("name", number) if isinstance(each, dict) else number
            yield from _flat(each, f"{place}[{name}]")
    else:
        yield place, value
