"""Compares two columns of an experiment by a paired bootstrap over seeds.

Pure. Only pairs of the same scenario and seed count. The same rows give the same interval, as the
resampling has a seed of its own. The verdict is "no difference seen" where the interval of the mean
difference contains zero, and "too few pairs" below MIN_PAIRS (Efron and Tibshirani 1993, percentile
intervals).
"""

from __future__ import annotations

from typing import Any, NamedTuple

import numpy as np

RESAMPLE_COUNT, CONFIDENCE_LEVEL, MIN_PAIRS = 10_000, 0.95, 5


class FigureDifference(NamedTuple):
    """The difference of column B from column A in one figure."""

    figure: str
    mean_a: float
    mean_b: float
    mean_difference: float
    interval_low: float
    interval_high: float
    pair_count: int

    @property
    def verdict(self) -> str:
        """Either "higher" or "lower" (B against A), "no difference seen" or "too few pairs"."""
        if self.pair_count < MIN_PAIRS:
            return "too few pairs"
        if self.interval_low <= 0.0 <= self.interval_high:
            return "no difference seen"
        return "higher" if self.mean_difference > 0 else "lower"


def compare_columns(
    rows: list[dict[str, Any]], a: dict[str, str], b: dict[str, str], figures: list[str]
) -> list[FigureDifference]:
    """Compares two columns in each of the figures.

    `a` and `b` name what the rows of each column have in common, as {"variant": "at once"}.
    """
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
        compare_paired(
            figure,
            np.array([sides[0][each][figure] for each in pairs], float),
            np.array([sides[1][each][figure] for each in pairs], float),
        )
        for figure in figures
    ]


def compare_paired(figure: str, a: np.ndarray, b: np.ndarray) -> FigureDifference:
    """Computes the mean difference of paired values, and its bootstrap interval."""
    if not len(a):
        return FigureDifference(figure, 0.0, 0.0, 0.0, 0.0, 0.0, 0)
    paired_differences = b - a
    generator = np.random.Generator(np.random.PCG64(1))
    means = paired_differences[
        generator.integers(len(paired_differences), size=(RESAMPLE_COUNT, len(paired_differences)))
    ].mean(axis=1)
    low, high = np.percentile(means, [50 * (1 - CONFIDENCE_LEVEL), 100 - 50 * (1 - CONFIDENCE_LEVEL)])
    return FigureDifference(
        figure,
        float(a.mean()),
        float(b.mean()),
        float(paired_differences.mean()),
        float(low),
        float(high),
        len(paired_differences),
    )
