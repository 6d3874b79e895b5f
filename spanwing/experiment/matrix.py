"""The plan of an experiment and its cells; which of them are still to be played.

Guarantees: a cell is named by a digest of everything that its row depends on: the scenario's text, the
changes, the seed and the build's own source; so a killed run goes on where it was, and rows of two builds
never mix. A row is written whole at once.
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

from spanwing.experiment.cell import changed
from spanwing.faults import ConfigError, Faults
from spanwing.world.scenario import LIBRARY, load

ROOT = Path(__file__).parent.parent.parent
DECISIONS = ("choice.py", "state.py", "interface.py")
HERE = "here"
MOST_CELLS = 100_000
CELL_S = 3600.0


class Plan(msgspec.Struct, forbid_unknown_fields=True):
    """The file as it is written."""

    name: Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_-]{1,60}$")]
    scenarios: Annotated[list[str], msgspec.Meta(min_length=1)]
    seeds: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 10
    first_seed: Annotated[int, msgspec.Meta(ge=0)] = 1
    variants: dict[str, dict[str, Any]] = {}  # by name: changes of the scenario
    #: `here`, or revisions or other checkouts' folders, whose decision modules are played in this model
    builds: list[str] = msgspec.field(default_factory=lambda: [HERE])


class Build(NamedTuple):
    """A decision module in a folder of its own."""

    name: str
    digest: str
    folder: Path


class Cell(NamedTuple):
    scenario: str
    variant: str
    build: str
    seed: int
    digest: str
    order: bytes
    folder: Path


def read_plan(path: Path) -> Plan:
    """Raises ConfigError in one line."""
    try:
        return msgspec.convert(tomllib.loads(path.read_text()), Plan)
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from None


def source_digest(folder: Path) -> str:
    """Of all source that a row can depend on."""
    digest = hashlib.blake2b(digest_size=10)
    for name in ("spanwing", "spanwing/world", "spanwing/experiment"):
        for each in sorted((folder / name).glob("*.py")):
            digest.update(f"{name}/{each.name}\0".encode() + each.read_bytes())
    return digest.hexdigest()


def build(name: str, into: Path) -> Build:
    """This source, or this model with another revision's or folder's decisions. Raises ConfigError."""
    if name == HERE:
        return Build(name, source_digest(ROOT), ROOT)
    folder = into / hashlib.blake2b(name.encode(), digest_size=6).hexdigest()
    for part in ("spanwing", "spanwing/world", "spanwing/experiment"):
        (folder / part).mkdir(parents=True, exist_ok=True)
        for each in (ROOT / part).glob("*.py"):
            (folder / part / each.name).write_bytes(each.read_bytes())
    for each in DECISIONS:
        if Path(name).is_dir():
            try:
                (folder / "spanwing" / each).write_bytes((Path(name) / "spanwing" / each).read_bytes())
            except OSError as error:
                raise ConfigError(f"builds: {name}: {each}: {error.strerror}") from None
            continue
        done = subprocess.run(["git", "show", f"{name}:spanwing/{each}"], cwd=ROOT, capture_output=True)
        if done.returncode:
            fault = done.stderr.decode(errors="replace").strip().splitlines()[-1:]
            raise ConfigError(f"builds: {name}: {''.join(fault)}")
        (folder / "spanwing" / each).write_bytes(done.stdout)
    return Build(name, source_digest(folder), folder)


def cells(plan: Plan, into: Path) -> Iterator[Cell]:
    """All of them, checked. Raises ConfigError."""
    builds = [build(each, into) for each in plan.builds]
    variants = plan.variants or {"as it is": {}}
    if len(plan.scenarios) * len(variants) * len(builds) * plan.seeds > MOST_CELLS:
        raise ConfigError(f"seeds: more than {MOST_CELLS} cells")
    for name in plan.scenarios:
        scenario = load(name, Faults())
        ready = LIBRARY / f"{name}.toml"
        text = (ready if ready.is_file() else Path(name)).read_text()
        for variant, changes in variants.items():
            try:
                changed(scenario, changes)
            except (ConfigError, msgspec.ValidationError) as error:
                raise ConfigError(f"variants.{variant}: {name}: {error}") from None
            for each in builds:
                for seed in range(plan.first_seed, plan.first_seed + plan.seeds):
                    order = msgspec.json.encode(
                        {"scenario": text, "changes": changes, "seed": seed}, order="sorted"
                    )
                    digest = hashlib.blake2b(order + each.digest.encode(), digest_size=12).hexdigest()
                    yield Cell(scenario.name, variant, each.name, seed, digest, order, each.folder)


def play(cell: Cell) -> dict[str, Any]:
    """In a process of the cell's build. Raises RuntimeError with its last line."""
    done = subprocess.run(
        [sys.executable, "-m", "spanwing.experiment.cell"],
        cwd=cell.folder,
        input=cell.order,
        capture_output=True,
        timeout=CELL_S,
        env={**os.environ, "PYTHONPATH": str(cell.folder), "OMP_NUM_THREADS": "1"},
    )
    if done.returncode:
        said = done.stderr.decode(errors="replace").strip().splitlines()
        raise RuntimeError(f"{cell.scenario}, {cell.variant}, {cell.build}, seed {cell.seed}: {said[-1:]}")
    return json.loads(done.stdout)


def run(plan: Plan, folder: Path, lanes: int, told: Callable[[int, int], None]) -> list[dict[str, Any]]:
    """Play what is not there yet; all rows in the matrix's order. told: cells there, of how many."""
    kept = folder / "cells"
    kept.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as into:
        wanted = list(cells(plan, Path(into)))
        missing = [each for each in wanted if not (kept / f"{each.digest}.json").is_file()]
        there = len(wanted) - len(missing)
        told(there, len(wanted))
        with ThreadPoolExecutor(lanes) as pool:
            running = {pool.submit(play, each): each for each in missing}
            try:
                for done in as_completed(running):
                    _keep(kept, running[done], done.result())
                    there += 1
                    told(there, len(wanted))
            except BaseException:
                for each in running:
                    each.cancel()
                raise
    return [json.loads((kept / f"{each.digest}.json").read_text()) for each in wanted]


def _keep(folder: Path, cell: Cell, found: dict[str, Any]) -> None:
    row = {
        "scenario": cell.scenario,
        "variant": cell.variant,
        "build": cell.build,
        "seed": cell.seed,
        **found,
    }
    part = folder / f"{cell.digest}.part"
    part.write_text(json.dumps(row))
    part.replace(folder / f"{cell.digest}.json")
