"""Runs the daemon with send buffers, delays, its clock or its exit under a test's control.

Usage: python tests/instrumented_daemon.py OPTION ..

small       sockets that it opens or accepts get a send buffer of SEND_BUFFER_BYTES
hold=PIPE   a delay before the last byte of a non-idempotent job ends when a byte is read from this pipe
ahead=FILE  its clock (Clock.now_ms) is ahead by one millisecond per byte of this file
end=PIPE    after serving it prints "ending", and exits when this pipe has been written and closed
"""

from __future__ import annotations

import asyncio
import os
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from spanwing.net import address

SEND_BUFFER_BYTES = 4096
OPTIONS = dict(option.partition("=")[::2] for option in sys.argv[1:])

if "small" in OPTIONS:
    original_open_socket = address.open_socket

    def open_socket_with_small_buffer(target: address.Address) -> socket.socket:
        sock = original_open_socket(target)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)  # accepted sockets inherit it
        return sock

    address.open_socket = open_socket_with_small_buffer  # before other modules import the function by name

from spanwing.core.clock import Clock  # noqa: E402
from spanwing.daemon import serve  # noqa: E402
from spanwing.workers import http_worker  # noqa: E402

if "hold" in OPTIONS:
    gate, original_sleep = os.open(OPTIONS["hold"], os.O_RDWR), http_worker.sleep

    async def sleep_until_released(seconds: float) -> None:
        if seconds == http_worker.LAST_BYTE_DELAY_S:
            await asyncio.get_running_loop().run_in_executor(None, os.read, gate, 1)
        else:
            await original_sleep(seconds)

    http_worker.sleep = sleep_until_released

if "ahead" in OPTIONS:
    original_now_ms = Clock.now_ms
    Clock.now_ms = lambda clock: original_now_ms(clock) + os.path.getsize(OPTIONS["ahead"])

status = serve()
if "end" in OPTIONS:
    print("ending", flush=True)
    Path(OPTIONS["end"]).read_text()
sys.exit(status)
