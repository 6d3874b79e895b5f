"""The soak's fleet: real scheduler processes, stand-ins for all else, a fault proxy on each link."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import time
from dataclasses import dataclass, field
from typing import Any

from measure.crowds.memory import resident_mb
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

#: By class: its share of the requests, its deadline and the mean run time of its jobs.
CLASSES: dict[str, dict[str, float]] = {
    "status-read": {"share": 0.6, "deadline_ms": 3000.0, "run_s": 0.1},
    "schedule-apply": {"share": 0.2, "deadline_ms": 8000.0, "run_s": 0.2},
    "setpoint-push": {"share": 0.2, "deadline_ms": 4000.0, "run_s": 0.15},
}
IDEMPOTENCY_BY_CLASS = {"status-read": "safe", "schedule-apply": "unsafe", "setpoint-push": "keyed"}
DEDUPLICATION_WINDOW_S = 3.0
STALL_CHECK_S = 0.01  # interval at which stalls of the stand-ins' event loop are measured
MEMORY_CHECK_S = 0.05  # interval at which the schedulers' memory is read
SIGNAL_GAP_S = 0.02  # pause after each signal
SLOW_START = {"cold_ms": 2000.0, "fall_ms": 1000.0}
DEFAULT_DISCONNECT_SHARE = 0.05  # of requests whose client disconnects early
KEYED_SETTINGS = {"group": "all", "window_ms": DEDUPLICATION_WINDOW_S * 1000.0}
EMPTY_LIST = {"revision": 0, "complete": True, "members": []}
# SIGKILL follows SIGTERM after the longest deadline, of which at most 3 s count, plus this margin.
KILL_MARGIN_S, MAX_DRAIN_DEADLINE_S = 0.7, 3.0
ASSUMED_SLOTS = 4.0  # of a worker that has not reported its number of slots


@dataclass
class FleetPlan:
    """Size and settings of a fleet."""

    scheduler_count: int = 1
    worker_count: int = 2
    drain_grace_s: float = 2.0
    uses_push: bool = False  # discovery pushes its lists: they count as notified at once
    rate_per_s: float = 10.0  # requests at each scheduler
    #: Python arguments that start a scheduler; SCHEDULER in them stands for its name.
    command: tuple[str, ...] = ("-m", "spanwing")
    environment: dict[str, str] = field(default_factory=dict)
    placeholder_workers: int = 0  # listed as draining; no process listens at their addresses
    deadline_scale: float = 1.0  # factor for the deadlines of all classes
    max_descriptors: int = 1024
    memory_limit_mb: int = 192
    lists_indented: bool = False  # the lists' JSON is indented
    list_chunk_bytes: int = 0  # lists are sent in HTTP chunks of this size; 0: with Content-Length


class Fleet:
    """Runs a fleet from start() to stop(); all observations are in records."""

    def __init__(self, plan: FleetPlan, seed: int) -> None:
        self.plan, self.rng, self.records = plan, random.Random(seed), Records()
        self.scheduler_names = [f"n{number}" for number in range(plan.scheduler_count)]
        self.discovery = DiscoveryStandIn(self.records, self.scheduler_names)
        self.discovery.lists_indented = plan.lists_indented
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
            f"w{number}": WorkerStandIn(f"w{number}", self.records, run_s, self.rng)
            for number in range(plan.worker_count)
        }
        #: By scheduler and worker.
        self.links: dict[tuple[str, str], FaultProxy] = {}
        self.clients = {
            name: ClientStandIn(name, self.records, self.classes, self.rng) for name in self.scheduler_names
        }
        self.programs: dict[str, Program] = {}
        self.logs: dict[str, str] = dict.fromkeys(self.scheduler_names, "")
        #: By scheduler: the list as it was when its previous process ended.
        self.persisted_lists: dict[str, Any] = {}
        #: Schedulers that did not start, ended by themselves or ended with an error status.
        self.unexpected_exits: list[str] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.longest_stall_s = 0.0  # of this process's event loop
        self.peak_memory_mb: dict[str, float] = {}  # by scheduler

    @property
    def rules(self) -> RuleSet:
        """The limits for the oracle, extended by the longest stall of the stand-ins' event loop."""
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
        return RuleSet(
            self.plan.drain_grace_s,
            IDEMPOTENCY_BY_CLASS,
            {"setpoint-push": DEDUPLICATION_WINDOW_S},
            slow_start,
            lag_s,
        )

    async def _measure_stalls(self) -> None:
        """Records the longest stall of this process's event loop until it is cancelled."""
        while True:
            began_s = time.monotonic()
            await asyncio.sleep(STALL_CHECK_S)
            self.longest_stall_s = max(self.longest_stall_s, time.monotonic() - began_s - STALL_CHECK_S)

    async def _measure_memory(self) -> None:
        """Records the peak memory of each scheduler until it is cancelled."""
        while True:
            for name, program in list(self.programs.items()):
                used_mb = resident_mb(program.process.pid)
                self.peak_memory_mb[name] = max(self.peak_memory_mb.get(name, 0.0), used_mb)
            await asyncio.sleep(MEMORY_CHECK_S)

    def memory_failures(self) -> list[str]:
        """Returns a description of each scheduler that has passed its memory limit."""
        limit_mb = self.plan.memory_limit_mb
        return [
            f"{name} used {used_mb:.1f} MB, its limit is {limit_mb} MB"
            for name, used_mb in self.peak_memory_mb.items()
            if used_mb > limit_mb
        ]

    async def start(self) -> None:
        """Starts the stand-ins and links, then all schedulers at the same time, then the clients."""
        self.tasks.append(asyncio.ensure_future(self._measure_stalls()))
        self.tasks.append(asyncio.ensure_future(self._measure_memory()))
        await self.discovery.listen()
        for member in placeholder_members(self.plan.placeholder_workers, "leaving", self.discovery.revision):
            self.discovery.members[member.id] = member
        for worker in self.workers.values():
            await worker.listen()
            self.discovery.members[worker.name] = Member(worker.name)
            for name in self.scheduler_names:
                link = FaultProxy(worker.port, self._make_observer(name, worker.name))
                self.links[name, worker.name] = link
                self.discovery.members[worker.name].ports[name] = await link.listen()
        await asyncio.gather(*(self.start_scheduler(name) for name in self.scheduler_names))
        for client in self.clients.values():
            client.rate_per_s = self.plan.rate_per_s
            self.tasks.append(asyncio.ensure_future(client.run()))

    def _make_observer(self, scheduler: str, worker: str):
        """Returns the observe function of a link, which records requests and ends of connections."""
        splitters: dict[int, RequestSplitter] = {}

        def observe(connection: int, data: bytes) -> None:
            now_s = time.monotonic()
            if not data:
                splitters.pop(connection, None)
                self.records.connection_ends.append(ConnectionEnd(scheduler, worker, connection, now_s))
                return
            for head, began_s in splitters.setdefault(connection, RequestSplitter()).feed(data, now_s):
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
                        began_s,
                        now_s,
                        connection,
                    )
                )

        return observe

    def config(self, name: str) -> dict[str, Any]:
        """Returns the content of a scheduler's configuration file."""
        defaults, grace_ms = daemon_settings(), self.plan.drain_grace_s * 1000.0
        return {
            "name": name,
            "listen": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{self.discovery.links[name].port}",
            "seed": f"{self.scheduler_names.index(name) + 16:x}",
            "known": self.persisted_lists.get(name, EMPTY_LIST),
            "limits": {"sockets": self.plan.max_descriptors, "memory_mb": self.plan.memory_limit_mb},
            "settings": daemon_settings(
                [
                    {
                        "name": service_class,
                        "aim_ms": each["deadline_ms"] / 3.0,
                        "deadline_ms": each["deadline_ms"],
                        "idempotency": IDEMPOTENCY_BY_CLASS[service_class],
                        **(KEYED_SETTINGS if IDEMPOTENCY_BY_CLASS[service_class] == "keyed" else {}),
                    }
                    for service_class, each in self.classes.items()
                ],
                balancers=len(self.scheduler_names),
                position=self.scheduler_names.index(name),
                discovery="push" if self.plan.uses_push else "subscribe",
                permissions={**defaults["permissions"], "probes": True},
                rules={**defaults["rules"], **SLOW_START, "stop_sending_within_ms": grace_ms},
            ),
        }

    async def start_scheduler(self, name: str) -> None:
        """Starts or restarts a scheduler and directs clients and call-backs to its port."""
        began_s = time.monotonic()
        # The name makes the seed of the system call shim different for each scheduler.
        command = tuple(each.replace("SCHEDULER", name) for each in self.plan.command)
        program = await asyncio.to_thread(
            Program, self.config(name), "", command=command, environment=self.plan.environment
        )
        self.programs[name] = program
        if not await asyncio.to_thread(program.serving):
            self.unexpected_exits.append(f"{name} did not start: {program.stderr_text()}")
            return
        self.records.scheduler_starts.append((name, began_s))
        port = program.addresses["clients"][1]
        self.clients[name].port = port
        self.clients[name].close_idle_connections()
        for worker in self.workers.values():
            worker.callback_ports[name] = port
        for outage in self.records.process_outages:
            if outage.scheduler == name and outage.end_s == float("inf"):
                outage.end_s = time.monotonic()

    async def restart_scheduler(
        self,
        name: str,
        with_sigkill: bool,
        down_s: float = 0.0,
        signals: tuple[signal.Signals, ...] = (signal.SIGTERM,),
    ) -> None:
        """Stops a scheduler and starts it again down_s later.

        with_sigkill: kill it at once. Otherwise send the signals, of which the first should be SIGTERM, and
            SIGKILL at the earliest time that the platform allows.

        The persisted list of the new process is the endpoint list at the end of the previous process.
        """
        program = self.programs[name]
        began_s = time.monotonic()
        outage = Outage(name, began_s if with_sigkill else began_s + KILL_MARGIN_S)
        self.records.process_outages.append(outage)
        if not with_sigkill:
            for number in signals:
                program.process.send_signal(number)
                await asyncio.sleep(SIGNAL_GAP_S)
            end_s = began_s + self.kill_after_s
            while program.process.poll() is None and time.monotonic() < end_s:
                await asyncio.sleep(0.02)
            if program.process.poll() not in (None, 0):
                self.unexpected_exits.append(f"{name} ended with {program.process.poll()}")
        if program.process.poll() is None:
            program.process.kill()
        await asyncio.to_thread(program.process.wait)
        self._collect_log(name)
        self.persisted_lists[name] = json.loads(self.discovery.encode_list(name, None))
        await asyncio.sleep(down_s)
        await self.start_scheduler(name)

    async def pause_scheduler(self, name: str, duration_s: float) -> None:
        """Suspends a scheduler with SIGSTOP and resumes it with SIGCONT after duration_s."""
        process = self.programs[name].process
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        process.send_signal(signal.SIGCONT)

    async def reload(self, name: str) -> None:
        """Changes the discovery address in a scheduler's configuration and reloads it with SIGHUP."""
        link = FaultProxy(self.discovery.links[name].target_port)
        await link.listen()
        link.set_state(self.discovery.links[name].state)
        self.discovery.links[name] = link
        program = self.programs[name]
        program.write(self.config(name))
        program.process.send_signal(signal.SIGHUP)

    def _collect_log(self, name: str) -> None:
        """Keeps the log of a scheduler process that has ended, and removes its files."""
        program = self.programs.pop(name)
        self.logs[name] += program.stderr_text()
        program.close()

    async def stop(self) -> None:
        """Waits up to 12 s for open requests, then kills all scheduler processes."""
        for client in self.clients.values():
            client.is_sending = False
        pending = [task for client in self.clients.values() for task in client.tasks]
        if pending:
            await asyncio.wait(pending, timeout=12.0)
        for name, program in list(self.programs.items()):
            if program.process.poll() is not None:
                self.unexpected_exits.append(f"{name} ended with {program.process.poll()}")
            else:
                program.process.kill()
                await asyncio.to_thread(program.process.wait)
            self._collect_log(name)
        for client in self.clients.values():
            client.close()
        for task in self.tasks:
            task.cancel()
