"""Digests of the decision module's actions over seeded streams of events, compared with recorded ones.

They guard against any change of a decision or of the order of random draws; a renaming changes none of them.
Only the first block uses identifiers of the program: the streams and the digested text do not depend on them.
Floats are digested with all digits, so another libm or another version of Python's random module may need a
new recording, made from the commit before the change.

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

# -- all identifiers of the program that this file uses
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


class SchedulerUnderTest:
    """A scheduler with events and actions as plain words and values, independent of the program's types."""

    def __init__(self, options: dict, seed: int, now: float) -> None:
        self.scheduler = Scheduler(scheduler_settings(msgspec.convert(options, PlatformSettings)), seed, now)

    def handle(self, now: float, event_name: str, values: tuple) -> list[tuple]:
        return [
            (WORDS[type(each)], *each) for each in self.scheduler.handle(now, EVENTS[event_name](*values))
        ]


# -- no identifiers of the program below

GOLDEN = Path(__file__).parent / "golden" / "decisions.json"
EVENTS_PER_STREAM, STREAMS_PER_FAMILY = 400, 20
LONG = {"long": (4000, 3)}  # further families: events per stream, streams
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
    """Returns the settings object of one stream."""
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


class WorkerModel:
    """A worker, as the stream models it."""

    def __init__(self, rng: Random, id: int, started: float) -> None:
        self.id, self.state, self.zone, self.cell = id, "healthy", rng.choice("aabc"), rng.randrange(3)
        self.weight, self.kind, self.started = (
            rng.choice([0.5, 1.0, 4.0, 12.0]),
            rng.choice(["k0", "k1"]),
            started,
        )
        self.feeder_share: float | None = None
        self.slots, self.speed, self.mode = rng.choice([1, 2, 4, 8]), rng.choice([0.5, 1.0, 3.0]), "well"
        self.running = 0

    def entry(self) -> object:
        return worker_entry(
            self.id, self.state, self.zone, self.cell, self.weight, self.kind, self.started, self.feeder_share
        )


class EventStream:
    """One scheduler among modelled clients and workers drawn from one seed; digests all of its actions."""

    def __init__(self, family: str, seed: int, events: int = EVENTS_PER_STREAM) -> None:
        self.rng, self.family, self.events_left = Random(f"{family} {seed}"), family, events
        self.options = drawn_options(self.rng, family)
        self.digest, self.now, self.count = hashlib.sha256(), self.rng.choice([0.0, 1e5]), 0
        self.scheduled: list[tuple] = []
        self.workers = {n: WorkerModel(self.rng, n, 0.0) for n in range(1, self.rng.choice([2, 5, 9, 14]))}
        for each in self.workers.values() if family == "cold" and self.now else ():
            each.started = self.rng.choice([0.0, self.now - 40.0])  # just before the scheduler
        if family in ("large", "long"):
            self.workers = {n: WorkerModel(self.rng, n, 0.0) for n in range(1, 70)}
        self.requests: dict[str, tuple] = {}  # by request id: class name, ms to the deadline, other fields
        self.attempts: dict[str, list[list]] = {}  # by request id: [worker id, has ended, has started]
        self.mean_interval_ms = self.options["classes"][0]["aim_ms"] * self.rng.choice([0.03, 0.1, 0.4, 1.5])
        self.key_probability = self.rng.choice([0.15, 0.25, 0.8]) if family == "keys" else 0.03
        self.burst_arrivals_left = 0  # arrivals still to come at short intervals, after a pause
        self.reports_acceptance = self.rng.random() < 0.3
        self.failure_probability = {"failing": 0.5, "long": 0.8, "hanging": 0.1}.get(family, 0.15)
        self.hang_probability = {"hanging": 0.5, "progress": 0.25}.get(family, 0.03)
        self.scheduler = SchedulerUnderTest(self.options, seed, self.now)

    def run(self) -> str:
        if self.options["discovery"] is None or self.rng.random() < 0.5:
            self.feed_list("persisted")
        self.call_after(self.rng.expovariate(1 / self.mean_interval_ms), self.submit_next)
        self.call_after(self.rng.expovariate(1 / (20 * self.mean_interval_ms)), self.change_workers)
        self.call_after(0.0, self.feed, "timer", 0)  # a timer that was never set
        while self.scheduled and self.events_left > 0:
            when, _, act, values = heappop(self.scheduled)
            self.now = max(self.now, when)
            act(*values)
        return self.digest.hexdigest()

    def call_after(self, wait: float, act, *values) -> None:
        self.count += 1
        heappush(self.scheduled, (self.now + wait, self.count, act, values))

    def feed(self, event_name: str, *values) -> None:
        """Handles an event, digests the actions and responds to them."""
        self.events_left -= 1
        actions = self.scheduler.handle(self.now, event_name, values)
        self.digest.update(f"{self.now!r} {actions!r}\n".encode())
        for name, *rest in actions:
            getattr(self, f"on_{name}")(*rest)

    # -- events that no action causes

    def submit_next(self) -> None:
        rng = self.rng
        if rng.random() < 0.9 and self.events_left > 40:
            rid = f"r{len(self.requests)}"
            cls = rng.choice(self.options["classes"])
            name = "none such" if rng.random() < 0.01 else cls["name"]
            key = rng.random() < self.key_probability
            slots = rng.choice([1, 1, 1, 2, 3]) if self.family in ("memory", "reports") else 1
            memory = rng.uniform(0.0, 4.0) if self.options["specifics"]["memory_unit"] else 0.0
            self.submit(
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
        interval_factor = 0.05 if rng.random() < 0.3 or self.burst_arrivals_left > 0 else 1.0
        self.burst_arrivals_left -= 1
        if self.family == "tenants" and self.burst_arrivals_left < -20 and rng.random() < 0.2:
            self.burst_arrivals_left = 80
            self.call_after(rng.uniform(1000.0, 6000.0), self.submit_next)  # meanwhile unused quota adds up
        else:
            self.call_after(rng.expovariate(1 / (self.mean_interval_ms * interval_factor)), self.submit_next)

    def submit(self, rid: str, name: str, wait: float, *rest) -> None:
        self.requests[rid], self.attempts[rid] = (name, wait, *rest), []
        if self.rng.random() < 0.04:
            self.call_after(wait * self.rng.random(), self.feed, "left", rid)
        self.feed("request", rid, name, self.now + wait, *rest)

    def change_workers(self) -> None:
        """Changes workers or the worker list, or feeds an event that fits nothing."""
        rng = self.rng
        worker = rng.choice(list(self.workers.values()))
        roll = rng.random()
        if roll < 0.15:
            worker.state = rng.choice(["healthy", "healthy", "draining", "gone"])
            self.feed_list("partial", worker)
        elif roll < 0.35:
            worker.state, worker.started, worker.running = (
                "healthy",
                self.now - rng.choice([0.0, 5.0]),
                0,
            )
            worker.feeder_share = rng.choice([None, None, 0.0, 0.5, 1.0])
            self.feed_list("partial", worker)
        elif roll < 0.45:
            worker.weight = rng.choice([0.0, 0.25, 1.0, 3.0])
            self.feed_list("partial", worker)
        elif roll < 0.6:
            worker.mode = rng.choice(["well", "well", "failing", "full", "silent"])
        elif roll < 0.7:
            new = max(self.workers) + 1
            self.workers[new] = WorkerModel(rng, new, rng.choice([0.0, max(0.0, self.now)]))
            self.feed_list("partial", self.workers[new])
        elif roll < 0.8:
            self.feed_list(rng.choice(["complete", "persisted"]))
        elif roll < 0.85:
            self.feed("list", "error")
        elif roll < 0.88:
            self.feed("stranded", rng.choice("abc"))
        else:
            self.feed_unknown(rng.randrange(8))
        self.call_after(rng.expovariate(1 / (20 * self.mean_interval_ms)), self.change_workers)

    def feed_unknown(self, which: int) -> None:
        """Feeds an event that names an unknown id, comes twice, or has no handler."""
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

    def feed_list(self, scope: str, *changed: WorkerModel) -> None:
        """Feeds a worker list of the changed workers, or of all; some may be missing from the latter."""
        listed = [each for each in self.workers.values() if each.state != "gone" and self.rng.random() < 0.95]
        self.feed("list", scope, tuple(each.entry() for each in changed or listed))

    def load_report(self, worker: WorkerModel) -> tuple | None:
        """Returns the worker's load in the order of the settings' fields; sometimes wrong values or None."""
        running, fields = worker.running, self.options["report"]["fields"]
        load = {
            "rif": float(running),
            "q": float(max(0, running - worker.slots)),
            "x0": float(max(0, worker.slots - running)),
            "x1": 3.0,
        }
        if not fields or self.rng.random() < 0.2:
            return self.rng.choice([None, (2.0,)])
        if self.rng.random() < 0.05:
            return tuple(self.rng.uniform(0.0, 9.0) for _ in fields)
        return tuple(load[each] for each in fields)

    # -- responses to the scheduler's actions

    def on_send(self, rid: str, worker_id: int, timeout: float) -> None:
        rng, worker, number = self.rng, self.workers[worker_id], len(self.attempts[rid])
        attempt = [worker_id, False, False]
        self.attempts[rid].append(attempt)
        cls = next(
            (each for each in self.options["classes"] if each["name"] == self.requests[rid][0]),
            self.options["classes"][0],
        )
        service_ms = cls["aim_ms"] * rng.uniform(0.1, 1.5) / worker.speed
        if worker.mode == "silent" or rng.random() < self.hang_probability / 3:
            if rng.random() < 0.7:  # otherwise its end is never reported
                self.call_after(
                    rng.uniform(1.0, 4.0) * cls["deadline_ms"],
                    self.end_attempt,
                    rid,
                    number,
                    attempt,
                    "timeout",
                    None,
                )
            return
        if self.reports_acceptance:
            self.call_after(rng.uniform(0.5, 4.0), self.feed_for_attempt, "accepted", rid, number, attempt)
        full = worker.running >= 2 * worker.slots or (worker.mode == "full" and rng.random() < 0.8)
        if full:
            self.call_after(rng.uniform(0.5, 3.0), self.end_attempt, rid, number, attempt, "full", None)
            return
        worker.running += 1
        wait = rng.uniform(0.5, 5.0) + (service_ms if worker.running > worker.slots else 0.0)
        if self.options["specifics"]["tells_start"] and rng.random() < 0.95:
            self.call_after(wait, self.report_progress, rid, number, attempt)
        if cls["streamed"] and rng.random() < 0.5:
            self.call_after(wait + service_ms / 2, self.feed_for_attempt, "streamed", rid, number, attempt)
        if rng.random() < self.hang_probability:
            return  # the worker hangs, or has lost the job
        if worker.mode == "failing" or rng.random() < self.failure_probability:
            result = rng.choice(RESULTS)
            self.call_after(
                rng.choice([1.0, service_ms]), self.end_attempt, rid, number, attempt, result, worker
            )
        else:
            self.call_after(wait + service_ms, self.end_attempt, rid, number, attempt, "ok", worker)

    def feed_for_attempt(self, event_name: str, rid: str, number: int, attempt: list) -> None:
        if not attempt[1]:
            self.feed(event_name, rid, number, attempt[0])

    def report_progress(self, rid: str, number: int, attempt: list) -> None:
        if attempt[1]:
            return
        self.feed("note", rid, number, attempt[0], not attempt[2] or self.rng.random() < 0.05)
        attempt[2] = True
        interval_ms = self.options["specifics"]["progress_ms"]
        if interval_ms and self.rng.random() < 0.9:
            self.call_after(interval_ms, self.report_progress, rid, number, attempt)

    def end_attempt(
        self, rid: str, number: int, attempt: list, result: str, worker: WorkerModel | None
    ) -> None:
        if attempt[1]:
            return
        attempt[1], rng = True, self.rng
        if worker is not None:
            worker.running = max(0, worker.running - 1)
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
            self.load_report(self.workers[attempt[0]]),
        )

    def on_cancel(self, rid: str, number: int) -> None:
        if number < len(self.attempts[rid]) and self.rng.random() < 0.85:
            attempt = self.attempts[rid][number]
            result = self.rng.choice(["cancelled", "cancelled", "moot"])
            self.call_after(
                self.rng.uniform(0.5, 5.0),
                self.end_attempt,
                rid,
                number,
                attempt,
                result,
                self.workers[attempt[0]],
            )

    def on_refuse(self, rid: str, retry_after: float) -> None:
        if self.rng.random() < 0.15:  # the client repeats the request under the same id
            name, wait, *rest = self.requests[rid]
            self.call_after(max(1.0, retry_after), self.submit, rid, name, wait, *rest[:-1], True)

    def on_fail(self, rid: str) -> None:
        self.on_refuse(rid, 0.0)

    def on_timer(self, delay: float, token: int) -> None:
        self.call_after(
            delay + (self.rng.uniform(0.0, 3.0) if self.rng.random() < 0.1 else 0.0),
            self.feed,
            "timer",
            token,
        )

    def on_probe(self, worker_id: int) -> None:
        if self.rng.random() < 0.85:
            result = "ok" if self.rng.random() < 0.9 else "unreachable"
            self.call_after(self.rng.uniform(0.5, 4.0), self.answer_probe, worker_id, result)

    def answer_probe(self, worker_id: int, result: str) -> None:
        self.feed("probed", worker_id, result, 2.0, self.load_report(self.workers[worker_id]))

    def on_watch(self) -> None:
        if self.rng.random() < 0.3:
            self.call_after(3.0, self.feed, "list", "error")
        else:
            self.call_after(3.0, self.feed_list, "complete")

    def on_peers(self, payload: str) -> None:
        pass

    def on_log(self, line: str) -> None:
        pass


def compute_digests() -> dict[str, str]:
    """Returns the digests of all streams by name."""
    drawn = {family: (EVENTS_PER_STREAM, STREAMS_PER_FAMILY) for family in FAMILIES} | LONG
    return {
        f"{family}-{seed}": EventStream(family, seed, events).run()
        for family, (events, seeds) in drawn.items()
        for seed in range(seeds)
    }


def describe_differences(found: dict[str, str], recorded: dict[str, str]) -> str:
    """Returns how many streams differ and the first few names; empty if none differs."""
    differ = [
        name for name in sorted(found.keys() | recorded.keys()) if found.get(name) != recorded.get(name)
    ]
    if not differ:
        return ""
    return f"{len(differ)} of {len(recorded)} streams differ, the first: {', '.join(differ[:6])}"


def test_every_stream_gives_the_recorded_actions():
    differences = describe_differences(compute_digests(), json.loads(GOLDEN.read_text()))
    assert not differences, differences


if __name__ == "__main__" and sys.argv[1:] == ["--write"]:
    GOLDEN.parent.mkdir(exist_ok=True)
    GOLDEN.write_text(json.dumps(compute_digests(), indent=0) + "\n")
