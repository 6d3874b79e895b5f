"""Tests of the command line, run as a process of its own, against a running daemon."""

from __future__ import annotations

import json
import os
import socket
import stat
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from player import ROOT, WAIT_TIMEOUT_S, Daemon, config, member


def spanwing(*arguments: str, **environment: str) -> subprocess.CompletedProcess:
    """Runs `python -m spanwing` with only PATH and these variables in its environment."""
    return subprocess.run(
        [sys.executable, "-m", "spanwing", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=WAIT_TIMEOUT_S * 2,
        env={"PATH": os.environ["PATH"], **environment},
    )


class CommandTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.socket = str(self.folder / "admin")
        worker = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(worker.close)
        self.members = [member("w1", worker.getsockname()[1])]

    def start_daemon(self, more_tables: str = "") -> Daemon:
        operator_file = (
            f'[admin]\nsocket = "{self.socket}"\n[agent_check]\nlisten = "127.0.0.1:0"\n'
            f"[balancers]\nnotice_ms = 200\n{more_tables}"
        )
        daemon = Daemon(config(self.members), operator_file).wait_until_ready()
        self.addCleanup(daemon.close)
        return daemon

    def read_agent_check(self, daemon: Daemon) -> str:
        with daemon.connect("agent_check") as connection:
            return connection.makefile().readline().strip()

    def run_command(self, *arguments: str, status: int = 0) -> str:
        process = spanwing(*arguments, SPANWING_ADMIN=self.socket)
        self.assertEqual(process.returncode, status, process.stderr)
        self.assertNotIn("Traceback", process.stderr)
        return process.stdout + process.stderr

    def http_get(self, target: str) -> tuple[int, str]:
        """Sends a GET request to the admin socket; returns the status and the body."""
        with socket.socket(socket.AF_UNIX) as connection:
            connection.settimeout(WAIT_TIMEOUT_S)
            connection.connect(self.socket)
            connection.sendall(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            head, _, body = connection.makefile("rb").read().decode().partition("\r\n\r\n")
        return int(head.split()[1]), body

    def test_journal_is_readable_while_the_daemon_runs_and_after_it_is_killed(self) -> None:
        folder = self.folder / "journal"
        daemon = self.start_daemon(f'[journal]\ndirectory = "{folder}"\n')
        with daemon.connect("clients") as client:  # the worker accepts the connection and never answers
            client.sendall(
                b"POST /schedule-apply/x HTTP/1.1\r\nX-Call-Id: job-1\r\nX-Caller: corrib\r\n"
                b"X-Budget-Ms: 300\r\nContent-Length: 0\r\n\r\n"
            )
            self.assertIn(b" 502 ", client.recv(4096))
        for _ in range(2):
            attempt = json.loads(
                self.run_command("journal", "show", "job-1", "--json", "--directory", str(folder))
            )
            self.assertEqual(
                (attempt["state"], attempt["worker"], attempt["given_up"], attempt["answer"]),
                ("sent", "w1", attempt["given_up"], "failed"),
            )
            self.assertIn(attempt["given_up"], ("timeout", "cancelled"))
            query_output = self.run_command(
                "journal", "query", "tenant = corrib and worker in (w1, w2)", "--directory", str(folder)
            )
            self.assertIn("schedule-apply  job-1", query_output)
            self.run_command("journal", "verify", "--directory", str(folder))
            if daemon.process.poll() is None:
                self.assertEqual(json.loads(self.http_get("/journal/show/job-1")[1]), attempt)
                self.assertEqual(self.http_get("/journal/query?q=worker%20%3D%20w1")[0], 200)
                self.assertEqual(self.http_get("/journal/show/job-2")[0], 404)
                status, table = self.http_get("/journal/export?format=csv")
                self.assertEqual((status, table.splitlines()[0][:8]), (200, "request,"))
                self.assertIn("job-1", table)
                status, message = self.http_get("/journal/query?q=worker%20%3D%3D")
                self.assertEqual((status, "column" in message), (400, True), message)
                self.assertEqual(
                    [self.http_get(each)[0] for each in ("/journal/x", "/", "/journal/tail?n=-1")],
                    [404, 404, 404],
                )
                self.assertIn("journal.records", self.run_command("status", "--json"))
            daemon.process.kill()
            daemon.process.wait()

    def test_drain_undrain_weight_and_status(self) -> None:
        daemon = self.start_daemon()
        self.assertEqual(stat.S_IMODE(os.stat(self.socket).st_mode), 0o600)
        self.assertIn("drained", self.run_command("drain", "--within", "10"))
        self.assertEqual(self.read_agent_check(daemon), "stopped#drained; nothing is owed")
        self.run_command("status", "--exit-code", status=1)
        self.run_command("undrain")
        self.assertRegex(self.read_agent_check(daemon), r"ready up \d+%")
        reply = json.loads(self.run_command("status", "--json"))
        self.assertEqual((reply["state"], reply["owed"]), ("weighted", 0))
        self.assertIn("class:setpoint-push", reply["checks"])
        self.assertIn("weight 0%", self.run_command("weight", "0"))
        self.assertEqual(self.read_agent_check(daemon), "ready up 0%")
        self.assertIn("refused:", self.run_command("drain", "--member", "z", status=1))
        daemon.process.terminate()
        self.assertEqual(daemon.wait()[0], 0)
        self.assertFalse(os.path.exists(self.socket))

    def test_drain_that_does_not_end_in_time_exits_with_4(self) -> None:
        daemon = self.start_daemon()
        with daemon.connect("clients") as client:
            client.sendall(b"POST /schedule-apply HTTP/1.1\r\nX-Call-Id: job-1\r\nContent-Length: 0\r\n\r\n")
            while json.loads(self.run_command("status", "--json"))["owed"] == 0:
                pass
            self.assertIn("not drained within 0.5 s", self.run_command("drain", "--within", "0.5", status=4))

    def test_admin_socket_of_a_killed_daemon_is_replaced_but_not_of_a_running_one(self) -> None:
        first = self.start_daemon()
        second = Daemon(config(self.members), f'[admin]\nsocket = "{self.socket}"\n')
        self.addCleanup(second.close)
        self.assertEqual(second.wait()[0], 2)
        self.assertIn("admin.socket: cannot listen", second.stderr_text())
        first.process.kill()
        first.process.wait()
        self.run_command("status", status=3)
        self.start_daemon()
        self.run_command("status")

    def test_wrong_usage_and_unreachable_daemon_have_their_exit_statuses(self) -> None:
        self.assertEqual(spanwing("weight", "101").returncode, 2)
        self.assertEqual(spanwing("no-such").returncode, 2)
        self.assertEqual(spanwing("--help").returncode, 0)
        process = spanwing("status", "--socket", str(self.folder / "none"))
        self.assertEqual((process.returncode, process.stdout), (3, ""))

    def test_check_reports_every_fault_with_a_remedy(self) -> None:
        (self.folder / "f.toml").write_text(
            '[balancers]\nfloor = 300\nbogus = 1\n[health]\nlisten = "x"\n'
            '[admin]\nsocket = "rel"\n[log]\nform = "xml"\n'
        )
        invalid = config(self.members, discovery="nowhere", balancers=0, tick_ms=-1)
        invalid["limits"] = {"sockets": 3, "memory_mb": "much"}
        (self.folder / "c.json").write_text(json.dumps(invalid))
        process = spanwing("check", str(self.folder / "c.json"), "--fronts", str(self.folder / "f.toml"))
        self.assertEqual(process.returncode, 1)
        for name in (
            "balancers.floor",
            "balancers.bogus",
            "health.listen",
            "admin.socket",
            "log.form",
            "limits.memory_mb",
            "limits.sockets",
            "ROUTER_DISCOVERY",
            "settings.balancers",
            "settings.tick_ms",
        ):
            self.assertRegex(process.stderr, rf"(?m)^{name}: .+\n    to mend it: .+$")
        self.assertIn("10 faults", process.stderr)
        (self.folder / "good.json").write_text(json.dumps(config(self.members)))
        self.assertEqual(spanwing("check", str(self.folder / "good.json")).returncode, 0)
        self.assertEqual(spanwing("check", str(ROOT / "deploy" / "fronts.toml")).returncode, 0)

    def test_daemon_module_loads_no_optional_package(self) -> None:
        code = (
            "import sys; import spanwing.daemon; "
            "print([name for name in ('click', 'h2', 'structlog', 'google_crc32c', "
            "'spanwing.frontends.balancers.service', 'spanwing.schema_validation') if name in sys.modules])"
        )
        process = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True)
        self.assertEqual(process.stdout.strip(), "[]")


if __name__ == "__main__":
    unittest.main()
