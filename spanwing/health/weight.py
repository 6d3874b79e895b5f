"""Computes the weight from the signals: a factor for each kind of shortage, and a limited rate of change.

A factor is from 0 to 1 and has a reason whenever it is below 1. The least factor determines the weight.
Factors are not multiplied, since shortages overlap: requests are queued because CPU is short. The announced
weight never changes faster than the settings allow, except when an operator limits it.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from spanwing.health.settings import HealthSettings
from spanwing.health.signals import ClassLoad, CpuUsage, HealthSignals, ResourceUsage, WorkerCounts

# Use of connections, descriptors or memory: the factor falls from this ratio on, to the minimum at full use.
USAGE_RAMP_START, USAGE_MIN_FACTOR = 0.8, 0.2
# The ramp is the age of a class's oldest queued request, as a multiple of the class's latency objective.
QUEUEING_RAMP_START, QUEUEING_RAMP_END, QUEUEING_MIN_FACTOR = 0.5, 1.5, 0.4
# Rejections count if the window has at least so many answers; the minimum applies if all are rejections.
REJECTION_WINDOW_S, REJECTION_MIN_ANSWERS, REJECTION_MIN_FACTOR = 5.0, 10, 0.5
OWN_ZONE_LOST_FACTOR = 0.5  # only workers of other zones accept work
STALE_ENDPOINTS_FACTOR = 0.5  # discovery has been silent for discovery_ms
MIN_CUT_FACTOR = 0.25  # a single cut for CPU leaves at least this part of the weight
MAX_SAMPLES = 256  # samples kept by RejectionRate
SATURATED_RATIO = 0.97  # a loop that is busy for this part of the time counts as never idle


class WeightFactor(NamedTuple):
    """The factor by which one shortage reduces the weight."""

    value: float  # from 0 to 1; 1: no shortage
    reason: str  # for operators; significant only if the value is below 1


def ramp_down(value: float, start: float, end: float, minimum: float) -> float:
    """Returns 1 for values up to start, minimum from end on, and interpolates linearly in between."""
    if value <= start:
        return 1.0
    return max(minimum, 1.0 - (1.0 - minimum) * (value - start) / (end - start))


def usage_factor(name: str, usage: ResourceUsage) -> WeightFactor:
    """Computes the factor of a limited resource, which falls from 80% of use (USAGE_RAMP_START) on."""
    value = ramp_down(usage.used_ratio, USAGE_RAMP_START, 1.0, USAGE_MIN_FACTOR)
    return WeightFactor(value, f"{name} {round(100 * usage.used_ratio)}% in use")


def queueing_factor(load: ClassLoad) -> WeightFactor:
    """Computes the factor of a class from the age of its oldest queued request.

    The age is compared with the latency objective of the class.
    """
    value = ramp_down(
        load.oldest_queued_ms / load.latency_objective_ms,
        QUEUEING_RAMP_START,
        QUEUEING_RAMP_END,
        QUEUEING_MIN_FACTOR,
    )
    return WeightFactor(value, f"{load.queued} {load.name} held, the oldest {load.oldest_queued_ms:.0f} ms")


def unserved_reason(load: ClassLoad, signals: HealthSignals) -> str:
    """Returns the reason why a class cannot be served at all, or an empty string if it can."""
    if not any(each.accepting for each in signals.workers if load.worker_kind in (None, each.kind)):
        return f"no job worker{f' of kind {load.worker_kind}' if load.worker_kind else ''} takes {load.name}"
    if load.needs_store and signals.has_store_quorum is False:
        return f"the store has no majority, {load.name} needs it"
    if load.rejection_reason:
        return f"{load.name} is turned away: {load.rejection_reason}"
    return ""


def class_factor(load: ClassLoad, signals: HealthSignals) -> WeightFactor:
    """Computes the factor of a class: the ratio of workers that accept work to all that can run the class.

    It is 0 if the class cannot be served, and at most OWN_ZONE_LOST_FACTOR if no worker in the daemon's own
    zone accepts work.
    """
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
    """Computes the mean factor of all classes, with the reason of the worst one.

    The mean is used because a class that cannot be served is no reason to reject the others.
    """
    factors = [class_factor(load, signals) for load in signals.classes]
    if not factors:
        return WeightFactor(1.0, "")
    worst = min(factors, key=lambda factor: factor.value)
    return WeightFactor(sum(factor.value for factor in factors) / len(factors), worst.reason)


class RejectionRate:
    """The ratio of rejections to all answers in the last REJECTION_WINDOW_S (5 s).

    At most MAX_SAMPLES (256) samples are kept.
    """

    def __init__(self) -> None:
        # Time in s, answers since the start, and rejections among them.
        self.samples: deque[tuple[float, int, int]] = deque(maxlen=MAX_SAMPLES)

    def add_sample(self, now_s: float, answered: int, rejected: int) -> WeightFactor:
        """Adds a sample of the cumulative counts and returns the factor.

        The factor is 1 while the window has fewer than REJECTION_MIN_ANSWERS (10) answers.
        """
        samples = self.samples
        samples.append((now_s, answered, rejected))
        while len(samples) > 2 and samples[1][0] <= now_s - REJECTION_WINDOW_S:
            samples.popleft()
        answered_in_window, rejected_in_window = answered - samples[0][1], rejected - samples[0][2]
        rejected_ratio = (
            rejected_in_window / answered_in_window if answered_in_window >= REJECTION_MIN_ANSWERS else 0.0
        )
        value = 1.0 - (1.0 - REJECTION_MIN_FACTOR) * rejected_ratio
        return WeightFactor(value, f"{round(100 * rejected_ratio)}% of the answers are refusals")


class CpuControl:
    """Reduces the weight in steps while CPU is short, and then raises it slowly.

    It uses additive increase and multiplicative decrease (Chiu and Jain 1989), so that the weights of several
    schedulers converge instead of oscillating.
    """

    def __init__(self, settings: HealthSettings) -> None:
        self.settings = settings
        self.weight_factor = 1.0
        self.is_short = False
        self.reason = ""
        self.last_cut_at_s = self.last_sample_at_s = float("-inf")
        self.recovered_since_s: float | None = None
        self.overloaded_since_s: float | None = None

    def add_sample(self, now_s: float, cpu: CpuUsage) -> WeightFactor:
        """Adds a sample of the CPU usage and returns the factor."""
        settings = self.settings
        elapsed_s = min(1.0, max(0.0, now_s - self.last_sample_at_s))
        if cpu.demand < settings.short_at and not cpu.is_contended:
            self.overloaded_since_s = None
        elif self.overloaded_since_s is None:
            self.overloaded_since_s = now_s
        if self.overloaded_since_s is not None:
            self.recovered_since_s = None
            is_sustained = now_s - self.overloaded_since_s >= settings.short_ms / 1000.0
            # A loop that was never idle over the whole window is short at once, without waiting for short_ms:
            # its backlog grows, and each further delay makes new requests later.
            if not (is_sustained or self.is_short or cpu.is_contended or cpu.demand >= SATURATED_RATIO):
                self.last_sample_at_s = now_s
                return WeightFactor(self.weight_factor, self.reason)
            self.reason = cpu_shortage_reason(cpu)
            if not self.is_short or now_s - self.last_cut_at_s >= settings.settle_ms / 1000.0:
                # The cut aims at a demand of ease_at, reduced by the part of the CPU that others take. If CPU
                # is stolen, one cut is enough; if the load is too high, several cuts find the right weight.
                given_ratio = 1.0 - min(1.0, cpu.stolen / max(cpu.demand, 0.01))
                cut_factor = max(MIN_CUT_FACTOR, settings.ease_at * given_ratio)
                self.weight_factor, self.last_cut_at_s = (
                    max(settings.floor / 100.0, self.weight_factor * cut_factor),
                    now_s,
                )
            self.is_short = True
        elif cpu.demand < settings.ease_at:
            if self.recovered_since_s is None:
                self.recovered_since_s = now_s
            if now_s - self.recovered_since_s >= settings.ease_ms / 1000.0:
                self.is_short, self.reason = False, "coming back from a shortage of CPU"
                self.weight_factor = min(
                    1.0, self.weight_factor + elapsed_s * 1000.0 / settings.slow_start_ms / 2.0
                )
        else:
            self.recovered_since_s = None
        self.last_sample_at_s = now_s
        return WeightFactor(self.weight_factor, self.reason)


def cpu_shortage_reason(cpu: CpuUsage) -> str:
    """Returns the reason of a CPU shortage for operators.

    It distinguishes the daemon's own load from CPU that other processes take, since the remedies differ.
    """
    is_stolen = cpu.stolen > cpu.demand / 4
    cause = f"others take {round(100 * cpu.stolen)}%" if is_stolen else f"busy {round(100 * cpu.demand)}%"
    return f"short of CPU: {cause} of the time, loop late by {cpu.lag_ms:.0f} ms"


class WeightSmoothing:
    """Limits the rate at which the announced weight (percent) rises and falls, and ignores small changes."""

    def __init__(self, settings: HealthSettings) -> None:
        self.settings = settings
        self.current = self.announced = settings.slow_from
        self.last_update_at_s: float | None = None

    def restart_slow_start(self) -> None:
        """Restarts the slow start after an absence or a drain.

        Otherwise the load would return from the other schedulers all at once.
        """
        self.current = self.announced = self.settings.slow_from
        self.last_update_at_s = None  # the time since the last update does not raise the weight

    def limit_to(self, percent: float) -> None:
        """Lowers the weight at once to at most this percentage; used for an operator's order."""
        self.current = self.announced = min(self.current, percent)

    def advance(self, now_s: float, target: float) -> int:
        """Moves the weight towards the target (percent) and returns the announced weight, rounded."""
        settings = self.settings
        elapsed_s = 0.0 if self.last_update_at_s is None else max(0.0, now_s - self.last_update_at_s)
        self.last_update_at_s = now_s
        if target < self.current:
            self.current = max(target, self.current - settings.fall_per_s * elapsed_s)
        else:
            self.current = min(target, self.current + 100_000.0 / settings.slow_start_ms * elapsed_s)
        # Once the target is reached it is announced, however small the last change, so that the announced
        # weight does not stay different from it.
        if abs(self.current - self.announced) >= settings.step or self.current == target:
            self.announced = self.current
        return round(self.announced)


def find_shortages(
    signals: HealthSignals, rejection: WeightFactor, cpu: WeightFactor, settings: HealthSettings
) -> list[WeightFactor]:
    """Returns the factors below 0.995, the least one first; higher ones round to 100% and do not count."""
    factors = [
        cpu,
        rejection,
        fleet_factor(signals),
        usage_factor("connection table", signals.client_connections),
        usage_factor("descriptors", signals.descriptors),
        usage_factor("memory", signals.memory_mb),
    ]
    factors += [queueing_factor(load) for load in signals.classes if load.queued]
    discovery_age_s = signals.discovery_age_s
    if discovery_age_s is not None and discovery_age_s * 1000.0 > settings.discovery_ms:
        factors.append(WeightFactor(STALE_ENDPOINTS_FACTOR, f"discovery silent for {discovery_age_s:.0f} s"))
    for each in factors:
        assert 0.0 <= each.value <= 1.0, each
    return sorted((each for each in factors if each.value < 0.995), key=lambda each: each.value)
