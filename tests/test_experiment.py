"""Experiments: killed ones go on and give the same, builds never mix, a comparison can be silent."""

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
from player import PATIENCE_S, ROOT

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


def figures(rows: list[dict]) -> list[dict]:
    """What has to be the same each time: all but the measured cost."""
    return [
        {**row, "row": {key: value for key, value in row["row"].items() if key != "decision_us"}}
        for row in rows
    ]


class Matrix(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.plan = self.folder / "plan.toml"
        self.plan.write_text(PLAN)

    def test_a_killed_run_goes_on_and_gives_the_same_table(self) -> None:
        whole = run_experiment(read_plan(self.plan), self.folder / "whole", 4, lambda there, of: None)
        self.assertEqual(len(whole), 8)
        broken = self.folder / "broken"
        process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "spanwing",
                "experiment",
                "run",
                str(self.plan),
                "--out",
                str(broken),
                "--lanes",
                "1",
            ],
            cwd=ROOT,
            start_new_session=True,
            stdout=subprocess.DEVNULL,
            env={"PATH": os.environ["PATH"]},
        )
        end = time.monotonic() + PATIENCE_S
        while len(list(broken.glob("cells/*.json"))) < 2 and time.monotonic() < end:
            time.sleep(0.01)
        os.killpg(process.pid, signal.SIGKILL)
        process.wait()
        there = {each.name for each in broken.glob("cells/*.json")}
        self.assertTrue(2 <= len(there) < 8, there)
        before = {name: (broken / "cells" / name).stat().st_mtime_ns for name in there}
        told: list[tuple[int, int]] = []
        again = run_experiment(read_plan(self.plan), broken, 4, lambda done, of: told.append((done, of)))
        self.assertEqual((told[0], told[-1]), ((len(there), 8), (8, 8)))
        self.assertEqual(figures(again), figures(whole))
        self.assertEqual({name: (broken / "cells" / name).stat().st_mtime_ns for name in there}, before)
        self.assertIn("<svg", render_page("small", again))
        write_parquet(again, self.folder / "rows.parquet")
        import pyarrow.parquet as pq

        self.assertEqual(pq.read_table(self.folder / "rows.parquet").num_rows, 8)

    def test_builds_do_not_mix(self) -> None:
        wanted = list(list_cells(read_plan(self.plan), self.folder))
        self.assertEqual(len({each.digest for each in wanted}), 8)
        here = prepare_build("here", self.folder)
        copy = self.folder / "copy"
        for name in ("spanwing", "spanwing/simulation", "spanwing/experiment"):
            (copy / name).mkdir(parents=True)
            for each in (ROOT / name).glob("*.py"):
                (copy / name / each.name).write_bytes(each.read_bytes())
        self.assertEqual(source_digest(copy), here.digest)
        with open(copy / "spanwing" / "scheduler.py", "a") as file:
            file.write("\n# another build\n")
        self.assertNotEqual(source_digest(copy), here.digest)

    def test_bad_plans_are_refused_in_one_line(self) -> None:
        for old, new, word in (
            ('name = "small"', 'name = "a b"', "name"),
            ('"calm-day"', '"no-day"', "no-day"),
            ("seeds = 2", "seeds = 0", "seeds"),
            ("seeds = 2", "seed = 2", "seed"),
            ('"load.level"', '"load.levle"', "load.levle"),
            ('"workers[0].count"', '"workers[9].count"', "workers"),
            ("seconds = 6\n", 'seconds = "six"\n', "seconds"),
            ("seeds = 2", 'builds = ["-"]', "builds"),
        ):
            self.plan.write_text(PLAN.replace(old, new))
            with self.assertRaisesRegex(ConfigurationError, word) as caught:
                list(list_cells(read_plan(self.plan), self.folder))
            self.assertNotIn("\n", str(caught.exception))

    def test_changes_reach_their_place(self) -> None:
        day = load_scenario("calm-day", ErrorCollector())
        made = apply_changes(day, {"workers[1].speed": 0.5, "retries.most": 4, "seconds": 10})
        self.assertEqual((made.workers[1].speed, made.retries.max_retries, made.seconds), (0.5, 4, 10))
        self.assertEqual((made.workers[0], made.classes), (day.workers[0], day.classes))


class Comparisons(unittest.TestCase):
    def test_the_same_twice_is_no_difference(self) -> None:
        values = np.random.default_rng(1).normal(size=30)
        self.assertEqual(compare_paired("x", values, values).verdict, "no difference seen")
        self.assertEqual(compare_paired("x", values[:4], values[:4] + 1).verdict, "too few pairs")

    def test_a_difference_is_seen_in_pairs_that_noise_would_hide(self) -> None:
        source = np.random.default_rng(2)
        seeds = source.normal(scale=5.0, size=20)
        found = compare_paired("x", seeds, seeds - 0.3 + source.normal(scale=0.1, size=20))
        self.assertEqual(found.verdict, "lower")
        self.assertTrue(found.interval_low < -0.3 < found.interval_high)

    def test_no_difference_is_wrongly_seen_about_as_often_as_stated(self) -> None:
        source, wrong = np.random.default_rng(3), 0
        for _ in range(200):
            seen = compare_paired("x", source.normal(size=20), source.normal(size=20)).verdict
            wrong += seen != "no difference seen"
        self.assertTrue(2 <= wrong <= 28, wrong)  # 5% of 200, and what small samples add

    def test_only_pairs_count(self) -> None:
        rows = [
            {"scenario": "s", "seed": seed, "variant": variant, "row": {"x": float(seed)}}
            for variant, seeds in (("a", range(6)), ("b", range(2, 9)))
            for seed in seeds
        ]
        found = compare_columns(rows, {"variant": "a"}, {"variant": "b"}, ["x"])[0]
        self.assertEqual((found.pair_count, found.mean_difference, json.dumps(found.mean_a)), (4, 0.0, "3.5"))


if __name__ == "__main__":
    unittest.main()
