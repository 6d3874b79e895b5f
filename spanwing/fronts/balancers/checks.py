"""Health over HTTP, as HAProxy, NGINX, Envoy and keepalived ask for it.

Guarantees: readiness answers 200 exactly while new work is taken, else 503; liveness answers 200 as long as
the loop turns; the plain body depends on the state alone (keepalived compares digests); the same status and
headers for GET, HEAD and OPTIONS. Sources: RFC 9110; Envoy's health checking and its `x-envoy-*` headers;
draft-inadarei-api-health-check for the detail in JSON.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from spanwing.core.messages import Answer, Envelope
from spanwing.fronts.balancers.reporter import Reporter
from spanwing.fronts.senderside import Reply
from spanwing.health.machine import Verdict
from spanwing.wire.http import Message, response_bytes

READY = frozenset({"/", "*", "/health", "/ready", "/readyz"})
LIVE = frozenset({"/live", "/livez"})
METHODS = ("GET", "HEAD", "OPTIONS")
JSON = "application/health+json"


def told_status(verdict: Verdict) -> str:
    """In the words of the JSON form."""
    if not verdict.taking:
        return "fail"
    return "pass" if verdict.state == "ready" else "warn"


def detail(reporter: Reporter) -> dict:
    """Everything that is known, for people and for `spanwing status`."""
    verdict, signals = reporter.verdict, reporter.health.signals
    now = reporter.loop.time()

    def seen(value: float, unit: str) -> list[dict]:
        return [{"observedValue": round(value, 2), "observedUnit": unit}]

    checks = {
        "cpu:used": seen(100 * reporter.cpu.used, "percent"),
        "cpu:busy": seen(100 * reporter.cpu.demand, "percent"),
        "cpu:stolen": seen(100 * reporter.cpu.stolen, "percent"),
        "loop:lag": seen(reporter.cpu.lag_ms, "ms"),
        "connections:use": seen(100 * signals.table.share, "percent"),
        "descriptors:use": seen(100 * signals.descriptors.share, "percent"),
        "memory:use": seen(100 * signals.memory_mb.share, "percent"),
        "requests:owed": seen(reporter.owed(), "requests"),
    }
    if signals.discovery_age_s is not None:
        checks["discovery:age"] = seen(signals.discovery_age_s, "s")
    if signals.majority is not None:
        checks["store:majority"] = [{"status": "pass" if signals.majority else "fail"}]
    for load in signals.classes:
        lost = dict(verdict.classes).get(load.name, "")
        checks[f"class:{load.name}"] = [
            {
                "status": "fail" if lost else "pass",
                "output": lost,
                "held": load.held,
                "oldest_ms": round(load.oldest_ms),
                "aim_ms": load.aim_ms,
            }
        ]
    for each in signals.workers:
        checks[f"workers:{each.zone or '-'}/{each.kind or '-'}"] = [
            {"observedValue": each.taking, "observedUnit": "job workers", "listed": each.listed}
        ]
    return {
        "status": told_status(verdict),
        "state": verdict.state,
        "weight": verdict.weight,
        "notes": list(verdict.reasons),
        "output": verdict.reason,
        "since_s": round(now - verdict.changed_s, 3),
        "checks": checks,
    }


class HealthFront:
    """Reads what balancers ask; it never hands in an envelope."""

    def __init__(self, reporter: Reporter, counters: Callable[[], dict[str, int]]) -> None:
        self.reporter, self.counters = reporter, counters

    def read(self, message: Message) -> Envelope | Reply:
        path, _, query = message.target.partition("?")
        cls = path.removeprefix("/health/") if path.startswith("/health/") else ""
        known = (
            path in READY | LIVE
            or path == "/counters"
            or any(cls == name for name, _ in self.reporter.verdict.classes)
        )
        if not known:
            return 404, b"/health, /health/CLASS, /live, /counters"
        if message.method not in METHODS:
            return 405, b"GET, HEAD or OPTIONS", {"Allow": ", ".join(METHODS)}
        if path == "/counters":
            return 200, msgspec.json.encode(self.counters())
        headers = {"Allow": ", ".join(METHODS)} if message.method == "OPTIONS" else {}
        if path in LIVE:
            return 200, b"alive", headers
        return self._readiness(cls, JSON in message.headers.get("accept", "") or query == "detail", headers)

    def _readiness(self, cls: str, in_full: bool, headers: dict[str, str]) -> Reply:
        verdict = self.reporter.verdict
        lost = dict(verdict.classes).get(cls, "")
        up = verdict.taking and not lost
        if verdict.state in ("draining", "drained"):
            # Envoy stops at once, without the failures that it otherwise waits for.
            headers["x-envoy-immediate-health-check-fail"] = "true"
        elif up and verdict.state == "short":  # it prefers others while enough of them are well
            headers["x-envoy-degraded"] = "true"
        status = 200 if up else 503
        if in_full:
            headers["Content-Type"] = JSON
            return status, msgspec.json.encode(detail(self.reporter)), headers
        word = "up" if up else f"cannot serve {cls}" if lost else verdict.state
        return status, word.encode(), headers

    def render(self, answer: Answer, keep: bool) -> bytes:
        """For a connection that finds no room: what it most likely came for."""
        return response_bytes(*self._readiness("", False, {})[:2], keep)
