"""Decodes JSON and MessagePack that come from outside the process.

msgspec raises RecursionError for input that is nested too deeply, which is no ValueError. Here it is one,
so that such input is handled as any other malformed input.
"""

from __future__ import annotations

from typing import Any, Protocol, TypeVar

import msgspec

T = TypeVar("T")
T_co = TypeVar("T_co", covariant=True)


class NestedInputError(ValueError):
    """The input is nested too deeply."""


class InputDecoder(Protocol[T_co]):
    """A decoder of msgspec for one type."""

    def decode(self, data: Any, /) -> T_co:
        """Returns the decoded value; raises ValueError or RecursionError."""


def decode_json(data: Any, target_type: type[T] | Any) -> T:
    """Decodes JSON into target_type. Raises ValueError if the input is malformed."""
    try:
        return msgspec.json.decode(data, type=target_type)
    except RecursionError:
        raise NestedInputError("nested too deeply") from None


def decode_by(decoder: InputDecoder[T_co], data: Any) -> T_co:
    """Decodes input with a decoder. Raises ValueError if the input is malformed."""
    try:
        return decoder.decode(data)
    except RecursionError:
        raise NestedInputError("nested too deeply") from None
