"""Expands the plan of an experiment into cells, and runs those that have no stored row yet.

A cell is identified by a digest of the scenario's text, the changes, the seed and the modules of spanwing,
spanwing.simulation and spanwing.experiment in the build (see source_digest()). An interrupted experiment
therefore continues where it stopped, and builds that differ in these modules have separate rows. Other
packages and Python itself are not part of the digest: if only they change, a stored row is used again.

A row is written to a temporary file that is then renamed, so it is complete or absent. Bounds: MAX_CELLS
cells, and CELL_TIMEOUT_S for each.
"""

from __future__ import annotations

import hashlib
import json
import os
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor, as_completed
from pathlib import Path
from typing import Annotated, Any, NamedTuple

import msgspec

from spanwing.config_errors import ConfigurationError, ErrorCollector
from spanwing.experiment.cell import apply_changes
from spanwing.simulation.scenario import SCENARIO_LIBRARY, load_scenario

REPOSITORY_ROOT = Path(__file__).parent.parent.parent
#: The files that a build takes from its revision or folder; the rest is the current source.
DECISION_FILES = ("scheduler.py", "scheduler_state.py", "interface.py")
CURRENT_BUILD = "here"
MAX_CELLS = 100_000
CELL_TIMEOUT_S = 3600.0


class ExperimentPlan(msgspec.Struct, forbid_unknown_fields=True):
    """The content of an experiment file."""

    name: Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_-]{1,60}$")]
    scenarios: Annotated[list[str], msgspec.Meta(min_length=1)]
    seeds: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 10
    first_seed: Annotated[int, msgspec.Meta(ge=0)] = 1
    variants: dict[str, dict[str, Any]] = {}  # changes of the scenario by variant name
    #: `here`, or git revisions or folders of other checkouts, whose decision modules run in this simulation.
    builds: list[str] = msgspec.field(default_factory=lambda: [CURRENT_BUILD])


class DecisionBuild(NamedTuple):
    """The source code with one decision module, in a folder of its own."""

    name: str
    digest: str  # of the source code
    folder: Path


class ExperimentCell(NamedTuple):
    """One cell, with its encoded CellSpec and the folder of its build."""

    scenario: str
    variant: str
    build: str
    seed: int
    digest: str
    encoded_spec: bytes
    folder: Path


def read_plan(path: Path) -> ExperimentPlan:
    """Reads an experiment file. Raises ConfigurationError, with a message of one line, if it is not valid."""
    try:
        return msgspec.convert(tomllib.loads(path.read_text()), ExperimentPlan)
    except (OSError, ValueError) as error:
        raise ConfigurationError(f"{path}: {error}") from None


def source_digest(folder: Path) -> str:
    """Computes a digest of the modules of spanwing, spanwing.simulation and spanwing.experiment."""
    digest = hashlib.blake2b(digest_size=10)
    for name in ("spanwing", "spanwing/simulation", "spanwing/experiment"):
        for each in sorted((folder / name).glob("*.py")):
            digest.update(f"{name}/{each.name}\0".encode() + each.read_bytes())
    return digest.hexdigest()


def prepare_build(name: str, builds_folder: Path) -> DecisionBuild:
    """Returns the current source, or a copy of it with the decision module of another revision or folder.

    The copy is made in `builds_folder`. Raises ConfigurationError if the decision module cannot be read.
    """
    if name == CURRENT_BUILD:
        return DecisionBuild(name, source_digest(REPOSITORY_ROOT), REPOSITORY_ROOT)
    folder = builds_folder / hashlib.blake2b(name.encode(), digest_size=6).hexdigest()
    for part in ("spanwing", "spanwing/simulation", "spanwing/experiment"):
        (folder / part).mkdir(parents=True, exist_ok=True)
        for each in (REPOSITORY_ROOT / part).glob("*.py"):
            (folder / part / each.name).write_bytes(each.read_bytes())
    for each in DECISION_FILES:
        if Path(name).is_dir():
            try:
                (folder / "spanwing" / each).write_bytes((Path(name) / "spanwing" / each).read_bytes())
            except OSError as error:
                raise ConfigurationError(f"builds: {name}: {each}: {error.strerror}") from None
            continue
        completed = subprocess.run(
            ["git", "show", f"{name}:spanwing/{each}"], cwd=REPOSITORY_ROOT, capture_output=True
        )
        if completed.returncode:
            error_lines = completed.stderr.decode(errors="replace").strip().splitlines()[-1:]
            raise ConfigurationError(f"builds: {name}: {''.join(error_lines)}")
        (folder / "spanwing" / each).write_bytes(completed.stdout)
    return DecisionBuild(name, source_digest(folder), folder)


def list_cells(plan: ExperimentPlan, builds_folder: Path) -> Iterator[ExperimentCell]:
    """Yields the cells of a plan. Raises ConfigurationError if a scenario, variant or build is not valid."""
    builds = [prepare_build(each, builds_folder) for each in plan.builds]
    variants = plan.variants or {"as it is": {}}
    if len(plan.scenarios) * len(variants) * len(builds) * plan.seeds > MAX_CELLS:
        raise ConfigurationError(f"seeds: more than {MAX_CELLS} cells")
    for name in plan.scenarios:
        scenario = load_scenario(name, ErrorCollector())
        library_file = SCENARIO_LIBRARY / f"{name}.toml"
        text = (library_file if library_file.is_file() else Path(name)).read_text()
        for variant, changes in variants.items():
            try:
                apply_changes(scenario, changes)
            except (ConfigurationError, msgspec.ValidationError) as error:
                raise ConfigurationError(f"variants.{variant}: {name}: {error}") from None
            for each in builds:
                for seed in range(plan.first_seed, plan.first_seed + plan.seeds):
                    spec = msgspec.json.encode(
                        {"scenario": text, "changes": changes, "seed": seed}, order="sorted"
                    )
                    digest = hashlib.blake2b(spec + each.digest.encode(), digest_size=12).hexdigest()
                    yield ExperimentCell(scenario.name, variant, each.name, seed, digest, spec, each.folder)


def run_cell(cell: ExperimentCell) -> dict[str, Any]:
    """Runs a cell in a process of its build.

    Raises RuntimeError with the last line of stderr if the process fails, and subprocess.TimeoutExpired
    after CELL_TIMEOUT_S.
    """
    completed = subprocess.run(
        [sys.executable, "-m", "spanwing.experiment.cell"],
        cwd=cell.folder,
        input=cell.encoded_spec,
        capture_output=True,
        timeout=CELL_TIMEOUT_S,
        env={**os.environ, "PYTHONPATH": str(cell.folder), "OMP_NUM_THREADS": "1"},
    )
    if completed.returncode:
        error_lines = completed.stderr.decode(errors="replace").strip().splitlines()
        raise RuntimeError(
            f"{cell.scenario}, {cell.variant}, {cell.build}, seed {cell.seed}: {error_lines[-1:]}"
        )
    return json.loads(completed.stdout)


def run_experiment(
    plan: ExperimentPlan, folder: Path, process_count: int, on_progress: Callable[[int, int], None]
) -> list[dict[str, Any]]:
    """Runs the cells that have no row yet; returns the rows of all cells in their order.

    `on_progress` is called with the number of cells that have a row, and the number of all cells.
    """
    cells_folder = folder / "cells"
    cells_folder.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as builds_folder:
        all_cells = list(list_cells(plan, Path(builds_folder)))
        cells_to_run = [each for each in all_cells if not (cells_folder / f"{each.digest}.json").is_file()]
        finished_count = len(all_cells) - len(cells_to_run)
        on_progress(finished_count, len(all_cells))
        with ThreadPoolExecutor(process_count) as pool:
            running = {pool.submit(run_cell, each): each for each in cells_to_run}
            try:
                for future in as_completed(running):
                    _write_row(cells_folder, running[future], future.result())
                    finished_count += 1
                    on_progress(finished_count, len(all_cells))
            except BaseException:
                for each in running:
                    each.cancel()
                raise
    return [json.loads((cells_folder / f"{each.digest}.json").read_text()) for each in all_cells]


def _write_row(folder: Path, cell: ExperimentCell, result: dict[str, Any]) -> None:
    """Writes the row of a cell to a file named by the cell's digest."""
    row = {
        "scenario": cell.scenario,
        "variant": cell.variant,
        "build": cell.build,
        "seed": cell.seed,
        **result,
    }
    partial_path = folder / f"{cell.digest}.part"
    partial_path.write_text(json.dumps(row))
    partial_path.replace(folder / f"{cell.digest}.json")
