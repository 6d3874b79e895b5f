"""Parts of the tests under review/6 to review/10: daemons, clients, job workers and discovery on loopback.

Only the standard library is used. A daemon is started by the `run` command of deploy/balancer.toml. Every
stand-in writes what it sends and gets to the record of the test.
"""

from __future__ import annotations

import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 110  # a test that takes longer cannot run


class CannotRunError(Exception):
    """The test could not reach the point where it can judge."""


class Record:
    """The file record.txt of a test: one line an event, with the seconds since its start."""

    def __init__(self, folder: Path) -> None:
        self.file = open(folder / "record.txt", "w", buffering=1)  # noqa: SIM115 - open until the end
        self.started, self.lock = time.monotonic(), threading.Lock()

    def write(self, text: str) -> None:
        """Writes one event."""
        with self.lock:
            self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")


def free_ports(count: int) -> list[int]:
    """Returns ports on 127.0.0.1 that nobody uses now, below those that the system gives to connections."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(12_000, 30_000)
        with suppress(OSError), socket.create_server(("127.0.0.1", port)):
            ports += [port] if port not in ports else []
    return ports


def wait_until(condition: Callable[[], object], timeout_s: float, what: str) -> object:
    """Returns the first true value of the condition; raises CannotRunError after the time."""
    end = time.monotonic() + timeout_s
    while not (value := condition()):
        if time.monotonic() > end:
            raise CannotRunError(f"not within {timeout_s} s: {what}")
        time.sleep(0.02)
    return value


def settings(classes: list[dict], **more: object) -> dict:
    """Returns the settings object of a small deployment with these classes."""
    return {
        "areas": ["a"],
        "balancers": 1,
        "position": 0,
        "zone": "a",
        "kinds": ["big"],
        "tick_ms": 4.0,
        "classes": classes,
        "permissions": {
            "max_attempts": 3,
            "cancel": True,
            "probes": False,
            "retry_after": True,
            "max_retry_after_ms": 2000.0,
            "conn_idle_ms": 15000.0,
            "connect_timeout_ms": 250.0,
        },
        "rules": {
            "grace_to_answer_ms": 16.0,
            "stop_sending_within_ms": 2000.0,
            "cold_from": 0.3,
            "cold_ms": 8600.0,
            "fall_multiple": 3.0,
            "fall_ms": 3000.0,
        },
        "discovery": "subscribe",
        **more,
    }


class Daemon:
    """One scheduler; start() may be called again after kill() or stop()."""

    def __init__(self, record: Record, name: str, config: dict, fronts: str, temporary: Path) -> None:
        self.record, self.name, self.process = record, name, None
        self.folder = temporary / name
        self.folder.mkdir()
        (self.folder / "tmp").mkdir()
        (self.folder / "config.json").write_text(json.dumps({"name": name, "seed": "2a", **config}))
        (self.folder / "fronts.toml").write_text(fronts)
        self.run_command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]

    def start(self) -> None:
        """Starts the process and does not wait for it."""
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "ROUTER_CONFIG": str(self.folder / "config.json"),
            "SPANWING_FRONTS": str(self.folder / "fronts.toml"),
            "TMPDIR": str(self.folder / "tmp"),
        }
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", self.run_command],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.write(f"{self.name}: started")

    def kill(self) -> None:
        """Ends the process by SIGKILL."""
        self.process.kill()
        self.process.wait()
        self.record.write(f"{self.name}: killed")

    def terminate(self, timeout_s: float) -> None:
        """Ends the process by SIGTERM, and by SIGKILL after the time."""
        self.process.send_signal(signal.SIGTERM)
        self.record.write(f"{self.name}: SIGTERM")
        try:
            self.process.wait(timeout_s)
            self.record.write(f"{self.name}: ended by itself")
        except subprocess.TimeoutExpired:
            self.kill()

    def log_text(self) -> str:
        """Returns what the process has printed."""
        return (self.folder / "log").read_text(errors="replace")


def exchange(
    port: int, method: str, target: str, headers: dict | None = None, body: str = "", timeout_s: float = 10.0
) -> tuple[int, str]:
    """Sends one HTTP request on a connection of its own; returns status and body, status 0 without one."""
    lines = [f"{method} {target} HTTP/1.1", "Host: spanwing", "Connection: close"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    data = "\r\n".join([*lines, f"Content-Length: {len(body.encode())}", "", body]).encode()
    try:
        with socket.create_connection(("127.0.0.1", port), timeout_s) as connection:
            connection.sendall(data)
            with connection.makefile("rb") as file:
                first_line, _, answer = read_http(file)
        return int(first_line.split(" ")[1]), answer.decode(errors="replace")
    except (OSError, IndexError, ValueError):
        return 0, ""


def read_http(file) -> tuple[str, dict[str, str], bytes]:
    """Reads one message with a Content-Length; the first line is empty at the end of the stream."""
    first_line = file.readline().decode("latin-1").strip()
    headers = {}
    while line := file.readline().decode("latin-1").strip():
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return first_line, headers, file.read(int(headers.get("content-length", 0)))


def serve_http(listener: socket.socket, handle: Callable[[str, str, dict, bytes], bytes | None]) -> None:
    """Serves keep-alive connections in threads; handle returns the whole response, or None to say nothing."""

    def serve(connection: socket.socket) -> None:
        with connection, connection.makefile("rb") as file:
            try:
                while True:
                    first_line, headers, body = read_http(file)
                    if not first_line:
                        return
                    method, target, _ = first_line.split(" ")
                    answer = handle(method, target, headers, body)
                    if answer is not None:
                        connection.sendall(answer)
            except (OSError, ValueError):
                return

    def accept() -> None:
        while True:
            try:
                connection = listener.accept()[0]
            except OSError:
                return
            threading.Thread(target=serve, args=(connection,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()


def response(status: int, body: str = "") -> bytes:
    """Returns an HTTP response."""
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body.encode())}\r\n\r\n{body}".encode()


class Discovery:
    """Discovery with a list that never changes; each call is answered `delay_s` late.

    `members` holds the names, ports and zones of the job workers.
    """

    def __init__(self, record: Record, members: list[tuple[str, int, str]], delay_s: float = 0.0) -> None:
        self.record, self.delay_s = record, delay_s
        self.members = [
            {
                "id": name,
                "host_port": f"127.0.0.1:{port}",
                "locality": zone,
                "flavor": "big",
                "cell": 0,
                "phase": "active",
                "size": 1.0,
                "up_since_ms": 0,
            }
            for name, port, zone in members
        ]
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        serve_http(self.listener, self.handle)

    def handle(self, method: str, target: str, headers: dict, body: bytes) -> bytes:
        """Answers a call: the whole list, or no changes once the wait that the call allows is over."""
        query = dict(each.split("=", 1) for each in target.partition("?")[2].split("&") if "=" in each)
        is_current = query.get("since") == "41"
        wait_s = min(float(query.get("timeout_ms", "0")), 60_000.0) / 1000.0 if is_current else 0.0
        time.sleep(max(self.delay_s, wait_s))
        if not is_current:
            self.record.write("discovery: whole list sent")
            return response(200, json.dumps({"revision": 41, "complete": True, "members": self.members}))
        return response(200, json.dumps({"revision": 41, "complete": False, "members": []}))


class FaktoryClient:
    """A connection that speaks the Faktory work protocol."""

    def __init__(self, record: Record, who: str, port: int, **hello: object) -> None:
        self.record, self.who = record, who
        self.socket = socket.create_connection(("127.0.0.1", port), 60.0)
        self.file = self.socket.makefile("rb")
        self.file.readline()
        self.ask("HELLO", json.dumps({"v": 2, **hello}), is_recorded=False)

    def ask(self, verb: str, arguments: str, is_recorded: bool = True) -> str | None:
        """Sends a command and returns its reply; None: a null bulk string. Raises OSError at the end."""
        if is_recorded:
            self.record.write(f"{self.who} > {verb} {arguments}")
        self.socket.sendall(f"{verb} {arguments}\r\n".encode())
        line = self.file.readline().decode()
        if not line:
            raise ConnectionResetError("the connection has ended")
        reply: str | None = line.strip()
        if line.startswith("$"):
            size = int(line[1:])
            reply = None if size < 0 else self.file.read(size + 2)[:-2].decode()
        if is_recorded:
            self.record.write(f"{self.who} < {reply}")
        return reply

    def push(self, jid: str, queue: str, **custom: object) -> str:
        """Pushes a job and returns the reply."""
        job = {"jid": jid, "jobtype": queue, "queue": queue, "args": [jid], "custom": custom}
        return self.ask("PUSH", json.dumps(job)) or ""

    def state(self, jid: str) -> str:
        """Returns the state of a job by TRACK GET."""
        return json.loads(self.ask("TRACK", f"GET {jid}", is_recorded=False) or "{}").get("state", "")

    def close(self) -> None:
        """Closes the connection."""
        self.file.close()
        self.socket.close()


class FaktoryWorker:
    """A Faktory job worker: each thread fetches a job, runs it for run_s, and acknowledges it."""

    def __init__(
        self,
        record: Record,
        wid: str,
        port: int,
        queues: list[str],
        run_s: float = 0.2,
        threads: int = 2,
    ) -> None:
        self.record, self.wid, self.queues, self.run_s = record, wid, " ".join(queues), run_s
        self.runs: list[str] = []  # the ids of the jobs that were started, in order
        self.acknowledged: list[str] = []
        self.is_stopped = False
        self.clients = [
            FaktoryClient(record, wid, port, wid=wid, labels=["zone:a", "kind:big"]) for _ in range(threads)
        ]
        for each in self.clients:
            threading.Thread(target=self.work, args=(each,), daemon=True).start()

    def work(self, client: FaktoryClient) -> None:
        """Fetches and runs jobs until the connection ends."""
        try:
            while not self.is_stopped:
                text = client.ask("FETCH", self.queues, is_recorded=False)
                if text is None:
                    continue
                jid = json.loads(text)["jid"]
                self.runs.append(jid)
                self.record.write(f"{self.wid}: runs {jid}, run {self.runs.count(jid)} of it here")
                time.sleep(self.run_s)
                client.ask("ACK", json.dumps({"jid": jid}))
                self.acknowledged.append(jid)
        except (OSError, ValueError):
            return

    def close(self) -> None:
        """Ends the worker."""
        self.is_stopped = True
        for each in self.clients:
            each.socket.close()


def send_command(path: Path, **command: object) -> dict:
    """Sends a command to an admin socket and returns the reply."""
    with socket.socket(socket.AF_UNIX) as connection:
        connection.settimeout(10.0)
        connection.connect(str(path))
        connection.sendall(json.dumps(command).encode() + b"\n")
        return json.loads(connection.makefile("rb").readline())


def run_test(folder: Path, test: Callable[[Record, Path, list[Daemon]], str]) -> None:
    """Runs a test and exits: 0 if it returns an empty text, 1 if it returns the fault, 2 if it cannot run.

    The test appends the daemons that it starts to the list; all of them are ended here.
    """
    try:
        record, daemons, status = Record(folder), [], 2
    except OSError as error:
        print(f"cannot run: {error!r}", file=sys.stderr)
        sys.exit(2)

    def give_up(number: int, _: object) -> None:
        raise CannotRunError(f"ended by signal {number}")

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, give_up)
    signal.alarm(LIMIT_S)
    with tempfile.TemporaryDirectory() as temporary:
        try:
            record.write(f"disruption: {'on' if TROUBLE else 'off'}")
            fault = test(record, Path(temporary), daemons)
            status = 1 if fault else 0
            record.write(f"rule broken: {fault}" if fault else "rule held")
            print(f"rule broken: {fault}" if fault else "rule held")
        except Exception as error:  # no verdict: a fault of the test itself is none of the program
            record.write(f"cannot run: {error!r}")
            print(f"cannot run: {error!r}", file=sys.stderr)
        finally:
            signal.alarm(0)
            for each in daemons:
                if each.process is not None and each.process.poll() is None:
                    each.process.kill()
                    each.process.wait()
            for each in daemons:
                for line in each.log_text().splitlines():
                    record.write(f"log of {each.name}: {line}")
    sys.stdout.flush()
    os._exit(status)


class Link:
    """A link to a port. While it is cut, open connections are silent and new ones do not come up."""

    def __init__(self, record: Record, name: str, port: int) -> None:
        self.record, self.name, self.target = record, name, port
        self.is_open = threading.Event()
        self.is_open.set()
        self.listener = socket.create_server(("127.0.0.1", free_ports(1)[0]))
        self.port = self.listener.getsockname()[1]
        self.listener.settimeout(0.05)
        self.fillers: list[socket.socket] = []
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Takes connections while the link is open."""
        while True:
            self.is_open.wait()
            with suppress(TimeoutError):
                near = self.listener.accept()[0]
                near.settimeout(None)
                threading.Thread(target=self.connect, args=(near,), daemon=True).start()

    def connect(self, near: socket.socket) -> None:
        """Connects to the target and relays both directions."""
        self.is_open.wait()
        try:
            far = socket.create_connection(("127.0.0.1", self.target), 1.0)
        except OSError:
            near.close()
            return
        far.settimeout(None)
        threading.Thread(target=self.relay, args=(far, near), daemon=True).start()
        self.relay(near, far)

    def relay(self, source: socket.socket, sink: socket.socket) -> None:
        """Passes bytes and the end on in one direction; while the link is cut they wait, as with TCP."""
        data = b"x"
        while data:
            try:
                data = source.recv(65536)
                self.is_open.wait()
                sink.sendall(data)
            except OSError:
                data = b""
        self.is_open.wait()
        for each in (source, sink):
            with suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)

    def cut(self) -> None:
        """Cuts the link; the queue of the listener is filled, so that no connection comes up."""
        self.is_open.clear()
        time.sleep(0.1)  # the wait for a connection that had begun is over
        self.listener.listen(0)
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self.fillers.append(filler)
        self.record.write(f"link {self.name}: cut")

    def heal(self) -> None:
        """Ends the cut."""
        for each in self.fillers:
            each.close()
        self.listener.listen(128)
        self.is_open.set()
        self.record.write(f"link {self.name}: back")
