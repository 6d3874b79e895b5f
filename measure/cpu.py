"""Measures whether a scheduler that runs short of CPU reports so before its first late request.

`cuts` runs one scheduler, pinned to one core, under a constant load that needs part of that core. Busy loops
on the core then leave the scheduler a half or a quarter of it. The result is the time from the first reply to
an agent-check with a lower weight because of the shortage (the log gives the reason) to the first request
answered later than its latency objective. It is negative if the request came first.

`starved` runs four schedulers, one of them cut to a quarter of its core, behind balancers that follow the
weight in agent-check replies or keep a fixed one. The result is the share of requests answered late or not
served.

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

RUNNING_TIME_S = 0.23  # the shortest mean running time of a status-read, which leaves the least slack
LATENCY_OBJECTIVE_S = 0.15 + 2 * RUNNING_TIME_S  # of status-read: 150 ms plus twice its running time
BUDGET_MS = 5000
CLASSES = [
    {
        "name": "status-read",
        "aim_ms": 1000 * LATENCY_OBJECTIVE_S,
        "deadline_ms": BUDGET_MS,
        "idempotency": "safe",
    }
]
WORKER_COUNT, WARM_UP_S = 40, 3.0
CLIENT_COUNT, CALIBRATION_S = 150, 3.0
POLL_INTERVAL_S = 0.05
OBSERVED_S = 8.0  # from the cut to the end of a run
MAX_SEND_DELAY_S = 0.05  # a request that the generator would send later than this is left out and counted


def busy_loop(cpu: int, stop: multiprocessing.Event) -> None:
    """Keeps a core busy until `stop` is set."""
    os.sched_setaffinity(0, {cpu})
    while not stop.is_set():
        for _ in range(10000):
            pass


def serve_workers(cpus: set[int], pipe) -> None:
    """Runs stand-in job workers; sends their names and ports to `pipe`, and ends at the next message."""
    os.sched_setaffinity(0, cpus)

    async def main() -> None:
        workers = Workers((RUNNING_TIME_S, RUNNING_TIME_S), 1)
        pipe.send(await workers.start(WORKER_COUNT))
        await asyncio.to_thread(pipe.recv)

    asyncio.run(main())


class WorkersProcess:
    """Stand-in job workers in a process of their own, on cores of their own; `ports` has names and ports."""

    def __init__(self, cpus: set[int]) -> None:
        self.pipe, child_pipe = multiprocessing.Pipe()
        self.process = multiprocessing.Process(target=serve_workers, args=(cpus, child_pipe), daemon=True)
        self.process.start()
        self.ports = self.pipe.recv()

    def stop(self) -> None:
        """Ends the process."""
        self.pipe.send(None)
        self.process.join(5)
        self.process.kill()


class CpuHogs:
    """Busy loops that share a core with a scheduler."""

    def __init__(self, cpu: int, count: int) -> None:
        self.stop_event = multiprocessing.Event()
        self.processes = [
            multiprocessing.Process(target=busy_loop, args=(cpu, self.stop_event), daemon=True)
            for _ in range(count)
        ]

    def start(self) -> None:
        """Starts the busy loops."""
        for each in self.processes:
            each.start()

    def stop(self) -> None:
        """Stops the busy loops and waits for their processes."""
        self.stop_event.set()
        for each in self.processes:
            if each.pid:
                each.join(5)
                each.kill()


class Load:
    """Sends requests as a Poisson process, without waiting for answers."""

    def __init__(self, balancer: Balancer, rate_per_s: float, seed: int) -> None:
        self.balancer, self.rate_per_s, self.random = balancer, rate_per_s, random.Random(seed)
        self.tasks: set[asyncio.Task] = set()
        self.completed: list[tuple[float, float, list[int]]] = []  # due time, latency in s, statuses
        self.unsent_count = 0

    async def run(self, seconds: float) -> None:
        """Starts the requests that are due within `seconds`; answers may still be pending on return."""
        due = time.monotonic()
        end, number = due + seconds, 0
        while due < end:
            number, due = number + 1, due + self.random.expovariate(self.rate_per_s)
            wait = due - time.monotonic()
            if wait > 0.001:
                await asyncio.sleep(wait)
            task = asyncio.ensure_future(self._send_one(due, number))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _send_one(self, due: float, number: int) -> None:
        if time.monotonic() - due > MAX_SEND_DELAY_S:
            self.unsent_count += 1
            return
        sent = await self.balancer.request(f"l{id(self)}-{number}", "status-read", BUDGET_MS)
        # Latency counts from the due time, so a delay of the generator counts against the scheduler.
        self.completed.append((due, time.monotonic() - due, sent.statuses if sent else []))


async def skip_check(address) -> CheckResult:
    """A check that contacts no backend and leaves its state and weight unchanged."""
    return CheckResult()


def make_backend(daemon: Daemon, weighted: bool) -> Backend:
    """Returns a backend that follows agent-check if `weighted`, or else keeps its weight."""
    protocol = PROTOCOLS["agent-check"]
    return Backend(
        daemon.process.pid,
        daemon.addresses["clients"],
        daemon.addresses["agent_check"],
        protocol if weighted else protocol._replace(check=skip_check),
    )


async def measure_capacity(cpu: int, workers: WorkersProcess, hog_count: int) -> float:
    """Returns the most requests a second that a scheduler serves with `hog_count` busy loops on its core.

    CLIENT_COUNT clients each send the next request as soon as the last is answered. The capacity grows with
    the load, because one iteration of the event loop then serves several requests; a rate computed from the
    cost of single requests would be too low to cause an overload.
    """
    daemon = await asyncio.to_thread(
        Daemon, "c", workers.ports, ("agent_check",), cpus={cpu}, classes=CLASSES
    )
    balancer, cpu_hogs = Balancer([make_backend(daemon, False)], 1), CpuHogs(cpu, hog_count)
    count, stop = 0, False

    async def send_requests(number: int) -> None:
        nonlocal count
        while not stop:
            sent = await balancer.request(f"c{number}-{count}", "status-read", BUDGET_MS)
            count += sent is not None and sent.statuses == [200]

    clients = [asyncio.ensure_future(send_requests(number)) for number in range(CLIENT_COUNT)]
    try:
        await asyncio.sleep(CALIBRATION_S)
        await asyncio.to_thread(cpu_hogs.start)
        await asyncio.sleep(1.0)
        begun, before = time.monotonic(), count
        await asyncio.sleep(CALIBRATION_S)
        return (count - before) / (time.monotonic() - begun)
    finally:
        stop = True
        cpu_hogs.stop()
        await asyncio.gather(*clients)
        await balancer.stop()
        daemon.close()


@dataclass
class CutRun:
    """The result of one run of `cuts`; times are in seconds from the cut."""

    cpu_share: float
    rate_per_s: float  # offered load
    reported_s: float | None  # the shortage in an agent-check reply; -1.0 if reported before the cut
    first_late_s: float | None
    unsent_count: int  # requests left out because the generator was late

    @property
    def lead_s(self) -> float | None:
        """The time from the report of the shortage to the first late request; None if none was late."""
        if self.first_late_s is None:
            return None
        # A shortage that is never reported counts as reported at the end of the run.
        return self.first_late_s - (OBSERVED_S if self.reported_s is None else max(0.0, self.reported_s))


def parse_state_changes(log: str) -> list[tuple[float, str]]:
    """Returns the state changes in the daemon's JSON log, with their times on the monotonic clock."""
    offset = time.time() - time.monotonic()
    lines = [json.loads(line) for line in log.splitlines() if line.startswith("{")]
    return [
        (datetime.fromisoformat(each["timestamp"]).timestamp() - offset, each["state"])
        for each in lines
        if each["event"] == "health"
    ]


async def run_cut(cpu: int, workers: WorkersProcess, rate_per_s: float, hog_count: int, seed: int) -> CutRun:
    """Runs one scheduler under load and cuts its CPU with `hog_count` busy loops."""
    daemon = await asyncio.to_thread(
        Daemon,
        "d",
        workers.ports,
        ("agent_check",),
        cpus={cpu},
        classes=CLASSES,
        balancers='[balancers]\nslow_start_ms = 500\n[log]\nform = "json"',
    )
    balancer = Balancer([make_backend(daemon, False)], seed)
    load, cpu_hogs = Load(balancer, rate_per_s, seed), CpuHogs(cpu, hog_count)
    weights: list[tuple[float, int]] = []  # time of each agent-check reply, and its weight

    async def poll() -> None:
        while True:
            begun = time.monotonic()
            weight = (await check_agent(daemon.addresses["agent_check"])).weight
            weights.append((time.monotonic(), 0 if weight is None else weight))
            await asyncio.sleep(max(0.0, begun + POLL_INTERVAL_S - time.monotonic()))

    running = asyncio.ensure_future(load.run(WARM_UP_S + 1.0 + OBSERVED_S))
    try:
        await asyncio.sleep(WARM_UP_S)
        first_index = len(load.completed)
        await asyncio.sleep(random.Random(seed).uniform(0, 0.3))
        with suppress(RuntimeError):  # other load on the machine may make it short of CPU before the cut
            await asyncio.to_thread(daemon.wait_for_state, "ready", "weighted", wait_s=4.0)
        polling = asyncio.ensure_future(poll())
        await asyncio.sleep(3 * POLL_INTERVAL_S)
        cut_at = time.monotonic()
        await asyncio.to_thread(cpu_hogs.start)
        await running
        polling.cancel()
        # The report reaches a balancer with the first lower weight after the log has given the reason.
        short_times = [when for when, state in parse_state_changes(daemon.stderr_text()) if state == "short"]
        reported_at = next(
            (when for when, weight in weights if weight < 100 and short_times and when >= short_times[0]),
            None,
        )
        late = [
            due + elapsed_s
            for due, elapsed_s, _ in load.completed[first_index:]
            if elapsed_s > LATENCY_OBJECTIVE_S and due + elapsed_s > cut_at
        ]
        reported_s = None if reported_at is None else -1.0 if reported_at < cut_at else reported_at - cut_at
        return CutRun(
            1 / (hog_count + 1),
            rate_per_s,
            reported_s,
            min(late) - cut_at if late else None,
            load.unsent_count,
        )
    finally:
        cpu_hogs.stop()
        await asyncio.gather(*load.tasks)
        await balancer.stop()
        daemon.close()


@click.group()
def main() -> None:
    """Measure what the daemon reports when CPU is short."""


def run_cut_lane(
    lane: int, lanes: int, runs: int, load_factors: tuple[float, ...], seed: int
) -> list[CutRun]:
    """Does every `lanes`-th run of `cuts`, on three cores of its own: scheduler, balancer, job workers."""
    core = 3 * lane
    os.sched_setaffinity(0, {core + 1})
    workers = WorkersProcess({core + 2})

    async def all_runs() -> list[CutRun]:
        rates = {
            hog_count: load_factor * await measure_capacity(core, workers, hog_count)
            for hog_count, load_factor in zip((1, 3), load_factors, strict=True)
        }
        found = []
        for number in range(lane, 2 * runs, lanes):
            hog_count = 1 if number % 2 == 0 else 3
            found.append(await run_cut(core, workers, rates[hog_count], hog_count, seed * 1000 + number))
        return found

    try:
        return asyncio.run(all_runs())
    finally:
        workers.stop()


def send_result(target, arguments, pipe) -> None:
    """Calls `target` and sends what it returns to `pipe`."""
    pipe.send(target(*arguments))


def run_in_processes(target, arguments: list[tuple]) -> list:
    """Calls `target` with each tuple of arguments in a process of its own, and returns the results in order.

    Unlike the workers of a pool, these processes are not daemonic, so they may have children.
    """
    pipes = []
    for each in arguments:
        receiver, sender = multiprocessing.Pipe()
        multiprocessing.Process(target=send_result, args=(target, each, sender)).start()
        pipes.append(receiver)
    with ThreadPoolExecutor(len(pipes)) as pool:
        return list(pool.map(lambda pipe: pipe.recv(), pipes))


@main.command()
@click.option("--runs", default=20, show_default=True, help="Number of runs for each cut.")
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--half",
    default=1.4,
    show_default=True,
    help="Load, as a multiple of the capacity with half of the core.",
)
@click.option(
    "--quarter", default=1.5, show_default=True, help="Load, as a multiple of the capacity with a quarter."
)
@click.option("--out", type=click.Path(path_type=Path))
def cuts(runs: int, seed: int, half: float, quarter: float, out: Path | None) -> None:
    """Measure the time from the first reported shortage to the first late request."""
    lanes = 2
    found = [
        each
        for lane in run_in_processes(
            run_cut_lane, [(n, lanes, runs, (half, quarter), seed) for n in range(lanes)]
        )
        for each in lane
    ]
    lines = [
        "| CPU left | rates, a second | runs | said short | of these before the cut | said first "
        "| lead, least | median | most | short after the cut, median | most | none late | left out |",
        "| --- " * 13 + "|",
    ]
    for cpu_share in (0.5, 0.25):
        matching = [each for each in found if each.cpu_share == cpu_share]
        leads = [each.lead_s for each in matching if each.lead_s is not None]
        short_times = [each.reported_s for each in matching if each.reported_s is not None]
        first = sum(
            each.reported_s is not None and (each.first_late_s is None or each.reported_s < each.first_late_s)
            for each in matching
        )
        figures = [f"{function(leads):.2f} s" if leads else "-" for function in (min, statistics.median, max)]
        rates = " and ".join(sorted({f"{each.rate_per_s:.0f}" for each in matching}))
        lines.append(
            f"| {cpu_share:.0%} | {rates} | {len(matching)} | {len(short_times)} "
            f"| {sum(each < 0 for each in short_times)} | {first} "
            f"| {' | '.join(figures)} | {statistics.median(short_times):.2f} s | {max(short_times):.2f} s "
            f"| {sum(each.first_late_s is None for each in matching)} "
            f"| {sum(each.unsent_count for each in matching)} |"
        )
    lines += [
        "",
        "Each run, in seconds from the cut:",
        "",
        "| CPU left | `short` | first late | lead |",
        "| --- | --- | --- | --- |",
    ]
    for each in sorted(found, key=lambda each: -each.cpu_share):
        first = "-" if each.reported_s is None else f"{each.reported_s:.2f}"
        first = "before the cut" if (each.reported_s or 0) < 0 else first
        late = "-" if each.first_late_s is None else f"{each.first_late_s:.2f}"
        lead = "-" if each.lead_s is None else f"{each.lead_s:.2f}"
        lines.append(f"| {each.cpu_share:.0%} | {first} | {late} | {lead} |")
    report(
        "CPU cut under constant load: `short` against the first late request",
        "cuts",
        lines,
        out,
        f"--runs {runs} --seed {seed} --half {half} --quarter {quarter}",
        f"Wanted within {1000 * LATENCY_OBJECTIVE_S:.0f} ms; a run ends {OBSERVED_S:.0f} s after the cut. "
        f"`left out`: requests that the generator itself sent over {1000 * MAX_SEND_DELAY_S:.0f} ms late.",
    )


async def run_balancer(
    weighted: bool,
    workers: WorkersProcess,
    rate_per_s: float,
    seed: int,
    daemons: list[Daemon],
    seconds: float,
) -> tuple[int, int, int]:
    """Runs one balancer's load; returns its requests, those late or not served, and those left out."""
    balancer = Balancer([make_backend(each, weighted) for each in daemons], seed)
    load = Load(balancer, rate_per_s, seed)
    try:
        await load.run(seconds)
        await asyncio.gather(*load.tasks)
        violations = sum(
            elapsed_s > LATENCY_OBJECTIVE_S or answers != [200] for _, elapsed_s, answers in load.completed
        )
        return len(load.completed), violations, load.unsent_count
    finally:
        await balancer.stop()


def measure_full_capacity() -> float:
    """Returns the requests a second that a scheduler serves at most with a core to itself."""
    os.sched_setaffinity(0, {1})
    workers = WorkersProcess({2})
    try:
        return asyncio.run(measure_capacity(0, workers, 0))
    finally:
        workers.stop()


def run_starved(weighted: bool, rate_per_s: float, seconds: float, seed: int) -> tuple[int, int, int]:
    """Runs four schedulers on cores 0 to 3, of which the first is cut, job workers on cores 4 and 5, and two
    balancers on cores 6 and 7. Returns the sums of what run_balancer() returns."""
    workers = WorkersProcess({4, 5})
    os.sched_setaffinity(0, {6, 7})
    daemons = [
        Daemon(
            f"n{n}",
            workers.ports,
            ("agent_check",),
            cpus={n},
            classes=CLASSES,
            balancers="[balancers]\nslow_start_ms = 5000",
        )
        for n in range(4)
    ]
    cpu_hogs = CpuHogs(0, 3)
    try:
        time.sleep(6.0)  # until the slow start is over
        cpu_hogs.start()

        def run_balancer_process(number: int, pipe) -> None:
            os.sched_setaffinity(0, {6 + number})
            run = run_balancer(weighted, workers, rate_per_s * 2, seed * 10 + number, daemons, seconds)
            pipe.send(asyncio.run(run))

        pipes = []
        for number in range(2):
            receiver, sender = multiprocessing.Pipe()
            multiprocessing.Process(target=run_balancer_process, args=(number, sender), daemon=True).start()
            pipes.append(receiver)
        return tuple(map(sum, zip(*[each.recv() for each in pipes], strict=True)))
    finally:
        cpu_hogs.stop()
        for each in daemons:
            each.close()
        workers.stop()


@main.command()
@click.option("--runs", default=5, show_default=True, help="Number of runs for each kind of weight.")
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--need", default=0.3, show_default=True, help="Load of each scheduler, as a share of its capacity."
)
@click.option("--seconds", default=20.0, show_default=True)
@click.option("--out", type=click.Path(path_type=Path))
def starved(runs: int, seed: int, need: float, seconds: float, out: Path | None) -> None:
    """Measure late requests with one of four schedulers cut to a quarter of its core."""
    lines = [
        "| weight | runs | requests | late or unserved | mean share | least | most | left out |",
        "| --- " * 8 + "|",
    ]
    capacity = run_in_processes(measure_full_capacity, [()])[0]
    for weighted in (False, True):
        found = [
            run_in_processes(run_starved, [(weighted, need * capacity, seconds, seed * 100 + n)])[0]
            for n in range(runs)
        ]
        shares = [violations / total for total, violations, _ in found]
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
        f"scheduler, of {capacity:.0f} requests a second at most; agent-check every second. "
        f"Wanted within {1000 * LATENCY_OBJECTIVE_S:.0f} ms.",
    )


def report(title: str, command: str, lines: list[str], out: Path | None, options: str, text: str) -> None:
    """Prints the table, and writes it to `out` with the command that made it and an explanation."""
    table = "\n".join(lines)
    click.echo(table)
    if out:
        command_line = f"    .venv/bin/python -m measure.cpu {command} {options}"
        out.write_text(f"# {title}\n\n{command_line}\n\n{text}\n\n{table}\n")


if __name__ == "__main__":
    main()
