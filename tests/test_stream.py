"""What a connection tells of itself between two turns of the loop."""

from __future__ import annotations

import asyncio
import socket
import time
import unittest

from tornado.iostream import IOStream

from spanwing.net.buffers import BufferPool
from spanwing.net.http import HttpStream
from spanwing.net.stream import LineStream, PooledStream


class Silent(unittest.IsolatedAsyncioTestCase):
    async def test_what_was_fetched_counts_before_the_reader_has_its_turn(self) -> None:
        one, other = _pair()
        pooled, sink, seen = PooledStream(IOStream(one), BufferPool()), bytearray(), []
        reading = asyncio.ensure_future(pooled.read(sink))
        await asyncio.sleep(0)
        self.assertTrue(pooled.has_no_pending_input())
        other.sendall(b"x")
        loop = asyncio.get_running_loop()

        def look() -> None:
            """Once a turn, ahead of whoever the turn before has woken."""
            if sink:
                return
            seen.append(pooled.has_no_pending_input())
            loop.call_soon(look)

        loop.call_soon(look)
        self.assertTrue(await reading)
        self.assertEqual((sink, seen), (b"x", [False] * len(seen)))
        self.assertGreater(len(seen), 1)
        self.assertTrue(pooled.has_no_pending_input())
        pooled.close()
        other.close()


class Stalled(unittest.IsolatedAsyncioTestCase):
    async def test_a_request_that_comes_in_the_turn_in_which_the_wait_for_it_runs_out_is_read(self) -> None:
        """The loop stands still while the request comes and the time passes: both are found in one turn."""
        for make, sent in ((HttpStream, b"GET /up HTTP/1.1\r\n\r\n"), (Lines, b"END\r\n")):
            one, other = _pair()
            stream = make(IOStream(one), BufferPool())
            read = stream.receive if make is HttpStream else stream.read_line
            reading = asyncio.ensure_future(read(0.05, True))
            await asyncio.sleep(0)
            other.sendall(sent)
            time.sleep(0.1)  # not to wait for anything: this is the stall
            self.assertIsNotNone(await asyncio.wait_for(reading, 10))
            self.assertFalse(stream.stream.closed())  # it can be answered
            stream.close()
            other.close()

    async def test_who_says_nothing_is_closed(self) -> None:
        one, other = _pair()
        self.assertIsNone(await HttpStream(IOStream(one), BufferPool()).receive(0.05, True))
        self.assertEqual(other.recv(1), b"")
        other.close()


class Lines(LineStream):
    def __init__(self, stream: IOStream, buffers: BufferPool) -> None:
        super().__init__(stream, buffers, 100)


def _pair() -> tuple[socket.socket, socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as server:
        one = socket.create_connection(server.getsockname())
        other, _ = server.accept()
    return one, other


if __name__ == "__main__":
    unittest.main()
