"""The load generator: open-loop arrivals, latencies during a stall, and the warning that it ran late."""

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


def generated_requests(rate: float):
    """Returns an endless iterator of requests."""
    return iter(
        ClientModel(LoadSpec(rate), CLASSES, (TenantSpec("one", 1.0),), RandomStreams(1)).next_request, None
    )


class StallingServer:
    """Answers requests at once, except during one stall, in which each connection stops after one request."""

    def __init__(self, stall_begin_s: float, stall_s: float) -> None:
        self.stall_begin_s, self.stall_s, self.request_count = stall_begin_s, stall_s, 0

    async def start(self) -> tuple[str, int]:
        self.started_at_s = time.perf_counter()
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(64)
                self.request_count += 1
                elapsed_s = time.perf_counter() - self.started_at_s
                if self.stall_begin_s <= elapsed_s < self.stall_begin_s + self.stall_s:
                    await asyncio.sleep(self.stall_begin_s + self.stall_s - elapsed_s)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class LoadGeneration(unittest.TestCase):
    def test_a_stall_of_two_seconds_shows_in_the_percentiles(self) -> None:
        async def run(max_connections: int):
            server = StallingServer(1.0, 2.0)
            endpoint = await server.start()
            report = await OpenLoopGenerator([endpoint], "x", max_connections).run(
                generated_requests(100.0), 4.0
            )
            server.server.close()
            return report

        # With four connections few requests are written during the stall, so that latencies counted from the
        # time of writing would hardly show it.
        for max_connections in (2000, 4):
            report = asyncio.run(run(max_connections))
            self.assertEqual(report.kinds, {"served": report.asked})
            self.assertGreater(report.asked, 300)  # requests were sent without waiting for answers
            self.assertGreater(report.latency["90"], 1000.0)
            self.assertGreater(report.latency["100"], 1900.0)
        self.assertLess(report.service["90"], 500.0)

    def test_a_late_generator_gives_a_warning(self) -> None:
        async def run():
            server = StallingServer(0.0, 0.0)
            endpoint = await server.start()
            # Blocks the event loop of the generator, as a busy core would.
            asyncio.get_running_loop().call_later(0.5, time.sleep, 0.4)
            report = await OpenLoopGenerator([endpoint], "x").run(generated_requests(100.0), 2.0)
            server.server.close()
            return report

        report = asyncio.run(run())
        self.assertGreater(report.late["99"], 100.0)
        self.assertIn("ran", report.warning)

    def test_the_command_loads_a_daemon(self) -> None:
        async def run():
            workers = Workers((0.0, 0.01), 1)
            ((name, port),) = await workers.start(1)
            daemon = await asyncio.to_thread(Daemon(config([member(name, port)]), "").wait_until_ready)
            self.addCleanup(daemon.close)
            host, port = daemon.addresses["clients"]
            completed = await asyncio.to_thread(
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
            return json.loads(completed.stdout), workers.run_counts

        report, ran = asyncio.run(run())
        self.assertGreater(report["asked"], 5)
        self.assertEqual(report["kinds"], {"served": report["asked"]})
        self.assertEqual(sum(ran.values()), report["asked"])

    def test_an_unreachable_scheduler_and_invalid_arguments_fail(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as closed:
            port = closed.getsockname()[1]
        completed = spanwing(
            "load", "calm-day", "--to", f"127.0.0.1:{port}", "--rate", "20", "--seconds", "0.5"
        )
        self.assertEqual((completed.returncode, "broken" in completed.stdout), (1, True))
        self.assertEqual(spanwing("load", "calm-day", "--to", "nowhere").returncode, 2)
        completed = spanwing("load", "no-day", "--to", "127.0.0.1:1")
        self.assertEqual((completed.returncode, "the library has" in completed.stderr), (1, True))


if __name__ == "__main__":
    unittest.main()
