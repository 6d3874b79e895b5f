"""The second address: whether this process takes clients, and the figures, for on-call staff and tools.

Guarantees: `GET /healthcheck` is answered 200 exactly while this process takes clients, else 503;
`GET /stats` tells the core's figures as they are at that moment, one `app.NAME=VALUE` a line, 503 before
there are any. One call a connection, which is closed after its answer; anything else is a 4xx. It never hands
in an envelope. The connections are bounded by their own table, out of a reserve that clients cannot take.
"""

from __future__ import annotations

from collections.abc import Callable

from spanwing.core.messages import FinalAnswer, JobRequest
from spanwing.frontends.http_server import HttpReply
from spanwing.net.http import HttpMessage, encode_response

PATHS = ("/healthcheck", "/stats")


class ManagementFrontend:
    """Reads the calls; taking and figures are asked anew for each."""

    def __init__(
        self, accepts_clients: Callable[[], bool], collect_figures: Callable[[], dict[str, int]]
    ) -> None:
        self.accepts_clients, self.collect_figures = accepts_clients, collect_figures

    def parse_request(self, message: HttpMessage) -> JobRequest | HttpReply:
        path = message.target.partition("?")[0]
        if path not in PATHS:
            return 404, b"/healthcheck, /stats"
        if message.method not in ("GET", "HEAD"):
            return 405, b"GET only", {"Allow": "GET, HEAD"}
        if path == "/healthcheck":
            return (200, b"yes\n") if self.accepts_clients() else (503, b"no\n")
        figures = self.collect_figures()
        lines = "".join(f"app.{name}={value}\n" for name, value in figures.items())
        return (200, lines.encode(), {"Content-Type": "text/plain"}) if figures else (503, b"not yet\n")

    def render_answer(self, answer: FinalAnswer, keep_alive: bool) -> bytes:
        """For a connection that finds no room."""
        return encode_response(503, b"too many callers\n", keep_alive)
