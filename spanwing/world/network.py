"""The network between sites: how long a message takes, and whether it arrives.

Guarantees: pure; each pair of places has one figure drawn once from the seed, and each message its own jitter
around it; messages between two sites that a partition separates do not arrive, in either direction.
"""

from __future__ import annotations

from typing import NamedTuple

import numpy as np

from spanwing.world.streams import Streams


class Delays(NamedTuple):
    """One way, in ms: least and most of the pair's own figure, and the jitter's coefficient of variation."""

    same: tuple[float, float] = (0.1, 0.34)
    cross: tuple[float, float] = (0.48, 0.9)
    client: tuple[float, float] = (0.23, 1.2)
    jitter: float = 0.18


class Network:
    """Places are named by their zone; the clients' side is the zone "" of its own."""

    def __init__(self, delays: Delays, streams: Streams) -> None:
        self.delays, self.streams = delays, streams
        self.base: dict[tuple[str, str], float] = {}
        self.cut: set[frozenset[str]] = set()
        self.jitter = streams.of("network", "jitter")
        self.drawn: list[float] = []

    def between(self, one: str, other: str) -> float:
        """The pair's own figure, in ms."""
        pair = (min(one, other), max(one, other))
        if pair not in self.base:
            kind = "client" if "" in pair else "same" if one == other else "cross"
            least, most = getattr(self.delays, kind)
            self.base[pair] = float(self.streams.of("network", *pair).uniform(least, most))
        return self.base[pair]

    def delay(self, one: str, other: str) -> float | None:
        """How long one message takes, in ms; None: it does not arrive."""
        if self.cut and frozenset((one, other)) in self.cut:
            return None
        return self.between(one, other) * self._noise()

    def _noise(self) -> float:
        """Lognormal of mean 1; drawn by the thousand, as one by one costs more than all the rest."""
        if self.delays.jitter <= 0:
            return 1.0
        if not self.drawn:
            sigma = float(np.sqrt(np.log1p(self.delays.jitter**2)))
            self.drawn = self.jitter.lognormal(-sigma * sigma / 2, sigma, 1000).tolist()
        return self.drawn.pop()

    def part(self, one: str, other: str) -> None:
        self.cut.add(frozenset((one, other)))

    def heal(self, one: str, other: str) -> None:
        self.cut.discard(frozenset((one, other)))
