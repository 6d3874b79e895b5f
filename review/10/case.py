"""A job worker hangs with a job: pushed again after its refusal, the job is answered +OK and never runs."""

from __future__ import annotations

import json
import socket
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

from parts import (  # noqa: E402 - found by the line above
    TROUBLE,
    CannotRunError,
    Daemon,
    Discovery,
    FaktoryClient,
    Record,
    exchange,
    free_ports,
    response,
    run_test,
    serve_http,
    settings,
    wait_until,
)

CLASSES = [{"name": "status-read", "aim_ms": 5000.0, "deadline_ms": 5000.0, "idempotency": "safe"}]
JID = "read-0001"
WORKERS = 6  # one that hangs is 17% of them
HANG_AFTER_S, HANG_S = 0.3, 9.0
FIRST_RUN_S, LATER_RUN_S = 4.0, 0.3  # the first run takes longer than its client waits
FIRST_BUDGET_MS, SECOND_BUDGET_MS = 2000, 4000


class HttpWorkers:
    """HTTP job workers; the one that gets the first job hangs, if there is a disruption."""

    def __init__(self, record: Record, count: int, callbacks: int) -> None:
        self.record, self.callbacks = record, callbacks
        self.runs: list[str] = []
        self.hangs: dict[str, threading.Event] = {}
        self.members = [(f"s-{number}", self.listen(f"s-{number}"), "a") for number in range(count)]

    def listen(self, name: str) -> int:
        """Opens the listener of one worker and returns its port."""
        listener = socket.create_server(("127.0.0.1", 0))
        serve_http(listener, lambda *message: self.handle(name, *message))
        return listener.getsockname()[1]

    def wait_while_hanging(self, name: str) -> None:
        """Returns at once, or when the worker hangs no more."""
        if name in self.hangs:
            self.hangs[name].wait()

    def handle(self, name: str, method: str, target: str, headers: dict, body: bytes) -> bytes:
        """Answers one request, late if the worker hangs."""
        self.wait_while_hanging(name)
        self.record.write(f"{name}: {method} {target}")
        if method == "POST":
            self.runs.append(headers["x-call-id"])
            is_first = len(self.runs) == 1
            run_s = FIRST_RUN_S if is_first else LATER_RUN_S
            threading.Thread(target=self.run, args=(name, headers["x-call-id"], run_s), daemon=True).start()
            if is_first and TROUBLE:
                threading.Timer(HANG_AFTER_S, self.hang, (name,)).start()
            return response(202)
        return response(200)

    def hang(self, name: str) -> None:
        """Makes the worker hang for HANG_S."""
        self.record.write(f"{name}: hangs")
        self.hangs[name] = threading.Event()
        threading.Timer(HANG_S, self.hangs[name].set).start()

    def run(self, name: str, job: str, run_s: float) -> None:
        """Runs a job and reports that it is done."""
        time.sleep(run_s)
        self.wait_while_hanging(name)
        event = json.dumps({"id": job, "from": name, "state": "done", "result": "read"})
        status, _ = exchange(self.callbacks, "POST", "/v1/job-events", {}, event)
        self.record.write(f"{name}: told that {job} is done, answered {status}")


def test(record: Record, temporary: Path, daemons: list[Daemon]) -> str:
    """Returns the fault, or an empty text."""
    faktory, clients = free_ports(2)
    workers = HttpWorkers(record, WORKERS, clients)
    roster = Discovery(record, workers.members)
    config = {
        "listen": f"127.0.0.1:{clients}",
        "discovery": f"127.0.0.1:{roster.port}",
        "settings": settings(CLASSES),
    }
    daemons.append(Daemon(record, "n1", config, f'[faktory]\nlisten = "127.0.0.1:{faktory}"\n', temporary))
    daemons[0].start()
    wait_until(lambda: exchange(clients, "GET", "/up")[0] == 200, 20, "the scheduler is up")
    client = FaktoryClient(record, "client", faktory)
    if client.push(JID, "status-read", budget_ms=FIRST_BUDGET_MS) != "+OK":
        raise CannotRunError("the first PUSH was not taken")
    wait_until(lambda: client.state(JID) != "enqueued", 10, "the job has an outcome")
    refused = client.ask("TRACK", f"GET {JID}")
    if json.loads(refused)["state"] != "dead":
        raise CannotRunError(f"the job was not refused, but is {refused}")
    time.sleep(0.1)
    end = time.monotonic() + 10.0
    while (reply := client.push(JID, "status-read", budget_ms=SECOND_BUDGET_MS)).startswith("-BUSY"):
        if time.monotonic() > end:
            return ""
        time.sleep(0.2)
    if reply != "+OK":
        return ""
    time.sleep(SECOND_BUDGET_MS / 1000.0 + 1.0)
    state = client.ask("TRACK", f"GET {JID}")
    if json.loads(state)["state"] != "enqueued":
        return ""
    return f"the second PUSH was answered +OK, and 1 s after its time the job has no outcome: {state}"


run_test(FOLDER, test)
