"""What one connection of a crowd does, by the name of the shape.

Each function uses an open connection until it ends or its time is over; the crowd then opens another one.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import time
from collections.abc import Awaitable, Callable

from measure.streams import Streams

FIELD_COUNT = 2600  # of a head of many short fields, which has 15.6 KB
BODY_BYTES = 60_000
CHUNKED_BODY_BYTES = 64_000
TRAILER_BYTES = 15_000
JOB_ARGUMENTS = 60_000
LABEL_COUNT = 14_000
HOLD_S = 60.0  # how long a connection rests that does nothing more
numbers = itertools.count()


def unique_id(prefix: str = "h") -> str:
    """Returns an id that no other request of this process or of another one has."""
    return f"{prefix}{os.getpid():x}-{next(numbers):08x}-{random.getrandbits(32):08x}"


def head_of_fields(first_lines: str, count: int = FIELD_COUNT) -> bytes:
    """Returns a head whose many fields have names of three letters and no value."""
    letters = "abcdefghijklmnopqrstuvwxyz"
    names = ("".join(each) for each in itertools.product(letters, repeat=3))
    return (first_lines + "".join(f"{name}:\r\n" for name in itertools.islice(names, count))).encode()


def request_head(length: int | None = None) -> str:
    """Returns the first lines of a sound request; without a length, its body is chunked."""
    framing = "Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}"
    return f"POST /status-read HTTP/1.1\r\nHost: x\r\nX-Call-Id: {unique_id()}\r\n{framing}\r\n"


async def read_until_closed(streams: Streams) -> None:
    """Discards what comes, for HOLD_S at most."""
    async with asyncio.timeout(HOLD_S):
        while await streams[0].read(65536):
            pass


async def send_half_body_after_many_fields(streams: Streams) -> None:
    """A head of many short fields and half of its body, then nothing."""
    streams[1].write(head_of_fields(request_head(BODY_BYTES)) + b"\r\n" + b"x" * (BODY_BYTES // 2))
    await read_until_closed(streams)


async def send_endless_trailer(streams: Streams) -> None:
    """A head of many fields, a chunked body, and a trailer that does not end."""
    body = b"%x\r\n%s\r\n0\r\n" % (CHUNKED_BODY_BYTES, b"x" * CHUNKED_BODY_BYTES)
    streams[1].write(head_of_fields(request_head()) + b"\r\n" + body + b"t: " + b"y" * TRAILER_BYTES)
    await read_until_closed(streams)


async def send_whole_body(streams: Streams) -> None:
    """A head of many fields with its whole body, and the same again behind it."""
    for _ in range(2):
        streams[1].write(head_of_fields(request_head(BODY_BYTES)) + b"\r\n" + b"x" * BODY_BYTES)
    await read_until_closed(streams)


async def send_half_body(streams: Streams) -> None:
    """A small head and all but a few bytes of the largest body, then nothing."""
    streams[1].write(request_head(65_536).encode() + b"\r\n" + b"x" * 65_000)
    await read_until_closed(streams)


async def send_large_jobs(streams: Streams) -> None:
    """Sound requests with the largest body, one after the other."""
    while True:
        streams[1].write(request_head(65_536).encode() + b"\r\n" + b"x" * 65_536)
        await streams[0].readuntil(b"\r\n\r\n")


async def send_slowly(streams: Streams) -> None:
    """The same, 2 KB every 60 ms."""
    data = head_of_fields(request_head(BODY_BYTES)) + b"\r\n" + b"x" * BODY_BYTES
    for start in range(0, len(data), 2048):
        streams[1].write(data[start : start + 2048])
        await streams[1].drain()
        await asyncio.sleep(0.06)
    await read_until_closed(streams)


async def stop_before_last_bytes(streams: Streams) -> None:
    """65,500 bytes of a body of 65,536, then nothing."""
    streams[1].write(request_head(65_536).encode() + b"\r\n" + b"x" * 65_500)
    await read_until_closed(streams)


async def get_with_many_fields(streams: Streams) -> None:
    """A small answered request with a head of many fields, then rest."""
    streams[1].write(head_of_fields("GET /up HTTP/1.1\r\nHost: x\r\n") + b"\r\n")
    await read_until_closed(streams)


async def send_one_byte_chunks(streams: Streams) -> None:
    """A body of 12,000 chunks of one byte, answered, again and again."""
    while True:
        streams[1].write(request_head().encode() + b"\r\n" + b"1\r\nx\r\n" * 12_000 + b"0\r\n\r\n")
        await streams[0].readuntil(b"\r\n\r\n")


async def send_head_by_bytes(streams: Streams) -> None:
    """A head that comes byte by byte."""
    for byte in head_of_fields(request_head(4)):
        if streams[1].is_closing():
            return
        streams[1].write(bytes((byte,)))
        await asyncio.sleep(0)
    await read_until_closed(streams)


async def pipeline_unread(streams: Streams) -> None:
    """Large requests that are answered at once, then more without a pause, whose answers nobody reads.

    While it reads fast, the kernel lets the receive buffer grow.
    """
    body = b"x" * BODY_BYTES
    unknown = b"POST /unknown HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES
    for _ in range(40):
        streams[1].write(unknown + body)
        await streams[0].readuntil(b"no such class")
    while True:
        streams[1].write(request_head(BODY_BYTES).encode() + b"\r\n" + body)
        await streams[1].drain()


async def hello(streams: Streams, text: bytes = b'{"v":2}') -> None:
    """Opens a Faktory conversation."""
    await streams[0].readline()
    streams[1].write(b"HELLO " + text + b"\r\n")
    await streams[0].readline()


async def push_many_arguments(streams: Streams) -> None:
    """A Faktory PUSH of very many arguments."""
    await hello(streams)
    arguments = b"1," * (JOB_ARGUMENTS - 1) + b"1"
    streams[1].write(
        b'PUSH {"jid":"%s","jobtype":"x","queue":"status-read","args":[%s]}\r\n'
        % (unique_id().encode(), arguments)
    )
    await read_until_closed(streams)


async def hello_with_many_labels(streams: Streams) -> None:
    """A Faktory HELLO of very many labels, then rest."""
    labels = b",".join(b'"l:%x"' % number for number in range(LABEL_COUNT))
    await hello(streams, b'{"v":2,"wid":"%s","labels":[%s]}' % (unique_id("w").encode(), labels))
    await read_until_closed(streams)


async def push_large_jobs(streams: Streams) -> None:
    """Faktory jobs of 100 KB, without waiting for the outcome of one before the next."""
    await hello(streams)
    while True:
        job = b'{"jid":"%s","jobtype":"x","queue":"schedule-apply","args":["%s"]}'
        streams[1].write(b"PUSH " + job % (unique_id().encode(), b"x" * 100_000) + b"\r\n")
        if not await streams[0].readline():
            return


async def stay_silent(streams: Streams) -> None:
    """Opens a connection and says nothing."""
    await read_until_closed(streams)


Shape = Callable[[Streams], Awaitable[None]]
HTTP_SHAPES: dict[str, Shape] = {
    "half-body": send_half_body_after_many_fields,
    "trailer": send_endless_trailer,
    "whole-body": send_whole_body,
    "slow": send_slowly,
    "last-bytes": stop_before_last_bytes,
    "largest-half": send_half_body,
    "largest": send_large_jobs,
    "up-and-rest": get_with_many_fields,
    "small-chunks": send_one_byte_chunks,
    "head-by-bytes": send_head_by_bytes,
    "unread": pipeline_unread,
    "silent": stay_silent,
}
FAKTORY_SHAPES: dict[str, Shape] = {
    "push": push_many_arguments,
    "hello": hello_with_many_labels,
    "push-large": push_large_jobs,
}
SHAPES = {**HTTP_SHAPES, **FAKTORY_SHAPES}


class Crowd:
    """A number of connections that all have one of the shapes, each opened again when it has ended."""

    def __init__(self, port: int, shapes: tuple[str, ...], count: int, seed: int) -> None:
        self.port, self.shapes, self.count, self.random = port, shapes, count, random.Random(seed)
        self.refused = 0

    async def run(self, seconds: float) -> None:
        """Runs all connections for this time, then resets them."""
        end_s = time.monotonic() + seconds
        tasks = [
            asyncio.ensure_future(self._repeat(SHAPES[self.shapes[number % len(self.shapes)]], end_s))
            for number in range(self.count)
        ]
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _repeat(self, shape: Shape, end_s: float) -> None:
        await asyncio.sleep(self.random.uniform(0.0, 0.3))
        while time.monotonic() < end_s:
            try:
                streams = await asyncio.open_connection("127.0.0.1", self.port)
            except OSError:
                self.refused += 1
                await asyncio.sleep(0.1)
                continue
            try:
                await shape(streams)
            except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, TimeoutError):
                await asyncio.sleep(0.02)
            finally:
                streams[1].transport.abort()
