"""The platform's HTTP frontend: converts messages to requests and call-backs, and answers to responses."""

from __future__ import annotations

import logging
import re
from collections.abc import Callable, Mapping

import msgspec

from spanwing import interface as api
from spanwing.core.messages import FinalAnswer, JobRequest
from spanwing.discovery.client import WorkerCallbackReceived
from spanwing.frontends.request_id import is_request_id
from spanwing.json_input import decode_by
from spanwing.net.http import encode_response
from spanwing.net.http_parser import HttpMessage
from spanwing.workers.http_worker import WorkerCallback
from spanwing.workers.load_report import LoadReportReader

JOB_EVENTS_PATH = "/v1/job-events"
MAX_TIMEOUT_MS = 3_600_000.0
DECIMAL_PATTERN = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?")

logger = logging.getLogger("spanwing")


class JobEvent(msgspec.Struct):
    """The body of a worker's call-back."""

    id: str
    state: str
    name: str = msgspec.field(default="", name="from")
    result: str = ""
    load: dict[str, float] | None = None


class InvalidRequestError(ValueError):
    """A message cannot be converted to a request; its text is the body of the 400 response."""


def parse_number(text: str | None, name: str, default: float) -> float:
    """Parses a decimal number below 1e12, or returns the default if text is None.

    Raises InvalidRequestError with name in its text.
    """
    if text is None:
        return default
    if not DECIMAL_PATTERN.fullmatch(text):  # float() also accepts blanks, 1_0, infinity, non-ASCII digits
        raise InvalidRequestError(f"{name} is no number")
    if (value := float(text)) >= 1e12:
        raise InvalidRequestError(f"{name} is out of range")
    return value


class PlatformFrontend:
    """Handles the messages of clients, workers and the platform's load balancer."""

    kept_targets = frozenset({JOB_EVENTS_PATH})
    used_fields = frozenset(
        {
            "x-call-id",
            "x-caller",
            "x-budget-ms",
            "x-call-info",
            "x-call-cost",
            "x-route-hash",
            "x-again",
            "idempotency-key",
        }
    )

    def __init__(
        self,
        service_classes: Callable[[], Mapping[str, api.ServiceClass]],
        load_reader: LoadReportReader,
        on_callback: Callable[[WorkerCallbackReceived], None],
        counters: Callable[[], dict[str, int]],
        is_up: Callable[[], bool],
        remaining_ms: Callable[[], float],
    ) -> None:
        self.service_classes = service_classes  # of the policy in use, by name
        self.load_reader, self.on_callback, self.counters, self.is_up = (
            load_reader,
            on_callback,
            counters,
            is_up,
        )
        self.remaining_ms = remaining_ms  # upper bound of the budget of a request that arrives now
        self.decoder = msgspec.json.Decoder(JobEvent)

    def parse_request(self, message: HttpMessage) -> JobRequest | tuple[int, bytes]:
        """Converts a message to a request for the core, or returns the immediate reply (status, body)."""
        path = message.target.partition("?")[0]
        if path == JOB_EVENTS_PATH:
            return self._handle_job_event(message) if message.method == "POST" else (405, b"POST only")
        if path in ("/up", "/counters"):
            if message.method != "GET":
                return 405, b"GET only"
            if path == "/up":
                return (200, b"up") if self.is_up() else (503, b"going down")
            return 200, msgspec.json.encode(self.counters())
        service_class = self.service_classes().get(path.split("/")[1] if path.startswith("/") else "")
        if service_class is None:
            return 404, b"no such class"
        if message.method != "POST":
            return 405, b"POST only"
        try:
            return self._build_request(message, service_class)
        except InvalidRequestError as error:
            return 400, str(error).encode()

    def _build_request(self, message: HttpMessage, service_class: api.ServiceClass) -> JobRequest:
        headers = message.headers
        request_id = headers.get("x-call-id", "")
        if not is_request_id(request_id):
            raise InvalidRequestError("X-Call-Id is missing or malformed")
        call_info = dict(
            part.strip().split("=", 1) for part in headers.get("x-call-info", "").split(",") if "=" in part
        )
        slots = parse_number(call_info.get("slots"), "slots", 1.0)
        return JobRequest(
            id=request_id,
            cls=service_class.name,
            tenant=headers.get("x-caller"),
            budget=min(
                parse_number(headers.get("x-budget-ms"), "X-Budget-Ms", service_class.deadline_ms),
                MAX_TIMEOUT_MS,
                max(0.0, self.remaining_ms()),
            ),
            slots=max(1, int(slots)),
            memory=parse_number(call_info.get("memory"), "memory", 0.0),
            hint=parse_number(headers.get("x-call-cost"), "X-Call-Cost", 0.0),
            route_key=headers.get("x-route-hash"),
            repeat=headers.get("x-again") == "1",
            method=message.method,
            target=message.target,
            body=message.body,
            effect_key=headers.get("idempotency-key"),
            front="platform",
        )

    def _handle_job_event(self, message: HttpMessage) -> tuple[int, bytes]:
        try:
            event = decode_by(self.decoder, message.body)
        except ValueError:
            return 400, b"not a job event"
        report = self.load_reader.read_values(event.load)
        self.on_callback(
            WorkerCallbackReceived(
                event.name, WorkerCallback(event.id, event.state, event.result.encode(), report)
            )
        )
        return 204, b""

    def render_answer(self, answer: FinalAnswer, keep_alive: bool) -> bytes:
        """Encodes a final answer: 200 (served), 409 (repeated), 502 (failed) or 503 (rejected)."""
        if answer.kind == "served":
            return encode_response(200, answer.body, keep_alive)
        if answer.kind == "repeated":
            return encode_response(
                409, answer.body or b"a request of this id is not answered yet", keep_alive
            )
        if answer.kind == "failed":
            return encode_response(502, b"failed", keep_alive)
        if answer.retry_after_ms > 0:
            retry_headers = {"Retry-After": f"{answer.retry_after_ms / 1000.0:.3f}"}
            return encode_response(503, b"refused", keep_alive, headers=retry_headers)
        return encode_response(503, b"refused", keep_alive)
