"""From signals to a weight: what each shortage leaves of it, and how fast it may move.

Guarantees: a factor lies between 0 and 1 and has a reason whenever it is below 1; shortages are not
multiplied with one another (they overlap: work is held because CPU is short), the least one counts; the
announced weight never moves faster than the policy's bounds.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from spanwing.health.policy import Policy
from spanwing.health.signals import ClassLoad, Cpu, Signals, Use, Workers

FULL_FROM, FULL_LEAST = 0.8, 0.2  # of a table, descriptors or memory: the weight falls from here to there
HELD_FROM, HELD_TO, HELD_LEAST = 0.5, 1.5, 0.4  # oldest held, in aims of its class
REFUSED_S, REFUSED_ENOUGH, REFUSED_LEAST = 5.0, 10, 0.5  # window, answers that it needs, at all refused
ZONE_LEAST = 0.5  # none of the own zone's job workers takes work, others' do
OLD_LIST = 0.5
CUT_MOST = 0.25  # a single cut for CPU leaves so much at least
MOST_SAMPLES = 256
SATURATED = 0.97  # of the loop's time


class Factor(NamedTuple):
    """What one shortage leaves of the weight."""

    value: float
    reason: str


def falling(at: float, start: float, end: float, least: float) -> float:
    """1 up to start, least from end on, a straight line between."""
    if at <= start:
        return 1.0
    return max(least, 1.0 - (1.0 - least) * (at - start) / (end - start))


def full(name: str, use: Use) -> Factor:
    value = falling(use.share, FULL_FROM, 1.0, FULL_LEAST)
    return Factor(value, f"{name} {round(100 * use.share)}% in use")


def held(load: ClassLoad) -> Factor:
    value = falling(load.oldest_ms / load.aim_ms, HELD_FROM, HELD_TO, HELD_LEAST)
    return Factor(value, f"{load.held} {load.name} held, the oldest {load.oldest_ms:.0f} ms")


def unserved(load: ClassLoad, signals: Signals) -> str:
    """Why a class cannot be served at all; empty where it can."""
    if not any(each.taking for each in signals.workers if load.kind in (None, each.kind)):
        return f"no job worker{f' of kind {load.kind}' if load.kind else ''} takes {load.name}"
    if load.needs_store and signals.majority is False:
        return f"the store has no majority, {load.name} needs it"
    if load.turned_away:
        return f"{load.name} is turned away: {load.turned_away}"
    return ""


def of_class(load: ClassLoad, signals: Signals) -> Factor:
    """What is left of the fleet that one class needs."""
    if reason := unserved(load, signals):
        return Factor(0.0, reason)
    fit: list[Workers] = [each for each in signals.workers if load.kind in (None, each.kind)]
    share = sum(each.taking for each in fit) / sum(each.listed for each in fit)
    own = [each for each in fit if each.zone == signals.zone]
    if own and not any(each.taking for each in own):
        return Factor(min(share, ZONE_LEAST), f"no job worker of zone {signals.zone} takes {load.name}")
    return Factor(share, f"{round(100 * share)}% of the job workers take {load.name}")


def of_fleet(signals: Signals) -> Factor:
    """The mean over the classes: what a class cannot be served with is no reason to turn the others away."""
    each = [of_class(load, signals) for load in signals.classes]
    if not each:
        return Factor(1.0, "")
    worst = min(each, key=lambda factor: factor.value)
    return Factor(sum(factor.value for factor in each) / len(each), worst.reason)


class Refusals:
    """The share of refusals among the answers of the last seconds."""

    def __init__(self) -> None:
        self.samples: deque[tuple[float, int, int]] = deque(maxlen=MOST_SAMPLES)

    def factor(self, now: float, answered: int, refused: int) -> Factor:
        samples = self.samples
        samples.append((now, answered, refused))
        while len(samples) > 2 and samples[1][0] <= now - REFUSED_S:
            samples.popleft()
        done, turned = answered - samples[0][1], refused - samples[0][2]
        share = turned / done if done >= REFUSED_ENOUGH else 0.0
        value = 1.0 - (1.0 - REFUSED_LEAST) * share
        return Factor(value, f"{round(100 * share)}% of the answers are refusals")


class CpuControl:
    """Cuts the weight while CPU is short and lets it rise again slowly: additive increase, multiplicative
    decrease (Chiu and Jain 1989), so that several schedulers settle instead of swinging."""

    def __init__(self, policy: Policy) -> None:
        self.policy = policy
        self.left = 1.0  # of the weight
        self.short = False
        self.reason = ""
        self.cut_at = self.at = float("-inf")
        self.easy_since: float | None = None
        self.over_since: float | None = None

    def step(self, now: float, cpu: Cpu) -> Factor:
        """Take a sample; returns what is left of the weight."""
        policy = self.policy
        passed = min(1.0, max(0.0, now - self.at))
        if cpu.demand < policy.short_at and not cpu.robbed:
            self.over_since = None
        elif self.over_since is None:
            self.over_since = now
        if self.over_since is not None:
            self.easy_since = None
            held = now - self.over_since >= policy.short_ms / 1000.0
            # Busy without a pause over the whole window: every turn of waiting makes what comes later still.
            if not (held or self.short or cpu.robbed or cpu.demand >= SATURATED):
                self.at = now
                return Factor(self.left, self.reason)
            self.reason = reason_of(cpu)
            if not self.short or now - self.cut_at >= policy.settle_ms / 1000.0:
                # What the process would have if its loop were busy only as long as is healthy, less what
                # others take of it: known at once where CPU is stolen, found in steps where load is too high.
                given = 1.0 - min(1.0, cpu.stolen / max(cpu.demand, 0.01))
                cut = max(CUT_MOST, policy.ease_at * given)
                self.left, self.cut_at = max(policy.floor / 100.0, self.left * cut), now
            self.short = True
        elif cpu.demand < policy.ease_at:
            if self.easy_since is None:
                self.easy_since = now
            if now - self.easy_since >= policy.ease_ms / 1000.0:
                self.short, self.reason = False, "coming back from a shortage of CPU"
                self.left = min(1.0, self.left + passed * 1000.0 / policy.slow_start_ms / 2.0)
        else:
            self.easy_since = None
        self.at = now
        return Factor(self.left, self.reason)


def reason_of(cpu: Cpu) -> str:
    """Own use and what others take are told apart: the remedies differ."""
    stolen = cpu.stolen > cpu.demand / 4
    cause = f"others take {round(100 * cpu.stolen)}%" if stolen else f"busy {round(100 * cpu.demand)}%"
    return f"short of CPU: {cause} of the time, loop late by {cpu.lag_ms:.0f} ms"


class Pace:
    """The weight as it is told, in percent: bounded in speed both ways, still for small changes."""

    def __init__(self, policy: Policy) -> None:
        self.policy = policy
        self.real = self.told = policy.slow_from
        self.at: float | None = None

    def restart(self) -> None:
        """After an absence or a drain: the others' load must not come back in one instant."""
        self.real = self.told = self.policy.slow_from
        self.at = None  # the time that passed meanwhile is no time in which it rose

    def at_most(self, percent: float) -> None:
        """An order of the operator counts at once."""
        self.real = self.told = min(self.real, percent)

    def step(self, now: float, target: float) -> int:
        """Move towards the target; returns whole percents."""
        policy = self.policy
        passed = 0.0 if self.at is None else max(0.0, now - self.at)
        self.at = now
        if target < self.real:
            self.real = max(target, self.real - policy.fall_per_s * passed)
        else:
            self.real = min(target, self.real + 100_000.0 / policy.slow_start_ms * passed)
        # The end of a move is always told, so that nothing stays a step away from the truth for good.
        if abs(self.real - self.told) >= policy.step or self.real == target:
            self.told = self.real
        return round(self.told)


def shortages(signals: Signals, refusals: Factor, cpu: Factor, policy: Policy) -> list[Factor]:
    """All factors below 1, the least first."""
    found = [
        cpu,
        refusals,
        of_fleet(signals),
        full("connection table", signals.table),
        full("descriptors", signals.descriptors),
        full("memory", signals.memory_mb),
    ]
    found += [held(load) for load in signals.classes if load.held]
    age = signals.discovery_age_s
    if age is not None and age * 1000.0 > policy.discovery_ms:
        found.append(Factor(OLD_LIST, f"discovery silent for {age:.0f} s"))
    for each in found:
        assert 0.0 <= each.value <= 1.0, each
    return sorted((each for each in found if each.value < 0.995), key=lambda each: each.value)
