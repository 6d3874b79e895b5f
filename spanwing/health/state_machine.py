"""The health state reported to balancers: starting, ready, weighted, short, draining, drained or absent.

Every state except ready has a reason. A drain is reported at once and takes precedence over everything else.
A shortage never reduces the weight below the floor, however long it lasts, so that schedulers that are all
short do not all leave the balancers' pools. The daemon is absent only if no class can be served.
"""

from __future__ import annotations

from typing import Literal, NamedTuple

from spanwing.health.drain_orders import DrainOrders, DrainSource
from spanwing.health.settings import HealthSettings
from spanwing.health.signals import HealthSignals
from spanwing.health.weight import CpuControl, RejectionRate, WeightSmoothing, find_shortages, unserved_reason

HealthState = Literal["starting", "ready", "weighted", "short", "draining", "drained", "absent"]
ACCEPTING_STATES: frozenset[str] = frozenset({"ready", "weighted", "short"})
MAX_REASONS = 6


class HealthVerdict(NamedTuple):
    """The health that is reported until the next verdict."""

    state: HealthState = "starting"
    weight: int = 0  # percent; 0: no new work
    reasons: tuple[str, ...] = ("no list of job workers yet",)  # at most MAX_REASONS
    classes: tuple[tuple[str, str], ...] = ()  # each class and why it is not served ("" if it is)
    state_since_s: float = 0.0  # when this state began, in seconds of the caller's clock

    @property
    def accepts_work(self) -> bool:
        """Whether new work is accepted."""
        return self.state in ACCEPTING_STATES and self.weight > 0

    @property
    def reason(self) -> str:
        """The first reason; empty if there is none."""
        return self.reasons[0] if self.reasons else ""

    @property
    def published_fields(self) -> tuple[HealthState, int, tuple[tuple[str, str], ...]]:
        """The fields that protocols report. The reasons are not among them: they change with each sample."""
        return self.state, self.weight, self.classes


class HealthStateMachine:
    """Computes the health of one daemon from samples and from the operator's orders.

    observe() is called about every 50 ms; orders may come at any time. Times are in seconds of the caller's
    clock.
    """

    def __init__(self, settings: HealthSettings, now_s: float) -> None:
        self.settings, self.started_at_s = settings, now_s
        self.drain_orders = DrainOrders(settings.notice_ms)
        self.cpu_control, self.weight_smoothing, self.rejection_rate = (
            CpuControl(settings),
            WeightSmoothing(settings),
            RejectionRate(),
        )
        self.operator_weight = 100.0  # percent; upper bound that the operator has set
        self.verdict = HealthVerdict(state_since_s=now_s)
        self.signals = HealthSignals(endpoints_known=False)

    def observe(self, now_s: float, signals: HealthSignals) -> HealthVerdict:
        """Records a sample of the signals and returns the new verdict."""
        self.signals = signals
        return self._update_verdict(now_s)

    def drain(
        self, source: DrainSource, now_s: float, within_s: float = float("inf"), has_notice: bool = True
    ) -> HealthVerdict:
        """Adds the drain order of a source and returns the new verdict.

        All requests are to be answered within within_s seconds. has_notice: see DrainOrders.add().
        """
        self.drain_orders.add(source, now_s, within_s, has_notice)
        return self._update_verdict(now_s)

    def undrain(self, source: DrainSource, now_s: float) -> HealthVerdict:
        """Withdraws the drain order of a source and returns the new verdict.

        If the drain ends with it, a slow start of the weight begins.
        """
        if self.drain_orders.withdraw(source):
            self.weight_smoothing.restart_slow_start()
        return self._update_verdict(now_s)

    def update_settings(self, settings: HealthSettings) -> None:
        """Replaces the settings, and keeps the observations and orders so far."""
        self.settings = self.cpu_control.settings = self.weight_smoothing.settings = settings
        self.drain_orders.notice_s = settings.notice_ms / 1000.0

    def set_weight(self, percent: float, now_s: float) -> HealthVerdict:
        """Sets the operator's upper bound of the weight in percent, and returns the new verdict.

        A bound of 0 rejects new work without a drain. Raises ValueError if percent is not from 0 to 100.
        """
        if not 0 <= percent <= 100:
            raise ValueError(f"weight: {percent} is not a percentage from 0 to 100")
        self.operator_weight = percent
        self.weight_smoothing.limit_to(percent)
        return self._update_verdict(now_s)

    def _update_verdict(self, now_s: float) -> HealthVerdict:
        signals = self.signals
        classes = tuple((each.name, unserved_reason(each, signals)) for each in signals.classes)
        state, weight, reasons = self._decide_state(now_s, classes)
        state_since_s = now_s if state != self.verdict.state else self.verdict.state_since_s
        self.verdict = HealthVerdict(state, weight, reasons[:MAX_REASONS], classes, state_since_s)
        assert 0 <= weight <= 100
        return self.verdict

    def _decide_state(
        self, now_s: float, classes: tuple[tuple[str, str], ...]
    ) -> tuple[HealthState, int, tuple[str, ...]]:
        """Returns the state, the weight in percent, and the reasons; classes are those of the verdict."""
        signals = self.signals
        rejection_factor = self.rejection_rate.add_sample(now_s, signals.answered, signals.rejected)
        cpu_factor = self.cpu_control.add_sample(now_s, signals.cpu)
        if self.drain_orders.is_draining:
            if self.drain_orders.phase(now_s) == "closed" and not signals.outstanding:
                return "drained", 0, ("drained, nothing is owed",)
            return "draining", 0, (self.drain_orders.describe(),)
        served_classes = [name for name, reason in classes if not reason]
        if not served_classes:
            if (
                not signals.endpoints_known
                and (now_s - self.started_at_s) * 1000.0 < self.settings.starting_ms
            ):
                return "starting", 0, ("no list of job workers yet",)
            self.weight_smoothing.restart_slow_start()
            unserved_reasons = tuple(reason for _, reason in classes)
            return (
                "absent",
                0,
                unserved_reasons
                if signals.endpoints_known and unserved_reasons
                else ("no list of job workers",),
            )
        shortages = find_shortages(signals, rejection_factor, cpu_factor, self.settings)
        least_factor = min([1.0, *(each.value for each in shortages)])
        target_percent = max(self.settings.floor, 100.0 * least_factor)
        reasons = [each.reason for each in shortages]
        if self.operator_weight < 100.0:
            target_percent = min(target_percent, self.operator_weight)
            reasons.append(f"weight set to {self.operator_weight:g}% by command")
        weight = self.weight_smoothing.advance(now_s, target_percent)
        if weight >= 100 and not self.cpu_control.is_short:
            return "ready", 100, ()
        if weight < round(target_percent):
            reasons.append("slow start")
        if self.cpu_control.is_short:
            return (
                "short",
                weight,
                (self.cpu_control.reason, *(each for each in reasons if each != self.cpu_control.reason)),
            )
        return "weighted", weight, tuple(reasons)
