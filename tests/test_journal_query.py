"""The journal's filter language, index and table, against a plain look at every record."""

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

NOW = 1_000_000_000.0
SMALL = RetentionLimits(segment_bytes=4000, segment_ms=1e15, retention_ms=1e15, retention_bytes=1 << 40)


def row(**values) -> AttemptRow:
    base = dict(
        request="r1",
        cls="schedule-apply",
        tenant="corrib",
        key="",
        front="platform",
        attempt=0,
        worker="w3",
        address="127.0.0.1:1",
        state="sent",
        time=NOW - 1000,
        intent=NOW - 900,
        last_byte=None,
        given_up="",
        result="ok",
        answer="served",
        answered=NOW,
        closed=False,
    )
    return AttemptRow(**{**base, **values})


class Language(unittest.TestCase):
    def holds(self, text: str, **values) -> bool:
        return parse_query(text, NOW).matches(row(**values))

    def test_what_holds(self) -> None:
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
            self.assertTrue(self.holds(text), text)

    def test_what_does_not(self) -> None:
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
            self.assertFalse(self.holds(text), text)

    def test_absolute_times(self) -> None:
        self.assertTrue(self.holds("time > 1970-01-01 and time < 2001-01-01T00:00:00Z"))

    def test_errors_point_at_the_column(self) -> None:
        for text, column, word in (
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
            with self.subTest(text[:20]), self.assertRaisesRegex(QueryError, word) as wrong:
                parse_query(text, NOW)
            self.assertEqual(wrong.exception.column, column, text[:20])

    @given(st.text(alphabet="abclstime =!<>~()',\"andortnwk12-", max_size=40))
    def test_any_text_is_a_filter_or_an_error(self, text: str) -> None:
        try:
            parse_query(text, NOW).matches(row())
        except QueryError:
            pass

    def test_bounds_never_leave_out_what_matches(self) -> None:
        source = random.Random(1)
        tests = [
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

        def expression(depth: int) -> str:
            if depth == 0:
                return source.choice(tests)
            word = source.choice((" and ", " or "))
            inner = word.join(expression(depth - 1) for _ in range(source.randrange(1, 4)))
            return f"{source.choice(('', 'not '))}({inner})"

        for _ in range(400):
            text = expression(source.randrange(3))
            plan = parse_query(text, NOW)
            for name in ("r1", "r2", "r3"):
                for worker in ("w1", "w2", "w3"):
                    for ago in (0, 30_000, 70_000):
                        each = row(request=name, worker=worker, time=NOW - ago)
                        if plan.matches(each):
                            self.assertTrue(plan.after_ms <= each.time <= plan.before_ms, text)
                            self.assertTrue(plan.request_ids is None or name in plan.request_ids, text)
                            self.assertTrue(plan.workers is None or worker in plan.workers, text)

    def test_all_fields_are_there(self) -> None:
        for name in FIELDS:
            value = {"attempt": "0", "closed": "false"}.get(name, "now")
            self.assertIsInstance(self.holds(f"{name} = {value}"), bool)


def written(path: str, requests: int, seed: int) -> None:
    """A journal of several segments, with every kind of end."""
    source, files = random.Random(seed), LocalFolder(path)
    log = SegmentLog(files, SMALL)
    for number in range(requests):
        name, now = f"job-{number}", NOW + number * 1000.0
        cls = source.choice(("schedule-apply", "setpoint-push"))
        batch = [RequestAccepted(name, now, now, cls, source.choice("ab"))]
        for attempt in range(source.randrange(3)):
            batch.append(AttemptIntent(name, now + 1, now, attempt, f"w{source.randrange(4)}", "127.0.0.1:1"))
            sent = [
                LastByteWritten(name, now + 2, now, attempt),
                AttemptCompleted(name, now + 3, now, attempt, "ok"),
            ]
            batch += source.choice(([], [AttemptUnsent(name, now + 2, now, attempt, "unreachable")], sent))
        ends = [], [RequestAnswered(name, now + 4, now, "served")], [AttemptClosed(name, now + 4, now, -1)]
        batch += source.choice(ends)
        log.write(batch, now)
    log.close()
    files.close_all()


class Folders(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = folder.name
        written(self.path, 300, 7)

    def test_the_index_finds_what_a_look_at_everything_finds(self) -> None:
        book = JournalReader(self.path)
        self.assertGreater(len(book.segment_reader.segment_names()), 5)
        every = [each for request in book.read_requests() for each in [request]]
        by_name = {each.id: each for each in every}
        self.assertEqual(len(by_name), 300)
        for name, request in by_name.items():
            found = (
                JournalReader(self.path).find_request(name) if name == "job-17" else book.find_request(name)
            )
            self.assertEqual(
                (found.attempts, found.answer, found.accepted, found.delivery_state),
                (request.attempts, request.answer, request.accepted, request.delivery_state),
            )
        self.assertIsNone(book.find_request("nobody"))
        for text in (
            "worker = w1 and time > 1970-01-12T13:48Z",
            "worker in (w0, w3) and attempt = 1",
            "request in (job-3, job-250, nobody)",
            'state = "possibly sent"',
            "answer = ''",
        ):
            plan = parse_query(text, NOW)
            plain = sorted(each for each in self.all_rows(book) if plan.matches(each))
            self.assertEqual(sorted(book.find_rows(plan)), plain, text)
            self.assertTrue(plain, text)

    def all_rows(self, book: JournalReader) -> list[AttemptRow]:
        return list(book.find_rows(parse_query("", NOW)))

    def test_an_index_that_is_damaged_old_or_missing_is_made_again(self) -> None:
        JournalReader(self.path).find_request("job-1")
        kept = sorted(Path(self.path).glob("*.idx"))
        self.assertGreater(len(kept), 4)
        kept[0].unlink()
        kept[1].write_bytes(kept[1].read_bytes()[:-3])
        kept[2].write_bytes(kept[3].read_bytes())
        book = JournalReader(self.path)
        for number in range(0, 300, 7):
            self.assertIsNotNone(book.find_request(f"job-{number}"))
        with self.assertRaises(ValueError):
            index.read_index(kept[1], 0)

    def test_damage_is_told_and_a_torn_tail_is_none(self) -> None:
        book = JournalReader(self.path)
        self.assertEqual(list(book.verify()), [])
        segments = book.segment_reader.segment_names()
        last, middle = Path(self.path) / segments[-1], Path(self.path) / segments[2]
        last.write_bytes(last.read_bytes()[:-5])
        self.assertEqual([each.is_harmless for each in JournalReader(self.path).verify()], [True])
        data = bytearray(middle.read_bytes())
        data[200] ^= 1
        middle.write_bytes(data)
        found = list(JournalReader(self.path).verify())
        self.assertEqual(
            [(each.segment, each.is_harmless) for each in found], [(segments[2], False), (segments[-1], True)]
        )


if __name__ == "__main__":
    unittest.main()
