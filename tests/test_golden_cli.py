"""Compares the output and exit statuses of the command line with the golden files in tests/golden/cli."""

from __future__ import annotations

import os
import re
import shutil
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

import pytest
from golden_compare import GOLDEN, compare_text
from player import ROOT, WAIT_TIMEOUT_S

from spanwing.cli.main import main

MISSING_OPERATOR_FILE = "/nowhere/fronts.toml"


def run_in_process(capsys, monkeypatch, *arguments: str) -> tuple[int, str]:
    """Runs a command in this process, where it can reach no daemon; returns its exit status and output."""
    monkeypatch.setenv("SPANWING_FRONTS", MISSING_OPERATOR_FILE)
    monkeypatch.setenv("COLUMNS", "100")
    monkeypatch.delenv("SPANWING_ADMIN", raising=False)
    status = main(list(arguments))
    captured = capsys.readouterr()
    return status, captured.out + captured.err


def list_subcommands(help_text: str) -> list[str]:
    """Returns the subcommands that a help text lists."""
    _, _, command_list = help_text.partition("\nCommands:\n")
    return re.findall(r"^  ([a-z][a-z-]*)(?: |$)", command_list, re.MULTILINE)


def test_help_of_every_command_needs_no_daemon(capsys, monkeypatch) -> None:
    transcripts, pending_commands, failures = [], [()], []
    while pending_commands:
        command = pending_commands.pop(0)
        status, help_text = run_in_process(capsys, monkeypatch, *command, "--help")
        transcripts.append(f"$ spanwing {' '.join([*command, '--help'])}\n{help_text}")
        failures += [] if status == 0 and "Usage:" in help_text else [(command, status, help_text)]
        pending_commands += [(*command, each) for each in list_subcommands(help_text)]
    assert not failures
    compare_text("cli/help.txt", "\n".join(transcripts))


JOURNAL = GOLDEN / "folder" / "journal"


def transcript_of(*arguments: str) -> str:
    """Runs a command in its own process; returns the command, its output by stream and its exit status."""
    process = subprocess.run(
        [sys.executable, "-m", "spanwing", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=WAIT_TIMEOUT_S,
        env={
            "PATH": os.environ["PATH"],
            "SPANWING_FRONTS": MISSING_OPERATOR_FILE,
            "TZ": "UTC",
            "COLUMNS": "100",
        },
    )
    transcript = f"$ spanwing {' '.join(map(repr, arguments))}\n{process.stdout}"
    transcript += "".join(f"stderr: {line}\n" for line in process.stderr.splitlines())
    return f"{transcript}exit {process.returncode}\n\n".replace(str(GOLDEN), "GOLDEN")


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
def test_journal_commands_read_the_journal_of_an_earlier_version(
    name: str, commands: list[tuple[str, ...]], tmp_path
) -> None:
    shutil.copytree(JOURNAL, tmp_path / "journal")
    directory_option = ("--directory", str(tmp_path / "journal"))
    transcript = "".join(transcript_of("journal", *each, *directory_option) for each in commands)
    compare_text(f"cli/{name}.txt", transcript.replace(str(tmp_path), "TMP"))


def test_commands_without_a_daemon_or_with_wrong_usage() -> None:
    """Scripts depend on the exit statuses: 1 refused or faulty, 2 wrong usage, 3 no daemon reached."""
    policy_file = str(GOLDEN / "folder" / "policy" / "version-1.json")
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
        ("policy", "check", policy_file),
        ("policy", "diff", policy_file),
        ("policy", "propose", policy_file, "--wait", "0"),
        ("policy", "propose", policy_file),
        ("policy", "rollback"),
        ("policy", "rollback", "1"),
        ("policy", "abort"),
        ("journal", "list"),
        ("journal", "list", "--directory", "/nowhere/journal"),
        ("serve",),
        ("serve", "--config", "/nowhere/config"),
    ]
    with ThreadPoolExecutor(2) as pool:
        transcript = "".join(pool.map(lambda each: transcript_of(*each), commands))
    compare_text("cli/refused.txt", transcript)
