"""The management listener: health and statistics of this process, for on-call staff and monitoring.

`GET /healthcheck` answers 200 while this process accepts clients, and 503 otherwise. `GET /stats` returns the
core's current statistics with one `app.NAME=VALUE` per line, or 503 before there are any. Any other request
gets a 4xx response. Each connection carries one request and is closed after the response. The listener has a
connection table of its own and uses descriptors that are reserved for it, so clients cannot crowd it out.
"""

from __future__ import annotations

from collections.abc import Callable

from spanwing.core.messages import FinalAnswer, JobRequest
from spanwing.frontends.http_connection import HttpReply
from spanwing.net.http import encode_response
from spanwing.net.http_parser import HttpMessage

PATHS = ("/healthcheck", "/stats")


class ManagementFrontend:
    """Answers management requests; each response is computed from the current state."""

    kept_targets: frozenset[str] = frozenset()
    used_fields: frozenset[str] = frozenset()

    def __init__(
        self, accepts_clients: Callable[[], bool], collect_statistics: Callable[[], dict[str, int]]
    ) -> None:
        self.accepts_clients, self.collect_statistics = accepts_clients, collect_statistics

    def parse_request(self, message: HttpMessage) -> JobRequest | HttpReply:
        """Returns the immediate reply; never a request for the core."""
        path = message.target.partition("?")[0]
        if path not in PATHS:
            return 404, b"/healthcheck, /stats"
        if message.method not in ("GET", "HEAD"):
            return 405, b"GET only", {"Allow": "GET, HEAD"}
        if path == "/healthcheck":
            return (200, b"yes\n") if self.accepts_clients() else (503, b"no\n")
        statistics = self.collect_statistics()
        lines = "".join(f"app.{name}={value}\n" for name, value in statistics.items())
        return (200, lines.encode(), {"Content-Type": "text/plain"}) if statistics else (503, b"not yet\n")

    def render_answer(self, answer: FinalAnswer, keep_alive: bool) -> bytes:
        """Encodes the 503 response for a connection that is rejected by a full table."""
        return encode_response(503, b"too many callers\n", keep_alive)
