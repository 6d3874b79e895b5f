"""Tests of the journal's filter language, index, reader and table.

Results found by the indexes are compared with those of a filter over all records.
"""

from __future__ import annotations

import random
import tempfile
import unittest
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from spanwing.journal import index
from spanwing.journal.files import LocalFolder
from spanwing.journal.query import FIELDS, QueryError, parse_query
from spanwing.journal.reader import JournalReader
from spanwing.journal.records import (
    AttemptClosed,
    AttemptCompleted,
    AttemptIntent,
    AttemptUnsent,
    LastByteWritten,
    RequestAccepted,
    RequestAnswered,
)
from spanwing.journal.segment_log import RetentionLimits, SegmentLog
from spanwing.journal.table import AttemptRow

NOW_MS = 1_000_000_000.0
SMALL_SEGMENTS = RetentionLimits(
    segment_bytes=4000, segment_ms=1e15, retention_ms=1e15, retention_bytes=1 << 40
)


def make_row(**values) -> AttemptRow:
    """Returns the row of a sent attempt, with some values replaced."""
    defaults = dict(
        request="r1",
        cls="schedule-apply",
        tenant="corrib",
        key="",
        front="platform",
        attempt=0,
        worker="w3",
        address="127.0.0.1:1",
        state="sent",
        time=NOW_MS - 1000,
        intent=NOW_MS - 900,
        last_byte=None,
        given_up="",
        result="ok",
        answer="served",
        answered=NOW_MS,
        closed=False,
    )
    return AttemptRow(**{**defaults, **values})


class QueryLanguageTest(unittest.TestCase):
    def matches(self, text: str, **values) -> bool:
        return parse_query(text, NOW_MS).matches(make_row(**values))

    def test_expressions_that_match_the_row(self) -> None:
        for text in (
            "",
            "class = schedule-apply",
            "class=schedule-apply and worker in (w1, w3)",
            "worker not in (w1,w2)",
            'state = "sent"',
            "state != 'possibly sent'",
            "attempt < 1",
            "not attempt > 0",
            "time >= -1h and time < now",
            "tenant ~ cor*",
            "not (tenant = a or key = b)",
            "closed = false",
            "request = r1 AND NOT worker = w1",
            "last_byte != now",
            "intent > -1s",
            "tenant = a or tenant = b or tenant = corrib and class ~ *apply",
        ):
            self.assertTrue(self.matches(text), text)

    def test_expressions_that_do_not_match_the_row(self) -> None:
        for text in (
            "class = x",
            "worker not in (w3)",
            "last_byte > -1h",
            "last_byte < now",
            "time > now",
            "closed = true",
            "tenant = corrib and attempt = 1",
            "not state = sent",
        ):
            self.assertFalse(self.matches(text), text)

    def test_absolute_times(self) -> None:
        self.assertTrue(self.matches("time > 1970-01-01 and time < 2001-01-01T00:00:00Z"))

    def test_errors_state_the_column(self) -> None:
        for text, column, message in (
            ("classs = x", 1, "unknown field 'classs'"),
            ("class = ", 9, "ends too early"),
            ("class = x and", 14, "ends too early"),
            ("class x", 7, "not expected|understood"),
            ("attempt = many", 11, "no number"),
            ("time > soon", 8, "no time"),
            ("tenant < b", 8, "no order"),
            ("attempt ~ 1*", 9, "~ compares text"),
            ("(class = x", 11, "ends too early"),
            ("class = x) ", 10, "not expected"),
            ("closed = maybe", 10, "true or false"),
            ("worker in ()", 12, "not expected"),
            ("class = x ? y", 11, "not"),
            ("x" * 5000, 4096, "more than"),
        ):
            with self.subTest(text[:20]), self.assertRaisesRegex(QueryError, message) as raised:
                parse_query(text, NOW_MS)
            self.assertEqual(raised.exception.column, column, text[:20])

    @given(st.text(alphabet="abclstime =!<>~()',\"andortnwk12-", max_size=40))
    def test_any_text_is_a_filter_or_a_query_error(self, text: str) -> None:
        try:
            parse_query(text, NOW_MS).matches(make_row())
        except QueryError:
            pass

    def test_bounds_include_every_matching_row(self) -> None:
        source = random.Random(1)
        conditions = [
            "time > -50s",
            "time <= -20s",
            "request = r1",
            "request in (r1, r2)",
            "worker = w3",
            "worker in (w1, w2)",
            "attempt = 0",
            "not time > -50s",
            "not request = r1",
            "tenant ~ c*",
        ]

        def random_expression(depth: int) -> str:
            if depth == 0:
                return source.choice(conditions)
            operator = source.choice((" and ", " or "))
            operands = operator.join(random_expression(depth - 1) for _ in range(source.randrange(1, 4)))
            return f"{source.choice(('', 'not '))}({operands})"

        for _ in range(400):
            text = random_expression(source.randrange(3))
            plan = parse_query(text, NOW_MS)
            for name in ("r1", "r2", "r3"):
                for worker in ("w1", "w2", "w3"):
                    for age_ms in (0, 30_000, 70_000):
                        row = make_row(request=name, worker=worker, time=NOW_MS - age_ms)
                        if plan.matches(row):
                            self.assertTrue(plan.after_ms <= row.time <= plan.before_ms, text)
                            self.assertTrue(plan.request_ids is None or name in plan.request_ids, text)
                            self.assertTrue(plan.workers is None or worker in plan.workers, text)

    def test_every_field_can_be_compared(self) -> None:
        for name in FIELDS:
            value = {"attempt": "0", "closed": "false"}.get(name, "now")
            self.assertIsInstance(self.matches(f"{name} = {value}"), bool)


def write_journal(path: str, requests: int, seed: int) -> None:
    """Writes a journal of several segments, with open, unsent, completed, answered and closed requests."""
    source, files = random.Random(seed), LocalFolder(path)
    log = SegmentLog(files, SMALL_SEGMENTS)
    for number in range(requests):
        name, now_ms = f"job-{number}", NOW_MS + number * 1000.0
        cls = source.choice(("schedule-apply", "setpoint-push"))
        batch = [RequestAccepted(name, now_ms, now_ms, cls, source.choice("ab"))]
        for attempt in range(source.randrange(3)):
            batch.append(
                AttemptIntent(name, now_ms + 1, now_ms, attempt, f"w{source.randrange(4)}", "127.0.0.1:1")
            )
            sent = [
                LastByteWritten(name, now_ms + 2, now_ms, attempt),
                AttemptCompleted(name, now_ms + 3, now_ms, attempt, "ok"),
            ]
            batch += source.choice(
                ([], [AttemptUnsent(name, now_ms + 2, now_ms, attempt, "unreachable")], sent)
            )
        endings = (
            [],
            [RequestAnswered(name, now_ms + 4, now_ms, "served")],
            [AttemptClosed(name, now_ms + 4, now_ms, -1)],
        )
        batch += source.choice(endings)
        log.write(batch, now_ms)
    log.close()
    files.close_all()


class JournalReaderTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = folder.name
        write_journal(self.path, 300, 7)

    def test_index_finds_the_same_rows_as_a_full_scan(self) -> None:
        reader = JournalReader(self.path)
        self.assertGreater(len(reader.segment_reader.segment_names()), 5)
        requests = [each for request in reader.read_requests() for each in [request]]
        request_by_id = {request.id: request for request in requests}
        self.assertEqual(len(request_by_id), 300)
        for name, request in request_by_id.items():
            found = (
                JournalReader(self.path).find_request(name) if name == "job-17" else reader.find_request(name)
            )
            self.assertEqual(
                (found.attempts, found.answer, found.accepted, found.delivery_state),
                (request.attempts, request.answer, request.accepted, request.delivery_state),
            )
        self.assertIsNone(reader.find_request("nobody"))
        for text in (
            "worker = w1 and time > 1970-01-12T13:48Z",
            "worker in (w0, w3) and attempt = 1",
            "request in (job-3, job-250, nobody)",
            'state = "possibly sent"',
            "answer = ''",
        ):
            plan = parse_query(text, NOW_MS)
            expected_rows = sorted(row for row in self.all_rows(reader) if plan.matches(row))
            self.assertEqual(sorted(reader.find_rows(plan)), expected_rows, text)
            self.assertTrue(expected_rows, text)

    def all_rows(self, reader: JournalReader) -> list[AttemptRow]:
        return list(reader.find_rows(parse_query("", NOW_MS)))

    def test_missing_truncated_or_wrong_index_is_rebuilt(self) -> None:
        JournalReader(self.path).find_request("job-1")
        index_paths = sorted(Path(self.path).glob("*.idx"))
        self.assertGreater(len(index_paths), 4)
        index_paths[0].unlink()
        index_paths[1].write_bytes(index_paths[1].read_bytes()[:-3])
        index_paths[2].write_bytes(index_paths[3].read_bytes())
        reader = JournalReader(self.path)
        for number in range(0, 300, 7):
            self.assertIsNotNone(reader.find_request(f"job-{number}"))
        with self.assertRaises(ValueError):
            index.read_index(index_paths[1], 0)

    def test_torn_tail_is_harmless_and_other_damage_is_not(self) -> None:
        reader = JournalReader(self.path)
        self.assertEqual(list(reader.verify()), [])
        segments = reader.segment_reader.segment_names()
        last_path, third_path = Path(self.path) / segments[-1], Path(self.path) / segments[2]
        last_path.write_bytes(last_path.read_bytes()[:-5])
        self.assertEqual([finding.is_harmless for finding in JournalReader(self.path).verify()], [True])
        data = bytearray(third_path.read_bytes())
        data[200] ^= 1
        third_path.write_bytes(data)
        findings = list(JournalReader(self.path).verify())
        self.assertEqual(
            [(finding.segment, finding.is_harmless) for finding in findings],
            [(segments[2], False), (segments[-1], True)],
        )


if __name__ == "__main__":
    unittest.main()
