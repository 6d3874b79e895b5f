"""Ids of requests that may have run are remembered within bounds of number and time."""

from __future__ import annotations

import unittest

from spanwing.core.ended_requests import (
    ENTRY_BYTES,
    MAX_REMEMBERED,
    MIN_REMEMBERED_S,
    REMEMBERED_S,
    EndedRequests,
)
from spanwing.resources.memory_account import MemoryAccount


class EndedRequestsTests(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = 100.0
        self.account = MemoryAccount()
        self.ended = EndedRequests(lambda: self.now_s, self.account)

    def test_an_id_is_forgotten_after_its_time(self) -> None:
        self.ended.add("a")
        self.now_s += REMEMBERED_S - 1.0
        self.assertIn("a", self.ended)
        self.now_s += 1.0
        self.assertNotIn("a", self.ended)

    def test_a_flood_of_ids_pushes_out_none_that_may_still_run(self) -> None:
        self.ended.add("first")
        for number in range(MAX_REMEMBERED - 1):
            self.assertTrue(self.ended.has_room())
            self.ended.add(f"id-{number}")
        self.assertFalse(self.ended.has_room())
        self.now_s += MIN_REMEMBERED_S
        self.assertTrue(self.ended.has_room())
        self.ended.add("one more")
        self.assertNotIn("first", self.ended)
        self.assertIn("id-0", self.ended)

    def test_the_ids_are_in_the_account_and_bounded(self) -> None:
        for number in range(MAX_REMEMBERED + 100):
            self.ended.add(f"id-{number}")
        self.assertEqual(self.account.held_bytes, ENTRY_BYTES * MAX_REMEMBERED)

    def test_an_id_whose_result_is_delivered_may_be_used_again(self) -> None:
        self.ended.add("a", is_served=True)
        self.assertNotIn("a", self.ended)
        self.assertEqual(list(self.ended), [])

    def test_an_id_whose_result_could_not_be_delivered_is_remembered(self) -> None:
        self.ended.add("a", is_served=True)
        self.ended.note_undelivered("a")
        self.assertIn("a", self.ended)
        self.assertEqual(list(self.ended), ["a"])
