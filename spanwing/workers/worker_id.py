"""The integer id by which the scheduler identifies a worker."""

from __future__ import annotations

import functools
import hashlib

MAX_CACHED_IDS = 8192  # more than twice the largest fleet


@functools.lru_cache(maxsize=MAX_CACHED_IDS)
def worker_id_of(name: str) -> int:
    """Returns the id of the worker of this name: 48 bits of its BLAKE2b hash, the same at every scheduler."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=6).digest(), "big")
