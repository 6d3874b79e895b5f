"""Compares what a running daemon shows to operators and scripts with the files in tests/golden/process.

A key that is removed, added or changes its type fails the test. Numbers that vary are compared by type; texts
and booleans that are equal in every run by value.
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
JOBS = (  # on the HTTP front end: class, id, text that the worker acts on, budget in ms, expected status
    ("status-read", "r1", "done", 60000, 200),
    ("schedule-apply", "s1", "done", 60000, 200),
    ("setpoint-push", "p1", "done", 60000, 200),
    ("schedule-apply", "s2", "failing", 60000, 502),  # the failure ejects its worker for a while
    ("schedule-apply", "s3", "done", 200, 503),
)


def free_port() -> int:
    """Returns a port that was free a moment ago."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return listener.getsockname()[1]


class RunningDaemon:
    """A daemon with an admin socket and the given tables, after some jobs over one front end.

    `front` is "platform" for HTTP jobs, "faktory" for Faktory jobs; any other value runs no job. `fill` may
    write files into the folder of the daemon before its start.
    """

    def __init__(
        self, tables: tuple[str, ...], front: str, fill: Callable[[Path], Any] | None = None
    ) -> None:
        self.folder = tempfile.TemporaryDirectory()
        folder = Path(self.folder.name)
        self.admin_path, store = str(folder / "admin"), f"127.0.0.1:{free_port()}"
        text_by_table = {
            "store": f'member = "m"\ndirectory = "{folder}/store"\nlisten = "{store}"\n',
            "zones": f'members = {{ m = "{store}" }}\nregions = {{ west = ["a"] }}\nlease_ms = 10000.0\n',
            "policy": f'directory = "{folder}/policy"\n',
            "journal": f'directory = "{folder}/journal"\nkeep_days = 36500.0\n',
        }
        (folder / "store").mkdir()
        if fill is not None:
            fill(folder)
        fronts = f'[admin]\nsocket = "{self.admin_path}"\n'
        fronts += "".join(f"[{name}]\n{text_by_table.get(name) or LISTEN_ON_ANY_PORT}" for name in tables)
        self.repeated_replies: list[str] = []  # replies to jobs that were pushed a second time
        self.workers = HttpWorkers(1, 1)
        is_http = front == "platform"
        daemon_config = config([member("w0", self.workers.ports[0])] if is_http else [])
        self.daemon = self.workers.daemon = Daemon(
            {**daemon_config, "management": "127.0.0.1:0"}, fronts
        ).wait_until_ready()
        if is_http:
            self.run_jobs()
        elif front == "faktory":
            self.run_faktory()

    def run_jobs(self) -> None:
        """Sends each of JOBS and checks the status of its answer."""
        for cls, job, text, budget, status in JOBS:
            with self.daemon.connect("clients") as client:
                client.sendall(
                    f"POST /{cls}/x HTTP/1.1\r\nX-Call-Id: {job}\r\nX-Caller: corrib\r\n"
                    f"X-Budget-Ms: {budget}\r\nContent-Length: {len(text)}\r\n\r\n{text}".encode()
                )
                status_line = read_http(client.makefile("rb"))[0]
            assert status_line.split(" ")[1] == str(status), (job, status_line)

    def run_faktory(self) -> None:
        """Runs a job that succeeds and one that fails, and pushes each a second time.

        The second reply comes from the store or from the journal, if the daemon has one.
        """
        FaktoryWorker(self.daemon, "f0", 1, ["schedule-apply"], Barrier(0))
        client = FaktoryClient(self.daemon)
        client.socket.settimeout(WAIT_TIMEOUT_S)
        for text, reply in (("done", "+OK"), ("failing", "-ERR failed")):
            payload = {"jid": f"job-{text}", "jobtype": "schedule-apply", "queue": "schedule-apply"}
            payload |= {"args": [text], "custom": {"answer": "outcome"}}
            assert client.ask("PUSH", json.dumps(payload)) == reply
            self.repeated_replies.append(client.ask("PUSH", json.dumps(payload)))
        client.close()

    def until_ready(self) -> None:
        """Waits until the daemon is ready again, after the ejection of a failed worker ends."""
        with self.daemon.kill_on_timeout():
            while self.ask(do="status")["state"] != "ready":
                time.sleep(0.02)

    def get(self, front: str, target: str) -> tuple[str, dict[str, str], str]:
        """Returns the status line, the headers and the body of a GET request to a front end."""
        with self.daemon.connect(front) as connection:
            connection.sendall(
                f"GET {target} HTTP/1.1\r\nConnection: close\r\nAccept: application/health+json\r\n"
                "\r\n".encode()
            )
            status_line, headers, body = read_http(connection.makefile("rb"))
        return status_line, headers, body.decode()

    def page(self, target: str) -> tuple[str, list[str]]:
        """Returns the head and the lines of a journal page on the admin socket."""
        with socket.socket(socket.AF_UNIX) as connection:
            connection.settimeout(WAIT_TIMEOUT_S)
            connection.connect(self.admin_path)
            connection.sendall(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            head, _, body = connection.makefile("rb").read().decode().partition("\r\n\r\n")
        return head, body.splitlines()

    def ask(self, **command) -> dict:
        """Sends a command over the admin socket and returns its reply."""
        with socket.socket(socket.AF_UNIX) as connection:
            connection.settimeout(WAIT_TIMEOUT_S)
            connection.connect(self.admin_path)
            connection.sendall(json.dumps(command).encode() + b"\n")
            return json.loads(connection.makefile("rb").readline())

    def command(self, *arguments: str) -> str:
        """Runs a command of the command line, which must succeed; returns its standard output."""
        result = subprocess.run(
            [sys.executable, "-m", "spanwing", *arguments],
            cwd=ROOT,
            text=True,
            capture_output=True,
            timeout=WAIT_TIMEOUT_S,
            env={"PATH": os.environ["PATH"], "SPANWING_ADMIN": self.admin_path},
        )
        assert result.returncode == 0, result.stderr
        return result.stdout

    def request_counters(self) -> dict:
        """Sends SIGUSR1 and returns the counters that the daemon prints."""
        self.daemon.process.send_signal(signal.SIGUSR1)
        with self.daemon.kill_on_timeout():
            return self.read_counters()

    def read_counters(self) -> dict:
        """Returns the counters in the next line of standard output."""
        word, _, text = self.daemon.process.stdout.readline().partition(" ")
        assert word == "counters"
        return json.loads(text)

    def close(self) -> None:
        self.daemon.close()
        self.workers.close()
        self.folder.cleanup()


LISTEN_ON_ANY_PORT = 'listen = "127.0.0.1:0"\n'
# Settings under which a busy machine changes no state, and the weight rises at once.
STEADY_BALANCERS = "[balancers]\nnotice_ms = 0.0\nslow_start_ms = 1.0\nshort_ms = 3600000.0\nease_ms = 0.0\n"


def collect_output(running: RunningDaemon, tables: tuple[str, ...]) -> dict:
    """Returns the shape of everything that the daemon shows, by its source."""
    output: dict = {"given again": running.repeated_replies}
    running.until_ready()
    has_health = "health" in tables
    for front in ("clients", *(("health",) if has_health else ())):
        output[f"{front} /counters"] = json_shape(json.loads(running.get(front, "/counters")[2]))
    for target in ("/health", "/health/schedule-apply", "/health/nothing", "/live") if has_health else ():
        status_line, headers, body = running.get("health", target)
        shapes = json_shape(json.loads(body)) if headers.get("content-type", "").endswith("json") else body
        output[f"health {target}"] = [status_line, sorted(headers), shapes]
    for target in ("/healthcheck", "/stats", "/nothing"):
        status_line, headers, body = running.get("management", target)
        output[f"management {target}"] = [
            status_line,
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
        arguments = {"percent": 100.0} if do == "weight" else {}
        output[f"admin {do}"] = json_shape(running.ask(do=do, **arguments))
    output["admin weight, no percent"] = json_shape(running.ask(do="weight"))
    output["status --json"] = json_shape(json.loads(running.command("status", "--json")))
    for name in ("zones", "policy"):
        if name in tables:
            command = ("zones", "--json") if name == "zones" else ("policy", "status", "--json")
            output[" ".join(command)] = json_shape(json.loads(running.command(*command)))
            output[f"{name} history --json"] = json_shape(
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
        shapes = [json_shape(json.loads(line)) if line.startswith("{") else line for line in lines]
        if target.endswith("csv"):
            shapes = lines[:1]
        output[f"admin GET /journal/{target}"] = [
            head.split("\r\n"),
            [each for place, each in enumerate(shapes) if each not in shapes[:place]],
        ]
    output["SIGUSR1"] = json_shape(running.request_counters())
    running.daemon.process.send_signal(signal.SIGTERM)
    with running.daemon.kill_on_timeout():
        output["SIGTERM"] = json_shape(running.read_counters())
    output["exit"] = running.daemon.wait()[0]
    return output


@pytest.mark.parametrize(
    ("name", "tables", "front"),
    [
        ("bare", (), "platform"),
        ("journal", (*FRONTS, "journal"), "platform"),
        ("faktory", FRONTS, "faktory"),
        ("whole", (*FRONTS, "journal", "store", "zones", "policy"), "faktory"),
    ],
)
def test_daemon_shows_the_same_keys(name: str, tables: tuple[str, ...], front: str) -> None:
    running = RunningDaemon(tables, front)
    try:
        compare_json(f"process/{name}.json", collect_output(running, tables))
    finally:
        running.close()
