"""Plays one cell of an experiment: a scenario, a variant and a seed, by the build of this process.

    python -m spanwing.experiment.cell < order.json > row.json

The same order and build give the same row, but for `decision_us`, which is measured.
"""

from __future__ import annotations

import sys
from typing import Any

import msgspec

from spanwing.experiment.score import OutcomeTally
from spanwing.faults import ErrorCollector
from spanwing.simulation.fault_injection import FaultInjector
from spanwing.simulation.fleet import FleetPlan, FleetSimulation
from spanwing.simulation.scenario import Scenario, parse_scenario


class CellOrder(msgspec.Struct):
    """The cell to play.

    `changes` are by place in the scenario, as `load.level` or `workers[0].count`.
    """

    scenario: str  # the file's text
    changes: dict[str, Any]
    seed: int


def apply_changes(scenario: Scenario, changes: dict[str, Any]) -> Scenario:
    """Returns the scenario with some values replaced.

    Raises ConfigurationError where a place or value is not possible.
    """
    value = msgspec.to_builtins(scenario)
    for path_in_scenario, new_value in changes.items():
        container: Any = value
        *path, last_step = _parse_path(path_in_scenario)
        try:
            for step in path:
                container = container[step]
            container[last_step], _ = new_value, container[last_step]
        except (KeyError, IndexError, TypeError):
            ErrorCollector().add_error(path_in_scenario, "there is no such place in the scenario")
    try:
        changed_scenario = msgspec.convert(value, Scenario)
    except msgspec.ValidationError as error:
        ErrorCollector().add_error(", ".join(changes), str(error))
        raise
    for path_in_scenario, message in changed_scenario.find_errors():
        ErrorCollector().add_error(path_in_scenario, message)
    return changed_scenario


def _parse_path(path: str) -> list[str | int]:
    """Splits a place: `workers[0].count` gives workers, 0, count."""
    steps: list[str | int] = []
    for part in path.split("."):
        name, _, indexes = part.partition("[")
        steps.append(name)
        steps += [int(each) for each in indexes.replace("]", "").split("[") if each.isdigit()]
    return steps


def play_cell(order: CellOrder) -> dict[str, Any]:
    """Plays a cell; returns its row of figures, the series, the digest and the faults' times in s."""
    scenario = apply_changes(parse_scenario(order.scenario.encode(), ErrorCollector()), order.changes)
    plan = scenario.build_plan(order.seed)
    tally = OutcomeTally(plan.classes)
    simulation = _build_simulation(scenario, plan, order.seed, tally)
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
    if not scenario.has_zone_leader:
        return FleetSimulation(plan, seed, tally.record_answer)
    from spanwing.simulation.zone_fleet import LeaderFleet

    regions = {name: tuple(each) for name, each in scenario.regions.items()}
    return LeaderFleet(plan, seed, tally.record_answer, regions=regions)


def main() -> None:
    """Reads a CellOrder as JSON from stdin, plays it and writes the result as JSON to stdout."""
    order = msgspec.json.decode(sys.stdin.buffer.read(), type=CellOrder)
    sys.stdout.buffer.write(msgspec.json.encode(play_cell(order)))


if __name__ == "__main__":
    main()
