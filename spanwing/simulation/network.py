"""Models the network between zones: how long a message takes, and whether it arrives.

Does no I/O. The base delay of each pair of zones is drawn once from the seed, and each message multiplies it
by a jitter factor of its own. A partition between two zones loses their messages in both directions.
"""

from __future__ import annotations

from typing import NamedTuple

import numpy as np

from spanwing.simulation.random_streams import RandomStreams


class NetworkDelays(NamedTuple):
    """Lower and upper bounds of the one-way base delays, in ms, and the variation of single messages."""

    same_zone_ms: tuple[float, float] = (0.1, 0.34)
    cross_zone_ms: tuple[float, float] = (0.48, 0.9)
    client_ms: tuple[float, float] = (0.23, 1.2)  # between clients and any zone
    jitter_cv: float = 0.18  # coefficient of variation


class NetworkModel:
    """Computes message delays between zones. Clients are addressed as the zone ""."""

    def __init__(self, delays: NetworkDelays, streams: RandomStreams) -> None:
        self.delays, self.streams = delays, streams
        self.base_delays_ms: dict[tuple[str, str], float] = {}
        self.partitioned_pairs: set[frozenset[str]] = set()
        self.jitter_stream = streams.stream("network", "jitter")
        self.buffered_jitter: list[float] = []

    def base_delay_ms(self, zone: str, other_zone: str) -> float:
        """Returns the base delay of a pair of zones, in ms."""
        pair = (min(zone, other_zone), max(zone, other_zone))
        if pair not in self.base_delays_ms:
            field = "client_ms" if "" in pair else "same_zone_ms" if zone == other_zone else "cross_zone_ms"
            minimum, maximum = getattr(self.delays, field)
            self.base_delays_ms[pair] = float(self.streams.stream("network", *pair).uniform(minimum, maximum))
        return self.base_delays_ms[pair]

    def message_delay_ms(self, zone: str, other_zone: str) -> float | None:
        """Returns the one-way delay of one message, in ms, or None if it is lost."""
        if self.partitioned_pairs and frozenset((zone, other_zone)) in self.partitioned_pairs:
            return None
        return self.base_delay_ms(zone, other_zone) * self._jitter_factor()

    def _jitter_factor(self) -> float:
        """Returns a lognormal factor of mean 1.

        Factors are drawn 1000 at a time: single draws would cost more than the rest of the simulation.
        """
        if self.delays.jitter_cv <= 0:
            return 1.0
        if not self.buffered_jitter:
            sigma = float(np.sqrt(np.log1p(self.delays.jitter_cv**2)))
            self.buffered_jitter = self.jitter_stream.lognormal(-sigma * sigma / 2, sigma, 1000).tolist()
        return self.buffered_jitter.pop()

    def partition(self, zone: str, other_zone: str) -> None:
        """Starts a partition: messages between the two zones are lost until heal_partition()."""
        self.partitioned_pairs.add(frozenset((zone, other_zone)))

    def heal_partition(self, zone: str, other_zone: str) -> None:
        """Ends the partition between the two zones."""
        self.partitioned_pairs.discard(frozenset((zone, other_zone)))
