"""Fails each test that leaves an asyncio stream open when its event loop is closed.

Such a stream raises in its destructor, in whichever later test the garbage collector runs.
"""

from __future__ import annotations

import asyncio
import functools
import weakref
from collections.abc import Iterator

import pytest

#: All stream writers that exist, also those that only the garbage collector can still reach.
WRITERS: weakref.WeakSet[asyncio.StreamWriter] = weakref.WeakSet()


def track_writers() -> None:
    """Makes asyncio add each new stream writer to WRITERS."""
    original = asyncio.StreamWriter.__init__

    @functools.wraps(original)
    def create(writer: asyncio.StreamWriter, *arguments: object, **more: object) -> None:
        original(writer, *arguments, **more)
        WRITERS.add(writer)

    asyncio.StreamWriter.__init__ = create


def take_leaked() -> list[str]:
    """Returns a description of each stream that is open although its event loop is closed.

    Marks them as closing, so that their destructors raise in no later test.
    """
    leaked = [
        writer for writer in list(WRITERS) if writer._loop.is_closed() and not writer.transport.is_closing()
    ]
    for writer in leaked:
        writer.transport._closing = True
    return [repr(writer) for writer in leaked]


@pytest.fixture(autouse=True)
def no_leaked_streams() -> Iterator[None]:
    """Fails a test at whose end a stream is open and its event loop is closed."""
    yield
    leaked = take_leaked()
    assert not leaked, "a stream has to be closed before its event loop is; measure.streams helps"


track_writers()
