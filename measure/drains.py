"""Measures how late new work still arrives after a drain is announced, for every protocol.

Two schedulers run under load, drawn from a seed, behind one stand-in balancer. One of them is drained, by
command or by SIGTERM, and then undrained or restarted. Half of the drains begin at the worst moment, just
after a health check. The measurement counts the requests that the balancer sent to the draining scheduler,
and those that it accepted, more than 2 s after the announcement, and the requests without exactly one final
answer.

    .venv/bin/python -m measure.drains --drains 200 --out docs/results/balancers-drains.md
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import click

from measure.balancers import PROTOCOLS, Backend, Balancer
from measure.daemons import Daemon
from measure.faktory import FaktoryWorkers, Producers
from measure.workers import Workers

RATE_PER_S = 25.0  # for each pair of schedulers
LATE_AFTER_S = 2.0
DRAIN_TIMEOUT_S = 12.0  # a longer drain, with the pauses around it, counts as a fault of the measurement
#: Name and budget in ms of each service class.
CLASSES = (("status-read", 5000), ("schedule-apply", 25000), ("setpoint-push", 8000))


@dataclass
class Result:
    """Counts over a number of drains."""

    drains: int = 0
    requests: int = 0
    last_sent_s: float = 0.0  # from the announcement to the last request sent to the draining scheduler
    sent_late: int = 0
    accepted_late: int = 0
    unanswered: int = 0  # requests without exactly one answer
    duplicate_runs: int = 0  # jobs that ran more than once
    close_races: int = 0  # requests sent again, as the scheduler had closed the idle connection
    refused: int = 0  # answered 503 while draining, then sent to the other scheduler
    longest_drain_s: float = 0.0  # from the announcement until the scheduler is drained

    def add(self, other: Result) -> None:
        """Adds the counts of `other`, and keeps the longer times."""
        for name in (
            "drains",
            "requests",
            "sent_late",
            "accepted_late",
            "unanswered",
            "duplicate_runs",
            "close_races",
            "refused",
        ):
            setattr(self, name, getattr(self, name) + getattr(other, name))
        self.last_sent_s = max(self.last_sent_s, other.last_sent_s)
        self.longest_drain_s = max(self.longest_drain_s, other.longest_drain_s)


async def open_loop(source: random.Random, tasks: set[asyncio.Task], send: Callable) -> None:
    """Sends requests as a Poisson process at RATE_PER_S until cancelled.

    The loop does not wait for answers, so a slow scheduler doesn't lower the rate.
    """
    number, due = 0, time.monotonic()
    while True:
        number, due = number + 1, due + source.expovariate(RATE_PER_S)
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        cls, budget_ms = source.choices(CLASSES, (49, 32, 19))[0]
        task = asyncio.ensure_future(send(number, cls, budget_ms))
        tasks.add(task)
        task.add_done_callback(tasks.discard)


class DrainRun:
    """Drains the schedulers of one pair behind a balancer, in alternation."""

    def __init__(self, protocol: str, seed: int, by_signal: bool) -> None:
        self.protocol, self.seed, self.by_signal = PROTOCOLS[protocol], seed, by_signal
        self.random = random.Random(seed)
        self.workers = Workers((0.02, 0.4), seed)
        self.tasks: set[asyncio.Task] = set()
        self.result = Result()

    def start(self, name: str) -> Daemon:
        """Starts a scheduler with a short slow start: how fast load returns is not measured here."""
        return Daemon(name, self.ports, (self.protocol.front,), "[balancers]\nslow_start_ms = 300")

    async def run(self, drains: int) -> Result:
        """Runs the drains under load and returns their counts."""
        self.ports = await self.workers.start(4)
        self.daemons = {name: await asyncio.to_thread(self.start, name) for name in ("a", "b")}
        front = self.protocol.front
        backends = [
            Backend(name, each.addresses["clients"], each.addresses[front], self.protocol)
            for name, each in self.daemons.items()
        ]
        self.balancer = Balancer(backends, self.seed)
        load = asyncio.ensure_future(
            open_loop(
                self.random,
                self.tasks,
                lambda number, cls, budget_ms: self.balancer.request(
                    f"r{self.seed}-{number}", cls, budget_ms
                ),
            )
        )
        try:
            for number in range(drains):
                await self.drain(backends[number % 2])
        finally:
            load.cancel()
            await asyncio.gather(*self.tasks)
            await self.balancer.stop()
            for each in self.daemons.values():
                each.close()
            self.workers.stop()
        self.result.requests = len(self.balancer.sent)
        self.result.unanswered = sum(len(each.statuses) != 1 for each in self.balancer.sent)
        self.result.close_races = sum(each.close_races for each in self.balancer.sent)
        self.result.duplicate_runs = sum(count > 1 for count in self.workers.run_counts.values())
        self.result.refused = self.balancer.retry_count
        return self.result

    def describe(self) -> str:
        """Returns what a run that does not end waits for: weights, checks and requests without an answer."""
        now_s = time.monotonic()
        backends = [
            f"{each.name}: weight {each.health_tracker.effective_weight}, "
            f"checked {now_s - each.checked_at:.2f} s ago"
            for each in self.balancer.backends
        ]
        unanswered = [
            f"{each.id} at {each.backend}, sent {now_s - each.sent_at:.2f} s ago"
            for each in self.balancer.sent
            if not each.statuses
        ]
        return (
            f"{self.result.drains} drains done; {backends}; {len(unanswered)} unanswered: {unanswered[-5:]}"
        )

    async def drain(self, backend: Backend) -> None:
        """Drains one scheduler, counts what still arrives, and brings it back."""
        while not backend.health_tracker.effective_weight:
            await asyncio.sleep(0.02)
        await asyncio.sleep(self.random.uniform(0.2, 0.8))
        if (
            self.protocol.check is not None and self.random.random() < 0.5
        ):  # the worst moment: just after a check
            before = backend.checked_at
            while backend.checked_at == before:
                await asyncio.sleep(0.001)
        daemon, first = self.daemons[backend.name], len(self.balancer.sent)
        announced_at = time.monotonic()
        if self.by_signal:
            daemon.process.terminate()
            await asyncio.to_thread(daemon.process.wait, 30)
        else:
            await asyncio.to_thread(daemon.send_command, do="drain")
            await asyncio.to_thread(daemon.wait_for_state, "drained", wait_s=30)
        self.result.longest_drain_s = max(self.result.longest_drain_s, time.monotonic() - announced_at)
        await asyncio.sleep(max(0.0, announced_at + LATE_AFTER_S + 0.3 - time.monotonic()))
        received = [
            each
            for each in self.balancer.sent[first:]
            if each.backend == backend.name and each.sent_at > announced_at
        ]
        late = [each for each in received if each.sent_at > announced_at + LATE_AFTER_S]
        self.result.drains += 1
        self.result.last_sent_s = max(
            [self.result.last_sent_s, *(each.sent_at - announced_at for each in received)]
        )
        self.result.sent_late += len(late)
        self.result.accepted_late += sum(each.statuses != [503] for each in late)
        if self.by_signal:
            restarted = await asyncio.to_thread(self.start, backend.name)
            daemon.close()
            self.daemons[backend.name] = restarted
            backend.client_address, backend.check_address = (
                restarted.addresses["clients"],
                restarted.addresses[self.protocol.front],
            )
            backend.idle.clear()
        else:
            await asyncio.to_thread(daemon.send_command, do="undrain")


class FaktoryDrainRun:
    """Drains the schedulers of a pair that producers push to, in alternation.

    Producers learn of a drain from the reply to their next PUSH.
    """

    def __init__(self, seed: int) -> None:
        self.seed, self.random = seed, random.Random(seed)
        self.result, self.run_counts = Result(), Counter()
        self.tasks: set[asyncio.Task] = set()

    async def run(self, drains: int) -> Result:
        """Runs the drains under load and returns their counts."""
        queues = " ".join(each for each, _ in CLASSES)
        daemons = {name: await asyncio.to_thread(Daemon, name, [], ("faktory",)) for name in ("a", "b")}
        addresses = {name: each.addresses["faktory"] for name, each in daemons.items()}
        workers = [
            FaktoryWorkers(address, 16, queues, (0.02, 0.4), self.seed, self.run_counts)
            for address in addresses.values()
        ]
        self.producers = Producers(addresses, self.seed)
        load = asyncio.ensure_future(
            open_loop(
                self.random,
                self.tasks,
                lambda number, cls, budget_ms: self.producers.push(
                    f"faktory-{self.seed}-{number}", cls, budget_ms
                ),
            )
        )
        try:
            for number in range(drains):
                name = "ab"[number % 2]
                await self.drain(name, daemons[name])
        finally:
            load.cancel()
            await asyncio.gather(*self.tasks)
            self.producers.stop()
            for each in workers:
                await each.stop()
            for each in daemons.values():
                each.close()
        sent = self.producers.sent
        self.result.requests, self.result.refused = len(sent), self.producers.retry_count
        self.result.unanswered = sum(len(each.statuses) != 1 for each in sent)
        self.result.duplicate_runs = sum(count > 1 for count in self.run_counts.values())
        return self.result

    async def drain(self, name: str, daemon: Daemon) -> None:
        """Drains one scheduler, counts the jobs that it still accepts, and undrains it."""
        await asyncio.sleep(self.random.uniform(0.4, 1.0))
        first, announced_at = len(self.producers.sent), time.monotonic()
        await asyncio.to_thread(daemon.send_command, do="drain")
        acknowledged_at = time.monotonic()
        await asyncio.to_thread(daemon.wait_for_state, "drained", wait_s=30)
        self.result.longest_drain_s = max(self.result.longest_drain_s, time.monotonic() - announced_at)
        await asyncio.sleep(max(0.0, announced_at + LATE_AFTER_S + 0.3 - time.monotonic()))
        received = [
            each
            for each in self.producers.sent[first:]
            if each.backend == name and each.sent_at > announced_at
        ]
        while not all(each.statuses for each in received):  # the last answer may still be on its way
            await asyncio.sleep(0.005)
        accepted = [each for each in received if each.statuses != [503]]
        self.result.drains += 1
        # Unlike a balancer, producers go on pushing to a draining scheduler: only accepted jobs count.
        self.result.last_sent_s = max(
            [self.result.last_sent_s, *(each.sent_at - acknowledged_at for each in accepted)]
        )
        self.result.accepted_late += sum(each.sent_at > announced_at + LATE_AFTER_S for each in accepted)
        await asyncio.to_thread(daemon.send_command, do="undrain")


def run_faktory_drains(drains: int, seed: int) -> tuple[str, Result]:
    """Runs a FaktoryDrainRun; returns the name of its table row and its result."""
    run = FaktoryDrainRun(seed).run(drains)
    return "Faktory producers", asyncio.run(asyncio.wait_for(run, 30 + DRAIN_TIMEOUT_S * drains))


def run_drains(protocol: str, drains: int, seed: int, by_signal: bool) -> tuple[str, Result]:
    """Runs a DrainRun; returns the name of its table row and its result."""
    name = f"{protocol}, SIGTERM" if by_signal else protocol
    run = DrainRun(protocol, seed, by_signal).run(drains)
    return name, asyncio.run(asyncio.wait_for(run, 30 + DRAIN_TIMEOUT_S * drains))


def table(results: dict[str, Result]) -> str:
    """Returns the results as a Markdown table."""
    lines = [
        "| protocol | drains | requests | last sent after, s | sent after 2 s | taken after 2 s "
        "| without one answer | run twice | closes that crossed | refused, sent on | longest drain, s |",
        "| --- " * 11 + "|",
    ]
    for name, each in results.items():
        lines.append(
            f"| {name} | {each.drains} | {each.requests} | {each.last_sent_s:.2f} | {each.sent_late} "
            f"| {each.accepted_late} | {each.unanswered} | {each.duplicate_runs} | {each.close_races} "
            f"| {each.refused} | {each.longest_drain_s:.2f} |"
        )
    return "\n".join(lines)


@click.command()
@click.option("--drains", default=200, show_default=True, help="Number of drains of each protocol.")
@click.option("--lanes", default=3, show_default=True, help="Pairs of schedulers for each protocol.")
@click.option("--seed", default=1, show_default=True)
@click.option("--out", type=click.Path(path_type=Path), help="Also write the table to this file.")
@click.option("--only", multiple=True, help="Measure only this protocol; may be repeated.")
def main(drains: int, lanes: int, seed: int, out: Path | None, only: tuple[str, ...]) -> None:
    """Drain schedulers under load and count what arrives late."""
    variants = [(name, False) for name in PROTOCOLS] + [("agent-check", True)]
    if only:
        variants = [each for each in variants if each[0] in only and not each[1]]
    results: dict[str, Result] = {}
    begun = time.monotonic()
    with ProcessPoolExecutor(lanes * (len(variants) + 1)) as pool:
        drains_per_lane = -(-drains // lanes)
        runs = [
            pool.submit(run_drains, name, drains_per_lane, seed * 1000 + index * 50 + number, by_signal)
            for index, (name, by_signal) in enumerate(variants)
            for number in range(lanes)
        ]
        if not only or "faktory" in only:
            runs += [
                pool.submit(run_faktory_drains, drains_per_lane, seed * 1000 + 900 + number)
                for number in range(lanes)
            ]
        for run in runs:
            name, result = run.result()
            results.setdefault(name, Result()).add(result)
    text = table(results)
    click.echo(text)
    if out:
        out.write_text(
            "# Drains: how late new work still arrives\n\n"
            f"    .venv/bin/python -m measure.drains --drains {drains} --lanes {lanes} --seed {seed}"
            "\n\n"
            f"Two schedulers a lane, {lanes} lanes a protocol, all at once on 8 cores, {RATE_PER_S:.0f} "
            f"requests a second a lane; {time.monotonic() - begun:.0f} s in all. Columns: see "
            f"measure/drains.py.\n\n{text}\n"
        )


if __name__ == "__main__":
    main()
