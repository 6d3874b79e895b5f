"""The number by which the scheduler identifies a worker."""

from __future__ import annotations

import functools
import hashlib

MAX_CACHED_IDS = 8192  # twice the largest fleet and more


@functools.lru_cache(maxsize=MAX_CACHED_IDS)
def worker_id_of(name: str) -> int:
    """Returns the scheduler's number for a worker: 48 bits of BLAKE2b, equal at every scheduler."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=6).digest(), "big")
