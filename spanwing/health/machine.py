"""The state that balancers are told: starting, ready, weighted, short, draining, drained or absent.

Guarantees: every state has a reason; a drain is told at once and over everything else; shortage never tells
a weight below the floor, however long it lasts, so that schedulers that are all short do not all leave;
only a fleet that takes nothing at all makes the daemon absent. The order of the states is that of the
checks below.
"""

from __future__ import annotations

from typing import Literal, NamedTuple

from spanwing.health.drain import Drains, Source
from spanwing.health.policy import Policy
from spanwing.health.signals import Signals
from spanwing.health.weight import CpuControl, Pace, Refusals, shortages, unserved

State = Literal["starting", "ready", "weighted", "short", "draining", "drained", "absent"]
TAKING: frozenset[str] = frozenset({"ready", "weighted", "short"})
MOST_REASONS = 6


class Verdict(NamedTuple):
    """What is told; it stays true until the next one."""

    state: State = "starting"
    weight: int = 0  # percent; 0: no new work
    reasons: tuple[str, ...] = ("no list of job workers yet",)
    classes: tuple[tuple[str, str], ...] = ()  # every class, and why it is not served ("" where it is)
    changed_s: float = 0.0  # of the caller's clock, when the state became this one

    @property
    def taking(self) -> bool:
        return self.state in TAKING and self.weight > 0

    @property
    def reason(self) -> str:
        return self.reasons[0] if self.reasons else ""

    @property
    def told(self) -> tuple[State, int, tuple[tuple[str, str], ...]]:
        """What protocols say of it; figures inside a reason move with every sample."""
        return self.state, self.weight, self.classes


class Health:
    """One daemon's; observe() is called often (every 50 ms or so), orders whenever they come."""

    def __init__(self, policy: Policy, now: float) -> None:
        self.policy, self.born = policy, now
        self.drains = Drains(policy.notice_ms)
        self.cpu, self.pace, self.refusals = CpuControl(policy), Pace(policy), Refusals()
        self.operator = 100.0  # percent, by command
        self.verdict = Verdict(changed_s=now)
        self.signals = Signals(heard=False)

    def observe(self, now: float, signals: Signals) -> Verdict:
        """Take a sample; returns the verdict."""
        self.signals = signals
        return self._judge(now)

    def drain(self, source: Source, now: float, within_s: float = float("inf")) -> Verdict:
        self.drains.order(source, now, within_s)
        return self._judge(now)

    def undrain(self, source: Source, now: float) -> Verdict:
        if self.drains.withdraw(source):
            self.pace.restart()
        return self._judge(now)

    def policy_is(self, policy: Policy) -> None:
        """Other settings from now on; what has been observed stays."""
        self.policy = self.cpu.policy = self.pace.policy = policy
        self.drains.notice_s = policy.notice_ms / 1000.0

    def set_weight(self, percent: float, now: float) -> Verdict:
        """The operator's own upper bound; 0 turns new work away without a drain."""
        if not 0 <= percent <= 100:
            raise ValueError(f"weight: {percent} is no percentage")
        self.operator = percent
        self.pace.at_most(percent)
        return self._judge(now)

    def _judge(self, now: float) -> Verdict:
        signals = self.signals
        classes = tuple((each.name, unserved(each, signals)) for each in signals.classes)
        state, weight, reasons = self._decide(now, classes)
        since = now if state != self.verdict.state else self.verdict.changed_s
        self.verdict = Verdict(state, weight, reasons[:MOST_REASONS], classes, since)
        assert 0 <= weight <= 100
        return self.verdict

    def _decide(self, now: float, classes: tuple[tuple[str, str], ...]) -> tuple[State, int, tuple[str, ...]]:
        signals = self.signals
        refused = self.refusals.factor(now, signals.answered, signals.refused)
        cpu = self.cpu.step(now, signals.cpu)
        if self.drains.active:
            if self.drains.phase(now) == "closed" and not signals.owed:
                return "drained", 0, ("drained, nothing is owed",)
            return "draining", 0, (self.drains.text(),)
        served = [name for name, reason in classes if not reason]
        if not served:
            if not signals.heard and (now - self.born) * 1000.0 < self.policy.starting_ms:
                return "starting", 0, ("no list of job workers yet",)
            self.pace.restart()
            lost = tuple(reason for _, reason in classes)
            return "absent", 0, lost if signals.heard and lost else ("no list of job workers",)
        found = shortages(signals, refused, cpu, self.policy)
        share = min([1.0, *(each.value for each in found)])
        target = max(self.policy.floor, 100.0 * share)
        reasons = [each.reason for each in found]
        if self.operator < 100.0:
            target = min(target, self.operator)
            reasons.append(f"weight set to {self.operator:g}% by command")
        weight = self.pace.step(now, target)
        if weight >= 100 and not self.cpu.short:
            return "ready", 100, ()
        if weight < round(target):
            reasons.append("slow start")
        if self.cpu.short:
            return "short", weight, (self.cpu.reason, *(each for each in reasons if each != self.cpu.reason))
        return "weighted", weight, tuple(reasons)
