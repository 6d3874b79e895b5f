"""Each recording under tests/exchanges, played against the daemon."""

from __future__ import annotations

import unittest
from pathlib import Path

from player import Player


class Exchanges(unittest.TestCase):
    """One test for each recording."""


def _test(path: Path):
    return lambda self: Player(path).play()


for recording in sorted((Path(__file__).parent / "exchanges").glob("*.txt")):
    setattr(Exchanges, f"test_{recording.stem}", _test(recording))

if __name__ == "__main__":
    unittest.main()
