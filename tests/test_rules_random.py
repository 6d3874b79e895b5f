"""Four rules checked on random streams of events, by a checker that shares no code with the module.

The rules: no attempt that could run a request twice; one final answer, in time; nothing sent to a draining
worker after the grace time; no more work sent to a warming worker than its budget. If the module breaks one
of them, a test here fails; the commits name the breaks that were tried.
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

NEVER_RAN = {"full", "unreachable", "moot"}


class Checker:
    """Records what was sent and how it ended. Its checks raise AssertionError if a rule is broken."""

    def __init__(self, given):
        self.given = given
        self.classes = {each.name: each for each in given.classes}
        self.requests, self.attempts, self.answers, self.unavailable_since = {}, {}, {}, {}
        self.workers, self.cold = {}, {}

    def check_list(self, now, event):
        if event.scope != "partial":
            for worker in set(self.workers) - {each.id for each in event.workers}:
                self.unavailable_since.setdefault(worker, now)
        for each in event.workers:
            self.workers[each.id] = each
            if each.state == "healthy":
                self.unavailable_since.pop(each.id, None)
            else:
                self.unavailable_since.setdefault(each.id, now)

    def check_action(self, now, action):
        if isinstance(action, Send):
            self.check_send(now, action)
        elif isinstance(action, (Reject, Fail)):
            rid = action.request
            assert rid not in self.answers, "answered twice"
            cls, attempts = self.classes[self.requests[rid].class_name], self.attempts[rid]
            if isinstance(action, Reject) and cls.idempotency != "safe":
                ran = [each for each in attempts if each["result"] not in NEVER_RAN]
                assert not ran or (cls.idempotency == "keyed" and cls.repeat_group == "all"), (
                    "rejected what may have run"
                )
            self.answers[rid] = now
        elif isinstance(action, Cancel):
            assert action.attempt < len(self.attempts[action.request]), "cancelled what was never sent"

    def check_send(self, now, action):
        rid = action.request
        assert rid not in self.answers, "sent after its answer"
        cls, attempts, worker = (
            self.classes[self.requests[rid].class_name],
            self.attempts[rid],
            self.workers[action.worker],
        )
        may_have_run = [each for each in attempts if each["result"] not in NEVER_RAN]
        if cls.idempotency == "unsafe":
            assert not may_have_run, "non-idempotent request repeated"
        if cls.idempotency == "keyed":
            for each in may_have_run:
                assert now < each["at"] + cls.deduplication_window_ms, (
                    "keyed request repeated after its deduplication window"
                )
                first = self.workers[each["worker"]]
                assert cls.repeat_group != "zone" or first.zone == worker.zone, (
                    "keyed request repeated in another zone"
                )
                assert cls.repeat_group != "cell" or first.cell == worker.cell, (
                    "keyed request repeated in another cell"
                )
        assert all(each["result"] for each in attempts), "two open attempts"
        assert len(attempts) < self.given.max_attempts, "too many attempts"
        assert now <= self.unavailable_since.get(action.worker, now) + self.given.drain_grace, (
            "sent to a draining worker"
        )
        attempts.append({"at": now, "worker": action.worker, "result": None, "started": False})

    def check_answers(self, now):
        for rid, req in self.requests.items():
            assert rid in self.answers or now <= req.deadline + self.given.answer_grace, (
                "no answer by the deadline"
            )


def draw_settings(seed: int):
    """Returns a random generator, and settings drawn from it."""
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
    """Feeds random events for `length` ms, with odd seeds also crashes of the scheduler.

    Returns the checker, and all actions with their times.
    """
    rng, given = draw_settings(seed)
    driver, checker, log = Driver(given, seed=seed), Checker(given), []
    workers = {n: Worker(n, "healthy", rng.choice("ab"), n % 3, 1.0, "k", 0.0) for n in range(1, 13)}
    checker.workers = dict(workers)
    lost: set = set()

    def feed(event):
        for action in driver.feed(event):
            checker.check_action(driver.now, action)
            log.append((driver.now, action))
            if isinstance(action, Probe) and rng.random() < 0.8:  # other probes are never answered
                probed.append(action.worker)

    probed: list[int] = []
    feed(WorkerList("persisted", tuple(workers.values())))
    while driver.now < length:
        is_quiet = driver.now > length - 6000.0
        for action in driver.run(driver.now + rng.expovariate(1 / 8.0)):
            checker.check_action(driver.now, action)
            log.append((driver.now, action))
        checker.check_answers(driver.now)
        while probed:
            report = (rng.randrange(3), rng.randrange(5), 1.0)[: len(given.report_fields)]
            feed(ProbeResult(probed.pop(), rng.choice(["ok", "ok", "unreachable"]), 2.0, report))
        open_attempts = [
            (rid, n)
            for rid, attempts in checker.attempts.items()
            for n, each in enumerate(attempts)
            if each["result"] is None and rid not in lost
        ]
        roll = rng.random()
        if roll < 0.4 and not is_quiet:
            rid = f"q{len(checker.requests)}"
            req = Request(
                rid,
                rng.choice(["look", "book", "bill"]),
                driver.now + rng.uniform(50, 5000),
                rng.choice([None, "x", "y"]) if given.tenants else None,
                rng.choice([1, 1, 1, 2]),
                rng.random(),
                0.0,
                rng.choice([None, "k1", "k2"]),
            )
            checker.requests[rid], checker.attempts[rid] = req, []
            feed(req)
        elif roll < 0.8 and open_attempts:
            rid, n = rng.choice(open_attempts)
            each = checker.attempts[rid][n]
            each["result"] = result = rng.choice(
                ["ok"] * 5 + ["error", "full", "timeout", "unreachable", "reset", "cancelled"]
            )
            done = rid in checker.answers or result == "ok"
            if done:
                checker.answers.setdefault(rid, driver.now)
            report = (3.0, 0.0, 1.0) if given.report_fields and rng.random() < 0.5 else None
            feed(Outcome(rid, n, each["worker"], result, done, 100.0, report))
        elif roll < 0.9 and open_attempts:
            rid, n = rng.choice(open_attempts)
            feed(ProgressReport(rid, n, checker.attempts[rid][n]["worker"], True))
        elif roll < 0.92:
            worker = rng.choice(list(workers))
            state = rng.choice(["healthy", "draining", "gone"])
            workers[worker] = workers[worker]._replace(state=state, started=driver.now)
            event = WorkerList("partial", (workers[worker],))
            checker.check_list(driver.now, event)
            feed(event)
        elif roll < 0.93:
            event = WorkerList("complete", tuple(each for each in workers.values() if rng.random() < 0.8))
            checker.check_list(driver.now, event)
            feed(event)
        elif roll < 0.94 and given.subscribe:
            feed(WorkerList("error"))
        elif roll < 0.95 and checker.requests:
            rid = rng.choice(list(checker.requests))
            if rid not in checker.answers and rid not in lost:
                checker.answers[rid] = driver.now
                feed(ClientGone(rid))
        elif roll < 0.952 and seed % 2:
            for rid in checker.requests:  # crashed: its requests are void
                checker.answers.setdefault(rid, driver.now)
                lost.add(rid)
            now = driver.now
            driver = Driver(given, seed=seed + 1)
            driver.now = now
            driver.scheduler.__init__(given, seed + 1, now)
            feed(WorkerList("persisted", tuple(workers.values())))
            checker.check_list(now, WorkerList("complete", tuple(workers.values())))
    for action in driver.run(driver.now + 6000.0):
        checker.check_action(driver.now, action)
    checker.check_answers(driver.now)
    return checker, log


@pytest.mark.parametrize("seed", range(24))
def test_rules_hold_on_random_streams(seed):
    checker, log = play(seed, 8000.0)
    assert len(checker.requests) > 50 and any(isinstance(action, Send) for _, action in log)


def test_same_events_same_actions():
    assert play(3)[1] == play(3)[1]


def warm_up_work(node_count: int) -> float:
    """Returns the most work that all schedulers together send to one warming worker within 1000 ms.

    The unit is what the worker does in that time at its initial fraction, 0.2 of 4 slots. A job takes 100 ms.
    """
    given = [
        settings(node_count=node_count, node_index=n, tenants=tenants(x=1000.0)) for n in range(node_count)
    ]
    sent_at_ms = []
    for one in given:
        driver = Driver(one, seed=one.node_index)
        driver.feed(WorkerList("persisted", tuple(Worker(n) for n in range(1, 4))))
        driver.now = 50.0
        driver.feed(WorkerList("partial", (Worker(9, started=50.0),)))
        for _ in range(400):
            _, actions = driver.submit("look", tenant="x")
            for each in sends(actions):
                driver.end(each.request, each.attempt if hasattr(each, "attempt") else 0, each.worker, "ok")
                sent_at_ms += [driver.now] if each.worker == 9 else []
            driver.run(driver.now + 2.0)
    sent_at_ms.sort()
    max_count = max((sum(1 for t in sent_at_ms if at <= t < at + 1000.0) for at in sent_at_ms), default=0)
    return max_count * 0.1 / (4 * 0.2 * 1.0)


@pytest.mark.parametrize("node_count", [1, 4, 30])
def test_warming_worker_stays_within_its_budget(node_count):
    assert warm_up_work(node_count) <= 3.0
