"""Stand-in clients and job workers for both protocols; a job's fate is the first word of its text."""

from __future__ import annotations

import json
import socket
import threading
from collections import Counter

from player import WAIT_TIMEOUT_S, Daemon

FATES = {"done": "done", "failing": "failed"}


def read_http(file) -> tuple[str, dict[str, str], bytes]:
    """One message; an empty first line at the end."""
    first = file.readline().decode().strip()
    headers = {}
    while line := file.readline().decode().strip():
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return first, headers, file.read(int(headers.get("content-length", 0)))


def start_thread(work, *values) -> threading.Thread:
    started = threading.Thread(target=work, args=values, daemon=True)
    started.start()
    return started


class HttpWorkers:
    """Listening workers; they take all, and act once the expected number of jobs has come."""

    def __init__(self, count: int, expected: int) -> None:
        self.sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
        self.ports = [each.getsockname()[1] for each in self.sockets]
        self.barrier = Barrier(expected)
        self.daemon: Daemon | None = None
        self.attempt_count = 0
        for number, each in enumerate(self.sockets):
            start_thread(self.accept, f"w{number}", each)

    def accept(self, name: str, listener: socket.socket) -> None:
        while True:
            try:
                start_thread(self.serve, name, listener.accept()[0])
            except OSError:
                return

    def serve(self, name: str, connection: socket.socket) -> None:
        with connection, connection.makefile("rb") as file:
            while True:
                try:
                    first, headers, body = read_http(file)
                except ConnectionResetError:
                    return
                if not first:
                    return
                taken = first.startswith("POST")
                self.attempt_count += taken
                connection.sendall(b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % (202 if taken else 200))
                if taken:
                    start_thread(self.fate, name, headers["x-call-id"], body.decode())

    def fate(self, name: str, job: str, text: str) -> None:
        self.barrier.arrive()
        state = FATES.get(text)
        if state is not None:
            event = json.dumps({"id": job, "from": name, "state": state, "result": text}).encode()
            with self.daemon.connect("clients") as back:
                back.sendall(
                    b"POST /v1/job-events HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s" % (len(event), event)
                )
                read_http(back.makefile("rb"))

    def close(self) -> None:
        for each in self.sockets:
            each.shutdown(socket.SHUT_RDWR)
            each.close()


class FaktoryClient:
    """One connection that has said HELLO."""

    def __init__(self, daemon: Daemon, **hello) -> None:
        self.socket = daemon.connect("faktory")
        self.file = self.socket.makefile("rb")
        self.file.readline()
        self.ask("HELLO", json.dumps({"v": 2, **hello}))

    def ask(self, verb: str, rest: str) -> str | None:
        self.socket.sendall(f"{verb} {rest}\r\n".encode())
        first = self.file.readline().decode().strip()
        if not first.startswith("$"):
            return first
        size = int(first[1:])
        return None if size < 0 else self.file.read(size + 2)[:-2].decode()

    def close(self) -> None:
        self.file.close()
        self.socket.close()


class FaktoryWorker:
    """A process with some threads that fetch."""

    def __init__(self, daemon: Daemon, name: str, threads: int, queues: list[str], barrier: Barrier) -> None:
        self.queues, self.barrier = " ".join(queues), barrier
        self.speakers = [
            FaktoryClient(daemon, wid=name, labels=["zone:a", "kind:big"]) for _ in range(threads)
        ]
        for each in self.speakers:
            start_thread(self.work, each)

    def work(self, speaker: FaktoryClient) -> None:
        try:
            while not self.barrier.is_stopped:
                job = speaker.ask("FETCH", self.queues)
                if job is None:
                    continue
                job = json.loads(job)
                self.barrier.arrive()
                verb = {"done": "ACK", "failing": "FAIL"}.get(job["args"][0])
                if verb is not None:
                    speaker.ask(verb, json.dumps({"jid": job["jid"]}))
        except (OSError, ValueError):
            pass


class Barrier:
    """Opens when the expected number has come; later ones pass."""

    def __init__(self, expected: int) -> None:
        self.missing_count, self.lock, self.opened = expected, threading.Lock(), threading.Event()
        self.is_stopped = False

    def arrive(self) -> None:
        with self.lock:
            self.missing_count -= 1
            if self.missing_count <= 0:
                self.opened.set()
        self.opened.wait(WAIT_TIMEOUT_S)


def read_stats(daemon: Daemon) -> dict[str, int]:
    """What the management address tells."""
    with daemon.connect("management") as asked:
        asked.sendall(b"GET /stats HTTP/1.1\r\n\r\n")
        lines = read_http(asked.makefile("rb"))[2].decode().split()
    return {name.removeprefix("app."): int(value) for name, value in (each.split("=") for each in lines)}


def run_http_job(
    daemon: Daemon, job: str, cls: str, text: str, slots: int, budget: int, seen: Counter
) -> None:
    head = (
        f"POST /{cls} HTTP/1.1\r\nX-Call-Id: {job}\r\nX-Budget-Ms: {budget}\r\nX-Call-Info: slots={slots}"
        f"\r\nContent-Length: {len(text)}\r\n\r\n{text}"
    )
    with daemon.connect("clients") as connection:
        connection.sendall(head.encode())
        status = read_http(connection.makefile("rb"))[0].split(" ")[1]
    seen[cls, {"200": "served", "503": "refused"}.get(status, "failed")] += 1


def run_faktory_job(
    daemon: Daemon, job: str, cls: str, text: str, slots: int, budget: int, seen: Counter
) -> None:
    speaker = FaktoryClient(daemon)
    custom = {"answer": "outcome", "slots": slots, "budget_ms": budget}
    reply = speaker.ask(
        "PUSH", json.dumps({"jid": job, "jobtype": cls, "queue": cls, "args": [text], "custom": custom})
    )
    seen[cls, {"+OK": "served", "-BUS": "refused"}.get(reply[:4].strip(), "failed")] += 1
    speaker.close()
