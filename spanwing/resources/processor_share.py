"""Shares the processor time for parsing among peers by time spent, not by messages.

Each peer has a small allowance of its own. What it uses beyond that comes out of one share of the processor,
which is divided among all peers that wait for it. So many of them cost each other time, and not the peers
that stay within their allowance.
"""

from __future__ import annotations

from tornado.gen import sleep

ALLOWANCE_S = 0.0005  # processor time of one peer at once; an ordinary request takes a fifth of it
REFILL_PER_S = 0.1  # processor time that a peer earns each second, up to ALLOWANCE_S
SHARED_PER_S = 0.25  # processor time each second for all peers together that are beyond their allowance
MAX_WAIT_S = 1.0  # at once


class PeerTime:
    """The allowance of one peer. Times are loop times in seconds."""

    __slots__ = ("balance_s", "updated_s")

    def __init__(self) -> None:
        self.balance_s, self.updated_s = ALLOWANCE_S, 0.0


class ProcessorShare:
    """The share of the processor for peers that are beyond their allowance."""

    def __init__(self) -> None:
        self.waiting_peers = 0

    def charge(self, peer: PeerTime, spent_s: float, now_s: float) -> float:
        """Charges processor time to a peer; returns how long it has to wait before it may use more."""
        earned_s = (now_s - peer.updated_s) * REFILL_PER_S
        peer.balance_s = min(ALLOWANCE_S, peer.balance_s + earned_s) - spent_s
        peer.updated_s = now_s
        if peer.balance_s >= 0.0:
            return 0.0
        wait_s = -peer.balance_s * (self.waiting_peers + 1) / SHARED_PER_S
        peer.balance_s = 0.0
        return min(MAX_WAIT_S, wait_s)

    async def wait(self, wait_s: float) -> None:
        """Waits as charge() has told."""
        self.waiting_peers += 1
        try:
            await sleep(wait_s)
        finally:
            self.waiting_peers -= 1
