"""Balancers that connect, read one line and close: HAProxy's agent-check, and feedback agents.

Guarantees: a line is written at once, whatever the other side sends, sends half of, or does not send; a
connection lives ANSWERED_S at most after that; MOST connections at once, a further one takes the place of
the one that has been answered longest.
"""

from __future__ import annotations

from collections.abc import Callable

from tornado.gen import sleep
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from spanwing.actor import spawn
from spanwing.health.machine import Verdict
from spanwing.wire.address import Address, Listening, listen
from spanwing.wire.buffers import BufferPool
from spanwing.wire.stream import PooledStream
from spanwing.wire.table import OVER, Table

MOST = 12  # connections to one listener
ANSWERED_S = 1.0
ASKED_S = 0.5  # a line that names a class is waited for so long
LOOK_S = 0.01
LONGEST = 256  # of that line


def agent_line(verdict: Verdict, cls: str = "", maxconn: int | None = None) -> bytes:
    """HAProxy's agent-check, as its configuration manual has it: words, and a comment where one is allowed.

    `ready` undoes a `drain` told before; a weight of 0% keeps new sessions away. cls: of one class alone.
    """
    if verdict.state in ("starting", "absent"):
        return f"down#{_plain(verdict.reason)}\n".encode()
    if verdict.state == "drained":
        return f"stopped#{_plain(verdict.reason)}\n".encode()
    if verdict.state == "draining":
        return b"drain\n"
    lost = dict(verdict.classes).get(cls, "")
    if lost:
        return f"down#{_plain(lost)}\n".encode()
    limit = "" if maxconn is None else f" maxconn:{maxconn}"
    return f"ready up {verdict.weight}%{limit}\n".encode()


def feedback_line(verdict: Verdict, cls: str = "", maxconn: int | None = None) -> bytes:
    """What feedback agents of IPVS-like balancers are asked for: a bare percentage, 0% for no new work."""
    weight = 0 if dict(verdict.classes).get(cls, "") or not verdict.taking else verdict.weight
    return b"%d%%\n" % weight


def _plain(reason: str) -> str:
    """A comment ends at a line end, and commas part words."""
    return " ".join(reason.replace(",", ";").split())


class Asker:
    """One connection; it has a place in the table until it is closed."""

    def __init__(self, stream: PooledStream) -> None:
        self.stream, self.over, self.since = stream, False, IOLoop.current().time()

    def rank(self, waited_s: float) -> int | None:
        return OVER  # its line is written or about to be; any of them may go

    def silent(self) -> bool:
        return True

    def close(self) -> None:
        self.stream.close()


class LineFront:
    """Listens for one of the two."""

    def __init__(self, address: Address, verdict: Callable[[], Verdict],
                 line: Callable[[Verdict, str, int | None], bytes], buffers: BufferPool,
                 maxconn: Callable[[], int] | None = None, asks: bool = False) -> None:
        self.verdict, self.line, self.buffers, self.maxconn, self.asks = verdict, line, buffers, maxconn, asks
        self.table: Table[Asker] = Table(MOST)
        self.listening: Listening = listen(address, self._accept)
        self.address = self.listening.address

    def _accept(self, sock) -> None:
        if not self.table.room():
            sock.close()
            return
        asker = Asker(PooledStream(IOStream(sock, max_buffer_size=LONGEST * 64), self.buffers))
        self.table.seats.add(asker)
        spawn(self._serve(asker))

    async def _serve(self, asker: Asker) -> None:
        try:
            cls = await self._asked(asker.stream) if self.asks else ""
            limit = self.maxconn() if self.maxconn else None
            await asker.stream.write(self.line(self.verdict(), cls, limit))
        except (StreamClosedError, StreamBufferFullError):
            pass
        finally:
            asker.over = True
            await asker.stream.finish(ANSWERED_S)
            self.table.seats.discard(asker)

    async def _asked(self, stream: PooledStream) -> str:
        """The class that `agent-send` names; nothing in time: the whole daemon is meant."""
        end = IOLoop.current().time() + ASKED_S
        data: bytes | None = b""
        # Looked at and not read: who half closes after its line would count as gone on a read.
        while data is not None and b"\n" not in data and len(data) < LONGEST:
            if IOLoop.current().time() >= end:
                break
            await sleep(LOOK_S)
            data = stream.peek(LONGEST, data)
        return (data or b"").split(b"\n")[0].strip().decode("ascii", "replace")

    def close(self) -> None:
        self.listening.close()
        for asker in list(self.table.seats):
            asker.close()
