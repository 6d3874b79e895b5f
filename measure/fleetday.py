"""Counts over a whole fleet from what its schedulers wrote in one day.

Reads each scheduler's own lines: when it began to serve (again), and which job workers it set aside, and why.
A line may begin with its time in seconds of the day.

    .venv/bin/python -m measure.fleetday FOLDER_OF_LOGS --step 5
"""

from __future__ import annotations

import re
from collections import Counter, defaultdict
from collections.abc import Iterable
from pathlib import Path

import click

ASIDE = re.compile(r"^(?:(\d+\.\d+) )?.*worker (\d+) set aside: (\w+), strike (\d+)")
SERVES = re.compile(r"^(?:(\d+\.\d+) )?spanwing: clients on ")
REASONS = ("silent", "timeout", "error", "reset", "unreachable")


class Day:
    """What was counted, by step of the day."""

    def __init__(self, step: float) -> None:
        self.step = step
        self.aside: dict[int, Counter[str]] = defaultdict(Counter)
        self.struck: dict[str, Counter[str]] = defaultdict(Counter)  # by reason: how often each worker
        self.served: list[float] = []
        self.schedulers = 0

    def read(self, lines: Iterable[str]) -> None:
        """The lines of one scheduler."""
        self.schedulers += 1
        for line in lines:
            if found := ASIDE.match(line):
                at, worker, why, _ = found.groups()
                self.aside[int(float(at or 0.0) // self.step)][why] += 1
                self.struck[why][worker] += 1
            elif found := SERVES.match(line):
                self.served.append(float(found.group(1) or 0.0))

    def table(self) -> str:
        """As Markdown."""
        rows = [f"| from s | {' | '.join(REASONS)} | began to serve |", f"|{' --- |' * (len(REASONS) + 2)}"]
        last = max([*self.aside, *(int(at // self.step) for at in self.served), 0])
        for place in range(last + 1):
            served = sum(int(at // self.step) == place for at in self.served)
            counts = " | ".join(str(self.aside[place][why]) for why in REASONS)
            rows.append(f"| {place * self.step:g} | {counts} | {served} |")
        totals = " | ".join(
            f"{sum(self.struck[why].values())} of {len(self.struck[why])} workers" for why in REASONS
        )
        rows.append(f"| all | {totals} | {len(self.served)} of {self.schedulers} schedulers |")
        return "\n".join(rows)


@click.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--step", default=5.0, show_default=True, help="seconds of the day in a row")
def main(folder: Path, step: float) -> None:
    day = Day(step)
    for file in sorted(folder.glob("*.log")):
        day.read(file.read_text(errors="replace").splitlines())
    click.echo(day.table())


if __name__ == "__main__":
    main()
