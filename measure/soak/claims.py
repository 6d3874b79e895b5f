"""Runs a randomized soak of Faktory jobs at three members of a replicated store.

    python -m measure.soak.claims --seed 7                          runs one seed
    python -m measure.soak.claims --seeds 1..10 --at-once 3         runs many seeds and prints a summary
    python -m measure.soak.claims --seeds 1..5 --bug written-once   plants a bug, which has to be found

Clients push jobs of a class that must not run twice, and of one that may, at any member; after a refusal or a
broken connection they push them again, there or elsewhere. Members are killed, also below a majority,
restarted and paused; job workers hang, fail jobs and drop connections. The verdict follows from what clients
and job workers saw:

    duplicate   a job of the class that must not run twice has run twice
    lost        a job was answered +OK, and has no outcome in its time at a member that stayed up
    unrun       a job has the outcome `success`, and never ran
    stuck       a job never ran, no fault can have taken it, and it is -REPEATED when all is well again

A violation that a member logs, an exception, and an unexpected exit are failures too. The exit status is 1 if
any run failed.
"""

from __future__ import annotations

import asyncio
import json
import random
import re
import signal
import sys
import tempfile
import time
from collections.abc import Iterable, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import NamedTuple

import click

from measure.daemons import Program, settings
from measure.faktory import FaktoryConnection
from measure.ports import free_ports
from measure.soak.planted_bugs import CLAIM_BUGS
from measure.soak.seeds import run_seeds

LOGGED_FAILURE = re.compile(r"rule_violated .*|Traceback .*|fault (?:in|on) .*")
MEMBERS = ("a", "b", "c")
UNSAFE_CLASS, SAFE_CLASS = "schedule-apply", "status-read"
CLIENT_COUNT, FETCHERS_PER_MEMBER = 8, 3
UNSAFE_SHARE = 0.7  # of the jobs
BUDGETS_MS = (300, 800, 2000)
MAX_PUSHES = 5  # of one job
RUN_TIME_S = (0.005, 0.05)
HANG_SHARE, FAIL_SHARE, DROP_SHARE = 0.02, 0.03, 0.03  # of the jobs that a worker fetches
HANG_S = 3.0
OUTCOME_GRACE_S = 2.0  # after a job's budget
PAUSE_S = (0.02, 0.12)  # by SIGSTOP
FAULT_GAP_S = (0.5, 2.0)
SETTLE_S = 5.0  # after the last fault, until every outcome is in the store
KILL_AFTER_S = 3.7  # from SIGTERM to SIGKILL
POLL_S = 0.03
MAX_SHOWN_FAILURES = 8
NOT_CONNECTED = "not connected"
FINAL_STATES = ("success", "failed", "dead")


class Push(NamedTuple):
    """One PUSH of a job, as its client observed it; times are seconds of one clock."""

    member: str
    began_s: float
    ended_s: float  # when the reply came, or the outcome if it was waited for
    reply: str  # empty: the connection broke; NOT_CONNECTED: nothing was sent


@dataclass
class Job:
    """A job, its pushes, and how often job workers ran it."""

    jid: str
    service_class: str
    budget_ms: int
    pushes: list[Push] = field(default_factory=list)
    run_count: int = 0


def find_duplicates(jobs: Iterable[Job]) -> list[str]:
    """Returns the violations by jobs that must not run twice and did."""
    return [
        f"duplicate: {job.jid} ran {job.run_count} times"
        for job in jobs
        if job.service_class == UNSAFE_CLASS and job.run_count > 1
    ]


def may_be_taken_by_a_fault(job: Job, stopped_s: Mapping[str, list[float]]) -> bool:
    """Returns whether a member that knew of the job ended before its outcome was in the store.

    stopped_s: by member, when it was killed or told to end.
    """
    sent = [push for push in job.pushes if push.reply != NOT_CONNECTED]
    return any(not push.reply for push in sent) or any(
        push.began_s <= at_s <= push.ended_s + SETTLE_S for push in sent for at_s in stopped_s[push.member]
    )


class Member:
    """One member of the store: a daemon that is killed and started again with the same addresses."""

    def __init__(self, name: str, folder: Path, ports: dict[str, int], port: int, command: tuple[str, ...]):
        self.name, self.port, self.command = name, port, command
        peers = ", ".join(f'{other} = "127.0.0.1:{ports[other]}"' for other in MEMBERS if other != name)
        self.fronts = (
            f'[faktory]\nlisten = "127.0.0.1:{port}"\n'
            f'[store]\nmember = "{name}"\ndirectory = "{folder / name}"\n'
            f'listen = "127.0.0.1:{ports[name]}"\npeers = {{ {peers} }}\n'
        )
        self.config = {
            "name": name,
            "listen": "127.0.0.1:0",
            "discovery": "127.0.0.1:9",
            "seed": "2a",
            "known": {"revision": 1, "complete": True, "members": []},
            "limits": {"sockets": 512},
            "settings": settings(),
        }
        self.incarnation = 0
        self.stopped_s: list[float] = []  # when it was killed, or told to end
        self.failures: list[str] = []
        self.program: Program | None = None

    async def start(self) -> None:
        """Starts the daemon; returns once it serves, which it does after it has a majority."""
        self.incarnation += 1
        self.program = await asyncio.to_thread(Program, self.config, self.fronts, command=self.command)
        if not await asyncio.to_thread(self.program.serving) and not self.stopped_s:
            self.failures.append(f"{self.name} did not start: {self.program.stderr_text()[-300:]}")

    async def stop(self, with_sigkill: bool) -> None:
        """Ends the daemon, and keeps the failures that it has logged."""
        self.incarnation += 1
        self.stopped_s.append(time.monotonic())
        process = self.program.process
        if not with_sigkill:
            process.send_signal(signal.SIGTERM)
            end_s = time.monotonic() + KILL_AFTER_S
            while process.poll() is None and time.monotonic() < end_s:
                await asyncio.sleep(POLL_S)
            if process.poll() not in (None, 0):
                self.failures.append(f"{self.name} ended with {process.poll()}")
        process.kill()
        await asyncio.to_thread(process.wait)
        self.collect_failures()

    def collect_failures(self) -> None:
        """Keeps the failures in the log of the process, and removes its files."""
        self.failures += [
            f"{self.name}: {found}" for found in LOGGED_FAILURE.findall(self.program.stderr_text())
        ]
        self.program.close()


class ClaimSoak:
    """One run: members, clients, job workers and faults of one seed."""

    def __init__(self, seed: int, duration_s: float, folder: Path, command: tuple[str, ...]) -> None:
        self.rng, self.duration_s = random.Random(seed), duration_s
        ports = dict(zip(MEMBERS, free_ports(len(MEMBERS)), strict=True))
        self.members = [
            Member(name, folder, ports, port, command)
            for name, port in zip(MEMBERS, free_ports(len(MEMBERS)), strict=True)
        ]
        self.jobs: dict[str, Job] = {}
        self.violations: list[str] = []
        self.is_pushing = self.is_fetching = True
        self.fault_count = 0
        self.longest_stall_s = 0.0  # of this process's event loop; extends the time limits

    async def run(self) -> list[str]:
        """Runs to the end of the duration; returns the failures."""
        await asyncio.gather(*(each.start() for each in self.members))
        helpers = [asyncio.ensure_future(self._measure_stalls())]
        helpers += [
            asyncio.ensure_future(self._fetch(member, number))
            for member in self.members
            for number in range(FETCHERS_PER_MEMBER)
        ]
        clients = [asyncio.ensure_future(self._push_jobs(number)) for number in range(CLIENT_COUNT)]
        try:
            await self._inject_faults()
            self.is_pushing = False
            await asyncio.gather(*clients)
            await asyncio.sleep(SETTLE_S)
            await self._push_stuck_jobs()
        finally:
            for each in (*helpers, *clients):
                each.cancel()
            results = await asyncio.gather(*helpers, *clients, return_exceptions=True)
            for member in self.members:
                member.program.process.kill()
                member.collect_failures()
        errors = [each for each in results if isinstance(each, Exception)]
        duplicates = find_duplicates(self.jobs.values())
        failures = [failure for member in self.members for failure in member.failures]
        return [*duplicates, *self.violations, *failures, *(f"harness: {each!r}" for each in errors)]

    async def _measure_stalls(self) -> None:
        while True:
            began_s = time.monotonic()
            await asyncio.sleep(POLL_S)
            self.longest_stall_s = max(self.longest_stall_s, time.monotonic() - began_s - POLL_S)

    # -- faults

    async def _inject_faults(self) -> None:
        end_s = time.monotonic() + self.duration_s
        while time.monotonic() < end_s:
            await asyncio.sleep(self.rng.uniform(*FAULT_GAP_S))
            self.fault_count += 1
            targets = self.rng.sample(self.members, 2)
            match self.rng.choice(("kill", "kill", "kill two", "restart", "pause")):
                case "kill":
                    await self._restart(targets[:1], with_sigkill=True)
                case "kill two":
                    await self._restart(targets, with_sigkill=True)
                case "restart":
                    await self._restart(targets[:1], with_sigkill=False)
                case "pause":
                    targets[0].program.process.send_signal(signal.SIGSTOP)
                    await asyncio.sleep(self.rng.uniform(*PAUSE_S))
                    targets[0].program.process.send_signal(signal.SIGCONT)

    async def _restart(self, targets: list[Member], with_sigkill: bool) -> None:
        await asyncio.gather(*(each.stop(with_sigkill) for each in targets))
        await asyncio.sleep(self.rng.uniform(0.2, 2.5))
        await asyncio.gather(*(each.start() for each in targets))

    # -- job workers

    async def _fetch(self, member: Member, number: int) -> None:
        """Fetches and runs the jobs of one member; connects again whenever the connection ends."""
        rng = random.Random(f"{member.name}{number}{self.rng.random()}")
        while self.is_fetching:
            connection = FaktoryConnection(
                ("127.0.0.1", member.port), wid=f"w-{member.name}-{number}", labels=["zone:a", "kind:big"]
            )
            with suppress(OSError, asyncio.IncompleteReadError, ValueError):
                await connection.open()
                try:
                    while await self._run_next_job(connection, rng):
                        pass
                finally:
                    connection.close()
            await asyncio.sleep(POLL_S)

    async def _run_next_job(self, connection: FaktoryConnection, rng: random.Random) -> bool:
        """Fetches and runs one job; returns whether the connection goes on."""
        fetched = await connection.command("FETCH", f"{UNSAFE_CLASS} {SAFE_CLASS}")
        if fetched is None:
            return True
        jid = json.loads(fetched)["jid"]
        self.jobs[jid].run_count += 1
        draw = rng.random()
        if draw < HANG_SHARE:
            await asyncio.sleep(HANG_S)
            return False
        await asyncio.sleep(rng.uniform(*RUN_TIME_S))
        if draw < HANG_SHARE + DROP_SHARE:
            return False
        is_failing = draw < HANG_SHARE + DROP_SHARE + FAIL_SHARE
        await connection.command("FAIL" if is_failing else "ACK", {"jid": jid})
        return True

    # -- clients

    async def _push_jobs(self, number: int) -> None:
        rng = random.Random(f"client {number} {self.rng.random()}")
        count = 0
        while self.is_pushing:
            count += 1
            service_class = UNSAFE_CLASS if rng.random() < UNSAFE_SHARE else SAFE_CLASS
            job = Job(f"job-{number:02}-{count:06}", service_class, rng.choice(BUDGETS_MS))
            self.jobs[job.jid] = job
            for _ in range(MAX_PUSHES):
                if await self._push(job, rng.choice(self.members)):
                    break
                await asyncio.sleep(rng.uniform(0.0, 0.3))

    async def _push(self, job: Job, member: Member) -> bool:
        """Pushes a job to a member and follows it; returns whether it has a final outcome."""
        began_s, incarnation = time.monotonic(), member.incarnation
        reply, state = NOT_CONNECTED, ""
        connection = FaktoryConnection(("127.0.0.1", member.port))
        with suppress(OSError, asyncio.IncompleteReadError, ValueError):
            await connection.open()
            reply = ""
            try:
                reply = await connection.command("PUSH", self._payload(job)) or ""
                if reply == "+OK":
                    state = await self._follow(job, member, incarnation, connection)
            finally:
                connection.close()
        job.pushes.append(Push(member.name, began_s, time.monotonic(), reply))
        if state == "success" and not job.run_count:
            self.violations.append(f"unrun: {job.jid} is `success` at {member.name} and never ran")
        return state in ("success", "failed") or reply.startswith(("-REPEATED", "-ERR"))

    def _payload(self, job: Job) -> dict[str, object]:
        return {
            "jid": job.jid,
            "jobtype": "x",
            "queue": job.service_class,
            "args": [],
            "custom": {"budget_ms": job.budget_ms},
        }

    async def _follow(self, job: Job, member: Member, incarnation: int, connection: FaktoryConnection) -> str:
        """Returns the job's final state; empty if its member has ended meanwhile."""
        due_s = time.monotonic() + job.budget_ms / 1000.0 + OUTCOME_GRACE_S
        while True:
            reply = await connection.command("TRACK", f"GET {job.jid}")
            state = json.loads(reply or "{}").get("state", "")
            if member.incarnation != incarnation:
                return ""
            if state in FINAL_STATES:
                return state
            if state == "unknown" and job.run_count:  # +OK for an outcome that the store has
                return "success"
            if time.monotonic() > due_s + self.longest_stall_s:
                where = f"`{state}` at {member.name} after +OK"
                self.violations.append(f"lost: {job.jid} ({job.service_class}) is {where}: {job.pushes}")
                return state
            await asyncio.sleep(POLL_S)

    # -- the end

    async def _push_stuck_jobs(self) -> None:
        """Pushes each job again that never ran, at a random member."""
        stopped_s = {member.name: member.stopped_s for member in self.members}
        for job in list(self.jobs.values()):
            if job.run_count or may_be_taken_by_a_fault(job, stopped_s) or job.service_class != UNSAFE_CLASS:
                continue
            connection = await FaktoryConnection(("127.0.0.1", self.rng.choice(self.members).port)).open()
            try:
                reply = await connection.command("PUSH", self._payload(job)) or ""
            finally:
                connection.close()
            if reply.startswith("-REPEATED"):
                self.violations.append(f"stuck: {job.jid} never ran and is {reply}: {job.pushes}")


def run_seed(seed: int, duration_s: float, command: tuple[str, ...]) -> int:
    """Runs one seed and prints the result; returns the number of failures."""
    with tempfile.TemporaryDirectory() as folder:
        soak = ClaimSoak(seed, duration_s, Path(folder), command)
        failures = asyncio.run(soak.run())
    replies: dict[str, int] = {}
    for job in soak.jobs.values():
        for push in job.pushes:
            kind = push.reply if push.reply == NOT_CONNECTED else push.reply.split(" ")[0] or "broken"
            replies[kind] = replies.get(kind, 0) + 1
    verdict = f"{len(failures)} FAILURES" if failures else "ok"
    runs = sum(job.run_count for job in soak.jobs.values())
    click.echo(
        f"seed {seed}: {verdict}; {len(soak.jobs)} jobs, {runs} runs, {soak.fault_count} faults, "
        f"stall {soak.longest_stall_s:.2f} s, replies {dict(sorted(replies.items()))}"
    )
    for failure in failures[:MAX_SHOWN_FAILURES]:
        click.echo(f"  {failure[:300]}")
    return len(failures)


@click.command()
@click.option("--seed", type=int, help="run this seed in this process")
@click.option("--seeds", default="1..10", help="A..B: run these seeds, each in a process of its own")
@click.option("--at-once", default=2, help="number of runs at the same time")
@click.option("--seconds", default=30.0)
@click.option("--bug", type=click.Choice(sorted(CLAIM_BUGS)), help="plant this bug in the members")
def main(seed: int | None, seeds: str, at_once: int, seconds: float, bug: str | None) -> None:
    """Runs one seed or a range of seeds of the soak of Faktory jobs."""
    if seed is not None:
        command = ("-m", "measure.soak.planted_bugs", bug) if bug else ("-m", "spanwing")
        sys.exit(1 if run_seed(seed, seconds, command) else 0)
    flags = [f"--seconds={seconds}", *([f"--bug={bug}"] if bug else [])]

    def show(number: int, output: str, errors: str) -> None:
        click.echo(output.strip() or f"seed {number}: harness failed: {errors[-600:]}")

    sys.exit(run_seeds("measure.soak.claims", seeds, flags, at_once, show))


if __name__ == "__main__":
    main()
