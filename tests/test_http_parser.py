"""The parser bounds what a message may make the process keep and compute, whatever its pieces."""

from __future__ import annotations

import time
import tracemalloc
import unittest

from spanwing.net.http_parser import (
    MAX_BODY_BYTES,
    MAX_CHUNK_LINE_BYTES,
    MAX_FIELDS,
    MAX_HEAD_BYTES,
    MIN_MEAN_CHUNK_BYTES,
    HttpError,
    HttpMessage,
    HttpParser,
)

FIRST_LINE = b"POST /a HTTP/1.1\r\n"
CHUNKED = FIRST_LINE + b"Transfer-Encoding: chunked\r\n\r\n"
MAX_CHUNKS = MAX_BODY_BYTES // MIN_MEAN_CHUNK_BYTES


def parse(data: bytes, piece_bytes: int = 0) -> HttpMessage | int | None:
    """Returns the message, the status of the error, or None if the message is not complete."""
    parser = HttpParser(used_fields=frozenset({"x-a"}))
    try:
        for start in range(0, len(data), piece_bytes or len(data)):
            parser.data += data[start : start + (piece_bytes or len(data))]
            while (message := parser.next_message()) is None and parser.is_interrupted:
                pass
            if message is not None:
                return message
    except HttpError as error:
        return error.status
    return None


class BoundTests(unittest.TestCase):
    def check(self, data: bytes, status: int | None) -> None:
        """Checks the status of the error, or that the data is one message, whole and byte by byte."""
        for piece_bytes in (0, 1, 7):
            with self.subTest(piece_bytes):
                found = parse(data, piece_bytes)
                self.assertEqual(found if isinstance(found, int) else None, status)
                if status is None:
                    self.assertIsInstance(found, HttpMessage)

    def test_a_head_of_more_fields_than_the_bound_is_rejected_with_431(self) -> None:
        self.check(FIRST_LINE + b"a:\r\n" * MAX_FIELDS + b"\r\n", None)
        self.check(FIRST_LINE + b"a:\r\n" * (MAX_FIELDS + 1) + b"\r\n", 431)

    def test_a_head_of_more_bytes_than_the_bound_is_rejected_with_431(self) -> None:
        filled = MAX_HEAD_BYTES - len(FIRST_LINE) - len(b"a: ")
        self.check(FIRST_LINE + b"a: " + b"x" * filled + b"\r\n\r\n", None)
        self.check(FIRST_LINE + b"a: " + b"x" * (filled + 1) + b"\r\n\r\n", 431)

    def test_a_body_of_more_chunks_than_the_bound_is_rejected_with_413(self) -> None:
        self.check(CHUNKED + b"1\r\nx\r\n" * MAX_CHUNKS + b"0\r\n\r\n", None)
        self.check(CHUNKED + b"1\r\nx\r\n" * (MAX_CHUNKS + 1) + b"0\r\n\r\n", 413)

    def test_a_chunked_body_of_more_bytes_than_the_bound_is_rejected_with_413(self) -> None:
        last = b"%x\r\n%s\r\n0\r\n\r\n"
        self.check(CHUNKED + last % (MAX_BODY_BYTES, b"x" * MAX_BODY_BYTES), None)
        self.check(CHUNKED + b"1\r\nx\r\n" + last % (MAX_BODY_BYTES, b"x" * MAX_BODY_BYTES), 413)

    def test_a_chunk_line_of_more_bytes_than_the_bound_is_rejected_with_400(self) -> None:
        extension = b";" + b"e" * (MAX_CHUNK_LINE_BYTES - 4)
        self.check(CHUNKED + b"1" + extension + b"\r\nx\r\n0\r\n\r\n", None)
        self.check(CHUNKED + b"1" + extension + b"e\r\nx\r\n0\r\n\r\n", 400)

    def test_a_trailer_of_more_bytes_than_the_bound_is_rejected_with_431(self) -> None:
        self.check(CHUNKED + b"1\r\nx\r\n0\r\n" + b"t: y\r\n" * 2000 + b"\r\n", None)
        self.check(CHUNKED + b"1\r\nx\r\n0\r\n" + b"t: y\r\n" * 4000 + b"\r\n", 431)
        self.check(CHUNKED + b"1\r\nx\r\n0\r\nt: " + b"y" * (MAX_HEAD_BYTES + 1), 431)

    def test_chunks_and_trailers_give_the_same_message_in_any_pieces(self) -> None:
        data = CHUNKED + b"3;x=y\r\nabc\r\n 2 \r\nde\r\n000\r\nt: 1\r\nu: 2\r\n\r\n"
        for piece_bytes in range(1, len(data) + 1):
            self.assertEqual(parse(data, piece_bytes).body, b"abcde", piece_bytes)

    def test_malformed_chunks_are_rejected_with_400(self) -> None:
        for rest in (b"x\r\n", b"\r\n", b"-1\r\n", b"123456789\r\n", b"1\r\nxx\r\n", b"1\r\nx\n\n"):
            with self.subTest(rest):
                self.assertEqual(parse(CHUNKED + rest), 400)


class InterruptionTests(unittest.TestCase):
    def test_a_parser_whose_input_was_dropped_in_the_midst_of_chunks_wants_more_input(self) -> None:
        """The reader went on parsing nothing for ever, and the process served nobody."""
        parser = HttpParser()
        parser.data += CHUNKED + b"1\r\nx\r\n" * 1000
        self.assertIsNone(parser.next_message())
        self.assertTrue(parser.is_interrupted)
        parser.discard()
        self.assertIsNone(parser.next_message())
        self.assertFalse(parser.is_interrupted)


class MemoryTests(unittest.TestCase):
    def held_bytes(self, data: bytes) -> int:
        """Returns what a parser holds that has been given the data."""
        tracemalloc.start()
        try:
            parser = HttpParser(used_fields=frozenset({"x-a"}))
            before = tracemalloc.get_traced_memory()[0]
            for start in range(0, len(data), 4096):
                parser.data += data[start : start + 4096]
                while parser.next_message() is None and parser.is_interrupted:
                    pass
            return tracemalloc.get_traced_memory()[0] - before
        finally:
            tracemalloc.stop()

    def test_a_head_of_many_fields_holds_no_more_than_its_size_on_the_wire(self) -> None:
        head = FIRST_LINE + b"Content-Length: 9\r\n" + b"abcdefgh: %s\r\n" % (b"x" * 46) * (MAX_FIELDS - 1)
        self.assertLess(self.held_bytes(head + b"\r\n"), 3000)

    def test_a_trailer_that_does_not_end_holds_no_more_than_its_size_on_the_wire(self) -> None:
        self.assertLess(self.held_bytes(CHUNKED + b"1\r\nx\r\n0\r\n" + b"t: y\r\n" * 2500), 3000)


class ProcessorTimeTests(unittest.TestCase):
    """Times are compared with each other, so that they hold on any machine."""

    def parse_s(self, data: bytes, piece_bytes: int = 0) -> float:
        """Returns the shortest time of three in which the data is parsed."""
        times = []
        for _ in range(3):
            began_s = time.process_time()
            parse(data, piece_bytes)
            times.append(time.process_time() - began_s)
        return min(times)

    def test_a_head_that_comes_byte_by_byte_is_not_searched_again_for_each_byte(self) -> None:
        def head(size: int) -> bytes:
            return FIRST_LINE + b"a: " + b"x" * (size - len(FIRST_LINE) - 3)

        self.assertLess(self.parse_s(head(16_000), 1), 3 * 8 * self.parse_s(head(2_000), 1))

    def test_a_trailer_that_comes_byte_by_byte_is_not_searched_again_for_each_byte(self) -> None:
        def trailer(size: int) -> bytes:
            return CHUNKED + b"1\r\nx\r\n0\r\nt: " + b"y" * size

        self.assertLess(self.parse_s(trailer(16_000), 1), 3 * 8 * self.parse_s(trailer(2_000), 1))
