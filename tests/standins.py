"""Stand-in clients and workers for HTTP and Faktory.

The text of a job names what its worker does: "done" reports success, "failing" a failure, and any other
text is never answered.
"""

from __future__ import annotations

import json
import socket
import threading
from collections import Counter

from player import WAIT_TIMEOUT_S, Daemon

STATE_BY_TEXT = {"done": "done", "failing": "failed"}  # the state that an HTTP worker reports


def read_http(file) -> tuple[str, dict[str, str], bytes]:
    """Reads one message; returns its first line, headers in lower case and body.

    The first line is empty at the end of the stream.
    """
    first_line = file.readline().decode().strip()
    headers = {}
    while line := file.readline().decode().strip():
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return first_line, headers, file.read(int(headers.get("content-length", 0)))


def start_thread(target, *arguments) -> threading.Thread:
    """Starts a daemon thread that calls target(*arguments)."""
    thread = threading.Thread(target=target, args=arguments, daemon=True)
    thread.start()
    return thread


class HttpWorkers:
    """HTTP workers that accept every job and report on none before the expected number of jobs has arrived.

    Set `daemon` before the first job arrives; it receives the call-backs.
    """

    def __init__(self, count: int, expected: int) -> None:
        self.sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
        self.ports = [each.getsockname()[1] for each in self.sockets]
        self.barrier = Barrier(expected)
        self.daemon: Daemon | None = None
        self.attempt_count = 0
        for number, each in enumerate(self.sockets):
            start_thread(self.accept, f"w{number}", each)

    def accept(self, name: str, listener: socket.socket) -> None:
        """Serves each connection in a thread until the listening socket is closed."""
        while True:
            try:
                start_thread(self.serve, name, listener.accept()[0])
            except OSError:
                return

    def serve(self, name: str, connection: socket.socket) -> None:
        """Answers 202 to each job and 200 to any other request."""
        with connection, connection.makefile("rb") as file:
            while True:
                try:
                    first_line, headers, body = read_http(file)
                except ConnectionResetError:
                    return
                if not first_line:
                    return
                is_job = first_line.startswith("POST")
                self.attempt_count += is_job
                connection.sendall(b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % (202 if is_job else 200))
                if is_job:
                    start_thread(self.report, name, headers["x-call-id"], body.decode())

    def report(self, name: str, job: str, text: str) -> None:
        """Waits for the barrier, then sends the call-back that the text names, if any."""
        self.barrier.arrive()
        state = STATE_BY_TEXT.get(text)
        if state is not None:
            event = json.dumps({"id": job, "from": name, "state": state, "result": text}).encode()
            with self.daemon.connect("clients") as callback:
                callback.sendall(
                    b"POST /v1/job-events HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s" % (len(event), event)
                )
                read_http(callback.makefile("rb"))

    def close(self) -> None:
        """Closes the listening sockets, which ends the threads that accept connections."""
        for each in self.sockets:
            each.shutdown(socket.SHUT_RDWR)
            each.close()


class FaktoryClient:
    """A Faktory connection that has sent HELLO with the given fields."""

    def __init__(self, daemon: Daemon, **hello) -> None:
        self.socket = daemon.connect("faktory")
        self.file = self.socket.makefile("rb")
        self.file.readline()
        self.ask("HELLO", json.dumps({"v": 2, **hello}))

    def ask(self, verb: str, arguments: str) -> str | None:
        """Sends a command; returns the reply line or the bulk string, None for a null bulk string."""
        self.socket.sendall(f"{verb} {arguments}\r\n".encode())
        reply = self.file.readline().decode().strip()
        if not reply.startswith("$"):
            return reply
        size = int(reply[1:])
        return None if size < 0 else self.file.read(size + 2)[:-2].decode()

    def close(self) -> None:
        """Closes the connection."""
        self.file.close()
        self.socket.close()


class FaktoryWorker:
    """A Faktory worker process: some threads that each fetch jobs over a connection of their own."""

    def __init__(self, daemon: Daemon, name: str, threads: int, queues: list[str], barrier: Barrier) -> None:
        self.queues, self.barrier = " ".join(queues), barrier
        self.clients = [
            FaktoryClient(daemon, wid=name, labels=["zone:a", "kind:big"]) for _ in range(threads)
        ]
        for each in self.clients:
            start_thread(self.work, each)

    def work(self, client: FaktoryClient) -> None:
        """Fetches jobs until the barrier is stopped or the connection ends; waits for the barrier per job."""
        try:
            while not self.barrier.is_stopped:
                job = client.ask("FETCH", self.queues)
                if job is None:
                    continue
                job = json.loads(job)
                self.barrier.arrive()
                verb = {"done": "ACK", "failing": "FAIL"}.get(job["args"][0])
                if verb is not None:
                    client.ask(verb, json.dumps({"jid": job["jid"]}))
        except (OSError, ValueError):
            pass


class Barrier:
    """Blocks arrivals until the expected number of them has been reached; later ones pass at once."""

    def __init__(self, expected: int) -> None:
        self.missing_count, self.lock, self.opened = expected, threading.Lock(), threading.Event()
        self.is_stopped = False

    def arrive(self) -> None:
        """Counts one arrival and waits for the others, at most WAIT_TIMEOUT_S."""
        with self.lock:
            self.missing_count -= 1
            if self.missing_count <= 0:
                self.opened.set()
        self.opened.wait(WAIT_TIMEOUT_S)


def read_stats(daemon: Daemon) -> dict[str, int]:
    """Returns the counters of the management address by name, without the prefix `app.`."""
    with daemon.connect("management") as connection:
        connection.sendall(b"GET /stats HTTP/1.1\r\n\r\n")
        lines = read_http(connection.makefile("rb"))[2].decode().split()
    return {name.removeprefix("app."): int(value) for name, value in (each.split("=") for each in lines)}


def run_http_job(
    daemon: Daemon, job: str, cls: str, text: str, slots: int, budget_ms: int, outcomes: Counter
) -> None:
    """Sends a job over HTTP and counts its outcome: served, refused or failed, per class."""
    head = (
        f"POST /{cls} HTTP/1.1\r\nX-Call-Id: {job}\r\nX-Budget-Ms: {budget_ms}\r\nX-Call-Info: slots={slots}"
        f"\r\nContent-Length: {len(text)}\r\n\r\n{text}"
    )
    with daemon.connect("clients") as connection:
        connection.sendall(head.encode())
        status = read_http(connection.makefile("rb"))[0].split(" ")[1]
    outcomes[cls, {"200": "served", "503": "refused"}.get(status, "failed")] += 1


def run_faktory_job(
    daemon: Daemon, job: str, cls: str, text: str, slots: int, budget_ms: int, outcomes: Counter
) -> None:
    """Pushes a job over Faktory and counts its outcome: served, refused or failed, per class."""
    client = FaktoryClient(daemon)
    custom = {"answer": "outcome", "slots": slots, "budget_ms": budget_ms}
    reply = client.ask(
        "PUSH", json.dumps({"jid": job, "jobtype": cls, "queue": cls, "args": [text], "custom": custom})
    )
    outcomes[cls, {"+OK": "served", "-BUS": "refused"}.get(reply[:4].strip(), "failed")] += 1
    client.close()
