"""Runs the randomized fault soak.

    python -m measure.soak.run --seed 7                          runs one seed
    python -m measure.soak.run --seeds 1..40 --at-once 3         runs many seeds and prints a summary
    python -m measure.soak.run --seeds 1..40 --drawn             also draws sizes, limits and settings
    python -m measure.soak.run --seeds 1..40 --drawn --crowds    also lets hostile crowds of clients attack
    python -m measure.soak.run --seeds 1..5 --bug no-stale       plants a bug, which the oracle has to detect

Each run starts real schedulers and stand-ins on loopback and injects the faults that its seed draws. The
oracle then judges what clients, workers and discovery observed. A violation or an exception in a scheduler's
log and an unexpected exit are failures too. The exit status is 1 if any run failed.
"""

from __future__ import annotations

import asyncio
import multiprocessing
import re
import signal
import sys
import time
from collections import Counter
from dataclasses import replace
from pathlib import Path
from typing import NamedTuple

import click

from measure.crowds.run import run_crowd_process
from measure.soak.fault_proxy import LinkState
from measure.soak.faults import CRASH_NOTICE_DELAY_S, Fault, FaultKind, draw_faults
from measure.soak.fleet import DEFAULT_DISCONNECT_SHARE, Fleet, FleetPlan
from measure.soak.oracle import judge
from measure.soak.planted_bugs import PLANTED_BUGS
from measure.soak.random_plan import draw_crowds, draw_extra_faults, draw_plan
from measure.soak.records import Outage
from measure.soak.seeds import run_seeds
from measure.soak.stand_ins import AnswerFault, IdleConnectionFlood, WorkerMode

#: Log lines of a scheduler that count as failures: violations that it detected itself, and exceptions.
LOGGED_FAILURE = re.compile(r"rule_violated .*|Traceback .*|fault (?:in|on) .*")
MAX_SHOWN_FAILURES = 8
RELOADS_PER_FAULT = 4
FLOOD_CLOSE_LAG_S = 0.5  # time in which a scheduler notices that the connections are closed
LARGE_CHANGE_SHARE = 0.3  # of the placeholders
BURST_FACTOR = 8.0  # of the usual request rate
WORKER_FAULTS = {
    FaultKind.WORKER_LINK,
    FaultKind.WORKER_MODE,
    FaultKind.WORKER_CRASH,
    FaultKind.WORKER_DRAIN,
}


class RunResult(NamedTuple):
    """The result of a run. In status_counts, None stands for requests without an answer."""

    failures: list[str]  # descriptions of violations, logged failures, exits and harness errors
    request_count: int
    attempt_count: int
    status_counts: dict[str, int]
    faults: list[Fault]
    longest_stall_s: float  # of the stand-ins' event loop; it extends the time limits


class SoakRun:
    """Runs one fleet under the faults of one seed."""

    def __init__(
        self,
        seed: int,
        duration_s: float,
        plan: FleetPlan,
        lag_s: float = 0.0,
        extra_faults: tuple[Fault, ...] = (),
    ) -> None:
        """duration_s: time from the start of the fleet in which faults are injected and requests are sent.

        lag_s: not applied; only the measured stall of the stand-ins extends the time limits.
        extra_faults: added to the faults that the seed draws.
        """
        self.seed, self.duration_s, self.plan, self.lag_s, self.extra_faults = (
            seed,
            duration_s,
            plan,
            lag_s,
            extra_faults,
        )
        self.fleet = Fleet(plan, seed)
        self.disturbed_targets: set[str] = set()  # schedulers and workers under a lasting fault
        self.tasks: list[asyncio.Task[None]] = []

    async def run(self) -> RunResult:
        """Runs the fleet to the end of its duration and judges the records."""
        fleet = self.fleet
        drawn = draw_faults(self.seed, self.duration_s, self.plan.scheduler_count, self.plan.worker_count)
        faults = sorted((*drawn, *self.extra_faults), key=lambda fault: fault.at_s)
        try:
            await fleet.start()
            for client in fleet.clients.values():
                client.disconnect_share = DEFAULT_DISCONNECT_SHARE
            began_s = time.monotonic()
            for fault in faults:
                await asyncio.sleep(max(0.0, began_s + fault.at_s - time.monotonic()))
                self.tasks.append(asyncio.ensure_future(self._inject_fault(fault)))
            await asyncio.sleep(max(0.0, began_s + self.duration_s - time.monotonic()))
            failed = await asyncio.gather(*self.tasks, return_exceptions=True)
            errors = [f"harness: {each!r}" for each in failed if isinstance(each, BaseException)]
        finally:
            await fleet.stop()
        records = fleet.records
        failures = [
            f"{each.rule} at {each.at_s - began_s:.3f} s: {each.text}" for each in judge(records, fleet.rules)
        ]
        for name, text in fleet.logs.items():
            failures += [f"{name}: {found}" for found in LOGGED_FAILURE.findall(text)]
        status_counts = Counter(str(each.status) for each in records.requests)
        attempt_count = sum(each.method == "POST" for each in records.messages)
        return RunResult(
            [*failures, *fleet.unexpected_exits, *fleet.memory_failures(), *errors],
            len(records.requests),
            attempt_count,
            dict(status_counts),
            faults,
            fleet.longest_stall_s,
        )

    async def _inject_fault(self, fault: Fault) -> None:
        """Injects a fault and returns after its duration, or at once if it has no duration."""
        fleet = self.fleet
        scheduler = fleet.scheduler_names[fault.target % len(fleet.scheduler_names)]
        worker = list(fleet.workers)[fault.target % len(fleet.workers)]
        match fault.kind:
            case FaultKind.ANSWER_FAULTS:
                fleet.discovery.faults[scheduler] += list(fault.answer_faults)
            case FaultKind.ANSWER_FAULTS_FOR_ALL:
                for faults in fleet.discovery.faults.values():
                    faults += list(fault.answer_faults)
            case FaultKind.NO_COMPLETE_ANSWER:
                await self._stall_answers(scheduler, fault.duration_s)
            case FaultKind.DISCOVERY_LINK:
                await self._inject_discovery_fault([scheduler], fault.link_state, fault.duration_s)
            case FaultKind.DISCOVERY_DOWN:
                await self._inject_discovery_fault(
                    fleet.scheduler_names, LinkState(refuses_connections=True), fault.duration_s
                )
            case FaultKind.LARGE_LIST_CHANGE:
                fleet.discovery.toggle_placeholders(LARGE_CHANGE_SHARE, fleet.rng)
            case FaultKind.DISCOVERY_RESET:
                fleet.discovery.links[scheduler].reset_connections()
            case FaultKind.WORKER_RESET:
                for name in fleet.scheduler_names:
                    fleet.links[name, worker].reset_connections(fleet.rng)
            case FaultKind.CLIENT_DISCONNECTS:
                fleet.clients[scheduler].disconnect_share = 0.5
                await asyncio.sleep(fault.duration_s)
                fleet.clients[scheduler].disconnect_share = DEFAULT_DISCONNECT_SHARE
            case FaultKind.BURST:
                fleet.clients[scheduler].rate_per_s = self.plan.rate_per_s * BURST_FACTOR
                await asyncio.sleep(fault.duration_s)
                fleet.clients[scheduler].rate_per_s = self.plan.rate_per_s
            case (
                FaultKind.WORKER_LINK
                | FaultKind.WORKER_MODE
                | FaultKind.WORKER_CRASH
                | FaultKind.WORKER_DRAIN
            ):
                await self._run_exclusively(worker, self._inject_worker_fault(fault, worker))
            case _:
                await self._run_exclusively(scheduler, self._inject_scheduler_fault(fault, scheduler))

    async def _run_exclusively(self, name: str, coroutine) -> None:
        """Injects a lasting fault, unless its target is under one already."""
        if name in self.disturbed_targets:
            coroutine.close()
            return
        self.disturbed_targets.add(name)
        try:
            await coroutine
        finally:
            self.disturbed_targets.discard(name)

    async def _stall_answers(self, scheduler: str, duration_s: float) -> None:
        """Stalls each answer of discovery to the scheduler at nine tenths of its length."""
        faults = self.fleet.discovery.faults[scheduler]
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            if not faults:
                faults.append((AnswerFault.STALLED, 0.9))
            await asyncio.sleep(0.01)
        faults.clear()

    async def _inject_discovery_fault(self, names: list[str], link: LinkState, duration_s: float) -> None:
        """Sets a fault on the links of these schedulers to discovery, and records their outages."""
        outages = []
        for name in names:
            proxy = self.fleet.discovery.links[name]
            proxy.set_state(link)
            if link.refuses_connections:
                proxy.reset_connections()
            if link.refuses_connections or link.holds_requests or link.holds_answers:
                outages.append(Outage(name, time.monotonic()))
        self.fleet.records.discovery_outages += outages
        await asyncio.sleep(duration_s)
        for name in names:
            self.fleet.discovery.links[name].set_state(LinkState())
        for outage in outages:
            outage.end_s = time.monotonic()

    async def _inject_worker_fault(self, fault: Fault, name: str) -> None:
        fleet, worker = self.fleet, self.fleet.workers[name]
        match fault.kind:
            case FaultKind.WORKER_LINK:
                for scheduler in fleet.scheduler_names:
                    fleet.links[scheduler, name].set_state(fault.link_state)
                await asyncio.sleep(fault.duration_s)
                for scheduler in fleet.scheduler_names:
                    fleet.links[scheduler, name].set_state(LinkState())
            case FaultKind.WORKER_MODE:
                worker.mode = fault.worker_mode
                await asyncio.sleep(fault.duration_s)
                worker.mode = WorkerMode.UP
            case FaultKind.WORKER_DRAIN:
                worker.is_draining = True
                fleet.discovery.change([name], "leaving")
                await asyncio.sleep(fault.duration_s)
                worker.is_draining = False
                fleet.discovery.change([name], "active")
            case FaultKind.WORKER_CRASH:
                worker.crash()
                await asyncio.sleep(fleet.rng.uniform(*CRASH_NOTICE_DELAY_S))
                fleet.discovery.change([name], "left")
                await asyncio.sleep(fault.duration_s)
                await worker.listen()  # a worker listens some time before discovery lists it
                await asyncio.sleep(fleet.rng.uniform(0.1, 3.0))
                fleet.discovery.change([name], "active", time.time() * 1000.0)

    async def _inject_scheduler_fault(self, fault: Fault, name: str) -> None:
        match fault.kind:
            case FaultKind.PAUSE | FaultKind.LONG_PAUSE:
                began_s = time.monotonic()
                await self.fleet.pause_scheduler(name, fault.duration_s)
                # The rules do not require a scheduler to account for pauses of this length.
                if fault.kind is FaultKind.LONG_PAUSE:
                    outage = Outage(name, began_s, time.monotonic() + 0.5)
                    self.fleet.records.process_outages.append(outage)
            case FaultKind.TERMINATE | FaultKind.KILL:
                with_sigkill = fault.kind is FaultKind.KILL
                await self.fleet.restart_scheduler(name, with_sigkill, down_s=fault.duration_s)
            case FaultKind.RELOAD:
                await self.fleet.reload(name)
            case FaultKind.REPEATED_RELOADS:
                for _ in range(RELOADS_PER_FAULT):
                    await self.fleet.reload(name)
                    await asyncio.sleep(self.fleet.rng.uniform(0.0, 1.0))
            case FaultKind.REPEATED_SIGNALS:
                signals = (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
                await self.fleet.restart_scheduler(name, False, fault.duration_s, signals)
            case FaultKind.CONNECTION_FLOOD:
                await self._flood_connections(name, fault.duration_s)
            case FaultKind.HOSTILE_CROWD:
                await self._attack(name, fault)

    async def _attack(self, name: str, fault: Fault) -> None:
        """Lets a hostile crowd, in a process of its own, attack a scheduler."""
        outage = Outage(name, time.monotonic())
        self.fleet.records.connection_floods.append(outage)
        crowd = multiprocessing.get_context("spawn").Process(
            target=run_crowd_process,
            args=(
                self.fleet.clients[name].port,
                fault.crowd_shapes,
                fault.crowd_size,
                fault.duration_s,
                self.seed,
            ),
            daemon=True,
        )
        crowd.start()
        await asyncio.to_thread(crowd.join)
        outage.end_s = time.monotonic() + FLOOD_CLOSE_LAG_S

    async def _flood_connections(self, name: str, duration_s: float) -> None:
        """Opens as many idle connections to a scheduler as its limit of descriptors."""
        flood, outage = IdleConnectionFlood(), Outage(name, time.monotonic())
        self.fleet.records.connection_floods.append(outage)
        await flood.open(self.fleet.clients[name].port, self.plan.max_descriptors)
        await asyncio.sleep(duration_s)
        flood.close_all()
        outage.end_s = time.monotonic() + FLOOD_CLOSE_LAG_S


def run_seed(
    seed: int, duration_s: float, plan: FleetPlan, prints_faults: bool, extra_faults: tuple[Fault, ...] = ()
) -> int:
    """Runs one seed in this process and prints the result; returns the number of failures.

    prints_faults: also print each fault.
    """
    result = asyncio.run(SoakRun(seed, duration_s, plan, extra_faults=extra_faults).run())
    if prints_faults:
        for fault in result.faults:
            click.echo(
                f"  {fault.at_s:6.2f} {fault.kind} {fault.target} for {fault.duration_s:.2f} s {fault[4:]}"
            )
    verdict = f"{len(result.failures)} FAILURES" if result.failures else "ok"
    click.echo(
        f"seed {seed}: {verdict}; {plan.scheduler_count}x{plan.worker_count}+{plan.placeholder_workers}, "
        f"{result.request_count} requests, {result.attempt_count} attempts, "
        f"{len(result.faults)} faults, stall {result.longest_stall_s:.2f} s, "
        f"answers {dict(sorted(result.status_counts.items()))}"
    )
    for failure in result.failures[:MAX_SHOWN_FAILURES]:
        click.echo(f"  {failure}")
    return len(result.failures)


@click.command()
@click.option("--seed", type=int, help="run this seed in this process")
@click.option("--seeds", help="A..B: run these seeds, each in a process of its own")
@click.option("--at-once", default=2, help="number of runs at the same time")
@click.option("--seconds", default=45.0)
@click.option("--schedulers", default=10)
@click.option("--workers", default=8)
@click.option("--grace", default=2.0, help="drain grace in seconds")
@click.option("--rate", default=15.0, help="requests per second at each scheduler")
@click.option("--pushed", is_flag=True, help="discovery pushes its lists")
@click.option("--bug", type=click.Choice(sorted(PLANTED_BUGS)), help="plant this bug in the schedulers")
@click.option("--crowds", is_flag=True, help="let hostile crowds attack")
@click.option("--drawn", is_flag=True, help="also draw the fleet from the seed, and extra faults")
@click.option("--shim", is_flag=True, help="fail system calls and step wall clocks, drawn from the seed")
@click.option("--log", type=click.Path(path_type=Path), help="append the output of each run to this file")
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
    crowds: bool,
    shim: bool,
    log: Path | None,
) -> None:
    """Runs one seed or a range of seeds of the randomized fault soak."""
    if seed is not None:
        command = ("-m", "measure.soak.planted_bugs", bug) if bug else ("-m", "spanwing")
        command = ("-m", "measure.soak.syscall_shim", f"{seed} SCHEDULER") if shim else command
        plan, extra_faults = FleetPlan(schedulers, workers, grace, pushed, rate, command), ()
        if drawn:
            plan = replace(draw_plan(seed, rate), command=command)
            extra_faults = tuple(draw_extra_faults(seed, seconds, plan))
        if crowds:
            extra_faults += tuple(draw_crowds(seed, seconds, plan))
        sys.exit(1 if run_seed(seed, seconds, plan, prints_faults=True, extra_faults=extra_faults) else 0)
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
        *(["--crowds"] if crowds else []),
    ]

    def show(number: int, output: str, errors: str) -> None:
        lines = [line for line in output.splitlines() if not re.match(r" +\d", line)]
        text = "\n".join(lines) if lines else f"seed {number}: harness failed: {errors[-600:]}"
        click.echo(text)
        if log is not None:
            with log.open("a") as file:
                file.write(text + "\n")

    sys.exit(run_seeds("measure.soak.run", seeds or "1..10", flags, at_once, show))


if __name__ == "__main__":
    main()
