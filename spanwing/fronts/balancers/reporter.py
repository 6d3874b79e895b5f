"""Samples the daemon, lets the health machine judge, and tells whoever listens.

Guarantees: a sample every TICK_S; every CALM_S while little is going on, and then also as soon as the loop
has been busy for ALARM_S, the list of job workers has news or the store's majority changes. Subscribers
hear of every change of what is told in the same turn of the loop, a drain included. Nothing of this is made
before a balancer protocol is opened.
"""

from __future__ import annotations

import math
import os
import time
from collections.abc import Callable
from typing import Protocol

from tornado.ioloop import IOLoop

from spanwing.core.exchange import Exchange
from spanwing.health.cpu import CpuMeter, Reading
from spanwing.health.drain import Phase, Source
from spanwing.health.machine import Health, Verdict
from spanwing.health.policy import Policy
from spanwing.health.signals import ClassLoad, Cpu, Signals, Use, Workers
from spanwing.log import tell
from spanwing.wire.meter import MeteredSelector

TICK_S, CALM_S = 0.05, 1.0  # between samples; the longer one while little is going on
CALM = 0.12  # of the loop's time busy, at most
ALARM_S, ALERT_S = CALM * CALM_S, 1.0  # busy so long since a sample: samples are frequent for a while
FULL_S = 0.25  # between full samples: between them CPU and what is owed alone are looked at
PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 1024 / 1024


class Gate(Protocol):
    """A front that takes work."""

    def announce(self) -> None:
        """A drain has begun: say so with every answer."""

    def drain(self, refuse: bool) -> None:
        """The notice is over: close what is idle, and turn new work away where refuse is set."""

    def reopen(self) -> None: ...


class Gauges(Protocol):
    """Figures that only the daemon's other parts have."""

    def table(self) -> Use: ...

    def descriptors(self) -> Use: ...

    def cores(self) -> float: ...

    def memory_mb(self) -> float: ...

    def majority(self) -> bool | None: ...

    def needing_store(self) -> frozenset[str]: ...


def resident_mb(statm: int) -> float:
    """From an open /proc/self/statm; the second figure is the resident pages."""
    return int(os.pread(statm, 128, 0).split()[1]) * PAGE_MB


class Reporter:
    """Owns the health machine of this daemon."""

    def __init__(
        self, core: Exchange, policy: Policy, gauges: Gauges, meter: MeteredSelector | None = None
    ) -> None:
        self.core, self.gauges, self.loop_meter = core, gauges, meter
        self.loop = IOLoop.current()
        self.health = Health(policy, self.loop.time())
        self.meter, self.cpu = CpuMeter(), Cpu()
        self.statm = os.open("/proc/self/statm", os.O_RDONLY)
        self.gates: list[Gate] = []
        self.listeners: set[Callable[[Verdict], None]] = set()
        self.phase: Phase = "none"
        self.full_at = -math.inf
        self.told = self.health.verdict
        self.alert_until = 0.0
        self.due = self.loop.time() + TICK_S
        self.timer = self.loop.call_at(self.due, self._tick)
        core.news = self.look

    @property
    def verdict(self) -> Verdict:
        return self.told

    def subscribe(self, listener: Callable[[Verdict], None]) -> Callable[[], None]:
        """Hear of changes from now on; returns what ends it."""
        self.listeners.add(listener)
        return lambda: self.listeners.discard(listener)

    def drain(self, source: Source, within_s: float = math.inf) -> None:
        """Announce a drain, to every protocol at once."""
        now = self.loop.time()
        self._publish(self.health.drain(source, now, within_s))
        if (end := self.health.drains.closes) > now:  # on time, not with the next sample
            self.loop.call_at(end, self._move_gates)

    def undrain(self, source: Source) -> bool:
        """Withdraw a drain; whether any is left."""
        self._publish(self.health.undrain(source, self.loop.time()))
        return self.health.drains.active

    def set_weight(self, percent: float) -> None:
        self._publish(self.health.set_weight(percent, self.loop.time()))

    def left_s(self) -> float:
        """How long what is taken now may still take, for a drain with an end."""
        return self.health.drains.end - self.loop.time()

    def _tick(self) -> None:
        try:
            self._sample()
        finally:  # a fault in one sample must not end them all: what is told would stay as it was for good
            now = self.loop.time()
            wait = TICK_S
            if (
                self.loop_meter
                and now > self.alert_until
                and self.cpu.demand <= CALM
                and (self.told.state in ("ready", "absent"))
            ):
                wait = CALM_S
                self.loop_meter.watch(ALARM_S, self._alarm)
            self.due = max(self.due + wait, now + wait / 5)
            self.timer = self.loop.call_at(self.due, self._tick)

    def _alarm(self) -> None:
        """Busy again while samples are rare: some are taken soon, one after the other."""
        self.alert_until = self.loop.time() + ALERT_S
        self.look()

    def look(self) -> None:
        """Take a full sample in the next turn of the loop: something has changed that is told."""
        now = self.loop.time()
        if self.due > now:
            self.loop.remove_timeout(self.timer)
            self.full_at, self.due = -math.inf, now
            self.timer = self.loop.call_at(now, self._tick)

    def _sample(self) -> None:
        now = self.loop.time()
        busy = self.loop_meter.busy() if self.loop_meter else None
        # A late timer is late for the loop's own work and for want of CPU alike; the meter tells them apart.
        self.meter.cores = self.gauges.cores()
        reading = Reading(now, time.process_time(), busy, max(0.0, now - self.due))
        self.cpu = self.meter.read(reading)
        if now >= self.full_at + FULL_S * 0.9:
            self.full_at = now
            self._publish(self.health.observe(now, self.signals()))
        else:
            self._publish(
                self.health.observe(now, self.health.signals._replace(cpu=self.cpu, owed=self.owed()))
            )

    def owed(self) -> int:
        return len(self.core.calls) + len(self.core.out)

    def signals(self) -> Signals:
        """Everything that is known now."""
        core, needing = self.core, self.gauges.needing_store()
        held, turned = core.held(), core.turning_away()
        counters = core.counters
        return Signals(
            cpu=self.cpu,
            classes=tuple(
                ClassLoad(
                    each.name,
                    each.aim,
                    each.kind,
                    *held.get(each.name, (0, 0.0)),
                    each.name in needing,
                    turned.get(each.name, ""),
                )
                for each in core.settings.classes
            ),
            workers=tuple(Workers(zone, kind, *counts) for (zone, kind), counts in core.fleet().items()),
            zone=core.settings.zone,
            answered=counters["answered"],
            refused=sum(counters[f"answered.refused.{each.name}"] for each in core.settings.classes),
            table=self.gauges.table(),
            descriptors=self.gauges.descriptors(),
            memory_mb=Use(resident_mb(self.statm), self.gauges.memory_mb()),
            majority=self.gauges.majority(),
            discovery_age_s=core.discovery_age() if core.settings.subscribe else None,
            heard=core.heard,
            owed=self.owed(),
        )

    def _publish(self, verdict: Verdict) -> None:
        self._move_gates()
        before, self.told = self.told, verdict
        if verdict.told == before.told:
            return
        if verdict.state != before.state:
            tell(
                "health",
                state=verdict.state,
                was=before.state,
                weight=verdict.weight,
                reason=verdict.reason or "enough of everything",
            )
        elif verdict.classes != before.classes:
            tell(
                "classes",
                unserved=[name for name, reason in verdict.classes if reason],
                reason=next((reason for _, reason in verdict.classes if reason), "all served again"),
            )
        for listener in list(self.listeners):
            listener(verdict)

    def _move_gates(self) -> None:
        phase = self.health.drains.phase(self.loop.time())
        if phase == self.phase:
            return
        before, self.phase = self.phase, phase
        for gate in self.gates:
            if phase == "none":
                gate.reopen()
            elif before == "none":
                gate.announce()
            if phase == "closed":
                gate.drain(True)
