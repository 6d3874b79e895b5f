"""Deeply nested JSON from a peer is malformed input like any other."""

from __future__ import annotations

import asyncio
import unittest

from measure.crowds.run import CrowdBench, send_ordinary
from measure.soak.stand_ins import DiscoveryStandIn

DEPTH = 2000
NESTED = b"[" * DEPTH + b"]" * DEPTH


class NestedInputTests(unittest.TestCase):
    def test_a_nested_faktory_push_gets_an_error_reply(self) -> None:
        async def run() -> tuple[list[bytes], str]:
            bench = CrowdBench(fronts='[faktory]\nlisten = "127.0.0.1:0"\n')
            try:
                await bench.start()
                reader, writer = await asyncio.open_connection("127.0.0.1", bench.port("faktory"))
                writer.write(b'HELLO {"v":2}\r\n')
                job = b'{"jid":"12345678","jobtype":"x","queue":"status-read","args":[%s]}' % NESTED
                writer.write(b"PUSH %s\r\nPUSHB [%s]\r\nINFO\r\n" % (job, job))
                lines = [await asyncio.wait_for(reader.readline(), 5.0) for _ in range(5)]
                writer.close()
                return lines, bench.program.stderr_text()
            finally:
                await bench.stop()

        lines, log = asyncio.run(run())
        self.assertNotIn("Traceback", log)
        self.assertTrue(lines[2].startswith(b"-ERR malformed"), lines)

    def test_nested_answers_of_discovery_are_failed_calls(self) -> None:
        original = DiscoveryStandIn.encode_list

        async def run() -> tuple[dict[str, int], str]:
            bench = CrowdBench()
            try:
                await bench.start()
                before = dict((await send_ordinary(bench.port(), 0.5)).statuses)
                DiscoveryStandIn.encode_list = lambda *_: b'{"revision":9,"members":[],"more":%s}' % NESTED
                bench.discovery.change([], "active")
                await asyncio.sleep(1.0)
                return before, bench.program.stderr_text()
            finally:
                DiscoveryStandIn.encode_list = original
                await bench.stop()

        before, log = asyncio.run(run())
        self.assertGreater(before.get("200", 0), 0)
        self.assertNotIn("Traceback", log)
        self.assertIn("discovery_call_failed reason=unreadable", log)

    def test_a_nested_call_of_a_worker_is_answered_with_400(self) -> None:
        async def run() -> tuple[bytes, str]:
            bench = CrowdBench()
            try:
                await bench.start()
                reader, writer = await asyncio.open_connection("127.0.0.1", bench.port())
                body = b'{"id":"x","state":"done","more":%s}' % NESTED
                head = b"POST /v1/job-events HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(body)
                writer.write(head + body)
                line = await asyncio.wait_for(reader.readline(), 5.0)
                writer.close()
                return line, bench.program.stderr_text()
            finally:
                await bench.stop()

        line, log = asyncio.run(run())
        self.assertIn(b" 400 ", line)
        self.assertNotIn("Traceback", log)
