"""The number by which the decisions know a job worker."""

from __future__ import annotations

import hashlib


def worker_id_of(name: str) -> int:
    """The module's number for a job worker: the same at every scheduler."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=6).digest(), "big")
