"""The platform's front: its paths and headers to envelopes and call-backs, and answers back."""

from __future__ import annotations

import logging
import re
from collections.abc import Callable

import msgspec

from spanwing import interface as api
from spanwing.core.messages import Answer, Envelope
from spanwing.hops.load import LoadReader
from spanwing.hops.nexthop import CallBack
from spanwing.hops.transportmap import Heard
from spanwing.wire.http import Message, response_bytes

JOB_EVENTS = "/v1/job-events"
LONGEST_MS = 3_600_000.0
LONGEST_ID = 200
NUMBER = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?")

log = logging.getLogger("spanwing")


class JobEvent(msgspec.Struct):
    """One call-back of a job worker."""

    id: str
    state: str
    name: str = msgspec.field(default="", name="from")
    result: str = ""
    load: dict[str, float] | None = None


class Rejected(ValueError):
    """A request that no envelope can be made of."""


def number(text: str | None, name: str, default: float) -> float:
    if text is None:
        return default
    if not NUMBER.fullmatch(text):  # float() takes more than a number: blanks, 1_0, infinity, other digits
        raise Rejected(f"{name} is no number")
    if (value := float(text)) >= 1e12:
        raise Rejected(f"{name} is out of range")
    return value


class PlatformFront:
    """Reads what clients, job workers and the layer in front send."""

    def __init__(
        self,
        classes: tuple[api.ServiceClass, ...],
        loads: LoadReader,
        heard: Callable[[Heard], None],
        counters: Callable[[], dict[str, int]],
        up: Callable[[], bool],
        left_ms: Callable[[], float],
    ) -> None:
        self.classes = {each.name: each for each in classes}
        self.loads, self.heard, self.counters, self.up = loads, heard, counters, up
        self.left_ms = left_ms  # how long a request that comes now may take at most
        self.decoder = msgspec.json.Decoder(JobEvent)

    def read(self, message: Message) -> Envelope | tuple[int, bytes]:
        path = message.target.partition("?")[0]
        if path == JOB_EVENTS:
            return self._job_event(message) if message.method == "POST" else (405, b"POST only")
        if path in ("/up", "/counters"):
            if message.method != "GET":
                return 405, b"GET only"
            if path == "/up":
                return (200, b"up") if self.up() else (503, b"going down")
            return 200, msgspec.json.encode(self.counters())
        cls = self.classes.get(path.split("/")[1] if path.startswith("/") else "")
        if cls is None:
            return 404, b"no such class"
        if message.method != "POST":
            return 405, b"POST only"
        try:
            return self._envelope(message, cls)
        except Rejected as error:
            return 400, str(error).encode()

    def _envelope(self, message: Message, cls: api.ServiceClass) -> Envelope:
        headers = message.headers
        request = headers.get("x-call-id", "")
        if not request or len(request) > LONGEST_ID or not request.isprintable() or " " in request:
            raise Rejected("X-Call-Id is missing or malformed")
        info = dict(
            part.strip().split("=", 1) for part in headers.get("x-call-info", "").split(",") if "=" in part
        )
        slots = number(info.get("slots"), "slots", 1.0)
        return Envelope(
            id=request,
            cls=cls.name,
            tenant=headers.get("x-caller"),
            budget=min(
                number(headers.get("x-budget-ms"), "X-Budget-Ms", cls.deadline),
                LONGEST_MS,
                max(0.0, self.left_ms()),
            ),
            slots=max(1, int(slots)),
            memory=number(info.get("memory"), "memory", 0.0),
            hint=number(headers.get("x-call-cost"), "X-Call-Cost", 0.0),
            route_key=headers.get("x-route-hash"),
            repeat=headers.get("x-again") == "1",
            method=message.method,
            target=message.target,
            body=message.body,
            effect_key=headers.get("idempotency-key"),
            front="platform",
        )

    def _job_event(self, message: Message) -> tuple[int, bytes]:
        try:
            event = self.decoder.decode(message.body)
        except ValueError:
            return 400, b"not a job event"
        report = self.loads.values(event.load)
        self.heard(Heard(event.name, CallBack(event.id, event.state, event.result.encode(), report)))
        return 204, b""

    def render(self, answer: Answer, keep: bool) -> bytes:
        if answer.kind == "served":
            return response_bytes(200, answer.body, keep)
        if answer.kind == "repeated":
            return response_bytes(409, answer.body or b"a request of this id is not answered yet", keep)
        if answer.kind == "failed":
            return response_bytes(502, b"failed", keep)
        if answer.retry_after > 0:
            wait = {"Retry-After": f"{answer.retry_after / 1000.0:.3f}"}
            return response_bytes(503, b"refused", keep, headers=wait)
        return response_bytes(503, b"refused", keep)
