"""Starts the daemon and replays recorded byte exchanges against it.

A recording is a text file with one step per line. Lines that begin with # are comments. {NAME} in a text
stands for the value of the variable NAME.

Before the start:

    set PATH VALUE        sets a value of the configuration, as JSON (`settings.zone "a"`)
    front NAME [k=v ..]   adds a front end, by default on a port that the system chooses
    listen NAME           opens the listening socket of a stand-in; {NAME} is its port
    worker NAME [JSON]    opens a listening socket as `listen` does and adds it to the persisted list as a
                          worker; the JSON object replaces fields of its entry
    folder NAME           creates an empty folder; {NAME} is its path
    held                  keeps back the last byte of each non-idempotent job until `release`

The daemon:

    start                 `launch` (starts the daemon) and `ready` (waits until it accepts clients)
    restart               kills the daemon and starts it again with the same files
    rewrite               writes the configuration file again, with the values set since
    release               lets the daemon write one kept back last byte
    signal NAME           sends SIGNAME, for example `signal TERM`
    said TEXT             waits until standard error contains TEXT
    until FRONT METHOD TARGET STATUS   repeats an HTTP request to a front end until the answer has this status
    grown MB              fails if peak resident memory has grown by MB or more since the start
    exit STATUS           waits for the daemon to end; fails if its exit status differs
    error TEXT            fails if standard error does not match TEXT
    printed TEXT          fails if the standard output that `exit` read does not match TEXT

Connections:

    open NAME FRONT       connects to a front end of the daemon (clients, faktory, health, agent_check, ..)
    accept NAME LISTENER  accepts the next connection that the daemon opens to a stand-in
    NAME> TEXT            sends TEXT and CRLF
    NAME>> TEXT           sends the bytes of TEXT, with Python escapes, and nothing more
    NAME># TEXT           sends a Content-Length header, the end of the headers and TEXT as the body
    NAME< TEXT            reads a line, which must match TEXT
    NAME<< TEXT           reads as many bytes as TEXT has, with Python escapes; they must be equal
    NAME<~ TEXT           discards lines until one matches TEXT, which is discarded too
    NAME<~~ TEXT          discards bytes until what was received ends with TEXT and a line feed
    NAME close            closes the connection
    NAME reset            closes the connection with a TCP reset
    NAME ended            waits until the daemon closes the connection; fails if unread bytes are left
    flood NAME COUNT      sends COUNT zero bytes, in blocks of 60000
    crowd COUNT FRONT     opens COUNT connections that send nothing
    crowded               waits until the daemon has closed all connections of `crowd`

In a TEXT that a line must match, * stands for any characters.
"""

from __future__ import annotations

import codecs
import fcntl
import json
import os
import re
import signal
import socket
import struct
import sys
import tempfile
import termios
import threading
import time
from collections.abc import Callable
from contextlib import contextmanager, suppress
from itertools import pairwise
from pathlib import Path

from measure.daemons import ROOT, Program  # noqa: F401 - other tests import ROOT from here

WAIT_TIMEOUT_S = 20.0  # a longer wait fails the test; no measurement depends on it
SETTINGS = {
    "areas": ["a"],
    "balancers": 1,
    "position": 0,
    "zone": "a",
    "kinds": ["big"],
    "tick_ms": 4.0,
    "classes": [
        {"name": "status-read", "aim_ms": 60000.0, "deadline_ms": 60000.0, "idempotency": "safe"},
        {"name": "schedule-apply", "aim_ms": 60000.0, "deadline_ms": 60000.0, "idempotency": "unsafe"},
        {
            "name": "setpoint-push",
            "aim_ms": 60000.0,
            "deadline_ms": 60000.0,
            "idempotency": "keyed",
            "group": "zone",
            "window_ms": 12000.0,
        },
    ],
    "permissions": {"max_attempts": 3, "cancel": True, "conn_idle_ms": 15000.0, "connect_timeout_ms": 250.0},
    "rules": {
        "grace_to_answer_ms": 16.0,
        "stop_sending_within_ms": 2000.0,
        "cold_from": 0.3,
        "cold_ms": 8600.0,
        "fall_multiple": 3.0,
        "fall_ms": 3000.0,
    },
    "specifics": {"tells_start": True},
}


class Daemon(Program):
    """A daemon process whose waits end after WAIT_TIMEOUT_S."""

    def wait_until_ready(self) -> Daemon:
        """Waits until the daemon accepts clients; raises AssertionError if it ends before."""
        with self.kill_on_timeout():
            if not self.serving():
                raise AssertionError(f"the daemon ended before it accepted clients: {self.stderr_text()}")
        self.initial_resident_mb = self.peak_memory_mb()
        return self

    @contextmanager
    def kill_on_timeout(self):
        """Kills the daemon if the body takes longer than WAIT_TIMEOUT_S, so that a pending read ends."""
        timer = threading.Timer(WAIT_TIMEOUT_S, self.process.kill)
        timer.start()
        try:
            yield
        finally:
            timer.cancel()

    def connect(self, front: str) -> socket.socket:
        """Returns a new connection to a front end."""
        return socket.create_connection(self.addresses[front], WAIT_TIMEOUT_S)

    def wait(self) -> tuple[int, str]:
        """Waits for the end; returns the exit status and the rest of standard output."""
        with self.kill_on_timeout():
            output = self.process.stdout.read()
            return self.process.wait(), output


def config(members: list[dict] = (), discovery: str = "127.0.0.1:9", **settings) -> dict:
    """Returns a configuration with a persisted list of `members`; `settings` override SETTINGS."""
    known = {"revision": 1, "complete": True, "members": list(members)}
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": discovery,
        "seed": "2a",
        "known": known,
        "limits": {"sockets": 256},
        "settings": {**json.loads(json.dumps(SETTINGS)), **settings},
    }


def member(name: str, port: int, **fields) -> dict:
    """Returns the entry of a worker in an endpoint list; `fields` replace or add to its fields."""
    return {
        "id": name,
        "host_port": f"127.0.0.1:{port}",
        "locality": "a",
        "flavor": "big",
        "cell": 0,
        "phase": "active",
        "size": 1.0,
        "up_since_ms": 0,
        **fields,
    }


NUMBER_PATTERN = r"-?[0-9.]+"  # a value of the operator file that is written without quotes
METHODS_BY_SIGN = {
    ">": "send",
    ">>": "send_bare",
    ">#": "send_body",
    "<": "expect",
    "<<": "expect_bare",
    "<~": "expect_later",
    "<~~": "skip_to",
}


class Player:
    """Plays one recording. The step WORD calls the method do_WORD, and METHODS_BY_SIGN has the others."""

    def __init__(self, path: Path, split_positions: Callable[[int], list[int]] | None = None) -> None:
        """Prepares to play the recording at `path`.

        `split_positions` gets a number of bytes and returns the positions at which they are split; each part
        is sent on its own.
        """
        self.split_positions = split_positions
        self.path, self.config, self.fronts = path, config(), ""
        self.variables: dict[str, str] = {}
        self.sockets: dict[str, socket.socket] = {}
        self.received: dict[str, bytes] = {}
        self.daemon: Daemon | None = None
        self.folders: list[tempfile.TemporaryDirectory] = []
        self.command = ("-m", "spanwing")

    def play(self) -> None:
        """Plays all steps, then checks that the daemon logged no traceback and no fault.

        Raises AssertionError with the file, line and standard error if a step fails.
        """
        try:
            for number, line in enumerate(self.path.read_text().splitlines(), 1):
                if line.strip() and not line.startswith("#"):
                    try:
                        self.step(line)
                    except (AssertionError, OSError) as error:
                        stderr = self.daemon.stderr_text() if self.daemon else ""
                        raise AssertionError(
                            f"{self.path.name}:{number}: {line}\n{error}\n{stderr}"
                        ) from error
            stderr = self.daemon.stderr_text()
            assert "Traceback" not in stderr and "fault" not in stderr, stderr
        finally:
            for each in self.sockets.values():
                each.close()
            if self.daemon is not None:
                self.daemon.close()
            for folder in self.folders:
                folder.cleanup()

    def step(self, line: str) -> None:
        """Plays one line of the recording."""
        if match := re.match(r"(\w+)(>>|>#|>|<<|<~~|<~|<) ?(.*)$", line):
            name, sign, text = match[1], match[2], self.substitute(match[3])
            getattr(self, METHODS_BY_SIGN[sign])(name, text)
            return
        word, *rest = line.split(" ")
        if rest in (["close"], ["ended"], ["reset"]):
            getattr(self, rest[0])(word)
        else:
            getattr(self, f"do_{word}")(*rest)

    def substitute(self, text: str) -> str:
        """Returns the text with each {NAME} replaced by the value of the variable."""
        for name, value in self.variables.items():
            text = text.replace("{" + name + "}", value)
        return text

    def do_set(self, path: str, *value: str) -> None:
        *parents, last = path.split(".")
        node = self.config
        for each in parents:
            node = node[int(each)] if each.isdigit() else node[each]
        node[last] = json.loads(self.substitute(" ".join(value)))

    def do_front(self, name: str, *values: str) -> None:
        pairs = [self.substitute(each).split("=", 1) for each in values or ("listen=127.0.0.1:0",)]
        self.fronts += f"[{name}]\n"
        for key, value in pairs:
            self.fronts += f"{key} = {value if re.fullmatch(NUMBER_PATTERN, value) else json.dumps(value)}\n"

    def do_listen(self, name: str) -> None:
        self.sockets[name] = socket.create_server(("127.0.0.1", 0))
        self.sockets[name].settimeout(WAIT_TIMEOUT_S)
        self.variables[name] = str(self.sockets[name].getsockname()[1])

    def do_held(self) -> None:
        self.do_folder("gate")
        self.gate = Path(self.variables["gate"]) / "gate"
        os.mkfifo(self.gate)
        self.command = (str(Path(__file__).parent / "instrumented_daemon.py"), f"hold={self.gate}")

    def do_release(self) -> None:
        with self.gate.open("w") as gate:
            gate.write("x")

    def do_launch(self) -> None:
        self.daemon = Daemon(self.config, self.fronts, command=self.command)

    def do_ready(self) -> None:
        self.daemon.wait_until_ready()

    def do_start(self) -> None:
        self.do_launch()
        self.do_ready()

    def do_restart(self) -> None:
        """Kills the daemon with SIGKILL and starts a new one with the same configuration."""
        self.daemon.process.kill()
        self.daemon.process.wait()
        self.daemon.close()
        self.do_start()

    def do_folder(self, name: str) -> None:
        folder = tempfile.TemporaryDirectory()
        self.folders.append(folder)
        self.variables[name] = folder.name

    def do_crowd(self, count: str, front: str) -> None:
        self.idle_connections = [self.daemon.connect(front) for _ in range(int(count))]

    def do_crowded(self) -> None:
        for each in self.idle_connections:
            with each, suppress(ConnectionResetError):
                while each.recv(100):  # the Faktory front end sends a greeting
                    pass

    def do_flood(self, name: str, count: str) -> None:
        for _ in range(int(count) // 60000):
            self.sockets[name].sendall(bytes(60000))

    def do_grown(self, limit_mb: str) -> None:
        growth_mb = self.daemon.peak_memory_mb() - self.daemon.initial_resident_mb
        assert growth_mb < float(limit_mb), f"{growth_mb:.1f} MB more peak resident memory"

    def do_rewrite(self) -> None:
        self.daemon.write(self.config)

    def do_said(self, *text: str) -> None:
        """Waits until standard error contains the text. No connection shows that a signal was handled."""
        with self.daemon.kill_on_timeout():
            while " ".join(text) not in self.daemon.stderr_text():
                assert self.daemon.process.poll() is None, self.daemon.stderr_text()
                time.sleep(0.01)

    def do_until(self, front: str, method: str, target: str, status: str) -> None:
        """Repeats the request until the answer has this status, which shows that a signal was handled."""
        answered = ""
        while answered != status:
            with self.daemon.connect(front) as connection:
                connection.sendall(f"{method} {target} HTTP/1.1\r\nConnection: close\r\n\r\n".encode())
                answered = connection.makefile().readline().split(" ")[1]

    def do_worker(self, name: str, *fields: str) -> None:
        """Opens a listening stand-in and adds it to the persisted list of the configuration."""
        self.do_listen(name)
        entry = member(name, int(self.variables[name]), **json.loads(" ".join(fields) or "{}"))
        self.config["known"]["members"].append(entry)

    def do_open(self, name: str, front: str) -> None:
        self.sockets[name] = self.daemon.connect(front)

    def do_accept(self, name: str, listener: str) -> None:
        self.sockets[name] = self.sockets[listener].accept()[0]
        self.sockets[name].settimeout(WAIT_TIMEOUT_S)

    def do_signal(self, name: str) -> None:
        self.daemon.process.send_signal(getattr(signal, f"SIG{name}"))

    def do_exit(self, status: str) -> None:
        code, self.variables["out"] = self.daemon.wait()
        assert code == int(status), f"the daemon ended with exit status {code}"

    def do_error(self, *text: str) -> None:
        stderr = self.daemon.stderr_text()
        assert matches(" ".join(text), stderr.strip()), f"standard error is {stderr!r}"

    def do_printed(self, *text: str) -> None:
        assert matches(" ".join(text), self.variables["out"].strip()), (
            f"standard output is {self.variables['out']!r}"
        )

    def send(self, name: str, text: str) -> None:
        """Sends the text and CRLF."""
        self.send_bytes(name, text.encode() + b"\r\n")

    def send_bytes(self, name: str, data: bytes) -> None:
        """Sends the data, in parts if there are split positions."""
        connection = self.sockets[name]
        positions = self.split_positions(len(data)) if self.split_positions is not None else []
        for start, end in pairwise([0, *positions, len(data)]):
            connection.sendall(data[start:end])
            if positions:
                wait_until_delivered(connection)

    def send_bare(self, name: str, text: str) -> None:
        self.send_bytes(name, codecs.decode(text, "unicode_escape").encode("latin-1"))

    def send_body(self, name: str, text: str) -> None:
        self.send_bytes(name, f"Content-Length: {len(text)}\r\n\r\n{text}".encode())

    def receive(self, name: str) -> bool:
        """Reads from the connection into its buffer; returns False at the end of the stream."""
        data = self.sockets[name].recv(65536)
        self.received[name] = self.received.get(name, b"") + data
        return bool(data)

    def read_line(self, name: str) -> str:
        """Returns the next line without its CRLF; raises AssertionError if the stream ends first."""
        while b"\r\n" not in self.received.get(name, b""):
            if not self.receive(name):
                raise AssertionError(f"the connection ended after {self.received[name]!r}")
        line, _, self.received[name] = self.received[name].partition(b"\r\n")
        return line.decode("latin-1")

    def expect(self, name: str, text: str) -> None:
        line = self.read_line(name)
        assert matches(text, line), f"received {line!r}"

    def expect_later(self, name: str, text: str) -> None:
        while not matches(text, self.read_line(name)):
            pass

    def skip_to(self, name: str, end: str) -> None:
        """Discards bytes until the buffer ends with `end` and a line feed."""
        while not self.received.get(name, b"").endswith(f"{end}\n".encode()) and self.receive(name):
            pass
        self.received[name] = b""

    def expect_bare(self, name: str, text: str) -> None:
        expected = codecs.decode(text, "unicode_escape").encode("latin-1")
        while len(self.received.get(name, b"")) < len(expected) and self.receive(name):
            pass
        data, self.received[name] = self.received[name][: len(expected)], self.received[name][len(expected) :]
        assert data == expected, f"received {data!r}"

    def close(self, name: str) -> None:
        self.sockets.pop(name).close()

    def reset(self, name: str) -> None:
        self.sockets[name].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close(name)

    def ended(self, name: str) -> None:
        try:
            while self.receive(name):
                pass
        except ConnectionResetError:
            pass
        assert not self.received.get(name), f"unread bytes are left: {self.received[name]!r}"


def wait_until_delivered(connection: socket.socket) -> None:
    """Waits until the peer's TCP has acknowledged all sent bytes, and 0.1 ms for the peer to read them."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    while int.from_bytes(fcntl.ioctl(connection, termios.TIOCOUTQ, bytes(4)), sys.byteorder):
        time.sleep(0)
    time.sleep(0.0001)


def matches(pattern: str, text: str) -> bool:
    """Returns whether the whole text matches a pattern in which * stands for any characters."""
    return re.fullmatch(".*".join(map(re.escape, pattern.split("*"))), text, re.DOTALL) is not None
