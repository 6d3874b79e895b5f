"""The account of bytes held: what is charged, and which message is given up first."""

from __future__ import annotations

import unittest

from spanwing.resources.memory_account import (
    HEADROOM_BYTES,
    MB,
    MIN_BUDGET_BYTES,
    MIN_SHED_BYTES,
    MemoryAccount,
    MemoryCharge,
)


class Holder:
    def __init__(self, account: MemoryAccount, size: int, may_shed: bool = True) -> None:
        self.charge, self.may_shed, self.is_shed = MemoryCharge(account, "input"), may_shed, False
        account.holders.add(self)
        self.charge.set(size)

    def shed_bytes(self) -> int:
        return self.charge.held_bytes if self.may_shed else 0

    def shed(self) -> None:
        self.is_shed = True
        self.charge.set(0)


class AccountTests(unittest.TestCase):
    def setUp(self) -> None:
        self.account = MemoryAccount()

    def test_the_largest_messages_are_given_up_first_and_no_more_than_needed(self) -> None:
        holders = [Holder(self.account, size * 10_000) for size in (5, 9, 3, 7)]
        self.account.budget_bytes = 200_000
        newest = Holder(self.account, 10_000)
        self.assertEqual([each.is_shed for each in holders], [False, True, False, False])
        self.assertFalse(newest.is_shed)
        self.assertEqual(self.account.held_bytes, 160_000)

    def test_what_may_not_be_given_up_stays_and_new_requests_have_no_room(self) -> None:
        waiting = Holder(self.account, 90_000, may_shed=False)
        small = Holder(self.account, MIN_SHED_BYTES - 1)
        self.account.budget_bytes = 80_000
        self.account.change("requests", 1)
        self.assertFalse(waiting.is_shed or small.is_shed)
        self.assertFalse(self.account.has_room())

    def test_memory_that_nobody_charged_makes_the_budget_smaller(self) -> None:
        self.account.change("requests", 5 * MB)
        self.account.update_budget(192, 30 * MB)
        before = self.account.budget_bytes
        self.account.update_budget(192, 50 * MB)
        self.assertEqual(before - self.account.budget_bytes, 20 * MB)

    def test_the_budget_and_the_base_are_within_any_limit(self) -> None:
        for limit_mb in range(40, 400, 8):
            self.account.update_budget(limit_mb, 28 * MB)
            allowed = limit_mb * MB * (0.8 if limit_mb >= 96 else 1.0)
            self.assertLessEqual(28 * MB + self.account.budget_bytes, allowed, limit_mb)

    def test_a_limit_near_the_base_leaves_the_least_budget(self) -> None:
        self.account.update_budget(32, 28 * MB)
        self.assertEqual(self.account.budget_bytes, MIN_BUDGET_BYTES)
        self.assertLess(MIN_BUDGET_BYTES, HEADROOM_BYTES)

    def test_a_charge_ends_with_its_owner(self) -> None:
        holder = Holder(self.account, 1000)
        self.assertEqual(self.account.held_bytes, 1000)
        del holder
        self.assertEqual(self.account.held_bytes, 0)
        self.assertEqual(self.account.figures()["held_input_kb"], 0)
