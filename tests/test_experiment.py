"""Experiments: interrupted runs continue with the same rows, builds never mix, comparisons of columns."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

import numpy as np
from player import ROOT, WAIT_TIMEOUT_S

from spanwing.config_errors import ConfigurationError, ErrorCollector
from spanwing.experiment.cell import apply_changes
from spanwing.experiment.compare import compare_columns, compare_paired
from spanwing.experiment.matrix import list_cells, prepare_build, read_plan, run_experiment, source_digest
from spanwing.experiment.report import render_page, write_parquet
from spanwing.simulation.scenario import load_scenario

PLAN = """name = "small"
scenarios = ["calm-day", "retry-storm"]
seeds = 2
[variants.plain]
seconds = 6
troubles = []
[variants.fewer]
seconds = 6
troubles = []
"workers[0].count" = 5
"load.level" = 0.6
"""


def reproducible_rows(rows: list[dict]) -> list[dict]:
    """Returns the rows without the measured cost, the only figure that differs between runs."""
    return [
        {**row, "row": {key: value for key, value in row["row"].items() if key != "decision_us"}}
        for row in rows
    ]


class ExperimentRuns(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.plan_path = self.folder / "plan.toml"
        self.plan_path.write_text(PLAN)

    def test_a_killed_run_continues_and_gives_the_same_rows(self) -> None:
        expected_rows = run_experiment(
            read_plan(self.plan_path), self.folder / "whole", 4, lambda finished_count, cell_count: None
        )
        self.assertEqual(len(expected_rows), 8)
        interrupted = self.folder / "interrupted"
        process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "spanwing",
                "experiment",
                "run",
                str(self.plan_path),
                "--out",
                str(interrupted),
                "--lanes",
                "1",
            ],
            cwd=ROOT,
            start_new_session=True,
            stdout=subprocess.DEVNULL,
            env={"PATH": os.environ["PATH"]},
        )
        give_up_at_s = time.monotonic() + WAIT_TIMEOUT_S
        while len(list(interrupted.glob("cells/*.json"))) < 2 and time.monotonic() < give_up_at_s:
            time.sleep(0.01)
        os.killpg(process.pid, signal.SIGKILL)
        process.wait()
        finished = {each.name for each in interrupted.glob("cells/*.json")}
        self.assertTrue(2 <= len(finished) < 8, finished)
        written_at_ns = {name: (interrupted / "cells" / name).stat().st_mtime_ns for name in finished}
        progress: list[tuple[int, int]] = []
        rows = run_experiment(
            read_plan(self.plan_path),
            interrupted,
            4,
            lambda finished_count, cell_count: progress.append((finished_count, cell_count)),
        )
        self.assertEqual((progress[0], progress[-1]), ((len(finished), 8), (8, 8)))
        self.assertEqual(reproducible_rows(rows), reproducible_rows(expected_rows))
        self.assertEqual(
            {name: (interrupted / "cells" / name).stat().st_mtime_ns for name in finished}, written_at_ns
        )
        self.assertIn("<svg", render_page("small", rows))
        write_parquet(rows, self.folder / "rows.parquet")
        import pyarrow.parquet as pq

        self.assertEqual(pq.read_table(self.folder / "rows.parquet").num_rows, 8)

    def test_cells_and_builds_have_digests_of_their_own(self) -> None:
        cells = list(list_cells(read_plan(self.plan_path), self.folder))
        self.assertEqual(len({each.digest for each in cells}), 8)
        current_build = prepare_build("here", self.folder)
        copy = self.folder / "copy"
        for name in ("spanwing", "spanwing/simulation", "spanwing/experiment"):
            (copy / name).mkdir(parents=True)
            for each in (ROOT / name).glob("*.py"):
                (copy / name / each.name).write_bytes(each.read_bytes())
        self.assertEqual(source_digest(copy), current_build.digest)
        with open(copy / "spanwing" / "scheduler.py", "a") as file:
            file.write("\n# another build\n")
        self.assertNotEqual(source_digest(copy), current_build.digest)

    def test_invalid_plans_are_rejected_with_an_error_of_one_line(self) -> None:
        for old, new, expected_text in (
            ('name = "small"', 'name = "a b"', "name"),
            ('"calm-day"', '"no-day"', "no-day"),
            ("seeds = 2", "seeds = 0", "seeds"),
            ("seeds = 2", "seed = 2", "seed"),
            ('"load.level"', '"load.levle"', "load.levle"),
            ('"workers[0].count"', '"workers[9].count"', "workers"),
            ("seconds = 6\n", 'seconds = "six"\n', "seconds"),
            ("seeds = 2", 'builds = ["-"]', "builds"),
        ):
            self.plan_path.write_text(PLAN.replace(old, new))
            with self.assertRaisesRegex(ConfigurationError, expected_text) as caught:
                list(list_cells(read_plan(self.plan_path), self.folder))
            self.assertNotIn("\n", str(caught.exception))

    def test_changes_apply_to_the_named_settings_only(self) -> None:
        scenario = load_scenario("calm-day", ErrorCollector())
        changed = apply_changes(scenario, {"workers[1].speed": 0.5, "retries.most": 4, "seconds": 10})
        self.assertEqual(
            (changed.workers[1].speed, changed.retries.max_retries, changed.seconds), (0.5, 4, 10)
        )
        self.assertEqual((changed.workers[0], changed.classes), (scenario.workers[0], scenario.classes))


class Comparisons(unittest.TestCase):
    def test_equal_values_and_too_few_pairs_are_no_difference(self) -> None:
        values = np.random.default_rng(1).normal(size=30)
        self.assertEqual(compare_paired("x", values, values).verdict, "no difference seen")
        self.assertEqual(compare_paired("x", values[:4], values[:4] + 1).verdict, "too few pairs")

    def test_pairing_reveals_a_difference_that_is_small_against_the_noise(self) -> None:
        generator = np.random.default_rng(2)
        values = generator.normal(scale=5.0, size=20)
        difference = compare_paired("x", values, values - 0.3 + generator.normal(scale=0.1, size=20))
        self.assertEqual(difference.verdict, "lower")
        self.assertTrue(difference.interval_low < -0.3 < difference.interval_high)

    def test_false_differences_are_as_rare_as_the_confidence_level_states(self) -> None:
        generator, false_count = np.random.default_rng(3), 0
        for _ in range(200):
            verdict = compare_paired("x", generator.normal(size=20), generator.normal(size=20)).verdict
            false_count += verdict != "no difference seen"
        self.assertTrue(2 <= false_count <= 28, false_count)  # 5% of 200, and more as samples are small

    def test_rows_without_a_pair_are_left_out(self) -> None:
        rows = [
            {"scenario": "s", "seed": seed, "variant": variant, "row": {"x": float(seed)}}
            for variant, seeds in (("a", range(6)), ("b", range(2, 9)))
            for seed in seeds
        ]
        difference = compare_columns(rows, {"variant": "a"}, {"variant": "b"}, ["x"])[0]
        self.assertEqual(
            (difference.pair_count, difference.mean_difference, json.dumps(difference.mean_a)),
            (4, 0.0, "3.5"),
        )


if __name__ == "__main__":
    unittest.main()
