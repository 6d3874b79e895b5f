"""From signals to a weight: what each shortage leaves of it, and how fast it may move.

Guarantees: a factor lies between 0 and 1 and has a reason whenever it is below 1; shortages are not
multiplied with one another (they overlap: work is held because CPU is short), the least one counts; the
announced weight never moves faster than the policy's bounds.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from spanwing.health.settings import HealthSettings
from spanwing.health.signals import ClassLoad, CpuUsage, HealthSignals, ResourceUsage, WorkerCounts

USAGE_RAMP_START, USAGE_MIN_FACTOR = (
    0.8,
    0.2,
)  # of a table, descriptors or memory: the weight falls from here to there
QUEUEING_RAMP_START, QUEUEING_RAMP_END, QUEUEING_MIN_FACTOR = (
    0.5,
    1.5,
    0.4,
)  # oldest held, in aims of its class
REJECTION_WINDOW_S, REJECTION_MIN_ANSWERS, REJECTION_MIN_FACTOR = (
    5.0,
    10,
    0.5,
)  # window, answers that it needs, at all refused
OWN_ZONE_LOST_FACTOR = 0.5  # none of the own zone's job workers takes work, others' do
STALE_ENDPOINTS_FACTOR = 0.5
MIN_CUT_FACTOR = 0.25  # a single cut for CPU leaves so much at least
MAX_SAMPLES = 256
SATURATED_RATIO = 0.97  # of the loop's time


class WeightFactor(NamedTuple):
    """What one shortage leaves of the weight."""

    value: float
    reason: str


def ramp_down(value: float, start: float, end: float, minimum: float) -> float:
    """1 up to start, least from end on, a straight line between."""
    if value <= start:
        return 1.0
    return max(minimum, 1.0 - (1.0 - minimum) * (value - start) / (end - start))


def usage_factor(name: str, usage: ResourceUsage) -> WeightFactor:
    value = ramp_down(usage.used_ratio, USAGE_RAMP_START, 1.0, USAGE_MIN_FACTOR)
    return WeightFactor(value, f"{name} {round(100 * usage.used_ratio)}% in use")


def queueing_factor(load: ClassLoad) -> WeightFactor:
    value = ramp_down(
        load.oldest_queued_ms / load.latency_objective_ms,
        QUEUEING_RAMP_START,
        QUEUEING_RAMP_END,
        QUEUEING_MIN_FACTOR,
    )
    return WeightFactor(value, f"{load.queued} {load.name} held, the oldest {load.oldest_queued_ms:.0f} ms")


def unserved_reason(load: ClassLoad, signals: HealthSignals) -> str:
    """Why a class cannot be served at all; empty where it can."""
    if not any(each.accepting for each in signals.workers if load.worker_kind in (None, each.kind)):
        return f"no job worker{f' of kind {load.worker_kind}' if load.worker_kind else ''} takes {load.name}"
    if load.needs_store and signals.has_store_quorum is False:
        return f"the store has no majority, {load.name} needs it"
    if load.rejection_reason:
        return f"{load.name} is turned away: {load.rejection_reason}"
    return ""


def class_factor(load: ClassLoad, signals: HealthSignals) -> WeightFactor:
    """What is left of the fleet that one class needs."""
    if reason := unserved_reason(load, signals):
        return WeightFactor(0.0, reason)
    usable: list[WorkerCounts] = [each for each in signals.workers if load.worker_kind in (None, each.kind)]
    accepting_ratio = sum(each.accepting for each in usable) / sum(each.listed for each in usable)
    own_zone = [each for each in usable if each.zone == signals.zone]
    if own_zone and not any(each.accepting for each in own_zone):
        return WeightFactor(
            min(accepting_ratio, OWN_ZONE_LOST_FACTOR),
            f"no job worker of zone {signals.zone} takes {load.name}",
        )
    return WeightFactor(
        accepting_ratio, f"{round(100 * accepting_ratio)}% of the job workers take {load.name}"
    )


def fleet_factor(signals: HealthSignals) -> WeightFactor:
    """The mean over the classes: what a class cannot be served with is no reason to turn the others away."""
    factors = [class_factor(load, signals) for load in signals.classes]
    if not factors:
        return WeightFactor(1.0, "")
    worst = min(factors, key=lambda factor: factor.value)
    return WeightFactor(sum(factor.value for factor in factors) / len(factors), worst.reason)


class RejectionRate:
    """The share of refusals among the answers of the last seconds."""

    def __init__(self) -> None:
        self.samples: deque[tuple[float, int, int]] = deque(maxlen=MAX_SAMPLES)

    def add_sample(self, now: float, answered: int, rejected: int) -> WeightFactor:
        samples = self.samples
        samples.append((now, answered, rejected))
        while len(samples) > 2 and samples[1][0] <= now - REJECTION_WINDOW_S:
            samples.popleft()
        answered_in_window, rejected_in_window = answered - samples[0][1], rejected - samples[0][2]
        rejected_ratio = (
            rejected_in_window / answered_in_window if answered_in_window >= REJECTION_MIN_ANSWERS else 0.0
        )
        value = 1.0 - (1.0 - REJECTION_MIN_FACTOR) * rejected_ratio
        return WeightFactor(value, f"{round(100 * rejected_ratio)}% of the answers are refusals")


class CpuControl:
    """Cuts the weight while CPU is short and lets it rise again slowly: additive increase, multiplicative
    decrease (Chiu and Jain 1989), so that several schedulers settle instead of swinging."""

    def __init__(self, settings: HealthSettings) -> None:
        self.settings = settings
        self.remaining = 1.0  # of the weight
        self.is_short = False
        self.reason = ""
        self.last_cut_at_s = self.last_sample_at_s = float("-inf")
        self.recovered_since_s: float | None = None
        self.overloaded_since_s: float | None = None

    def add_sample(self, now: float, cpu: CpuUsage) -> WeightFactor:
        """Take a sample; returns what is left of the weight."""
        settings = self.settings
        elapsed_s = min(1.0, max(0.0, now - self.last_sample_at_s))
        if cpu.demand < settings.short_at and not cpu.is_contended:
            self.overloaded_since_s = None
        elif self.overloaded_since_s is None:
            self.overloaded_since_s = now
        if self.overloaded_since_s is not None:
            self.recovered_since_s = None
            is_sustained = now - self.overloaded_since_s >= settings.short_ms / 1000.0
            # Busy without a pause over the whole window: every turn of waiting makes what comes later still.
            if not (is_sustained or self.is_short or cpu.is_contended or cpu.demand >= SATURATED_RATIO):
                self.last_sample_at_s = now
                return WeightFactor(self.remaining, self.reason)
            self.reason = cpu_shortage_reason(cpu)
            if not self.is_short or now - self.last_cut_at_s >= settings.settle_ms / 1000.0:
                # What the process would have if its loop were busy only as long as is healthy, less what
                # others take of it: known at once where CPU is stolen, found in steps where load is too high.
                given_ratio = 1.0 - min(1.0, cpu.stolen / max(cpu.demand, 0.01))
                cut = max(MIN_CUT_FACTOR, settings.ease_at * given_ratio)
                self.remaining, self.last_cut_at_s = max(settings.floor / 100.0, self.remaining * cut), now
            self.is_short = True
        elif cpu.demand < settings.ease_at:
            if self.recovered_since_s is None:
                self.recovered_since_s = now
            if now - self.recovered_since_s >= settings.ease_ms / 1000.0:
                self.is_short, self.reason = False, "coming back from a shortage of CPU"
                self.remaining = min(1.0, self.remaining + elapsed_s * 1000.0 / settings.slow_start_ms / 2.0)
        else:
            self.recovered_since_s = None
        self.last_sample_at_s = now
        return WeightFactor(self.remaining, self.reason)


def cpu_shortage_reason(cpu: CpuUsage) -> str:
    """Own use and what others take are told apart: the remedies differ."""
    stolen = cpu.stolen > cpu.demand / 4
    cause = f"others take {round(100 * cpu.stolen)}%" if stolen else f"busy {round(100 * cpu.demand)}%"
    return f"short of CPU: {cause} of the time, loop late by {cpu.lag_ms:.0f} ms"


class WeightSmoothing:
    """The weight as it is told, in percent: bounded in speed both ways, still for small changes."""

    def __init__(self, settings: HealthSettings) -> None:
        self.settings = settings
        self.current = self.announced = settings.slow_from
        self.last_step_at_s: float | None = None

    def restart_slow_start(self) -> None:
        """After an absence or a drain: the others' load must not come back in one instant."""
        self.current = self.announced = self.settings.slow_from
        self.last_step_at_s = None  # the time that passed meanwhile is no time in which it rose

    def limit_to(self, percent: float) -> None:
        """An order of the operator counts at once."""
        self.current = self.announced = min(self.current, percent)

    def advance(self, now: float, target: float) -> int:
        """Move towards the target; returns whole percents."""
        settings = self.settings
        elapsed_s = 0.0 if self.last_step_at_s is None else max(0.0, now - self.last_step_at_s)
        self.last_step_at_s = now
        if target < self.current:
            self.current = max(target, self.current - settings.fall_per_s * elapsed_s)
        else:
            self.current = min(target, self.current + 100_000.0 / settings.slow_start_ms * elapsed_s)
        # The end of a move is always told, so that nothing stays a step away from the truth for good.
        if abs(self.current - self.announced) >= settings.step or self.current == target:
            self.announced = self.current
        return round(self.announced)


def find_shortages(
    signals: HealthSignals, rejection: WeightFactor, cpu: WeightFactor, settings: HealthSettings
) -> list[WeightFactor]:
    """All factors below 1, the least first."""
    found = [
        cpu,
        rejection,
        fleet_factor(signals),
        usage_factor("connection table", signals.client_connections),
        usage_factor("descriptors", signals.descriptors),
        usage_factor("memory", signals.memory_mb),
    ]
    found += [queueing_factor(load) for load in signals.classes if load.queued]
    discovery_age_s = signals.discovery_age_s
    if discovery_age_s is not None and discovery_age_s * 1000.0 > settings.discovery_ms:
        found.append(WeightFactor(STALE_ENDPOINTS_FACTOR, f"discovery silent for {discovery_age_s:.0f} s"))
    for each in found:
        assert 0.0 <= each.value <= 1.0, each
    return sorted((each for each in found if each.value < 0.995), key=lambda each: each.value)
