"""The network between sites: how long a message takes, and whether it arrives.

Guarantees: pure; each pair of places has one figure drawn once from the seed, and each message its own jitter
around it; messages between two sites that a partition separates do not arrive, in either direction.
"""

from __future__ import annotations

from typing import NamedTuple

import numpy as np

from spanwing.simulation.random_streams import RandomStreams


class NetworkDelays(NamedTuple):
    """One way, in ms: least and most of the pair's own figure, and the jitter's coefficient of variation."""

    same: tuple[float, float] = (0.1, 0.34)
    cross: tuple[float, float] = (0.48, 0.9)
    client: tuple[float, float] = (0.23, 1.2)
    jitter_cv: float = 0.18


class NetworkModel:
    """Places are named by their zone; the clients' side is the zone "" of its own."""

    def __init__(self, delays: NetworkDelays, streams: RandomStreams) -> None:
        self.delays, self.streams = delays, streams
        self.base_delays_ms: dict[tuple[str, str], float] = {}
        self.partitioned_pairs: set[frozenset[str]] = set()
        self.jitter_stream = streams.stream("network", "jitter")
        self.buffered_jitter: list[float] = []

    def base_delay_ms(self, zone: str, other_zone: str) -> float:
        """The pair's own figure, in ms."""
        pair = (min(zone, other_zone), max(zone, other_zone))
        if pair not in self.base_delays_ms:
            kind = "client" if "" in pair else "same" if zone == other_zone else "cross"
            minimum, maximum = getattr(self.delays, kind)
            self.base_delays_ms[pair] = float(self.streams.stream("network", *pair).uniform(minimum, maximum))
        return self.base_delays_ms[pair]

    def message_delay_ms(self, zone: str, other_zone: str) -> float | None:
        """How long one message takes, in ms; None: it does not arrive."""
        if self.partitioned_pairs and frozenset((zone, other_zone)) in self.partitioned_pairs:
            return None
        return self.base_delay_ms(zone, other_zone) * self._jitter_factor()

    def _jitter_factor(self) -> float:
        """Lognormal of mean 1; drawn by the thousand, as one by one costs more than all the rest."""
        if self.delays.jitter_cv <= 0:
            return 1.0
        if not self.buffered_jitter:
            sigma = float(np.sqrt(np.log1p(self.delays.jitter_cv**2)))
            self.buffered_jitter = self.jitter_stream.lognormal(-sigma * sigma / 2, sigma, 1000).tolist()
        return self.buffered_jitter.pop()

    def partition(self, zone: str, other_zone: str) -> None:
        self.partitioned_pairs.add(frozenset((zone, other_zone)))

    def heal_partition(self, zone: str, other_zone: str) -> None:
        self.partitioned_pairs.discard(frozenset((zone, other_zone)))
