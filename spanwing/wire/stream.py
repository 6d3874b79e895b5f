"""A connection that reads through pooled buffers, and lines on top of it."""

from __future__ import annotations

import select
import socket
from datetime import timedelta

from tornado.concurrent import Future
from tornado.gen import TimeoutError as WaitOver
from tornado.gen import sleep, with_timeout
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError

from spanwing.wire.buffers import BufferPool

#: What the kernel says of a side that has closed, also while bytes lie unread before its end.
ENDED = getattr(select, "POLLRDHUP", 0) | select.POLLERR | select.POLLHUP
LOOK_S = 0.1  # who has sent more than is taken in ahead is looked at so often: its end cannot be read
PIECE = 16 * 1024  # bytes of an answer that have to be taken within one wait


class LineTooLong(Exception):
    """A line that goes past the limit."""


class PooledStream:
    """Bytes in and out; a buffer is held only while a read waits."""

    def __init__(self, stream: IOStream, buffers: BufferPool) -> None:
        self.stream, self.buffers = stream, buffers
        self.reading: Future[int] | None = None
        self.patience: object = None  # the timer that ends a wait for a message
        self.buffer: bytearray | None = None  # where the read that is under way puts its bytes
        self.looking = False
        self.ahead: tuple[bytearray, int] | None = None  # nobody reads: where what comes goes, and how much
        self.read_at = 0.0  # of the loop's time: when something came last
        # Every message is one small write; waiting to fill a packet would only delay it.
        stream.set_nodelay(True)

    async def read(self, sink: bytearray) -> bool:
        """Append what comes next; False when the connection has ended."""
        try:
            reading = self._begin()
            await reading
        except StreamClosedError:
            pass
        return self._take_in(sink)

    def _begin(self) -> Future[int]:
        """The read under way; one that was begun ahead goes on."""
        if self.reading is None:
            self.buffer = self.buffers.take()
            self.reading = self.stream.read_into(self.buffer, partial=True)
        return self.reading

    def _take_in(self, sink: bytearray) -> bool:
        """What the read that is over has brought; False when the connection has ended."""
        reading, buffer, self.reading, self.buffer = self.reading, self.buffer, None, None
        if buffer is None:
            return False
        brought = reading is not None and reading.done() and reading.exception() is None
        if brought:
            sink += memoryview(buffer)[: reading.result()]
            self.read_at = IOLoop.current().time()
        self.buffers.give(buffer)
        return brought

    def read_ahead(self, sink: bytearray, most: int) -> None:
        """While nobody reads: take in what comes, so much at most, and with it the other side's end. An end
        behind bytes that lie unread would not be noticed."""
        self.ahead = sink, most
        self._go_ahead()

    def stop_ahead(self) -> None:
        """Somebody is about to read. A read that was begun goes on for him."""
        self.ahead = None

    def _go_ahead(self) -> None:
        while self.ahead is not None and not self.stream.closed():
            sink, most = self.ahead
            if len(sink) >= most:
                if not self.looking:
                    self.looking = True
                    IOLoop.current().call_later(LOOK_S, self._look)
                return
            try:
                reading = self._begin()
            except StreamClosedError:
                return
            if not reading.done():
                reading.add_done_callback(self._came)
                return
            if not self._take_in(sink):
                return

    def _came(self, reading: Future[int]) -> None:
        if reading is self.reading and self.ahead is not None and self._take_in(self.ahead[0]):
            self._go_ahead()

    def _look(self) -> None:
        self.looking = False
        if self.ahead is not None:
            if self.ended():
                self.close()
            self._go_ahead()

    def ended(self) -> bool:
        """Whether the other side has closed, asked of the kernel, whatever lies unread before its end."""
        if self.stream.closed():
            return True
        asked = select.poll()
        asked.register(self.stream.socket.fileno(), ENDED)
        return any(told & ENDED for _, told in asked.poll(0))

    def waits(self) -> bool:
        """Whether a read waits here, so that all that was read has been taken in."""
        return self.reading is not None and not self.reading.done()

    async def write(self, data: bytes, wait_s: float | None = None) -> None:
        """Write all of it. Where the other side takes nothing for wait_s, the connection is closed: whoever
        does not read would hold it, and a drain, for ever."""
        if wait_s is None:
            await self.stream.write(data)
            return
        for start in range(0, len(data), PIECE):
            written = self.stream.write(data[start : start + PIECE])
            try:
                if not written.done():
                    await with_timeout(timedelta(seconds=wait_s), written, quiet_exceptions=StreamClosedError)
            except WaitOver:
                self.close()
                raise StreamClosedError from None
            written.result()

    def close(self) -> None:
        self.stream.close()

    def waits_no_more(self) -> None:
        """The message that was waited for is there, or the connection has ended."""
        if self.patience is not None:
            IOLoop.current().remove_timeout(self.patience)
            self.patience = None

    def last_words(self, data: bytes) -> None:
        """Write from a timer, where a read still waits, and close: all that came has been read."""
        if not self.stream.closed():
            self.stream.write(data).add_done_callback(lambda written: written.exception())
            self.close()

    async def finish(self, wait_s: float) -> None:
        """Close so that what was written last arrives. Closing on unread input makes the kernel send a reset,
        which may overtake the answer: what still comes is passed over until the other side has closed."""
        self.ahead = None
        if self.stream.closed():
            return
        timer = IOLoop.current().call_later(wait_s, self.close)
        try:
            self.stream.socket.shutdown(socket.SHUT_WR)
            self.stream.max_buffer_size = len(self.buffers.sink)
            if self.reading is not None:  # begun ahead
                await self.read(bytearray())
            while True:
                await self.stream.read_into(self.buffers.sink, partial=True)
                await sleep(0)  # who sends at full speed must not keep the loop to itself
        except (StreamClosedError, OSError):
            pass
        finally:
            IOLoop.current().remove_timeout(timer)
            self.close()

    def silent(self) -> bool:
        """Whether the other side neither closed nor said anything: asked of the kernel, just before use. What
        a read has fetched from there counts as said before the reader has its turn."""
        if self.stream.closed() or (self.reading is not None and self.reading.done()):
            return False
        try:
            self.stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False


class LineStream(PooledStream):
    """Lines that end in LF or CRLF."""

    def __init__(self, stream: IOStream, buffers: BufferPool, longest: int) -> None:
        super().__init__(stream, buffers)
        self.data, self.longest = bytearray(), longest

    async def line(
        self, whole_s: float | None = None, fresh: bool = False, late: bytes = b""
    ) -> bytes | None:
        """The next line; None when the connection ended first. One that has begun must be there whole after
        whole_s, else late is said; on a fresh connection that time runs already."""
        try:
            while (line := self._line()) is None:
                if self.patience is None and whole_s is not None and (fresh or self.data):
                    self.patience = IOLoop.current().call_later(whole_s, self._stalled, late)
                if not await self.read(self.data):
                    return None
            return line
        finally:
            self.waits_no_more()

    def _stalled(self, late: bytes) -> None:
        if self.data:
            self.last_words(late)
        elif self.silent():
            self.close()
        else:  # something lies there: closing now would lose it
            self.patience = IOLoop.current().call_later(0, self._stalled, late)

    def _line(self) -> bytes | None:
        """The line that is there already."""
        end = self.data.find(b"\n")
        if end > self.longest or (end < 0 and len(self.data) > self.longest):
            raise LineTooLong
        if end < 0:
            return None
        line = bytes(self.data[:end])
        del self.data[: end + 1]
        return line.removesuffix(b"\r")
