"""Tests of the journal's frames, request states, segment log, compaction and group commit.

Many of them crash a simulated disk and check that no acknowledged record is lost and that no request is
reported as not sent if it may have been sent.
"""

from __future__ import annotations

import random
import time
import unittest

from hypothesis import given
from hypothesis import strategies as st
from simulated_disk import PowerLoss, SimulatedDisk

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

SMALL_SEGMENTS = RetentionLimits(
    segment_bytes=900, segment_ms=1e9, retention_ms=1e12, retention_bytes=1 << 40
)


def request_records(request: str, sent: bool = True, attempt: int = 0) -> list:
    """Returns all records of one request with one attempt, which was sent or certainly not sent."""
    records = [
        RequestAccepted(request, 1.0, 1.0, "schedule-apply", "corrib", "", "platform", 25000.0),
        AttemptIntent(request, 2.0, 2.0, attempt, "w1", "127.0.0.1:1"),
    ]
    records += (
        [LastByteWritten(request, 3.0, 3.0, attempt), AttemptCompleted(request, 4.0, 4.0, attempt, "ok")]
        if sent
        else [AttemptUnsent(request, 3.0, 3.0, attempt, "unreachable")]
    )
    return [*records, RequestAnswered(request, 5.0, 5.0, "served" if sent else "refused")]


def split_frames(data: bytes, first_number: int = 1) -> tuple[list[RecordFrame], list[DamagedBytes]]:
    """Reads frames without a header; returns the complete ones and the damage."""
    items = list(read_frames(data, first_number, 0))
    return (
        [item for item in items if isinstance(item, RecordFrame)],
        [item for item in items if isinstance(item, DamagedBytes)],
    )


class FramesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.payloads = [
            encode_record(record) for number in range(4) for record in request_records(f"job-{number}")
        ]
        self.frames = [encode_frame(number, payload) for number, payload in enumerate(self.payloads, 1)]
        self.data = b"".join(self.frames)

    def test_truncated_data_yields_every_complete_record(self) -> None:
        frame_ends = [sum(map(len, self.frames[: index + 1])) for index in range(len(self.frames))]
        for size in range(len(self.data)):
            frames, damage = split_frames(self.data[:size])
            self.assertEqual(len(frames), sum(end <= size for end in frame_ends))
            self.assertEqual(bool(damage), size not in (0, *frame_ends))

    def test_damaged_byte_loses_only_its_own_record(self) -> None:
        for offset in range(len(self.data)):
            data = bytearray(self.data)
            data[offset] ^= 0x55
            frames, damage = split_frames(bytes(data))
            self.assertEqual(len(frames), len(self.frames) - 1, offset)
            self.assertEqual(sum(item.size for item in damage) > 0, True)

    def test_missing_records_are_counted_by_their_numbers(self) -> None:
        data = b"".join(self.frames[:3] + self.frames[5:])
        frames, damage = split_frames(data)
        self.assertEqual(
            (len(frames), [item.missing_numbers for item in damage]), (len(self.frames) - 2, [2])
        )

    def test_earlier_frame_at_a_later_offset_is_not_accepted(self) -> None:
        frames, _ = split_frames(self.data + self.frames[2])
        self.assertEqual([frame.number for frame in frames], list(range(1, len(self.frames) + 1)))

    @given(st.binary(max_size=300), st.integers(0, 400), st.binary(max_size=40))
    def test_inserted_bytes_lose_at_most_one_record(self, noise: bytes, offset: int, tail: bytes) -> None:
        data = NOISE_TEST_DATA[:offset] + noise + NOISE_TEST_DATA[offset:] + tail
        frames, _ = split_frames(data)
        numbers = [frame.number for frame in frames]
        self.assertEqual(numbers, sorted(set(numbers)))
        # Bytes inserted between two frames lose none, bytes inserted within one lose that one.
        self.assertGreaterEqual(len(frames), NOISE_TEST_FRAMES - 1)

    def test_header_round_trip_and_size_limits(self) -> None:
        data = encode_header(SegmentHeader(7, 1.5, 1, 6))
        self.assertEqual(decode_header(data), SegmentHeader(7, 1.5, 1, 6))
        for size in range(len(data)):
            with self.assertRaises(ValueError):
                decode_header(data[:size])
        with self.assertRaises(ValueError):
            encode_record(RequestAccepted("x" * MAX_RECORD_BYTES, 0.0, 0.0))


_payloads = [encode_record(record) for number in range(2) for record in request_records(f"job-{number}")]
NOISE_TEST_DATA = b"".join(encode_frame(number, payload) for number, payload in enumerate(_payloads, 1))
NOISE_TEST_FRAMES = len(_payloads)


class RequestStatesTest(unittest.TestCase):
    def test_state_after_each_record_of_a_request(self) -> None:
        expected_states = ("not sent", "possibly sent", "sent", "sent", "sent")
        for count, expected_state in enumerate(expected_states, 1):
            states, settled = RequestStates(), None
            for number, record in enumerate(request_records("job")[:count]):
                settled = states.apply(number, record)
            request = settled or states.open_requests["job"]
            self.assertEqual((request.delivery_state, request.is_settled), (expected_state, count == 5))

    def test_unsent_attempt_leaves_the_request_not_sent(self) -> None:
        states = RequestStates()
        for number, record in enumerate(request_records("job", sent=False)[:3]):
            states.apply(number, record)
        self.assertEqual(
            (states.open_requests["job"].delivery_state, states.unfinished_attempts()), ("not sent", [])
        )

    def test_closed_attempt_makes_the_request_possibly_sent(self) -> None:
        states = RequestStates()
        for number, record in enumerate(request_records("job", sent=False)[:3]):
            states.apply(number, record)
        states.apply(4, AttemptIntent("job", 5.0, 5.0, 1, "w2", "x"))
        self.assertEqual([attempt.number for _, attempt in states.unfinished_attempts()], [1])
        settled = states.apply(5, AttemptClosed("job", 6.0, 6.0, 1, "w2"))
        self.assertEqual((settled.delivery_state, states.open_requests), ("possibly sent", {}))

    def test_closing_records_settle_every_open_request(self) -> None:
        for count in range(1, 6):
            states = RequestStates()
            for number, record in enumerate(request_records("job")[:count]):
                states.apply(number, record)
            state_before = states.open_requests["job"].delivery_state if states.open_requests else "sent"
            closing_records = states.closing_records(9.0, 9.0)
            for number, record in enumerate(closing_records, 10):
                settled = states.apply(number, record)
                self.assertEqual((settled.delivery_state, settled.is_interrupted), (state_before, True))
            self.assertEqual((states.open_requests, len(closing_records)), ({}, count < 5))

    def test_request_that_may_lack_records_is_never_not_sent(self) -> None:
        accepted = RequestAccepted("job", 1.0, 1.0, "schedule-apply")
        gap, start = JournalGap("", 3.0, 3.0, 2.0, 1, "full"), ProcessStarted("", 4.0, 4.0, "n", "x")
        for certain in (True, False):
            for process_record in (gap, start):
                disk = SimulatedDisk(1)
                log = SegmentLog(disk, SMALL_SEGMENTS)
                log.write([ProcessStarted("", 0.0, 0.0, "n", "w", certain), accepted], 0.0)
                log.write([process_record], 0.0)
                log.write_snapshot()
                # The states of the log that wrote the records, and those read from its snapshot.
                for states in (
                    log.request_states,
                    SegmentLog(disk, SMALL_SEGMENTS).request_states,
                ):
                    delivery_state = states.open_requests["job"].delivery_state
                    self.assertEqual(delivery_state, "not sent" if certain else "possibly sent")
        for record in (
            AttemptCompleted("job", 2.0, 2.0, 0, "ok"),
            AttemptCancelled("job", 2.0, 2.0, 0, "timeout"),
            RequestAnswered("job", 2.0, 2.0, "served"),
        ):
            states = RequestStates()  # the request's earlier records are missing
            request = states.apply(1, record) or states.open_requests["job"]
            self.assertEqual(request.delivery_state, "possibly sent")

    def test_request_of_an_uncertain_incarnation_is_possibly_sent_without_attempts(self) -> None:
        states = RequestStates()
        for number, record in enumerate(
            (
                ProcessStarted("", 0.0, 0.0, "n", "w", False),
                RequestAccepted("job", 1.0, 1.0, "schedule-apply"),
            )
        ):
            states.apply(number, record)
        self.assertEqual([request.id for request, _ in states.unfinished_attempts()], ["job"])
        states.apply(3, ProcessStarted("", 2.0, 2.0, "n", "x"))
        for number, record in enumerate(states.closing_records(2.0, 2.0), 4):
            states.apply(number, record)
        self.assertEqual(
            (states.interrupted["job"].delivery_state, states.open_requests), ("possibly sent", {})
        )


class PowerLossTest(unittest.TestCase):
    """Loses power at every disk call of seeded runs; bytes that were not synced are lost or damaged."""

    def write_batches(self, disk: SimulatedDisk, seed: int, acknowledged: list, attempted: list) -> None:
        """Writes seeded batches; adds each to attempted before its write() and to acknowledged after it."""
        source = random.Random(seed)
        log = SegmentLog(disk, SMALL_SEGMENTS)
        for number in range(6):
            batch = [
                record
                for index in range(source.randrange(1, 4))
                for record in request_records(f"job-{seed}-{number}-{index}", source.random() < 0.7)[
                    : source.randrange(1, 6)
                ]
            ]
            attempted += batch
            log.write(batch, 1000.0 * number)
            acknowledged += batch
            if source.random() < 0.3:
                log.remove_expired(1000.0 * number)

    def check(self, disk: SimulatedDisk, acknowledged: list, attempted: list) -> None:
        records = [item.record for _, item in SegmentReader(disk).read_all() if isinstance(item, RecordFrame)]
        on_disk = set(records)
        lost = [record for record in acknowledged if record not in on_disk]
        self.assertEqual(lost, [], "an acknowledged record is missing")
        self.assertLessEqual(on_disk, set(attempted), "a record was read that was never written")

    def test_no_acknowledged_record_is_lost(self) -> None:
        crashes = 0
        for seed in range(200):
            disk = SimulatedDisk(seed)
            self.write_batches(disk, seed, [], [])
            for call in range(1, disk.call_count + 1):
                for repetition in range(1):
                    crashing_disk, acknowledged, attempted = (
                        SimulatedDisk(seed * 1000 + call * 10 + repetition),
                        [],
                        [],
                    )
                    crashing_disk.crash_at_call = call
                    with self.assertRaises(PowerLoss):
                        self.write_batches(crashing_disk, seed, acknowledged, attempted)
                    restarted_disk = crashing_disk.after_power_loss()
                    self.check(restarted_disk, acknowledged, attempted)
                    # A second incarnation writes to the same disk and may lose power, too.
                    restarted_disk.crash_at_call = random.Random(call).randrange(1, 40)
                    try:
                        self.write_batches(restarted_disk, seed + 5000, acknowledged, attempted)
                    except PowerLoss:
                        pass
                    final_disk = restarted_disk.after_power_loss()
                    self.check(final_disk, acknowledged, attempted)
                    # The snapshot with the log after it gives the same states as the whole log.
                    log = SegmentLog(final_disk, SMALL_SEGMENTS)
                    states = RequestStates()
                    for _, item in SegmentReader(final_disk).read_all():
                        if isinstance(item, RecordFrame):
                            states.apply(item.number, item.record)
                    self.assertEqual(
                        {
                            name: request.delivery_state
                            for name, request in log.request_states.open_requests.items()
                        },
                        {name: request.delivery_state for name, request in states.open_requests.items()},
                    )
                    crashes += 2
        self.assertGreater(crashes, 10_000)


class CompactionTest(unittest.TestCase):
    """Compaction drops the records of a class with a shorter retention from old segments, atomically."""

    LIMITS = RetentionLimits(900, 1e12, 1e12, 1 << 40, {"setpoint-push": 1000.0})

    def fill_log(self, disk: SimulatedDisk) -> tuple[SegmentLog, list, list]:
        """Writes requests of both classes; returns the log and the records with long and short retention."""
        log, long_records, short_records = SegmentLog(disk, self.LIMITS), [], []
        for number in range(12):
            long_request, short_request = (
                request_records(f"long-{number}"),
                request_records(f"short-{number}"),
            )
            short_request[0] = RequestAccepted(f"short-{number}", 1.0, 1.0, "setpoint-push")
            log.write([*long_request, *short_request], 10.0 * number)
            long_records, short_records = long_records + long_request, short_records + short_request
        return log, long_records, short_records

    def compact(self, disk: SimulatedDisk, log: SegmentLog, now_ms: float = 1e6) -> None:
        compactor = SegmentCompactor(disk, self.LIMITS)
        compactor.remove_partial_files()
        for _ in compactor.compact(log.request_states.oldest_needed_number(), now_ms):
            pass

    def read_undamaged(self, disk: SimulatedDisk) -> list:
        """Returns all records on the disk; fails if any of it is damaged."""
        items = [item for _, item in SegmentReader(disk).read_all()]
        self.assertEqual([item for item in items if isinstance(item, DamagedBytes)], [])
        return [item.record for item in items]

    def test_only_records_of_the_expired_class_are_dropped(self) -> None:
        disk = SimulatedDisk(1)
        log, long_records, short_records = self.fill_log(disk)
        self.compact(disk, log, 500.0)
        self.assertEqual(len(self.read_undamaged(disk)), len(long_records) + len(short_records))
        bytes_before = sum(map(len, disk.files.values()))
        self.compact(disk, log)
        remaining = self.read_undamaged(disk)
        self.assertEqual([record for record in remaining if record in set(long_records)], long_records)
        self.assertLess(
            len([record for record in remaining if record in set(short_records)]), len(short_records) / 4
        )
        self.assertLess(sum(map(len, disk.files.values())), bytes_before * 0.7)
        self.assertEqual(log.write(request_records("after"), 2e6), log.last_number)

    def test_segments_that_an_open_request_needs_are_not_changed(self) -> None:
        disk = SimulatedDisk(1)
        log = SegmentLog(disk, self.LIMITS)
        log.write([RequestAccepted("open", 1.0, 1.0, "setpoint-push"), *request_records("x")[:1]], 0.0)
        for number in range(9):
            accepted = RequestAccepted(f"short-{number}", 1.0, 1.0, "setpoint-push")
            log.write([accepted, *request_records(f"short-{number}")[1:]], 1.0)
        files_before = dict(disk.files)
        self.compact(disk, log)
        self.assertEqual(disk.files, files_before)

    def test_crash_at_every_disk_call_leaves_a_usable_log(self) -> None:
        crashes = 0
        for seed in range(12):
            intact_disk = SimulatedDisk(seed)
            log, long_records, _ = self.fill_log(intact_disk)
            calls_before = intact_disk.call_count
            self.compact(intact_disk, log)
            for call in range(calls_before + 1, intact_disk.call_count + 1):
                disk = SimulatedDisk(seed * 100 + call)
                log, long_records, _ = self.fill_log(disk)
                disk.crash_at_call = call
                with self.assertRaises(PowerLoss):
                    self.compact(disk, log)
                restarted_disk = disk.after_power_loss()
                # The log opens, and a second run completes the compaction.
                restarted_log = SegmentLog(restarted_disk, self.LIMITS)
                self.assertEqual(restarted_log.damaged_ranges, [])
                self.compact(restarted_disk, restarted_log)
                remaining = self.read_undamaged(restarted_disk)
                self.assertEqual(
                    [record for record in remaining if record in set(long_records)], long_records
                )
                self.assertFalse([name for name in restarted_disk.names() if name.endswith(".log.part")])
                crashes += 1
        self.assertGreater(crashes, 300)


class SegmentLogFailuresTest(unittest.TestCase):
    def test_segment_is_not_written_again_after_a_failed_sync(self) -> None:
        disk = SimulatedDisk(1)
        log = SegmentLog(disk, SMALL_SEGMENTS)
        log.write(request_records("a"), 0.0)
        failed_segment = log.current_segment
        disk.errors_by_call["sync"] = OSError(5, "Input/output error")
        with self.assertRaises(OSError):
            log.write(request_records("b"), 0.0)
        with self.assertRaises(OSError):
            log.write(request_records("c"), 0.0)
        disk.errors_by_call.clear()
        size = len(disk.files[failed_segment])
        log.write(request_records("d"), 0.0)
        self.assertEqual(len(disk.files[failed_segment]), size)
        self.assertNotEqual(log.current_segment, failed_segment)
        request_ids = {
            item.record.request for _, item in SegmentReader(disk).read_all() if isinstance(item, RecordFrame)
        }
        self.assertLessEqual({"a", "d"}, request_ids)
        self.assertNotIn("b", log.request_states.open_requests)

    def test_log_recovers_from_a_full_disk(self) -> None:
        disk = SimulatedDisk(1)
        log = SegmentLog(disk, SMALL_SEGMENTS)
        log.write(request_records("a"), 0.0)
        disk.free_bytes = 30
        with self.assertRaises(OSError):
            log.write(request_records("b"), 0.0)
        disk.free_bytes = None
        log.write(request_records("c"), 0.0)
        reopened_log = SegmentLog(disk, SMALL_SEGMENTS)
        self.assertIn("torn tail", " ".join(damage.reason for _, damage in reopened_log.damaged_ranges))
        request_ids = {
            item.record.request for _, item in SegmentReader(disk).read_all() if isinstance(item, RecordFrame)
        }
        self.assertEqual(request_ids, {"a", "c"})

    def test_clock_steps_back_segment_missing_and_newer_segment_version(self) -> None:
        disk = SimulatedDisk(1)
        log = SegmentLog(disk, SMALL_SEGMENTS)
        for number in range(9):
            log.write(request_records(f"job-{number}"), 1e6 - number * 1000)
        names = SegmentReader(disk).segment_names()
        self.assertGreater(len(names), 3)
        del disk.files[names[1]]
        missing_records = sum(
            item.missing_numbers
            for _, item in SegmentReader(disk).read_all()
            if isinstance(item, DamagedBytes)
        )
        self.assertGreater(missing_records, 0)
        header = bytearray(disk.files[names[2]][:HEADER_SIZE])
        header[8:10] = (99).to_bytes(2, "big")
        import google_crc32c

        header[-4:] = google_crc32c.value(bytes(header[:-4])).to_bytes(4, "big")
        disk.files[names[2]] = bytes(header) + disk.files[names[2]][HEADER_SIZE:]
        with self.assertRaises(FutureVersionError):
            decode_header(bytes(header))
        with self.assertRaisesRegex(ValueError, "version 99"):
            SegmentLog(disk, SMALL_SEGMENTS)
        self.assertTrue(list(SegmentReader(disk).read_all()))  # the other segments can still be read

    def test_retention_keeps_segments_that_an_open_request_needs(self) -> None:
        disk, limits = SimulatedDisk(1), RetentionLimits(900, 1e9, 10.0, 1 << 40)
        log = SegmentLog(disk, limits)
        log.write(request_records("open")[:3], 0.0)
        for number in range(12):
            log.write(request_records(f"job-{number}"), 100.0 + number)
        self.assertEqual(log.remove_expired(1e9), [])
        log.write(request_records("open")[3:], 200.0)
        for name in SegmentReader(disk).segment_names():
            disk.files[name.replace(".log", ".idx")] = b"made by the command line"
        removed = log.remove_expired(1e9)
        self.assertTrue(removed)
        self.assertEqual([name for name in disk.files if name.replace(".idx", ".log") in removed], [])
        self.assertNotIn(log.current_segment, removed)

    def test_only_one_process_may_write_to_a_folder(self) -> None:
        import tempfile

        with tempfile.TemporaryDirectory() as path:
            first_folder = LocalFolder(path)
            with self.assertRaisesRegex(FolderInUseError, "in use by another process"):
                LocalFolder(path)
            log = SegmentLog(first_folder)
            log.write(request_records("a"), 0.0)
            reader = SegmentReader(LocalFolder(path, for_writing=False))  # a reader needs no lock
            self.assertEqual(len([item for _, item in reader.read_all() if isinstance(item, RecordFrame)]), 5)
            log.close()
            first_folder.close_all()
            second_folder = LocalFolder(path)
            self.assertEqual(SegmentLog(second_folder).request_states.open_requests, {})
            second_folder.close_all()


class GroupCommitTest(unittest.TestCase):
    """Many submissions share few syncs, and a callback with an empty reason means the records are on disk."""

    def make_committer(self, disk: SimulatedDisk) -> Committer:
        """Returns a committer, not yet started, whose monotonic clock is self.now_s."""
        self.now_s = 0.0
        committer = Committer(
            SegmentLog(disk, SMALL_SEGMENTS), lambda call, *values: call(*values), clock=lambda: self.now_s
        )
        self.addCleanup(committer.stop)
        return committer

    def wait_for_results(self, committer: Committer, count: int, results: list) -> None:
        with committer.condition:
            committer.condition.notify()
        deadline_s = time.monotonic() + 20
        while len(results) < count:
            self.assertLess(time.monotonic(), deadline_s)
            time.sleep(0.001)

    def test_concurrent_submissions_share_syncs_and_keep_their_order(self) -> None:
        disk, results = SimulatedDisk(1), []
        committer = self.make_committer(disk)

        def make_callback(number: int):
            def on_commit(reason: str) -> None:
                request_ids = {
                    item.record.request
                    for _, item in SegmentReader(disk).read_all()
                    if isinstance(item, RecordFrame)
                }
                results.append((number, reason, f"job-{number}" in request_ids))

            return on_commit

        for number in range(300):
            self.assertTrue(committer.submit(request_records(f"job-{number}")[:2], make_callback(number)))
        committer.start()
        self.wait_for_results(committer, 300, results)
        self.assertEqual(results, [(number, "", True) for number in range(300)])
        self.assertLess(committer.syncs, 10)

    def test_failing_disk_is_reported_and_lost_records_become_a_gap(self) -> None:
        disk, results = SimulatedDisk(1), []
        committer = self.make_committer(disk)
        disk.errors_by_call["sync"] = OSError(5, "Input/output error")
        committer.start()
        committer.submit(request_records("a")[:2], results.append)
        self.wait_for_results(committer, 1, results)
        calls = disk.call_count
        committer.submit(request_records("b")[:2], results.append)
        self.wait_for_results(committer, 2, results)
        # During the backoff no disk call is made.
        self.assertEqual((results, disk.call_count), (["Input/output error"] * 2, calls))
        disk.errors_by_call.clear()
        self.now_s += DISK_BACKOFF_S
        committer.submit(request_records("c")[:2], results.append)
        self.wait_for_results(committer, 3, results)
        self.assertEqual(results[-1], "")
        records = [item.record for _, item in SegmentReader(disk).read_all() if isinstance(item, RecordFrame)]
        gaps = [record for record in records if isinstance(record, JournalGap)]
        self.assertEqual([(gap.count, gap.why) for gap in gaps], [(4, "Input/output error")])

    def test_queue_is_bounded_while_the_disk_is_slow(self) -> None:
        committer = self.make_committer(SimulatedDisk(1))
        records = request_records("job")[:2]
        # The thread is not started yet, which stands for a write that takes long.
        accepted = sum(committer.submit(records) for _ in range(MAX_PENDING_RECORDS))
        self.assertEqual(
            (accepted, committer.pending_records), (MAX_PENDING_RECORDS // 2, MAX_PENDING_RECORDS)
        )
        self.assertEqual(committer.lost_records, MAX_PENDING_RECORDS)
        committer.start()
        self.assertTrue(committer.stop(20))


if __name__ == "__main__":
    unittest.main()
