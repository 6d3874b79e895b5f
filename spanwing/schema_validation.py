"""Validates a decoded file against its type and finds all errors, where msgspec reports only the first.

Valid values are never reported, and an invalid file yields at least one error. `spanwing check` and the
scenarios of the simulation use it; the daemon, which stops at the first error, never loads it.
"""

from __future__ import annotations

from collections.abc import Iterator
from functools import reduce
from operator import or_
from typing import Annotated, Any, Literal

import msgspec
import msgspec.inspect

# Constraints of msgspec.Meta that apply to plain types.
CONSTRAINT_NAMES = ("gt", "ge", "lt", "le", "multiple_of", "min_length", "max_length", "pattern")
# A struct's own check (__post_init__) runs only once its fields are valid, and stops at its first error: each
# round removes the values found invalid so far and validates again.
MAX_ROUNDS = 32


def find_all_errors(data: bytes, struct_type: type, decode: Any) -> tuple[Any, list[tuple[str, str]]]:
    """Decodes data as struct_type and returns the value and its errors, as pairs of path and message.

    Invalid fields are left out of the value; it is None if the rest is invalid without them. A path has the
    form "table.key"; an empty path stands for the entire file.
    """
    try:
        value = decode(data)
    except (ValueError, UnicodeDecodeError) as error:
        return None, [("", str(error))]
    errors: list[tuple[str, str]] = []
    for _ in range(MAX_ROUNDS):
        round_errors = list(_find_errors(value, msgspec.inspect.type_info(struct_type), ""))
        errors += round_errors
        if not round_errors:
            return _convert(value, struct_type), errors
        if not all(_remove_path(value, path) for path, _ in round_errors):
            break
    return None, errors


def _convert(value: Any, target_type: Any) -> Any:
    """Converts a value to a type through JSON, since msgspec.convert does not support fields of type Raw."""
    return msgspec.json.decode(msgspec.json.encode(value), type=target_type)


def _remove_path(value: Any, path: str) -> bool:
    """Removes the value at this path; returns whether there was one."""
    *parent_keys, last_key = path.split(".")
    for key in parent_keys:
        value = value.get(key) if isinstance(value, dict) else None
    if not isinstance(value, dict) or last_key not in value:
        return False
    del value[last_key]
    return True


def _find_errors(value: Any, type_info: Any, path: str) -> Iterator[tuple[str, str]]:
    """Yields the errors of a value and of all values below it, as pairs of path and message."""
    has_errors = False
    if isinstance(type_info, msgspec.inspect.UnionType):
        type_info = next(
            (each for each in type_info.types if isinstance(each, msgspec.inspect.StructType)), type_info
        )
    if isinstance(type_info, msgspec.inspect.StructType) and isinstance(value, dict):
        fields = {field.encode_name: field for field in type_info.fields}
        for name, field in fields.items():
            field_path = f"{path}.{name}" if path else name
            if name in value and not isinstance(field.type, msgspec.inspect.RawType):
                for error in _find_errors(value[name], field.type, field_path):
                    has_errors = True
                    yield error
            elif name not in value and field.required:
                has_errors = True
                yield field_path, "is missing"
        for name in set(value) - set(fields) if type_info.forbid_unknown_fields else ():
            has_errors = True
            yield f"{path}.{name}" if path else name, f"unknown; known are {', '.join(sorted(fields))}"
    if not has_errors and type_info != msgspec.inspect.AnyType():
        try:
            _convert(value, _python_type(type_info))
        except ValueError as error:
            # The message of a struct's own check begins with the field that it rejects.
            name, colon, message = str(error).partition(": ")
            if (
                colon
                and isinstance(type_info, msgspec.inspect.StructType)
                and name in {each.encode_name for each in type_info.fields}
            ):
                yield f"{path}.{name}" if path else name, message.partition(" - at `")[0]
            else:
                yield path, str(error).partition(" - at `")[0]


def _python_type(type_info: Any) -> Any:
    """Returns the Python type that a msgspec type description stands for, to convert a single value."""
    inspect = msgspec.inspect
    match type_info:
        case inspect.UnionType():
            return reduce(or_, (_python_type(each) for each in type_info.types))
        case inspect.StructType():
            return type_info.cls
        case inspect.LiteralType():
            return Literal[tuple(type_info.values)]
        case inspect.ListType():
            return list[_python_type(type_info.item_type)]
        case inspect.DictType():
            return dict[_python_type(type_info.key_type), _python_type(type_info.value_type)]
        case inspect.NoneType():
            return None
    plain_types = {
        inspect.BoolType: bool,
        inspect.IntType: int,
        inspect.FloatType: float,
        inspect.StrType: str,
    }
    if type(type_info) not in plain_types:
        return Any
    constraints = {
        name: getattr(type_info, name)
        for name in CONSTRAINT_NAMES
        if getattr(type_info, name, None) is not None
    }
    return (
        Annotated[plain_types[type(type_info)], msgspec.Meta(**constraints)]
        if constraints
        else plain_types[type(type_info)]
    )
