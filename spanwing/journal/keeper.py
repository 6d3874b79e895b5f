"""The daemon's side of the journal: what the core tells, in records, and what an earlier life left.

Guarantees: an intent is told back durable before anything may be sent on it; every other record is handed
over in the order in which it happened and waits for nothing. With `refuse`, an intent that cannot be made
durable is told so and nothing is sent; with `serve` it is sent all the same, and the journal has a gap that
says so; an intent that waits for longer than wait_s counts as one that cannot be. Nothing here sends,
retries or decides.
"""

from __future__ import annotations

import secrets
import time
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Literal

from spanwing.journal.committer import Committer
from spanwing.journal.ledger import Attempt, Lost, Request
from spanwing.journal.log import Log
from spanwing.journal.records import (
    Answered,
    Any,
    GivenUp,
    Intent,
    LastByte,
    Outcome,
    Started,
    Taken,
    Unsent,
)
from spanwing.journal.thinning import Thinner, ThinningThread

LONGEST_NAME = 200  # of a tenant, key, worker or address, in characters

Policy = Literal["refuse", "serve"]


def cut(text: str) -> str:
    """What a client names may be long, and a record that does not fit would take its whole batch with it."""
    return text if len(text) <= LONGEST_NAME else f"{text[: LONGEST_NAME - 1]}…"


class Keeper:
    """Writes down the requests of some classes."""

    def __init__(
        self,
        log: Log,
        policy: Policy,
        name: str,
        post: Callable[..., object],
        wait_s: float = 0.25,
        later: Callable[[float, Callable[[], None]], object] | None = None,
        cancel: Callable[[object], None] = lambda timer: None,
    ) -> None:
        """post: runs a call on the loop, from any thread; later and cancel: the loop's timers."""
        self.policy = policy
        self.wait_s, self.later, self.cancel = wait_s, later, cancel
        now = self._now()
        self.left_open: list[tuple[Request, Attempt]] = log.ledger.left_open()
        # The first write of this life: what earlier ones left is closed, and nothing of it is done again.
        # It goes before anything else, and a disk that cannot take it is known before the first client comes.
        closing = log.ledger.closing(*now)
        log.write([Started("", *now, name, secrets.token_hex(8), policy == "refuse"), *closing], now[0])
        self.lost: dict[str, Lost] = dict(log.ledger.lost)
        self.skipped = log.skipped
        self.committer = Committer(log, post)
        self.committer.start()
        # Where all classes are kept for the same time, whole segments go, and nothing has to be thinned.
        self.thinning: ThinningThread | None = None
        if log.bounds.keep_ms_of:
            self.thinning = ThinningThread(Thinner(log.files, log.bounds), lambda: self.committer.oldest)
            self.thinning.start()

    @staticmethod
    def _now() -> tuple[float, float]:
        """Both clocks, in ms."""
        return time.time() * 1000.0, time.monotonic() * 1000.0

    def refusing(self) -> str:
        """Why work that has to be written down is turned away now; empty where it is taken."""
        return self.committer.trouble(self.wait_s) if self.policy == "refuse" else ""

    def earlier(self, request: str) -> str:
        """What is known of a request that an earlier life left open; empty where that is nothing."""
        lost = self.lost.get(request)
        if lost is None:
            return ""
        when = datetime.fromtimestamp(lost.wall_ms / 1000.0, UTC).isoformat(timespec="milliseconds")
        worker = f" to {lost.worker}" if lost.worker else ""
        return f"{lost.finding}{worker} at {when}, before a crash; its outcome is not known"

    def taken(self, request: str, cls: str, tenant: str, key: str, front: str, budget_ms: float) -> None:
        self._note(Taken(request, *self._now(), cls, cut(tenant), cut(key), front, budget_ms))

    def intent(
        self, request: str, attempt: int, worker: str, address: str, then: Callable[[bool], None]
    ) -> None:
        """then hears whether the attempt may be sent."""
        done, timer = False, None

        def told(reason: str) -> None:
            nonlocal done
            if not done:
                done = True
                if timer is not None:
                    self.cancel(timer)
                then(not reason or self.policy == "serve")

        record = Intent(request, *self._now(), attempt, cut(worker), cut(address))
        if not self.committer.submit([record], told):
            told("too many records wait")
        elif self.later is not None:
            timer = self.later(self.wait_s, lambda: told("the disk is slow"))

    def last_byte(self, request: str, attempt: int) -> None:
        self._note(LastByte(request, *self._now(), attempt))

    def unsent(self, request: str, attempt: int, why: str) -> None:
        self._note(Unsent(request, *self._now(), attempt, why))

    def given_up(self, request: str, attempt: int, why: str) -> None:
        self._note(GivenUp(request, *self._now(), attempt, why))

    def outcome(self, request: str, attempt: int, result: str) -> None:
        self._note(Outcome(request, *self._now(), attempt, result))

    def answered(self, request: str, kind: str) -> None:
        self._note(Answered(request, *self._now(), kind))

    def _note(self, record: Any) -> None:
        """What does not fit the queue is counted as a gap there."""
        self.committer.submit([record])

    def figures(self) -> dict[str, int]:
        """Syncs and records since the start, records that wait, records that a gap will tell of."""
        made = self.committer
        return {
            "syncs": made.syncs,
            "records": made.written,
            "waiting": made.count,
            "lost": made.lost,
            "failing": int(bool(made.failing)),
        }

    def close(self) -> bool:
        """Write what waits; whether all of it is on disk."""
        if self.thinning is not None:
            self.thinning.stop()
        return self.committer.stop() and not self.committer.lost
