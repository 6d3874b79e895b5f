"""Computes the weight from the signals: what each shortage leaves of it, and how fast it may change.

A factor lies between 0 and 1 and has a reason whenever it is below 1. Shortages are not multiplied with one
another, since they overlap (requests are queued because CPU is short): the least factor counts. The
announced weight never changes faster than the settings allow, except by an operator's limit.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from spanwing.health.settings import HealthSettings
from spanwing.health.signals import ClassLoad, CpuUsage, HealthSignals, ResourceUsage, WorkerCounts

# Of connections, descriptors or memory: from this use on the weight falls, at full use to this factor.
USAGE_RAMP_START, USAGE_MIN_FACTOR = 0.8, 0.2
# Age of the oldest queued request, in latency objectives of its class.
QUEUEING_RAMP_START, QUEUEING_RAMP_END, QUEUEING_MIN_FACTOR = 0.5, 1.5, 0.4
# The window, the answers that it needs, and the factor if all of them are rejections.
REJECTION_WINDOW_S, REJECTION_MIN_ANSWERS, REJECTION_MIN_FACTOR = 5.0, 10, 0.5
OWN_ZONE_LOST_FACTOR = 0.5  # no worker of the own zone accepts work, workers of others do
STALE_ENDPOINTS_FACTOR = 0.5
MIN_CUT_FACTOR = 0.25  # a single cut for CPU leaves at least this
MAX_SAMPLES = 256
SATURATED_RATIO = 0.97  # of the loop's time


class WeightFactor(NamedTuple):
    """What one shortage leaves of the weight."""

    value: float
    reason: str


def ramp_down(value: float, start: float, end: float, minimum: float) -> float:
    """Returns 1 up to start, minimum from end on, and a straight line between."""
    if value <= start:
        return 1.0
    return max(minimum, 1.0 - (1.0 - minimum) * (value - start) / (end - start))


def usage_factor(name: str, usage: ResourceUsage) -> WeightFactor:
    """Computes the factor of a limited resource: it falls from 80% of use on."""
    value = ramp_down(usage.used_ratio, USAGE_RAMP_START, 1.0, USAGE_MIN_FACTOR)
    return WeightFactor(value, f"{name} {round(100 * usage.used_ratio)}% in use")


def queueing_factor(load: ClassLoad) -> WeightFactor:
    """Computes the factor of a class from the age of its oldest queued request, relative to its latency
    objective.
    """
    value = ramp_down(
        load.oldest_queued_ms / load.latency_objective_ms,
        QUEUEING_RAMP_START,
        QUEUEING_RAMP_END,
        QUEUEING_MIN_FACTOR,
    )
    return WeightFactor(value, f"{load.queued} {load.name} held, the oldest {load.oldest_queued_ms:.0f} ms")


def unserved_reason(load: ClassLoad, signals: HealthSignals) -> str:
    """Returns why a class cannot be served at all; empty if it can."""
    if not any(each.accepting for each in signals.workers if load.worker_kind in (None, each.kind)):
        return f"no job worker{f' of kind {load.worker_kind}' if load.worker_kind else ''} takes {load.name}"
    if load.needs_store and signals.has_store_quorum is False:
        return f"the store has no majority, {load.name} needs it"
    if load.rejection_reason:
        return f"{load.name} is turned away: {load.rejection_reason}"
    return ""


def class_factor(load: ClassLoad, signals: HealthSignals) -> WeightFactor:
    """Computes the accepting part of the workers that can run a class."""
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
    """Computes the mean over the classes: a class that cannot be served is no reason to reject the others."""
    factors = [class_factor(load, signals) for load in signals.classes]
    if not factors:
        return WeightFactor(1.0, "")
    worst = min(factors, key=lambda factor: factor.value)
    return WeightFactor(sum(factor.value for factor in factors) / len(factors), worst.reason)


class RejectionRate:
    """The ratio of rejections among the answers of the last REJECTION_WINDOW_S (5 s); 256 samples at most."""

    def __init__(self) -> None:
        self.samples: deque[tuple[float, int, int]] = deque(maxlen=MAX_SAMPLES)

    def add_sample(self, now: float, answered: int, rejected: int) -> WeightFactor:
        """Adds a sample of the cumulative counts; returns the factor, which is 1 while the window has fewer
        than REJECTION_MIN_ANSWERS (10) answers.
        """
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
    decrease (Chiu and Jain 1989), so that several schedulers settle instead of oscillating.
    """

    def __init__(self, settings: HealthSettings) -> None:
        self.settings = settings
        self.remaining = 1.0  # of the weight
        self.is_short = False
        self.reason = ""
        self.last_cut_at_s = self.last_sample_at_s = float("-inf")
        self.recovered_since_s: float | None = None
        self.overloaded_since_s: float | None = None

    def add_sample(self, now: float, cpu: CpuUsage) -> WeightFactor:
        """Adds a sample; returns what is left of the weight."""
        settings = self.settings
        elapsed_s = min(1.0, max(0.0, now - self.last_sample_at_s))
        if cpu.demand < settings.short_at and not cpu.is_contended:
            self.overloaded_since_s = None
        elif self.overloaded_since_s is None:
            self.overloaded_since_s = now
        if self.overloaded_since_s is not None:
            self.recovered_since_s = None
            is_sustained = now - self.overloaded_since_s >= settings.short_ms / 1000.0
            # Busy without a pause over the whole window: every further wait delays new requests more.
            if not (is_sustained or self.is_short or cpu.is_contended or cpu.demand >= SATURATED_RATIO):
                self.last_sample_at_s = now
                return WeightFactor(self.remaining, self.reason)
            self.reason = cpu_shortage_reason(cpu)
            if not self.is_short or now - self.last_cut_at_s >= settings.settle_ms / 1000.0:
                # What remains if the loop is busy only as long as is healthy, less what others take of it:
                # known at once where CPU is stolen, found in steps where the load is too high.
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
    """Returns the reason; own use and what others use are told apart, since the remedies differ."""
    stolen = cpu.stolen > cpu.demand / 4
    cause = f"others take {round(100 * cpu.stolen)}%" if stolen else f"busy {round(100 * cpu.demand)}%"
    return f"short of CPU: {cause} of the time, loop late by {cpu.lag_ms:.0f} ms"


class WeightSmoothing:
    """The announced weight in percent: limited in speed both ways, unchanged by small moves."""

    def __init__(self, settings: HealthSettings) -> None:
        self.settings = settings
        self.current = self.announced = settings.slow_from
        self.last_step_at_s: float | None = None

    def restart_slow_start(self) -> None:
        """Restarts the slow start after an absence or a drain: the load must not return from the other
        schedulers all at once.
        """
        self.current = self.announced = self.settings.slow_from
        self.last_step_at_s = None  # the weight does not rise for the time that passed meanwhile

    def limit_to(self, percent: float) -> None:
        """Limits the weight at once, for an operator's order."""
        self.current = self.announced = min(self.current, percent)

    def advance(self, now: float, target: float) -> int:
        """Moves towards the target; returns whole percents."""
        settings = self.settings
        elapsed_s = 0.0 if self.last_step_at_s is None else max(0.0, now - self.last_step_at_s)
        self.last_step_at_s = now
        if target < self.current:
            self.current = max(target, self.current - settings.fall_per_s * elapsed_s)
        else:
            self.current = min(target, self.current + 100_000.0 / settings.slow_start_ms * elapsed_s)
        # The end of a move is always announced, so that the announced weight never stays a step off.
        if abs(self.current - self.announced) >= settings.step or self.current == target:
            self.announced = self.current
        return round(self.announced)


def find_shortages(
    signals: HealthSignals, rejection: WeightFactor, cpu: WeightFactor, settings: HealthSettings
) -> list[WeightFactor]:
    """Returns all factors below 1 (by 0.005 at least), the least first."""
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
