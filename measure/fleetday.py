"""Counts ejections of workers and starts of schedulers over a whole fleet, from one day's logs.

Each *.log file of a folder is the log of one scheduler. Counted are the lines that say that it serves clients
(again), and those that say that it ejected a worker, by reason. A line may begin with its time, in seconds of
the day; a line without one counts at 0.

    .venv/bin/python -m measure.fleetday FOLDER_OF_LOGS --step 5
"""

from __future__ import annotations

import re
from collections import Counter, defaultdict
from collections.abc import Iterable
from pathlib import Path

import click

EJECTED = re.compile(r"^(?:(\d+\.\d+) )?.*worker (\d+) set aside: (\w+), strike (\d+)")
SERVING = re.compile(r"^(?:(\d+\.\d+) )?spanwing: clients on ")
REASONS = ("silent", "timeout", "error", "reset", "unreachable")


class LogCounts:
    """The counts of all logs, by step of the day."""

    def __init__(self, step_s: float) -> None:
        self.step_s = step_s
        self.ejections_by_step: dict[int, Counter[str]] = defaultdict(Counter)  # by reason
        self.ejections_by_reason: dict[str, Counter[str]] = defaultdict(Counter)  # by worker
        self.serving_since_s: list[float] = []
        self.scheduler_count = 0

    def add_log(self, lines: Iterable[str]) -> None:
        """Adds the log of one scheduler."""
        self.scheduler_count += 1
        for line in lines:
            if match := EJECTED.match(line):
                at_s, worker, reason, _ = match.groups()
                self.ejections_by_step[int(float(at_s or 0.0) // self.step_s)][reason] += 1
                self.ejections_by_reason[reason][worker] += 1
            elif match := SERVING.match(line):
                self.serving_since_s.append(float(match.group(1) or 0.0))

    def table(self) -> str:
        """Returns the counts as a Markdown table, a row for each step and one for the whole day."""
        rows = [f"| from s | {' | '.join(REASONS)} | began to serve |", f"|{' --- |' * (len(REASONS) + 2)}"]
        last_step = max(
            [*self.ejections_by_step, *(int(at_s // self.step_s) for at_s in self.serving_since_s), 0]
        )
        for step in range(last_step + 1):
            start_count = sum(int(at_s // self.step_s) == step for at_s in self.serving_since_s)
            counts = " | ".join(str(self.ejections_by_step[step][reason]) for reason in REASONS)
            rows.append(f"| {step * self.step_s:g} | {counts} | {start_count} |")
        totals = " | ".join(
            f"{sum(self.ejections_by_reason[reason].values())} of "
            f"{len(self.ejections_by_reason[reason])} workers"
            for reason in REASONS
        )
        rows.append(f"| all | {totals} | {len(self.serving_since_s)} of {self.scheduler_count} schedulers |")
        return "\n".join(rows)


@click.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--step", default=5.0, show_default=True, help="Seconds of the day in one row.")
def main(folder: Path, step: float) -> None:
    """Prints the table of a folder of logs."""
    log_counts = LogCounts(step)
    for file in sorted(folder.glob("*.log")):
        log_counts.add_log(file.read_text(errors="replace").splitlines())
    click.echo(log_counts.table())


if __name__ == "__main__":
    main()
