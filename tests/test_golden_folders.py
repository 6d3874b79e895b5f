"""Reads folders that an earlier version wrote, and compares what this version writes, byte for byte.

The folders and answers are under tests/golden/ and are never written by a test. golden_folders.py has the
functions that made them.
"""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from golden_files import ANSWERS, FOLDERS, copy_folder, folder_bytes, read_json
from golden_folders import READERS, WRITERS, restart_journal, status, write_claims


def golden_files(subject: str, folder: str) -> dict[str, bytes]:
    """Returns the files of a golden folder: as written, after it was opened, or after a restart."""
    return folder_bytes(FOLDERS / subject / folder)


def answer(name: str):
    """Returns what was read from a golden folder when it was made."""
    return read_json(f"{ANSWERS.name}/{name}.json")


def as_json(value):
    """Returns the value after a round trip through JSON."""
    return json.loads(json.dumps(value))


@pytest.mark.parametrize("subject", WRITERS)
def test_same_events_write_the_same_folder(subject: str, tmp_path: Path) -> None:
    WRITERS[subject](tmp_path)
    assert folder_bytes(tmp_path) == golden_files(subject, "written")


@pytest.mark.parametrize("subject", READERS)
def test_golden_folder_reads_the_same(subject: str, tmp_path: Path) -> None:
    assert as_json(READERS[subject](copy_folder(subject, tmp_path / subject))) == answer(subject)


@pytest.mark.parametrize(
    "subject, folder", [("journal", "written"), ("store", "opened"), ("policy", "written")]
)
def test_opening_a_folder_leaves_the_same_files(subject: str, folder: str, tmp_path: Path) -> None:
    copy = copy_folder(subject, tmp_path / subject)
    READERS[subject](copy)
    assert folder_bytes(copy) == golden_files(subject, folder)


def test_journal_restarts_after_a_crash(tmp_path: Path) -> None:
    copy = copy_folder("journal", tmp_path / "journal")
    assert as_json(restart_journal(copy)) == answer("journal, restarted")
    assert folder_bytes(copy) == golden_files("journal", "restarted")


def test_claims_and_settings_have_the_same_keys_and_values() -> None:
    assert as_json(write_claims()) == answer("claims")


def test_status_has_the_same_names_and_values() -> None:
    assert as_json(status()) == answer("status")
