"""Random number streams by name: one more draw from one stream does not move any other.

The same seed and name give the same numbers, in whatever order and process the streams are created. Streams
of different names are independent (numpy's SeedSequence, after M. E. O'Neill's seed_seq).
"""

from __future__ import annotations

import hashlib

import numpy as np


class RandomStreams:
    """Holds all streams of one seed."""

    def __init__(self, seed: int) -> None:
        assert seed >= 0
        self.seed = seed
        self.generators: dict[tuple[str, ...], np.random.Generator] = {}

    def stream(self, *name: object) -> np.random.Generator:
        """Returns the stream of this name; the first call creates it at its beginning."""
        key = tuple(str(each) for each in name)
        if key not in self.generators:
            digest = hashlib.blake2b("\0".join(key).encode(), digest_size=16).digest()
            words = tuple(int.from_bytes(digest[at : at + 4], "big") for at in range(0, 16, 4))
            self.generators[key] = np.random.Generator(
                np.random.PCG64(np.random.SeedSequence(self.seed, spawn_key=words))
            )
        return self.generators[key]
