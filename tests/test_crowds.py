"""A real scheduler keeps its memory limit and serves ordinary clients beside hostile crowds."""

from __future__ import annotations

import asyncio
import socket
import time
import unittest

from measure.crowds.run import CrowdBench, Result
from measure.crowds.shapes import request_head
from spanwing.net.address import KERNEL_BUFFER_BYTES
from spanwing.net.connection_table import READ_AHEAD_BYTES

FAKTORY = '[faktory]\nlisten = "127.0.0.1:0"\n'
LARGE_LIMIT_MB = 96  # from here on the peak has to stay below LARGE_LIMIT_SHARE of the limit
LARGE_LIMIT_SHARE = 0.8
MAX_DELAY_FACTOR = 4  # of the ordinary clients' p99 beside a crowd, over that without
CLIENT_BUFFER_BYTES = 16 * 1024
RETURN_MB = 3.0  # how far above the base the memory may stay once the crowd has gone


def attack(shapes: str, count: int, memory_mb: float = 192, seconds: float = 4.0, **more) -> Result:
    """Returns what a scheduler did beside a crowd of these shapes."""

    async def run() -> Result:
        bench = CrowdBench(memory_mb, **more)
        try:
            await bench.start()
            return await bench.attack(tuple(shapes.split(",")), count, seconds)
        finally:
            await bench.stop()

    return asyncio.run(run())


def bytes_taken_behind_a_waiting_request(port: int) -> int:
    """Returns how many bytes behind a request that waits a scheduler and the kernels take from one client."""
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, CLIENT_BUFFER_BYTES)
    with client:
        client.connect(("127.0.0.1", port))
        body = b"x" * 60_000
        for _ in range(200):
            client.sendall(b"POST /unknown HTTP/1.1\r\nHost: x\r\nContent-Length: 60000\r\n\r\n" + body)
            client.recv(1000)
        client.sendall(request_head(4).encode() + b"\r\nwork")
        time.sleep(0.2)
        client.setblocking(False)
        taken, end_s = 0, time.monotonic() + 2.0
        while time.monotonic() < end_s:
            try:
                taken += client.send(body)
            except BlockingIOError:
                time.sleep(0.01)
        return taken


class CrowdTests(unittest.TestCase):
    def check(self, result: Result, memory_mb: float = 192) -> None:
        self.assertTrue(result.is_alive, result.log)
        self.assertNotIn("Traceback", result.log)
        share = LARGE_LIMIT_SHARE if memory_mb >= LARGE_LIMIT_MB else 1.0
        self.assertLessEqual(result.peak_mb, share * memory_mb)
        self.assertEqual(result.beside.unanswered, 0, result.beside)
        self.assertGreater(result.beside.statuses.get("200", 0), 0, result.beside)

    def test_heads_of_many_short_fields_do_not_pass_the_memory_limit(self) -> None:
        self.check(attack("half-body", 350))

    def test_trailers_without_an_end_do_not_pass_the_memory_limit(self) -> None:
        self.check(attack("trailer", 350))

    def test_bodies_without_their_last_bytes_do_not_pass_a_small_memory_limit(self) -> None:
        self.check(attack("last-bytes", 700, 64), 64)

    def test_slow_large_requests_do_not_pass_the_memory_limit(self) -> None:
        self.check(attack("slow", 480, 96), 96)

    def test_large_pipelined_requests_behind_hanging_workers_do_not_pass_the_memory_limit(self) -> None:
        result = attack("whole-body", 700, hanging=True)
        self.assertTrue(result.is_alive, result.log)
        self.assertLessEqual(result.peak_mb, LARGE_LIMIT_SHARE * 192)

    def test_an_answered_request_leaves_no_memory_on_a_resting_connection(self) -> None:
        result = attack("up-and-rest", 350, 192)
        self.check(result)
        self.assertLessEqual(result.after_mb, result.base_mb + RETURN_MB)

    def test_faktory_jobs_of_many_arguments_do_not_pass_the_memory_limit(self) -> None:
        self.check(attack("push", 250, fronts=FAKTORY))

    def test_faktory_hellos_of_many_labels_do_not_pass_the_memory_limit(self) -> None:
        self.check(attack("hello", 250, fronts=FAKTORY))

    def test_requests_behind_a_waiting_one_do_not_fill_the_kernels_buffers(self) -> None:
        """The kernel lets the buffer of a connection grow that is read fast, and keeps it so."""

        async def run() -> int:
            bench = CrowdBench(hanging=True)
            try:
                await bench.start()
                return await asyncio.to_thread(bytes_taken_behind_a_waiting_request, bench.port())
            finally:
                await bench.stop()

        # The kernel doubles what was asked for, on both sides.
        bound = READ_AHEAD_BYTES + 2 * KERNEL_BUFFER_BYTES + 2 * CLIENT_BUFFER_BYTES
        self.assertLessEqual(asyncio.run(run()), bound)

    def test_small_chunks_of_some_do_not_delay_the_answers_of_others(self) -> None:
        result = attack("small-chunks", 100)
        self.check(result)
        self.assertLessEqual(result.beside.p99_s(), MAX_DELAY_FACTOR * result.alone.p99_s())

    def test_faktory_jobs_that_nobody_waits_for_do_not_pass_a_small_memory_limit(self) -> None:
        result = attack("push-large", 40, 64, fronts=FAKTORY, hanging=True)
        self.assertTrue(result.is_alive, result.log)
        self.assertLess(result.peak_mb, 64)

    def test_large_requests_at_hanging_workers_do_not_pass_a_small_memory_limit(self) -> None:
        result = attack("largest", 700, 64, hanging=True)
        self.assertTrue(result.is_alive, result.log)
        self.assertLess(result.peak_mb, 64)
