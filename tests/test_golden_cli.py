"""What operators and their scripts read from the command line, against the files in tests/golden/cli."""

from __future__ import annotations

import re

from goldenfiles import compare_text

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
