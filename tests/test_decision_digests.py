"""Digests of the actions of the decision module over seeded streams of events, against a recorded file.

A change of names or of files must leave every digest as it is; a change of any decision, or of the order of
random draws, must not pass unseen. Names of the program stand in the first block alone; streams and digests
are in words of their own. Floats are written in full, so another libm or another version of Python's random
module may need a new recording (from the same commit, before the change).

    .venv/bin/python tests/test_decision_digests.py --write     # by hand; the test never writes
"""

from __future__ import annotations

import hashlib
import json
import sys
from heapq import heappop, heappush
from pathlib import Path
from random import Random

if __name__ == "__main__":
    sys.path.insert(0, str(Path(__file__).parent.parent))

# -- names of the program: all of them, and nowhere else in this file
import msgspec

from spanwing import interface as api
from spanwing.scheduler import Scheduler
from spanwing.settings import PlatformSettings, scheduler_settings
from spanwing.zones.unreachable_work import ZoneUnreachable

EVENTS = {
    "list": api.WorkerList,
    "request": api.Request,
    "outcome": api.Outcome,
    "note": api.ProgressReport,
    "accepted": api.Accepted,
    "probed": api.ProbeResult,
    "left": api.ClientGone,
    "streamed": api.StreamStarted,
    "timer": api.TimerDue,
    "peer": api.PeerMessage,
    "stranded": ZoneUnreachable,
}
WORDS = {
    api.Send: "send",
    api.Cancel: "cancel",
    api.Reject: "refuse",
    api.Fail: "fail",
    api.SetTimer: "timer",
    api.Probe: "probe",
    api.BroadcastToPeers: "peers",
    api.Watch: "watch",
    api.Log: "log",
}


def worker_entry(*values: object) -> object:
    return api.Worker(*values)


class Node:
    """The module under test: options and events in plain words, actions as tuples of a word and values."""

    def __init__(self, options: dict, seed: int, now: float) -> None:
        self.module = Scheduler(scheduler_settings(msgspec.convert(options, PlatformSettings)), seed, now)

    def take(self, now: float, word: str, values: tuple) -> list[tuple]:
        return [(WORDS[type(each)], *each) for each in self.module.handle(now, EVENTS[word](*values))]


# -- nothing below names anything of the program

GOLDEN = Path(__file__).parent / "golden" / "decisions.json"
EVENTS_EACH, SEEDS_EACH = 400, 20
LONG = {"long": (4000, 3)}  # events and seeds of further families
FAMILIES = (
    "plain",
    "reports",
    "probes",
    "starts",
    "progress",
    "tenants",
    "keys",
    "cold",
    "kinds",
    "lists",
    "failing",
    "hanging",
    "memory",
    "large",
)
REPORTS = ([], ["rif", "q", "x0"], ["x0"], ["q", "x0"], ["rif"], ["rif", "x0", "x1"])
RESULTS = ("error", "full", "timeout", "unreachable", "reset", "cancelled", "moot", "rejected")


def drawn_options(rng: Random, family: str) -> dict:
    """The settings of one stream, as the simulator's first message gives them."""
    nodes, scale = rng.choice([1, 1, 2, 3, 6, 30]), rng.choice([20.0, 60.0, 200.0])
    if family == "cold":
        nodes = rng.choice([1, 2, 3, 4])
    if family == "large":
        nodes = rng.choice([1, 2])
    classes = []
    for effect in ("safe", "keyed", "unsafe", rng.choice(["safe", "keyed", "unsafe"])):
        aim = scale * rng.uniform(0.5, 2.0)
        classes.append(
            {
                "name": f"c{len(classes)}",
                "aim_ms": aim,
                "deadline_ms": aim * rng.uniform(2.0, 20.0),
                "worth": rng.choice([0.5, 1.0, 3.0, 8.0]),
                "late_worth": rng.choice([0.0, 0.0, 0.3]),
                "aim_stretch": rng.choice([None, 0.5, 1.5, 3.0]),
                "idempotency": effect,
                "group": rng.choice(["all", "zone", "cell", None]),
                "window_ms": rng.choice([None, aim, 20 * aim]),
                "streamed": rng.random() < 0.3,
            }
        )
    if family == "hanging" and rng.random() < 0.3:
        classes = [each for each in classes if each["idempotency"] != "safe"]
    reports = [] if family == "plain" else rng.choice(REPORTS)
    if family == "reports":
        reports = rng.choice(REPORTS[1:])
    if family == "probes":
        reports = rng.choice([REPORTS[1], REPORTS[2], REPORTS[3]])
    tenants = family == "tenants" or rng.random() < 0.2
    starts = family in ("starts", "progress") or rng.random() < 0.3
    return {
        "classes": classes,
        "balancers": nodes,
        "position": rng.randrange(nodes),
        "zone": "a",
        "areas": rng.choice([["a", "b"], ["a", "b", "c"], None]) if rng.random() < 0.8 else None,
        "kinds": ["k0", "k1"],
        "unheard_of": True,
        "orgs": [
            {"name": "x", "allowance_per_s": rng.choice([0.0, 3.0, 30.0]) * nodes},
            {"name": "y", "allowance_per_s": 20.0 * nodes},
        ]
        if tenants
        else None,
        "over_share_worth": rng.choice([0.0, 0.3]) if tenants and rng.random() < 0.8 else 1.0,
        "tick_ms": rng.choice([0.5, 1.0, 5.0]),
        "discovery": "subscribe" if family == "lists" or rng.random() < 0.2 else None,
        "weight_source": rng.choice([None, "live", "nominal", "rough"]),
        "report": {"fields": reports, "via": rng.choice(["", "", "", "off"]) if family == "plain" else ""},
        "permissions": {
            "cancel": family == "progress" or rng.random() < 0.75,
            "probes": family == "probes" or rng.random() < 0.3,
            "peer_messages": rng.random() < 0.3,
            "max_attempts": rng.choice([1, 2, 3, 4]),
            "retry_after": rng.random() < 0.5,
            "max_retry_after_ms": rng.choice([None, 50.0, 5000.0]),
        },
        "rules": {
            "grace_to_answer_ms": 16.0,
            "stop_sending_within_ms": 500.0,
            "cold_from": rng.choice([0.1, 0.3, 1.0]),
            "cold_ms": rng.choice([300.0, 3000.0]),
            "fall_multiple": rng.choice([1.0, 3.0]),
            "fall_ms": rng.choice([200.0, 1000.0]),
        },
        "specifics": {
            "class_kind": [rng.choice([-1, 0, 1]) for _ in classes] if family == "kinds" else [],
            "class_priority": [rng.randrange(4) for _ in classes],
            "class_stretch": [],
            "memory_unit": "gb" if family == "memory" or rng.random() < 0.2 else None,
            "queue_order": rng.choice(["priority", None]),
            "report_x0": "free slots",
            "report_x1": "free memory",
            "tells_start": starts,
            "progress_ms": rng.choice([30.0, 150.0]) if family == "progress" else 0.0,
        },
    }


class Machine:
    """A job worker of the stream's little world."""

    def __init__(self, rng: Random, id: int, started: float) -> None:
        self.id, self.state, self.zone, self.cell = id, "healthy", rng.choice("aabc"), rng.randrange(3)
        self.weight, self.kind, self.started = (
            rng.choice([0.5, 1.0, 4.0, 12.0]),
            rng.choice(["k0", "k1"]),
            started,
        )
        self.feeder: float | None = None
        self.slots, self.speed, self.mode = rng.choice([1, 2, 4, 8]), rng.choice([0.5, 1.0, 3.0]), "well"
        self.running = 0

    def entry(self) -> object:
        return worker_entry(
            self.id, self.state, self.zone, self.cell, self.weight, self.kind, self.started, self.feeder
        )


class Stream:
    """One node of the program in a small world drawn from one seed; all of its actions go into a digest."""

    def __init__(self, family: str, seed: int, events: int = EVENTS_EACH) -> None:
        self.rng, self.family, self.left = Random(f"{family} {seed}"), family, events
        self.options = drawn_options(self.rng, family)
        self.digest, self.now, self.count = hashlib.sha256(), self.rng.choice([0.0, 1e5]), 0
        self.agenda: list[tuple] = []
        self.machines = {n: Machine(self.rng, n, 0.0) for n in range(1, self.rng.choice([2, 5, 9, 14]))}
        for each in self.machines.values() if family == "cold" and self.now else ():
            each.started = self.rng.choice([0.0, self.now - 40.0])  # just before the node
        if family in ("large", "long"):
            self.machines = {n: Machine(self.rng, n, 0.0) for n in range(1, 70)}
        self.requests: dict[str, tuple] = {}  # the last values under each id
        self.tries: dict[str, list[list]] = {}  # of each id: worker, whether it has ended, whether it began
        self.mean = self.options["classes"][0]["aim_ms"] * self.rng.choice([0.03, 0.1, 0.4, 1.5])
        self.keyed = self.rng.choice([0.15, 0.25, 0.8]) if family == "keys" else 0.03
        self.burst = 0  # arrivals still to come close together, after a long pause
        self.accepting = self.rng.random() < 0.3
        self.bad = {"failing": 0.5, "long": 0.8, "hanging": 0.1}.get(family, 0.15)
        self.still = {"hanging": 0.5, "progress": 0.25}.get(family, 0.03)
        self.node = Node(self.options, seed, self.now)

    def run(self) -> str:
        if self.options["discovery"] is None or self.rng.random() < 0.5:
            self.list("persisted")
        self.after(self.rng.expovariate(1 / self.mean), self.arrive)
        self.after(self.rng.expovariate(1 / (20 * self.mean)), self.trouble)
        self.after(0.0, self.feed, "timer", 0)  # one that was not asked for
        while self.agenda and self.left > 0:
            when, _, act, values = heappop(self.agenda)
            self.now = max(self.now, when)
            act(*values)
        return self.digest.hexdigest()

    def after(self, wait: float, act, *values) -> None:
        self.count += 1
        heappush(self.agenda, (self.now + wait, self.count, act, values))

    def feed(self, word: str, *values) -> None:
        """Give the node an event, note its actions, and have the world answer them."""
        self.left -= 1
        actions = self.node.take(self.now, word, values)
        self.digest.update(f"{self.now!r} {actions!r}\n".encode())
        for name, *rest in actions:
            getattr(self, f"on_{name}")(*rest)

    # -- what the world does by itself

    def arrive(self) -> None:
        rng = self.rng
        if rng.random() < 0.9 and self.left > 40:
            rid = f"r{len(self.requests)}"
            cls = rng.choice(self.options["classes"])
            name = "none such" if rng.random() < 0.01 else cls["name"]
            key = rng.random() < self.keyed
            slots = rng.choice([1, 1, 1, 2, 3]) if self.family in ("memory", "reports") else 1
            memory = rng.uniform(0.0, 4.0) if self.options["specifics"]["memory_unit"] else 0.0
            self.request(
                rid,
                name,
                cls["deadline_ms"] * rng.choice([1.0, 1.0, 0.2]),
                rng.choice([None, "x", "x", "y", "unlisted"]),
                slots,
                memory,
                rng.choice([0.0, 50.0]),
                f"key {rng.randrange(6)}" if key else None,
                False,
            )
        close = 0.05 if rng.random() < 0.3 or self.burst > 0 else 1.0
        self.burst -= 1
        if self.family == "tenants" and self.burst < -20 and rng.random() < 0.2:
            self.burst = 80
            self.after(rng.uniform(1000.0, 6000.0), self.arrive)  # unused shares add up meanwhile
        else:
            self.after(rng.expovariate(1 / (self.mean * close)), self.arrive)

    def request(self, rid: str, name: str, wait: float, *rest) -> None:
        self.requests[rid], self.tries[rid] = (name, wait, *rest), []
        if self.rng.random() < 0.04:
            self.after(wait * self.rng.random(), self.feed, "left", rid)
        self.feed("request", rid, name, self.now + wait, *rest)

    def trouble(self) -> None:
        """A change of workers, of the list, or a word that fits nothing."""
        rng = self.rng
        machine = rng.choice(list(self.machines.values()))
        roll = rng.random()
        if roll < 0.15:
            machine.state = rng.choice(["healthy", "healthy", "draining", "gone"])
            self.list("partial", machine)
        elif roll < 0.35:
            machine.state, machine.started, machine.running = "healthy", self.now - rng.choice([0.0, 5.0]), 0
            machine.feeder = rng.choice([None, None, 0.0, 0.5, 1.0])
            self.list("partial", machine)
        elif roll < 0.45:
            machine.weight = rng.choice([0.0, 0.25, 1.0, 3.0])
            self.list("partial", machine)
        elif roll < 0.6:
            machine.mode = rng.choice(["well", "well", "failing", "full", "silent"])
        elif roll < 0.7:
            new = max(self.machines) + 1
            self.machines[new] = Machine(rng, new, rng.choice([0.0, max(0.0, self.now)]))
            self.list("partial", self.machines[new])
        elif roll < 0.8:
            self.list(rng.choice(["complete", "persisted"]))
        elif roll < 0.85:
            self.feed("list", "error")
        elif roll < 0.88:
            self.feed("stranded", rng.choice("abc"))
        else:
            self.unfitting(rng.randrange(8))
        self.after(rng.expovariate(1 / (20 * self.mean)), self.trouble)

    def unfitting(self, which: int) -> None:
        """Events that name nothing known, come twice, or mean nothing to the module."""
        known = self.rng.choice(list(self.requests) or ["r0"])
        self.feed(
            *(
                ("outcome", "unknown", 0, 1, "ok", True, 5.0, None),
                ("outcome", known, 0, 1, "error", False, 5.0, None),
                ("note", "unknown", 0, 1, True),
                ("accepted", "unknown", 0, 1),
                ("probed", 9999, "ok", 1.0, (1.0,)),
                ("left", "unknown"),
                ("peer", 1, "a word"),
                ("streamed", known, 0, 1),
            )[which]
        )

    def list(self, scope: str, *some: Machine) -> None:
        whole = [each for each in self.machines.values() if each.state != "gone" and self.rng.random() < 0.95]
        self.feed("list", scope, tuple(each.entry() for each in some or whole))

    def report(self, machine: Machine) -> tuple | None:
        """Its load in the order of the settings' fields, now and then nonsense or none."""
        running, fields = machine.running, self.options["report"]["fields"]
        told = {
            "rif": float(running),
            "q": float(max(0, running - machine.slots)),
            "x0": float(max(0, machine.slots - running)),
            "x1": 3.0,
        }
        if not fields or self.rng.random() < 0.2:
            return self.rng.choice([None, (2.0,)])
        if self.rng.random() < 0.05:
            return tuple(self.rng.uniform(0.0, 9.0) for _ in fields)
        return tuple(told[each] for each in fields)

    # -- what it does on the node's actions

    def on_send(self, rid: str, worker: int, timeout: float) -> None:
        rng, machine, number = self.rng, self.machines[worker], len(self.tries[rid])
        attempt = [worker, False, False]
        self.tries[rid].append(attempt)
        cls = next(
            (each for each in self.options["classes"] if each["name"] == self.requests[rid][0]),
            self.options["classes"][0],
        )
        took = cls["aim_ms"] * rng.uniform(0.1, 1.5) / machine.speed
        if machine.mode == "silent" or rng.random() < self.still / 3:
            if rng.random() < 0.7:  # else nothing is ever heard of it
                self.after(
                    rng.uniform(1.0, 4.0) * cls["deadline_ms"],
                    self.end,
                    rid,
                    number,
                    attempt,
                    "timeout",
                    None,
                )
            return
        if self.accepting:
            self.after(rng.uniform(0.5, 4.0), self.word, "accepted", rid, number, attempt)
        full = machine.running >= 2 * machine.slots or (machine.mode == "full" and rng.random() < 0.8)
        if full:
            self.after(rng.uniform(0.5, 3.0), self.end, rid, number, attempt, "full", None)
            return
        machine.running += 1
        wait = rng.uniform(0.5, 5.0) + (took if machine.running > machine.slots else 0.0)
        if self.options["specifics"]["tells_start"] and rng.random() < 0.95:
            self.after(wait, self.start, rid, number, attempt)
        if cls["streamed"] and rng.random() < 0.5:
            self.after(wait + took / 2, self.word, "streamed", rid, number, attempt)
        if rng.random() < self.still:
            return  # it goes on for ever, or is lost there
        if machine.mode == "failing" or rng.random() < self.bad:
            result = rng.choice(RESULTS)
            self.after(rng.choice([1.0, took]), self.end, rid, number, attempt, result, machine)
        else:
            self.after(wait + took, self.end, rid, number, attempt, "ok", machine)

    def word(self, word: str, rid: str, number: int, attempt: list) -> None:
        if not attempt[1]:
            self.feed(word, rid, number, attempt[0])

    def start(self, rid: str, number: int, attempt: list) -> None:
        if attempt[1]:
            return
        self.feed("note", rid, number, attempt[0], not attempt[2] or self.rng.random() < 0.05)
        attempt[2] = True
        every = self.options["specifics"]["progress_ms"]
        if every and self.rng.random() < 0.9:
            self.after(every, self.start, rid, number, attempt)

    def end(self, rid: str, number: int, attempt: list, result: str, machine: Machine | None) -> None:
        if attempt[1]:
            return
        attempt[1], rng = True, self.rng
        if machine is not None:
            machine.running = max(0, machine.running - 1)
        complete = rng.random() < (0.97 if result == "ok" else 0.05)
        elapsed = 0.0 if rng.random() < 0.1 else rng.uniform(1.0, 200.0)
        self.feed(
            "outcome",
            rid,
            number,
            attempt[0],
            result,
            complete,
            elapsed,
            self.report(self.machines[attempt[0]]),
        )

    def on_cancel(self, rid: str, number: int) -> None:
        if number < len(self.tries[rid]) and self.rng.random() < 0.85:
            attempt = self.tries[rid][number]
            result = self.rng.choice(["cancelled", "cancelled", "moot"])
            self.after(
                self.rng.uniform(0.5, 5.0), self.end, rid, number, attempt, result, self.machines[attempt[0]]
            )

    def on_refuse(self, rid: str, retry_after: float) -> None:
        if self.rng.random() < 0.15:  # the client comes again under the same id
            name, wait, *rest = self.requests[rid]
            self.after(max(1.0, retry_after), self.request, rid, name, wait, *rest[:-1], True)

    def on_fail(self, rid: str) -> None:
        self.on_refuse(rid, 0.0)

    def on_timer(self, delay: float, token: int) -> None:
        self.after(
            delay + (self.rng.uniform(0.0, 3.0) if self.rng.random() < 0.1 else 0.0),
            self.feed,
            "timer",
            token,
        )

    def on_probe(self, worker: int) -> None:
        if self.rng.random() < 0.85:
            result = "ok" if self.rng.random() < 0.9 else "unreachable"
            self.after(self.rng.uniform(0.5, 4.0), self.probed, worker, result)

    def probed(self, worker: int, result: str) -> None:
        self.feed("probed", worker, result, 2.0, self.report(self.machines[worker]))

    def on_watch(self) -> None:
        if self.rng.random() < 0.3:
            self.after(3.0, self.feed, "list", "error")
        else:
            self.after(3.0, self.list, "complete")

    def on_peers(self, payload: str) -> None:
        pass

    def on_log(self, line: str) -> None:
        pass


def digests() -> dict[str, str]:
    """Of all streams, by name."""
    drawn = {family: (EVENTS_EACH, SEEDS_EACH) for family in FAMILIES} | LONG
    return {
        f"{family}-{seed}": Stream(family, seed, events).run()
        for family, (events, seeds) in drawn.items()
        for seed in range(seeds)
    }


def told(found: dict[str, str], recorded: dict[str, str]) -> str:
    """Which streams differ, the first few of them by name; empty where none does."""
    differ = [
        name for name in sorted(found.keys() | recorded.keys()) if found.get(name) != recorded.get(name)
    ]
    if not differ:
        return ""
    return f"{len(differ)} of {len(recorded)} streams differ, the first: {', '.join(differ[:6])}"


def test_every_stream_gives_the_recorded_actions():
    wrong = told(digests(), json.loads(GOLDEN.read_text()))
    assert not wrong, wrong


if __name__ == "__main__" and sys.argv[1:] == ["--write"]:
    GOLDEN.parent.mkdir(exist_ok=True)
    GOLDEN.write_text(json.dumps(digests(), indent=0) + "\n")
