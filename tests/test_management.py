"""The management address under load, the statistics that it reports, and slow start across a hot restart.

Guards against a management address that does not respond while many clients connect or callers stall, against
statistics in which a request is counted twice or not at all, and against a predecessor and a successor that
together exceed the budget of a worker that is warming up.
"""

from __future__ import annotations

import signal
import socket
import threading
import time
import unittest
from unittest import mock

from conftest import Driver, settings
from player import WAIT_TIMEOUT_S, Daemon, config, member
from standins import read_stats, start_thread

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
from spanwing.core.statistics import collect_statistics
from spanwing.interface import Outcome, Worker, WorkerList


class ManagementTests(unittest.TestCase):
    def test_responds_within_a_second_while_clients_connect_and_callers_stall(self) -> None:
        """Measures the response time under load.

        The load is 1,000 idle client connections, clients that connect and disconnect as fast as they can,
        and 20 callers of the management address that never complete a request.
        """
        worker = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(worker.close)
        daemon_config = {
            **config([member("w1", worker.getsockname()[1])]),
            "management": "127.0.0.1:0",
            "limits": {"sockets": 2400, "memory_mb": 400},
        }
        daemon = Daemon(daemon_config, "").wait_until_ready()
        self.addCleanup(daemon.close)
        idle = [daemon.connect("clients") for _ in range(1000)]
        stalled = [daemon.connect("management") for _ in range(20)]
        for number, each in enumerate(stalled):
            each.sendall(b"GET /stats HTTP/1.1\r\n"[:number])
        is_done = threading.Event()

        def connect_repeatedly() -> None:
            while not is_done.is_set():
                with daemon.connect("clients") as connection:
                    connection.sendall(
                        b"POST /status-read HTTP/1.1\r\nX-Call-Id: x\r\nX-Budget-Ms: 20\r\n"
                        b"Content-Length: 0\r\n\r\n"
                    )
                    connection.recv(1000)

        client_threads = [start_thread(connect_repeatedly) for _ in range(4)]
        response_times_s = []
        for number in range(20):
            started_s = time.monotonic()
            with daemon.connect("management") as caller:
                caller.sendall(b"GET /%s HTTP/1.1\r\n\r\n" % (b"stats" if number % 2 else b"healthcheck"))
                self.assertIn(b" 200 ", caller.recv(100))
            response_times_s.append(time.monotonic() - started_s)
            time.sleep(0.1)
        is_done.set()
        for each in client_threads:
            each.join(WAIT_TIMEOUT_S)
        for each in idle + stalled:
            each.close()
        self.assertLess(max(response_times_s), 1.0)
        self.assertNotIn("Traceback", daemon.stderr_text())

    def test_responds_to_a_caller_among_many_with_incomplete_requests(self) -> None:
        """All callers connect while the daemon is stopped by a signal.

        When it continues, their input is unread and none of the connections may be closed for being slow yet.
        """
        daemon = Daemon({**config(), "management": "127.0.0.1:0"}, "").wait_until_ready()
        self.addCleanup(daemon.close)
        daemon.process.send_signal(signal.SIGSTOP)
        stalled = [daemon.connect("management") for _ in range(40)]
        for each in stalled:
            each.sendall(b"GET /st")
        with daemon.connect("management") as caller:
            caller.sendall(b"GET /healthcheck HTTP/1.1\r\n\r\n")
            daemon.process.send_signal(signal.SIGCONT)
            self.assertIn(b" 200 ", caller.recv(100))
        for each in stalled:
            each.close()

    def test_slow_request_is_kept_while_other_clients_connect_and_idle(self) -> None:
        """The connection table is full all the time.

        The slow request arrives byte by byte, on a connection that has carried a request before.
        """
        daemon = Daemon({**config(), "limits": {"sockets": 100}}, "").wait_until_ready()
        self.addCleanup(daemon.close)
        request = b"GET /up HTTP/1.1\r\n\r\n"
        with daemon.connect("clients") as slow:
            slow.sendall(request)
            self.assertIn(b"200 OK", slow.recv(1000))
            others = []
            time.sleep(0.6)  # longer than a message that does not grow is protected from eviction
            for number in range(len(request)):
                slow.sendall(request[number : number + 1])
                for _ in range(4):
                    others.append(daemon.connect("clients"))
                    others[-1].sendall(request)
                    self.assertIn(b"200 OK", others[-1].recv(1000))
                time.sleep(0.06)
            self.assertIn(b"200 OK", slow.recv(1000))
        for each in others:
            each.close()

    def test_health_check_fails_during_a_drain(self) -> None:
        worker = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(worker.close)
        daemon = Daemon(
            {**config([member("w1", worker.getsockname()[1])]), "management": "127.0.0.1:0"}, ""
        ).wait_until_ready()
        self.addCleanup(daemon.close)
        self.assertEqual(read_stats(daemon)["active"], 0)
        waiting = daemon.connect("clients")
        waiting.sendall(
            b"POST /status-read HTTP/1.1\r\nX-Call-Id: a1\r\nX-Budget-Ms: 3000\r\nContent-Length: 0\r\n\r\n"
        )
        while read_stats(daemon)["tries"] < 1:
            time.sleep(0.01)
        daemon.process.terminate()
        status = b"200"
        while status == b"200":
            with daemon.connect("management") as caller:
                caller.sendall(b"GET /healthcheck HTTP/1.1\r\n\r\n")
                status = caller.recv(100).split(b" ")[1]
        self.assertEqual(status, b"503")
        waiting.close()
        self.assertEqual(daemon.wait()[0], 0)


class ClientStandIn:
    """A client connection that keeps its answers."""

    def __init__(self) -> None:
        self.answers: list[FinalAnswer] = []

    def answer(self, request: JobRequest, answer: FinalAnswer) -> None:
        self.answers.append(answer)


class WorkerStandIn:
    """A worker connection that does nothing."""

    name, address, records_intent_itself = "w", "here", False

    def deliver(self, delivery, listener) -> None: ...

    def cancel(self, request, number, result) -> None: ...

    def probe(self, worker, listener) -> None: ...


class StatisticsTests(unittest.TestCase):
    """Each submitted request is counted exactly once, as active, by its outcome, or as `left`."""

    def setUp(self) -> None:
        loop = mock.Mock(time=lambda: 0.0)
        with mock.patch("spanwing.actor.IOLoop.current", return_value=loop):
            self.request_manager = RequestManager(settings(max_attempts=1, cancel=False), 1, Clock())
        self.submitted_count = 0

    def update_workers(self, *workers: Worker, scope: str = "complete") -> None:
        self.request_manager.handle_message(
            EndpointsChanged(WorkerList(scope, workers), {each.id: WorkerStandIn() for each in workers})
        )

    def check_statistics(self) -> dict[str, int]:
        """Checks that each submitted request is counted once, and returns the statistics."""
        statistics = collect_statistics(self.request_manager)
        ended = sum(
            value for name, value in statistics.items() if name.split(".")[0] in ("ok", "shed", "errors")
        )
        self.assertEqual(
            ended + statistics["active"] + self.request_manager.counters["left"], self.submitted_count
        )
        return statistics

    def submit(self, request: str, cls: str = "look", budget_ms: float = 5000.0) -> ClientStandIn:
        client = ClientStandIn()
        self.submitted_count += 1
        self.request_manager.handle_message(RequestSubmitted(JobRequest(request, cls, budget_ms), client))
        return client

    def test_every_outcome_of_a_request_is_counted(self) -> None:
        from spanwing.core.messages import AttemptEnded, LastByteSent

        self.update_workers(Worker(1), Worker(2))
        self.submit("served")
        self.assertEqual(self.check_statistics()["active"], 1)
        self.request_manager.handle_message(LastByteSent("served", 0))
        self.request_manager.handle_message(AttemptEnded("served", 0, "ok", b"yes"))
        self.submit("failed", "bill")
        self.request_manager.handle_message(LastByteSent("failed", 0))
        self.request_manager.handle_message(AttemptEnded("failed", 0, "reset"))
        self.submit("refused")
        self.request_manager.handle_message(AttemptEnded("refused", 0, "full"))
        disconnected = self.submit("gone")
        self.request_manager.handle_message(ClientDisconnected("gone", disconnected))
        self.submit("twice")
        self.submit("twice")
        self.submitted_count += 1
        self.request_manager.handle_message(RequestRejected("book"))
        # The last byte of a withdrawn attempt still counts as an attempt.
        self.request_manager.handle_message(LastByteSent("gone", 0))
        statistics = self.check_statistics()
        self.assertEqual(
            {name: value for name, value in statistics.items() if value},
            {
                "ok.look": 1,
                "errors.bill": 1,
                "shed.look": 1,
                "errors.look": 1,
                "shed.book": 1,
                "tries": 3,
                "active": 1,
                "pool_size": 2,
                "pool_ejected": statistics["pool_ejected"],
            },
        )

    def test_pool_statistics_when_an_ejected_worker_leaves_and_returns(self) -> None:
        self.update_workers(Worker(1), Worker(2), Worker(3, "draining"))
        self.assertEqual(self.request_manager.pool_counts(), (3, 0))
        view = self.request_manager.scheduler.worker_states[1]
        self.request_manager.scheduler.now = self.request_manager.clock.now_ms()
        self.request_manager.scheduler._eject(view, "error")
        self.assertEqual(self.request_manager.pool_counts(), (3, 1))
        self.update_workers(Worker(2), Worker(3, "draining"))  # worker 1 leaves while it is ejected
        self.assertEqual(self.request_manager.pool_counts(), (2, 0))
        self.update_workers(Worker(1, "healthy", started=self.request_manager.clock.now_ms()), Worker(2))
        self.assertEqual(self.request_manager.pool_counts(), (2, 0))


class HotRestartTests(unittest.TestCase):
    """A hot restart transfers requests and worker budgets; the two processes never use them both."""

    def test_predecessor_stops_feeding_and_its_attempts_count_against_the_budget(self) -> None:
        """Together they send to a worker that is warming up no more than one scheduler would."""
        from spanwing.hot_restart.state_transfer import (
            export_scheduler,
            export_worker,
            import_scheduler,
            import_worker,
            stop_feeding,
        )
        from spanwing.interface import Send

        warming_up = WorkerList("persisted", (Worker(1, started=1.0),))
        predecessor, successor = Driver(), Driver()
        predecessor.now = successor.now = 100.0
        send_counts = []
        for each in (predecessor, successor):
            each.feed(warming_up)
        for _ in range(20):
            send_counts.append(sum(isinstance(each, Send) for each in predecessor.submit()[1]))
        sent_before = sum(send_counts)
        self.assertGreater(sent_before, 0)
        stop_feeding(predecessor.scheduler)
        import_scheduler(successor.scheduler, export_scheduler(predecessor.scheduler, 1, "x"), successor.now)
        import_worker(
            successor.scheduler.worker_states[1],
            export_worker(predecessor.scheduler.worker_states[1]),
            successor.now,
        )
        successor.now = predecessor.now = 600.0
        # The slots are free again, as if other jobs had ended, but the budget of the window is spent.
        successor.scheduler.worker_states[1].foreign_slots = 0.0
        sent_after = sum(isinstance(each, Send) for _ in range(20) for each in successor.submit()[1])
        sent_late = sum(isinstance(each, Send) for _ in range(20) for each in predecessor.submit()[1])
        single = Driver()
        single.now = 100.0
        single.feed(warming_up)
        sent_by_single = sum(isinstance(each, Send) for _ in range(20) for each in single.submit()[1])
        for number in range(sent_by_single):
            single.end(f"r{number + 1}", 0, 1, "ok")
        single.now = 600.0
        sent_by_single += sum(isinstance(each, Send) for _ in range(20) for each in single.submit()[1])
        self.assertEqual(sent_late, 0)
        self.assertLessEqual(sent_before + sent_after, sent_by_single)

    def test_transferred_request_in_flight_occupies_its_worker_in_one_process_only(self) -> None:
        from spanwing import interface as api
        from spanwing.hot_restart.state_transfer import RequestResumed, export_attempts, release_request

        predecessor, successor = Driver(workers=3), Driver(workers=3)
        request_id, actions = predecessor.submit("bill")
        worker = actions[0].worker
        job = predecessor.scheduler.jobs[request_id]
        attempts = export_attempts(job)
        release_request(predecessor.scheduler, request_id)
        self.assertEqual(
            (
                predecessor.scheduler.worker_states[worker].reserved_slots,
                predecessor.scheduler.jobs,
                predecessor.scheduler.open_attempts,
            ),
            (0, {}, {}),
        )
        actions = successor.feed(
            RequestResumed(api.Request(request_id, "bill", 5000.0), job.arrived_ms, False, False, attempts)
        )
        self.assertEqual(actions, [])  # the attempt is in flight, so no other is sent
        self.assertEqual(successor.scheduler.worker_states[worker].reserved_slots, 1)
        # The predecessor ignores the attempt's result. At the successor the request, which must not run
        # twice, fails without a retry.
        self.assertEqual(predecessor.feed(Outcome(request_id, 0, worker, "ok", True, 1.0)), [])
        self.assertEqual(successor.end(request_id, 0, worker, "reset")[-1], api.Fail(request_id))
        self.assertNotIn(api.Send, {type(each) for each in successor.actions})
        self.assertEqual(successor.scheduler.worker_states[worker].reserved_slots, 0)

    def test_transferred_queued_request_is_sent_by_the_successor(self) -> None:
        from spanwing import interface as api
        from spanwing.hot_restart.state_transfer import RequestResumed, export_attempts, release_request

        predecessor, successor = Driver(), Driver(workers=1)
        request_id, _ = predecessor.submit()
        job = predecessor.scheduler.jobs[request_id]
        attempts = export_attempts(job)
        release_request(predecessor.scheduler, request_id)
        self.assertEqual(predecessor.scheduler.queued_count, 0)
        actions = successor.feed(
            RequestResumed(api.Request(request_id, "look", 5000.0), job.arrived_ms, False, False, attempts)
        )
        self.assertEqual(actions, [api.Send(request_id, 1)])


if __name__ == "__main__":
    unittest.main()
