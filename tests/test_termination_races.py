"""What may still be sent, and what must still be answered, when something ends during a send or an answer.

The tests start a daemon with real connections, or a worker actor in their own event loop, and force the order
of events. They guard against attempts that are sent after their client, worker, list or deduplication window
has ended, and against answers that are lost. docs/design/endings.md has the table of all cases.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import tempfile
import threading
import time
import unittest
from contextlib import suppress
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

from player import SETTINGS, WAIT_TIMEOUT_S, Daemon, config, member
from standins import FaktoryClient, read_http
from tornado.concurrent import Future

from spanwing.core.messages import AttemptEnded, DeliveryAttempt, JobRequest
from spanwing.net.address import Address
from spanwing.net.buffers import BufferPool
from spanwing.workers import connection_pool, http_worker
from spanwing.workers.connection_pool import (
    MAX_CONNECTIONS,
    ConnectionPool,
    DescriptorBudget,
    PooledConnection,
)
from spanwing.workers.faktory_worker import FaktoryWorker, FetchRequested
from spanwing.workers.http_worker import HttpWorker
from spanwing.workers.load_report import LoadReportReader

SYN_SENT = "02"  # state of a TCP connection in /proc/net/tcp
DEDUPLICATION_WINDOW_MS = 12000
FILL_BYTES = b"0" * 65536
BUFFER_SETTLE_S = 0.05  # time for the kernel to move bytes from the send buffer to the receive buffer
INSTRUMENTED_DAEMON_SCRIPT = str(Path(__file__).parent / "instrumented_daemon.py")


class ListenerStandIn:
    """The listening socket of a stand-in."""

    def __init__(self, case: unittest.TestCase, backlog: int = 128, receive_buffer_bytes: int = 0) -> None:
        self.listener = socket.socket()
        # An accepted socket inherits the limit, and buffers about this many unread bytes.
        if receive_buffer_bytes:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(backlog)
        self.listener.settimeout(WAIT_TIMEOUT_S)
        self.port = self.listener.getsockname()[1]
        self.case = case
        case.addCleanup(self.listener.close)

    def accept(self) -> ConnectionStandIn:
        return ConnectionStandIn(self.case, self.listener.accept()[0])

    def has_no_connection(self) -> bool:
        """Returns whether no connection waits to be accepted."""
        self.listener.settimeout(0)
        try:
            self.accept()
            return False
        except BlockingIOError:
            return True
        finally:
            self.listener.settimeout(WAIT_TIMEOUT_S)

    def fill_backlog(self) -> int:
        """Fills the backlog (created with 0) with connections and returns their number.

        The next connection is not established before one of them is accepted.
        """
        opened = []
        while True:
            connection = socket.socket()
            self.case.addCleanup(connection.close)
            connection.setblocking(False)
            connection.connect_ex(("127.0.0.1", self.port))
            opened.append(connection)
            # On the loopback interface a connection is established at once, or not at all.
            try:
                connection.getpeername()
            except OSError:
                connection.close()
                return len(opened) - 1

    def wait_for_pending_connect(self) -> None:
        """Waits for a connection that was begun and is not established, because the backlog is full."""
        port_suffix, deadline_s = f":{self.port:04X}", time.monotonic() + WAIT_TIMEOUT_S
        while not any(
            remote.endswith(port_suffix) and state == SYN_SENT
            for remote, state in (
                line.split()[2:4] for line in Path("/proc/net/tcp").read_text().splitlines()[1:]
            )
        ):
            self.case.assertLess(time.monotonic(), deadline_s, "no connection was begun")


class ConnectionStandIn:
    """One connection of a stand-in, read message by message."""

    def __init__(self, case: unittest.TestCase, sock: socket.socket) -> None:
        self.socket = sock
        sock.settimeout(WAIT_TIMEOUT_S)
        self.file = sock.makefile("rb")
        case.addCleanup(self.close)

    def close(self) -> None:
        self.file.close()
        self.socket.close()

    def read_message(self) -> tuple[str, dict[str, str], bytes]:
        return read_http(self.file)

    def read_to_end(self) -> bytes:
        """Returns all bytes until the other side closes or resets the connection."""
        try:
            return self.file.read()
        except ConnectionResetError:
            return b""

    def respond(self, status: int, body: bytes = b"", **headers: str) -> None:
        lines = [
            f"HTTP/1.1 {status} X",
            f"Content-Length: {len(body)}",
            *(f"{name.replace('_', '-')}: {value}" for name, value in headers.items()),
        ]
        self.socket.sendall("\r\n".join([*lines, "", ""]).encode() + body)

    def submit(self, cls: str, job: str, body: bytes = b"", budget_ms: int = 60000) -> None:
        self.socket.sendall(encode_job(cls, job, body, budget_ms))


def encode_job(cls: str, job: str, body: bytes = b"", budget_ms: int = 60000) -> bytes:
    """Returns a client's HTTP request that submits a job."""
    return (
        f"POST /{cls} HTTP/1.1\r\nX-Call-Id: {job}\r\nX-Budget-Ms: {budget_ms}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def encode_push(cls: str, job: str) -> bytes:
    """Returns a Faktory client's PUSH that is answered with the outcome of the job."""
    payload = {"jid": job, "jobtype": cls, "queue": cls, "args": [], "custom": {"answer": "outcome"}}
    return f"PUSH {json.dumps(payload)}\r\n".encode()


class DiscoveryStandIn(ListenerStandIn):
    """A discovery service that answers a watch when the test calls publish()."""

    def __init__(self, case: unittest.TestCase) -> None:
        super().__init__(case)
        self.watch: ConnectionStandIn | None = None
        self.revision = 1

    def next_watch(self) -> str:
        """Returns the target of the next call that waits for changes, on the open connection or a new one.

        Calls that ask for an immediate answer are answered at once, as discovery does.
        """
        while True:
            if self.watch is None:
                self.watch = self.accept()
            first, _, _ = self.watch.read_message()
            if not first:  # the daemon has given up the call after its timeout
                self.watch = None
                continue
            target = first.split(" ")[1]
            if not target.endswith("timeout_ms=1"):
                return target
            self._answer()

    def _answer(self, *members: dict) -> None:
        body = {"revision": self.revision, "complete": False, "members": list(members)}
        with suppress(BrokenPipeError, ConnectionResetError):
            self.watch.respond(200, json.dumps(body).encode())

    def publish(self, *members: dict) -> None:
        """Answers the watch and waits for the next one, which shows that the answer was read.

        A watch that the daemon gave up is repeated from the previous revision, and is answered again.
        """
        self.revision += 1
        self._answer(*members)
        while f"since={self.revision}&" not in self.next_watch():
            self._answer(*members)


class DaemonTestCase(unittest.TestCase):
    """Base of the tests that start a daemon. None of them may log a traceback or a fault."""

    def start(
        self,
        *members: dict,
        discovery: DiscoveryStandIn | None = None,
        cancel: bool = True,
        is_pushed: bool = True,
        command: tuple[str, ...] = ("-m", "spanwing"),
        fronts: str = "",
    ) -> Daemon:
        permissions = {**SETTINGS["permissions"], "connect_timeout_ms": 20000.0, "cancel": cancel}
        daemon_config = config(
            members, f"127.0.0.1:{discovery.port if discovery else 9}", permissions=permissions
        )
        daemon_config["settings"]["discovery"] = "automatic" if is_pushed else "subscribe"
        daemon_config["settings"]["classes"][2]["window_ms"] = DEDUPLICATION_WINDOW_MS
        self.daemon = Daemon(daemon_config, fronts, command=command)
        self.addCleanup(self.stop)
        return self.daemon.wait_until_ready()

    def stop(self) -> None:
        """Stops the daemon and checks its log."""
        if not self.daemon.errors.closed:
            log = self.daemon.stderr_text()
            self.daemon.close()
            self.assertNotIn("Traceback", log)
            self.assertNotIn("fault", log)

    def connect_client(self) -> ConnectionStandIn:
        return ConnectionStandIn(self, self.daemon.connect("clients"))

    def read_counters(self) -> dict[str, int]:
        with self.daemon.connect("clients") as connection:
            connection.sendall(b"GET /counters HTTP/1.1\r\n\r\n")
            return json.loads(read_http(connection.makefile("rb"))[2])

    def wait_for_counter(self, name: str, count: int) -> dict[str, int]:
        """Reads the counters until this one has reached count, and returns them all."""
        with self.daemon.kill_on_timeout():
            while (counters := self.read_counters()).get(name, 0) < count:
                pass
        return counters


class EndpointListTests(DaemonTestCase):
    def test_pushed_list_is_watched_from_the_start(self) -> None:
        """With discovery `automatic` the scheduler does not subscribe, but the daemon watches anyway."""
        draining, other, discovery = ListenerStandIn(self), ListenerStandIn(self), DiscoveryStandIn(self)
        self.start(member("w1", draining.port), discovery=discovery)
        self.assertIn("since=1&", discovery.next_watch())
        discovery.publish(member("w1", draining.port, phase="leaving"), member("w2", other.port))
        self.connect_client().submit("status-read", "job-1")
        self.assertEqual(other.accept().read_message()[1]["x-call-id"], "job-1")
        self.assertTrue(draining.has_no_connection())

    def test_attempt_that_waits_for_a_connection_is_not_sent_to_a_worker_that_starts_draining(self) -> None:
        for cls in ("status-read", "schedule-apply"):
            with self.subTest(cls):
                draining, other, discovery = (
                    ListenerStandIn(self, backlog=0),
                    ListenerStandIn(self),
                    DiscoveryStandIn(self),
                )
                backlog_count = draining.fill_backlog()
                self.start(member("w1", draining.port), discovery=discovery)
                discovery.next_watch()
                self.connect_client().submit(cls, "job-1")
                draining.wait_for_pending_connect()
                discovery.publish(member("w1", draining.port, phase="leaving"), member("w2", other.port))
                # The retry does not wait for the connect or for the attempt's timeout.
                self.assertEqual(other.accept().read_message()[1]["x-call-id"], "job-1")
                for _ in range(backlog_count):
                    draining.accept().close()
                self.assertEqual(draining.accept().read_to_end(), b"")
                self.stop()

    def test_callback_for_an_attempt_that_a_worker_accepted_at_its_previous_address_counts(self) -> None:
        previous, current, discovery = ListenerStandIn(self), ListenerStandIn(self), DiscoveryStandIn(self)
        self.start(member("w1", previous.port), discovery=discovery)
        discovery.next_watch()
        client = self.connect_client()
        client.submit("status-read", "job-1")
        worker = previous.accept()
        worker.read_message()
        worker.respond(202)
        discovery.publish(member("w1", current.port))
        event = json.dumps({"id": "job-1", "from": "w1", "state": "done", "result": "served"}).encode()
        with self.daemon.connect("clients") as callback:
            callback.sendall(
                b"POST /v1/job-events HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s" % (len(event), event)
            )
            self.assertIn("204", read_http(callback.makefile("rb"))[0])
        self.assertEqual(client.read_message()[2], b"served")


class DisconnectedClientTests(DaemonTestCase):
    """A request whose client has disconnected before it was sent is never sent."""

    def run_for_all_classes(self, scenario: str) -> None:
        for cancel in (True, False):
            for cls in ("status-read", "schedule-apply", "setpoint-push"):
                with self.subTest(scenario, cancel=cancel, cls=cls):
                    getattr(self, scenario)(cls, cancel)
                    self.stop()

    def test_while_its_connection_is_being_opened(self) -> None:
        self.run_for_all_classes("disconnect_while_connecting")

    def disconnect_while_connecting(self, cls: str, cancel: bool) -> None:
        worker = ListenerStandIn(self, backlog=0)
        backlog_count = worker.fill_backlog()
        self.start(member("w1", worker.port), cancel=cancel)
        client = self.connect_client()
        client.submit(cls, "job-1")
        worker.wait_for_pending_connect()
        client.close()
        self.wait_for_counter("left", 1)
        for _ in range(backlog_count):
            worker.accept().close()
        self.assertEqual(worker.accept().read_to_end(), b"")
        self.assertNotIn("tries", self.read_counters())

    def test_while_its_last_byte_is_held_back(self) -> None:
        for cancel in (True, False):
            for cls in ("schedule-apply", "setpoint-push"):
                with self.subTest(cls, cancel=cancel), tempfile.TemporaryDirectory() as folder:
                    gate = Path(folder) / "gate"
                    os.mkfifo(gate)
                    listener = ListenerStandIn(self)
                    self.start(
                        member("w1", listener.port),
                        cancel=cancel,
                        command=(INSTRUMENTED_DAEMON_SCRIPT, f"hold={gate}"),
                    )
                    client = self.connect_client()
                    client.submit(cls, "job-1", b"body")
                    worker = listener.accept()
                    while not worker.file.readline().strip() == b"":
                        pass
                    self.assertEqual(worker.file.read(3), b"bod")
                    client.close()
                    self.wait_for_counter("left", 1)
                    gate.write_bytes(b"1")
                    self.assertEqual(worker.read_to_end(), b"")
                    self.assertNotIn("tries", self.read_counters())
                    self.stop()

    def test_while_it_is_queued_and_more_bytes_from_its_client_are_unread(self) -> None:
        for pipelined in (b"POST /stat", encode_job("status-read", "job-2"), bytes(60_000)):
            with self.subTest(pipelined=len(pipelined)):
                worker, discovery = ListenerStandIn(self), DiscoveryStandIn(self)
                self.start(discovery=discovery)
                discovery.next_watch()
                client = self.connect_client()
                client.submit("status-read", "job-1")
                self.wait_for_counter("taken", 1)
                client.socket.settimeout(0.0)
                # Sends what the kernel takes. Nothing is unread at the client, so its close is no reset.
                try:
                    client.socket.sendall(pipelined)
                except BlockingIOError:
                    pass
                client.close()
                self.wait_for_counter("left", 1)
                discovery.publish(member("w1", worker.port))
                self.connect_client().submit("status-read", "job-3")
                self.assertEqual(worker.accept().read_message()[1]["x-call-id"], "job-3")
                self.assertEqual(self.read_counters()["taken"], 2)
                self.stop()

    def test_while_it_is_queued_and_more_requests_than_the_kernel_takes_lie_behind_it(self) -> None:
        """The close of the client stayed behind them, and its request was sent on."""
        worker, discovery = ListenerStandIn(self), DiscoveryStandIn(self)
        self.start(discovery=discovery)
        discovery.next_watch()
        client = self.connect_client()
        client.submit("status-read", "job-1")
        self.wait_for_counter("taken", 1)
        client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1_000_000)
        behind = b"".join(encode_job("status-read", f"behind-{n}", bytes(20_000)) for n in range(30))
        client.socket.settimeout(0.0)
        sent = client.socket.send(behind)
        self.assertGreater(sent, 400_000)
        client.close()
        self.wait_for_counter("left", 1)
        discovery.publish(member("w1", worker.port))
        self.connect_client().submit("status-read", "job-3")
        self.assertEqual(worker.accept().read_message()[1]["x-call-id"], "job-3")
        self.assertEqual(self.read_counters()["taken"], 2)

    def test_each_request_that_is_pipelined_gets_its_answer_however_many_there_are(self) -> None:
        worker, discovery = ListenerStandIn(self), DiscoveryStandIn(self)
        self.start(discovery=discovery)
        discovery.next_watch()
        client = self.connect_client()
        client.submit("status-read", "job-1")
        self.wait_for_counter("taken", 1)
        for number in range(200):
            client.submit("status-read", f"behind-{number}", bytes(2_000))
        time.sleep(0.3)
        discovery.publish(member("w1", worker.port))
        attempts = worker.accept()

        def serve() -> None:
            with contextlib.suppress(OSError, ValueError, IndexError):
                while attempts.read_message()[0]:
                    attempts.respond(200, b"served")

        threading.Thread(target=serve, daemon=True).start()
        statuses = [client.read_message()[0].split(" ")[1] for _ in range(201)]
        self.assertEqual(statuses[0], "200")
        self.assertEqual(set(statuses), {"200", "503"})
        rejected = statuses.count("503")
        self.assertGreater(rejected, 0)

    def test_before_it_was_read(self) -> None:
        """The daemon is stopped by a signal while the client sends and disconnects."""
        worker = ListenerStandIn(self)
        self.start(member("w1", worker.port))
        with self.daemon.kill_on_timeout():
            while b" 200 " not in self.read_up_response():
                pass
        self.daemon.process.send_signal(signal.SIGSTOP)
        client = self.connect_client()
        client.socket.sendall(b"GET /up HTTP/1.1\r\n\r\n" + encode_job("status-read", "job-1"))
        client.socket.shutdown(socket.SHUT_WR)
        self.daemon.process.send_signal(signal.SIGCONT)
        self.assertIn(b" 200 ", client.read_to_end())  # the daemon has closed the connection by then
        self.assertNotIn("taken", self.read_counters())
        self.assertTrue(worker.has_no_connection())

    def read_up_response(self) -> bytes:
        client = self.connect_client()
        client.socket.sendall(b"GET /up HTTP/1.1\r\nConnection: close\r\n\r\n")
        return client.read_to_end()

    def test_before_a_retry(self) -> None:
        listener = ListenerStandIn(self)
        self.start(member("w1", listener.port), cancel=False)
        client = self.connect_client()
        client.submit("status-read", "job-1")
        worker = listener.accept()
        worker.read_message()
        client.close()
        self.wait_for_counter("left", 1)
        worker.respond(503, X_Rejected="1")
        self.wait_for_counter("ended.full", 1)
        self.connect_client().submit("schedule-apply", "job-2")
        self.assertEqual(listener.accept().read_message()[1]["x-call-id"], "job-2")

    def test_request_submitted_again_under_the_same_id_has_its_own_deadline(self) -> None:
        """The deadline of the first request passes while the second one is queued.

        A third request, submitted last with the same budget, shows by its 503 that this has happened.
        """
        listener, discovery = ListenerStandIn(self), DiscoveryStandIn(self)
        self.start(discovery=discovery)
        discovery.next_watch()
        first, second, third = self.connect_client(), self.connect_client(), self.connect_client()
        first.submit("status-read", "job-1", budget_ms=300)
        self.wait_for_counter("taken", 1)
        first.close()
        self.wait_for_counter("left", 1)
        second.submit("status-read", "job-1")
        third.submit("status-read", "job-2", budget_ms=300)
        self.assertIn("503", third.read_message()[0])
        discovery.publish(member("w1", listener.port))
        worker = listener.accept()
        self.assertEqual(worker.read_message()[1]["x-call-id"], "job-1")
        worker.respond(200, b"served")
        self.assertEqual(second.read_message()[2], b"served")

    def test_while_it_waits_for_a_fetch_of_a_faktory_worker(self) -> None:
        for pipelined in (b"", b"INFO\r\nBE"):
            for cls in ("status-read", "schedule-apply"):
                with self.subTest(cls, pipelined=pipelined):
                    self.start(cancel=False, fronts='[faktory]\nlisten = "127.0.0.1:0"\n')
                    worker = FaktoryClient(self.daemon, wid="w1", labels=["zone:a", "kind:big"])
                    self.addCleanup(worker.close)
                    self.wait_for_counter("listed.partial", 1)
                    client = FaktoryClient(self.daemon)
                    client.socket.sendall(encode_push(cls, "job-0001") + pipelined)
                    self.wait_for_counter("sent", 1)
                    client.close()
                    self.wait_for_counter("left", 1)
                    other = FaktoryClient(self.daemon)
                    self.addCleanup(other.close)
                    other.socket.sendall(encode_push(cls, "job-0002"))
                    self.wait_for_counter("sent", 2)
                    self.assertEqual(json.loads(worker.ask("FETCH", cls))["jid"], "job-0002")
                    self.stop()


ATTEMPT_TIMEOUT_MS = 9e5


class HttpWorkerTestCase(unittest.IsolatedAsyncioTestCase):
    """Base of the tests of an HttpWorker in the test's own event loop.

    The test can respond to what the worker actor does in one turn of the loop before the next turn.
    """

    async def asyncSetUp(self) -> None:
        self.listener, self.results = ListenerStandIn(self), asyncio.Queue()
        pool = ConnectionPool(
            Address("127.0.0.1", self.listener.port), BufferPool(), DescriptorBudget(99), 9e3, 9e3
        )
        self.http_worker = HttpWorker("w1", pool, LoadReportReader(()), lambda worker: None)
        self.pool, self.may_send = pool, True

    def post(self, message: object) -> None:
        """Receives the messages of the worker actor, as its AttemptListener."""
        if isinstance(message, AttemptEnded):
            self.results.put_nowait((message.result, message.is_unsent))

    async def deliver(self, is_idempotent: bool) -> None:
        request = JobRequest("job-1", "look", 9e3)
        self.http_worker.deliver(
            DeliveryAttempt(request, 0, ATTEMPT_TIMEOUT_MS, is_idempotent, may_send=lambda: self.may_send),
            self,
        )
        while "job-1" not in self.http_worker.attempts:
            await asyncio.sleep(0)


class CancelledAttemptTests(HttpWorkerTestCase):
    """An attempt is cancelled after it was sent, when a 202 of the worker may already be on its way."""

    async def deliver_sent(self) -> ConnectionStandIn:
        await self.deliver(True)
        connection = await asyncio.to_thread(self.listener.accept)
        self.assertEqual((await asyncio.to_thread(connection.read_message))[1]["x-call-id"], "job-1")
        while not self.http_worker.attempts["job-1"].is_last_byte_written:
            await asyncio.sleep(0)
        return connection

    async def wait_for_cancel(self) -> None:
        while self.http_worker.attempts["job-1"].cancel_result is None:
            await asyncio.sleep(0)

    async def check_delete(self, result: str, response: bytes = b"HTTP/1.1 204 X\r\n\r\n") -> None:
        """Checks that the attempt ends only after the worker has answered a DELETE.

        The request is in flight until then, and so is not forwarded elsewhere.
        """
        ended, accepted = (
            asyncio.ensure_future(self.results.get()),
            asyncio.ensure_future(asyncio.to_thread(self.listener.accept)),
        )
        await asyncio.wait({ended, accepted}, timeout=WAIT_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED)
        self.assertFalse(ended.done())
        connection = await accepted
        self.assertIn("DELETE /jobs/job-1 ", (await asyncio.to_thread(connection.read_message))[0])
        self.assertFalse(ended.done())
        connection.socket.sendall(response)
        self.assertEqual(await asyncio.wait_for(ended, WAIT_TIMEOUT_S), (result, False))

    async def test_202_on_its_way_is_read_and_its_job_is_deleted(self) -> None:
        connection = await self.deliver_sent()
        self.http_worker.cancel("job-1", 0, "cancelled")
        await self.wait_for_cancel()
        connection.respond(202)  # before the next turn of the loop
        await self.check_delete("cancelled")

    async def test_202_that_arrives_at_the_accept_timeout_is_read_and_its_job_is_deleted(
        self,
    ) -> None:
        with mock.patch.object(http_worker, "ACCEPT_TIMEOUT_S", 0.0):
            connection = await self.deliver_sent()
            await self.wait_for_cancel()
            connection.respond(202)
            await self.check_delete("timeout")

    async def test_job_of_a_malformed_response_is_deleted(self) -> None:
        """The worker may have accepted the job."""
        connection = await self.deliver_sent()
        connection.socket.sendall(b"HTTP/1.1 2o2 Accepted\r\n\r\n")
        # A malformed response to the DELETE shows that the worker has read it.
        await self.check_delete("reset", b"HTTP/1.1 2o4 Gone\r\n\r\n")

    async def test_job_of_an_incomplete_response_is_deleted(self) -> None:
        connection = await self.deliver_sent()
        connection.socket.sendall(b"HTTP/1.1 202 Accepted\r\nX-Load-Report: ")
        self.http_worker.cancel("job-1", 0, "cancelled")
        await self.check_delete("cancelled")

    async def test_rejection_on_its_way_counts(self) -> None:
        connection = await self.deliver_sent()
        self.http_worker.cancel("job-1", 0, "cancelled")
        await self.wait_for_cancel()
        connection.respond(503, X_Rejected="1")
        self.assertEqual(await asyncio.wait_for(self.results.get(), WAIT_TIMEOUT_S), ("full", False))

    async def test_worker_that_closes_within_its_response_has_ended_the_attempt(self) -> None:
        connection = await self.deliver_sent()
        connection.socket.sendall(b"HTTP/1.1 20")
        connection.close()
        self.assertEqual(await asyncio.wait_for(self.results.get(), WAIT_TIMEOUT_S), ("reset", False))
        self.assertTrue(self.listener.has_no_connection())

    async def test_worker_that_does_not_respond_is_notified_by_the_close_of_the_connection(self) -> None:
        connection = await self.deliver_sent()
        self.http_worker.cancel("job-1", 0, "cancelled")
        self.assertEqual(await asyncio.to_thread(connection.read_to_end), b"")
        self.assertEqual(await asyncio.wait_for(self.results.get(), WAIT_TIMEOUT_S), ("cancelled", False))
        self.assertTrue(self.listener.has_no_connection())
        self.assertEqual(self.pool.descriptors.open_count, 0)


class SocketExhaustionTests(HttpWorkerTestCase):
    async def test_attempt_without_a_socket_ends_unsent_and_frees_its_connection_slot(self) -> None:
        failing = mock.patch.object(connection_pool, "open_socket", side_effect=OSError(24, "too many"))
        for is_idempotent in (True, False):
            with failing:
                await self.deliver(is_idempotent)
                result = await asyncio.wait_for(self.results.get(), WAIT_TIMEOUT_S)
            self.assertEqual(result, ("unreachable", True))
            self.assertEqual(self.pool.descriptors.open_count, 0)
        for _ in range(MAX_CONNECTIONS):
            await asyncio.wait_for(self.pool.connection_slots.acquire(), WAIT_TIMEOUT_S)


class NoFreeSlotTests(HttpWorkerTestCase):
    """All connection slots of the worker are in use."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for _ in range(MAX_CONNECTIONS):
            await self.pool.connection_slots.acquire()

    async def check_not_sent(self) -> None:
        self.assertEqual(await asyncio.wait_for(self.results.get(), WAIT_TIMEOUT_S), ("moot", True))
        self.pool.connection_slots.release()  # the ended attempt must not use the free slot
        await self.pool.connection_slots.acquire()
        self.assertTrue(self.listener.has_no_connection())
        self.assertEqual(self.pool.descriptors.open_count, 0)

    async def test_attempt_withdrawn_while_it_waits_for_a_slot_takes_none(self) -> None:
        for is_idempotent in (True, False):
            await self.deliver(is_idempotent)
            self.http_worker.withdraw("job-1", 0)
            await self.check_not_sent()

    async def test_attempt_that_may_no_longer_be_sent_when_it_gets_a_slot_is_not_sent(self) -> None:
        for is_idempotent in (True, False):
            self.may_send = True
            await self.deliver(is_idempotent)
            self.may_send = False
            self.pool.connection_slots.release()
            self.assertEqual(await asyncio.wait_for(self.results.get(), WAIT_TIMEOUT_S), ("moot", True))
            self.assertTrue(self.listener.has_no_connection())
            await self.pool.connection_slots.acquire()

    async def test_budget_sent_to_the_worker_is_what_remains_after_the_wait_for_a_slot(self) -> None:
        """With the whole budget the worker would continue after the client's deadline."""
        for is_idempotent in (True, False):
            started_s = time.monotonic()
            await self.deliver(is_idempotent)
            await asyncio.sleep(0.2)
            self.pool.connection_slots.release()
            connection = await asyncio.to_thread(self.listener.accept)
            headers = (await asyncio.to_thread(connection.read_message))[1]
            remaining_ms = ATTEMPT_TIMEOUT_MS - 200.0
            self.assertLessEqual(int(headers["x-budget-ms"]), remaining_ms)
            self.assertGreater(
                int(headers["x-budget-ms"]), remaining_ms - (time.monotonic() - started_s) * 1000.0
            )
            connection.respond(200, b"served")
            self.assertEqual(await asyncio.wait_for(self.results.get(), WAIT_TIMEOUT_S), ("ok", False))
            await self.pool.connection_slots.acquire()

    async def test_probe_is_not_sent_to_a_worker_that_started_draining_while_it_waited(self) -> None:
        probe_results: asyncio.Queue[object] = asyncio.Queue()
        listener = SimpleNamespace(post=probe_results.put_nowait)
        self.http_worker.probe(1, listener)
        await asyncio.sleep(0.05)
        self.http_worker.start_draining()
        self.pool.connection_slots.release()
        await asyncio.wait_for(probe_results.get(), WAIT_TIMEOUT_S)
        self.assertTrue(self.listener.has_no_connection())
        await self.pool.connection_slots.acquire()


def fill_send_buffer(sock: socket.socket) -> int:
    """Writes until the kernel takes no more, and returns the number of bytes that it took."""
    written_bytes = 0
    with suppress(BlockingIOError):
        while True:
            written_bytes += sock.send(FILL_BYTES)
    return written_bytes


class FullSendBufferTests(HttpWorkerTestCase):
    """The worker does not read, and the kernel's send buffer is full when the last byte is written."""

    async def deliver_into_full_buffer(self, is_idempotent: bool) -> ConnectionStandIn:
        """Delivers an attempt whose last write finds no room in the send buffer.

        The bytes that fill the buffer reach the worker before the last write does.
        """
        is_reusable = PooledConnection.is_reusable

        def fill_before_last_write(connection: PooledConnection) -> bool:
            while fill_send_buffer(connection.stream.socket):
                time.sleep(BUFFER_SETTLE_S)  # bytes that the worker's kernel takes late make room again
            return is_reusable(connection)

        with mock.patch.object(PooledConnection, "is_reusable", fill_before_last_write):
            await self.deliver(is_idempotent)
            connection = await asyncio.to_thread(self.listener.accept)
            while not self.http_worker.attempts["job-1"].is_last_byte_written:
                await asyncio.sleep(0)
        self.assertTrue(self.http_worker.attempts["job-1"].connection.stream.writing())
        return connection

    async def test_bytes_that_may_no_longer_be_sent_when_there_is_room_are_not_sent(self) -> None:
        """For example after the end of a deduplication window or a lease."""
        for is_idempotent in (True, False):
            with self.subTest(is_idempotent=is_idempotent):
                self.may_send = True
                connection = await self.deliver_into_full_buffer(is_idempotent)
                self.may_send = False
                received = await asyncio.to_thread(connection.read_to_end)
                self.assertEqual(received[-1:], FILL_BYTES[-1:])
                self.assertEqual(await asyncio.wait_for(self.results.get(), WAIT_TIMEOUT_S), ("moot", True))
                self.assertEqual(self.pool.descriptors.open_count, 0)

    async def test_buffered_bytes_are_not_sent_to_a_worker_that_starts_draining(self) -> None:
        for is_idempotent in (True, False):
            with self.subTest(is_idempotent=is_idempotent):
                connection = await self.deliver_into_full_buffer(is_idempotent)
                self.http_worker.start_draining()
                received = await asyncio.to_thread(connection.read_to_end)
                self.assertEqual(received[-1:], FILL_BYTES[-1:])
                self.assertEqual(await asyncio.wait_for(self.results.get(), WAIT_TIMEOUT_S), ("moot", True))
                self.http_worker.is_draining = False

    async def test_bytes_that_may_be_sent_are_sent_once_there_is_room(self) -> None:
        connection = await self.deliver_into_full_buffer(False)
        while (await asyncio.to_thread(connection.socket.recv, len(FILL_BYTES))).strip(b"0") != b"\n":
            pass
        connection.respond(200, b"served")
        self.assertEqual(await asyncio.wait_for(self.results.get(), WAIT_TIMEOUT_S), ("ok", False))


class FaktoryFetchTests(unittest.IsolatedAsyncioTestCase):
    async def test_fetch_of_an_attempt_that_may_no_longer_be_sent_goes_to_the_next_attempt(self) -> None:
        results: asyncio.Queue[AttemptEnded] = asyncio.Queue()

        class Listener:
            def post(self, message: object) -> None:
                if isinstance(message, AttemptEnded):
                    results.put_nowait(message)

        faktory_worker, reply = FaktoryWorker("w1", "here"), Future()
        for job, may_send in (("job-1", False), ("job-2", True)):
            delivery = DeliveryAttempt(
                JobRequest(job, "look", 9e3), 0, 9e3, may_send=lambda may_send=may_send: may_send
            )
            faktory_worker.deliver(delivery, Listener())
        faktory_worker.post(FetchRequested(("look",), reply))
        ended = await asyncio.wait_for(results.get(), WAIT_TIMEOUT_S)
        self.assertEqual((ended.request, ended.result, ended.is_unsent), ("job-1", "moot", True))
        self.assertIn(b"job-2", (await asyncio.wait_for(reply, WAIT_TIMEOUT_S))[0])


class UnsentAttemptTests(DaemonTestCase):
    def test_last_byte_is_not_sent_after_the_timeout_of_a_partly_sent_attempt(self) -> None:
        """The worker reads only a part, the client's deadline passes, and then the worker reads the rest."""
        listener = ListenerStandIn(self, receive_buffer_bytes=1024)
        self.start(member("w1", listener.port), command=(INSTRUMENTED_DAEMON_SCRIPT, "small"))
        client = self.connect_client()
        client.submit("status-read", "job-1", bytes(60_000), budget_ms=400)
        worker = listener.accept()
        self.assertIn("503", client.read_message()[0])
        self.wait_for_counter("ended.timeout", 1)
        self.assertLess(len(worker.read_to_end()), 60_000)
        self.assertNotIn("tries", self.read_counters())

    def test_last_byte_is_not_sent_after_the_client_of_a_partly_sent_attempt_disconnects(self) -> None:
        """Unsent bytes are not sent even where the settings allow no cancellation."""
        listener = ListenerStandIn(self, receive_buffer_bytes=1024)
        self.start(member("w1", listener.port), command=(INSTRUMENTED_DAEMON_SCRIPT, "small"), cancel=False)
        client = self.connect_client()
        client.submit("status-read", "job-1", bytes(60_000))
        worker = listener.accept()
        worker.socket.recv(1)
        client.close()
        self.wait_for_counter("ended.moot", 1)
        self.assertLess(len(worker.read_to_end()), 60_000)
        self.assertNotIn("tries", self.read_counters())

    def create_control_files(self) -> tuple[Path, Path]:
        """Returns a pipe for option `hold` and an empty file for option `ahead` of instrumented_daemon.py."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        gate, ahead = Path(folder.name) / "gate", Path(folder.name) / "ahead"
        os.mkfifo(gate)
        ahead.touch()
        return gate, ahead

    def test_retry_is_not_sent_after_the_deduplication_window(self) -> None:
        """The retry is decided within the window, and its connection is established after it.

        The second worker's backlog is full, so TCP repeats the connect after a second.
        """
        first, second, discovery = (
            ListenerStandIn(self),
            ListenerStandIn(self, backlog=0),
            DiscoveryStandIn(self),
        )
        backlog_count, (_, ahead) = second.fill_backlog(), self.create_control_files()
        self.start(
            member("w1", first.port),
            discovery=discovery,
            command=(INSTRUMENTED_DAEMON_SCRIPT, f"ahead={ahead}"),
        )
        discovery.next_watch()
        client = self.connect_client()
        client.submit("setpoint-push", "job-1")
        worker = first.accept()
        worker.read_message()
        discovery.publish(member("w2", second.port), member("w1", first.port, phase="leaving"))
        worker.respond(500)  # the job may have run
        self.wait_for_counter("sent", 2)
        second.wait_for_pending_connect()
        os.truncate(ahead, DEDUPLICATION_WINDOW_MS)
        for _ in range(backlog_count):
            second.accept().close()
        self.assertEqual(second.accept().read_to_end(), b"")
        self.assertEqual(self.wait_for_counter("ended.moot", 1)["tries"], 1)

    def test_held_back_last_byte_of_a_retry_is_not_sent_after_the_deduplication_window(self) -> None:
        """The worker has all bytes but the last when the window ends."""
        first, second, discovery = ListenerStandIn(self), ListenerStandIn(self), DiscoveryStandIn(self)
        gate, ahead = self.create_control_files()
        self.start(
            member("w1", first.port),
            discovery=discovery,
            command=(INSTRUMENTED_DAEMON_SCRIPT, f"hold={gate}", f"ahead={ahead}"),
        )
        discovery.next_watch()
        client = self.connect_client()
        client.submit("setpoint-push", "job-1", b"body")
        worker = first.accept()
        gate.write_bytes(b"1")
        worker.read_message()
        discovery.publish(member("w2", second.port), member("w1", first.port, phase="leaving"))
        worker.respond(500)  # the job may have run
        retry = second.accept()
        while retry.file.readline() != b"\r\n":
            pass
        self.assertEqual(retry.file.read(3), b"bod")
        os.truncate(ahead, DEDUPLICATION_WINDOW_MS)
        gate.write_bytes(b"2")
        self.assertEqual(retry.read_to_end(), b"")
        self.assertEqual(self.wait_for_counter("ended.moot", 1)["tries"], 1)

    def test_worker_that_responds_twice_gets_one_request_per_connection(self) -> None:
        """A late second response would be taken for the response to the next request."""
        listener = ListenerStandIn(self)
        self.start(member("w1", listener.port))
        client = self.connect_client()
        client.submit("status-read", "job-1")
        first = listener.accept()
        first.read_message()
        first.respond(200, b"first")
        self.assertEqual(client.read_message()[2], b"first")
        first.respond(503, X_Rejected="1")  # unread when the next request comes
        client.submit("status-read", "job-2")
        second = listener.accept()
        self.assertEqual(second.read_message()[1]["x-call-id"], "job-2")
        second.respond(200, b"second")
        self.assertEqual(client.read_message()[2], b"second")
        # No second response has arrived on this connection yet, but one still could.
        client.submit("status-read", "job-3")
        self.assertEqual(listener.accept().read_message()[1]["x-call-id"], "job-3")


class DrainTests(DaemonTestCase):
    def test_client_that_never_reads_its_answer_does_not_block_the_drain(self) -> None:
        listener = ListenerStandIn(self)
        self.start(member("w1", listener.port), command=(INSTRUMENTED_DAEMON_SCRIPT, "small"))
        client = socket.socket()
        self.addCleanup(client.close)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        client.connect(self.daemon.addresses["clients"])
        client.sendall(encode_job("status-read", "job-1"))
        worker = listener.accept()
        worker.read_message()
        worker.respond(200, bytes(60_000))
        self.wait_for_counter("answered", 1)
        self.daemon.process.send_signal(signal.SIGTERM)
        self.assertEqual(self.daemon.wait()[0], 0)

    def test_partly_written_answer_is_completed_during_the_drain(self) -> None:
        """The client reads the rest only after the drain has visibly started."""
        listener = ListenerStandIn(self)
        self.start(member("w1", listener.port), command=(INSTRUMENTED_DAEMON_SCRIPT, "small"))
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        client.connect(self.daemon.addresses["clients"])
        client = ConnectionStandIn(self, client)
        client.submit("status-read", "job-1")
        worker = listener.accept()
        worker.read_message()
        worker.respond(200, bytes(60_000))
        self.wait_for_counter("answered", 1)
        self.daemon.process.send_signal(signal.SIGTERM)
        with self.daemon.kill_on_timeout():
            while True:
                with self.daemon.connect("clients") as connection:
                    connection.sendall(b"GET /up HTTP/1.1\r\n\r\n")
                    if "503" in read_http(connection.makefile("rb"))[0]:
                        break
        self.assertEqual(len(client.read_message()[2]), 60_000)
        self.assertEqual(self.daemon.wait()[0], 0)

    def test_connections_are_refused_once_the_daemon_has_served(self) -> None:
        """A listener left open while the interpreter exits would accept connections and reset them."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        gate = Path(folder.name) / "gate"
        os.mkfifo(gate)
        self.start(command=(INSTRUMENTED_DAEMON_SCRIPT, f"end={gate}"))
        self.daemon.process.send_signal(signal.SIGTERM)
        with self.daemon.kill_on_timeout():
            while "ending" not in self.daemon.process.stdout.readline():
                pass
        with self.assertRaises(ConnectionRefusedError):
            self.connect_client()
        gate.write_text("go")
        self.assertEqual(self.daemon.wait()[0], 0)


if __name__ == "__main__":
    unittest.main()
