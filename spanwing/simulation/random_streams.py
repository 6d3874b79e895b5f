"""Named random number streams of one seed: draws from one stream do not affect the others.

The same seed and name give the same numbers, in any process and whatever the order in which streams are
created. Streams of different names are independent (numpy's SeedSequence, after M. E. O'Neill's seed_seq).
"""

from __future__ import annotations

import hashlib

import numpy as np


class RandomStreams:
    """Creates and holds the streams of one seed, a non-negative integer."""

    def __init__(self, seed: int) -> None:
        assert seed >= 0
        self.seed = seed
        self.generators: dict[tuple[str, ...], np.random.Generator] = {}

    def stream(self, *name: object) -> np.random.Generator:
        """Returns the stream of this name, created on first use. Name parts are compared as strings."""
        key = tuple(str(each) for each in name)
        if key not in self.generators:
            digest = hashlib.blake2b("\0".join(key).encode(), digest_size=16).digest()
            words = tuple(int.from_bytes(digest[at : at + 4], "big") for at in range(0, 16, 4))
            self.generators[key] = np.random.Generator(
                np.random.PCG64(np.random.SeedSequence(self.seed, spawn_key=words))
            )
        return self.generators[key]
