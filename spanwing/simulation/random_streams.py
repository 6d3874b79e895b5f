"""Randomness by name: each user of it has a stream of its own: one more draw here moves nothing there.

Guarantees: the same seed and name give the same numbers, in whatever order and process streams are asked for;
streams of different names are independent (numpy's SeedSequence, after M. E. O'Neill's seed_seq).
"""

from __future__ import annotations

import hashlib

import numpy as np


class RandomStreams:
    """All streams of one seed."""

    def __init__(self, seed: int) -> None:
        assert seed >= 0
        self.seed = seed
        self.generators: dict[tuple[str, ...], np.random.Generator] = {}

    def stream(self, *name: object) -> np.random.Generator:
        """The stream of this name, from its beginning at the first call."""
        key = tuple(str(each) for each in name)
        if key not in self.generators:
            digest = hashlib.blake2b("\0".join(key).encode(), digest_size=16).digest()
            words = tuple(int.from_bytes(digest[at : at + 4], "big") for at in range(0, 16, 4))
            self.generators[key] = np.random.Generator(
                np.random.PCG64(np.random.SeedSequence(self.seed, spawn_key=words))
            )
        return self.generators[key]
