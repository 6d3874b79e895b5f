"""Streams: pending input between two iterations of the event loop, and message timeouts."""

from __future__ import annotations

import asyncio
import socket
import time
import unittest

from tornado.iostream import IOStream

from spanwing.net.buffers import BufferPool
from spanwing.net.http import HttpStream
from spanwing.net.stream import LineStream, PooledStream


class PendingInput(unittest.IsolatedAsyncioTestCase):
    async def test_fetched_input_counts_as_pending_until_the_reader_collects_it(self) -> None:
        local, remote = _connected_pair()
        pooled, sink, observations = PooledStream(IOStream(local), BufferPool()), bytearray(), []
        reading = asyncio.ensure_future(pooled.read(sink))
        await asyncio.sleep(0)
        self.assertTrue(pooled.has_no_pending_input())
        remote.sendall(b"x")
        loop = asyncio.get_running_loop()

        def observe() -> None:
            """Runs once per iteration, before tasks that the previous iteration has woken."""
            if sink:
                return
            observations.append(pooled.has_no_pending_input())
            loop.call_soon(observe)

        loop.call_soon(observe)
        self.assertTrue(await reading)
        self.assertEqual((sink, observations), (b"x", [False] * len(observations)))
        self.assertGreater(len(observations), 1)
        self.assertTrue(pooled.has_no_pending_input())
        pooled.close()
        remote.close()


class MessageTimeouts(unittest.IsolatedAsyncioTestCase):
    async def test_a_request_that_arrives_in_the_iteration_of_its_timeout_is_read(self) -> None:
        """The event loop is blocked while the request arrives and the timer expires, so it finds both."""
        for stream_type, sent in ((HttpStream, b"GET /up HTTP/1.1\r\n\r\n"), (ShortLineStream, b"END\r\n")):
            local, remote = _connected_pair()
            stream = stream_type(IOStream(local), BufferPool())
            read = stream.receive if stream_type is HttpStream else stream.read_line
            reading = asyncio.ensure_future(read(0.05, True))
            await asyncio.sleep(0)
            remote.sendall(sent)
            time.sleep(0.1)  # blocks the event loop
            self.assertIsNotNone(await asyncio.wait_for(reading, 10))
            self.assertFalse(stream.stream.closed())  # the request can be answered
            stream.close()
            remote.close()

    async def test_a_silent_connection_is_closed(self) -> None:
        local, remote = _connected_pair()
        self.assertIsNone(await HttpStream(IOStream(local), BufferPool()).receive(0.05, True))
        self.assertEqual(remote.recv(1), b"")
        remote.close()


class ShortLineStream(LineStream):
    def __init__(self, stream: IOStream, buffers: BufferPool) -> None:
        super().__init__(stream, buffers, 100)


def _connected_pair() -> tuple[socket.socket, socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as server:
        local = socket.create_connection(server.getsockname())
        remote, _ = server.accept()
    return local, remote


if __name__ == "__main__":
    unittest.main()
