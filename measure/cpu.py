"""What a scheduler that runs short of CPU says, and when: before its first late request, or after.

`cuts`: one scheduler, pinned to one core, under a constant load that needs a part of it; other programs on
that core then leave it a half or a quarter. Measured: the time from the first answer to an agent-check that
tells a lower weight because it is short of CPU (the log gives the reason) to the first request that is
answered later than wanted; negative if the request came first.

`starved`: four schedulers, one of them cut to a quarter, behind balancers that follow the weight that
agent-check tells, or that keep a fixed one. Measured: the share of requests answered late or not served.

    .venv/bin/python -m measure.cpu cuts --runs 20 --out docs/results/balancers-cpu-cuts.md
    .venv/bin/python -m measure.cpu starved --runs 5 --out docs/results/balancers-starved.md
"""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import os
import random
import statistics
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path

import click

from measure.balancers import PROTOCOLS, Backend, Balancer, CheckResult, check_agent
from measure.daemons import Daemon
from measure.workers import Workers

RUNNING_S = 0.23  # the least mean of a status-read, so the least slack
WANTED_S = 0.15 + 2 * RUNNING_S  # as for status-read: 150 ms plus twice its running time
BUDGET_MS = 5000
CLASSES = [
    {"name": "status-read", "aim_ms": 1000 * WANTED_S, "deadline_ms": BUDGET_MS, "idempotency": "safe"}
]
WORKERS, SLOTS_WARM_S = 40, 3.0
CLIENTS, CALIBRATE_S = 150, 3.0
POLL_S = 0.05
AFTER_S = 8.0  # a run ends so long after the cut, if nothing is late until then
GENERATOR_LATE_S = 0.05  # a request that the generator itself sent later than this is left out, and counted


def hog(cpu: int, stop: multiprocessing.Event) -> None:
    os.sched_setaffinity(0, {cpu})
    while not stop.is_set():
        for _ in range(10000):
            pass


def serve_workers(cpus: set[int], pipe) -> None:
    """Stand-in job workers in a process of their own."""
    os.sched_setaffinity(0, cpus)

    async def main() -> None:
        workers = Workers((RUNNING_S, RUNNING_S), 1)
        pipe.send(await workers.start(WORKERS))
        await asyncio.to_thread(pipe.recv)

    asyncio.run(main())


class WorkerProcess:
    """Started on its own cores; places are names and ports."""

    def __init__(self, cpus: set[int]) -> None:
        self.pipe, other = multiprocessing.Pipe()
        self.process = multiprocessing.Process(target=serve_workers, args=(cpus, other), daemon=True)
        self.process.start()
        self.places = self.pipe.recv()

    def stop(self) -> None:
        self.pipe.send(None)
        self.process.join(5)
        self.process.kill()


class Hogs:
    """Programs that take the rest of a core."""

    def __init__(self, cpu: int, count: int) -> None:
        self.stop_event = multiprocessing.Event()
        self.processes = [
            multiprocessing.Process(target=hog, args=(cpu, self.stop_event), daemon=True)
            for _ in range(count)
        ]

    def start(self) -> None:
        for each in self.processes:
            each.start()

    def stop(self) -> None:
        self.stop_event.set()
        for each in self.processes:
            if each.pid:
                each.join(5)
                each.kill()


class Load:
    """An open loop of requests at a constant rate."""

    def __init__(self, balancer: Balancer, rate: float, seed: int) -> None:
        self.balancer, self.rate, self.random = balancer, rate, random.Random(seed)
        self.tasks: set[asyncio.Task] = set()
        self.done: list[tuple[float, float, list[int]]] = []  # when due, how long, answers
        self.left_out = 0

    async def run(self, seconds: float) -> None:
        due = time.monotonic()
        end, number = due + seconds, 0
        while due < end:
            number, due = number + 1, due + self.random.expovariate(self.rate)
            wait = due - time.monotonic()
            if wait > 0.001:
                await asyncio.sleep(wait)
            task = asyncio.ensure_future(self._one(due, number))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _one(self, due: float, number: int) -> None:
        if time.monotonic() - due > GENERATOR_LATE_S:
            self.left_out += 1
            return
        sent = await self.balancer.request(f"l{id(self)}-{number}", "status-read", BUDGET_MS)
        # From the moment at which it was due: what the generator waits counts against the scheduler.
        self.done.append((due, time.monotonic() - due, sent.statuses if sent else []))


async def fixed(place) -> CheckResult:
    """A balancer that looks at nothing."""
    return CheckResult()


def backend(daemon: Daemon, weighted: bool) -> Backend:
    protocol = PROTOCOLS["agent-check"]
    return Backend(
        daemon.process.pid,
        daemon.addresses["clients"],
        daemon.addresses["agent_check"],
        protocol if weighted else protocol._replace(check=fixed),
    )


async def served_rate(cpu: int, workers: WorkerProcess, hogs: int) -> float:
    """Requests a second that a scheduler serves at most with these others on its core: so many clients that
    each ask again at once. It grows with the load, as a turn of the loop then serves several; a rate reckoned
    from the cost of single requests would be too low to be an overload."""
    daemon = await asyncio.to_thread(
        Daemon, "c", workers.places, ("agent_check",), cpus={cpu}, classes=CLASSES
    )
    balancer, others = Balancer([backend(daemon, False)], 1), Hogs(cpu, hogs)
    count, stop = 0, False

    async def ask(number: int) -> None:
        nonlocal count
        while not stop:
            sent = await balancer.request(f"c{number}-{count}", "status-read", BUDGET_MS)
            count += sent is not None and sent.statuses == [200]

    clients = [asyncio.ensure_future(ask(number)) for number in range(CLIENTS)]
    try:
        await asyncio.sleep(CALIBRATE_S)
        await asyncio.to_thread(others.start)
        await asyncio.sleep(1.0)
        begun, before = time.monotonic(), count
        await asyncio.sleep(CALIBRATE_S)
        return (count - before) / (time.monotonic() - begun)
    finally:
        stop = True
        others.stop()
        await asyncio.gather(*clients)
        await balancer.stop()
        daemon.close()


@dataclass
class Cut:
    """One run."""

    share: float
    rate: float  # requests a second
    short_s: float | None  # after the cut
    late_s: float | None
    left_out: int

    @property
    def lead_s(self) -> float | None:
        if self.late_s is None:
            return None
        # Never said: as bad as said at the very end.
        return self.late_s - (AFTER_S if self.short_s is None else max(0.0, self.short_s))


def states(log: str) -> list[tuple[float, str]]:
    """Changes of state, of the monotonic clock, from the daemon's log."""
    offset = time.time() - time.monotonic()
    lines = [json.loads(line) for line in log.splitlines() if line.startswith("{")]
    return [
        (datetime.fromisoformat(each["timestamp"]).timestamp() - offset, each["state"])
        for each in lines
        if each["event"] == "health"
    ]


async def cut(cpu: int, workers: WorkerProcess, rate: float, hogs: int, seed: int) -> Cut:
    daemon = await asyncio.to_thread(
        Daemon,
        "d",
        workers.places,
        ("agent_check",),
        cpus={cpu},
        classes=CLASSES,
        balancers='[balancers]\nslow_start_ms = 500\n[log]\nform = "json"',
    )
    balancer = Balancer([backend(daemon, False)], seed)
    load, others = Load(balancer, rate, seed), Hogs(cpu, hogs)
    heard: list[tuple[float, int]] = []  # when an agent-check was answered, and the weight

    async def poll() -> None:
        while True:
            begun = time.monotonic()
            weight = (await check_agent(daemon.addresses["agent_check"])).weight
            heard.append((time.monotonic(), 0 if weight is None else weight))
            await asyncio.sleep(max(0.0, begun + POLL_S - time.monotonic()))

    running = asyncio.ensure_future(load.run(SLOTS_WARM_S + 1.0 + AFTER_S))
    try:
        await asyncio.sleep(SLOTS_WARM_S)
        early = len(load.done)
        await asyncio.sleep(random.Random(seed).uniform(0, 0.3))
        with suppress(RuntimeError):  # the machine's own noise may make it short of CPU before the cut
            await asyncio.to_thread(daemon.wait_for_state, "ready", "weighted", wait_s=4.0)
        polling = asyncio.ensure_future(poll())
        await asyncio.sleep(3 * POLL_S)
        at = time.monotonic()
        await asyncio.to_thread(others.start)
        await running
        polling.cancel()
        # What a balancer has heard of it: the first lower weight after the log says why it is lower.
        shorts = [when for when, state in states(daemon.stderr_text()) if state == "short"]
        said = next((when for when, weight in heard if weight < 100 and shorts and when >= shorts[0]), None)
        late = [due + took for due, took, _ in load.done[early:] if took > WANTED_S and due + took > at]
        short = None if said is None else -1.0 if said < at else said - at
        return Cut(1 / (hogs + 1), rate, short, min(late) - at if late else None, load.left_out)
    finally:
        others.stop()
        await asyncio.gather(*load.tasks)
        await balancer.stop()
        daemon.close()


@click.group()
def main() -> None:
    """Measure what is told when CPU is short."""


def cuts_on(lane: int, lanes: int, runs: int, overs: tuple[float, ...], seed: int) -> list[Cut]:
    """Runs of one lane, on three cores of its own."""
    core = 3 * lane
    os.sched_setaffinity(0, {core + 1})
    workers = WorkerProcess({core + 2})

    async def all_runs() -> list[Cut]:
        rates = {
            hogs: over * await served_rate(core, workers, hogs)
            for hogs, over in zip((1, 3), overs, strict=True)
        }
        found = []
        for number in range(lane, 2 * runs, lanes):
            hogs = 1 if number % 2 == 0 else 3
            found.append(await cut(core, workers, rates[hogs], hogs, seed * 1000 + number))
        return found

    try:
        return asyncio.run(all_runs())
    finally:
        workers.stop()


def in_process(target, arguments, pipe) -> None:
    pipe.send(target(*arguments))


def spread(target, arguments: list[tuple]) -> list:
    """Run in processes of their own, which may have children."""
    pipes = []
    for each in arguments:
        ours, theirs = multiprocessing.Pipe()
        multiprocessing.Process(target=in_process, args=(target, each, theirs)).start()
        pipes.append(ours)
    with ThreadPoolExecutor(len(pipes)) as pool:
        return list(pool.map(lambda pipe: pipe.recv(), pipes))


@main.command()
@click.option("--runs", default=20, show_default=True, help="For each cut.")
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--half", default=1.4, show_default=True, help="Load, of what is served at most with half of the core."
)
@click.option("--quarter", default=1.5, show_default=True, help="The same with a quarter.")
@click.option("--out", type=click.Path(path_type=Path))
def cuts(runs: int, seed: int, half: float, quarter: float, out: Path | None) -> None:
    """From the first `short` to the first late request."""
    lanes = 2
    found = [
        each
        for lane in spread(cuts_on, [(n, lanes, runs, (half, quarter), seed) for n in range(lanes)])
        for each in lane
    ]
    lines = [
        "| CPU left | rates, a second | runs | said short | of these before the cut | said first "
        "| lead, least | median | most | short after the cut, median | most | none late | left out |",
        "| --- " * 13 + "|",
    ]
    for share in (0.5, 0.25):
        of = [each for each in found if each.share == share]
        leads = [each.lead_s for each in of if each.lead_s is not None]
        shorts = [each.short_s for each in of if each.short_s is not None]
        first = sum(
            each.short_s is not None and (each.late_s is None or each.short_s < each.late_s) for each in of
        )
        figures = [f"{function(leads):.2f} s" if leads else "-" for function in (min, statistics.median, max)]
        rates = " and ".join(sorted({f"{each.rate:.0f}" for each in of}))
        lines.append(
            f"| {share:.0%} | {rates} | {len(of)} | {len(shorts)} "
            f"| {sum(each < 0 for each in shorts)} | {first} "
            f"| {' | '.join(figures)} | {statistics.median(shorts):.2f} s | {max(shorts):.2f} s "
            f"| {sum(each.late_s is None for each in of)} | {sum(each.left_out for each in of)} |"
        )
    lines += [
        "",
        "Each run, in seconds from the cut:",
        "",
        "| CPU left | `short` | first late | lead |",
        "| --- | --- | --- | --- |",
    ]
    for each in sorted(found, key=lambda each: -each.share):
        first = "-" if each.short_s is None else f"{each.short_s:.2f}"
        first = "before the cut" if (each.short_s or 0) < 0 else first
        late = "-" if each.late_s is None else f"{each.late_s:.2f}"
        lead = "-" if each.lead_s is None else f"{each.lead_s:.2f}"
        lines.append(f"| {each.share:.0%} | {first} | {late} | {lead} |")
    report(
        "CPU cut under constant load: `short` against the first late request",
        "cuts",
        lines,
        out,
        f"--runs {runs} --seed {seed} --half {half} --quarter {quarter}",
        f"Wanted within {1000 * WANTED_S:.0f} ms; a run ends {AFTER_S:.0f} s after the cut. `left out`: "
        f"requests that the generator itself sent over {1000 * GENERATOR_LATE_S:.0f} ms late.",
    )


async def starved_run(
    weighted: bool, workers: WorkerProcess, rate: float, seed: int, daemons: list[Daemon], seconds: float
) -> tuple[int, int, int]:
    """Requests, late or not served, and left out, of one balancer."""
    balancer = Balancer([backend(each, weighted) for each in daemons], seed)
    load = Load(balancer, rate, seed)
    try:
        await load.run(seconds)
        await asyncio.gather(*load.tasks)
        bad = sum(took > WANTED_S or answers != [200] for _, took, answers in load.done)
        return len(load.done), bad, load.left_out
    finally:
        await balancer.stop()


def calibrated() -> float:
    """Requests a second of a scheduler that has a core to itself."""
    os.sched_setaffinity(0, {1})
    workers = WorkerProcess({2})
    try:
        return asyncio.run(served_rate(0, workers, 0))
    finally:
        workers.stop()


def starved_on(weighted: bool, rate: float, seconds: float, seed: int) -> tuple[int, int, int]:
    """One run: four schedulers on cores 0 to 3, the first one cut, two balancers, job workers on the rest."""
    workers = WorkerProcess({4, 5})
    os.sched_setaffinity(0, {6, 7})
    daemons = [
        Daemon(
            f"n{n}",
            workers.places,
            ("agent_check",),
            cpus={n},
            classes=CLASSES,
            balancers="[balancers]\nslow_start_ms = 5000",
        )
        for n in range(4)
    ]
    others = Hogs(0, 3)
    try:
        time.sleep(6.0)  # the slow start is over
        others.start()

        def one(number: int, pipe) -> None:
            os.sched_setaffinity(0, {6 + number})
            run = starved_run(weighted, workers, rate * 2, seed * 10 + number, daemons, seconds)
            pipe.send(asyncio.run(run))

        pipes = []
        for number in range(2):
            ours, theirs = multiprocessing.Pipe()
            multiprocessing.Process(target=one, args=(number, theirs), daemon=True).start()
            pipes.append(ours)
        return tuple(map(sum, zip(*[each.recv() for each in pipes], strict=True)))
    finally:
        others.stop()
        for each in daemons:
            each.close()
        workers.stop()


@main.command()
@click.option("--runs", default=5, show_default=True, help="For each kind of weight.")
@click.option("--seed", default=1, show_default=True)
@click.option("--need", default=0.3, show_default=True, help="Of a core, at an equal share.")
@click.option("--seconds", default=20.0, show_default=True)
@click.option("--out", type=click.Path(path_type=Path))
def starved(runs: int, seed: int, need: float, seconds: float, out: Path | None) -> None:
    """Late requests with one of four schedulers cut to a quarter of its core."""
    lines = [
        "| weight | runs | requests | late or unserved | mean share | least | most | left out |",
        "| --- " * 8 + "|",
    ]
    most = spread(calibrated, [()])[0]
    for weighted in (False, True):
        found = [
            spread(starved_on, [(weighted, need * most, seconds, seed * 100 + n)])[0] for n in range(runs)
        ]
        shares = [bad / total for total, bad, _ in found]
        lines.append(
            f"| {'told' if weighted else 'fixed'} | {runs} | {sum(each[0] for each in found)} "
            f"| {sum(each[1] for each in found)} | {statistics.mean(shares):.1%} "
            f"| {min(shares):.1%} | {max(shares):.1%} | {sum(each[2] for each in found)} |"
        )
    report(
        "Four schedulers, one cut to a quarter of its core",
        "starved",
        lines,
        out,
        f"--runs {runs} --seed {seed} --need {need} --seconds {seconds}",
        f"Each run {seconds:.0f} s from the cut on, at {need:.0%} of its most for each "
        f"scheduler, of {most:.0f} requests a second at most; agent-check every second. "
        f"Wanted within {1000 * WANTED_S:.0f} ms.",
    )


def report(title: str, command: str, lines: list[str], out: Path | None, options: str, text: str) -> None:
    table = "\n".join(lines)
    click.echo(table)
    if out:
        again = f"    .venv/bin/python -m measure.cpu {command} {options}"
        out.write_text(f"# {title}\n\n{again}\n\n{text}\n\n{table}\n")


if __name__ == "__main__":
    main()
