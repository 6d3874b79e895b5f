"""A fleet of real processes on this machine with faults between them: schedulers, job workers, discovery.

    with ProcessFleet(schedulers=5, zones=("a", "b", "c"), seed=1) as fleet:
        fleet.generate_load(True)
        fleet.kill_zone("a")
        fleet.wait_until(lambda: fleet.states("a") == {"left"})

The first schedulers are also the members of the store. Every link between two processes leads through a
relay that can lose bytes in either direction or in both, refuse or reset connections, delay bytes or limit
their rate. The fleet starts all of its processes, and ends them in close(). check.py reads what they
recorded. Waits are for a condition and end after DEFAULT_WAIT_S at the latest, unless the caller says
otherwise.
"""

from __future__ import annotations

import json
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from measure.daemons import ROOT, Program
from measure.fleet import check
from spanwing.cli import client

DEFAULT_WAIT_S = 30.0
HOST = "127.0.0.1"
CLASSES = {
    "status-read": {"share": 0.6, "deadline_ms": 4000.0, "run_ms": 120.0},
    "schedule-apply": {"share": 0.25, "deadline_ms": 6000.0, "run_ms": 200.0},
    "setpoint-push": {"share": 0.15, "deadline_ms": 4000.0, "run_ms": 160.0},
}
SLOW_START_MS, OVERLOAD_WINDOW_MS = 2000.0, 1000.0  # with these a worker in slow start has two feeders
SLOTS_PER_WORKER = 4
START_TIMEOUT_S = 60.0
PERMIT_MS = 4000.0  # how long a scheduler may accept jobs by its policy without contact to the store


class Part:
    """One of the processes of parts.py.

    `ready` is the line that it prints once it runs: its ports.
    """

    def __init__(self, kind: str, config: dict[str, Any]) -> None:
        command, self.lock = [sys.executable, "-m", "measure.fleet.parts", kind], threading.Lock()
        self.process = subprocess.Popen(
            command, cwd=ROOT, text=True, stdin=subprocess.PIPE, stdout=subprocess.PIPE
        )
        self.send_order(config)
        self.ready = json.loads(self.process.stdout.readline())

    def send_order(self, order: dict[str, Any]) -> None:
        """Writes one order to the process; threads may call this at the same time."""
        with self.lock:
            self.process.stdin.write(json.dumps(order) + "\n")
            self.process.stdin.flush()

    def close(self) -> None:
        """Kills the process and closes its pipes."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.process.stdin.close()
        self.process.stdout.close()


class ProcessFleet:
    """A running fleet, from its construction to close()."""

    def __init__(
        self,
        schedulers: int = 5,
        zones: Iterable[str] = ("a", "b", "c"),
        per_zone: int = 2,
        members: int = 3,
        seed: int = 1,
        rate: float = 12.0,
        regions: dict[str, list[str]] | None = None,
        fleet_zones: bool = True,
        standalone: bool = False,
        policy: bool = False,
        away_ms: float = PERMIT_MS,
        command: tuple[str, ...] = ("-m", "spanwing"),
        slots: int = SLOTS_PER_WORKER,
        slow_start_ms: float = SLOW_START_MS,
        balancers: int = 0,
    ) -> None:
        """Starts all processes and waits until every scheduler serves clients.

        per_zone: workers in each zone. members: how many schedulers are members of the store. rate: jobs a
        second for one scheduler; each scheduler's own rate is 0.3, 1 or 2 times this, drawn from the seed.
        regions: zones by region. fleet_zones: the schedulers have a [zones] table. standalone: each scheduler
        decides on zones by its own evidence. policy: the schedulers have a [policy] table. away_ms: its
        setting of that name. command: the arguments of Python that start a scheduler; FOLDER stands for the
        fleet's folder. slots: of each worker. balancers: the number of schedulers in the settings, if it
        differs from the real one.
        """
        self.random, self.zones, self.seed = random.Random(seed), tuple(zones), seed
        self.folder = tempfile.TemporaryDirectory()
        self.path = Path(self.folder.name)
        self.schedulers = [f"s{number}" for number in range(schedulers)]
        self.members = self.schedulers[:members]
        self.away_ms = away_ms
        self.balancers, self.standalone, self.policy = balancers or schedulers, standalone, policy
        run_ms = {cls: each["run_ms"] for cls, each in CLASSES.items()}
        self.warm_up_limits = check.WarmUpLimits(0.3, slow_start_ms, 3.0, OVERLOAD_WINDOW_MS, slots, run_ms)
        self.regions, self.fleet_zones, self.command = regions or {}, fleet_zones, command
        if policy and command == ("-m", "spanwing"):
            self.command = "-m", "measure.fleet.watched", "FOLDER"
        self.zone_by_scheduler = {
            name: self.zones[number % len(self.zones)] for number, name in enumerate(self.schedulers)
        }
        self.workers = {f"w{zone}{number}": zone for zone in self.zones for number in range(per_zone)}
        self.started_ms = dict.fromkeys(self.workers, 0.0)
        self.slow_starts_ms: dict[str, list[float]] = {}  # by worker, when each of its slow starts began
        self.programs: dict[str, Program] = {}
        self.parts: dict[str, Part] = {}
        self.stopped: set[str] = set()
        self.starting: set[str] = set()  # schedulers that do not serve clients yet
        # Processes that were stopped or killed, or whose links had a fault: they may have missed a message.
        self.disturbed: set[str] = set()
        self.start_counts: dict[str, int] = dict.fromkeys(self.schedulers, 0)
        # The relays open their ports first. A link gets its target once the process there listens; until then
        # it leads to port 9, where nothing does.
        links = {
            **{
                f"{scheduler}>{target}": 9
                for scheduler in self.schedulers
                for target in (*self.workers, *self.members, "discovery")
            },
            **{f"{worker}>{scheduler}": 9 for worker in self.workers for scheduler in self.schedulers},
        }
        self.relay = Part("relay", {"links": links, "log": str(self.path / "relay.log")})
        self.ports: dict[str, int] = self.relay.ready["ports"]
        try:
            self._start(rate)
        except BaseException:
            self.close()
            raise

    def _start(self, rate: float) -> None:
        """Starts all processes but the relay; the schedulers start at the same time."""
        for name in self.workers:
            self.start_worker(name)
        part = Part("discovery", {"schedulers": self.schedulers})
        self.parts["discovery"] = part
        self.set_link_targets(
            {f"{scheduler}>discovery": port for scheduler, port in part.ready["ports"].items()}
        )
        self.list_workers(self.workers)
        for name in self.schedulers:
            self.start(name, wait=False)
        for name in self.schedulers:
            self.wait_until_serving(name)
        rates = {name: rate * self.random.choice((0.3, 1.0, 1.0, 2.0)) for name in self.schedulers}
        self.parts["clients"] = Part(
            "clients",
            {
                "log": str(self.path / "clients.log"),
                "seed": self.seed,
                "rates": rates,
                "classes": CLASSES,
                "ports": {name: self.programs[name].addresses["clients"][1] for name in self.schedulers},
            },
        )

    # -- processes

    def start_worker(self, name: str, slow_start: bool = False) -> None:
        """Starts a job worker and leads the links to it; slow_start: it says that it has just started."""
        config = {
            "name": name,
            "slots": self.warm_up_limits.slots,
            "run_ms": self.warm_up_limits.run_ms,
            "log": str(self.path / f"{name}.log"),
            "seed": self.seed,
            "back": {scheduler: self.ports[f"{name}>{scheduler}"] for scheduler in self.schedulers},
        }
        self.parts[name] = part = Part("worker", config)
        self.started_ms[name] = time.time() * 1000.0 if slow_start else 0.0
        if slow_start:
            self.slow_starts_ms.setdefault(name, []).append(self.started_ms[name])
        self.set_link_targets({f"{scheduler}>{name}": part.ready["port"] for scheduler in self.schedulers})

    def list_workers(self, names: Iterable[str], phase: str = "active") -> None:
        """Publishes workers by discovery, each with the start time of its present process."""
        self.parts["discovery"].send_order(
            {
                "members": {
                    name: {
                        "id": name,
                        "locality": self.workers[name],
                        "flavor": "big",
                        "cell": 0,
                        "phase": phase,
                        "size": float(self.warm_up_limits.slots),
                        "up_since_ms": self.started_ms[name],
                        "ports": {
                            scheduler: self.ports[f"{scheduler}>{name}"] for scheduler in self.schedulers
                        },
                    }
                    for name in names
                }
            }
        )

    def start(self, name: str, wait: bool = True, disk: bool = True) -> None:
        """Starts a scheduler, or restarts it.

        wait: until it serves clients. disk: with the store's files of its earlier process.
        """
        number = self.schedulers.index(name)
        store = self.path / f"store-{name}-{self.start_counts[name] if not disk else 0}"
        settings = {
            "areas": list(self.zones),
            "balancers": self.balancers,
            "position": number,
            "zone": self.zone_by_scheduler[name],
            "kinds": ["big"],
            "tick_ms": 4.0,
            "discovery": "subscribe",
            "classes": [
                {"name": "status-read", "aim_ms": 300.0, "deadline_ms": 4000.0, "idempotency": "safe"},
                {"name": "schedule-apply", "aim_ms": 600.0, "deadline_ms": 6000.0, "idempotency": "unsafe"},
                {
                    "name": "setpoint-push",
                    "aim_ms": 400.0,
                    "deadline_ms": 4000.0,
                    "idempotency": "keyed",
                    "group": "zone",
                    "window_ms": 12000.0,
                },
            ],
            "permissions": {
                "max_attempts": 3,
                "cancel": True,
                "probes": True,
                "conn_idle_ms": 15000.0,
                "connect_timeout_ms": 250.0,
            },
            "rules": {
                "grace_to_answer_ms": 16.0,
                "stop_sending_within_ms": 2000.0,
                "cold_from": 0.3,
                "cold_ms": self.warm_up_limits.slow_start_ms,
                "fall_multiple": 3.0,
                "fall_ms": OVERLOAD_WINDOW_MS,
            },
        }
        config = {
            "name": name,
            "listen": f"{HOST}:0",
            "discovery": f"{HOST}:{self.ports[f'{name}>discovery']}",
            "seed": f"{number + 16:x}",
            "settings": settings,
            "known": {"revision": 0, "complete": True, "members": []},
            "limits": {"sockets": 1024, "memory_mb": 192},
        }
        fronts = f'[admin]\nsocket = "{self.path}/{name}.sock"\n[log]\nform = "json"\nper_second = 200.0\n'
        members = ", ".join(f'{each} = "{HOST}:{self.ports[f"{name}>{each}"]}"' for each in self.members)
        if name in self.members:
            peers = ", ".join(
                f'{each} = "{HOST}:{self.ports[f"{name}>{each}"]}"' for each in self.members if each != name
            )
            fronts += f'[store]\nmember = "{name}"\ndirectory = "{store}"\nlisten = "{HOST}:0"\n'
            fronts += f"peers = {{ {peers} }}\n" if peers else ""
        if self.fleet_zones and self.standalone:
            fronts += "[zones]\nalone = true\n"
        elif self.fleet_zones:
            fronts += f"[zones]\nmembers = {{ {members} }}\nlease_ms = 2000.0\n"
            regions = ", ".join(f"{region} = {json.dumps(names)}" for region, names in self.regions.items())
            fronts += f"regions = {{ {regions} }}\n" if regions else ""
        if self.policy:
            fronts += f'[policy]\ndirectory = "{self.path}/policy-{name}"\naway_ms = {self.away_ms}\n'
        self.start_counts[name] += 1
        self.starting.add(name)
        self.programs[name] = program = Program(
            config, fronts, command=tuple(each.replace("FOLDER", str(self.path)) for each in self.command)
        )
        if name in self.members:  # a member listens for its peers first; the start waits for a majority
            for line in program.process.stdout:
                if line.startswith("spanwing: store on "):
                    port = int(line.rpartition(":")[2])
                    program.addresses["store"] = HOST, port
                    self.set_link_targets({f"{scheduler}>{name}": port for scheduler in self.schedulers})
                    break
        if wait:
            self.wait_until_serving(name)

    def wait_until_serving(self, name: str) -> None:
        """Waits until a scheduler serves clients, and leads the call-backs and the clients to it.

        Raises RuntimeError if it ends first, or is killed because it does not serve within START_TIMEOUT_S.
        """
        program = self.programs[name]
        # Without a timeout it would wait for a majority of the store for ever.
        timeout = threading.Timer(START_TIMEOUT_S, program.process.kill)
        timeout.start()
        is_serving = program.serving()
        timeout.cancel()
        if not is_serving:
            raise RuntimeError(f"{name} did not start: {program.stderr_text()}")
        self.starting.discard(name)
        self.set_link_targets(
            {f"{worker}>{name}": program.addresses["clients"][1] for worker in self.workers}
        )
        if "clients" in self.parts:
            self.parts["clients"].send_order({"ports": {name: program.addresses["clients"][1]}})

    def process(self, name: str) -> subprocess.Popen:
        """Returns the process of a scheduler, a worker, discovery or the clients."""
        return (self.programs.get(name) or self.parts[name]).process

    def kill(self, *names: str) -> None:
        """Kills processes by SIGKILL and keeps the logs of schedulers."""
        self.disturbed.update(names)
        for name in names:
            self.process(name).kill()
            self.process(name).wait()
            self._keep_log(name)

    def _keep_log(self, name: str) -> None:
        """Appends a scheduler's log to NAME.events in the fleet's folder, and forgets its process."""
        if name in self.programs:
            program = self.programs.pop(name)
            with open(self.path / f"{name}.events", "a") as file:
                file.write(program.stderr_text())
            program.close()

    def stop(self, *names: str) -> None:
        """Stops processes by SIGSTOP: they receive nothing while their clocks run on."""
        self.disturbed.update(names)
        for name in names:
            self.process(name).send_signal(signal.SIGSTOP)
            self.stopped.add(name)

    def resume(self, *names: str) -> None:
        """Continues stopped processes by SIGCONT."""
        for name in names:
            self.process(name).send_signal(signal.SIGCONT)
            self.stopped.discard(name)

    def close(self) -> None:
        """Ends all processes and removes the fleet's folder."""
        for name in list(self.stopped):
            self.resume(name)
        for each in list(self.programs):
            self.programs[each].process.kill()
            self.programs[each].process.wait()
            self._keep_log(each)
        for part in (*self.parts.values(), self.relay):
            part.close()
        self.folder.cleanup()

    def __enter__(self) -> ProcessFleet:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    # -- links

    def set_link_targets(self, targets: dict[str, int]) -> None:
        """Sets the ports to which links lead."""
        self.relay.send_order({"names": [], "targets": targets})

    def links_between(self, side: Iterable[str], other_side: Iterable[str]) -> list[str]:
        """Returns the links, in both directions, between any process of one side and any of the other."""
        side, other_side = set(side), set(other_side)
        found = []
        for name in self.ports:
            source, _, target = name.partition(">")
            if (source in side and target in other_side) or (source in other_side and target in side):
                found.append(name)
        return found

    def set_link_state(self, names: Iterable[str], **state: Any) -> None:
        """Sets the state of links; what is not given returns to normal.

        there, back: whether bytes pass in this direction. refused: connections are closed at once. slow_s:
        delay. rate: limit in bytes a second. reset: aborts the open connections.
        """
        names = list(names)
        self.disturbed.update(end for name in names for end in name.split(">"))
        self.relay.send_order({"names": names, **state})

    # -- zones

    def workers_in_zone(self, zone: str) -> list[str]:
        """Returns the names of a zone's workers."""
        return [name for name, worker_zone in self.workers.items() if worker_zone == zone]

    def kill_zone(self, zone: str) -> None:
        """Kills all workers of a zone."""
        self.kill(*self.workers_in_zone(zone))

    def start_zone(self, zone: str) -> None:
        """Restarts all workers of a zone, in slow start, and publishes them by discovery."""
        for name in self.workers_in_zone(zone):
            self.parts[name].close()
            self.start_worker(name, slow_start=True)
        self.list_workers(self.workers_in_zone(zone))

    def set_worker_mode(self, zone: str, mode: str) -> None:
        """Sets all workers of a zone to a mode: up, failing (answers 500) or full (rejects every job)."""
        for name in self.workers_in_zone(zone):
            self.parts[name].send_order({"how": mode})

    # -- state of the schedulers

    def send_command(self, name: str, **fields: Any) -> dict[str, Any]:
        """Sends a command to a scheduler's admin socket and returns the reply."""
        return client.send_command(f"{self.path}/{name}.sock", **fields)

    def reachable_schedulers(self) -> list[str]:
        """Returns the schedulers that serve and are not stopped."""
        return [
            name
            for name in self.schedulers
            if name in self.programs and name not in self.stopped | self.starting
        ]

    def zone_status(self, name: str) -> dict[str, Any]:
        """Returns a scheduler's reply to the admin command `zones`."""
        return self.send_command(name, do="zones")

    def states(self, zone: str, names: Iterable[str] | None = None) -> set[str]:
        """Returns the states of a zone that these schedulers know; default: all reachable ones."""
        return {
            self.zone_status(name)["zones"].get(zone, {}).get("state", "open")
            for name in (names or self.reachable_schedulers())
        }

    def all_in_contact(self, names: Iterable[str] | None = None) -> bool:
        """Returns whether these schedulers hold a lease; default: all reachable ones."""
        return all(self.zone_status(name)["contact"] for name in (names or self.reachable_schedulers()))

    def wait_until(self, condition: Callable[[], bool], wait_s: float = DEFAULT_WAIT_S) -> None:
        """Waits until a condition holds.

        Raises AssertionError with the zones of every scheduler and the history if it does not hold in time.
        """
        end = time.monotonic() + wait_s
        while not condition():
            if time.monotonic() > end:
                lines = []
                for name in self.reachable_schedulers():
                    status = self.zone_status(name)
                    zones = ", ".join(
                        f"{zone} {each['state']} {each['step']} +{each['seen_good']}-{each['seen_bad']}"
                        for zone, each in status["zones"].items()
                    )
                    lines.append(
                        f"{name}: {status['why'] or status['contact']}; {status['revision']}; {zones}"
                    )
                history = [
                    f"{each['number']} {each['zone']} {each['state']} {each['step']} {each['reason']}"
                    for each in self.history()
                ]
                raise AssertionError("\n".join(["the condition did not hold in time", *lines, *history]))
            time.sleep(0.1)

    def history(self, name: str | None = None) -> list[dict[str, Any]]:
        """Returns the changes of zones that a scheduler knows, oldest first; default: any reachable one."""
        return self.send_command(name or self.reachable_schedulers()[0], do="zones_history")["history"]

    def state_change_time(self, zone: str, state: str, wait_s: float) -> float | None:
        """Waits until a zone has come to a state; returns when, in s of the wall clock.

        Returns None if that does not happen within wait_s.
        """
        end = time.monotonic() + wait_s
        while time.monotonic() < end:
            for name in self.reachable_schedulers():
                for change in self.history(name):
                    if change["zone"] == zone and change["state"] == state:
                        return change["wall_ms"] / 1000.0
            time.sleep(0.1)
        return None

    # -- load and records

    def generate_load(self, on: bool) -> None:
        """Starts or stops the arrivals of new jobs."""
        self.parts["clients"].send_order({"on": on})

    def settle(self) -> None:
        """Stops the load and waits until no job waits for its answer."""
        self.parts["clients"].send_order({"on": False, "settle": True})
        self.parts["clients"].process.stdout.readline()

    def rule_violations(self, disturbed: Iterable[str] = ()) -> list[str]:
        """Returns a line for each violation of a rule so far.

        disturbed: schedulers that were killed or stopped; the answers to their jobs are not checked.
        """
        records = self.records()
        return [
            *check.invalid_answers(records, frozenset(disturbed)),
            *check.repeated_runs(records),
            *check.concurrent_assignments(records, self.disturbed),
            *check.version_regressions(records),
            *check.exceeded_budgets(records, self.slow_starts_ms, self.warm_up_limits),
        ]

    def max_budget_usage(self) -> float:
        """Returns the largest share of its budget that came to a worker in slow start within one window."""
        return max(
            (
                each.work_ms / each.budget_ms
                for each in check.budget_windows(self.records(), self.slow_starts_ms, self.warm_up_limits)
            ),
            default=0.0,
        )

    def records(self) -> list[dict[str, Any]]:
        """Returns the records of all processes in order of time."""
        found = []
        for file in self.path.glob("*.log"):
            for line in file.read_text().splitlines():
                try:
                    found.append(json.loads(line))
                except ValueError:
                    continue  # a killed process may leave an incomplete last line
        return sorted(found, key=lambda record: record["t"])
