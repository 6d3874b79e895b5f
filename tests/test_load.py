"""The load tool: it waits for no answer, charges a stall to all that came meanwhile, knows its lateness."""

from __future__ import annotations

import asyncio
import json
import socket
import time
import unittest

from player import Daemon, config, member
from test_cli import spanwing

from measure.workers import Workers
from spanwing.load.openloop import OpenLoopGenerator
from spanwing.simulation.clients import ClassSpec, ClientModel, LoadSpec, TenantSpec
from spanwing.simulation.random_streams import RandomStreams

CLASSES = (ClassSpec("status-read", 1.0, 10.0, deadline_ms=10_000.0),)


def wanted(rate: float):
    return iter(
        ClientModel(LoadSpec(rate), CLASSES, (TenantSpec("one", 1.0),), RandomStreams(1)).next_request, None
    )


class Stalling:
    """Answers at once, but for one stall in which it reads nothing."""

    def __init__(self, at: float, lasts: float) -> None:
        self.at, self.lasts, self.asked = at, lasts, 0

    async def start(self) -> tuple[str, int]:
        self.begun = time.perf_counter()
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(64)
                self.asked += 1
                since = time.perf_counter() - self.begun
                if self.at <= since < self.at + self.lasts:
                    await asyncio.sleep(self.at + self.lasts - since)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class Loads(unittest.TestCase):
    def test_a_stall_of_two_seconds_shows_in_the_percentiles(self) -> None:
        async def run(most: int):
            server = Stalling(1.0, 2.0)
            place = await server.start()
            report = await OpenLoopGenerator([place], "x", most).run(wanted(100.0), 4.0)
            server.server.close()
            return report

        # Also with four connections: then few requests are written during the stall, and a tool that counts
        # from there would hardly see it.
        for most in (2000, 4):
            report = asyncio.run(run(most))
            self.assertEqual(report.kinds, {"served": report.asked})
            self.assertGreater(report.asked, 300)  # none was left out because another had no answer
            self.assertGreater(report.latency["90"], 1000.0)
            self.assertGreater(report.latency["100"], 1900.0)
        self.assertLess(report.service["90"], 500.0)

    def test_a_generator_that_ran_late_says_so(self) -> None:
        async def run():
            server = Stalling(0.0, 0.0)
            place = await server.start()
            asyncio.get_running_loop().call_later(0.5, time.sleep, 0.4)  # something else has the core
            report = await OpenLoopGenerator([place], "x").run(wanted(100.0), 2.0)
            server.server.close()
            return report

        report = asyncio.run(run())
        self.assertGreater(report.late["99"], 100.0)
        self.assertIn("ran", report.warning)

    def test_the_command_against_a_daemon(self) -> None:
        async def run():
            workers = Workers((0.0, 0.01), 1)
            ((name, port),) = await workers.start(1)
            daemon = await asyncio.to_thread(Daemon(config([member(name, port)]), "").ready)
            self.addCleanup(daemon.close)
            host, port = daemon.addresses["clients"]
            done = await asyncio.to_thread(
                spanwing,
                "load",
                "calm-day",
                "--to",
                f"{host}:{port}",
                "--rate",
                "20",
                "--seconds",
                "1",
                "--json",
            )
            workers.stop()
            return json.loads(done.stdout), workers.run_counts

        report, ran = asyncio.run(run())
        self.assertGreater(report["asked"], 5)
        self.assertEqual(report["kinds"], {"served": report["asked"]})
        self.assertEqual(sum(ran.values()), report["asked"])

    def test_nobody_there_is_told_and_wrong_usage_refused(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as gone:
            port = gone.getsockname()[1]
        done = spanwing("load", "calm-day", "--to", f"127.0.0.1:{port}", "--rate", "20", "--seconds", "0.5")
        self.assertEqual((done.returncode, "broken" in done.stdout), (1, True))
        self.assertEqual(spanwing("load", "calm-day", "--to", "nowhere").returncode, 2)
        done = spanwing("load", "no-day", "--to", "127.0.0.1:1")
        self.assertEqual((done.returncode, "ready ones are" in done.stderr), (1, True))


if __name__ == "__main__":
    unittest.main()
