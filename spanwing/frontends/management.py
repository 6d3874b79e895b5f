"""The management listener: health and figures of this process, for on-call staff and tools.

`GET /healthcheck` answers 200 exactly while this process accepts clients, else 503. `GET /stats` returns the
core's present figures, one `app.NAME=VALUE` a line, or 503 before there are any. One call a connection, which
is closed after its answer; anything else is a 4xx. It submits no requests. Its connections are bounded by
their own table, from a reserve of descriptors that clients cannot use.
"""

from __future__ import annotations

from collections.abc import Callable

from spanwing.core.messages import FinalAnswer, JobRequest
from spanwing.frontends.http_server import HttpReply
from spanwing.net.http import HttpMessage, encode_response

PATHS = ("/healthcheck", "/stats")


class ManagementFrontend:
    """Answers the calls; acceptance and figures are read anew for each."""

    def __init__(
        self, accepts_clients: Callable[[], bool], collect_figures: Callable[[], dict[str, int]]
    ) -> None:
        self.accepts_clients, self.collect_figures = accepts_clients, collect_figures

    def parse_request(self, message: HttpMessage) -> JobRequest | HttpReply:
        """Answers a call; never returns a request for the core."""
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
        """Encodes the 503 for a connection that finds no room."""
        return encode_response(503, b"too many callers\n", keep_alive)
