"""Peers that take much processor time wait, for longer the more of them there are."""

from __future__ import annotations

import unittest

from spanwing.resources.processor_share import (
    ALLOWANCE_S,
    MAX_WAIT_S,
    REFILL_PER_S,
    SHARED_PER_S,
    PeerTime,
    ProcessorShare,
)


class ProcessorShareTests(unittest.TestCase):
    def setUp(self) -> None:
        self.share, self.peer = ProcessorShare(), PeerTime()

    def test_a_peer_within_its_allowance_does_not_wait(self) -> None:
        for turn in range(100):
            self.assertEqual(self.share.charge(self.peer, 0.0001, turn * 0.01), 0.0)

    def test_a_peer_beyond_its_allowance_waits_until_the_share_has_paid_for_it(self) -> None:
        self.assertAlmostEqual(self.share.charge(self.peer, ALLOWANCE_S + 0.001, 0.0), 0.001 / SHARED_PER_S)
        self.assertAlmostEqual(self.share.charge(self.peer, 0.001, 0.0), 0.001 / SHARED_PER_S)

    def test_many_peers_divide_the_share(self) -> None:
        self.share.waiting_peers = 9
        self.assertAlmostEqual(
            self.share.charge(self.peer, ALLOWANCE_S + 0.001, 0.0), 10 * 0.001 / SHARED_PER_S
        )
        self.assertEqual(self.share.charge(PeerTime(), ALLOWANCE_S + 10.0, 0.0), MAX_WAIT_S)

    def test_an_allowance_is_earned_again(self) -> None:
        self.share.charge(self.peer, ALLOWANCE_S, 0.0)
        self.assertGreater(self.share.charge(self.peer, ALLOWANCE_S / 2, 0.0), 0.0)
        self.assertEqual(self.share.charge(self.peer, ALLOWANCE_S, ALLOWANCE_S / REFILL_PER_S), 0.0)
