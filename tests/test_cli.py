"""The command line as its users call it, against a started daemon."""

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

from player import PATIENCE_S, ROOT, Daemon, config, member


def spanwing(*arguments: str, **environment: str) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-m", "spanwing", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=PATIENCE_S * 2,
        env={"PATH": os.environ["PATH"], **environment},
    )


class Commands(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.socket = str(self.folder / "admin")
        worker = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(worker.close)
        self.members = [member("w1", worker.getsockname()[1])]

    def daemon(self, more: str = "") -> Daemon:
        fronts = (
            f'[admin]\nsocket = "{self.socket}"\n[agent_check]\nlisten = "127.0.0.1:0"\n'
            f"[balancers]\nnotice_ms = 200\n{more}"
        )
        started = Daemon(config(self.members), fronts).ready()
        self.addCleanup(started.close)
        return started

    def agent(self, daemon: Daemon) -> str:
        with daemon.connect("agent_check") as asked:
            return asked.makefile().readline().strip()

    def run_command(self, *arguments: str, status: int = 0) -> str:
        done = spanwing(*arguments, SPANWING_ADMIN=self.socket)
        self.assertEqual(done.returncode, status, done.stderr)
        self.assertNotIn("Traceback", done.stderr)
        return done.stdout + done.stderr

    def get(self, target: str) -> tuple[int, str]:
        with socket.socket(socket.AF_UNIX) as asked:
            asked.settimeout(PATIENCE_S)
            asked.connect(self.socket)
            asked.sendall(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            head, _, body = asked.makefile("rb").read().decode().partition("\r\n\r\n")
        return int(head.split()[1]), body

    def test_the_journal_of_a_living_daemon_and_of_a_dead_one(self) -> None:
        folder = self.folder / "journal"
        daemon = self.daemon(f'[journal]\ndirectory = "{folder}"\n')
        with daemon.connect("clients") as client:  # its job worker takes the connection and says nothing
            client.sendall(
                b"POST /schedule-apply/x HTTP/1.1\r\nX-Call-Id: job-1\r\nX-Caller: corrib\r\n"
                b"X-Budget-Ms: 300\r\nContent-Length: 0\r\n\r\n"
            )
            self.assertIn(b" 502 ", client.recv(4096))
        for _ in range(2):
            shown = json.loads(
                self.run_command("journal", "show", "job-1", "--json", "--directory", str(folder))
            )
            self.assertEqual(
                (shown["state"], shown["worker"], shown["given_up"], shown["answer"]),
                ("sent", "w1", shown["given_up"], "failed"),
            )
            self.assertIn(shown["given_up"], ("timeout", "cancelled"))
            found = self.run_command(
                "journal", "query", "tenant = corrib and worker in (w1, w2)", "--directory", str(folder)
            )
            self.assertIn("schedule-apply  job-1", found)
            self.run_command("journal", "verify", "--directory", str(folder))
            if daemon.process.poll() is None:
                self.assertEqual(json.loads(self.get("/journal/show/job-1")[1]), shown)
                self.assertEqual(self.get("/journal/query?q=worker%20%3D%20w1")[0], 200)
                self.assertEqual(self.get("/journal/show/job-2")[0], 404)
                status, table = self.get("/journal/export?format=csv")
                self.assertEqual((status, table.splitlines()[0][:8]), (200, "request,"))
                self.assertIn("job-1", table)
                status, fault = self.get("/journal/query?q=worker%20%3D%3D")
                self.assertEqual((status, "column" in fault), (400, True), fault)
                self.assertEqual(
                    [self.get(each)[0] for each in ("/journal/x", "/", "/journal/tail?n=-1")], [404, 404, 404]
                )
                self.assertIn("journal.records", self.run_command("status", "--json"))
            daemon.process.kill()
            daemon.process.wait()

    def test_drain_undrain_weight_and_status(self) -> None:
        daemon = self.daemon()
        self.assertEqual(stat.S_IMODE(os.stat(self.socket).st_mode), 0o600)
        self.assertIn("drained", self.run_command("drain", "--within", "10"))
        self.assertEqual(self.agent(daemon), "stopped#drained; nothing is owed")
        self.run_command("status", "--exit-code", status=1)
        self.run_command("undrain")
        self.assertRegex(self.agent(daemon), r"ready up \d+%")
        shown = json.loads(self.run_command("status", "--json"))
        self.assertEqual((shown["state"], shown["owed"]), ("weighted", 0))
        self.assertIn("class:setpoint-push", shown["checks"])
        self.assertIn("weight 0%", self.run_command("weight", "0"))
        self.assertEqual(self.agent(daemon), "ready up 0%")
        self.assertIn("refused:", self.run_command("drain", "--member", "z", status=1))
        daemon.process.terminate()
        self.assertEqual(daemon.wait()[0], 0)
        self.assertFalse(os.path.exists(self.socket))

    def test_a_drain_that_cannot_end_in_time_says_so(self) -> None:
        daemon = self.daemon()
        with daemon.connect("clients") as client:
            client.sendall(b"POST /schedule-apply HTTP/1.1\r\nX-Call-Id: job-1\r\nContent-Length: 0\r\n\r\n")
            while json.loads(self.run_command("status", "--json"))["owed"] == 0:
                pass
            self.assertIn("not drained within 0.5 s", self.run_command("drain", "--within", "0.5", status=4))

    def test_a_socket_of_a_dead_daemon_is_replaced_and_of_a_living_one_not(self) -> None:
        first = self.daemon()
        second = Daemon(config(self.members), f'[admin]\nsocket = "{self.socket}"\n')
        self.addCleanup(second.close)
        self.assertEqual(second.wait()[0], 2)
        self.assertIn("admin.socket: cannot listen", second.stderr_text())
        first.process.kill()
        first.process.wait()
        self.run_command("status", status=3)
        self.daemon()
        self.run_command("status")

    def test_usage_and_faults_have_their_exit_statuses(self) -> None:
        self.assertEqual(spanwing("weight", "101").returncode, 2)
        self.assertEqual(spanwing("no-such").returncode, 2)
        self.assertEqual(spanwing("--help").returncode, 0)
        nobody = spanwing("status", "--socket", str(self.folder / "none"))
        self.assertEqual((nobody.returncode, nobody.stdout), (3, ""))

    def test_check_names_everything_and_how_to_mend_it(self) -> None:
        (self.folder / "f.toml").write_text(
            '[balancers]\nfloor = 300\nbogus = 1\n[health]\nlisten = "x"\n'
            '[admin]\nsocket = "rel"\n[log]\nform = "xml"\n'
        )
        bad = config(self.members, discovery="nowhere", balancers=0, tick_ms=-1)
        bad["limits"] = {"sockets": 3, "memory_mb": "much"}
        (self.folder / "c.json").write_text(json.dumps(bad))
        done = spanwing("check", str(self.folder / "c.json"), "--fronts", str(self.folder / "f.toml"))
        self.assertEqual(done.returncode, 1)
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
            self.assertRegex(done.stderr, rf"(?m)^{name}: .+\n    to mend it: .+$")
        self.assertIn("10 faults", done.stderr)
        (self.folder / "good.json").write_text(json.dumps(config(self.members)))
        self.assertEqual(spanwing("check", str(self.folder / "good.json")).returncode, 0)
        self.assertEqual(spanwing("check", str(ROOT / "deploy" / "fronts.toml")).returncode, 0)

    def test_bare_is_the_daemon_without_any_of_this(self) -> None:
        code = (
            "import sys; import spanwing.daemon; "
            "print([m for m in ('click', 'h2', 'structlog', 'google_crc32c', "
            "'spanwing.frontends.balancers.service', 'spanwing.everyfault') if m in sys.modules])"
        )
        done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True)
        self.assertEqual(done.stdout.strip(), "[]")


if __name__ == "__main__":
    unittest.main()
