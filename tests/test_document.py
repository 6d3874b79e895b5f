"""The fleet's document: transactions, watches without a gap, bounds; reads without a write; leases."""

from __future__ import annotations

import asyncio
import random
import tempfile
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from spanwing.store import disk
from spanwing.store.acceptor import Acceptor
from spanwing.store.document import (
    MAX_HISTORY_CHANGES,
    Document,
    Transaction,
    decode_document,
    encode_document,
)
from spanwing.store.lease import Lease, lease_expiry_ms
from spanwing.store.messages import Accept, Prepare, Register
from spanwing.store.store import Store

KEYS = st.sampled_from(["a", "b", "c"])


class Documents(unittest.TestCase):
    @given(
        st.lists(st.dictionaries(KEYS, st.none() | st.text("xyz", max_size=4), min_size=1), max_size=90),
        st.lists(st.integers(0, 90), max_size=8),
    )
    def test_a_watcher_that_looks_now_and_then_misses_no_change(self, writes, looks) -> None:
        document, watcher = Document(), Document()
        for number, each in enumerate(writes):
            document = document.apply(Transaction(f"t{number}", each))
            if number in looks:
                changes = document.changes_after(watcher.revision)
                watcher = document if changes is None else watcher.apply_changes(changes)
                self.assertEqual((watcher.revision, watcher.entries), (document.revision, document.entries))
        self.assertEqual(document.revision, len(writes))
        self.assertLessEqual(len(document.history), MAX_HISTORY_CHANGES)
        self.assertEqual(decode_document(encode_document(document)), document)

    def test_several_keys_change_at_once_or_not_at_all(self) -> None:
        document = Document().apply(Transaction("1", {"a": "x", "b": "x"}))
        after = document.apply(
            Transaction("2", {"a": "y", "c": "y"}, document.current_revisions("a", "b", "c"))
        )
        self.assertEqual([after.get_value(each) for each in "abc"], ["y", "x", "y"])
        self.assertIsNone(
            after.apply(Transaction("3", {"b": "z", "a": "z"}, document.current_revisions("a")))
        )

    def test_a_transaction_asked_for_again_takes_hold_once(self) -> None:
        document = Document().apply(Transaction("1", {"a": "x"})).apply(Transaction("2", {"a": "y"}))
        self.assertIs(document.apply(Transaction("1", {"a": "x"}, {"a": 0})), document)

    def test_bounds_are_told_and_change_nothing(self) -> None:
        for writes in (
            {"k" * 129: "x"},
            {"k": "x" * 24577},
            {f"k{n}": "" for n in range(513)},
            {f"k{n}": "x" * 20_000 for n in range(4)},
        ):
            with self.assertRaises(ValueError):
                Document().apply(Transaction("1", writes))

    def test_a_revision_that_is_none_of_ours_gets_the_whole(self) -> None:
        document = Document().apply(Transaction("1", {"a": "x"}))
        self.assertIsNone(document.changes_after(7))
        with self.assertRaises(ValueError):
            Document().apply_changes(document.apply(Transaction("2", {})).changes_after(1))


class Reads(unittest.TestCase):
    """look() against every way in which a write may have stopped half done."""

    def test_what_a_majority_names_is_read_without_a_write(self) -> None:
        for accepted in range(8):  # by which of three members the later write was accepted
            acceptors = [Acceptor(None) for _ in range(3)]
            for each in acceptors:
                each.handle_message(Prepare(1, "k", (1, "a")))
                each.handle_message(Accept(1, "k", (1, "a"), "old"))
            for place, each in enumerate(acceptors):
                if accepted >> place & 1:
                    each.handle_message(Prepare(2, "k", (2, "b")))
                    each.handle_message(Accept(2, "k", (2, "b"), "new"))
            for cut in (None, 1, 2):
                with self.subTest(accepted=accepted, cut=cut):
                    asyncio.run(self.look(acceptors, accepted, cut))

    async def look(self, acceptors, accepted: int, cut: int | None) -> None:
        copies = [Acceptor(None) for _ in acceptors]
        for copy, each in zip(copies, acceptors, strict=True):
            copy.registers.update(each.registers)
        peers = [Link(copies[place], place != cut) for place in (1, 2)]
        store = Store("a", copies[0], peers, 1, 50.0)
        seen = await store.read_register("k")
        if accepted.bit_count() >= 2:  # chosen: nobody may read anything else
            self.assertEqual(seen, "new")
        if accepted == 0:
            self.assertEqual(seen, "old")
            self.assertEqual(
                [each.registers["k"].promised_ballot for each in copies], [(1, "a")] * 3, "it wrote"
            )
        # A write that stopped half done may take hold between two reads, but what was read of it stays.
        again = await Store("a", copies[0], peers, 2, 50.0).read_register("k")
        self.assertIn(again, ("new",) if seen == "new" else ("old", "new"))


class Link:
    """A peer in the same process, up or cut off."""

    def __init__(self, acceptor: Acceptor, up: bool) -> None:
        self.acceptor, self.up = acceptor, up

    def send_request(self, message):
        reply = asyncio.get_running_loop().create_future()
        if self.up:
            reply.set_result(self.acceptor.handle_message(message))
        return reply


class Disks(unittest.TestCase):
    def test_a_log_that_is_overwritten_again_and_again_stays_small(self) -> None:
        with tempfile.TemporaryDirectory() as folder, mock.patch.object(disk, "MIN_COMPACTION_BYTES", 20_000):
            log = disk.RegisterLog(folder)
            acceptor = Acceptor(log)
            for number in range(1, 200):
                acceptor.handle_message(Prepare(1, f"k{number % 3}", (number, "a")))
                acceptor.handle_message(Accept(2, f"k{number % 3}", (number, "a"), f"{number}" * 300))
            self.assertLess(log.path.stat().st_size, 25_000)
            log.log_file.close()
            log.lock_file.close()
            again = disk.RegisterLog(folder)
            self.assertEqual(again.registers, acceptor.registers)
            again.log_file.close()
            again.lock_file.close()

    def test_a_disk_that_is_full_when_the_log_is_written_anew_loses_nothing(self) -> None:
        with tempfile.TemporaryDirectory() as folder, mock.patch.object(disk, "MIN_COMPACTION_BYTES", 100):
            log = disk.RegisterLog(folder)
            with mock.patch.object(log, "_compact", side_effect=OSError(28, "full")):
                for number in range(1, 9):
                    log.save(Register("k", (number, "a"), (number, "a"), "x" * 200))
            self.assertEqual(log._load()["k"].promised_ballot, (8, "a"))
            log.log_file.close()
            log.lock_file.close()


class Leases(unittest.TestCase):
    def test_a_holder_never_acts_once_the_granter_takes_it_for_lapsed(self) -> None:
        random.seed(1)
        for _ in range(2000):
            rate = random.uniform(0.96, 1.04)  # of the granter's clock against the holder's
            lease, asked, length = Lease(), random.uniform(0, 1e6), random.uniform(1, 5000)
            lease.record_renewal(3, asked)
            confirmed = asked + random.expovariate(0.01)  # after it had come, by the true clock
            lease.extend(3, length)
            lapsed = confirmed * rate + length * 1.1
            self.assertEqual(lapsed, lease_expiry_ms(confirmed * rate, length))
            self.assertFalse(lease.is_valid(lapsed / rate))

    def test_a_grant_counts_from_before_its_own_renewal(self) -> None:
        lease = Lease()
        lease.record_renewal(1, 100.0)
        lease.record_renewal(2, 900.0)
        lease.extend(1, 500.0)
        self.assertTrue(lease.is_valid(599.0))
        self.assertFalse(lease.is_valid(600.0))
        lease.extend(1, 5000.0)  # told again, late: it gives nothing
        lease.extend(7, 5000.0)
        self.assertFalse(lease.is_valid(600.0))


if __name__ == "__main__":
    unittest.main()
