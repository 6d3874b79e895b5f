"""The randomized fault soak.

    python -m measure.soak.run --seed 7                        plays one run again
    python -m measure.soak.run --seeds 1..40 --at-once 3       many, with a summary
    python -m measure.soak.run --seeds 1..40 --drawn           sizes, limits and settings drawn too
    python -m measure.soak.run --seeds 1..5 --bug unsafe       with a planted bug, which has to be found

Each run starts real schedulers and stand-ins on loopback, plays the faults that its seed draws, and is
judged by the oracle from what clients, workers and discovery saw. A violation that a scheduler counted
itself, a fault in its log, and an exit that nobody asked for are failures too. Status 1 if any run failed.
"""

from __future__ import annotations

import asyncio
import re
import signal
import sys
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from pathlib import Path
from subprocess import run as run_process
from typing import NamedTuple

import click

from measure.daemons import ROOT
from measure.soak.fault_proxy import LinkState
from measure.soak.faults import GRACE_OF_CRASH_S, Fault, FaultKind, draw_faults
from measure.soak.fleet import USUAL_ODD_SHARE, Fleet, FleetPlan
from measure.soak.oracle import judge
from measure.soak.planted_bugs import PLANTED_BUGS
from measure.soak.random_plan import draw_more_faults, draw_plan
from measure.soak.records import Outage
from measure.soak.stand_ins import AnswerFault, CrowdStandIn, WorkerMode

OWN_FAULTS = re.compile(r"rule_violated .*|Traceback .*|fault (?:in|on) .*")
SHOWN_FAILURES = 8
RELOADS_IN_A_ROW = 4
CROWD_LEAVES_S = 0.5  # until a scheduler has noticed
LIST_CHANGE_SHARE = 0.3
BURST_FACTOR = 8.0
WORKER_FAULTS = {
    FaultKind.WORKER_LINK,
    FaultKind.WORKER_MODE,
    FaultKind.WORKER_CRASH,
    FaultKind.WORKER_DRAIN,
}


class RunResult(NamedTuple):
    """What a run showed."""

    failures: list[str]
    requests: int
    attempts: int
    statuses: dict[str, int]
    faults: list[Fault]
    longest_stall_s: float  # of the stand-ins, added to the time limits


class SoakRun:
    """Plays the faults of one seed on one fleet."""

    def __init__(
        self, seed: int, span_s: float, plan: FleetPlan, lag_s: float = 0.0, more: tuple[Fault, ...] = ()
    ) -> None:
        """lag_s: added to the time limits, where other programs share the machine; more: further faults."""
        self.seed, self.span_s, self.plan, self.lag_s, self.more = seed, span_s, plan, lag_s, more
        self.fleet = Fleet(plan, seed)
        self.busy: set[str] = set()  # schedulers and workers that a lasting fault has already
        self.tasks: list[asyncio.Task[None]] = []

    async def play(self) -> RunResult:
        """Plays to the end, and judges."""
        fleet = self.fleet
        drawn = draw_faults(self.seed, self.span_s, self.plan.schedulers, self.plan.workers)
        faults = sorted((*drawn, *self.more), key=lambda fault: fault.at_s)
        try:
            await fleet.start()
            for client in fleet.clients.values():
                client.odd_share = USUAL_ODD_SHARE
            begun_s = time.monotonic()
            for fault in faults:
                await asyncio.sleep(max(0.0, begun_s + fault.at_s - time.monotonic()))
                self.tasks.append(asyncio.ensure_future(self._play_fault(fault)))
            await asyncio.sleep(max(0.0, begun_s + self.span_s - time.monotonic()))
            failed = await asyncio.gather(*self.tasks, return_exceptions=True)
            errors = [f"harness: {each!r}" for each in failed if isinstance(each, BaseException)]
        finally:
            await fleet.stop()
        records = fleet.records
        failures = [
            f"{each.rule} at {each.at_s - begun_s:.3f} s: {each.text}" for each in judge(records, fleet.rules)
        ]
        for name, text in fleet.logs.items():
            failures += [f"{name}: {found}" for found in OWN_FAULTS.findall(text)]
        statuses = Counter(str(each.status) for each in records.requests)
        attempts = sum(each.method == "POST" for each in records.messages)
        return RunResult(
            [*failures, *fleet.exits, *errors],
            len(records.requests),
            attempts,
            dict(statuses),
            faults,
            fleet.longest_stall_s,
        )

    async def _play_fault(self, fault: Fault) -> None:
        fleet = self.fleet
        scheduler = fleet.names[fault.target % len(fleet.names)]
        worker = list(fleet.workers)[fault.target % len(fleet.workers)]
        match fault.kind:
            case FaultKind.ANSWERS:
                fleet.discovery.faults[scheduler] += list(fault.answers)
            case FaultKind.ANSWERS_OF_ALL:
                for faults in fleet.discovery.faults.values():
                    faults += list(fault.answers)
            case FaultKind.NO_WHOLE_ANSWER:
                await self._stall_answers(scheduler, fault.span_s)
            case FaultKind.DISCOVERY_LINK:
                await self._disturb_discovery([scheduler], fault.link, fault.span_s)
            case FaultKind.DISCOVERY_DOWN:
                await self._disturb_discovery(fleet.names, LinkState(refuses=True), fault.span_s)
            case FaultKind.LIST_CHANGE:
                fleet.discovery.toggle_placeholders(LIST_CHANGE_SHARE, fleet.draw)
            case FaultKind.DISCOVERY_RESET:
                fleet.discovery.links[scheduler].reset_connections()
            case FaultKind.WORKER_RESET:
                for name in fleet.names:
                    fleet.links[name, worker].reset_connections(fleet.draw)
            case FaultKind.CLIENTS_LEAVE:
                fleet.clients[scheduler].odd_share = 0.5
                await asyncio.sleep(fault.span_s)
                fleet.clients[scheduler].odd_share = USUAL_ODD_SHARE
            case FaultKind.BURST:
                fleet.clients[scheduler].rate_per_s = self.plan.rate_per_s * BURST_FACTOR
                await asyncio.sleep(fault.span_s)
                fleet.clients[scheduler].rate_per_s = self.plan.rate_per_s
            case (
                FaultKind.WORKER_LINK
                | FaultKind.WORKER_MODE
                | FaultKind.WORKER_CRASH
                | FaultKind.WORKER_DRAIN
            ):
                await self._alone(worker, self._disturb_worker(fault, worker))
            case _:
                await self._alone(scheduler, self._disturb_scheduler(fault, scheduler))

    async def _alone(self, name: str, coroutine) -> None:
        """Runs a lasting fault, unless its target has one already."""
        if name in self.busy:
            coroutine.close()
            return
        self.busy.add(name)
        try:
            await coroutine
        finally:
            self.busy.discard(name)

    async def _stall_answers(self, scheduler: str, span_s: float) -> None:
        faults = self.fleet.discovery.faults[scheduler]
        end_s = time.monotonic() + span_s
        while time.monotonic() < end_s:
            if not faults:
                faults.append((AnswerFault.STALL, 0.9))
            await asyncio.sleep(0.01)
        faults.clear()

    async def _disturb_discovery(self, names: list[str], link: LinkState, span_s: float) -> None:
        outages = []
        for name in names:
            proxy = self.fleet.discovery.links[name]
            proxy.set_state(link)
            if link.refuses:
                proxy.reset_connections()
            if link.refuses or link.holds_requests or link.holds_answers:
                outages.append(Outage(name, time.monotonic()))
        self.fleet.records.discovery_outages += outages
        await asyncio.sleep(span_s)
        for name in names:
            self.fleet.discovery.links[name].set_state(LinkState())
        for outage in outages:
            outage.end_s = time.monotonic()

    async def _disturb_worker(self, fault: Fault, name: str) -> None:
        fleet, worker = self.fleet, self.fleet.workers[name]
        match fault.kind:
            case FaultKind.WORKER_LINK:
                for scheduler in fleet.names:
                    fleet.links[scheduler, name].set_state(fault.link)
                await asyncio.sleep(fault.span_s)
                for scheduler in fleet.names:
                    fleet.links[scheduler, name].set_state(LinkState())
            case FaultKind.WORKER_MODE:
                worker.mode = fault.mode
                await asyncio.sleep(fault.span_s)
                worker.mode = WorkerMode.UP
            case FaultKind.WORKER_DRAIN:
                worker.is_draining = True
                fleet.discovery.change([name], "leaving")
                await asyncio.sleep(fault.span_s)
                worker.is_draining = False
                fleet.discovery.change([name], "active")
            case FaultKind.WORKER_CRASH:
                worker.crash()
                await asyncio.sleep(fleet.draw.uniform(*GRACE_OF_CRASH_S))
                fleet.discovery.change([name], "left")
                await asyncio.sleep(fault.span_s)
                await worker.listen()  # it listens for a while before discovery lists it
                await asyncio.sleep(fleet.draw.uniform(0.1, 3.0))
                fleet.discovery.change([name], "active", time.time() * 1000.0)

    async def _disturb_scheduler(self, fault: Fault, name: str) -> None:
        match fault.kind:
            case FaultKind.HOLD_UP | FaultKind.LONG_HOLD_UP:
                begun_s = time.monotonic()
                await self.fleet.hold_up(name, fault.span_s)
                if fault.kind is FaultKind.LONG_HOLD_UP:  # beyond what the rules allow for
                    outage = Outage(name, begun_s, time.monotonic() + 0.5)
                    self.fleet.records.process_outages.append(outage)
            case FaultKind.TERMINATE | FaultKind.KILL:
                by_kill = fault.kind is FaultKind.KILL
                await self.fleet.restart_scheduler(name, by_kill, down_s=fault.span_s)
            case FaultKind.RELOAD:
                await self.fleet.reload(name)
            case FaultKind.RELOADS:
                for _ in range(RELOADS_IN_A_ROW):
                    await self.fleet.reload(name)
                    await asyncio.sleep(self.fleet.draw.uniform(0.0, 1.0))
            case FaultKind.SIGNALS:
                signals = (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
                await self.fleet.restart_scheduler(name, False, fault.span_s, signals)
            case FaultKind.CROWD:
                await self._crowd(name, fault.span_s)

    async def _crowd(self, name: str, span_s: float) -> None:
        crowd, outage = CrowdStandIn(), Outage(name, time.monotonic())
        self.fleet.records.crowds.append(outage)
        await crowd.open(self.fleet.clients[name].port, self.plan.sockets)
        await asyncio.sleep(span_s)
        crowd.leave()
        outage.end_s = time.monotonic() + CROWD_LEAVES_S


def play_here(seed: int, span_s: float, plan: FleetPlan, show: bool, more: tuple[Fault, ...] = ()) -> int:
    """Plays one seed in this process, and prints what it showed; returns the number of failures."""
    result = asyncio.run(SoakRun(seed, span_s, plan, more=more).play())
    if show:
        for fault in result.faults:
            click.echo(
                f"  {fault.at_s:6.2f} {fault.kind} {fault.target} for {fault.span_s:.2f} s {fault[4:]}"
            )
    verdict = f"{len(result.failures)} FAILURES" if result.failures else "ok"
    click.echo(
        f"seed {seed}: {verdict}; {plan.schedulers}x{plan.workers}+{plan.placeholder_workers}, "
        f"{result.requests} requests, {result.attempts} attempts, "
        f"{len(result.faults)} faults, stall {result.longest_stall_s:.2f} s, "
        f"answers {dict(sorted(result.statuses.items()))}"
    )
    for failure in result.failures[:SHOWN_FAILURES]:
        click.echo(f"  {failure}")
    return len(result.failures)


@click.command()
@click.option("--seed", type=int, help="one run")
@click.option("--seeds", help="A..B: many runs")
@click.option("--at-once", default=2, help="runs side by side")
@click.option("--seconds", default=45.0)
@click.option("--schedulers", default=10)
@click.option("--workers", default=8)
@click.option("--grace", default=2.0, help="of drains, in seconds")
@click.option("--rate", default=15.0, help="requests a second at each scheduler")
@click.option("--pushed", is_flag=True, help="lists are pushed, not asked for")
@click.option("--bug", type=click.Choice(sorted(PLANTED_BUGS)), help="plant this bug in the schedulers")
@click.option("--drawn", is_flag=True, help="draw the fleet from the seed too, and more faults with it")
@click.option("--shim", is_flag=True, help="system calls fail and wall clocks step, by scripts from the seed")
@click.option("--log", type=click.Path(path_type=Path), help="append each run's lines to this file")
def main(
    seed: int | None,
    seeds: str | None,
    at_once: int,
    seconds: float,
    schedulers: int,
    workers: int,
    grace: float,
    rate: float,
    pushed: bool,
    bug: str | None,
    drawn: bool,
    shim: bool,
    log: Path | None,
) -> None:
    """Plays one seed, or many."""
    if seed is not None:
        command = ("-m", "measure.soak.planted_bugs", bug) if bug else ("-m", "spanwing")
        command = ("-m", "measure.soak.syscall_shim", f"{seed} SCHEDULER") if shim else command
        plan, more = FleetPlan(schedulers, workers, grace, pushed, rate, command), ()
        if drawn:
            plan = replace(draw_plan(seed, rate), command=command)
            more = tuple(draw_more_faults(seed, seconds, plan))
        sys.exit(1 if play_here(seed, seconds, plan, show=True, more=more) else 0)
    first, _, last = (seeds or "1..10").partition("..")
    flags = [
        f"--seconds={seconds}",
        f"--schedulers={schedulers}",
        f"--workers={workers}",
        f"--grace={grace}",
        f"--rate={rate}",
        *(["--pushed"] if pushed else []),
        *([f"--bug={bug}"] if bug else []),
        *(["--shim"] if shim else []),
        *(["--drawn"] if drawn else []),
    ]

    def play(number: int) -> tuple[int, int]:
        arguments = [sys.executable, "-m", "measure.soak.run", f"--seed={number}", *flags]
        ended = run_process(arguments, cwd=ROOT, capture_output=True, text=True)
        lines = [line for line in ended.stdout.splitlines() if not re.match(r" +\d", line)]
        text = "\n".join(lines) if lines else f"seed {number}: harness failed: {ended.stderr[-600:]}"
        click.echo(text)
        if log is not None:
            with log.open("a") as file:
                file.write(text + "\n")
        return number, ended.returncode

    with ThreadPoolExecutor(at_once) as pool:
        results = list(pool.map(play, range(int(first), int(last) + 1)))
    failed = [number for number, status in results if status]
    click.echo(f"{len(results)} runs, {len(failed)} failed: {failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
