"""Plays each recording under tests/exchanges against the daemon."""

from __future__ import annotations

import unittest
from pathlib import Path

from player import Player


class Exchanges(unittest.TestCase):
    """Has one test per recording, named after its file."""


def _make_test(path: Path):
    """Returns a test method that plays the recording."""
    return lambda self: Player(path).play()


for recording in sorted((Path(__file__).parent / "exchanges").glob("*.txt")):
    setattr(Exchanges, f"test_{recording.stem}", _make_test(recording))

if __name__ == "__main__":
    unittest.main()
