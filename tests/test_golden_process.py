"""What a running daemon shows to operators and their scripts, against the files in tests/golden/process.

A key that went, came or changed its type fails. Running figures are told by their type, texts and booleans
that are the same every time by their value.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from golden_compare import compare_json, json_shape
from player import ROOT, WAIT_TIMEOUT_S, Daemon, config, member
from standins import Barrier, FaktoryClient, FaktoryWorker, HttpWorkers, read_http

FRONTS = ("health", "agent_check", "feedback", "grpc", "faktory")
JOBS = (  # of the platform's front: class, id, the text by which its worker acts, budget, status
    ("status-read", "r1", "done", 60000, 200),
    ("schedule-apply", "s1", "done", 60000, 200),
    ("setpoint-push", "p1", "done", 60000, 200),
    ("schedule-apply", "s2", "failing", 60000, 502),  # its worker is set aside for a while
    ("schedule-apply", "s3", "done", 200, 503),
)


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as found:
        return found.getsockname()[1]


class Running:
    """A daemon with an admin socket and what the tables name, and some jobs of one front behind it."""

    def __init__(
        self, tables: tuple[str, ...], front: str, fill: Callable[[Path], Any] | None = None
    ) -> None:
        self.folder = tempfile.TemporaryDirectory()
        where = Path(self.folder.name)
        self.admin, store = str(where / "admin"), f"127.0.0.1:{free_port()}"
        each = {
            "store": f'member = "m"\ndirectory = "{where}/store"\nlisten = "{store}"\n',
            "zones": f'members = {{ m = "{store}" }}\nregions = {{ west = ["a"] }}\nlease_ms = 10000.0\n',
            "policy": f'directory = "{where}/policy"\n',
            "journal": f'directory = "{where}/journal"\nkeep_days = 36500.0\n',
        }
        (where / "store").mkdir()
        if fill is not None:
            fill(where)
        fronts = f'[admin]\nsocket = "{self.admin}"\n'
        fronts += "".join(f"[{name}]\n{each.get(name) or LISTEN}" for name in tables)
        self.again: list[str] = []  # what a job that was given before was answered
        self.workers = HttpWorkers(1, 1)
        platform = front == "platform"
        about = config([member("w0", self.workers.ports[0])] if platform else [])
        self.daemon = self.workers.daemon = Daemon(
            {**about, "management": "127.0.0.1:0"}, fronts
        ).wait_until_ready()
        if platform:
            self.run_jobs()
        elif front == "faktory":
            self.run_faktory()

    def run_jobs(self) -> None:
        for cls, job, text, budget, status in JOBS:
            with self.daemon.connect("clients") as client:
                client.sendall(
                    f"POST /{cls}/x HTTP/1.1\r\nX-Call-Id: {job}\r\nX-Caller: corrib\r\n"
                    f"X-Budget-Ms: {budget}\r\nContent-Length: {len(text)}\r\n\r\n{text}".encode()
                )
                first = read_http(client.makefile("rb"))[0]
            assert first.split(" ")[1] == str(status), (job, first)

    def run_faktory(self) -> None:
        """One job ends well, one does not; a job that was given before is REPEATED, as one of the store or as
        one that the journal knows."""
        FaktoryWorker(self.daemon, "f0", 1, ["schedule-apply"], Barrier(0))
        pushed = FaktoryClient(self.daemon)
        pushed.socket.settimeout(WAIT_TIMEOUT_S)
        for text, reply in (("done", "+OK"), ("failing", "-ERR failed")):
            given = {"jid": f"job-{text}", "jobtype": "schedule-apply", "queue": "schedule-apply"}
            given |= {"args": [text], "custom": {"answer": "outcome"}}
            assert pushed.ask("PUSH", json.dumps(given)) == reply
            self.again.append(pushed.ask("PUSH", json.dumps(given)))
        pushed.close()

    def until_ready(self) -> None:
        """A worker that failed was set aside, and comes back."""
        with self.daemon.kill_on_timeout():
            while self.ask(do="status")["state"] != "ready":
                time.sleep(0.02)

    def get(self, front: str, target: str) -> tuple[str, dict[str, str], str]:
        with self.daemon.connect(front) as asked:
            asked.sendall(
                f"GET {target} HTTP/1.1\r\nConnection: close\r\nAccept: application/health+json\r\n"
                "\r\n".encode()
            )
            first, headers, body = read_http(asked.makefile("rb"))
        return first, headers, body.decode()

    def page(self, target: str) -> tuple[str, list[str]]:
        """A page of the journal, on the admin socket: the first line of its head, and its own lines."""
        with socket.socket(socket.AF_UNIX) as asked:
            asked.settimeout(WAIT_TIMEOUT_S)
            asked.connect(self.admin)
            asked.sendall(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            head, _, body = asked.makefile("rb").read().decode().partition("\r\n\r\n")
        return head, body.splitlines()

    def ask(self, **what) -> dict:
        with socket.socket(socket.AF_UNIX) as asked:
            asked.settimeout(WAIT_TIMEOUT_S)
            asked.connect(self.admin)
            asked.sendall(json.dumps(what).encode() + b"\n")
            return json.loads(asked.makefile("rb").readline())

    def command(self, *arguments: str) -> str:
        done = subprocess.run(
            [sys.executable, "-m", "spanwing", *arguments],
            cwd=ROOT,
            text=True,
            capture_output=True,
            timeout=WAIT_TIMEOUT_S,
            env={"PATH": os.environ["PATH"], "SPANWING_ADMIN": self.admin},
        )
        assert done.returncode == 0, done.stderr
        return done.stdout

    def until_counters(self) -> dict:
        """What SIGUSR1 has it print."""
        self.daemon.process.send_signal(signal.SIGUSR1)
        with self.daemon.kill_on_timeout():
            return self.printed()

    def printed(self) -> dict:
        word, _, told = self.daemon.process.stdout.readline().partition(" ")
        assert word == "counters"
        return json.loads(told)

    def close(self) -> None:
        self.daemon.close()
        self.workers.close()
        self.folder.cleanup()


LISTEN = 'listen = "127.0.0.1:0"\n'
# A busy machine changes no state, and no rise of the weight is waited for.
STEADY = "[balancers]\nnotice_ms = 0.0\nslow_start_ms = 1.0\nshort_ms = 3600000.0\nease_ms = 0.0\n"


def shown_of(running: Running, tables: tuple[str, ...]) -> dict:
    """All that can be asked for, in the form that the files keep."""
    shown: dict = {"given again": running.again}
    running.until_ready()
    health = "health" in tables
    for front in ("clients", *(("health",) if health else ())):
        shown[f"{front} /counters"] = json_shape(json.loads(running.get(front, "/counters")[2]))
    for target in ("/health", "/health/schedule-apply", "/health/nothing", "/live") if health else ():
        first, headers, body = running.get("health", target)
        told = json_shape(json.loads(body)) if headers.get("content-type", "").endswith("json") else body
        shown[f"health {target}"] = [first, sorted(headers), told]
    for target in ("/healthcheck", "/stats", "/nothing"):
        first, headers, body = running.get("management", target)
        shown[f"management {target}"] = [
            first,
            sorted(headers),
            [line.partition("=")[0] for line in body.splitlines()],
        ]
    for do in (
        "status",
        "undrain",
        "weight",
        "zones",
        "zones_history",
        "policy",
        "policy_history",
        "policy_text",
        "policy_check",
        "policy_order",
        "zones_order",
        "nothing",
    ):
        more = {"percent": 100.0} if do == "weight" else {}
        shown[f"admin {do}"] = json_shape(running.ask(do=do, **more))
    shown["admin weight, no percent"] = json_shape(running.ask(do="weight"))
    shown["status --json"] = json_shape(json.loads(running.command("status", "--json")))
    for name in ("zones", "policy"):
        if name in tables:
            line = ("zones", "--json") if name == "zones" else ("policy", "status", "--json")
            shown[" ".join(line)] = json_shape(json.loads(running.command(*line)))
            shown[f"{name} history --json"] = json_shape(
                json.loads(running.command(name, "history", "--json"))
            )
    for target in (
        "list",
        "show/s1",
        "show/job-done",
        "show/none",
        "query?q=worker%20%3D%20w0",
        "query?q=x",
        "tail?n=2",
        "export",
        "export?format=csv",
        "verify",
        "stats",
        "nothing",
    ):
        head, lines = running.page(f"/journal/{target}")
        told = [json_shape(json.loads(line)) if line.startswith("{") else line for line in lines]
        if target.endswith("csv"):
            told = lines[:1]
        shown[f"admin GET /journal/{target}"] = [
            head.split("\r\n"),
            [each for place, each in enumerate(told) if each not in told[:place]],
        ]
    shown["SIGUSR1"] = json_shape(running.until_counters())
    running.daemon.process.send_signal(signal.SIGTERM)
    with running.daemon.kill_on_timeout():
        shown["SIGTERM"] = json_shape(running.printed())
    shown["exit"] = running.daemon.wait()[0]
    return shown


@pytest.mark.parametrize(
    ("name", "tables", "front"),
    [
        ("bare", (), "platform"),
        ("journal", (*FRONTS, "journal"), "platform"),
        ("faktory", FRONTS, "faktory"),
        ("whole", (*FRONTS, "journal", "store", "zones", "policy"), "faktory"),
    ],
)
def test_a_daemon_shows_the_same_keys(name: str, tables: tuple[str, ...], front: str) -> None:
    running = Running(tables, front)
    try:
        compare_json(f"process/{name}.json", shown_of(running, tables))
    finally:
        running.close()
