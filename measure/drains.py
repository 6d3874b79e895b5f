"""How late new work still arrives after a drain is announced, for every protocol, over seeded drains.

Two schedulers behind one stand-in balancer, under load; one of them is drained (by command, or by SIGTERM
and a start anew), half of the times at the worst moment, just after a check, and undrained. Counted:
requests that the balancer sent to it, and requests that it took, later than 2 s after the announcement;
requests without exactly one final answer.

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

RATE = 25.0  # requests a second of one lane
LATE_S = 2.0
DRAIN_S = 12.0  # one that takes longer with all around it is a fault of the measurement
CLASSES = (("status-read", 5000), ("schedule-apply", 25000), ("setpoint-push", 8000))


@dataclass
class Result:
    """Of some drains."""

    drains: int = 0
    requests: int = 0
    last_s: float = 0.0  # the latest request that the balancer sent, after the announcement
    sent_late: int = 0
    accepted_late: int = 0
    unanswered: int = 0
    duplicate_runs: int = 0
    crossed: int = 0
    refused: int = 0  # during drains: sent on to the other scheduler
    longest_s: float = 0.0  # until all was answered

    def add(self, other: Result) -> None:
        for name in (
            "drains",
            "requests",
            "sent_late",
            "accepted_late",
            "unanswered",
            "duplicate_runs",
            "crossed",
            "refused",
        ):
            setattr(self, name, getattr(self, name) + getattr(other, name))
        self.last_s = max(self.last_s, other.last_s)
        self.longest_s = max(self.longest_s, other.longest_s)


async def open_loop(source: random.Random, tasks: set[asyncio.Task], ask: Callable) -> None:
    """Requests at a constant rate for ever: a slow scheduler cannot slow them down."""
    number, due = 0, time.monotonic()
    while True:
        number, due = number + 1, due + source.expovariate(RATE)
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        cls, budget = source.choices(CLASSES, (49, 32, 19))[0]
        task = asyncio.ensure_future(ask(number, cls, budget))
        tasks.add(task)
        task.add_done_callback(tasks.discard)


class DrainRun:
    """One pair of schedulers and its balancer."""

    def __init__(self, protocol: str, seed: int, by_signal: bool) -> None:
        self.protocol, self.seed, self.by_signal = PROTOCOLS[protocol], seed, by_signal
        self.random = random.Random(seed)
        self.workers = Workers((0.02, 0.4), seed)
        self.tasks: set[asyncio.Task] = set()
        self.result = Result()

    def start(self, name: str) -> Daemon:
        # Slow starts are cut short here: how fast load comes back is not what is measured.
        return Daemon(name, self.places, (self.protocol.front,), "[balancers]\nslow_start_ms = 300")

    async def run(self, drains: int) -> Result:
        self.places = await self.workers.start(4)
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
                lambda number, cls, budget: self.balancer.request(f"r{self.seed}-{number}", cls, budget),
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
        self.result.unanswered = sum(len(each.answers) != 1 for each in self.balancer.sent)
        self.result.crossed = sum(each.crossed for each in self.balancer.sent)
        self.result.duplicate_runs = sum(count > 1 for count in self.workers.run_counts.values())
        self.result.refused = self.balancer.retried
        return self.result

    async def drain(self, backend: Backend) -> None:
        while not backend.health_tracker.effective_weight:
            await asyncio.sleep(0.02)
        await asyncio.sleep(self.random.uniform(0.2, 0.8))
        if self.protocol.check is not None and self.random.random() < 0.5:  # the worst moment: just checked
            before = backend.checked_at
            while backend.checked_at == before:
                await asyncio.sleep(0.001)
        daemon, first = self.daemons[backend.name], len(self.balancer.sent)
        at = time.monotonic()
        if self.by_signal:
            daemon.process.terminate()
            await asyncio.to_thread(daemon.process.wait, 30)
        else:
            await asyncio.to_thread(daemon.command, do="drain")
            await asyncio.to_thread(daemon.until, "drained", wait_s=30)
        self.result.longest_s = max(self.result.longest_s, time.monotonic() - at)
        await asyncio.sleep(max(0.0, at + LATE_S + 0.3 - time.monotonic()))
        came = [each for each in self.balancer.sent[first:] if each.backend == backend.name and each.at > at]
        late = [each for each in came if each.at > at + LATE_S]
        self.result.drains += 1
        self.result.last_s = max([self.result.last_s, *(each.at - at for each in came)])
        self.result.sent_late += len(late)
        self.result.accepted_late += sum(each.answers != [503] for each in late)
        if self.by_signal:
            fresh = await asyncio.to_thread(self.start, backend.name)
            daemon.close()
            self.daemons[backend.name] = fresh
            backend.clients, backend.check = fresh.addresses["clients"], fresh.addresses[self.protocol.front]
            backend.idle.clear()
        else:
            await asyncio.to_thread(daemon.command, do="undrain")


class FaktoryDrainRun:
    """A pair of schedulers that producers push to; a drain is told by the reply to their next PUSH."""

    def __init__(self, seed: int) -> None:
        self.seed, self.random = seed, random.Random(seed)
        self.result, self.run_counts = Result(), Counter()
        self.tasks: set[asyncio.Task] = set()

    async def run(self, drains: int) -> Result:
        queues = " ".join(each for each, _ in CLASSES)
        daemons = {name: await asyncio.to_thread(Daemon, name, [], ("faktory",)) for name in ("a", "b")}
        places = {name: each.addresses["faktory"] for name, each in daemons.items()}
        workers = [
            FaktoryWorkers(place, 16, queues, (0.02, 0.4), self.seed, self.run_counts)
            for place in places.values()
        ]
        self.producers = Producers(places, self.seed)
        load = asyncio.ensure_future(
            open_loop(
                self.random,
                self.tasks,
                lambda number, cls, budget: self.producers.push(f"faktory-{self.seed}-{number}", cls, budget),
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
        self.result.requests, self.result.refused = len(sent), self.producers.retried
        self.result.unanswered = sum(len(each.answers) != 1 for each in sent)
        self.result.duplicate_runs = sum(count > 1 for count in self.run_counts.values())
        return self.result

    async def drain(self, name: str, daemon: Daemon) -> None:
        await asyncio.sleep(self.random.uniform(0.4, 1.0))
        first, at = len(self.producers.sent), time.monotonic()
        await asyncio.to_thread(daemon.command, do="drain")
        told = time.monotonic()
        await asyncio.to_thread(daemon.until, "drained", wait_s=30)
        self.result.longest_s = max(self.result.longest_s, time.monotonic() - at)
        await asyncio.sleep(max(0.0, at + LATE_S + 0.3 - time.monotonic()))
        came = [each for each in self.producers.sent[first:] if each.backend == name and each.at > at]
        while not all(each.answers for each in came):  # the last one's answer may still be on its way
            await asyncio.sleep(0.005)
        taken = [each for each in came if each.answers != [503]]
        self.result.drains += 1
        # Producers are not balancers: they go on asking, so what counts is what was taken.
        self.result.last_s = max([self.result.last_s, *(each.at - told for each in taken)])
        self.result.accepted_late += sum(each.at > at + LATE_S for each in taken)
        await asyncio.to_thread(daemon.command, do="undrain")


def faktory_lane(drains: int, seed: int) -> tuple[str, Result]:
    run = FaktoryDrainRun(seed).run(drains)
    return "Faktory producers", asyncio.run(asyncio.wait_for(run, 30 + DRAIN_S * drains))


def lane(protocol: str, drains: int, seed: int, by_signal: bool) -> tuple[str, Result]:
    name = f"{protocol}, SIGTERM" if by_signal else protocol
    run = DrainRun(protocol, seed, by_signal).run(drains)
    return name, asyncio.run(asyncio.wait_for(run, 30 + DRAIN_S * drains))


def table(results: dict[str, Result]) -> str:
    lines = [
        "| protocol | drains | requests | last sent after, s | sent after 2 s | taken after 2 s "
        "| without one answer | run twice | closes that crossed | refused, sent on | longest drain, s |",
        "| --- " * 11 + "|",
    ]
    for name, each in results.items():
        lines.append(
            f"| {name} | {each.drains} | {each.requests} | {each.last_s:.2f} | {each.sent_late} "
            f"| {each.accepted_late} | {each.unanswered} | {each.duplicate_runs} | {each.crossed} "
            f"| {each.refused} | {each.longest_s:.2f} |"
        )
    return "\n".join(lines)


@click.command()
@click.option("--drains", default=200, show_default=True, help="For each protocol.")
@click.option("--lanes", default=3, show_default=True, help="Pairs of schedulers for each protocol.")
@click.option("--seed", default=1, show_default=True)
@click.option("--out", type=click.Path(path_type=Path), help="Write the table here too.")
@click.option("--only", multiple=True, help="This protocol, and others so named, alone.")
def main(drains: int, lanes: int, seed: int, out: Path | None, only: tuple[str, ...]) -> None:
    """Drain schedulers under load and count what arrives late."""
    kinds = [(name, False) for name in PROTOCOLS] + [("agent-check", True)]
    if only:
        kinds = [each for each in kinds if each[0] in only and not each[1]]
    results: dict[str, Result] = {}
    begun = time.monotonic()
    with ProcessPoolExecutor(lanes * (len(kinds) + 1)) as pool:
        each = -(-drains // lanes)
        runs = [
            pool.submit(lane, name, each, seed * 1000 + index * 50 + number, by_signal)
            for index, (name, by_signal) in enumerate(kinds)
            for number in range(lanes)
        ]
        if not only or "faktory" in only:
            runs += [pool.submit(faktory_lane, each, seed * 1000 + 900 + number) for number in range(lanes)]
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
            f"Two schedulers a lane, {lanes} lanes a protocol, all at once on 8 cores, {RATE:.0f} requests a "
            f"second a lane; {time.monotonic() - begun:.0f} s in all. Columns: see measure/drains.py."
            f"\n\n{text}\n"
        )


if __name__ == "__main__":
    main()
