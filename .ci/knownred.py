"""Runs the tests that are known to fail, which KNOWN-RED.txt lists, one per line:

TEST | CAUSE | ISSUE        TEST is a pytest node id: tests/test_x.py::Case::test_y

A listed test fails because of a real fault that is not fixed yet. If it fails only sometimes, its cause
begins with "sometimes:", and it may pass.

knownred.py names FILE      prints the names of the tests, one per line
knownred.py check FILE      runs each test and prints its result; exits with 1 if a test passes that must
                            fail, or if a line names no test

Both exit with 2 if a line has another form or the file lists more than MAX_KNOWN_RED tests.
"""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

MAX_KNOWN_RED = 3
PASSED, FAILED, NO_SUCH_TEST = 0, 1, (4, 5)  # exit statuses of pytest
SOMETIMES_PREFIX = "sometimes:"


def read_known_red(path: Path) -> list[tuple[str, str, str]]:
    """Returns (test, cause, issue) of each line; an absent file has none.

    Raises ValueError if a line has another form or there are too many lines.
    """
    known = []
    for line in path.read_text().splitlines() if path.exists() else ():
        parts = tuple(part.strip() for part in line.split("|"))
        if len(parts) != 3 or not all(parts) or "::" not in parts[0]:
            raise ValueError(f"line is not of the form TEST | CAUSE | ISSUE: {line!r}")
        known.append(parts)
    if len(known) > MAX_KNOWN_RED:
        raise ValueError(f"{len(known)} tests are listed, at most {MAX_KNOWN_RED} may be")
    return known


def check(known: list[tuple[str, str, str]]) -> int:
    """Runs each test and prints its result; returns how many did not fail as listed."""
    mismatch_count = 0
    for test, cause, issue in known:
        arguments = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", test]
        status = subprocess.run(arguments, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL).returncode
        may_pass = cause.startswith(SOMETIMES_PREFIX)
        passed = "passes this time" if may_pass else "passes: remove its line"
        not_failed = "names no test" if status in NO_SUCH_TEST else passed
        result = "still red" if status == FAILED else not_failed
        print(f"known to be red: {test}: {result} (issue {issue}: {cause})", flush=True)
        mismatch_count += status != FAILED and not (may_pass and status == PASSED)
    return mismatch_count


def main(command: str, path: Path) -> int:
    """Runs the command `names` or `check`; returns the exit status."""
    try:
        known = read_known_red(path)
    except ValueError as error:
        print(f"{path.name}: {error}", file=sys.stderr)
        return 2
    if command == "names":
        print(*(test for test, _, _ in known), sep="\n", end="\n" if known else "")
        return 0
    return 1 if check(known) else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1], Path(sys.argv[2])))
