"""The journal's log: what a crash leaves, what damage leaves, and what may be said of a request then."""

from __future__ import annotations

import random
import time
import unittest

from hypothesis import given
from hypothesis import strategies as st
from simdisk import Crash, SimDisk

from spanwing.journal.committer import DISK_BACKOFF_S, MAX_PENDING_RECORDS, Committer
from spanwing.journal.compaction import SegmentCompactor
from spanwing.journal.files import FolderInUseError, LocalFolder
from spanwing.journal.frames import (
    HEADER_SIZE,
    DamagedBytes,
    FutureVersionError,
    RecordFrame,
    SegmentHeader,
    decode_header,
    encode_frame,
    encode_header,
    read_frames,
)
from spanwing.journal.records import (
    MAX_RECORD_BYTES,
    AttemptCancelled,
    AttemptClosed,
    AttemptCompleted,
    AttemptIntent,
    AttemptUnsent,
    JournalGap,
    LastByteWritten,
    ProcessStarted,
    RequestAccepted,
    RequestAnswered,
    encode_record,
)
from spanwing.journal.request_states import RequestStates
from spanwing.journal.segment_log import RetentionLimits, SegmentLog, SegmentReader

SMALL = RetentionLimits(segment_bytes=900, segment_ms=1e9, retention_ms=1e12, retention_bytes=1 << 40)


def records(request: str, sent: bool = True, attempt: int = 0) -> list:
    """One request's life."""
    life = [
        RequestAccepted(request, 1.0, 1.0, "schedule-apply", "corrib", "", "platform", 25000.0),
        AttemptIntent(request, 2.0, 2.0, attempt, "w1", "127.0.0.1:1"),
    ]
    life += (
        [LastByteWritten(request, 3.0, 3.0, attempt), AttemptCompleted(request, 4.0, 4.0, attempt, "ok")]
        if sent
        else [AttemptUnsent(request, 3.0, 3.0, attempt, "unreachable")]
    )
    return [*life, RequestAnswered(request, 5.0, 5.0, "served" if sent else "refused")]


def found(data: bytes, first: int = 1) -> tuple[list[RecordFrame], list[DamagedBytes]]:
    all_of_it = list(read_frames(data, first, 0))
    return (
        [each for each in all_of_it if isinstance(each, RecordFrame)],
        [each for each in all_of_it if isinstance(each, DamagedBytes)],
    )


class Frames(unittest.TestCase):
    def setUp(self) -> None:
        self.payloads = [encode_record(each) for number in range(4) for each in records(f"job-{number}")]
        self.frames = [encode_frame(number, each) for number, each in enumerate(self.payloads, 1)]
        self.data = b"".join(self.frames)

    def test_a_tail_cut_anywhere_gives_all_whole_records_before_it(self) -> None:
        ends = [sum(map(len, self.frames[: n + 1])) for n in range(len(self.frames))]
        for cut in range(len(self.data)):
            whole, skipped = found(self.data[:cut])
            self.assertEqual(len(whole), sum(end <= cut for end in ends))
            self.assertEqual(bool(skipped), cut not in (0, *ends))

    def test_a_damaged_byte_costs_its_own_record_alone(self) -> None:
        for at in range(len(self.data)):
            data = bytearray(self.data)
            data[at] ^= 0x55
            whole, skipped = found(bytes(data))
            self.assertEqual(len(whole), len(self.frames) - 1, at)
            self.assertEqual(sum(each.size for each in skipped) > 0, True)

    def test_a_missing_record_is_told_by_number(self) -> None:
        data = b"".join(self.frames[:3] + self.frames[5:])
        whole, skipped = found(data)
        self.assertEqual(
            (len(whole), [each.missing_numbers for each in skipped]), (len(self.frames) - 2, [2])
        )

    def test_an_old_frame_in_a_later_place_is_not_taken(self) -> None:
        whole, _ = found(self.data + self.frames[2])
        self.assertEqual([each.number for each in whole], list(range(1, len(self.frames) + 1)))

    @given(st.binary(max_size=300), st.integers(0, 400), st.binary(max_size=40))
    def test_any_bytes_end(self, noise: bytes, at: int, more: bytes) -> None:
        data = self_data[:at] + noise + self_data[at:] + more
        whole, _ = found(data)
        numbers = [each.number for each in whole]
        self.assertEqual(numbers, sorted(set(numbers)))
        # Noise between two frames, or within one, costs at most the one that it hits.
        self.assertGreaterEqual(len(whole), SELF_COUNT - 1)

    def test_headers(self) -> None:
        good = encode_header(SegmentHeader(7, 1.5, 1, 6))
        self.assertEqual(decode_header(good), SegmentHeader(7, 1.5, 1, 6))
        for cut in range(len(good)):
            with self.assertRaises(ValueError):
                decode_header(good[:cut])
        with self.assertRaises(ValueError):
            encode_record(RequestAccepted("x" * MAX_RECORD_BYTES, 0.0, 0.0))


_payloads = [encode_record(each) for number in range(2) for each in records(f"job-{number}")]
self_data = b"".join(encode_frame(number, each) for number, each in enumerate(_payloads, 1))
SELF_COUNT = len(_payloads)


class Standing(unittest.TestCase):
    def test_what_a_prefix_of_records_says(self) -> None:
        expected = ("not sent", "possibly sent", "sent", "sent", "sent")
        for count, finding in enumerate(expected, 1):
            ledger, settled = RequestStates(), None
            for number, record in enumerate(records("job")[:count]):
                settled = ledger.apply(number, record)
            request = settled or ledger.open_requests["job"]
            self.assertEqual((request.delivery_state, request.is_settled), (finding, count == 5))

    def test_an_attempt_that_was_certainly_not_sent(self) -> None:
        ledger = RequestStates()
        for number, record in enumerate(records("job", sent=False)[:3]):
            ledger.apply(number, record)
        self.assertEqual(
            (ledger.open_requests["job"].delivery_state, ledger.unfinished_attempts()), ("not sent", [])
        )

    def test_the_gravest_attempt_counts_and_a_closed_one_stays_possibly_sent(self) -> None:
        ledger = RequestStates()
        for number, record in enumerate(records("job", sent=False)[:3]):
            ledger.apply(number, record)
        ledger.apply(4, AttemptIntent("job", 5.0, 5.0, 1, "w2", "x"))
        self.assertEqual([each.number for _, each in ledger.unfinished_attempts()], [1])
        settled = ledger.apply(5, AttemptClosed("job", 6.0, 6.0, 1, "w2"))
        self.assertEqual((settled.delivery_state, ledger.open_requests), ("possibly sent", {}))

    def test_a_new_life_closes_whatever_an_earlier_one_left(self) -> None:
        for count in range(1, 6):
            ledger = RequestStates()
            for number, record in enumerate(records("job")[:count]):
                ledger.apply(number, record)
            before = ledger.open_requests["job"].delivery_state if ledger.open_requests else "sent"
            closing = ledger.closing_records(9.0, 9.0)
            for number, record in enumerate(closing, 10):
                settled = ledger.apply(number, record)
                self.assertEqual((settled.delivery_state, settled.is_interrupted), (before, True))
            self.assertEqual((ledger.open_requests, len(closing)), ({}, count < 5))

    def test_where_records_may_be_missing_nothing_is_shown_unsent(self) -> None:
        taken = RequestAccepted("job", 1.0, 1.0, "schedule-apply")
        gap, life = JournalGap("", 3.0, 3.0, 2.0, 1, "full"), ProcessStarted("", 4.0, 4.0, "n", "x")
        for certain in (True, False):
            for event in (gap, life):
                disk = SimDisk(1)
                log = SegmentLog(disk, SMALL)
                log.write([ProcessStarted("", 0.0, 0.0, "n", "w", certain), taken], 0.0)
                log.write([event], 0.0)
                log.write_snapshot()
                for ledger in (
                    log.request_states,
                    SegmentLog(disk, SMALL).request_states,
                ):  # also by way of the snapshot
                    finding = ledger.open_requests["job"].delivery_state
                    self.assertEqual(finding, "not sent" if certain else "possibly sent")
        for record in (
            AttemptCompleted("job", 2.0, 2.0, 0, "ok"),
            AttemptCancelled("job", 2.0, 2.0, 0, "timeout"),
            RequestAnswered("job", 2.0, 2.0, "served"),
        ):
            alone = RequestStates()  # its first records are gone
            found = alone.apply(1, record) or alone.open_requests["job"]
            self.assertEqual(found.delivery_state, "possibly sent")

    def test_what_a_life_that_served_left_is_told_though_no_attempt_is_there(self) -> None:
        ledger = RequestStates()
        for number, record in enumerate(
            (
                ProcessStarted("", 0.0, 0.0, "n", "w", False),
                RequestAccepted("job", 1.0, 1.0, "schedule-apply"),
            )
        ):
            ledger.apply(number, record)
        self.assertEqual([request.id for request, _ in ledger.unfinished_attempts()], ["job"])
        ledger.apply(3, ProcessStarted("", 2.0, 2.0, "n", "x"))
        for number, record in enumerate(ledger.closing_records(2.0, 2.0), 4):
            ledger.apply(number, record)
        self.assertEqual(
            (ledger.interrupted["job"].delivery_state, ledger.open_requests), ("possibly sent", {})
        )


class PowerLoss(unittest.TestCase):
    """A crash at every call of a seeded run, and what was not synced in every kind of ruin."""

    def life(self, disk: SimDisk, seed: int, acknowledged: list, tried: list) -> None:
        """Write seeded batches; acknowledged: records whose write() returned."""
        source = random.Random(seed)
        log = SegmentLog(disk, SMALL)
        for number in range(6):
            batch = [
                each
                for one in range(source.randrange(1, 4))
                for each in records(f"job-{seed}-{number}-{one}", source.random() < 0.7)[
                    : source.randrange(1, 6)
                ]
            ]
            tried += batch
            log.write(batch, 1000.0 * number)
            acknowledged += batch
            if source.random() < 0.3:
                log.remove_expired(1000.0 * number)

    def check(self, disk: SimDisk, acknowledged: list, tried: list) -> None:
        read = [each.record for _, each in SegmentReader(disk).read_all() if isinstance(each, RecordFrame)]
        there = set(read)
        lost = [each for each in acknowledged if each not in there]
        self.assertEqual(lost, [], "an acknowledged record is gone")
        self.assertLessEqual(there, set(tried), "a record that nobody wrote")

    def test_crashes(self) -> None:
        crashes = 0
        for seed in range(200):
            disk = SimDisk(seed)
            self.life(disk, seed, [], [])
            for at in range(1, disk.calls + 1):
                for again in range(1):
                    broken, acknowledged, tried = SimDisk(seed * 1000 + at * 10 + again), [], []
                    broken.crash_at = at
                    with self.assertRaises(Crash):
                        self.life(broken, seed, acknowledged, tried)
                    found = broken.after_power_loss()
                    self.check(found, acknowledged, tried)
                    # A second life on what was found, and a crash in it too.
                    found.crash_at = random.Random(at).randrange(1, 40)
                    try:
                        self.life(found, seed + 5000, acknowledged, tried)
                    except Crash:
                        pass
                    last = found.after_power_loss()
                    self.check(last, acknowledged, tried)
                    log = SegmentLog(last, SMALL)  # snapshot and log give what the log alone gives
                    alone = RequestStates()
                    for _, each in SegmentReader(last).read_all():
                        if isinstance(each, RecordFrame):
                            alone.apply(each.number, each.record)
                    self.assertEqual(
                        {
                            name: each.delivery_state
                            for name, each in log.request_states.open_requests.items()
                        },
                        {name: each.delivery_state for name, each in alone.open_requests.items()},
                    )
                    crashes += 2
        self.assertGreater(crashes, 10_000)


class Thinning(unittest.TestCase):
    """Old segments lose what its class keeps for a shorter time, whole at once."""

    BOUNDS = RetentionLimits(900, 1e12, 1e12, 1 << 40, {"setpoint-push": 1000.0})

    def life(self, disk: SimDisk) -> tuple[SegmentLog, list, list]:
        log, long, short = SegmentLog(disk, self.BOUNDS), [], []
        for number in range(12):
            one, other = records(f"long-{number}"), records(f"short-{number}")
            other[0] = RequestAccepted(f"short-{number}", 1.0, 1.0, "setpoint-push")
            log.write([*one, *other], 10.0 * number)
            long, short = long + one, short + other
        return log, long, short

    def thin(self, disk: SimDisk, log: SegmentLog, now_ms: float = 1e6) -> None:
        thinner = SegmentCompactor(disk, self.BOUNDS)
        thinner.remove_partial_files()
        for _ in thinner.compact(log.request_states.oldest_needed_number(), now_ms):
            pass

    def there(self, disk: SimDisk) -> list:
        read = [each for _, each in SegmentReader(disk).read_all()]
        self.assertEqual([each for each in read if isinstance(each, DamagedBytes)], [])
        return [each.record for each in read]

    def test_a_shorter_class_goes_and_all_others_stay(self) -> None:
        disk = SimDisk(1)
        log, long, short = self.life(disk)
        self.thin(disk, log, 500.0)
        self.assertEqual(len(self.there(disk)), len(long) + len(short))
        before = sum(map(len, disk.files.values()))
        self.thin(disk, log)
        left = self.there(disk)
        self.assertEqual([each for each in left if each in set(long)], long)
        self.assertLess(len([each for each in left if each in set(short)]), len(short) / 4)
        self.assertLess(sum(map(len, disk.files.values())), before * 0.7)
        self.assertEqual(log.write(records("after"), 2e6), log.last_number)

    def test_what_an_open_request_needs_is_left_alone(self) -> None:
        disk = SimDisk(1)
        log = SegmentLog(disk, self.BOUNDS)
        log.write([RequestAccepted("open", 1.0, 1.0, "setpoint-push"), *records("x")[:1]], 0.0)
        for number in range(9):
            taken = RequestAccepted(f"short-{number}", 1.0, 1.0, "setpoint-push")
            log.write([taken, *records(f"short-{number}")[1:]], 1.0)
        before = dict(disk.files)
        self.thin(disk, log)
        self.assertEqual(disk.files, before)

    def test_crashes(self) -> None:
        crashes = 0
        for seed in range(12):
            whole = SimDisk(seed)
            log, long, _ = self.life(whole)
            first = whole.calls
            self.thin(whole, log)
            for at in range(first + 1, whole.calls + 1):
                disk = SimDisk(seed * 100 + at)
                log, long, _ = self.life(disk)
                disk.crash_at = at
                with self.assertRaises(Crash):
                    self.thin(disk, log)
                left = disk.after_power_loss()
                again = SegmentLog(left, self.BOUNDS)  # it opens, and a second try ends what the first began
                self.assertEqual(again.damaged_ranges, [])
                self.thin(left, again)
                kept = self.there(left)
                self.assertEqual([each for each in kept if each in set(long)], long)
                self.assertFalse([each for each in left.names() if each.endswith(".log.part")])
                crashes += 1
        self.assertGreater(crashes, 300)


class Failures(unittest.TestCase):
    def test_a_failed_sync_is_never_retried_on_its_segment(self) -> None:
        disk = SimDisk(1)
        log = SegmentLog(disk, SMALL)
        log.write(records("a"), 0.0)
        broken = log.current_segment
        disk.fail["sync"] = OSError(5, "Input/output error")
        with self.assertRaises(OSError):
            log.write(records("b"), 0.0)
        with self.assertRaises(OSError):
            log.write(records("c"), 0.0)
        disk.fail.clear()
        size = len(disk.files[broken])
        log.write(records("d"), 0.0)
        self.assertEqual(len(disk.files[broken]), size)
        self.assertNotEqual(log.current_segment, broken)
        there = {
            each.record.request for _, each in SegmentReader(disk).read_all() if isinstance(each, RecordFrame)
        }
        self.assertLessEqual({"a", "d"}, there)
        self.assertNotIn("b", log.request_states.open_requests)

    def test_a_disk_that_is_full_and_has_room_again(self) -> None:
        disk = SimDisk(1)
        log = SegmentLog(disk, SMALL)
        log.write(records("a"), 0.0)
        disk.room = 30
        with self.assertRaises(OSError):
            log.write(records("b"), 0.0)
        disk.room = None
        log.write(records("c"), 0.0)
        again = SegmentLog(disk, SMALL)
        self.assertIn("torn tail", " ".join(each.reason for _, each in again.damaged_ranges))
        there = {
            each.record.request for _, each in SegmentReader(disk).read_all() if isinstance(each, RecordFrame)
        }
        self.assertEqual(there, {"a", "c"})

    def test_a_missing_segment_a_future_one_and_a_clock_that_steps_back(self) -> None:
        disk = SimDisk(1)
        log = SegmentLog(disk, SMALL)
        for number in range(9):
            log.write(records(f"job-{number}"), 1e6 - number * 1000)
        names = SegmentReader(disk).segment_names()
        self.assertGreater(len(names), 3)
        del disk.files[names[1]]
        missing = sum(
            each.missing_numbers
            for _, each in SegmentReader(disk).read_all()
            if isinstance(each, DamagedBytes)
        )
        self.assertGreater(missing, 0)
        head = bytearray(disk.files[names[2]][:HEADER_SIZE])
        head[8:10] = (99).to_bytes(2, "big")
        import google_crc32c

        head[-4:] = google_crc32c.value(bytes(head[:-4])).to_bytes(4, "big")
        disk.files[names[2]] = bytes(head) + disk.files[names[2]][HEADER_SIZE:]
        with self.assertRaises(FutureVersionError):
            decode_header(bytes(head))
        with self.assertRaisesRegex(ValueError, "version 99"):
            SegmentLog(disk, SMALL)
        self.assertTrue(list(SegmentReader(disk).read_all()))  # what can be read is read all the same

    def test_retention_keeps_what_an_open_request_needs(self) -> None:
        disk, bounds = SimDisk(1), RetentionLimits(900, 1e9, 10.0, 1 << 40)
        log = SegmentLog(disk, bounds)
        log.write(records("open")[:3], 0.0)
        for number in range(12):
            log.write(records(f"job-{number}"), 100.0 + number)
        self.assertEqual(log.remove_expired(1e9), [])
        log.write(records("open")[3:], 200.0)
        for name in SegmentReader(disk).segment_names():
            disk.files[name.replace(".log", ".idx")] = b"made by the command line"
        gone = log.remove_expired(1e9)
        self.assertTrue(gone)
        self.assertEqual([each for each in disk.files if each.replace(".idx", ".log") in gone], [])
        self.assertNotIn(log.current_segment, gone)

    def test_two_processes_on_one_folder(self) -> None:
        import tempfile

        with tempfile.TemporaryDirectory() as path:
            first = LocalFolder(path)
            with self.assertRaisesRegex(FolderInUseError, "in use by another process"):
                LocalFolder(path)
            log = SegmentLog(first)
            log.write(records("a"), 0.0)
            readers = SegmentReader(LocalFolder(path, for_writing=False))  # a reader needs no lock
            self.assertEqual(
                len([each for _, each in readers.read_all() if isinstance(each, RecordFrame)]), 5
            )
            log.close()
            first.close_all()
            second = LocalFolder(path)
            self.assertEqual(SegmentLog(second).request_states.open_requests, {})
            second.close_all()


class GroupCommit(unittest.TestCase):
    """Many hand over, few syncs; who hears good news finds his records on disk."""

    def committer(self, disk: SimDisk) -> Committer:
        self.now = 0.0
        made = Committer(SegmentLog(disk, SMALL), lambda call, *values: call(*values), clock=lambda: self.now)
        self.addCleanup(made.stop)
        return made

    def wait(self, made: Committer, count: int, told: list) -> None:
        with made.condition:
            made.condition.notify()
        end = time.monotonic() + 20
        while len(told) < count:
            self.assertLess(time.monotonic(), end)
            time.sleep(0.001)

    def test_a_thousand_at_once_share_syncs_and_keep_their_order(self) -> None:
        disk, told = SimDisk(1), []
        made = self.committer(disk)

        def hear(number: int):
            def heard(reason: str) -> None:
                on_disk = {
                    each.record.request
                    for _, each in SegmentReader(disk).read_all()
                    if isinstance(each, RecordFrame)
                }
                told.append((number, reason, f"job-{number}" in on_disk))

            return heard

        for number in range(300):
            self.assertTrue(made.submit(records(f"job-{number}")[:2], hear(number)))
        made.start()
        self.wait(made, 300, told)
        self.assertEqual(told, [(number, "", True) for number in range(300)])
        self.assertLess(made.syncs, 10)

    def test_a_failing_disk_is_told_at_once_and_the_gap_is_written_down(self) -> None:
        disk, told = SimDisk(1), []
        made = self.committer(disk)
        disk.fail["sync"] = OSError(5, "Input/output error")
        made.start()
        made.submit(records("a")[:2], told.append)
        self.wait(made, 1, told)
        calls = disk.calls
        made.submit(records("b")[:2], told.append)
        self.wait(made, 2, told)
        self.assertEqual((told, disk.calls), (["Input/output error"] * 2, calls))  # it rests
        disk.fail.clear()
        self.now += DISK_BACKOFF_S
        made.submit(records("c")[:2], told.append)
        self.wait(made, 3, told)
        self.assertEqual(told[-1], "")
        read = [each.record for _, each in SegmentReader(disk).read_all() if isinstance(each, RecordFrame)]
        gaps = [each for each in read if isinstance(each, JournalGap)]
        self.assertEqual([(each.count, each.why) for each in gaps], [(4, "Input/output error")])

    def test_the_queue_is_bounded_and_a_slow_disk_holds_nobody_up(self) -> None:
        made = self.committer(SimDisk(1))
        one = records("job")[:2]
        taken = sum(
            made.submit(one) for _ in range(MAX_PENDING_RECORDS)
        )  # the thread has not started: a sync that lasts
        self.assertEqual((taken, made.pending_records), (MAX_PENDING_RECORDS // 2, MAX_PENDING_RECORDS))
        self.assertEqual(made.lost_records, MAX_PENDING_RECORDS)
        made.start()
        self.assertTrue(made.stop(20))


if __name__ == "__main__":
    unittest.main()
