"""A link between two processes on one machine: whole messages, with descriptors.

Guarantees: messages arrive whole, in order, once, or the link has ended, which is told once; nothing here
waits. What the other side does not take is kept up to MOST messages, beyond which the link ends. A descriptor
that was handed in is closed here once it is sent, or when the link ends.

SOCK_SEQPACKET keeps messages apart by itself, so nothing is cut off at a byte; IOStream knows no descriptors.
"""

from __future__ import annotations

import os
import socket
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import msgspec
from tornado.ioloop import IOLoop

from spanwing.hot_restart.messages import MAX_MESSAGE_BYTES, HotRestartMessage, decode_message, encode_message

MAX_QUEUED_MESSAGES = 5000  # messages that wait to be sent
MAX_READS_PER_EVENT = 64  # messages read in one turn of the loop


class HotRestartLink:
    """One end; hear is called with each message and its descriptor, which is then the hearer's to close."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.loop, self.is_open = sock, IOLoop.current(), True
        self.on_message: Callable[[HotRestartMessage, int | None], None] = lambda message, fd: None
        self.on_close: Callable[[], None] = lambda: None
        self.queue: deque[tuple[bytes, int | None]] = deque()
        sock.setblocking(False)
        self.loop.add_handler(sock.fileno(), self._handle_events, IOLoop.READ)

    def send(self, message: HotRestartMessage, fd: int | None = None) -> None:
        data = encode_message(message)
        if not self.is_open or len(data) > MAX_MESSAGE_BYTES or len(self.queue) >= MAX_QUEUED_MESSAGES:
            if fd is not None:
                os.close(fd)
            if self.is_open:
                self.close()
            return
        self.queue.append((data, fd))
        if len(self.queue) == 1:
            self._flush()

    def _flush(self) -> None:
        try:
            while self.queue:
                data, fd = self.queue[0]
                socket.send_fds(self.sock, [data], [] if fd is None else [fd])
                self.queue.popleft()
                if fd is not None:
                    os.close(fd)
        except BlockingIOError:
            pass
        except OSError:
            self.close()
            return
        self.loop.update_handler(self.sock.fileno(), IOLoop.READ | (IOLoop.WRITE if self.queue else 0))

    def _handle_events(self, _: int, events: int) -> None:
        if events & IOLoop.WRITE and self.is_open:
            self._flush()
        for _ in range(MAX_READS_PER_EVENT):
            if not self.is_open or not self._read_message():
                return

    def _read_message(self) -> bool:
        try:
            data, fds, flags, _ = socket.recv_fds(self.sock, MAX_MESSAGE_BYTES, 4)
        except BlockingIOError:
            return False
        except OSError:
            data, fds, flags = b"", [], 0
        for extra in fds[1:]:
            os.close(extra)
        fd = fds[0] if fds else None
        try:
            if flags & socket.MSG_TRUNC:
                raise ValueError("a message too long")
            message = decode_message(data)
        except (ValueError, msgspec.MsgspecError):  # the other side has closed, or is no kin of ours
            if fd is not None:
                os.close(fd)
            self.close()
            return False
        self.on_message(message, fd)
        return True

    def close(self) -> None:
        if not self.is_open:
            return
        self.is_open = False
        self.loop.remove_handler(self.sock.fileno())
        self.sock.close()
        while self.queue:
            _, fd = self.queue.popleft()
            if fd is not None:
                os.close(fd)
        self.loop.add_callback(self.on_close)


class RendezvousSocket:
    """Where the successor finds us: a Unix socket in a folder, however long the folder's path is."""

    def __init__(self, folder: str, client_address: str) -> None:
        """listening: the clients' address, as other schedulers may use the same folder."""
        self.folder, self.socket_name = folder, f"spanwing-{client_address}"

    def _path(self, folder: int) -> str:
        # The kernel bounds a socket's path at 108 bytes; that of an open folder is short.
        return f"/proc/self/fd/{folder}/{self.socket_name}"

    def connect(self) -> HotRestartLink | None:
        """A link to whoever listens there; None where nobody does."""
        sock = None
        try:
            folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        except OSError:
            return None
        try:
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
            sock.setblocking(False)  # a backlog that is full is as good as nobody
            sock.connect(self._path(folder))
        except OSError:
            if sock is not None:
                sock.close()
            return None
        finally:
            os.close(folder)
        return HotRestartLink(sock)

    def listen(self, on_connect: Callable[[HotRestartLink], None]) -> Callable[[], None]:
        """Listen, in the place of whoever did; returns what ends it. Raises OSError."""
        folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            with suppress(FileNotFoundError):
                os.unlink(self.socket_name, dir_fd=folder)
            sock.bind(self._path(folder))
            os.chmod(self.socket_name, 0o600, dir_fd=folder)
            own_stat = os.stat(self.socket_name, dir_fd=folder)
        except OSError:
            sock.close()
            raise
        finally:
            os.close(folder)
        sock.setblocking(False)
        sock.listen(4)
        loop = IOLoop.current()

        def accept_connection(_: int, __: int) -> None:
            with suppress(OSError):
                on_connect(HotRestartLink(sock.accept()[0]))

        loop.add_handler(sock.fileno(), accept_connection, IOLoop.READ)

        def close() -> None:
            loop.remove_handler(sock.fileno())
            sock.close()
            path = Path(self.folder) / self.socket_name
            with suppress(OSError):
                there = path.stat()
                if (there.st_dev, there.st_ino) == (own_stat.st_dev, own_stat.st_ino):
                    path.unlink()

        return close
