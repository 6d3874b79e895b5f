"""Stand-in Faktory producers and job workers, on asyncio, after the published work protocol."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections import Counter
from contextlib import suppress

from measure.balancers import Place, Sent

BEAT_S = 10.0


class Speaker:
    """One connection that has said HELLO."""

    def __init__(self, place: Place, local: Place | None = None, **hello: object) -> None:
        self.place, self.local, self.hello = place, local, hello

    async def open(self) -> Speaker:
        self.reader, self.writer = await asyncio.open_connection(*self.place, local_addr=self.local)
        await self.reader.readline()
        await self.ask("HELLO", {"v": 2, **self.hello})
        return self

    async def ask(self, verb: str, rest: object) -> str | None:
        text = rest if isinstance(rest, str) else json.dumps(rest)
        self.writer.write(f"{verb} {text}\r\n".encode())
        line = (await self.reader.readline()).decode()
        if not line:
            raise ConnectionResetError
        if not line.startswith("$"):
            return line.strip()
        size = int(line[1:])
        return None if size < 0 else (await self.reader.readexactly(size + 2))[:-2].decode()

    def close(self) -> None:
        self.writer.close()


class FaktoryWorkers:
    """Threads that fetch, run and acknowledge; they go on fetching whatever a BEAT tells them."""

    def __init__(
        self,
        place: Place,
        threads: int,
        queues: str,
        running_s: tuple[float, float],
        seed: int,
        ran: Counter[str],
    ) -> None:
        self.random, self.running_s, self.run_counts, self.queues = (
            random.Random(seed),
            running_s,
            ran,
            queues,
        )
        self.tasks = [asyncio.ensure_future(self._fetch(place, n)) for n in range(threads)]
        self.states: set[str] = set()  # that BEATs were answered with

    async def _fetch(self, place: Place, number: int) -> None:
        with suppress(OSError, asyncio.IncompleteReadError):
            speaker = await Speaker(place, wid="stand-in", labels=["zone:a", "kind:big"]).open()
            beat = 0.0
            try:
                while True:
                    if number == 0 and time.monotonic() > beat:
                        beat = time.monotonic() + BEAT_S
                        self.states.add(await speaker.ask("BEAT", {"wid": "stand-in"}) or "")
                    job = await speaker.ask("FETCH", self.queues)
                    if job is not None:
                        jid = json.loads(job)["jid"]
                        self.run_counts[jid] += 1
                        await asyncio.sleep(self.random.uniform(*self.running_s))
                        await speaker.ask("ACK", {"jid": jid})
            finally:
                speaker.close()

    async def stop(self) -> None:
        for each in self.tasks:
            each.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class Producers:
    """Push jobs and wait for each one's outcome; what is BUSY goes to the next daemon at once."""

    def __init__(self, places: dict[str, Place], seed: int) -> None:
        self.places, self.random = places, random.Random(seed)
        self.idle: dict[str, list[Speaker]] = {name: [] for name in places}
        self.sent: list[Sent] = []
        self.retried = 0

    async def push(self, number: str, queue: str, budget_ms: int) -> None:
        for name in self.random.sample(sorted(self.places), len(self.places)):
            sent = Sent(f"{number}-{name}", name, 0.0)
            self.sent.append(sent)
            speaker = self.idle[name].pop() if self.idle[name] else await Speaker(self.places[name]).open()
            sent.at = time.monotonic()
            reply = await speaker.ask(
                "PUSH",
                {
                    "jid": sent.id,
                    "jobtype": queue,
                    "queue": queue,
                    "args": [],
                    "custom": {"answer": "outcome", "budget_ms": budget_ms},
                },
            )
            self.idle[name].append(speaker)
            sent.answers.append(200 if reply == "+OK" else 503 if reply.startswith("-BUSY") else 502)
            if sent.answers != [503]:
                return
            self.retried += 1

    def stop(self) -> None:
        for speakers in self.idle.values():
            for each in speakers:
                each.close()
