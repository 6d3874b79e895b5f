"""Sends a scenario's requests to schedulers at the times that the scenario says, whatever they answer.

Guarantees: a request is due at its own time; its latency counts from there, not from when it was written, so
a scheduler that stalls is charged for every request that came meanwhile (coordinated omission, G. Tene). How
late the generator itself wrote is kept beside it, and told as a warning where that was LATE_MS or more at the
99th percentile: then the load was not what was asked for. Bounds: `most` connections; requests that find
none free wait for one, up to a second beyond their deadline, and that counts as their latency. Each request
ends in exactly one Done.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

import numpy as np

from spanwing.world.clients import Wanted

LATE_MS = 5.0
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)
KINDS = {200: "served", 409: "repeated", 502: "failed", 503: "refused"}
Place = tuple[str, int]


class Done(NamedTuple):
    """One request; times in ms."""

    cls: str
    kind: str  # of KINDS, or `broken`: no whole answer came
    latency: float  # from when it was due
    service: float  # from when its last byte was written
    late: float  # the generator's own


class Report(NamedTuple):
    """What a load came to."""

    asked: int
    seconds: float
    kinds: dict[str, int]
    latency: dict[str, float]  # by percentile, from when requests were due
    service: dict[str, float]
    late: dict[str, float]
    by_class: dict[str, dict[str, float]]

    @property
    def warning(self) -> str:
        late = self.late["99"]
        return (
            ""
            if late < LATE_MS
            else (
                f"the generator ran {late:.0f} ms late at its 99th percentile: the load was not as asked for"
            )
        )


def percentiles(values: list[float]) -> dict[str, float]:
    if not values:
        return {f"{each:g}": 0.0 for each in PERCENTILES}
    found = np.percentile(values, PERCENTILES)
    return {f"{each:g}": float(value) for each, value in zip(PERCENTILES, found, strict=True)}


class OpenLoop:
    """One run against some schedulers, which are asked in turn."""

    def __init__(self, places: list[Place], name: str, most: int = 2000) -> None:
        assert places and most > 0
        self.places, self.name, self.most = places, name, most
        self.idle: dict[Place, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = {
            place: [] for place in places
        }
        self.room = asyncio.Semaphore(most)
        self.done: list[Done] = []
        self.tasks: set[asyncio.Task] = set()

    async def run(self, wanted: Iterable[Wanted], seconds: float) -> Report:
        """Send all that are due within so many seconds, and wait for their answers or deadlines."""
        begun = time.perf_counter()
        for number, each in enumerate(wanted):
            if each.at >= seconds * 1000.0:
                break
            due = begun + each.at / 1000.0
            if (wait := due - time.perf_counter()) > 0:
                await asyncio.sleep(wait)
            task = asyncio.ensure_future(self._one(each, due, self.places[number % len(self.places)]))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        while self.tasks:
            await asyncio.wait(self.tasks)
        self.close()
        return self.report(time.perf_counter() - begun)

    async def _one(self, wanted: Wanted, due: float, place: Place) -> None:
        started = time.perf_counter()
        kind, written = "broken", started
        try:
            async with asyncio.timeout(wanted.cls.deadline / 1000.0 + 1.0), self.room:
                kind, written = await self._exchange(wanted, place)
        except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
            pass
        now = time.perf_counter()
        self.done.append(
            Done(
                wanted.cls.name,
                kind,
                (now - due) * 1000.0,
                (now - written) * 1000.0,
                (started - due) * 1000.0,
            )
        )

    async def _exchange(self, wanted: Wanted, place: Place) -> tuple[str, float]:
        """Raises OSError or IncompleteReadError where no whole answer came."""
        body = b"x" * 64
        data = (
            f"POST /{wanted.cls.name} HTTP/1.1\r\nHost: x\r\nX-Call-Id: {self.name}-{wanted.id}\r\n"
            f"X-Caller: {wanted.brand}\r\nX-Budget-Ms: {wanted.patience:.3f}\r\n"
            f"Idempotency-Key: {wanted.key}\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        idle = self.idle[place]
        while idle and idle[-1][0].at_eof():  # closed while it was idle
            idle.pop()[1].close()
        reader, writer = idle.pop() if idle else await asyncio.open_connection(*place)
        try:
            writer.write(data)
            await writer.drain()
            written = time.perf_counter()
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
            await reader.readexactly(int(fields.get("content-length", 0)))
        except BaseException:
            writer.close()
            raise
        if fields.get("connection") == "close":
            writer.close()
        else:
            idle.append((reader, writer))
        return KINDS.get(int(head.split(" ")[1]), "failed"), written

    def report(self, seconds: float) -> Report:
        classes = sorted({each.cls for each in self.done})
        return Report(
            len(self.done),
            seconds,
            dict(Counter(each.kind for each in self.done)),
            percentiles([each.latency for each in self.done]),
            percentiles([each.service for each in self.done]),
            percentiles([each.late for each in self.done]),
            {cls: percentiles([each.latency for each in self.done if each.cls == cls]) for cls in classes},
        )

    def close(self) -> None:
        for idle in self.idle.values():
            while idle:
                idle.pop()[1].close()
