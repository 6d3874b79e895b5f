"""Shared by the tests: a driver for one scheduler, which feeds it events and collects its actions."""

from __future__ import annotations

from hypothesis import settings as hypothesis_settings
from stream_leaks import no_leaked_streams

from spanwing.interface import (
    Action,
    Event,
    Outcome,
    Request,
    Send,
    ServiceClass,
    SetTimer,
    Settings,
    Tenant,
    TimerDue,
    Worker,
    WorkerList,
)
from spanwing.scheduler import Scheduler

__all__ = ["no_leaked_streams"]  # a fixture of all tests

# Reproducible results: examples come from a fixed seed, and none is kept between runs.
hypothesis_settings.register_profile("same", derandomize=True, database=None, deadline=None)
hypothesis_settings.load_profile("same")

SAFE = ServiceClass(
    "look", latency_objective_ms=300, deadline_ms=5000, priority_weight=2, objective_stretch=1.5
)
KEYED = ServiceClass(
    "book",
    latency_objective_ms=300,
    deadline_ms=5000,
    priority_weight=8,
    idempotency="keyed",
    deduplication_window_ms=4000,
    late_weight=0.5,
)
UNSAFE = ServiceClass(
    "bill",
    latency_objective_ms=300,
    deadline_ms=5000,
    priority_weight=3,
    idempotency="unsafe",
    late_weight=0.5,
)


def settings(**changes) -> Settings:
    """Returns the settings of one scheduler with a class of each idempotency; changes by name."""
    base = dict(
        classes=(SAFE, KEYED, UNSAFE),
        cancel=True,
        max_attempts=5,
        answer_grace=16.0,
        drain_grace=500.0,
        slow_start_initial_fraction=0.2,
        slow_start_ms=10000.0,
        overload_multiple=3.0,
        overload_window_ms=1000.0,
    )
    return Settings(**{**base, **changes})


class Driver:
    """One scheduler with its clock and its timers."""

    def __init__(self, given: Settings | None = None, workers: int = 0, seed: int = 1) -> None:
        self.now, self.timers, self.count = 0.0, [], 0
        self.tried: dict[str, int] = {}
        self.actions: list[Action] = []
        self.scheduler = Scheduler(given or settings(), seed, self.now)
        if workers:
            self.feed(WorkerList("persisted", tuple(Worker(n + 1) for n in range(workers))))

    def feed(self, event: Event) -> list[Action]:
        """Handles an event; returns its actions without timers, which run() fires."""
        actions = self.scheduler.handle(self.now, event)
        self.actions += actions
        self.timers += [(self.now + each.delay, each.token) for each in actions if isinstance(each, SetTimer)]
        return [each for each in actions if not isinstance(each, SetTimer)]

    def submit(self, cls: str = "look", wait: float = 5000.0, **more) -> tuple[str, list[Action]]:
        """Submits a request with its deadline in `wait` ms; returns its id and the actions."""
        self.count += 1
        rid = f"r{self.count}"
        return rid, self.feed(Request(rid, cls, self.now + wait, **more))

    def end(
        self, rid: str, attempt: int, worker: int, result: str, complete: bool | None = None, report=None
    ):
        """Ends an attempt; returns the actions."""
        complete = result == "ok" if complete is None else complete
        return self.feed(Outcome(rid, attempt, worker, result, complete, 100.0, report))

    def run(self, until: float) -> list[Action]:
        """Advances the clock and fires the timers that are due; returns the actions."""
        actions: list[Action] = []
        while self.timers and min(self.timers)[0] <= until:
            when, token = min(self.timers)
            self.timers.remove((when, token))
            self.now = max(self.now, when)
            actions += self.feed(TimerDue(token))
        self.now = max(self.now, until)
        return actions


def tenants(**rates: float) -> tuple[Tenant, ...]:
    """Returns tenants by name with their quotas per second."""
    return tuple(Tenant(name, rate) for name, rate in rates.items())


def sends(actions: list[Action]) -> list[Send]:
    return [each for each in actions if isinstance(each, Send)]
