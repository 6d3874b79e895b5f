"""Kills a daemon at every system call that touches the journal or a next hop's socket, and compares what the
journal says afterwards with what the job workers have seen.

For both fronts: a first attempt, a second one after a first that was turned away, a give-up that races with
the last byte, and (load) 45 requests a second with a kill at a random moment. A request that a job worker
has seen whole must be found `sent` or `possibly sent`; a second life on the same folder must send nothing,
tell of what was left, and answer a repeat as repeated.

    .venv/bin/python -m measure.crashes --rounds 5 --out docs/results/journal-crashes.md
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

import click
import msgspec

from measure.daemons import ROOT, settings
from measure.faktory import FaktoryConnection
from measure.killed import HOP_HOST, Order
from spanwing.journal.reader import JournalReader

KINDS = ("first", "second", "race")
LOAD_RATE, LOAD_S, FETCHERS = 45.0, (0.4, 1.6), 24
FRONTS = ("platform", "faktory")
PATIENCE_S = 10.0
MOST_CALLS = 400
CLS = "schedule-apply"


@dataclass
class Result:
    """Of one scenario."""

    runs: int = 0
    kills: int = 0
    seen: int = 0  # by a job worker, whole
    findings: Counter[str] = field(default_factory=Counter)
    wrongly_unsent: list[str] = field(default_factory=list)  # shown unsent, though a worker had seen it
    resent: int = 0  # sends by a second life
    unreported: int = 0  # possibly sent, but not told of at the next start
    accepted: int = 0  # repeats that were not answered as repeated
    unseen: Counter[str] = field(default_factory=Counter)  # possibly sent and not seen: the call it died at

    def add(self, other: Result) -> None:
        for name in ("runs", "kills", "seen", "resent", "unreported", "accepted"):
            setattr(self, name, getattr(self, name) + getattr(other, name))
        self.findings += other.findings
        self.unseen += other.unseen
        self.wrongly_unsent += other.wrongly_unsent


class HttpWorkers:
    """Two of them; each tells how often it has read a whole request."""

    def __init__(self, turn_away: bool, running_s: float = 0.003) -> None:
        self.turn_away, self.seen, self.open, self.running_s = turn_away, Counter[str](), 0, running_s

    async def start(self) -> list[int]:
        self.servers = [await asyncio.start_server(self._serve, HOP_HOST, 0) for _ in range(2)]
        return [each.sockets[0].getsockname()[1] for each in self.servers]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
                await reader.readexactly(int(fields.get("content-length", 0)))
                if not head.startswith("POST"):
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                elif self.turn_away:  # it never ran: the next attempt may go elsewhere
                    self.turn_away = False
                    writer.write(b"HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
                else:
                    self.seen[fields["x-call-id"]] += 1
                    await asyncio.sleep(self.running_s)
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open -= 1
            writer.close()

    def stop(self) -> None:
        for each in self.servers:
            each.close()


class Life:
    """One run of a daemon, by way of the program that forks it."""

    def __init__(self, server: subprocess.Popen, folder: Path, name: str, at: int, after: bool) -> None:
        self.server, self.out, self.trace = server, folder / f"{name}.out", folder / f"{name}.trace"
        order = Order(
            at,
            after,
            str(folder / "config.json"),
            str(folder / "fronts.toml"),
            str(self.out),
            str(self.trace),
        )
        server.stdin.write(msgspec.json.encode(order) + b"\n")
        server.stdin.flush()
        self.pid = int(server.stdout.readline())

    async def address(self, front: str) -> tuple[str, int] | None:
        """Where it listens; None if it ended before."""
        end = time.monotonic() + PATIENCE_S
        while time.monotonic() < end:
            text = self.out.read_text()
            if "spanwing: clients on" in text:
                found = re.search(rf"spanwing: {front} on (.*):(\d+)", text)
                return found[1], int(found[2])
            if self._gone():
                return None
            await asyncio.sleep(0.002)
        raise RuntimeError(f"no daemon: {self.out.read_text()}")

    def _gone(self) -> bool:
        with suppress(OSError):
            return "State:\tZ" in Path(f"/proc/{self.pid}/status").read_text()
        return True

    def end(self) -> int:
        """Kill it if it lives; its exit status."""
        with suppress(ProcessLookupError):
            os.kill(self.pid, signal.SIGKILL)
        return int(self.server.stdout.readline())

    async def gone_within(self, wait_s: float) -> bool:
        end = time.monotonic() + wait_s
        while not self._gone():
            if time.monotonic() > end:
                return False
            await asyncio.sleep(0.002)
        return True

    def calls(self) -> list[str]:
        return self.trace.read_text().split("\n")[:-1] if self.trace.exists() else []


class Scenario:
    """One front and kind of send, killed at one call."""

    def __init__(self, front: str, kind: str, seed: int) -> None:
        self.front, self.kind, self.random = front, kind, random.Random(seed)
        self.id = f"job-{seed:08d}"
        self.seen: Counter[str] = Counter()
        self.tasks: list[asyncio.Task] = []

    def budget_ms(self) -> float:
        return self.random.uniform(3.0, 16.0) if self.kind == "race" else 2000.0

    async def run(self, server: subprocess.Popen, at: int, after: bool, result: Result) -> bool:
        """Whether the daemon was killed at that call."""
        workers = HttpWorkers(self.kind == "second")
        ports = await workers.start()
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            self._files(folder, ports if self.front == "platform" else [])
            life = Life(server, folder, "first", at, after)
            place = await life.address("clients" if self.front == "platform" else "faktory")
            if place is not None:
                with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                    await asyncio.wait_for(getattr(self, f"_{self.front}")(place), 5.0)
            # The last records and closes come on their own; those that are killed have ended by now.
            killed = await life.gone_within(0.02 if place is None else 0.15)
            life.end()
            for each in self.tasks:
                each.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
            end = time.monotonic() + 1.0
            while workers.open and time.monotonic() < end:
                await asyncio.sleep(0.002)
            self.seen += workers.seen
            await self._judge(server, folder, life, killed, result)
        workers.stop()
        return killed

    async def _judge(self, server, folder: Path, life: Life, killed: bool, result: Result) -> None:
        result.runs += 1
        result.kills += killed
        seen = bool(self.seen[self.id])
        result.seen += seen
        journal = folder / "journal"
        found = JournalReader(str(journal)).find_request(self.id) if journal.is_dir() else None
        finding = found.delivery_state if found is not None else "not there"
        result.findings[finding] += 1
        calls = life.calls()
        where = calls[-1] if calls else "nothing"
        if seen and finding in ("not sent", "not there"):
            result.wrongly_unsent.append(f"{self.front} {self.kind} at {len(calls)} {where}")
        left = found is not None and not found.is_settled and finding != "not sent"
        if finding == "possibly sent" and not seen:
            result.unseen[where] += 1
        before = sum(self.seen.values())
        second = Life(server, folder, "second", 0, False)
        place = await second.address(self.front if self.front == "faktory" else "clients")
        if place is None:
            raise RuntimeError(f"no second life: {second.out.read_text()}")
        said = second.out.read_text()
        result.unreported += left and f"request={self.id}" not in said
        if left:
            result.accepted += not await self._repeated(place)
        await self._idle(place, 0.005)
        second.end()
        result.resent += sum(self.seen.values()) - before

    async def _idle(self, place: tuple[str, int], wait_s: float) -> None:
        """Time for the second life to send something, to workers that would take it."""
        tasks = [asyncio.ensure_future(self._fetch(place, "stays", 0.0))] if self.front == "faktory" else []
        await asyncio.sleep(wait_s)
        for each in tasks:
            each.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _files(self, folder: Path, ports: list[int]) -> None:
        members = [
            {
                "id": f"w{n}",
                "host_port": f"{HOP_HOST}:{port}",
                "locality": "a",
                "flavor": "big",
                "cell": 0,
                "phase": "active",
                "size": 1.0,
                "up_since_ms": 0,
            }
            for n, port in enumerate(ports)
        ]
        (folder / "config.json").write_text(
            json.dumps(
                {
                    "name": "n",
                    "listen": "127.0.0.1:0",
                    "discovery": "127.0.0.1:9",
                    "seed": "2a",
                    "known": {"revision": 1, "complete": True, "members": members},
                    "settings": settings(),
                }
            )
        )
        front = '[faktory]\nlisten = "127.0.0.1:0"\n' if self.front == "faktory" else ""
        (folder / "fronts.toml").write_text(f'{front}[journal]\ndirectory = "{folder}/journal"\n')

    async def _platform(self, place: tuple[str, int]) -> None:
        status, _ = await self._post(place, self.budget_ms())
        assert status in (200, 502, 503), status

    async def _post(self, place: tuple[str, int], budget_ms: float) -> tuple[int, str]:
        reader, writer = await asyncio.open_connection(*place)
        try:
            writer.write(
                f"POST /{CLS}/x HTTP/1.1\r\nHost: x\r\nX-Call-Id: {self.id}\r\nX-Budget-Ms: "
                f"{budget_ms:.3f}\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\nhi".encode()
            )
            if not (line := await reader.readline()):
                raise ConnectionResetError
            return int(line.split()[1]), (await reader.read(4096)).decode()
        finally:
            writer.close()

    async def _faktory(self, place: tuple[str, int]) -> None:
        if self.kind == "second":  # it waits for a FETCH of one that goes, and is sent to the next
            gone = await self._worker(place, "gone").open()
            self.tasks.append(asyncio.ensure_future(self._leave(place, gone)))
        else:
            delay = self.random.uniform(0.0, 0.016) if self.kind == "race" else 0.0
            self.tasks.append(asyncio.ensure_future(self._fetch(place, "stays", delay)))
            await asyncio.sleep(0.005)
        await self._push(place, self.budget_ms())

    async def _push(self, place: tuple[str, int], budget_ms: float) -> str:
        connection = await FaktoryConnection(place).open()
        try:
            return await connection.command(
                "PUSH",
                {
                    "jid": self.id,
                    "jobtype": CLS,
                    "queue": CLS,
                    "args": [],
                    "custom": {"answer": "outcome", "budget_ms": budget_ms, "effect_key": "k"},
                },
            )
        finally:
            connection.close()

    def _worker(self, place: tuple[str, int], wid: str) -> FaktoryConnection:
        return FaktoryConnection(place, local_address=(HOP_HOST, 0), wid=wid, labels=["zone:a", "kind:big"])

    async def _leave(self, place: tuple[str, int], gone: FaktoryConnection) -> None:
        await asyncio.sleep(0.02)
        gone.close()
        await self._fetch(place, "stays", 0.0)

    async def _fetch(self, place: tuple[str, int], wid: str, delay: float, running_s: float = 0.003) -> None:
        with suppress(OSError, asyncio.IncompleteReadError):
            connection = await self._worker(place, wid).open()
            try:
                await asyncio.sleep(delay)
                while True:
                    job = await connection.command("FETCH", CLS)
                    if job is not None:
                        jid = json.loads(job)["jid"]
                        self.seen[jid] += 1
                        await asyncio.sleep(running_s)
                        await connection.command("ACK", {"jid": jid})
            finally:
                connection.close()

    async def _repeated(self, place: tuple[str, int]) -> bool:
        """Whether a repeat is answered as one, with what is known."""
        if self.front == "platform":
            status, text = await self._post(place, 500.0)
            return status == 409 and "sent" in text
        return "sent" in (reply := await self._push(place, 500.0)) and reply.startswith("-REPEATED")


class Loaded(Scenario):
    """Many requests, and a kill at a random moment."""

    def __init__(self, front: str, seed: int) -> None:
        super().__init__(front, "load", seed)

    async def under_load(self, server: subprocess.Popen, result: Result) -> None:
        workers = HttpWorkers(False, 0.2)
        ports = await workers.start()
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            self._files(folder, ports if self.front == "platform" else [])
            life = Life(server, folder, "first", 0, False)
            place = await life.address("clients" if self.front == "platform" else "faktory")
            if self.front == "faktory":
                self.tasks += [
                    asyncio.ensure_future(self._fetch(place, "stays", 0.0, 0.2)) for _ in range(FETCHERS)
                ]
            asked = asyncio.ensure_future(self._ask(place))
            await asyncio.sleep(self.random.uniform(*LOAD_S))
            life.end()
            for each in [asked, *self.tasks]:
                each.cancel()
            await asyncio.gather(asked, *self.tasks, return_exceptions=True)
            end = time.monotonic() + 2.0
            while workers.open and time.monotonic() < end:
                await asyncio.sleep(0.002)
            self.seen += workers.seen
            result.runs += 1
            result.kills += 1
            result.seen += len(self.seen)
            found = {
                each.id: each.delivery_state
                for each in JournalReader(str(folder / "journal")).read_requests()
            }
            result.findings.update(found.values())
            result.wrongly_unsent += [each for each in self.seen if found.get(each, "not sent") == "not sent"]
            result.unseen["load"] += sum(
                finding != "not sent" and name not in self.seen for name, finding in found.items()
            )
            left = {
                request.id
                for request in JournalReader(str(folder / "journal")).read_requests()
                if not request.is_settled and request.delivery_state != "not sent"
            }
            before = sum((self.seen + workers.seen).values())
            second = Life(server, folder, "second", 0, False)
            place = await second.address("clients" if self.front == "platform" else "faktory")
            said = second.out.read_text()
            result.unreported += sum(f"request={each} " not in said for each in left)
            await self._idle(place, 0.05)
            second.end()
            result.resent += sum((self.seen + workers.seen).values()) - before
        workers.stop()

    async def _ask(self, place: tuple[str, int]) -> None:
        number = 0
        while True:
            await asyncio.sleep(self.random.expovariate(LOAD_RATE))
            one = Scenario(self.front, "load", 0)
            number += 1
            one.id = f"{self.id}-{number:04d}"
            ask = one._post(place, 5000.0) if self.front == "platform" else one._push(place, 5000.0)
            self.tasks.append(asyncio.ensure_future(ask))


def loaded(front: str, seed: int, kills: int) -> tuple[str, Result]:
    result = Result()
    with subprocess.Popen(
        [sys.executable, "-m", "measure.killed"], cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE
    ) as server:
        for number in range(kills):
            asyncio.run(asyncio.wait_for(Loaded(front, seed * 1000 + number).under_load(server, result), 60))
        server.stdin.close()
    return f"{front}, load", result


def lane(front: str, kind: str, after: bool, seed: int, step: int) -> tuple[str, Result]:
    """All calls of one scenario, every step-th; returns its name."""
    result = Result()
    with subprocess.Popen(
        [sys.executable, "-m", "measure.killed"], cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE
    ) as server:
        try:
            missed = 0
            for at in range(1 + seed % step, MOST_CALLS, step):
                scenario = Scenario(front, kind, seed * 1000 + at)
                killed = asyncio.run(asyncio.wait_for(scenario.run(server, at, after, result), 60))
                # How many calls a run makes differs by a few: several beyond the end close the count.
                missed = 0 if killed else missed + 1
                if missed >= 3:
                    break
        finally:
            server.stdin.close()
    return f"{front}, {kind}", result


def table(results: dict[str, Result]) -> str:
    lines = [
        "| front, attempt | runs | killed | seen by a worker | not there | not sent | possibly sent "
        "| sent | shown unsent, yet seen | sent by the next life | not told at the next start "
        "| repeats taken | possibly sent, not seen |",
        "| --- " * 13 + "|",
    ]
    total = Result()
    for each in results.values():
        total.add(each)
    for name, each in [*sorted(results.items()), ("all", total)]:
        found = each.findings
        lines.append(
            f"| {name} | {each.runs} | {each.kills} | {each.seen} | {found['not there']} "
            f"| {found['not sent']} | {found['possibly sent']} | {found['sent']} "
            f"| {len(each.wrongly_unsent)} | {each.resent} | {each.unreported} | {each.accepted} "
            f"| {sum(each.unseen.values())} |"
        )
    at = "; ".join(f"{where}: {count}" for where, count in total.unseen.most_common(12))
    return "\n".join(lines) + f"\n\nPossibly sent and not seen, by their last call: {at or 'none'}."


def measure(rounds: int, step: int, lanes: int, seed: int, loads: int = 0) -> dict[str, Result]:
    results: dict[str, Result] = {}
    with ProcessPoolExecutor(lanes) as pool:
        runs = [
            pool.submit(lane, front, kind, after, seed + number, step)
            for number in range(rounds)
            for front in FRONTS
            for kind in KINDS
            for after in (False, True)
        ]
        share = -(-loads // lanes)
        runs += [
            pool.submit(loaded, front, seed + 500 + number, share)
            for front in FRONTS
            for number in range(lanes)
            if loads
        ]
        for run in runs:
            name, result = run.result()
            results.setdefault(name, Result()).add(result)
    return results


@click.command()
@click.option("--rounds", default=5, show_default=True)
@click.option("--step", default=1, show_default=True, help="Every so many calls.")
@click.option("--loads", default=200, show_default=True, help="Kills under load, for each front.")
@click.option("--lanes", default=8, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--out", type=click.Path(path_type=Path), help="Write the table here too.")
def main(rounds: int, step: int, loads: int, lanes: int, seed: int, out: Path | None) -> None:
    """Kill at every call, and compare."""
    begun = time.monotonic()
    results = measure(rounds, step, lanes, seed, loads)
    text = table(results)
    click.echo(text)
    for each in results.values():
        for wrongly_unsent in each.wrongly_unsent:
            click.echo(f"WRONG: {wrongly_unsent}", err=True)
    if out:
        out.write_text(
            "# A daemon killed at every call\n\n"
            f"    .venv/bin/python -m measure.crashes --rounds {rounds} --step {step} "
            f"--loads {loads} --seed {seed}\n\nSIGKILL before and after each system call on "
            "the journal's files and on next hops' sockets, and at random moments under load; "
            f"{time.monotonic() - begun:.0f} s.\n\n{text}\n"
        )


if __name__ == "__main__":
    main()
