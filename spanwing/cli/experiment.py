"""`spanwing experiment`: a matrix of scenarios, variants, seeds and builds, played, shown and compared."""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any

import click

from spanwing.experiment.compare import differences
from spanwing.experiment.matrix import read_plan
from spanwing.experiment.matrix import run as play
from spanwing.experiment.score import COMPARED
from spanwing.faults import ConfigError

FAULTY = 1


class Closing(click.ClickException):
    exit_code = FAULTY


def rows_of(folder: Path) -> tuple[str, list[dict[str, Any]]]:
    try:
        found = json.loads((folder / "rows.json").read_text())
    except (OSError, ValueError) as error:
        raise Closing(f"{folder}: no finished experiment: {error}") from None
    return found["name"], found["rows"]


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
        wanted = read_plan(plan)
        bar = None

        def told(there: int, of: int) -> None:
            nonlocal bar
            if bar is None:
                bar = click.progressbar(length=of, label=wanted.name)
                bar.__enter__()
            bar.update(there - bar.pos)

        rows = play(wanted, out, lanes, told)
        if bar is not None:
            bar.__exit__(None, None, None)
    except (ConfigError, RuntimeError) as error:
        raise Closing(str(error)) from None
    part = out / "rows.part"
    part.write_text(json.dumps({"name": wanted.name, "rows": rows}))
    part.replace(out / "rows.json")
    click.echo(f"{len(rows)} cells in {out}; next: spanwing experiment report {out}")


@experiment.command()
@click.argument("folder", type=click.Path(path_type=Path))
def report(folder: Path) -> None:
    """Write report.html and rows.parquet into FOLDER."""
    from spanwing.experiment.report import page, parquet

    name, rows = rows_of(folder)
    (folder / "report.html").write_text(page(name, rows))
    parquet(rows, folder / "rows.parquet")
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
    type=click.Choice(sorted(COMPARED)),
    help="This one, and others so named [default: all].",
)
def compare(folder: Path, a: str, b: str, by: str, figures: tuple[str, ...]) -> None:
    """Say whether column B differs from column A, by a paired bootstrap over seeds."""
    _, rows = rows_of(folder)
    known = sorted({row[by] for row in rows})
    for each in (a, b):
        if each not in known:
            raise click.UsageError(f"{each!r} is no {by} here: {', '.join(known)}")
    if by == "scenario":  # pairs are of the same seed then
        rows = [{**row, "scenario": "", "was": row["scenario"]} for row in rows]
        by = "was"
    for each in differences(rows, {by: a}, {by: b}, list(figures or COMPARED)):
        click.echo(
            f"{each.figure:<9} {a} {each.a:.4g}, {b} {each.b:.4g}: {each.mean:+.4g} "
            f"({each.low:+.4g} to {each.high:+.4g}, {each.pairs} pairs): {each.verdict}"
        )
