"""Requests that come after SIGTERM have to be answered before the platform's earliest SIGKILL.

They guard against requests that are taken during a notice for balancers with more time than is left, and so
are lost to SIGKILL.
"""

from __future__ import annotations

import signal
import tempfile
import time
import unittest
from collections.abc import Callable
from pathlib import Path

from player import SETTINGS, Daemon, config, member
from standins import read_http
from test_termination_races import ConnectionStandIn, DaemonTestCase, ListenerStandIn

from spanwing.cli import client

LONGEST_DEADLINE_S = 1.0
# The platform's earliest SIGKILL: the longest deadline of the settings and 0.7 s more.
KILL_AFTER_S = LONGEST_DEADLINE_S + 0.7
# Requests that come later than 0.7 s after SIGTERM are lost if SIGKILL finds them unanswered.
SEND_AFTER_S = (0.75, 0.95, 1.15)


class ShutdownTests(DaemonTestCase):
    def start_with_short_deadlines(self, listener: ListenerStandIn, fronts: str) -> Daemon:
        daemon_config = config([member("w1", listener.port)])
        daemon_config["settings"]["classes"] = [
            {**each, "aim_ms": 500.0, "deadline_ms": LONGEST_DEADLINE_S * 1000}
            for each in SETTINGS["classes"]
        ]
        self.daemon = Daemon(daemon_config, fronts)
        self.addCleanup(self.stop)
        return self.daemon.wait_until_ready()

    def use_connection(self, listener: ListenerStandIn) -> ConnectionStandIn:
        """Returns a client's connection that has had an answer."""
        connection = self.connect_client()
        connection.submit("status-read", "job-0", budget_ms=1000)
        worker = listener.accept()
        worker.read_message()
        worker.respond(200, b"served")
        self.assertIn("200", connection.read_message()[0])
        worker.close()
        return connection

    def check_answers(
        self, fronts: str, prepare: Callable[[], object] = bool, follow_up: Callable[[], object] = bool
    ) -> None:
        """Sends a job at each of SEND_AFTER_S; its worker takes it and never ends it.

        prepare is called before SIGTERM, follow_up just after it.
        """
        listener = ListenerStandIn(self)
        self.start_with_short_deadlines(listener, fronts)
        connections = [self.use_connection(listener) for _ in SEND_AFTER_S]
        prepare()
        terminated_s = time.monotonic()
        self.daemon.process.send_signal(signal.SIGTERM)
        follow_up()
        for number, (connection, send_after_s) in enumerate(zip(connections, SEND_AFTER_S, strict=True)):
            time.sleep(max(0.0, terminated_s + send_after_s - time.monotonic()))
            connection.submit("schedule-apply", f"job-{number + 1}", budget_ms=1000)
        for connection in connections:
            # An empty line: the connection was closed between requests, so the request was never read.
            self.assertRegex(connection.read_message()[0], "^(HTTP/1.1 (502|503) .*|)$")
        self.assertLess(time.monotonic() - terminated_s, KILL_AFTER_S)

    def test_with_a_listener_for_balancers(self) -> None:
        self.check_answers('[health]\nlisten = "127.0.0.1:0"\n')

    def test_with_a_notice_that_is_longer_than_the_time_until_sigkill(self) -> None:
        self.check_answers('[health]\nlisten = "127.0.0.1:0"\n[balancers]\nnotice_ms = 10000\n')

    def test_during_the_notice_of_an_earlier_drain_order(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = str(Path(folder.name) / "admin")
        self.check_answers(
            f'[admin]\nsocket = "{path}"\n[balancers]\nnotice_ms = 10000\n',
            prepare=lambda: client.send_command(path, do="drain"),
            follow_up=lambda: self.undrain_until_refused(path),
        )

    def undrain_until_refused(self, path: str) -> None:
        """Withdraws the order; the one of SIGTERM stays and is named by the refusal."""
        with self.assertRaisesRegex(client.CommandRefusedError, "signal"), self.daemon.kill_on_timeout():
            while True:
                client.send_command(path, do="undrain")

    def test_listener_for_balancers_that_a_reload_opens_after_sigterm(self) -> None:
        """Guards against a process that ends and tells balancers that it is ready."""
        listener = ListenerStandIn(self)
        daemon = self.start_with_short_deadlines(listener, "")
        self.connect_client().submit("schedule-apply", "job-1", budget_ms=1000)
        worker = listener.accept()
        worker.read_message()
        daemon.process.send_signal(signal.SIGTERM)
        with daemon.kill_on_timeout():
            while "503" not in self.request("clients", "/up")[0]:
                pass
            fronts = Path(daemon.folder.name) / "fronts.toml"
            fronts.write_text('[health]\nlisten = "127.0.0.1:0"\n')
            daemon.process.send_signal(signal.SIGHUP)
            while (printed := daemon.process.stdout.readline()) and " health on " not in printed:
                pass
        address, _, port = printed.rpartition(" ")[2].strip().rpartition(":")
        daemon.addresses["health"] = (address, int(port))
        status, body = self.request("health", "/health")
        self.assertIn("503", status)
        self.assertIn("draining", body)

    def request(self, front: str, target: str) -> tuple[str, str]:
        """Returns the status line and the body of the response."""
        with self.daemon.connect(front) as connection:
            connection.sendall(f"GET {target} HTTP/1.1\r\n\r\n".encode())
            status, _, body = read_http(connection.makefile("rb"))
            return status, body.decode()

    def test_without_a_listener_for_balancers(self) -> None:
        self.check_answers("")


if __name__ == "__main__":
    unittest.main()
