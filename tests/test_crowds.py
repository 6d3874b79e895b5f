"""A real scheduler keeps its memory limit and serves ordinary clients beside hostile crowds."""

from __future__ import annotations

import asyncio
import unittest

from measure.crowds.run import CrowdBench, Result

FAKTORY = '[faktory]\nlisten = "127.0.0.1:0"\n'
LARGE_LIMIT_MB = 96  # from here on the peak has to stay below LARGE_LIMIT_SHARE of the limit
LARGE_LIMIT_SHARE = 0.8
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

    def test_unread_pipelined_requests_do_not_fill_the_kernels_buffers(self) -> None:
        result = attack("unread", 100)
        self.check(result)
        self.assertLessEqual(result.kernel_mb, 64)

    def test_small_chunks_of_some_do_not_keep_others_from_their_answers(self) -> None:
        result = attack("small-chunks", 100)
        self.check(result)
        self.assertGreater(result.beside.statuses.get("200", 0), 30, result.beside)

    def test_faktory_jobs_that_nobody_waits_for_do_not_pass_a_small_memory_limit(self) -> None:
        result = attack("push-large", 40, 64, fronts=FAKTORY, hanging=True)
        self.assertTrue(result.is_alive, result.log)
        self.assertLess(result.peak_mb, 64)

    def test_large_requests_at_hanging_workers_do_not_pass_a_small_memory_limit(self) -> None:
        result = attack("largest", 700, 64, hanging=True)
        self.assertTrue(result.is_alive, result.log)
        self.assertLess(result.peak_mb, 64)
