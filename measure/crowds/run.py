"""Measures one real scheduler beside hostile crowds: its memory, and the answers of ordinary clients.

    python -m measure.crowds.run half-body 350 --memory-mb 192
    python -m measure.crowds.run push 250 --seconds 20

Prints a line for each: peak memory before, during and after the crowd, and the ordinary clients' answers
without and beside it. The crowd and the ordinary clients have processes of their own.
"""

from __future__ import annotations

import asyncio
import multiprocessing
import statistics
import time
from pathlib import Path
from typing import Any, NamedTuple

import click

from measure.crowds.memory import resident_mb
from measure.crowds.shapes import FAKTORY_SHAPES, SHAPES, Crowd, unique_id
from measure.daemons import Program, settings
from measure.soak.fault_proxy import FaultProxy, LinkState
from measure.soak.records import Records
from measure.soak.stand_ins import DiscoveryStandIn, Member, read_message
from measure.workers import CallingWorkers

ORDINARY_CLIENTS = 3
ORDINARY_PAUSE_S = 0.03
ORDINARY_TIMEOUT_S = 8.0
SETTLE_S = 5.0
WORKER_COUNT = 4
SAMPLE_S = 0.05
ESTABLISHED = "01"  # state of a connection in /proc/net/tcp


class Answers(NamedTuple):
    """What ordinary clients saw: latencies in seconds, and the number of requests without an answer."""

    latencies_s: list[float]
    statuses: dict[str, int]
    unanswered: int

    def p99_s(self) -> float:
        """Returns the 99th percentile of the latencies; infinite without any."""
        ordered = sorted(self.latencies_s)
        return ordered[min(len(ordered) - 1, int(0.99 * len(ordered)))] if ordered else float("inf")

    def __str__(self) -> str:
        median = statistics.median(self.latencies_s) if self.latencies_s else float("nan")
        return (
            f"{len(self.latencies_s)} answers {self.statuses}, {self.unanswered} without, "
            f"p50 {median:.3f} s, p99 {self.p99_s():.3f} s"
        )


class Result(NamedTuple):
    """What was measured, memory in MB."""

    base_mb: float
    peak_mb: float
    late_peak_mb: float  # in the last quarter of the crowd's time
    after_mb: float  # SETTLE_S after the crowd has gone
    alone: Answers
    beside: Answers
    is_alive: bool
    log: str
    queued_mb: float  # most bytes in the kernel's queues of the scheduler's sockets


def queued_mb(port: int) -> float:
    """Returns the MB in the kernel's queues of the sockets at this local port (proc(5), net/tcp)."""
    queued = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if int(fields[1].split(":")[1], 16) == port and fields[3] == ESTABLISHED:
            queued += sum(int(each, 16) for each in fields[4].split(":"))
    return queued / 1e6


async def send_ordinary(port: int, seconds: float, timeout_s: float = ORDINARY_TIMEOUT_S) -> Answers:
    """Sends small requests on kept connections, one at a time on each, and returns what came back."""
    latencies: list[float] = []
    statuses: dict[str, int] = {}
    unanswered = 0
    end_s = time.monotonic() + seconds

    async def client() -> None:
        nonlocal unanswered
        streams = None
        while time.monotonic() < end_s:
            began_s = time.monotonic()
            is_new = streams is None
            try:
                streams = streams or await asyncio.wait_for(
                    asyncio.open_connection("127.0.0.1", port), timeout_s
                )
                head = f"POST /status-read HTTP/1.1\r\nHost: x\r\nX-Call-Id: {unique_id('o')}\r\n"
                streams[1].write(f"{head}Content-Length: 4\r\n\r\nwork".encode())
                message = await asyncio.wait_for(read_message(streams[0]), timeout_s)
            except (OSError, TimeoutError):
                message = None
            if message is None:
                if streams is not None:
                    streams[1].transport.abort()
                streams = None
                # The close of an idle connection may cross a request, which is then sent once more.
                unanswered += is_new
                continue
            status = message[0].split(" ")[1]
            statuses[status] = statuses.get(status, 0) + 1
            latencies.append(time.monotonic() - began_s)
            if message[1].get("connection") == "close":
                streams[1].close()
                streams = None
            await asyncio.sleep(ORDINARY_PAUSE_S)
        if streams is not None:
            streams[1].close()

    await asyncio.gather(*(client() for _ in range(ORDINARY_CLIENTS)))
    return Answers(latencies, statuses, unanswered)


def run_crowd_process(port: int, shapes: tuple[str, ...], count: int, seconds: float, seed: int) -> None:
    """Runs a crowd in this process."""
    asyncio.run(Crowd(port, shapes, count, seed).run(seconds))


class CrowdBench:
    """One real scheduler with job workers and discovery, for crowds to attack."""

    def __init__(
        self,
        memory_mb: float = 192,
        sockets: int = 1024,
        fronts: str = "",
        hanging: bool = False,
        command: tuple[str, ...] = ("-m", "spanwing"),
        link_delay_s: float = 0.0,
    ) -> None:
        """link_delay_s: delay of the links to the job workers, in each direction."""
        self.link_delay_s = link_delay_s
        self.limits = {"memory_mb": memory_mb, "sockets": sockets}
        self.fronts, self.command = fronts, command
        self.workers = CallingWorkers((0.01, 0.04), 1, ("127.0.0.1", 0))
        if hanging:
            self.workers.completion_allowed.clear()
        self.discovery = DiscoveryStandIn(Records(), ["n0"])
        self.program: Program | None = None

    async def start(self, **more: Any) -> None:
        """Starts all parts; keyword arguments are further settings."""
        await self.discovery.listen()
        for name, port in await self.workers.start(WORKER_COUNT):
            link = FaultProxy(port)
            link.set_state(LinkState(delay_s=self.link_delay_s))
            link_port = await link.listen() if self.link_delay_s else port
            self.discovery.members[name] = Member(name, ports={"n0": link_port})
        config = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{self.discovery.links['n0'].port}",
            "seed": "2a",
            "limits": self.limits,
            "settings": settings(**more),
        }
        self.program = Program(config, self.fronts, command=self.command)
        if not await asyncio.to_thread(self.program.serving):
            raise RuntimeError(f"the scheduler did not start: {self.program.stderr_text()}")
        self.workers.callback_address = self.program.addresses["clients"]

    def port(self, front: str = "clients") -> int:
        """Returns the port of a front."""
        return self.program.addresses[front][1]

    def resident_mb(self) -> float:
        """Returns the scheduler's resident memory in MB."""
        return resident_mb(self.program.process.pid)

    async def stop(self) -> None:
        """Ends all parts."""
        self.workers.stop()
        if self.program is not None:
            self.program.close()

    async def attack(self, shapes: tuple[str, ...], count: int, seconds: float, seed: int = 1) -> Result:
        """Measures ordinary clients alone, then beside a crowd, and the memory all the time."""
        front = "faktory" if set(shapes) <= set(FAKTORY_SHAPES) else "clients"
        alone = await send_ordinary(self.port(), min(4.0, seconds))
        base_mb = self.resident_mb()
        crowd = multiprocessing.get_context("spawn").Process(
            target=run_crowd_process, args=(self.port(front), shapes, count, seconds, seed), daemon=True
        )
        crowd.start()
        samples: list[tuple[float, float, float]] = []
        began_s = time.monotonic()

        async def sample() -> None:
            while True:
                samples.append((time.monotonic() - began_s, self.resident_mb(), queued_mb(self.port(front))))
                await asyncio.sleep(SAMPLE_S)

        sampler = asyncio.ensure_future(sample())
        beside = await send_ordinary(self.port(), seconds)
        await asyncio.to_thread(crowd.join)
        peak_mb = max(each[1] for each in samples)
        late_peak_mb = max(each[1] for each in samples if each[0] > 0.75 * samples[-1][0])
        await asyncio.sleep(SETTLE_S)
        sampler.cancel()
        return Result(
            base_mb,
            peak_mb,
            late_peak_mb,
            self.resident_mb(),
            alone,
            beside,
            self.program.process.poll() is None,
            self.program.stderr_text(),
            max(each[2] for each in samples),
        )


@click.command()
@click.argument("shapes")
@click.argument("count", type=int)
@click.option("--seconds", type=float, default=6.0, show_default=True)
@click.option("--memory-mb", type=float, default=192, show_default=True)
@click.option("--sockets", type=int, default=1024, show_default=True)
@click.option("--hanging", is_flag=True, help="job workers never end a job")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--log", "shows_log", is_flag=True, help="print the scheduler's log")
def main(
    shapes: str,
    count: int,
    seconds: float,
    memory_mb: float,
    sockets: int,
    hanging: bool,
    seed: int,
    shows_log: bool,
) -> None:
    """Attacks a scheduler by COUNT connections of SHAPES, which are joined by commas."""
    names = tuple(shapes.split(","))
    if unknown := set(names) - set(SHAPES):
        raise click.UsageError(f"no shape {sorted(unknown)}; there are {sorted(SHAPES)}")
    fronts = '[faktory]\nlisten = "127.0.0.1:0"\n' if set(names) & set(FAKTORY_SHAPES) else ""

    async def run() -> Result:
        bench = CrowdBench(memory_mb, sockets, fronts, hanging)
        try:
            await bench.start()
            return await bench.attack(names, count, seconds, seed)
        finally:
            await bench.stop()

    result = asyncio.run(run())
    click.echo(
        f"{shapes} x {count}, {seconds:g} s, limit {memory_mb:g} MB: base {result.base_mb:.0f}, peak "
        f"{result.peak_mb:.0f}, late {result.late_peak_mb:.0f}, after {result.after_mb:.0f} MB; "
        f"queued {result.queued_mb:.0f} MB; {'alive' if result.is_alive else 'ENDED'}"
    )
    click.echo(f"  alone:  {result.alone}\n  beside: {result.beside}")
    if shows_log:
        click.echo(result.log)


if __name__ == "__main__":
    main()
