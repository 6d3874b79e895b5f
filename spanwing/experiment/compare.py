"""Whether two columns of an experiment differ: a paired bootstrap over seeds.

Guarantees: pure; only pairs of the same scenario and seed count; the same rows give the same interval (the
resampling has a seed of its own). "No difference seen" is said where the interval of the mean difference
holds zero, "too few pairs" below FEWEST (Efron and Tibshirani 1993, percentile intervals).
"""

from __future__ import annotations

from typing import Any, NamedTuple

import numpy as np

RESAMPLED, LEVEL, FEWEST = 10_000, 0.95, 5


class Difference(NamedTuple):
    """Of B against A in one figure."""

    figure: str
    a: float
    b: float
    mean: float
    low: float
    high: float
    pairs: int

    @property
    def verdict(self) -> str:
        if self.pairs < FEWEST:
            return "too few pairs"
        if self.low <= 0.0 <= self.high:
            return "no difference seen"
        return "higher" if self.mean > 0 else "lower"


def differences(
    rows: list[dict[str, Any]], a: dict[str, str], b: dict[str, str], figures: list[str]
) -> list[Difference]:
    """a and b: what the rows of each side have in common, as {"variant": "at once"}."""
    sides = [
        {
            (row["scenario"], row["seed"]): row["row"]
            for row in rows
            if all(row[name] == value for name, value in side.items())
        }
        for side in (a, b)
    ]
    pairs = sorted(sides[0].keys() & sides[1].keys())
    return [
        difference(
            figure,
            np.array([sides[0][each][figure] for each in pairs], float),
            np.array([sides[1][each][figure] for each in pairs], float),
        )
        for figure in figures
    ]


def difference(figure: str, a: np.ndarray, b: np.ndarray) -> Difference:
    """Of paired values."""
    if not len(a):
        return Difference(figure, 0.0, 0.0, 0.0, 0.0, 0.0, 0)
    gaps = b - a
    source = np.random.Generator(np.random.PCG64(1))
    means = gaps[source.integers(len(gaps), size=(RESAMPLED, len(gaps)))].mean(axis=1)
    low, high = np.percentile(means, [50 * (1 - LEVEL), 100 - 50 * (1 - LEVEL)])
    return Difference(
        figure, float(a.mean()), float(b.mean()), float(gaps.mean()), float(low), float(high), len(gaps)
    )
