"""Stand-ins for Faktory producers and job workers, on asyncio, after Faktory's published work protocol."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections import Counter
from contextlib import suppress

from measure.balancers import HostPort, SentRequest

HEARTBEAT_S = 10.0


class FaktoryConnection:
    """A client connection that opens with HELLO; further keyword arguments are fields of the HELLO."""

    def __init__(self, address: HostPort, local_address: HostPort | None = None, **hello: object) -> None:
        self.address, self.local_address, self.hello = address, local_address, hello

    async def open(self) -> FaktoryConnection:
        """Connects and sends HELLO."""
        self.reader, self.writer = await asyncio.open_connection(*self.address, local_addr=self.local_address)
        try:
            await self.reader.readline()
            await self.command("HELLO", {"v": 2, **self.hello})
        except BaseException:  # a cancellation too: the caller has no connection to close yet
            self.writer.close()
            raise
        return self

    async def command(self, verb: str, payload: object) -> str | None:
        """Sends a command and returns the reply, or None for a null bulk string.

        A payload that is no string is sent as JSON. Raises ConnectionResetError if the connection has ended.
        """
        text = payload if isinstance(payload, str) else json.dumps(payload)
        self.writer.write(f"{verb} {text}\r\n".encode())
        line = (await self.reader.readline()).decode()
        if not line:
            raise ConnectionResetError
        if not line.startswith("$"):
            return line.strip()
        size = int(line[1:])
        return None if size < 0 else (await self.reader.readexactly(size + 2))[:-2].decode()

    def close(self) -> None:
        """Closes the connection."""
        self.writer.close()


class FaktoryWorkers:
    """Job workers that fetch, run and acknowledge jobs, and count each job's runs in `run_counts`.

    They go on fetching whatever state the reply to a BEAT asks for.
    """

    def __init__(
        self,
        address: HostPort,
        threads: int,
        queues: str,
        running_s: tuple[float, float],
        seed: int,
        run_counts: Counter[str],
    ) -> None:
        self.random, self.running_s, self.run_counts, self.queues = (
            random.Random(seed),
            running_s,
            run_counts,
            queues,
        )
        self.tasks = [asyncio.ensure_future(self._fetch(address, n)) for n in range(threads)]
        self.heartbeat_replies: set[str] = set()  # distinct replies to BEAT

    async def _fetch(self, address: HostPort, number: int) -> None:
        with suppress(OSError, asyncio.IncompleteReadError):
            connection = await FaktoryConnection(
                address, wid="stand-in", labels=["zone:a", "kind:big"]
            ).open()
            next_heartbeat = 0.0
            try:
                while True:
                    if number == 0 and time.monotonic() > next_heartbeat:
                        next_heartbeat = time.monotonic() + HEARTBEAT_S
                        self.heartbeat_replies.add(
                            await connection.command("BEAT", {"wid": "stand-in"}) or ""
                        )
                    job = await connection.command("FETCH", self.queues)
                    if job is not None:
                        jid = json.loads(job)["jid"]
                        self.run_counts[jid] += 1
                        await asyncio.sleep(self.random.uniform(*self.running_s))
                        await connection.command("ACK", {"jid": jid})
            finally:
                connection.close()

    async def stop(self) -> None:
        """Cancels the workers."""
        for each in self.tasks:
            each.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class Producers:
    """Push jobs and wait for the outcome of each; a job refused with BUSY goes to the next daemon at once."""

    def __init__(self, addresses: dict[str, HostPort], seed: int) -> None:
        self.addresses, self.random = addresses, random.Random(seed)
        self.idle: dict[str, list[FaktoryConnection]] = {name: [] for name in addresses}
        self.sent: list[SentRequest] = []
        self.retry_count = 0

    async def push(self, number: str, queue: str, budget_ms: int) -> None:
        """Pushes a job to one daemon after the other, in random order, until one doesn't refuse it."""
        for name in self.random.sample(sorted(self.addresses), len(self.addresses)):
            sent = SentRequest(f"{number}-{name}", name, 0.0)
            self.sent.append(sent)
            connection = (
                self.idle[name].pop()
                if self.idle[name]
                else await FaktoryConnection(self.addresses[name]).open()
            )
            sent.sent_at = time.monotonic()
            reply = await connection.command(
                "PUSH",
                {
                    "jid": sent.id,
                    "jobtype": queue,
                    "queue": queue,
                    "args": [],
                    "custom": {"answer": "outcome", "budget_ms": budget_ms},
                },
            )
            self.idle[name].append(connection)
            sent.statuses.append(200 if reply == "+OK" else 503 if reply.startswith("-BUSY") else 502)
            if sent.statuses != [503]:
                return
            self.retry_count += 1

    def stop(self) -> None:
        """Closes the idle connections."""
        for connections in self.idle.values():
            for each in connections:
                each.close()
