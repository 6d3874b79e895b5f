"""Kills a daemon at every system call on the journal or a next hop's socket, and compares the journal with
the requests that the job workers received.

The scenarios, for both front ends: a first attempt; a second attempt after the first was rejected; a
cancellation that races with the last byte of the request; and load, with 45 requests a second and a kill at a
random moment. The journal must show a request that a job worker received whole as `sent` or `possibly sent`.
A second incarnation on the same folder must send nothing, report the interrupted requests, and answer a
repeated request as repeated.

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
from measure.killed import HOP_HOST, RunOrder
from measure.streams import OpenStreams
from spanwing.journal.reader import JournalReader

#: Scenarios that kill the daemon at one call.
KINDS = ("first", "second", "race")
LOAD_RATE_PER_S, LOAD_DURATION_S, FETCHER_COUNT = 45.0, (0.4, 1.6), 24
FRONTS = ("platform", "faktory")
START_TIMEOUT_S = 10.0
MAX_CALLS = 400
CLASS_NAME = "schedule-apply"


@dataclass
class Result:
    """Counts over the runs of one scenario."""

    runs: int = 0
    kills: int = 0
    received: int = 0  # requests that a job worker received whole
    findings: Counter[str] = field(default_factory=Counter)  # delivery states that the journal shows
    wrongly_unsent: list[str] = field(default_factory=list)  # shown as not sent, though a worker received it
    resent: int = 0  # requests sent by the second incarnation
    unreported: int = 0  # interrupted requests that the second incarnation's log does not name
    accepted: int = 0  # repeated requests that were not answered as repeated
    # Requests possibly sent that no worker received, by the daemon's last call.
    unreceived: Counter[str] = field(default_factory=Counter)

    def add(self, other: Result) -> None:
        """Adds the counts of `other`."""
        for name in ("runs", "kills", "received", "resent", "unreported", "accepted"):
            setattr(self, name, getattr(self, name) + getattr(other, name))
        self.findings += other.findings
        self.unreceived += other.unreceived
        self.wrongly_unsent += other.wrongly_unsent


class HttpWorkers:
    """Two stand-in job workers that speak HTTP, with a count of the requests received whole.

    With `reject_first`, they reject the first request.
    """

    def __init__(self, reject_first: bool, running_s: float = 0.003) -> None:
        self.reject_first, self.received, self.open_connections, self.running_s = (
            reject_first,
            Counter[str](),
            0,
            running_s,
        )

    async def start(self) -> list[int]:
        """Starts the workers and returns their ports."""
        self.servers = [await asyncio.start_server(self._serve, HOP_HOST, 0) for _ in range(2)]
        return [each.sockets[0].getsockname()[1] for each in self.servers]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open_connections += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                headers = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
                await reader.readexactly(int(headers.get("content-length", 0)))
                if not head.startswith("POST"):
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                elif self.reject_first:  # rejected before it ran, so another attempt is allowed
                    self.reject_first = False
                    writer.write(b"HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
                else:
                    self.received[headers["x-call-id"]] += 1
                    await asyncio.sleep(self.running_s)
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open_connections -= 1
            writer.close()

    def stop(self) -> None:
        """Stops listening."""
        for each in self.servers:
            each.close()


class Incarnation:
    """One run of a daemon, forked by the fork server (measure.killed)."""

    def __init__(
        self, fork_server: subprocess.Popen, folder: Path, name: str, call_number: int, after_call: bool
    ) -> None:
        self.fork_server, self.output_path, self.trace_path = (
            fork_server,
            folder / f"{name}.out",
            folder / f"{name}.trace",
        )
        order = RunOrder(
            call_number,
            after_call,
            str(folder / "config.json"),
            str(folder / "fronts.toml"),
            str(self.output_path),
            str(self.trace_path),
        )
        fork_server.stdin.write(msgspec.json.encode(order) + b"\n")
        fork_server.stdin.flush()
        self.pid = int(fork_server.stdout.readline())

    async def address(self, front: str) -> tuple[str, int] | None:
        """Waits until the daemon takes clients and returns the address of `front`, or None if it ends before.

        Raises RuntimeError after START_TIMEOUT_S.
        """
        end = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end:
            text = self.output_path.read_text()
            if "spanwing: clients on" in text:
                match = re.search(rf"spanwing: {front} on (.*):(\d+)", text)
                return match[1], int(match[2])
            if self._has_ended():
                return None
            await asyncio.sleep(0.002)
        raise RuntimeError(f"the daemon did not start: {self.output_path.read_text()}")

    def _has_ended(self) -> bool:
        with suppress(OSError):
            return "State:\tZ" in Path(f"/proc/{self.pid}/status").read_text()
        return True

    def kill(self) -> int:
        """Kills the daemon if it runs, and returns its exit status."""
        with suppress(ProcessLookupError):
            os.kill(self.pid, signal.SIGKILL)
        return int(self.fork_server.stdout.readline())

    async def wait_for_end(self, wait_s: float) -> bool:
        """Returns whether the daemon ends within `wait_s` seconds."""
        end = time.monotonic() + wait_s
        while not self._has_ended():
            if time.monotonic() > end:
                return False
            await asyncio.sleep(0.002)
        return True

    def traced_calls(self) -> list[str]:
        """Returns the names of the counted calls, in order."""
        return self.trace_path.read_text().split("\n")[:-1] if self.trace_path.exists() else []


class Scenario:
    """One request through one front end, by a daemon that is killed at one call."""

    def __init__(self, front: str, kind: str, seed: int) -> None:
        self.front, self.kind, self.random = front, kind, random.Random(seed)
        self.id = f"job-{seed:08d}"
        self.received: Counter[str] = Counter()
        self.tasks: list[asyncio.Task] = []
        self.open_streams = OpenStreams()  # that a task closes, unless it is cancelled before

    def budget_ms(self) -> float:
        """Returns a random budget; that of a race is about as long as the attempt takes."""
        return self.random.uniform(3.0, 16.0) if self.kind == "race" else 2000.0

    async def run(
        self, fork_server: subprocess.Popen, call_number: int, after_call: bool, result: Result
    ) -> bool:
        """Runs the scenario and adds to `result`; returns whether the daemon was killed at that call."""
        workers = HttpWorkers(self.kind == "second")
        ports = await workers.start()
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            self._write_files(folder, ports if self.front == "platform" else [])
            first = Incarnation(fork_server, folder, "first", call_number, after_call)
            address = await first.address("clients" if self.front == "platform" else "faktory")
            if address is not None:
                with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                    await asyncio.wait_for(getattr(self, f"_{self.front}")(address), 5.0)
            # The last records and closes follow shortly; a daemon that was killed earlier has ended by now.
            killed = await first.wait_for_end(0.02 if address is None else 0.15)
            first.kill()
            for each in self.tasks:
                each.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
            self.open_streams.close()
            end = time.monotonic() + 1.0
            while workers.open_connections and time.monotonic() < end:
                await asyncio.sleep(0.002)
            self.received += workers.received
            await self._check_after_restart(fork_server, folder, first, killed, result)
        workers.stop()
        return killed

    async def _check_after_restart(
        self, fork_server, folder: Path, first: Incarnation, killed: bool, result: Result
    ) -> None:
        """Checks the journal after the kill, then the behaviour of a second incarnation."""
        result.runs += 1
        result.kills += killed
        was_received = bool(self.received[self.id])
        result.received += was_received
        journal = folder / "journal"
        found = JournalReader(str(journal)).find_request(self.id) if journal.is_dir() else None
        finding = found.delivery_state if found is not None else "not there"
        result.findings[finding] += 1
        calls = first.traced_calls()
        last_call = calls[-1] if calls else "nothing"
        if was_received and finding in ("not sent", "not there"):
            result.wrongly_unsent.append(f"{self.front} {self.kind} at {len(calls)} {last_call}")
        interrupted = found is not None and not found.is_settled and finding != "not sent"
        if finding == "possibly sent" and not was_received:
            result.unreceived[last_call] += 1
        before = sum(self.received.values())
        second = Incarnation(fork_server, folder, "second", 0, False)
        address = await second.address(self.front if self.front == "faktory" else "clients")
        if address is None:
            raise RuntimeError(f"the second incarnation did not start: {second.output_path.read_text()}")
        output = second.output_path.read_text()
        result.unreported += interrupted and f"request={self.id}" not in output
        if interrupted:
            result.accepted += not await self._is_answered_as_repeat(address)
        await self._wait_for_resends(address, 0.005)
        second.kill()
        result.resent += sum(self.received.values()) - before

    async def _wait_for_resends(self, address: tuple[str, int], wait_s: float) -> None:
        """Gives the second incarnation time to send a request to workers that would accept it."""
        tasks = (
            [asyncio.ensure_future(self._fetch_jobs(address, "stays", 0.0))]
            if self.front == "faktory"
            else []
        )
        await asyncio.sleep(wait_s)
        for each in tasks:
            each.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _write_files(self, folder: Path, ports: list[int]) -> None:
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

    async def _platform(self, address: tuple[str, int]) -> None:
        status, _ = await self._post(address, self.budget_ms())
        assert status in (200, 502, 503), status

    async def _post(self, address: tuple[str, int], budget_ms: float) -> tuple[int, str]:
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(
                f"POST /{CLASS_NAME}/x HTTP/1.1\r\nHost: x\r\nX-Call-Id: {self.id}\r\nX-Budget-Ms: "
                f"{budget_ms:.3f}\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\nhi".encode()
            )
            if not (line := await reader.readline()):
                raise ConnectionResetError
            return int(line.split()[1]), (await reader.read(4096)).decode()
        finally:
            writer.close()

    async def _faktory(self, address: tuple[str, int]) -> None:
        if (
            self.kind == "second"
        ):  # the job waits for a FETCH of a worker that disconnects, and goes to the next one
            leaving = await self._worker_connection(address, "gone").open()
            self.open_streams.add(leaving.writer)
            self.tasks.append(asyncio.ensure_future(self._disconnect_then_fetch(address, leaving)))
        else:
            delay_s = self.random.uniform(0.0, 0.016) if self.kind == "race" else 0.0
            self.tasks.append(asyncio.ensure_future(self._fetch_jobs(address, "stays", delay_s)))
            await asyncio.sleep(0.005)
        await self._push(address, self.budget_ms())

    async def _push(self, address: tuple[str, int], budget_ms: float) -> str:
        connection = await FaktoryConnection(address).open()
        try:
            return await connection.command(
                "PUSH",
                {
                    "jid": self.id,
                    "jobtype": CLASS_NAME,
                    "queue": CLASS_NAME,
                    "args": [],
                    "custom": {"answer": "outcome", "budget_ms": budget_ms, "effect_key": "k"},
                },
            )
        finally:
            connection.close()

    def _worker_connection(self, address: tuple[str, int], wid: str) -> FaktoryConnection:
        return FaktoryConnection(address, local_address=(HOP_HOST, 0), wid=wid, labels=["zone:a", "kind:big"])

    async def _disconnect_then_fetch(self, address: tuple[str, int], leaving: FaktoryConnection) -> None:
        await asyncio.sleep(0.02)
        leaving.close()
        await self._fetch_jobs(address, "stays", 0.0)

    async def _fetch_jobs(
        self, address: tuple[str, int], wid: str, delay_s: float, running_s: float = 0.003
    ) -> None:
        with suppress(OSError, asyncio.IncompleteReadError):
            connection = await self._worker_connection(address, wid).open()
            try:
                await asyncio.sleep(delay_s)
                while True:
                    job = await connection.command("FETCH", CLASS_NAME)
                    if job is not None:
                        jid = json.loads(job)["jid"]
                        self.received[jid] += 1
                        await asyncio.sleep(running_s)
                        await connection.command("ACK", {"jid": jid})
            finally:
                connection.close()

    async def _is_answered_as_repeat(self, address: tuple[str, int]) -> bool:
        """Returns whether a repeated request is answered as repeated, with its delivery state."""
        if self.front == "platform":
            status, text = await self._post(address, 500.0)
            return status == 409 and "sent" in text
        return "sent" in (reply := await self._push(address, 500.0)) and reply.startswith("-REPEATED")


class LoadScenario(Scenario):
    """Many requests, by a daemon that is killed at a random moment."""

    def __init__(self, front: str, seed: int) -> None:
        super().__init__(front, "load", seed)

    async def run_under_load(self, fork_server: subprocess.Popen, result: Result) -> None:
        """Runs the scenario and adds to `result`."""
        workers = HttpWorkers(False, 0.2)
        ports = await workers.start()
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            self._write_files(folder, ports if self.front == "platform" else [])
            first = Incarnation(fork_server, folder, "first", 0, False)
            address = await first.address("clients" if self.front == "platform" else "faktory")
            if self.front == "faktory":
                self.tasks += [
                    asyncio.ensure_future(self._fetch_jobs(address, "stays", 0.0, 0.2))
                    for _ in range(FETCHER_COUNT)
                ]
            sender = asyncio.ensure_future(self._send_requests(address))
            await asyncio.sleep(self.random.uniform(*LOAD_DURATION_S))
            first.kill()
            for each in [sender, *self.tasks]:
                each.cancel()
            await asyncio.gather(sender, *self.tasks, return_exceptions=True)
            end = time.monotonic() + 2.0
            while workers.open_connections and time.monotonic() < end:
                await asyncio.sleep(0.002)
            self.received += workers.received
            result.runs += 1
            result.kills += 1
            result.received += len(self.received)
            found = {
                each.id: each.delivery_state
                for each in JournalReader(str(folder / "journal")).read_requests()
            }
            result.findings.update(found.values())
            result.wrongly_unsent += [
                each for each in self.received if found.get(each, "not sent") == "not sent"
            ]
            result.unreceived["load"] += sum(
                finding != "not sent" and name not in self.received for name, finding in found.items()
            )
            interrupted = {
                request.id
                for request in JournalReader(str(folder / "journal")).read_requests()
                if not request.is_settled and request.delivery_state != "not sent"
            }
            before = sum((self.received + workers.received).values())
            second = Incarnation(fork_server, folder, "second", 0, False)
            address = await second.address("clients" if self.front == "platform" else "faktory")
            output = second.output_path.read_text()
            result.unreported += sum(f"request={each} " not in output for each in interrupted)
            await self._wait_for_resends(address, 0.05)
            second.kill()
            result.resent += sum((self.received + workers.received).values()) - before
        workers.stop()

    async def _send_requests(self, address: tuple[str, int]) -> None:
        number = 0
        while True:
            await asyncio.sleep(self.random.expovariate(LOAD_RATE_PER_S))
            request_scenario = Scenario(self.front, "load", 0)
            number += 1
            request_scenario.id = f"{self.id}-{number:04d}"
            send = (
                request_scenario._post(address, 5000.0)
                if self.front == "platform"
                else request_scenario._push(address, 5000.0)
            )
            self.tasks.append(asyncio.ensure_future(send))


def kill_under_load(front: str, seed: int, kills: int) -> tuple[str, Result]:
    """Kills a daemon under load `kills` times; returns the name of the table row and the result."""
    result = Result()
    with subprocess.Popen(
        [sys.executable, "-m", "measure.killed"], cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE
    ) as fork_server:
        for number in range(kills):
            asyncio.run(
                asyncio.wait_for(
                    LoadScenario(front, seed * 1000 + number).run_under_load(fork_server, result), 60
                )
            )
        fork_server.stdin.close()
    return f"{front}, load", result


def kill_at_calls(front: str, kind: str, after_call: bool, seed: int, step: int) -> tuple[str, Result]:
    """Kills a daemon at every step-th call of one scenario, before or after the call.

    Returns the name of the table row and the result.
    """
    result = Result()
    with subprocess.Popen(
        [sys.executable, "-m", "measure.killed"], cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE
    ) as fork_server:
        try:
            runs_past_end = 0
            for call_number in range(1 + seed % step, MAX_CALLS, step):
                scenario = Scenario(front, kind, seed * 1000 + call_number)
                killed = asyncio.run(
                    asyncio.wait_for(scenario.run(fork_server, call_number, after_call, result), 60)
                )
                # The number of calls varies a little between runs, so three runs must end unkilled in a row.
                runs_past_end = 0 if killed else runs_past_end + 1
                if runs_past_end >= 3:
                    break
        finally:
            fork_server.stdin.close()
    return f"{front}, {kind}", result


def table(results: dict[str, Result]) -> str:
    """Returns the results as a Markdown table."""
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
            f"| {name} | {each.runs} | {each.kills} | {each.received} | {found['not there']} "
            f"| {found['not sent']} | {found['possibly sent']} | {found['sent']} "
            f"| {len(each.wrongly_unsent)} | {each.resent} | {each.unreported} | {each.accepted} "
            f"| {sum(each.unreceived.values())} |"
        )
    last_calls = "; ".join(f"{last_call}: {count}" for last_call, count in total.unreceived.most_common(12))
    return "\n".join(lines) + f"\n\nPossibly sent and not seen, by their last call: {last_calls or 'none'}."


def measure(rounds: int, step: int, lanes: int, seed: int, loads: int = 0) -> dict[str, Result]:
    """Runs all scenarios in `lanes` processes, and `loads` kills under load for each front end.

    Returns the results by table row.
    """
    results: dict[str, Result] = {}
    with ProcessPoolExecutor(lanes) as pool:
        runs = [
            pool.submit(kill_at_calls, front, kind, after_call, seed + number, step)
            for number in range(rounds)
            for front in FRONTS
            for kind in KINDS
            for after_call in (False, True)
        ]
        loads_per_lane = -(-loads // lanes)
        runs += [
            pool.submit(kill_under_load, front, seed + 500 + number, loads_per_lane)
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
@click.option("--step", default=1, show_default=True, help="Kill at every STEP-th call.")
@click.option("--loads", default=200, show_default=True, help="Kills under load, for each front end.")
@click.option("--lanes", default=8, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--out", type=click.Path(path_type=Path), help="Also write the table to this file.")
def main(rounds: int, step: int, loads: int, lanes: int, seed: int, out: Path | None) -> None:
    """Kill the daemon at every call and compare its journal with what the workers received."""
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
