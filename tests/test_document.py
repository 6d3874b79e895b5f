"""The fleet's document, reads without a write, the register log and leases."""

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


class DocumentTests(unittest.TestCase):
    @given(
        st.lists(st.dictionaries(KEYS, st.none() | st.text("xyz", max_size=4), min_size=1), max_size=90),
        st.lists(st.integers(0, 90), max_size=8),
    )
    def test_a_watcher_that_reads_at_intervals_misses_no_change(self, writes, reads) -> None:
        document, watcher = Document(), Document()
        for number, each in enumerate(writes):
            document = document.apply(Transaction(f"t{number}", each))
            if number in reads:
                changes = document.changes_after(watcher.revision)
                watcher = document if changes is None else watcher.apply_changes(changes)
                self.assertEqual((watcher.revision, watcher.entries), (document.revision, document.entries))
        self.assertEqual(document.revision, len(writes))
        self.assertLessEqual(len(document.history), MAX_HISTORY_CHANGES)
        self.assertEqual(decode_document(encode_document(document)), document)

    def test_a_transaction_changes_all_its_keys_or_none(self) -> None:
        document = Document().apply(Transaction("1", {"a": "x", "b": "x"}))
        after = document.apply(
            Transaction("2", {"a": "y", "c": "y"}, document.current_revisions("a", "b", "c"))
        )
        self.assertEqual([after.get_value(each) for each in "abc"], ["y", "x", "y"])
        self.assertIsNone(
            after.apply(Transaction("3", {"b": "z", "a": "z"}, document.current_revisions("a")))
        )

    def test_a_repeated_transaction_is_applied_once(self) -> None:
        document = Document().apply(Transaction("1", {"a": "x"})).apply(Transaction("2", {"a": "y"}))
        self.assertIs(document.apply(Transaction("1", {"a": "x"}, {"a": 0})), document)

    def test_a_transaction_beyond_a_bound_is_rejected(self) -> None:
        for writes in (
            {"k" * 129: "x"},
            {"k": "x" * 24577},
            {f"k{n}": "" for n in range(513)},
            {f"k{n}": "x" * 20_000 for n in range(4)},
        ):
            with self.assertRaises(ValueError):
                Document().apply(Transaction("1", writes))

    def test_no_changes_are_returned_after_an_unknown_revision(self) -> None:
        document = Document().apply(Transaction("1", {"a": "x"}))
        self.assertIsNone(document.changes_after(7))
        with self.assertRaises(ValueError):
            Document().apply_changes(document.apply(Transaction("2", {})).changes_after(1))


class ReadTests(unittest.TestCase):
    """read_register() after a write that was interrupted at any point."""

    def test_a_value_that_a_majority_reports_is_read_without_a_write(self) -> None:
        for accepted in range(8):  # bit mask of the members that accepted the second write
            acceptors = [Acceptor(None) for _ in range(3)]
            for each in acceptors:
                each.handle_message(Prepare(1, "k", (1, "a")))
                each.handle_message(Accept(1, "k", (1, "a"), "old"))
            for index, each in enumerate(acceptors):
                if accepted >> index & 1:
                    each.handle_message(Prepare(2, "k", (2, "b")))
                    each.handle_message(Accept(2, "k", (2, "b"), "new"))
            for unreachable in (None, 1, 2):
                with self.subTest(accepted=accepted, unreachable=unreachable):
                    asyncio.run(self.check_reads(acceptors, accepted, unreachable))

    async def check_reads(self, acceptors, accepted: int, unreachable: int | None) -> None:
        copies = [Acceptor(None) for _ in acceptors]
        for copy, each in zip(copies, acceptors, strict=True):
            copy.registers.update(each.registers)
        peers = [LocalPeer(copies[index], index != unreachable) for index in (1, 2)]
        store = Store("a", copies[0], peers, 1, 50.0)
        value = await store.read_register("k")
        if accepted.bit_count() >= 2:  # the value is chosen: no read may return another one
            self.assertEqual(value, "new")
        if accepted == 0:
            self.assertEqual(value, "old")
            self.assertEqual(
                [each.registers["k"].promised_ballot for each in copies], [(1, "a")] * 3, "the read wrote"
            )
        # An interrupted write may complete between two reads, but a value that was read is never lost.
        next_value = await Store("a", copies[0], peers, 2, 50.0).read_register("k")
        self.assertIn(next_value, ("new",) if value == "new" else ("old", "new"))


class LocalPeer:
    """A peer in the same process; an unreachable one never replies."""

    def __init__(self, acceptor: Acceptor, is_reachable: bool) -> None:
        self.acceptor, self.is_reachable = acceptor, is_reachable

    def send_request(self, message):
        reply = asyncio.get_running_loop().create_future()
        if self.is_reachable:
            reply.set_result(self.acceptor.handle_message(message))
        return reply


class RegisterLogTests(unittest.TestCase):
    def test_a_log_of_overwritten_states_is_compacted(self) -> None:
        with tempfile.TemporaryDirectory() as folder, mock.patch.object(disk, "MIN_COMPACTION_BYTES", 20_000):
            log = disk.RegisterLog(folder)
            acceptor = Acceptor(log)
            for number in range(1, 200):
                acceptor.handle_message(Prepare(1, f"k{number % 3}", (number, "a")))
                acceptor.handle_message(Accept(2, f"k{number % 3}", (number, "a"), f"{number}" * 300))
            self.assertLess(log.path.stat().st_size, 25_000)
            log.log_file.close()
            log.lock_file.close()
            reopened = disk.RegisterLog(folder)
            self.assertEqual(reopened.registers, acceptor.registers)
            reopened.log_file.close()
            reopened.lock_file.close()

    def test_a_compaction_that_fails_on_a_full_disk_loses_nothing(self) -> None:
        with tempfile.TemporaryDirectory() as folder, mock.patch.object(disk, "MIN_COMPACTION_BYTES", 100):
            log = disk.RegisterLog(folder)
            with mock.patch.object(log, "_compact", side_effect=OSError(28, "No space left on device")):
                for number in range(1, 9):
                    log.save(Register("k", (number, "a"), (number, "a"), "x" * 200))
            self.assertEqual(log._load()["k"].promised_ballot, (8, "a"))
            log.log_file.close()
            log.lock_file.close()


class LeaseTests(unittest.TestCase):
    def test_a_lease_is_invalid_once_the_grantor_regards_it_as_expired(self) -> None:
        random.seed(1)
        for _ in range(2000):
            rate = random.uniform(0.96, 1.04)  # of the grantor's clock relative to the holder's
            lease, sent_at_ms, lease_ms = Lease(), random.uniform(0, 1e6), random.uniform(1, 5000)
            lease.record_renewal(3, sent_at_ms)
            confirmed_at_ms = sent_at_ms + random.expovariate(0.01)  # by the holder's clock
            lease.extend(3, lease_ms)
            expired_at_ms = confirmed_at_ms * rate + lease_ms * 1.1  # by the grantor's clock
            self.assertEqual(expired_at_ms, lease_expiry_ms(confirmed_at_ms * rate, lease_ms))
            self.assertFalse(lease.is_valid(expired_at_ms / rate))

    def test_a_lease_runs_from_when_its_own_renewal_was_sent(self) -> None:
        lease = Lease()
        lease.record_renewal(1, 100.0)
        lease.record_renewal(2, 900.0)
        lease.extend(1, 500.0)
        self.assertTrue(lease.is_valid(599.0))
        self.assertFalse(lease.is_valid(600.0))
        lease.extend(1, 5000.0)  # a repeated grant has no effect
        lease.extend(7, 5000.0)
        self.assertFalse(lease.is_valid(600.0))


if __name__ == "__main__":
    unittest.main()
