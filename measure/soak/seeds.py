"""Runs a range of seeds of a soak, each in a process of its own, and prints a summary."""

from __future__ import annotations

import sys
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from subprocess import run as run_process

import click

from measure.daemons import ROOT


def run_seeds(
    module: str, seeds: str, flags: list[str], at_once: int, on_output: Callable[[int, str, str], None]
) -> int:
    """Runs `module --seed=N` with these flags for the seeds A..B; returns the exit status, 1 if any failed.

    on_output: called with the seed, the output and the error output of each run as it ends, in a thread.
    """
    first, _, last = seeds.partition("..")

    def run_one(number: int) -> tuple[int, int]:
        arguments = [sys.executable, "-m", module, f"--seed={number}", *flags]
        completed = run_process(arguments, cwd=ROOT, capture_output=True, text=True)
        on_output(number, completed.stdout, completed.stderr)
        return number, completed.returncode

    with ThreadPoolExecutor(at_once) as pool:
        results = list(pool.map(run_one, range(int(first), int(last) + 1)))
    failed = [number for number, status in results if status]
    click.echo(f"{len(results)} runs, {len(failed)} failed: {failed}")
    return 1 if failed else 0
