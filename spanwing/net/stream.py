"""A byte stream that reads through pooled buffers, and a line reader on top of it."""

from __future__ import annotations

import select
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from tornado.concurrent import Future
from tornado.gen import sleep
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError

from spanwing.net.buffers import BufferPool
from spanwing.resources.memory_account import MemoryCharge

#: Poll events that report a close by the peer even if earlier input is still unread.
PEER_CLOSED_EVENTS = getattr(select, "POLLRDHUP", 0) | select.POLLERR | select.POLLHUP
PEER_CHECK_INTERVAL_S = 0.1  # poll interval for a close by the peer once the read-ahead limit is reached
WRITE_CHUNK_BYTES = 16 * 1024  # the peer must read this much within each stall timeout


class LineTooLongError(Exception):
    """A line is longer than max_line_bytes."""


async def wait_at_most(future: Future[Any], timeout_s: float) -> bool:
    """Waits until the future is done, and returns whether it is; its exception is not raised.

    Unlike with_timeout() of Tornado, it leaves no reference cycle when the time is over.
    """
    if future.done():
        return True
    waiter: Future[None] = Future()

    def wake(_: object = None) -> None:
        if not waiter.done():
            waiter.set_result(None)

    timer = IOLoop.current().call_later(timeout_s, wake)
    future.add_done_callback(wake)
    try:
        await waiter
    finally:
        IOLoop.current().remove_timeout(timer)
        future.remove_done_callback(wake)
    return future.done()


class PooledStream:
    """Reads and writes bytes; holds a pooled buffer only while a read is pending."""

    def __init__(self, stream: IOStream, buffers: BufferPool) -> None:
        self.stream, self.buffers = stream, buffers
        self.pending_read: Future[int] | None = None
        self.message_timer: object = None  # timeout of the message that is being read
        self.buffer: bytearray | None = None  # pooled buffer that the pending read fills
        self.is_checking_peer = False
        #: While reading ahead: sink, max_bytes, and what makes room in the sink.
        self.read_ahead_into: tuple[bytearray, int, Callable[[], None]] | None = None
        self.last_read_s = 0.0  # loop time of the last input
        self.input_charge = MemoryCharge(buffers.account, "input")
        self.output_charge = MemoryCharge(buffers.account, "output")
        self.is_discarding = False  # further input is dropped
        # Every message is a single small write, which Nagle's algorithm would only delay.
        stream.set_nodelay(True)

    async def read(self, sink: bytearray) -> bool:
        """Appends the next input to sink; returns False if the connection has ended."""
        with suppress(StreamClosedError):
            # In no local variable: the future keeps its exception, whose traceback refers to this frame.
            await self._begin_read()
        return self._collect_read(sink)

    def _begin_read(self) -> Future[int]:
        """Returns the pending read, or starts one."""
        if self.pending_read is None:
            self.buffer = self.buffers.acquire()
            self.pending_read = self.stream.read_into(self.buffer, partial=True)
        return self.pending_read

    def _collect_read(self, sink: bytearray) -> bool:
        """Appends the data of the finished read to sink; returns False if the connection has ended."""
        reading, buffer, self.pending_read, self.buffer = self.pending_read, self.buffer, None, None
        if buffer is None:
            return False
        has_data = reading is not None and reading.done() and reading.exception() is None
        if has_data:
            if not self.is_discarding:
                sink += memoryview(buffer)[: reading.result()]
            self.last_read_s = IOLoop.current().time()
        self.buffers.release(buffer)
        self.charge_input()
        return has_data

    def held_input_bytes(self) -> int:
        """Returns the bytes of input that are held here."""
        return 0

    def charge_input(self) -> None:
        """Charges the input that is held now."""
        self.input_charge.set(self.held_input_bytes())

    def discard_input(self) -> None:
        """Drops the input that is held; the connection is about to end."""
        self.input_charge.set(0)

    def start_read_ahead(
        self, sink: bytearray, max_bytes: int, make_room: Callable[[], None] = lambda: None
    ) -> None:
        """Reads up to max_bytes into sink while no reader is waiting, to notice if the peer closes.

        A close behind unread bytes would go unnoticed otherwise. Once sink holds max_bytes, make_room is
        called, and every PEER_CHECK_INTERVAL_S the kernel is polled for a close and reading goes on.
        """
        self.read_ahead_into = sink, max_bytes, make_room
        self._continue_read_ahead()

    def stop_read_ahead(self) -> None:
        """Stops reading ahead; a pending read is left to the next reader."""
        self.read_ahead_into = None

    def _continue_read_ahead(self) -> None:
        while self.read_ahead_into is not None and not self.stream.closed():
            sink, max_bytes, make_room = self.read_ahead_into
            if len(sink) >= max_bytes:
                make_room()
                if not self.is_checking_peer:
                    self.is_checking_peer = True
                    IOLoop.current().call_later(PEER_CHECK_INTERVAL_S, self._check_peer)
                return
            try:
                reading = self._begin_read()
            except StreamClosedError:
                return
            if not reading.done():
                reading.add_done_callback(self._handle_read_ahead)
                return
            if not self._collect_read(sink):
                return

    def _handle_read_ahead(self, reading: Future[int]) -> None:
        if (
            reading is self.pending_read
            and self.read_ahead_into is not None
            and self._collect_read(self.read_ahead_into[0])
        ):
            self._continue_read_ahead()

    def _check_peer(self) -> None:
        self.is_checking_peer = False
        if self.read_ahead_into is not None:
            if self.has_peer_closed():
                self.close()
            self._continue_read_ahead()

    def has_peer_closed(self) -> bool:
        """Returns whether the peer has closed according to the kernel, even if input is still unread."""
        if self.stream.closed():
            return True
        poll = select.poll()
        poll.register(self.stream.socket.fileno(), PEER_CLOSED_EVENTS)
        return any(events & PEER_CLOSED_EVENTS for _, events in poll.poll(0))

    def is_waiting_for_input(self) -> bool:
        """Returns whether a read is pending, which means that all earlier input has been collected."""
        return self.pending_read is not None and not self.pending_read.done()

    async def write(self, data: bytes, stall_timeout_s: float | None = None) -> None:
        """Writes all of data.

        With stall_timeout_s, closes the connection and raises StreamClosedError if the peer does not read
        WRITE_CHUNK_BYTES in that time. A peer that never reads would otherwise block the connection, and a
        drain, forever.
        """
        self.output_charge.add(len(data))
        try:
            await self._write_pieces(data, stall_timeout_s)
        finally:
            self.output_charge.add(-len(data))

    async def _write_pieces(self, data: bytes, stall_timeout_s: float | None) -> None:
        if stall_timeout_s is None:
            await self.stream.write(data)
            return
        for start in range(0, len(data), WRITE_CHUNK_BYTES):
            written = self.stream.write(data[start : start + WRITE_CHUNK_BYTES])
            try:
                if not await wait_at_most(written, stall_timeout_s):
                    self.close()
                written.result()
            finally:
                del written  # it keeps its exception, whose traceback refers to this frame

    def close(self) -> None:
        """Closes the connection at once, and drops the input that is held."""
        self.stream.close()
        self.discard_input()

    def reject_input(self, reply: bytes, linger_s: float) -> None:
        """Answers an incomplete message, drops it and all further input, and closes after linger_s.

        The reader goes on reading until then. A close at once would reset the connection, as input is unread.
        """
        self.is_discarding = True
        self.discard_input()
        self.cancel_message_timer()
        self.message_timer = IOLoop.current().call_later(linger_s, self.close)
        if not self.stream.closed():
            self.stream.write(reply).add_done_callback(self._shut_down_writing)

    def _shut_down_writing(self, written: Future[None]) -> None:
        if written.exception() is None and not self.stream.closed():
            with suppress(OSError):
                self.stream.socket.shutdown(socket.SHUT_WR)

    def cancel_message_timer(self) -> None:
        """Cancels the message timer, as the message is complete or the connection has ended."""
        if self.message_timer is not None:
            IOLoop.current().remove_timeout(self.message_timer)
            self.message_timer = None

    def write_and_close(self, data: bytes) -> None:
        """Writes data and closes; must be called while a read is pending, so that no input is unread."""
        if not self.stream.closed():
            self.stream.write(data).add_done_callback(lambda written: written.exception())
            self.close()

    async def close_gracefully(self, timeout_s: float) -> None:
        """Closes the connection after the peer has received the last write, or after timeout_s.

        If a socket is closed with unread input, the kernel sends a reset, which may overtake the response.
        Input is therefore discarded until the peer has closed.
        """
        self.read_ahead_into, self.is_discarding = None, True
        self.discard_input()
        if self.stream.closed():
            return
        timer = IOLoop.current().call_later(timeout_s, self.close)
        try:
            self.stream.socket.shutdown(socket.SHUT_WR)
            self.stream.max_buffer_size = len(self.buffers.sink)
            if self.pending_read is not None:  # started by start_read_ahead()
                await self.read(bytearray())
            while True:
                await self.stream.read_into(self.buffers.sink, partial=True)
                await sleep(0)  # a peer that sends at full speed must not monopolize the event loop
        except (StreamClosedError, OSError):
            pass
        finally:
            IOLoop.current().remove_timeout(timer)
            self.close()

    def has_no_pending_input(self) -> bool:
        """Returns whether the peer has neither closed nor sent anything according to the kernel.

        The result is only valid until the next iteration of the event loop. Input that a finished read has
        fetched counts as pending until it is collected.
        """
        if self.stream.closed() or (self.pending_read is not None and self.pending_read.done()):
            return False
        try:
            self.stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False


class LineStream(PooledStream):
    """Reads lines that end in LF or CRLF."""

    def __init__(self, stream: IOStream, buffers: BufferPool, max_line_bytes: int) -> None:
        super().__init__(stream, buffers)
        self.data, self.max_line_bytes = bytearray(), max_line_bytes

    def held_input_bytes(self) -> int:
        """Returns the bytes of input that are held here."""
        return len(self.data)

    def discard_input(self) -> None:
        """Drops the input that is held; the connection is about to end."""
        self.data.clear()
        super().discard_input()

    async def read_line(
        self, timeout_s: float | None = None, is_fresh: bool = False, timeout_reply: bytes = b""
    ) -> bytes | None:
        """Returns the next line without its line end, or None if the connection ended first.

        If a line is not complete timeout_s after its first byte, timeout_reply is written and the connection
        closed. With is_fresh, the timeout starts immediately, and a connection without input is closed
        without a reply. Raises LineTooLongError.
        """
        try:
            while (line := self._next_line()) is None:
                if self.message_timer is None and timeout_s is not None and (is_fresh or self.data):
                    self.message_timer = IOLoop.current().call_later(
                        timeout_s, self._handle_stall, timeout_reply
                    )
                if not await self.read(self.data):
                    return None
            return line
        finally:
            self.cancel_message_timer()

    def _handle_stall(self, timeout_reply: bytes) -> None:
        if self.data:
            self.write_and_close(timeout_reply)
        elif self.has_no_pending_input():
            self.close()
        else:  # unread input would be lost by closing now
            self.message_timer = IOLoop.current().call_later(0, self._handle_stall, timeout_reply)

    def _next_line(self) -> bytes | None:
        """Returns the next line, or None if it has not been read completely."""
        end = self.data.find(b"\n")
        if end > self.max_line_bytes or (end < 0 and len(self.data) > self.max_line_bytes):
            raise LineTooLongError
        if end < 0:
            return None
        line = bytes(self.data[:end])
        del self.data[: end + 1]
        self.charge_input()
        return line.removesuffix(b"\r")
