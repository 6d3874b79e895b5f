"""Runs one cell of an experiment: a scenario, a variant and a seed, with the code of this process.

    python -m spanwing.experiment.cell < cell.json > row.json

The same CellSpec and build give the same result, except for `decision_us`, which is measured.
"""

from __future__ import annotations

import sys
from typing import Any

import msgspec

from spanwing.config_errors import ErrorCollector
from spanwing.experiment.score import OutcomeTally
from spanwing.simulation.fault_injection import FaultInjector
from spanwing.simulation.fleet import FleetPlan, FleetSimulation
from spanwing.simulation.scenario import Scenario, parse_scenario


class CellSpec(msgspec.Struct):
    """Describes the cell to run.

    `changes` are the variant's values by their path in the scenario, such as `load.level` or
    `workers[0].count`.
    """

    scenario: str  # text of the scenario file
    changes: dict[str, Any]
    seed: int


def apply_changes(scenario: Scenario, changes: dict[str, Any]) -> Scenario:
    """Returns the scenario with the values at some paths replaced.

    Raises ConfigurationError if a path does not exist or the changed scenario is not valid.
    """
    value = msgspec.to_builtins(scenario)
    for full_path, new_value in changes.items():
        container: Any = value
        *path, last_step = _parse_path(full_path)
        try:
            for step in path:
                container = container[step]
            container[last_step], _ = new_value, container[last_step]
        except (KeyError, IndexError, TypeError):
            ErrorCollector().add_error(full_path, "there is no such setting in the scenario")
    try:
        changed_scenario = msgspec.convert(value, Scenario)
    except msgspec.ValidationError as error:
        ErrorCollector().add_error(", ".join(changes), str(error))
        raise
    for full_path, message in changed_scenario.find_errors():
        ErrorCollector().add_error(full_path, message)
    return changed_scenario


def _parse_path(path: str) -> list[str | int]:
    """Splits a path into keys and indexes: `workers[0].count` gives workers, 0, count."""
    steps: list[str | int] = []
    for part in path.split("."):
        name, _, indexes = part.partition("[")
        steps.append(name)
        steps += [int(each) for each in indexes.replace("]", "").split("[") if each.isdigit()]
    return steps


def run_cell(spec: CellSpec) -> dict[str, Any]:
    """Runs a cell; returns its row of figures, its series by second, its digest and its faults.

    A fault is listed as its kind, begin and end, in seconds.
    """
    scenario = apply_changes(parse_scenario(spec.scenario.encode(), ErrorCollector()), spec.changes)
    plan = scenario.build_plan(spec.seed)
    tally = OutcomeTally(plan.classes)
    simulation = _build_simulation(scenario, plan, spec.seed, tally)
    FaultInjector(simulation, tuple(scenario.faults), scenario.day_ms)
    seconds = int(scenario.seconds)
    for second in range(seconds):
        simulation.event_queue.schedule_at(second * 1000.0 + 999.0, tally.sample_workers, simulation)
    simulation.run(scenario.day_ms)
    return {
        "row": tally.figures_row(simulation),
        "series": tally.series_by_second(seconds),
        "digest": simulation.digest.hexdigest(),
        "troubles": [
            [
                each.fault_kind,
                each.begin_s,
                each.begin_s + each.duration_s if each.duration_s else scenario.seconds,
            ]
            for each in scenario.faults
        ],
    }


def _build_simulation(scenario: Scenario, plan: FleetPlan, seed: int, tally: OutcomeTally) -> FleetSimulation:
    """Builds the simulated fleet that the scenario asks for, with or without a zone leader."""
    if not scenario.has_zone_leader:
        return FleetSimulation(plan, seed, tally.record_answer)
    from spanwing.simulation.zone_fleet import LeaderFleet

    regions = {name: tuple(each) for name, each in scenario.regions.items()}
    return LeaderFleet(plan, seed, tally.record_answer, regions=regions)


def main() -> None:
    """Reads a CellSpec as JSON from stdin, runs it and writes the result as JSON to stdout."""
    spec = msgspec.json.decode(sys.stdin.buffer.read(), type=CellSpec)
    sys.stdout.buffer.write(msgspec.json.encode(run_cell(spec)))


if __name__ == "__main__":
    main()
