"""Tests of the health protocols for balancers, with real daemons and stand-in balancers.

They guard against requests that are accepted or lost after a drain, against listeners that fail under abuse,
against a reload that leaves a daemon half changed, and against a CPU shortage that is reported too late.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from player import ROOT, WAIT_TIMEOUT_S, Daemon, config, member
from standins import FaktoryClient

from measure.balancers import PROTOCOLS, Backend, CheckResult, HealthTracker, parse_agent_reply
from measure.drains import DrainRun
from measure.ports import free_ports
from spanwing.cli import client
from spanwing.health.settings import HealthSettings
from spanwing.health.signals import ClassLoad, CpuUsage, HealthSignals, WorkerCounts
from spanwing.health.state_machine import HealthStateMachine
from spanwing.log.limit import MAX_EVENT_NAMES, RateLimiter
from spanwing.net.loop_meter import MeteredSelector


def request_reply(address: tuple[str, int], data: bytes) -> bytes:
    """Sends data on a new connection, and returns what is received until the connection ends."""
    with socket.create_connection(address, WAIT_TIMEOUT_S) as connection:
        connection.sendall(data)
        answer = b""
        try:
            while chunk := connection.recv(65536):
                answer += chunk
        except ConnectionResetError:
            pass
        return answer


class DaemonTestCase(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def daemon(self, fronts: str, members: list[dict] | None = None, name: str = "n0", **settings) -> Daemon:
        if members is None:
            worker = socket.create_server(("127.0.0.1", 0))
            self.addCleanup(worker.close)
            members = [member("w1", worker.getsockname()[1])]
        started = Daemon({**config(members, **settings), "name": name}, fronts).wait_until_ready()
        self.addCleanup(started.close)
        self.addCleanup(lambda: self.assertNotIn("Traceback", started.stderr_text()))
        return started

    def listener_tables(self, **listeners: str) -> str:
        return "".join(f'[{name}]\nlisten = "{address}"\n' for name, address in listeners.items())

    def wait_until(self, condition, description: str) -> None:
        end = time.monotonic() + WAIT_TIMEOUT_S
        while not condition():
            self.assertLess(time.monotonic(), end, description)
            time.sleep(0.02)


class DrainTests(unittest.TestCase):
    def test_drains_under_load_at_random_moments_of_each_protocols_interval(self) -> None:
        """No request is accepted after 2 s, and each accepted request gets one final answer."""

        def run_lane(name: str, by_signal: bool):
            lane = DrainRun(name, 11, by_signal)
            try:
                return name, asyncio.run(asyncio.wait_for(lane.run(2), 90))
            except TimeoutError as error:
                raise AssertionError(f"{name}, by signal: {by_signal}: {lane.describe()}") from error

        with ThreadPoolExecutor(len(PROTOCOLS) + 1) as pool:
            runs = [pool.submit(run_lane, name, False) for name in PROTOCOLS]
            runs.append(pool.submit(run_lane, "agent-check", True))
            for each in runs:
                name, result = each.result()
                with self.subTest(name):
                    self.assertEqual(
                        (result.drains, result.accepted_late, result.unanswered, result.duplicate_runs),
                        (2, 0, 0, 0),
                    )
                    self.assertGreater(result.requests, 0)


class OrderTests(DaemonTestCase):
    def test_drains_and_undrains_within_one_check_interval(self) -> None:
        path = str(self.folder / "admin")
        daemon = self.daemon(
            self.listener_tables(agent_check="127.0.0.1:0", health="127.0.0.1:0")
            + f'[admin]\nsocket = "{path}"\n[balancers]\nnotice_ms = 400\n'
        )
        agent = daemon.addresses["agent_check"]
        self.wait_until(lambda: request_reply(agent, b"").startswith(b"ready"), "ready")
        with daemon.connect("clients") as kept_connection:
            kept_connection.settimeout(WAIT_TIMEOUT_S)
            file = kept_connection.makefile("rb")

            def request_liveness() -> bytes:
                kept_connection.sendall(b"GET /up HTTP/1.1\r\n\r\n")
                lines = []
                while (line := file.readline()) != b"\r\n":
                    lines.append(line)
                file.read(2 if b"200" in lines[0] else 10)
                return lines[0]

            for command, expected in (
                ("drain", b"drain\n"),
                ("undrain", b"ready"),
                ("drain", b"drain\n"),
                ("undrain", b"ready"),
            ):
                client.send_command(path, do=command)
                self.assertTrue(request_reply(agent, b"").startswith(expected), command)
                self.assertIn(b"200", request_liveness())  # not closed: it has sent no client's request
            client.send_command(path, do="drain")
            self.wait_until(lambda: client.send_command(path, do="status")["state"] == "drained", "drained")
        refused = request_reply(
            daemon.addresses["clients"],
            b"POST /status-read HTTP/1.1\r\nX-Call-Id: late-1\r\nContent-Length: 0\r\n\r\n",
        )
        self.assertTrue(refused.startswith(b"HTTP/1.1 503"), refused)
        self.assertIn(b"Connection: close", refused)

    def test_sigkill_during_a_drain_and_a_restart_that_serves(self) -> None:
        """The clients' connections end; a new process serves, and replaces the admin socket."""
        path = str(self.folder / "admin")
        fronts = self.listener_tables(agent_check="127.0.0.1:0") + f'[admin]\nsocket = "{path}"\n'
        daemon = self.daemon(fronts)
        with daemon.connect("clients") as pending_connection:
            pending_connection.settimeout(WAIT_TIMEOUT_S)
            pending_connection.sendall(
                b"POST /status-read HTTP/1.1\r\nX-Call-Id: job-1\r\nContent-Length: 0\r\n\r\n"
            )
            self.wait_until(lambda: client.send_command(path, do="status")["owed"] == 1, "taken")
            client.send_command(path, do="drain")
            address = daemon.addresses["agent_check"]
            self.assertEqual(request_reply(address, b""), b"drain\n")
            daemon.process.kill()
            daemon.process.wait()
            try:
                self.assertEqual(pending_connection.recv(100), b"")
            except ConnectionResetError:
                pass
        with self.assertRaises(OSError):
            request_reply(address, b"")
        restarted = self.daemon(fronts)
        self.wait_until(
            lambda: request_reply(restarted.addresses["agent_check"], b"").startswith(b"ready"), "ready again"
        )

    def test_a_reload_moves_listeners_or_changes_nothing(self) -> None:
        path = str(self.folder / "admin")
        admin = f'[admin]\nsocket = "{path}"\n'
        first_port, second_port, busy_port = free_ports(3)
        daemon = self.daemon(
            self.listener_tables(health=f"127.0.0.1:{first_port}", agent_check="127.0.0.1:0") + admin
        )
        occupying_socket = socket.create_server(("127.0.0.1", busy_port))
        self.addCleanup(occupying_socket.close)
        fronts = Path(daemon.folder.name) / "fronts.toml"
        liveness_request = b"GET /live HTTP/1.0\r\n\r\n"

        def reload(text: str, expected_text: str) -> None:
            fronts.write_text(text)
            daemon.process.send_signal(signal.SIGHUP)
            self.wait_until(lambda: expected_text in daemon.stderr_text(), expected_text)

        reload(
            self.listener_tables(health=f"127.0.0.1:{second_port}", agent_check=f"127.0.0.1:{busy_port}")
            + admin,
            f"not reloaded: agent_check.listen: cannot listen on 127.0.0.1:{busy_port}",
        )
        self.assertIn(b"alive", request_reply(("127.0.0.1", first_port), liveness_request))
        with self.assertRaises(OSError):
            request_reply(("127.0.0.1", second_port), liveness_request)
        reload(
            self.listener_tables(health=f"127.0.0.1:{second_port}", feedback="127.0.0.1:0") + admin,
            "not reloaded",
        )
        self.wait_until(lambda: self._is_alive(second_port, liveness_request), "moved")
        self.assertFalse(self._is_alive(first_port, liveness_request))
        reload("[balancers]\nfloor = 300\n", "floor: 300")
        self.assertTrue(self._is_alive(second_port, liveness_request))

    def _is_alive(self, port: int, data: bytes) -> bool:
        try:
            return b"alive" in request_reply(("127.0.0.1", port), data)
        except OSError:
            return False


class OverloadTests(DaemonTestCase):
    def test_clients_are_served_while_500_connections_send_garbage_or_nothing(self) -> None:
        fronts = self.listener_tables(
            **{name: "127.0.0.1:0" for name in ("health", "agent_check", "feedback", "grpc")}
        )
        daemon = self.daemon(fronts)
        agent = daemon.addresses["agent_check"]
        self.wait_until(lambda: request_reply(agent, b"").startswith(b"ready"), "ready")
        is_done, successes = threading.Event(), []

        def send_requests() -> None:
            while not is_done.is_set():
                successes.append(
                    request_reply(daemon.addresses["clients"], b"GET /up HTTP/1.0\r\n\r\n").startswith(
                        b"HTTP/1.1 200"
                    )
                )

        client_thread = threading.Thread(target=send_requests)
        client_thread.start()
        try:
            for front in ("health", "agent_check", "feedback", "grpc"):
                connections = [daemon.connect(front) for _ in range(500)]
                for number, each in enumerate(connections):
                    try:
                        each.sendall((b"G", b"\x00\xff" * 500, b"PRI * HTTP/2.0\r\n", b"")[number % 4])
                    except OSError:
                        pass  # it has been evicted for another connection
                for each in connections:
                    with each:
                        each.settimeout(WAIT_TIMEOUT_S)
                        try:
                            while each.recv(1000):  # each connection is answered or closed; none stays open
                                pass
                        except ConnectionResetError:
                            pass
            self.assertTrue(request_reply(agent, b"").startswith(b"ready"))
            self.assertTrue(request_reply(agent, b"status-read\n" * 50).startswith(b"ready"))
        finally:
            is_done.set()
            client_thread.join()
        self.assertTrue(successes and all(successes))
        self.assertLess(daemon.peak_memory_mb() - daemon.initial_resident_mb, 16)

    def test_checks_that_name_a_class_and_half_close(self) -> None:
        fronts = '[agent_check]\nlisten = "127.0.0.1:0"\nasks = true\nmaxconn = true\n'
        daemon = self.daemon(fronts)
        for data in (b"status-read\n", b"nobody\n", b""):
            with daemon.connect("agent_check") as connection:
                connection.settimeout(WAIT_TIMEOUT_S)
                connection.sendall(data)
                connection.shutdown(socket.SHUT_WR)
                line = connection.makefile().readline()
            self.assertRegex(line, r"^(ready up \d+% maxconn:\d+|down#.*)$")


class ServedClassesTests(DaemonTestCase):
    def test_a_worker_kind_whose_last_worker_disconnects(self) -> None:
        """Faktory workers report their kind; the last worker of one kind closes its connection."""
        fronts = self.listener_tables(health="127.0.0.1:0", faktory="127.0.0.1:0")
        daemon = self.daemon(fronts, [], kinds=["big", "old"], specifics={"class_kind": [-1, -1, 0]})
        health = daemon.addresses["health"]
        workers = {
            kind: FaktoryClient(daemon, wid=f"w-{kind}", labels=["zone:a", f"kind:{kind}"])
            for kind in ("big", "old")
        }

        def request_health(path: str) -> bytes:
            return request_reply(health, f"GET {path} HTTP/1.0\r\n\r\n".encode())

        self.wait_until(lambda: b" 200 " in request_health("/health/setpoint-push"), "served")
        workers["big"].close()
        self.wait_until(
            lambda: request_health("/health/setpoint-push").endswith(b"cannot serve setpoint-push"), "gone"
        )
        self.assertIn(b" 200 ", request_health("/health/status-read"))
        self.assertIn(b" 200 ", request_health("/health"))
        workers["old"].close()
        self.wait_until(lambda: request_health("/health").endswith(b"absent"), "all gone")

    def test_faktory_clients_are_notified_of_a_drain_and_of_its_end(self) -> None:
        path = str(self.folder / "admin")
        daemon = self.daemon(
            self.listener_tables(faktory="127.0.0.1:0") + f'[admin]\nsocket = "{path}"\n', []
        )
        worker = FaktoryClient(daemon, wid="w", labels=["zone:a"])
        producer = FaktoryClient(daemon)

        def push_job(jid: str) -> str:
            return producer.ask(
                "PUSH", json.dumps({"jid": jid, "jobtype": "j", "queue": "status-read", "args": []})
            )

        self.assertEqual(push_job("job-00001"), "+OK")
        client.send_command(path, do="drain")
        self.assertEqual(worker.ask("BEAT", '{"wid":"w"}'), '+{"state":"quiet"}')
        self.assertRegex(push_job("job-00002"), "^-BUSY")
        job = json.loads(worker.ask("FETCH", "status-read"))  # an accepted job is still delivered
        self.assertEqual((job["jid"], worker.ask("ACK", '{"jid":"job-00001"}')), ("job-00001", "+OK"))
        client.send_command(path, do="undrain")
        self.assertEqual((worker.ask("BEAT", '{"wid":"w"}'), push_job("job-00003")), ("+OK", "+OK"))

    def test_a_worker_kind_that_is_leaving(self) -> None:
        workers = [member("w1", 9, flavor="old"), member("w2", 9, flavor="big", phase="leaving")]
        daemon = self.daemon(
            self.listener_tables(health="127.0.0.1:0"),
            workers,
            kinds=["big", "old"],
            specifics={"class_kind": [-1, -1, 0]},
        )
        health = daemon.addresses["health"]
        self.wait_until(lambda: b" 200 " in request_reply(health, b"GET /health HTTP/1.0\r\n\r\n"), "up")
        reply = request_reply(health, b"GET /health/setpoint-push HTTP/1.0\r\n\r\n")
        self.assertIn(b" 503 ", reply)
        self.assertTrue(reply.endswith(b"cannot serve setpoint-push"), reply)
        self.assertIn(b" 200 ", request_reply(health, b"GET /health/status-read HTTP/1.0\r\n\r\n"))

    def start_members(self, notice_ms: float) -> dict[str, Daemon]:
        """Starts three members of a store, and waits until they serve."""
        self.ports, self.notice_ms = dict(zip("abc", free_ports(3), strict=True)), notice_ms
        daemons = {name: self.start_member(name) for name in self.ports}  # none serves without a majority
        for each in daemons.values():
            each.wait_until_ready()
        return daemons

    def start_member(self, name: str) -> Daemon:
        peers = ", ".join(
            f'{other} = "127.0.0.1:{port}"' for other, port in self.ports.items() if other != name
        )
        fronts = (
            self.listener_tables(agent_check="127.0.0.1:0", faktory="127.0.0.1:0", health="127.0.0.1:0")
            + f'[admin]\nsocket = "{self.folder / name}"\n[balancers]\nnotice_ms = {self.notice_ms}\n'
            f'[store]\nmember = "{name}"\ndirectory = "{self.folder / name}-store"\n'
            f'listen = "127.0.0.1:{self.ports[name]}"\npeers = {{ {peers} }}\n'
        )
        started = Daemon({**config([member("w1", 9)]), "name": name}, fronts)
        self.addCleanup(started.close)
        return started

    def state(self, name: str) -> dict:
        return client.send_command(str(self.folder / name), do="status")

    def test_drained_member_takes_no_new_work_after_a_restart(self) -> None:
        """Guards against a drain whose notice begins anew with each restart."""
        daemons = self.start_members(notice_ms=60_000)
        client.send_command(str(self.folder / "a"), do="drain", member="b")
        self.wait_until(lambda: self.state("b")["state"] == "draining", "b is drained through the store")
        daemons["b"].process.kill()
        daemons["b"].process.wait()
        restarted = self.start_member("b").wait_until_ready()
        request = b"POST /status-read HTTP/1.1\r\nX-Call-Id: job-1\r\nContent-Length: 0\r\n\r\n"
        self.assertIn(b" 503 ", request_reply(restarted.addresses["clients"], request))
        self.assertEqual(self.state("b")["state"], "drained")
        client.send_command(str(self.folder / "a"), do="undrain", member="b")
        self.wait_until(lambda: self.state("b")["state"] in ("weighted", "ready"), "b serves again")

    def test_drains_through_the_store_and_the_loss_of_its_majority(self) -> None:
        daemons = self.start_members(notice_ms=100)
        state = self.state
        client.send_command(str(self.folder / "a"), do="drain", member="b")
        self.wait_until(lambda: state("b")["state"] == "drained", "b is drained through the store")
        self.assertEqual(state("b")["drained_by"], ["store"])
        daemons["b"].process.kill()
        daemons["b"].process.wait()
        daemons["b"] = self.start_member("b").wait_until_ready()
        self.wait_until(
            lambda: state("b")["state"] in ("draining", "drained"), "the order outlives a restart"
        )
        client.send_command(str(self.folder / "c"), do="undrain", member="b")
        self.wait_until(lambda: state("b")["state"] in ("weighted", "ready"), "b serves again")
        for name in "bc":
            daemons[name].process.kill()
            daemons[name].process.wait()
        self.wait_until(
            lambda: state("a")["checks"]["class:schedule-apply"][0]["status"] == "fail", "no majority"
        )
        self.assertEqual(state("a")["checks"]["class:status-read"][0]["status"], "pass")
        self.assertIn(
            b"cannot serve schedule-apply",
            request_reply(daemons["a"].addresses["health"], b"GET /health/schedule-apply HTTP/1.0\r\n\r\n"),
        )
        with self.assertRaises(client.CommandRefusedError):
            client.send_command(str(self.folder / "a"), do="drain", member="b")


class StolenCpuTests(unittest.TestCase):
    """A queue in simulated time whose CPU is reduced in steps of 15 s while the load stays the same."""

    def simulate(
        self, cpu_steps: tuple[float, ...], load_ratio: float, max_wait_s: float, follows_weight: bool
    ) -> tuple[float, float]:
        """Returns when the state is first `short`, and when work first waits longer than max_wait_s.

        cpu_steps: the available part of the core in each step; infinity stands for never.
        """
        classes = (ClassLoad("status-read", 150.0),)
        health, policy = HealthStateMachine(HealthSettings(), 0.0), HealthSettings()
        now, backlog_s, short_at_s, late_at_s = 0.0, 0.0, float("inf"), float("inf")
        tick_s = 0.05
        while now < 60.0 and late_at_s == float("inf"):
            now += tick_s
            cpu_ratio = cpu_steps[min(int(now // 15), len(cpu_steps) - 1)]
            weight_ratio = health.verdict.weight / 100.0 if follows_weight else 1.0
            arrived_s = tick_s * (load_ratio * weight_ratio if now > 12 else 0.1)
            served_s = min(backlog_s + arrived_s, cpu_ratio * tick_s)
            backlog_s += arrived_s - served_s
            busy_ratio = served_s / cpu_ratio / tick_s
            cpu = CpuUsage(
                served_s / tick_s,
                min(1.0, busy_ratio),
                min(1.0, busy_ratio) - served_s / tick_s,
                1000 * backlog_s / cpu_ratio,
            )
            health.observe(now, HealthSignals(cpu, classes, (WorkerCounts("a", "", 1, 1),), "a"))
            if health.verdict.state == "short":
                short_at_s = min(short_at_s, now)
            if backlog_s / cpu_ratio > max_wait_s:
                late_at_s = now
        self.assertGreaterEqual(health.verdict.weight, policy.floor)
        return short_at_s, late_at_s

    def test_short_is_reported_before_any_request_is_late(self) -> None:
        for cpu_steps in ((1.0, 0.5), (1.0, 0.25), (1.0, 0.7, 0.4, 0.2)):
            for load_ratio in (0.55, 0.6, 0.7, 0.8):
                short_at_s, late_at_s = self.simulate(cpu_steps, load_ratio, 0.4, follows_weight=False)
                self.assertLess(short_at_s, late_at_s, (cpu_steps, load_ratio))
                self.assertLess(short_at_s, 60.0)

    def test_no_request_is_late_if_the_balancer_follows_the_weight(self) -> None:
        self.assertEqual(self.simulate((1.0, 0.5), 0.6, 0.4, follows_weight=True)[1], float("inf"))


class LoopMeterTests(unittest.TestCase):
    def test_the_alarm_is_raised_once_the_loop_has_been_busy_long_enough(self) -> None:
        async def main() -> float:
            loop, alarm_raised = asyncio.get_running_loop(), asyncio.Event()
            selector.set_alarm(0.05, lambda: loop.call_soon(alarm_raised.set))
            initial_busy_s = selector.busy_s()
            while not alarm_raised.is_set():
                sum(range(10000))
                await asyncio.sleep(0)
            return selector.busy_s() - initial_busy_s

        selector = MeteredSelector()
        with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(selector)) as runner:
            self.assertGreaterEqual(runner.run(main()), 0.05)
        self.assertEqual(selector.alarm_at_busy_s, float("inf"))  # the alarm is raised only once

    def test_a_waiting_loop_is_not_busy(self) -> None:
        selector = MeteredSelector()
        with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(selector)) as runner:
            before = selector.busy_s()
            runner.run(asyncio.sleep(0.2))
            self.assertLess(selector.busy_s() - before, 0.2)


class HelperTests(unittest.TestCase):
    def test_stand_in_balancers_parse_replies_by_the_specifications(self) -> None:
        self.assertEqual(parse_agent_reply("ready up 40% maxconn:9\n"), CheckResult(True, 40, False, True))
        self.assertEqual(parse_agent_reply("drain\n").drain, True)
        self.assertEqual(parse_agent_reply("down#no 90% up\n"), CheckResult(False, None, None, True))
        with self.assertRaises(ValueError):
            parse_agent_reply("fine")
        judge = HealthTracker(rise=2, fall=3)
        for is_up, expected in (
            (False, True),
            (False, True),
            (True, True),
            (False, True),
            (False, True),
            (False, False),
            (True, False),
            (True, True),
        ):
            judge.record(CheckResult(is_up))
            self.assertEqual(judge.up, expected)
        self.assertEqual(
            Backend("a", ("", 0), ("", 0), PROTOCOLS["envoy-http"]).health_tracker.effective_weight, 100
        )

    def test_rate_and_number_of_events_are_bounded(self) -> None:
        limiter = RateLimiter(1.0, 2.0)
        self.assertEqual([limiter.admit("e", 0.0) for _ in range(4)], [0, 0, None, None])
        self.assertEqual(limiter.admit("e", 5.0), 2)
        for number in range(MAX_EVENT_NAMES * 2):
            limiter.admit(str(number), 0.0)
        self.assertLessEqual(len(limiter.buckets), MAX_EVENT_NAMES)

    def test_structured_lines_and_a_log_that_is_not_read(self) -> None:
        code = (
            "import logging, sys, time\nfrom spanwing.log.events import EVENT_LOG\n"
            "EVENT_LOG.open(sys.argv[1], 1000.0, {'name': 'n1'})\nbegun = time.monotonic()\n"
            "EVENT_LOG.log_event('health', state='short', reasons=['a b', 'c'])\n"
            "logging.getLogger('spanwing').warning('plain %s', 'text')\n"
            "for n in range(int(sys.argv[2])): EVENT_LOG.log_event('flood', n=n, pad='x' * 2000)\n"
            "assert time.monotonic() - begun < 20\nEVENT_LOG.close()\n"
        )

        def run_logger(log_format: str, event_count: str) -> subprocess.Popen:
            return subprocess.Popen(
                [sys.executable, "-c", code, log_format, event_count],
                cwd=ROOT,
                stderr=subprocess.PIPE,
                env={"PATH": os.environ["PATH"]},
            )

        lines = run_logger("json", "0").communicate(timeout=WAIT_TIMEOUT_S)[1].decode().splitlines()
        first, second = map(json.loads, lines)
        self.assertEqual(
            (first["event"], first["state"], first["name"], first["reasons"]),
            ("health", "short", "n1", ["a b", "c"]),
        )
        self.assertEqual((second["event"], second["level"]), ("plain text", "warning"))
        line = run_logger("keys", "0").communicate(timeout=WAIT_TIMEOUT_S)[1].decode().splitlines()[0]
        self.assertRegex(line, r'^timestamp=\S+ level=info event=health .*reasons="a b,c"')
        unread_process = run_logger(
            "json", "3000"
        )  # 6 MB into a pipe that is not read; the process still ends
        self.assertEqual(unread_process.wait(WAIT_TIMEOUT_S), 0)
        unread_process.stderr.close()


if __name__ == "__main__":
    unittest.main()
