"""Many real processes on this machine with faults between them: schedulers, store members, job workers,
discovery.

    with Ground(schedulers=5, zones=("a", "b", "c"), seed=1) as ground:
        ground.load(True)
        ground.kill_zone("a")
        ground.until(lambda: ground.states("a") == {"left"})

Every link between two processes leads through a relay that can be cut, cut one way, silent, slow, limited or
reset. Each process is one of ours, started here, and ends with close(). What happened is read back by
check.py. Waits are for events, with PATIENCE_S as the end of them.
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

PATIENCE_S = 30.0
HOST = "127.0.0.1"
CLASSES = {
    "status-read": {"share": 0.6, "deadline_ms": 4000.0, "run_ms": 120.0},
    "schedule-apply": {"share": 0.25, "deadline_ms": 6000.0, "run_ms": 200.0},
    "setpoint-push": {"share": 0.15, "deadline_ms": 4000.0, "run_ms": 160.0},
}
COLD_MS, FALL_MS = 2000.0, 1000.0  # with which two feed a cold worker
SLOTS = 4
START_S = 60.0
AWAY_MS = 4000.0  # a permit of the fleet's policy


class Part:
    """One of the processes of parts.py."""

    def __init__(self, kind: str, start: dict[str, Any]) -> None:
        command, self.lock = [sys.executable, "-m", "measure.fleet.parts", kind], threading.Lock()
        self.process = subprocess.Popen(
            command, cwd=ROOT, text=True, stdin=subprocess.PIPE, stdout=subprocess.PIPE
        )
        self.do(start)
        self.begun = json.loads(self.process.stdout.readline())

    def do(self, order: dict[str, Any]) -> None:
        with self.lock:
            self.process.stdin.write(json.dumps(order) + "\n")
            self.process.stdin.flush()

    def close(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.process.stdin.close()
        self.process.stdout.close()


class Ground:
    """A fleet, from its start to close()."""

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
        solo: bool = False,
        policy: bool = False,
        away_ms: float = AWAY_MS,
        command: tuple[str, ...] = ("-m", "spanwing"),
        slots: int = SLOTS,
        cold_ms: float = COLD_MS,
        balancers: int = 0,
    ) -> None:
        """command: what starts a scheduler; balancers: how many the settings name, where there are more;
        solo: each follows the zones by what it sees itself; policy: the fleet has one."""
        self.random, self.zones, self.seed = random.Random(seed), tuple(zones), seed
        self.folder = tempfile.TemporaryDirectory()
        self.path = Path(self.folder.name)
        self.schedulers = [f"s{number}" for number in range(schedulers)]
        self.members = self.schedulers[:members]
        self.away_ms = away_ms
        self.balancers, self.solo, self.policy = balancers or schedulers, solo, policy
        run_ms = {cls: each["run_ms"] for cls, each in CLASSES.items()}
        self.bears = check.Cold(0.3, cold_ms, 3.0, FALL_MS, slots, run_ms)
        self.regions, self.with_zones, self.command = regions or {}, fleet_zones, command
        if policy and command == ("-m", "spanwing"):
            self.command = "-m", "measure.fleet.watched", "FOLDER"
        self.zone = {
            name: self.zones[number % len(self.zones)] for number, name in enumerate(self.schedulers)
        }
        self.workers = {f"w{zone}{number}": zone for zone in self.zones for number in range(per_zone)}
        self.started = dict.fromkeys(self.workers, 0.0)
        self.cold: dict[str, list[float]] = {}  # when each cold life of a worker began
        self.programs: dict[str, Program] = {}
        self.parts: dict[str, Part] = {}
        self.stopped: set[str] = set()
        self.starting: set[str] = set()  # that do not take clients yet
        self.touched: set[str] = set()  # workers that may not have heard what they were told
        self.lives: dict[str, int] = dict.fromkeys(self.schedulers, 0)
        # Ports are taken by the relays first; what each leads to is told once it is there.
        links = {
            **{
                f"{one}>{other}": 9
                for one in self.schedulers
                for other in (*self.workers, *self.members, "discovery")
            },
            **{f"{worker}>{one}": 9 for worker in self.workers for one in self.schedulers},
        }
        self.relay = Part("relay", {"links": links, "log": str(self.path / "relay.log")})
        self.ports: dict[str, int] = self.relay.begun["ports"]
        try:
            self._start(rate)
        except BaseException:
            self.close()
            raise

    def _start(self, rate: float) -> None:
        for name in self.workers:
            self.start_worker(name)
        found = Part("discovery", {"schedulers": self.schedulers})
        self.parts["discovery"] = found
        self.lead({f"{one}>discovery": port for one, port in found.begun["ports"].items()})
        self.list_workers(self.workers)
        for name in self.schedulers:
            self.start(name, wait=False)
        for name in self.schedulers:
            self.serving(name)
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

    def start_worker(self, name: str, cold: bool = False) -> None:
        start = {
            "name": name,
            "slots": self.bears.slots,
            "run_ms": self.bears.run_ms,
            "log": str(self.path / f"{name}.log"),
            "seed": self.seed,
            "back": {one: self.ports[f"{name}>{one}"] for one in self.schedulers},
        }
        self.parts[name] = part = Part("worker", start)
        self.started[name] = time.time() * 1000.0 if cold else 0.0
        if cold:
            self.cold.setdefault(name, []).append(self.started[name])
        self.lead({f"{one}>{name}": part.begun["port"] for one in self.schedulers})

    def list_workers(self, names: Iterable[str], phase: str = "active") -> None:
        """Have discovery tell of them."""
        self.parts["discovery"].do(
            {
                "members": {
                    name: {
                        "id": name,
                        "locality": self.workers[name],
                        "flavor": "big",
                        "cell": 0,
                        "phase": phase,
                        "size": float(self.bears.slots),
                        "up_since_ms": self.started[name],
                        "ports": {one: self.ports[f"{one}>{name}"] for one in self.schedulers},
                    }
                    for name in names
                }
            }
        )

    def start(self, name: str, wait: bool = True, disk: bool = True) -> None:
        """Start a scheduler (again); disk: with what its earlier life left there."""
        number = self.schedulers.index(name)
        store = self.path / f"store-{name}-{self.lives[name] if not disk else 0}"
        settings = {
            "areas": list(self.zones),
            "balancers": self.balancers,
            "position": number,
            "zone": self.zone[name],
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
                "cold_ms": self.bears.cold_ms,
                "fall_multiple": 3.0,
                "fall_ms": FALL_MS,
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
        if self.with_zones and self.solo:
            fronts += "[zones]\nalone = true\n"
        elif self.with_zones:
            fronts += f"[zones]\nmembers = {{ {members} }}\nlease_ms = 2000.0\n"
            regions = ", ".join(f"{region} = {json.dumps(names)}" for region, names in self.regions.items())
            fronts += f"regions = {{ {regions} }}\n" if regions else ""
        if self.policy:
            fronts += f'[policy]\ndirectory = "{self.path}/policy-{name}"\naway_ms = {self.away_ms}\n'
        self.lives[name] += 1
        self.starting.add(name)
        self.programs[name] = program = Program(
            config, fronts, command=tuple(each.replace("FOLDER", str(self.path)) for each in self.command)
        )
        if name in self.members:  # the store listens before all else, and the others wait for it
            for line in program.process.stdout:
                if line.startswith("spanwing: store on "):
                    port = int(line.rpartition(":")[2])
                    program.addresses["store"] = HOST, port
                    self.lead({f"{one}>{name}": port for one in self.schedulers})
                    break
        if wait:
            self.serving(name)

    def serving(self, name: str) -> None:
        """Wait until a scheduler takes clients."""
        program = self.programs[name]
        late = threading.Timer(START_S, program.process.kill)  # it may wait for a majority without end
        late.start()
        serves = program.serving()
        late.cancel()
        if not serves:
            raise RuntimeError(f"{name} did not start: {program.stderr_text()}")
        self.starting.discard(name)
        self.lead({f"{worker}>{name}": program.addresses["clients"][1] for worker in self.workers})
        if "clients" in self.parts:
            self.parts["clients"].do({"ports": {name: program.addresses["clients"][1]}})

    def process(self, name: str) -> subprocess.Popen:
        return (self.programs.get(name) or self.parts[name]).process

    def kill(self, *names: str) -> None:
        self.touched.update(names)
        for name in names:
            self.process(name).kill()
            self.process(name).wait()
            self._keep_log(name)

    def _keep_log(self, name: str) -> None:
        if name in self.programs:
            program = self.programs.pop(name)
            with open(self.path / f"{name}.events", "a") as file:
                file.write(program.stderr_text())
            program.close()

    def stop(self, *names: str) -> None:
        """SIGSTOP: it hears nothing, and its clock runs on."""
        self.touched.update(names)
        for name in names:
            self.process(name).send_signal(signal.SIGSTOP)
            self.stopped.add(name)

    def go_on(self, *names: str) -> None:
        for name in names:
            self.process(name).send_signal(signal.SIGCONT)
            self.stopped.discard(name)

    def close(self) -> None:
        for name in list(self.stopped):
            self.go_on(name)
        for each in list(self.programs):
            self.programs[each].process.kill()
            self.programs[each].process.wait()
            self._keep_log(each)
        for part in (*self.parts.values(), self.relay):
            part.close()
        self.folder.cleanup()

    def __enter__(self) -> Ground:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    # -- links

    def lead(self, targets: dict[str, int]) -> None:
        self.relay.do({"names": [], "targets": targets})

    def links(self, one: Iterable[str], other: Iterable[str]) -> list[str]:
        """All links between any of one side and any of the other."""
        one, other = set(one), set(other)
        found = []
        for name in self.ports:
            begin, _, end = name.partition(">")
            if (begin in one and end in other) or (begin in other and end in one):
                found.append(name)
        return found

    def set(self, names: Iterable[str], **how: Any) -> None:
        """there, back: whether bytes pass this way; refused; slow_s; rate; reset."""
        names = list(names)
        self.touched.update(end for name in names for end in name.split(">"))
        self.relay.do({"names": names, **how})

    # -- zones

    def of_zone(self, zone: str) -> list[str]:
        return [name for name, each in self.workers.items() if each == zone]

    def kill_zone(self, zone: str) -> None:
        self.kill(*self.of_zone(zone))

    def start_zone(self, zone: str) -> None:
        """Its workers are back, cold, and discovery says so."""
        for name in self.of_zone(zone):
            self.parts[name].close()
            self.start_worker(name, cold=True)
        self.list_workers(self.of_zone(zone))

    def how(self, zone: str, how: str) -> None:
        for name in self.of_zone(zone):
            self.parts[name].do({"how": how})

    # -- what is told

    def ask(self, name: str, **what: Any) -> dict[str, Any]:
        return client.send_command(f"{self.path}/{name}.sock", **what)

    def reached(self) -> list[str]:
        return [
            name
            for name in self.schedulers
            if name in self.programs and name not in self.stopped | self.starting
        ]

    def zones_of(self, name: str) -> dict[str, Any]:
        return self.ask(name, do="zones")

    def states(self, zone: str, names: Iterable[str] | None = None) -> set[str]:
        """The zone's state as each of these schedulers has it."""
        return {
            self.zones_of(name)["zones"].get(zone, {}).get("state", "open")
            for name in (names or self.reached())
        }

    def contact(self, names: Iterable[str] | None = None) -> bool:
        return all(self.zones_of(name)["contact"] for name in (names or self.reached()))

    def until(self, holds: Callable[[], bool], wait_s: float = PATIENCE_S) -> None:
        """Wait for an event. Raises AssertionError with what all schedulers have, where it does not come."""
        end = time.monotonic() + wait_s
        while not holds():
            if time.monotonic() > end:
                seen = []
                for name in self.reached():
                    told = self.zones_of(name)
                    zones = ", ".join(
                        f"{zone} {each['state']} {each['step']} +{each['seen_good']}-{each['seen_bad']}"
                        for zone, each in told["zones"].items()
                    )
                    seen.append(f"{name}: {told['why'] or told['contact']}; {told['revision']}; {zones}")
                past = [
                    f"{each['number']} {each['zone']} {each['state']} {each['step']} {each['reason']}"
                    for each in self.history()
                ]
                raise AssertionError("\n".join(["did not come", *seen, *past]))
            time.sleep(0.1)

    def history(self, name: str | None = None) -> list[dict[str, Any]]:
        return self.ask(name or self.reached()[0], do="zones_history")["history"]

    def time_of(self, zone: str, state: str, wait_s: float) -> float | None:
        """When the zone came to this state, in s of the wall clock; None: not within so long."""
        end = time.monotonic() + wait_s
        while time.monotonic() < end:
            for name in self.reached():
                for each in self.history(name):
                    if each["zone"] == zone and each["state"] == state:
                        return each["wall_ms"] / 1000.0
            time.sleep(0.1)
        return None

    # -- load

    def load(self, on: bool) -> None:
        self.parts["clients"].do({"on": on})

    def settle(self) -> None:
        """No more jobs, and every answer is there."""
        self.parts["clients"].do({"on": False, "settle": True})
        self.parts["clients"].process.stdout.readline()

    def wrong(self, gone: Iterable[str] = ()) -> list[str]:
        """Every rule that this day has broken so far; gone: schedulers that were killed."""
        records = self.records()
        return [
            *check.answers(records, frozenset(gone)),
            *check.runs(records),
            *check.at_once(records, self.touched),
            *check.versions(records),
            *check.budgets(records, self.cold, self.bears),
        ]

    def fullest(self) -> float:
        """The most work that came to a cold worker in a window, of its budget."""
        return max(
            (each.work / each.budget for each in check.windows(self.records(), self.cold, self.bears)),
            default=0.0,
        )

    def records(self) -> list[dict[str, Any]]:
        """All that clients and job workers wrote down, in the order in which it happened."""
        found = []
        for file in self.path.glob("*.log"):
            for line in file.read_text().splitlines():
                try:
                    found.append(json.loads(line))
                except ValueError:
                    continue  # the last line of a process that was killed
        return sorted(found, key=lambda each: each["t"])
