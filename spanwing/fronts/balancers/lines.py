"""Balancers that connect, read one line and close: HAProxy's agent-check, and feedback agents.

Guarantees: a line is written at once, whatever the other side sends, sends half of, or does not send; a
connection lives ANSWERED_S and a SWEEP_S at most after that; MOST connections at once, a further one takes
the place of the one that has been answered longest.
"""

from __future__ import annotations

import socket
from collections.abc import Callable

from tornado.ioloop import IOLoop

from spanwing.health.machine import Verdict
from spanwing.wire.address import Address, Listening, listen
from spanwing.wire.table import OVER, Table

MOST = 12  # connections to one listener
ANSWERED_S = 1.0
ASKED_S = 0.5  # a line that names a class is waited for so long
SWEEP_S = 0.1  # between looks at whose time is over
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
    """One connection: answered, then passed over until the other side has closed or its time is over."""

    def __init__(self, front: LineFront, sock: socket.socket) -> None:
        self.front, self.sock, self.loop = front, sock, IOLoop.current()
        self.over, self.since = False, self.loop.time()
        self.data = b""
        self.loop.add_handler(sock, self._readable, IOLoop.READ)

    def answer(self, cls: str) -> None:
        """Write the line and say that no more will come. Closing on unread input would send a reset, which
        may overtake the line: what still comes is passed over."""
        self.over, self.since = True, self.loop.time()
        line = self.front.line(self.front.verdict(), cls, self.front.maxconn and self.front.maxconn())
        try:
            whole = self.sock.send(line) == len(line)  # into an empty buffer: all of it, or the other is gone
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            whole = False
        if not whole:
            self.close()

    def _readable(self, *_: object) -> None:
        """One look for each turn of the loop: who sends at full speed must not keep it to itself."""
        try:
            data = self.sock.recv(4096)
        except BlockingIOError:
            return
        except OSError:
            self.close()
            return
        if not self.over:
            self.data += data[: LONGEST - len(self.data)]
            if not data or b"\n" in self.data or len(self.data) >= LONGEST:
                self.answer(self.asked())
        if not data:  # all that was sent has been read
            self.close()

    def asked(self) -> str:
        """The class that `agent-send` names; nothing: the whole daemon is meant."""
        return self.data.split(b"\n")[0].strip().decode("ascii", "replace")

    def due(self, now: float) -> None:
        """Called now and then."""
        if self.over and now - self.since >= ANSWERED_S:
            self.close()
        elif not self.over and now - self.since >= ASKED_S:
            self.answer(self.asked())

    def rank(self, waited_s: float) -> int | None:
        return OVER  # its line is written or about to be; any of them may go

    def silent(self) -> bool:
        return True

    def close(self) -> None:
        if self.sock.fileno() >= 0:
            self.loop.remove_handler(self.sock)
            self.sock.close()
            self.front.table.seats.discard(self)


class LineFront:
    """Listens for one of the two. No coroutine, Future or stream is made for a check: they would cost several
    times what the check itself does."""

    def __init__(
        self,
        address: Address,
        verdict: Callable[[], Verdict],
        line: Callable[[Verdict, str, int | None], bytes],
    ) -> None:
        self.verdict, self.line = verdict, line
        self.maxconn: Callable[[], int] | None = None  # what is told as `maxconn:`
        self.asks = False  # whether a line is waited for that names a class
        self.table: Table[Asker] = Table(MOST)
        self.sweeping = False
        self.listening: Listening = listen(address, self._accept)
        self.address = self.listening.address

    def _accept(self, sock: socket.socket) -> None:
        if not self.table.room():
            sock.close()
            return
        asker = Asker(self, sock)
        self.table.seats.add(asker)
        if not self.asks:
            asker.answer("")
        if not self.sweeping and self.table.seats:
            self.sweeping = True
            IOLoop.current().call_later(SWEEP_S, self._sweep)

    def _sweep(self) -> None:
        """One timer for all of them."""
        now = IOLoop.current().time()
        for asker in list(self.table.seats):
            asker.due(now)
        self.sweeping = bool(self.table.seats)
        if self.sweeping:
            IOLoop.current().call_later(SWEEP_S, self._sweep)

    def close(self) -> None:
        self.listening.close()
        for asker in list(self.table.seats):
            asker.close()
