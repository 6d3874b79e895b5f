"""Renders an experiment as a self-contained HTML page, and as a Parquet file for other programs.

The page has a table with confidence intervals, and charts as inline SVG.
"""

from __future__ import annotations

import html
import io
from collections import defaultdict
from pathlib import Path
from typing import Any

import numpy as np

from spanwing.experiment.compare import compare_paired

SHOWN_FIGURES = ("goodput", "in_time", "late", "refused", "failed", "attempts", "wasted", "p50", "p99")
LATENCY_FIGURES = ("p50", "p99")
PAGE_STYLE = """body{font:15px/1.5 system-ui,sans-serif;margin:2em auto;max-width:70em;\
padding:0 1em;color:#222}
table{border-collapse:collapse;margin:1em 0}
td,th{border-bottom:1px solid #ddd;padding:.3em .8em;text-align:right}
td:first-child,th:first-child{text-align:left}svg{max-width:100%;height:auto}h2{margin-top:2em}"""

Rows = list[dict[str, Any]]


def group_rows(rows: Rows) -> dict[str, dict[str, Rows]]:
    """Groups rows by scenario, then by column: the variant, with the build if there are several."""
    builds = {row["build"] for row in rows}
    grouped_rows: dict[str, dict[str, Rows]] = defaultdict(lambda: defaultdict(list))
    for row in rows:
        column = row["variant"] if len(builds) == 1 else f"{row['variant']}, {row['build']}"
        grouped_rows[row["scenario"]][column].append(row)
    return grouped_rows


def mean_and_interval(values: list[float]) -> tuple[float, float, float]:
    """Returns the mean of the values and its bootstrap interval."""
    difference = compare_paired("", np.zeros(len(values)), np.array(values, float))
    return difference.mean_difference, difference.interval_low, difference.interval_high


def write_parquet(rows: Rows, path: Path) -> None:
    """Writes a Parquet file of one row for each cell, with all figures as columns."""
    import pyarrow as pa
    import pyarrow.parquet as pq

    flat_rows = [
        {name: row[name] for name in ("scenario", "variant", "build", "seed")} | row["row"] for row in rows
    ]
    names = list(dict.fromkeys(name for each in flat_rows for name in each))
    pq.write_table(pa.table({name: [each.get(name) for each in flat_rows] for name in names}), path)


def render_page(name: str, rows: Rows) -> str:
    """Renders the HTML page of an experiment."""
    parts = [
        f"<!doctype html><meta charset=utf-8><title>{html.escape(name)}</title><style>{PAGE_STYLE}</style>",
        f"<h1>{html.escape(name)}</h1>",
    ]
    for scenario, columns in group_rows(rows).items():
        seeds = max(len(each) for each in columns.values())
        parts += [
            f"<h2>{html.escape(scenario)}</h2>",
            f"<p>{seeds} seeds; means with 95% intervals.</p>",
            render_table(columns),
            outcome_chart(columns),
            latency_chart(columns),
            time_chart(columns),
        ]
    return "\n".join(parts)


def render_table(columns: dict[str, Rows]) -> str:
    """Renders the HTML table of figures, with a mean and its interval for each column."""
    head = "".join(f"<th>{html.escape(each)}</th>" for each in columns)
    lines = [f"<table><tr><th>figure</th>{head}</tr>"]
    first = next(iter(columns.values()))[0]["row"]
    keys = [*SHOWN_FIGURES, *sorted(key for key in first if key.endswith(".goodput"))]
    for key in keys:
        cells = []
        for rows in columns.values():
            mean, low, high = mean_and_interval([row["row"].get(key, 0.0) for row in rows])
            digits = 0 if key in LATENCY_FIGURES else 3
            cells.append(f"<td>{mean:.{digits}f} <small>({low:.{digits}f} to {high:.{digits}f})</small></td>")
        lines.append(
            f"<tr><td>{html.escape(key)}{', ms' if key in LATENCY_FIGURES else ''}</td>{''.join(cells)}</tr>"
        )
    return "".join(lines) + "</table>"


def _render_svg(width: float, height: float, draw) -> str:
    """Renders as SVG what `draw` draws on a matplotlib figure of this size in inches."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib.figure import Figure

    figure = Figure((width, height), layout="constrained")
    draw(figure)
    out = io.StringIO()
    # With a fixed salt and no date the same rows give the same page.
    with matplotlib.rc_context({"svg.hashsalt": "spanwing"}):
        figure.savefig(out, format="svg", metadata={"Date": None})
    return out.getvalue().partition("<svg")[1] + out.getvalue().partition("<svg")[2]


def outcome_chart(columns: dict[str, Rows]) -> str:
    """Charts the shares of requests by outcome, and goodput by class and tenant."""
    names = list(columns)

    def draw(figure) -> None:
        left, right = figure.subplots(1, 2)
        bar_starts = np.zeros(len(names))
        for outcome in ("in_time", "late", "refused", "failed", "left", "lost"):
            shares = np.array([np.mean([row["row"][outcome] for row in columns[each]]) for each in names])
            left.barh(names, shares, left=bar_starts, label=outcome)
            bar_starts += shares
        left.legend(fontsize=8, ncols=3)
        left.set(title="requests by outcome", xlim=(0, 1))
        keys = sorted(key for key in columns[names[0]][0]["row"] if key.endswith(".goodput"))
        bar_height = 0.8 / len(names)
        for index, each in enumerate(names):
            means = [np.mean([row["row"].get(key, 0.0) for row in columns[each]]) for key in keys]
            right.barh(np.arange(len(keys)) + index * bar_height, means, bar_height, label=each)
        labels = [key.removesuffix(".goodput") for key in keys]
        right.set_yticks(np.arange(len(keys)) + 0.4 - bar_height / 2, labels)
        right.set(title="goodput by class and brand", xlim=(0, 1))
        right.legend(fontsize=8)

    return _render_svg(11, 2.5 + 0.4 * len(names), draw)


def latency_chart(columns: dict[str, Rows]) -> str:
    """Charts the latency percentiles of served requests by class, in ms."""
    first = next(iter(columns.values()))[0]["row"]
    classes = sorted(key.removesuffix(".p50") for key in first if key.endswith(".p50") and key != "p50")

    def draw(figure) -> None:
        axes = np.atleast_1d(figure.subplots(1, len(classes), sharey=True))
        for axis, class_name in zip(axes, classes, strict=True):
            for name, rows in columns.items():
                means = [
                    np.mean([row["row"][f"{class_name}.p{each}"] for row in rows]) for each in (50, 95, 99)
                ]
                axis.plot(["50", "95", "99"], means, marker="o", label=name)
            axis.set(title=class_name, yscale="log", xlabel="percentile")
        axes[0].set_ylabel("latency in ms")
        axes[0].legend(fontsize=8)

    return _render_svg(11, 3, draw)


def time_chart(columns: dict[str, Rows]) -> str:
    """Charts the shares of late and rejected requests by second of arrival, and the jobs at workers.

    Seconds with faults are shaded.
    """

    def draw(figure) -> None:
        axes = figure.subplots(3, 1, sharex=True)
        for name, rows in columns.items():
            offered = np.sum([row["series"]["offered"] for row in rows], axis=0)
            for axis, key in zip(axes[:2], ("late", "refused"), strict=True):
                counts = np.sum([row["series"][key] for row in rows], axis=0)
                axis.plot(counts / np.maximum(1, offered), label=name)
            axes[2].plot(np.mean([row["series"]["at_workers"] for row in rows], axis=0), label=name)
            axes[2].plot(np.mean([row["series"]["at_fullest"] for row in rows], axis=0), linestyle=":")
        for fault_kind, begin_s, end_s in next(iter(columns.values()))[0]["troubles"]:
            for axis in axes:
                axis.axvspan(begin_s, end_s, alpha=0.12, color="tab:red")
            axes[0].text(begin_s, axes[0].get_ylim()[1], fault_kind, fontsize=8, va="top")
        titles = ("late", "refused", "jobs at workers (dotted: at the fullest worker)")
        for axis, title in zip(axes, titles, strict=True):
            axis.set_ylabel(title, fontsize=8)
        axes[0].legend(fontsize=8)
        axes[2].set_xlabel("time in s")

    return _render_svg(11, 5.5, draw)
