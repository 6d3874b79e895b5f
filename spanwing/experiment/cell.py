"""One cell of an experiment: a scenario, a variant and a seed, played by the build that this process runs.

    python -m spanwing.experiment.cell < order.json > row.json

Guarantees: the same order and build give the same row, but for `decision_us`, which is measured.
"""

from __future__ import annotations

import sys
from typing import Any

import msgspec

from spanwing.experiment.score import Tally
from spanwing.faults import Faults
from spanwing.world.fleet import Fleet, Plan
from spanwing.world.scenario import Scenario, parse
from spanwing.world.troubles import Troubles


class Order(msgspec.Struct):
    """What to play; changes: by place in the scenario, as `load.level` or `workers[0].count`."""

    scenario: str  # the file's text
    changes: dict[str, Any]
    seed: int


def changed(scenario: Scenario, changes: dict[str, Any]) -> Scenario:
    """The scenario with some values replaced. Raises ConfigError where a place or value is not possible."""
    value = msgspec.to_builtins(scenario)
    for place, wanted in changes.items():
        into: Any = value
        *path, last = _steps(place)
        try:
            for step in path:
                into = into[step]
            into[last], _ = wanted, into[last]
        except (KeyError, IndexError, TypeError):
            Faults().add(place, "there is no such place in the scenario")
    try:
        made = msgspec.convert(value, Scenario)
    except msgspec.ValidationError as error:
        Faults().add(", ".join(changes), str(error))
        raise
    for place, fault in made.wrong():
        Faults().add(place, fault)
    return made


def _steps(place: str) -> list[str | int]:
    """`workers[0].count` as workers, 0, count."""
    steps: list[str | int] = []
    for part in place.split("."):
        name, _, rest = part.partition("[")
        steps.append(name)
        steps += [int(each) for each in rest.replace("]", "").split("[") if each.isdigit()]
    return steps


def play(order: Order) -> dict[str, Any]:
    """A row of figures, the series, and the troubles' spans for a chart."""
    scenario = changed(parse(order.scenario.encode(), Faults()), order.changes)
    plan = scenario.plan(order.seed)
    tally = Tally(plan.classes)
    fleet = _fleet(scenario, plan, order.seed, tally)
    Troubles(fleet, tuple(scenario.troubles), scenario.day_ms)
    seconds = int(scenario.seconds)
    for second in range(seconds):
        fleet.agenda.at(second * 1000.0 + 999.0, tally.look, fleet)
    fleet.run(scenario.day_ms)
    return {
        "row": tally.row(fleet),
        "series": tally.series(seconds),
        "digest": fleet.digest.hexdigest(),
        "troubles": [
            [each.what, each.at, each.at + each.lasts if each.lasts else scenario.seconds]
            for each in scenario.troubles
        ],
    }


def _fleet(scenario: Scenario, plan: Plan, seed: int, tally: Tally) -> Fleet:
    if not scenario.together:
        return Fleet(plan, seed, tally.take)
    from spanwing.world.zoned import ZonedFleet

    regions = {name: tuple(each) for name, each in scenario.regions.items()}
    return ZonedFleet(plan, seed, tally.take, regions=regions)


def main() -> None:
    order = msgspec.json.decode(sys.stdin.buffer.read(), type=Order)
    sys.stdout.buffer.write(msgspec.json.encode(play(order)))


if __name__ == "__main__":
    main()
