"""One scheduler in simulated time: the decision module, with what the daemon's core does around it.

Guarantees: each request that is handed in is answered exactly once; each attempt that is sent ends in exactly
one outcome for the module. It knows no network: what it sends and answers goes out by the calls of its Side.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from spanwing import interface as api
from spanwing.choice import Dispatcher
from spanwing.world.agenda import Agenda, Entry

EARLY_MS = 1.0  # as in the core: an attempt's time ends so long before the client's


class Side(Protocol):
    """What is around a scheduler."""

    def send(self, node: Node, request: str, number: int, worker: int) -> None: ...

    def give_up(self, node: Node, request: str, number: int, worker: int, result: api.Result) -> None: ...

    def answer(self, node: Node, request: str, kind: str, retry_after: float) -> None: ...

    def probe(self, node: Node, worker: int) -> None: ...

    def watch(self, node: Node) -> None: ...


class Watch(Protocol):
    """Which workers may be used, where the fleet leaves and returns to zones as one."""

    def may(self, worker: int) -> bool: ...

    def screen(self, news: api.WorkerList) -> api.WorkerList: ...

    def sent(self, worker: int, job: tuple[str, int]) -> None: ...

    def accepted(self, worker: int, job: tuple[str, int]) -> None: ...

    def ended(self, worker: int, job: tuple[str, int], result: str) -> None: ...

    def probed(self, worker: int, result: str) -> None: ...


@dataclass
class Call:
    """A request that owes its answer."""

    deadline: float
    sent: int = 0


@dataclass
class Out:
    """An attempt that has not ended."""

    worker: int
    at: float
    timer: Entry


class Node:
    """A scheduler; up until it is stopped."""

    def __init__(
        self, name: str, zone: str, settings: api.Settings, seed: int, agenda: Agenda, side: Side
    ) -> None:
        self.name, self.zone, self.agenda, self.side = name, zone, agenda, side
        self.module = Dispatcher(settings, seed, agenda.now)
        self.settings, self.seed = settings, seed
        self.calls: dict[str, Call] = {}
        self.out: dict[tuple[str, int], Out] = {}
        self.watch: Watch | None = None
        self.up = True
        self.stolen = 0.0  # part of its CPU that others take
        self.busy_until = 0.0
        self.decided = 0  # events that the module took
        self.probed = 0
        self.spent_s = 0.0  # of real time, in the module

    def decide(self, event: api.Event) -> None:
        if self.watch is not None and self.up:
            if isinstance(event, api.WorkerList):
                event = self.watch.screen(event)
            elif isinstance(event, api.ProbeResult):
                self.watch.probed(event.worker, event.result)
        self.handle(event)

    def handle(self, event: api.Event) -> None:
        """An event as the module is to have it."""
        if not self.up:
            return
        begun = time.perf_counter()
        actions = self.module.handle(self.agenda.now, event)
        self.spent_s += time.perf_counter() - begun
        self.decided += 1
        for action in actions:
            self._act(action)

    def later(self, delay: float, cost: float, call: Callable[..., object], *given: Any) -> None:
        """Have it do what comes after delay and takes cost ms of its CPU, one thing after another."""
        if cost <= 0:
            self.agenda.after(delay, call, *given)
        else:
            self.agenda.after(delay, self._queue, cost, call, *given)

    def _queue(self, cost: float, call: Callable[..., object], *given: Any) -> None:
        self.busy_until = max(self.busy_until, self.agenda.now) + cost / (1.0 - self.stolen)
        self.agenda.at(self.busy_until, call, *given)

    def request(self, event: api.Request) -> None:
        """A client's request has arrived."""
        assert event.id not in self.calls
        self.calls[event.id] = Call(event.deadline)
        self.decide(event)

    def left(self, request: str) -> None:
        """Its client is gone; nothing is owed any more."""
        if self.calls.pop(request, None) is not None:
            self.decide(api.ClientGone(request))

    def ended(
        self, request: str, number: int, result: api.Result, report: tuple[float, ...] | None = None
    ) -> None:
        """How an attempt ended; a second word on it changes nothing."""
        out = self.out.pop((request, number), None)
        if out is None or not self.up:
            return
        out.timer.strike()
        if self.watch is not None:
            self.watch.ended(out.worker, (request, number), result)
        if result == "ok":
            self._answer(request, "served", 0.0)
        self.decide(
            api.Outcome(
                request,
                number,
                out.worker,
                result,
                request not in self.calls,
                self.agenda.now - out.at,
                report,
            )
        )

    def began(self, request: str, number: int, started: bool = True) -> None:
        out = self.out.get((request, number))
        if out is not None:
            self.decide(api.Note(request, number, out.worker, started))

    def accepted(self, request: str, number: int) -> None:
        out = self.out.get((request, number))
        if out is not None:
            if self.watch is not None:
                self.watch.accepted(out.worker, (request, number))
            self.decide(api.Accepted(request, number, out.worker))

    def stop(self) -> list[str]:
        """It is gone at once; the requests that never get their answer."""
        self.up = False
        for each in self.out.values():
            each.timer.strike()
        self.out.clear()
        lost = list(self.calls)
        self.calls.clear()
        return lost

    def _act(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(action)
            case api.Cancel():
                self._give_up(action.request, action.attempt, "cancelled")
            case api.Refuse():
                self._answer(action.request, "refused", action.retry_after)
            case api.Fail():
                self._answer(action.request, "failed", 0.0)
            case api.SetTimer():
                self.agenda.after(action.delay, self._due, action.token)
            case api.Probe():
                self.probe(action.worker)
            case api.Watch():
                self.side.watch(self)

    def probe(self, worker: int) -> None:
        self.probed += 1
        self.side.probe(self, worker)

    def recall(self, request: str, number: int) -> None:
        """Give up an attempt that may be repeated anywhere, if it is out and its answer is owed."""
        if request in self.calls and (request, number) in self.out:
            cls = self.module.jobs[request].cls if request in self.module.jobs else None
            if cls is not None and cls.effect == "safe":
                self._give_up(request, number, "cancelled")

    def _due(self, token: int) -> None:
        self.decide(api.TimerDue(token))

    def _send(self, action: api.Send) -> None:
        call, now = self.calls[action.request], self.agenda.now
        number, call.sent = call.sent, call.sent + 1
        budget = call.deadline - now - EARLY_MS
        if action.timeout:
            budget = min(budget, action.timeout)
        timer = self.agenda.after(max(0.0, budget), self._give_up, action.request, number, "timeout")
        self.out[action.request, number] = Out(action.worker, now, timer)
        if budget <= 0 or number >= self.settings.max_attempts:
            self.agenda.at(now, self.ended, action.request, number, "moot")
            return
        if self.watch is not None:
            if not self.watch.may(action.worker):
                self.agenda.at(now, self.ended, action.request, number, "moot")
                return
            self.watch.sent(action.worker, (action.request, number))
        self.side.send(self, action.request, number, action.worker)

    def _give_up(self, request: str, number: int, result: api.Result) -> None:
        out = self.out.get((request, number))
        if out is not None:
            self.side.give_up(self, request, number, out.worker, result)

    def _answer(self, request: str, kind: str, retry_after: float) -> None:
        if self.calls.pop(request, None) is not None:
            self.side.answer(self, request, kind, retry_after)
