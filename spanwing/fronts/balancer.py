"""What common balancers ask a scheduler: health over HTTP, and the agent-check line."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import msgspec
from tornado.iostream import IOStream, StreamClosedError

from spanwing.actor import spawn
from spanwing.core.messages import Answer, Envelope
from spanwing.wire.address import Address, listen
from spanwing.wire.http import Message, response_bytes


class Status(NamedTuple):
    """What the daemon says of itself."""

    draining: bool
    workers: int  # that are listed
    healthy: int  # and take new work


class HealthFront:
    """GET /health, 200 while new work is taken, 503 when it is not; GET /counters."""

    def __init__(self, status: Callable[[], Status], counters: Callable[[], dict[str, int]]) -> None:
        self.status, self.counters = status, counters

    def read(self, message: Message) -> Envelope | tuple[int, bytes]:
        path = message.target.partition("?")[0]
        if path not in ("/health", "/counters"):
            return 404, b"only /health and /counters"
        if message.method != "GET":
            return 405, b"GET only"
        if path == "/counters":
            return 200, msgspec.json.encode(self.counters())
        status = self.status()
        if status.draining:
            return 503, b"draining"
        return (200, b"up") if status.healthy else (503, b"no job worker")

    def render(self, answer: Answer, keep: bool) -> bytes:
        return response_bytes(500, b"", keep)  # it never hands in an envelope


class AgentCheck:
    """Each connection gets one line, HAProxy's agent-check, and is closed."""

    def __init__(self, address: Address, status: Callable[[], Status]) -> None:
        self.status = status
        self.address = listen(address, lambda conn: spawn(self._serve(IOStream(conn))))

    async def _serve(self, stream: IOStream) -> None:
        try:
            await stream.write(self.line())
        except StreamClosedError:
            pass
        stream.close()

    def line(self) -> bytes:
        """The state, and as weight the share of listed job workers that take new work."""
        status = self.status()
        if status.draining:
            return b"drain\n"
        if not status.healthy:
            return b"down#no job worker\n"
        return b"ready up %d%%\n" % max(1, round(100 * status.healthy / status.workers))
