"""`spanwing experiment`: plays scenarios by variant, seed and build, reports on them and compares columns."""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any

import click

from spanwing.config_errors import ConfigurationError
from spanwing.experiment.compare import compare_columns
from spanwing.experiment.matrix import read_plan, run_experiment
from spanwing.experiment.score import COMPARABLE_FIGURES

EXIT_FAILURE = 1


class ExperimentCommandError(click.ClickException):
    """A failure of the command, printed in one line; the exit status is 1."""

    exit_code = EXIT_FAILURE


def read_rows(folder: Path) -> tuple[str, list[dict[str, Any]]]:
    """Returns the name and the rows of a finished experiment.

    Raises ExperimentCommandError if rows.json cannot be read.
    """
    try:
        stored = json.loads((folder / "rows.json").read_text())
    except (OSError, ValueError) as error:
        raise ExperimentCommandError(f"{folder}: the folder holds no finished experiment: {error}") from None
    return stored["name"], stored["rows"]


@click.group()
def experiment() -> None:
    """Ask the model what if: play a plan, look at it, compare two of its columns."""


@experiment.command()
@click.argument("plan", type=click.Path(path_type=Path))
@click.option(
    "--out",
    type=click.Path(path_type=Path, file_okay=False),
    required=True,
    help="A folder; cells that are there already are not played again.",
)
@click.option("--lanes", default=os.cpu_count() or 1, show_default="all cores")
def run(plan: Path, out: Path, lanes: int) -> None:
    """Play all cells of PLAN; killed, it goes on where it was.

    PLAN is TOML: name, scenarios (files or names of ready ones), seeds, variants (by name, changes as
    "load.level" = 0.8), builds (`here`, or revisions whose decisions are played).
    """
    try:
        experiment_plan = read_plan(plan)
        progress_bar = None

        def show_progress(finished_count: int, cell_count: int) -> None:
            nonlocal progress_bar
            if progress_bar is None:
                progress_bar = click.progressbar(length=cell_count, label=experiment_plan.name)
                progress_bar.__enter__()
            progress_bar.update(finished_count - progress_bar.pos)

        rows = run_experiment(experiment_plan, out, lanes, show_progress)
        if progress_bar is not None:
            progress_bar.__exit__(None, None, None)
    except (ConfigurationError, RuntimeError) as error:
        raise ExperimentCommandError(str(error)) from None
    partial_file = out / "rows.part"
    partial_file.write_text(json.dumps({"name": experiment_plan.name, "rows": rows}))
    partial_file.replace(out / "rows.json")
    click.echo(f"{len(rows)} cells in {out}; next: spanwing experiment report {out}")


@experiment.command()
@click.argument("folder", type=click.Path(path_type=Path))
def report(folder: Path) -> None:
    """Write report.html and rows.parquet into FOLDER."""
    from spanwing.experiment.report import render_page, write_parquet

    name, rows = read_rows(folder)
    (folder / "report.html").write_text(render_page(name, rows))
    write_parquet(rows, folder / "rows.parquet")
    click.echo(f"{folder / 'report.html'}, {folder / 'rows.parquet'}")


@experiment.command()
@click.argument("folder", type=click.Path(path_type=Path))
@click.argument("a")
@click.argument("b")
@click.option(
    "--by", type=click.Choice(["variant", "build", "scenario"]), default="variant", show_default=True
)
@click.option(
    "--figure",
    "figures",
    multiple=True,
    type=click.Choice(sorted(COMPARABLE_FIGURES)),
    help="This one, and others so named [default: all].",
)
def compare(folder: Path, a: str, b: str, by: str, figures: tuple[str, ...]) -> None:
    """Say whether column B differs from column A, by a paired bootstrap over seeds."""
    _, rows = read_rows(folder)
    known_columns = sorted({row[by] for row in rows})
    for each in (a, b):
        if each not in known_columns:
            raise click.UsageError(f"{each!r} is no {by} here: {', '.join(known_columns)}")
    if by == "scenario":  # pair rows by the seed alone, as their scenarios differ
        rows = [{**row, "scenario": "", "compared_scenario": row["scenario"]} for row in rows]
        by = "compared_scenario"
    for each in compare_columns(rows, {by: a}, {by: b}, list(figures or COMPARABLE_FIGURES)):
        click.echo(
            f"{each.figure:<9} {a} {each.mean_a:.4g}, {b} {each.mean_b:.4g}: {each.mean_difference:+.4g} "
            f"({each.interval_low:+.4g} to {each.interval_high:+.4g}, {each.pair_count} pairs): "
            f"{each.verdict}"
        )
