"""Renders an experiment as a self-contained page, and as Parquet for other programs.

The page has a table with intervals, and charts as inline SVG.
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
TIME_FIGURES = ("p50", "p99")
PAGE_STYLE = """body{font:15px/1.5 system-ui,sans-serif;margin:2em auto;max-width:70em;\
padding:0 1em;color:#222}
table{border-collapse:collapse;margin:1em 0}
td,th{border-bottom:1px solid #ddd;padding:.3em .8em;text-align:right}
td:first-child,th:first-child{text-align:left}svg{max-width:100%;height:auto}h2{margin-top:2em}"""

Rows = list[dict[str, Any]]


def group_rows(rows: Rows) -> dict[str, dict[str, Rows]]:
    """Groups rows by scenario, then by column: a variant, with its build where there are several."""
    builds = {row["build"] for row in rows}
    found: dict[str, dict[str, Rows]] = defaultdict(lambda: defaultdict(list))
    for row in rows:
        column = row["variant"] if len(builds) == 1 else f"{row['variant']}, {row['build']}"
        found[row["scenario"]][column].append(row)
    return found


def mean_and_interval(values: list[float]) -> tuple[float, float, float]:
    """Returns the mean over seeds and its bootstrap interval."""
    found = compare_paired("", np.zeros(len(values)), np.array(values, float))
    return found.mean_difference, found.interval_low, found.interval_high


def write_parquet(rows: Rows, out: Path) -> None:
    """Writes one row for each cell, with all figures as columns."""
    import pyarrow as pa
    import pyarrow.parquet as pq

    flat_rows = [
        {name: row[name] for name in ("scenario", "variant", "build", "seed")} | row["row"] for row in rows
    ]
    names = list(dict.fromkeys(name for each in flat_rows for name in each))
    pq.write_table(pa.table({name: [each.get(name) for each in flat_rows] for name in names}), out)


def render_page(name: str, rows: Rows) -> str:
    """Renders the complete HTML page."""
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
    """Renders the HTML table of figures: a mean and its interval for each column."""
    head = "".join(f"<th>{html.escape(each)}</th>" for each in columns)
    lines = [f"<table><tr><th>figure</th>{head}</tr>"]
    first = next(iter(columns.values()))[0]["row"]
    keys = [*SHOWN_FIGURES, *sorted(key for key in first if key.endswith(".goodput"))]
    for key in keys:
        cells = []
        for rows in columns.values():
            mean, low, high = mean_and_interval([row["row"].get(key, 0.0) for row in rows])
            digits = 0 if key in TIME_FIGURES else 3
            cells.append(f"<td>{mean:.{digits}f} <small>({low:.{digits}f} to {high:.{digits}f})</small></td>")
        lines.append(
            f"<tr><td>{html.escape(key)}{', ms' if key in TIME_FIGURES else ''}</td>{''.join(cells)}</tr>"
        )
    return "".join(lines) + "</table>"


def _render_svg(width: float, height: float, draw) -> str:
    """Renders as SVG what `draw` puts on the figure; the size is in inches."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib.figure import Figure

    figure = Figure((width, height), layout="constrained")
    draw(figure)
    out = io.StringIO()
    with matplotlib.rc_context({"svg.hashsalt": "spanwing"}):  # the same rows give the same page
        figure.savefig(out, format="svg", metadata={"Date": None})
    return out.getvalue().partition("<svg")[1] + out.getvalue().partition("<svg")[2]


def outcome_chart(columns: dict[str, Rows]) -> str:
    """Charts the outcomes of requests, and goodput by class and tenant."""
    names = list(columns)

    def draw(figure) -> None:
        left, right = figure.subplots(1, 2)
        base = np.zeros(len(names))
        for fate in ("in_time", "late", "refused", "failed", "left", "lost"):
            shares = np.array([np.mean([row["row"][fate] for row in columns[each]]) for each in names])
            left.barh(names, shares, left=base, label=fate)
            base += shares
        left.legend(fontsize=8, ncols=3)
        left.set(title="what became of requests", xlim=(0, 1))
        keys = sorted(key for key in columns[names[0]][0]["row"] if key.endswith(".goodput"))
        high = 0.8 / len(names)
        for place, each in enumerate(names):
            means = [np.mean([row["row"].get(key, 0.0) for row in columns[each]]) for key in keys]
            right.barh(np.arange(len(keys)) + place * high, means, high, label=each)
        labels = [key.removesuffix(".goodput") for key in keys]
        right.set_yticks(np.arange(len(keys)) + 0.4 - high / 2, labels)
        right.set(title="goodput by class and brand", xlim=(0, 1))
        right.legend(fontsize=8)

    return _render_svg(11, 2.5 + 0.4 * len(names), draw)


def latency_chart(columns: dict[str, Rows]) -> str:
    """Charts latency percentiles of served requests, in ms, by class."""
    first = next(iter(columns.values()))[0]["row"]
    classes = sorted(key.removesuffix(".p50") for key in first if key.endswith(".p50") and key != "p50")

    def draw(figure) -> None:
        axes = np.atleast_1d(figure.subplots(1, len(classes), sharey=True))
        for axis, cls in zip(axes, classes, strict=True):
            for name, rows in columns.items():
                means = [np.mean([row["row"][f"{cls}.p{each}"] for row in rows]) for each in (50, 95, 99)]
                axis.plot(["50", "95", "99"], means, marker="o", label=name)
            axis.set(title=cls, yscale="log", xlabel="percentile")
        axes[0].set_ylabel("ms until the answer")
        axes[0].legend(fontsize=8)

    return _render_svg(11, 3, draw)


def time_chart(columns: dict[str, Rows]) -> str:
    """Charts shares of late and rejected requests by second of arrival, and jobs at workers.

    Faults are shaded.
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
        for what, begin, end in next(iter(columns.values()))[0]["troubles"]:
            for axis in axes:
                axis.axvspan(begin, end, alpha=0.12, color="tab:red")
            axes[0].text(begin, axes[0].get_ylim()[1], what, fontsize=8, va="top")
        titles = ("late", "refused", "jobs at workers (dotted: at the fullest)")
        for axis, title in zip(axes, titles, strict=True):
            axis.set_ylabel(title, fontsize=8)
        axes[0].legend(fontsize=8)
        axes[2].set_xlabel("seconds")

    return _render_svg(11, 5.5, draw)
