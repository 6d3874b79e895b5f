"""Health checks over HTTP, for HAProxy, NGINX, Envoy and keepalived.

Readiness responds with 200 while new work is accepted, else with 503. Liveness responds with 200 as long as
the event loop runs. The plain body depends only on the state and on whether the class in the path is served,
because keepalived compares digests of the body. GET, HEAD and OPTIONS get the same status and headers, except
that only OPTIONS gets an Allow header.

Sources: RFC 9110; Envoy's health checking and its `x-envoy-*` headers; draft-inadarei-api-health-check for
the JSON body.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from spanwing.core.messages import FinalAnswer, JobRequest
from spanwing.frontends.balancers.health_reporter import HealthReporter
from spanwing.frontends.http_connection import HttpReply
from spanwing.health.state_machine import HealthVerdict
from spanwing.net.http import encode_response
from spanwing.net.http_parser import HttpMessage

READINESS_PATHS = frozenset({"/", "*", "/health", "/ready", "/readyz"})
LIVENESS_PATHS = frozenset({"/live", "/livez"})
METHODS = ("GET", "HEAD", "OPTIONS")
JSON_CONTENT_TYPE = "application/health+json"


def check_status(verdict: HealthVerdict) -> str:
    """Returns the status in the terms of the JSON body: pass, warn or fail."""
    if not verdict.accepts_work:
        return "fail"
    return "pass" if verdict.state == "ready" else "warn"


def health_report(reporter: HealthReporter) -> dict:
    """Returns the JSON body: the verdict with all signals, also used by `spanwing status`."""
    verdict, signals = reporter.verdict, reporter.health.signals
    now_s = reporter.loop.time()

    def observed(value: float, unit: str) -> list[dict]:
        return [{"observedValue": round(value, 2), "observedUnit": unit}]

    checks = {
        "cpu:used": observed(100 * reporter.cpu_usage.used, "percent"),
        "cpu:busy": observed(100 * reporter.cpu_usage.demand, "percent"),
        "cpu:stolen": observed(100 * reporter.cpu_usage.stolen, "percent"),
        "loop:lag": observed(reporter.cpu_usage.lag_ms, "ms"),
        "connections:use": observed(100 * signals.client_connections.used_ratio, "percent"),
        "descriptors:use": observed(100 * signals.descriptors.used_ratio, "percent"),
        "memory:use": observed(100 * signals.memory_mb.used_ratio, "percent"),
        "requests:owed": observed(reporter.outstanding_requests(), "requests"),
    }
    if signals.discovery_age_s is not None:
        checks["discovery:age"] = observed(signals.discovery_age_s, "s")
    if signals.has_store_quorum is not None:
        checks["store:majority"] = [{"status": "pass" if signals.has_store_quorum else "fail"}]
    for load in signals.classes:
        unserved_reason = dict(verdict.classes).get(load.name, "")
        checks[f"class:{load.name}"] = [
            {
                "status": "fail" if unserved_reason else "pass",
                "output": unserved_reason,
                "held": load.queued,
                "oldest_ms": round(load.oldest_queued_ms),
                "aim_ms": load.latency_objective_ms,
            }
        ]
    for each in signals.workers:
        checks[f"workers:{each.zone or '-'}/{each.kind or '-'}"] = [
            {"observedValue": each.accepting, "observedUnit": "job workers", "listed": each.listed}
        ]
    return {
        "status": check_status(verdict),
        "state": verdict.state,
        "weight": verdict.weight,
        "notes": list(verdict.reasons),
        "output": verdict.reason,
        "since_s": round(now_s - verdict.state_since_s, 3),
        "checks": checks,
    }


class HealthFrontend:
    """Answers health checks; it submits no requests to the core."""

    kept_targets: frozenset[str] = frozenset()
    used_fields = frozenset({"accept"})

    def __init__(self, reporter: HealthReporter, counters: Callable[[], dict[str, int]]) -> None:
        self.reporter, self.counters = reporter, counters

    def parse_request(self, message: HttpMessage) -> JobRequest | HttpReply:
        """Returns the reply to a health check; never returns a request for the core."""
        path, _, query = message.target.partition("?")
        class_name = path.removeprefix("/health/") if path.startswith("/health/") else ""
        is_known = (
            path in READINESS_PATHS | LIVENESS_PATHS
            or path == "/counters"
            or any(class_name == name for name, _ in self.reporter.verdict.classes)
        )
        if not is_known:
            return 404, b"/health, /health/CLASS, /live, /counters"
        if message.method not in METHODS:
            return 405, b"GET, HEAD or OPTIONS", {"Allow": ", ".join(METHODS)}
        if path == "/counters":
            return 200, msgspec.json.encode(self.counters())
        headers = {"Allow": ", ".join(METHODS)} if message.method == "OPTIONS" else {}
        if path in LIVENESS_PATHS:
            return 200, b"alive", headers
        return self._readiness(
            class_name, JSON_CONTENT_TYPE in message.headers.get("accept", "") or query == "detail", headers
        )

    def _readiness(self, class_name: str, as_json: bool, headers: dict[str, str]) -> HttpReply:
        """Returns the reply on the readiness of a class, or of the daemon if class_name is empty."""
        verdict = self.reporter.verdict
        unserved_reason = dict(verdict.classes).get(class_name, "")
        is_up = verdict.accepts_work and not unserved_reason
        if verdict.state in ("draining", "drained"):
            # Envoy then stops sending at once, without waiting for its failure threshold.
            headers["x-envoy-immediate-health-check-fail"] = "true"
        elif is_up and verdict.state == "short":  # Envoy prefers other hosts while enough of them are healthy
            headers["x-envoy-degraded"] = "true"
        status = 200 if is_up else 503
        if as_json:
            headers["Content-Type"] = JSON_CONTENT_TYPE
            return status, msgspec.json.encode(health_report(self.reporter)), headers
        text = "up" if is_up else f"cannot serve {class_name}" if unserved_reason else verdict.state
        return status, text.encode(), headers

    def render_answer(self, answer: FinalAnswer, keep_alive: bool) -> bytes:
        """Encodes the reply for a connection that is rejected before its request is read.

        This is the readiness reply, as the request is most likely a readiness check.
        """
        return encode_response(*self._readiness("", False, {})[:2], keep_alive)
