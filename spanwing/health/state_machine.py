"""The state reported to balancers: starting, ready, weighted, short, draining, drained or absent.

Every state but ready has a reason. A drain is reported at once and takes precedence over everything else. A
shortage never reports a weight below the floor, however long it lasts, so that schedulers that are all
short do not all leave. Only a fleet that accepts no work at all makes the daemon absent. The states have
the order of the checks below.
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
    """What is reported; it holds until the next verdict."""

    state: HealthState = "starting"
    weight: int = 0  # percent; 0: no new work
    reasons: tuple[str, ...] = ("no list of job workers yet",)
    classes: tuple[tuple[str, str], ...] = ()  # every class, and why it is not served ("" if it is)
    state_since_s: float = 0.0  # on the caller's clock, when this state began

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
        """The part that protocols report; the figures within reasons change with every sample."""
        return self.state, self.weight, self.classes


class HealthStateMachine:
    """The health of one daemon. observe() is called often (about every 50 ms), orders at any time."""

    def __init__(self, settings: HealthSettings, now: float) -> None:
        self.settings, self.started_at_s = settings, now
        self.drain_orders = DrainOrders(settings.notice_ms)
        self.cpu_control, self.weight_smoothing, self.rejection_rate = (
            CpuControl(settings),
            WeightSmoothing(settings),
            RejectionRate(),
        )
        self.operator_weight = 100.0  # percent, by command
        self.verdict = HealthVerdict(state_since_s=now)
        self.signals = HealthSignals(endpoints_known=False)

    def observe(self, now: float, signals: HealthSignals) -> HealthVerdict:
        """Records a sample; returns the verdict."""
        self.signals = signals
        return self._update_verdict(now)

    def drain(self, source: DrainSource, now: float, within_s: float = float("inf")) -> HealthVerdict:
        """Adds a drain order, with all requests answered after within_s (s); returns the verdict."""
        self.drain_orders.add(source, now, within_s)
        return self._update_verdict(now)

    def undrain(self, source: DrainSource, now: float) -> HealthVerdict:
        """Withdraws the drain order of a source; returns the verdict. If the drain ends, the weight starts
        slowly again.
        """
        if self.drain_orders.withdraw(source):
            self.weight_smoothing.restart_slow_start()
        return self._update_verdict(now)

    def update_settings(self, settings: HealthSettings) -> None:
        """Puts other settings into force; what has been observed stays."""
        self.settings = self.cpu_control.settings = self.weight_smoothing.settings = settings
        self.drain_orders.notice_s = settings.notice_ms / 1000.0

    def set_weight(self, percent: float, now: float) -> HealthVerdict:
        """Sets the upper bound of the weight in percent by the operator's command; 0 rejects new work
        without a drain. Returns the verdict. Raises ValueError outside 0 to 100.
        """
        if not 0 <= percent <= 100:
            raise ValueError(f"weight: {percent} is no percentage")
        self.operator_weight = percent
        self.weight_smoothing.limit_to(percent)
        return self._update_verdict(now)

    def _update_verdict(self, now: float) -> HealthVerdict:
        signals = self.signals
        classes = tuple((each.name, unserved_reason(each, signals)) for each in signals.classes)
        state, weight, reasons = self._decide_state(now, classes)
        since = now if state != self.verdict.state else self.verdict.state_since_s
        self.verdict = HealthVerdict(state, weight, reasons[:MAX_REASONS], classes, since)
        assert 0 <= weight <= 100
        return self.verdict

    def _decide_state(
        self, now: float, classes: tuple[tuple[str, str], ...]
    ) -> tuple[HealthState, int, tuple[str, ...]]:
        signals = self.signals
        rejection = self.rejection_rate.add_sample(now, signals.answered, signals.rejected)
        cpu_factor = self.cpu_control.add_sample(now, signals.cpu)
        if self.drain_orders.is_draining:
            if self.drain_orders.phase(now) == "closed" and not signals.outstanding:
                return "drained", 0, ("drained, nothing is owed",)
            return "draining", 0, (self.drain_orders.describe(),)
        served_classes = [name for name, reason in classes if not reason]
        if not served_classes:
            if not signals.endpoints_known and (now - self.started_at_s) * 1000.0 < self.settings.starting_ms:
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
        shortages_found = find_shortages(signals, rejection, cpu_factor, self.settings)
        least_factor = min([1.0, *(each.value for each in shortages_found)])
        target = max(self.settings.floor, 100.0 * least_factor)
        reasons = [each.reason for each in shortages_found]
        if self.operator_weight < 100.0:
            target = min(target, self.operator_weight)
            reasons.append(f"weight set to {self.operator_weight:g}% by command")
        weight = self.weight_smoothing.advance(now, target)
        if weight >= 100 and not self.cpu_control.is_short:
            return "ready", 100, ()
        if weight < round(target):
            reasons.append("slow start")
        if self.cpu_control.is_short:
            return (
                "short",
                weight,
                (self.cpu_control.reason, *(each for each in reasons if each != self.cpu_control.reason)),
            )
        return "weighted", weight, tuple(reasons)
