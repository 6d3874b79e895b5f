"""The link between the two processes of a hot restart: messages and file descriptors over a Unix socket.

Each message arrives complete, in order and once, until the link ends; the end is reported once. No call
blocks. At most MAX_QUEUED_MESSAGES messages are queued for a peer that does not read; one more closes the
link. A descriptor passed to send() is closed in this process once it is sent, or when the link ends.

The socket is a SOCK_SEQPACKET socket, which preserves message boundaries. Tornado's IOStream is not used, as
it cannot pass descriptors.
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
MAX_READS_PER_EVENT = 64  # messages read in one iteration of the event loop


class HotRestartLink:
    """One end of the link.

    on_message is called with each message and its descriptor or None; the callee closes the descriptor.
    on_close is called once after the link has ended.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.loop, self.is_open = sock, IOLoop.current(), True
        self.on_message: Callable[[HotRestartMessage, int | None], None] = lambda message, fd: None
        self.on_close: Callable[[], None] = lambda: None
        self.send_queue: deque[tuple[bytes, int | None]] = deque()
        sock.setblocking(False)
        self.loop.add_handler(sock.fileno(), self._handle_events, IOLoop.READ)

    def send(self, message: HotRestartMessage, fd: int | None = None) -> None:
        """Queues a message with its descriptor, and writes as many queued messages as the socket accepts.

        Closes the link if the message is longer than MAX_MESSAGE_BYTES, or if MAX_QUEUED_MESSAGES are already
        queued. On a closed link it only closes the descriptor.
        """
        data = encode_message(message)
        if not self.is_open or len(data) > MAX_MESSAGE_BYTES or len(self.send_queue) >= MAX_QUEUED_MESSAGES:
            if fd is not None:
                os.close(fd)
            if self.is_open:
                self.close()
            return
        self.send_queue.append((data, fd))
        if len(self.send_queue) == 1:
            self._flush()

    def _flush(self) -> None:
        try:
            while self.send_queue:
                data, fd = self.send_queue[0]
                socket.send_fds(self.sock, [data], [] if fd is None else [fd])
                self.send_queue.popleft()
                if fd is not None:
                    os.close(fd)
        except BlockingIOError:
            pass
        except OSError:
            self.close()
            return
        self.loop.update_handler(self.sock.fileno(), IOLoop.READ | (IOLoop.WRITE if self.send_queue else 0))

    def _handle_events(self, _: int, events: int) -> None:
        if events & IOLoop.WRITE and self.is_open:
            self._flush()
        for _ in range(MAX_READS_PER_EVENT):
            if not self.is_open or not self._read_message():
                return

    def _read_message(self) -> bool:
        """Reads one message and passes it to on_message; returns False if there is none or the link ended."""
        try:
            data, fds, flags, _ = socket.recv_fds(self.sock, MAX_MESSAGE_BYTES, 4)
        except BlockingIOError:
            return False
        except OSError:
            data, fds, flags = b"", [], 0
        for extra_fd in fds[1:]:
            os.close(extra_fd)
        fd = fds[0] if fds else None
        try:
            if flags & socket.MSG_TRUNC:
                raise ValueError("message exceeds MAX_MESSAGE_BYTES")
            message = decode_message(data)
        except (ValueError, msgspec.MsgspecError):  # the peer closed the link or speaks another protocol
            if fd is not None:
                os.close(fd)
            self.close()
            return False
        self.on_message(message, fd)
        return True

    def close(self) -> None:
        """Closes the link and all queued descriptors; on_close is called in a later loop iteration."""
        if not self.is_open:
            return
        self.is_open = False
        self.loop.remove_handler(self.sock.fileno())
        self.sock.close()
        while self.send_queue:
            _, fd = self.send_queue.popleft()
            if fd is not None:
                os.close(fd)
        self.loop.add_callback(self.on_close)


class RendezvousSocket:
    """The Unix socket on which a process listens for its successor.

    The path of its folder may be longer than the kernel allows for the path of a socket.
    """

    def __init__(self, folder: str, client_address: str) -> None:
        """Names the socket after the address for clients, as several schedulers may share a folder."""
        self.folder, self.socket_name = folder, f"spanwing-{client_address}"

    def _path(self, folder_fd: int) -> str:
        # The kernel limits the path of a socket to 108 bytes. This path is short for any folder.
        return f"/proc/self/fd/{folder_fd}/{self.socket_name}"

    def connect(self) -> HotRestartLink | None:
        """Returns a link to the process that listens on the socket, or None if there is none."""
        sock = None
        try:
            folder_fd = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        except OSError:
            return None
        try:
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
            sock.setblocking(False)  # a listener whose backlog is full counts as none
            sock.connect(self._path(folder_fd))
        except OSError:
            if sock is not None:
                sock.close()
            return None
        finally:
            os.close(folder_fd)
        return HotRestartLink(sock)

    def listen(self, on_connect: Callable[[HotRestartLink], None]) -> Callable[[], None]:
        """Listens in place of any earlier process, and calls on_connect with each new link.

        Returns a function that stops listening. It removes the socket file unless a later process has
        replaced it. Raises OSError if the socket cannot be created.
        """
        folder_fd = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            with suppress(FileNotFoundError):
                os.unlink(self.socket_name, dir_fd=folder_fd)
            sock.bind(self._path(folder_fd))
            os.chmod(self.socket_name, 0o600, dir_fd=folder_fd)
            own_stat = os.stat(self.socket_name, dir_fd=folder_fd)
        except OSError:
            sock.close()
            raise
        finally:
            os.close(folder_fd)
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
                current_stat = path.stat()
                if (current_stat.st_dev, current_stat.st_ino) == (own_stat.st_dev, own_stat.st_ino):
                    path.unlink()

        return close
