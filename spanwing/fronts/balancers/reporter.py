"""Samples the daemon, lets the health machine judge, and tells whoever listens.

Guarantees: a sample every TICK_S, or CALM_S while little is going on; subscribers hear of every change of
what is told in the same turn of the loop, a drain included; nothing of this runs where no balancer protocol
is open.
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

TICK_S, CALM_S = 0.05, 0.25  # between samples; the longer one while little is going on
CALM = 0.25  # of the loop's time busy, at most
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

    def majority(self) -> bool | None: ...

    def needing_store(self) -> frozenset[str]: ...


def resident_mb(statm: int) -> float:
    """From an open /proc/self/statm; the second figure is the resident pages."""
    return int(os.pread(statm, 128, 0).split()[1]) * PAGE_MB


class Reporter:
    """Owns the health machine of this daemon."""

    def __init__(self, core: Exchange, policy: Policy, gauges: Gauges, cores: float, memory_mb: float,
                 busy: Callable[[], float] | None = None) -> None:
        self.core, self.gauges, self.memory_mb, self.busy = core, gauges, memory_mb, busy
        self.loop = IOLoop.current()
        self.health = Health(policy, self.loop.time())
        self.meter, self.cpu = CpuMeter(cores), Cpu()
        self.statm = os.open("/proc/self/statm", os.O_RDONLY)
        self.gates: list[Gate] = []
        self.listeners: set[Callable[[Verdict], None]] = set()
        self.phase: Phase = "none"
        self.full_at = -math.inf
        self.due = self.loop.time() + TICK_S
        self.told = self.health.verdict
        self.loop.call_at(self.due, self._tick)

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
        drains = self.health.drains  # the notice ends on time, not with the next sample
        end = drains.since + drains.notice_s
        if end > now:
            self.loop.call_at(end, self._publish, self.told)

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
        now = self.loop.time()
        busy = None if self.busy is None else self.busy()
        # A late timer is late for the loop's own work and for want of CPU alike; the meter tells them apart.
        reading = Reading(now, time.process_time(), busy, max(0.0, now - self.due))
        self.cpu = self.meter.read(reading)
        if now >= self.full_at + FULL_S * 0.9:
            self.full_at = now
            self._publish(self.health.observe(now, self.signals()))
        else:
            self._publish(self.health.observe(now, self.health.signals._replace(
                cpu=self.cpu, owed=self.owed())))
        calm = self.cpu.demand <= CALM and self.told.state in ("ready", "absent")
        wait = CALM_S if calm else TICK_S
        self.due = max(self.due + wait, now + wait / 5)
        self.loop.call_at(self.due, self._tick)

    def owed(self) -> int:
        return len(self.core.calls) + len(self.core.out)

    def signals(self) -> Signals:
        """Everything that is known now."""
        core, needing = self.core, self.gauges.needing_store()
        held = core.held()
        counters = core.counters
        return Signals(
            cpu=self.cpu,
            classes=tuple(ClassLoad(each.name, each.aim, each.kind, *held.get(each.name, (0, 0.0)),
                                    each.name in needing) for each in core.settings.classes),
            workers=tuple(Workers(zone, kind, *counts) for (zone, kind), counts in core.fleet().items()),
            zone=core.settings.zone,
            answered=counters["answered"],
            refused=sum(counters[f"answered.refused.{each.name}"] for each in core.settings.classes),
            table=self.gauges.table(), descriptors=self.gauges.descriptors(),
            memory_mb=Use(resident_mb(self.statm), self.memory_mb),
            majority=self.gauges.majority(),
            discovery_age_s=core.discovery_age() if core.settings.subscribe else None,
            heard=core.heard, owed=self.owed(),
        )

    def _publish(self, verdict: Verdict) -> None:
        self._move_gates()
        before, self.told = self.told, verdict
        if verdict is before:
            return
        if verdict.state != before.state:
            tell("health", state=verdict.state, was=before.state, weight=verdict.weight,
                 reason=verdict.reason or "enough of everything")
        elif verdict.classes != before.classes:
            tell("classes", unserved=[name for name, reason in verdict.classes if reason],
                 reason=next((reason for _, reason in verdict.classes if reason), "all served again"))
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
