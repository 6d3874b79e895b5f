"""All that is wrong with a file's values at once, where decoding it stops at the first.

Guarantees: what the file's form allows is never named, and a file that it does not allow names one place at
least. Loaded by `spanwing check` alone.
"""

from __future__ import annotations

from collections.abc import Iterator
from functools import reduce
from operator import or_
from typing import Annotated, Any, Literal

import msgspec
import msgspec.inspect

BOUNDS = ("gt", "ge", "lt", "le", "multiple_of", "min_length", "max_length", "pattern")  # of plain types
ROUNDS = 32  # a struct's own check comes once its values are right


def every_fault(data: bytes, form: type, decode: Any) -> tuple[Any, list[tuple[str, str]]]:
    """Each place in a file that its form does not allow, and why; and what is left without those places, or
    None where that is nothing."""
    try:
        value = decode(data)
    except (ValueError, UnicodeDecodeError) as error:
        return None, [("", str(error))]
    found: list[tuple[str, str]] = []
    for _ in range(ROUNDS):
        now = list(_faults_in(value, msgspec.inspect.type_info(form), ""))
        found += now
        if not now:
            return _converted(value, form), found
        if not all(_remove(value, place) for place, _ in now):
            break
    return None, found


def _converted(value: Any, form: Any) -> Any:
    """By way of JSON: what a form keeps as raw text cannot be converted from values."""
    return msgspec.json.decode(msgspec.json.encode(value), type=form)


def _remove(value: Any, place: str) -> bool:
    """Take a place out; whether there was one."""
    *where, last = place.split(".")
    for each in where:
        value = value.get(each) if isinstance(value, dict) else None
    if not isinstance(value, dict) or last not in value:
        return False
    del value[last]
    return True


def _faults_in(value: Any, form: Any, place: str) -> Iterator[tuple[str, str]]:
    found = False
    if isinstance(form, msgspec.inspect.UnionType):
        form = next((each for each in form.types if isinstance(each, msgspec.inspect.StructType)), form)
    if isinstance(form, msgspec.inspect.StructType) and isinstance(value, dict):
        fields = {each.encode_name: each for each in form.fields}
        for name, each in fields.items():
            where = f"{place}.{name}" if place else name
            if name in value and not isinstance(each.type, msgspec.inspect.RawType):
                for fault in _faults_in(value[name], each.type, where):
                    found = True
                    yield fault
            elif name not in value and each.required:
                found = True
                yield where, "is missing"
        for name in set(value) - set(fields) if form.forbid_unknown_fields else ():
            found = True
            yield f"{place}.{name}" if place else name, f"unknown; known are {', '.join(sorted(fields))}"
    if not found and form != msgspec.inspect.AnyType():
        try:
            _converted(value, _type(form))
        except ValueError as error:
            # A struct names the field that it turns down itself.
            name, colon, fault = str(error).partition(": ")
            if (
                colon
                and isinstance(form, msgspec.inspect.StructType)
                and name in {each.encode_name for each in form.fields}
            ):
                yield f"{place}.{name}" if place else name, fault.partition(" - at `")[0]
            else:
                yield place, str(error).partition(" - at `")[0]


def _type(form: Any) -> Any:
    """The Python type of a plain description, for the conversion of one value."""
    inspect = msgspec.inspect
    match form:
        case inspect.UnionType():
            return reduce(or_, (_type(each) for each in form.types))
        case inspect.StructType():
            return form.cls
        case inspect.LiteralType():
            return Literal[tuple(form.values)]
        case inspect.ListType():
            return list[_type(form.item_type)]
        case inspect.DictType():
            return dict[_type(form.key_type), _type(form.value_type)]
        case inspect.NoneType():
            return None
    plain = {inspect.BoolType: bool, inspect.IntType: int, inspect.FloatType: float, inspect.StrType: str}
    if type(form) not in plain:
        return Any
    bounds = {name: getattr(form, name) for name in BOUNDS if getattr(form, name, None) is not None}
    return Annotated[plain[type(form)], msgspec.Meta(**bounds)] if bounds else plain[type(form)]
