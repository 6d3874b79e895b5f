"""The id of a job that must not run twice comes again after its client has left."""

from __future__ import annotations

import asyncio
import unittest

from measure.crowds.run import CrowdBench, read_message

UNSAFE_CLASS = "schedule-apply"


async def send(port: int, request_id: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    head = f"POST /{UNSAFE_CLASS} HTTP/1.1\r\nHost: x\r\nX-Call-Id: {request_id}\r\n"
    writer.write(f"{head}Content-Length: 4\r\n\r\nwork".encode())
    return reader, writer


class LeavingClientTests(unittest.TestCase):
    async def leave_and_return(self, leave_after_s: float) -> tuple[dict[str, int], list[str]]:
        """Sends ids whose client leaves so long after its request, and sends each again twice."""
        bench = CrowdBench()
        bench.workers.running_s = (0.2, 0.3)
        await bench.start()
        statuses: list[str] = []
        try:
            ids = [f"unsafe-{number:04d}" for number in range(8)]
            for request_id in ids:
                _, writer = await send(bench.port(), request_id)
                await asyncio.sleep(leave_after_s)
                writer.transport.abort()
                for pause_s in (0.1, 0.5):
                    await asyncio.sleep(pause_s)
                    reader, writer = await send(bench.port(), request_id)
                    message = await asyncio.wait_for(read_message(reader), 8.0)
                    statuses.append("none" if message is None else message[0].split(" ")[1])
                    writer.close()
            return dict(bench.workers.run_counts), statuses
        finally:
            await bench.stop()

    def test_an_unsafe_id_whose_client_left_while_its_job_ran_does_not_run_again(self) -> None:
        counts, statuses = asyncio.run(self.leave_and_return(0.1))
        self.assertEqual({name: count for name, count in counts.items() if count > 1}, {}, statuses)
        self.assertEqual(set(statuses), {"409"})

    def test_an_unsafe_id_whose_client_left_as_its_job_ended_does_not_run_again(self) -> None:
        counts, statuses = asyncio.run(self.leave_and_return(0.24))
        self.assertEqual({name: count for name, count in counts.items() if count > 1}, {}, statuses)
