"""The daemon with something of the machine or of time in the test's hands: `python tests/oddly.py WORD ..`.

small       sockets that it opens or accepts hold only some KB of what is to be sent
hold=PIPE   each last byte of work that must not run twice is held until a byte comes by this pipe
ahead=FILE  its clock is ahead by as many milliseconds as this file has bytes
end=PIPE    it says "ending" once it has served, and ends when something comes by this pipe
"""

from __future__ import annotations

import asyncio
import os
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from spanwing.net import address

SMALL = 4096
WORDS = dict(word.partition("=")[::2] for word in sys.argv[1:])

if "small" in WORDS:
    plain = address.open_socket

    def small(where: address.Address) -> socket.socket:
        sock = plain(where)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL)  # what is accepted there has it too
        return sock

    address.open_socket = small  # before others take it by name

from spanwing.core.clock import Clock  # noqa: E402
from spanwing.daemon import serve  # noqa: E402
from spanwing.workers import http_worker  # noqa: E402

if "hold" in WORDS:
    gate, pause = os.open(WORDS["hold"], os.O_RDWR), http_worker.sleep

    async def held(seconds: float) -> None:
        if seconds == http_worker.LAST_BYTE_DELAY_S:
            await asyncio.get_running_loop().run_in_executor(None, os.read, gate, 1)
        else:
            await pause(seconds)

    http_worker.sleep = held

if "ahead" in WORDS:
    plain_now = Clock.now_ms
    Clock.now_ms = lambda clock: plain_now(clock) + os.path.getsize(WORDS["ahead"])

status = serve()
if "end" in WORDS:
    print("ending", flush=True)
    Path(WORDS["end"]).read_text()
sys.exit(status)
