"""What CI does with tests that are known to be red."""

from __future__ import annotations

import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

SCRIPT = Path(__file__).parent.parent / ".ci" / "knownred.py"
CASES = "def test_red():\n    assert False\n\n\ndef test_green():\n    pass\n"


class KnownRed(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        (self.folder / "test_cases.py").write_text(CASES)

    def run_with(self, do: str, *lines: str) -> tuple[int, str]:
        (self.folder / "KNOWN-RED.txt").write_text("".join(f"{line}\n" for line in lines))
        ran = subprocess.run(
            [sys.executable, SCRIPT, do, "KNOWN-RED.txt"],
            cwd=self.folder,
            text=True,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )
        return ran.returncode, ran.stdout

    def test_one_that_is_red_is_passed_over_and_printed(self) -> None:
        line = "test_cases.py::test_red | a cause | 9"
        self.assertEqual(self.run_with("names", line), (0, "test_cases.py::test_red\n"))
        ended, said = self.run_with("check", line)
        self.assertEqual(ended, 0)
        self.assertIn("test_cases.py::test_red: still red (issue 9: a cause)", said)

    def test_one_that_passes_or_names_no_test_fails(self) -> None:
        for name, says in (("test_green", "passes"), ("test_none", "names no test")):
            ended, said = self.run_with("check", f"test_cases.py::{name} | a cause | 9")
            self.assertEqual(ended, 1)
            self.assertIn(says, said)

    def test_one_that_fails_at_times_is_printed_and_may_pass(self) -> None:
        for name, says in (("test_red", "still red"), ("test_green", "passes this time")):
            ended, said = self.run_with("check", f"test_cases.py::{name} | sometimes: a cause | 9")
            self.assertEqual(ended, 0)
            self.assertIn(says, said)
        self.assertEqual(self.run_with("check", "test_cases.py::test_none | sometimes: a cause | 9")[0], 1)

    def test_another_form_and_a_fourth_fail(self) -> None:
        red = "test_cases.py::test_red | a cause | 9"
        for lines in ((red,) * 4, ("test_cases.py::test_red, a cause, 9",), ("all | a cause | 9",)):
            for do in ("names", "check"):
                self.assertEqual(self.run_with(do, *lines)[0], 2)

    def test_without_any_nothing_is_left_out(self) -> None:
        self.assertEqual(self.run_with("names"), (0, ""))
        self.assertEqual(self.run_with("check"), (0, ""))


if __name__ == "__main__":
    unittest.main()
