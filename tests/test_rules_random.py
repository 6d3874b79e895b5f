"""Seeded random event streams, checked against the four rules by a checker of its own.

Breaking each rule in the module on purpose turns tests here red; the commits say which were tried.
"""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from conftest import KEYED, SAFE, UNSAFE, Driver, sends, settings, tenants

from spanwing.interface import (
    Cancel,
    ClientGone,
    Fail,
    Outcome,
    Probe,
    ProbeResult,
    ProgressReport,
    Reject,
    Request,
    Send,
    Worker,
    WorkerList,
)

PROOF = {"full", "unreachable", "moot"}


class Checker:
    """Keeps its own books of what was sent and how it ended; any breach is an AssertionError."""

    def __init__(self, given):
        self.given = given
        self.classes = {each.name: each for each in given.classes}
        self.reqs, self.tries, self.answers, self.told = {}, {}, {}, {}
        self.workers, self.cold = {}, {}

    def listed(self, now, event):
        if event.scope != "partial":
            for worker in set(self.workers) - {each.id for each in event.workers}:
                self.told.setdefault(worker, now)
        for each in event.workers:
            self.workers[each.id] = each
            if each.state == "healthy":
                self.told.pop(each.id, None)
            else:
                self.told.setdefault(each.id, now)

    def act(self, now, action):
        if isinstance(action, Send):
            self.send(now, action)
        elif isinstance(action, (Reject, Fail)):
            rid = action.request
            assert rid not in self.answers, "answered twice"
            cls, tries = self.classes[self.reqs[rid].cls], self.tries[rid]
            if isinstance(action, Reject) and cls.idempotency != "safe":
                ran = [each for each in tries if each["result"] not in PROOF]
                assert not ran or (cls.idempotency == "keyed" and cls.repeat_group == "all"), (
                    "refused what may have run"
                )
            self.answers[rid] = now
        elif isinstance(action, Cancel):
            assert action.attempt < len(self.tries[action.request]), "cancelled what was never sent"

    def send(self, now, action):
        rid = action.request
        assert rid not in self.answers, "sent after its end"
        cls, tries, worker = self.classes[self.reqs[rid].cls], self.tries[rid], self.workers[action.worker]
        maybe = [each for each in tries if each["result"] not in PROOF]
        if cls.idempotency == "unsafe":
            assert not maybe, "unsafe sent again"
        if cls.idempotency == "keyed":
            for each in maybe:
                assert now < each["at"] + cls.deduplication_window_ms, "keyed past its window"
                first = self.workers[each["worker"]]
                assert cls.repeat_group != "zone" or first.zone == worker.zone, "keyed out of its zone"
                assert cls.repeat_group != "cell" or first.cell == worker.cell, "keyed out of its cell"
        assert all(each["result"] for each in tries), "two at once"
        assert len(tries) < self.given.max_attempts, "too many attempts"
        assert now <= self.told.get(action.worker, now) + self.given.drain_grace, "sent to a draining worker"
        tries.append({"at": now, "worker": action.worker, "result": None, "started": False})

    def overdue(self, now):
        for rid, req in self.reqs.items():
            assert rid in self.answers or now <= req.deadline + self.given.answer_grace, "no answer in time"


def scenario(seed: int):
    rng = random.Random(seed)
    group = rng.choice(["all", "zone", "cell"])
    classes = (SAFE, replace(KEYED, repeat_group=group), replace(UNSAFE, late_weight=rng.choice([0.0, 0.5])))
    given = settings(
        classes=classes,
        zones=("a", "b"),
        zone="a",
        node_count=rng.choice([1, 2, 6]),
        tenants=rng.choice([(), tenants(x=20.0, y=5.0)]),
        tells_start=rng.random() < 0.5,
        cancel=rng.random() < 0.7,
        subscribe=rng.random() < 0.5,
        report_fields=rng.choice([(), ("inflight", "queue", "free_slots"), ("queue", "free_slots")]),
        counts_memory=rng.random() < 0.5,
        preempts=rng.random() < 0.5,
        max_attempts=rng.choice([1, 3, 5]),
        peers=rng.random() < 0.5,
        probes=rng.random() < 0.5,
        live_weights=rng.random() < 0.3,
    )
    return rng, given


def play(seed: int, length: float = 20000.0) -> tuple[Checker, list]:
    """A day of random events, with a crash of the node in the middle of some."""
    rng, given = scenario(seed)
    node, check, log = Driver(given, seed=seed), Checker(given), []
    workers = {n: Worker(n, "healthy", rng.choice("ab"), n % 3, 1.0, "k", 0.0) for n in range(1, 13)}
    check.workers = dict(workers)
    dead: set = set()

    def feed(event):
        for action in node.feed(event):
            check.act(node.now, action)
            log.append((node.now, action))
            if isinstance(action, Probe) and rng.random() < 0.8:  # some are never answered
                asked.append(action.worker)

    asked: list[int] = []
    feed(WorkerList("persisted", tuple(workers.values())))
    while node.now < length:
        quiet = node.now > length - 6000.0
        for action in node.run(node.now + rng.expovariate(1 / 8.0)):
            check.act(node.now, action)
            log.append((node.now, action))
        check.overdue(node.now)
        while asked:
            report = (rng.randrange(3), rng.randrange(5), 1.0)[: len(given.report_fields)]
            feed(ProbeResult(asked.pop(), rng.choice(["ok", "ok", "unreachable"]), 2.0, report))
        outs = [
            (rid, n)
            for rid, tries in check.tries.items()
            for n, each in enumerate(tries)
            if each["result"] is None and rid not in dead
        ]
        roll = rng.random()
        if roll < 0.4 and not quiet:
            rid = f"q{len(check.reqs)}"
            req = Request(
                rid,
                rng.choice(["look", "book", "bill"]),
                node.now + rng.uniform(50, 5000),
                rng.choice([None, "x", "y"]) if given.tenants else None,
                rng.choice([1, 1, 1, 2]),
                rng.random(),
                0.0,
                rng.choice([None, "k1", "k2"]),
            )
            check.reqs[rid], check.tries[rid] = req, []
            feed(req)
        elif roll < 0.8 and outs:
            rid, n = rng.choice(outs)
            each = check.tries[rid][n]
            each["result"] = result = rng.choice(
                ["ok"] * 5 + ["error", "full", "timeout", "unreachable", "reset", "cancelled"]
            )
            done = rid in check.answers or result == "ok"
            if done:
                check.answers.setdefault(rid, node.now)
            report = (3.0, 0.0, 1.0) if given.report_fields and rng.random() < 0.5 else None
            feed(Outcome(rid, n, each["worker"], result, done, 100.0, report))
        elif roll < 0.9 and outs:
            rid, n = rng.choice(outs)
            feed(ProgressReport(rid, n, check.tries[rid][n]["worker"], True))
        elif roll < 0.92:
            worker = rng.choice(list(workers))
            state = rng.choice(["healthy", "draining", "gone"])
            workers[worker] = workers[worker]._replace(state=state, started=node.now)
            event = WorkerList("partial", (workers[worker],))
            check.listed(node.now, event)
            feed(event)
        elif roll < 0.93:
            event = WorkerList("complete", tuple(each for each in workers.values() if rng.random() < 0.8))
            check.listed(node.now, event)
            feed(event)
        elif roll < 0.94 and given.subscribe:
            feed(WorkerList("error"))
        elif roll < 0.95 and check.reqs:
            rid = rng.choice(list(check.reqs))
            if rid not in check.answers and rid not in dead:
                check.answers[rid] = node.now
                feed(ClientGone(rid))
        elif roll < 0.952 and seed % 2:
            for rid in check.reqs:  # killed: what it held is void
                check.answers.setdefault(rid, node.now)
                dead.add(rid)
            now = node.now
            node = Driver(given, seed=seed + 1)
            node.now = now
            node.scheduler.__init__(given, seed + 1, now)
            feed(WorkerList("persisted", tuple(workers.values())))
            check.listed(now, WorkerList("complete", tuple(workers.values())))
    for action in node.run(node.now + 6000.0):
        check.act(node.now, action)
    check.overdue(node.now)
    return check, log


@pytest.mark.parametrize("seed", range(24))
def test_rules_hold_on_random_streams(seed):
    check, log = play(seed, 8000.0)
    assert len(check.reqs) > 50 and any(isinstance(action, Send) for _, action in log)


def test_same_events_same_actions():
    assert play(3)[1] == play(3)[1]


def cold_work(nodes: int) -> float:
    """Work sent by all nodes to one cold worker within the rule's window, as a multiple of its capacity."""
    given = [settings(node_count=nodes, node_index=n, tenants=tenants(x=1000.0)) for n in range(nodes)]
    sent = []
    for one in given:
        node = Driver(one, seed=one.node_index)
        node.feed(WorkerList("persisted", tuple(Worker(n) for n in range(1, 4))))
        node.now = 50.0
        node.feed(WorkerList("partial", (Worker(9, started=50.0),)))
        for _ in range(400):
            _, actions = node.ask("look", tenant="x")
            for each in sends(actions):
                node.end(each.request, each.attempt if hasattr(each, "attempt") else 0, each.worker, "ok")
                sent += [node.now] if each.worker == 9 else []
            node.run(node.now + 2.0)
    sent.sort()
    most = max((sum(1 for t in sent if at <= t < at + 1000.0) for at in sent), default=0)
    return most * 0.1 / (4 * 0.2 * 1.0)


@pytest.mark.parametrize("nodes", [1, 4, 30])
def test_cold_worker_stays_under_its_budget(nodes):
    assert cold_work(nodes) <= 3.0
