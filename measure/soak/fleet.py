"""A fleet for the soak: real scheduler processes, stand-ins for all else, a fault proxy on each link."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import time
from dataclasses import dataclass, field
from typing import Any

from measure.daemons import Program
from measure.daemons import settings as daemon_settings
from measure.soak.fault_proxy import FaultProxy, RequestSplitter
from measure.soak.oracle import DEFAULT_LAG_S, RuleSet, SlowStartRule
from measure.soak.records import ConnectionEnd, Outage, Records, SentMessage
from measure.soak.stand_ins import (
    ClientStandIn,
    DiscoveryStandIn,
    Member,
    WorkerStandIn,
    placeholder_members,
)

CLASSES: dict[str, dict[str, float]] = {
    "status-read": {"share": 0.6, "deadline_ms": 3000.0, "run_s": 0.1},
    "schedule-apply": {"share": 0.2, "deadline_ms": 8000.0, "run_s": 0.2},
    "setpoint-push": {"share": 0.2, "deadline_ms": 4000.0, "run_s": 0.15},
}
EFFECTS = {"status-read": "safe", "schedule-apply": "unsafe", "setpoint-push": "keyed"}
WINDOW_S = 3.0
STALL_CHECK_S = 0.01
SIGNAL_GAP_S = 0.02
SLOW_START = {"cold_ms": 2000.0, "fall_ms": 1000.0}
USUAL_ODD_SHARE = 0.05  # of a run's clients that leave early
KEYED_SETTINGS = {"group": "all", "window_ms": WINDOW_S * 1000.0}
NOTHING_KNOWN = {"revision": 0, "complete": True, "members": []}
# SIGKILL comes so long after SIGTERM: the longest deadline, counted as 3 s at most, and the margin.
KILL_MARGIN_S, MAX_DRAIN_DEADLINE_S = 0.7, 3.0
ASSUMED_SLOTS = 4.0  # of a worker, before it tells of any


@dataclass
class FleetPlan:
    """Size and settings of a fleet."""

    schedulers: int = 1
    workers: int = 2
    drain_grace_s: float = 2.0
    pushed: bool = False  # lists count as notified at once
    rate_per_s: float = 10.0
    command: tuple[str, ...] = ("-m", "spanwing")
    environment: dict[str, str] = field(default_factory=dict)
    placeholder_workers: int = 0  # further members of the list, which drain from the start
    deadline_scale: float = 1.0  # of all classes
    sockets: int = 1024
    memory_mb: int = 192
    lists_indented: bool = False
    list_chunk_bytes: int = 0


class Fleet:
    """Started by start(); everything that was seen is in records."""

    def __init__(self, plan: FleetPlan, seed: int) -> None:
        self.plan, self.draw, self.records = plan, random.Random(seed), Records()
        self.names = [f"n{number}" for number in range(plan.schedulers)]
        self.discovery = DiscoveryStandIn(self.records, self.names)
        self.discovery.is_indented = plan.lists_indented
        self.discovery.chunk_bytes = plan.list_chunk_bytes
        scale = plan.deadline_scale
        self.classes = {
            name: {"share": each["share"], "deadline_ms": scale * each["deadline_ms"], "run_s": each["run_s"]}
            for name, each in CLASSES.items()
        }
        longest_s = max(each["deadline_ms"] for each in self.classes.values()) / 1000.0
        self.kill_after_s = min(longest_s, MAX_DRAIN_DEADLINE_S) + KILL_MARGIN_S
        run_s = {name: each["run_s"] for name, each in CLASSES.items()}
        self.workers = {
            f"w{number}": WorkerStandIn(f"w{number}", self.records, run_s, self.draw)
            for number in range(plan.workers)
        }
        self.links: dict[tuple[str, str], FaultProxy] = {}  # by scheduler and worker
        self.clients = {
            name: ClientStandIn(name, self.records, self.classes, self.draw) for name in self.names
        }
        self.programs: dict[str, Program] = {}
        self.logs: dict[str, str] = dict.fromkeys(self.names, "")
        self.known: dict[str, Any] = {}  # by scheduler: the list as its former process last had it
        self.exits: list[str] = []  # programs that ended by themselves, or with an unexpected status
        self.tasks: list[asyncio.Task[None]] = []
        self.longest_stall_s = 0.0  # of this process's loop

    @property
    def rules(self) -> RuleSet:
        """The figures that the oracle goes by; what held up the stand-ins is no scheduler's fault."""
        lag_s = DEFAULT_LAG_S + self.longest_stall_s
        rules = daemon_settings()["rules"]
        mean_run_s = sum(each["share"] * each["run_s"] for each in CLASSES.values())
        slow_start = SlowStartRule(
            SLOW_START["cold_ms"] / 1000.0,
            rules["cold_from"],
            rules["fall_multiple"],
            SLOW_START["fall_ms"] / 1000.0,
            ASSUMED_SLOTS / mean_run_s,
        )
        return RuleSet(self.plan.drain_grace_s, EFFECTS, {"setpoint-push": WINDOW_S}, slow_start, lag_s)

    async def _measure_stalls(self) -> None:
        while True:
            begun_s = time.monotonic()
            await asyncio.sleep(STALL_CHECK_S)
            self.longest_stall_s = max(self.longest_stall_s, time.monotonic() - begun_s - STALL_CHECK_S)

    async def start(self) -> None:
        """Starts the stand-ins and links, then all schedulers side by side, then the clients."""
        self.tasks.append(asyncio.ensure_future(self._measure_stalls()))
        await self.discovery.listen()
        for member in placeholder_members(self.plan.placeholder_workers, "leaving", self.discovery.revision):
            self.discovery.members[member.id] = member
        for worker in self.workers.values():
            await worker.listen()
            self.discovery.members[worker.name] = Member(worker.name)
            for name in self.names:
                link = FaultProxy(worker.port, self._observer(name, worker.name))
                self.links[name, worker.name] = link
                self.discovery.members[worker.name].ports[name] = await link.listen()
        await asyncio.gather(*(self.start_scheduler(name) for name in self.names))
        for client in self.clients.values():
            client.rate_per_s = self.plan.rate_per_s
            self.tasks.append(asyncio.ensure_future(client.run()))

    def _observer(self, scheduler: str, worker: str):
        splitters: dict[int, RequestSplitter] = {}

        def observe(connection: int, data: bytes) -> None:
            now_s = time.monotonic()
            if not data:
                splitters.pop(connection, None)
                self.records.connection_ends.append(ConnectionEnd(scheduler, worker, connection, now_s))
                return
            for head, begun_s in splitters.setdefault(connection, RequestSplitter()).feed(data, now_s):
                lines = head.decode("latin-1").split("\r\n")
                fields = (line.partition(":") for line in lines[1:])
                headers = {field_name.lower(): value.strip() for field_name, _, value in fields}
                method, target, _ = lines[0].split(" ", 2)
                budget = headers.get("x-budget-ms")
                request = headers.get("x-call-id") or target.rsplit("/", 1)[-1]
                self.records.messages.append(
                    SentMessage(
                        scheduler,
                        worker,
                        method,
                        request,
                        int(budget) if budget else None,
                        begun_s,
                        now_s,
                        connection,
                    )
                )

        return observe

    def config(self, name: str) -> dict[str, Any]:
        """Returns the configuration file of a scheduler."""
        usual, grace_ms = daemon_settings(), self.plan.drain_grace_s * 1000.0
        return {
            "name": name,
            "listen": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{self.discovery.links[name].port}",
            "seed": f"{self.names.index(name) + 16:x}",
            "known": self.known.get(name, NOTHING_KNOWN),
            "limits": {"sockets": self.plan.sockets, "memory_mb": self.plan.memory_mb},
            "settings": daemon_settings(
                [
                    {
                        "name": cls,
                        "aim_ms": each["deadline_ms"] / 3.0,
                        "deadline_ms": each["deadline_ms"],
                        "idempotency": EFFECTS[cls],
                        **(KEYED_SETTINGS if EFFECTS[cls] == "keyed" else {}),
                    }
                    for cls, each in self.classes.items()
                ],
                balancers=len(self.names),
                position=self.names.index(name),
                discovery="push" if self.plan.pushed else "subscribe",
                permissions={**usual["permissions"], "probes": True},
                rules={**usual["rules"], **SLOW_START, "stop_sending_within_ms": grace_ms},
            ),
        }

    async def start_scheduler(self, name: str) -> None:
        """Starts a scheduler (again), and leads clients and callbacks to it."""
        begun_s = time.monotonic()
        # Each scheduler has a script of its own where its system calls are made to fail.
        command = tuple(each.replace("SCHEDULER", name) for each in self.plan.command)
        program = await asyncio.to_thread(
            Program, self.config(name), "", command=command, environment=self.plan.environment
        )
        self.programs[name] = program
        if not await asyncio.to_thread(program.serving):
            self.exits.append(f"{name} did not start: {program.said()}")
            return
        self.records.scheduler_starts.append((name, begun_s))
        port = program.addresses["clients"][1]
        self.clients[name].port = port
        self.clients[name].idle.clear()
        for worker in self.workers.values():
            worker.callback_ports[name] = port
        for outage in self.records.process_outages:
            if outage.scheduler == name and outage.end_s == float("inf"):
                outage.end_s = time.monotonic()

    async def restart_scheduler(
        self,
        name: str,
        by_kill: bool,
        down_s: float = 0.0,
        signals: tuple[signal.Signals, ...] = (signal.SIGTERM,),
    ) -> None:
        """Ends a scheduler by SIGKILL, or by signals that begin with SIGTERM, and a SIGKILL as early as the
        protocol allows.

        It is started again down_s later, with the list as it was when the former process ended.
        """
        program = self.programs[name]
        begun_s = time.monotonic()
        outage = Outage(name, begun_s if by_kill else begun_s + KILL_MARGIN_S)
        self.records.process_outages.append(outage)
        if not by_kill:
            for number in signals:
                program.process.send_signal(number)
                await asyncio.sleep(SIGNAL_GAP_S)
            end_s = begun_s + self.kill_after_s
            while program.process.poll() is None and time.monotonic() < end_s:
                await asyncio.sleep(0.02)
            if program.process.poll() not in (None, 0):
                self.exits.append(f"{name} ended with {program.process.poll()}")
        if program.process.poll() is None:
            program.process.kill()
        await asyncio.to_thread(program.process.wait)
        self._keep_log(name)
        self.known[name] = json.loads(self.discovery.encoded(name, None))
        await asyncio.sleep(down_s)
        await self.start_scheduler(name)

    async def hold_up(self, name: str, span_s: float) -> None:
        """Stops a scheduler for a while (SIGSTOP, SIGCONT)."""
        process = self.programs[name].process
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(span_s)
        process.send_signal(signal.SIGCONT)

    async def reload(self, name: str) -> None:
        """Has a scheduler read its files anew (SIGHUP); its discovery has moved to another address."""
        link = FaultProxy(self.discovery.links[name].target_port)
        await link.listen()
        link.set_state(self.discovery.links[name].state)
        self.discovery.links[name] = link
        program = self.programs[name]
        program.write(self.config(name))
        program.process.send_signal(signal.SIGHUP)

    def _keep_log(self, name: str) -> None:
        program = self.programs.pop(name)
        self.logs[name] += program.said()
        program.close()

    async def stop(self) -> None:
        """Lets open requests end, then ends every process that was started here."""
        for client in self.clients.values():
            client.is_sending = False
        pending = [task for client in self.clients.values() for task in client.tasks]
        if pending:
            await asyncio.wait(pending, timeout=12.0)
        for name, program in list(self.programs.items()):
            if program.process.poll() is not None:
                self.exits.append(f"{name} ended with {program.process.poll()}")
            else:
                program.process.kill()
                await asyncio.to_thread(program.process.wait)
            self._keep_log(name)
        for task in self.tasks:
            task.cancel()
