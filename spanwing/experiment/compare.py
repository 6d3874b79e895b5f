"""Compares two columns of an experiment by a paired bootstrap over seeds.

Does no I/O. Only rows of the same scenario and seed are compared. The same rows give the same interval, as
the resampling has a fixed seed. The verdict is "no difference seen" if the percentile interval of the mean
difference contains zero (Efron and Tibshirani 1993), and "too few pairs" below MIN_PAIRS pairs.
"""

from __future__ import annotations

from typing import Any, NamedTuple

import numpy as np

RESAMPLE_COUNT, CONFIDENCE_LEVEL, MIN_PAIRS = 10_000, 0.95, 5


class FigureDifference(NamedTuple):
    """The difference of column B from column A in one figure, with its confidence interval."""

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
    rows: list[dict[str, Any]], column_a: dict[str, str], column_b: dict[str, str], figures: list[str]
) -> list[FigureDifference]:
    """Compares two columns in each of the figures.

    `column_a` and `column_b` are the keys and values that the rows of a column have in common, such as
    {"variant": "at once"}.
    """
    rows_by_pair = [
        {
            (row["scenario"], row["seed"]): row["row"]
            for row in rows
            if all(row[name] == value for name, value in column.items())
        }
        for column in (column_a, column_b)
    ]
    pairs = sorted(rows_by_pair[0].keys() & rows_by_pair[1].keys())
    return [
        compare_paired(
            figure,
            np.array([rows_by_pair[0][each][figure] for each in pairs], float),
            np.array([rows_by_pair[1][each][figure] for each in pairs], float),
        )
        for figure in figures
    ]


def compare_paired(figure: str, a: np.ndarray, b: np.ndarray) -> FigureDifference:
    """Computes the mean of the paired differences `b - a`, and its bootstrap interval."""
    if not len(a):
        return FigureDifference(figure, 0.0, 0.0, 0.0, 0.0, 0.0, 0)
    paired_differences = b - a
    random_generator = np.random.Generator(np.random.PCG64(1))
    resampled_means = paired_differences[
        random_generator.integers(len(paired_differences), size=(RESAMPLE_COUNT, len(paired_differences)))
    ].mean(axis=1)
    low, high = np.percentile(
        resampled_means, [50 * (1 - CONFIDENCE_LEVEL), 100 - 50 * (1 - CONFIDENCE_LEVEL)]
    )
    return FigureDifference(
        figure,
        float(a.mean()),
        float(b.mean()),
        float(paired_differences.mean()),
        float(low),
        float(high),
        len(paired_differences),
    )
