"""What is owed at the moment when something ends: real connections to a started daemon, in an order that the
test forces by events. docs/design/endings.md has the table."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import tempfile
import time
import unittest
from contextlib import suppress
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

from player import PATIENCE_S, SETTINGS, Daemon, config, member
from standins import FaktorySpeaker, read_http
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

SYN_SENT = "02"  # of /proc/net/tcp
WINDOW_MS = 12000  # in which job workers drop a repeat
FILLING = b"0" * 65536
SETTLES_S = 0.05
ODDLY = str(Path(__file__).parent / "oddly.py")


class Hears:
    """A listening socket of a stand-in, and what comes there."""

    def __init__(self, case: unittest.TestCase, backlog: int = 128, receives: int = 0) -> None:
        self.listener = socket.socket()
        if receives:  # what is accepted here takes in no more than about this, unread
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receives)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(backlog)
        self.listener.settimeout(PATIENCE_S)
        self.port = self.listener.getsockname()[1]
        self.case = case
        case.addCleanup(self.listener.close)

    def accept(self) -> Speaks:
        return Speaks(self.case, self.listener.accept()[0])

    def none_waits(self) -> bool:
        self.listener.settimeout(0)
        try:
            self.accept()
            return False
        except BlockingIOError:
            return True
        finally:
            self.listener.settimeout(PATIENCE_S)

    def fill(self) -> int:
        """Fill the backlog (made with 0) with connections; how many. The next one does not come up before one
        of them was accepted."""
        held = []
        while True:
            one = socket.socket()
            self.case.addCleanup(one.close)
            one.setblocking(False)
            one.connect_ex(("127.0.0.1", self.port))
            held.append(one)
            # What came up is known at once on this machine; what did not will not.
            try:
                one.getpeername()
            except OSError:
                one.close()
                return len(held) - 1

    def until_one_asks(self) -> None:
        """Wait for a connection that was begun and has not come up: the backlog is full."""
        ending, end = f":{self.port:04X}", time.monotonic() + PATIENCE_S
        while not any(
            remote.endswith(ending) and state == SYN_SENT
            for remote, state in (
                line.split()[2:4] for line in Path("/proc/net/tcp").read_text().splitlines()[1:]
            )
        ):
            self.case.assertLess(time.monotonic(), end, "no connection was begun")


class Speaks:
    """One connection, read by messages."""

    def __init__(self, case: unittest.TestCase, sock: socket.socket) -> None:
        self.socket = sock
        sock.settimeout(PATIENCE_S)
        self.file = sock.makefile("rb")
        case.addCleanup(self.close)

    def close(self) -> None:
        self.file.close()
        self.socket.close()

    def read(self) -> tuple[str, dict[str, str], bytes]:
        return read_http(self.file)

    def rest(self) -> bytes:
        """All that comes until the other side ends it."""
        try:
            return self.file.read()
        except ConnectionResetError:
            return b""

    def say(self, status: int, body: bytes = b"", **headers: str) -> None:
        lines = [
            f"HTTP/1.1 {status} X",
            f"Content-Length: {len(body)}",
            *(f"{name.replace('_', '-')}: {value}" for name, value in headers.items()),
        ]
        self.socket.sendall("\r\n".join([*lines, "", ""]).encode() + body)

    def ask(self, cls: str, job: str, body: bytes = b"", budget: int = 60000) -> None:
        self.socket.sendall(request(cls, job, body, budget))


def request(cls: str, job: str, body: bytes = b"", budget: int = 60000) -> bytes:
    return (
        f"POST /{cls} HTTP/1.1\r\nX-Call-Id: {job}\r\nX-Budget-Ms: {budget}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def push(cls: str, job: str) -> bytes:
    """A Faktory client's command that waits for the outcome."""
    told = {"jid": job, "jobtype": cls, "queue": cls, "args": [], "custom": {"answer": "outcome"}}
    return f"PUSH {json.dumps(told)}\r\n".encode()


class Discovery(Hears):
    """Answers a watch when the test says so."""

    def __init__(self, case: unittest.TestCase) -> None:
        super().__init__(case)
        self.watch: Speaks | None = None
        self.revision = 1

    def called(self) -> str:
        """The next call's target, on the connection that stands or a new one: one that waits for changes.
        What has to be answered at once is, as discovery does it."""
        while True:
            if self.watch is None:
                self.watch = self.accept()
            first, _, _ = self.watch.read()
            if not first:  # the call took too long for the daemon
                self.watch = None
                continue
            target = first.split(" ")[1]
            if not target.endswith("timeout_ms=1"):
                return target
            self._answer()

    def _answer(self, *members: dict) -> None:
        body = {"revision": self.revision, "complete": False, "members": list(members)}
        with suppress(BrokenPipeError, ConnectionResetError):
            self.watch.say(200, json.dumps(body).encode())

    def tell(self, *members: dict) -> None:
        """Answer the call, and wait for the next: by then the answer has been read. A call that the daemon
        had given up is repeated from the former revision, and answered again."""
        self.revision += 1
        self._answer(*members)
        while f"since={self.revision}&" not in self.called():
            self._answer(*members)


class Endings(unittest.TestCase):
    def start(
        self,
        *members: dict,
        at: Discovery | None = None,
        cancel: bool = True,
        pushed: bool = True,
        command: tuple[str, ...] = ("-m", "spanwing"),
        fronts: str = "",
    ) -> Daemon:
        allowed = {**SETTINGS["permissions"], "connect_timeout_ms": 20000.0, "cancel": cancel}
        given = config(members, f"127.0.0.1:{at.port if at else 9}", permissions=allowed)
        given["settings"]["discovery"] = "automatic" if pushed else "subscribe"
        given["settings"]["classes"][2]["window_ms"] = WINDOW_MS
        self.daemon = Daemon(given, fronts, command=command)
        self.addCleanup(self.stop)
        return self.daemon.ready()

    def stop(self) -> None:
        """End it, and look at what it said."""
        if not self.daemon.errors.closed:
            said = self.daemon.said()
            self.daemon.close()
            self.assertNotIn("Traceback", said)
            self.assertNotIn("fault", said)

    def client(self) -> Speaks:
        return Speaks(self, self.daemon.connect("clients"))

    def counters(self) -> dict[str, int]:
        with self.daemon.connect("clients") as asked:
            asked.sendall(b"GET /counters HTTP/1.1\r\n\r\n")
            return json.loads(read_http(asked.makefile("rb"))[2])

    def until(self, name: str, count: int) -> dict[str, int]:
        """Ask for the counters until one of them is so high."""
        with self.daemon.patience():
            while (told := self.counters()).get(name, 0) < count:
                pass
        return told


class Lists(Endings):
    def test_a_pushed_list_is_watched_from_the_first_moment(self) -> None:
        """Where discovery is `automatic` the module asks for nothing; what discovery has counts anyhow."""
        one, two, discovery = Hears(self), Hears(self), Discovery(self)
        self.start(member("w1", one.port), at=discovery)
        self.assertIn("since=1&", discovery.called())
        discovery.tell(member("w1", one.port, phase="leaving"), member("w2", two.port))
        self.client().ask("status-read", "job-1")
        self.assertEqual(two.accept().read()[1]["x-call-id"], "job-1")
        self.assertTrue(one.none_waits())

    def test_what_waits_for_a_connection_is_not_sent_to_a_worker_that_begins_to_drain(self) -> None:
        for cls in ("status-read", "schedule-apply"):
            with self.subTest(cls):
                one, two, discovery = Hears(self, backlog=0), Hears(self), Discovery(self)
                filling = one.fill()
                self.start(member("w1", one.port), at=discovery)
                discovery.called()
                self.client().ask(cls, "job-1")
                one.until_one_asks()
                discovery.tell(member("w1", one.port, phase="leaving"), member("w2", two.port))
                # It goes elsewhere at once, and not when the connection comes up or its time is over.
                self.assertEqual(two.accept().read()[1]["x-call-id"], "job-1")
                for _ in range(filling):
                    one.accept().close()
                self.assertEqual(one.accept().rest(), b"")
                self.stop()

    def test_a_call_back_of_what_a_worker_took_at_its_former_address_counts(self) -> None:
        one, two, discovery = Hears(self), Hears(self), Discovery(self)
        self.start(member("w1", one.port), at=discovery)
        discovery.called()
        client = self.client()
        client.ask("status-read", "job-1")
        worker = one.accept()
        worker.read()
        worker.say(202)
        discovery.tell(member("w1", two.port))
        event = json.dumps({"id": "job-1", "from": "w1", "state": "done", "result": "served"}).encode()
        with self.daemon.connect("clients") as back:
            back.sendall(
                b"POST /v1/job-events HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s" % (len(event), event)
            )
            self.assertIn("204", read_http(back.makefile("rb"))[0])
        self.assertEqual(client.read()[2], b"served")


class Gone(Endings):
    """A request whose client left while it waited is not sent on."""

    def both(self, wait: str) -> None:
        for cancel in (True, False):
            for cls in ("status-read", "schedule-apply", "setpoint-push"):
                with self.subTest(wait, cancel=cancel, cls=cls):
                    getattr(self, wait)(cls, cancel)
                    self.stop()

    def test_while_its_connection_comes_up(self) -> None:
        self.both("connecting")

    def connecting(self, cls: str, cancel: bool) -> None:
        worker = Hears(self, backlog=0)
        filling = worker.fill()
        self.start(member("w1", worker.port), cancel=cancel)
        client = self.client()
        client.ask(cls, "job-1")
        worker.until_one_asks()
        client.close()
        self.until("left", 1)
        for _ in range(filling):
            worker.accept().close()
        self.assertEqual(worker.accept().rest(), b"")
        self.assertNotIn("tries", self.counters())

    def test_while_its_last_byte_is_held_back(self) -> None:
        for cancel in (True, False):
            for cls in ("schedule-apply", "setpoint-push"):
                with self.subTest(cls, cancel=cancel), tempfile.TemporaryDirectory() as folder:
                    gate = Path(folder) / "gate"
                    os.mkfifo(gate)
                    worker = Hears(self)
                    self.start(member("w1", worker.port), cancel=cancel, command=(ODDLY, f"hold={gate}"))
                    client = self.client()
                    client.ask(cls, "job-1", b"body")
                    taken = worker.accept()
                    while not taken.file.readline().strip() == b"":
                        pass
                    self.assertEqual(taken.file.read(3), b"bod")
                    client.close()
                    self.until("left", 1)
                    gate.write_bytes(b"1")
                    self.assertEqual(taken.rest(), b"")
                    self.assertNotIn("tries", self.counters())
                    self.stop()

    def test_while_it_is_held_behind_bytes_that_its_client_sent_ahead(self) -> None:
        for ahead in (b"POST /stat", request("status-read", "job-2"), bytes(60_000)):
            with self.subTest(ahead=len(ahead)):
                worker, discovery = Hears(self), Discovery(self)
                self.start(at=discovery)
                discovery.called()
                client = self.client()
                client.ask("status-read", "job-1")
                self.until("taken", 1)
                client.socket.settimeout(0.0)
                try:  # as much as is taken; none of it is read, or a close would be a reset
                    client.socket.sendall(ahead)
                except BlockingIOError:
                    pass
                client.close()
                self.until("left", 1)
                discovery.tell(member("w1", worker.port))
                self.client().ask("status-read", "job-3")
                self.assertEqual(worker.accept().read()[1]["x-call-id"], "job-3")
                self.assertEqual(self.counters()["taken"], 2)
                self.stop()

    def test_before_it_was_read(self) -> None:
        """The daemon stands still while the client sends and goes."""
        worker = Hears(self)
        self.start(member("w1", worker.port))
        with self.daemon.patience():
            while b" 200 " not in self.asked_whether_up():
                pass
        self.daemon.process.send_signal(signal.SIGSTOP)
        client = self.client()
        client.socket.sendall(b"GET /up HTTP/1.1\r\n\r\n" + request("status-read", "job-1"))
        client.socket.shutdown(socket.SHUT_WR)
        self.daemon.process.send_signal(signal.SIGCONT)
        self.assertIn(b" 200 ", client.rest())  # until the daemon has ended it
        self.assertNotIn("taken", self.counters())
        self.assertTrue(worker.none_waits())

    def asked_whether_up(self) -> bytes:
        client = self.client()
        client.socket.sendall(b"GET /up HTTP/1.1\r\nConnection: close\r\n\r\n")
        return client.rest()

    def test_before_a_retry(self) -> None:
        worker = Hears(self)
        self.start(member("w1", worker.port), cancel=False)
        client = self.client()
        client.ask("status-read", "job-1")
        first = worker.accept()
        first.read()
        client.close()
        self.until("left", 1)
        first.say(503, X_Rejected="1")
        self.until("ended.full", 1)
        self.client().ask("schedule-apply", "job-2")
        self.assertEqual(worker.accept().read()[1]["x-call-id"], "job-2")

    def test_one_that_comes_again_under_its_id_has_its_own_time(self) -> None:
        """The time of the former is over before that of a third, which came last and says so."""
        worker, discovery = Hears(self), Discovery(self)
        self.start(at=discovery)
        discovery.called()
        first, again, third = self.client(), self.client(), self.client()
        first.ask("status-read", "job-1", budget=300)
        self.until("taken", 1)
        first.close()
        self.until("left", 1)
        again.ask("status-read", "job-1")
        third.ask("status-read", "job-2", budget=300)
        self.assertIn("503", third.read()[0])
        discovery.tell(member("w1", worker.port))
        serving = worker.accept()
        self.assertEqual(serving.read()[1]["x-call-id"], "job-1")
        serving.say(200, b"served")
        self.assertEqual(again.read()[2], b"served")

    def test_while_it_waits_for_a_workers_fetch(self) -> None:
        for ahead in (b"", b"INFO\r\nBE"):
            for cls in ("status-read", "schedule-apply"):
                with self.subTest(cls, ahead=ahead):
                    self.start(cancel=False, fronts='[faktory]\nlisten = "127.0.0.1:0"\n')
                    worker = FaktorySpeaker(self.daemon, wid="w1", labels=["zone:a", "kind:big"])
                    self.addCleanup(worker.close)
                    self.until("listed.partial", 1)
                    client = FaktorySpeaker(self.daemon)
                    client.socket.sendall(push(cls, "job-0001") + ahead)
                    self.until("sent", 1)
                    client.close()
                    self.until("left", 1)
                    other = FaktorySpeaker(self.daemon)
                    self.addCleanup(other.close)
                    other.socket.sendall(push(cls, "job-0002"))
                    self.until("sent", 2)
                    self.assertEqual(json.loads(worker.ask("FETCH", cls))["jid"], "job-0002")
                    self.stop()


BUDGET_MS = 9e5


class Hop(unittest.IsolatedAsyncioTestCase):
    """A next hop in the test's own loop: what it does in one turn, the test can answer before the next."""

    async def asyncSetUp(self) -> None:
        self.worker, self.ended = Hears(self), asyncio.Queue()
        pool = ConnectionPool(
            Address("127.0.0.1", self.worker.port), BufferPool(), DescriptorBudget(99), 9e3, 9e3
        )
        self.hop = HttpWorker("w1", pool, LoadReportReader(()), lambda hop: None)
        self.pool, self.may = pool, True

    def post(self, message: object) -> None:
        if isinstance(message, AttemptEnded):
            self.ended.put_nowait((message.result, message.is_unsent))

    async def deliver(self, repeatable: bool) -> None:
        envelope = JobRequest("job-1", "look", 9e3)
        self.hop.deliver(DeliveryAttempt(envelope, 0, BUDGET_MS, repeatable, may_send=lambda: self.may), self)
        while "job-1" not in self.hop.attempts:
            await asyncio.sleep(0)


class GivenUp(Hop):
    """Sent and not answered yet: what the job worker is saying just then may be that it has the job."""

    async def sent(self) -> Speaks:
        await self.deliver(True)
        connection = await asyncio.to_thread(self.worker.accept)
        self.assertEqual((await asyncio.to_thread(connection.read))[1]["x-call-id"], "job-1")
        while not self.hop.attempts["job-1"].is_last_byte_written:
            await asyncio.sleep(0)
        return connection

    async def given_up(self) -> None:
        while self.hop.attempts["job-1"].cancel_result is None:
            await asyncio.sleep(0)

    async def is_told(self, result: str, says: bytes = b"HTTP/1.1 204 X\r\n\r\n") -> None:
        """It is out, and so nowhere else, until the job worker was told."""
        ended, told = (
            asyncio.ensure_future(self.ended.get()),
            asyncio.ensure_future(asyncio.to_thread(self.worker.accept)),
        )
        await asyncio.wait({ended, told}, timeout=PATIENCE_S, return_when=asyncio.FIRST_COMPLETED)
        self.assertFalse(ended.done())
        connection = await told
        self.assertIn("DELETE /jobs/job-1 ", (await asyncio.to_thread(connection.read))[0])
        self.assertFalse(ended.done())
        connection.socket.sendall(says)
        self.assertEqual(await asyncio.wait_for(ended, PATIENCE_S), (result, False))

    async def test_a_202_that_was_on_its_way_is_read_and_its_job_called_off(self) -> None:
        worker = await self.sent()
        self.hop.cancel("job-1", 0, "cancelled")
        await self.given_up()
        worker.say(202)  # before the loop's next turn
        await self.is_told("cancelled")

    async def test_so_is_one_that_came_as_the_wait_for_it_ended(self) -> None:
        with mock.patch.object(http_worker, "ACCEPT_TIMEOUT_S", 0.0):
            worker = await self.sent()
            await self.given_up()
            worker.say(202)
            await self.is_told("timeout")

    async def test_whoever_says_what_is_no_answer_may_have_the_job(self) -> None:
        worker = await self.sent()
        worker.socket.sendall(b"HTTP/1.1 2o2 Accepted\r\n\r\n")
        await self.is_told("reset", b"HTTP/1.1 2o4 Gone\r\n\r\n")  # it speaks like that, and has read it

    async def test_or_does_not_come_to_an_end(self) -> None:
        worker = await self.sent()
        worker.socket.sendall(b"HTTP/1.1 202 Accepted\r\nX-Load-Report: ")
        self.hop.cancel("job-1", 0, "cancelled")
        await self.is_told("cancelled")

    async def test_another_answer_on_its_way_counts(self) -> None:
        worker = await self.sent()
        self.hop.cancel("job-1", 0, "cancelled")
        await self.given_up()
        worker.say(503, X_Rejected="1")
        self.assertEqual(await asyncio.wait_for(self.ended.get(), PATIENCE_S), ("full", False))

    async def test_one_that_breaks_off_in_its_answer_has_ended_the_attempt(self) -> None:
        worker = await self.sent()
        worker.socket.sendall(b"HTTP/1.1 20")
        worker.close()
        self.assertEqual(await asyncio.wait_for(self.ended.get(), PATIENCE_S), ("reset", False))
        self.assertTrue(self.worker.none_waits())

    async def test_one_that_says_nothing_is_told_by_the_end_of_the_connection(self) -> None:
        worker = await self.sent()
        self.hop.cancel("job-1", 0, "cancelled")
        self.assertEqual(await asyncio.to_thread(worker.rest), b"")
        self.assertEqual(await asyncio.wait_for(self.ended.get(), PATIENCE_S), ("cancelled", False))
        self.assertTrue(self.worker.none_waits())
        self.assertEqual(self.pool.descriptors.open_count, 0)


class NoSocket(Hop):
    async def test_an_attempt_for_which_the_system_gives_no_socket_ends_and_keeps_no_place(self) -> None:
        failing = mock.patch.object(connection_pool, "open_socket", side_effect=OSError(24, "too many"))
        for repeatable in (True, False):
            with failing:
                await self.deliver(repeatable)
                ended = await asyncio.wait_for(self.ended.get(), PATIENCE_S)
            self.assertEqual(ended, ("unreachable", True))
            self.assertEqual(self.pool.descriptors.open_count, 0)
        for _ in range(MAX_CONNECTIONS):
            await asyncio.wait_for(self.pool.connection_slots.acquire(), PATIENCE_S)


class Busy(Hop):
    """Others are at work at all of its connections."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for _ in range(MAX_CONNECTIONS):
            await self.pool.connection_slots.acquire()

    async def goes_nowhere(self) -> None:
        self.assertEqual(await asyncio.wait_for(self.ended.get(), PATIENCE_S), ("moot", True))
        self.pool.connection_slots.release()  # a place is free; nothing takes it
        await self.pool.connection_slots.acquire()
        self.assertTrue(self.worker.none_waits())
        self.assertEqual(self.pool.descriptors.open_count, 0)

    async def test_what_is_withdrawn_while_it_waits_for_a_place_takes_none(self) -> None:
        for repeatable in (True, False):
            await self.deliver(repeatable)
            self.hop.withdraw("job-1", 0)
            await self.goes_nowhere()

    async def test_what_may_not_be_sent_once_there_is_a_place_is_not(self) -> None:
        for repeatable in (True, False):
            self.may = True
            await self.deliver(repeatable)
            self.may = False
            self.pool.connection_slots.release()
            self.assertEqual(await asyncio.wait_for(self.ended.get(), PATIENCE_S), ("moot", True))
            self.assertTrue(self.worker.none_waits())
            await self.pool.connection_slots.acquire()

    async def test_the_time_passed_on_is_what_is_left_after_the_wait_for_a_place(self) -> None:
        """The worker would work on for a client that has gone."""
        for repeatable in (True, False):
            began_s = time.monotonic()
            await self.deliver(repeatable)
            await asyncio.sleep(0.2)
            self.pool.connection_slots.release()
            worker = await asyncio.to_thread(self.worker.accept)
            headers = (await asyncio.to_thread(worker.read))[1]
            left_ms = BUDGET_MS - 200.0
            self.assertLessEqual(int(headers["x-budget-ms"]), left_ms)
            self.assertGreater(int(headers["x-budget-ms"]), left_ms - (time.monotonic() - began_s) * 1000.0)
            worker.say(200, b"served")
            self.assertEqual(await asyncio.wait_for(self.ended.get(), PATIENCE_S), ("ok", False))
            await self.pool.connection_slots.acquire()

    async def test_a_probe_is_not_sent_to_a_worker_that_began_to_drain_while_it_waited(self) -> None:
        probed: asyncio.Queue[object] = asyncio.Queue()
        listener = SimpleNamespace(post=probed.put_nowait)
        self.hop.probe(1, listener)
        await asyncio.sleep(0.05)
        self.hop.start_draining()
        self.pool.connection_slots.release()
        await asyncio.wait_for(probed.get(), PATIENCE_S)
        self.assertTrue(self.worker.none_waits())
        await self.pool.connection_slots.acquire()


def fill(sock: socket.socket) -> int:
    """Write until the kernel takes no more; how many bytes it took."""
    taken = 0
    with suppress(BlockingIOError):
        while True:
            taken += sock.send(FILLING)
    return taken


class Stuck(Hop):
    """The kernel takes no more bytes for the job worker, which does not read."""

    async def stuck(self, repeatable: bool) -> Speaks:
        """All is written but what is written last, which finds no room; what the test put before it is read
        with it."""
        fresh = PooledConnection.is_reusable

        def fill_before_last_write(connection: PooledConnection) -> bool:
            while fill(connection.stream.socket):
                time.sleep(SETTLES_S)  # what the job worker's kernel takes in late makes room again
            return fresh(connection)

        with mock.patch.object(PooledConnection, "is_reusable", fill_before_last_write):
            await self.deliver(repeatable)
            worker = await asyncio.to_thread(self.worker.accept)
            while not self.hop.attempts["job-1"].is_last_byte_written:
                await asyncio.sleep(0)
        self.assertTrue(self.hop.attempts["job-1"].connection.stream.writing())
        return worker

    async def test_what_may_not_be_sent_once_there_is_room_is_not(self) -> None:
        """As the last byte of a repeat whose window is over by then, or of a lease that has ended."""
        for repeatable in (True, False):
            with self.subTest(repeatable=repeatable):
                self.may = True
                worker = await self.stuck(repeatable)
                self.may = False
                said = await asyncio.to_thread(worker.rest)
                self.assertEqual(said[-1:], FILLING[-1:])
                self.assertEqual(await asyncio.wait_for(self.ended.get(), PATIENCE_S), ("moot", True))
                self.assertEqual(self.pool.descriptors.open_count, 0)

    async def test_what_a_worker_that_begins_to_drain_has_no_room_for_is_not_sent(self) -> None:
        for repeatable in (True, False):
            with self.subTest(repeatable=repeatable):
                worker = await self.stuck(repeatable)
                self.hop.start_draining()
                said = await asyncio.to_thread(worker.rest)
                self.assertEqual(said[-1:], FILLING[-1:])
                self.assertEqual(await asyncio.wait_for(self.ended.get(), PATIENCE_S), ("moot", True))
                self.hop.is_draining = False

    async def test_what_may_be_sent_is_sent_once_there_is_room(self) -> None:
        worker = await self.stuck(False)
        while (await asyncio.to_thread(worker.socket.recv, len(FILLING))).strip(b"0") != b"\n":
            pass
        worker.say(200, b"served")
        self.assertEqual(await asyncio.wait_for(self.ended.get(), PATIENCE_S), ("ok", False))


class Fetches(unittest.IsolatedAsyncioTestCase):
    async def test_what_may_not_be_sent_any_more_leaves_its_fetch_to_the_next(self) -> None:
        told: asyncio.Queue[AttemptEnded] = asyncio.Queue()

        class Listens:
            def post(self, message: object) -> None:
                if isinstance(message, AttemptEnded):
                    told.put_nowait(message)

        hop, reply = FaktoryWorker("w1", "here"), Future()
        for job, may in (("job-1", False), ("job-2", True)):
            delivery = DeliveryAttempt(JobRequest(job, "look", 9e3), 0, 9e3, may_send=lambda may=may: may)
            hop.deliver(delivery, Listens())
        hop.post(FetchRequested(("look",), reply))
        ended = await asyncio.wait_for(told.get(), PATIENCE_S)
        self.assertEqual((ended.request, ended.result, ended.is_unsent), ("job-1", "moot", True))
        self.assertIn(b"job-2", (await asyncio.wait_for(reply, PATIENCE_S))[0])


class Attempts(Endings):
    def test_one_that_is_given_up_in_the_midst_of_its_bytes_gets_no_last_byte(self) -> None:
        """Its job worker takes in only a part, the client's time is over, and only then is the rest read."""
        worker = Hears(self, receives=1024)
        self.start(member("w1", worker.port), command=(ODDLY, "small"))
        client = self.client()
        client.ask("status-read", "job-1", bytes(60_000), budget=400)
        taken = worker.accept()
        self.assertIn("503", client.read()[0])
        self.until("ended.timeout", 1)
        self.assertLess(len(taken.rest()), 60_000)
        self.assertNotIn("tries", self.counters())

    def test_one_whose_client_leaves_in_the_midst_of_its_bytes_gets_no_last_byte(self) -> None:
        """Also where nothing may be called off: what is unsent is not sent on."""
        worker = Hears(self, receives=1024)
        self.start(member("w1", worker.port), command=(ODDLY, "small"), cancel=False)
        client = self.client()
        client.ask("status-read", "job-1", bytes(60_000))
        taken = worker.accept()
        taken.socket.recv(1)
        client.close()
        self.until("ended.moot", 1)
        self.assertLess(len(taken.rest()), 60_000)
        self.assertNotIn("tries", self.counters())

    def files(self) -> tuple[Path, Path]:
        """A pipe for `hold`, and an empty file for `ahead`."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        gate, ahead = Path(folder.name) / "gate", Path(folder.name) / "ahead"
        os.mkfifo(gate)
        ahead.touch()
        return gate, ahead

    def test_a_repeat_is_not_sent_once_job_workers_no_longer_drop_it(self) -> None:
        """It was decided within the window, and its connection, which has been begun, comes up after it: the
        backlog is full, and TCP tries again after a second."""
        one, two, discovery = Hears(self), Hears(self, backlog=0), Discovery(self)
        filling, (_, ahead) = two.fill(), self.files()
        self.start(member("w1", one.port), at=discovery, command=(ODDLY, f"ahead={ahead}"))
        discovery.called()
        client = self.client()
        client.ask("setpoint-push", "job-1")
        worker = one.accept()
        worker.read()
        discovery.tell(member("w2", two.port), member("w1", one.port, phase="leaving"))
        worker.say(500)  # it may have run
        self.until("sent", 2)
        two.until_one_asks()
        os.truncate(ahead, WINDOW_MS)
        for _ in range(filling):
            two.accept().close()
        self.assertEqual(two.accept().rest(), b"")
        self.assertEqual(self.until("ended.moot", 1)["tries"], 1)

    def test_nor_its_last_byte_that_was_held(self) -> None:
        """All bytes but the last are at the job worker when the window ends."""
        one, two, discovery = Hears(self), Hears(self), Discovery(self)
        gate, ahead = self.files()
        self.start(member("w1", one.port), at=discovery, command=(ODDLY, f"hold={gate}", f"ahead={ahead}"))
        discovery.called()
        client = self.client()
        client.ask("setpoint-push", "job-1", b"body")
        worker = one.accept()
        gate.write_bytes(b"1")
        worker.read()
        discovery.tell(member("w2", two.port), member("w1", one.port, phase="leaving"))
        worker.say(500)  # it may have run
        repeat = two.accept()
        while repeat.file.readline() != b"\r\n":
            pass
        self.assertEqual(repeat.file.read(3), b"bod")
        os.truncate(ahead, WINDOW_MS)
        gate.write_bytes(b"2")
        self.assertEqual(repeat.rest(), b"")
        self.assertEqual(self.until("ended.moot", 1)["tries"], 1)

    def test_who_answers_twice_is_asked_once_on_a_connection(self) -> None:
        """A second answer that comes late would be taken for that to the next request."""
        worker = Hears(self)
        self.start(member("w1", worker.port))
        client = self.client()
        client.ask("status-read", "job-1")
        first = worker.accept()
        first.read()
        first.say(200, b"first")
        self.assertEqual(client.read()[2], b"first")
        first.say(503, X_Rejected="1")  # it lies there when the next request comes
        client.ask("status-read", "job-2")
        second = worker.accept()
        self.assertEqual(second.read()[1]["x-call-id"], "job-2")
        second.say(200, b"second")
        self.assertEqual(client.read()[2], b"second")
        # Nothing came on this one, yet: but something may.
        client.ask("status-read", "job-3")
        self.assertEqual(worker.accept().read()[1]["x-call-id"], "job-3")


class Drains(Endings):
    def test_a_client_that_never_reads_its_answer_does_not_keep_it_from_ending(self) -> None:
        worker = Hears(self)
        self.start(member("w1", worker.port), command=(ODDLY, "small"))
        client = socket.socket()
        self.addCleanup(client.close)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        client.connect(self.daemon.addresses["clients"])
        client.sendall(request("status-read", "job-1"))
        serving = worker.accept()
        serving.read()
        serving.say(200, bytes(60_000))
        self.until("answered", 1)
        self.daemon.process.send_signal(signal.SIGTERM)
        self.assertEqual(self.daemon.wait()[0], 0)

    def test_a_reply_half_written_is_written_whole(self) -> None:
        """Its client reads on only once the end has begun, and is known to have."""
        worker = Hears(self)
        self.start(member("w1", worker.port), command=(ODDLY, "small"))
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        client.connect(self.daemon.addresses["clients"])
        client = Speaks(self, client)
        client.ask("status-read", "job-1")
        serving = worker.accept()
        serving.read()
        serving.say(200, bytes(60_000))
        self.until("answered", 1)
        self.daemon.process.send_signal(signal.SIGTERM)
        with self.daemon.patience():
            while True:
                with self.daemon.connect("clients") as asked:
                    asked.sendall(b"GET /up HTTP/1.1\r\n\r\n")
                    if "503" in read_http(asked.makefile("rb"))[0]:
                        break
        self.assertEqual(len(client.read()[2]), 60_000)
        self.assertEqual(self.daemon.wait()[0], 0)

    def test_nothing_is_accepted_any_more_once_it_ends(self) -> None:
        """A listener that stood while the interpreter comes down would take connections and reset them."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        gate = Path(folder.name) / "gate"
        os.mkfifo(gate)
        self.start(command=(ODDLY, f"end={gate}"))
        self.daemon.process.send_signal(signal.SIGTERM)
        with self.daemon.patience():
            while "ending" not in self.daemon.process.stdout.readline():
                pass
        with self.assertRaises(ConnectionRefusedError):
            self.client()
        gate.write_text("go")
        self.assertEqual(self.daemon.wait()[0], 0)


if __name__ == "__main__":
    unittest.main()
