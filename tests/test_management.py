"""The management address and its figures: under a crowd, and against what is known."""

from __future__ import annotations

import signal
import socket
import threading
import time
import unittest
from unittest import mock

from conftest import Driver, settings
from player import PATIENCE_S, Daemon, config, member
from standins import figures, thread

from spanwing.core.clock import Clock
from spanwing.core.messages import (
    ClientDisconnected,
    EndpointsChanged,
    FinalAnswer,
    JobRequest,
    RequestRejected,
    RequestSubmitted,
)
from spanwing.core.request_manager import RequestManager
from spanwing.core.statistics import collect_statistics as figures_of
from spanwing.interface import Outcome, Worker, WorkerList


class Crowd(unittest.TestCase):
    def test_answers_within_a_second_while_clients_crowd_and_callers_stall(self) -> None:
        """1,000 connections that idle, others that come and go as fast as they can, twenty callers of the
        address that finish no call."""
        worker = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(worker.close)
        given = {
            **config([member("w1", worker.getsockname()[1])]),
            "management": "127.0.0.1:0",
            "limits": {"sockets": 2400, "memory_mb": 400},
        }
        daemon = Daemon(given, "").ready()
        self.addCleanup(daemon.close)
        idle = [daemon.connect("clients") for _ in range(1000)]
        stalled = [daemon.connect("management") for _ in range(20)]
        for number, each in enumerate(stalled):
            each.sendall(b"GET /stats HTTP/1.1\r\n"[:number])
        over = threading.Event()

        def busy() -> None:
            while not over.is_set():
                with daemon.connect("clients") as one:
                    one.sendall(
                        b"POST /status-read HTTP/1.1\r\nX-Call-Id: x\r\nX-Budget-Ms: 20\r\n"
                        b"Content-Length: 0\r\n\r\n"
                    )
                    one.recv(1000)

        crowd = [thread(busy) for _ in range(4)]
        took = []
        for number in range(20):
            at = time.monotonic()
            with daemon.connect("management") as asked:
                asked.sendall(b"GET /%s HTTP/1.1\r\n\r\n" % (b"stats" if number % 2 else b"healthcheck"))
                self.assertIn(b" 200 ", asked.recv(100))
            took.append(time.monotonic() - at)
            time.sleep(0.1)
        over.set()
        for each in crowd:
            each.join(PATIENCE_S)
        for each in idle + stalled:
            each.close()
        self.assertLess(max(took), 1.0)
        self.assertNotIn("Traceback", daemon.said())

    def test_a_caller_among_many_that_have_just_sent_half_a_call(self) -> None:
        """All come while the loop stands still: what they sent is unread, and none of them may go yet."""
        daemon = Daemon({**config(), "management": "127.0.0.1:0"}, "").ready()
        self.addCleanup(daemon.close)
        daemon.process.send_signal(signal.SIGSTOP)
        stalled = [daemon.connect("management") for _ in range(40)]
        for each in stalled:
            each.sendall(b"GET /st")
        with daemon.connect("management") as asked:
            asked.sendall(b"GET /healthcheck HTTP/1.1\r\n\r\n")
            daemon.process.send_signal(signal.SIGCONT)
            self.assertIn(b" 200 ", asked.recv(100))
        for each in stalled:
            each.close()

    def test_a_slow_request_stays_while_others_come_ask_once_and_idle(self) -> None:
        """The table is full all the time; the message grows slowly on a connection that was used before."""
        daemon = Daemon({**config(), "limits": {"sockets": 100}}, "").ready()
        self.addCleanup(daemon.close)
        ask = b"GET /up HTTP/1.1\r\n\r\n"
        with daemon.connect("clients") as slow:
            slow.sendall(ask)
            self.assertIn(b"200 OK", slow.recv(1000))
            crowd = []
            time.sleep(0.6)  # longer than a message that does not grow is left alone
            for number in range(len(ask)):
                slow.sendall(ask[number : number + 1])
                for _ in range(4):
                    crowd.append(daemon.connect("clients"))
                    crowd[-1].sendall(ask)
                    self.assertIn(b"200 OK", crowd[-1].recv(1000))
                time.sleep(0.06)
            self.assertIn(b"200 OK", slow.recv(1000))
        for each in crowd:
            each.close()

    def test_says_no_while_it_leaves(self) -> None:
        worker = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(worker.close)
        daemon = Daemon(
            {**config([member("w1", worker.getsockname()[1])]), "management": "127.0.0.1:0"}, ""
        ).ready()
        self.addCleanup(daemon.close)
        self.assertEqual(figures(daemon)["active"], 0)
        waiting = daemon.connect("clients")
        waiting.sendall(
            b"POST /status-read HTTP/1.1\r\nX-Call-Id: a1\r\nX-Budget-Ms: 3000\r\nContent-Length: 0\r\n\r\n"
        )
        while figures(daemon)["tries"] < 1:
            time.sleep(0.01)
        daemon.process.terminate()
        status = b"200"
        while status == b"200":
            with daemon.connect("management") as asked:
                asked.sendall(b"GET /healthcheck HTTP/1.1\r\n\r\n")
                status = asked.recv(100).split(b" ")[1]
        self.assertEqual(status, b"503")
        waiting.close()
        self.assertEqual(daemon.wait()[0], 0)


class Sender:
    def __init__(self) -> None:
        self.answers: list[FinalAnswer] = []

    def answer(self, request: JobRequest, answer: FinalAnswer) -> None:
        self.answers.append(answer)


class Hop:
    """A next hop that only remembers."""

    name, address, records_intent_itself = "w", "here", False

    def deliver(self, delivery, listener) -> None: ...

    def cancel(self, request, number, result) -> None: ...

    def probe(self, worker, listener) -> None: ...


class Counted(unittest.TestCase):
    """At all times a request is in exactly one of active and ended."""

    def setUp(self) -> None:
        loop = mock.Mock(time=lambda: 0.0)
        with mock.patch("spanwing.actor.IOLoop.current", return_value=loop):
            self.core = RequestManager(settings(max_attempts=1, cancel=False), 1, Clock())
        self.taken = 0

    def list(self, *workers: Worker, scope: str = "complete") -> None:
        self.core.handle_message(
            EndpointsChanged(WorkerList(scope, workers), {each.id: Hop() for each in workers})
        )

    def told(self) -> dict[str, int]:
        told = figures_of(self.core)
        ended = sum(value for name, value in told.items() if name.split(".")[0] in ("ok", "shed", "errors"))
        self.assertEqual(ended + told["active"] + self.core.counters["left"], self.taken)
        return told

    def ask(self, request: str, cls: str = "look", budget: float = 5000.0) -> Sender:
        sender = Sender()
        self.taken += 1
        self.core.handle_message(RequestSubmitted(JobRequest(request, cls, budget), sender))
        return sender

    def test_every_way_to_end(self) -> None:
        from spanwing.core.messages import AttemptEnded, LastByteSent

        self.list(Worker(1), Worker(2))
        self.ask("served")
        self.assertEqual(self.told()["active"], 1)
        self.core.handle_message(LastByteSent("served", 0))
        self.core.handle_message(AttemptEnded("served", 0, "ok", b"yes"))
        self.ask("failed", "bill")
        self.core.handle_message(LastByteSent("failed", 0))
        self.core.handle_message(AttemptEnded("failed", 0, "reset"))
        self.ask("refused")
        self.core.handle_message(AttemptEnded("refused", 0, "full"))
        gone = self.ask("gone")
        self.core.handle_message(ClientDisconnected("gone", gone))
        self.ask("twice")
        self.ask("twice")
        self.taken += 1
        self.core.handle_message(RequestRejected("book"))
        # An attempt whose last byte comes after it was given up was made all the same.
        self.core.handle_message(LastByteSent("gone", 0))
        told = self.told()
        self.assertEqual(
            {name: value for name, value in told.items() if value},
            {
                "ok.look": 1,
                "errors.bill": 1,
                "shed.look": 1,
                "errors.look": 1,
                "shed.book": 1,
                "tries": 3,
                "active": 1,
                "pool_size": 2,
                "pool_ejected": told["pool_ejected"],
            },
        )

    def test_pool_when_the_list_shrinks_and_a_worker_set_aside_leaves_and_comes_back(self) -> None:
        self.list(Worker(1), Worker(2), Worker(3, "draining"))
        self.assertEqual(self.core.pool_counts(), (3, 0))
        view = self.core.scheduler.views[1]
        self.core.scheduler.now = self.core.clock.now_ms()
        self.core.scheduler._strike(view, "error")
        self.assertEqual(self.core.pool_counts(), (3, 1))
        self.list(Worker(2), Worker(3, "draining"))  # it left while it rested
        self.assertEqual(self.core.pool_counts(), (2, 0))
        self.list(Worker(1, "healthy", started=self.core.clock.now_ms()), Worker(2))
        self.assertEqual(self.core.pool_counts(), (2, 0))


class OneFeeder(unittest.TestCase):
    """Predecessor and successor keep one budget for a cold job worker."""

    def test_what_the_predecessor_sent_counts_and_it_feeds_no_more(self) -> None:
        from spanwing.hot_restart.state_transfer import (
            export_scheduler,
            export_worker,
            import_scheduler,
            import_worker,
            stop_feeding,
        )
        from spanwing.interface import Send

        cold = WorkerList("persisted", (Worker(1, started=1.0),))
        old, new = Driver(), Driver()
        old.now = new.now = 100.0
        sent = []
        for each in (old, new):
            each.feed(cold)
        for _ in range(20):
            sent.append(sum(isinstance(each, Send) for each in old.ask()[1]))
        first = sum(sent)
        self.assertGreater(first, 0)
        stop_feeding(old.node)
        import_scheduler(new.node, export_scheduler(old.node, 1, "x"), new.now)
        import_worker(new.node.views[1], export_worker(old.node.views[1]), new.now)
        new.now = old.now = 600.0
        # As other jobs end there the slots are free again, but the budget of the window is spent.
        new.node.views[1].others = 0.0
        again = sum(isinstance(each, Send) for _ in range(20) for each in new.ask()[1])
        late = sum(isinstance(each, Send) for _ in range(20) for each in old.ask()[1])
        alone = Driver()
        alone.now = 100.0
        alone.feed(cold)
        alone_sent = sum(isinstance(each, Send) for _ in range(20) for each in alone.ask()[1])
        for number in range(alone_sent):
            alone.end(f"r{number + 1}", 0, 1, "ok")
        alone.now = 600.0
        alone_sent += sum(isinstance(each, Send) for _ in range(20) for each in alone.ask()[1])
        self.assertEqual(late, 0)
        self.assertLessEqual(first + again, alone_sent)

    def test_a_request_that_goes_over_is_held_once(self) -> None:
        from spanwing import interface as api
        from spanwing.hot_restart.state_transfer import RequestResumed, export_attempts, release_request

        old, new = Driver(workers=3), Driver(workers=3)
        rid, actions = old.ask("bill")
        worker = actions[0].worker
        job = old.node.jobs[rid]
        told = export_attempts(job)
        release_request(old.node, rid)
        self.assertEqual(
            (old.node.views[worker].held, old.node.jobs, old.node.open),
            (0, {}, {}),
        )
        actions = new.feed(RequestResumed(api.Request(rid, "bill", 5000.0), job.born, False, False, told))
        self.assertEqual(actions, [])  # an attempt is out: nothing is sent
        self.assertEqual(new.node.views[worker].held, 1)
        # Its end is the old one's no more, and answers at the new one: what must not run twice goes no more.
        self.assertEqual(old.feed(Outcome(rid, 0, worker, "ok", True, 1.0)), [])
        self.assertEqual(new.end(rid, 0, worker, "reset")[-1], api.Fail(rid))
        self.assertNotIn(api.Send, {type(each) for each in new.seen})
        self.assertEqual(new.node.views[worker].held, 0)

    def test_a_held_request_goes_over_and_is_sent_there(self) -> None:
        from spanwing import interface as api
        from spanwing.hot_restart.state_transfer import RequestResumed, export_attempts, release_request

        old, new = Driver(), Driver(workers=1)
        rid, _ = old.ask()
        job = old.node.jobs[rid]
        told = export_attempts(job)
        release_request(old.node, rid)
        self.assertEqual(old.node.waiting, 0)
        actions = new.feed(RequestResumed(api.Request(rid, "look", 5000.0), job.born, False, False, told))
        self.assertEqual(actions, [api.Send(rid, 1)])


if __name__ == "__main__":
    unittest.main()
