"""What operators and their scripts read from the command line, against the files in tests/golden/cli."""

from __future__ import annotations

import os
import re
import shutil
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

import pytest
from goldenfiles import GOLDEN, compare_text
from player import PATIENCE_S, ROOT

from spanwing.cli.main import main

NOWHERE = "/nowhere/fronts.toml"


def run_here(capsys, monkeypatch, *arguments: str) -> tuple[int, str]:
    """A command in this process, where no daemon can be reached; its exit status and all that it said."""
    monkeypatch.setenv("SPANWING_FRONTS", NOWHERE)
    monkeypatch.setenv("COLUMNS", "100")
    monkeypatch.delenv("SPANWING_ADMIN", raising=False)
    status = main(list(arguments))
    said = capsys.readouterr()
    return status, said.out + said.err


def commands_in(text: str) -> list[str]:
    """The sub-commands that a help names."""
    _, _, rest = text.partition("\nCommands:\n")
    return re.findall(r"^  ([a-z][a-z-]*)(?: |$)", rest, re.MULTILINE)


def test_help_of_every_command_needs_no_daemon(capsys, monkeypatch) -> None:
    told, waiting, failed = [], [()], []
    while waiting:
        command = waiting.pop(0)
        status, text = run_here(capsys, monkeypatch, *command, "--help")
        told.append(f"$ spanwing {' '.join([*command, '--help'])}\n{text}")
        failed += [] if status == 0 and "Usage:" in text else [(command, status, text)]
        waiting += [(*command, each) for each in commands_in(text)]
    assert not failed
    compare_text("cli/help.txt", "\n".join(told))


JOURNAL = GOLDEN / "folder" / "journal"


def run_apart(*arguments: str) -> str:
    """A command in a process of its own: what it printed on which side, and its exit status."""
    done = subprocess.run(
        [sys.executable, "-m", "spanwing", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=PATIENCE_S,
        env={"PATH": os.environ["PATH"], "SPANWING_FRONTS": NOWHERE, "TZ": "UTC", "COLUMNS": "100"},
    )
    told = f"$ spanwing {' '.join(map(repr, arguments))}\n{done.stdout}"
    told += "".join(f"stderr: {line}\n" for line in done.stderr.splitlines())
    return f"{told}exit {done.returncode}\n\n".replace(str(GOLDEN), "GOLDEN")


@pytest.mark.parametrize(
    ("name", "commands"),
    [
        (
            "journal",
            [
                ("list",),
                ("list", "--json"),
                ("show", "job-done"),
                ("show", "job-failing", "--json"),
                ("show", "job-left-open", "--json"),
                ("show", "nothing"),
                ("query", "class = schedule-apply and worker = f0"),
                ("query", "result = ok", "--json"),
                ("query", "state in (sent, 'possibly sent')", "--limit", "1"),
                ("query", "no_such_field = 1"),
                ("query", "class ="),
                ("tail", "-n", "100"),
                ("verify",),
                ("stats",),
                ("stats", "--json"),
                ("export",),
                ("export", "--format", "csv"),
                ("export", "--format", "parquet"),
                ("repair", "--dry-run"),
            ],
        ),
    ],
)
def test_the_journal_of_an_earlier_daemon(name: str, commands: list[tuple[str, ...]], tmp_path) -> None:
    shutil.copytree(JOURNAL, tmp_path / "journal")
    where = ("--directory", str(tmp_path / "journal"))
    told = "".join(run_apart("journal", *each, *where) for each in commands)
    compare_text(f"cli/{name}.txt", told.replace(str(tmp_path), "TMP"))


def test_what_is_said_without_a_daemon_or_with_wrong_usage() -> None:
    """The statuses that scripts read: 1 refused or faulty, 2 wrong usage, 3 no daemon reached."""
    text = str(GOLDEN / "folder" / "policy" / "version-1.json")
    commands = [
        (),
        ("nothing",),
        ("status",),
        ("status", "--json", "--socket", "/nowhere/admin"),
        ("status", "--nothing"),
        ("drain",),
        ("drain", "--within", "0"),
        ("undrain",),
        ("weight",),
        ("weight", "101"),
        ("weight", "50"),
        ("zones",),
        ("zones", "leave"),
        ("zones", "leave", "a", "--over", "0"),
        ("zones", "leave", "a"),
        ("zones", "history", "--json"),
        ("policy",),
        ("policy", "status", "--json"),
        ("policy", "history"),
        ("policy", "show", "x"),
        ("policy", "show"),
        ("policy", "check", "/nowhere/policy"),
        ("policy", "check", text),
        ("policy", "diff", text),
        ("policy", "propose", text, "--wait", "0"),
        ("policy", "propose", text),
        ("policy", "rollback"),
        ("policy", "rollback", "1"),
        ("policy", "abort"),
        ("journal", "list"),
        ("journal", "list", "--directory", "/nowhere/journal"),
        ("serve",),
        ("serve", "--config", "/nowhere/config"),
    ]
    with ThreadPoolExecutor(2) as pool:
        told = "".join(pool.map(lambda each: run_apart(*each), commands))
    compare_text("cli/refused.txt", told)
